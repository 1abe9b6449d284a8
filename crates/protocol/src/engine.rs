//! The HTTP contract of a model engine.
//!
//! Only this module and `transport::upstream` know the format; docs/CONTRACTS.md describes it.

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

/// Names the path that completes a prompt.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Names the path that stops a completion.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Names the path that lists changes of the cache.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache/events";
/// Names the path that lists the whole cache.
pub const CACHE_SNAPSHOT_PATH: &str = "/v1/cache/snapshot";
/// Names the path that reports load.
pub const LOAD_PATH: &str = "/v1/load";
/// Names the path that takes and reports orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Names the path that writes blocks to the kept-KV store.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// Names the path that reads blocks from the kept-KV store.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";

/// Names the header with the engine's incarnation, present in every answer.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// Names the header with the weights version, present in every answer.
pub const WEIGHTS_VERSION_HEADER: &str = "x-weights-version";
/// Closes a stream that is whole.
pub const DONE_MARKER: &str = "[DONE]";

/// Asks for the continuation of a prompt; the answer is a stream of [`Piece`]s.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Tells the engine what it may reuse and how to name what it keeps.
    pub cache: Cache,
    /// Names the attempt; each piece repeats it.
    pub id: String,
    /// Bounds the whole answer, in tokens, those before `resume` included.
    pub max_tokens: u64,
    /// Names the model.
    pub model: String,
    /// Orders waiting requests; the least number runs first, and 0 is urgent.
    pub priority: u8,
    /// Holds the text to continue.
    pub prompt: String,
    /// Holds the part of the answer that the caller already has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
    /// Holds the caller's other fields, passed on unread.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Tells the engine what it may reuse and how to name what it keeps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cache {
    /// Gives the length of the prompt that each block covers, in bytes.
    pub block_bytes: u64,
    /// Names the prompt's blocks in order; events and snapshots repeat these names.
    #[serde(with = "block::list")]
    pub blocks: Vec<BlockHash>,
    /// Separates the caches of workspaces.
    pub salt: String,
}

/// Holds the part of an answer that the caller already has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resume {
    /// Gives the count of tokens in `text`.
    pub offset: u64,
    /// Holds the text.
    pub text: String,
}

/// Holds consecutive tokens of an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// Tells why the answer ended, in its last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
    /// Repeats the name of the attempt.
    pub id: String,
    /// Gives the offset of the first token of this piece within the answer.
    pub offset: u64,
    /// Holds the text of the tokens.
    pub text: String,
    /// Counts the tokens.
    pub tokens: u64,
    /// Tells what the prompt cost, in the first piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Tells what a prompt cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Counts the blocks of the prompt that were found in the cache.
    pub cached_blocks: u64,
    /// Counts the blocks of the prompt.
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

/// Asks to stop an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancel {
    /// Names the attempt.
    pub id: String,
}

/// Confirms a cancel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancelled {
    /// Tells whether the attempt was known and still running.
    pub found: bool,
}

/// Names a change of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Means that everything was dropped.
    Cleared,
    /// Means that a block was dropped.
    Evicted,
    /// Means that a block was added.
    Stored,
}

/// Reports one change of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Names the block, unless everything was dropped.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "block::option"
    )]
    pub block: Option<BlockHash>,
    /// Tells what happened.
    pub change: Change,
    /// Names the block before this one.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "block::option"
    )]
    pub parent: Option<BlockHash>,
    /// Numbers the changes of one incarnation from 1, without holes unless some were lost.
    pub seq: u64,
}

/// Lists changes of a cache in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Events {
    /// Lists the changes after the number asked for; a jump in `seq` is a gap.
    pub events: Vec<Event>,
    /// Names the run of the engine that the numbers belong to.
    pub incarnation: Incarnation,
    /// Gives the number of the newest change that the engine would tell.
    pub newest: u64,
    /// Names the weights version.
    pub version: String,
}

/// Lists a whole cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Lists the blocks, parents before children.
    pub blocks: Vec<Entry>,
    /// Names the run of the engine.
    pub incarnation: Incarnation,
    /// Gives the number of the last change that the list contains.
    pub seq: u64,
    /// Names the weights version.
    pub version: String,
}

/// Lists one block of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Names the block.
    #[serde(with = "block")]
    pub block: BlockHash,
    /// Names the block before this one.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "block::option"
    )]
    pub parent: Option<BlockHash>,
}

/// Reports the load of an engine as it was a while ago.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Gives the age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Gives the length of the prompt that each block covers, in bytes.
    pub block_bytes: u64,
    /// Counts the blocks that the cache can hold.
    pub blocks_capacity: u64,
    /// Counts the blocks that the cache holds.
    pub blocks_used: u64,
    /// Names the run of the engine.
    pub incarnation: Incarnation,
    /// Names the model.
    pub model: String,
    /// Gives the prompt tokens computed in a second.
    pub prefill_rate: u64,
    /// Counts the prompt tokens of background requests not yet computed.
    pub queued_background_tokens: u64,
    /// Counts the prompt tokens of urgent requests not yet computed.
    pub queued_urgent_tokens: u64,
    /// Counts the requests that run.
    pub running: u64,
    /// Tells whether new requests are taken.
    pub serving: bool,
    /// Counts the requests that can run at once.
    pub slots: u64,
    /// Names the weights version.
    pub version: String,
    /// Counts the requests that wait.
    pub waiting: u64,
}

/// Tells an engine to change what it serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Tells what to change.
    pub action: Action,
    /// Numbers the lease of the controller that gives the order; some engines refuse an old one.
    pub fence: u64,
    /// Names the order.
    pub id: String,
}

/// Tells what an engine should change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads weights and empties the cache.
    Load {
        /// Names the adapter, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
        /// Names the model.
        model: String,
        /// Names the weights version.
        version: String,
    },
    /// Changes the role.
    Role(String),
}

/// Reports what an engine serves and which order came last.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Names the adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Gives the highest fencing number seen, or zero.
    pub fence: u64,
    /// Names the run of the engine.
    pub incarnation: Incarnation,
    /// Names the version being loaded, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loading: Option<String>,
    /// Names the model.
    pub model: String,
    /// Names the last order that was accepted, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<String>,
    /// Names the role.
    pub role: String,
    /// Names the weights version.
    pub version: String,
}

/// Asks to move blocks between the engine and the kept-KV store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// Names the blocks, parents before children.
    #[serde(with = "block::list")]
    pub blocks: Vec<BlockHash>,
    /// Separates the caches of workspaces.
    pub salt: String,
    /// Gives the IP address and port of the store.
    pub store: std::net::SocketAddr,
}

/// Confirms a transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transferred {
    /// Names the blocks that were moved.
    #[serde(with = "block::list")]
    pub blocks: Vec<BlockHash>,
}

/// Tells why an engine refused a request; a refused request had no effect.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// Means that the request could not be read.
    BadRequest,
    /// Means that the queue is full.
    Full,
    /// Means that weights are being loaded.
    Loading,
    /// Means that an order carried an old fencing number.
    StaleFence,
    /// Means that the weight store or the kept-KV store did not answer.
    Unavailable,
    /// Means that the engine serves another model.
    UnknownModel,
    /// Means that nothing is served under the path.
    UnknownPath,
    /// Means that blocks of another weights version were offered.
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

/// Holds an engine's refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Tells why.
    pub code: Code,
    /// Gives the highest fencing number seen, where the order's was older.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<u64>,
}
