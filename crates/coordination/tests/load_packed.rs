//! Tests of the encoding of loads for hosts.

use std::sync::Arc;

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use coordination::upstream_load::LoadSums;
use coordination::upstream_load::UpstreamLoad;

fn sent(load: UpstreamLoad) -> UpstreamLoad {
    let sums = LoadSums {
        loads: Arc::new(vec![load]),
        ..LoadSums::default()
    };
    let bytes = postcard::to_stdvec(&sums).unwrap();
    let received: LoadSums = postcard::from_bytes(&bytes).unwrap();
    received.loads[0]
}

proptest! {
    /// An upstream that seems to have more free memory than it has would be sent too much, and one
    /// that seems to have responded later than it did would be waited for too long.
    #[test]
    fn memory_and_age_are_never_understated(
        age_ms in proptest::option::of(0..100_000_u64),
        long_prompt_tokens in 0..10_000_000_u64,
        pending_prefill_tokens in 0..10_000_000_u64,
        running in any::<u32>(),
    ) {
        let load = UpstreamLoad {
            last_byte_age_ms: age_ms,
            long_prompt_tokens,
            pending_prefill_tokens,
            running,
        };
        let sent = sent(load);
        prop_assert!(sent.running == running);
        let long_prompt = long_prompt_tokens..long_prompt_tokens + 256;
        prop_assert!(long_prompt.contains(&sent.long_prompt_tokens));
        prop_assert!(sent.pending_prefill_tokens.abs_diff(pending_prefill_tokens) <= 128);
        prop_assert!(sent.last_byte_age_ms.is_some() == age_ms.is_some());
        if let Some((sent, age_ms)) = sent.last_byte_age_ms.zip(age_ms) {
            prop_assert!((age_ms..age_ms + 16).contains(&sent));
        }
    }
}

#[test]
fn an_idle_upstream_that_never_sent_a_byte_stays_unknown() {
    assert_eq!(sent(UpstreamLoad::default()), UpstreamLoad::default());
}

/// Some hundred hosts get the loads of some hundred upstreams several times a second.
#[test]
fn the_load_of_a_busy_upstream_takes_five_bytes() {
    let load = UpstreamLoad {
        last_byte_age_ms: Some(400),
        long_prompt_tokens: 51_060,
        pending_prefill_tokens: 20_740,
        running: 27,
    };
    let loads = LoadSums {
        loads: Arc::new(vec![load; 300]),
        ..LoadSums::default()
    };
    let bytes = postcard::to_stdvec(&loads).unwrap();
    assert!(bytes.len() <= 5 * 300 + 10, "{} bytes", bytes.len());
}
