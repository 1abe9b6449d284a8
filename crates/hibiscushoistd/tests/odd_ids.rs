//! Checks that an entry of the list with the id of another upstream misleads no host.

mod routed_upstream;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use routed_upstream::Upstream;
use routed_upstream::setup::SHORT_LIFETIME;
use routed_upstream::setup::Setup;

fn page_of(entries: &[Value]) -> String {
    json!({"instances": entries, "next": null}).to_string()
}

// An entry with the id of an upstream but another address must not take its requests, or have it
// ejected.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_the_id_of_an_upstream_takes_none_of_its_requests() {
    let first = Upstream::start("i-1", "desk").await;
    let second = Upstream::start("i-2", "desk").await;
    let mut entry = first.list_entry();
    entry["born"] = json!(1_700_000_000_000_u64);
    let page = Arc::new(Mutex::new(page_of(&[entry.clone()])));
    let shown = page.clone();
    let list = routed_upstream::start_page(move || shown.lock().unwrap().clone());
    let setup = Setup::with_list(SHORT_LIFETIME, "", list.await, first, second).await;
    setup.apply_table().await;
    for (born, leads) in [
        (json!(0), true),
        (json!(u64::MAX), false),
        (json!(null), true),
    ] {
        let mut odd = entry.clone();
        odd["address"] = json!("127.0.0.1:1");
        odd["born"] = born.clone();
        *page.lock().unwrap() = match leads {
            false => page_of(&[entry.clone(), odd]),
            true => page_of(&[odd, entry.clone()]),
        };
        // The host reads the list and publishes it within this time.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for _ in 0..20 {
            let answer = setup.send("/read/a", "k1").await;
            assert_eq!(answer.status, 200, "born {born}");
        }
    }
}
