//! Computes when callers should retry while this host cannot serve because there is no leader.
//!
//! Most outages end once the voters have elected a leader. An outage that lasts longer has another
//! cause, and is likely to last about as long again.

use state::time::Instant;

/// Time in which the voters elect a leader and hosts get its first update, in milliseconds: the
/// start of a process, an election timeout and a round of requests.
const TYPICAL_OUTAGE_MS: u64 = 1_700;
/// Shortest time after which a caller is told to retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 400;
/// Longest time after which a caller is told to retry, in milliseconds, before jitter; most callers
/// wait no longer.
const MAX_RETRY_AFTER_MS: u64 = 8_000;
/// Jitter of the retry time, as a divisor of that time, so that callers do not return all at once.
const JITTER_DIVISOR: u64 = 4;

/// A period in which this host cannot serve.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    since: Instant,
}

impl Outage {
    /// Returns an outage that began at `since`.
    pub fn new(since: Instant) -> Self {
        Self { since }
    }

    /// Returns the time after which a caller should retry, in milliseconds; `random` is the jitter.
    pub fn retry_after_ms(&self, now: Instant, random: u64) -> u64 {
        let elapsed_ms = now.since(self.since);
        let expected_ms = match elapsed_ms < TYPICAL_OUTAGE_MS {
            false => elapsed_ms,
            true => TYPICAL_OUTAGE_MS - elapsed_ms,
        };
        let expected_ms = expected_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        expected_ms + random % (expected_ms / JITTER_DIVISOR + 1)
    }
}
