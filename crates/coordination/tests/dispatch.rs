//! Tests of which upstream a routed request goes to, under the loads that decide it.

mod upstream_fixtures;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use assert_matches::assert_matches;

use crate::upstream_fixtures::address;
use crate::upstream_fixtures::engines;
use crate::upstream_fixtures::fleet;
use crate::upstream_fixtures::pending_prefill;
use coordination::choice::Choice;
use coordination::choice::Rank;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::upstream::Fleet;
use coordination::upstream::Standing;
use coordination::upstream_load::UpstreamLoad;
use state::time::Instant;

const STORE: &str = "store";

fn long(prefix_id: &str) -> Demand {
    Demand {
        first_byte_left_ms: 1_000,
        left_ms: 12_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 17_000,
        service: "engines".to_owned(),
        shared_prefix: Some((prefix_id.to_owned(), 13_300)),
        stores: vec![address(STORE)],
        ..Demand::default()
    }
}

fn short(random: u64) -> Demand {
    Demand {
        random,
        left_ms: 6_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 380,
        service: "engines".to_owned(),
        ..Demand::default()
    }
}

fn id(choice: &Choice) -> &str {
    &choice.upstream.id
}

#[test]
fn hosts_without_shared_state_choose_the_same_engine_for_a_prefix() {
    let fleet = fleet(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    for prompt in ["p1", "p2", "p3", "p4", "p5"] {
        let chosen: BTreeSet<String> = (0..8)
            .map(|seed| {
                let mut host = Dispatcher::new(seed);
                let choice = host.choose(Instant(0), &fleet, &long(prompt)).unwrap();
                choice.upstream.id
            })
            .collect();
        assert_eq!(chosen.len(), 1, "{prompt}");
    }
}

#[test]
fn a_prompt_avoids_its_engine_while_that_is_loaded_and_fetches_the_prefix_from_it() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = long("p");
    let first = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &first, &demand);
    let others = BTreeMap::from([(first.upstream.id.clone(), pending_prefill(50_000))]);
    host.set_other_loads(Instant(1), others.clone());
    let early = host.choose(Instant(2), &fleet, &demand).unwrap();
    assert_ne!(id(&first), id(&early));
    assert_eq!(
        early.fetch_from,
        Some(address(STORE)),
        "its prefill is not over"
    );
    host.record_prefill(Instant(300), &mut in_flight);
    let later = host.choose(Instant(301), &fleet, &demand).unwrap();
    assert_ne!(id(&first), id(&later));
    assert_eq!(later.fetch_from, Some(first.upstream.address));
    let mut other = Dispatcher::new(1);
    other.set_other_loads(Instant(400), others);
    other.record_remote_prefixes(Instant(400), host.take_prefix_updates(Instant(400)));
    let remote = other.choose(Instant(401), &fleet, &demand).unwrap();
    assert_ne!(id(&first), id(&remote));
    assert_eq!(remote.fetch_from, Some(first.upstream.address));
}

#[test]
fn a_prefix_is_not_fetched_from_an_unresponsive_engine() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = long("p");
    let first = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &first, &demand);
    host.record_answer_head(Instant(300), &mut in_flight);
    host.record_prefill(Instant(300), &mut in_flight);
    let _ = host.record_sent(Instant(300), &first, &short(0));
    let next = host.choose(Instant(2_000), &fleet, &demand).unwrap();
    assert_ne!(id(&first), id(&next));
    assert_eq!(next.fetch_from, Some(address(STORE)));
}

#[test]
fn a_busy_engine_is_not_unresponsive_while_other_hosts_get_bytes_from_it() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut alone = Dispatcher::new(0);
    let mut informed = Dispatcher::new(0);
    let demand = long("p");
    let choice = alone.choose(Instant(0), &fleet, &demand).unwrap();
    let busy = pending_prefill(20_000);
    let hosts = [&mut alone, &mut informed];
    let in_flight = hosts.map(|host| {
        host.set_other_loads(Instant(0), BTreeMap::from([(id(&choice).to_owned(), busy)]));
        host.record_sent(Instant(0), &choice, &demand)
    });
    // The backlog and the prompt itself take 0.8 s; the engine takes twice that and answers other
    // hosts in the meantime.
    for at in (100..=2_600).step_by(100) {
        let last_byte_age_ms = Some(60);
        let recent = UpstreamLoad {
            last_byte_age_ms,
            ..busy
        };
        informed.set_other_loads(
            Instant(at),
            BTreeMap::from([(id(&choice).to_owned(), recent)]),
        );
    }
    assert!(alone.is_unresponsive(Instant(2_600), &in_flight[0]));
    assert!(!informed.is_unresponsive(Instant(2_600), &in_flight[1]));
}

#[test]
fn a_prefix_is_fetched_from_a_loading_engine_only_until_its_weights_change() {
    let mut fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = long("p");
    let first = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &first, &demand);
    host.record_prefill(Instant(300), &mut in_flight);
    let index = fleet.upstreams.iter().position(|u| u.id == id(&first));
    let index = index.unwrap();
    for (standing, weights, fetch) in [
        (Standing::Loading, 1, first.upstream.address),
        (Standing::Loading, 2, address(STORE)),
        (Standing::Leaving, 1, address(STORE)),
    ] {
        fleet.upstreams[index].standing = standing;
        fleet.upstreams[index]
            .weights
            .insert("m".to_owned(), weights);
        let next = host.choose(Instant(301), &fleet, &demand).unwrap();
        assert_ne!(id(&first), id(&next));
        assert_eq!(next.fetch_from, Some(fetch), "{standing} {weights}");
    }
}

#[test]
fn short_prompts_prefer_connected_engines_unless_the_backlog_there_is_much_longer() {
    let fleet = engines(60);
    let open = ["e3", "e30", "e57"];
    let demand = |random| Demand {
        connected: open.map(address).to_vec(),
        first_byte_left_ms: 2_500,
        ..short(random)
    };
    for (backlog_tokens, stays) in [(0, true), (5_000, true), (6_000, false)] {
        let mut host = Dispatcher::new(0);
        let busy = open.map(|id| (id.to_owned(), pending_prefill(backlog_tokens)));
        host.set_other_loads(Instant(0), BTreeMap::from(busy));
        for random in 0..200 {
            let random = u64::wrapping_mul(random, 0x9E37_79B9_7F4A_7C15);
            let choice = host.choose(Instant(1), &fleet, &demand(random)).unwrap();
            assert_eq!(
                open.contains(&id(&choice)),
                stays,
                "{backlog_tokens} {random}"
            );
        }
    }
}

#[test]
fn a_long_prompt_is_refused_as_busy_while_all_engines_are_loaded() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let busy = ["a", "b"].map(|id| (id.to_owned(), pending_prefill(40_000)));
    host.set_other_loads(Instant(0), BTreeMap::from(busy));
    let refusal = host.choose(Instant(1), &fleet, &long("p"));
    assert_eq!(refusal, Err(Refusal::Busy));
}

#[test]
fn a_late_prompt_is_refused_where_a_prompt_in_time_is_taken() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let busy = BTreeMap::from([("a".to_owned(), pending_prefill(15_000))]);
    host.set_other_loads(Instant(0), busy);
    let late = Demand {
        first_byte_left_ms: 0,
        ..long("p")
    };
    assert_eq!(host.choose(Instant(1), &fleet, &late), Err(Refusal::Busy));
    assert_matches!(host.choose(Instant(1), &fleet, &long("p")), Ok(_));
}

#[test]
fn late_prompts_leave_the_last_idle_engines_to_prompts_in_time() {
    let fleet = engines(10);
    let late = Demand {
        first_byte_left_ms: 0,
        ..long("p")
    };
    for (idle, placed) in [(4, true), (3, true), (2, false), (1, false)] {
        let mut host = Dispatcher::new(0);
        let busy = fleet.upstreams.iter().skip(idle);
        let busy = busy.map(|engine| (engine.id.clone(), pending_prefill(40_000)));
        host.set_other_loads(Instant(0), busy.collect());
        let choice = host.choose(Instant(1), &fleet, &late);
        assert_eq!(choice.is_ok(), placed, "{idle} idle");
        assert_matches!(host.choose(Instant(1), &fleet, &long("p")), Ok(_));
    }
}

#[test]
fn a_cached_prompt_tolerates_a_longer_backlog_than_an_uncached_one() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = long("p");
    let first = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &first, &demand);
    host.record_answer_head(Instant(300), &mut in_flight);
    host.record_prefill(Instant(300), &mut in_flight);
    host.record_end(&in_flight);
    let busy = BTreeMap::from([("a".to_owned(), pending_prefill(30_000))]);
    host.set_other_loads(Instant(300), busy);
    assert_matches!(host.choose(Instant(301), &fleet, &demand), Ok(_));
    let unknown = host.choose(Instant(301), &fleet, &long("q"));
    assert_eq!(unknown, Err(Refusal::Busy));
}

#[test]
fn a_prompt_stays_at_the_engine_that_caches_it_while_it_begins_there_in_time() {
    let fleet = engines(12);
    let mut host = Dispatcher::new(0);
    let demand = long("p");
    let ranked = host.choose(Instant(0), &fleet, &demand).unwrap();
    let busy = BTreeMap::from([(id(&ranked).to_owned(), pending_prefill(50_000))]);
    host.set_other_loads(Instant(1), busy);
    let reader = host.choose(Instant(2), &fleet, &demand).unwrap();
    assert_ne!(id(&reader), id(&ranked));
    let mut in_flight = host.record_sent(Instant(2), &reader, &demand);
    host.record_answer_head(Instant(400), &mut in_flight);
    host.record_prefill(Instant(400), &mut in_flight);
    host.record_end(&in_flight);
    host.set_other_loads(Instant(401), BTreeMap::new());
    let again = host.choose(Instant(402), &fleet, &demand).unwrap();
    assert_eq!(id(&again), id(&reader), "it has the prefix cached");
    let busy = BTreeMap::from([(id(&reader).to_owned(), pending_prefill(50_000))]);
    host.set_other_loads(Instant(403), busy);
    let late = host.choose(Instant(404), &fleet, &demand).unwrap();
    assert_eq!(
        id(&late),
        id(&ranked),
        "it would be late at the engine that has the prefix"
    );
    assert_eq!(late.fetch_from, Some(reader.upstream.address));
}

/// Loads each engine that a host chooses for a prefix until it chooses none, and returns them all.
fn candidates(seed: u64, fleet: &Fleet, prefix_id: &str) -> BTreeSet<String> {
    let mut host = Dispatcher::new(seed);
    let mut loads = BTreeMap::new();
    while let Ok(choice) = host.choose(Instant(0), fleet, &long(prefix_id)) {
        loads.insert(id(&choice).to_owned(), pending_prefill(50_000));
        host.set_other_loads(Instant(0), loads.clone());
    }
    loads.into_keys().collect()
}

#[test]
fn in_a_large_fleet_each_prefix_has_its_own_bounded_set_of_candidates() {
    let mut fleet = engines(600);
    let first = candidates(0, &fleet, "p");
    assert_eq!(first.len(), 140);
    assert_eq!(candidates(1, &fleet, "p"), first);
    let both = candidates(0, &fleet, "q").intersection(&first).count();
    assert!(both < 70, "{both}");
    for upstream in &mut fleet.upstreams {
        if first.contains(&upstream.id) {
            upstream.standing = Standing::Leaving;
        }
    }
    let next = candidates(0, &fleet, "p");
    assert_eq!(next.len(), 140, "leaving engines are replaced by others");
    assert!(next.is_disjoint(&first));
}

#[test]
fn a_prompt_too_long_to_begin_in_time_goes_to_an_idle_engine_only() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let huge = Demand {
        prompt_tokens: 80_000,
        ..long("p")
    };
    let load = |tokens| BTreeMap::from([("a".to_owned(), pending_prefill(tokens))]);
    host.set_other_loads(Instant(0), load(20_000));
    assert_eq!(host.choose(Instant(0), &fleet, &huge), Err(Refusal::Busy));
    host.set_other_loads(Instant(1), load(4_000));
    assert_matches!(host.choose(Instant(1), &fleet, &huge), Ok(_));
}

#[test]
fn long_prompts_in_time_rank_before_short_ones_and_late_ones_after() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let late = Demand {
        first_byte_left_ms: 0,
        ..long("p")
    };
    for (demand, rank) in [
        (long("p"), Rank::First),
        (short(0), Rank::Normal),
        (late, Rank::Last),
    ] {
        let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
        assert_eq!(choice.rank, rank);
    }
}

#[test]
fn older_weights_in_time_are_preferred_to_the_newest_too_late() {
    let fleet = fleet(&[("new", 2), ("old", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = Demand {
        newest_weights: 2,
        prompt_tokens: 30_000,
        ..long("p")
    };
    let load = |tokens| BTreeMap::from([("new".to_owned(), pending_prefill(tokens))]);
    assert_eq!(
        id(&host.choose(Instant(0), &fleet, &demand).unwrap()),
        "new"
    );
    host.set_other_loads(Instant(1), load(10_000));
    assert_eq!(
        id(&host.choose(Instant(1), &fleet, &demand).unwrap()),
        "old"
    );
}

#[test]
fn can_place_agrees_with_choose() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let moved = Demand {
        tried: vec!["a".to_owned()],
        ..long("p")
    };
    assert!(host.can_place(Instant(0), &fleet, &moved));
    let busy = BTreeMap::from([("b".to_owned(), pending_prefill(90_000))]);
    host.set_other_loads(Instant(0), busy);
    assert!(!host.can_place(Instant(0), &fleet, &moved));
    let exact = Demand {
        exact_weights: Some(2),
        ..moved
    };
    assert!(!host.can_place(Instant(5_000), &fleet, &exact));
}

#[test]
fn a_request_that_cannot_begin_before_its_deadline_is_refused_at_once() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let busy = BTreeMap::from([("a".to_owned(), pending_prefill(200_000))]);
    host.set_other_loads(Instant(0), busy);
    let hurried = Demand {
        left_ms: 1_000,
        ..short(0)
    };
    let refusal = host.choose(Instant(1), &fleet, &hurried);
    assert_eq!(refusal, Err(Refusal::TooLate));
}

#[test]
fn loads_of_other_hosts_expire() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let busy = BTreeMap::from([("a".to_owned(), pending_prefill(40_000))]);
    host.set_other_loads(Instant(0), busy);
    assert_matches!(host.choose(Instant(1_001), &fleet, &long("p")), Ok(_));
}

#[test]
fn short_prompts_spread_over_the_engines() {
    let fleet = fleet(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    let mut host = Dispatcher::new(0);
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    for index in 0..400_u64 {
        let random = index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let demand = short(random);
        let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
        let _ = host.record_sent(Instant(0), &choice, &demand);
        *sent.entry(choice.upstream.id).or_default() += 1;
    }
    assert!(
        sent.values().all(|count| (80..=120).contains(count)),
        "{sent:?}"
    );
}

#[test]
fn engines_with_the_newest_weights_come_first() {
    let fleet = fleet(&[("a", 1), ("b", 2), ("c", 1)]);
    let mut host = Dispatcher::new(0);
    for random in 0..20 {
        let demand = Demand {
            newest_weights: 2,
            ..short(random)
        };
        let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
        assert_eq!((id(&choice), choice.weights), ("b", Some(2)));
    }
}

#[test]
fn no_request_goes_to_weights_below_the_minimum() {
    let mut fleet = fleet(&[("a", 1), ("b", 1)]);
    fleet.min_weights.insert("m".to_owned(), 2);
    let mut host = Dispatcher::new(0);
    let refusal = host.choose(Instant(0), &fleet, &short(0));
    assert_eq!(refusal, Err(Refusal::NoUpstream));
}

// The host knows which versions expire, also while the leader publishes no newer list.
#[test]
fn no_request_goes_to_weights_below_the_minimum_of_its_host() {
    let fleet = fleet(&[("a", 1), ("b", 2)]);
    let mut host = Dispatcher::new(0);
    for random in 0..20 {
        let demand = Demand {
            min_weights: 2,
            ..short(random)
        };
        let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
        assert_eq!(id(&choice), "b");
    }
}

#[test]
fn loading_and_leaving_engines_get_no_requests() {
    let mut fleet = fleet(&[("a", 1), ("b", 1), ("c", 1)]);
    fleet.upstreams[0].standing = Standing::Leaving;
    fleet.upstreams[1].standing = Standing::Loading;
    let mut host = Dispatcher::new(0);
    for random in 0..20 {
        let choice = host.choose(Instant(0), &fleet, &short(random)).unwrap();
        assert_eq!(id(&choice), "c");
    }
}

#[test]
fn a_shared_prefix_is_saved_to_the_store_once_and_fetched_from_there() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let first = host.choose(Instant(0), &fleet, &long("p")).unwrap();
    assert_eq!(first.save_to, Some(address(STORE)));
    assert_eq!(first.fetch_from, Some(address(STORE)));
    let second = host.choose(Instant(1_000), &fleet, &long("p")).unwrap();
    assert_eq!(second.save_to, None);
    let isolated = Demand {
        cache_scope: Some("-w".to_owned()),
        ..long("p")
    };
    let other = host.choose(Instant(1_000), &fleet, &isolated).unwrap();
    assert_eq!(other.save_to, Some(address(STORE)));
}

#[test]
fn a_prefix_is_not_fetched_from_an_engine_that_cached_it_with_other_weights() {
    let old = fleet(&[("a", 1), ("b", 1)]);
    let new = fleet(&[("a", 2), ("b", 2)]);
    let mut host = Dispatcher::new(0);
    let demand = long("p");
    let choice = host.choose(Instant(0), &old, &demand).unwrap();
    let _ = host.record_sent(Instant(0), &choice, &demand);
    let busy = BTreeMap::from([(choice.upstream.id.clone(), pending_prefill(40_000))]);
    host.set_other_loads(Instant(1), busy);
    let next = host.choose(Instant(2), &new, &demand).unwrap();
    assert_ne!(id(&next), id(&choice));
    assert_eq!(next.fetch_from, Some(address(STORE)));
}

#[test]
fn an_upstream_that_failed_a_request_does_not_get_it_again() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = Demand {
        tried: vec!["a".to_owned()],
        ..short(0)
    };
    assert_eq!(id(&host.choose(Instant(0), &fleet, &demand).unwrap()), "b");
}

#[test]
fn an_unresponsive_engine_is_avoided_until_it_answers() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = short(0);
    let only_a = Demand {
        tried: vec!["b".to_owned()],
        ..demand.clone()
    };
    let choice = host.choose(Instant(0), &fleet, &only_a).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &choice, &demand);
    for random in 0..20 {
        let late = host.choose(Instant(2_000), &fleet, &short(random)).unwrap();
        assert_eq!(id(&late), "b");
    }
    host.record_answer_head(Instant(2_001), &mut in_flight);
    host.record_end(&in_flight);
    let used: BTreeSet<String> = (0..20)
        .map(|random| {
            let choice = host.choose(Instant(2_002), &fleet, &short(random)).unwrap();
            choice.upstream.id
        })
        .collect();
    assert_eq!(used.len(), 2);
}

#[test]
fn an_engine_gets_no_more_long_prompts_than_its_memory_holds() {
    let fleet = fleet(&[("a", 1), ("b", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = Demand {
        memory_tokens: Some(100_000),
        ..long("p")
    };
    let held = |tokens| UpstreamLoad {
        long_prompt_tokens: tokens,
        last_byte_age_ms: None,
        running: 4,
        pending_prefill_tokens: 0,
    };
    let first = host.choose(Instant(0), &fleet, &demand).unwrap();
    let others = BTreeMap::from([(first.upstream.id.clone(), held(68_000))]);
    host.set_other_loads(Instant(1), others);
    let second = host.choose(Instant(2), &fleet, &demand).unwrap();
    assert_eq!(id(&first), id(&second), "17,000 more make 85 percent");
    let others = BTreeMap::from([(first.upstream.id.clone(), held(68_001))]);
    host.set_other_loads(Instant(3), others);
    let third = host.choose(Instant(4), &fleet, &demand).unwrap();
    assert_ne!(id(&first), id(&third));
    let full = ["a", "b"].map(|id| (id.to_owned(), held(68_001)));
    host.set_other_loads(Instant(5), BTreeMap::from(full));
    let refusal = host.choose(Instant(6), &fleet, &demand);
    assert_eq!(refusal, Err(Refusal::Busy));
    let unknown = host.choose(Instant(7), &fleet, &long("p"));
    assert!(unknown.is_ok(), "the size of the memory is unknown");
}

#[test]
fn a_prompt_above_the_memory_share_goes_to_an_engine_without_other_long_prompts() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = Demand {
        first_byte_left_ms: 10_000,
        memory_tokens: Some(100_000),
        prompt_tokens: 90_000,
        ..long("p")
    };
    let first = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &first, &demand);
    let second = host.choose(Instant(1), &fleet, &demand);
    assert_eq!(second, Err(Refusal::Busy));
    host.record_answer_head(Instant(2_000), &mut in_flight);
    host.record_end(&in_flight);
    assert!(host.choose(Instant(2_001), &fleet, &demand).is_ok());
}
