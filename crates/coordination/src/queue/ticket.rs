//! What the queue knows of a request that waits.

use state::time::Instant;

/// A request that waits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ticket {
    /// When the request arrived at its host.
    pub arrived: Instant,
    /// Time to the first byte that counts as on time, in milliseconds.
    pub goal_ms: u64,
    /// Whether a late answer is of use, see [`crate::queue::patience`].
    pub is_patient: bool,
    /// Whether the request has waited here before, so that it is admitted.
    pub is_repeat: bool,
    /// Whether the caller comes back after a refusal.
    pub is_returning: bool,
    /// When it is too late for an engine to take the prompt on time.
    pub late_at: Instant,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// When the request has waited for as long as it may.
    pub until: Instant,
    /// Time that an engine is expected to spend on the prompt, in milliseconds.
    pub work_ms: u64,
    /// Name of the workspace, if the request belongs to one.
    pub workspace: Option<String>,
}
