//! Tests of the index of cached prefixes, and of the log that distributes its entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::prefix_index;
use coordination::prefix_index::CacheLocation;
use coordination::prefix_index::CachedPrefix;
use coordination::prefix_index::PrefixIndex;
use coordination::prefix_index::PrefixKey;
use coordination::prefix_log::Position;
use coordination::prefix_log::PrefixLog;
use state::time::Instant;

fn prefix(prefix_id: &str, weights: u64) -> PrefixKey {
    PrefixKey {
        prefix_id: prefix_id.to_owned(),
        weights,
    }
}

fn at(engine: &str, prefix_id: &str) -> CachedPrefix {
    CachedPrefix {
        location: CacheLocation::Engine(engine.to_owned()),
        prefix: prefix(prefix_id, 1),
    }
}

#[test]
fn the_engine_with_the_newest_entry_comes_first() {
    let mut index = PrefixIndex::default();
    index.record_local(Instant(0), at("a", "p"));
    index.record_remote(Instant(10), vec![at("b", "p")]);
    assert_eq!(index.engines(Instant(20), &prefix("p", 1)), ["b", "a"]);
    index.record_local(Instant(30), at("a", "p"));
    assert_eq!(index.engines(Instant(40), &prefix("p", 1)), ["a", "b"]);
}

#[test]
fn a_prefix_with_other_weights_or_of_another_workspace_is_a_different_key() {
    let mut index = PrefixIndex::default();
    index.record_local(Instant(0), at("a", "p@w1"));
    for other in [prefix("p@w1", 2), prefix("p", 1), prefix("p@w2", 1)] {
        assert!(index.engines(Instant(1), &other).is_empty(), "{other:?}");
    }
}

#[test]
fn an_entry_expires_when_it_is_not_renewed() {
    let mut index = PrefixIndex::default();
    index.record_local(Instant(0), at("a", "p"));
    assert!(!index.engines(Instant(10_000), &prefix("p", 1)).is_empty());
    assert!(index.engines(Instant(10_001), &prefix("p", 1)).is_empty());
}

/// A prefix in constant use was announced with every answer, some hundred times a second to some
/// hundred hosts.
#[test]
fn a_prefix_in_constant_use_is_announced_now_and_then_and_never_forgotten() {
    let mut hosts = [PrefixIndex::default(), PrefixIndex::default()];
    let mut announced = 0;
    for now in (0..60_000).step_by(50) {
        let now = Instant(now);
        hosts[0].record_local(now, at("a", "p"));
        let updates = hosts[0].take_updates(now);
        announced += updates.len();
        hosts[1].record_remote(now, updates);
        hosts[1].expire(now);
        assert_eq!(hosts[1].engines(now, &prefix("p", 1)), ["a"], "{now:?}");
    }
    assert!(announced <= 21, "{announced}");
}

/// An entry that another host has just announced need not be announced again.
#[test]
fn a_prefix_that_several_hosts_use_is_announced_as_often_as_by_one() {
    let mut hosts = [PrefixIndex::default(), PrefixIndex::default()];
    let mut announced = 0;
    for now in (0..60_000).step_by(50) {
        let now = Instant(now);
        for (first, second) in [(0, 1), (1, 0)] {
            hosts[first].record_local(now, at("a", "p"));
            let updates = hosts[first].take_updates(now);
            announced += updates.len();
            hosts[second].record_remote(now, updates);
        }
    }
    assert!(announced <= 21, "{announced}");
}

#[test]
fn only_one_host_saves_a_prefix_until_the_save_interval_has_passed() {
    let mut hosts = [PrefixIndex::default(), PrefixIndex::default()];
    assert!(hosts[0].claim_save(Instant(0), &prefix("p", 1)));
    let received = hosts[0].take_updates(Instant(0));
    hosts[1].record_remote(Instant(100), received);
    assert!(!hosts[1].claim_save(Instant(200), &prefix("p", 1)));
    assert!(hosts[1].claim_save(Instant(10_200), &prefix("p", 1)));
}

#[test]
fn each_host_gets_the_entries_of_the_others_once() {
    let mut log = PrefixLog::default();
    let (received, first) = log.exchange(1, "h1", vec![at("a", "p")], Position::default());
    assert!(received.is_empty());
    let (received, second) = log.exchange(1, "h2", vec![at("b", "q")], Position::default());
    assert_eq!(received, [at("a", "p")]);
    let (received, first) = log.exchange(1, "h1", Vec::new(), first);
    assert_eq!(received, [at("b", "q")]);
    for (host, position) in [("h1", first), ("h2", second)] {
        let (received, _) = log.exchange(1, host, Vec::new(), position);
        assert!(received.is_empty(), "{host}");
    }
}

#[test]
fn a_position_of_another_term_is_ignored() {
    let mut old = PrefixLog::default();
    let (_, position) = old.exchange(
        1,
        "h1",
        vec![at("a", "p"), at("b", "p")],
        Position::default(),
    );
    let mut new = PrefixLog::default();
    let _ = new.exchange(2, "h2", vec![at("c", "q")], Position::default());
    let (received, _) = new.exchange(2, "h1", Vec::new(), position);
    assert_eq!(received, [at("c", "q")]);
}

#[test]
fn the_log_keeps_the_newest_entries_and_bounds_an_answer() {
    let mut log = PrefixLog::default();
    for index in 0..2_000 {
        let cached_prefix = at("a", &format!("p{index}"));
        let _ = log.exchange(1, "h1", vec![cached_prefix], Position::default());
    }
    let (received, position) = log.exchange(1, "h2", Vec::new(), Position::default());
    assert_eq!(received.len(), 256);
    assert_eq!(received.last(), Some(&at("a", "p1999")));
    assert_eq!(position.number, 2_000);
}

#[test]
fn each_prefix_has_one_store_and_prefixes_spread_over_all_stores() {
    let stores: Vec<SocketAddr> = (1..=3).map(|n| ([10, 0, 0, n], 1).into()).collect();
    let mut reversed = stores.clone();
    reversed.reverse();
    let mut kept: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..300 {
        let prefix = prefix(&format!("p{number}"), 1);
        let store = prefix_index::store_for(&stores, &prefix).unwrap();
        assert_eq!(prefix_index::store_for(&reversed, &prefix), Some(store));
        *kept.entry(store).or_default() += 1;
    }
    assert_eq!(kept.len(), stores.len());
    assert!(kept.values().all(|count| *count >= 60), "{kept:?}");
    assert_eq!(prefix_index::store_for(&[], &prefix("p", 1)), None);
}
