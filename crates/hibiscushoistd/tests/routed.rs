//! Routed requests through a real daemon to fake upstreams and back, all in one process.

mod routed_upstream;

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use crate::routed_upstream::Mode;
use crate::routed_upstream::setup::Setup;
use crate::routed_upstream::setup::configuration;
use coordination::drain;

/// Without a table, a host must not deny keys or paths that may be valid: 503, not 401 or 404.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_table_is_not_ready_and_answers_503() {
    let setup = Setup::start("desk").await;
    assert_eq!(setup.send("/read/x", "k1").await.status, 503);
    let request = Request::get(format!(
        "http://{}/hibiscushoist/readiness",
        setup.readiness
    ));
    let ready = setup.call(request.body(Full::default()).unwrap()).await;
    assert_eq!(ready.status, 503);
    assert_eq!(setup.read().await.status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_the_upstream_with_only_the_gateway_headers_changed() {
    let setup = Setup::start_ready("desk").await;
    let answer = setup.send("/read/x?y=1", "k1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-server-stamp"], "stamp");
    let all = setup
        .first
        .received()
        .into_iter()
        .chain(setup.second.received());
    let received = all.filter(|r| r.path == "/read/x").last().unwrap();
    assert_eq!(received.body, "body");
    assert_eq!(received.headers["x-tenant-id"], "w1");
    assert!(!received.headers.contains_key("authorization"));
    assert!(!received.headers.contains_key("x-cache-salt"));
    let left: u64 = received.headers["x-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 8_000);
}

/// Checks counters that all hosts of the process share: no other test here may send long prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_is_assigned_by_the_leader_and_placed_locally_without_one() {
    let setup = Setup::start_ready("engines").await;
    let before = setup.assignments("assigned").await;
    assert_eq!(setup.send_long("/stream/long").await.status, 200);
    assert_eq!(setup.arrivals("/stream/long"), 1);
    assert_eq!(setup.assignments("assigned").await, before + 1);

    let mut setup = Setup::start_beside_leader("engines").await;
    assert_eq!(setup.send_long("/stream/long").await.status, 200);
    assert_eq!(setup.assignments("assigned").await, before + 2);
    drop(setup.leader.take());
    for _ in 0..5 {
        assert_eq!(setup.send_long("/stream/alone").await.status, 200);
    }
    assert_eq!(setup.arrivals("/stream/alone"), 5);
    assert_eq!(setup.assignments("assigned").await, before + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_key_and_an_unknown_path_are_refused() {
    let setup = Setup::start_ready("desk").await;
    assert_eq!(setup.send("/read/x", "k2").await.status, 401);
    assert_eq!(setup.send("/none/x", "k1").await.status, 404);
    assert_eq!(setup.arrivals("/none/x"), 0);
}

/// A rejected request did not run, so even one that is not idempotent is sent to another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_rejected_by_one_upstream_runs_once_at_the_other() {
    let setup = Setup::start_ready("desk").await;
    for (bad, working, id) in setup.pairs() {
        bad.set_mode(Mode::Rejecting);
        working.set_mode(Mode::Working);
        let path = format!("/order/{id}");
        for _ in 0..10 {
            let answer = setup.send(&path, "k1").await;
            assert_eq!(answer.body.unwrap(), format!("answer of {id}"));
        }
        let ran = working.received();
        assert_eq!(ran.iter().filter(|r| r.path == path).count(), 10);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_rejected_by_all_upstreams_gets_a_retry_after() {
    let setup = Setup::start_ready("desk").await;
    setup.set_both(Mode::Rejecting);
    let answer = setup.send("/order/x", "k1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

/// The upstream may have run the request before the failure; a retry could run it twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_with_an_unknown_outcome_is_not_retried() {
    let setup = Setup::start_ready("desk").await;
    for mode in [Mode::Cut, Mode::Crossed] {
        let before = setup.arrivals("/order/x");
        setup.set_both(mode);
        assert_eq!(setup.send("/order/x", "k1").await.status, 502, "{mode:?}");
        assert_eq!(setup.arrivals("/order/x"), before + 1, "{mode:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_idempotent_request_is_retried_at_the_other_upstream() {
    let setup = Setup::start_ready("desk").await;
    for (bad, working, id) in setup.pairs() {
        working.set_mode(Mode::Working);
        for mode in [Mode::Cut, Mode::Crossed, Mode::Failing, Mode::Hanging] {
            bad.set_mode(mode);
            let answer = setup.send("/read/x", "k1").await;
            let expected = format!("answer of {id}");
            assert_eq!(answer.body.unwrap(), expected, "{mode:?}");
        }
    }
}

/// Load: orders beside an upstream that accepts connections and answers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn no_order_goes_to_a_silent_upstream_until_it_answers_a_read() {
    let setup = Setup::start_ready("desk").await;
    let silent = &setup.first;
    for upstream in [silent, &setup.second] {
        upstream.set_load("1,0,8,100");
    }
    assert_eq!(setup.send("/read/x", "k1").await.status, 200);
    silent.clear();
    silent.set_mode(Mode::Hanging);
    // Of many requests at once some go to an upstream without an idle connection.
    while silent.arrivals("/read/x") == 0 {
        let reads = [(); 16].map(|()| setup.send("/read/x", "k1"));
        assert!(join_all(reads).await.iter().all(|read| read.status == 200));
    }
    for _ in 0..20 {
        assert_eq!(setup.send("/order/x", "k1").await.status, 200);
    }
    assert_eq!(silent.arrivals("/order/x"), 0);
    silent.set_mode(Mode::Working);
    let answer = format!("answer of {}", silent.id);
    for kind in ["read", "order"] {
        let path = format!("/{kind}/y");
        let is_back = async || {
            let answers = join_all([(); 16].map(|()| setup.send(&path, "k1"))).await;
            answers.iter().any(|a| a.body.as_ref().unwrap() == &answer)
        };
        setup.wait_until(is_back).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_error_of_an_upstream_reaches_the_caller_unchanged() {
    let setup = Setup::start_ready("desk").await;
    setup.set_both(Mode::Failing);
    let answer = setup.send("/order/x", "k1").await;
    assert_eq!(
        (answer.status, answer.body.unwrap()),
        (500, Bytes::from("failure"))
    );
    assert_eq!(answer.headers["x-server-stamp"], "stamp");
}

/// A caller that sees a regular end would take part of an answer for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_does_not_look_complete() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(Mode::Cut);
    let answer = setup.send("/stream/x", "k1").await;
    assert!(answer.body.is_err() || answer.status == 502);
}

/// Events must neither be lost nor repeated where one upstream takes over from the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_at_the_other_upstream() {
    let setup = Setup::start_ready("engines").await;
    let (first, second) = (&setup.first, &setup.second);
    for (cut, working, id) in setup.pairs() {
        cut.set_mode(Mode::Cut);
        working.set_mode(Mode::Working);
        for index in 0..6 {
            let answer = setup.send(&format!("/stream/{id}/{index}"), "k1").await;
            let whole = routed_upstream::events(0, routed_upstream::EVENTS);
            assert_eq!(answer.body.expect("the stream ends"), whole);
        }
    }
    let received = first.received().into_iter().chain(second.received());
    let resumed = received.filter(|r| r.headers.contains_key("last-event-id"));
    let after: Vec<_> = resumed
        .map(|r| r.headers["last-event-id"].clone())
        .collect();
    assert!(after.iter().all(|after| after == "2"), "{after:?}");
    let sent = (first.received().len(), second.received().len());
    assert!(!after.is_empty(), "{sent:?}");
}

/// A stalled upstream may still answer; breaking off without an alternative would lose the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_that_cannot_be_resumed_is_waited_for() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(Mode::Stalling);
    let answer = setup.send("/once/x", "k1").await;
    let whole = routed_upstream::events(0, routed_upstream::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(setup.arrivals("/once/x"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_is_resumed_at_another_upstream() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(Mode::Stalling);
    let answer = setup.send("/stream/x", "k1").await;
    let whole = routed_upstream::events(0, routed_upstream::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(setup.arrivals("/stream/x"), 2);
}

/// Otherwise upstreams would go on computing answers that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_at_the_upstream_when_the_caller_disconnects() {
    let setup = Setup::start_ready("desk").await;
    setup.set_both(Mode::Hanging);
    let leaving = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = leaving.request(setup.request("/order/x", "k1"));
    let timed_out = tokio::time::timeout(Duration::from_millis(300), request).await;
    assert!(timed_out.is_err());
    drop(leaving);
    setup
        .wait_until(async || setup.first.cancelled() + setup.second.cancelled() == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_highest_table_version_wins_and_reads_back_as_sent() {
    let setup = Setup::start_ready("desk").await;
    let newest = configuration(5, "k5");
    assert_eq!(setup.replace(&newest).await.status, 200);
    assert_eq!(setup.replace(&configuration(3, "k3")).await.status, 200);
    assert_eq!(setup.replace(&configuration(5, "other")).await.status, 200);
    let cut = &newest.to_string()[..200];
    assert_eq!(
        setup.control("config/replace", cut.to_owned()).await.status,
        400
    );
    let read = setup.read().await.body.unwrap();
    assert_eq!(serde_json::from_slice::<Value>(&read).unwrap(), newest);
    setup
        .wait_until(async || setup.send("/read/x", "k1").await.status == 401)
        .await;
    assert_eq!(setup.send("/read/x", "k5").await.status, 200);
}

/// Guards against prompts that go on from parts of a workspace that has become isolated.
#[tokio::test(flavor = "multi_thread")]
async fn the_salt_of_shared_parts_changes_when_a_workspace_becomes_isolated() {
    let setup = Setup::start("engines").await;
    let table = |version: u64, isolated: bool| {
        let mut table = configuration(version, "k1");
        table["tenants"] = json!([
            {"name": "w1", "api_keys": ["k1"], "isolated": isolated},
            {"name": "w2", "api_keys": ["k2"], "isolated": false},
        ]);
        table
    };
    let salt = async |key: &str| {
        for upstream in [&setup.first, &setup.second] {
            upstream.clear();
        }
        assert_eq!(setup.send("/stream/x", key).await.status, 200);
        let received = setup.first.received().into_iter();
        let mut received = received.chain(setup.second.received());
        let received = received.next().expect("an engine got the request");
        received.headers["x-cache-salt"]
            .to_str()
            .unwrap()
            .to_owned()
    };
    assert_eq!(setup.replace(&table(1, false)).await.status, 200);
    setup.wait_until_ready().await;
    let shared = salt("k1").await;
    assert_eq!(salt("k2").await, shared);
    assert_eq!(setup.replace(&table(2, true)).await.status, 200);
    setup.wait_until(async || salt("k1").await != shared).await;
    let (isolated, others) = (salt("k1").await, salt("k2").await);
    assert_ne!(others, shared, "w2 goes on from parts of w1");
    assert_ne!(others, isolated);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_reload_to_the_newest_weights_version() {
    let setup = Setup::start_ready("engines").await;
    let named = json!({"model": "m", "version": 2}).to_string();
    assert_eq!(setup.control("version-put", named).await.status, 200);
    setup
        .wait_until(async || !setup.first.orders().is_empty() && !setup.second.orders().is_empty())
        .await;
    for upstream in [&setup.first, &setup.second] {
        let [order] = &upstream.orders()[..] else {
            panic!("{:?}", upstream.orders());
        };
        assert_eq!(
            (&order["version"], &order["expected"]),
            (&json!(2), &json!(0))
        );
        assert_eq!(order["holder"], "a");
    }
    setup
        .wait_until(async || {
            setup.send("/stream/x", "k1").await;
            let all = setup
                .first
                .received()
                .into_iter()
                .chain(setup.second.received());
            all.into_iter().any(|r| {
                r.headers["x-expect-version"] == "2" && r.headers["x-cache-salt"] == "w2-w1"
            })
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_requests_in_flight_drains_cleanly() {
    let mut setup = Setup::start_ready("desk").await;
    let answer = setup.send("/read/x", "k1").await;
    assert_eq!(answer.status, 200);
    let mut daemon = setup.daemon.take().unwrap();
    let outcome = daemon.drain(std::future::pending()).await;
    assert_eq!(outcome, drain::Outcome::Clean);
}

/// Guards against orders and reads that a stopping host passes on and then cuts off without an
/// answer, because they may take longer than its process lives.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_host_refuses_orders_and_reads_that_could_outlast_it() {
    let mut setup = Setup::with_lifetime("desk", "address_lifetime_ms = 600000\n").await;
    setup.apply_table().await;
    let mut daemon = setup.daemon.take().unwrap();
    let send = async |path: &str, deadline: &'static str| {
        let mut request = setup.request(path, "k1");
        let headers = request.headers_mut();
        headers.insert("x-deadline-ms", HeaderValue::from_static(deadline));
        setup.call(request).await
    };
    let paths = ["/long-order/x", "/long-read/x"];
    for path in paths {
        assert_eq!(send(path, "3600000").await.status, 200);
    }
    let (force, force_requested) = oneshot::channel();
    let drained =
        tokio::spawn(async move { daemon.drain(async { drop(force_requested.await) }).await });
    for path in paths {
        setup
            .wait_until(async || send(path, "3600000").await.status == 503)
            .await;
        let arrivals = setup.arrivals(path);
        let refused = send(path, "3600000").await;
        assert_eq!(refused.status, 503);
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(setup.arrivals(path), arrivals, "it was passed on");
        assert_eq!(send(path, "8000").await.status, 200);
    }
    force.send(()).unwrap();
    assert_eq!(drained.await.unwrap(), drain::Outcome::Forced);
}

/// Long streams that begin during a drain would keep the host from ending, or be cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_host_refuses_streams_that_could_outlast_it() {
    let mut setup = Setup::with_lifetime("engines", "address_lifetime_ms = 600000\n").await;
    setup.apply_table().await;
    let mut daemon = setup.daemon.take().unwrap();
    let endless = async || {
        let mut request = setup.request("/endless/x", "k1");
        let headers = request.headers_mut();
        headers.insert("x-deadline-ms", HeaderValue::from_static("3600000"));
        setup.call(request).await
    };
    assert_eq!(endless().await.status, 200);
    let (force, force_requested) = oneshot::channel();
    let drained =
        tokio::spawn(async move { daemon.drain(async { drop(force_requested.await) }).await });
    setup
        .wait_until(async || endless().await.status == 503)
        .await;
    let refused = endless().await;
    assert!(refused.headers.contains_key("retry-after"));
    let short = setup.send("/stream/x", "k1").await;
    let whole = routed_upstream::events(0, routed_upstream::EVENTS);
    assert_eq!(short.body.expect("the stream ends"), whole);
    force.send(()).unwrap();
    assert_eq!(drained.await.unwrap(), drain::Outcome::Forced);
}
