//! Tests of the unresponsive detector, the sums of upstream loads and the freshness of routing
//! data.

mod upstream_fixtures;

use std::collections::BTreeMap;

use coordination::routing_update::Freshness;
use coordination::unresponsive::PATH_TIMEOUT_MS;
use coordination::unresponsive::TIMEOUT_MS;
use coordination::unresponsive::UnresponsiveDetector;
use coordination::upstream::Edition;
use coordination::upstream::Fleet;
use coordination::upstream_load::LoadAggregator;
use coordination::upstream_load::OwnReports;
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

/// A leading host and the hosts that report to it, all with the same fleet.
struct Reports {
    aggregator: LoadAggregator,
    fleet: Fleet,
    hosts: BTreeMap<String, OwnReports>,
}

impl Reports {
    fn new(upstreams: &[&str]) -> Self {
        let upstreams: Vec<(&str, u64)> = upstreams.iter().map(|id| (*id, 1)).collect();
        Self {
            aggregator: LoadAggregator::default(),
            fleet: upstream_fixtures::fleet(&upstreams),
            hosts: BTreeMap::new(),
        }
    }

    /// Reports the loads of a host, and returns what it then knows of the others.
    fn report(&mut self, at: u64, host: &str, loads: UpstreamLoads) -> UpstreamLoads {
        let new = || OwnReports::new(7);
        let own = self.hosts.entry(host.to_owned()).or_insert_with(new);
        let number = own.record(loads.clone());
        let fleet = &self.fleet;
        let (sums, included) = self
            .aggregator
            .exchange(Instant(at), host, number, loads, fleet);
        own.others(fleet, &sums, included).unwrap()
    }
}

#[test]
fn a_host_learns_the_loads_of_the_other_hosts_only() {
    let mut reports = Reports::new(&["u", "v"]);
    assert_eq!(
        reports.report(0, "h1", loads(&[("u", 2)])),
        UpstreamLoads::new()
    );
    assert_eq!(
        reports.report(1_000, "h2", loads(&[("u", 3), ("v", 1)])),
        loads(&[("u", 2)])
    );
    assert_eq!(
        reports.report(1_100, "h1", loads(&[("v", 5)])),
        loads(&[("u", 3), ("v", 1)])
    );
    assert_eq!(reports.aggregator.total(), &loads(&[("u", 3), ("v", 6)]));
}

/// The sums are computed once for many hosts, so they may lack the newest report of the host that
/// asks. It must neither see its own load as that of others nor subtract what is not included.
#[test]
fn sums_that_lack_the_newest_report_of_a_host_still_tell_it_the_others() {
    let mut reports = Reports::new(&["u"]);
    reports.report(0, "h1", loads(&[("u", 2)]));
    for round in 1..20_u64 {
        let at = round * 100;
        let (first, second) = (round as u32, 40 + round as u32);
        reports.report(at, "h2", loads(&[("u", second)]));
        let others = reports.report(at + 1, "h1", loads(&[("u", first)]));
        assert_eq!(others, loads(&[("u", second)]), "round {round}");
        let others = reports.report(at + 2, "h3", UpstreamLoads::new());
        let before = if round == 1 { 2 } else { first - 1 };
        assert_eq!(others["u"].running, before + second, "round {round}");
    }
}

#[test]
fn a_host_that_starts_again_does_not_take_the_reports_before_for_its_own() {
    let mut reports = Reports::new(&["u"]);
    reports.report(0, "h1", loads(&[("u", 2)]));
    reports
        .hosts
        .insert("h1".to_owned(), OwnReports::new(9_000));
    let others = reports.report(15, "h1", loads(&[("u", 1)]));
    assert_eq!(others, loads(&[("u", 2)]));
    let others = reports.report(100, "h1", loads(&[("u", 1)]));
    assert_eq!(others, UpstreamLoads::new());
}

#[test]
fn sums_for_another_edition_of_the_fleet_are_not_used() {
    let mut reports = Reports::new(&["u", "v"]);
    let fleet = reports.fleet.clone();
    let own = OwnReports::new(0);
    let (sums, included) =
        reports
            .aggregator
            .exchange(Instant(0), "h1", 1, loads(&[("v", 2)]), &fleet);
    assert!(own.others(&fleet, &sums, included).is_some());
    let newer = Fleet {
        edition: Edition { term: 1, number: 2 },
        ..fleet
    };
    assert_eq!(own.others(&newer, &sums, included), None);
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
    let mut reports = Reports::new(&["u"]);
    reports.report(1_000, "h1", with_last_byte(400));
    reports.report(1_010, "h2", with_last_byte(30));
    reports.report(1_020, "h1", with_last_byte(420));
    let others = reports.report(1_050, "h3", UpstreamLoads::new());
    assert_eq!(others["u"].last_byte_age_ms, Some(70));
}

#[test]
fn a_report_that_is_not_renewed_expires() {
    let mut reports = Reports::new(&["u"]);
    reports.report(0, "h1", loads(&[("u", 2)]));
    let others = reports.report(1_001, "h2", loads(&[("u", 1)]));
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
