//! Reads the platform's list of upstream hosts.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;

use protocol::platform::HostList;
use transport::event;
use transport::event::Event;
use transport::metric;
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
pub fn start(address: Option<SocketAddr>, log: Logger) -> watch::Receiver<Arc<HostList>> {
    let (publish, listing) = watch::channel(Arc::new(HostList::default()));
    if let Some(address) = address {
        tokio::spawn(read(address, publish, log));
    }
    listing
}

async fn read(address: SocketAddr, publish: watch::Sender<Arc<HostList>>, log: Logger) {
    let mut fails = false;
    let mut malformed = 0;
    while !publish.is_closed() {
        match platform::fetch_hosts(address, LIMITS).await {
            Err(error) => {
                metrics::counter!(metric::HOST_LIST_FAILURES).increment(1);
                if !fails {
                    let details = slog::o!("error" => error.to_string());
                    event::emit(&log, Event::HostListFailed, details);
                }
                fails = true;
            }
            Ok(listing) => {
                fails = false;
                if malformed != listing.malformed {
                    malformed = listing.malformed;
                    note_malformed(&listing, &log);
                }
                show(listing, &publish);
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn note_malformed(listing: &HostList, log: &Logger) {
    metrics::gauge!(metric::HOST_LIST_MALFORMED_ENTRIES).set(listing.malformed as f64);
    let error = listing.error.clone().unwrap_or_default();
    let details = slog::o!("entries" => listing.malformed, "error" => error);
    event::emit(log, Event::HostListMalformed, details);
}

/// Publishes a later list, or a sounder copy of the same one.
fn show(listing: HostList, publish: &watch::Sender<Arc<HostList>>) {
    publish.send_if_modified(|shown| {
        let rank = |listing: &HostList| (listing.edition, Reverse(listing.malformed));
        let newer = rank(&listing) > rank(shown);
        if newer {
            *shown = Arc::new(listing);
        }
        newer
    });
}
