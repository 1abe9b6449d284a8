//! Checks that absurd numbers of callers and operators cost a host nothing.

mod routed_upstream;

use hyper::header::HeaderValue;
use serde_json::json;

use routed_upstream::setup::Setup;
use routed_upstream::setup::configuration;

// An overflow would end the task of the connection, or place a request by a wrapped number.
#[tokio::test(flavor = "multi_thread")]
async fn absurd_numbers_in_headers_get_an_answer() {
    let setup = Setup::start_ready("engines").await;
    let max = u64::MAX;
    let values = [
        ("x-token-usage", format!("{max},{max}")),
        ("x-token-usage", format!("{max},0")),
        ("x-token-usage", format!("0,{max}")),
        ("x-token-usage", "1e999,-1".to_owned()),
        ("x-prompt-prefix", format!("aa:{max},bb:{max}")),
        ("x-prompt-prefix", format!("aa:{max}9,bb:-1,cc,:,,")),
        ("x-deadline-ms", max.to_string()),
        ("last-event-id", (max / 2).to_string()),
        ("x-length-hint", max.to_string()),
    ];
    for path in ["/stream/a", "/once/a"] {
        for (name, value) in &values {
            let mut request = setup.request(path, "k1");
            let value = HeaderValue::from_str(value).unwrap();
            request.headers_mut().insert(*name, value);
            let answer = setup.call(request).await;
            assert!(
                [200, 503].contains(&answer.status),
                "{name} {}",
                answer.status
            );
        }
        assert_eq!(setup.send(path, "k1").await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn absurd_numbers_in_a_table_are_refused_or_served() {
    let setup = Setup::start_ready("engines").await;
    let fields = [
        "timeout_ms",
        "latency_goal_ms",
        "priority",
        "max_attempts",
        "gap_target_ms",
    ];
    let mut version = 1;
    for field in fields {
        for number in [json!(1e300), json!(u64::MAX), json!(-1), json!(0.4)] {
            version += 1;
            let mut table = configuration(version, "k1");
            for route in table["routes"].as_array_mut().unwrap() {
                route[field] = number.clone();
            }
            let answer = setup.replace(&table).await;
            assert!([200, 400].contains(&answer.status), "{field} {number}");
            let answer = setup.send("/stream/a", "k1").await;
            assert_eq!(answer.status, 200, "{field} {number}");
        }
    }
    for number in [json!(1e300), json!(u64::MAX), json!(-1), json!(0.4)] {
        version += 1;
        let mut table = configuration(version, "k1");
        table["services"][0]["max_conns"] = number.clone();
        table["services"][1]["max_conns"] = number.clone();
        table["services"][1]["engine"]["kv_capacity_tokens"] = number.clone();
        assert_eq!(setup.replace(&table).await.status, 200, "{number}");
        let answer = setup.send("/stream/a", "k1").await;
        assert_eq!(answer.status, 200, "{number}");
    }
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for odd in [nested.as_str(), "1e999", "\"\\ud800\""] {
        let table = configuration(version + 1, "k1").to_string();
        let table = table.replacen("\"limits\":{}", &format!("\"limits\":{odd}"), 1);
        assert!(table.contains(&odd[..5]));
        // Fields that are not used are not read.
        assert_eq!(setup.control("config/replace", table).await.status, 200);
        let table = configuration(version + 2, "k1").to_string();
        let table = table.replacen("\"engine\":{}", &format!("\"engine\":{odd}"), 1);
        assert_eq!(setup.control("config/replace", table).await.status, 400);
        version += 1;
    }
    assert_eq!(setup.send("/stream/a", "k1").await.status, 200);
}
