//! Answers without end that come from faulty upstreams to many requests at once.

use std::convert::Infallible;
use std::fs;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

use hibiscushoistd::answer_buffer::ANSWER_LIMIT_BYTES;
use hibiscushoistd::answer_buffer::AnswerBuffer;
use hibiscushoistd::answer_buffer::FREE_BYTES;
use hibiscushoistd::answer_buffer::SHARED_BYTES;

const REQUESTS: usize = 200;
/// Requests whose answers come byte by byte.
const SMALL_PART_REQUESTS: usize = 4;
/// Most memory that the answers may take: their bytes, twice while a buffer grows.
const MOST_KB: u64 = 2 * ((SHARED_BYTES + REQUESTS * FREE_BYTES) >> 10) as u64;

type Part = Result<Frame<Bytes>, Infallible>;

/// Returns a body that repeats a part without end, and pauses so that others go on meanwhile.
fn endless(part: &'static [u8]) -> StreamBody<impl stream::Stream<Item = Part>> {
    let parts = stream::repeat(Bytes::from_static(part)).enumerate();
    StreamBody::new(parts.then(async |(number, part)| {
        if number % 64 == 0 {
            tokio::task::yield_now().await;
        }
        Ok(Frame::data(part))
    }))
}

/// Returns the most memory that the process has had, in KB.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the status can be read");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kb.expect("the status has a peak")
}

/// Guards against a host that runs out of memory because it keeps all that a faulty upstream sends
/// to many requests at once, and against parts of a body that keep far more than their bytes.
#[tokio::test]
async fn endless_answers_to_many_requests_take_a_bounded_amount_of_memory() {
    let before = peak_kb();
    for (requests, part) in [(REQUESTS, &[b'x'; 4_096][..]), (SMALL_PART_REQUESTS, b"x")] {
        let buffer = AnswerBuffer::default();
        let answers = (0..requests).map(|_| buffer.collect(endless(part)));
        let answers = join_all(answers).await;
        assert!(answers.iter().all(Result::is_err));
    }
    let taken = peak_kb() - before;
    assert!(taken <= MOST_KB, "{taken} KB");
}

/// Guards against sound answers that fail because a faulty upstream has taken all the room.
#[tokio::test]
async fn short_answers_need_no_room_in_the_common_bound() {
    let buffer = AnswerBuffer::default();
    let long = Full::new(Bytes::from(vec![b'x'; ANSWER_LIMIT_BYTES]));
    assert!(buffer.collect(long).await.is_ok());
    let mut holders = Vec::new();
    for _ in 0..=SHARED_BYTES / (ANSWER_LIMIT_BYTES - FREE_BYTES) {
        let buffer = buffer.clone();
        let body = unfinished();
        holders.push(tokio::spawn(async move { buffer.collect(body).await }));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let short = Full::new(Bytes::from(vec![b'x'; FREE_BYTES]));
    assert_eq!(
        buffer.collect(short).await.expect("it fits").len(),
        FREE_BYTES
    );
    let long = Full::new(Bytes::from(vec![b'x'; ANSWER_LIMIT_BYTES]));
    assert!(buffer.collect(long).await.is_err(), "there is no room");
    holders.iter().for_each(|holder| holder.abort());
}

/// Returns a body of the greatest size that does not end.
fn unfinished() -> StreamBody<impl stream::Stream<Item = Part>> {
    let part = Bytes::from(vec![b'x'; ANSWER_LIMIT_BYTES]);
    let first = stream::once(async { Ok(Frame::data(part)) });
    StreamBody::new(first.chain(stream::pending()))
}
