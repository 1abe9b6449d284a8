//! Checks that an order runs at most once, whatever happens at whichever step.

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
const A: Attempt = Attempt(1);

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
    Event::Begun(Decision::Run(A))
}

fn answered(not_run: bool) -> Event {
    let response = response();
    Event::Answered { not_run, response }
}

fn finish(outcome: Outcome) -> Effect {
    Effect::Finish(Report {
        attempt: A,
        key: key(),
        outcome,
    })
}

fn refused(refusal: Refusal) -> Effect {
    Effect::Reply(Reply::Refused(refusal))
}

#[test]
fn an_order_is_recorded_sent_settled_and_answered_in_this_order() {
    let mut order = order();
    assert_eq!(run(&mut order, NOW, [begun()]), Effect::Connect(A));
    assert_eq!(run(&mut order, NOW, [Event::Connected]), Effect::Send(A));
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
fn each_refusal_is_reached() {
    let lost = Policy::default().settle;
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
            Refusal::Running => (DEADLINE, vec![Event::Begun(Decision::Running(A))]),
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
    let late = run(&mut order, NOW + lost, [Event::FinishLost]);
    assert_eq!(late, refused(Refusal::Unknown));
}

#[test]
fn a_repeat_gets_the_first_answer() {
    let replay = Event::Begun(Decision::Replay(response()));
    let reply = Effect::Reply(Reply::Answer {
        replayed: true,
        response: response(),
    });
    assert_eq!(run(&mut order(), NOW, [replay]), reply);
}

#[test]
fn an_attempt_that_stalled_after_connecting_sends_nothing() {
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
fn a_lost_decision_is_asked_for_again_under_the_same_name() {
    let (mut order, first) =
        Order::new(NOW, key(), Digest([0; 32]), 1, DEADLINE, Policy::default());
    assert_eq!(
        run(&mut order, NOW, [Event::BeginLost]),
        Effect::Wait(Policy::default().pause)
    );
    assert_eq!(run(&mut order, NOW, [Event::Woken]), first);
}

#[test]
fn a_lost_settlement_is_offered_again_and_does_not_change_the_answer() {
    let mut order = order();
    run(&mut order, NOW, [begun(), Event::Connected]);
    let settled = run(&mut order, NOW, [answered(false)]);
    assert_eq!(run(&mut order, NOW, [Event::FinishLost]), Effect::Wait(50));
    assert_eq!(run(&mut order, NOW, [Event::Woken]), settled);
    let reply = Effect::Reply(Reply::Answer {
        replayed: false,
        response: response(),
    });
    assert_eq!(run(&mut order, NOW, [Event::Finished]), reply);
}

#[test]
fn an_event_out_of_turn_changes_nothing() {
    let mut order = order();
    assert_eq!(order.step(NOW, Event::Connected), None);
    assert_eq!(order.step(NOW, answered(false)), None);
    assert_eq!(run(&mut order, NOW, [begun()]), Effect::Connect(A));
    assert_eq!(order.step(NOW, begun()), None);
}

/// Runs several askers of one order against one ledger, in an order that `moves` picks.
#[derive(Default)]
struct World {
    askers: BTreeMap<usize, Asker>,
    askings: u128,
    ledger: Ledger,
    lies: u64,
    now: u64,
    sent: u64,
}

struct Asker {
    effect: Effect,
    order: Order,
    unsent: bool,
}

impl World {
    fn step(&mut self, who: usize, luck: u8, pause: u64) {
        self.now += pause;
        let now = Instant(self.now);
        let askings = &mut self.askings;
        let asker = self.askers.entry(who).or_insert_with(|| {
            let deadline = now + 2_000;
            *askings += 1;
            let owner = *askings;
            let digest = Digest([0; 32]);
            let made = Order::new(now, key(), digest, owner, deadline, Policy::default());
            Asker {
                effect: made.1,
                order: made.0,
                unsent: true,
            }
        });
        let event = match &asker.effect {
            Effect::Begin(intent) => {
                let lost_before = luck.is_multiple_of(5);
                if lost_before {
                    Event::BeginLost
                } else {
                    let decision = self.ledger.begin(self.now, intent);
                    match luck.is_multiple_of(3) {
                        false => Event::Begun(decision),
                        true => Event::BeginLost,
                    }
                }
            }
            Effect::Connect(_) if luck.is_multiple_of(3) => Event::ConnectFailed,
            Effect::Connect(_) => Event::Connected,
            Effect::Finish(_) if luck.is_multiple_of(5) => Event::FinishLost,
            Effect::Finish(report) => {
                self.ledger.finish(self.now, report);
                match luck.is_multiple_of(3) {
                    false => Event::Finished,
                    true => Event::FinishLost,
                }
            }
            Effect::Reply(reply) => {
                let refused = matches!(reply, Reply::Refused(r) if r.is_not_run());
                self.lies += u64::from(refused && !asker.unsent);
                self.askers.remove(&who);
                return;
            }
            Effect::Send(_) => match luck % 4 {
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
            Effect::Wait(_) => Event::Woken,
        };
        if let Some(effect) = asker.order.step(now, event) {
            if !matches!(asker.effect, Effect::Finish(_) | Effect::Wait(_)) {
                asker.unsent = self.sent == 0;
            }
            asker.effect = effect;
        }
    }
}

proptest! {
    #[test]
    fn no_interleaving_of_askers_crashes_and_losses_runs_an_order_twice(
        moves in vec((0_usize..3, any::<u8>(), 0_u64..400, any::<u8>()), 0..200),
    ) {
        let mut world = World::default();
        for (who, luck, pause, crash) in moves {
            if crash < 10 {
                world.askers.remove(&who);
            }
            world.step(who, luck, pause);
            prop_assert!(world.sent <= 1, "ran {} times", world.sent);
            prop_assert!(world.lies == 0, "said not run after a run");
        }
    }
}
