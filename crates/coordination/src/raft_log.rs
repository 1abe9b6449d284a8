//! The entries that a member holds in memory: those after its newest snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::quorum::Config;
use crate::raft_entry::Entry;
use crate::raft_entry::Payload;
use crate::raft_entry::Position;
use crate::raft_entry::Snapshot;
use crate::raft_entry::SnapshotMeta;

/// Holds the newest snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    configs: Vec<(u64, Config)>,
    entries: VecDeque<Entry>,
    snapshot: Arc<Snapshot>,
}

impl Log {
    /// Returns a log that starts after `snapshot` and holds `entries`.
    pub fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        log.reset(snapshot);
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Returns the log's time of the last entry.
    pub fn last_time_ms(&self) -> u64 {
        let last = self.entries.back();
        last.map_or(self.snapshot.meta.log_time_ms, |entry| entry.log_time_ms)
    }

    /// Returns entries from `index` on, at least one where there is one, up to `bytes`.
    pub fn batch(&self, index: u64, bytes: usize) -> Vec<Entry> {
        let mut room = bytes;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(self.offset(index)) {
            if !batch.is_empty() && entry.size() > room {
                break;
            }
            room = room.saturating_sub(entry.size());
            batch.push(entry.clone());
        }
        batch
    }

    /// Replaces the entries up to `index` by a snapshot that holds `data`.
    ///
    /// Returns the snapshot, or `None` when `index` is already covered or not held.
    pub fn compact(&mut self, index: u64, data: Arc<[u8]>) -> Option<Arc<Snapshot>> {
        if index <= self.snapshot.meta.position.index {
            return None;
        }
        let entry = self.entries.get(self.offset(index))?;
        let meta = SnapshotMeta {
            log_time_ms: entry.log_time_ms,
            config: self.config_at(index).clone(),
            position: entry.position,
        };
        self.entries.drain(..=self.offset(index));
        self.configs.retain(|(at, _)| *at > index);
        self.snapshot = Arc::new(Snapshot { data, meta });
        Some(self.snapshot.clone())
    }

    /// Returns the newest members.
    pub fn config(&self) -> &Config {
        self.config_at(u64::MAX)
    }

    /// Returns the index of the entry that set the newest members.
    pub fn config_index(&self) -> u64 {
        self.configs.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the place of the last entry.
    pub fn last_position(&self) -> Position {
        let last = self.entries.back();
        last.map_or(self.snapshot.meta.position, |entry| entry.position)
    }

    /// Adds an entry after the last one.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.position.index, config.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Returns the entries from `first` to `last`, both included.
    pub fn range(&self, first: u64, last: u64) -> Vec<Entry> {
        let start = self.offset(first);
        let end = self.offset(last + 1).min(self.entries.len());
        self.entries.range(start..end).cloned().collect()
    }

    /// Forgets all entries and starts after `snapshot`.
    pub fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.configs.clear();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the term of the entry at `index`, unless it is not held.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        let base = self.snapshot.meta.position;
        if index <= base.index {
            return (index == base.index).then_some(base.term);
        }
        let entry = self.entries.get(self.offset(index))?;
        Some(entry.position.term)
    }

    /// Removes the entries at and after `index`.
    pub fn truncate(&mut self, index: u64) {
        self.entries.truncate(self.offset(index));
        self.configs.retain(|(at, _)| *at < index);
    }

    fn config_at(&self, index: u64) -> &Config {
        let set = self.configs.iter().rev().find(|(at, _)| *at <= index);
        set.map_or(&self.snapshot.meta.config, |(_, config)| config)
    }

    fn offset(&self, index: u64) -> usize {
        index.saturating_sub(self.snapshot.meta.position.index + 1) as usize
    }
}
