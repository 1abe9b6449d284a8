//! The small parts of routed services: silence, sums of loads, freshness.

use std::collections::BTreeMap;

use coordination::routing_update::Freshness;
use coordination::unresponsive::PATH_TIMEOUT_MS;
use coordination::unresponsive::TIMEOUT_MS;
use coordination::unresponsive::UnresponsiveDetector;
use coordination::upstream_load::LoadAggregator;
use coordination::upstream_load::UpstreamLoad;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

fn loads(entries: &[(&str, u32)]) -> UpstreamLoads {
    let load = |running: u32| UpstreamLoad {
        long_prompt_tokens: 0,
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
    let mut detector = UnresponsiveDetector::default();
    let slow = detector.record_sent(Instant(0), "u", 500);
    assert!(!detector.is_unresponsive(Instant(500 + TIMEOUT_MS), "u"));
    assert!(detector.is_unresponsive(Instant(501 + TIMEOUT_MS), "u"));
    detector.record_byte(Instant(600), "u");
    assert!(!detector.is_unresponsive(Instant(600 + TIMEOUT_MS), "u"));
    detector.record_ended("u", slow);
    assert!(!detector.is_unresponsive(Instant(10_000), "u"));
}

#[test]
fn an_upstream_that_other_hosts_hear_is_busy_until_the_path_to_it_looks_broken() {
    let mut detector = UnresponsiveDetector::default();
    detector.record_sent(Instant(0), "u", 500);
    for at in (600..=500 + PATH_TIMEOUT_MS).step_by(100) {
        detector.record_remote_byte(Instant(at), "u");
        assert!(!detector.is_unresponsive(Instant(at), "u"), "at {at}");
    }
    assert!(detector.is_unresponsive(Instant(501 + PATH_TIMEOUT_MS), "u"));
    detector.record_byte(Instant(502 + PATH_TIMEOUT_MS), "u");
    assert!(!detector.is_unresponsive(Instant(503 + PATH_TIMEOUT_MS), "u"));
}

#[test]
fn an_upstream_that_no_host_hears_any_more_is_silent_to_all() {
    let mut detector = UnresponsiveDetector::default();
    detector.record_sent(Instant(0), "u", 0);
    detector.record_remote_byte(Instant(100), "u");
    assert!(!detector.is_unresponsive(Instant(100 + TIMEOUT_MS), "u"));
    assert!(detector.is_unresponsive(Instant(101 + TIMEOUT_MS), "u"));
}

#[test]
fn an_upstream_without_requests_is_not_silent() {
    let detector = UnresponsiveDetector::default();
    assert!(!detector.is_unresponsive(Instant(10_000), "u"));
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
    assert!(!freshness.is_fresh(Instant(0)));
    freshness.confirm(Instant(1_000));
    assert!(freshness.is_fresh(Instant(4_999)));
    assert!(!freshness.is_fresh(Instant(5_000)));
    freshness.confirm(Instant(500));
    assert_eq!(freshness.age_ms(Instant(1_500)), Some(500));
}
