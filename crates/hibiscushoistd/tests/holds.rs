//! Upstreams that ask for no requests: for good, because they leave, or for a time.

mod routed_upstream;

use std::time::Duration;
use std::time::Instant;

use crate::routed_upstream::Mode;
use crate::routed_upstream::Upstream;
use crate::routed_upstream::setup::Answer;
use crate::routed_upstream::setup::Setup;

/// Sends a request that both upstreams refuse, so that the host has an answer of each, and then
/// sets the mode of both.
async fn refuse_once(setup: &Setup, path: &str, mode: Mode) -> Answer {
    setup.set_both(Mode::Rejecting);
    let answer = setup.send(path, "k1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(
        (setup.first.arrivals(path), setup.second.arrivals(path)),
        (1, 1)
    );
    setup.set_both(mode);
    answer
}

/// Has the host get an answer to a request for `path` from `leaving`, which says that it leaves.
async fn take_leave(setup: &Setup, path: &str, leaving: &Upstream, other: &Upstream) {
    leaving.leave();
    other.set_mode(Mode::Rejecting);
    assert_eq!(setup.send(path, "k1").await.status, 200);
    assert_eq!(leaving.arrivals(path), 1);
    other.set_mode(Mode::Working);
}

fn retry_after_s(answer: &Answer) -> f64 {
    let value = answer.headers["retry-after"].to_str().unwrap();
    value.parse().unwrap()
}

/// The list names a leaving upstream as ready for a while, and its connections are still open.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_that_it_leaves_gets_no_further_request() {
    for leaves_first in [true, false] {
        let setup = Setup::start_ready("desk").await;
        let (leaving, other, _) = setup.pairs()[usize::from(leaves_first)];
        take_leave(&setup, "/read/leave", leaving, other).await;
        for path in ["/read/x", "/order/x"] {
            for _ in 0..10 {
                assert_eq!(setup.send(path, "k1").await.status, 200);
            }
            assert_eq!((leaving.arrivals(path), other.arrivals(path)), (0, 10));
        }
    }
}

/// An upstream that leaves must not be the last resort while all others fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_request_while_the_other_fails() {
    let setup = Setup::start_ready("desk").await;
    let (leaving, other) = (&setup.first, &setup.second);
    take_leave(&setup, "/read/leave", leaving, other).await;
    for mode in [Mode::Failing, Mode::Rejecting, Mode::Cut] {
        other.set_mode(mode);
        for path in ["/read/x", "/order/x"] {
            for _ in 0..4 {
                assert_ne!(setup.send(path, "k1").await.status, 200, "{mode:?}");
            }
            assert_eq!(leaving.arrivals(path), 0, "{mode:?}");
        }
    }
}

/// Nothing can serve the request until an upstream starts, so a wait is of no use to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_all_upstreams_leave_and_go_to_the_one_that_starts_again() {
    let setup = Setup::start_ready("desk").await;
    setup.first.leave();
    setup.second.leave();
    refuse_once(&setup, "/read/leave", Mode::Working).await;
    for path in ["/read/x", "/order/x"] {
        let answer = setup.send(path, "k1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(setup.arrivals(path), 0);
    }
    setup.first.restart();
    setup
        .wait_until(async || setup.send("/read/again", "k1").await.status == 200)
        .await;
    for _ in 0..10 {
        assert_eq!(setup.send("/order/again", "k1").await.status, 200);
    }
    assert_eq!(setup.first.arrivals("/order/again"), 10);
    assert_eq!(setup.second.arrivals("/read/again"), 0);
}

/// The leading host has seen no answer of the engine, and would assign it long prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_is_neither_assigned_nor_chosen_nor_fetched_from() {
    for with_leader in [true, false] {
        for leaves_first in [true, false] {
            let mut setup = Setup::start_beside_leader("engines").await;
            if !with_leader {
                drop(setup.leader.take());
            }
            let setup = setup;
            assert_eq!(setup.send_long("/stream/cache").await.status, 200);
            let (leaving, other, _) = setup.pairs()[usize::from(leaves_first)];
            take_leave(&setup, "/stream/leave", leaving, other).await;
            for _ in 0..5 {
                assert_eq!(setup.send_long("/stream/long").await.status, 200);
            }
            assert_eq!(
                (
                    leaving.arrivals("/stream/long"),
                    other.arrivals("/stream/long")
                ),
                (0, 5)
            );
            let received = other.received().into_iter();
            let mut long = received.filter(|received| received.path == "/stream/long");
            let address = leaving.address.to_string();
            assert!(long.all(|long| long.headers.get("x-kv-fetch").is_none_or(|f| *f != address)));
        }
    }
}

/// A resumption is a new request at the upstream that takes over.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_at_a_leaving_engine() {
    let setup = Setup::start_ready("engines").await;
    let (leaving, other) = (&setup.first, &setup.second);
    take_leave(&setup, "/stream/leave", leaving, other).await;
    other.set_mode(Mode::Cut);
    assert!(setup.send("/stream/x", "k1").await.body.is_err());
    assert_eq!(
        (leaving.arrivals("/stream/x"), other.arrivals("/stream/x")),
        (0, 1)
    );
}

/// More requests than the upstream asked for keep it from recovering.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let setup = Setup::start_ready("desk").await;
    let (paused, other) = (&setup.first, &setup.second);
    paused.set_pause("2.5");
    let begun = Instant::now();
    refuse_once(&setup, "/read/pause", Mode::Working).await;
    other.set_mode(Mode::Failing);
    let pause = Duration::from_millis(2_500);
    while begun.elapsed() < pause {
        for path in ["/read/x", "/order/x"] {
            setup.send(path, "k1").await;
            let arrivals = paused.arrivals(path);
            assert!(
                arrivals == 0 || begun.elapsed() >= pause,
                "{:?}",
                begun.elapsed()
            );
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    setup
        .wait_until(async || setup.send("/order/y", "k1").await.status == 200)
        .await;
    assert_eq!(paused.arrivals("/order/y"), 1);
}

/// A caller that is told to come back sooner is refused again.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_until_the_first_of_long_pauses_ends() {
    let setup = Setup::start_ready("desk").await;
    setup.first.set_pause("60");
    setup.second.set_pause("20");
    let first = refuse_once(&setup, "/order/pause", Mode::Working).await;
    for path in ["/read/x", "/order/x"] {
        let answer = setup.send(path, "k1").await;
        assert_eq!(answer.status, 503);
        assert_eq!(setup.arrivals(path), 0);
        for answer in [&first, &answer] {
            let after_s = retry_after_s(answer);
            assert!((10.0..23.0).contains(&after_s), "{after_s}");
        }
    }
}

/// A refusal would cost the caller another connection, and the request more time than the pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_for_the_end_of_a_short_pause() {
    let setup = Setup::start_ready("desk").await;
    setup.first.set_pause("0.6");
    setup.second.set_pause("0.6");
    for path in ["/read/x", "/order/x"] {
        let begun = Instant::now();
        refuse_once(&setup, "/read/pause", Mode::Working).await;
        assert_eq!(setup.send(path, "k1").await.status, 200);
        assert!(
            begun.elapsed() >= Duration::from_millis(600),
            "{:?}",
            begun.elapsed()
        );
        assert_eq!(setup.arrivals(path), 1);
        setup.first.clear();
        setup.second.clear();
    }
}

/// A 503 that does not say whether the request ran asks for the pause all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_kept_whether_or_not_the_request_ran() {
    let setup = Setup::start_ready("desk").await;
    setup.first.set_pause("30");
    setup.second.set_pause("30");
    setup.set_both(Mode::Overloaded);
    for _ in 0..2 {
        assert_eq!(setup.send("/order/pause", "k1").await.status, 503);
    }
    assert_eq!(setup.arrivals("/order/pause"), 2);
    setup.set_both(Mode::Working);
    assert_eq!(setup.send("/order/x", "k1").await.status, 503);
    assert_eq!(setup.arrivals("/order/x"), 0);
}
