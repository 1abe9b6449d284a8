//! Messages between the members of a Raft group.

use serde::Deserialize;
use serde::Serialize;

use crate::quorum::MemberId;
use crate::raft_entry::Entry;
use crate::raft_entry::Position;
use crate::raft_entry::SnapshotMeta;

/// One message with its sender, receiver and term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Content of the message.
    pub body: Body,
    /// Sender.
    pub from: MemberId,
    /// Group of the sender; messages of another group are dropped.
    pub group: MemberId,
    /// Term of the sender; for a pre-vote and its grant, the term of the election to come.
    pub term: u64,
    /// Receiver: the owner of a data folder, not whichever member now runs on its host.
    pub to: MemberId,
}

impl Envelope {
    /// Returns the approximate size of the message, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 64;
        match &self.body {
            Body::Append { entries, .. } => {
                OVERHEAD_BYTES + entries.iter().map(Entry::size).sum::<usize>()
            }
            Body::InstallSnapshot { data, .. } => OVERHEAD_BYTES + data.len(),
            _ => OVERHEAD_BYTES,
        }
    }
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Reply to `Append` or `InstallSnapshot`: the entries are on the sender's disk.
    Accepted {
        /// Last index up to which the sender's log matches the leader's.
        matched: u64,
        /// Round of the message that this answers.
        round: u64,
    },
    /// Entries to append; without entries it is a heartbeat.
    Append {
        /// Commit index of the leader.
        commit: u64,
        /// Entries, in order.
        entries: Vec<Entry>,
        /// Position of the entry before them, at which the logs must match.
        previous: Position,
        /// Heartbeat round of the leader, which counts up in each term.
        round: u64,
    },
    /// One chunk of a snapshot, for a member that lacks entries dropped from the leader's log.
    InstallSnapshot {
        /// Bytes of the chunk.
        data: Vec<u8>,
        /// Description of the whole snapshot.
        meta: SnapshotMeta,
        /// Offset of the chunk in the snapshot's data, in bytes.
        offset: u64,
        /// Heartbeat round of the leader, which counts up in each term.
        round: u64,
        /// Size of the whole snapshot's data, in bytes.
        total: u64,
    },
    /// Asks whether the receiver would vote for the sender, without starting an election.
    PreVote {
        /// Position of the candidate's last entry.
        last: Position,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Reply to `InstallSnapshot`: more chunks are needed.
    ReceivedChunk {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Offset at which the next chunk must start, in bytes.
        offset: u64,
        /// Round of the message that this answers.
        round: u64,
    },
    /// Reply to `Append`: the sender's log does not match at the previous entry.
    ///
    /// Also answers any leader's message of an older term.
    Rejected {
        /// Last index at which the logs may still match.
        hint: u64,
        /// Round of the message that this answers.
        round: u64,
    },
    /// Requests a vote.
    Vote {
        /// Position of the candidate's last entry.
        last: Position,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the sender voted for the candidate.
        granted: bool,
    },
}

/// Id that the driver gives a request, so that it can match the answer to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Token(pub u64);
