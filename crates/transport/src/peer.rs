//! One supervised connection to each other daemon.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::metric;
use crate::peer_frame::Count;
use crate::peer_handshake;
use crate::peer_handshake::Identity;
use protocol::peer::PeerClient;

/// Tells why a call to a peer failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports too many calls in flight to this peer; nothing was sent.
    #[error("{limit} calls to {address} are already in flight")]
    Busy {
        /// Gives the peer's address.
        address: SocketAddr,
        /// Gives the greatest number of calls in flight.
        limit: usize,
    },
    /// Reports a peer that cannot be reached or proved no key; nothing was sent.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// Gives the peer's address.
        address: SocketAddr,
        /// Tells what failed.
        source: peer_handshake::Error,
    },
    /// Reports a call that was not answered in time; the peer may have acted on it.
    #[error("{address} did not answer within {limit:?}")]
    Deadline {
        /// Gives the peer's address.
        address: SocketAddr,
        /// Gives the time allowed.
        limit: Duration,
    },
    /// Reports a connection that broke or fell silent; the peer may have acted on the call.
    #[error("the connection to {address} broke: {source}")]
    Lost {
        /// Gives the peer's address.
        address: SocketAddr,
        /// Tells what failed.
        source: RpcError,
    },
    /// Reports another host at the address; nothing was sent.
    #[error("{address} is host `{found}`, not `{expected}`")]
    Other {
        /// Gives the address.
        address: SocketAddr,
        /// Names the host that was meant.
        expected: String,
        /// Names the host that answered.
        found: String,
    },
}

impl Error {
    /// Returns whether the peer certainly never saw the call.
    pub fn not_sent(&self) -> bool {
        match self {
            Self::Busy { .. } | Self::Connect { .. } | Self::Other { .. } => true,
            Self::Deadline { .. } | Self::Lost { .. } => false,
        }
    }
}

/// Sets the limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    connect: Duration,
    heartbeat: Duration,
    idle: Duration,
    in_flight: usize,
    silence: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_000),
            heartbeat: Duration::from_millis(500),
            idle: Duration::from_secs(30),
            in_flight: 1_024,
            silence: Duration::from_millis(1_000),
        }
    }
}

impl Options {
    /// Sets the time allowed to connect, the handshake included.
    pub fn connect(mut self, limit: Duration) -> Self {
        self.connect = limit;
        self
    }

    /// Sets the time between heartbeats on a connection that is in use.
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets the time after which an unused connection is closed.
    pub fn idle(mut self, limit: Duration) -> Self {
        self.idle = limit;
        self
    }

    /// Sets how many calls may be in flight.
    pub fn in_flight(mut self, limit: usize) -> Self {
        self.in_flight = limit;
        self
    }

    /// Sets how long a heartbeat may stay unanswered before the connection is replaced.
    pub fn silence(mut self, limit: Duration) -> Self {
        self.silence = limit;
        self
    }
}

#[derive(Clone)]
struct Live {
    client: PeerClient,
    count: Count,
    ended: watch::Receiver<()>,
    host: String,
    used: Arc<Mutex<Instant>>,
}

impl Live {
    fn is_ended(&self) -> bool {
        self.ended.has_changed().is_err()
    }

    fn touch(&self) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn unused(&self) -> Duration {
        self.used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .elapsed()
    }
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    host: Option<String>,
    identity: Arc<Identity>,
    live: tokio::sync::Mutex<Option<Live>>,
    options: Options,
    permits: Arc<Semaphore>,
}

impl fmt::Debug for Live {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Live").field("host", &self.host).finish()
    }
}

/// Calls one other daemon and replaces the connection whenever it breaks or falls silent.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// Returns a client that connects at its first call.
    ///
    /// Where `host` is given, a daemon of another name at the address is refused.
    pub fn new(
        identity: impl Into<Arc<Identity>>,
        address: SocketAddr,
        host: Option<String>,
        options: Options,
    ) -> Self {
        let shared = Shared {
            address,
            host,
            identity: identity.into(),
            live: tokio::sync::Mutex::new(None),
            options,
            permits: Arc::new(Semaphore::new(options.in_flight)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Makes one call, which `call` sends with the context it is given.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the peer may have seen the call.
    pub async fn call<T, Answer>(
        &self,
        limit: Duration,
        call: impl FnOnce(PeerClient, Context) -> Answer,
    ) -> Result<T, Error>
    where
        Answer: Future<Output = Result<T, RpcError>>,
    {
        let address = self.shared.address;
        let _permit = self.shared.permits.try_acquire().map_err(|_| Error::Busy {
            address,
            limit: self.shared.options.in_flight,
        })?;
        let live = self.live().await?;
        live.touch();
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        let answer = call(live.client.clone(), context).await;
        live.touch();
        answer.map_err(|source| match source {
            RpcError::DeadlineExceeded => Error::Deadline { address, limit },
            source => Error::Lost { address, source },
        })
    }

    async fn live(&self) -> Result<Live, Error> {
        let mut slot = self.shared.live.lock().await;
        if let Some(live) = slot.as_ref().filter(|live| !live.is_ended()) {
            return Ok(live.clone());
        }
        let live = self.shared.open().await?;
        *slot = Some(live.clone());
        Ok(live)
    }
}

impl Shared {
    async fn open(&self) -> Result<Live, Error> {
        let address = self.address;
        let limit = self.options.connect;
        let fail = |source| {
            metrics::counter!(metric::PEER_CONNECT_FAILURES).increment(1);
            Error::Connect { address, source }
        };
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| fail(peer_handshake::Error::Timeout { limit }))?
            .map_err(|source| fail(source.into()))?;
        let connection = peer_handshake::connect(stream, &self.identity, limit)
            .await
            .map_err(fail)?;
        let found = connection.host;
        if let Some(expected) = self.host.clone().filter(|host| *host != found) {
            return Err(Error::Other {
                address,
                expected,
                found,
            });
        }
        metrics::counter!(metric::PEER_CONNECTIONS).increment(1);
        let count = connection.frames.codec().count();
        let service = PeerClient::new(tarpc::client::Config::default(), connection.frames);
        let (ending, ended) = watch::channel(());
        let live = Live {
            client: service.client,
            count,
            ended,
            host: found,
            used: Arc::new(Mutex::new(Instant::now())),
        };
        let watched = live.clone();
        let options = self.options;
        let permits = Arc::clone(&self.permits);
        tokio::spawn(async move {
            tokio::select! {
                _ = service.dispatch => {}
                () = watch_silence(&watched, &permits, options) => {}
            }
            drop(ending);
        });
        Ok(live)
    }
}

/// Returns once the connection is silent or has been unused for too long.
async fn watch_silence(live: &Live, permits: &Semaphore, options: Options) {
    let mut received = live.count.received();
    loop {
        tokio::time::sleep(options.heartbeat).await;
        let busy = permits.available_permits() < options.in_flight;
        let unused = live.unused();
        if !busy && unused >= options.idle {
            return;
        }
        let before = live.count.received();
        let heard = before != received;
        received = before;
        if heard || !busy && unused > options.heartbeat * 2 {
            continue;
        }
        let mut context = context::current();
        context.deadline = Instant::now() + options.silence;
        let answer = live.client.ping(context).await;
        if answer.is_err() && live.count.received() == before {
            metrics::counter!(metric::PEER_SILENCES).increment(1);
            return;
        }
    }
}
