//! The HTTP contract of a model engine.
//!
//! Only this module and `transport::upstream` depend on the format; docs/CONTRACTS.md describes it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use strum::Display;
use strum::IntoStaticStr;

use crate::block;
use coordination::stream;

pub use coordination::stream::Finish;
use state::ident::BlockHash;
use state::ident::Incarnation;

/// Path for the completion of a prompt.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path for stopping a completion.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of the list of cache changes.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache/events";
/// Path of the list of all cached blocks.
pub const CACHE_SNAPSHOT_PATH: &str = "/v1/cache/snapshot";
/// Path of the load report.
pub const LOAD_PATH: &str = "/v1/load";
/// Path for giving orders to the engine and reading its state.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path for writing blocks from the engine to the KV store.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// Path for reading blocks from the KV store into the engine.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";

/// Response header with the engine's incarnation, present in every response.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// Response header with the weights version, present in every response.
pub const WEIGHTS_VERSION_HEADER: &str = "x-weights-version";
/// Data of the last event of a stream that is complete.
pub const DONE_MARKER: &str = "[DONE]";

/// Request to continue a prompt; the answer is a stream of [`Piece`]s.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Cached blocks that the engine may reuse, and the names under which it caches new ones.
    pub cache: Cache,
    /// Identifier of the attempt; each piece repeats it.
    pub id: String,
    /// Most tokens of the whole answer, including those of `resume`.
    pub max_tokens: u64,
    /// Name of the model.
    pub model: String,
    /// Priority among waiting requests; the lowest number runs first, and 0 is urgent.
    pub priority: u8,
    /// Text to continue.
    pub prompt: String,
    /// Part of the answer that the caller already has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
    /// The caller's other fields, passed on unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Cached blocks that the engine may reuse, and the names under which it caches new ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cache {
    /// Bytes of the prompt that each block covers.
    pub block_bytes: u64,
    /// Hashes of the prompt's blocks in order; events and snapshots name blocks by them.
    #[serde(with = "block::list")]
    pub blocks: Vec<BlockHash>,
    /// Salt that keeps the caches of workspaces apart.
    pub salt: String,
}

/// The part of an answer that the caller already has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resume {
    /// Number of tokens in `text`.
    pub offset: u64,
    /// Text of that part.
    pub text: String,
}

/// A chunk of a streamed answer: consecutive tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// Reason why the answer ended, in its last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
    /// Identifier of the attempt.
    pub id: String,
    /// Offset of the first token of this piece within the answer.
    pub offset: u64,
    /// Text of the tokens.
    pub text: String,
    /// Number of tokens in this piece.
    pub tokens: u64,
    /// Blocks of the prompt, in the first piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// How much of a prompt was found in the cache.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of blocks of the prompt that were found in the cache.
    pub cached_blocks: u64,
    /// Number of blocks of the prompt.
    pub prompt_blocks: u64,
}

impl From<Piece> for stream::Piece {
    fn from(piece: Piece) -> Self {
        Self {
            finish: piece.finish,
            id: piece.id,
            offset: piece.offset,
            text: piece.text,
            tokens: piece.tokens,
        }
    }
}

/// Request to stop an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancel {
    /// Identifier of the attempt.
    pub id: String,
}

/// Response to a [`Cancel`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancelled {
    /// Whether the attempt was found and still running.
    pub found: bool,
}

/// Kind of a change of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// All blocks were dropped.
    Cleared,
    /// A block was dropped.
    Evicted,
    /// A block was added.
    Stored,
}

/// A change of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The block, unless all blocks were dropped.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "block::option"
    )]
    pub block: Option<BlockHash>,
    /// Kind of the change.
    pub change: Change,
    /// The block before this one in the prompt.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "block::option"
    )]
    pub parent: Option<BlockHash>,
    /// Sequence number, counted from 1 in each incarnation; a missing number means a lost change.
    pub seq: u64,
}

/// Changes of a cache in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Events {
    /// The changes after the requested sequence number; a jump in `seq` is a gap.
    pub events: Vec<Event>,
    /// Run of the engine that the sequence numbers belong to.
    pub incarnation: Incarnation,
    /// Sequence number of the newest change that the engine can report.
    pub newest: u64,
    /// Weights version that the engine serves.
    pub version: String,
}

/// The whole content of a cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The blocks, parents before children.
    pub blocks: Vec<Entry>,
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Sequence number of the last change that the list includes.
    pub seq: u64,
    /// Weights version that the engine serves.
    pub version: String,
}

/// A block of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The block.
    #[serde(with = "block")]
    pub block: BlockHash,
    /// The block before this one in the prompt.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "block::option"
    )]
    pub parent: Option<BlockHash>,
}

/// Load of an engine, as of `age_ms` before the report was sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Bytes of the prompt that each block covers.
    pub block_bytes: u64,
    /// Number of blocks that the cache can hold.
    pub blocks_capacity: u64,
    /// Number of blocks that the cache holds.
    pub blocks_used: u64,
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Name of the model.
    pub model: String,
    /// Prompt tokens computed per second.
    pub prefill_rate: u64,
    /// Number of prompt tokens of background requests not yet computed.
    pub queued_background_tokens: u64,
    /// Number of prompt tokens of urgent requests not yet computed.
    pub queued_urgent_tokens: u64,
    /// Number of requests that run.
    pub running: u64,
    /// Whether new requests are taken.
    pub serving: bool,
    /// Number of requests that can run at once.
    pub slots: u64,
    /// Weights version that the engine serves.
    pub version: String,
    /// Number of requests that wait.
    pub waiting: u64,
}

/// Order to an engine to change what it serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The change.
    pub action: Action,
    /// Fencing token: number of the lease of the controller that gives the order. Some engines
    /// refuse an order with an old one.
    pub fence: u64,
    /// Identifier of the order.
    pub id: String,
}

/// Change that an engine should make.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads weights and empties the cache.
    Load {
        /// Name of the adapter, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
        /// Name of the model.
        model: String,
        /// Weights version to load.
        version: String,
    },
    /// Changes the role to `prefill`, `decode` or `mixed`.
    Role(String),
}

/// What an engine serves, and the last order that it accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Name of the adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Highest fencing token seen, or zero.
    pub fence: u64,
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Weights version that is being loaded, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loading: Option<String>,
    /// Name of the model.
    pub model: String,
    /// Identifier of the last order that was accepted, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<String>,
    /// Role: `prefill`, `decode` or `mixed`.
    pub role: String,
    /// Weights version that the engine serves.
    pub version: String,
}

/// Request to copy blocks between the engine and the KV store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// The blocks, parents before children.
    #[serde(with = "block::list")]
    pub blocks: Vec<BlockHash>,
    /// Salt that keeps the caches of workspaces apart.
    pub salt: String,
    /// IP address and port of the store.
    pub store: std::net::SocketAddr,
}

/// Response to a [`Transfer`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transferred {
    /// The blocks that were copied.
    #[serde(with = "block::list")]
    pub blocks: Vec<BlockHash>,
}

/// Reason why an engine refused a request; a refused request had no effect.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request could not be read.
    BadRequest,
    /// The queue is full.
    Full,
    /// Weights are being loaded.
    Loading,
    /// An order had an old fencing token.
    StaleFence,
    /// The weight store or the KV store did not answer.
    Unavailable,
    /// The engine serves another model.
    UnknownModel,
    /// Nothing is served under the path.
    UnknownPath,
    /// Blocks of another weights version were offered.
    VersionMismatch,
}

impl Code {
    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Full | Self::Loading => 503,
            Self::StaleFence | Self::VersionMismatch => 409,
            Self::Unavailable => 502,
            Self::UnknownModel | Self::UnknownPath => 404,
        }
    }
}

/// An engine's refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: Code,
    /// Highest fencing token seen, if that of the order was older.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<u64>,
}
