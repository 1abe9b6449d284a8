//! Requests and responses of operators under `/admin/`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use state::column::Column;
use state::edit::Edit;
use state::row;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;

/// A row with its cells as text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowView {
    /// Texts of the filled cells.
    pub cells: BTreeMap<Column, String>,
    /// Table revision of the last change to the row.
    pub revision: u64,
    /// Name of the row in its sheet.
    pub row: String,
    /// The sheet.
    pub sheet: Sheet,
}

impl RowView {
    /// Returns the view of `row` under `name`.
    pub fn of(name: &row::Name, row: &Row) -> Self {
        let texts = row.cells.iter().map(|(c, cell)| (*c, cell.to_string()));
        Self {
            cells: texts.collect(),
            revision: row.revision,
            row: name.row.clone(),
            sheet: name.sheet,
        }
    }
}

/// The whole table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableView {
    /// Revision of the newest change.
    pub revision: u64,
    /// The rows in order of sheet and name.
    pub rows: Vec<RowView>,
}

impl TableView {
    /// Returns the view of `table`.
    pub fn of(table: &Table) -> Self {
        Self {
            revision: table.revision(),
            rows: table
                .iter()
                .map(|(name, row)| RowView::of(name, row))
                .collect(),
        }
    }
}

/// An accepted edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The edit as it was sent.
    pub edit: Edit,
    /// Table revision that the edit produced.
    pub revision: u64,
}

/// The edits after a revision: the response of `/admin/history` and `/admin/watch`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// The edits in order of revision.
    pub changes: Vec<Change>,
    /// Whether the request asked for older edits than the daemon keeps.
    #[serde(default)]
    pub cut: bool,
    /// Revision of the newest change.
    pub revision: u64,
}

/// Kind of a failure of an operator's request.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// The request is malformed or an edit does not fit its sheet.
    BadRequest,
    /// The row has a newer revision than the one that the edit is based on.
    Conflict,
    /// An edit key was used before for another edit.
    KeyReused,
    /// The edit may or may not have been accepted; send the same edit key again.
    OutcomeUnknown,
    /// The voters have no quorum at the moment; the edit was not accepted.
    QuorumAway,
    /// The operator's key is missing or wrong.
    Unauthorized,
    /// The row, the request or the path does not exist.
    Unknown,
}

impl FailureKind {
    /// Returns the HTTP status that goes with the kind.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Conflict | Self::KeyReused => 409,
            Self::OutcomeUnknown => 504,
            Self::QuorumAway => 503,
            Self::Unauthorized => 401,
            Self::Unknown => 404,
        }
    }
}

/// Failure of an operator's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// What happened and what the operator can do, in words.
    pub message: String,
}

/// Body of the response for a failed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailureBody {
    /// The failure.
    pub error: Failure,
}

/// Status of a daemon, and of its fleet as the daemon sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Values of the counters by their names with labels.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
    /// The shutdown in progress, if any.
    #[serde(default)]
    pub drain: Option<Drain>,
    /// Name of the failure domain of the host.
    pub failure_domain: String,
    /// Name of the host.
    pub host: String,
    /// The hosts that the daemon knows, including its own.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Name of the leading voter, if the daemon knows it.
    #[serde(default)]
    pub leader: Option<String>,
    /// Table revision in force on this daemon.
    pub revision: u64,
    /// Roles of the daemon.
    pub roles: Vec<String>,
    /// Time since the daemon started, in milliseconds.
    pub uptime_ms: u64,
    /// The upstreams of the table.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// Version of the program.
    pub version: String,
}

/// A shutdown in progress.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Number of requests that still run.
    pub in_flight: u64,
    /// Time since the drain began, in milliseconds.
    pub since_ms: u64,
}

/// A host as the answering daemon sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Address for callers, if the host accepts them.
    #[serde(default)]
    pub address: Option<String>,
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Name of the host.
    pub name: String,
    /// Roles of the host.
    #[serde(default)]
    pub roles: Vec<String>,
    /// Standing of the host, such as `live`, `suspect`, `leaving` or `dead`.
    pub standing: String,
}

/// An upstream as the answering daemon sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Address of the upstream.
    pub address: String,
    /// Incarnation last seen.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Number of requests in flight at the upstream that the daemon knows of.
    #[serde(default)]
    pub in_flight: u64,
    /// Name of the row in its sheet.
    pub name: String,
    /// Name of the broker that owns the upstream.
    #[serde(default)]
    pub owner: Option<String>,
    /// Number of requests that wait for the upstream.
    #[serde(default)]
    pub queued: u64,
    /// Standing of the upstream, such as `serving`, `leaving`, `down` or `off`.
    pub standing: String,
    /// Weights version last seen.
    #[serde(default)]
    pub version: Option<String>,
}

/// The voters as the answering daemon sees them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Voters {
    /// Index of the newest log entry that is known to be committed.
    pub committed: u64,
    /// Name of the leading voter, if the daemon knows it.
    #[serde(default)]
    pub leader: Option<String>,
    /// Newest term that the daemon has seen.
    pub term: u64,
    /// The voters and learners.
    pub voters: Vec<Voter>,
}

/// A voter or learner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Voter {
    /// Address for peers.
    pub address: String,
    /// Identity of the data folder of its log.
    #[serde(default)]
    pub identity: String,
    /// Index up to which its log is known to match the leader's; only the leader reports it.
    #[serde(default)]
    pub matched: Option<u64>,
    /// Name of the host.
    pub name: String,
    /// Its part in the group: `voter`, `learner` or `removed`.
    pub standing: String,
}

/// How a request was decided; times are in milliseconds since its arrival.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The attempts in order of time.
    #[serde(default)]
    pub attempts: Vec<Attempt>,
    /// The upstreams that were considered, the chosen one first.
    #[serde(default)]
    pub candidates: Vec<Candidate>,
    /// Identifier of the request.
    pub id: String,
    /// Name of the kind of work.
    #[serde(default)]
    pub kind: String,
    /// Outcome of the request, such as `done`, `refused` or `running`.
    pub outcome: String,
    /// Rank of the request.
    #[serde(default)]
    pub rank: String,
    /// Reason of the refusal, if the request was refused.
    #[serde(default)]
    pub refusal: Option<String>,
    /// The waits and retries in order of time.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Name of the workspace.
    #[serde(default)]
    pub workspace: String,
}

/// An attempt to run a request on an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Time of its end.
    #[serde(default)]
    pub ended_ms: Option<u64>,
    /// Time of its first token.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// Offset in the answer from which it streamed, in tokens.
    #[serde(default)]
    pub offset: u64,
    /// Outcome of the attempt.
    pub outcome: String,
    /// Time of its start.
    pub started_ms: u64,
    /// Name of the upstream.
    pub upstream: String,
}

/// An upstream that was considered, and its expected cost.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Number of tokens of the prompt that the upstream is expected to have in its cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Reason why the upstream was not chosen; absent for the chosen one.
    #[serde(default)]
    pub passed_over: Option<String>,
    /// Expected time to the first token, in milliseconds.
    #[serde(default)]
    pub score_ms: f64,
    /// Name of the upstream.
    pub upstream: String,
}

/// A wait or retry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Time of its start.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub length_ms: u64,
    /// Reason, from the catalogue of refusal and retry reasons.
    pub reason: String,
}
