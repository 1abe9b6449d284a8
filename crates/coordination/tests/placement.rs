//! Checks on which upstream requests are placed, and on which they must not be.

mod support;

use coordination::engine_load::Standing;
use coordination::grant::Import;
use coordination::placement_request::PlacementId;
use coordination::report::Progress;
use state::column::Column;
use state::rank::Rank;
use state::sheet::Sheet;
use support::BrokerHarness;
use support::grants;
use support::prompt_blocks;
use support::request;
use support::upstreams;

type Fault = fn(&mut BrokerHarness, &str);

/// Fills the cache of the upstream that an idle fleet would not choose for the prompt, and returns
/// its name.
fn warm_other_upstream(harness: &mut BrokerHarness, blocks: usize) -> &'static str {
    let cold = harness.broker.clone();
    let effects = harness.submit(request(900, Rank::Urgent, "maps", "c", blocks));
    let chosen = &upstreams(&effects)[0];
    let other = if chosen == "a" { "b" } else { "a" };
    harness.broker = cold;
    harness.report_cached(other, 1, 0, &prompt_blocks("maps", blocks));
    other
}

#[test]
fn request_goes_to_the_upstream_that_holds_its_nested_prefix() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let holder = warm_other_upstream(&mut harness, 6);
    let grant = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 8))).remove(0);
    assert_eq!(
        (grant.upstream.as_str(), grant.resident_blocks),
        (holder, 6)
    );
    harness.report_progress(PlacementId(1), Progress::FirstToken);
    let nested = grants(&harness.submit(request(2, Rank::Urgent, "maps", "c", 3))).remove(0);
    assert_eq!(
        (nested.upstream.as_str(), nested.resident_blocks),
        (holder, 3)
    );
}

#[test]
fn requests_with_the_same_new_prefix_go_to_one_upstream_before_any_cache_event() {
    let mut harness = BrokerHarness::new(&["a", "b", "c"]);
    let first = upstreams(&harness.submit(request(1, Rank::Urgent, "maps", "c", 4)));
    harness.report_progress(PlacementId(1), Progress::FirstToken);
    let second = upstreams(&harness.submit(request(2, Rank::Urgent, "maps", "c", 4)));
    assert_eq!(first, second);
}

#[test]
fn upstream_that_takes_no_work_is_never_chosen() {
    let cases: [(&str, Fault); 5] = [
        ("dead", |d, u| d.set_standing(u, Standing::Dead)),
        ("ejected", |d, u| d.set_standing(u, Standing::Ejected)),
        ("leaving", |d, u| d.set_standing(u, Standing::Leaving)),
        ("leaving by table", |d, u| {
            d.set_row(Sheet::Upstreams, u, &[(Column::Standing, "leaving")]);
        }),
        ("weight zero", |d, u| {
            d.set_row(Sheet::Upstreams, u, &[(Column::Weight, "0")]);
        }),
    ];
    for (name, fault) in cases {
        let mut harness = BrokerHarness::new(&["a", "b"]);
        let holder = warm_other_upstream(&mut harness, 6);
        fault(&mut harness, holder);
        for serial in 0..20 {
            for upstream in
                upstreams(&harness.submit(request(serial, Rank::Urgent, "maps", "c", 6)))
            {
                assert_ne!(upstream, holder, "{name}");
            }
            harness.now += 10;
        }
    }
}

#[test]
fn restarted_upstream_holds_no_blocks() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let holder = warm_other_upstream(&mut harness, 6);
    harness.report_load(holder, 2);
    let grant = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 6))).remove(0);
    assert_eq!(grant.resident_blocks, 0);
}

#[test]
fn load_sent_since_the_last_report_counts() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let mut chosen = Vec::new();
    for (serial, workspace) in ["w1", "w2", "w3", "w4"].into_iter().enumerate() {
        let effects = harness.submit(request(serial as u128, Rank::Urgent, workspace, "c", 2));
        chosen.extend(upstreams(&effects));
    }
    chosen.sort();
    assert_eq!(
        chosen,
        ["a", "b"],
        "the others wait instead of queueing up on one upstream"
    );
}

#[test]
fn blocks_are_imported_from_a_busy_holder() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let holder = warm_other_upstream(&mut harness, 4);
    let mut serial = 0;
    let import = loop {
        serial += 1;
        let mut long = request(serial, Rank::Urgent, "maps", "c", 4);
        long.prompt_tokens += 4_000;
        let grant = grants(&harness.submit(long)).remove(0);
        if grant.upstream != holder {
            break grant.import;
        }
    };
    let source = holder.to_owned();
    assert_eq!(import, Some(Import { blocks: 4, source }));
}

#[test]
fn excluded_upstreams_are_avoided() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let holder = warm_other_upstream(&mut harness, 6);
    let mut retry = request(1, Rank::Urgent, "maps", "c", 6);
    retry.excluded = vec![holder.to_owned()];
    assert_ne!(upstreams(&harness.submit(retry)), [holder]);
}

#[test]
fn upstream_with_more_weight_gets_more_work() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    harness.set_row(Sheet::Upstreams, "a", &[(Column::Weight, "400")]);
    let mut on_a = 0;
    for serial in 0..40 {
        let workspace = format!("w{serial}");
        let effects = harness.submit(request(serial, Rank::Urgent, &workspace, "c", 1));
        on_a += upstreams(&effects).iter().filter(|u| *u == "a").count();
        harness.advance(400);
        harness.report_progress(PlacementId(serial), Progress::Finished);
    }
    assert_eq!(on_a, 40);
}

#[test]
fn import_never_crosses_weights_versions() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let holder = warm_other_upstream(&mut harness, 6);
    let other = if holder == "a" { "b" } else { "a" };
    harness.report_version(other, 1, "v2");
    let mut request = request(1, Rank::Urgent, "maps", "c", 6);
    request.version = Some("v2".to_owned());
    let grant = grants(&harness.submit(request)).remove(0);
    assert_eq!((grant.upstream.as_str(), grant.import), (other, None));
}

#[test]
fn blocks_are_imported_from_the_store_only_for_the_version_that_the_upstream_serves() {
    for (version, import) in [("v1", 6), ("v2", 0)] {
        let mut harness = BrokerHarness::new(&["a"]);
        let cells = [(Column::Address, "127.0.0.1:2"), (Column::Type, "kv_store")];
        harness.set_row(Sheet::Upstreams, "kept", &cells);
        let named: Vec<_> = prompt_blocks("maps", 6)
            .iter()
            .map(|b| b.with_version("v1"))
            .collect();
        harness.report_cached("kept", 1, 0, &named);
        harness.report_version("a", 1, version);
        let grant = grants(&harness.submit(request(1, Rank::Urgent, "maps", "c", 6))).remove(0);
        assert_eq!(
            grant.import.map_or(0, |import| import.blocks),
            import,
            "{version}"
        );
    }
}

#[test]
fn requests_of_other_hosts_count_once_two_reports_show_them() {
    let mut harness = BrokerHarness::new(&["a"]);
    for _ in 0..2 {
        harness.report_running("a", support::SLOTS);
    }
    assert_eq!(
        upstreams(&harness.submit(request(1, Rank::Urgent, "maps", "c", 0))),
        [""; 0]
    );
    assert_eq!(upstreams(&harness.report_running("a", 0)), ["a"]);
}

#[test]
fn upstream_that_failed_a_request_is_avoided_for_a_while() {
    let mut harness = BrokerHarness::new(&["a", "b"]);
    let holder = warm_other_upstream(&mut harness, 2);
    harness.submit(request(1, Rank::Urgent, "maps", "c", 2));
    harness.report_progress(PlacementId(1), Progress::Failed);
    assert_ne!(
        upstreams(&harness.submit(request(2, Rank::Urgent, "maps", "c", 2))),
        [holder]
    );
    harness.report_progress(PlacementId(2), Progress::Failed);
    harness.now += 1_000;
    assert_eq!(
        upstreams(&harness.submit(request(3, Rank::Urgent, "maps", "c", 2))),
        [holder]
    );
}
