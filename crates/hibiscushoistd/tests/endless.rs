//! Upstreams and a list that send bytes without end.

mod routed_upstream;

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use hyper::header::HeaderValue;
use serde_json::json;

use crate::routed_upstream::EVENTS;
use crate::routed_upstream::Upstream;
use crate::routed_upstream::events;
use crate::routed_upstream::raw;
use crate::routed_upstream::raw::End;
use crate::routed_upstream::raw::Script;
use crate::routed_upstream::records::Records;
use crate::routed_upstream::setup::Setup;

/// Number of requests at the same time of which each of two upstreams gets some.
const REQUESTS: usize = 8;
/// Failures in a row after which an upstream is ejected.
const FAILURES_TO_EJECT: usize = 3;
/// Number of rounds of [`REQUESTS`] at an ejected upstream.
const ROUNDS: usize = 4;
/// Time within which a request must end that no other upstream takes, well before its deadline.
const ANSWER_TIME: Duration = Duration::from_secs(4);
/// Pause between two blocks of endless bytes, for at most 16 MB a second.
const PAUSE: Duration = Duration::from_millis(1);
/// Pause between two blocks of bytes that trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
/// Most bytes that may be written before the host closes the connection: a buffered answer and what
/// the kernel buffers for a reader that is late.
const MAX_WRITTEN_BYTES: usize = 8 << 20;

/// Time that a slow page takes, within the limit of a call.
const SLOW_PAGE: Duration = Duration::from_millis(300);

/// Length of an event above the limit, which ends in the part of the body that exceeds it.
const LONG_EVENT_BYTES: usize = 66 << 10;

const FILLER: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns scripts of answers whose head or body is endless.
fn endless() -> Vec<Script> {
    let head = |text: &str, repeated| Script::raw(text, End::Repeat(repeated, PAUSE));
    let body = |headers, body: &str, repeated| {
        Script::successful(headers, body, End::Repeat(repeated, PAUSE))
    };
    let chunked = "transfer-encoding: chunked\r\n";
    vec![
        head("HTTP/1.1 200 ", FILLER),
        head("HTTP/1.1 200 OK\r\na: ", FILLER),
        head("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        head("", INTERIM),
        body("", "", FILLER),
        body("", "id: 1\ndata: ", FILLER),
        body(chunked, "", "0000000000000000000000000000000000000000"),
        body(chunked, "4;", FILLER),
        body(chunked, "4\r\n\n\n\n\n\r\n0\r\n", "a: b\r\n"),
    ]
}

/// Waits until the host has closed the connections to `raw`, each after few bytes.
async fn expect_closed(setup: &Setup, raw: &raw::Upstream, path: &str) {
    setup
        .wait_until(async || raw.closed().len() >= raw.arrivals(path))
        .await;
    let written = raw.closed();
    assert!(
        written.iter().all(|bytes| *bytes <= MAX_WRITTEN_BYTES),
        "{written:?}"
    );
}

/// Callers must neither wait for an answer that never ends nor get its first part.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_with_an_endless_answer_goes_on_at_another_upstream() {
    for script in endless() {
        let raw = raw::Upstream::start("i-raw", "desk").await;
        let setup = Setup::start_with_raw(&raw, "desk", true).await;
        raw.set_script(script.clone());
        let send_round = async || {
            let requests = (0..REQUESTS).map(|_| setup.send("/read/x", "k1"));
            for answer in join_all(requests).await {
                assert_eq!(
                    (answer.status, &answer.body.unwrap()[..]),
                    (200, &b"answer of i-2"[..])
                );
            }
        };
        // Upstreams are chosen at random, so a round may pass `raw` by.
        setup
            .wait_until(async || {
                send_round().await;
                raw.arrivals("/read/x") > 0
            })
            .await;
        expect_closed(&setup, &raw, "/read/x").await;
    }
}

/// Otherwise each request would first be sent to an upstream that is known to fail.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_with_endless_answers_is_ejected() {
    for script in endless() {
        let raw = raw::Upstream::start("i-raw", "desk").await;
        let setup = Setup::start_with_raw(&raw, "desk", true).await;
        raw.set_script(script.clone());
        let send = async |path| {
            let requests = (0..REQUESTS).map(|_| setup.send(path, "k1"));
            join_all(requests).await
        };
        setup
            .wait_until(async || {
                send("/read/first").await;
                raw.arrivals("/read/first") >= FAILURES_TO_EJECT
            })
            .await;
        for _ in 0..ROUNDS {
            let answers = send("/read/second").await;
            assert!(answers.iter().all(|answer| answer.status == 200));
        }
        // At most probes arrive.
        let arrived = raw.arrivals("/read/second");
        assert!(arrived < ROUNDS, "{arrived} {script:?}");
    }
}

/// An order may have run, so it cannot be sent again; its caller must know soon.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_with_an_endless_answer_ends_with_502_before_its_deadline() {
    for script in endless() {
        let raw = raw::Upstream::start("i-raw", "desk").await;
        let setup = Setup::start_with_raw(&raw, "desk", false).await;
        raw.set_script(script.clone());
        let began = Instant::now();
        let answer = setup.send("/order/x", "k1").await;
        let took = began.elapsed();
        assert_eq!(answer.status, 502, "{script:?}");
        assert!(took < ANSWER_TIME, "{script:?}: {took:?}");
        assert_eq!(raw.arrivals("/order/x"), 1);
        expect_closed(&setup, &raw, "/order/x").await;
    }
}

/// The host buffers an event until it is whole, which must not take all memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_an_endless_event_is_resumed_at_the_other_upstream() {
    let raw = raw::Upstream::start("i-raw", "engines").await;
    let setup = Setup::start_with_raw(&raw, "engines", true).await;
    let begun = format!("{}id: 3\ndata: ", events(0, 2));
    raw.set_script(Script::without_length(begun, End::Repeat(FILLER, PAUSE)));
    let requests = (0..REQUESTS).map(|_| setup.send("/stream/x", "k1"));
    for answer in join_all(requests).await {
        assert_eq!(answer.body.expect("the stream ends"), events(0, EVENTS));
    }
    assert!(raw.arrivals("/stream/x") > 0);
    expect_closed(&setup, &raw, "/stream/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_an_endless_event_is_cut_where_it_cannot_be_resumed() {
    for path in ["/stream/x", "/unresumable/x"] {
        let raw = raw::Upstream::start("i-raw", "engines").await;
        let records = Records::default();
        let setup = Setup::start_logged_with_raw(&raw, "engines", false, records.logger()).await;
        let begun = format!("{}id: 3\ndata: ", events(0, 2));
        raw.set_script(Script::without_length(begun, End::Repeat(FILLER, PAUSE)));
        let began = Instant::now();
        let answer = setup.send(path, "k1").await;
        assert!(answer.body.is_err(), "{path}: {:?}", answer.body);
        assert!(
            began.elapsed() < ANSWER_TIME,
            "{path}: {:?}",
            began.elapsed()
        );
        expect_closed(&setup, &raw, path).await;
        let cut = || records.count("request_answered", &["outcome=cut", "upstream=i-raw"]);
        setup.wait_until(async || cut() == 1).await;
    }
}

/// With its last byte, a body of known length would look complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_known_length_that_ends_inside_a_long_event_is_cut() {
    let raw = raw::Upstream::start("i-raw", "engines").await;
    let setup = Setup::start_with_raw(&raw, "engines", false).await;
    let body = format!("data: {}", FILLER.repeat(LONG_EVENT_BYTES / FILLER.len()));
    let length = format!("content-length: {}\r\n", body.len());
    raw.set_script(Script::successful(&length, body, End::Close));
    let answer = setup.send("/unresumable/x", "k1").await;
    assert!(answer.body.is_err());
}

/// Bytes that trickle count as silence, which is no reason to end a request before its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_with_a_head_that_trickles_ends_at_its_deadline() {
    for repeated in ["x", INTERIM] {
        let raw = raw::Upstream::start("i-raw", "desk").await;
        let setup = Setup::start_with_raw(&raw, "desk", false).await;
        let answer = match repeated {
            INTERIM => "",
            _ => "HTTP/1.1 200 ",
        };
        raw.set_script(Script::raw(answer, End::Repeat(repeated, TRICKLE_PAUSE)));
        let mut request = setup.request("/order/x", "k1");
        let headers = request.headers_mut();
        headers.insert("x-deadline-ms", HeaderValue::from_static("1500"));
        let began = Instant::now();
        let answer = setup.call(request).await;
        assert_eq!(answer.status, 504, "{repeated:?}");
        assert!(
            began.elapsed() < ANSWER_TIME,
            "{repeated:?}: {:?}",
            began.elapsed()
        );
        expect_closed(&setup, &raw, "/order/x").await;
    }
}

/// A list without an end must neither take the memory of the leader nor the upstreams from hosts.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_page_of_the_list_is_a_failed_read() {
    let next = r#"{"instances": [], "next": "again"}"#;
    let scripts = [
        Script::without_length("{\"instances\": [", End::Repeat("[[[[[[[[", PAUSE)),
        Script::without_length("", End::Repeat(" ", PAUSE)),
        Script::raw("", End::Repeat(INTERIM, PAUSE)),
        Script::without_length(next, End::Close),
        Script {
            delay: SLOW_PAGE,
            ..Script::without_length(next, End::Close)
        },
    ];
    for script in scripts {
        let first = Upstream::start("i-1", "desk").await;
        let second = Upstream::start("i-2", "desk").await;
        let list = raw::Upstream::start("list", "list").await;
        let entries = [first.list_entry(), second.list_entry()];
        let page = json!({"instances": entries, "next": null}).to_string();
        list.set_script(Script::without_length(page, End::Close));
        let records = Records::default();
        let setup = Setup::start_with_list(list.address, first, second, records.logger()).await;
        list.set_script(script.clone());
        let failed = || records.count("list_failed", &[]);
        setup.wait_until(async || failed() >= 2).await;
        assert_eq!(setup.send("/read/x", "k1").await.status, 200, "{script:?}");
        let written = list.closed();
        assert!(
            written.iter().all(|bytes| *bytes <= MAX_WRITTEN_BYTES),
            "{written:?}"
        );
    }
}

/// The leader reads reports and gives orders; neither may take its memory or its time.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_answer_to_an_order_or_for_a_report_is_bounded() {
    for script in endless() {
        let raw = raw::Upstream::start("i-raw", "engines").await;
        let setup = Setup::start_with_raw(&raw, "engines", true).await;
        raw.set_control_script(script.clone());
        let named = json!({"model": "m", "version": 2}).to_string();
        assert_eq!(setup.control("version-put", named).await.status, 200);
        setup.wait_until(async || !raw.closed().is_empty()).await;
        setup
            .wait_until(async || !setup.second.orders().is_empty())
            .await;
        let written = raw.closed();
        assert!(
            written.iter().all(|bytes| *bytes <= MAX_WRITTEN_BYTES),
            "{written:?}"
        );
    }
}

/// Bytes after a whole answer belong to no request, and the connection must not be kept for one.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_whole_answer_close_the_connection() {
    let raw = raw::Upstream::start("i-raw", "desk").await;
    let setup = Setup::start_with_raw(&raw, "desk", false).await;
    let more = End::Repeat("HTTP/1.1 200 OK\r\n\r\n", PAUSE);
    raw.set_script(Script::successful("content-length: 5\r\n", "whole", more));
    for count in 1..4 {
        let answer = setup.send("/order/x", "k1").await;
        assert_eq!(
            (answer.status, &answer.body.unwrap()[..]),
            (200, &b"whole"[..])
        );
        setup.wait_until(async || raw.closed().len() == count).await;
    }
    let written = raw.closed();
    assert!(
        written.iter().all(|bytes| *bytes <= MAX_WRITTEN_BYTES),
        "{written:?}"
    );
}
