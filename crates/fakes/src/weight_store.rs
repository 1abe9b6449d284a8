//! A fake weight store, which slows down when many loads run at once.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use futures::FutureExt;
use hyper::Response;
use tokio::time::Duration;

use crate::server;
use crate::server::Body;
use crate::server::Disconnect;
use crate::server::Server;

/// Numbers of loads that run now, and that ran at once at most.
#[derive(Default)]
struct Loads {
    max_concurrent: AtomicU32,
    current: AtomicU32,
}

/// A fake weight store that serves until it is dropped.
pub struct WeightStore {
    loads: Arc<Loads>,
    server: Server,
}

impl WeightStore {
    /// Starts a store on `address` that takes `time` for each load while at most `limit` run, and
    /// longer in proportion when more do.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr, time: Duration, limit: u32) -> io::Result<Self> {
        let loads = Arc::new(Loads::default());
        let counted = Arc::clone(&loads);
        let respond = Arc::new(move |_| load(Arc::clone(&counted), time, limit).boxed());
        let server = Server::start(address, respond).await?;
        Ok(Self { loads, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the highest number of loads that ran at the same time.
    pub fn max_concurrent_loads(&self) -> u32 {
        self.loads.max_concurrent.load(Ordering::SeqCst)
    }

    /// Closes the listener and every connection at once; new connections are refused.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn load(loads: Arc<Loads>, time: Duration, limit: u32) -> Result<Response<Body>, Disconnect> {
    let running = loads.current.fetch_add(1, Ordering::SeqCst) + 1;
    loads.max_concurrent.fetch_max(running, Ordering::SeqCst);
    let slowed = time * running.max(limit) / limit.max(1);
    tokio::time::sleep(slowed).await;
    loads.current.fetch_sub(1, Ordering::SeqCst);
    Ok(server::json(200, &"weights"))
}
