//! What the queue knows of a request that waits.

use serde::Deserialize;
use serde::Serialize;

/// A request that waits, or asks whether it may.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Time left until the answer should begin, in milliseconds; 0 once that is past.
    pub first_byte_left_ms: u64,
    /// Whether the caller comes back after a refusal.
    pub is_returning: bool,
    /// Time left until the caller gives up, in milliseconds.
    pub left_ms: u64,
    /// Tokens of the prompt and of the longest answer.
    pub memory_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Name of the workspace, if the request belongs to one.
    pub workspace: Option<String>,
}
