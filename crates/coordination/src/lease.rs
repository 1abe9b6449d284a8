//! Named leases with fencing tokens, kept in the replicated log.
//!
//! Log time never runs ahead of real time by more than [`MAX_CLOCK_DRIFT_PERMILLE`]. A holder
//! measures the lease on its own clock, from before it sent the request, and stops early enough for
//! both clocks to be off by that much.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// Bounds how far the rate of any clock may be off, in parts per thousand.
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;

/// Returns how much of `millis` a clock may count while any other clock counts no more than it.
pub fn shorten_for_clock_drift(millis: u64) -> u64 {
    millis.saturating_mul(1000 - MAX_CLOCK_DRIFT_PERMILLE) / (1000 + MAX_CLOCK_DRIFT_PERMILLE)
}

/// Asks for a lease, for its renewal or for its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Gives how long it should last, in milliseconds; 0 ends it.
    pub duration_ms: u64,
    /// Names the asker and its run, so that a restart counts as another holder.
    pub holder: String,
    /// Names the lease.
    pub name: String,
}

/// Answers a [`Request`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// Grants the lease.
    Granted(Grant),
    /// Names the present holder and its fencing number.
    Held {
        /// Holds the fencing number.
        fence: u64,
        /// Names the holder.
        holder: String,
    },
    /// Confirms that the asker does not hold the lease.
    Released,
}

/// Describes a lease to its holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Gives how long it lasts, in milliseconds of the log's time.
    pub duration_ms: u64,
    /// Holds the fencing number, greater than that of any earlier holder.
    pub fence: u64,
}

impl Grant {
    /// Returns when the holder must stop, on its own clock that read `asked` before it asked.
    pub fn expires_at(&self, asked: Instant) -> Instant {
        asked + shorten_for_clock_drift(self.duration_ms)
    }
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Held {
    fence: u64,
    holder: String,
    until: u64,
}

/// Holds all leases.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leases {
    fence: u64,
    held: BTreeMap<String, Held>,
}

impl Leases {
    /// Grants, renews, ends or refuses a lease at the log's time `now`.
    pub fn request(&mut self, now: u64, ask: &Request) -> Answer {
        self.held.retain(|_, held| held.until > now);
        match self.held.get_mut(&ask.name) {
            Some(held) if held.holder != ask.holder => Answer::Held {
                fence: held.fence,
                holder: held.holder.clone(),
            },
            Some(_) if ask.duration_ms == 0 => {
                self.held.remove(&ask.name);
                Answer::Released
            }
            None if ask.duration_ms == 0 => Answer::Released,
            Some(held) => {
                held.until = held.until.max(now.saturating_add(ask.duration_ms));
                Answer::Granted(Grant {
                    duration_ms: ask.duration_ms,
                    fence: held.fence,
                })
            }
            None => Answer::Granted(self.grant(now, ask)),
        }
    }

    /// Returns the holder of the lease `name` and its fencing number at the log's time `now`.
    pub fn holder(&self, now: u64, name: impl AsRef<str>) -> Option<(&str, u64)> {
        let held = self.held.get(name.as_ref())?;
        (held.until > now).then_some((held.holder.as_str(), held.fence))
    }

    fn grant(&mut self, now: u64, ask: &Request) -> Grant {
        self.fence += 1;
        let held = Held {
            fence: self.fence,
            holder: ask.holder.clone(),
            until: now.saturating_add(ask.duration_ms),
        };
        self.held.insert(ask.name.clone(), held);
        Grant {
            duration_ms: ask.duration_ms,
            fence: self.fence,
        }
    }
}
