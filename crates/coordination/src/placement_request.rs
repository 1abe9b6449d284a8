//! The request by which an entry host asks a broker for an upstream.

use serde::Deserialize;
use serde::Serialize;

use state::ident::BlockHash;
use state::rank::Rank;

/// Identifies one placement of a request; the entry host picks a new random one for each attempt.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct PlacementId(pub u128);

/// Asks a broker to choose an upstream for a request and to admit the request there.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// Tokens in one block.
    pub block_tokens: u32,
    /// The full blocks of the prompt, from its start.
    pub blocks: Vec<BlockHash>,
    /// Name of the caller within its workspace.
    pub caller: String,
    /// Time left until the first token is of no more use, in milliseconds.
    pub deadline_ms: u64,
    /// Failure domain of the entry host.
    pub domain: String,
    /// Names of the upstreams that this request must not go to.
    pub excluded: Vec<String>,
    /// Name of the kind of work.
    pub kind: String,
    /// Name of the model.
    pub model: String,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u32,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Rank that decides which queue the request waits in.
    pub rank: Rank,
    /// ID of this placement.
    pub placement_id: PlacementId,
    /// Weights version that must serve the request; set when an answer is resumed.
    pub version: Option<String>,
    /// Name of the workspace.
    pub workspace: String,
}

impl PlacementRequest {
    /// Returns the number of prompt tokens after the last full block.
    pub fn tail_tokens(&self) -> u32 {
        let whole = (self.blocks.len() as u32).saturating_mul(self.block_tokens);
        self.prompt_tokens.saturating_sub(whole)
    }
}
