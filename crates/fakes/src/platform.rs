//! A stand-in for the platform's list of upstream hosts, which may lag.

use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use futures::FutureExt;
use hyper::Response;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::server;
use crate::server::Body;
use crate::server::Disconnect;
use crate::server::Server;
use crate::server::lock;
use protocol::platform::Host;
use protocol::platform::HostList;
use protocol::platform::Standing;

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    lag: Duration,
    listings: VecDeque<(Instant, HostList)>,
}

/// Runs a stand-in list until it is dropped.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts an empty list on `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let weak = Arc::downgrade(&shared);
        let respond = Arc::new(move |_| respond(Weak::clone(&weak)).boxed());
        let server = Server::start(address, respond).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shows changes only after `lag`.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.shared.inner).lag = lag;
    }

    /// Lists a host, or takes it off the list.
    pub fn set_host(&self, address: IpAddr, standing: Option<Standing>) {
        let mut inner = lock(&self.shared.inner);
        let now = Instant::now();
        if inner.listings.is_empty() {
            inner.listings.push_back((now, HostList::default()));
        }
        let newest = inner.listings.back().map(|(_, listing)| listing.clone());
        let mut listing = newest.unwrap_or_default();
        listing.edition += 1;
        listing.hosts.retain(|host| host.address != address);
        let host = standing.map(|standing| Host { address, standing });
        listing.hosts.extend(host);
        inner.listings.push_back((now, listing));
    }

    /// Cuts every connection and refuses new ones.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn respond(shared: Weak<Shared>) -> Result<Response<Body>, Disconnect> {
    let shared = shared.upgrade().ok_or(Disconnect)?;
    let mut inner = lock(&shared.inner);
    let lag = inner.lag;
    while inner.listings.len() > 1 && inner.listings[1].0.elapsed() >= lag {
        inner.listings.pop_front();
    }
    let listing = inner.listings.front().map(|(_, listing)| listing.clone());
    Ok(server::json(200, &listing.unwrap_or_default()))
}
