//! A compact index from blocks to their holders.
//!
//! Each entry takes one 64-bit word: 52 bits of the block's hash and a holder id of 12 bits. The
//! words are stored in many small open-addressed hash tables, the segments, which grow one at a
//! time, so no insertion has to wait while the whole index is rebuilt.

use crate::ident::BlockHash;

/// Number of holder ids of an index. Id 0 is never used, because a word of 0 is an empty slot.
pub const MAX_HOLDER_IDS: usize = 1 << HOLDER_ID_BITS;

const FINGERPRINT_BITS: u32 = 52;
/// A segment grows when more than 17 of 20 slots are full.
const MAX_LOAD_NUMERATOR: usize = 17;
const MAX_LOAD_DENOMINATOR: usize = 20;
const HOLDER_ID_BITS: u32 = 12;
const HOLDER_ID_MASK: u64 = (1 << HOLDER_ID_BITS) - 1;
const SEGMENT_BITS: u32 = 12;
const MIN_SEGMENT_SLOTS: usize = 8;

/// Identifies a holder of blocks, whose entries are dropped together; less than
/// [`MAX_HOLDER_IDS`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(pub u16);

/// Hash table with open addressing and linear probing.
#[derive(Clone, Debug, Default)]
struct Segment {
    len: usize,
    slots: Vec<u64>,
}

/// Maps each block to any number of holders.
#[derive(Clone, Debug)]
pub struct BlockIndex {
    len: usize,
    segments: Vec<Segment>,
}

impl Default for BlockIndex {
    fn default() -> Self {
        Self {
            len: 0,
            segments: vec![Segment::default(); 1 << SEGMENT_BITS],
        }
    }
}

impl BlockIndex {
    /// Returns the memory that the index takes, in bytes.
    pub fn bytes(&self) -> usize {
        let slots: usize = self.segments.iter().map(|s| s.slots.capacity()).sum();
        slots * size_of::<u64>() + self.segments.len() * size_of::<Segment>()
    }

    /// Adds an entry and returns whether it is new.
    pub fn insert(&mut self, block: BlockHash, holder: HolderId) -> bool {
        let (segment, fingerprint) = locate(block);
        let added = self.segments[segment].insert(encode(fingerprint, holder));
        self.len += usize::from(added);
        added
    }

    /// Returns whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Calls `visit` with each holder of `block`.
    pub fn holders(&self, block: BlockHash, mut visit: impl FnMut(HolderId)) {
        let (segment, fingerprint) = locate(block);
        let segment = &self.segments[segment];
        if segment.slots.is_empty() {
            return;
        }
        let mut slot = segment.home_slot(fingerprint);
        while segment.slots[slot] != 0 {
            let entry = segment.slots[slot];
            if entry >> HOLDER_ID_BITS == fingerprint {
                visit(holder_of(entry));
            }
            slot = segment.next_slot(slot);
        }
    }

    /// Returns how many entries there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Removes an entry and returns whether it was there.
    pub fn remove(&mut self, block: BlockHash, holder: HolderId) -> bool {
        let (segment, fingerprint) = locate(block);
        let removed = self.segments[segment].remove(encode(fingerprint, holder));
        self.len -= usize::from(removed);
        removed
    }

    /// Returns how many segments a full sweep visits.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// Removes the entries of one segment for whose holder `keep` returns false.
    pub fn sweep(&mut self, segment: usize, keep: impl Fn(HolderId) -> bool) {
        let segment = &mut self.segments[segment];
        let stale = |slots: &[u64]| slots.iter().any(|e| *e != 0 && !keep(holder_of(*e)));
        if !stale(&segment.slots) {
            return;
        }
        let before = segment.len;
        let kept: Vec<u64> = segment
            .slots
            .drain(..)
            .filter(|entry| *entry != 0 && keep(holder_of(*entry)))
            .collect();
        segment.rebuild(kept);
        self.len -= before - segment.len;
    }
}

impl Segment {
    fn next_slot(&self, slot: usize) -> usize {
        if slot + 1 == self.slots.len() {
            0
        } else {
            slot + 1
        }
    }

    fn grow(&mut self) {
        let entries: Vec<u64> = self.slots.drain(..).filter(|e| *e != 0).collect();
        self.rebuild(entries);
    }

    fn home_slot(&self, fingerprint: u64) -> usize {
        let scaled = u128::from(fingerprint) * self.slots.len() as u128;
        (scaled >> FINGERPRINT_BITS) as usize
    }

    fn insert(&mut self, entry: u64) -> bool {
        if (self.len + 1) * MAX_LOAD_DENOMINATOR > self.slots.len() * MAX_LOAD_NUMERATOR {
            self.grow();
        }
        let mut slot = self.home_slot(entry >> HOLDER_ID_BITS);
        while self.slots[slot] != 0 {
            if self.slots[slot] == entry {
                return false;
            }
            slot = self.next_slot(slot);
        }
        self.slots[slot] = entry;
        self.len += 1;
        true
    }

    fn rebuild(&mut self, entries: Vec<u64>) {
        let len = (entries.len() * 3 / 2).max(MIN_SEGMENT_SLOTS);
        self.len = 0;
        self.slots = vec![0; len];
        for entry in entries {
            let mut slot = self.home_slot(entry >> HOLDER_ID_BITS);
            while self.slots[slot] != 0 {
                slot = self.next_slot(slot);
            }
            self.slots[slot] = entry;
            self.len += 1;
        }
    }

    fn remove(&mut self, entry: u64) -> bool {
        if self.slots.is_empty() {
            return false;
        }
        let mut slot = self.home_slot(entry >> HOLDER_ID_BITS);
        while self.slots[slot] != entry {
            if self.slots[slot] == 0 {
                return false;
            }
            slot = self.next_slot(slot);
        }
        self.close_hole(slot);
        self.len -= 1;
        true
    }

    /// Empties the slot `hole` and moves later entries up, so that no probe ends too early.
    fn close_hole(&mut self, mut hole: usize) {
        let mut slot = self.next_slot(hole);
        while self.slots[slot] != 0 {
            let home = self.home_slot(self.slots[slot] >> HOLDER_ID_BITS);
            let between = if hole < slot {
                hole < home && home <= slot
            } else {
                hole < home || home <= slot
            };
            if !between {
                self.slots[hole] = self.slots[slot];
                hole = slot;
            }
            slot = self.next_slot(slot);
        }
        self.slots[hole] = 0;
    }
}

fn holder_of(entry: u64) -> HolderId {
    HolderId((entry & HOLDER_ID_MASK) as u16)
}

/// Returns the segment of a block and the fingerprint under which it is stored there.
fn locate(block: BlockHash) -> (usize, u64) {
    let segment = (block.0 >> (128 - SEGMENT_BITS)) as usize;
    let fingerprint = (block.0 as u64) >> (u64::BITS - FINGERPRINT_BITS);
    (segment, fingerprint)
}

fn encode(fingerprint: u64, holder: HolderId) -> u64 {
    fingerprint << HOLDER_ID_BITS | u64::from(holder.0)
}
