//! What a broker gives.

use serde::Deserialize;
use serde::Serialize;

use crate::placement_request::PlacementId;
use state::ident::Incarnation;
use state::rank::Rank;

/// Bounds the scores that a grant carries for the record of the request.
pub const SCORES: usize = 4;

/// Names a cache from which an upstream should import blocks before it computes the rest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Import {
    /// Gives how many leading blocks of the prompt the source holds.
    pub blocks: u32,
    /// Names the upstream or store that holds them.
    pub source: String,
}

/// Records what placement thought of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Score {
    /// Gives the cost by which the upstreams were compared, in microseconds.
    pub cost_us: u64,
    /// Gives the expected time to the first token, in microseconds.
    pub expected_us: u64,
    /// Gives the leading blocks that the upstream was thought to hold.
    pub resident_blocks: u32,
    /// Names the upstream.
    pub upstream: String,
}

/// Gives a request a place on an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Gives the expected time to the first token, in microseconds.
    pub expected_us: u64,
    /// Names where to import missing blocks from, where that beats computing them.
    pub import: Option<Import>,
    /// Identifies the run of the upstream, where it is known.
    pub incarnation: Option<Incarnation>,
    /// Ranks the request within the upstream, which may be above its own rank.
    pub priority: Rank,
    /// Gives the leading blocks that the upstream is thought to hold.
    pub resident_blocks: u32,
    /// Lists the best upstreams, cheapest first.
    pub scores: Vec<Score>,
    /// Identifies the placement.
    pub placement_id: PlacementId,
    /// Names the upstream.
    pub upstream: String,
    /// Names the weights version that the upstream serves, where it is known.
    pub version: Option<String>,
    /// Gives the time that the request waited for its place, in milliseconds.
    pub waited_ms: u64,
}
