//! Which engines have read a shared prompt, as hosts tell each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::bulletin::Bulletin;
use coordination::bulletin::Mark;
use coordination::holders;
use coordination::holders::Holders;
use coordination::holders::Holding;
use coordination::holders::Place;
use coordination::holders::Prompt;
use state::time::Instant;

fn prompt(part: &str, weights: u64) -> Prompt {
    Prompt {
        part: part.to_owned(),
        weights,
    }
}

fn at(engine: &str, part: &str) -> Holding {
    Holding {
        place: Place::Engine(engine.to_owned()),
        prompt: prompt(part, 1),
    }
}

#[test]
fn the_engine_that_read_a_prompt_last_comes_first() {
    let mut holders = Holders::default();
    holders.saw(Instant(0), at("a", "p"));
    holders.heard(Instant(10), vec![at("b", "p")]);
    assert_eq!(holders.engines(Instant(20), &prompt("p", 1)), ["b", "a"]);
    holders.saw(Instant(30), at("a", "p"));
    assert_eq!(holders.engines(Instant(40), &prompt("p", 1)), ["a", "b"]);
}

#[test]
fn a_prompt_under_other_weights_or_of_another_workspace_is_another_prompt() {
    let mut holders = Holders::default();
    holders.saw(Instant(0), at("a", "p@w1"));
    for other in [prompt("p@w1", 2), prompt("p", 1), prompt("p@w2", 1)] {
        assert!(holders.engines(Instant(1), &other).is_empty(), "{other:?}");
    }
}

#[test]
fn a_prompt_that_nobody_read_for_long_is_not_expected_anywhere() {
    let mut holders = Holders::default();
    holders.saw(Instant(0), at("a", "p"));
    assert!(!holders.engines(Instant(10_000), &prompt("p", 1)).is_empty());
    assert!(holders.engines(Instant(10_001), &prompt("p", 1)).is_empty());
}

#[test]
fn of_all_hosts_one_saves_a_prompt_until_it_is_due_again() {
    let mut hosts = [Holders::default(), Holders::default()];
    assert!(hosts[0].save(Instant(0), &prompt("p", 1)));
    let told = hosts[0].tell(Instant(0));
    hosts[1].heard(Instant(100), told);
    assert!(!hosts[1].save(Instant(200), &prompt("p", 1)));
    assert!(hosts[1].save(Instant(10_200), &prompt("p", 1)));
}

#[test]
fn each_host_gets_what_the_others_saw_once() {
    let mut bulletin = Bulletin::default();
    let (told, first) = bulletin.exchange(1, "h1", vec![at("a", "p")], Mark::default());
    assert!(told.is_empty());
    let (told, second) = bulletin.exchange(1, "h2", vec![at("b", "q")], Mark::default());
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
    let mut old = Bulletin::default();
    let (_, mark) = old.exchange(1, "h1", vec![at("a", "p"), at("b", "p")], Mark::default());
    let mut new = Bulletin::default();
    let _ = new.exchange(2, "h2", vec![at("c", "q")], Mark::default());
    let (told, _) = new.exchange(2, "h1", Vec::new(), mark);
    assert_eq!(told, [at("c", "q")]);
}

#[test]
fn a_bulletin_keeps_the_newest_entries_and_an_answer_is_bounded() {
    let mut bulletin = Bulletin::default();
    for place in 0..2_000 {
        let holding = at("a", &format!("p{place}"));
        let _ = bulletin.exchange(1, "h1", vec![holding], Mark::default());
    }
    let (told, mark) = bulletin.exchange(1, "h2", Vec::new(), Mark::default());
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
        let prompt = prompt(&format!("p{number}"), 1);
        let store = holders::store(&stores, &prompt).unwrap();
        assert_eq!(holders::store(&reversed, &prompt), Some(store));
        *kept.entry(store).or_default() += 1;
    }
    assert_eq!(kept.len(), stores.len());
    assert!(kept.values().all(|count| *count >= 60), "{kept:?}");
    assert_eq!(holders::store(&[], &prompt("p", 1)), None);
}
