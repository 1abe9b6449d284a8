//! Checks that a broker copes with a change of owner, repeated messages and lost reports.

mod support;

use coordination::admission::Reason;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::engine_load::BackupLimit;
use coordination::engine_load::Standing;
use coordination::placement_request::PlacementId;
use coordination::report::InFlightRequest;
use coordination::report::Progress;
use state::cache_directory::Snapshot;
use state::column::Column;
use state::ident::Incarnation;
use state::rank::Rank;
use state::sheet::Sheet;
use support::BrokerHarness;
use support::SLOTS;
use support::grants;
use support::prompt_blocks;
use support::refusals;
use support::request;

#[test]
fn repeated_request_gets_the_same_grant_and_counts_once() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let first = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 1)));
    let second = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 1)));
    assert_eq!(first, second);
    assert_eq!(harness.broker.in_flight(), 1);
}

#[test]
fn new_owner_counts_requests_in_flight_that_entry_hosts_report() {
    let mut harness = BrokerHarness::new(&["a"]);
    harness.set_workspace("maps", &[(Column::Limit, "8")]);
    for serial in 0..u128::from(SLOTS) {
        harness.step(Event::InFlight(InFlightRequest {
            request: request(serial, Rank::Urgent, "maps", "c", 1),
            prefilled: true,
            upstream: "a".to_owned(),
        }));
    }
    let effects = harness.submit(request(100, Rank::Urgent, "maps", "c", 1));
    assert_eq!(refusals(&effects), [Reason::WorkspaceLimit]);
    let effects = harness.submit(request(101, Rank::Urgent, "shops", "c", 0));
    assert_eq!(effects, [], "all slots are taken, so the request waits");
    let effects = harness.report_progress(PlacementId(0), Progress::Finished);
    assert_eq!(grants(&effects).len(), 1);
}

#[test]
fn new_owner_requests_snapshots_and_uses_them() {
    let mut harness = BrokerHarness::new(&[]);
    harness.add_engine("a");
    harness.now += 1_000;
    let effects = harness.report_load("a", 1);
    let upstream = "a".to_owned();
    assert_eq!(
        effects,
        [Effect::Resync {
            upstream: upstream.clone()
        }]
    );
    harness.step(Event::Snapshot {
        snapshot: Snapshot {
            blocks: prompt_blocks("maps", 5),
            incarnation: Incarnation(1),
            sequence: 70,
            version: "v1".to_owned(),
        },
        upstream,
    });
    let grant = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 5))).remove(0);
    assert_eq!(grant.resident_blocks, 5);
}

#[test]
fn dead_upstream_frees_its_slots_and_ignores_late_reports() {
    let mut harness = BrokerHarness::new(&["a"]);
    for serial in 0..u128::from(SLOTS) {
        harness.submit(request(serial, Rank::Urgent, "maps", "c", 0));
    }
    harness.set_standing("a", Standing::Dead);
    let effects = harness.submit(request(50, Rank::Urgent, "maps", "c", 0));
    assert_eq!(refusals(&effects), [Reason::NoUpstream]);
    harness.set_standing("a", Standing::Usable);
    harness.report_load("a", 2);
    let effects = harness.submit(request(51, Rank::Urgent, "maps", "c", 0));
    assert_eq!(grants(&effects).len(), 1);
    for serial in 0..u128::from(SLOTS) {
        harness.report_progress(PlacementId(serial), Progress::Failed);
    }
    assert_eq!(harness.broker.in_flight(), 1);
}

#[test]
fn cache_events_of_a_dead_upstream_are_ignored() {
    let mut harness = BrokerHarness::new(&["a"]);
    harness.set_standing("a", Standing::Dead);
    harness.report_cached("a", 1, 0, &prompt_blocks("maps", 4));
    assert_eq!(harness.broker.directory().len(), 0);
}

#[test]
fn request_whose_end_is_never_reported_expires() {
    let mut harness = BrokerHarness::new(&["a"]);
    harness.submit(request(1, Rank::Urgent, "maps", "c", 0));
    harness.advance(600_000);
    assert_eq!(harness.broker.in_flight(), 0);
}

#[test]
fn same_events_give_the_same_effects() {
    let run = || {
        let mut harness = BrokerHarness::new(&["a", "b", "c"]);
        let mut effects = Vec::new();
        for serial in 0..300 {
            let rank = if serial % 3 == 0 {
                Rank::Urgent
            } else {
                Rank::Background
            };
            let workspace = format!("w{}", serial % 7);
            effects.extend(harness.submit(request(
                serial,
                rank,
                &workspace,
                "c",
                (serial % 5) as usize,
            )));
            effects.extend(harness.advance(7));
            effects.extend(harness.report_progress(PlacementId(serial / 2), Progress::Finished));
        }
        effects
    };
    assert_eq!(run(), run());
}

#[test]
fn upstream_that_was_dead_holds_no_blocks_until_it_reports_them() {
    let mut harness = BrokerHarness::new(&["a"]);
    harness.report_cached("a", 1, 0, &prompt_blocks("maps", 4));
    harness.set_standing("a", Standing::Dead);
    harness.set_standing("a", Standing::Usable);
    let grant = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 4))).remove(0);
    assert_eq!(grant.resident_blocks, 0);
}

#[test]
fn backup_broker_stays_within_its_share_of_each_upstream() {
    for (limit, expected) in [(None, 4), (Some("8"), 2), (Some("1"), 2)] {
        let mut harness = BrokerHarness::new(&["a", "b"]);
        harness.step(Event::BackupLimit(BackupLimit { hosts: 8, slots: 2 }));
        for upstream in ["a", "b"] {
            if let Some(limit) = limit {
                harness.set_row(Sheet::Upstreams, upstream, &[(Column::Limit, limit)]);
            }
        }
        for serial in 0..10 {
            let workspace = format!("w{serial}");
            harness.submit(request(serial, Rank::Urgent, &workspace, "c", 0));
        }
        assert_eq!(harness.broker.in_flight(), expected, "{limit:?}");
    }
}

#[test]
fn broker_without_upstreams_of_the_model_refuses_as_not_owner() {
    let mut harness = BrokerHarness::new(&[]);
    let effects = harness.submit(request(1, Rank::Urgent, "maps", "c", 0));
    assert_eq!(refusals(&effects), [Reason::NotOwner]);
}
