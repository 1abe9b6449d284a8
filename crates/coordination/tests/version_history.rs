//! Tests of the history of weights versions.

use std::collections::BTreeMap;

use coordination::version_history::VersionHistory;
use state::time::Instant;

const LIMIT_MS: u64 = 15_000;
const MARGIN_MS: u64 = 4_000;
const MODEL: &str = "m";

fn newest(version: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([(MODEL.to_owned(), version)])
}

fn history(named: &[(u64, u64)]) -> VersionHistory {
    let mut history = VersionHistory::new(LIMIT_MS);
    for (at, version) in named {
        history.record(Instant(*at), &newest(*version));
    }
    history
}

fn min_version(history: &VersionHistory, at: u64) -> Option<u64> {
    let min = history.min_versions(Instant(at), MARGIN_MS);
    min.get(MODEL).copied()
}

#[test]
fn a_version_expires_when_the_next_one_has_been_named_for_the_limit() {
    let history = history(&[(1_000, 2), (5_000, 3), (5_100, 3)]);
    assert_eq!(history.expiry(MODEL, 1), Some(Instant(16_000)));
    assert_eq!(history.expiry(MODEL, 2), Some(Instant(20_000)));
    assert_eq!(history.expiry(MODEL, 3), None);
    assert_eq!(history.expiry("another", 1), None);
}

#[test]
fn no_version_that_expires_within_the_margin_gets_new_requests() {
    let history = history(&[(1_000, 2), (5_000, 3)]);
    assert_eq!(min_version(&history, 11_999), None);
    assert_eq!(min_version(&history, 12_000), Some(2));
    assert_eq!(min_version(&history, 15_999), Some(2));
    assert_eq!(min_version(&history, 16_000), Some(3));
}

// A new leader that counted from the start of its term would let requests begin on weights that
// were replaced before it.
#[test]
fn a_host_keeps_the_greater_age_when_the_leader_changes() {
    let leader = history(&[(1_000, 2)]);
    let mut host = VersionHistory::new(LIMIT_MS);
    host.merge(Instant(501_000), &leader.ages(Instant(4_000)));
    let new_leader = history(&[(9_000, 2)]);
    host.merge(Instant(509_000), &new_leader.ages(Instant(9_100)));
    assert_eq!(host.expiry(MODEL, 1), Some(Instant(498_000 + LIMIT_MS)));
}

// A host that has just started has a clock that is younger than the versions.
#[test]
fn an_age_greater_than_that_of_the_clock_counts_in_full() {
    let leader = history(&[(1_000, 2)]);
    let mut host = VersionHistory::new(LIMIT_MS);
    host.merge(Instant(100), &leader.ages(Instant(13_000)));
    assert_eq!(host.expiry(MODEL, 1), Some(Instant(3_100)));
    host.merge(Instant(200), &leader.ages(Instant(99_000)));
    assert_eq!(min_version(&host, 200), Some(2));
}

#[test]
fn versions_that_decide_nothing_any_more_are_dropped() {
    let named: Vec<(u64, u64)> = (1..=200)
        .map(|version| (version * 1_000, version))
        .collect();
    let history = history(&named);
    let ages = history.ages(Instant(200_000));
    assert!(ages[MODEL].len() <= 17, "{ages:?}");
    assert_eq!(min_version(&history, 200_000), Some(189));
}
