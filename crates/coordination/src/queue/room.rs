//! What a host knows of the room that an upstream has for one more request.
//!
//! An upstream holds as many requests as run there and a few more that wait, and rejects others
//! without running them. How many that is shows when one of the service rejects a request and tells
//! its load. A host compares it with the last told load and its own requests since, and with the
//! sum of the requests of all hosts.

use crate::load::told::Told;
use state::time::Instant;

/// How long an upstream that rejected a request gets no further one, in milliseconds, unless it
/// tells before that it has room.
pub const REFUSAL_PAUSE_MS: u64 = 250;
/// Age up to which a told load counts, in milliseconds. Requests of other hosts change it within a
/// few times the length of a short answer.
const TOLD_MAX_AGE_MS: u64 = 200;
/// How long a request may probe an upstream before another one may, in milliseconds; its answer
/// would have begun.
const PROBE_LIMIT_MS: u64 = 1_000;

/// Room of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// Requests of this host sent since the told load, less those that ended.
    change: i64,
    probed_at: Option<Instant>,
    refused_at: Option<Instant>,
    told: Option<(Instant, u32)>,
}

impl Room {
    /// Records that this host sends a request there. After a rejection it probes the upstream.
    pub fn record_sent(&mut self, now: Instant) {
        self.change += 1;
        if self.refused_at.is_some() {
            self.probed_at = Some(now);
        }
    }

    /// Records that a request of this host there has ended.
    pub fn record_end(&mut self) {
        self.change -= 1;
    }

    /// Records that the upstream accepted a request, and the load that it told with the answer.
    pub fn record_accepted(&mut self, now: Instant, told: Option<Told>) {
        self.refused_at = None;
        self.probed_at = None;
        if let Some(count) = told.map(|told| told.count()) {
            self.told = Some((now, count));
            self.change = 0;
        }
    }

    /// Records that the upstream rejected a request, and the load that it told with that.
    pub fn record_refused(&mut self, now: Instant, told: Option<Told>) {
        self.refused_at = Some(now);
        self.probed_at = None;
        if let Some(told) = told {
            self.told = Some((now, told.count()));
            self.change = 0;
        }
    }

    /// Returns whether the upstream rejected a request so lately that it gets no other one, or one
    /// that probes it has no answer yet.
    pub fn is_closed(&self, now: Instant) -> bool {
        let is_paused = self
            .refused_at
            .is_some_and(|at| now.since(at) <= REFUSAL_PAUSE_MS);
        let is_probed = self
            .probed_at
            .is_some_and(|at| now.since(at) <= PROBE_LIMIT_MS);
        is_paused || is_probed
    }

    /// Returns how many further requests the upstream has room for, where it holds up to `limit`
    /// and all hosts have `sum` in flight there.
    pub fn left(&self, now: Instant, limit: u32, sum: u32) -> u32 {
        if self.is_closed(now) {
            return 0;
        }
        let told = self
            .told
            .filter(|(at, _)| now.since(*at) <= TOLD_MAX_AGE_MS);
        let told = told.map(|(_, count)| (i64::from(count) + self.change).max(0));
        let told = told.map_or(0, |count| u32::try_from(count).unwrap_or(u32::MAX));
        let left = limit.saturating_sub(told.max(sum));
        // After a rejection one request shows whether there is room.
        match self.refused_at {
            None => left,
            Some(_) => left.min(1),
        }
    }
}
