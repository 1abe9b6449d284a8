//! The clock of this process.

use std::time;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use state::time::Instant;

/// Reads a monotonic clock as milliseconds since the clock was made.
///
/// The clock goes on while the machine is suspended, so that a lease does not look younger than it
/// is to a process that stood still.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: boot_millis(),
        }
    }
}

impl Clock {
    /// Returns the present point in time.
    pub fn now(&self) -> Instant {
        Instant(boot_millis().saturating_sub(self.origin))
    }
}

/// Returns the milliseconds since the machine was started, suspended or not.
fn boot_millis() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the milliseconds since the Unix epoch, for people and logs only.
pub fn wall_millis() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
