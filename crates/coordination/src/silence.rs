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
pub const LIMIT_MS: u64 = 700;
/// Gives the same time for an upstream that other hosts hear, in milliseconds: a busy engine leaves
/// a single request without a byte for about a second beyond its work, and callers leave after
/// four.
pub const PATH_LIMIT_MS: u64 = 1_500;

#[derive(Clone, Debug, Default)]
struct Upstream {
    heard: Instant,
    heard_elsewhere: Instant,
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

    /// Notes that another host had a byte of the upstream at `at`.
    pub fn heard_elsewhere(&mut self, at: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.heard_elsewhere = upstream.heard_elsewhere.max(at);
        }
    }

    /// Returns the time since this host had a byte of the upstream, in milliseconds, if it ever
    /// had.
    pub fn last_byte_age_ms(&self, now: Instant, id: &str) -> Option<u64> {
        let heard = self.upstreams.get(id)?.heard;
        (heard > Instant::default()).then(|| now.since(heard))
    }

    /// Notes that a request no longer waits.
    pub fn ended(&mut self, id: &str, ticket: Ticket) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.waiting.remove(&ticket.0);
        }
    }

    /// Returns whether the upstream, or the path to it, is silent.
    pub fn is_silent(&self, now: Instant, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let Some(due) = upstream.waiting.values().min() else {
            return false;
        };
        let here = (*due).max(upstream.heard);
        let anywhere = here.max(upstream.heard_elsewhere);
        now.since(anywhere) > LIMIT_MS || now.since(here) > PATH_LIMIT_MS
    }

    /// Forgets all upstreams but those that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let busy = |upstream: &Upstream| !upstream.waiting.is_empty();
        self.upstreams
            .retain(|id, upstream| keep(id) || busy(upstream));
    }
}
