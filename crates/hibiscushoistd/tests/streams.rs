//! Checks that answers arrive whole and in order over upstreams that fail in the middle.

mod support;

use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use fakes::engine::Counts;
use fakes::engine::Faults;
use fakes::engine::Options;
use support::Bench;
use support::MAPS_KEY;
use support::Response;
use support::Test;

const ATTEMPTS: usize = 8;
const OUTER_LIMIT: Duration = Duration::from_secs(60);
const PATH: &str = "/v1/completions";
const TOKENS: u64 = 20;

async fn bench(engines: usize) -> Bench {
    let add = |test: Test, _| test.engine(Options::default());
    let bench = (0..engines).fold(Test::new(), add).start().await;
    timeout(OUTER_LIMIT, bench.ready())
        .await
        .expect("the engines are known");
    bench
}

fn ask() -> Value {
    json!({"max_tokens": TOKENS, "model": "m", "prompt": "cove", "stream": true})
}

async fn post(bench: &Bench) -> Response {
    let body = ask();
    let answer = bench.post(PATH, MAPS_KEY, &[], &body);
    timeout(OUTER_LIMIT, answer).await.expect("the answer ends")
}

async fn explanation(bench: &Bench, response: &Response) -> Value {
    let id = response.headers["x-request-id"].to_str().unwrap();
    let path = format!("/admin/explain/{id}");
    bench.get(&path, support::OPERATOR_KEY).await.json()
}

fn outcomes(explanation: &Value) -> Vec<(String, u64)> {
    let attempts = explanation["attempts"].as_array().unwrap();
    let outcome = |a: &Value| {
        let name = a["outcome"].as_str().unwrap().to_owned();
        (name, a["offset"].as_u64().unwrap())
    };
    attempts.iter().map(outcome).collect()
}

#[tokio::test]
async fn each_fault_of_a_stream_is_mended_on_another_upstream() {
    struct Case {
        fault: fn(&mut Faults),
        outcomes: &'static [(&'static str, u64)],
    }
    let cases = [
        Case {
            fault: |f| f.disconnect_at = Some(5),
            outcomes: &[("cut", 0), ("cut", 5), ("done", 5)],
        },
        Case {
            fault: |f| f.repeat_at = Some(5),
            outcomes: &[("gap", 0), ("done", 6)],
        },
        Case {
            fault: |f| f.stall_at = Some(5),
            outcomes: &[("idle", 0), ("idle", 5), ("done", 5)],
        },
        Case {
            fault: |f| f.skip_at = Some(5),
            outcomes: &[("gap", 0), ("gap", 5), ("done", 5)],
        },
    ];
    for case in cases {
        let bench = bench(2).await;
        for engine in &bench.engines {
            engine.update_faults(case.fault);
        }
        let response = post(&bench).await;
        let whole = bench.engines[0].text("cove", 0, TOKENS);
        assert_eq!(response.streamed(), (whole, true));
        let found = outcomes(&explanation(&bench, &response).await);
        let found: Vec<_> = found.iter().map(|(o, at)| (o.as_str(), *at)).collect();
        assert_eq!(found, case.outcomes);
    }
}

#[tokio::test]
async fn a_crossed_answer_reaches_nobody() {
    let bench = bench(2).await;
    for engine in &bench.engines {
        engine.update_faults(|f| f.wrong_id = true);
    }
    let response = post(&bench).await;
    assert_eq!(response.status, 502, "{:?}", response.body);
    assert_eq!(response.json()["error"]["reason"], "upstream_failed");
    assert_eq!(response.json()["error"]["not_run"], "unknown");
    let found = outcomes(&explanation(&bench, &response).await);
    assert_eq!(found, vec![("crossed".to_owned(), 0); ATTEMPTS]);
}

#[tokio::test]
async fn a_crash_in_the_middle_is_mended_on_the_same_upstream_when_it_is_the_only_one() {
    let bench = bench(1).await;
    let test = async {
        let response = bench.open(PATH, MAPS_KEY, &[], &ask()).await;
        bench.engines[0].crash();
        support::whole(response).await
    };
    let response = timeout(OUTER_LIMIT, test).await.expect("the answer ends");
    let whole = bench.engines[0].text("cove", 0, TOKENS);
    assert_eq!(response.streamed(), (whole, true));
    let found = outcomes(&explanation(&bench, &response).await);
    assert_eq!(found[0], ("crash".to_owned(), 0), "{found:?}");
}

#[tokio::test]
async fn an_answer_without_an_end_mark_shows_as_cut() {
    let bench = bench(2).await;
    for engine in &bench.engines {
        engine.update_faults(|f| f.omit_end = true);
    }
    let response = post(&bench).await;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    assert!(!body.contains("[DONE]"), "{body}");
    let last = body.trim().lines().last().unwrap();
    let last: Value = serde_json::from_str(&last["data: ".len()..]).unwrap();
    assert_eq!(last["error"]["reason"], "answer_cut");
    assert_eq!(last["error"]["not_run"], "false");
}

#[tokio::test]
async fn an_answer_is_never_continued_with_other_weights() {
    let mut bench = bench(1).await;
    bench.engines[0].update_faults(|f| f.disconnect_at = Some(5));
    let version = "v2".to_owned();
    let options = Options {
        version,
        ..Options::default()
    };
    bench.start_engine(options).await;
    for _ in 0..8 {
        let response = post(&bench).await;
        let (text, ended) = response.streamed_or_cut();
        let mut wholes = bench.engines.iter().map(|e| e.text("cove", 0, TOKENS));
        match ended {
            true => assert!(wholes.any(|whole| whole == text), "{text}"),
            false => assert!(wholes.any(|whole| whole.starts_with(&text)), "{text}"),
        }
    }
}

#[tokio::test]
async fn a_caller_that_leaves_stops_its_answer() {
    let slow = Options {
        token_time: Duration::from_millis(50),
        ..Options::default()
    };
    let bench = Test::new().engine(slow).start().await;
    let mut response = bench.open(PATH, MAPS_KEY, &[], &ask()).await;
    response.body_mut().frame().await.unwrap().unwrap();
    drop(response);
    let stopped = async {
        while bench.engines[0].counts().stopped_attempts == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(OUTER_LIMIT, stopped).await.expect("the run stops");
}

#[tokio::test]
async fn a_caller_that_leaves_before_the_first_token_stops_its_answer() {
    let slow = Options {
        token_time: OUTER_LIMIT,
        ..Options::default()
    };
    let bench = Test::new().engine(slow).start().await;
    let count = |count: fn(&Counts) -> u64| {
        let engine = &bench.engines[0];
        let counted = async move {
            while count(&engine.counts()) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(OUTER_LIMIT, counted)
    };
    tokio::select! {
        _ = post(&bench) => panic!("the answer takes longer"),
        started = count(|c| c.started_prompts) => started.expect("the run starts"),
    }
    count(|c| c.stopped_attempts).await.expect("the run stops");
}

#[tokio::test]
async fn connections_that_went_silent_are_replaced() {
    let slow = Options {
        token_time: Duration::from_millis(20),
        ..Options::default()
    };
    let bench = Test::new().engine(slow).start().await;
    let mut response = bench.open(PATH, MAPS_KEY, &[], &ask()).await;
    let first = response.body_mut().frame().await.unwrap().unwrap();
    bench.engines[0].stall_connections();
    let rest = timeout(OUTER_LIMIT, support::whole(response)).await;
    let rest = rest.expect("the answer ends");
    let mut body = first.into_data().unwrap().to_vec();
    body.extend_from_slice(&rest.body);
    let whole = Response {
        body: body.into(),
        ..rest
    };
    let text = bench.engines[0].text("cove", 0, TOKENS);
    assert_eq!(whole.streamed(), (text, true));
}

#[tokio::test]
async fn many_answers_at_once_are_never_crossed() {
    let bench = bench(2).await;
    for round in 0..4 {
        bench.engines[round % 2].update_faults(|f| f.disconnect_at = Some(3));
        let asks = (0..12).map(|i| {
            let prompt = format!("cove {round} {i}");
            let ask = json!({"max_tokens": 8, "model": "m", "prompt": prompt, "stream": true});
            let bench = &bench;
            async move {
                let response = bench.post(PATH, MAPS_KEY, &[], &ask).await;
                let whole = bench.engines[0].text(&prompt, 0, 8);
                assert_eq!(response.streamed(), (whole, true));
            }
        });
        let all = futures::future::join_all(asks);
        timeout(OUTER_LIMIT, all).await.expect("all answers end");
    }
}
