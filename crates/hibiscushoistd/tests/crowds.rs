//! Crowds of callers that do not behave, at each door of a real daemon.

mod door;
mod routed_upstream;

use tokio::sync::Mutex;

use crate::door::Host;
use crate::door::crowd::Crowd;
use crate::door::crowd::Kind;

/// Lets one crowd run at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Sends a crowd of this kind to one door after the other. The process must live within its bounds
/// and serve ordinary requests while the crowd is still there.
async fn withstands(kind: Kind) {
    let _turn = TURN.lock().await;
    let mut host = Host::start().await;
    let mut faults = Vec::new();
    for door in host.doors() {
        let crowd = Crowd::start(kind, &door);
        host.settle().await;
        faults.extend(host.faults(&door).await);
        drop(crowd);
    }
    assert!(faults.is_empty(), "{kind:?}: {faults:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_that_sends_requests_ahead_without_reading_is_withstood() {
    withstands(Kind::Ahead).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_bodies_in_chunks_that_stop_short_is_withstood() {
    withstands(Kind::Chunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_very_many_short_fields_is_withstood() {
    withstands(Kind::Fields).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_headers_that_stop_half_way_is_withstood() {
    withstands(Kind::HalfHeader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_bodies_far_over_the_limit_is_withstood() {
    withstands(Kind::Long).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_bodies_in_one_piece_that_stop_short_is_withstood() {
    withstands(Kind::Short).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_that_reads_slowly_is_withstood() {
    withstands(Kind::SlowReader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_that_sends_slowly_is_withstood() {
    withstands(Kind::SlowSender).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_bodies_in_small_pieces_that_stop_short_is_withstood() {
    withstands(Kind::SmallPieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_with_whole_bodies_at_once_is_withstood() {
    withstands(Kind::Whole).await;
}

/// A header is legal up to its limit in bytes, whatever the number of its fields.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_request_with_very_many_short_fields_is_served() {
    let _turn = TURN.lock().await;
    let host = Host::start().await;
    for door in host.doors() {
        let answer = host.ask_with_fields(&door).await;
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "{}: {answer}",
            door.name
        );
    }
}
