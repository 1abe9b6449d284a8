//! Runs one order, a call to a plain service under an idempotency key, at most once.
//!
//! The voters record the intent in the ledger before a byte is sent, and the outcome afterwards. An
//! attempt may send only before its deadline, which ends before the ledger gives up waiting for the
//! outcome, so that an attempt that stalls cannot send after the ledger has given it up.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Decision;
use state::ledger::Intent;
use state::ledger::Outcome;
use state::ledger::Report;
use state::ledger::Response;
use state::time::Instant;

/// The limits of one order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Upper limit on the attempts to connect.
    pub max_connects: u32,
    /// Time for which the ledger waits for the outcome after the deadline, in milliseconds.
    pub grace_ms: u64,
    /// First delay before the ledger is asked again, in milliseconds; each further one is twice as
    /// long.
    pub first_delay_ms: u64,
    /// Upper limit on each delay, in milliseconds.
    pub max_delay_ms: u64,
    /// Time for which recording the outcome is retried, in milliseconds.
    pub settle_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_connects: 3,
            grace_ms: 10_000,
            first_delay_ms: 50,
            max_delay_ms: 1_000,
            settle_ms: 5_000,
        }
    }
}

/// An event that an order handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The service answered.
    Answered {
        /// Whether the service said that the call had no effect.
        not_run: bool,
        /// The answer.
        response: Response,
    },
    /// The decision of the ledger is not known.
    BeginLost,
    /// The ledger decided.
    Begun(Decision),
    /// No connection was made, so that no byte was sent.
    ConnectFailed,
    /// A connection was made, and nothing has been sent over it.
    Connected,
    /// It is not known whether the ledger recorded the outcome.
    FinishLost,
    /// The ledger recorded the outcome, or has settled the attempt otherwise.
    Finished,
    /// No answer arrived, although the call may have been sent.
    SendFailed,
    /// A delay is over.
    WaitElapsed,
}

/// An action that the caller of [`Order::step`] must take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Record the intent in the ledger.
    Begin(Intent),
    /// Connect to the service, and send nothing yet.
    Connect(Attempt),
    /// Record the outcome in the ledger.
    Finish(Report),
    /// Answer the caller; the order is done.
    Reply(Reply),
    /// Send the call over the connection.
    Send(Attempt),
    /// Wait for this many milliseconds.
    Wait(u64),
}

/// The reply to the caller of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The service answered.
    Answer {
        /// Whether this is the stored answer of an earlier request with the same key.
        replayed: bool,
        /// The answer.
        response: Response,
    },
    /// The order was refused.
    Refused(Refusal),
}

/// The reason why an order was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The service said that it did not run the order.
    Declined,
    /// The deadline passed before a byte was sent.
    Late,
    /// The ledger is full; the order did not run.
    LedgerFull,
    /// The ledger did not decide in time; an earlier request may have run the order.
    LedgerLost,
    /// The idempotency key was used for another body; this one did not run.
    Mismatch,
    /// The idempotency key is so old that its outcome is no longer known.
    Old,
    /// Another request is running the order.
    Running,
    /// The order may have run.
    Unknown,
    /// No connection to the service could be made.
    Unreachable,
}

impl Refusal {
    /// Returns whether the order certainly had not run when it was refused, neither for this
    /// request nor for an earlier one.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Declined | Self::Late | Self::LedgerFull | Self::Mismatch | Self::Unreachable => {
                true
            }
            Self::LedgerLost | Self::Old | Self::Running | Self::Unknown => false,
        }
    }
}

/// The state machine that runs one order.
#[derive(Clone, Debug)]
pub struct Order {
    deadline: Instant,
    intent: Intent,
    delays: u32,
    policy: Policy,
    stage: Stage,
}

#[derive(Clone, Debug)]
enum Stage {
    Beginning,
    Connecting { attempt: Attempt, tries: u32 },
    Done,
    Retrying,
    Sending { attempt: Attempt },
    Settling(Settling),
}

#[derive(Clone, Debug)]
struct Settling {
    waiting: bool,
    reply: Reply,
    report: Report,
    until: Instant,
}

impl Order {
    /// Returns the order and its first effect. `intent_id` must differ from that of every other
    /// request for the same key.
    pub fn new(
        now: Instant,
        key: CallKey,
        digest: Digest,
        intent_id: u128,
        deadline: Instant,
        policy: Policy,
    ) -> (Self, Effect) {
        let intent = Intent {
            digest,
            timeout_ms: deadline.since(now) + policy.grace_ms,
            key,
            intent_id,
        };
        let order = Self {
            deadline,
            intent: intent.clone(),
            delays: 0,
            policy,
            stage: Stage::Beginning,
        };
        (order, Effect::Begin(intent))
    }

    /// Handles the next event and returns the next effect, or `None` if the order does not wait for
    /// such an event.
    pub fn step(&mut self, now: Instant, event: Event) -> Option<Effect> {
        match (std::mem::replace(&mut self.stage, Stage::Done), event) {
            (Stage::Beginning, Event::Begun(decision)) => Some(self.on_decision(now, decision)),
            (Stage::Beginning, Event::BeginLost) => Some(self.retry(now, Refusal::LedgerLost)),
            (Stage::Retrying, Event::WaitElapsed) => {
                self.stage = Stage::Beginning;
                Some(Effect::Begin(self.intent.clone()))
            }
            (Stage::Connecting { attempt, .. }, Event::Connected) => {
                if now >= self.deadline {
                    return Some(self.settle_refused(now, attempt, Refusal::Late));
                }
                self.stage = Stage::Sending { attempt };
                Some(Effect::Send(attempt))
            }
            (Stage::Connecting { attempt, tries }, Event::ConnectFailed) => {
                if now >= self.deadline {
                    return Some(self.settle_refused(now, attempt, Refusal::Late));
                }
                if tries >= self.policy.max_connects {
                    return Some(self.settle_refused(now, attempt, Refusal::Unreachable));
                }
                let tries = tries + 1;
                self.stage = Stage::Connecting { attempt, tries };
                Some(Effect::Connect(attempt))
            }
            (Stage::Sending { attempt }, Event::Answered { not_run: true, .. }) => {
                Some(self.settle_refused(now, attempt, Refusal::Declined))
            }
            (Stage::Sending { attempt }, Event::Answered { response, .. }) => {
                let reply = Reply::Answer {
                    replayed: false,
                    response: response.clone(),
                };
                Some(self.settle(now, attempt, Outcome::Done(response), reply))
            }
            (Stage::Sending { attempt }, Event::SendFailed) => {
                let reply = Reply::Refused(Refusal::Unknown);
                Some(self.settle(now, attempt, Outcome::Unknown, reply))
            }
            (Stage::Settling(settling), event) => self.step_settling(now, settling, &event),
            (stage, _) => {
                self.stage = stage;
                None
            }
        }
    }

    /// Returns whether the caller has been answered.
    pub fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Done)
    }

    fn retry(&mut self, now: Instant, refusal: Refusal) -> Effect {
        let delay_ms = self.next_delay_ms();
        if now + delay_ms >= self.deadline {
            return Effect::Reply(Reply::Refused(refusal));
        }
        self.stage = Stage::Retrying;
        Effect::Wait(delay_ms)
    }

    fn on_decision(&mut self, now: Instant, decision: Decision) -> Effect {
        let refused = |refusal| Effect::Reply(Reply::Refused(refusal));
        match decision {
            Decision::Expired => refused(Refusal::Old),
            Decision::Full => refused(Refusal::LedgerFull),
            Decision::Mismatch => refused(Refusal::Mismatch),
            Decision::Replay(response) => Effect::Reply(Reply::Answer {
                replayed: true,
                response,
            }),
            Decision::Run(attempt) if now >= self.deadline => {
                self.settle_refused(now, attempt, Refusal::Late)
            }
            Decision::Run(attempt) => {
                self.stage = Stage::Connecting { attempt, tries: 1 };
                Effect::Connect(attempt)
            }
            Decision::Running(_) | Decision::Stale => {
                self.intent.intent_id = next_intent_id(self.intent.intent_id);
                self.retry(now, Refusal::Running)
            }
            Decision::Unknown => refused(Refusal::Unknown),
        }
    }

    fn next_delay_ms(&mut self) -> u64 {
        let doubled = self.policy.first_delay_ms << self.delays.min(16);
        self.delays += 1;
        doubled.min(self.policy.max_delay_ms)
    }

    fn settle(&mut self, now: Instant, attempt: Attempt, outcome: Outcome, reply: Reply) -> Effect {
        let report = Report {
            attempt,
            key: self.intent.key.clone(),
            outcome,
        };
        self.stage = Stage::Settling(Settling {
            waiting: false,
            reply,
            report: report.clone(),
            until: now + self.policy.settle_ms,
        });
        Effect::Finish(report)
    }

    fn settle_refused(&mut self, now: Instant, attempt: Attempt, refusal: Refusal) -> Effect {
        let reply = Reply::Refused(refusal);
        self.settle(now, attempt, Outcome::NotRun, reply)
    }

    fn step_settling(
        &mut self,
        now: Instant,
        mut settling: Settling,
        event: &Event,
    ) -> Option<Effect> {
        match event {
            Event::FinishLost if !settling.waiting && now < settling.until => {
                settling.waiting = true;
                self.stage = Stage::Settling(settling);
                Some(Effect::Wait(self.next_delay_ms()))
            }
            Event::Finished | Event::FinishLost if !settling.waiting => {
                Some(Effect::Reply(settling.reply))
            }
            Event::WaitElapsed if settling.waiting => {
                settling.waiting = false;
                let report = settling.report.clone();
                self.stage = Stage::Settling(settling);
                Some(Effect::Finish(report))
            }
            _ => {
                self.stage = Stage::Settling(settling);
                None
            }
        }
    }
}

/// Derives the ID of the next intent from that of the last one.
fn next_intent_id(previous: u128) -> u128 {
    let digest = Digest::of(&[&previous.to_le_bytes()]);
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.0[..16]);
    u128::from_le_bytes(bytes)
}
