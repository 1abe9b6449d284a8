//! Tests of the model of engines, in fleets whose engines are slower or faster than the class that
//! a host assumes at first. The pattern they answer: a deployment with engines of another class,
//! where long prompts are refused although they could begin in time, or sent where they cannot.

mod upstream_fixtures;

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::upstream_fixtures::engines;
use crate::upstream_fixtures::fleet;
use crate::upstream_fixtures::pending_prefill;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::engine_model::EngineModel;
use coordination::engine_model::ModelFitter;
use coordination::engine_model::Models;
use coordination::engine_model::Sample;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

const SERVICE: &str = "engines";

/// Draws the answers of an engine that prefills `rate` tokens a millisecond and needs `first_ms`
/// beside that; noise lengthens some answers.
fn samples(rate: f64, first_ms: f64, count: usize, rng: &mut ChaCha8Rng) -> Vec<Sample> {
    let mut sample = || {
        let tokens = match rng.random_range(0..3) {
            0 => rng.random_range(3_000..20_000),
            _ => rng.random_range(100..600_u64),
        };
        let noise = 1.0 + 0.3 * rng.random::<f64>();
        Sample {
            first_byte_ms: (first_ms * noise + tokens as f64 / rate) as u64,
            service: SERVICE.to_owned(),
            tokens,
            upstream: "e0".to_owned(),
        }
    };
    (0..count).map(|_| sample()).collect()
}

/// Returns the model after some seconds of samples.
fn learned(rounds: impl Iterator<Item = Vec<Sample>>) -> EngineModel {
    let mut fitter = ModelFitter::default();
    let mut models = Arc::default();
    for (round, samples) in rounds.enumerate() {
        fitter.record(samples);
        models = fitter.models(Instant(1_000 + 250 * round as u64));
    }
    models[SERVICE]
}

fn assert_near(value: u64, truth: f64, percent: f64, what: &str) {
    let error = (value as f64 - truth).abs() * 100.0 / truth;
    assert!(error <= percent, "{what}: {value} instead of {truth}");
}

#[test]
fn engines_of_other_classes_are_learned_within_a_sixth() {
    for (rate, first_ms) in [(22.5, 300.0), (45.0, 150.0), (90.0, 20.0), (225.0, 8.0)] {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let model = learned((0..20).map(|_| samples(rate, first_ms, 100, &mut rng)));
        assert_near(model.prefill_tokens_per_s, rate * 1_000.0, 17.0, "rate");
        assert_near(model.first_byte_ms, first_ms * 1.15, 17.0, "first byte");
    }
}

/// One engine in ten answers ten times too late, another one at once whatever it has to do.
#[test]
fn slow_and_lying_engines_do_not_move_the_model_far() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let model = learned((0..20).map(|_| {
        let mut all = samples(90.0, 20.0, 80, &mut rng);
        all.extend(samples(9.0, 200.0, 10, &mut rng));
        all.extend(samples(1_000_000.0, 1.0, 10, &mut rng));
        all
    }));
    assert_near(model.prefill_tokens_per_s, 90_000.0, 25.0, "rate");
    assert!(model.first_byte_ms <= 40, "{model:?}");
}

#[test]
fn a_few_samples_leave_the_assumption_as_it_is() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut fitter = ModelFitter::default();
    fitter.record(samples(225.0, 8.0, 20, &mut rng));
    assert!(fitter.models(Instant(1_000)).is_empty());
}

/// A cold start is over after the first hundred or two answers of the fleet.
#[test]
fn the_model_replaces_the_assumption_with_the_first_two_hundred_answers() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let model = learned((0..1).map(|_| samples(225.0, 8.0, 200, &mut rng)));
    assert_near(model.prefill_tokens_per_s, 225_000.0, 17.0, "rate");
}

fn long_prompt() -> Demand {
    Demand {
        first_byte_left_ms: 250,
        left_ms: 12_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 12_000,
        service: SERVICE.to_owned(),
        shared_prefix: Some(("p".to_owned(), 5_400)),
        ..Demand::default()
    }
}

/// With the assumed rate, a prompt of 12,000 tokens cannot begin within 250 ms anywhere; engines
/// that prefill 101 tokens a millisecond begin it in time beside another one.
#[test]
fn a_prompt_that_fast_engines_begin_in_time_is_not_refused() {
    let fleet = engines(4);
    let busy: UpstreamLoads = fleet
        .upstreams
        .iter()
        .map(|upstream| (upstream.id.clone(), pending_prefill(8_000)))
        .collect();
    let request = Request {
        demand: long_prompt(),
        ..Request::default()
    };
    let mut assigner = Assigner::new(1);
    let assumed = assigner.assign(Instant(0), &fleet, &busy, request.clone());
    assert_eq!(assumed, Err(Refusal::Busy));
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for round in 1..40 {
        let now = Instant(250 * round);
        assigner.record_samples(now, samples(101.0, 12.0, 50, &mut rng));
    }
    let assigned = assigner.assign(Instant(10_000), &fleet, &busy, request);
    assert!(assigned.is_ok(), "{assigned:?}");
}

/// The other way round: engines at a quarter of the assumed rate must not get what they cannot
/// begin in time while another one can.
#[test]
fn a_prompt_that_slow_engines_begin_too_late_goes_elsewhere() {
    let fleet = fleet(&[("busy", 1), ("idle", 1)]);
    let loads = UpstreamLoads::from([("busy".to_owned(), pending_prefill(6_000))]);
    let demand = Demand {
        first_byte_left_ms: 1_500,
        ..long_prompt()
    };
    let model = EngineModel {
        first_byte_ms: 200,
        prefill_tokens_per_s: 11_250,
    };
    let mut host = Dispatcher::new(1);
    host.set_models(Arc::new(Models::from([(SERVICE.to_owned(), model)])));
    host.set_other_loads(Instant(0), loads);
    let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
    assert_eq!(choice.upstream.id, "idle");
    assert_eq!(choice.prefill_ms, 1_066);
}

#[test]
fn a_host_samples_the_answers_of_calm_engines() {
    let mut fleet = engines(1);
    fleet.upstreams[0].slots = 4;
    let mut host = Dispatcher::new(1);
    let demand = long_prompt();
    let choice = host.choose(Instant(0), &fleet, &demand).unwrap();
    let mut in_flight = host.record_sent(Instant(10), &choice, &demand);
    host.record_prefill(Instant(310), &mut in_flight);
    // Whether the store had the prefix is not known, and thus not how much was prefilled.
    assert_eq!(host.take_samples(), []);
    host.record_end(&in_flight);
    let mut in_flight = host.record_sent(Instant(410), &choice, &demand);
    host.record_prefill(Instant(710), &mut in_flight);
    host.record_end(&in_flight);
    let expected = Sample {
        first_byte_ms: 300,
        service: SERVICE.to_owned(),
        tokens: 6_600,
        upstream: choice.upstream.id.clone(),
    };
    assert_eq!(host.take_samples(), [expected]);
    assert_eq!(host.take_samples(), []);
    let full: Vec<_> = (0..4)
        .map(|_| host.record_sent(Instant(400), &choice, &demand))
        .collect();
    let mut last = full.into_iter().next_back().unwrap();
    host.record_prefill(Instant(900), &mut last);
    assert_eq!(host.take_samples(), []);
}
