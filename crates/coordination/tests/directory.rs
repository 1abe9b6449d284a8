//! Checks that the cache directory copes with lost, late and repeated cache events.

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

const FIRST: UpstreamIndex = UpstreamIndex(0);
const SECOND: UpstreamIndex = UpstreamIndex(1);

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

fn cached_blocks(
    directory: &CacheDirectory,
    upstream: UpstreamIndex,
    blocks: &[BlockHash],
    now: u64,
) -> u32 {
    directory
        .cached_prefixes(blocks, Instant(now))
        .cached_or_expected(upstream)
}

fn filled_directory() -> (CacheDirectory, Vec<BlockHash>) {
    let mut directory = CacheDirectory::default();
    let blocks = chain("maps", 4);
    directory.apply_batch(FIRST, batch(1, "v1", 0, stored(&blocks)), Instant(0));
    (directory, blocks)
}

#[test]
fn only_leading_blocks_of_a_prefix_count() {
    let (mut directory, blocks) = filled_directory();
    directory.apply_batch(SECOND, batch(1, "v1", 0, stored(&blocks[1..])), Instant(0));
    assert_eq!(cached_blocks(&directory, FIRST, &blocks, 0), 4);
    assert_eq!(cached_blocks(&directory, SECOND, &blocks, 0), 0);
    directory.apply_batch(
        FIRST,
        batch(1, "v1", 4, vec![Change::Removed(blocks[2])]),
        Instant(1),
    );
    assert_eq!(cached_blocks(&directory, FIRST, &blocks, 1), 2);
}

#[test]
fn an_upstream_that_lost_its_cache_holds_no_blocks() {
    let cases: [(&str, Fault); 5] = [
        ("cleared", |directory| {
            directory.apply_batch(FIRST, batch(1, "v1", 4, vec![Change::Cleared]), Instant(1));
        }),
        ("dead", |directory| directory.invalidate(FIRST)),
        ("new incarnation", |directory| {
            directory.apply_batch(FIRST, batch(2, "v1", 0, vec![]), Instant(1));
        }),
        ("new version", |directory| {
            directory.apply_batch(FIRST, batch(1, "v2", 4, vec![]), Instant(1));
        }),
        ("snapshot without them", |directory| {
            let snapshot = Snapshot {
                blocks: vec![],
                incarnation: Incarnation(1),
                sequence: 4,
                version: "v1".to_owned(),
            };
            directory.apply_snapshot(FIRST, &snapshot, Instant(1));
        }),
    ];
    for (name, fault) in cases {
        let (mut directory, blocks) = filled_directory();
        directory.add_expected(FIRST, &blocks, Instant(0));
        fault(&mut directory);
        assert_eq!(cached_blocks(&directory, FIRST, &blocks, 1), 0, "{name}");
    }
}

#[test]
fn blocks_of_other_workspaces_and_versions_never_match() {
    let (directory, _) = filled_directory();
    assert_eq!(cached_blocks(&directory, FIRST, &chain("shops", 4), 0), 0);
    let newer = BlockHash::root("maps", "m", "v2").chain(&[7; 16], 4);
    assert_eq!(cached_blocks(&directory, FIRST, &newer, 0), 0);
}

#[test]
fn late_and_repeated_batches_change_nothing() {
    let (mut directory, blocks) = filled_directory();
    directory.apply_batch(
        FIRST,
        batch(1, "v1", 4, vec![Change::Removed(blocks[3])]),
        Instant(1),
    );
    let repeat = batch(1, "v1", 0, stored(&blocks));
    assert_eq!(
        directory.apply_batch(FIRST, repeat, Instant(2)),
        Outcome::Outdated
    );
    assert_eq!(cached_blocks(&directory, FIRST, &blocks, 2), 3);
    directory.apply_batch(FIRST, batch(2, "v1", 0, vec![]), Instant(3));
    let late = batch(1, "v1", 5, stored(&blocks));
    assert_eq!(
        directory.apply_batch(FIRST, late, Instant(4)),
        Outcome::Outdated
    );
    assert_eq!(cached_blocks(&directory, FIRST, &blocks, 4), 0);
}

#[test]
fn gap_lasts_until_a_snapshot_and_empties_the_cache_without_one() {
    let (mut directory, blocks) = filled_directory();
    let after = batch(1, "v1", 9, vec![Change::Removed(blocks[3])]);
    assert_eq!(
        directory.apply_batch(FIRST, after, Instant(10)),
        Outcome::Gap
    );
    assert!(directory.has_gap(FIRST));
    assert_eq!(directory.tick(Instant(20)), [FIRST]);
    let mut resynced = directory.clone();
    let snapshot = Snapshot {
        blocks: blocks[..2].to_vec(),
        incarnation: Incarnation(1),
        sequence: 9,
        version: "v1".to_owned(),
    };
    assert_eq!(
        resynced.apply_snapshot(FIRST, &snapshot, Instant(30)),
        Outcome::Applied
    );
    assert!(!resynced.has_gap(FIRST));
    assert_eq!(cached_blocks(&resynced, FIRST, &blocks, 30), 2);
    directory.tick(Instant(3_010));
    assert_eq!(cached_blocks(&directory, FIRST, &blocks, 3_010), 0);
}

#[test]
fn later_changes_are_replayed_over_an_older_snapshot() {
    let (mut directory, blocks) = filled_directory();
    directory.apply_batch(
        FIRST,
        batch(1, "v1", 6, vec![Change::Removed(blocks[3])]),
        Instant(1),
    );
    directory.apply_batch(
        FIRST,
        batch(1, "v1", 7, vec![Change::Removed(blocks[2])]),
        Instant(2),
    );
    let snapshot = |sequence| Snapshot {
        blocks: blocks.clone(),
        incarnation: Incarnation(1),
        sequence,
        version: "v1".to_owned(),
    };
    let mut incomplete = directory.clone();
    assert_eq!(
        incomplete.apply_snapshot(FIRST, &snapshot(5), Instant(3)),
        Outcome::Gap
    );
    assert!(incomplete.has_gap(FIRST));
    assert_eq!(
        directory.apply_snapshot(FIRST, &snapshot(6), Instant(3)),
        Outcome::Applied
    );
    assert_eq!(cached_blocks(&directory, FIRST, &blocks, 3), 2);
}

#[test]
fn expected_blocks_count_for_placement_but_not_as_cached() {
    let mut directory = CacheDirectory::default();
    let blocks = chain("maps", 3);
    directory.add_expected(SECOND, &blocks, Instant(0));
    let cached = directory.cached_prefixes(&blocks, Instant(1));
    assert_eq!(
        (cached.cached_or_expected(SECOND), cached.cached(SECOND)),
        (3, 0)
    );
    assert_eq!(cached_blocks(&directory, SECOND, &blocks, 10_000), 0);
}

#[test]
fn stale_entries_are_swept_and_their_holder_ids_reused() {
    let mut directory = CacheDirectory::default();
    let blocks = chain("maps", 50);
    for run in 0..10_000 {
        directory.apply_batch(FIRST, batch(run, "v1", 0, stored(&blocks)), Instant(run));
        directory.tick(Instant(run));
        assert_eq!(cached_blocks(&directory, FIRST, &blocks, run), 50);
    }
    for at in 10_000..10_200 {
        directory.tick(Instant(at));
    }
    assert_eq!(directory.len(), 50);
}

#[test]
fn index_equals_a_hash_set_after_random_inserts_and_removals() {
    let mut index = BlockIndex::default();
    let mut expected = std::collections::HashSet::new();
    let blocks = chain("maps", 2_000);
    let mut random = 1_u64;
    for _ in 0..40_000 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        // Few distinct blocks in one segment make long runs, where removal is most error-prone.
        let block = BlockHash(blocks[(random >> 33) as usize % 2_000].0 & (u128::MAX >> 12));
        let holder_id = HolderId(1 + (random >> 60) as u16);
        match (random >> 50) % 2 {
            0 => assert_eq!(
                index.insert(block, holder_id),
                expected.insert((block, holder_id))
            ),
            _ => assert_eq!(
                index.remove(block, holder_id),
                expected.remove(&(block, holder_id))
            ),
        }
    }
    assert_eq!(index.len(), expected.len());
    for (block, holder_id) in expected {
        let mut found = false;
        index.holders(block, |holder| found |= holder == holder_id);
        assert!(found);
    }
}
