//! The connections to all other daemons, one each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use transport::peer::Client;
use transport::peer::Options;
use transport::peer_handshake::Identity;

/// Names the daemon at the end of a connection.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Target {
    address: SocketAddr,
    host: Option<String>,
}

/// Keeps one client for each other daemon.
#[derive(Clone, Debug)]
pub struct Pool {
    clients: Arc<Mutex<HashMap<Target, Client>>>,
    identity: Arc<Identity>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(identity: Arc<Identity>) -> Self {
        Self {
            clients: Arc::default(),
            identity,
        }
    }

    /// Returns the client of the daemon at `address`; one of another name than `host` is refused.
    pub fn client(&self, address: SocketAddr, host: Option<String>) -> Client {
        let target = Target { address, host };
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(target.clone()).or_insert_with(|| {
            Client::new(
                Arc::clone(&self.identity),
                target.address,
                target.host,
                Options::default(),
            )
        });
        client.clone()
    }

    /// Returns a client of the daemon at `address` that shares no connection with others.
    pub fn new_client(&self, address: SocketAddr) -> Client {
        let identity = Arc::clone(&self.identity);
        Client::new(identity, address, None, Options::default())
    }

    /// Forgets the clients of daemons that are not at one of `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|target, _| addresses.contains(&target.address));
    }
}
