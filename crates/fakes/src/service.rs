//! A fake service that counts how often it ran each order.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::server;
use crate::server::Body;
use crate::server::Disconnect;
use crate::server::Server;
use crate::server::lock;
use protocol::service;

/// Fault that a fake service injects into each call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Answers with status 503 and says that the call had no effect.
    Declines,
    /// Answers with status 500 before the call has an effect, and does not say so.
    Fails,
    /// Never answers, and the call has its effect.
    HangsAfter,
    /// Never answers, and the call has no effect.
    HangsBefore,
    /// Cuts the connection after the call had its effect.
    LosesAnswer,
    /// Has no fault.
    #[default]
    None,
}

/// Response to an order that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Id of the order.
    pub order: String,
    /// How often the order ran, including this time.
    pub runs: u64,
    /// Body of the call.
    pub text: String,
}

#[derive(Default)]
struct Shared {
    /// Number of calls that arrived.
    arrived: watch::Sender<u64>,
    fault: Mutex<Fault>,
    /// How often each order ran, by id.
    runs: Mutex<BTreeMap<String, u64>>,
}

/// A fake service that serves until it is dropped.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service on `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let weak = Arc::downgrade(&shared);
        let respond = Arc::new(move |request| respond(Weak::clone(&weak), request).boxed());
        let server = Server::start(address, respond).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until `count` calls have arrived in total, whatever their outcome.
    pub async fn wait_for_calls(&self, count: u64) {
        let mut arrived = self.shared.arrived.subscribe();
        let _ = arrived.wait_for(|a| *a >= count).await;
    }

    /// Returns how many calls arrived, including those that failed.
    pub fn calls(&self) -> u64 {
        *self.shared.arrived.borrow()
    }

    /// Sets the fault of calls that arrive from now on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Listens on the same address again after [`Self::stop`].
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Returns how often each order ran, by id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.runs).clone()
    }

    /// Stops all reads and writes on the open connections, without closing them; connections
    /// that are accepted later work.
    pub fn stall_connections(&self) {
        self.server.stall_connections();
    }

    /// Closes the listener and every connection at once; new connections are refused.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn respond(
    shared: Weak<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnect> {
    let shared = shared.upgrade().ok_or(Disconnect)?;
    let order = request.headers().get(service::ORDER_ID_HEADER);
    let order = order.and_then(|o| o.to_str().ok()).unwrap_or("");
    let order = order.to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| Disconnect)?;
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    shared.arrived.send_modify(|count| *count += 1);
    let fault = *lock(&shared.fault);
    match fault {
        Fault::Declines => return Ok(declined_response()),
        Fault::Fails => return Ok(server::json(500, &"failed")),
        Fault::HangsBefore => return std::future::pending().await,
        Fault::HangsAfter | Fault::LosesAnswer | Fault::None => {}
    }
    let runs = {
        let mut all = lock(&shared.runs);
        let runs = all.entry(order.clone()).or_default();
        *runs += 1;
        *runs
    };
    match fault {
        Fault::HangsAfter => std::future::pending().await,
        Fault::LosesAnswer => Err(Disconnect),
        _ => Ok(server::json(200, &Receipt { order, runs, text })),
    }
}

fn declined_response() -> Response<Body> {
    let mut response = server::json(503, &"declined");
    let value = service::NOT_RUN_TRUE
        .parse()
        .expect("the word is a valid header value");
    response
        .headers_mut()
        .insert(service::NOT_RUN_HEADER, value);
    response
}
