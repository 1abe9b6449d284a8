//! Checks that an engine is told to run urgent work first.

mod support;

use serde_json::json;

use fakes::engine::Options;
use support::MAPS_KEY;
use support::Test;

/// Returns the number that an engine reads off the wire for work of `rank`.
async fn priority(rank: &str) -> u8 {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"max_tokens": 1, "model": "m", "prompt": "cove"});
    let headers = [("x-rank", rank)];
    let response = bench
        .post("/v1/completions", MAPS_KEY, &headers, &ask)
        .await;
    assert_eq!(response.status, 200, "{:?}", response.body);
    bench.engines[0]
        .last_request()
        .expect("the engine was asked")
        .priority
}

#[tokio::test]
async fn the_least_number_goes_to_urgent_work() {
    assert!(priority("urgent").await < priority("background").await);
}
