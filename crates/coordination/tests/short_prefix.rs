//! Tests of where short prompts go that share a prefix with others.

mod upstream_fixtures;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::upstream_fixtures::engines;
use crate::upstream_fixtures::pending_prefill;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use state::time::Instant;

/// Prompts of 570 shared tokens were spread over all engines, and each engine read them again. The
/// pattern: many short sessions that share a prefix, on engines that are about equally loaded.
#[test]
fn a_short_prefix_names_its_engine_while_that_is_about_as_loaded_as_others() {
    let fleet = engines(12);
    let mut host = Dispatcher::new(0);
    let demand = |random| Demand {
        first_byte_left_ms: 250,
        prompt_tokens: 2_400,
        short_prefix: Some(("p".to_owned(), 570)),
        left_ms: 2_500,
        model: Some("m".to_owned()),
        newest_weights: 1,
        random,
        service: "engines".to_owned(),
        ..Demand::default()
    };
    let choose = |host: &mut Dispatcher, random: u64| {
        let random = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let choice = host.choose(Instant(0), &fleet, &demand(random));
        choice.unwrap().upstream.id
    };
    let chosen: BTreeSet<String> = (0..50).map(|n| choose(&mut host, n)).collect();
    assert_eq!(chosen.len(), 1, "{chosen:?}");
    let named = chosen.into_iter().next().unwrap();
    let loads = BTreeMap::from([(named.clone(), pending_prefill(6_000))]);
    host.set_other_loads(Instant(0), loads);
    let chosen: BTreeSet<String> = (0..50).map(|n| choose(&mut host, n)).collect();
    assert!(!chosen.contains(&named), "it is loaded");
    assert!(chosen.len() > 4, "{chosen:?}");
}
