//! Owners that are lost, repeated messages and other faults around a broker.

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
use support::Desk;
use support::SLOTS;
use support::ask;
use support::grants;
use support::prompt;
use support::refusals;

#[test]
fn repeated_ask_gets_the_same_place_and_counts_once() {
    let mut desk = Desk::new(&["a", "b"]);
    let first = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 1)));
    let second = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 1)));
    assert_eq!(first, second);
    assert_eq!(desk.broker.in_flight(), 1);
}

#[test]
fn new_owner_counts_what_entries_report_again() {
    let mut desk = Desk::new(&["a"]);
    desk.workspace("maps", &[(Column::Limit, "8")]);
    for serial in 0..u128::from(SLOTS) {
        desk.step(Event::InFlight(InFlightRequest {
            request: ask(serial, Rank::Urgent, "maps", "c", 1),
            prefilled: true,
            upstream: "a".to_owned(),
        }));
    }
    let effects = desk.ask(ask(100, Rank::Urgent, "maps", "c", 1));
    assert_eq!(refusals(&effects), [Reason::WorkspaceLimit]);
    let effects = desk.ask(ask(101, Rank::Urgent, "shops", "c", 0));
    assert_eq!(effects, [], "all places are taken, so the request waits");
    let effects = desk.report(PlacementId(0), Progress::Finished);
    assert_eq!(grants(&effects).len(), 1);
}

#[test]
fn new_owner_asks_for_snapshots_and_uses_them() {
    let mut desk = Desk::new(&[]);
    desk.engine("a");
    desk.now += 1_000;
    let effects = desk.load("a", 1);
    let upstream = "a".to_owned();
    assert_eq!(
        effects,
        [Effect::Resync {
            upstream: upstream.clone()
        }]
    );
    desk.step(Event::Snapshot {
        snapshot: Snapshot {
            blocks: prompt("maps", 5),
            incarnation: Incarnation(1),
            sequence: 70,
            version: "v1".to_owned(),
        },
        upstream,
    });
    let grant = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 5))).remove(0);
    assert_eq!(grant.resident_blocks, 5);
}

#[test]
fn dead_upstream_frees_its_places_and_forgets_late_reports() {
    let mut desk = Desk::new(&["a"]);
    for serial in 0..u128::from(SLOTS) {
        desk.ask(ask(serial, Rank::Urgent, "maps", "c", 0));
    }
    desk.stand("a", Standing::Dead);
    let effects = desk.ask(ask(50, Rank::Urgent, "maps", "c", 0));
    assert_eq!(refusals(&effects), [Reason::NoUpstream]);
    desk.stand("a", Standing::Usable);
    desk.load("a", 2);
    let effects = desk.ask(ask(51, Rank::Urgent, "maps", "c", 0));
    assert_eq!(grants(&effects).len(), 1);
    for serial in 0..u128::from(SLOTS) {
        desk.report(PlacementId(serial), Progress::Failed);
    }
    assert_eq!(desk.broker.in_flight(), 1);
}

#[test]
fn cache_events_of_a_dead_upstream_are_ignored() {
    let mut desk = Desk::new(&["a"]);
    desk.stand("a", Standing::Dead);
    desk.cached("a", 1, 0, &prompt("maps", 4));
    assert_eq!(desk.broker.directory().len(), 0);
}

#[test]
fn lost_end_of_a_request_is_made_up_for() {
    let mut desk = Desk::new(&["a"]);
    desk.ask(ask(1, Rank::Urgent, "maps", "c", 0));
    desk.tick(600_000);
    assert_eq!(desk.broker.in_flight(), 0);
}

#[test]
fn same_events_give_the_same_effects() {
    let run = || {
        let mut desk = Desk::new(&["a", "b", "c"]);
        let mut effects = Vec::new();
        for serial in 0..300 {
            let rank = if serial % 3 == 0 {
                Rank::Urgent
            } else {
                Rank::Background
            };
            let workspace = format!("w{}", serial % 7);
            effects.extend(desk.ask(ask(serial, rank, &workspace, "c", (serial % 5) as usize)));
            effects.extend(desk.tick(7));
            effects.extend(desk.report(PlacementId(serial / 2), Progress::Finished));
        }
        effects
    };
    assert_eq!(run(), run());
}

#[test]
fn upstream_that_was_dead_holds_nothing_until_it_says_so() {
    let mut desk = Desk::new(&["a"]);
    desk.cached("a", 1, 0, &prompt("maps", 4));
    desk.stand("a", Standing::Dead);
    desk.stand("a", Standing::Usable);
    let grant = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 4))).remove(0);
    assert_eq!(grant.resident_blocks, 0);
}

#[test]
fn stand_in_keeps_to_its_part_of_each_upstream() {
    for (limit, expected) in [(None, 4), (Some("8"), 2), (Some("1"), 2)] {
        let mut desk = Desk::new(&["a", "b"]);
        desk.step(Event::BackupLimit(BackupLimit { hosts: 8, slots: 2 }));
        for upstream in ["a", "b"] {
            if let Some(limit) = limit {
                desk.row(Sheet::Upstreams, upstream, &[(Column::Limit, limit)]);
            }
        }
        for serial in 0..10 {
            let workspace = format!("w{serial}");
            desk.ask(ask(serial, Rank::Urgent, &workspace, "c", 0));
        }
        assert_eq!(desk.broker.in_flight(), expected, "{limit:?}");
    }
}

#[test]
fn broker_without_upstreams_of_the_model_says_so() {
    let mut desk = Desk::new(&[]);
    let effects = desk.ask(ask(1, Rank::Urgent, "maps", "c", 0));
    assert_eq!(refusals(&effects), [Reason::NotOwner]);
}
