//! When callers that are refused for want of a leader return, under the outages that occur.

use coordination::outage::Outage;
use state::time::Instant;

/// Gives the longest outage after all processes were killed, in milliseconds, from the start of a
/// host: voters that start 200 ms later, an election timeout of at most 1,200 ms, a round of asks.
const HERD_MS: u64 = 1_500;

/// Returns how many of the callers that are refused in each tenth of a second of an outage return
/// before it ends.
fn too_early(length_ms: u64) -> usize {
    let outage = Outage::new(Instant(0));
    let refused = (0..length_ms).step_by(100);
    let early = refused.filter(|at| {
        let after = outage.retry_after_ms(Instant(*at), *at * 7);
        at + after < length_ms
    });
    early.count()
}

#[test]
fn nobody_returns_before_a_usual_outage_ends() {
    assert_eq!(too_early(HERD_MS), 0);
}

#[test]
fn few_return_before_a_long_outage_ends() {
    let refusals = 80;
    assert!(too_early(refusals * 100) <= 50);
}

#[test]
fn callers_return_spread_and_within_bounds() {
    let outage = Outage::new(Instant(0));
    let times: Vec<u64> = (0..100)
        .map(|draw| outage.retry_after_ms(Instant(0), draw * 31))
        .collect();
    let (first, last) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(last - first >= 400, "{first} to {last}");
    for at in [0, 1_000, 2_199, 2_200, 60_000] {
        let after = outage.retry_after_ms(Instant(at), 3);
        assert!((400..=10_000).contains(&after), "{at}: {after}");
    }
}
