//! The directory of which upstream holds which cached blocks.
//!
//! What it says is a hint: it follows event streams that are late and have gaps. It never reports
//! blocks of an earlier incarnation or weights version of an upstream.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::block_index::BlockIndex;
use crate::block_index::HolderId;
use crate::block_index::MAX_HOLDER_IDS;
use crate::ident::BlockHash;
use crate::ident::Incarnation;
use crate::time::Instant;

const BUFFERED_CHANGES: usize = 65_536;
const DOUBT_LIMIT_MS: u64 = 3_000;
const EXPECTED_BLOCKS: usize = 262_144;
const EXPECTED_LIFETIME_MS: u64 = 4_000;
const SWEEP_SEGMENTS: usize = 64;

/// Describes one change of an upstream's cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Reports that the whole cache was emptied.
    Cleared,
    /// Reports a block that left the cache.
    Removed(BlockHash),
    /// Reports a block that entered the cache.
    Stored(BlockHash),
}

/// Carries changes in the order in which they happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Lists the changes.
    pub changes: Vec<Change>,
    /// Identifies the run of the upstream that they belong to; later runs have greater ones.
    pub incarnation: Incarnation,
    /// Numbers the first change within its incarnation, from 0.
    pub sequence: u64,
    /// Names the weights version that the blocks were computed with.
    pub version: String,
}

/// Carries the whole content of an upstream's cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Lists the blocks.
    pub blocks: Vec<BlockHash>,
    /// Identifies the run of the upstream.
    pub incarnation: Incarnation,
    /// Numbers the first change that the snapshot does not include.
    pub sequence: u64,
    /// Names the weights version that the blocks were computed with.
    pub version: String,
}

/// Names an upstream in a directory; a `Copy` key.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamIndex(pub u16);

/// Tells what became of a batch or snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Means that all of it was applied.
    Applied,
    /// Means that changes before it are missing: a snapshot is needed.
    Gap,
    /// Means that it belongs to an earlier incarnation or was applied before.
    Outdated,
    /// Means that it opened a new incarnation or version, and that earlier blocks were dropped.
    Reset,
}

/// Tells how many leading blocks of a prompt each upstream holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CachedPrefixes {
    held: Vec<u32>,
    soon: Vec<u32>,
}

#[derive(Clone, Debug)]
struct Feed {
    buffer: VecDeque<Batch>,
    buffered: usize,
    doubt: Option<Instant>,
    incarnation: Incarnation,
    lane: Option<HolderId>,
    next: u64,
    version: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Use {
    Free,
    Live(UpstreamIndex),
    Stale { since: u64 },
}

/// Holds the blocks that each upstream holds.
#[derive(Clone, Debug)]
pub struct CacheDirectory {
    expected: HashMap<BlockHash, Vec<(UpstreamIndex, Instant)>>,
    expiries: VecDeque<(Instant, BlockHash, UpstreamIndex)>,
    feeds: Vec<Option<Feed>>,
    index: BlockIndex,
    lanes: Vec<Use>,
    sweep: usize,
    swept: u64,
}

impl Default for CacheDirectory {
    fn default() -> Self {
        Self {
            expected: HashMap::new(),
            expiries: VecDeque::new(),
            feeds: Vec::new(),
            index: BlockIndex::default(),
            lanes: vec![Use::Free; MAX_HOLDER_IDS],
            sweep: 0,
            swept: 0,
        }
    }
}

impl CacheDirectory {
    /// Applies `batch` of the upstream at `slot`.
    pub fn apply_batch(&mut self, slot: UpstreamIndex, batch: Batch, now: Instant) -> Outcome {
        let renewed = match self.open(slot, batch.incarnation, &batch.version) {
            Some(renewed) => renewed,
            None => return Outcome::Outdated,
        };
        let feed = self.feed(slot);
        let end = batch.sequence + batch.changes.len() as u64;
        if end <= feed.next && !batch.changes.is_empty() {
            return Outcome::Outdated;
        }
        let gap = batch.sequence > feed.next;
        let skip = feed.next.saturating_sub(batch.sequence) as usize;
        feed.next = end.max(feed.next);
        if gap && feed.doubt.is_none() {
            feed.doubt = Some(now);
        }
        feed.remember(&batch);
        for change in batch.changes.iter().skip(skip) {
            self.change(slot, *change);
        }
        match (gap, renewed) {
            (true, _) => Outcome::Gap,
            (false, true) => Outcome::Reset,
            (false, false) => Outcome::Applied,
        }
    }

    /// Returns the memory that the index takes, in bytes.
    pub fn index_bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Returns whether changes of the upstream were lost since its last snapshot.
    pub fn has_gap(&self, slot: UpstreamIndex) -> bool {
        self.peek(slot).is_some_and(|feed| feed.doubt.is_some())
    }

    /// Counts on `blocks` entering the cache of the upstream soon, because a request that computes
    /// them was sent there.
    pub fn add_expected(&mut self, slot: UpstreamIndex, blocks: &[BlockHash], now: Instant) {
        self.admit(slot);
        let expires = now + EXPECTED_LIFETIME_MS;
        for block in blocks {
            while self.expiries.len() >= EXPECTED_BLOCKS {
                self.forget();
            }
            let slots = self.expected.entry(*block).or_default();
            slots.retain(|(held, _)| *held != slot);
            slots.push((slot, expires));
            self.expiries.push_back((expires, *block, slot));
        }
    }

    /// Returns the incarnation of the upstream, once it was heard of.
    pub fn incarnation(&self, slot: UpstreamIndex) -> Option<Incarnation> {
        self.peek(slot).map(|feed| feed.incarnation)
    }

    /// Returns whether no block is held anywhere.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns how many entries there are, one for each block and upstream that holds it.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Replaces all that is known of the upstream's cache, then replays the changes that the
    /// snapshot does not include.
    pub fn apply_snapshot(
        &mut self,
        slot: UpstreamIndex,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Outcome {
        if self
            .open(slot, snapshot.incarnation, &snapshot.version)
            .is_none()
        {
            return Outcome::Outdated;
        }
        self.renew(slot);
        let buffer = self.feed(slot).settle();
        for block in &snapshot.blocks {
            self.change(slot, Change::Stored(*block));
        }
        let mut reached = snapshot.sequence;
        let mut gap = false;
        for batch in buffer {
            gap |= batch.sequence > reached;
            let skip = reached.saturating_sub(batch.sequence) as usize;
            reached = reached.max(batch.sequence + batch.changes.len() as u64);
            for change in batch.changes.iter().skip(skip) {
                self.change(slot, *change);
            }
        }
        let feed = self.feed(slot);
        gap |= reached < feed.next;
        feed.next = feed.next.max(reached);
        feed.doubt = gap.then_some(now);
        if gap { Outcome::Gap } else { Outcome::Applied }
    }

    /// Finds how many leading blocks of `blocks` each upstream holds.
    pub fn cached_prefixes(&self, blocks: &[BlockHash], now: Instant) -> CachedPrefixes {
        let mut residency = CachedPrefixes {
            held: vec![0; self.feeds.len()],
            soon: vec![0; self.feeds.len()],
        };
        for (at, block) in blocks.iter().enumerate() {
            let at = at as u32;
            let mut advanced = false;
            self.index.holders(*block, |lane| {
                if let Use::Live(slot) = self.lanes[usize::from(lane.0)] {
                    advance(&mut residency.held, slot, at);
                    advanced |= advance(&mut residency.soon, slot, at);
                }
            });
            for (slot, expires) in self.expected.get(block).into_iter().flatten() {
                if *expires > now {
                    advanced |= advance(&mut residency.soon, *slot, at);
                }
            }
            if !advanced {
                break;
            }
        }
        residency
    }

    /// Forgets what expired, drops doubtful caches that no snapshot settled in time, and sweeps a
    /// part of the index. Returns the upstreams that still need a snapshot.
    pub fn tick(&mut self, now: Instant) -> Vec<UpstreamIndex> {
        while self.expiries.front().is_some_and(|(at, _, _)| *at <= now) {
            self.forget();
        }
        self.sweep();
        let doubtful: Vec<(UpstreamIndex, Instant)> = self
            .feeds
            .iter()
            .enumerate()
            .filter_map(|(at, feed)| Some((UpstreamIndex(at as u16), feed.as_ref()?.doubt?)))
            .collect();
        for (slot, since) in &doubtful {
            if now.since(*since) >= DOUBT_LIMIT_MS {
                self.renew(*slot);
                self.feed(*slot).settle();
            }
        }
        doubtful.into_iter().map(|(slot, _)| slot).collect()
    }

    /// No longer counts on `blocks` entering the cache of the upstream.
    pub fn remove_expected(&mut self, slot: UpstreamIndex, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(slots) = self.expected.get_mut(block) {
                slots.retain(|(held, _)| *held != slot);
            }
        }
    }

    /// Returns the weights version of the upstream, once it was heard of.
    pub fn version(&self, slot: UpstreamIndex) -> Option<&str> {
        self.peek(slot).map(|feed| feed.version.as_str())
    }

    /// Drops all that is known of the upstream's cache, because the upstream is gone or doubted.
    pub fn invalidate(&mut self, slot: UpstreamIndex) {
        self.renew(slot);
    }

    fn admit(&mut self, slot: UpstreamIndex) {
        let len = usize::from(slot.0) + 1;
        if self.feeds.len() < len {
            self.feeds.resize(len, None);
        }
    }

    fn change(&mut self, slot: UpstreamIndex, change: Change) {
        match change {
            Change::Cleared => self.renew(slot),
            Change::Removed(block) => {
                if let Some(lane) = self.feed(slot).lane {
                    self.index.remove(block, lane);
                }
                self.remove_expected(slot, &[block]);
            }
            Change::Stored(block) => {
                if let Some(lane) = self.feed(slot).lane.or_else(|| self.lease(slot)) {
                    self.index.insert(block, lane);
                }
            }
        }
    }

    fn feed(&mut self, slot: UpstreamIndex) -> &mut Feed {
        self.feeds[usize::from(slot.0)]
            .as_mut()
            .expect("feed was opened")
    }

    fn forget(&mut self) {
        let Some((at, block, slot)) = self.expiries.pop_front() else {
            return;
        };
        let Some(slots) = self.expected.get_mut(&block) else {
            return;
        };
        slots.retain(|(held, expires)| *held != slot || *expires > at);
        if slots.is_empty() {
            self.expected.remove(&block);
        }
    }

    /// Takes a free lane for the upstream; without one its blocks go unrecorded until a sweep ends.
    fn lease(&mut self, slot: UpstreamIndex) -> Option<HolderId> {
        let free = (1..MAX_HOLDER_IDS).find(|lane| self.lanes[*lane] == Use::Free)?;
        self.lanes[free] = Use::Live(slot);
        let lane = HolderId(free as u16);
        self.feed(slot).lane = Some(lane);
        Some(lane)
    }

    /// Opens the feed for an incarnation and version and returns whether either is new, or nothing
    /// when the incarnation has been succeeded by another.
    fn open(
        &mut self,
        slot: UpstreamIndex,
        incarnation: Incarnation,
        version: &str,
    ) -> Option<bool> {
        self.admit(slot);
        let at = usize::from(slot.0);
        if let Some(feed) = &self.feeds[at] {
            if incarnation < feed.incarnation {
                return None;
            }
            if incarnation == feed.incarnation && version == feed.version {
                return Some(false);
            }
        }
        let next = match &self.feeds[at] {
            Some(feed) if feed.incarnation == incarnation => feed.next,
            _ => 0,
        };
        self.renew(slot);
        self.feeds[at] = Some(Feed {
            buffer: VecDeque::new(),
            buffered: 0,
            doubt: None,
            incarnation,
            lane: None,
            next,
            version: version.to_owned(),
        });
        Some(true)
    }

    fn peek(&self, slot: UpstreamIndex) -> Option<&Feed> {
        self.feeds.get(usize::from(slot.0))?.as_ref()
    }

    /// Makes all entries of the upstream stale at once; the sweep removes them later.
    fn renew(&mut self, slot: UpstreamIndex) {
        let since = self.swept;
        if let Some(Some(feed)) = self.feeds.get_mut(usize::from(slot.0))
            && let Some(lane) = feed.lane.take()
        {
            self.lanes[usize::from(lane.0)] = Use::Stale { since };
        }
        for slots in self.expected.values_mut() {
            slots.retain(|(held, _)| *held != slot);
        }
        self.expected.retain(|_, slots| !slots.is_empty());
    }

    fn sweep(&mut self) {
        let stale = |lane: &Use| matches!(lane, Use::Stale { .. });
        if !self.lanes.iter().any(stale) {
            return;
        }
        for _ in 0..SWEEP_SEGMENTS {
            let lanes = &self.lanes;
            let keep = |lane: HolderId| matches!(lanes[usize::from(lane.0)], Use::Live(_));
            self.index.sweep(self.sweep, keep);
            self.sweep += 1;
            if self.sweep == self.index.segments() {
                self.sweep = 0;
                self.swept += 1;
                self.release();
            }
        }
    }

    /// Frees the lanes that a whole sweep has passed over since they became stale.
    fn release(&mut self) {
        let swept = self.swept;
        for lane in &mut self.lanes {
            if matches!(lane, Use::Stale { since } if *since + 2 <= swept) {
                *lane = Use::Free;
            }
        }
    }
}

impl CachedPrefixes {
    /// Returns how many leading blocks the upstream holds already.
    pub fn cached(&self, slot: UpstreamIndex) -> u32 {
        self.held.get(usize::from(slot.0)).copied().unwrap_or(0)
    }

    /// Returns how many leading blocks the upstream holds or will hold soon.
    pub fn cached_or_expected(&self, slot: UpstreamIndex) -> u32 {
        self.soon.get(usize::from(slot.0)).copied().unwrap_or(0)
    }
}

impl Feed {
    /// Ends the doubt and returns the batches that were kept for replay.
    fn settle(&mut self) -> VecDeque<Batch> {
        self.buffered = 0;
        self.doubt = None;
        std::mem::take(&mut self.buffer)
    }

    /// Keeps a batch for replay over the snapshot that was asked for.
    fn remember(&mut self, batch: &Batch) {
        if self.doubt.is_none() {
            return;
        }
        self.buffered += batch.changes.len();
        self.buffer.push_back(batch.clone());
        while self.buffered > BUFFERED_CHANGES {
            let Some(oldest) = self.buffer.pop_front() else {
                return;
            };
            self.buffered -= oldest.changes.len();
        }
    }
}

/// Counts the block at `at` for the upstream if it continues what is counted.
fn advance(depths: &mut [u32], slot: UpstreamIndex, at: u32) -> bool {
    match depths.get_mut(usize::from(slot.0)) {
        Some(depth) if *depth == at => {
            *depth = at + 1;
            true
        }
        _ => false,
    }
}
