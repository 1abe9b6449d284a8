//! Named leases with fencing tokens, kept in the replicated log.
//!
//! Log time never runs ahead of real time by more than [`MAX_CLOCK_DRIFT_PERMILLE`]. A holder
//! measures the lease on its own clock, from before it sent the request, and stops early enough for
//! both clocks to be off by that much.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// Maximum error of the rate of any clock, in parts per thousand.
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;

/// Returns the longest time that one clock may measure while no other clock measures more than
/// `duration_ms`, if the rate of both is off by at most [`MAX_CLOCK_DRIFT_PERMILLE`].
pub fn shorten_for_clock_drift(duration_ms: u64) -> u64 {
    duration_ms.saturating_mul(1000 - MAX_CLOCK_DRIFT_PERMILLE) / (1000 + MAX_CLOCK_DRIFT_PERMILLE)
}

/// Request to acquire, renew or release a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Duration of the lease, in milliseconds; 0 releases it.
    pub duration_ms: u64,
    /// Name of the requester and of its run, so that a restarted process counts as another holder.
    pub holder: String,
    /// Name of the lease.
    pub name: String,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The requester holds the lease.
    Granted(Grant),
    /// Another holder has the lease.
    Held {
        /// Fencing token of that holder.
        fence: u64,
        /// Name of that holder.
        holder: String,
    },
    /// The requester does not hold the lease any more.
    Released,
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Duration of the lease, in milliseconds of log time.
    pub duration_ms: u64,
    /// Fencing token, greater than that of any earlier holder of any lease.
    pub fence: u64,
}

impl Grant {
    /// Returns the time on the holder's clock at which it must stop acting under the lease.
    ///
    /// `requested_at` is a time on the same clock from before the request was sent.
    pub fn expires_at(&self, requested_at: Instant) -> Instant {
        requested_at + shorten_for_clock_drift(self.duration_ms)
    }
}

/// A lease as the replicated log records it; it expires at a log time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Held {
    fence: u64,
    holder: String,
    expires_at_ms: u64,
}

/// All leases, and the newest fencing token.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leases {
    fence: u64,
    held: BTreeMap<String, Held>,
}

impl Leases {
    /// Grants, renews, releases or refuses a lease at the log time `now`.
    pub fn request(&mut self, now: u64, request: &Request) -> Answer {
        self.held.retain(|_, held| held.expires_at_ms > now);
        match self.held.get_mut(&request.name) {
            Some(held) if held.holder != request.holder => Answer::Held {
                fence: held.fence,
                holder: held.holder.clone(),
            },
            Some(_) if request.duration_ms == 0 => {
                self.held.remove(&request.name);
                Answer::Released
            }
            None if request.duration_ms == 0 => Answer::Released,
            Some(held) => {
                held.expires_at_ms = held
                    .expires_at_ms
                    .max(now.saturating_add(request.duration_ms));
                Answer::Granted(Grant {
                    duration_ms: request.duration_ms,
                    fence: held.fence,
                })
            }
            None => Answer::Granted(self.grant(now, request)),
        }
    }

    /// Returns the holder of the lease `name` and its fencing token at the log time `now`.
    pub fn holder(&self, now: u64, name: impl AsRef<str>) -> Option<(&str, u64)> {
        let held = self.held.get(name.as_ref())?;
        (held.expires_at_ms > now).then_some((held.holder.as_str(), held.fence))
    }

    fn grant(&mut self, now: u64, request: &Request) -> Grant {
        self.fence += 1;
        let held = Held {
            fence: self.fence,
            holder: request.holder.clone(),
            expires_at_ms: now.saturating_add(request.duration_ms),
        };
        self.held.insert(request.name.clone(), held);
        Grant {
            duration_ms: request.duration_ms,
            fence: self.fence,
        }
    }
}
