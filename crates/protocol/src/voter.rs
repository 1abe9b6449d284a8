//! What daemons tell each other about the replicated log and the table.

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

/// Asks for a change of the voters by the names of hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterChange {
    /// Adds the voter of a host, which votes once it has caught up.
    Add {
        /// Holds its address for peers.
        address: SocketAddr,
        /// Names the host.
        name: String,
    },
    /// Removes a voter.
    Remove {
        /// Names the host.
        name: String,
    },
}

/// Tells what a voter's data folder is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataFolder {
    /// Identifies the group that it belongs to, if it does yet.
    pub group: Option<MemberId>,
    /// Identifies it.
    pub identity: MemberId,
    /// Names the host.
    pub name: String,
}

/// Carries messages of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MessageBatch {
    /// Holds the sender's address for answers.
    pub address: SocketAddr,
    /// Holds the messages in order.
    pub envelopes: Vec<Envelope>,
}

/// Tells why a voter did not take a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// Reports too many commands under way; nothing was replicated.
    #[error("too many commands wait for the voters")]
    Backlog,
    /// Reports a change of the voters that does not fit; nothing was replicated.
    #[error("this change of the voters does not fit now")]
    Change,
    /// Reports a host without a working voter; nothing was replicated.
    #[error("this host has no working voter")]
    Ended,
    /// Reports a command that was replaced before it was committed; it took no effect.
    #[error("another leader replaced the command")]
    Lost,
    /// Reports a voter that does not lead; nothing was replicated.
    #[error("this voter does not lead")]
    NotLeader(Option<SocketAddr>),
    /// Reports a command whose outcome this voter no longer learns.
    #[error("the outcome is not known here")]
    Unknown,
}

/// Brings what a daemon lacks of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableUpdate {
    /// Holds the edits after the asker's revision, in order.
    Edits(Vec<Edit>),
    /// Tells that there is nothing newer.
    UpToDate,
    /// Holds the whole table.
    WholeTable(Arc<Table>),
}
