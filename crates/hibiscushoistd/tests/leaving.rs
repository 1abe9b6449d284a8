//! Checks that an upstream which the platform lists as leaving gets no new work.

mod support;

use std::net::IpAddr;
use std::time::Duration;

use serde_json::json;
use tokio::time::timeout;

use fakes::engine::Options;
use fakes::platform::Platform;
use fakes::service::Service;
use protocol::platform::Standing;
use support::Bench;
use support::MAPS_KEY;
use support::Response;
use support::Test;

/// Limit of the time until a change of the list, which is read twice a second, is in force.
const FOLLOW_LIMIT: Duration = Duration::from_secs(15);
const OUTER_LIMIT: Duration = Duration::from_secs(60);
const PATH: &str = "/v1/completions";
const TOKENS: u64 = 400;

fn host(last: u8) -> IpAddr {
    [127, 0, 8, last].into()
}

async fn bench() -> (Bench, Platform) {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    platform.set_lag(Duration::from_millis(300));
    let mut test = Test::new().platform(platform.address());
    for last in [1, 2] {
        platform.set_host(host(last), Some(Standing::Live));
        test = test.engine(Options {
            address: (host(last), 0).into(),
            ..Options::default()
        });
    }
    let bench = test.start().await;
    timeout(OUTER_LIMIT, bench.ready())
        .await
        .expect("the engines are known");
    (bench, platform)
}

async fn post(bench: &Bench, number: u64, tokens: u64) -> Response {
    let prompt = format!("cove {number}");
    let ask = json!({"max_tokens": tokens, "model": "m", "prompt": prompt, "stream": true});
    bench.post(PATH, MAPS_KEY, &[], &ask).await
}

/// Sends requests until `calm` in a row left the first engine alone.
async fn until_unused(bench: &Bench, calm: usize) {
    let mut row = 0;
    while row < calm {
        let before = bench.engines[0].counts().started_prompts;
        let posts = (0..8).map(|number| post(bench, number, 2));
        futures::future::join_all(posts).await;
        let unused = bench.engines[0].counts().started_prompts == before;
        row = if unused { row + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_leaving_engine_ends_its_streams_and_gets_no_new_ones() {
    let (bench, platform) = bench().await;
    let streams = (0..8).map(|number| post(&bench, number, TOKENS));
    let leave = async {
        while bench.engines[0].counts().started_prompts == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        platform.set_host(host(1), Some(Standing::Leaving));
        until_unused(&bench, 20).await;
    };
    let both = async { tokio::join!(futures::future::join_all(streams), leave) };
    let (streams, ()) = timeout(OUTER_LIMIT, both)
        .await
        .expect("the engine is left alone");
    for (number, response) in streams.iter().enumerate() {
        let whole = bench.engines[0].text(&format!("cove {number}"), 0, TOKENS);
        assert_eq!(response.streamed(), (whole, true));
    }
    platform.set_host(host(1), Some(Standing::Live));
    let used = bench.engines[0].counts().started_prompts;
    let back = async {
        while bench.engines[0].counts().started_prompts == used {
            futures::future::join_all((0..8).map(|number| post(&bench, number, 2))).await;
        }
    };
    timeout(OUTER_LIMIT, back)
        .await
        .expect("the engine is used again");
}

#[tokio::test]
async fn a_leaving_service_gets_no_new_calls() {
    let (bench, platform) = bench().await;
    let service = Service::start((host(3), 0).into()).await.unwrap();
    let cells = json!({
        "address": service.address().to_string(),
        "service": "booking",
        "type": "service",
    });
    bench.add("upstreams", "s1", cells).await;
    platform.set_host(host(3), Some(Standing::Leaving));
    let refused = async {
        loop {
            let response = bench.get("/v1/services/booking/free", MAPS_KEY).await;
            if response.status != 200 {
                break response;
            }
        }
    };
    let refused = timeout(OUTER_LIMIT, refused)
        .await
        .expect("it gets no calls");
    assert_eq!(refused.json()["error"]["reason"], "no_upstream");
    assert_eq!(refused.json()["error"]["not_run"], "true");
}

// A host that gives up the whole list for one odd entry sends work to upstreams that leave, and one
// that takes a malformed entry for a missing one stops using an upstream that runs.
#[tokio::test]
async fn an_odd_entry_hides_neither_a_leaving_service_nor_a_live_engine() {
    let (bench, platform) = bench().await;
    let service = Service::start((host(3), 0).into()).await.unwrap();
    let cells = json!({
        "address": service.address().to_string(),
        "service": "booking",
        "type": "service",
    });
    bench.add("upstreams", "s1", cells).await;
    let get = async || bench.get("/v1/services/booking/free", MAPS_KEY).await;
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let own = format!(r#"{{"address":"{}","standing":"odd"}}"#, host(1));
    platform.set_lag(Duration::ZERO);
    for odd in [
        nested.as_bytes(),
        b"1e999",
        b"\"\xff\"",
        b"{]",
        own.as_bytes(),
    ] {
        platform.set_odd_entry(odd);
        for (standing, status) in [(Standing::Leaving, 503), (Standing::Live, 200)] {
            platform.set_host(host(3), Some(standing));
            let follow = async { while get().await.status != status {} };
            let odd = String::from_utf8_lossy(&odd[..odd.len().min(60)]);
            let followed = timeout(FOLLOW_LIMIT, follow).await;
            assert!(followed.is_ok(), "{odd}: no answer {status}");
        }
    }
    platform.set_host(host(1), None);
    platform.set_host(host(3), Some(Standing::Leaving));
    let follow = async { while get().await.status != 503 {} };
    timeout(FOLLOW_LIMIT, follow)
        .await
        .expect("the list is read");
    // The engine's feed looks at the list every 50 ms.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let used = bench.engines[0].counts().started_prompts;
    let back = async {
        while bench.engines[0].counts().started_prompts == used {
            futures::future::join_all((0..8).map(|number| post(&bench, number, 2))).await;
        }
    };
    timeout(FOLLOW_LIMIT, back)
        .await
        .expect("the engine with the malformed entry is used");
}
