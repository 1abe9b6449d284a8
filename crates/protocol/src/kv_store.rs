//! The HTTP contract between engines and the KV store; the router itself does not use it.

use serde::Deserialize;
use serde::Serialize;

use crate::block;
use state::ident::BlockHash;

/// Prefix of the path of a block; its hash follows.
pub const BLOCKS_PATH: &str = "/v1/blocks/";

/// A block as an engine computed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredBlock {
    /// The engine's own hash of all that the content depends on.
    #[serde(with = "block")]
    pub content: BlockHash,
    /// Weights version that computed the block.
    pub version: String,
}
