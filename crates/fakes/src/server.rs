//! A small HTTP server on one address that can crash and restart.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::connection::Connection;

/// An error that makes the server close the connection in the middle of a request.
#[derive(Clone, Copy, Debug, Error)]
#[error("the fake closed the connection on purpose")]
pub struct Disconnect;

/// Body of a response, which may end in a disconnect.
pub type Body = UnsyncBoxBody<Bytes, Disconnect>;

/// Handler of a request.
pub type Handler = Arc<
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Result<Response<Body>, Disconnect>>
        + Send
        + Sync,
>;

/// An HTTP server on one address that runs until it is stopped or dropped.
pub struct Server {
    address: SocketAddr,
    accepted_connections: Arc<AtomicU64>,
    handler: Handler,
    /// Connections with a lower number are stalled.
    stalled_below: Arc<AtomicU64>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Starts a server on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            accepted_connections: Arc::default(),
            handler,
            stalled_below: Arc::default(),
            task: Mutex::default(),
        };
        server.serve(listener);
        Ok(server)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted_connections.load(Ordering::Relaxed)
    }

    /// Listens on the same address again after [`Self::stop`].
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.serve(listener);
        Ok(())
    }

    /// Stops all reads and writes on the open connections, without closing them; connections
    /// that are accepted later work.
    pub fn stall_connections(&self) {
        self.stalled_below.store(
            self.accepted_connections.load(Ordering::Relaxed),
            Ordering::Relaxed,
        );
    }

    /// Closes the listener and all connections at once.
    pub fn stop(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
    }

    fn serve(&self, listener: TcpListener) {
        let accepted_connections = Arc::clone(&self.accepted_connections);
        let handler = Arc::clone(&self.handler);
        let stalled_below = Arc::clone(&self.stalled_below);
        let task = tokio::spawn(accept(
            listener,
            accepted_connections,
            stalled_below,
            handler,
        ));
        if let Some(old) = lock(&self.task).replace(task) {
            old.abort();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(
    listener: TcpListener,
    accepted_connections: Arc<AtomicU64>,
    stalled_below: Arc<AtomicU64>,
    handler: Handler,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            stalled_below: Arc::clone(&stalled_below),
            number: accepted_connections.fetch_add(1, Ordering::Relaxed),
            stream,
        };
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| handler(request));
        connections.spawn(async move {
            let io = TokioIo::new(connection);
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

/// Returns a response with this status and `value` as its JSON body.
///
/// # Panics
///
/// Panics when `value` cannot be serialized to JSON or `status` is no HTTP status.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    json_bytes(
        status,
        serde_json::to_vec(value).expect("the value serializes to JSON"),
    )
}

/// Returns a response with this status and `bytes` in place of a JSON body.
///
/// # Panics
///
/// Panics when `status` is no HTTP status.
pub fn json_bytes(status: u16, bytes: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never: Infallible| match never {});
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body.boxed_unsync())
        .expect("a response with a status and one header is valid")
}

/// Locks `mutex`, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
