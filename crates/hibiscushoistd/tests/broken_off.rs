//! Answers that have neither a length nor chunks, and end with their connection.

mod routed_upstream;

use bytes::Bytes;
use futures::future::join_all;

use crate::routed_upstream::EVENTS;
use crate::routed_upstream::events;
use crate::routed_upstream::raw;
use crate::routed_upstream::raw::End;
use crate::routed_upstream::raw::Script;
use crate::routed_upstream::records::Records;
use crate::routed_upstream::setup::Setup;

/// Number of requests at the same time of which each of two upstreams gets some.
const REQUESTS: usize = 8;

/// Returns a stream that ends inside its third event.
fn inside_an_event() -> String {
    format!("{}id: 3\ndata: to", events(0, 2))
}

/// Starts a host in front of one upstream with this script.
async fn start_alone(service: &str, script: Script) -> (Setup, raw::Upstream) {
    let raw = raw::Upstream::start("i-raw", service).await;
    let setup = Setup::start_with_raw(&raw, service, false).await;
    raw.set_script(script);
    (setup, raw)
}

/// The caller would take part of an answer for the whole, with an event of which half is missing.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_resumed_at_the_other_upstream() {
    let raw = raw::Upstream::start("i-raw", "engines").await;
    let setup = Setup::start_with_raw(&raw, "engines", true).await;
    raw.set_script(Script::without_length(inside_an_event(), End::Close));
    let requests = (0..REQUESTS).map(|_| setup.send("/stream/x", "k1"));
    for answer in join_all(requests).await {
        assert_eq!(answer.body.expect("the stream ends"), events(0, EVENTS));
    }
    let resumed = setup.second.received();
    let resumed = resumed
        .iter()
        .filter_map(|r| r.headers.get("last-event-id"));
    let after: Vec<_> = resumed.collect();
    assert!(!after.is_empty() && raw.arrivals("/stream/x") > 0);
    assert!(after.iter().all(|after| *after == "2"), "{after:?}");
}

/// Without another upstream, the part that arrived must not look like the whole stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_does_not_look_complete() {
    for path in ["/stream/x", "/unresumable/x"] {
        let cut = inside_an_event();
        let length = format!("content-length: {}\r\n", cut.len());
        let chunks = format!("{:x}\r\n{cut}\r\n0\r\n\r\n", cut.len());
        let bodies = [
            ("", &cut),
            (&length, &cut),
            ("transfer-encoding: chunked\r\n", &chunks),
        ];
        for (headers, body) in bodies {
            let script = Script::successful(headers, body, End::Close);
            let (setup, _raw) = start_alone("engines", script).await;
            let answer = setup.send(path, "k1").await;
            assert!(answer.body.is_err(), "{path} {headers}: {:?}", answer.body);
        }
    }
}

/// An operator must find broken answers in the access log, whichever way they break off.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_logged_as_cut() {
    let raw = raw::Upstream::start("i-raw", "engines").await;
    let records = Records::default();
    let setup = Setup::start_logged_with_raw(&raw, "engines", false, records.logger()).await;
    raw.set_script(Script::without_length(inside_an_event(), End::Close));
    for (count, path) in ["/stream/x", "/unresumable/x"].into_iter().enumerate() {
        assert!(setup.send(path, "k1").await.body.is_err());
        let logged = || records.count("request_answered", &["outcome=cut", "upstream=i-raw"]);
        setup.wait_until(async || logged() == count + 1).await;
    }
    let broken = records.count("stream_broken", &["reason=cut", "after=2", "resumed=false"]);
    assert_eq!(broken, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_between_events_is_complete() {
    let crlf = events(0, EVENTS).replace('\n', "\r\n");
    let spaced = format!("\n{}\n", events(0, EVENTS));
    for path in ["/stream/x", "/unresumable/x"] {
        for body in ["", &events(0, EVENTS), &crlf, &spaced] {
            let script = Script::without_length(body, End::Close);
            let (setup, raw) = start_alone("engines", script).await;
            let answer = setup.send(path, "k1").await;
            assert_eq!(answer.body.expect("the stream ends"), body, "{path}");
            assert_eq!(raw.arrivals(path), 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_without_a_length_is_complete_unless_its_connection_is_reset() {
    for path in ["/read/x", "/order/x"] {
        let script = Script::without_length("answer", End::Close);
        let (setup, raw) = start_alone("desk", script).await;
        let answer = setup.send(path, "k1").await;
        let whole = (answer.status, answer.body.unwrap());
        assert_eq!(whole, (200, Bytes::from("answer")));
        raw.set_script(Script::without_length("answer", End::Reset));
        let answer = setup.send(path, "k1").await;
        assert_eq!(answer.status, 502, "{path}: {:?}", answer.body);
    }
}
