//! Long prompts that many hosts place at the same moment, with and without a host that assigns.

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

fn ask(prefix_id: impl Into<String>) -> Request {
    Request {
        unusable: Vec::new(),
        demand: demand(prefix_id),
    }
}

/// Counts the prompts of the engine that got most.
fn most(chosen: &[String]) -> usize {
    let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
    for id in chosen {
        *counts.entry(id).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
}

#[test]
fn prompts_that_come_at_once_through_many_hosts_get_engines_of_their_own() {
    let fleet = engines(ENGINES);
    let apart: Vec<String> = (0..PROMPTS)
        .map(|n| {
            let mut host = Dispatcher::new(n as u64);
            let choice = host.choose(Instant(0), &fleet, &demand(format!("p{n}")));
            choice.unwrap().upstream.id
        })
        .collect();
    assert!(most(&apart) > 1, "hosts that choose apart collide");
    let mut assigner = Assigner::new(0);
    let assigned: Vec<String> = (0..PROMPTS)
        .map(|n| {
            let choice = assigner.assign(
                Instant(0),
                &fleet,
                &UpstreamLoads::new(),
                ask(format!("p{n}")),
            );
            choice.unwrap().upstream.id
        })
        .collect();
    assert_eq!(most(&assigned), 1);
}

/// Notes an assigned prompt at its host and returns the host's report.
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
    let (mut assigner, mut tally, mut host) = (
        Assigner::new(0),
        LoadAggregator::default(),
        Dispatcher::new(1),
    );
    let first = ask("p");
    let choice = assigner.assign(Instant(0), &fleet, tally.total(), first.clone());
    let choice = choice.unwrap();
    assert_eq!(choice.backlog_ms, 0);
    let late = Demand {
        first_byte_left_ms: 100_000,
        ..demand("q")
    };
    let next = || Request {
        unusable: Vec::new(),
        demand: late.clone(),
    };
    let before = assigner
        .assign(Instant(50), &fleet, tally.total(), next())
        .unwrap();
    let (reported, loads) = report(&mut host, Instant(60), &choice, &first.demand);
    let (reported_next, _) = report(&mut Dispatcher::new(2), Instant(60), &before, &late);
    tally.report(Instant(90), "h", loads);
    assigner.record_report(Instant(90), &reported, &[]);
    assigner.record_report(Instant(90), &reported_next, &[]);
    let after = assigner
        .assign(Instant(91), &fleet, tally.total(), next())
        .unwrap();
    assert_eq!(before.backlog_ms, after.backlog_ms);
    assert!(before.backlog_ms > 600, "{}", before.backlog_ms);
}

#[test]
fn an_assignment_of_a_host_that_never_reports_it_is_forgotten() {
    let fleet = fleet(&[("e", 1)]);
    let mut assigner = Assigner::new(0);
    let _ = assigner
        .assign(Instant(0), &fleet, &UpstreamLoads::new(), ask("p"))
        .unwrap();
    let soon = assigner.assign(Instant(1_000), &fleet, &UpstreamLoads::new(), ask("q"));
    assert_eq!(soon, Err(Refusal::Busy));
    let later = assigner.assign(Instant(1_001), &fleet, &UpstreamLoads::new(), ask("q"));
    assert_eq!(later.unwrap().backlog_ms, 0);
}

#[test]
fn an_engine_that_a_host_avoids_is_not_assigned_to_it() {
    let fleet = fleet(&[("e", 1), ("f", 1)]);
    for unusable in ["e", "f"] {
        let ask = Request {
            unusable: vec![unusable.to_owned()],
            demand: demand("p"),
        };
        let choice = Assigner::new(0).assign(Instant(0), &fleet, &UpstreamLoads::new(), ask);
        assert_ne!(choice.unwrap().upstream.id, unusable);
    }
}

#[test]
fn a_prompt_that_an_engine_has_read_is_fetched_from_it_once_a_host_has_told_so() {
    let fleet = fleet(&[("e", 1), ("f", 1)]);
    let mut assigner = Assigner::new(0);
    let prefix = demand("p").prefix_key(1).unwrap();
    let location = CacheLocation::Engine("e".to_owned());
    assigner.record_report(Instant(0), &[], &[CachedPrefix { location, prefix }]);
    let loads = UpstreamLoads::from([("e".to_owned(), pending_prefill(40_000))]);
    let choice = assigner
        .assign(Instant(1), &fleet, &loads, ask("p"))
        .unwrap();
    assert_eq!(choice.upstream.id, "f");
    assert_eq!(choice.fetch_from, Some(upstream_fixtures::address("e")));
}

#[test]
fn a_host_tells_a_new_leader_what_it_has_told_the_one_before() {
    let fleet = fleet(&[("e", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = demand("p");
    let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut run = host.record_sent(Instant(0), &choice, &demand);
    host.record_prefill(Instant(500), &mut run);
    let told = host.take_prefix_updates(Instant(600));
    assert_eq!(told.len(), 1);
    assert_eq!(host.take_prefix_updates(Instant(700)), []);
    host.resend_prefix_updates(Instant(800));
    assert_eq!(host.take_prefix_updates(Instant(800)), told);
    host.resend_prefix_updates(Instant(10_801));
    assert_eq!(
        host.take_prefix_updates(Instant(10_801)),
        [],
        "it is too old to count"
    );
}
