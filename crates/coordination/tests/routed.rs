//! The small parts of routed services: silence, sums of loads, freshness.

use std::collections::BTreeMap;

use coordination::outlook::Freshness;
use coordination::silence::LIMIT_MS;
use coordination::silence::PATH_LIMIT_MS;
use coordination::silence::Silence;
use coordination::upstream_load::LoadAggregator;
use coordination::upstream_load::UpstreamLoad;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

fn loads(entries: &[(&str, u32)]) -> UpstreamLoads {
    let load = |running: u32| UpstreamLoad {
        long_tokens: 0,
        last_byte_age_ms: None,
        running,
        pending_prefill_tokens: u64::from(running) * 10,
    };
    let entries = entries.iter();
    entries
        .map(|(id, running)| ((*id).to_owned(), load(*running)))
        .collect()
}

#[test]
fn an_upstream_is_silent_when_it_answers_no_request_for_longer_than_its_work_takes() {
    let mut silence = Silence::default();
    let slow = silence.sent(Instant(0), "u", 500);
    assert!(!silence.is_silent(Instant(500 + LIMIT_MS), "u"));
    assert!(silence.is_silent(Instant(501 + LIMIT_MS), "u"));
    silence.heard(Instant(600), "u");
    assert!(!silence.is_silent(Instant(600 + LIMIT_MS), "u"));
    silence.ended("u", slow);
    assert!(!silence.is_silent(Instant(10_000), "u"));
}

#[test]
fn an_upstream_that_other_hosts_hear_is_busy_until_the_path_to_it_looks_broken() {
    let mut silence = Silence::default();
    silence.sent(Instant(0), "u", 500);
    for at in (600..=500 + PATH_LIMIT_MS).step_by(100) {
        silence.heard_elsewhere(Instant(at), "u");
        assert!(!silence.is_silent(Instant(at), "u"), "at {at}");
    }
    assert!(silence.is_silent(Instant(501 + PATH_LIMIT_MS), "u"));
    silence.heard(Instant(502 + PATH_LIMIT_MS), "u");
    assert!(!silence.is_silent(Instant(503 + PATH_LIMIT_MS), "u"));
}

#[test]
fn an_upstream_that_no_host_hears_any_more_is_silent_to_all() {
    let mut silence = Silence::default();
    silence.sent(Instant(0), "u", 0);
    silence.heard_elsewhere(Instant(100), "u");
    assert!(!silence.is_silent(Instant(100 + LIMIT_MS), "u"));
    assert!(silence.is_silent(Instant(101 + LIMIT_MS), "u"));
}

#[test]
fn an_upstream_without_requests_is_not_silent() {
    let silence = Silence::default();
    assert!(!silence.is_silent(Instant(10_000), "u"));
}

#[test]
fn a_host_learns_what_the_others_have_under_way_and_not_its_own() {
    let mut tally = LoadAggregator::default();
    assert_eq!(
        tally.report(Instant(0), "h1", loads(&[("u", 2)])),
        UpstreamLoads::new()
    );
    assert_eq!(
        tally.report(Instant(1), "h2", loads(&[("u", 3), ("v", 1)])),
        loads(&[("u", 2)])
    );
    assert_eq!(
        tally.report(Instant(2), "h1", loads(&[("v", 5)])),
        loads(&[("u", 3), ("v", 1)])
    );
    assert_eq!(tally.total(), &loads(&[("u", 3), ("v", 6)]));
}

#[test]
fn a_host_learns_when_any_host_last_heard_an_upstream() {
    let heard = |ms| {
        let load = UpstreamLoad {
            last_byte_age_ms: Some(ms),
            running: 1,
            ..UpstreamLoad::default()
        };
        UpstreamLoads::from([("u".to_owned(), load)])
    };
    let mut tally = LoadAggregator::default();
    tally.report(Instant(1_000), "h1", heard(400));
    tally.report(Instant(1_010), "h2", heard(30));
    tally.report(Instant(1_020), "h1", heard(420));
    let told = tally.report(Instant(1_050), "h3", UpstreamLoads::new());
    assert_eq!(told["u"].last_byte_age_ms, Some(70));
}

#[test]
fn the_report_of_a_host_that_is_gone_no_longer_counts() {
    let mut tally = LoadAggregator::default();
    tally.report(Instant(0), "h1", loads(&[("u", 2)]));
    let others = tally.report(Instant(1_001), "h2", loads(&[("u", 1)]));
    assert_eq!(others, BTreeMap::new());
}

#[test]
fn a_host_counts_the_age_of_what_it_knows_from_when_it_asked() {
    let mut freshness = Freshness::new(4_000);
    assert!(!freshness.holds(Instant(0)));
    freshness.confirm(Instant(1_000));
    assert!(freshness.holds(Instant(4_999)));
    assert!(!freshness.holds(Instant(5_000)));
    freshness.confirm(Instant(500));
    assert_eq!(freshness.age_ms(Instant(1_500)), Some(500));
}
