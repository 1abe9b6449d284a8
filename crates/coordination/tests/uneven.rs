//! Tests of where requests go while upstreams differ in speed; each names the load.

mod pace_fixtures;
mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::pace_fixtures::ENGINES;
use crate::pace_fixtures::mixed;
use crate::pace_fixtures::number;
use crate::pace_fixtures::taught;
use crate::pace_fixtures::tell;
use crate::upstream_fixtures::engines;
use coordination::choice::Choice;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::engine_model::EngineModel;
use coordination::engine_model::Models;
use coordination::engine_model::Sample;
use coordination::load::pace::Learner;
use coordination::load::pace::Pace;
use coordination::rendezvous::scatter;
use coordination::upstream::Fleet;
use state::time::Instant;

fn short(random: u64) -> Demand {
    Demand {
        first_byte_left_ms: 500,
        left_ms: 5_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 380,
        random: scatter(7, random),
        service: "engines".to_owned(),
        ..Demand::default()
    }
}

fn long(prefix_id: impl Into<String>) -> Demand {
    Demand {
        first_byte_left_ms: 800,
        left_ms: 12_000,
        prompt_tokens: 17_000,
        shared_prefix: Some((prefix_id.into(), 13_300)),
        ..short(0)
    }
}

/// Returns a host that knows the paces of a learner.
fn informed(learner: &mut Learner, now: Instant, fleet: &Fleet) -> Dispatcher {
    let mut host = Dispatcher::new(1);
    host.set_paces(now, fleet, &learner.paces(now, fleet));
    host
}

/// Sends short prompts that all stay in flight, and returns how many each engine gets.
fn spread(host: &mut Dispatcher, now: Instant, fleet: &Fleet, prompts: u64) -> Vec<usize> {
    let mut counts = vec![0; fleet.upstreams.len()];
    for prompt in 0..prompts {
        let demand = short(prompt);
        let choice = host.choose(now, fleet, &demand).unwrap();
        let mut in_flight = host.record_sent(now, &choice, &demand);
        host.record_answer_head(now, &mut in_flight);
        counts[number(&choice.upstream.id)] += 1;
    }
    counts
}

fn share(counts: &[usize], is_counted: impl Fn(usize) -> bool) -> f64 {
    let counted = counts.iter().enumerate().filter(|(i, _)| is_counted(*i));
    let counted: usize = counted.map(|(_, count)| count).sum();
    counted as f64 / counts.iter().sum::<usize>() as f64
}

/// Load: any; the figure shows an operator whether the upstreams of a service differ.
#[test]
fn the_spread_of_a_service_is_that_of_its_slowest_and_fastest_engines() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, mixed);
    let _ = learner.paces(Instant(1_000), &fleet);
    assert_eq!(learner.spreads()["engines"], 266);
    let mut silent = taught(&fleet, |_| 0);
    let _ = silent.paces(Instant(1_000), &fleet);
    assert!(silent.spreads().is_empty());
}

/// Load: any, beside engines that tell that they are even, or tell no pace.
#[test]
fn beside_even_engines_every_choice_is_as_without_paces() {
    let fleet = engines(ENGINES);
    for pace in [0, 100, 104] {
        let mut learner = taught(&fleet, |engine| {
            pace + u32::from(pace == 104) * (engine % 2) as u32
        });
        let mut even = informed(&mut learner, Instant(1_000), &fleet);
        let mut blind = Dispatcher::new(1);
        for prompt in 0..200 {
            let demand = match prompt % 4 {
                0 => long(format!("p{}", prompt % 5)),
                _ => short(prompt),
            };
            let now = Instant(1_000);
            let choices = [&mut even, &mut blind].map(|host| {
                let choice = host.choose(now, &fleet, &demand);
                let sent = choice.iter().map(|c| host.record_sent(now, c, &demand));
                sent.for_each(drop);
                choice
            });
            assert_eq!(choices[0], choices[1], "prompt {prompt} at pace {pace}");
        }
    }
}

/// Load: steady short prompts, while machines are 0.6 to 1.6 of each other.
#[test]
fn engines_get_short_prompts_by_their_speed() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, mixed);
    let mut host = informed(&mut learner, Instant(1_000), &fleet);
    let counts = spread(&mut host, Instant(1_000), &fleet, 600);
    let of = |kind: usize| share(&counts, |engine| engine % 3 == kind);
    assert!(of(0) > 1.4 * of(1), "{counts:?}");
    assert!(of(1) > 1.3 * of(2), "{counts:?}");
    assert!(of(2) > 0.05, "slow engines still get some: {counts:?}");
    assert!(counts.iter().max() <= Some(&60), "no herd: {counts:?}");
}

/// Load: many hosts that saw the same news choose at once.
#[test]
fn hosts_with_the_same_news_do_not_all_choose_the_same_engine() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, |engine| if engine == 0 { 40 } else { 200 });
    let mut counts = [0; ENGINES];
    for prompt in 0..300 {
        let mut host = informed(&mut learner, Instant(1_000), &fleet);
        let choice = host.choose(Instant(1_000), &fleet, &short(prompt)).unwrap();
        counts[number(&choice.upstream.id)] += 1;
    }
    let first = share(&counts, |engine| engine == 0);
    assert!(first < 0.6, "five times as fast among thirty: {counts:?}");
}

/// Load: a neighbour's burst slows a third of the machines down for some hundred milliseconds.
#[test]
fn a_neighbours_burst_moves_work_only_while_it_lasts() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, |_| 100);
    tell(&mut learner, Instant(1_000), &fleet, |engine| {
        if engine % 3 == 0 { 250 } else { 100 }
    });
    let slowed = |now: u64, learner: &mut Learner| {
        let mut host = informed(learner, Instant(now), &fleet);
        let counts = spread(&mut host, Instant(now), &fleet, 300);
        share(&counts, |engine| engine % 3 == 0)
    };
    assert!(slowed(1_050, &mut learner) < 0.25);
    assert_eq!(learner.paces(Instant(1_050), &fleet)[0].usual_percent, 100);
    let unheard = slowed(1_600, &mut learner);
    assert!(
        (0.28..0.39).contains(&unheard),
        "no news for too long: {unheard}"
    );
    tell(&mut learner, Instant(1_700), &fleet, |_| 100);
    assert!(learner.paces(Instant(1_750), &fleet).is_empty());
}

/// Load: one failure domain is slow as a whole.
#[test]
fn a_slow_failure_domain_gets_less_but_not_nothing() {
    let mut fleet = engines(ENGINES);
    for upstream in &mut fleet.upstreams {
        if number(&upstream.id) % 3 == 2 {
            upstream.domain = "b".to_owned();
        }
    }
    let mut learner = taught(&fleet, |engine| if engine % 3 == 2 { 200 } else { 100 });
    let mut host = informed(&mut learner, Instant(1_000), &fleet);
    let counts = spread(&mut host, Instant(1_000), &fleet, 600);
    let slow = share(&counts, |engine| engine % 3 == 2);
    assert!((0.08..0.25).contains(&slow), "{counts:?}");
}

/// Load: the usual one, beside one engine whose figures are wrong: too fast, too slow, stuck or
/// not there.
#[test]
fn wrong_figures_neither_draw_nor_repel_the_fleet() {
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
        let now = Instant(1_000);
        assert_eq!(
            learner.paces(now, &fleet)[0],
            Pace::default(),
            "told {told}"
        );
        let mut host = informed(&mut learner, now, &fleet);
        let counts = spread(&mut host, now, &fleet, 600);
        let liar = share(&counts, |engine| engine == 0);
        assert!((0.01..0.06).contains(&liar), "told {told}: {counts:?}");
    }
}

/// Load: a flash crowd of long prompts that share one prefix, and the calm after it.
#[test]
fn a_hot_prefix_gets_more_homes_before_its_first_is_overloaded_and_gives_them_up() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, mixed);
    let mut host = informed(&mut learner, Instant(1_000), &fleet);
    let mut crowd: Vec<(Choice, _)> = Vec::new();
    for _ in 0..24 {
        let demand = long("hot");
        let choice = host.choose(Instant(1_000), &fleet, &demand).unwrap();
        let in_flight = host.record_sent(Instant(1_000), &choice, &demand);
        crowd.push((choice, in_flight));
    }
    let mut homes: BTreeMap<String, u64> = BTreeMap::new();
    for (choice, _) in &crowd {
        *homes.entry(choice.upstream.id.clone()).or_default() += 1;
        assert!(
            choice.backlog_ms + choice.prefill_ms < 800,
            "begins in time"
        );
    }
    assert!(homes.len() >= 8, "{homes:?}");
    for (_, in_flight) in &mut crowd {
        host.record_answer_head(Instant(1_400), in_flight);
        host.record_prefill(Instant(1_400), in_flight);
        host.record_end(in_flight);
    }
    host.set_paces(
        Instant(2_000),
        &fleet,
        &learner.paces(Instant(2_000), &fleet),
    );
    let calm = (0..10).map(|_| {
        let choice = host.choose(Instant(2_000), &fleet, &long("hot")).unwrap();
        choice.upstream.id
    });
    let mut calm: Vec<String> = calm.collect();
    calm.dedup();
    assert_eq!(calm.len(), 1, "back to one home");
}

/// Load: many prefixes, while machines are 0.6 to 1.6 of each other.
#[test]
fn fast_engines_are_home_to_more_prefixes_and_homes_stay_through_bursts() {
    let fleet = engines(ENGINES);
    let mut learner = taught(&fleet, mixed);
    let homes = |learner: &mut Learner| -> Vec<usize> {
        let mut host = informed(learner, Instant(1_000), &fleet);
        let home = |prefix| {
            let choice = host.choose(Instant(1_000), &fleet, &long(format!("p{prefix}")));
            number(&choice.unwrap().upstream.id)
        };
        (0..300).map(home).collect()
    };
    let before = homes(&mut learner);
    let at = |kind: usize| before.iter().filter(|home| *home % 3 == kind).count();
    assert!(at(0) > at(2), "fast {}, slow {}", at(0), at(2));
    for at in [1_000, 1_100, 1_200] {
        tell(&mut learner, Instant(at), &fleet, |engine| match engine {
            0 => 150,
            _ => mixed(engine),
        });
    }
    assert_eq!(learner.paces(Instant(1_250), &fleet)[0].usual_percent, 60);
}
