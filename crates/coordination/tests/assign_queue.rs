//! Tests of the queue of long prompts at the leading host. The pattern it answers: a flash crowd on
//! long prompts, where more arrive than engines can begin.

mod upstream_fixtures;

use crate::upstream_fixtures::engines;
use coordination::assign_queue::AssignQueue;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

fn queue(places: &[(u32, u64, &'static str)]) -> AssignQueue<&'static str> {
    let mut queue = AssignQueue::default();
    for (rank, arrived, item) in places {
        let until = Instant(arrived + 1_000);
        queue.push(*rank, Instant(*arrived), until, *item).unwrap();
    }
    queue
}

#[test]
fn urgent_prompts_come_first_and_then_those_that_wait_longest() {
    let mut queue = queue(&[(2, 10, "c"), (0, 90, "b"), (2, 5, "x"), (0, 40, "a")]);
    let taken = queue.serve(1, |item| Some(*item));
    let order: Vec<&str> = taken.into_iter().map(|(_, item)| item).collect();
    assert_eq!(order, ["a", "b", "x", "c"]);
    assert!(queue.is_empty());
}

/// A new prompt must not overtake one that waits, whichever host asks at the right moment.
#[test]
fn a_new_prompt_is_behind_those_that_wait() {
    let queue = queue(&[(1, 50, "a")]);
    assert!(queue.is_behind(1, Instant(51)));
    assert!(queue.is_behind(2, Instant(0)));
    assert!(!queue.is_behind(1, Instant(49)));
    assert!(!queue.is_behind(0, Instant(99)));
    assert!(!AssignQueue::<()>::default().is_behind(9, Instant(99)));
}

#[test]
fn one_prompt_that_finds_no_room_does_not_block_the_others() {
    let mut queue = queue(&[(0, 1, "large"), (0, 2, "a"), (0, 3, "b")]);
    let taken = queue.serve(2, |item| (*item != "large").then_some(()));
    assert_eq!(taken, [("a", ()), ("b", ())]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_blocked_queue_costs_a_look_at_its_head_only() {
    let mut queue = AssignQueue::default();
    for arrived in 0..500 {
        queue
            .push(0, Instant(arrived), Instant(9_000), arrived)
            .unwrap();
    }
    let mut looks = 0;
    let taken = queue.serve(2, |_| {
        looks += 1;
        None::<()>
    });
    assert_eq!((looks, taken.len(), queue.len()), (2, 0, 500));
}

#[test]
fn prompts_leave_the_queue_when_they_have_waited_long_enough() {
    let mut queue = queue(&[(0, 100, "a"), (0, 300, "b")]);
    assert_eq!(queue.expire(Instant(1_099)), Vec::<&str>::new());
    assert_eq!(queue.expire(Instant(1_100)), ["a"]);
    assert_eq!(queue.drain(), ["b"]);
}

#[test]
fn a_full_queue_takes_no_more() {
    let mut queue = AssignQueue::default();
    let push = |queue: &mut AssignQueue<u32>, item| queue.push(0, Instant(0), Instant(1), item);
    assert!((0..1_024).all(|item| push(&mut queue, item).is_ok()));
    assert_eq!(push(&mut queue, 7), Err(7));
}

/// 4 engines, 40 prompts at once of which each fills an engine for some 670 ms: every question of
/// 40 ms would be asked some 400 times; in the queue each tick looks at few, and the prompts get
/// their engines in the order of their arrival.
#[test]
fn a_flash_crowd_is_served_in_order_with_few_looks() {
    let fleet = engines(4);
    let mut assigner = Assigner::new(0);
    let loads = UpstreamLoads::new();
    let mut queue = AssignQueue::default();
    for number in 0..40_u64 {
        let demand = Demand {
            first_byte_left_ms: 1_000,
            left_ms: 12_000,
            model: Some("m".to_owned()),
            newest_weights: 1,
            prompt_tokens: 30_000,
            service: "engines".to_owned(),
            shared_prefix: Some((format!("p{number}"), 20_000)),
            ..Demand::default()
        };
        let request = Request {
            demand,
            ..Request::default()
        };
        let arrived = Instant(number);
        let until = arrived + 4_000;
        queue.push(0, arrived, until, (number, request)).unwrap();
    }
    let (mut looks, mut order) = (0, Vec::new());
    for now in (40..4_000).step_by(20) {
        let now = Instant(now);
        let served = queue.serve(2, |(_, request)| {
            looks += 1;
            let assigned = assigner.assign(now, &fleet, &loads, request.clone());
            (assigned != Err(Refusal::Busy)).then_some(())
        });
        order.extend(served.into_iter().map(|((number, _), ())| number));
        queue.expire(now);
    }
    assert!(order.is_sorted(), "{order:?}");
    assert!(order.len() >= 12, "{order:?}");
    assert!(looks <= order.len() + 2 * 200, "{looks} looks");
}
