//! The directory of which upstream holds which cached blocks.
//!
//! Its answers are hints: it follows event streams that are late and have gaps. It never reports
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

/// Most changes that are kept per upstream for replay over a snapshot; beyond them, the oldest
/// batches are dropped.
const MAX_BUFFERED_CHANGES: usize = 65_536;
/// Time after which the entries of an upstream are dropped if no snapshot has closed its gap.
const GAP_TIMEOUT_MS: u64 = 3_000;
/// Most blocks that are expected over all upstreams; beyond them, the oldest are forgotten.
const MAX_EXPECTED_BLOCKS: usize = 262_144;
/// Time for which a block is expected after its request was sent.
const EXPECTED_LIFETIME_MS: u64 = 4_000;
/// Segments of the index that one tick sweeps.
const SEGMENTS_PER_TICK: usize = 64;

/// A change of an upstream's cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The whole cache was emptied.
    Cleared,
    /// A block left the cache.
    Removed(BlockHash),
    /// A block entered the cache.
    Stored(BlockHash),
}

/// Changes of an upstream's cache, in the order in which they happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The changes.
    pub changes: Vec<Change>,
    /// The run of the upstream that they belong to; later runs have greater incarnations.
    pub incarnation: Incarnation,
    /// Sequence number of the first change within its incarnation, from 0.
    pub sequence: u64,
    /// Weights version that the blocks were computed with.
    pub version: String,
}

/// The whole content of an upstream's cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The cached blocks.
    pub blocks: Vec<BlockHash>,
    /// The run of the upstream.
    pub incarnation: Incarnation,
    /// Sequence number of the first change that the snapshot does not include.
    pub sequence: u64,
    /// Weights version that the blocks were computed with.
    pub version: String,
}

/// Identifies an upstream in a directory, as the index into its vectors.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamIndex(pub u16);

/// Result of applying a batch or snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All of it was applied.
    Applied,
    /// Changes before it are missing: a snapshot is needed.
    Gap,
    /// It belongs to an earlier incarnation or was applied before.
    Outdated,
    /// It started a new incarnation or version, and all earlier blocks were dropped.
    Reset,
}

/// Number of leading blocks of a prompt that each upstream holds, by upstream index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CachedPrefixes {
    cached: Vec<u32>,
    cached_or_expected: Vec<u32>,
}

/// State of the event stream of one upstream.
#[derive(Clone, Debug)]
struct EventFeed {
    /// Batches since the gap, for replay over the next snapshot.
    buffer: VecDeque<Batch>,
    buffered_changes: usize,
    /// Time since which changes are missing.
    gap_since: Option<Instant>,
    incarnation: Incarnation,
    /// Holder id of the upstream's entries in the index, if it has any.
    holder_id: Option<HolderId>,
    next_sequence: u64,
    version: String,
}

/// Use of a holder id of the index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderIdState {
    Free,
    Live(UpstreamIndex),
    /// Freed once a whole sweep has passed that began after this many sweeps were complete.
    Stale {
        since: u64,
    },
}

/// Tracks which blocks each upstream holds, and which it will hold soon.
#[derive(Clone, Debug)]
pub struct CacheDirectory {
    /// Expected blocks, with the upstreams and the times at which the expectation expires.
    expected: HashMap<BlockHash, Vec<(UpstreamIndex, Instant)>>,
    /// Entries of `expected` in order of expiry.
    expiries: VecDeque<(Instant, BlockHash, UpstreamIndex)>,
    feeds: Vec<Option<EventFeed>>,
    index: BlockIndex,
    /// Use of each holder id.
    holder_ids: Vec<HolderIdState>,
    /// Segment of the index at which the sweep goes on.
    next_segment: usize,
    completed_sweeps: u64,
}

impl Default for CacheDirectory {
    fn default() -> Self {
        Self {
            expected: HashMap::new(),
            expiries: VecDeque::new(),
            feeds: Vec::new(),
            index: BlockIndex::default(),
            holder_ids: vec![HolderIdState::Free; MAX_HOLDER_IDS],
            next_segment: 0,
            completed_sweeps: 0,
        }
    }
}

impl CacheDirectory {
    /// Applies a batch of changes of the upstream's cache.
    pub fn apply_batch(&mut self, upstream: UpstreamIndex, batch: Batch, now: Instant) -> Outcome {
        let reset = match self.open_feed(upstream, batch.incarnation, &batch.version) {
            Some(reset) => reset,
            None => return Outcome::Outdated,
        };
        let feed = self.feed_mut(upstream);
        let end = batch.sequence + batch.changes.len() as u64;
        if end <= feed.next_sequence && !batch.changes.is_empty() {
            return Outcome::Outdated;
        }
        let gap = batch.sequence > feed.next_sequence;
        let skip = feed.next_sequence.saturating_sub(batch.sequence) as usize;
        feed.next_sequence = end.max(feed.next_sequence);
        if gap && feed.gap_since.is_none() {
            feed.gap_since = Some(now);
        }
        feed.buffer_for_replay(&batch);
        for change in batch.changes.iter().skip(skip) {
            self.apply_change(upstream, *change);
        }
        match (gap, reset) {
            (true, _) => Outcome::Gap,
            (false, true) => Outcome::Reset,
            (false, false) => Outcome::Applied,
        }
    }

    /// Returns the memory that the index takes, in bytes.
    pub fn index_bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Returns whether changes of the upstream's cache were lost since its last snapshot.
    pub fn has_gap(&self, upstream: UpstreamIndex) -> bool {
        self.feed(upstream)
            .is_some_and(|feed| feed.gap_since.is_some())
    }

    /// Expects `blocks` to enter the cache of the upstream soon, because a request that computes
    /// them was sent there.
    pub fn add_expected(&mut self, upstream: UpstreamIndex, blocks: &[BlockHash], now: Instant) {
        self.ensure_feed_entry(upstream);
        let expires = now + EXPECTED_LIFETIME_MS;
        for block in blocks {
            while self.expiries.len() >= MAX_EXPECTED_BLOCKS {
                self.pop_expiry();
            }
            let upstreams = self.expected.entry(*block).or_default();
            upstreams.retain(|(held, _)| *held != upstream);
            upstreams.push((upstream, expires));
            self.expiries.push_back((expires, *block, upstream));
        }
    }

    /// Returns the incarnation of the upstream, once a batch or snapshot of it was applied.
    pub fn incarnation(&self, upstream: UpstreamIndex) -> Option<Incarnation> {
        self.feed(upstream).map(|feed| feed.incarnation)
    }

    /// Returns whether no upstream holds a block.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns how many entries there are, one for each block and upstream that holds it.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Replaces the entries of the upstream by `snapshot`, then replays the buffered changes that
    /// the snapshot does not include.
    pub fn apply_snapshot(
        &mut self,
        upstream: UpstreamIndex,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Outcome {
        if self
            .open_feed(upstream, snapshot.incarnation, &snapshot.version)
            .is_none()
        {
            return Outcome::Outdated;
        }
        self.discard_entries(upstream);
        let buffer = self.feed_mut(upstream).close_gap();
        for block in &snapshot.blocks {
            self.apply_change(upstream, Change::Stored(*block));
        }
        let mut next = snapshot.sequence;
        let mut gap = false;
        for batch in buffer {
            gap |= batch.sequence > next;
            let skip = next.saturating_sub(batch.sequence) as usize;
            next = next.max(batch.sequence + batch.changes.len() as u64);
            for change in batch.changes.iter().skip(skip) {
                self.apply_change(upstream, *change);
            }
        }
        let feed = self.feed_mut(upstream);
        gap |= next < feed.next_sequence;
        feed.next_sequence = feed.next_sequence.max(next);
        feed.gap_since = gap.then_some(now);
        if gap { Outcome::Gap } else { Outcome::Applied }
    }

    /// Returns how many leading blocks of `blocks` each upstream holds.
    pub fn cached_prefixes(&self, blocks: &[BlockHash], now: Instant) -> CachedPrefixes {
        let mut prefixes = CachedPrefixes {
            cached: vec![0; self.feeds.len()],
            cached_or_expected: vec![0; self.feeds.len()],
        };
        for (position, block) in blocks.iter().enumerate() {
            let position = position as u32;
            let mut advanced = false;
            self.index.holders(*block, |holder_id| {
                if let HolderIdState::Live(upstream) = self.holder_ids[usize::from(holder_id.0)] {
                    extend_prefix(&mut prefixes.cached, upstream, position);
                    advanced |= extend_prefix(&mut prefixes.cached_or_expected, upstream, position);
                }
            });
            for (upstream, expires) in self.expected.get(block).into_iter().flatten() {
                if *expires > now {
                    advanced |=
                        extend_prefix(&mut prefixes.cached_or_expected, *upstream, position);
                }
            }
            if !advanced {
                break;
            }
        }
        prefixes
    }

    /// Forgets expected blocks that expired, drops the entries of upstreams whose gap no snapshot
    /// has closed in time, and sweeps a part of the index. Returns the upstreams that have a gap
    /// and so need a snapshot.
    pub fn tick(&mut self, now: Instant) -> Vec<UpstreamIndex> {
        while self.expiries.front().is_some_and(|(at, _, _)| *at <= now) {
            self.pop_expiry();
        }
        self.sweep_segments();
        let gaps: Vec<(UpstreamIndex, Instant)> = self
            .feeds
            .iter()
            .enumerate()
            .filter_map(|(at, feed)| Some((UpstreamIndex(at as u16), feed.as_ref()?.gap_since?)))
            .collect();
        for (upstream, since) in &gaps {
            if now.since(*since) >= GAP_TIMEOUT_MS {
                self.discard_entries(*upstream);
                self.feed_mut(*upstream).close_gap();
            }
        }
        gaps.into_iter().map(|(upstream, _)| upstream).collect()
    }

    /// No longer expects `blocks` to enter the cache of the upstream.
    pub fn remove_expected(&mut self, upstream: UpstreamIndex, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(upstreams) = self.expected.get_mut(block) {
                upstreams.retain(|(held, _)| *held != upstream);
            }
        }
    }

    /// Returns the weights version of the upstream, once a batch or snapshot of it was applied.
    pub fn version(&self, upstream: UpstreamIndex) -> Option<&str> {
        self.feed(upstream).map(|feed| feed.version.as_str())
    }

    /// Drops all entries of the upstream, because it is gone or its cache is uncertain.
    pub fn invalidate(&mut self, upstream: UpstreamIndex) {
        self.discard_entries(upstream);
    }

    fn ensure_feed_entry(&mut self, upstream: UpstreamIndex) {
        let len = usize::from(upstream.0) + 1;
        if self.feeds.len() < len {
            self.feeds.resize(len, None);
        }
    }

    fn apply_change(&mut self, upstream: UpstreamIndex, change: Change) {
        match change {
            Change::Cleared => self.discard_entries(upstream),
            Change::Removed(block) => {
                if let Some(holder_id) = self.feed_mut(upstream).holder_id {
                    self.index.remove(block, holder_id);
                }
                self.remove_expected(upstream, &[block]);
            }
            Change::Stored(block) => {
                if let Some(holder_id) = self
                    .feed_mut(upstream)
                    .holder_id
                    .or_else(|| self.allocate_holder_id(upstream))
                {
                    self.index.insert(block, holder_id);
                }
            }
        }
    }

    fn feed_mut(&mut self, upstream: UpstreamIndex) -> &mut EventFeed {
        self.feeds[usize::from(upstream.0)]
            .as_mut()
            .expect("feed is open")
    }

    fn pop_expiry(&mut self) {
        let Some((at, block, upstream)) = self.expiries.pop_front() else {
            return;
        };
        let Some(upstreams) = self.expected.get_mut(&block) else {
            return;
        };
        upstreams.retain(|(held, expires)| *held != upstream || *expires > at);
        if upstreams.is_empty() {
            self.expected.remove(&block);
        }
    }

    /// Allocates a free holder id for the upstream. If none is free, its blocks are not recorded
    /// until a sweep frees one.
    fn allocate_holder_id(&mut self, upstream: UpstreamIndex) -> Option<HolderId> {
        let free = (1..MAX_HOLDER_IDS)
            .find(|holder_id| self.holder_ids[*holder_id] == HolderIdState::Free)?;
        self.holder_ids[free] = HolderIdState::Live(upstream);
        let holder_id = HolderId(free as u16);
        self.feed_mut(upstream).holder_id = Some(holder_id);
        Some(holder_id)
    }

    /// Opens the feed for an incarnation and version and returns whether either is new, or `None`
    /// if a later incarnation is known.
    fn open_feed(
        &mut self,
        upstream: UpstreamIndex,
        incarnation: Incarnation,
        version: &str,
    ) -> Option<bool> {
        self.ensure_feed_entry(upstream);
        let at = usize::from(upstream.0);
        if let Some(feed) = &self.feeds[at] {
            if incarnation < feed.incarnation {
                return None;
            }
            if incarnation == feed.incarnation && version == feed.version {
                return Some(false);
            }
        }
        let next_sequence = match &self.feeds[at] {
            Some(feed) if feed.incarnation == incarnation => feed.next_sequence,
            _ => 0,
        };
        self.discard_entries(upstream);
        self.feeds[at] = Some(EventFeed {
            buffer: VecDeque::new(),
            buffered_changes: 0,
            gap_since: None,
            incarnation,
            holder_id: None,
            next_sequence,
            version: version.to_owned(),
        });
        Some(true)
    }

    fn feed(&self, upstream: UpstreamIndex) -> Option<&EventFeed> {
        self.feeds.get(usize::from(upstream.0))?.as_ref()
    }

    /// Makes all entries of the upstream stale at once; the sweep removes them later.
    fn discard_entries(&mut self, upstream: UpstreamIndex) {
        let since = self.completed_sweeps;
        if let Some(Some(feed)) = self.feeds.get_mut(usize::from(upstream.0))
            && let Some(holder_id) = feed.holder_id.take()
        {
            self.holder_ids[usize::from(holder_id.0)] = HolderIdState::Stale { since };
        }
        for upstreams in self.expected.values_mut() {
            upstreams.retain(|(held, _)| *held != upstream);
        }
        self.expected.retain(|_, upstreams| !upstreams.is_empty());
    }

    fn sweep_segments(&mut self) {
        let stale = |state: &HolderIdState| matches!(state, HolderIdState::Stale { .. });
        if !self.holder_ids.iter().any(stale) {
            return;
        }
        for _ in 0..SEGMENTS_PER_TICK {
            let holder_ids = &self.holder_ids;
            let keep = |holder_id: HolderId| {
                matches!(holder_ids[usize::from(holder_id.0)], HolderIdState::Live(_))
            };
            self.index.sweep(self.next_segment, keep);
            self.next_segment += 1;
            if self.next_segment == self.index.segments() {
                self.next_segment = 0;
                self.completed_sweeps += 1;
                self.free_swept_holder_ids();
            }
        }
    }

    /// Frees the holder ids over which a whole sweep has passed since they became stale. A sweep
    /// that was under way at that time does not count, hence the 2.
    fn free_swept_holder_ids(&mut self) {
        let completed = self.completed_sweeps;
        for state in &mut self.holder_ids {
            if matches!(state, HolderIdState::Stale { since } if *since + 2 <= completed) {
                *state = HolderIdState::Free;
            }
        }
    }
}

impl CachedPrefixes {
    /// Returns how many leading blocks the upstream holds.
    pub fn cached(&self, upstream: UpstreamIndex) -> u32 {
        self.cached
            .get(usize::from(upstream.0))
            .copied()
            .unwrap_or(0)
    }

    /// Returns how many leading blocks the upstream holds or will hold soon.
    pub fn cached_or_expected(&self, upstream: UpstreamIndex) -> u32 {
        self.cached_or_expected
            .get(usize::from(upstream.0))
            .copied()
            .unwrap_or(0)
    }
}

impl EventFeed {
    /// Marks the gap as closed and returns the batches that were buffered for replay.
    fn close_gap(&mut self) -> VecDeque<Batch> {
        self.buffered_changes = 0;
        self.gap_since = None;
        std::mem::take(&mut self.buffer)
    }

    /// Keeps a batch for replay over the next snapshot, while there is a gap.
    fn buffer_for_replay(&mut self, batch: &Batch) {
        if self.gap_since.is_none() {
            return;
        }
        self.buffered_changes += batch.changes.len();
        self.buffer.push_back(batch.clone());
        while self.buffered_changes > MAX_BUFFERED_CHANGES {
            let Some(oldest) = self.buffer.pop_front() else {
                return;
            };
            self.buffered_changes -= oldest.changes.len();
        }
    }
}

/// Extends the upstream's prefix by the block at `position`, if it holds all blocks before it.
fn extend_prefix(depths: &mut [u32], upstream: UpstreamIndex, position: u32) -> bool {
    match depths.get_mut(usize::from(upstream.0)) {
        Some(depth) if *depth == position => {
            *depth = position + 1;
            true
        }
        _ => false,
    }
}
