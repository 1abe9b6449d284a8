//! The response body for every refused request.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Reason why a request was refused; each reason has a counter.
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
    /// The workspace has used up its allotment.
    AllotmentSpent,
    /// The answer was interrupted and could not be resumed.
    AnswerCut,
    /// The request is malformed.
    BadRequest,
    /// The body is longer than the daemon reads.
    BodyTooLarge,
    /// The caller already has too many requests in flight.
    CallerLimit,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The daemon is shutting down.
    Draining,
    /// An idempotency key is older than the ledger keeps.
    KeyExpired,
    /// A request that must run at most once has no idempotency key.
    KeyMissing,
    /// An idempotency key was used before with another body.
    KeyReused,
    /// The same order is running.
    KeyRunning,
    /// The kind of work already has too many requests in flight.
    KindLimit,
    /// No upstream can take the request.
    NoUpstream,
    /// An order may or may not have run.
    OutcomeUnknown,
    /// A queue or channel is full.
    Overloaded,
    /// The request, or a part of its prompt, crashes upstreams and is quarantined.
    PartQuarantined,
    /// The request crashed upstreams and is quarantined.
    Quarantined,
    /// The voters have no quorum at the moment.
    QuorumAway,
    /// The workspace has used up its token rate.
    RateLimit,
    /// The retry budget is spent.
    RetryBudget,
    /// The credential is missing or wrong.
    Unauthorized,
    /// The table has no model of that name.
    UnknownModel,
    /// Nothing is served under that path.
    UnknownPath,
    /// The table has no plain service of that name.
    UnknownService,
    /// The upstream answered with an error.
    UpstreamFailed,
    /// The workspace already has too many requests in flight.
    WorkspaceLimit,
}

impl Reason {
    /// Returns the HTTP status that goes with the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::AnswerCut | Self::OutcomeUnknown | Self::UpstreamFailed => 502,
            Self::BadRequest | Self::KeyMissing => 400,
            Self::BodyTooLarge => 413,
            Self::AllotmentSpent
            | Self::CallerLimit
            | Self::KindLimit
            | Self::RateLimit
            | Self::WorkspaceLimit => 429,
            Self::Deadline => 504,
            Self::Draining
            | Self::NoUpstream
            | Self::Overloaded
            | Self::PartQuarantined
            | Self::QuorumAway
            | Self::RetryBudget => 503,
            Self::KeyExpired | Self::KeyReused | Self::KeyRunning => 409,
            Self::Quarantined => 422,
            Self::Unauthorized => 401,
            Self::UnknownModel | Self::UnknownPath | Self::UnknownService => 404,
        }
    }
}

/// Whether a refused request had no effect.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NotRun {
    /// It ran at least in part.
    False,
    /// It certainly did not run.
    True,
    /// It may have run.
    Unknown,
}

/// Refusal of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// What happened and what the caller can do, in words.
    pub message: String,
    /// Whether the request certainly did not run.
    pub not_run: NotRun,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Identifier of the request.
    pub request_id: String,
    /// Time after which to try again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Body of the response for a refused request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}
