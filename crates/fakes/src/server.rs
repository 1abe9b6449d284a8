//! A small HTTP server on one loopback address that can crash and come back.

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

/// Makes the server close a connection in the middle of an exchange.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection is cut on purpose")]
pub struct Disconnect;

/// Holds the body of a response, which may be cut.
pub type Body = UnsyncBoxBody<Bytes, Disconnect>;

/// Answers one request.
pub type Handler = Arc<
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Result<Response<Body>, Disconnect>>
        + Send
        + Sync,
>;

/// Serves one address until it is stopped or dropped.
pub struct Server {
    address: SocketAddr,
    accepted_connections: Arc<AtomicU64>,
    handler: Handler,
    silent: Arc<AtomicU64>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Starts to serve `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            accepted_connections: Arc::default(),
            handler,
            silent: Arc::default(),
            task: Mutex::default(),
        };
        server.serve(listener);
        Ok(server)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted_connections.load(Ordering::Relaxed)
    }

    /// Serves the address again after [`Self::stop`].
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.serve(listener);
        Ok(())
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn stall_connections(&self) {
        self.silent.store(
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
        let silent = Arc::clone(&self.silent);
        let task = tokio::spawn(accept(listener, accepted_connections, silent, handler));
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
    silent: Arc<AtomicU64>,
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
            silent_below: Arc::clone(&silent),
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

/// Returns a JSON response.
///
/// # Panics
///
/// Panics when `value` cannot be written as JSON.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("a message is JSON");
    let body = Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {});
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body.boxed_unsync())
        .expect("a status and one header make a response")
}

/// Locks `mutex`, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
