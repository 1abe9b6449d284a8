//! Tests of the upstreams that are sent no requests because they asked for none.

mod upstream_fixtures;

use assert_matches::assert_matches;

use crate::upstream_fixtures::fleet;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::hold::Holds;
use coordination::hold::State;
use coordination::local_state::InFlight;
use coordination::prefix_index::CacheLocation;
use coordination::prefix_index::CachedPrefix;
use coordination::upstream::Fleet;
use coordination::upstream_load::UpstreamLoads;
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
    assert!(holds.is_held(NOW, &fleet.upstreams[0]));
    let later = started(&fleet, "a", 2);
    assert!(!holds.is_held(NOW, &later.upstreams[0]));
    holds.sync(&fleet);
    assert!(holds.is_held(NOW, &fleet.upstreams[0]));
    holds.sync(&later);
    assert!(!holds.is_held(NOW, &fleet.upstreams[0]));
    assert!(holds.record_leaving(NOW, "a", 2));
}

/// An answer of an earlier start may arrive after the list has shown the later one.
#[test]
fn an_answer_of_an_earlier_start_does_not_hold_a_later_one() {
    let mut holds = Holds::default();
    let later = started(&fleet(&[("a", 1)]), "a", 2);
    holds.record_leaving(NOW, "a", 1);
    assert!(!holds.is_held(NOW, &later.upstreams[0]));
}

/// The entry of an upstream that still runs may be unreadable for a while.
#[test]
fn a_hold_outlasts_a_gap_in_the_list() {
    let mut holds = Holds::default();
    let fleet = fleet(&[("a", 1)]);
    holds.record_leaving(NOW, "a", 1);
    holds.sync(&Fleet::default());
    holds.sync(&fleet);
    assert!(holds.is_held(NOW, &fleet.upstreams[0]));
}

/// Otherwise the holds of upstreams that are gone would fill the memory.
#[test]
fn the_hold_of_an_upstream_that_is_gone_is_dropped_in_the_end() {
    let mut holds = Holds::default();
    let fleet = fleet(&[("a", 1)]);
    holds.record_leaving(NOW, "a", 1);
    holds.sync(&Fleet::default());
    holds.record_leaving(NOW + 3_600_000, "b", 1);
    assert!(!holds.is_held(NOW, &fleet.upstreams[0]));
}

/// Without a start, only the list can show that the upstream is gone.
#[test]
fn an_upstream_without_a_start_is_held_while_it_is_listed() {
    let mut holds = Holds::default();
    let unknown = started(&fleet(&[("a", 1)]), "a", 0);
    holds.record_leaving(NOW, "a", 0);
    holds.sync(&unknown);
    assert!(holds.is_held(NOW, &unknown.upstreams[0]));
    let known = started(&unknown, "a", 7);
    assert!(holds.is_held(NOW, &known.upstreams[0]));
    holds.sync(&known);
    assert!(holds.is_held(NOW, &known.upstreams[0]));
    assert!(holds.is_held(NOW, &unknown.upstreams[0]));
    assert!(!holds.is_held(NOW, &started(&known, "a", 8).upstreams[0]));

    let mut holds = Holds::default();
    holds.record_leaving(NOW, "a", 0);
    holds.record_pause(NOW, "a", 0, 10);
    holds.sync(&Fleet::default());
    assert_eq!(holds.state(NOW, &unknown.upstreams[0]), State::Paused(10));
    assert!(!holds.is_held(NOW + 10, &unknown.upstreams[0]));
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

#[test]
fn the_latest_end_of_several_pauses_counts() {
    let mut holds = Holds::default();
    let fleet = fleet(&[("a", 1)]);
    let state = |holds: &Holds, now| holds.state(now, &fleet.upstreams[0]);
    assert!(!holds.record_pause(NOW, "a", 1, 0));
    assert_eq!(state(&holds, NOW), State::Free);
    assert!(holds.record_pause(NOW, "a", 1, 2_000));
    assert!(!holds.record_pause(NOW + 500, "a", 1, 1_000));
    assert_eq!(state(&holds, NOW + 500), State::Paused(1_500));
    assert_eq!(state(&holds, NOW + 1_999), State::Paused(1));
    assert_eq!(state(&holds, NOW + 2_000), State::Free);
    assert!(holds.record_pause(NOW + 2_000, "a", 1, u64::MAX));
    assert!(holds.is_held(NOW + 3_600_000, &fleet.upstreams[0]));
    assert!(holds.record_leaving(NOW + 3_600_000, "a", 1));
    assert_eq!(state(&holds, NOW + 3_600_000), State::Leaving);
}

/// The start before knew of the pause, the one after knows nothing.
#[test]
fn a_pause_belongs_to_one_start_of_an_upstream() {
    let mut holds = Holds::default();
    let later = started(&fleet(&[("a", 1)]), "a", 2);
    holds.record_pause(NOW, "a", 1, 1_000);
    assert!(!holds.is_held(NOW, &later.upstreams[0]));
    assert!(holds.record_pause(NOW, "a", 2, 100));
    assert!(!holds.record_pause(NOW, "a", 1, 1_000));
    let left = holds.state(NOW, &later.upstreams[0]);
    assert_eq!(left, State::Paused(100));
}

/// An upstream that asked for a pause must be neither the last resort nor probed in it.
#[test]
fn a_paused_upstream_gets_no_request_until_the_end_of_the_pause() {
    let mut host = Dispatcher::new(0);
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    host.sync(&fleet);
    let (_, a) = send(&mut host, &fleet, "a");
    let (_, b) = send(&mut host, &fleet, "b");
    host.record_end(&a);
    host.record_end(&b);
    assert!(host.record_pause(NOW, &a, 3_000));
    for _ in 0..3 {
        host.record_failure(NOW, &b);
    }
    for after_ms in 0..3_000 {
        let choice = host.choose(NOW + after_ms, &fleet, &demand()).unwrap();
        assert_eq!(choice.upstream.id, "b");
        host.record_failure(NOW + after_ms, &b);
    }
    assert!(
        host.unusable(NOW + 2_999, &fleet, "engines")
            .contains(&"a".to_owned())
    );
    let choice = host.choose(NOW + 3_000, &fleet, &demand()).unwrap();
    assert_eq!(choice.upstream.id, "a");
}

#[test]
fn a_request_is_refused_as_paused_while_all_upstreams_are_paused_or_leave() {
    let mut host = Dispatcher::new(0);
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let (_, a) = send(&mut host, &fleet, "a");
    let (_, b) = send(&mut host, &fleet, "b");
    assert_eq!(host.pause_left_ms(NOW, &fleet, &demand()), None);
    host.record_pause(NOW, &a, 3_000);
    assert_eq!(host.pause_left_ms(NOW, &fleet, &demand()), None);
    host.record_pause(NOW, &b, 2_000);
    assert_matches!(host.choose(NOW, &fleet, &demand()), Err(Refusal::Paused));
    assert_eq!(host.pause_left_ms(NOW, &fleet, &demand()), Some(2_000));
    let tried = demand_for("a");
    assert_eq!(host.pause_left_ms(NOW, &fleet, &tried), Some(3_000));
    host.record_leaving(NOW, &b);
    assert_matches!(host.choose(NOW, &fleet, &demand()), Err(Refusal::Paused));
    assert_eq!(host.pause_left_ms(NOW, &fleet, &demand()), Some(3_000));
    host.record_leaving(NOW, &a);
    assert_matches!(
        host.choose(NOW, &fleet, &demand()),
        Err(Refusal::NoUpstream)
    );
    assert_eq!(host.pause_left_ms(NOW, &fleet, &demand()), None);
}

/// The caller is told when to come back even if the request itself got the refusals.
#[test]
fn a_request_that_all_paused_upstreams_refused_is_refused_as_paused() {
    let mut host = Dispatcher::new(0);
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    for id in ["a", "b"] {
        let (_, in_flight) = send(&mut host, &fleet, id);
        host.record_pause(NOW, &in_flight, 2_000);
    }
    let tried = Demand {
        tried: vec!["a".to_owned(), "b".to_owned()],
        ..demand()
    };
    assert_matches!(host.choose(NOW, &fleet, &tried), Err(Refusal::Paused));
    assert_eq!(host.pause_left_ms(NOW, &fleet, &tried), None);
}

/// The source would work for a request of this host, which it has asked not to do.
#[test]
fn no_prefix_is_fetched_from_a_held_engine() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let long = Demand {
        prompt_tokens: 17_000,
        shared_prefix: Some(("p".to_owned(), 13_300)),
        ..demand()
    };
    let cached_prefix = CachedPrefix {
        location: CacheLocation::Engine("a".to_owned()),
        prefix: long.prefix_key(1).unwrap(),
    };
    let mut host = Dispatcher::new(0);
    let (_, a) = send(&mut host, &fleet, "a");
    host.record_remote_prefixes(NOW, vec![cached_prefix.clone()]);
    host.record_leaving(NOW, &a);
    let choice = host.choose(NOW, &fleet, &long).unwrap();
    assert_eq!(
        (choice.upstream.id.as_str(), choice.fetch_from),
        ("b", None)
    );

    let mut leader = Assigner::new(0);
    leader.record_report(NOW, &[], &[cached_prefix]);
    let request = Request {
        unusable: host.unusable(NOW, &fleet, "engines"),
        demand: long,
        ..Request::default()
    };
    let choice = leader.assign(NOW, &fleet, &UpstreamLoads::new(), request);
    let choice = choice.unwrap();
    assert_eq!(
        (choice.upstream.id.as_str(), choice.fetch_from),
        ("b", None)
    );
}
