//! What a member of the replicated log keeps on its disk.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::quorum::Config;
use crate::quorum::MemberId;

/// Names a place in the log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Gives the term, which compares first.
    pub term: u64,
    /// Gives the index.
    pub index: u64,
}

/// Holds what an entry says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Holds a command of the state machine.
    Command(Arc<[u8]>),
    /// Holds the members from this entry on.
    Config(Config),
    /// Marks the start of a term.
    NoOp,
}

/// Holds one entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Gives the log's time at which the leader took the entry, in milliseconds.
    pub log_time_ms: u64,
    /// Holds what it says.
    pub payload: Payload,
    /// Names its place.
    pub position: Position,
}

impl Entry {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD: usize = 32;
        const MEMBER: usize = 64;
        match &self.payload {
            Payload::Command(bytes) => OVERHEAD + bytes.len(),
            Payload::Config(config) => OVERHEAD + MEMBER * config.members.len(),
            Payload::NoOp => OVERHEAD,
        }
    }
}

/// Holds the promises that must outlive a restart.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Gives the newest term seen.
    pub term: u64,
    /// Names the candidate voted for in that term.
    pub vote: Option<MemberId>,
}

/// Describes a snapshot without its data.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Gives the log's time of the last entry that it covers.
    pub log_time_ms: u64,
    /// Holds the members as of that entry.
    pub config: Config,
    /// Names the last entry that it covers.
    pub position: Position,
}

/// Holds the state machine as of one entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Holds the encoded state machine.
    pub data: Arc<[u8]>,
    /// Describes it.
    pub meta: SnapshotMeta,
}

/// Describes one change of the disk; records are written in the order they are given in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Replaces the entries up to the snapshot's, and keeps those after it.
    Compact(Arc<Snapshot>),
    /// Appends entries, after removing those at and after the first one's index.
    Entries(Vec<Entry>),
    /// Replaces the promises.
    HardState(HardState),
    /// Replaces the whole log by a snapshot received from the leader.
    Install(Arc<Snapshot>),
}

/// Holds what a disk gave back after a start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// Holds the entries after the snapshot, in order and without a gap.
    pub entries: Vec<Entry>,
    /// Holds the promises.
    pub hard_state: HardState,
    /// Holds the newest snapshot.
    pub snapshot: Arc<Snapshot>,
}

impl Recovered {
    /// Brings in one record, as a start does for each that it reads.
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
