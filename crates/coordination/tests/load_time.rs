//! Tests of the pace of rolling reloads in fleets whose engines load at different speeds. The
//! pattern they answer: weights named every few seconds, in a fleet that must keep up with them.

mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::upstream_fixtures::listed_upstream;
use coordination::load_time::LoadTimes;
use coordination::reload::Effect;
use coordination::reload::Event;
use coordination::reload::Outcome;
use coordination::reload::Policy;
use coordination::reload::Reload;
use coordination::reload::Report;
use state::time::Instant;

const ENGINES: usize = 12;
const MODEL: &str = "m";
const STEP_MS: u64 = 50;

struct Engine {
    loading: Option<(u64, u64)>,
    orders: u64,
    version: u64,
}

/// What a fleet did until all engines had the newest version.
struct Outcomes {
    reads: usize,
    took_ms: u64,
}

/// Reloads a fleet whose engines load for `load_ms`, for each of `versions` in turn, and returns
/// what the last one took.
fn reload(load_ms: u64, versions: u64) -> Outcomes {
    let mut engines: BTreeMap<String, Engine> = (0..ENGINES)
        .map(|index| {
            let engine = Engine {
                loading: None,
                orders: 0,
                version: 1,
            };
            (format!("e{index:02}"), engine)
        })
        .collect();
    let mut reload = Reload::new(Policy::default());
    let listed = engines.keys().map(|id| listed_upstream(id, MODEL, 1));
    reload.step(Instant(0), Event::Listed(listed.collect()));
    reload.step(Instant(0), Event::LeadershipGained);
    let mut now_ms = Policy::default().takeover_delay_ms;
    let mut outcomes = Outcomes {
        reads: 0,
        took_ms: 0,
    };
    for version in 2..2 + versions {
        let named_ms = now_ms;
        outcomes.reads = 0;
        let newest = BTreeMap::from([(MODEL.to_owned(), version)]);
        reload.step(Instant(now_ms), Event::NewestVersions(newest));
        while engines.values().any(|engine| engine.version < version) {
            now_ms += STEP_MS;
            assert!(now_ms < named_ms + 200_000, "the reload does not end");
            for engine in engines.values_mut() {
                if let Some((due, loaded)) = engine.loading
                    && due <= now_ms
                {
                    engine.version = loaded;
                    engine.loading = None;
                }
            }
            let mut effects = reload.step(Instant(now_ms), Event::Tick);
            while let Some(effect) = effects.pop() {
                let event = match effect {
                    Effect::Done { .. } | Effect::Withdrawn { .. } => continue,
                    Effect::Order(order) => {
                        let engine = engines.get_mut(&order.id).unwrap();
                        engine.orders += 1;
                        engine.loading = Some((now_ms + load_ms, order.version));
                        Event::Answered(order.id, Outcome::Accepted)
                    }
                    Effect::Read(id) => {
                        outcomes.reads += 1;
                        let engine = &engines[&id];
                        let report = Report {
                            loading: engine.loading.is_some(),
                            accepted_orders: engine.orders,
                            running: 0,
                            weights: BTreeMap::from([(MODEL.to_owned(), engine.version)]),
                        };
                        Event::Reported(id, Some(report))
                    }
                };
                effects.extend(reload.step(Instant(now_ms), event));
            }
        }
        outcomes.took_ms = now_ms - named_ms;
    }
    outcomes
}

/// A chooser that knows how long loads take needs a sixth of the loads one after the other, two at
/// a time, and once the time in which hosts learn that an engine is off work.
#[test]
fn a_fleet_keeps_the_pace_of_its_engines() {
    for load_ms in [300, 2_000, 10_000] {
        let ideal_ms = load_ms * ENGINES as u64 / 2 + Policy::default().propagation_ms;
        let learned = reload(load_ms, 2);
        assert!(
            learned.took_ms <= ideal_ms * 3 / 2 + 500,
            "loads of {load_ms} ms: {} ms, ideal {ideal_ms} ms",
            learned.took_ms
        );
        assert!(
            learned.reads <= 6 * ENGINES,
            "loads of {load_ms} ms: {} reads",
            learned.reads
        );
    }
}

/// The first reload begins without any measured load.
#[test]
fn the_first_reload_costs_more_reads_but_no_time() {
    for load_ms in [300, 2_000] {
        let ideal_ms = load_ms * ENGINES as u64 / 2 + Policy::default().propagation_ms;
        let first = reload(load_ms, 1);
        assert!(
            first.took_ms <= ideal_ms * 3 / 2 + 500,
            "loads of {load_ms} ms: {} ms, ideal {ideal_ms} ms",
            first.took_ms
        );
    }
}

/// Engines that wait for their order serve nobody. Where a load takes much longer than the wait
/// before it, few have to wait so that a load begins whenever one ends.
#[test]
fn only_as_many_engines_wait_as_loads_end_meanwhile() {
    let mut times = LoadTimes::default();
    assert_eq!(times.waiting_engines("engines", 19), 19);
    for _ in 0..16 {
        times.record("engines", 2_200);
        times.record_wait("engines", 900);
    }
    assert_eq!(times.waiting_engines("engines", 19), 8);
    assert_eq!(times.waiting_engines("engines", 1), 1);
    for _ in 0..16 {
        times.record("engines", 300);
    }
    assert_eq!(times.waiting_engines("engines", 19), 19);
}

#[test]
fn one_engine_that_claims_to_be_done_at_once_changes_little() {
    let mut times = LoadTimes::default();
    for _ in 0..12 {
        times.record("engines", 2_000);
    }
    for _ in 0..3 {
        times.record("engines", 0);
    }
    assert_eq!(times.first_read_ms("engines"), 1_800);
    assert!(times.first_read_ms("another") < 300);
}
