//! A stand-in for a plain service that counts each order it ran.

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

/// Names a fault of a stand-in service.
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

/// Answers an order that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Names the order.
    pub order: String,
    /// Counts how often the order ran, this time included.
    pub runs: u64,
    /// Repeats the body of the call.
    pub text: String,
}

#[derive(Default)]
struct Shared {
    arrived: watch::Sender<u64>,
    fault: Mutex<Fault>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// Runs a stand-in service until it is dropped.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service on `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let weak = Arc::downgrade(&shared);
        let respond = Arc::new(move |request| respond(Weak::clone(&weak), request).boxed());
        let server = Server::start(address, respond).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until `count` calls have arrived, whatever became of them.
    pub async fn wait_for_calls(&self, count: u64) {
        let mut arrived = self.shared.arrived.subscribe();
        let _ = arrived.wait_for(|a| *a >= count).await;
    }

    /// Returns how many calls arrived.
    pub fn calls(&self) -> u64 {
        *self.shared.arrived.borrow()
    }

    /// Switches the fault.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Serves again after [`Self::stop`].
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Returns how often each order ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.runs).clone()
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn stall_connections(&self) {
        self.server.stall_connections();
    }

    /// Cuts every connection and refuses new ones.
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
        Fault::Declines => return Ok(declined()),
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

fn declined() -> Response<Body> {
    let mut response = server::json(503, &"declined");
    let value = service::NOT_RUN_TRUE.parse().expect("a word is a value");
    response
        .headers_mut()
        .insert(service::NOT_RUN_HEADER, value);
    response
}
