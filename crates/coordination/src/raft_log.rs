//! In-memory log of a member: its newest snapshot and the entries after it.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::quorum::Config;
use crate::raft_entry::Entry;
use crate::raft_entry::Payload;
use crate::raft_entry::Position;
use crate::raft_entry::Snapshot;
use crate::raft_entry::SnapshotMeta;

/// The newest snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Index and membership of each membership entry after the snapshot.
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

    /// Returns the log time of the last entry, in milliseconds.
    pub fn last_time_ms(&self) -> u64 {
        let last = self.entries.back();
        last.map_or(self.snapshot.meta.log_time_ms, |entry| entry.log_time_ms)
    }

    /// Returns entries from `index` on, up to `max_bytes` in all, but at least one if there is one.
    pub fn batch(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut remaining = max_bytes;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(self.offset(index)) {
            if !batch.is_empty() && entry.size() > remaining {
                break;
            }
            remaining = remaining.saturating_sub(entry.size());
            batch.push(entry.clone());
        }
        batch
    }

    /// Replaces the entries up to `index` by a snapshot that holds `data`.
    ///
    /// Returns the snapshot, or `None` when an earlier snapshot covers `index` or the log ends
    /// before it.
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

    /// Returns the newest membership, committed or not.
    pub fn config(&self) -> &Config {
        self.config_at(u64::MAX)
    }

    /// Returns the index of the entry with the newest membership, or 0 when a snapshot covers it.
    pub fn config_index(&self) -> u64 {
        self.configs.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the position of the last entry.
    pub fn last_position(&self) -> Position {
        let last = self.entries.back();
        last.map_or(self.snapshot.meta.position, |entry| entry.position)
    }

    /// Appends an entry.
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

    /// Drops all entries and starts after `snapshot`.
    pub fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.configs.clear();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the term of the entry at `index`, or `None` when the log does not hold it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        let base = self.snapshot.meta.position;
        if index <= base.index {
            return (index == base.index).then_some(base.term);
        }
        let entry = self.entries.get(self.offset(index))?;
        Some(entry.position.term)
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        self.entries.truncate(self.offset(index));
        self.configs.retain(|(at, _)| *at < index);
    }

    fn config_at(&self, index: u64) -> &Config {
        let newest = self.configs.iter().rev().find(|(at, _)| *at <= index);
        newest.map_or(&self.snapshot.meta.config, |(_, config)| config)
    }

    fn offset(&self, index: u64) -> usize {
        index.saturating_sub(self.snapshot.meta.position.index + 1) as usize
    }
}
