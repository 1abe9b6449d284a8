//! Answers of upstreams that are no answers: cut while the request is still being sent, or with a
//! status that HTTP doesn't know.

mod routed_upstream;

use bytes::Bytes;
use http_body_util::Full;

use crate::routed_upstream::events;
use crate::routed_upstream::raw;
use crate::routed_upstream::raw::End;
use crate::routed_upstream::raw::Script;
use crate::routed_upstream::setup::Setup;

/// Length of a long upload, in bytes, more than the kernel buffers for an upstream that reads none.
const UPLOAD_BYTES: usize = 12 << 20;
/// Times that each upload is repeated, as the reset races with the writes.
const UPLOADS: usize = 5;
/// Each way in which an answer reaches a caller: buffered, resumable and forwarded.
const PATHS: [(&str, &str); 4] = [
    ("desk", "/read/x"),
    ("desk", "/order/x"),
    ("engines", "/stream/x"),
    ("engines", "/unresumable/x"),
];

/// Clients got the first part of an answer without a length as the whole, when the upstream reset
/// the connection while their upload was still being written.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_does_not_look_complete() {
    for (service, path) in PATHS {
        let raw = raw::Upstream::start("i-raw", service).await;
        let setup = Setup::start_with_raw(&raw, service, false).await;
        let part = events(0, 2);
        raw.set_script(Script::without_length(part, End::Reset));
        raw.answer_early();
        for _ in 0..UPLOADS {
            let request = setup.request(path, "k1");
            let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
            let answer = setup.call(request.map(|_| Full::from(upload))).await;
            let looks_whole = answer.status == 200 && answer.body.is_ok();
            assert!(!looks_whole, "{path}: {:?}", answer.body);
        }
        assert!(raw.arrivals(path) > 0, "{path}");
    }
}

/// Clients got an answer with status 000.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_is_none_reaches_no_caller() {
    for status in ["000", "099", "101", "199", "600", "700", "999"] {
        for (service, path) in PATHS {
            let raw = raw::Upstream::start("i-raw", service).await;
            let setup = Setup::start_with_raw(&raw, service, false).await;
            let head = format!(
                "HTTP/1.1 {status} Odd\r\nx-request-id: {{id}}\r\nx-server-stamp: stamp\r\n\
                 content-length: 4\r\n\r\nodd\n"
            );
            raw.set_script(Script::raw(head, End::Close));
            let answer = setup.send(path, "k1").await;
            assert_eq!(answer.status, 502, "{path}, status {status}");
            assert_eq!(raw.arrivals(path), 1, "{path}, status {status}");
        }
    }
}
