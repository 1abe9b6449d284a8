//! What entries and upstreams tell a broker.

use serde::Deserialize;
use serde::Serialize;

use crate::placement_request::PlacementId;
use crate::placement_request::PlacementRequest;
use state::ident::Incarnation;

/// Tells how far a granted request has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// Means that the upstream failed the request or was never reached.
    Failed,
    /// Means that the request ended, whole or cancelled.
    Finished,
    /// Means that the first token arrived.
    FirstToken,
}

/// Describes a request that an earlier owner of its upstream placed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightRequest {
    /// Holds the ask.
    pub request: PlacementRequest,
    /// Tells whether its first token arrived.
    pub prefilled: bool,
    /// Names the upstream.
    pub upstream: String,
}

/// Reports on a granted request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressReport {
    /// Tells how far the request has come.
    pub progress: Progress,
    /// Identifies the placement.
    pub placement_id: PlacementId,
}

/// Describes the load of an upstream at one moment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Gives the age of the sample on arrival, in milliseconds.
    pub age_ms: u64,
    /// Gives the prompt tokens of background work that wait to be computed.
    pub queued_background_tokens: u64,
    /// Identifies the run of the upstream.
    pub incarnation: Incarnation,
    /// Gives the prompt tokens that the upstream computes in a second.
    pub prefill_rate: u32,
    /// Gives the requests that the upstream holds.
    pub running: u32,
    /// Gives the requests that the upstream runs at once.
    pub slots: u32,
    /// Gives the prompt tokens of urgent work that wait to be computed.
    pub queued_urgent_tokens: u64,
    /// Names the weights version that the upstream serves.
    pub version: String,
}
