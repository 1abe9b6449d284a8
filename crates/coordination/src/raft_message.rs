//! What members of the replicated log tell each other.

use serde::Deserialize;
use serde::Serialize;

use crate::quorum::MemberId;
use crate::raft_entry::Entry;
use crate::raft_entry::Position;
use crate::raft_entry::SnapshotMeta;

/// Carries one message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Holds the message.
    pub body: Body,
    /// Names the sender.
    pub from: MemberId,
    /// Identifies the sender's group.
    pub group: MemberId,
    /// Gives the sender's term; for a pre-vote and its grant the term that would follow.
    pub term: u64,
    /// Names the receiver, by identity and not by host.
    pub to: MemberId,
}

impl Envelope {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD: usize = 64;
        match &self.body {
            Body::Append { entries, .. } => {
                OVERHEAD + entries.iter().map(Entry::size).sum::<usize>()
            }
            Body::InstallSnapshot { data, .. } => OVERHEAD + data.len(),
            _ => OVERHEAD,
        }
    }
}

/// Holds a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Confirms entries that are on the sender's disk.
    Accepted {
        /// Gives the last index up to which both logs are the same.
        matched: u64,
        /// Repeats the round.
        round: u64,
    },
    /// Brings entries; without any it is a heartbeat.
    Append {
        /// Gives the leader's commit index.
        commit: u64,
        /// Holds the entries.
        entries: Vec<Entry>,
        /// Names the entry before them.
        previous: Position,
        /// Numbers the leader's round of messages.
        round: u64,
    },
    /// Brings a piece of a snapshot.
    InstallSnapshot {
        /// Holds the piece.
        data: Vec<u8>,
        /// Describes the snapshot.
        meta: SnapshotMeta,
        /// Gives where the piece starts, in bytes.
        offset: u64,
        /// Numbers the leader's round of messages.
        round: u64,
        /// Gives the size of the whole snapshot, in bytes.
        total: u64,
    },
    /// Asks whether a candidate would be voted for.
    PreVote {
        /// Names the candidate's last entry.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Tells whether the candidate would be voted for.
        granted: bool,
    },
    /// Tells how much of a snapshot has arrived.
    ReceivedChunk {
        /// Gives the index of the snapshot.
        index: u64,
        /// Gives where the next piece starts, in bytes.
        offset: u64,
        /// Repeats the round.
        round: u64,
    },
    /// Refuses entries whose predecessor the sender lacks.
    Rejected {
        /// Gives the last index at which the logs may be the same.
        hint: u64,
        /// Repeats the round.
        round: u64,
    },
    /// Asks for a vote.
    Vote {
        /// Names the candidate's last entry.
        last: Position,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Tells whether the vote is the candidate's.
        granted: bool,
    },
}

/// Names something that the driver waits for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Token(pub u64);
