//! Messages between daemons about the replicated log and the table.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;
use thiserror::Error;

use coordination::quorum::MemberId;
use coordination::raft_message::Envelope;
use state::edit::Edit;
use state::table::Table;

/// Change of the voters that an operator asks for, by the names of hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterChange {
    /// Add the voter of a host, which votes once its log has caught up.
    Add {
        /// Address for peers.
        address: SocketAddr,
        /// Name of the host.
        name: String,
    },
    /// Remove a voter.
    Remove {
        /// Name of the host.
        name: String,
    },
}

/// Identity of a voter's data folder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataFolder {
    /// Group of voters that the folder belongs to, if any yet.
    pub group: Option<MemberId>,
    /// Identity of the folder.
    pub identity: MemberId,
    /// Name of the host.
    pub name: String,
}

/// Messages of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MessageBatch {
    /// Address of the sender, for answers.
    pub address: SocketAddr,
    /// The messages in order.
    pub envelopes: Vec<Envelope>,
}

/// Reason why a voter did not accept a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// Too many commands are in flight; nothing was replicated.
    #[error("too many commands are waiting for the voters")]
    Backlog,
    /// The change of the voters is not possible now; nothing was replicated.
    #[error("this change of the voters is not possible now")]
    Change,
    /// The host has no working voter; nothing was replicated.
    #[error("this host has no working voter")]
    Ended,
    /// The command was replaced before it was committed; it had no effect.
    #[error("another leader replaced the command before it was committed")]
    Lost,
    /// The voter is not the leader, whose address it may know; nothing was replicated.
    #[error("this voter is not the leader")]
    NotLeader(Option<SocketAddr>),
    /// This voter cannot learn the outcome of the command any more.
    #[error("this host cannot learn the outcome of the command")]
    Unknown,
}

/// Update of the table for a daemon that has an older revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableUpdate {
    /// The edits after the daemon's revision, in order.
    Edits(Vec<Edit>),
    /// The daemon's revision is the newest.
    UpToDate,
    /// The whole table.
    WholeTable(Arc<Table>),
}
