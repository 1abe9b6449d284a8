//! Parts of prompts that crash each engine that begins to answer them, through real daemons.

mod routed_upstream;

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderValue;

use crate::routed_upstream::setup::Answer;
use crate::routed_upstream::setup::Setup;

/// Time between two deadly requests; the crashed engines are back by then, and their next crash
/// counts as another one.
const PAUSE: Duration = Duration::from_millis(2_200);
const DEADLY: &str = "aa:60,dd:20";
const SOUND: &str = "aa:60,bb:20";

/// Sends a request of its own, with `parts` and a last part that no other request has.
async fn send(setup: &Setup, host: SocketAddr, path: &str, parts: &str, number: usize) -> Answer {
    let mut request = setup.request(path, "k1");
    *request.uri_mut() = format!("http://{host}{path}").parse().unwrap();
    let headers = request.headers_mut();
    let parts = format!("{parts},own{number}:20");
    headers.insert("x-prompt-prefix", HeaderValue::from_str(&parts).unwrap());
    let id = format!("9c41d07be2a3{number:04}");
    headers.insert("x-request-id", HeaderValue::from_str(&id).unwrap());
    setup.call(request).await
}

/// A request of whatever content with the part ended one engine after another, at every host, and
/// with each of them the requests of all others there.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_is_refused_at_all_hosts_and_sound_prompts_are_served() {
    let setup = Setup::start_beside_leader("engines").await;
    let (_another, second_host) = setup.start_another("c").await;
    let hosts = [setup.routed, second_host];
    for host in hosts {
        setup
            .wait_until(async || send(&setup, host, "/stream/s", SOUND, 0).await.status == 200)
            .await;
    }
    setup.first.set_deadly_part("dd");
    setup.second.set_deadly_part("dd");
    for number in 1..=4 {
        for path in ["/stream/d", "/once/d"] {
            send(&setup, hosts[number % 2], path, DEADLY, number).await;
        }
        tokio::time::sleep(PAUSE).await;
        for host in hosts {
            let sound = send(&setup, host, "/stream/s", SOUND, 10 + number).await;
            assert_eq!(sound.status, 200);
            assert!(sound.body.is_ok());
        }
    }
    let crashes = setup.first.crashes() + setup.second.crashes();
    assert!(crashes >= 3, "{crashes} crashes");
    for number in 20..26 {
        let deadly = send(&setup, hosts[number % 2], "/stream/d", DEADLY, number).await;
        assert_eq!(deadly.status, 503);
        let retry_after = deadly.headers["retry-after"].to_str().unwrap();
        assert!(retry_after.parse::<f64>().unwrap() > 1.0, "{retry_after}");
        let sound = send(&setup, hosts[number % 2], "/stream/s", SOUND, number).await;
        assert_eq!(sound.status, 200);
    }
    assert_eq!(setup.first.crashes() + setup.second.crashes(), crashes);
}

/// An engine that crashes under an answer without a length or chunks ends it like a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_that_looks_like_the_end_of_an_answer_counts_against_the_part() {
    let setup = Setup::start_ready("engines").await;
    for upstream in [&setup.first, &setup.second] {
        upstream.set_deadly_part("dd");
        upstream.set_unframed_crashes();
    }
    for number in 0..12 {
        let path = ["/once/d", "/stream/d"][number % 2];
        let deadly = send(&setup, setup.routed, path, DEADLY, number).await;
        if deadly.status == 503 && deadly.headers.contains_key("retry-after") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1_100)).await;
    }
    let crashes = setup.first.crashes() + setup.second.crashes();
    let deadly = send(&setup, setup.routed, "/stream/d", DEADLY, 20).await;
    assert_eq!(deadly.status, 503);
    let retry_after = deadly.headers["retry-after"].to_str().unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 30.0, "{retry_after}");
    assert!((3..=6).contains(&crashes), "{crashes} crashes");
    let sound = send(&setup, setup.routed, "/stream/s", SOUND, 21).await;
    assert_eq!(sound.status, 200);
}

/// An answer that breaks off at an engine that goes on running says nothing about its parts.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_break_off_without_a_crash_quarantine_no_part() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(crate::routed_upstream::Mode::Cut);
    for number in 0..8 {
        send(&setup, setup.routed, "/once/s", SOUND, number).await;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    setup.set_both(crate::routed_upstream::Mode::Working);
    setup
        .wait_until(async || {
            let sound = send(&setup, setup.routed, "/once/s", SOUND, 9).await;
            assert!(!sound.headers.contains_key("retry-after"), "refused");
            sound.status == 200 && sound.body.is_ok()
        })
        .await;
}
