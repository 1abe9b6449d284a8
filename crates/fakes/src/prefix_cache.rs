//! The prefix cache of a fake engine and the log of its changes.

use std::collections::HashMap;
use std::collections::VecDeque;

use tokio::time::Duration;
use tokio::time::Instant;

use protocol::engine::Change;
use protocol::engine::Entry;
use protocol::engine::Event;
use state::ident::BlockHash;

/// A set of KV-cache blocks with a bounded size that evicts the least recently used block and logs
/// each change as a numbered event.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: HashMap<BlockHash, CachedBlock>,
    capacity: usize,
    /// Logical time, which advances with each use of a block.
    clock: u64,
    drop_every_nth_event: u64,
    log: VecDeque<LogEntry>,
    max_events: usize,
    /// Number of the last change.
    seq: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    content: BlockHash,
    parent: Option<BlockHash>,
    /// Logical time of the last use.
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct LogEntry {
    at: Instant,
    event: Event,
}

/// The two hashes that identify a block: the caller's and the engine's own.
///
/// A block counts as cached only when both match, so a caller that reuses the hash of another
/// workspace's block does not get that block.
#[derive(Clone, Copy, Debug)]
pub struct BlockKey {
    /// Hash that the engine computes itself from salt, model, version and prompt.
    pub content: BlockHash,
    /// Hash that the caller sent for the block, which appears in events.
    pub hash: BlockHash,
}

impl PrefixCache {
    /// Returns an empty cache for `capacity` blocks that keeps the last `max_events` events.
    pub fn new(capacity: usize, max_events: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            capacity,
            clock: 0,
            drop_every_nth_event: 0,
            log: VecDeque::new(),
            max_events,
            seq: 0,
        }
    }

    /// Removes all blocks and logs one event for it.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.append(Change::Cleared, None, None);
    }

    /// Returns the content hash of a block, when the block is cached.
    pub fn content_hash(&self, hash: BlockHash) -> Option<BlockHash> {
        self.blocks.get(&hash).map(|cached| cached.content)
    }

    /// Returns up to `limit` events with a number above `after` that are at least `delay` old.
    pub fn events(&self, after: u64, delay: Duration, limit: usize) -> Vec<Event> {
        let visible = self.log.iter().take_while(|l| l.at.elapsed() >= delay);
        let new = visible.map(|l| l.event).filter(|e| e.seq > after);
        new.take(limit).collect()
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the cache has no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Leaves events whose number is a multiple of `every` out of the log; zero leaves out none.
    pub fn drop_every_nth_event(&mut self, every: u64) {
        self.drop_every_nth_event = every;
    }

    /// Returns how many leading blocks of `chain` are cached, and marks them as recently used.
    pub fn match_prefix(&mut self, chain: &[BlockKey]) -> usize {
        let cached = |n: &&BlockKey| self.content_hash(n.hash) == Some(n.content);
        let count = chain.iter().take_while(cached).count();
        self.touch(&chain[..count]);
        count
    }

    /// Returns the number of the newest event that is at least `delay` old, or zero.
    pub fn newest_seq(&self, delay: Duration) -> u64 {
        let visible = self.log.iter().take_while(|l| l.at.elapsed() >= delay);
        visible.last().map_or(0, |l| l.event.seq)
    }

    /// Returns the number of the last change, including events left out of the log.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns all cached blocks, parents before children.
    pub fn snapshot(&self) -> Vec<Entry> {
        let mut cached: Vec<_> = self.blocks.iter().collect();
        cached.sort_by_key(|(hash, _)| (self.depth(**hash), **hash));
        let entry = |(hash, cached): (&BlockHash, &CachedBlock)| Entry {
            block: *hash,
            parent: cached.parent,
        };
        cached.into_iter().map(entry).collect()
    }

    /// Stores the last block of `chain`, marks the whole chain as recently used and evicts blocks
    /// beyond the capacity.
    pub fn store(&mut self, chain: &[BlockKey]) {
        let Some(last) = chain.last() else { return };
        let parent = chain.len().checked_sub(2).map(|i| chain[i].hash);
        let cached = CachedBlock {
            content: last.content,
            parent,
            last_use: 0,
        };
        if self.blocks.insert(last.hash, cached).is_none() {
            self.append(Change::Stored, Some(last.hash), parent);
        }
        self.touch(chain);
        while self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    fn append(&mut self, change: Change, block: Option<BlockHash>, parent: Option<BlockHash>) {
        self.seq += 1;
        if self.drop_every_nth_event > 0 && self.seq.is_multiple_of(self.drop_every_nth_event) {
            return;
        }
        let event = Event {
            block,
            change,
            parent,
            seq: self.seq,
        };
        let at = Instant::now();
        self.log.push_back(LogEntry { at, event });
        while self.log.len() > self.max_events {
            self.log.pop_front();
        }
    }

    fn depth(&self, hash: BlockHash) -> usize {
        let parent = |hash: &BlockHash| self.blocks.get(hash).and_then(|cached| cached.parent);
        std::iter::successors(parent(&hash), parent).count()
    }

    fn evict(&mut self) {
        let oldest = self.blocks.iter().min_by_key(|(_, cached)| cached.last_use);
        let Some(hash) = oldest.map(|(hash, _)| *hash) else {
            return;
        };
        let cached = self.blocks.remove(&hash);
        self.append(Change::Evicted, Some(hash), cached.and_then(|h| h.parent));
    }

    /// Marks the blocks as recently used, the last first, so that children are evicted before
    /// their parents.
    fn touch(&mut self, chain: &[BlockKey]) {
        for key in chain.iter().rev() {
            self.clock += 1;
            if let Some(cached) = self.blocks.get_mut(&key.hash) {
                cached.last_use = self.clock;
            }
        }
    }
}
