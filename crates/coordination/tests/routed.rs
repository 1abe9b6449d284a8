//! Tests of the unresponsive detector, the sums of upstream loads and the freshness of routing
//! data.

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
fn an_upstream_is_unresponsive_when_it_sends_nothing_for_longer_than_its_work_takes() {
    let mut detector = UnresponsiveDetector::default();
    let slow = detector.record_sent(Instant(0), "u", 500);
    assert!(!detector.is_unresponsive(Instant(500 + TIMEOUT_MS), "u"));
    assert!(detector.is_unresponsive(Instant(501 + TIMEOUT_MS), "u"));
    detector.record_byte(Instant(600), "u");
    assert!(!detector.is_unresponsive(Instant(600 + TIMEOUT_MS), "u"));
    detector.record_end("u", slow);
    assert!(!detector.is_unresponsive(Instant(10_000), "u"));
}

#[test]
fn an_upstream_that_answers_other_hosts_gets_the_longer_path_timeout() {
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
fn an_upstream_that_answers_no_host_any_more_is_unresponsive() {
    let mut detector = UnresponsiveDetector::default();
    detector.record_sent(Instant(0), "u", 0);
    detector.record_remote_byte(Instant(100), "u");
    assert!(!detector.is_unresponsive(Instant(100 + TIMEOUT_MS), "u"));
    assert!(detector.is_unresponsive(Instant(101 + TIMEOUT_MS), "u"));
}

#[test]
fn an_upstream_without_requests_is_not_unresponsive() {
    let detector = UnresponsiveDetector::default();
    assert!(!detector.is_unresponsive(Instant(10_000), "u"));
}

#[test]
fn a_report_returns_the_loads_of_the_other_hosts_only() {
    let mut aggregator = LoadAggregator::default();
    assert_eq!(
        aggregator.report(Instant(0), "h1", loads(&[("u", 2)])),
        UpstreamLoads::new()
    );
    assert_eq!(
        aggregator.report(Instant(1), "h2", loads(&[("u", 3), ("v", 1)])),
        loads(&[("u", 2)])
    );
    assert_eq!(
        aggregator.report(Instant(2), "h1", loads(&[("v", 5)])),
        loads(&[("u", 3), ("v", 1)])
    );
    assert_eq!(aggregator.total(), &loads(&[("u", 3), ("v", 6)]));
}

#[test]
fn a_report_returns_the_time_since_any_host_last_got_a_byte() {
    let with_last_byte = |ms| {
        let load = UpstreamLoad {
            last_byte_age_ms: Some(ms),
            running: 1,
            ..UpstreamLoad::default()
        };
        UpstreamLoads::from([("u".to_owned(), load)])
    };
    let mut aggregator = LoadAggregator::default();
    aggregator.report(Instant(1_000), "h1", with_last_byte(400));
    aggregator.report(Instant(1_010), "h2", with_last_byte(30));
    aggregator.report(Instant(1_020), "h1", with_last_byte(420));
    let others = aggregator.report(Instant(1_050), "h3", UpstreamLoads::new());
    assert_eq!(others["u"].last_byte_age_ms, Some(70));
}

#[test]
fn a_report_that_is_not_renewed_expires() {
    let mut aggregator = LoadAggregator::default();
    aggregator.report(Instant(0), "h1", loads(&[("u", 2)]));
    let others = aggregator.report(Instant(1_001), "h2", loads(&[("u", 1)]));
    assert_eq!(others, BTreeMap::new());
}

#[test]
fn the_age_of_routing_data_counts_from_the_time_of_the_request() {
    let mut freshness = Freshness::new(4_000);
    assert!(!freshness.is_fresh(Instant(0)));
    freshness.confirm(Instant(1_000));
    assert!(freshness.is_fresh(Instant(4_999)));
    assert!(!freshness.is_fresh(Instant(5_000)));
    freshness.confirm(Instant(500));
    assert_eq!(freshness.age_ms(Instant(1_500)), Some(500));
}
