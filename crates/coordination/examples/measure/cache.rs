//! A cache of blocks with a fixed capacity and least-recently-used eviction.

use std::collections::BTreeSet;
use std::collections::HashMap;

use state::cache_directory::Change;
use state::ident::BlockHash;

/// Cached blocks, and the changes since the last call of [`Cache::publish`].
pub struct Cache {
    capacity: usize,
    changes: Vec<Change>,
    /// Logical time: number of uses of blocks so far.
    clock: u64,
    by_last_use: BTreeSet<(u64, BlockHash)>,
    last_used: HashMap<BlockHash, u64>,
}

impl Cache {
    /// Returns an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            changes: Vec::new(),
            clock: 0,
            by_last_use: BTreeSet::new(),
            last_used: HashMap::new(),
        }
    }

    /// Returns all cached blocks, the least recently used first.
    pub fn blocks(&self) -> Vec<BlockHash> {
        self.by_last_use.iter().map(|(_, block)| *block).collect()
    }

    /// Returns how many leading blocks of `blocks` are cached.
    pub fn cached_prefix_len(&self, blocks: &[BlockHash]) -> u32 {
        let cached = blocks.iter().take_while(|b| self.last_used.contains_key(b));
        cached.count() as u32
    }

    /// Empties the cache without recording any change, as a crash does.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Returns and forgets the changes since the last call.
    pub fn publish(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Adds blocks or marks them as used, and evicts what exceeds the capacity. A parent counts as
    /// used after its children, so that the children are evicted first.
    pub fn touch(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.last_used.insert(*block, self.clock) {
                Some(before) => {
                    self.by_last_use.remove(&(before, *block));
                }
                None => self.changes.push(Change::Stored(*block)),
            }
            self.by_last_use.insert((self.clock, *block));
        }
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&block);
            self.changes.push(Change::Removed(block));
        }
    }
}
