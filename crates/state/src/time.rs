//! Points in time and lengths of time as plain numbers, so that decisions replay from a seed.

use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// Represents a point on one process's monotonic clock, in milliseconds.
///
/// Instants of two processes do not compare.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the milliseconds since `earlier`, or zero where `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time that lies `millis` back, or the first of the clock.
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
