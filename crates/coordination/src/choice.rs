//! The outcome of choosing an upstream for a routed request: a choice or a refusal.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::upstream::Upstream;

/// The upstream of a request, with the data that its attempt needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Time that the work ahead of the request is expected to take, in milliseconds.
    pub backlog_ms: u64,
    /// Address from which the engine fetches the shared prefix if it lacks it.
    pub fetch_from: Option<SocketAddr>,
    /// ID of the assignment, if the leading host made the choice.
    pub assignment_id: Option<u64>,
    /// Rank of the request in the queue of the engine.
    pub rank: Rank,
    /// Time that the prefill of the prompt is expected to take, in milliseconds.
    pub prefill_ms: u64,
    /// Address of the store to which the engine saves the shared prefix.
    pub save_to: Option<SocketAddr>,
    /// The chosen upstream.
    pub upstream: Upstream,
    /// Version of the model's weights at the upstream.
    pub weights: Option<u64>,
}

/// Order of the requests that wait in the queue of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Rank {
    /// Before others: a long prompt that can still begin in time and is not patient.
    First,
    /// After others: a long prompt that is late in any case or patient.
    Last,
    /// In order of arrival.
    #[default]
    Normal,
}

/// Reason why no upstream takes a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// Every engine has too long a backlog; the request should wait and try again.
    Busy,
    /// The request would not begin before its caller leaves.
    Crowded {
        /// Time after which the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// No upstream of the service takes requests.
    #[strum(serialize = "none")]
    NoUpstream,
    /// Every upstream of the service that takes requests has asked for a pause.
    Paused,
    /// No engine has the memory for the request, not even an idle one.
    TooLarge,
    /// Every backlog is longer than the time left to the caller.
    TooLate,
}
