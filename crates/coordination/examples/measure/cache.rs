//! A cache of blocks with a bound, which drops what was used longest ago.

use std::collections::BTreeSet;
use std::collections::HashMap;

use state::cache_directory::Change;
use state::ident::BlockHash;

/// Holds blocks and the changes that were not published yet.
pub struct Cache {
    bound: usize,
    changes: Vec<Change>,
    clock: u64,
    order: BTreeSet<(u64, BlockHash)>,
    used: HashMap<BlockHash, u64>,
}

impl Cache {
    /// Returns an empty cache of `bound` blocks.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            changes: Vec::new(),
            clock: 0,
            order: BTreeSet::new(),
            used: HashMap::new(),
        }
    }

    /// Returns all blocks held.
    pub fn blocks(&self) -> Vec<BlockHash> {
        self.order.iter().map(|(_, block)| *block).collect()
    }

    /// Returns how many leading blocks are held.
    pub fn depth(&self, blocks: &[BlockHash]) -> u32 {
        let held = blocks.iter().take_while(|b| self.used.contains_key(b));
        held.count() as u32
    }

    /// Empties the cache without telling anyone.
    pub fn lose(&mut self) {
        *self = Self::new(self.bound);
    }

    /// Returns the changes since the last call.
    pub fn publish(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Adds blocks, or marks them as used; a parent counts as used after its children.
    pub fn touch(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.used.insert(*block, self.clock) {
                Some(before) => {
                    self.order.remove(&(before, *block));
                }
                None => self.changes.push(Change::Stored(*block)),
            }
            self.order.insert((self.clock, *block));
        }
        while self.used.len() > self.bound {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.changes.push(Change::Removed(block));
        }
    }
}
