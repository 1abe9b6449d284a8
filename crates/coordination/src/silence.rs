//! Silence: tells an upstream that answers nobody from one that is busy.
//!
//! An upstream that answers any request is alive. One that leaves requests without a byte for
//! longer than their work can take, and answers no other meanwhile, is silent: it crashed without
//! closing its connections, or it is cut off.

use std::collections::BTreeMap;

use state::time::Instant;

/// Gives the time without any byte after which an upstream with requests is silent, in
/// milliseconds, beside the time that their work takes; a few round trips and a full batch step.
pub const LIMIT_MS: u64 = 700;

#[derive(Clone, Debug, Default)]
struct Upstream {
    heard: Instant,
    waiting: BTreeMap<u64, Instant>,
}

/// Keeps when upstreams were last heard and which requests wait for them.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    next: u64,
    upstreams: BTreeMap<String, Upstream>,
}

/// Names a request that waits for an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket(u64);

impl Silence {
    /// Notes that a request whose work takes `work_ms` was sent, and returns its ticket.
    pub fn sent(&mut self, now: Instant, id: impl Into<String>, work_ms: u64) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let upstream = self.upstreams.entry(id.into()).or_default();
        upstream.waiting.insert(ticket.0, now + work_ms);
        ticket
    }

    /// Notes a byte of the upstream.
    pub fn heard(&mut self, now: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.heard = upstream.heard.max(now);
        }
    }

    /// Notes that a request no longer waits.
    pub fn ended(&mut self, id: &str, ticket: Ticket) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.waiting.remove(&ticket.0);
        }
    }

    /// Returns whether the upstream is silent.
    pub fn is_silent(&self, now: Instant, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let oldest = upstream.waiting.values().min();
        oldest.is_some_and(|due| now.since((*due).max(upstream.heard)) > LIMIT_MS)
    }

    /// Forgets all upstreams but those that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let busy = |upstream: &Upstream| !upstream.waiting.is_empty();
        self.upstreams
            .retain(|id, upstream| keep(id) || busy(upstream));
    }
}
