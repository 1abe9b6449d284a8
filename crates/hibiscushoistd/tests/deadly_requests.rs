//! Requests that crash each upstream that begins to run them, through real daemons.

mod routed_upstream;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;

use crate::routed_upstream::setup::Answer;
use crate::routed_upstream::setup::Setup;

/// Time between two deadly requests; the crashed upstreams are back by then, and their next crash
/// counts as another one.
const PAUSE: Duration = Duration::from_millis(2_200);
const DEADLY: &str = "/read/deadly";
/// Crashes after which a request is held back. An attempt that is repeated at once may crash a
/// second upstream, which counts as the same crash.
const MOST_CRASHES: u32 = 6;

/// Sends a request without a prompt, under an id of its own.
async fn send(setup: &Setup, host: SocketAddr, path: &str, body: &str, number: usize) -> Answer {
    let mut request = setup.request(path, "k1");
    *request.uri_mut() = format!("http://{host}{path}").parse().unwrap();
    let headers = request.headers_mut();
    headers.remove("x-prompt-prefix");
    headers.remove("x-token-usage");
    let id = format!("9c41d07be2a3{number:04}");
    headers.insert("x-request-id", id.parse().unwrap());
    *request.body_mut() = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    setup.call(request).await
}

/// Guards against a plain request that crashes upstreams for as long as it comes again, at any host
/// and each time under another id; orders of others that ran there were cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_request_that_crashes_upstreams_is_held_back_at_all_hosts() {
    let setup = Setup::start_beside_leader("desk").await;
    let (_another, second_host) = setup.start_another("c").await;
    let hosts = [setup.routed, second_host];
    for host in hosts {
        setup
            .wait_until(async || send(&setup, host, "/read/s", "", 0).await.status == 200)
            .await;
    }
    setup.first.set_deadly_path(DEADLY);
    setup.second.set_deadly_path(DEADLY);
    for number in 1..=5 {
        send(&setup, hosts[number % 2], DEADLY, "same", number).await;
        tokio::time::sleep(PAUSE).await;
    }
    let crashes = setup.first.crashes() + setup.second.crashes();
    assert!((3..=MOST_CRASHES).contains(&crashes), "{crashes} crashes");
    for number in 10..16 {
        let host = hosts[number % 2];
        let deadly = send(&setup, host, DEADLY, "same", number).await;
        assert_eq!(deadly.status, 503);
        let retry_after = deadly.headers["retry-after"].to_str().unwrap();
        assert!(retry_after.parse::<f64>().unwrap() > 1.0, "{retry_after}");
        assert_eq!(send(&setup, host, "/read/s", "", number).await.status, 200);
        assert_eq!(send(&setup, host, "/order/s", "", number).await.status, 200);
    }
    assert_eq!(setup.first.crashes() + setup.second.crashes(), crashes);
}
