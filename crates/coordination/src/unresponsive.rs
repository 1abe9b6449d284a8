//! Detects unresponsive upstreams, and tells them from busy ones.
//!
//! An upstream that answers any request is alive. An upstream is unresponsive if it sends no byte
//! for longer than the work of its requests can take, neither for these nor for other requests: it
//! crashed without closing its connections, or it is partitioned. In a large fleet a host has few
//! requests at each upstream, so hosts share the time of the last byte from each. Where other hosts
//! get bytes and only this host gets none, the path to the upstream is broken; this takes a longer
//! timeout.

use std::collections::BTreeMap;

use state::time::Instant;

/// Time without a byte to any host after which an upstream with requests is unresponsive, in
/// milliseconds, on top of the time that their work takes: a few round trips and a full batch step.
pub const TIMEOUT_MS: u64 = 700;
/// The same for an upstream that sends bytes to other hosts, in milliseconds: a busy engine leaves
/// a single request without a byte for about a second beyond its work, and callers give up after
/// four seconds.
pub const PATH_TIMEOUT_MS: u64 = 1_500;

/// Time without a byte to any host after which it is checked whether an upstream with requests
/// still accepts connections, in milliseconds; reports of other hosts take up to half of it.
const QUIET_MS: u64 = 400;

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    due: Instant,
    sent_at: Instant,
}

/// The last bytes of an upstream, and the requests that wait for it.
#[derive(Clone, Debug, Default)]
struct Upstream {
    last_byte: Instant,
    last_remote_byte: Instant,
    /// ID of the first request that was sent since a suspicion ended.
    first_after: u64,
    waiting: BTreeMap<u64, Waiting>,
}

impl Upstream {
    /// Returns whether requests with this or a later ID have waited for too long.
    fn is_unresponsive(&self, now: Instant, first_id: u64) -> bool {
        let waiting = self.waiting.range(first_id..);
        let Some(due) = waiting.map(|(_, waiting)| waiting.due).min() else {
            return false;
        };
        let here = due.max(self.last_byte);
        let anywhere = here.max(self.last_remote_byte);
        now.since(anywhere) > TIMEOUT_MS || now.since(here) > PATH_TIMEOUT_MS
    }

    /// Returns the time of the last byte to any host.
    fn last_byte_anywhere(&self) -> Instant {
        self.last_byte.max(self.last_remote_byte)
    }
}

/// Tracks the last bytes of upstreams and the requests that wait for them.
#[derive(Clone, Debug, Default)]
pub struct UnresponsiveDetector {
    next_id: u64,
    upstreams: BTreeMap<String, Upstream>,
}

/// Identifies a request that waits for an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestId(u64);

impl UnresponsiveDetector {
    /// Records that a request whose work takes `work_ms` was sent, and returns its ID.
    pub fn record_sent(&mut self, now: Instant, id: impl Into<String>, work_ms: u64) -> RequestId {
        let request_id = RequestId(self.next_id);
        self.next_id += 1;
        let upstream = self.upstreams.entry(id.into()).or_default();
        let waiting = Waiting {
            due: now + work_ms,
            sent_at: now,
        };
        upstream.waiting.insert(request_id.0, waiting);
        request_id
    }

    /// Records that this host got bytes from the upstream.
    pub fn record_byte(&mut self, now: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.last_byte = upstream.last_byte.max(now);
        }
    }

    /// Records that another host got bytes from the upstream at `at`.
    pub fn record_remote_byte(&mut self, at: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.last_remote_byte = upstream.last_remote_byte.max(at);
        }
    }

    /// Returns the time since this host last got bytes from the upstream, in milliseconds, if it
    /// ever did.
    pub fn last_byte_age_ms(&self, now: Instant, id: &str) -> Option<u64> {
        let last_byte = self.upstreams.get(id)?.last_byte;
        (last_byte > Instant::default()).then(|| now.since(last_byte))
    }

    /// Records that a request no longer waits.
    pub fn record_end(&mut self, id: &str, request_id: RequestId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.waiting.remove(&request_id.0);
        }
    }

    /// Returns whether the upstream is unresponsive, or the path to it is broken.
    pub fn is_unresponsive(&self, now: Instant, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        upstream.is_unresponsive(now, 0)
    }

    /// Returns the upstreams that are unresponsive to requests sent since their last suspicion
    /// ended; earlier ones may wait on connections that are broken.
    pub fn unresponsive(&self, now: Instant) -> Vec<String> {
        let upstreams = self.upstreams.iter();
        let silent = upstreams.filter(|(_, u)| u.is_unresponsive(now, u.first_after));
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether no host got a byte from the upstream for longer than [`TIMEOUT_MS`].
    pub fn is_quiet(&self, now: Instant, id: &str) -> bool {
        let quiet = |u: &Upstream| now.since(u.last_byte_anywhere()) > TIMEOUT_MS;
        self.upstreams.get(id).is_some_and(quiet)
    }

    /// Returns whether an upstream with requests in flight should be checked, because no host got a
    /// byte lately and the oldest of the requests that wait is not new either.
    pub fn needs_check(&self, now: Instant, id: &str) -> bool {
        let needs_check = |upstream: &Upstream| {
            let waiting = upstream.waiting.values();
            let oldest = waiting.map(|waiting| waiting.sent_at).min();
            let quiet_since = upstream
                .last_byte_anywhere()
                .max(oldest.unwrap_or_default());
            now.since(quiet_since) > QUIET_MS
        };
        self.upstreams.get(id).is_some_and(needs_check)
    }

    /// Returns whether any host got a byte of the upstream after `earlier`.
    pub fn was_heard_after(&self, earlier: Instant, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| upstream.last_byte_anywhere() > earlier)
    }

    /// Records that a suspicion of the upstream ended.
    pub fn record_recovery(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.first_after = self.next_id;
        }
    }

    /// Removes the upstreams that `keep` rejects and that have no requests waiting.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let busy = |upstream: &Upstream| !upstream.waiting.is_empty();
        self.upstreams
            .retain(|id, upstream| keep(id) || busy(upstream));
    }
}
