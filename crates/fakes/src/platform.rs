//! A fake of the platform's list of hosts, which may show changes late.

use std::collections::VecDeque;
use std::io;
use std::iter;
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
    /// Host lists with the time of their change, from the one that is served to the newest.
    host_lists: VecDeque<(Instant, HostList)>,
    /// Bytes in front of the entries of the served list.
    odd_entry: Vec<u8>,
}

/// A fake platform that serves its host list until it is dropped.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform with an empty list on `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let weak = Arc::downgrade(&shared);
        let respond = Arc::new(move |_| respond(Weak::clone(&weak)).boxed());
        let server = Server::start(address, respond).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the time until a change shows in the served list.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.shared.inner).lag = lag;
    }

    /// Lists a host with `standing`, or removes it from the list when that is `None`. Either
    /// makes a new edition.
    pub fn set_host(&self, address: IpAddr, standing: Option<Standing>) {
        let mut inner = lock(&self.shared.inner);
        let now = Instant::now();
        if inner.host_lists.is_empty() {
            inner.host_lists.push_back((now, HostList::default()));
        }
        let newest = inner
            .host_lists
            .back()
            .map(|(_, host_list)| host_list.clone());
        let mut host_list = newest.unwrap_or_default();
        host_list.edition += 1;
        host_list.hosts.retain(|host| host.address != address);
        let host = standing.map(|standing| Host { address, standing });
        host_list.hosts.extend(host);
        inner.host_lists.push_back((now, host_list));
    }

    /// Serves `entry` as it is in front of the entries of the list; an empty one ends that.
    pub fn set_odd_entry(&self, entry: impl Into<Vec<u8>>) {
        lock(&self.shared.inner).odd_entry = entry.into();
    }

    /// Closes the listener and every connection at once; new connections are refused.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn respond(shared: Weak<Shared>) -> Result<Response<Body>, Disconnect> {
    let shared = shared.upgrade().ok_or(Disconnect)?;
    let mut inner = lock(&shared.inner);
    let lag = inner.lag;
    while inner.host_lists.len() > 1 && inner.host_lists[1].0.elapsed() >= lag {
        inner.host_lists.pop_front();
    }
    let host_list = inner
        .host_lists
        .front()
        .map(|(_, host_list)| host_list.clone());
    let host_list = host_list.unwrap_or_default();
    if inner.odd_entry.is_empty() {
        return Ok(server::json(200, &host_list));
    }
    let entries = host_list.hosts.iter().map(serde_json::to_vec);
    let entries = entries.filter_map(Result::ok);
    let entries: Vec<_> = iter::once(inner.odd_entry.clone()).chain(entries).collect();
    let mut body = format!(r#"{{"edition":{},"hosts":["#, host_list.edition).into_bytes();
    body.extend(entries.join(&b","[..]));
    body.extend(b"]}");
    Ok(server::json_bytes(200, body))
}
