//! Checks the path of a completion from a caller to a stand-in engine and back.

mod support;

use std::time::Duration;

use serde_json::json;

use fakes::engine::Options;
use support::MAPS_KEY;
use support::OPERATOR_KEY;
use support::Test;

/// Only a hang meets it.
const LIMIT: Duration = Duration::from_secs(60);
const PATH: &str = "/v1/completions";

#[tokio::test]
async fn streamed_answer_is_whole() {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"max_tokens": 20, "model": "m", "prompt": "cove", "stream": true});
    let response = bench.post(PATH, MAPS_KEY, &[], &ask).await;
    assert_eq!(response.status, 200, "{:?}", response.body);
    let expected = bench.engines[0].text("cove", 0, 20);
    assert_eq!(response.streamed(), (expected, true));
}

#[tokio::test]
async fn whole_answer_is_whole() {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"max_tokens": 5, "model": "m", "prompt": "cove"});
    let response = bench.post(PATH, MAPS_KEY, &[], &ask).await;
    let expected = bench.engines[0].text("cove", 0, 5);
    assert_eq!(response.json()["choices"][0]["text"], json!(expected));
}

#[tokio::test]
async fn chat_answer_is_whole() {
    let bench = Test::new().engine(Options::default()).start().await;
    let messages = json!([{"content": "cove?", "role": "user"}]);
    let ask = json!({"max_tokens": 5, "messages": messages, "model": "m"});
    let response = bench
        .post("/v1/chat/completions", MAPS_KEY, &[], &ask)
        .await;
    let expected = bench.engines[0].text("<|user|>\ncove?\n", 0, 5);
    let answer = response.json();
    assert_eq!(
        answer["choices"][0]["message"],
        json!({"content": expected, "role": "assistant"})
    );
}

#[tokio::test]
async fn wrong_key_is_refused() {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"model": "m", "prompt": "cove"});
    let response = bench.post(PATH, "guess", &[], &ask).await;
    let error = &response.json()["error"];
    assert_eq!(response.status, 401);
    assert_eq!(error["reason"], "unauthorized");
    assert_eq!(error["not_run"], "true");
}

#[tokio::test]
async fn unknown_model_is_refused() {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"model": "other", "prompt": "cove"});
    let response = bench.post(PATH, MAPS_KEY, &[], &ask).await;
    assert_eq!(response.status, 404);
    assert_eq!(response.json()["error"]["reason"], "unknown_model");
}

#[tokio::test]
async fn body_over_the_limit_is_refused() {
    let test = Test::new().entry("body_limit_bytes = 1024");
    let bench = test.engine(Options::default()).start().await;
    let ask = json!({"model": "m", "prompt": "x".repeat(2000)});
    let response = bench.post(PATH, MAPS_KEY, &[], &ask).await;
    assert_eq!(response.status, 413);
    assert_eq!(response.json()["error"]["reason"], "body_too_large");
}

#[tokio::test]
async fn no_upstream_is_refused_as_not_run() {
    let bench = Test::new().start().await;
    let ask = json!({"model": "m", "prompt": "cove"});
    let headers = [("x-deadline-ms", "200")];
    let response = bench.post(PATH, MAPS_KEY, &headers, &ask).await;
    assert_eq!(response.status, 503, "{:?}", response.body);
    assert_eq!(response.json()["error"]["reason"], "no_upstream");
    assert_eq!(response.json()["error"]["not_run"], "true");
}

#[tokio::test]
async fn requests_are_counted_by_path_and_outcome() {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"max_tokens": 1, "model": "m", "prompt": "cove"});
    bench.post(PATH, MAPS_KEY, &[], &ask).await;
    bench.post(PATH, "guess", &[], &ask).await;
    bench.get("/nowhere", MAPS_KEY).await;
    let text = bench.get("/metrics", MAPS_KEY).await.body;
    let text = String::from_utf8(text.to_vec()).expect("the counters are text");
    for labels in [
        r#"path="completions",outcome="served""#,
        r#"path="completions",outcome="refused""#,
        r#"path="unknown",outcome="refused""#,
    ] {
        let line = format!("hibiscushoist_requests_total{{{labels}}}");
        assert!(text.contains(&line), "{line} is not in\n{text}");
    }
}

#[tokio::test]
async fn status_shows_counters_and_owners() {
    let bench = Test::new().engine(Options::default()).start().await;
    bench.post(PATH, "guess", &[], &json!({})).await;
    let status = bench.get("/admin/status", OPERATOR_KEY).await.json();
    let refusals = &status["counters"]["hibiscushoist_refusals_total{reason=\"unauthorized\"}"];
    assert!(refusals.as_u64() >= Some(1), "{status}");
    assert_eq!(status["upstreams"][0]["owner"], "a");
}

#[tokio::test]
async fn answer_counts_the_tokens_of_prompt_cache_and_answer() {
    let bench = Test::new().engine(Options::default()).start().await;
    let ask = json!({"max_tokens": 5, "model": "m", "prompt": "x".repeat(128)});
    let expected = json!({
        "completion_tokens": 5,
        "prompt_tokens": 32,
        "prompt_tokens_details": {"cached_tokens": 32},
        "total_tokens": 37,
    });
    let cached = async {
        while bench.post(PATH, MAPS_KEY, &[], &ask).await.json()["usage"] != expected {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let cached = tokio::time::timeout(LIMIT, cached).await;
    cached.expect("the engine tells what it held");
}
