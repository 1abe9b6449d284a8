//! Short requests that wait at this host while all upstreams of their service are full, with what
//! wakes them. The order and the forecast are those of [`Line`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

use coordination::queue::returning::Digest;
use coordination::queue::short::Line;
use coordination::queue::short::Supply;
use coordination::queue::short::Verdict;
use coordination::queue::ticket::Ticket;
use state::time::Instant;
use transport::metric;

/// The line of one service.
#[derive(Default)]
struct Service {
    line: Line,
    waiters: BTreeMap<u64, oneshot::Sender<()>>,
}

impl Service {
    /// Calls the request that is next. Requests whose callers have left are passed over.
    fn call(&mut self, now: Instant) -> bool {
        while let Some(number) = self.line.call(now) {
            let waiter = self.waiters.remove(&number);
            if waiter.is_some_and(|waiter| waiter.send(()).is_ok()) {
                return true;
            }
        }
        false
    }
}

/// The lines of all services.
#[derive(Default)]
pub struct Desk {
    hosts: AtomicU32,
    services: Mutex<BTreeMap<String, Service>>,
}

/// A request that waits; it leaves its line when it is dropped.
pub struct Waiter {
    /// Resolves when the request is called.
    pub called: oneshot::Receiver<()>,
    desk: Arc<Desk>,
    number: u64,
    service: String,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut services = self.desk.lock();
        if let Some(service) = services.get_mut(&self.service) {
            service.line.leave(self.number);
            service.waiters.remove(&self.number);
        }
        count_waiting(&services);
    }
}

impl Desk {
    /// Records how many hosts send requests.
    pub fn set_hosts(&self, hosts: u64) {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.hosts.store(hosts, Ordering::Relaxed);
    }

    /// Returns the number of hosts that send requests.
    pub fn hosts(&self) -> u32 {
        self.hosts.load(Ordering::Relaxed).max(1)
    }

    /// Adds a request to the line of a service.
    ///
    /// # Errors
    ///
    /// Returns the time after which its caller should come back, in milliseconds, if it would not
    /// be taken in time.
    pub fn enter(
        self: &Arc<Self>,
        now: Instant,
        service: impl Into<String>,
        ticket: Ticket,
        digest: Digest,
        supply: Supply,
    ) -> Result<Waiter, u64> {
        let service = service.into();
        let mut services = self.lock();
        let entry = services.entry(service.clone()).or_default();
        match entry.line.enter(now, ticket, digest, supply) {
            Verdict::Rejected { retry_after_ms } => Err(retry_after_ms),
            Verdict::Waits(number) => {
                let (sender, called) = oneshot::channel();
                entry.waiters.insert(number, sender);
                count_waiting(&services);
                Ok(Waiter {
                    called,
                    desk: self.clone(),
                    number,
                    service,
                })
            }
        }
    }

    /// Records that a request is rejected, and returns the time after which its caller should come
    /// back, in milliseconds.
    pub fn refuse(&self, now: Instant, service: &str, digest: Digest, supply: Supply) -> u64 {
        let mut services = self.lock();
        let entry = services.entry(service.to_owned()).or_default();
        entry.line.refuse(now, digest, supply)
    }

    /// Returns whether a request waits that comes before one with this ticket; if none does, the
    /// one with the ticket counts as sent.
    pub fn is_behind(&self, now: Instant, service: &str, ticket: &Ticket) -> bool {
        let mut services = self.lock();
        let Some(entry) = services.get_mut(service) else {
            return false;
        };
        let is_behind = entry.line.is_behind(now, ticket);
        if !is_behind {
            entry.line.record_sent(now, ticket.workspace.clone());
        }
        is_behind
    }

    /// Records that a request of a service ended here, which leaves room for another one;
    /// `held_ms` is the time for which the upstream held a short request that it took.
    pub fn record_end(&self, now: Instant, service: &str, held_ms: Option<u64>) {
        let mut services = self.lock();
        let entry = services.entry(service.to_owned()).or_default();
        if let Some(held_ms) = held_ms {
            entry.line.record_end(now, held_ms);
        }
        entry.call(now);
    }

    /// Calls up to `count` requests of a service.
    pub fn call(&self, now: Instant, service: &str, count: u32) {
        let mut services = self.lock();
        if let Some(entry) = services.get_mut(service) {
            for _ in 0..count {
                if !entry.call(now) {
                    break;
                }
            }
        }
    }

    /// Returns the time for which upstreams of a service held the last requests, in milliseconds;
    /// 0 if it is unknown.
    pub fn held_ms(&self, service: &str) -> u64 {
        let services = self.lock();
        let held_ms = services.get(service).and_then(|entry| entry.line.held_ms());
        held_ms.unwrap_or_default()
    }

    /// Returns the services in whose lines requests wait.
    pub fn waiting_services(&self) -> Vec<String> {
        let services = self.lock();
        let waiting = services.iter().filter(|(_, entry)| !entry.line.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the number of requests that wait for a service.
    pub fn waiting(&self, service: &str) -> usize {
        let services = self.lock();
        services.get(service).map_or(0, |entry| entry.line.len())
    }

    /// Drops the lines of services that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock()
            .retain(|service, entry| !entry.line.is_empty() || is_listed(service));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Service>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Publishes the number of requests that wait.
fn count_waiting(services: &BTreeMap<String, Service>) {
    let waiting: usize = services.values().map(|entry| entry.line.len()).sum();
    metrics::gauge!(metric::SHORT_WAITING).set(waiting as f64);
}
