//! Routed requests to engines whose weights are replaced, through a real daemon.

mod routed_upstream;

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::routed_upstream::Mode;
use crate::routed_upstream::setup::SHORT_LIFETIME;
use crate::routed_upstream::setup::Setup;

/// Time after which no request may begin on replaced weights; less than the deadline of a request.
const LIMIT: Duration = Duration::from_secs(5);

/// A request that waits at a slow engine must not begin there once its weights have expired.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_not_begun_is_cancelled_before_its_weights_expire() {
    let limit = format!("weights_limit_ms = {}\n", LIMIT.as_millis());
    let setup = Setup::with_settings("engines", SHORT_LIFETIME, &limit).await;
    setup.apply_table().await;
    setup.set_both(Mode::Hanging);
    let name = async {
        setup
            .wait_until(async || setup.arrivals("/once/x") == 1)
            .await;
        let named_at = Instant::now();
        let named = json!({"model": "m", "version": 2}).to_string();
        assert_eq!(setup.control("version-put", named).await.status, 200);
        named_at
    };
    let send = async {
        let answer = setup.send("/once/x", "k1").await;
        (answer.status, Instant::now())
    };
    let ((status, answered_at), named_at) = tokio::join!(send, name);
    assert_eq!(status, 502);
    let took = answered_at.duration_since(named_at);
    assert!(took < LIMIT, "{took:?}");
    setup
        .wait_until(async || setup.first.cancelled() + setup.second.cancelled() == 1)
        .await;
}
