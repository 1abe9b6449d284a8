//! Faults of cache event streams and what the directory makes of them.

use state::block_index::BlockIndex;
use state::block_index::HolderId;
use state::cache_directory::Batch;
use state::cache_directory::CacheDirectory;
use state::cache_directory::Change;
use state::cache_directory::Outcome;
use state::cache_directory::Snapshot;
use state::cache_directory::UpstreamIndex;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::time::Instant;

type Fault = fn(&mut CacheDirectory);

const A: UpstreamIndex = UpstreamIndex(0);
const B: UpstreamIndex = UpstreamIndex(1);

fn chain(workspace: &str, blocks: usize) -> Vec<BlockHash> {
    BlockHash::root(workspace, "m", "v1").chain(&vec![7; blocks * 4], 4)
}

fn batch(incarnation: u64, version: &str, sequence: u64, changes: Vec<Change>) -> Batch {
    Batch {
        changes,
        incarnation: Incarnation(incarnation),
        sequence,
        version: version.to_owned(),
    }
}

fn stored(blocks: &[BlockHash]) -> Vec<Change> {
    blocks.iter().map(|block| Change::Stored(*block)).collect()
}

fn held(directory: &CacheDirectory, slot: UpstreamIndex, blocks: &[BlockHash], now: u64) -> u32 {
    directory
        .cached_prefixes(blocks, Instant(now))
        .cached_or_expected(slot)
}

fn filled() -> (CacheDirectory, Vec<BlockHash>) {
    let mut directory = CacheDirectory::default();
    let blocks = chain("maps", 4);
    directory.apply_batch(A, batch(1, "v1", 0, stored(&blocks)), Instant(0));
    (directory, blocks)
}

#[test]
fn nested_prefix_counts_leading_blocks_only() {
    let (mut directory, blocks) = filled();
    directory.apply_batch(B, batch(1, "v1", 0, stored(&blocks[1..])), Instant(0));
    assert_eq!(held(&directory, A, &blocks, 0), 4);
    assert_eq!(held(&directory, B, &blocks, 0), 0);
    directory.apply_batch(
        A,
        batch(1, "v1", 4, vec![Change::Removed(blocks[2])]),
        Instant(1),
    );
    assert_eq!(held(&directory, A, &blocks, 1), 2);
}

#[test]
fn what_voids_a_cache() {
    let cases: [(&str, Fault); 5] = [
        ("cleared", |d| {
            d.apply_batch(A, batch(1, "v1", 4, vec![Change::Cleared]), Instant(1));
        }),
        ("dead", |d| d.invalidate(A)),
        ("new incarnation", |d| {
            d.apply_batch(A, batch(2, "v1", 0, vec![]), Instant(1));
        }),
        ("new version", |d| {
            d.apply_batch(A, batch(1, "v2", 4, vec![]), Instant(1));
        }),
        ("snapshot without them", |d| {
            let snapshot = Snapshot {
                blocks: vec![],
                incarnation: Incarnation(1),
                sequence: 4,
                version: "v1".to_owned(),
            };
            d.apply_snapshot(A, &snapshot, Instant(1));
        }),
    ];
    for (name, fault) in cases {
        let (mut directory, blocks) = filled();
        directory.add_expected(A, &blocks, Instant(0));
        fault(&mut directory);
        assert_eq!(held(&directory, A, &blocks, 1), 0, "{name}");
    }
}

#[test]
fn other_workspaces_and_versions_never_match() {
    let (directory, _) = filled();
    assert_eq!(held(&directory, A, &chain("shops", 4), 0), 0);
    let newer = BlockHash::root("maps", "m", "v2").chain(&[7; 16], 4);
    assert_eq!(held(&directory, A, &newer, 0), 0);
}

#[test]
fn late_and_repeated_batches_change_nothing() {
    let (mut directory, blocks) = filled();
    directory.apply_batch(
        A,
        batch(1, "v1", 4, vec![Change::Removed(blocks[3])]),
        Instant(1),
    );
    let repeat = batch(1, "v1", 0, stored(&blocks));
    assert_eq!(
        directory.apply_batch(A, repeat, Instant(2)),
        Outcome::Outdated
    );
    assert_eq!(held(&directory, A, &blocks, 2), 3);
    directory.apply_batch(A, batch(2, "v1", 0, vec![]), Instant(3));
    let late = batch(1, "v1", 5, stored(&blocks));
    assert_eq!(
        directory.apply_batch(A, late, Instant(4)),
        Outcome::Outdated
    );
    assert_eq!(held(&directory, A, &blocks, 4), 0);
}

#[test]
fn gap_is_doubted_until_a_snapshot_and_dropped_without_one() {
    let (mut directory, blocks) = filled();
    let after = batch(1, "v1", 9, vec![Change::Removed(blocks[3])]);
    assert_eq!(directory.apply_batch(A, after, Instant(10)), Outcome::Gap);
    assert!(directory.has_gap(A));
    assert_eq!(directory.tick(Instant(20)), [A]);
    let mut settled = directory.clone();
    let snapshot = Snapshot {
        blocks: blocks[..2].to_vec(),
        incarnation: Incarnation(1),
        sequence: 9,
        version: "v1".to_owned(),
    };
    assert_eq!(
        settled.apply_snapshot(A, &snapshot, Instant(30)),
        Outcome::Applied
    );
    assert!(!settled.has_gap(A));
    assert_eq!(held(&settled, A, &blocks, 30), 2);
    directory.tick(Instant(3_010));
    assert_eq!(held(&directory, A, &blocks, 3_010), 0);
}

#[test]
fn snapshot_older_than_changes_seen_replays_them() {
    let (mut directory, blocks) = filled();
    directory.apply_batch(
        A,
        batch(1, "v1", 6, vec![Change::Removed(blocks[3])]),
        Instant(1),
    );
    directory.apply_batch(
        A,
        batch(1, "v1", 7, vec![Change::Removed(blocks[2])]),
        Instant(2),
    );
    let snapshot = |sequence| Snapshot {
        blocks: blocks.clone(),
        incarnation: Incarnation(1),
        sequence,
        version: "v1".to_owned(),
    };
    let mut short = directory.clone();
    assert_eq!(
        short.apply_snapshot(A, &snapshot(5), Instant(3)),
        Outcome::Gap
    );
    assert!(short.has_gap(A));
    assert_eq!(
        directory.apply_snapshot(A, &snapshot(6), Instant(3)),
        Outcome::Applied
    );
    assert_eq!(held(&directory, A, &blocks, 3), 2);
}

#[test]
fn expected_blocks_count_for_placement_but_not_as_held() {
    let mut directory = CacheDirectory::default();
    let blocks = chain("maps", 3);
    directory.add_expected(B, &blocks, Instant(0));
    let residency = directory.cached_prefixes(&blocks, Instant(1));
    assert_eq!(
        (residency.cached_or_expected(B), residency.cached(B)),
        (3, 0)
    );
    assert_eq!(held(&directory, B, &blocks, 10_000), 0);
}

#[test]
fn dropped_entries_are_swept_and_their_lanes_reused() {
    let mut directory = CacheDirectory::default();
    let blocks = chain("maps", 50);
    for run in 0..10_000 {
        directory.apply_batch(A, batch(run, "v1", 0, stored(&blocks)), Instant(run));
        directory.tick(Instant(run));
        assert_eq!(held(&directory, A, &blocks, run), 50);
    }
    for at in 10_000..10_200 {
        directory.tick(Instant(at));
    }
    assert_eq!(directory.len(), 50);
}

#[test]
fn index_agrees_with_a_plain_set_through_churn() {
    let mut index = BlockIndex::default();
    let mut plain = std::collections::HashSet::new();
    let blocks = chain("maps", 2_000);
    let mut state = 1_u64;
    for _ in 0..40_000 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        // Few distinct blocks in one segment make long runs, where removal is most delicate.
        let block = BlockHash(blocks[(state >> 33) as usize % 2_000].0 & (u128::MAX >> 12));
        let lane = HolderId(1 + (state >> 60) as u16);
        match (state >> 50) % 2 {
            0 => assert_eq!(index.insert(block, lane), plain.insert((block, lane))),
            _ => assert_eq!(index.remove(block, lane), plain.remove(&(block, lane))),
        }
    }
    assert_eq!(index.len(), plain.len());
    for (block, lane) in plain {
        let mut found = false;
        index.holders(block, |held| found |= held == lane);
        assert!(found);
    }
}
