//! Tests of the paces that the leading host learns, under the loads that make upstreams differ.

mod pace_fixtures;
mod upstream_fixtures;

use crate::pace_fixtures::ENGINES;
use crate::pace_fixtures::mixed;
use crate::pace_fixtures::number;
use crate::pace_fixtures::taught;
use crate::pace_fixtures::tell;
use crate::upstream_fixtures::engines;
use coordination::engine_model::EngineModel;
use coordination::engine_model::Models;
use coordination::engine_model::Sample;
use coordination::load::pace::Pace;
use coordination::load::paces::Paces;
use state::time::Instant;

/// Load: any, beside engines that are even, or tell no pace.
#[test]
fn even_upstreams_have_no_paces() {
    let fleet = engines(ENGINES);
    for pace in [0, 100, 160] {
        let mut learner = taught(&fleet, |_| pace);
        assert!(learner.paces(Instant(1_000), &fleet).is_empty(), "{pace}");
    }
    let mut learner = taught(&fleet, |engine| 100 + engine as u32 % 5);
    assert!(learner.paces(Instant(1_000), &fleet).is_empty());
}

/// Load: a neighbour's burst slows a third of the machines down for some hundred milliseconds.
#[test]
fn a_neighbours_burst_changes_the_pace_of_the_moment_only() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, mixed);
    let burst = |engine: usize| match engine % 9 {
        0 => 150,
        _ => mixed(engine),
    };
    for at in [1_000, 1_100, 1_200] {
        tell(&mut learner, Instant(at), &fleet, burst);
    }
    let usual = Pace {
        now_percent: 60,
        usual_percent: 60,
    };
    let slowed = Pace {
        now_percent: 150,
        usual_percent: 60,
    };
    let paces = learner.paces(Instant(1_250), &fleet);
    assert_eq!((paces[0], paces[3]), (slowed, usual));
    let unheard = learner.paces(Instant(1_700), &fleet);
    assert_eq!(unheard[0], usual, "no news for too long");
}

/// Load: the usual one, beside one engine whose figures are wrong: too fast, too slow, or not
/// there.
#[test]
fn wrong_figures_count_as_none() {
    let fleet = engines(ENGINES);
    let models = Models::from([("engines".to_owned(), EngineModel::default())]);
    for (told, takes_ms) in [(1, 400), (40, 400), (100_000, 200), (250, 200), (0, 200)] {
        let mut learner = taught(&fleet, |engine| match engine {
            0 => told,
            _ => mixed(engine),
        });
        for upstream in &fleet.upstreams {
            let first_byte_ms = match number(&upstream.id) {
                0 => takes_ms,
                engine => 2 * u64::from(mixed(engine)),
            };
            let sample = Sample {
                first_byte_ms,
                service: "engines".to_owned(),
                tokens: 0,
                upstream: upstream.id.clone(),
            };
            learner.record_samples(&models, &vec![sample; 16]);
        }
        let paces = learner.paces(Instant(1_000), &fleet);
        assert_eq!(paces[0], Pace::default(), "told {told}");
        assert_eq!((paces[1].usual_percent, paces[2].usual_percent), (100, 160));
    }
}

/// Load: any, while the leading host is gone or publishes another edition.
#[test]
fn a_host_drops_paces_that_are_old_or_belong_to_another_fleet() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, mixed);
    let learnt = learner.paces(Instant(1_000), &fleet);
    let mut paces = Paces::default();
    paces.set(Instant(1_000), &fleet, &learnt);
    assert!(paces.is_uneven(Instant(1_500), "engines"));
    assert_eq!(paces.get(Instant(1_500), "e2").usual_percent, 160);
    assert!(!paces.is_uneven(Instant(3_000), "engines"));
    assert_eq!(paces.get(Instant(3_000), "e2"), Pace::default());
    paces.set(Instant(1_600), &engines(2), &learnt);
    assert!(!paces.is_uneven(Instant(1_600), "engines"));
}
