//! Outage: tells callers when to come back while this host cannot serve for want of a leader.
//!
//! Most outages end once the voters have elected a leader. One that lasts longer has another cause,
//! and is as likely to last as long again.

use state::time::Instant;

/// Gives the time in which the voters elect a leader and hosts hear from it, in milliseconds: the
/// start of a process, an election timeout and a round of asks.
const USUAL_MS: u64 = 1_700;
/// Gives the least time after which a caller is told to come back, in milliseconds.
const LEAST_MS: u64 = 400;
/// Bounds that time, in milliseconds; most callers wait no longer.
const MOST_MS: u64 = 8_000;
/// Spreads callers that return over this part of the time, as a divisor.
const SPREAD: u64 = 4;

/// Keeps since when a host cannot serve.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    since: Instant,
}

impl Outage {
    /// Returns an outage that began at `since`.
    pub fn new(since: Instant) -> Self {
        Self { since }
    }

    /// Returns when a caller should come back, in milliseconds; `draw` spreads callers.
    pub fn retry_after_ms(&self, now: Instant, draw: u64) -> u64 {
        let lasted = now.since(self.since);
        let left = match lasted < USUAL_MS {
            false => lasted,
            true => USUAL_MS - lasted,
        };
        let left = left.clamp(LEAST_MS, MOST_MS);
        left + draw % (left / SPREAD + 1)
    }
}
