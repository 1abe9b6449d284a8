//! Tests of the graceful shutdown of a host.

use coordination::drain::Drain;
use coordination::drain::Effect;
use coordination::drain::Event;
use coordination::drain::Limits;
use coordination::drain::Outcome;
use state::time::Instant;

const ADDRESS_LIFETIME_MS: u64 = 10_000;
const DRAIN_LIMIT_MS: u64 = 60_000;
const PROPAGATION_MS: u64 = 500;
const CLOSE_MS: u64 = PROPAGATION_MS + ADDRESS_LIFETIME_MS;

const LIMITS: Limits = Limits {
    address_lifetime_ms: ADDRESS_LIFETIME_MS,
    drain_limit_ms: DRAIN_LIMIT_MS,
    propagation_ms: PROPAGATION_MS,
};

fn drain() -> Drain {
    Drain::new(LIMITS)
}

fn effects(steps: &[(u64, Event)]) -> Vec<(u64, Effect)> {
    let mut drain = drain();
    let step = |(at, event): &(u64, Event)| Some((*at, drain.step(Instant(*at), *event)?));
    steps.iter().filter_map(step).collect()
}

fn tick(in_flight: u64) -> Event {
    Event::Tick { in_flight }
}

#[test]
fn a_host_without_a_signal_keeps_serving() {
    assert_eq!(effects(&[(0, tick(0)), (100_000, tick(5))]), []);
}

#[test]
fn the_listener_stays_open_until_no_caller_may_use_the_address() {
    let steps = [
        (0, Event::Signal),
        (1, tick(0)),
        (CLOSE_MS - 1, tick(0)),
        (CLOSE_MS, tick(2)),
        (CLOSE_MS + 1, tick(1)),
        (CLOSE_MS + 2, tick(0)),
        (CLOSE_MS + 3, tick(0)),
    ];
    let expected = [
        (0, Effect::Announce),
        (CLOSE_MS, Effect::Close),
        (CLOSE_MS + 2, Effect::End(Outcome::Clean)),
    ];
    assert_eq!(effects(&steps), expected);
}

#[test]
fn the_drain_limit_ends_a_drain_whose_requests_do_not_end() {
    let steps = [
        (0, Event::Signal),
        (CLOSE_MS, tick(1)),
        (CLOSE_MS + DRAIN_LIMIT_MS - 1, tick(1)),
        (CLOSE_MS + DRAIN_LIMIT_MS, tick(1)),
        (CLOSE_MS + DRAIN_LIMIT_MS + 1, Event::Signal),
    ];
    let expected = [
        (0, Effect::Announce),
        (CLOSE_MS, Effect::Close),
        (CLOSE_MS + DRAIN_LIMIT_MS, Effect::End(Outcome::LimitPassed)),
    ];
    assert_eq!(effects(&steps), expected);
}

// Such a request would still be running when the drain limit passes.
#[test]
fn a_request_that_may_be_cut_off_is_refused_once_no_host_lists_this_one() {
    let remaining_ms = CLOSE_MS + DRAIN_LIMIT_MS - PROPAGATION_MS;
    assert!(
        LIMITS.accepts(0, remaining_ms * 2),
        "others still list this host"
    );
    assert!(LIMITS.accepts(PROPAGATION_MS, remaining_ms * 2));
    assert!(LIMITS.accepts(PROPAGATION_MS + 1, remaining_ms - 1));
    assert!(!LIMITS.accepts(PROPAGATION_MS + 1, remaining_ms));
    assert!(LIMITS.accepts(CLOSE_MS, DRAIN_LIMIT_MS));
    assert!(!LIMITS.accepts(CLOSE_MS, DRAIN_LIMIT_MS + 1));
}

#[test]
fn a_second_signal_ends_the_drain_at_once() {
    let while_listed = [(0, Event::Signal), (5, Event::Signal)];
    let while_closing = [
        (0, Event::Signal),
        (CLOSE_MS, tick(1)),
        (CLOSE_MS + 5, Event::Signal),
    ];
    let forced = Effect::End(Outcome::Forced);
    assert_eq!(effects(&while_listed), [(0, Effect::Announce), (5, forced)]);
    assert_eq!(
        effects(&while_closing),
        [
            (0, Effect::Announce),
            (CLOSE_MS, Effect::Close),
            (CLOSE_MS + 5, forced)
        ]
    );
}
