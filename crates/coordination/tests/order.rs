//! Checks that an order runs at most once, whichever step fails.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use strum::IntoEnumIterator;

use coordination::order::Effect;
use coordination::order::Event;
use coordination::order::Order;
use coordination::order::Policy;
use coordination::order::Refusal;
use coordination::order::Reply;
use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Decision;
use state::ledger::Ledger;
use state::ledger::Outcome;
use state::ledger::Report;
use state::ledger::Response;
use state::time::Instant;

const NOW: Instant = Instant(1_000);
const DEADLINE: Instant = Instant(11_000);
const ATTEMPT: Attempt = Attempt(1);

fn key() -> CallKey {
    CallKey {
        idempotency: "k".to_owned(),
        workspace: "w".to_owned(),
    }
}

fn response() -> Response {
    Response {
        body: b"booked".to_vec(),
        content_type: "text/plain".to_owned(),
        status: 200,
    }
}

fn order() -> Order {
    Order::new(NOW, key(), Digest([0; 32]), 1, DEADLINE, Policy::default()).0
}

fn run(order: &mut Order, now: Instant, events: impl IntoIterator<Item = Event>) -> Effect {
    let effects = events.into_iter().map(|event| order.step(now, event));
    effects.last().unwrap().unwrap()
}

fn begun() -> Event {
    Event::Begun(Decision::Run(ATTEMPT))
}

fn answered(not_run: bool) -> Event {
    let response = response();
    Event::Answered { not_run, response }
}

fn finish(outcome: Outcome) -> Effect {
    Effect::Finish(Report {
        attempt: ATTEMPT,
        key: key(),
        outcome,
    })
}

fn refused(refusal: Refusal) -> Effect {
    Effect::Reply(Reply::Refused(refusal))
}

#[test]
fn an_order_is_recorded_then_sent_then_settled_then_answered() {
    let mut order = order();
    assert_eq!(run(&mut order, NOW, [begun()]), Effect::Connect(ATTEMPT));
    assert_eq!(
        run(&mut order, NOW, [Event::Connected]),
        Effect::Send(ATTEMPT)
    );
    let settled = finish(Outcome::Done(response()));
    assert_eq!(run(&mut order, NOW, [answered(false)]), settled);
    let reply = Effect::Reply(Reply::Answer {
        replayed: false,
        response: response(),
    });
    assert_eq!(run(&mut order, NOW, [Event::Finished]), reply);
    assert!(order.is_done());
}

#[test]
fn each_refusal_occurs() {
    let settle_ms = Policy::default().settle_ms;
    for refusal in Refusal::iter() {
        let mut order = order();
        let (now, events) = match refusal {
            Refusal::Declined => (
                NOW,
                vec![begun(), Event::Connected, answered(true), Event::Finished],
            ),
            Refusal::Late => (DEADLINE, vec![begun(), Event::Finished]),
            Refusal::LedgerFull => (NOW, vec![Event::Begun(Decision::Full)]),
            Refusal::LedgerLost => (DEADLINE, vec![Event::BeginLost]),
            Refusal::Mismatch => (NOW, vec![Event::Begun(Decision::Mismatch)]),
            Refusal::Old => (NOW, vec![Event::Begun(Decision::Expired)]),
            Refusal::Running => (DEADLINE, vec![Event::Begun(Decision::Running(ATTEMPT))]),
            Refusal::Unknown => (NOW, vec![Event::Begun(Decision::Unknown)]),
            Refusal::Unreachable => {
                let mut events = vec![begun()];
                events.extend(vec![Event::ConnectFailed; 3]);
                events.push(Event::Finished);
                (NOW, events)
            }
        };
        assert_eq!(run(&mut order, now, events), refused(refusal));
    }
    let mut order = order();
    let events = [begun(), Event::Connected, Event::SendFailed];
    assert_eq!(run(&mut order, NOW, events), finish(Outcome::Unknown));
    let late = run(&mut order, NOW + settle_ms, [Event::FinishLost]);
    assert_eq!(late, refused(Refusal::Unknown));
}

#[test]
fn a_repeated_order_gets_the_stored_answer() {
    let replay = Event::Begun(Decision::Replay(response()));
    let reply = Effect::Reply(Reply::Answer {
        replayed: true,
        response: response(),
    });
    assert_eq!(run(&mut order(), NOW, [replay]), reply);
}

#[test]
fn an_attempt_that_stalls_after_connecting_until_its_deadline_sends_nothing() {
    let mut order = order();
    run(&mut order, NOW, [begun()]);
    let woken = run(&mut order, DEADLINE, [Event::Connected]);
    assert_eq!(woken, finish(Outcome::NotRun));
    assert_eq!(
        run(&mut order, DEADLINE, [Event::Finished]),
        refused(Refusal::Late)
    );
}

#[test]
fn a_lost_decision_is_requested_again_with_the_same_intent() {
    let (mut order, first) =
        Order::new(NOW, key(), Digest([0; 32]), 1, DEADLINE, Policy::default());
    assert_eq!(
        run(&mut order, NOW, [Event::BeginLost]),
        Effect::Wait(Policy::default().first_delay_ms)
    );
    assert_eq!(run(&mut order, NOW, [Event::WaitElapsed]), first);
}

#[test]
fn a_lost_settlement_is_sent_again_and_does_not_change_the_answer() {
    let mut order = order();
    run(&mut order, NOW, [begun(), Event::Connected]);
    let settled = run(&mut order, NOW, [answered(false)]);
    assert_eq!(run(&mut order, NOW, [Event::FinishLost]), Effect::Wait(50));
    assert_eq!(run(&mut order, NOW, [Event::WaitElapsed]), settled);
    let reply = Effect::Reply(Reply::Answer {
        replayed: false,
        response: response(),
    });
    assert_eq!(run(&mut order, NOW, [Event::Finished]), reply);
}

#[test]
fn an_event_that_the_order_does_not_wait_for_changes_nothing() {
    let mut order = order();
    assert_eq!(order.step(NOW, Event::Connected), None);
    assert_eq!(order.step(NOW, answered(false)), None);
    assert_eq!(run(&mut order, NOW, [begun()]), Effect::Connect(ATTEMPT));
    assert_eq!(order.step(NOW, begun()), None);
}

/// Simulates several requests for one order against one ledger, interleaved as the test chooses.
#[derive(Default)]
struct Simulation {
    requesters: BTreeMap<usize, Requester>,
    intents: u128,
    ledger: Ledger,
    false_not_run: u64,
    now: u64,
    sent: u64,
}

struct Requester {
    effect: Effect,
    order: Order,
    unsent_before: bool,
}

impl Simulation {
    fn step(&mut self, requester_index: usize, fault: u8, pause: u64) {
        self.now += pause;
        let now = Instant(self.now);
        let intents = &mut self.intents;
        let requester = self.requesters.entry(requester_index).or_insert_with(|| {
            let deadline = now + 2_000;
            *intents += 1;
            let intent_id = *intents;
            let digest = Digest([0; 32]);
            let created = Order::new(now, key(), digest, intent_id, deadline, Policy::default());
            Requester {
                effect: created.1,
                order: created.0,
                unsent_before: true,
            }
        });
        let event = match &requester.effect {
            Effect::Begin(intent) => {
                let lost_before = fault.is_multiple_of(5);
                if lost_before {
                    Event::BeginLost
                } else {
                    let decision = self.ledger.begin(self.now, intent);
                    match fault.is_multiple_of(3) {
                        false => Event::Begun(decision),
                        true => Event::BeginLost,
                    }
                }
            }
            Effect::Connect(_) if fault.is_multiple_of(3) => Event::ConnectFailed,
            Effect::Connect(_) => Event::Connected,
            Effect::Finish(_) if fault.is_multiple_of(5) => Event::FinishLost,
            Effect::Finish(report) => {
                self.ledger.finish(self.now, report);
                match fault.is_multiple_of(3) {
                    false => Event::Finished,
                    true => Event::FinishLost,
                }
            }
            Effect::Reply(reply) => {
                let refused = matches!(reply, Reply::Refused(r) if r.is_not_run());
                self.false_not_run += u64::from(refused && !requester.unsent_before);
                self.requesters.remove(&requester_index);
                return;
            }
            Effect::Send(_) => match fault % 4 {
                0 => answered(true),
                1 => Event::SendFailed,
                2 => {
                    self.sent += 1;
                    Event::SendFailed
                }
                _ => {
                    self.sent += 1;
                    answered(false)
                }
            },
            Effect::Wait(_) => Event::WaitElapsed,
        };
        if let Some(effect) = requester.order.step(now, event) {
            if !matches!(requester.effect, Effect::Finish(_) | Effect::Wait(_)) {
                requester.unsent_before = self.sent == 0;
            }
            requester.effect = effect;
        }
    }
}

proptest! {
    #[test]
    fn no_interleaving_of_requests_crashes_and_losses_runs_an_order_twice(
        moves in vec((0_usize..3, any::<u8>(), 0_u64..400, any::<u8>()), 0..200),
    ) {
        let mut simulation = Simulation::default();
        for (requester_index, fault, pause, crash) in moves {
            if crash < 10 {
                simulation.requesters.remove(&requester_index);
            }
            simulation.step(requester_index, fault, pause);
            prop_assert!(simulation.sent <= 1, "ran {} times", simulation.sent);
            prop_assert!(simulation.false_not_run == 0, "refused as not run after a run");
        }
    }
}
