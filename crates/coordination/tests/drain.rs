//! Tests of the end of a host.

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
fn a_host_that_was_not_asked_to_end_serves_on() {
    assert_eq!(effects(&[(0, tick(0)), (100_000, tick(5))]), []);
}

#[test]
fn the_listener_stays_open_until_no_caller_holds_the_address() {
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
fn the_limit_ends_a_drain_that_does_not_finish() {
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

#[test]
fn an_answer_that_may_be_cut_is_not_begun_once_no_host_names_this_one() {
    let rest = CLOSE_MS + DRAIN_LIMIT_MS - PROPAGATION_MS;
    assert!(LIMITS.accepts(0, rest * 2), "others still name this host");
    assert!(LIMITS.accepts(PROPAGATION_MS, rest * 2));
    assert!(LIMITS.accepts(PROPAGATION_MS + 1, rest - 1));
    assert!(!LIMITS.accepts(PROPAGATION_MS + 1, rest));
    assert!(LIMITS.accepts(CLOSE_MS, DRAIN_LIMIT_MS));
    assert!(!LIMITS.accepts(CLOSE_MS, DRAIN_LIMIT_MS + 1));
}

#[test]
fn a_second_signal_ends_at_once() {
    let early = [(0, Event::Signal), (5, Event::Signal)];
    let late = [
        (0, Event::Signal),
        (CLOSE_MS, tick(1)),
        (CLOSE_MS + 5, Event::Signal),
    ];
    let forced = Effect::End(Outcome::Forced);
    assert_eq!(effects(&early), [(0, Effect::Announce), (5, forced)]);
    assert_eq!(
        effects(&late),
        [
            (0, Effect::Announce),
            (CLOSE_MS, Effect::Close),
            (CLOSE_MS + 5, forced)
        ]
    );
}
