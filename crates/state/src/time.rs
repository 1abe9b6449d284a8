//! Points in time as plain numbers, so that a simulation can replay decisions from a seed.

use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process, in milliseconds.
///
/// Instants of different processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the milliseconds since `earlier`, or zero if `earlier` is later than this instant.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `millis` before this one, or zero if the clock started later.
    pub fn before(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}

impl Add<u64> for Instant {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}
