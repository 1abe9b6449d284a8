//! Client for calls to another daemon, over one supervised connection.

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
use crate::peer_frame::FrameCounter;
use crate::peer_handshake;
use crate::peer_handshake::Identity;
use protocol::peer::PeerClient;

/// Reason why a call to a peer failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Too many calls to this peer are in flight; nothing was sent.
    #[error("{limit} calls to {address} are already in flight")]
    Busy {
        /// Address of the peer.
        address: SocketAddr,
        /// Maximum number of calls in flight.
        limit: usize,
    },
    /// The peer cannot be reached or the handshake failed; nothing was sent.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the connection attempt or the handshake.
        source: peer_handshake::Error,
    },
    /// The peer did not answer in time; it may have executed the call.
    #[error("{address} did not answer within {limit:?}")]
    DeadlineExceeded {
        /// Address of the peer.
        address: SocketAddr,
        /// Time allowed for the call.
        limit: Duration,
    },
    /// The connection broke or became unresponsive; the peer may have executed the call.
    #[error("the connection to {address} broke: {source}")]
    Lost {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the RPC layer.
        source: RpcError,
    },
    /// Another host answered at the address; nothing was sent.
    #[error("{address} is host `{found}`, not `{expected}`")]
    WrongHost {
        /// Address of the peer.
        address: SocketAddr,
        /// Name of the host that was expected.
        expected: String,
        /// Name of the host that answered.
        found: String,
    },
}

impl Error {
    /// Returns whether the call certainly never reached the peer, so that a retry is safe.
    pub fn not_sent(&self) -> bool {
        match self {
            Self::Busy { .. } | Self::Connect { .. } | Self::WrongHost { .. } => true,
            Self::DeadlineExceeded { .. } | Self::Lost { .. } => false,
        }
    }
}

/// Timeouts and limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    connect_timeout: Duration,
    heartbeat_interval: Duration,
    idle_timeout: Duration,
    max_in_flight: usize,
    ping_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_000),
            heartbeat_interval: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            max_in_flight: 1_024,
            ping_timeout: Duration::from_millis(1_000),
        }
    }
}

impl Options {
    /// Sets the time allowed to connect, including the handshake.
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect_timeout = limit;
        self
    }

    /// Sets the time between liveness checks of a connection that is in use.
    pub fn heartbeat_interval(mut self, interval: Duration) -> Self {
        self.heartbeat_interval = interval;
        self
    }

    /// Sets the time after which an unused connection is closed.
    pub fn idle_timeout(mut self, limit: Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// Sets the maximum number of calls in flight.
    pub fn max_in_flight(mut self, limit: usize) -> Self {
        self.max_in_flight = limit;
        self
    }

    /// Sets how long a ping may stay unanswered before the connection is replaced.
    pub fn ping_timeout(mut self, limit: Duration) -> Self {
        self.ping_timeout = limit;
        self
    }
}

#[derive(Clone)]
struct LiveConnection {
    client: PeerClient,
    frame_counter: FrameCounter,
    closed: watch::Receiver<()>,
    host: String,
    last_used: Arc<Mutex<Instant>>,
}

impl LiveConnection {
    fn is_closed(&self) -> bool {
        self.closed.has_changed().is_err()
    }

    fn mark_used(&self) {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn idle_time(&self) -> Duration {
        self.last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .elapsed()
    }
}

#[derive(Debug)]
struct ClientShared {
    address: SocketAddr,
    host: Option<String>,
    identity: Arc<Identity>,
    open_connection: tokio::sync::Mutex<Option<LiveConnection>>,
    options: Options,
    permits: Arc<Semaphore>,
}

impl fmt::Debug for LiveConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Live").field("host", &self.host).finish()
    }
}

/// Client of one other daemon, which replaces its connection once it breaks or is unresponsive.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<ClientShared>,
}

impl Client {
    /// Returns a client that connects on its first call.
    ///
    /// If `host` is given, calls fail when a host of another name answers at the address.
    pub fn new(
        identity: impl Into<Arc<Identity>>,
        address: SocketAddr,
        host: Option<String>,
        options: Options,
    ) -> Self {
        let shared = ClientShared {
            address,
            host,
            identity: identity.into(),
            open_connection: tokio::sync::Mutex::new(None),
            options,
            permits: Arc::new(Semaphore::new(options.max_in_flight)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Makes one call within `limit`; `call` sends it with the given RPC client and context.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails; [`Error::not_sent`] says whether it may have reached
    /// the peer.
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
            limit: self.shared.options.max_in_flight,
        })?;
        let live = self.open_connection().await?;
        live.mark_used();
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        let answer = call(live.client.clone(), context).await;
        live.mark_used();
        answer.map_err(|source| match source {
            RpcError::DeadlineExceeded => Error::DeadlineExceeded { address, limit },
            source => Error::Lost { address, source },
        })
    }

    /// Returns the open connection or opens one; concurrent calls wait for the attempt in progress.
    async fn open_connection(&self) -> Result<LiveConnection, Error> {
        let mut current = self.shared.open_connection.lock().await;
        if let Some(live) = current.as_ref().filter(|live| !live.is_closed()) {
            return Ok(live.clone());
        }
        let live = self.shared.open().await?;
        *current = Some(live.clone());
        Ok(live)
    }
}

impl ClientShared {
    async fn open(&self) -> Result<LiveConnection, Error> {
        let address = self.address;
        let limit = self.options.connect_timeout;
        let connect_error = |source| {
            metrics::counter!(metric::PEER_CONNECT_FAILURES).increment(1);
            Error::Connect { address, source }
        };
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| connect_error(peer_handshake::Error::Timeout { limit }))?
            .map_err(|source| connect_error(source.into()))?;
        let connection = peer_handshake::connect(stream, &self.identity, limit)
            .await
            .map_err(connect_error)?;
        let found = connection.host;
        if let Some(expected) = self.host.clone().filter(|host| *host != found) {
            return Err(Error::WrongHost {
                address,
                expected,
                found,
            });
        }
        metrics::counter!(metric::PEER_CONNECTIONS).increment(1);
        let frame_counter = connection.frames.codec().frame_counter();
        let service = PeerClient::new(tarpc::client::Config::default(), connection.frames);
        let (closer, closed) = watch::channel(());
        let live = LiveConnection {
            client: service.client,
            frame_counter,
            closed,
            host: found,
            last_used: Arc::new(Mutex::new(Instant::now())),
        };
        let watched = live.clone();
        let options = self.options;
        let permits = Arc::clone(&self.permits);
        tokio::spawn(async move {
            tokio::select! {
                _ = service.dispatch => {}
                () = watch_liveness(&watched, &permits, options) => {}
            }
            drop(closer);
        });
        Ok(live)
    }
}

/// Returns once the connection is unresponsive or has been idle for `idle_timeout`.
///
/// A connection without calls in flight is pinged only for two heartbeat intervals after its last
/// use. It counts as unresponsive when a ping fails and no frame arrived meanwhile.
async fn watch_liveness(live: &LiveConnection, permits: &Semaphore, options: Options) {
    let mut received = live.frame_counter.received();
    loop {
        tokio::time::sleep(options.heartbeat_interval).await;
        let busy = permits.available_permits() < options.max_in_flight;
        let idle_time = live.idle_time();
        if !busy && idle_time >= options.idle_timeout {
            return;
        }
        let received_now = live.frame_counter.received();
        let received_any = received_now != received;
        received = received_now;
        if received_any || !busy && idle_time > options.heartbeat_interval * 2 {
            continue;
        }
        let mut context = context::current();
        context.deadline = Instant::now() + options.ping_timeout;
        let answer = live.client.ping(context).await;
        if answer.is_err() && live.frame_counter.received() == received_now {
            metrics::counter!(metric::PEER_SILENCES).increment(1);
            return;
        }
    }
}
