//! Silence: tells an upstream that answers nobody from one that is busy.
//!
//! An upstream that answers any request is alive. One that leaves requests without a byte for
//! longer than their work can take, and answers no other meanwhile, is silent: it crashed without
//! closing its connections, or it is cut off. In a large fleet a host has few requests at each
//! upstream, so hosts tell each other when they heard it last. Where only this host hears nothing,
//! the path to the upstream is broken; that verdict takes longer.

use std::collections::BTreeMap;

use state::time::Instant;

/// Gives the time without any byte after which an upstream with requests is silent, in
/// milliseconds, beside the time that their work takes; a few round trips and a full batch step.
pub const TIMEOUT_MS: u64 = 700;
/// Gives the same time for an upstream that other hosts hear, in milliseconds: a busy engine leaves
/// a single request without a byte for about a second beyond its work, and callers leave after
/// four.
pub const PATH_TIMEOUT_MS: u64 = 1_500;

#[derive(Clone, Debug, Default)]
struct Upstream {
    last_byte: Instant,
    last_remote_byte: Instant,
    waiting: BTreeMap<u64, Instant>,
}

/// Keeps when upstreams were last heard and which requests wait for them.
#[derive(Clone, Debug, Default)]
pub struct UnresponsiveDetector {
    next: u64,
    upstreams: BTreeMap<String, Upstream>,
}

/// Names a request that waits for an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestId(u64);

impl UnresponsiveDetector {
    /// Notes that a request whose work takes `work_ms` was sent, and returns its ticket.
    pub fn record_sent(&mut self, now: Instant, id: impl Into<String>, work_ms: u64) -> RequestId {
        let request_id = RequestId(self.next);
        self.next += 1;
        let upstream = self.upstreams.entry(id.into()).or_default();
        upstream.waiting.insert(request_id.0, now + work_ms);
        request_id
    }

    /// Notes a byte of the upstream.
    pub fn record_byte(&mut self, now: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.last_byte = upstream.last_byte.max(now);
        }
    }

    /// Notes that another host had a byte of the upstream at `at`.
    pub fn record_remote_byte(&mut self, at: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.last_remote_byte = upstream.last_remote_byte.max(at);
        }
    }

    /// Returns the time since this host had a byte of the upstream, in milliseconds, if it ever
    /// had.
    pub fn last_byte_age_ms(&self, now: Instant, id: &str) -> Option<u64> {
        let last_byte = self.upstreams.get(id)?.last_byte;
        (last_byte > Instant::default()).then(|| now.since(last_byte))
    }

    /// Notes that a request no longer waits.
    pub fn record_ended(&mut self, id: &str, request_id: RequestId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.waiting.remove(&request_id.0);
        }
    }

    /// Returns whether the upstream, or the path to it, is silent.
    pub fn is_unresponsive(&self, now: Instant, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let Some(due) = upstream.waiting.values().min() else {
            return false;
        };
        let here = (*due).max(upstream.last_byte);
        let anywhere = here.max(upstream.last_remote_byte);
        now.since(anywhere) > TIMEOUT_MS || now.since(here) > PATH_TIMEOUT_MS
    }

    /// Forgets all upstreams but those that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let busy = |upstream: &Upstream| !upstream.waiting.is_empty();
        self.upstreams
            .retain(|id, upstream| keep(id) || busy(upstream));
    }
}
