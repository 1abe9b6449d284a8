//! The data that a member of a Raft group keeps on disk: log entries, hard state and snapshots.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::quorum::Config;
use crate::quorum::MemberId;

/// Position of an entry in the log; positions order by term, then by index.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Index of the entry in the log, counted from 1.
    pub index: u64,
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// An encoded command for the state machine.
    Command(Arc<[u8]>),
    /// The membership from this entry on.
    Config(Config),
    /// An entry without a command, with which a leader starts its term.
    NoOp,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Log time at which the leader appended the entry, in milliseconds.
    ///
    /// Log time is the clock of the replicated log: leaders stamp it, and it never goes back.
    pub log_time_ms: u64,
    /// Content of the entry.
    pub payload: Payload,
    /// Position of the entry in the log.
    pub position: Position,
}

impl Entry {
    /// Returns the approximate size of the entry, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 64;
        match &self.payload {
            Payload::Command(bytes) => OVERHEAD_BYTES + bytes.len(),
            Payload::Config(config) => OVERHEAD_BYTES + MEMBER_BYTES * config.members.len(),
            Payload::NoOp => OVERHEAD_BYTES,
        }
    }
}

/// Term and vote, which must be on disk before a message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Newest term that the member has seen.
    pub term: u64,
    /// Candidate that the member voted for in that term.
    pub vote: Option<MemberId>,
}

/// Description of a snapshot, without its data.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Log time of the last entry that the snapshot covers, in milliseconds.
    pub log_time_ms: u64,
    /// Membership as of that entry.
    pub config: Config,
    /// Position of the last entry that the snapshot covers.
    pub position: Position,
}

/// The state machine as of one log entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The encoded state machine.
    pub data: Arc<[u8]>,
    /// Position, membership and log time as of that entry.
    pub meta: SnapshotMeta,
}

/// One change of what is on disk; records are written in the order in which they are given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Replaces the entries that the snapshot covers, and keeps those after it.
    Compact(Arc<Snapshot>),
    /// Appends entries, after removing all entries from the index of the first one on.
    Entries(Vec<Entry>),
    /// Replaces the hard state.
    HardState(HardState),
    /// Replaces the whole log by a snapshot received from the leader.
    Install(Arc<Snapshot>),
}

/// What a member reads back from disk at start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// Entries after the snapshot, in order and without a gap.
    pub entries: Vec<Entry>,
    /// Newest term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Arc<Snapshot>,
}

impl Recovered {
    /// Applies one record; a start replays all records that it reads from disk.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Compact(snapshot) => {
                let index = snapshot.meta.position.index;
                self.entries.retain(|entry| entry.position.index > index);
                self.snapshot = snapshot;
            }
            Record::Entries(entries) => {
                if let Some(first) = entries.first() {
                    let index = first.position.index;
                    self.entries.truncate(
                        self.entries
                            .partition_point(|entry| entry.position.index < index),
                    );
                }
                self.entries.extend(entries);
            }
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = snapshot;
            }
        }
    }
}
