//! Which connections yield when a crowd holds all places of an address.

use coordination::door::connections::Connection;
use coordination::door::connections::Event;
use coordination::door::connections::yielding;
use state::time::Instant;

/// Returns a connection that was opened at time 0, with one event at each of these times.
fn connection(events: &[(u64, Event)]) -> Connection {
    let mut connection = Connection::open(Instant(0));
    for (at, event) in events {
        connection.step(Instant(*at), *event);
    }
    connection
}

fn idle(since: u64) -> Connection {
    connection(&[
        (0, Event::Requested),
        (since, Event::Answered),
        (since, Event::Flushed),
    ])
}

/// Every kind of caller holds a place at once; a new one comes every moment.
#[test]
fn idle_connections_yield_before_slow_headers_and_slow_readers_and_the_longest_first() {
    let mut open = vec![
        (
            "reads nothing",
            connection(&[(0, Event::Requested), (1, Event::Blocked)]),
        ),
        ("speaks never", connection(&[])),
        ("runs", connection(&[(0, Event::Requested)])),
        ("idle", idle(900)),
        ("idle longer", idle(800)),
        ("just idle", idle(2_500)),
    ];
    let mut order = Vec::new();
    while let Some(name) = yielding(Instant(3_000), open.iter().copied()) {
        order.push(name);
        open.retain(|(other, _)| *other != name);
    }
    assert_eq!(
        order,
        ["idle longer", "idle", "speaks never", "reads nothing"]
    );
}

/// A caller sends thousands of requests ahead and reads no answer.
#[test]
fn a_reader_yields_if_it_is_slower_than_the_least_rate() {
    for (bytes, yields) in [(0, true), (4, true), (1 << 10, false), (1 << 20, false)] {
        let mut reader = connection(&[(0, Event::Requested), (0, Event::Blocked)]);
        for at in (0..60_000).step_by(250) {
            reader.step(Instant(at), Event::Sent(bytes));
            reader.step(Instant(at), Event::Answered);
            reader.step(Instant(at), Event::Requested);
            reader.step(Instant(at), Event::Blocked);
        }
        let chosen = yielding(Instant(60_000), [((), reader)]);
        assert_eq!(
            chosen.is_some(),
            yields,
            "{bytes} bytes four times a second"
        );
    }
}

/// An order runs longer than any header may take, and then its answer is sent at once.
#[test]
fn a_connection_never_yields_while_its_request_runs() {
    let mut busy = connection(&[(0, Event::Received), (1, Event::Requested)]);
    busy.step(Instant(2), Event::Received);
    busy.step(Instant(2), Event::Flushed);
    assert_eq!(busy.weakness(Instant(600_000)), None);
    busy.step(Instant(600_000), Event::Answered);
    busy.step(Instant(600_000), Event::Blocked);
    busy.step(Instant(600_001), Event::Sent(100));
    busy.step(Instant(600_001), Event::Flushed);
    assert_eq!(busy.weakness(Instant(602_000)), None, "only now idle");
    assert!(busy.weakness(Instant(602_001)).is_some());
    busy.step(Instant(602_002), Event::Received);
    busy.step(Instant(602_002), Event::Requested);
    assert_eq!(busy.weakness(Instant(700_000)), None);
}
