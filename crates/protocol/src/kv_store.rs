//! The HTTP contract of the kept-KV store, which engines speak and the router does not.

use serde::Deserialize;
use serde::Serialize;

use crate::block;
use state::ident::BlockHash;

/// Starts the path of each block; its name follows.
pub const BLOCKS_PATH: &str = "/v1/blocks/";

/// Holds a block as an engine computed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredBlock {
    /// Holds the engine's own key of all that the content depends on.
    #[serde(with = "block")]
    pub content: BlockHash,
    /// Names the weights version that computed it.
    pub version: String,
}
