//! Checks that an order runs at most once and that what callers are told of it is true.

mod support;

use std::time::Duration;

use serde_json::json;
use tokio::time::timeout;

use fakes::service::Fault;
use fakes::service::Service;
use support::Bench;
use support::MAPS_KEY;
use support::Response;
use support::STORES_KEY;
use support::Test;

const OUTER_LIMIT: Duration = Duration::from_secs(60);
const PATH: &str = "/v1/services/booking/spots?day=3";

async fn bench() -> (Bench, Service) {
    let bench = Test::new().start().await;
    let service = Service::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let cells = json!({
        "address": service.address().to_string(),
        "service": "booking",
        "type": "service",
    });
    bench.add("upstreams", "s1", cells).await;
    (bench, service)
}

async fn send(bench: &Bench, key: &str, headers: &[(&str, &str)], spot: &str) -> Response {
    let body = json!({"spot": spot});
    let answer = bench.post(PATH, key, headers, &body);
    timeout(OUTER_LIMIT, answer).await.expect("an answer comes")
}

async fn order(bench: &Bench, name: &str, spot: &str) -> Response {
    let headers = [("idempotency-key", name), ("x-deadline-ms", "2000")];
    send(bench, MAPS_KEY, &headers, spot).await
}

fn runs(service: &Service) -> u64 {
    service.runs().values().sum()
}

fn error(response: &Response) -> (String, String) {
    let error = &response.json()["error"];
    let text = |name: &str| error[name].as_str().unwrap().to_owned();
    (text("reason"), text("not_run"))
}

#[tokio::test]
async fn an_order_that_is_sent_again_runs_once_and_gets_the_first_answer() {
    let (bench, service) = bench().await;
    let first = order(&bench, "k", "reef").await;
    let again = order(&bench, "k", "reef").await;
    assert_eq!(first.status, 200, "{:?}", first.body);
    assert_eq!(first.body, again.body);
    assert_eq!(first.headers["x-replayed"], "false");
    assert_eq!(again.headers["x-replayed"], "true");
    assert_eq!(runs(&service), 1);
}

#[tokio::test]
async fn an_order_that_is_sent_many_times_at_once_runs_once() {
    let (bench, service) = bench().await;
    let all = (0..12).map(|_| order(&bench, "k", "reef"));
    for response in futures::future::join_all(all).await {
        assert_eq!(response.status, 200, "{:?}", response.body);
    }
    assert_eq!(runs(&service), 1);
}

#[tokio::test]
async fn keys_of_two_workspaces_do_not_meet() {
    let (bench, service) = bench().await;
    let headers = [("idempotency-key", "k")];
    for key in [MAPS_KEY, STORES_KEY] {
        let response = send(&bench, key, &headers, "reef").await;
        assert_eq!(response.headers["x-replayed"], "false");
    }
    assert_eq!(runs(&service), 2);
}

#[tokio::test]
async fn a_key_with_another_body_is_refused() {
    let (bench, service) = bench().await;
    order(&bench, "k", "reef").await;
    let other = order(&bench, "k", "cove").await;
    assert_eq!(error(&other), ("key_reused".into(), "true".into()));
    assert_eq!(runs(&service), 1);
}

#[tokio::test]
async fn an_order_without_a_key_is_refused() {
    let (bench, service) = bench().await;
    let response = send(&bench, MAPS_KEY, &[], "reef").await;
    assert_eq!(error(&response), ("key_missing".into(), "true".into()));
    assert_eq!(service.calls(), 0);
}

#[tokio::test]
async fn each_fault_of_a_service_is_told_as_it_is_and_runs_the_order_at_most_once() {
    struct Case {
        again: (&'static str, &'static str),
        fault: Fault,
        first: (&'static str, &'static str),
        runs: u64,
    }
    let unknown = ("outcome_unknown", "unknown");
    let cases = [
        Case {
            again: ("done", ""),
            fault: Fault::Declines,
            first: ("upstream_failed", "true"),
            runs: 1,
        },
        Case {
            again: unknown,
            fault: Fault::HangsAfter,
            first: unknown,
            runs: 1,
        },
        Case {
            again: unknown,
            fault: Fault::HangsBefore,
            first: unknown,
            runs: 0,
        },
        Case {
            again: unknown,
            fault: Fault::LosesAnswer,
            first: unknown,
            runs: 1,
        },
    ];
    for case in cases {
        let (bench, service) = bench().await;
        service.set_fault(case.fault);
        let first = order(&bench, "k", "reef").await;
        assert_eq!(error(&first), (case.first.0.into(), case.first.1.into()));
        service.set_fault(Fault::None);
        let again = order(&bench, "k", "reef").await;
        match again.status {
            200 => assert_eq!(case.again.0, "done"),
            _ => assert_eq!(error(&again), (case.again.0.into(), case.again.1.into())),
        }
        assert_eq!(runs(&service), case.runs, "{:?}", case.fault);
    }
}

#[tokio::test]
async fn a_service_that_takes_no_connection_did_not_run_the_order() {
    let (bench, service) = bench().await;
    service.stop();
    while tokio::net::TcpStream::connect(service.address())
        .await
        .is_ok()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = order(&bench, "k", "reef").await;
    assert_eq!(error(&refused), ("no_upstream".into(), "true".into()));
    service.restart().await.unwrap();
    let again = order(&bench, "k", "reef").await;
    assert_eq!(again.status, 200, "{:?}", again.body);
    assert_eq!(runs(&service), 1);
}

#[tokio::test]
async fn an_order_whose_caller_left_runs_on_and_its_answer_is_kept() {
    let (bench, service) = bench().await;
    service.set_fault(Fault::HangsBefore);
    tokio::select! {
        _ = order(&bench, "k", "reef") => panic!("the service hangs"),
        () = service.wait_for_calls(1) => {}
    }
    let again = order(&bench, "k", "reef").await;
    let (reason, not_run) = error(&again);
    assert!(
        ["key_running", "outcome_unknown"].contains(&reason.as_str()),
        "{reason}"
    );
    assert_eq!(not_run, "unknown");
    assert_eq!(service.calls(), 1);
}

#[tokio::test]
async fn an_unknown_service_is_refused() {
    let (bench, _service) = bench().await;
    let response = bench
        .post("/v1/services/other/x", MAPS_KEY, &[], &json!({}))
        .await;
    assert_eq!(error(&response), ("unknown_service".into(), "true".into()));
}

#[tokio::test]
async fn a_call_that_only_reads_is_made_again() {
    let (bench, service) = bench().await;
    service.set_fault(Fault::LosesAnswer);
    let get = bench.get("/v1/services/booking/free", MAPS_KEY);
    let mend = async {
        service.wait_for_calls(2).await;
        service.set_fault(Fault::None);
    };
    let (response, ()) = tokio::join!(get, mend);
    assert_eq!(response.status, 200, "{:?}", response.body);
    assert!(service.calls() >= 3);
}
