//! Holds: upstreams that this host sends no requests because they asked for none in an answer.
//!
//! A hold binds whatever the published list says and however few other upstreams there are. It
//! belongs to one start of an upstream, so one that starts again under the same ID is free of it.

use std::collections::BTreeMap;

use crate::upstream::Fleet;
use crate::upstream::Upstream;
use state::time::Instant;

/// How long the hold of an upstream that is no longer listed is kept, in milliseconds; the entry of
/// an upstream that still runs may be missing from the list for a while.
const UNLISTED_LIMIT_MS: u64 = 600_000;

/// What one start of an upstream has asked for.
#[derive(Clone, Copy, Debug)]
struct Hold {
    listed: bool,
    recorded_at: Instant,
    /// Start of the upstream; 0 if unknown.
    started: u64,
}

impl Hold {
    /// Returns whether the upstream has started again since it asked.
    fn is_over(&self, started: u64) -> bool {
        self.started != 0 && started > self.started
    }
}

/// The holds of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    by_upstream: BTreeMap<String, Hold>,
}

impl Holds {
    /// Records that an upstream leaves and takes no new requests; `started` is the start that it
    /// was listed with when the request was sent, or 0. Returns whether that begins a hold.
    pub fn record_leaving(&mut self, now: Instant, id: impl Into<String>, started: u64) -> bool {
        self.by_upstream
            .retain(|_, hold| hold.listed || now.since(hold.recorded_at) < UNLISTED_LIMIT_MS);
        let id = id.into();
        let known = self.by_upstream.get(&id);
        if known.is_some_and(|hold| !hold.is_over(started)) {
            return false;
        }
        let hold = Hold {
            listed: true,
            recorded_at: now,
            started,
        };
        self.by_upstream.insert(id, hold);
        true
    }

    /// Returns whether an upstream may be sent no request.
    pub fn is_held(&self, upstream: &Upstream) -> bool {
        let hold = self.by_upstream.get(&upstream.id);
        hold.is_some_and(|hold| !hold.is_over(upstream.started))
    }

    /// Drops the holds of upstreams that have started again, and of those that are no longer listed
    /// and whose start is unknown, since a later one could not be told from it.
    pub fn sync(&mut self, fleet: &Fleet) {
        if self.by_upstream.is_empty() {
            return;
        }
        let starts = fleet.upstreams.iter().map(|u| (u.id.as_str(), u.started));
        let starts: BTreeMap<&str, u64> = starts.collect();
        self.by_upstream.retain(|id, hold| {
            let started = starts.get(id.as_str()).copied();
            hold.listed = started.is_some();
            match started {
                None => hold.started != 0,
                Some(started) if hold.is_over(started) => false,
                Some(started) => {
                    // An entry that lacked the start may name it later.
                    hold.started = hold.started.max(started);
                    true
                }
            }
        });
    }
}
