//! The one body that every refused request gets.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Tells why a request was refused; each reason has a counter.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Means that the answer broke off and could not be resumed.
    AnswerCut,
    /// Means that the request is malformed.
    BadRequest,
    /// Means that the body is longer than the daemon reads.
    BodyTooLarge,
    /// Means that the caller already has too many requests in flight.
    CallerLimit,
    /// Means that the deadline has passed or cannot be met.
    Deadline,
    /// Means that the daemon is shutting down.
    Draining,
    /// Means that an idempotency key is older than the ledger keeps.
    KeyExpired,
    /// Means that a request which must run at most once carries no idempotency key.
    KeyMissing,
    /// Means that an idempotency key came again with another body.
    KeyReused,
    /// Means that the same order is running at this moment.
    KeyRunning,
    /// Means that the kind of work already has too many requests in flight.
    KindLimit,
    /// Means that no upstream can take the request.
    NoUpstream,
    /// Means that an order may or may not have run.
    OutcomeUnknown,
    /// Means that a queue or ring is full.
    Overloaded,
    /// Means that the request crashed upstreams and is held back.
    Quarantined,
    /// Means that the voters cannot agree at the moment.
    QuorumAway,
    /// Means that a workspace used its tokens for now.
    RateLimit,
    /// Means that the retry budget is spent.
    RetryBudget,
    /// Means that the credential is missing or wrong.
    Unauthorized,
    /// Means that no model of that name is in the table.
    UnknownModel,
    /// Means that nothing is served under that path.
    UnknownPath,
    /// Means that no plain service of that name is in the table.
    UnknownService,
    /// Means that the upstream answered with an error.
    UpstreamFailed,
    /// Means that the workspace already has too many requests in flight.
    WorkspaceLimit,
}

impl Reason {
    /// Returns the HTTP status that goes with the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::AnswerCut | Self::OutcomeUnknown | Self::UpstreamFailed => 502,
            Self::BadRequest | Self::KeyMissing => 400,
            Self::BodyTooLarge => 413,
            Self::CallerLimit | Self::KindLimit | Self::RateLimit | Self::WorkspaceLimit => 429,
            Self::Deadline => 504,
            Self::Draining
            | Self::NoUpstream
            | Self::Overloaded
            | Self::QuorumAway
            | Self::RetryBudget => 503,
            Self::KeyExpired | Self::KeyReused | Self::KeyRunning => 409,
            Self::Quarantined => 422,
            Self::Unauthorized => 401,
            Self::UnknownModel | Self::UnknownPath | Self::UnknownService => 404,
        }
    }
}

/// Tells whether the refused request stayed without effect.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NotRun {
    /// Means that part of it ran.
    False,
    /// Means that it certainly did not run.
    True,
    /// Means that it may have run.
    Unknown,
}

/// Refuses a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Says in words what happened and what the caller can do.
    pub message: String,
    /// Tells whether the request ran.
    pub not_run: NotRun,
    /// Tells why.
    pub reason: Reason,
    /// Names the request.
    pub request_id: String,
    /// Gives the time after which to try again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Wraps a refusal as the body of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Holds the refusal.
    pub error: Refusal,
}
