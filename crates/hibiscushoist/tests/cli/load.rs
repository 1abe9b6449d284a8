//! The traffic of the command `load`.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::daemon::Daemon;
use crate::daemon::stderr;
use crate::daemon::stdout;
use hibiscushoist::mix::Mix;
use hibiscushoist::mix::Name;
use protocol::address::AddressList;

const WHOLE: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n\
    data: {\"choices\":[{\"text\":\"b\"}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":2,\
    \"prompt_tokens_details\":{\"cached_tokens\":75}}}\n\n\
    data: [DONE]\n\n";
const CUT: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
const REFUSED: &str = "{\"error\":{\"message\":\"m\",\"not_run\":\"true\",\
    \"reason\":\"overloaded\",\"request_id\":\"r\"}}";

fn listed(name: &str) -> Daemon {
    let daemon = Daemon::new(name);
    let listing = AddressList {
        addresses: vec![daemon.address()],
        lifetime_ms: 60_000,
    };
    daemon.reply("/v1/addresses", 200, &listing)
}

fn load(daemon: &Daemon, words: &[&str]) -> Value {
    let fixed = [
        "load", "--model", "m", "--json", "--rate", "1000", "--scale", "1",
    ];
    let output = daemon.run(&[&fixed, words].concat());
    assert!(output.status.success(), "{}", stderr(&output));
    serde_json::from_str(&stdout(&output)).unwrap()
}

#[test]
fn whole_answers_are_counted_with_their_hits() {
    let daemon = listed("load-whole").text("/v1/completions", WHOLE);
    let report = load(&daemon, &["--count", "20"]);
    let total = &report["total"];
    assert_eq!(total["sent"], 20);
    assert_eq!(total["done"], 20);
    assert_eq!(total["hit_rate"], 0.75);
    assert_eq!(total["tokens"], 40);
    assert_eq!(total["token_gap_ms"]["count"], 20);
}

#[test]
fn an_answer_without_its_end_mark_is_not_whole() {
    let daemon = listed("load-cut").text("/v1/completions", CUT);
    let report = load(&daemon, &["--count", "5"]);
    assert_eq!(report["total"]["cut"], 5);
    assert_eq!(report["total"]["done"], 0);
}

#[test]
fn refusals_are_counted_by_reason() {
    let refusal: Value = serde_json::from_str(REFUSED).unwrap();
    let daemon = listed("load-refused").reply("/v1/completions", 503, &refusal);
    let report = load(&daemon, &["--count", "5"]);
    assert_eq!(report["total"]["refused"]["overloaded"], 5);
}

#[test]
fn the_addresses_are_kept_for_their_lifetime() {
    let daemon = listed("load-kept").text("/v1/completions", WHOLE);
    load(&daemon, &["--count", "10"]);
    let seen = daemon.seen();
    let asked = seen
        .iter()
        .filter(|request| request.path == "/v1/addresses");
    assert_eq!(asked.count(), 1);
}

#[test]
fn an_address_that_is_away_is_passed_over() {
    let daemon = Daemon::new("load-away");
    let listing = AddressList {
        addresses: vec!["127.0.0.1:1".parse().unwrap(), daemon.address()],
        lifetime_ms: 60_000,
    };
    let daemon = daemon
        .reply("/v1/addresses", 200, &listing)
        .text("/v1/completions", WHOLE);
    let report = load(&daemon, &["--count", "3"]);
    assert_eq!(report["total"]["done"], 3);
}

#[test]
fn a_seed_draws_the_same_requests_again() {
    for name in [Name::Laurentides, Name::Sabaha] {
        let draw = |seed| {
            let mut mix = Mix::new(name, seed, 5);
            (0..200).map(|_| mix.draw(4)).collect::<Vec<_>>()
        };
        assert_eq!(draw(11), draw(11));
        assert_ne!(draw(11), draw(12));
    }
}

#[test]
fn prompts_share_prefixes_within_a_workspace_only() {
    let mut mix = Mix::new(Name::Sabaha, 3, 100);
    let draws: Vec<_> = (0..100).map(|_| mix.draw(2)).collect();
    let heads = draws
        .iter()
        .map(|draw| (draw.workspace, &draw.prompt[..64 << 10]));
    let heads: BTreeSet<_> = heads.collect();
    assert_eq!(heads.len(), 2);
}
