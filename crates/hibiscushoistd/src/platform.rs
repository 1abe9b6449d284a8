//! Reads the platform's list of upstream hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use protocol::platform::HostList;
use transport::platform;
use transport::upstream::Limits;

const INTERVAL: Duration = Duration::from_millis(500);
/// Bounds one read of the list, which has two thousand entries of a few hundred bytes at most.
const LIMITS: Limits = Limits {
    body_limit: 4 << 20,
    connect_timeout: Duration::from_millis(1_000),
    head_timeout: Duration::from_millis(2_000),
    idle_timeout: Duration::from_millis(2_000),
};

/// Reads the list at `address` for as long as somebody looks at it; without an address the list
/// stays empty.
pub fn start(address: Option<SocketAddr>) -> watch::Receiver<Arc<HostList>> {
    let (publish, listing) = watch::channel(Arc::new(HostList::default()));
    if let Some(address) = address {
        tokio::spawn(read(address, publish));
    }
    listing
}

async fn read(address: SocketAddr, publish: watch::Sender<Arc<HostList>>) {
    while !publish.is_closed() {
        if let Ok(listing) = platform::fetch_hosts(address, LIMITS).await {
            publish.send_if_modified(|shown| {
                let newer = listing.edition > shown.edition;
                if newer {
                    *shown = Arc::new(listing);
                }
                newer
            });
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
