//! Where a routed request goes, or why it goes nowhere.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::upstream::Upstream;

/// Tells where a request goes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Gives the time that the work ahead of the request was expected to take, in milliseconds.
    pub backlog_ms: u64,
    /// Tells where the engine fetches the shared prompt if it lacks it.
    pub fetch_from: Option<SocketAddr>,
    /// Numbers the choice where the leading host made it.
    pub assignment_id: Option<u64>,
    /// Gives the order in which the engine admits the request among others.
    pub rank: Rank,
    /// Gives the time that reading its prompt was expected to take, in milliseconds.
    pub prefill_ms: u64,
    /// Holds the store that receives the shared prompt.
    pub save_to: Option<SocketAddr>,
    /// Describes the upstream.
    pub upstream: Upstream,
    /// Gives the version of the model's weights there.
    pub weights: Option<u64>,
}

/// Orders the requests that wait at an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Rank {
    /// Comes before others: a long prompt that may still be in time.
    First,
    /// Comes after others: a long prompt that is late whatever is read first.
    Last,
    /// Comes in turn.
    #[default]
    Normal,
}

/// Tells why no upstream takes a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// Means that every engine has enough to read; the request should wait a little.
    Busy,
    /// Means that no upstream of the service takes work.
    #[strum(serialize = "none")]
    NoUpstream,
    /// Means that the work ahead takes longer than the caller waits.
    TooLate,
}
