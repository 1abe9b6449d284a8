//! Which bodies yield when callers that stop short hold the bytes for all bodies.

use coordination::door::arrivals::Arrivals;
use state::time::Instant;

const SHARE_BYTES: usize = 512 << 10;

/// Eight callers stop short of the end of their bodies and hold all bytes; an ordinary one comes.
#[test]
fn a_body_that_stopped_yields_the_one_without_progress_for_longest_first() {
    let mut arrivals = Arrivals::default();
    let stalled: Vec<_> = (0..8).map(|at| arrivals.begin(Instant(at))).collect();
    for (at, id) in stalled.iter().enumerate().rev() {
        let at = Instant(100 - at as u64);
        arrivals.record(at, *id, SHARE_BYTES, SHARE_BYTES);
    }
    let ordinary = arrivals.begin(Instant(2_000));
    let yielding = arrivals.displace(Instant(2_000), ordinary, SHARE_BYTES + 1);
    assert_eq!(yielding, [stalled[7], stalled[6]]);
    let yielding = arrivals.displace(Instant(2_000), ordinary, 1);
    assert_eq!(yielding, [stalled[5]], "a body yields once");
}

/// A crowd that sends as fast as others must not push them out.
#[test]
fn a_body_that_arrives_steadily_never_yields() {
    let mut arrivals = Arrivals::default();
    let steady = arrivals.begin(Instant(0));
    for step in 1..100 {
        arrivals.record(Instant(step * 900), steady, 4 << 10, SHARE_BYTES);
        let other = arrivals.begin(Instant(step * 900));
        let now = Instant(step * 900 + 899);
        assert!(arrivals.displace(now, other, 1).is_empty());
        arrivals.end(other);
    }
}

/// A caller that sends a byte at a time holds its place only while there is room.
#[test]
fn a_body_that_trickles_yields() {
    let mut arrivals = Arrivals::default();
    let slow = arrivals.begin(Instant(0));
    for step in 1..100 {
        arrivals.record(Instant(step * 10), slow, 1, SHARE_BYTES);
    }
    let other = arrivals.begin(Instant(1_000));
    assert_eq!(arrivals.displace(Instant(1_000), other, 1), [slow]);
}

/// A caller whose body has not begun holds no bytes, so that its end would make no room.
#[test]
fn a_body_without_bytes_never_yields() {
    let mut arrivals = Arrivals::default();
    let empty = arrivals.begin(Instant(0));
    let stalled = arrivals.begin(Instant(1));
    arrivals.record(Instant(1), stalled, SHARE_BYTES, SHARE_BYTES);
    let other = arrivals.begin(Instant(5_000));
    let yielding = arrivals.displace(Instant(5_000), other, SHARE_BYTES);
    assert_eq!(yielding, [stalled]);
    assert_ne!(empty, stalled);
}

#[test]
fn nobody_yields_where_that_would_not_make_enough_room() {
    let mut arrivals = Arrivals::default();
    let stalled = arrivals.begin(Instant(0));
    arrivals.record(Instant(0), stalled, SHARE_BYTES, SHARE_BYTES);
    let other = arrivals.begin(Instant(5_000));
    let now = Instant(5_000);
    assert!(arrivals.displace(now, other, SHARE_BYTES + 1).is_empty());
    assert_eq!(arrivals.displace(now, other, SHARE_BYTES), [stalled]);
    assert!(arrivals.displace(Instant(9_000), other, 1).is_empty());
}
