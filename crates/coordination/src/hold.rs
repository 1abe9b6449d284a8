//! Holds: upstreams that this host sends no requests because they asked for none in an answer, for
//! good or for a time.
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

/// Whether an upstream may be sent requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It has asked for nothing else.
    Free,
    /// It leaves.
    Leaving,
    /// It asked for a pause, which ends after this number of milliseconds.
    Paused(u64),
}

/// What one start of an upstream has asked for.
#[derive(Clone, Copy, Debug)]
struct Hold {
    leaving: bool,
    listed: bool,
    /// End of the latest pause.
    paused_until: Instant,
    recorded_at: Instant,
    /// Start of the upstream; 0 if unknown.
    started: u64,
}

impl Hold {
    /// Returns whether the upstream has started again since it asked.
    fn is_over(&self, started: u64) -> bool {
        self.started != 0 && started > self.started
    }

    /// Returns whether the upstream has asked for anything that still holds.
    fn binds(&self, now: Instant) -> bool {
        self.leaving || now < self.paused_until
    }
}

/// The holds of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    by_upstream: BTreeMap<String, Hold>,
}

impl Holds {
    /// Records that an upstream leaves and takes no new requests; `started` is the start that it
    /// was listed with when the request was sent, or 0. Returns whether that was unknown.
    pub fn record_leaving(&mut self, now: Instant, id: impl Into<String>, started: u64) -> bool {
        let Some(hold) = self.hold(now, id.into(), started) else {
            return false;
        };
        !std::mem::replace(&mut hold.leaving, true)
    }

    /// Records that an upstream asked for a pause; the latest end of several counts. Returns
    /// whether that begins a pause.
    pub fn record_pause(
        &mut self,
        now: Instant,
        id: impl Into<String>,
        started: u64,
        pause_ms: u64,
    ) -> bool {
        let Some(hold) = self.hold(now, id.into(), started) else {
            return false;
        };
        let begins = hold.paused_until <= now && pause_ms > 0;
        hold.paused_until = hold.paused_until.max(now + pause_ms);
        begins
    }

    /// Returns whether an upstream may be sent requests.
    pub fn state(&self, now: Instant, upstream: &Upstream) -> State {
        let hold = self.by_upstream.get(&upstream.id);
        match hold.filter(|hold| !hold.is_over(upstream.started)) {
            Some(hold) if hold.leaving => State::Leaving,
            Some(hold) if now < hold.paused_until => State::Paused(hold.paused_until.since(now)),
            _ => State::Free,
        }
    }

    /// Returns whether an upstream may be sent no request.
    pub fn is_held(&self, now: Instant, upstream: &Upstream) -> bool {
        self.state(now, upstream) != State::Free
    }

    /// Returns the hold of one start of an upstream, or none if a later start is known.
    fn hold(&mut self, now: Instant, id: String, started: u64) -> Option<&mut Hold> {
        self.by_upstream.retain(|_, hold| {
            let is_recent = now.since(hold.recorded_at) < UNLISTED_LIMIT_MS;
            hold.binds(now) && (hold.listed || is_recent)
        });
        let new = Hold {
            leaving: false,
            listed: true,
            paused_until: now,
            recorded_at: now,
            started,
        };
        let hold = self.by_upstream.entry(id).or_insert(new);
        if hold.is_over(started) {
            *hold = new;
        }
        hold.recorded_at = now;
        (started == 0 || started >= hold.started).then_some(hold)
    }

    /// Drops the holds of upstreams that have started again. An upstream whose start is unknown no
    /// longer counts as leaving once it is not listed, since a later start could not be told from
    /// it.
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
                None => {
                    hold.leaving &= hold.started != 0;
                    true
                }
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
