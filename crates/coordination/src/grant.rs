//! The grant by which a broker sends a request to an upstream.

use serde::Deserialize;
use serde::Serialize;

use crate::placement_request::PlacementId;
use state::ident::Incarnation;
use state::rank::Rank;

/// Upper limit on the scores that a grant carries for the record of the request.
pub const MAX_SCORES: usize = 4;

/// A cache from which an upstream should import blocks before it computes the rest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Import {
    /// Number of leading blocks of the prompt that the source holds.
    pub blocks: u32,
    /// Name of the upstream or store that holds them.
    pub source: String,
}

/// How placement rated one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Score {
    /// Cost by which the upstreams were compared, in microseconds.
    pub cost_us: u64,
    /// Expected time to first token, in microseconds.
    pub expected_us: u64,
    /// Number of leading blocks of the prompt that the upstream was assumed to hold.
    pub resident_blocks: u32,
    /// Name of the upstream.
    pub upstream: String,
}

/// Admits a request to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Expected time to first token, in microseconds.
    pub expected_us: u64,
    /// Where to import missing blocks from, if that is faster than computing them.
    pub import: Option<Import>,
    /// Incarnation of the upstream, if it is known.
    pub incarnation: Option<Incarnation>,
    /// Rank of the request at the upstream, which may be above its own rank.
    pub priority: Rank,
    /// Number of leading blocks of the prompt that the upstream is assumed to hold.
    pub resident_blocks: u32,
    /// Scores of the best upstreams, cheapest first.
    pub scores: Vec<Score>,
    /// ID of the placement.
    pub placement_id: PlacementId,
    /// Name of the upstream.
    pub upstream: String,
    /// Weights version that the upstream serves, if it is known.
    pub version: Option<String>,
    /// Time that the request waited in the broker's queue, in milliseconds.
    pub waited_ms: u64,
}
