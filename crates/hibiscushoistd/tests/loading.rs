//! Checks that requests pass by an engine that loads weights, at little cost.

mod support;

use std::time::Duration;

use serde_json::json;
use tokio::time::timeout;

use fakes::engine::Options;
use protocol::engine::Action;
use protocol::engine::Order;
use support::MAPS_KEY;
use support::Test;
use transport::engine::Client;
use transport::upstream::Limits;

const OUTER_LIMIT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn an_engine_that_loads_weights_costs_no_request() {
    let slow = Options {
        load_time: Duration::from_secs(2),
        ..Options::default()
    };
    let test = Test::new().engine(slow).engine(Options::default());
    let bench = test.start().await;
    timeout(OUTER_LIMIT, bench.ready())
        .await
        .expect("the engines are known");
    let client = Client::new(bench.engines[0].address(), Limits::default());
    let order = Order {
        action: Action::Load {
            adapter: None,
            model: "m".to_owned(),
            version: "v1".to_owned(),
        },
        fence: 1,
        id: "o".to_owned(),
    };
    let loading = client.order(&order);
    let asking = async {
        let mut number = 0;
        loop {
            let asks = (0..20).map(|i| {
                let prompt = format!("cove {number} {i}");
                let ask = json!({"max_tokens": 2, "model": "m", "prompt": prompt});
                let bench = &bench;
                async move { bench.post("/v1/completions", MAPS_KEY, &[], &ask).await }
            });
            for response in futures::future::join_all(asks).await {
                assert_eq!(response.status, 200, "{:?}", response.body);
            }
            number += 1;
        }
    };
    let done = tokio::select! {
        done = loading => done,
        () = asking => unreachable!(),
    };
    assert_eq!(done.expect("the weights are loaded").version, "v1");
}
