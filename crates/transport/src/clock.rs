//! The monotonic clock of the process, and wall-clock time for logs.

use std::time;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use state::time::Instant;

/// A monotonic clock, in milliseconds since the clock was created.
///
/// The clock includes the time for which the machine was suspended. Otherwise a lease would seem
/// younger than it is to a process that was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: boot_time_ms(),
        }
    }
}

impl Clock {
    /// Returns the current time of this clock.
    pub fn now(&self) -> Instant {
        Instant(boot_time_ms().saturating_sub(self.origin))
    }
}

/// Returns the milliseconds since the machine was started, including suspended time.
fn boot_time_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the milliseconds since the Unix epoch, for people and logs only.
///
/// This time may jump.
pub fn wall_millis() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
