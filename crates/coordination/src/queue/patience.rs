//! How long a request may wait for its engine, and how late its answer may begin.
//!
//! The table tells which requests are patient: a long prompt of a route that ranks behind another
//! route of its service. A late answer is still of use to its caller, so it waits longer than its
//! goal and is finished. While on time it is placed like any other; once late, it takes only
//! engines on which a newer prompt of its kind could still begin in time.

use serde::Deserialize;
use serde::Serialize;

use crate::queue::line::Urgency;

/// Longest wait for an engine, as a multiple of the goal for the first byte, and the same for a
/// patient request. Callers disconnect at four times the goal, and prefill takes about one.
const MAX_WAIT_GOALS: u64 = 1;
const MAX_PATIENT_WAIT_GOALS: u64 = 3;
/// Part of the goal within which a late patient answer has to begin once it is sent, as a divisor;
/// the other part is left to a newer prompt.
const LATE_DIVISOR: u64 = 2;

/// How long a request may wait.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patience {
    /// Time to the first byte that counts as on time, in milliseconds.
    pub goal_ms: u64,
    /// Whether a late answer is kept.
    pub is_patient: bool,
}

impl Patience {
    /// Returns how much longer a request that has waited for `waited_ms` may wait for an engine, in
    /// milliseconds.
    pub fn wait_left_ms(&self, waited_ms: u64) -> u64 {
        let goals = match self.is_patient {
            false => MAX_WAIT_GOALS,
            true => MAX_PATIENT_WAIT_GOALS,
        };
        (self.goal_ms * goals).saturating_sub(waited_ms)
    }

    /// Returns the time within which an engine has to begin the answer, in milliseconds, where an
    /// idle one begins it in `idle_ms`. A late patient answer leaves time for a newer prompt,
    /// unless it is due.
    pub fn first_byte_left_ms(&self, waited_ms: u64, idle_ms: u64, urgency: Urgency) -> u64 {
        let on_time_ms = self.goal_ms.saturating_sub(waited_ms);
        match (self.is_patient, urgency) {
            (false, _) => on_time_ms,
            (true, Urgency::Yielding) => self.goal_ms / LATE_DIVISOR,
            (true, Urgency::Calm) => on_time_ms.max(self.goal_ms / LATE_DIVISOR),
            (true, Urgency::Due) => self.goal_ms.max(self.goal_ms / LATE_DIVISOR + idle_ms),
        }
    }
}
