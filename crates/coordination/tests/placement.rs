//! Where requests are placed, and where they must not be.

mod support;

use coordination::engine_load::Standing;
use coordination::grant::Import;
use coordination::placement_request::PlacementId;
use coordination::report::Progress;
use state::column::Column;
use state::rank::Rank;
use state::sheet::Sheet;
use support::Desk;
use support::ask;
use support::grants;
use support::prompt;
use support::upstreams;

type Fault = fn(&mut Desk, &str);

/// Names an upstream other than the one that an idle fleet would choose for the prompt.
fn warm(desk: &mut Desk, blocks: usize) -> &'static str {
    let cold = desk.broker.clone();
    let effects = desk.ask(ask(900, Rank::Urgent, "maps", "c", blocks));
    let chosen = &upstreams(&effects)[0];
    let other = if chosen == "a" { "b" } else { "a" };
    desk.broker = cold;
    desk.cached(other, 1, 0, &prompt("maps", blocks));
    other
}

#[test]
fn request_goes_where_its_nested_prefix_is_held() {
    let mut desk = Desk::new(&["a", "b"]);
    let holder = warm(&mut desk, 6);
    let grant = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 8))).remove(0);
    assert_eq!(
        (grant.upstream.as_str(), grant.resident_blocks),
        (holder, 6)
    );
    desk.report(PlacementId(1), Progress::FirstToken);
    let nested = grants(&desk.ask(ask(2, Rank::Urgent, "maps", "c", 3))).remove(0);
    assert_eq!(
        (nested.upstream.as_str(), nested.resident_blocks),
        (holder, 3)
    );
}

#[test]
fn same_new_prefix_stays_together_before_any_cache_event() {
    let mut desk = Desk::new(&["a", "b", "c"]);
    let first = upstreams(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 4)));
    desk.report(PlacementId(1), Progress::FirstToken);
    let second = upstreams(&desk.ask(ask(2, Rank::Urgent, "maps", "c", 4)));
    assert_eq!(first, second);
}

#[test]
fn upstream_that_takes_no_work_is_never_chosen() {
    let cases: [(&str, Fault); 5] = [
        ("dead", |d, u| d.stand(u, Standing::Dead)),
        ("ejected", |d, u| d.stand(u, Standing::Ejected)),
        ("leaving", |d, u| d.stand(u, Standing::Leaving)),
        ("leaving by table", |d, u| {
            d.row(Sheet::Upstreams, u, &[(Column::Standing, "leaving")]);
        }),
        ("weight zero", |d, u| {
            d.row(Sheet::Upstreams, u, &[(Column::Weight, "0")]);
        }),
    ];
    for (name, fault) in cases {
        let mut desk = Desk::new(&["a", "b"]);
        let holder = warm(&mut desk, 6);
        fault(&mut desk, holder);
        for serial in 0..20 {
            for upstream in upstreams(&desk.ask(ask(serial, Rank::Urgent, "maps", "c", 6))) {
                assert_ne!(upstream, holder, "{name}");
            }
            desk.now += 10;
        }
    }
}

#[test]
fn restarted_upstream_holds_nothing() {
    let mut desk = Desk::new(&["a", "b"]);
    let holder = warm(&mut desk, 6);
    desk.load(holder, 2);
    let grant = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 6))).remove(0);
    assert_eq!(grant.resident_blocks, 0);
}

#[test]
fn load_sent_since_the_last_report_counts() {
    let mut desk = Desk::new(&["a", "b"]);
    let mut chosen = Vec::new();
    for (serial, workspace) in ["w1", "w2", "w3", "w4"].into_iter().enumerate() {
        let effects = desk.ask(ask(serial as u128, Rank::Urgent, workspace, "c", 2));
        chosen.extend(upstreams(&effects));
    }
    chosen.sort();
    assert_eq!(
        chosen,
        ["a", "b"],
        "the others wait rather than pile up on one upstream"
    );
}

#[test]
fn busy_holder_lends_its_blocks_by_import() {
    let mut desk = Desk::new(&["a", "b"]);
    let holder = warm(&mut desk, 4);
    let mut serial = 0;
    let import = loop {
        serial += 1;
        let mut long = ask(serial, Rank::Urgent, "maps", "c", 4);
        long.prompt_tokens += 4_000;
        let grant = grants(&desk.ask(long)).remove(0);
        if grant.upstream != holder {
            break grant.import;
        }
    };
    let source = holder.to_owned();
    assert_eq!(import, Some(Import { blocks: 4, source }));
}

#[test]
fn excluded_upstreams_are_avoided() {
    let mut desk = Desk::new(&["a", "b"]);
    let holder = warm(&mut desk, 6);
    let mut retry = ask(1, Rank::Urgent, "maps", "c", 6);
    retry.excluded = vec![holder.to_owned()];
    assert_ne!(upstreams(&desk.ask(retry)), [holder]);
}

#[test]
fn weight_draws_more_work() {
    let mut desk = Desk::new(&["a", "b"]);
    desk.row(Sheet::Upstreams, "a", &[(Column::Weight, "400")]);
    let mut on_a = 0;
    for serial in 0..40 {
        let workspace = format!("w{serial}");
        let effects = desk.ask(ask(serial, Rank::Urgent, &workspace, "c", 1));
        on_a += upstreams(&effects).iter().filter(|u| *u == "a").count();
        desk.tick(400);
        desk.report(PlacementId(serial), Progress::Finished);
    }
    assert_eq!(on_a, 40);
}

#[test]
fn import_never_crosses_weights_versions() {
    let mut desk = Desk::new(&["a", "b"]);
    let holder = warm(&mut desk, 6);
    let other = if holder == "a" { "b" } else { "a" };
    desk.serve(other, 1, "v2");
    let mut ask = ask(1, Rank::Urgent, "maps", "c", 6);
    ask.version = Some("v2".to_owned());
    let grant = grants(&desk.ask(ask)).remove(0);
    assert_eq!((grant.upstream.as_str(), grant.import), (other, None));
}

#[test]
fn store_lends_blocks_of_the_version_that_the_upstream_serves() {
    for (version, import) in [("v1", 6), ("v2", 0)] {
        let mut desk = Desk::new(&["a"]);
        let cells = [(Column::Address, "127.0.0.1:2"), (Column::Type, "kv_store")];
        desk.row(Sheet::Upstreams, "kept", &cells);
        let named: Vec<_> = prompt("maps", 6)
            .iter()
            .map(|b| b.with_version("v1"))
            .collect();
        desk.cached("kept", 1, 0, &named);
        desk.serve("a", 1, version);
        let grant = grants(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 6))).remove(0);
        assert_eq!(
            grant.import.map_or(0, |import| import.blocks),
            import,
            "{version}"
        );
    }
}

#[test]
fn places_taken_by_others_count_once_two_reports_show_them() {
    let mut desk = Desk::new(&["a"]);
    for _ in 0..2 {
        desk.busy("a", support::SLOTS);
    }
    assert_eq!(
        upstreams(&desk.ask(ask(1, Rank::Urgent, "maps", "c", 0))),
        [""; 0]
    );
    assert_eq!(upstreams(&desk.busy("a", 0)), ["a"]);
}

#[test]
fn upstream_that_failed_a_request_is_avoided_for_a_while() {
    let mut desk = Desk::new(&["a", "b"]);
    let holder = warm(&mut desk, 2);
    desk.ask(ask(1, Rank::Urgent, "maps", "c", 2));
    desk.report(PlacementId(1), Progress::Failed);
    assert_ne!(
        upstreams(&desk.ask(ask(2, Rank::Urgent, "maps", "c", 2))),
        [holder]
    );
    desk.report(PlacementId(2), Progress::Failed);
    desk.now += 1_000;
    assert_eq!(
        upstreams(&desk.ask(ask(3, Rank::Urgent, "maps", "c", 2))),
        [holder]
    );
}
