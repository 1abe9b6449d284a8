//! Which engines have read a shared prompt, as hosts tell each other.

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
fn the_engine_that_read_a_prompt_last_comes_first() {
    let mut holders = PrefixIndex::default();
    holders.record_local(Instant(0), at("a", "p"));
    holders.record_remote(Instant(10), vec![at("b", "p")]);
    assert_eq!(holders.engines(Instant(20), &prefix("p", 1)), ["b", "a"]);
    holders.record_local(Instant(30), at("a", "p"));
    assert_eq!(holders.engines(Instant(40), &prefix("p", 1)), ["a", "b"]);
}

#[test]
fn a_prompt_under_other_weights_or_of_another_workspace_is_another_prompt() {
    let mut holders = PrefixIndex::default();
    holders.record_local(Instant(0), at("a", "p@w1"));
    for other in [prefix("p@w1", 2), prefix("p", 1), prefix("p@w2", 1)] {
        assert!(holders.engines(Instant(1), &other).is_empty(), "{other:?}");
    }
}

#[test]
fn a_prompt_that_nobody_read_for_long_is_not_expected_anywhere() {
    let mut holders = PrefixIndex::default();
    holders.record_local(Instant(0), at("a", "p"));
    assert!(!holders.engines(Instant(10_000), &prefix("p", 1)).is_empty());
    assert!(holders.engines(Instant(10_001), &prefix("p", 1)).is_empty());
}

#[test]
fn of_all_hosts_one_saves_a_prompt_until_it_is_due_again() {
    let mut hosts = [PrefixIndex::default(), PrefixIndex::default()];
    assert!(hosts[0].claim_save(Instant(0), &prefix("p", 1)));
    let told = hosts[0].take_updates(Instant(0));
    hosts[1].record_remote(Instant(100), told);
    assert!(!hosts[1].claim_save(Instant(200), &prefix("p", 1)));
    assert!(hosts[1].claim_save(Instant(10_200), &prefix("p", 1)));
}

#[test]
fn each_host_gets_what_the_others_saw_once() {
    let mut bulletin = PrefixLog::default();
    let (told, first) = bulletin.exchange(1, "h1", vec![at("a", "p")], Position::default());
    assert!(told.is_empty());
    let (told, second) = bulletin.exchange(1, "h2", vec![at("b", "q")], Position::default());
    assert_eq!(told, [at("a", "p")]);
    let (told, first) = bulletin.exchange(1, "h1", Vec::new(), first);
    assert_eq!(told, [at("b", "q")]);
    for (host, heard) in [("h1", first), ("h2", second)] {
        let (told, _) = bulletin.exchange(1, host, Vec::new(), heard);
        assert!(told.is_empty(), "{host}");
    }
}

#[test]
fn the_numbers_of_another_leader_mean_nothing() {
    let mut old = PrefixLog::default();
    let (_, mark) = old.exchange(
        1,
        "h1",
        vec![at("a", "p"), at("b", "p")],
        Position::default(),
    );
    let mut new = PrefixLog::default();
    let _ = new.exchange(2, "h2", vec![at("c", "q")], Position::default());
    let (told, _) = new.exchange(2, "h1", Vec::new(), mark);
    assert_eq!(told, [at("c", "q")]);
}

#[test]
fn a_bulletin_keeps_the_newest_entries_and_an_answer_is_bounded() {
    let mut bulletin = PrefixLog::default();
    for place in 0..2_000 {
        let cached_prefix = at("a", &format!("p{place}"));
        let _ = bulletin.exchange(1, "h1", vec![cached_prefix], Position::default());
    }
    let (told, mark) = bulletin.exchange(1, "h2", Vec::new(), Position::default());
    assert_eq!(told.len(), 256);
    assert_eq!(told.last(), Some(&at("a", "p1999")));
    assert_eq!(mark.number, 2_000);
}

#[test]
fn each_prompt_has_one_store_and_every_store_has_prompts() {
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
