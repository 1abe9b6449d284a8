//! Tests of when callers retry that are refused because there is no leader.

use coordination::outage::Outage;
use state::time::Instant;

/// Longest outage after all processes were killed, in milliseconds from the start of a host: voters
/// that start 200 ms later, an election timeout of at most 1,200 ms and a round of requests.
const RESTART_OUTAGE_MS: u64 = 1_500;

/// Returns the number of callers that retry before an outage of this length ends, if one caller is
/// refused in each tenth of a second.
fn early_retries(length_ms: u64) -> usize {
    let outage = Outage::new(Instant(0));
    let refused = (0..length_ms).step_by(100);
    let early = refused.filter(|at| {
        let after = outage.retry_after_ms(Instant(*at), *at * 7);
        at + after < length_ms
    });
    early.count()
}

#[test]
fn no_caller_retries_before_a_typical_outage_ends() {
    assert_eq!(early_retries(RESTART_OUTAGE_MS), 0);
}

#[test]
fn few_callers_retry_before_a_long_outage_ends() {
    let refusals = 80;
    assert!(early_retries(refusals * 100) <= 50);
}

#[test]
fn retries_are_spread_and_within_bounds() {
    let outage = Outage::new(Instant(0));
    let times: Vec<u64> = (0..100)
        .map(|random| outage.retry_after_ms(Instant(0), random * 31))
        .collect();
    let (first, last) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(last - first >= 400, "{first} to {last}");
    for at in [0, 1_000, 2_199, 2_200, 60_000] {
        let after = outage.retry_after_ms(Instant(at), 3);
        assert!((400..=10_000).contains(&after), "{at}: {after}");
    }
}
