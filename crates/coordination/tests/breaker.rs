//! Tests of ejection, probes and the limit on the ejected share.

use coordination::breaker::CircuitBreaker;
use coordination::breaker::Policy;
use coordination::breaker::State;
use state::time::Instant;

const NOW: Instant = Instant(1_000);

fn breaker(count: usize) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::new(Policy::default(), 7);
    breaker.sync((0..count).map(|i| format!("u{i}")));
    breaker
}

fn fail(breaker: &mut CircuitBreaker, upstream: &str, times: usize) -> bool {
    (0..times).any(|_| breaker.record_failure(NOW, upstream))
}

fn ejected_until(breaker: &CircuitBreaker, now: Instant, upstream: &str) -> Instant {
    match breaker.state(now, upstream) {
        State::Open(ejected_until) => ejected_until,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_upstream_is_ejected_at_its_third_failure_in_a_row() {
    let mut breaker = breaker(4);
    assert!(!fail(&mut breaker, "u0", 2));
    breaker.record_success("u0");
    assert!(!fail(&mut breaker, "u0", 2));
    assert!(fail(&mut breaker, "u0", 1));
    let ejected_until = ejected_until(&breaker, NOW, "u0");
    assert!(
        (250..=500).contains(&ejected_until.since(NOW)),
        "{ejected_until:?}"
    );
}

#[test]
fn one_probe_at_a_time_decides_whether_an_ejection_ends() {
    let mut breaker = breaker(4);
    fail(&mut breaker, "u0", 3);
    let later = ejected_until(&breaker, NOW, "u0");
    assert_eq!(breaker.admit(later, "u0"), State::Probe);
    assert_eq!(breaker.admit(later, "u0"), State::Open(later + 5_000));
    breaker.record_success("u0");
    assert_eq!(breaker.admit(later, "u0"), State::Closed);
}

#[test]
fn a_probe_without_an_outcome_is_followed_by_another() {
    let mut breaker = breaker(4);
    fail(&mut breaker, "u0", 3);
    let later = ejected_until(&breaker, NOW, "u0");
    breaker.admit(later, "u0");
    assert_eq!(breaker.admit(later + 5_000, "u0"), State::Probe);
}

#[test]
fn a_failed_probe_doubles_the_ejection() {
    let mut breaker = breaker(4);
    fail(&mut breaker, "u0", 3);
    let later = ejected_until(&breaker, NOW, "u0");
    breaker.admit(later, "u0");
    assert!(breaker.record_failure(later, "u0"));
    let again = ejected_until(&breaker, later, "u0");
    assert!((500..=1_000).contains(&again.since(later)), "{again:?}");
}

#[test]
fn failures_of_requests_sent_before_do_not_prolong_an_ejection() {
    let mut breaker = breaker(4);
    fail(&mut breaker, "u0", 3);
    let first = ejected_until(&breaker, NOW, "u0");
    fail(&mut breaker, "u0", 10);
    assert_eq!(ejected_until(&breaker, NOW, "u0"), first);
}

#[test]
fn no_more_than_the_allowed_share_is_ejected() {
    for (count, limit) in [(1, 0), (2, 1), (3, 1), (9, 4)] {
        let mut breaker = breaker(count);
        for i in 0..count {
            fail(&mut breaker, &format!("u{i}"), 5);
        }
        assert_eq!(breaker.ejected(), limit, "of {count}");
    }
}

#[test]
fn an_upstream_that_left_the_table_is_no_longer_counted() {
    let mut breaker = breaker(4);
    fail(&mut breaker, "u0", 3);
    breaker.sync(["u1".to_owned(), "u2".to_owned()]);
    assert_eq!(breaker.ejected(), 0);
}
