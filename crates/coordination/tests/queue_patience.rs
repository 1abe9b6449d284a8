//! Tests of how long requests wait for an engine. The pattern they answer: long prompts that may be
//! late arrive with a burst of quick ones at the same engines.

mod upstream_fixtures;

use crate::upstream_fixtures::fleet;
use coordination::choice::Rank;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::queue::line::Urgency;
use coordination::queue::patience::Patience;
use state::time::Instant;

const GOAL_MS: u64 = 1_200;

fn patience(is_patient: bool) -> Patience {
    Patience {
        goal_ms: GOAL_MS,
        is_patient,
    }
}

#[test]
fn a_patient_request_outwaits_its_goal_and_others_do_not() {
    assert_eq!(patience(false).wait_left_ms(GOAL_MS - 1), 1);
    assert_eq!(patience(false).wait_left_ms(GOAL_MS), 0);
    assert_eq!(patience(true).wait_left_ms(GOAL_MS), 2 * GOAL_MS);
    assert_eq!(patience(true).wait_left_ms(3 * GOAL_MS), 0);
}

/// An engine that takes a late prompt must be able to begin a newer one in time after it.
#[test]
fn a_late_patient_request_needs_an_engine_with_time_to_spare() {
    let left_ms = |is_patient, waited_ms| {
        let patience = patience(is_patient);
        patience.first_byte_left_ms(waited_ms, 300, Urgency::Calm)
    };
    assert_eq!(left_ms(true, 200), 1_000);
    assert_eq!(left_ms(true, 1_000), GOAL_MS / 2);
    assert_eq!(left_ms(true, 9_000), GOAL_MS / 2);
    assert_eq!(left_ms(false, 1_000), 200);
    assert_eq!(left_ms(false, 9_000), 0);
}

/// A prompt that takes longer than the goal must find room before its caller leaves.
#[test]
fn a_request_that_is_due_takes_any_engine_that_begins_it() {
    let left_ms = |work_ms, urgency| patience(true).first_byte_left_ms(2_000, work_ms, urgency);
    assert_eq!(left_ms(300, Urgency::Due), GOAL_MS);
    assert_eq!(left_ms(1_500, Urgency::Due), GOAL_MS / 2 + 1_500);
    assert_eq!(left_ms(300, Urgency::Yielding), GOAL_MS / 2);
}

/// Quick answers must not wait in an engine behind prompts that the table ranks after them.
#[test]
fn patient_prompts_rank_after_quick_ones_even_in_time() {
    let fleet = fleet(&[("a", 1)]);
    let mut host = Dispatcher::new(0);
    let demand = |is_patient| Demand {
        first_byte_left_ms: GOAL_MS,
        is_patient,
        left_ms: 6_000,
        model: Some("m".to_owned()),
        prompt_tokens: 17_000,
        service: "engines".to_owned(),
        shared_prefix: Some(("p".to_owned(), 13_300)),
        ..Demand::default()
    };
    for (is_patient, rank) in [(true, Rank::Last), (false, Rank::First)] {
        let choice = host.choose(Instant(0), &fleet, &demand(is_patient));
        assert_eq!(choice.unwrap().rank, rank);
    }
}
