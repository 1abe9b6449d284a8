//! A compact index from blocks to the lanes that hold them.
//!
//! Each entry takes one 64-bit word: 52 bits of the block's key and 12 bits of lane. The words
//! stand in many small open-addressed segments that grow one at a time, so no insertion ever
//! pauses for the whole index.

use crate::ident::BlockHash;

/// Bounds the lanes of an index; lane 0 is never used.
pub const MAX_HOLDER_IDS: usize = 1 << HOLDER_ID_BITS;

const FINGERPRINT_BITS: u32 = 52;
const FULL_NUMERATOR: usize = 17;
const FULL_DENOMINATOR: usize = 20;
const HOLDER_ID_BITS: u32 = 12;
const HOLDER_ID_MASK: u64 = (1 << HOLDER_ID_BITS) - 1;
const SEGMENT_BITS: u32 = 12;
const SMALLEST_SEGMENT: usize = 8;

/// Names a set of entries that are dropped together; a `Copy` key below [`LANES`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(pub u16);

#[derive(Clone, Debug, Default)]
struct Segment {
    len: usize,
    slots: Vec<u64>,
}

/// Maps blocks to lanes, several to one block.
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
        let (segment, fingerprint) = split(block);
        let added = self.segments[segment].insert(word(fingerprint, holder));
        self.len += usize::from(added);
        added
    }

    /// Returns whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Calls `visit` with each lane that holds `block`.
    pub fn holders(&self, block: BlockHash, mut visit: impl FnMut(HolderId)) {
        let (segment, fingerprint) = split(block);
        let segment = &self.segments[segment];
        if segment.slots.is_empty() {
            return;
        }
        let mut at = segment.home(fingerprint);
        while segment.slots[at] != 0 {
            let entry = segment.slots[at];
            if entry >> HOLDER_ID_BITS == fingerprint {
                visit(holder(entry));
            }
            at = segment.after(at);
        }
    }

    /// Returns how many entries there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Removes an entry and returns whether it was there.
    pub fn remove(&mut self, block: BlockHash, holder: HolderId) -> bool {
        let (segment, fingerprint) = split(block);
        let removed = self.segments[segment].remove(word(fingerprint, holder));
        self.len -= usize::from(removed);
        removed
    }

    /// Returns how many segments a full sweep visits.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// Removes the entries of one segment whose lane `keep` refuses.
    pub fn sweep(&mut self, segment: usize, keep: impl Fn(HolderId) -> bool) {
        let segment = &mut self.segments[segment];
        let stale = |slots: &[u64]| slots.iter().any(|e| *e != 0 && !keep(holder(*e)));
        if !stale(&segment.slots) {
            return;
        }
        let before = segment.len;
        let kept: Vec<u64> = segment
            .slots
            .drain(..)
            .filter(|entry| *entry != 0 && keep(holder(*entry)))
            .collect();
        segment.refill(kept);
        self.len -= before - segment.len;
    }
}

impl Segment {
    fn after(&self, at: usize) -> usize {
        if at + 1 == self.slots.len() {
            0
        } else {
            at + 1
        }
    }

    fn grow(&mut self) {
        let entries: Vec<u64> = self.slots.drain(..).filter(|e| *e != 0).collect();
        self.refill(entries);
    }

    fn home(&self, fingerprint: u64) -> usize {
        let scaled = u128::from(fingerprint) * self.slots.len() as u128;
        (scaled >> FINGERPRINT_BITS) as usize
    }

    fn insert(&mut self, entry: u64) -> bool {
        if (self.len + 1) * FULL_DENOMINATOR > self.slots.len() * FULL_NUMERATOR {
            self.grow();
        }
        let mut at = self.home(entry >> HOLDER_ID_BITS);
        while self.slots[at] != 0 {
            if self.slots[at] == entry {
                return false;
            }
            at = self.after(at);
        }
        self.slots[at] = entry;
        self.len += 1;
        true
    }

    fn refill(&mut self, entries: Vec<u64>) {
        let len = (entries.len() * 3 / 2).max(SMALLEST_SEGMENT);
        self.len = 0;
        self.slots = vec![0; len];
        for entry in entries {
            let mut at = self.home(entry >> HOLDER_ID_BITS);
            while self.slots[at] != 0 {
                at = self.after(at);
            }
            self.slots[at] = entry;
            self.len += 1;
        }
    }

    fn remove(&mut self, entry: u64) -> bool {
        if self.slots.is_empty() {
            return false;
        }
        let mut at = self.home(entry >> HOLDER_ID_BITS);
        while self.slots[at] != entry {
            if self.slots[at] == 0 {
                return false;
            }
            at = self.after(at);
        }
        self.close(at);
        self.len -= 1;
        true
    }

    /// Empties the slot `hole` and moves later entries up, so that no search ends too early.
    fn close(&mut self, mut hole: usize) {
        let mut at = self.after(hole);
        while self.slots[at] != 0 {
            let home = self.home(self.slots[at] >> HOLDER_ID_BITS);
            let between = if hole < at {
                hole < home && home <= at
            } else {
                hole < home || home <= at
            };
            if !between {
                self.slots[hole] = self.slots[at];
                hole = at;
            }
            at = self.after(at);
        }
        self.slots[hole] = 0;
    }
}

fn holder(entry: u64) -> HolderId {
    HolderId((entry & HOLDER_ID_MASK) as u16)
}

fn split(block: BlockHash) -> (usize, u64) {
    let segment = (block.0 >> (128 - SEGMENT_BITS)) as usize;
    let fingerprint = (block.0 as u64) >> (u64::BITS - FINGERPRINT_BITS);
    (segment, fingerprint)
}

fn word(fingerprint: u64, holder: HolderId) -> u64 {
    fingerprint << HOLDER_ID_BITS | u64::from(holder.0)
}
