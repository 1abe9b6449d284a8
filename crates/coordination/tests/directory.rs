//! Faults of cache event streams and what the directory makes of them.

use state::directory::Batch;
use state::directory::Change;
use state::directory::Directory;
use state::directory::Outcome;
use state::directory::Slot;
use state::directory::Snapshot;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::index::Index;
use state::index::Lane;
use state::time::Instant;

type Fault = fn(&mut Directory);

const A: Slot = Slot(0);
const B: Slot = Slot(1);

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

fn held(directory: &Directory, slot: Slot, blocks: &[BlockHash], now: u64) -> u32 {
    directory.resident(blocks, Instant(now)).soon(slot)
}

fn filled() -> (Directory, Vec<BlockHash>) {
    let mut directory = Directory::default();
    let blocks = chain("maps", 4);
    directory.apply(A, batch(1, "v1", 0, stored(&blocks)), Instant(0));
    (directory, blocks)
}

#[test]
fn nested_prefix_counts_leading_blocks_only() {
    let (mut directory, blocks) = filled();
    directory.apply(B, batch(1, "v1", 0, stored(&blocks[1..])), Instant(0));
    assert_eq!(held(&directory, A, &blocks, 0), 4);
    assert_eq!(held(&directory, B, &blocks, 0), 0);
    directory.apply(
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
            d.apply(A, batch(1, "v1", 4, vec![Change::Cleared]), Instant(1));
        }),
        ("dead", |d| d.void(A)),
        ("new incarnation", |d| {
            d.apply(A, batch(2, "v1", 0, vec![]), Instant(1));
        }),
        ("new version", |d| {
            d.apply(A, batch(1, "v2", 4, vec![]), Instant(1));
        }),
        ("snapshot without them", |d| {
            let snapshot = Snapshot {
                blocks: vec![],
                incarnation: Incarnation(1),
                sequence: 4,
                version: "v1".to_owned(),
            };
            d.replace(A, &snapshot, Instant(1));
        }),
    ];
    for (name, fault) in cases {
        let (mut directory, blocks) = filled();
        directory.expect(A, &blocks, Instant(0));
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
    directory.apply(
        A,
        batch(1, "v1", 4, vec![Change::Removed(blocks[3])]),
        Instant(1),
    );
    let repeat = batch(1, "v1", 0, stored(&blocks));
    assert_eq!(directory.apply(A, repeat, Instant(2)), Outcome::Late);
    assert_eq!(held(&directory, A, &blocks, 2), 3);
    directory.apply(A, batch(2, "v1", 0, vec![]), Instant(3));
    let late = batch(1, "v1", 5, stored(&blocks));
    assert_eq!(directory.apply(A, late, Instant(4)), Outcome::Late);
    assert_eq!(held(&directory, A, &blocks, 4), 0);
}

#[test]
fn gap_is_doubted_until_a_snapshot_and_dropped_without_one() {
    let (mut directory, blocks) = filled();
    let after = batch(1, "v1", 9, vec![Change::Removed(blocks[3])]);
    assert_eq!(directory.apply(A, after, Instant(10)), Outcome::Gap);
    assert!(directory.doubtful(A));
    assert_eq!(directory.tick(Instant(20)), [A]);
    let mut settled = directory.clone();
    let snapshot = Snapshot {
        blocks: blocks[..2].to_vec(),
        incarnation: Incarnation(1),
        sequence: 9,
        version: "v1".to_owned(),
    };
    assert_eq!(settled.replace(A, &snapshot, Instant(30)), Outcome::Applied);
    assert!(!settled.doubtful(A));
    assert_eq!(held(&settled, A, &blocks, 30), 2);
    directory.tick(Instant(3_010));
    assert_eq!(held(&directory, A, &blocks, 3_010), 0);
}

#[test]
fn snapshot_older_than_changes_seen_replays_them() {
    let (mut directory, blocks) = filled();
    directory.apply(
        A,
        batch(1, "v1", 6, vec![Change::Removed(blocks[3])]),
        Instant(1),
    );
    directory.apply(
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
    assert_eq!(short.replace(A, &snapshot(5), Instant(3)), Outcome::Gap);
    assert!(short.doubtful(A));
    assert_eq!(
        directory.replace(A, &snapshot(6), Instant(3)),
        Outcome::Applied
    );
    assert_eq!(held(&directory, A, &blocks, 3), 2);
}

#[test]
fn expected_blocks_count_for_placement_but_not_as_held() {
    let mut directory = Directory::default();
    let blocks = chain("maps", 3);
    directory.expect(B, &blocks, Instant(0));
    let residency = directory.resident(&blocks, Instant(1));
    assert_eq!((residency.soon(B), residency.held(B)), (3, 0));
    assert_eq!(held(&directory, B, &blocks, 10_000), 0);
}

#[test]
fn dropped_entries_are_swept_and_their_lanes_reused() {
    let mut directory = Directory::default();
    let blocks = chain("maps", 50);
    for run in 0..10_000 {
        directory.apply(A, batch(run, "v1", 0, stored(&blocks)), Instant(run));
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
    let mut index = Index::default();
    let mut plain = std::collections::HashSet::new();
    let blocks = chain("maps", 2_000);
    let mut state = 1_u64;
    for _ in 0..40_000 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        // Few distinct blocks in one segment make long runs, where removal is most delicate.
        let block = BlockHash(blocks[(state >> 33) as usize % 2_000].0 & (u128::MAX >> 12));
        let lane = Lane(1 + (state >> 60) as u16);
        match (state >> 50) % 2 {
            0 => assert_eq!(index.insert(block, lane), plain.insert((block, lane))),
            _ => assert_eq!(index.remove(block, lane), plain.remove(&(block, lane))),
        }
    }
    assert_eq!(index.len(), plain.len());
    for (block, lane) in plain {
        let mut found = false;
        index.lanes(block, |held| found |= held == lane);
        assert!(found);
    }
}
