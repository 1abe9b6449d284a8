//! Tests of the index of cached prefixes, and of the log that distributes its entries.

mod upstream_fixtures;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::upstream_fixtures::fleet;
use coordination::prefix_index;
use coordination::prefix_index::CacheLocation;
use coordination::prefix_index::CachedPrefix;
use coordination::prefix_index::PrefixIndex;
use coordination::prefix_index::PrefixKey;
use coordination::prefix_log;
use coordination::prefix_log::Position;
use coordination::prefix_log::PrefixLog;
use coordination::upstream::Edition;
use state::time::Instant;

fn prefix(prefix_id: &str, weights: u64) -> PrefixKey {
    PrefixKey::new(prefix_id, weights)
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

/// A position of another edition would name another engine, which then is asked for a prefix that
/// it never had.
#[test]
fn announcements_name_engines_of_their_edition_only() {
    let fleet = fleet(&[("a", 1), ("b", 1), ("c", 1)]);
    let store = CachedPrefix {
        location: CacheLocation::Store,
        prefix: prefix("p", 1),
    };
    let known = vec![at("c", "p"), store, at("a", "q")];
    let gone = at("gone", "p");
    let sent = prefix_log::announce(&fleet, known.iter().cloned().chain([gone]));
    let received = prefix_log::entries(&fleet, fleet.edition, sent.clone());
    assert_eq!(received, known);
    let other = Edition {
        term: fleet.edition.term,
        number: fleet.edition.number + 1,
    };
    assert_eq!(prefix_log::entries(&fleet, other, sent), []);
}

/// Some hundred entries a second went to some hundred hosts, at forty bytes each.
#[test]
fn an_announcement_takes_at_most_twelve_bytes() {
    let ids: Vec<String> = (0..1_500).map(|number| format!("e{number:04}")).collect();
    let engines: Vec<(&str, u64)> = ids.iter().map(|id| (id.as_str(), 1)).collect();
    let fleet = fleet(&engines);
    let sent = prefix_log::announce(&fleet, [at("e1499", "p@+0123456789abcdef")]);
    assert_eq!(sent.len(), 1);
    let size = postcard::to_stdvec(&sent[0]).unwrap().len();
    assert!(size <= 12, "{size} bytes");
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
