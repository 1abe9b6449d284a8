//! Tests of the end of a host.

use coordination::drain::Drain;
use coordination::drain::Effect;
use coordination::drain::Event;
use coordination::drain::Limits;
use coordination::drain::Outcome;
use state::time::Instant;

const LIFETIME: u64 = 10_000;
const LIMIT: u64 = 60_000;

fn drain() -> Drain {
    Drain::new(Limits {
        lifetime: LIFETIME,
        limit: LIMIT,
    })
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
fn the_listener_stays_open_for_the_lifetime_of_addresses() {
    let steps = [
        (0, Event::Signal),
        (1, tick(0)),
        (LIFETIME - 1, tick(0)),
        (LIFETIME, tick(2)),
        (LIFETIME + 1, tick(1)),
        (LIFETIME + 2, tick(0)),
        (LIFETIME + 3, tick(0)),
    ];
    let expected = [
        (0, Effect::Announce),
        (LIFETIME, Effect::Close),
        (LIFETIME + 2, Effect::End(Outcome::Clean)),
    ];
    assert_eq!(effects(&steps), expected);
}

#[test]
fn the_limit_ends_a_drain_that_does_not_finish() {
    let steps = [
        (0, Event::Signal),
        (LIFETIME, tick(1)),
        (LIFETIME + LIMIT - 1, tick(1)),
        (LIFETIME + LIMIT, tick(1)),
        (LIFETIME + LIMIT + 1, Event::Signal),
    ];
    let expected = [
        (0, Effect::Announce),
        (LIFETIME, Effect::Close),
        (LIFETIME + LIMIT, Effect::End(Outcome::LimitPassed)),
    ];
    assert_eq!(effects(&steps), expected);
}

#[test]
fn a_second_signal_ends_at_once() {
    let early = [(0, Event::Signal), (5, Event::Signal)];
    let late = [
        (0, Event::Signal),
        (LIFETIME, tick(1)),
        (LIFETIME + 5, Event::Signal),
    ];
    let forced = Effect::End(Outcome::Forced);
    assert_eq!(effects(&early), [(0, Effect::Announce), (5, forced)]);
    assert_eq!(
        effects(&late),
        [
            (0, Effect::Announce),
            (LIFETIME, Effect::Close),
            (LIFETIME + 5, forced)
        ]
    );
}
