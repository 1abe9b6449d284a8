//! Checks which entry of the list holds where several have one id.

mod upstream_fixtures;

use crate::upstream_fixtures::listed_upstream;
use coordination::upstream::ListedUpstream;
use coordination::upstream::distinct;

const WALL_MS: u64 = 1_700_000_000_000;

fn started(id: &str, started: u64, version: u64) -> ListedUpstream {
    ListedUpstream {
        started,
        ..listed_upstream(id, "m", version)
    }
}

// Two entries with one id would have requests sent to an address that is not the upstream's.
#[test]
fn of_two_entries_with_one_id_the_one_that_started_last_holds() {
    let listed = vec![
        started("a", WALL_MS - 9, 1),
        started("b", WALL_MS, 1),
        started("a", WALL_MS - 3, 2),
        started("a", 0, 3),
        started("a", WALL_MS - 3, 4),
        started("b", u64::MAX, 2),
        started("c", u64::MAX, 1),
    ];
    let kept = [&listed[1], &listed[2], &listed[6]].map(Clone::clone);
    assert_eq!(distinct(listed, WALL_MS), kept);
    assert_eq!(distinct(Vec::new(), u64::MAX), []);
}
