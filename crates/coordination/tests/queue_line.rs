//! Tests of the line of long prompts at the leading host. The pattern it answers: a flash crowd on
//! long prompts, where more arrive than engines can begin.

mod upstream_fixtures;

use crate::upstream_fixtures::engines;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::queue::line::Line;
use coordination::queue::pace::Engines;
use coordination::queue::ticket::Ticket;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

const ENGINES: Engines = Engines {
    backlog_ms: 0,
    count: 4,
};

/// Returns the ticket of a request that is of no use once it is late.
fn ticket(rank: u32, arrived: u64) -> Ticket {
    let until = Instant(arrived + 1_000);
    Ticket {
        arrived: Instant(arrived),
        late_at: until,
        rank,
        until,
        work_ms: 300,
        ..Ticket::default()
    }
}

fn line(places: &[(u32, u64, &'static str)]) -> Line<&'static str> {
    let mut line = Line::default();
    for (rank, arrived, item) in places {
        let ticket = ticket(*rank, *arrived);
        line.push(ticket.clone(), ticket.until, *item).unwrap();
    }
    line
}

#[test]
fn urgent_prompts_come_first_and_then_the_newest() {
    let mut line = line(&[(2, 5, "c"), (0, 40, "b"), (2, 10, "x"), (0, 90, "a")]);
    let taken = line.serve(Instant(100), ENGINES, 1, |item, _| Some(*item));
    let order: Vec<&str> = taken.into_iter().map(|(_, item)| item).collect();
    assert_eq!(order, ["a", "b", "x", "c"]);
    assert!(line.is_empty());
}

/// A prompt that asks again must not overtake the newer ones that wait, whichever host asks at the
/// right moment.
#[test]
fn a_prompt_is_behind_newer_and_more_urgent_ones() {
    let line = line(&[(1, 50, "a")]);
    let is_behind = |rank, arrived| line.is_behind(Instant(99), &ticket(rank, arrived));
    assert!(is_behind(1, 49));
    assert!(is_behind(2, 99));
    assert!(!is_behind(1, 50));
    assert!(!is_behind(1, 51));
    assert!(!is_behind(0, 0));
    assert!(!Line::<()>::default().is_behind(Instant(99), &ticket(9, 99)));
}

#[test]
fn one_prompt_that_finds_no_room_does_not_block_the_others() {
    let mut line = line(&[(0, 9, "large"), (0, 3, "a"), (0, 2, "b")]);
    let taken = line.serve(Instant(100), ENGINES, 2, |item, _| {
        (*item != "large").then_some(())
    });
    assert_eq!(taken, [("a", ()), ("b", ())]);
    assert_eq!(line.len(), 1);
}

#[test]
fn a_blocked_queue_costs_a_look_at_its_head_only() {
    let mut line = Line::default();
    for arrived in 0..500 {
        line.push(ticket(0, arrived), Instant(9_000), arrived)
            .unwrap();
    }
    let mut looks = 0;
    let taken = line.serve(Instant(500), ENGINES, 2, |_, _| {
        looks += 1;
        None::<()>
    });
    assert_eq!((looks, taken.len(), line.len()), (2, 0, 500));
}

#[test]
fn prompts_leave_the_queue_when_they_have_waited_long_enough() {
    let mut line = line(&[(0, 100, "a"), (0, 300, "b")]);
    assert_eq!(line.expire(Instant(1_099)), Vec::<&str>::new());
    assert_eq!(line.expire(Instant(1_100)), ["a"]);
    assert_eq!(line.drain(), ["b"]);
}

#[test]
fn a_full_queue_takes_no_more() {
    let mut line = Line::default();
    let mut push = |item| line.push(ticket(0, 0), Instant(1), item);
    assert!((0..1_024).all(|item| push(item).is_ok()));
    assert_eq!(push(7), Err(7));
}

/// Four engines that begin some twelve prompts in a second, and twice as many prompts over four
/// seconds, each of which should begin within a second. Those that are served must have waited
/// little, so that what takes longer than expected does not make them late, and a look at the queue
/// must not cost more than its head.
#[test]
fn a_flash_crowd_is_served_without_waiting_to_the_last_moment() {
    let fleet = engines(4);
    let mut assigner = Assigner::new(0);
    let loads = UpstreamLoads::new();
    let mut line = Line::default();
    let (mut looks, mut ticks, mut waits) = (0, 0, Vec::new());
    let mut number = 0;
    for now in (0..6_000_u64).step_by(20) {
        ticks += 1;
        if now < 4_000 && now % 40 == 0 {
            number += 1;
            let ticket = ticket(0, now);
            line.push(ticket.clone(), ticket.until, (now, number))
                .unwrap();
        }
        let served = line.serve(Instant(now), ENGINES, 4, |(arrived, number), _| {
            looks += 1;
            let demand = Demand {
                first_byte_left_ms: 1_000 - (now - arrived),
                left_ms: 12_000,
                model: Some("m".to_owned()),
                newest_weights: 1,
                prompt_tokens: 14_000,
                service: "engines".to_owned(),
                shared_prefix: Some((format!("p{number}"), 10_000)),
                ..Demand::default()
            };
            let request = Request {
                demand,
                ..Request::default()
            };
            let assigned = assigner.assign(Instant(now), &fleet, &loads, request);
            (assigned != Err(Refusal::Busy)).then_some(())
        });
        waits.extend(served.into_iter().map(|((arrived, _), ())| now - arrived));
        line.expire(Instant(now));
    }
    waits.sort_unstable();
    assert!(waits.len() >= 30, "{} served", waits.len());
    let three_quarters = waits[waits.len() * 3 / 4];
    assert!(three_quarters <= 250, "{waits:?}");
    assert!(looks <= waits.len() + 4 * ticks, "{looks} looks");
    assert!(line.is_empty());
}
