//! What the duty of a voter is asked, and what it shows of itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;

use coordination::quorum::Change;
use coordination::quorum::Config;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use protocol::operator;
use protocol::operator::History;
use protocol::operator::Voters;
use protocol::voter::MessageBatch;
use protocol::voter::Rejection;
use protocol::voter::TableUpdate;
use state::naming::Namings;
use state::routing::RoutingState;
use state::table::Table;

/// Takes the answer to a call.
pub type Reply<T> = oneshot::Sender<Result<T, Rejection>>;

/// Asks the duty for something.
pub enum Call {
    /// Founds a group with this voter alone.
    Bootstrap(Member),
    /// Changes the members by one.
    Change(Change, Reply<()>),
    /// Asks for the edits after a revision.
    History(u64, Reply<History>),
    /// Brings messages of other voters.
    Packet(MessageBatch),
    /// Asks to replicate a command.
    Propose(Command, Reply<Answer>),
    /// Asks for the state as it is now, under everything acknowledged before.
    Read(Reply<Reading>),
    /// Asks for what a daemon at a revision lacks.
    Spread(u64, Reply<TableUpdate>),
    /// Wakes the duty after a write.
    Written,
}

/// Holds the replicated state as of a read.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Gives the log time of the newest command, in milliseconds.
    pub log_time_ms: u64,
    /// Tells when each weights version was named.
    pub namings: Arc<Namings>,
    /// Holds the routed table and the weights versions.
    pub routed: Arc<RoutingState>,
    /// Holds the table.
    pub table: Arc<Table>,
    /// Gives the term in which this voter leads.
    pub term: u64,
}

/// Shows the voter of this host.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Gives the index of the newest committed entry known here.
    pub committed: u64,
    /// Holds the members, as far as this voter knows.
    pub config: Config,
    /// Identifies the data folder.
    pub identity: MemberId,
    /// Holds the leader's address, when it is known and another one.
    pub leader: Option<SocketAddr>,
    /// Names the leader's host, when it is known.
    pub leader_name: Option<String>,
    /// Tells whether this voter leads.
    pub leads: bool,
    /// Gives the log time of the newest command that was applied here, in milliseconds.
    pub log_time_ms: u64,
    /// Gives the index up to which each member's log is known to match; only the leader knows.
    pub matched: Vec<(MemberId, u64)>,
    /// Tells when each weights version that was applied here was named.
    pub namings: Arc<Namings>,
    /// Holds the members that do not answer, with the length of their silence in milliseconds; only
    /// the leader knows.
    pub silences: BTreeMap<MemberId, u64>,
    /// Gives the newest term seen.
    pub term: u64,
    /// Tells whether the voter works.
    pub works: bool,
}

impl Status {
    /// Shows the voters to an operator.
    pub fn voters(&self) -> Voters {
        let matched = |id: &MemberId| match self.leads && *id == self.identity {
            false => self.matched.iter().find(|(m, _)| m == id).map(|m| m.1),
            true => Some(self.committed),
        };
        let voter = |(id, member): (&MemberId, &Member)| operator::Voter {
            address: member.address.to_string(),
            identity: id.to_string(),
            matched: matched(id),
            name: member.name.clone(),
            standing: match member.votes {
                false => "learner".to_owned(),
                true => "voter".to_owned(),
            },
        };
        Voters {
            committed: self.committed,
            leader: self.leader_name.clone(),
            term: self.term,
            voters: self.config.members.iter().map(voter).collect(),
        }
    }
}
