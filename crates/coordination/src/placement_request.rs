//! What an entry asks a broker for.

use serde::Deserialize;
use serde::Serialize;

use state::ident::BlockHash;
use state::rank::Rank;

/// Identifies one placement of a request; an entry draws a new one at random for each attempt.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct PlacementId(pub u128);

/// Asks for an upstream and a place on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// Gives the tokens of one block.
    pub block_tokens: u32,
    /// Lists the whole blocks of the prompt, from its start.
    pub blocks: Vec<BlockHash>,
    /// Names the caller within its workspace.
    pub caller: String,
    /// Gives the time left until the first token is of no more use, in milliseconds.
    pub deadline_ms: u64,
    /// Names the failure domain of the entry.
    pub domain: String,
    /// Names the upstreams that this request must not go to.
    pub excluded: Vec<String>,
    /// Names the kind of work.
    pub kind: String,
    /// Names the model.
    pub model: String,
    /// Gives the tokens that the answer is expected to have.
    pub output_tokens: u32,
    /// Gives the tokens of the prompt.
    pub prompt_tokens: u32,
    /// Ranks the request.
    pub rank: Rank,
    /// Identifies the placement.
    pub placement_id: PlacementId,
    /// Names the weights version that must serve the request, where an answer is resumed.
    pub version: Option<String>,
    /// Names the workspace.
    pub workspace: String,
}

impl PlacementRequest {
    /// Returns the tokens of the prompt after its last whole block.
    pub fn tail_tokens(&self) -> u32 {
        let whole = (self.blocks.len() as u32).saturating_mul(self.block_tokens);
        self.prompt_tokens.saturating_sub(whole)
    }
}
