//! Tests of long prompts that many hosts place at once, with and without assignment by the leader.

mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::upstream_fixtures::engines;
use crate::upstream_fixtures::fleet;
use crate::upstream_fixtures::pending_prefill;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::prefix_index::CacheLocation;
use coordination::prefix_index::CachedPrefix;
use coordination::upstream_load::LoadAggregator;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

const ENGINES: usize = 40;
const PROMPTS: usize = 30;

fn demand(prefix_id: impl Into<String>) -> Demand {
    Demand {
        first_byte_left_ms: 1_000,
        left_ms: 12_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 30_000,
        service: "engines".to_owned(),
        shared_prefix: Some((prefix_id.into(), 20_000)),
        ..Demand::default()
    }
}

fn request(prefix_id: impl Into<String>) -> Request {
    Request {
        demand: demand(prefix_id),
        ..Request::default()
    }
}

/// Returns the number of prompts of the engine that got the most.
fn most_at_one_engine(chosen: &[String]) -> usize {
    let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
    for id in chosen {
        *counts.entry(id).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
}

#[test]
fn simultaneous_prompts_of_many_hosts_are_assigned_distinct_engines() {
    let fleet = engines(ENGINES);
    let unassigned: Vec<String> = (0..PROMPTS)
        .map(|n| {
            let mut host = Dispatcher::new(n as u64);
            let choice = host.choose(Instant(0), &fleet, &demand(format!("p{n}")));
            choice.unwrap().upstream.id
        })
        .collect();
    assert!(
        most_at_one_engine(&unassigned) > 1,
        "hosts that choose on their own collide"
    );
    let mut assigner = Assigner::new(0);
    let assigned: Vec<String> = (0..PROMPTS)
        .map(|n| {
            let choice = assigner.assign(
                Instant(0),
                &fleet,
                &UpstreamLoads::new(),
                request(format!("p{n}")),
            );
            choice.unwrap().upstream.id
        })
        .collect();
    assert_eq!(most_at_one_engine(&assigned), 1);
}

/// Records an assigned prompt at its host and returns what the host reports then.
fn report(
    host: &mut Dispatcher,
    now: Instant,
    choice: &Choice,
    demand: &Demand,
) -> (Vec<u64>, UpstreamLoads) {
    let _ = host.record_sent(now, choice, demand);
    (host.take_assignment_ids(), host.loads(now))
}

#[test]
fn an_assignment_counts_once_before_and_after_its_host_reports_it() {
    let fleet = fleet(&[("e", 1)]);
    let (mut assigner, mut aggregator, mut host) = (
        Assigner::new(0),
        LoadAggregator::default(),
        Dispatcher::new(1),
    );
    let first = request("p");
    let choice = assigner.assign(Instant(0), &fleet, aggregator.total(), first.clone());
    let choice = choice.unwrap();
    assert_eq!(choice.backlog_ms, 0);
    let late = Demand {
        first_byte_left_ms: 100_000,
        ..demand("q")
    };
    let next = || Request {
        demand: late.clone(),
        ..Request::default()
    };
    let before = assigner
        .assign(Instant(50), &fleet, aggregator.total(), next())
        .unwrap();
    let (reported, loads) = report(&mut host, Instant(60), &choice, &first.demand);
    let (reported_next, _) = report(&mut Dispatcher::new(2), Instant(60), &before, &late);
    aggregator.exchange(Instant(90), "h", 1, loads, &fleet);
    assigner.record_report(Instant(90), &reported, &[]);
    assigner.record_report(Instant(90), &reported_next, &[]);
    let after = assigner
        .assign(Instant(91), &fleet, aggregator.total(), next())
        .unwrap();
    assert_eq!(before.backlog_ms, after.backlog_ms);
    assert!(before.backlog_ms > 600, "{}", before.backlog_ms);
}

#[test]
fn an_assignment_that_is_never_reported_expires() {
    let fleet = fleet(&[("e", 1)]);
    let mut assigner = Assigner::new(0);
    let _ = assigner
        .assign(Instant(0), &fleet, &UpstreamLoads::new(), request("p"))
        .unwrap();
    let soon = assigner.assign(Instant(1_000), &fleet, &UpstreamLoads::new(), request("q"));
    assert_eq!(soon, Err(Refusal::Busy));
    let later = assigner.assign(Instant(1_001), &fleet, &UpstreamLoads::new(), request("q"));
    assert_eq!(later.unwrap().backlog_ms, 0);
}

#[test]
fn an_engine_that_a_host_cannot_use_is_not_assigned_to_it() {
    let fleet = fleet(&[("e", 1), ("f", 1)]);
    for unusable in ["e", "f"] {
        let request = Request {
            unusable: vec![unusable.to_owned()],
            ..request("p")
        };
        let choice = Assigner::new(0).assign(Instant(0), &fleet, &UpstreamLoads::new(), request);
        assert_ne!(choice.unwrap().upstream.id, unusable);
    }
}

#[test]
fn a_prefix_is_fetched_from_the_engine_that_a_host_reported_for_it() {
    let fleet = fleet(&[("e", 1), ("f", 1)]);
    let mut assigner = Assigner::new(0);
    let prefix = demand("p").prefix_key(1).unwrap();
    let location = CacheLocation::Engine("e".to_owned());
    assigner.record_report(Instant(0), &[], &[CachedPrefix { location, prefix }]);
    let loads = UpstreamLoads::from([("e".to_owned(), pending_prefill(40_000))]);
    let choice = assigner
        .assign(Instant(1), &fleet, &loads, request("p"))
        .unwrap();
    assert_eq!(choice.upstream.id, "f");
    assert_eq!(choice.fetch_from, Some(upstream_fixtures::address("e")));
}

#[test]
fn a_host_sends_a_new_leader_the_prefixes_that_it_sent_the_previous_one() {
    let fleet = fleet(&[("e", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = demand("p");
    let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(0), &choice, &demand);
    host.record_prefill(Instant(500), &mut in_flight);
    let sent = host.take_prefix_updates(Instant(600));
    assert_eq!(sent.len(), 1);
    assert_eq!(host.take_prefix_updates(Instant(700)), []);
    host.requeue_prefix_updates(Instant(800));
    assert_eq!(host.take_prefix_updates(Instant(800)), sent);
    host.requeue_prefix_updates(Instant(10_801));
    assert_eq!(
        host.take_prefix_updates(Instant(10_801)),
        [],
        "it has expired"
    );
}
