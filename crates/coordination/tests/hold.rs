//! Tests of the upstreams that are sent no requests because they asked for none.

mod upstream_fixtures;

use assert_matches::assert_matches;

use crate::upstream_fixtures::fleet;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::hold::Holds;
use coordination::local_state::InFlight;
use coordination::upstream::Fleet;
use state::time::Instant;

const NOW: Instant = Instant(1_000);

fn started(fleet: &Fleet, id: &str, started: u64) -> Fleet {
    let mut fleet = fleet.clone();
    let upstream = fleet.upstreams.iter_mut().find(|u| u.id == id);
    upstream.expect("the fleet has the upstream").started = started;
    fleet
}

fn demand() -> Demand {
    Demand {
        first_byte_left_ms: 1_000,
        left_ms: 6_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 380,
        service: "engines".to_owned(),
        ..Demand::default()
    }
}

/// Returns a demand that only `id` of two engines can take, as the other has failed the request.
fn demand_for(id: &str) -> Demand {
    let others = ["a", "b"].iter().filter(|other| **other != id);
    Demand {
        tried: others.map(|other| (*other).to_owned()).collect(),
        ..demand()
    }
}

fn send(host: &mut Dispatcher, fleet: &Fleet, id: &str) -> (Choice, InFlight) {
    let demand = demand_for(id);
    let choice = host.choose(NOW, fleet, &demand).unwrap();
    assert_eq!(choice.upstream.id, id);
    let in_flight = host.record_sent(NOW, &choice, &demand);
    (choice, in_flight)
}

#[test]
fn a_leaving_upstream_is_held_until_it_starts_again() {
    let mut holds = Holds::default();
    let fleet = fleet(&[("a", 1)]);
    assert!(holds.record_leaving(NOW, "a", 1));
    assert!(!holds.record_leaving(NOW, "a", 1));
    assert!(holds.is_held(&fleet.upstreams[0]));
    let later = started(&fleet, "a", 2);
    assert!(!holds.is_held(&later.upstreams[0]));
    holds.sync(&fleet);
    assert!(holds.is_held(&fleet.upstreams[0]));
    holds.sync(&later);
    assert!(!holds.is_held(&fleet.upstreams[0]));
    assert!(holds.record_leaving(NOW, "a", 2));
}

/// An answer of an earlier start may arrive after the list has shown the later one.
#[test]
fn an_answer_of_an_earlier_start_does_not_hold_a_later_one() {
    let mut holds = Holds::default();
    let later = started(&fleet(&[("a", 1)]), "a", 2);
    holds.record_leaving(NOW, "a", 1);
    assert!(!holds.is_held(&later.upstreams[0]));
}

/// The entry of an upstream that still runs may be unreadable for a while.
#[test]
fn a_hold_outlasts_a_gap_in_the_list() {
    let mut holds = Holds::default();
    let fleet = fleet(&[("a", 1)]);
    holds.record_leaving(NOW, "a", 1);
    holds.sync(&Fleet::default());
    holds.sync(&fleet);
    assert!(holds.is_held(&fleet.upstreams[0]));
}

/// Otherwise the holds of upstreams that are gone would fill the memory.
#[test]
fn the_hold_of_an_upstream_that_is_gone_is_dropped_in_the_end() {
    let mut holds = Holds::default();
    let fleet = fleet(&[("a", 1)]);
    holds.record_leaving(NOW, "a", 1);
    holds.sync(&Fleet::default());
    holds.record_leaving(NOW + 3_600_000, "b", 1);
    assert!(!holds.is_held(&fleet.upstreams[0]));
}

/// Without a start, only the list can show that the upstream is gone.
#[test]
fn an_upstream_without_a_start_is_held_while_it_is_listed() {
    let mut holds = Holds::default();
    let unknown = started(&fleet(&[("a", 1)]), "a", 0);
    holds.record_leaving(NOW, "a", 0);
    holds.sync(&unknown);
    assert!(holds.is_held(&unknown.upstreams[0]));
    let known = started(&unknown, "a", 7);
    assert!(holds.is_held(&known.upstreams[0]));
    holds.sync(&known);
    assert!(holds.is_held(&known.upstreams[0]));
    assert!(holds.is_held(&unknown.upstreams[0]));
    assert!(!holds.is_held(&started(&known, "a", 8).upstreams[0]));

    let mut holds = Holds::default();
    holds.record_leaving(NOW, "a", 0);
    holds.sync(&Fleet::default());
    assert!(!holds.is_held(&unknown.upstreams[0]));
}

/// An ejected upstream is the last resort where no other is left; a leaving one must not be.
#[test]
fn a_leaving_upstream_is_not_the_last_resort() {
    let mut host = Dispatcher::new(0);
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    host.sync(&fleet);
    let (_, a) = send(&mut host, &fleet, "a");
    let (_, b) = send(&mut host, &fleet, "b");
    assert!(host.record_leaving(NOW, &a));
    for _ in 0..3 {
        host.record_failure(NOW, &b);
    }
    for random in 0..100 {
        let demand = Demand { random, ..demand() };
        assert_eq!(host.choose(NOW, &fleet, &demand).unwrap().upstream.id, "b");
    }
    let refusal = host.choose(NOW, &fleet, &demand_for("a"));
    assert_matches!(refusal, Err(Refusal::NoUpstream));
    assert!(!host.can_place(NOW, &fleet, &demand_for("a")));
    host.record_end(&a);
    host.record_end(&b);
    let later = NOW + 3_600_000;
    assert_eq!(host.unusable(later, &fleet, "engines"), ["a"]);
}

/// The probe of an ejected upstream is a request as well.
#[test]
fn a_leaving_upstream_is_not_probed() {
    let mut host = Dispatcher::new(0);
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    host.sync(&fleet);
    let (_, a) = send(&mut host, &fleet, "a");
    for _ in 0..3 {
        host.record_failure(NOW, &a);
    }
    host.record_leaving(NOW, &a);
    for after_ms in 0..100 {
        let now = NOW + after_ms * 100;
        assert_eq!(
            host.choose(now, &fleet, &demand()).unwrap().upstream.id,
            "b"
        );
    }
}
