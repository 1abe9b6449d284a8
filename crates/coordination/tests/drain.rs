//! Tests of the end of a host.

use coordination::drain::Drain;
use coordination::drain::Effect;
use coordination::drain::Event;
use coordination::drain::Limits;
use coordination::drain::Outcome;
use state::time::Instant;

const LIFETIME: u64 = 10_000;
const LIMIT: u64 = 60_000;
const SPREAD: u64 = 500;
const CLOSE: u64 = SPREAD + LIFETIME;

const LIMITS: Limits = Limits {
    lifetime: LIFETIME,
    limit: LIMIT,
    spread: SPREAD,
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
        (CLOSE - 1, tick(0)),
        (CLOSE, tick(2)),
        (CLOSE + 1, tick(1)),
        (CLOSE + 2, tick(0)),
        (CLOSE + 3, tick(0)),
    ];
    let expected = [
        (0, Effect::Announce),
        (CLOSE, Effect::Close),
        (CLOSE + 2, Effect::End(Outcome::Clean)),
    ];
    assert_eq!(effects(&steps), expected);
}

#[test]
fn the_limit_ends_a_drain_that_does_not_finish() {
    let steps = [
        (0, Event::Signal),
        (CLOSE, tick(1)),
        (CLOSE + LIMIT - 1, tick(1)),
        (CLOSE + LIMIT, tick(1)),
        (CLOSE + LIMIT + 1, Event::Signal),
    ];
    let expected = [
        (0, Effect::Announce),
        (CLOSE, Effect::Close),
        (CLOSE + LIMIT, Effect::End(Outcome::LimitPassed)),
    ];
    assert_eq!(effects(&steps), expected);
}

#[test]
fn an_answer_that_may_be_cut_is_not_begun_once_no_host_names_this_one() {
    let rest = CLOSE + LIMIT - SPREAD;
    assert!(LIMITS.takes(0, rest * 2), "others still name this host");
    assert!(LIMITS.takes(SPREAD, rest * 2));
    assert!(LIMITS.takes(SPREAD + 1, rest - 1));
    assert!(!LIMITS.takes(SPREAD + 1, rest));
    assert!(LIMITS.takes(CLOSE, LIMIT));
    assert!(!LIMITS.takes(CLOSE, LIMIT + 1));
}

#[test]
fn a_second_signal_ends_at_once() {
    let early = [(0, Event::Signal), (5, Event::Signal)];
    let late = [
        (0, Event::Signal),
        (CLOSE, tick(1)),
        (CLOSE + 5, Event::Signal),
    ];
    let forced = Effect::End(Outcome::Forced);
    assert_eq!(effects(&early), [(0, Effect::Announce), (5, forced)]);
    assert_eq!(
        effects(&late),
        [
            (0, Effect::Announce),
            (CLOSE, Effect::Close),
            (CLOSE + 5, forced)
        ]
    );
}
