//! The reports that a broker gets from entry hosts and upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::placement_request::PlacementId;
use crate::placement_request::PlacementRequest;
use state::ident::Incarnation;

/// The progress of a granted request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// The upstream failed the request or was never reached.
    Failed,
    /// The request ended, whether it was answered in full or cancelled.
    Finished,
    /// The first token arrived.
    FirstToken,
}

/// A request in flight that an earlier owner of its upstream placed; its entry host reports it to
/// the new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightRequest {
    /// The request as the entry host sent it to the earlier owner.
    pub request: PlacementRequest,
    /// Whether its first token arrived, so that its prefill is over.
    pub prefilled: bool,
    /// Name of the upstream.
    pub upstream: String,
}

/// Reports the progress of a granted request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressReport {
    /// How far the request has come.
    pub progress: Progress,
    /// ID of the placement.
    pub placement_id: PlacementId,
}

/// The load of an upstream at one moment, as the upstream reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Age of the report on arrival, in milliseconds.
    pub age_ms: u64,
    /// Pending prefill tokens of background work.
    pub queued_background_tokens: u64,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Prefill rate of the upstream, in tokens per second.
    pub prefill_rate: u32,
    /// Requests that the upstream runs or queues.
    pub running: u32,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Pending prefill tokens of urgent work.
    pub queued_urgent_tokens: u64,
    /// Weights version that the upstream serves.
    pub version: String,
}
