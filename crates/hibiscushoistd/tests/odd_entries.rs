//! Checks that a host follows a list of upstreams in which another writer has left an entry.

mod routed_upstream;

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use routed_upstream::Upstream;
use routed_upstream::setup::SHORT_LIFETIME;
use routed_upstream::setup::Setup;

/// Returns the value of the gauge of malformed entries, which the leading host exports.
async fn malformed_entries(setup: &Setup) -> Option<u64> {
    let metrics = Request::get(format!("http://{}/metrics", setup.status));
    let metrics = setup.call(metrics.body(Full::default()).unwrap()).await;
    let text = String::from_utf8(metrics.body.unwrap().to_vec()).unwrap();
    let name = "hibiscushoist_list_malformed_entries ";
    let value = text.lines().find_map(|line| line.strip_prefix(name))?;
    value.parse().ok()
}

// A host that gives up a whole page for one entry learns of no new upstream any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_follows_a_list_with_an_odd_entry() {
    let first = Upstream::start("i-1", "desk").await;
    let second = Upstream::start("i-2", "desk").await;
    let entries = Arc::new(Mutex::new(vec![first.list_entry().to_string()]));
    let shown = entries.clone();
    let list = routed_upstream::start_page(move || {
        let entries = shown.lock().unwrap().join(",");
        format!(r#"{{"instances":[{entries}],"next":null}}"#)
    });
    let setup = Setup::with_list(SHORT_LIFETIME, "", list.await, first, second).await;
    setup.apply_table().await;
    let port = r#"{"id":"i-9","service":"desk","address":"127.0.0.1:70000","zone":"one",
        "state":"ready"}"#;
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for odd in [&nested, "1e999", port, r#"{"id":"i-9,"zone":"one"}"#] {
        let (first, second) = (setup.first.list_entry(), setup.second.list_entry());
        for (entry, expected) in [(second, &setup.second), (first, &setup.first)] {
            *entries.lock().unwrap() = vec![odd.to_owned(), entry.to_string()];
            setup
                .wait_until(async || {
                    let answer = setup.send("/read/a", "k1").await;
                    let body = Bytes::from(format!("answer of {}", expected.id));
                    answer.body == Ok(body)
                })
                .await;
        }
        assert_eq!(malformed_entries(&setup).await, Some(1), "{odd:.40}");
    }
}
