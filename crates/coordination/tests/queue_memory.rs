//! Tests of the memory of engines. The pattern they answer: a flash crowd on long prompts, of which
//! few fit into one engine, and which all hosts send at the same moment. An engine that holds more
//! than its memory may crash.

mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::upstream_fixtures::engines;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::demand::Demand;
use coordination::prefill;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

const MEMORY_TOKENS: u64 = 140_000;

fn demand(number: u64, prompt_tokens: u64) -> Demand {
    Demand {
        answer_tokens: 50,
        first_byte_left_ms: 60_000,
        left_ms: 60_000,
        memory_tokens: Some(MEMORY_TOKENS),
        model: Some("m".to_owned()),
        prompt_tokens,
        service: "engines".to_owned(),
        shared_prefix: Some((format!("p{number}"), 10_000)),
        ..Demand::default()
    }
}

#[test]
fn a_flash_crowd_never_exceeds_the_memory_of_an_engine() {
    let fleet = engines(6);
    let mut assigner = Assigner::new(0);
    let mut held: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..200 {
        let prompt_tokens = 12_000 + number * 7_919 % 40_000;
        let request = Request {
            demand: demand(number, prompt_tokens),
            ..Request::default()
        };
        let loads = UpstreamLoads::new();
        if let Ok(choice) = assigner.assign(Instant(number), &fleet, &loads, request) {
            *held.entry(choice.upstream.id).or_default() += prompt_tokens;
        }
    }
    assert_eq!(held.len(), 6, "all engines are used");
    let most = held.into_values().max();
    assert!(most <= Some(MEMORY_TOKENS), "{most:?}");
}

#[test]
fn a_request_larger_than_an_idle_engine_is_known_at_once() {
    assert!(prefill::is_too_large(&demand(0, MEMORY_TOKENS - 49)));
    assert!(!prefill::is_too_large(&demand(0, MEMORY_TOKENS - 50)));
    let unknown = Demand {
        memory_tokens: None,
        ..demand(0, MEMORY_TOKENS)
    };
    assert!(!prefill::is_too_large(&unknown));
}
