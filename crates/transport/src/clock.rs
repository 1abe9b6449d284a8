//! The clock of this process.

use std::time;

use state::time::Instant;

/// Reads the monotonic clock as milliseconds since the clock was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the present point in time.
    pub fn now(&self) -> Instant {
        let millis = self.origin.elapsed().as_millis();
        Instant(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Returns the milliseconds since the Unix epoch, for people and logs only.
pub fn wall_millis() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
