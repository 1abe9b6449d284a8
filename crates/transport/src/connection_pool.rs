//! Kept connections to the upstreams of routed services, one request at a time on each.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
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

/// Bounds the kept connections to one upstream.
const KEPT: usize = 64;
/// Bounds the time for which sent bytes may stay unacknowledged, in milliseconds, before the
/// connection is given up; a path that lost packets recovers well within it.
const UNACKNOWLEDGED_MS: u32 = 3_000;

/// Carries the body of a request.
pub type Body = Full<Bytes>;

/// Tells why a request got no answer.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports that no connection was made; no byte of the request left.
    #[error("upstream {address} took no connection: {source}")]
    Connect {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the cause.
        source: io::Error,
    },
    /// Reports a connection that ended after the request may have left.
    #[error("upstream {address} cut the connection: {source}")]
    Disconnected {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the cause.
        source: hyper::Error,
    },
    /// Reports an answer that did not end in time.
    #[error("upstream {address} did not answer within {limit:?}")]
    Timeout {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the bound.
        limit: Duration,
    },
}

impl Error {
    /// Returns whether no byte of the request left.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
    until: Instant,
}

impl Idle {
    /// Returns whether the connection may carry a request that allows it to have been idle for
    /// `limit`.
    fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        let young = self.until > now && now.duration_since(self.since) <= limit;
        young && !self.sender.is_closed()
    }
}

/// Keeps connections for the next request.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// Holds the connection on which an answer arrives.
pub struct PooledConnection {
    address: SocketAddr,
    pool: ConnectionPool,
    sender: SendRequest<Body>,
}

/// Bounds an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bounds the time to connect.
    pub connect_timeout: Duration,
    /// Bounds the time for which a connection that is used may have been idle.
    pub max_idle: Duration,
}

impl ConnectionPool {
    /// Sends a request to `address` and returns the head of the answer with its connection.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request may have left.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        limits: Limits,
    ) -> Result<(Response<Incoming>, PooledConnection), Error> {
        while let Some(mut sender) = self.take(address, limits.max_idle) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.pooled(address, sender))),
                Err(mut failure) => match failure.take_message() {
                    None => {
                        let source = failure.into_error();
                        return Err(Error::Disconnected { address, source });
                    }
                    Some(unsent) => request = unsent,
                },
            }
        }
        let mut sender = connect(address, limits.connect_timeout).await?;
        match sender.send_request(request).await {
            Err(source) => Err(Error::Disconnected { address, source }),
            Ok(response) => Ok((response, self.pooled(address, sender))),
        }
    }

    /// Sends a request, reads the whole answer and keeps the connection.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request may have left.
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
            let body = body.collect().await;
            let body = body.map_err(|source| Error::Disconnected { address, source })?;
            connection.release(limits.max_idle).await;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let done = timeout(limit, exchange).await;
        done.unwrap_or(Err(Error::Timeout { address, limit }))
    }

    /// Closes the kept connections to upstreams that are not at one of `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|address, _| addresses.contains(address));
        let now = Instant::now();
        for kept in all.values_mut() {
            kept.retain(|idle| idle.until > now && !idle.sender.is_closed());
        }
    }

    /// Lists the addresses to which connections are kept that a request within `limits` may use.
    pub fn idle_addresses(&self, limits: Limits) -> Vec<SocketAddr> {
        let now = Instant::now();
        let all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let usable =
            |kept: &Vec<Idle>| kept.iter().any(|idle| idle.is_usable(now, limits.max_idle));
        let open = all.iter().filter(|(_, kept)| usable(kept));
        open.map(|(address, _)| *address).collect()
    }

    fn pooled(&self, address: SocketAddr, sender: SendRequest<Body>) -> PooledConnection {
        PooledConnection {
            address,
            pool: self.clone(),
            sender,
        }
    }

    fn take(&self, address: SocketAddr, idle_limit: Duration) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = all.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if idle.is_usable(now, idle_limit) && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Keeps the connection for another request, at most for `idle`, once the answer has ended.
    pub async fn release(mut self, idle: Duration) {
        if self.sender.ready().await.is_err() {
            return;
        }
        let now = Instant::now();
        let connection = Idle {
            sender: self.sender,
            since: now,
            until: now + idle,
        };
        let mut all = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let kept = all.entry(self.address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
        }
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<SendRequest<Body>, Error> {
    let failed = |source| Error::Connect { address, source };
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let late = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = connected.unwrap_or_else(|_| Err(late())).map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_MS)
        .map_err(|errno| failed(errno.into()))?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|error| failed(io::Error::other(error)))?;
    tokio::spawn(connection);
    Ok(sender)
}
