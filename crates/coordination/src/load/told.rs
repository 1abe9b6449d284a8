//! Load that upstreams tell with their answers.

use serde::Deserialize;
use serde::Serialize;

/// Load of an upstream, as it told it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Told {
    /// Time that work takes there at that moment, in percent of the usual; 0 if it did not say.
    pub pace_percent: u32,
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Number of requests that wait.
    pub waiting: u32,
}

impl Told {
    /// Returns the number of requests there, those that wait included.
    pub fn count(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns whether requests wait and no fewer are there than can run at once; memory may keep
    /// some slots empty. An upstream that rejects a request otherwise has other reasons than its
    /// load.
    pub fn is_full(&self) -> bool {
        self.slots > 0 && self.waiting > 0 && self.count() >= self.slots
    }
}
