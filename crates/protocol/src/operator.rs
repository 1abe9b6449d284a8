//! What operators send and get under `/admin/`.

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

/// Shows one row with its cells as text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowView {
    /// Holds the filled cells.
    pub cells: BTreeMap<Column, String>,
    /// Gives the table revision of the last change to the row.
    pub revision: u64,
    /// Names the row.
    pub row: String,
    /// Names the sheet.
    pub sheet: Sheet,
}

impl RowView {
    /// Shows `row` under `name`.
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

/// Shows the whole table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableView {
    /// Gives the revision of the newest change.
    pub revision: u64,
    /// Lists the rows in order of sheet and name.
    pub rows: Vec<RowView>,
}

impl TableView {
    /// Shows `table`.
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

/// Shows one accepted edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Holds the edit as it was sent.
    pub edit: Edit,
    /// Gives the table revision that the edit produced.
    pub revision: u64,
}

/// Shows the edits after a revision; `/admin/history` and `/admin/watch` answer with it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Lists the edits in order of revision.
    pub changes: Vec<Change>,
    /// Tells that older edits were asked for than the daemon keeps.
    #[serde(default)]
    pub cut: bool,
    /// Gives the revision of the newest change.
    pub revision: u64,
}

/// Names the kind of a failure of an operator's request.
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
pub enum Kind {
    /// Means that the request is malformed or an edit does not fit its sheet.
    BadRequest,
    /// Means that the row has moved on from the revision that the edit names.
    Conflict,
    /// Means that an edit key came again with another edit.
    KeyReused,
    /// Means that the edit may or may not have been accepted; send the same edit key again.
    OutcomeUnknown,
    /// Means that the voters cannot agree at the moment; the edit was not accepted.
    QuorumAway,
    /// Means that the operator's key is missing or wrong.
    Unauthorized,
    /// Means that the row, the request or the path is not there.
    Unknown,
}

impl Kind {
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

/// Tells an operator why a request failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Names the kind of the failure.
    pub kind: Kind,
    /// Says in words what happened and what the operator can do.
    pub message: String,
}

/// Wraps a failure as the body of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Holds the failure.
    pub error: Failure,
}

/// Shows a daemon as it sees itself and its fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Maps the names of counters, with their labels, to their values.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
    /// Shows the shutdown under way.
    #[serde(default)]
    pub drain: Option<Drain>,
    /// Names the failure domain of the host.
    pub failure_domain: String,
    /// Names the host.
    pub host: String,
    /// Lists the hosts that the daemon knows of, itself included.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Names the voter that leads, as far as the daemon knows.
    #[serde(default)]
    pub leader: Option<String>,
    /// Gives the table revision in force on this daemon.
    pub revision: u64,
    /// Lists the roles of the daemon.
    pub roles: Vec<String>,
    /// Gives the time since the daemon started, in milliseconds.
    pub uptime_ms: u64,
    /// Lists the upstreams of the table.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// Gives the version of the program.
    pub version: String,
}

/// Shows a shutdown under way.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Counts the requests that still run.
    pub in_flight: u64,
    /// Gives the time since the drain began, in milliseconds.
    pub since_ms: u64,
}

/// Shows one host as the answering daemon sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Gives the address for callers, where the host is an entry.
    #[serde(default)]
    pub address: Option<String>,
    /// Names the failure domain.
    pub failure_domain: String,
    /// Names the host.
    pub name: String,
    /// Lists the roles.
    #[serde(default)]
    pub roles: Vec<String>,
    /// Names what the host is held to be, such as `live`, `suspect`, `leaving` or `dead`.
    pub standing: String,
}

/// Shows one upstream as the answering daemon sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Gives the address.
    pub address: String,
    /// Gives the incarnation last seen.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Counts the requests that run on it, as far as the daemon knows.
    #[serde(default)]
    pub in_flight: u64,
    /// Names the row.
    pub name: String,
    /// Names the broker that owns the upstream.
    #[serde(default)]
    pub owner: Option<String>,
    /// Counts the requests that wait for it.
    #[serde(default)]
    pub queued: u64,
    /// Names what the upstream is held to be, such as `serving`, `leaving`, `down` or `off`.
    pub standing: String,
    /// Names the weights version last seen.
    #[serde(default)]
    pub version: Option<String>,
}

/// Shows the voters as the answering daemon sees them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Voters {
    /// Gives the index of the newest entry known to be committed.
    pub committed: u64,
    /// Names the voter that leads, as far as the daemon knows.
    #[serde(default)]
    pub leader: Option<String>,
    /// Gives the newest term that the daemon has seen.
    pub term: u64,
    /// Lists the voters and learners.
    pub voters: Vec<Voter>,
}

/// Shows one voter or learner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Voter {
    /// Gives the address for peers.
    pub address: String,
    /// Identifies the data folder of its log.
    #[serde(default)]
    pub identity: String,
    /// Gives the index up to which its log is known to match; only the leader knows.
    #[serde(default)]
    pub matched: Option<u64>,
    /// Names the host.
    pub name: String,
    /// Names what it is: `voter`, `learner` or `removed`.
    pub standing: String,
}

/// Shows how one request was decided; times count from its arrival, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Lists the attempts in order of time.
    #[serde(default)]
    pub attempts: Vec<Attempt>,
    /// Lists the upstreams that were weighed, the chosen one first.
    #[serde(default)]
    pub candidates: Vec<Candidate>,
    /// Names the request.
    pub id: String,
    /// Names the kind of work.
    #[serde(default)]
    pub kind: String,
    /// Names how the request ended, such as `done`, `refused` or `running`.
    pub outcome: String,
    /// Names the rank.
    #[serde(default)]
    pub rank: String,
    /// Names the reason of the refusal.
    #[serde(default)]
    pub refusal: Option<String>,
    /// Lists the waits and retries in order of time.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Names the workspace.
    #[serde(default)]
    pub workspace: String,
}

/// Shows one run of a request on an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Gives when it ended.
    #[serde(default)]
    pub ended_ms: Option<u64>,
    /// Gives when its first token came.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// Gives the offset from which it streamed, in tokens.
    #[serde(default)]
    pub offset: u64,
    /// Names how it ended.
    pub outcome: String,
    /// Gives when it started.
    pub started_ms: u64,
    /// Names the upstream.
    pub upstream: String,
}

/// Shows what one upstream would have cost.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Counts the tokens of the prompt that the upstream is held to have cached.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Names why the upstream was passed over; absent for the chosen one.
    #[serde(default)]
    pub passed_over: Option<String>,
    /// Gives the expected time to the first token, in milliseconds.
    #[serde(default)]
    pub score_ms: f64,
    /// Names the upstream.
    pub upstream: String,
}

/// Shows one wait or retry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Gives when it began.
    pub at_ms: u64,
    /// Gives how long it took, in milliseconds.
    pub length_ms: u64,
    /// Names the reason, from the catalogue of refusal and retry reasons.
    pub reason: String,
}
