//! Checks that a request which crashes upstreams is held back and others are not.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use fakes::engine::Options;
use support::Bench;
use support::MAPS_KEY;
use support::Response;
use support::Test;

const OUTER_LIMIT: Duration = Duration::from_secs(60);
const PATH: &str = "/v1/completions";

async fn bench(engines: usize) -> Bench {
    let add = |test: Test, _| test.engine(Options::default());
    let bench = (0..engines).fold(Test::new(), add).start().await;
    for engine in &bench.engines {
        engine.fault(|f| f.poison = Some("poison".to_owned()));
    }
    bench
}

fn ask(prompt: &str) -> Value {
    json!({"max_tokens": 8, "model": "m", "prompt": prompt, "stream": true})
}

async fn post(bench: &Bench, prompt: &str) -> Response {
    let body = ask(prompt);
    let answer = bench.post(PATH, MAPS_KEY, &[], &body);
    timeout(OUTER_LIMIT, answer).await.expect("the answer ends")
}

fn crashes(bench: &Bench) -> u64 {
    bench.engines.iter().map(|e| e.counts().crashes).sum()
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_held_back_after_the_second() {
    let bench = bench(4).await;
    let response = post(&bench, "poison").await;
    assert_eq!(response.json()["error"]["reason"], "quarantined");
    assert_eq!(response.json()["error"]["not_run"], "unknown");
    assert_eq!(crashes(&bench), 2);
    for _ in 0..8 {
        let again = post(&bench, "poison").await;
        assert_eq!(again.status, 422);
        assert_eq!(again.json()["error"]["not_run"], "true");
        assert!(again.headers.contains_key("retry-after"));
    }
    assert_eq!(crashes(&bench), 2);
}

#[tokio::test]
async fn many_copies_at_once_take_down_at_most_two_upstreams() {
    let bench = bench(6).await;
    let copies = (0..16).map(|_| post(&bench, "poison"));
    for response in futures::future::join_all(copies).await {
        assert!(response.status >= 400, "{:?}", response.body);
    }
    assert!(crashes(&bench) <= 2, "{} crashes", crashes(&bench));
}

#[tokio::test]
async fn neighbours_in_flight_on_a_crashed_upstream_are_answered() {
    let bench = bench(3).await;
    let neighbours = (0..12).map(|i| {
        let bench = &bench;
        async move {
            let prompt = format!("cove {i}");
            let response = post(bench, &prompt).await;
            let whole = bench.engines[0].text(&prompt, 0, 8);
            assert_eq!(response.streamed(), (whole, true));
        }
    });
    let neighbours = futures::future::join_all(neighbours);
    let (poison, _) = tokio::join!(post(&bench, "poison"), neighbours);
    assert_eq!(poison.json()["error"]["reason"], "quarantined");
    assert!(crashes(&bench) <= 2, "{} crashes", crashes(&bench));
}
