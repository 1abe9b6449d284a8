//! Tests of differences between editions of the fleet, with hosts that miss some of them.

mod upstream_fixtures;

use std::collections::BTreeMap;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use crate::upstream_fixtures::fleet;
use coordination::fleet_log::Error;
use coordination::fleet_log::FleetLog;
use coordination::fleet_log::FleetUpdate;
use coordination::upstream::Edition;
use coordination::upstream::Fleet;
use coordination::upstream::Standing;
use coordination::upstream::Upstream;

/// Returns a list of upstreams: for each bit of `listed` an upstream, in the standing and with the
/// weights that the other numbers give.
fn upstreams(listed: u8, loading: u8, version: u64) -> Vec<Upstream> {
    let ids: Vec<String> = (0..8).map(|index| format!("e{index}")).collect();
    let engines: Vec<(&str, u64)> = (0..8)
        .filter(|index| listed >> index & 1 == 1)
        .map(|index| (ids[index].as_str(), version * (index as u64 % 2)))
        .collect();
    let mut upstreams = fleet(&engines).upstreams;
    upstreams.reverse();
    for upstream in &mut upstreams {
        let index: u8 = upstream.id[1..].parse().unwrap();
        if loading >> index & 1 == 1 {
            upstream.standing = Standing::Loading;
        }
    }
    upstreams
}

fn min_weights(version: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("m".to_owned(), version)])
}

proptest! {
    /// A host that follows now and then has the published fleet after each update, across leaders.
    #[test]
    fn a_host_that_follows_has_the_published_fleet(
        editions in proptest::collection::vec((any::<u8>(), any::<u8>(), 0..3_u64, 0..9_u8), 1..90),
        asks in proptest::collection::vec(any::<bool>(), 90),
    ) {
        let mut log = FleetLog::default();
        let mut host = Fleet::default();
        let mut term = 1;
        for ((listed, loading, version, change), asks) in editions.into_iter().zip(asks) {
            if change == 0 {
                term += 1;
                log = FleetLog::default();
            }
            let listed = upstreams(listed, loading, version);
            if let Some(newer) = log.publish(term, listed, min_weights(version)) {
                log = newer;
            }
            if asks {
                if let Some(update) = log.update_after(host.edition) {
                    host = (*update.apply(&host).unwrap()).clone();
                }
                prop_assert_eq!(&host, &**log.fleet());
            }
        }
    }

    /// A difference for another edition is refused, and leaves the host as it is.
    #[test]
    fn a_difference_that_does_not_fit_is_refused(
        first in any::<u8>(),
        second in any::<u8>().prop_filter("a change", |second| *second != 0),
        other in 2..9_u64,
        term in 1..3_u64,
    ) {
        let log = FleetLog::default().publish(1, upstreams(first, 0, 1), min_weights(1)).unwrap();
        let base = log.fleet().clone();
        let log = log.publish(1, upstreams(first ^ second, 0, 1), min_weights(1)).unwrap();
        let update = log.update_after(base.edition).unwrap();
        let is_difference = matches!(update, FleetUpdate::Difference(_));
        prop_assert!(is_difference);
        let elsewhere = Fleet { edition: Edition { term, number: other }, ..(*base).clone() };
        let refused = update.clone().apply(&elsewhere);
        let edition = elsewhere.edition;
        prop_assert_eq!(refused, Err(Error::Base { base: base.edition, edition }));
        let short = Fleet { upstreams: Vec::new(), ..(*base).clone() };
        let result = update.apply(&short);
        prop_assert!(result.is_err() || result.unwrap().upstreams == log.fleet().upstreams);
    }
}

#[test]
fn an_update_costs_what_has_changed() {
    let names: Vec<String> = (0..1_500).map(|index| format!("engine-{index}")).collect();
    let engines: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut listed = fleet(&engines).upstreams;
    let log = FleetLog::default();
    let log = log.publish(1, listed.clone(), min_weights(1)).unwrap();
    let whole = log.update_after(Edition::default()).unwrap();
    let base = log.fleet().edition;
    listed[700].standing = Standing::Loading;
    let log = log.publish(1, listed, min_weights(1)).unwrap();
    let update = log.update_after(base).unwrap();
    let size = |update: &FleetUpdate| postcard::to_stdvec(update).unwrap().len();
    assert!(size(&update) < 200, "{} bytes", size(&update));
    assert!(size(&whole) > 40_000, "{} bytes", size(&whole));
}

/// Each reload of an engine sent its whole row twice to every host.
#[test]
fn a_reload_costs_a_few_bytes_and_a_new_process_its_row() {
    let names: Vec<String> = (0..1_500).map(|index| format!("engine-{index}")).collect();
    let engines: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut listed = fleet(&engines).upstreams;
    let log = FleetLog::default();
    let log = log.publish(1, listed.clone(), min_weights(1)).unwrap();
    let base = log.fleet().clone();
    let empty = log.publish(1, listed.clone(), min_weights(2)).unwrap();
    let size = |log: &FleetLog| {
        let update = log.update_after(base.edition).unwrap();
        assert_eq!(update.clone().apply(&base).unwrap(), *log.fleet());
        postcard::to_stdvec(&update).unwrap().len()
    };
    for upstream in &mut listed[400..500] {
        upstream.weights.insert("m".to_owned(), 2);
        upstream.standing = Standing::Loading;
    }
    let reloads = log.publish(1, listed.clone(), min_weights(1)).unwrap();
    let per_reload = (size(&reloads) - size(&empty)) / 100;
    assert!(per_reload <= 6, "{per_reload} bytes");
    listed[450].started += 1;
    let restarted = log.publish(1, listed, min_weights(1)).unwrap();
    assert!(size(&restarted) > size(&reloads) + 20);
}

#[test]
fn a_host_of_another_term_or_of_long_ago_gets_the_whole_fleet() {
    let mut log = FleetLog::default();
    for number in 0..80_u64 {
        let listed = upstreams(number as u8 + 1, 0, 1);
        log = log.publish(3, listed, min_weights(1)).unwrap();
    }
    let is_whole = |term, number| {
        let update = log.update_after(Edition { term, number });
        matches!(update, Some(FleetUpdate::Whole(_)))
    };
    assert!(is_whole(2, 79));
    assert!(is_whole(3, 10));
    assert!(!is_whole(3, 60));
    assert_eq!(
        log.update_after(Edition {
            term: 3,
            number: 80
        }),
        None
    );
    assert_eq!(log.update_after(Edition { term: 4, number: 1 }), None);
}

#[test]
fn what_has_not_changed_is_not_published() {
    let log = FleetLog::default()
        .publish(1, upstreams(7, 0, 1), min_weights(1))
        .unwrap();
    assert!(log.publish(1, upstreams(7, 0, 1), min_weights(1)).is_none());
    assert!(log.publish(1, upstreams(7, 0, 1), min_weights(2)).is_some());
    let edition = log
        .publish(2, upstreams(7, 0, 1), min_weights(1))
        .unwrap()
        .fleet()
        .edition;
    assert_eq!(edition, Edition { term: 2, number: 1 });
}
