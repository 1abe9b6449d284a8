//! Which callers come back after a refusal, and when they should.
//!
//! Callers who were refused together must not come back together: each gets a time of its own,
//! spaced by the work that engines can do for them, and is served before new callers then.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use state::time::Instant;

/// Number of refused requests that are remembered; the longest waiting are forgotten first.
const REMEMBERED_LIMIT: usize = 4_096;
/// How long a refused request is remembered, in milliseconds; callers give up before.
const REMEMBERED_MS: u64 = 15_000;
/// Shortest time after which a caller is told to come back, in milliseconds: a new connection
/// earlier would find the same load.
const MIN_RETRY_MS: u64 = 500;
/// Longest such time, in milliseconds; a caller who is told more gives up.
const MAX_RETRY_MS: u64 = 4_000;
/// Part of what engines do that is set aside for callers who come back, as a divisor.
const SHARE_DIVISOR: u64 = 2;

/// Digest of a request that stays the same when its caller sends it again.
pub type Digest = u64;

/// The requests that were refused lately.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    next: Instant,
    order: VecDeque<(Instant, Digest)>,
    refused: BTreeMap<Digest, Instant>,
}

impl Returns {
    /// Returns whether a request was refused lately.
    pub fn is_returning(&self, now: Instant, digest: Digest) -> bool {
        let at = self.refused.get(&digest);
        at.is_some_and(|at| now.since(*at) <= REMEMBERED_MS)
    }

    /// Records that a request is refused which would take one of `engines` for `work_ms`. Returns
    /// the time after which its caller should come back, in milliseconds.
    pub fn refuse(&mut self, now: Instant, digest: Digest, work_ms: u64, engines: usize) -> u64 {
        self.order.push_back((now, digest));
        self.refused.insert(digest, now);
        while let Some((at, oldest)) = self.order.front().copied()
            && (self.order.len() > REMEMBERED_LIMIT || now.since(at) > REMEMBERED_MS)
        {
            self.order.pop_front();
            if self.refused.get(&oldest) == Some(&at) {
                self.refused.remove(&oldest);
            }
        }
        let first = now + MIN_RETRY_MS;
        let at = self.next.max(first);
        let gap_ms = (work_ms * SHARE_DIVISOR).div_ceil(engines.max(1) as u64);
        self.next = at + gap_ms;
        at.since(now).min(MAX_RETRY_MS)
    }
}
