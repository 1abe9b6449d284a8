//! Allotments of workspaces over several hosts, one of which leads.

mod routed_upstream;

use std::net::SocketAddr;
use std::time::Instant;

use hyper::Request;
use serde_json::json;

use crate::routed_upstream::setup::Answer;
use crate::routed_upstream::setup::Setup;
use crate::routed_upstream::setup::configuration;

/// Slow enough for callers to pass it on a busy machine.
const RATE: u64 = 2;
const BURST: u64 = 5;
const LIMIT_S: u64 = 30;
const PATH: &str = "/read/limited";

/// Sends a request to the host under test, or to the host at this address.
async fn send(setup: &Setup, address: SocketAddr) -> Answer {
    let (mut head, body) = setup.request(PATH, "k1").into_parts();
    head.uri = format!("http://{address}{PATH}").parse().unwrap();
    setup.call(Request::from_parts(head, body)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_allotment_holds_over_several_hosts_and_each_of_them_serves() {
    let setup = Setup::start_ready("desk").await;
    let (other, address) = setup.start_another("c").await;
    setup
        .wait_until(async || send(&setup, address).await.status == 200)
        .await;
    let mut limited = configuration(2, "k1");
    limited["tenants"][0]["per_s"] = json!(RATE);
    limited["tenants"][0]["burst"] = json!(BURST);
    assert_eq!(setup.replace(&limited).await.status, 200);
    let hosts = [setup.routed, address];
    for host in hosts {
        setup
            .wait_until(async || send(&setup, host).await.status == 429)
            .await;
    }

    let before = setup.arrivals(PATH) as u64;
    let began = Instant::now();
    let mut served = [0, 0];
    let has_starved = |served: &[u64]| served.contains(&0) && began.elapsed().as_secs() < LIMIT_S;
    while began.elapsed().as_secs() < 3 || has_starved(&served) {
        for (host, served) in hosts.into_iter().zip(&mut served) {
            let answer = send(&setup, host).await;
            match answer.status {
                200 => *served += 1,
                429 => assert!(answer.headers.contains_key("retry-after")),
                status => panic!("status {status}"),
            }
        }
    }
    let ran = setup.arrivals(PATH) as u64 - before;
    let most = BURST + RATE * (began.elapsed().as_secs() + 1);
    assert_eq!(ran, served.iter().sum::<u64>());
    assert!(ran <= most, "{ran} of {most} ran");
    assert!(served.iter().all(|served| *served > 0), "{served:?}");
    drop(other);
}
