//! A pool of HTTP/1.1 connections to the upstreams of routed services.
//!
//! A connection carries one request at a time.

use std::collections::HashMap;
use std::error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::read_limit;
use crate::read_limit::Allowance;
use crate::read_limit::MAX_HEAD_BYTES;
use crate::read_limit::ReadLimitStream;
use crate::whole_body;

/// Idle connections that are kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;
/// Size limit of an answer that is read as a whole, in bytes; a page of the list of upstreams has
/// fifty entries of a few hundred bytes, and a report of an engine is shorter.
const MAX_WHOLE_ANSWER_BYTES: usize = 1 << 20;
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// A path that lost packets recovers well within this time.
const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// Body of a request, held in memory as a whole.
pub type Body = Full<Bytes>;

/// The reason why a request got no complete answer.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection was made, so no byte of the request was sent.
    #[error("cannot connect to upstream {address}: {source}")]
    Connect {
        /// Address of the upstream.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The connection failed after the request may have been sent.
    #[error("connection to upstream {address} failed: {source}")]
    Disconnected {
        /// Address of the upstream.
        address: SocketAddr,
        /// Cause of the failure.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// The answer was not complete in time.
    #[error("upstream {address} did not answer within {limit:?}")]
    Timeout {
        /// Address of the upstream.
        address: SocketAddr,
        /// Time limit that was exceeded.
        limit: Duration,
    },
    /// The answer is too long.
    #[error("upstream {address} sent more than {limit} bytes")]
    TooLong {
        /// Address of the upstream.
        address: SocketAddr,
        /// Size limit that was exceeded, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether no byte of the request was sent, so that it may be sent again safely.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// An open connection.
struct Connection {
    allowance: Allowance,
    is_reused: bool,
    sender: SendRequest<Body>,
}

/// A connection that waits in the pool for the next request.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

impl IdleConnection {
    /// Returns whether the connection is open, has not expired and has been idle for at most
    /// `limit`.
    fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        let is_fresh = self.expires_at > now && now.duration_since(self.idle_since) <= limit;
        is_fresh && !self.connection.sender.is_closed()
    }
}

/// A shared pool of idle connections, by the address of the upstream.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Number of open connections above which none is kept idle.
    max_open: usize,
    /// Number of open connections, idle and in use.
    open: Arc<AtomicUsize>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// Counts a connection as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection in use, which goes back to the pool with [`PooledConnection::release`].
///
/// Dropping it closes the connection.
pub struct PooledConnection {
    address: SocketAddr,
    connection: Connection,
    pool: ConnectionPool,
}

/// Limits on the connection that carries a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Longest time for which a reused connection may have been idle.
    pub max_idle: Duration,
}

impl ConnectionPool {
    /// Returns an empty pool that keeps no connection idle while more than `max_open` are open.
    pub fn new(max_open: usize) -> Self {
        Self {
            idle: Arc::default(),
            max_open,
            open: Arc::default(),
        }
    }

    /// Sends a request to `address` and returns the head of the answer with its connection.
    ///
    /// Reuses an idle connection where there is one. A request that was not sent because such a
    /// connection had closed is sent over the next connection.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer arrives; [`Error::not_sent`] says whether the request may
    /// have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        limits: Limits,
    ) -> Result<(Response<read_limit::Body>, PooledConnection), Error> {
        let disconnected = |source: hyper::Error| Error::Disconnected {
            address,
            source: source.into(),
        };
        while let Some(mut connection) = self.take(address, limits.max_idle) {
            connection.allowance.renew();
            connection.is_reused = true;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answered(address, connection, response)),
                Err(mut failure) => match failure.take_message() {
                    None => return Err(disconnected(failure.into_error())),
                    Some(unsent) => request = unsent,
                },
            }
        }
        let open = OpenGuard::new(self.open.clone());
        if self.is_over_limit() {
            self.close_oldest();
        }
        let mut connection = connect(address, limits.connect_timeout, open).await?;
        match connection.sender.send_request(request).await {
            Err(source) => Err(disconnected(source)),
            Ok(response) => Ok(self.answered(address, connection, response)),
        }
    }

    /// Sends a request, reads the whole answer within `limit` and returns the connection to the
    /// pool.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer arrives; [`Error::not_sent`] says whether the request may
    /// have been sent.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limits: Limits,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = async {
            let (response, connection) = self.send(address, request, limits).await?;
            let (head, body) = response.into_parts();
            let body = whole_body::collect_limited(body, MAX_WHOLE_ANSWER_BYTES).await;
            let body = body.map_err(|error| match error {
                whole_body::Error::Broken(source) => Error::Disconnected { address, source },
                whole_body::Error::TooLong => Error::TooLong {
                    address,
                    limit: MAX_WHOLE_ANSWER_BYTES,
                },
            })?;
            connection.release(limits.max_idle).await;
            Ok(Response::from_parts(head, body))
        };
        let result = timeout(limit, exchange).await;
        result.unwrap_or(Err(Error::Timeout { address, limit }))
    }

    /// Closes the idle connections to all addresses except `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut idle_by_address = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle_by_address.retain(|address, _| addresses.contains(address));
        let now = Instant::now();
        for kept in idle_by_address.values_mut() {
            kept.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        }
    }

    /// Returns the addresses with an idle connection that a request with `limits` may use.
    pub fn idle_addresses(&self, limits: Limits) -> Vec<SocketAddr> {
        let now = Instant::now();
        let idle_by_address = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let usable =
            |kept: &Vec<IdleConnection>| kept.iter().any(|c| c.is_usable(now, limits.max_idle));
        let open = idle_by_address.iter().filter(|(_, kept)| usable(kept));
        open.map(|(address, _)| *address).collect()
    }

    fn answered(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> (Response<read_limit::Body>, PooledConnection) {
        let allowance = connection.allowance.clone();
        let response = response.map(|body| read_limit::Body::new(body, allowance));
        let pooled = PooledConnection {
            address,
            connection,
            pool: self.clone(),
        };
        (response, pooled)
    }

    fn is_over_limit(&self) -> bool {
        self.open.load(Ordering::Relaxed) > self.max_open
    }

    /// Closes the connection that has been idle for longest.
    fn close_oldest(&self) {
        let mut idle_by_address = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle_by_address.values_mut().filter(|kept| !kept.is_empty());
        if let Some(kept) = kept.min_by_key(|kept| kept[0].idle_since) {
            kept.remove(0);
        }
    }

    /// Takes the connection to `address` that became idle last, if one is usable, out of the pool.
    fn take(&self, address: SocketAddr, idle_limit: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle_by_address = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle_by_address.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if idle.is_usable(now, idle_limit) && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Returns whether the connection carried another request before this one, so that an answer on
    /// it may belong to that request.
    pub fn is_reused(&self) -> bool {
        self.connection.is_reused
    }

    /// Returns the connection to the pool for at most `max_idle` once the answer has ended.
    ///
    /// Closes it instead if it has failed, the pool is full for this upstream or too many
    /// connections are open.
    pub async fn release(mut self, max_idle: Duration) {
        if self.connection.sender.ready().await.is_err() || self.pool.is_over_limit() {
            return;
        }
        let now = Instant::now();
        let connection = IdleConnection {
            connection: self.connection,
            idle_since: now,
            expires_at: now + max_idle,
        };
        let mut idle_by_address = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let kept = idle_by_address.entry(self.address).or_default();
        if kept.len() < MAX_IDLE_PER_UPSTREAM {
            kept.push(connection);
        }
    }
}

async fn connect(
    address: SocketAddr,
    limit: Duration,
    open: OpenGuard,
) -> Result<Connection, Error> {
    let failed = |source| Error::Connect { address, source };
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = connected
        .unwrap_or_else(|_| Err(timed_out()))
        .map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    sockopt::set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS)
        .map_err(|errno| failed(errno.into()))?;
    let allowance = Allowance::default();
    allowance.renew();
    let stream = ReadLimitStream::new(stream, allowance.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|error| failed(io::Error::other(error)))?;
    tokio::spawn(async move {
        let _ = connection.await;
        drop(open);
    });
    Ok(Connection {
        allowance,
        is_reused: false,
        sender,
    })
}
