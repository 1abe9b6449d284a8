//! Runs one order to a plain service at most once.
//!
//! The intent is recorded by the voters before a byte leaves and the outcome after. An attempt may
//! send only before its own deadline, which ends ahead of the ledger's hold, so that an attempt
//! which stalled finds itself too late.

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

/// Bounds one order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Bounds the connections that are tried.
    pub connects: u32,
    /// Gives how long the ledger waits for the outcome beyond the deadline, in milliseconds.
    pub grace: u64,
    /// Gives the first pause before the ledger is asked again, in milliseconds; it doubles.
    pub pause: u64,
    /// Bounds every pause, in milliseconds.
    pub pause_limit: u64,
    /// Gives how long the outcome is offered to the ledger, in milliseconds.
    pub settle: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            connects: 3,
            grace: 10_000,
            pause: 50,
            pause_limit: 1_000,
            settle: 5_000,
        }
    }
}

/// Tells an order what happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Reports an answer of the service.
    Answered {
        /// Tells whether the service said that the call had no effect.
        not_run: bool,
        /// Holds the answer.
        response: Response,
    },
    /// Reports that the ledger's decision is not known.
    BeginLost,
    /// Reports the ledger's decision.
    Begun(Decision),
    /// Reports that no connection was made, so that no byte left.
    ConnectFailed,
    /// Reports a connection over which nothing has been sent.
    Connected,
    /// Reports that the ledger may not have the outcome.
    FinishLost,
    /// Reports that the ledger has the outcome, or has settled the attempt otherwise.
    Finished,
    /// Reports that no answer came although the call may have left.
    SendFailed,
    /// Reports that a pause is over.
    Woken,
}

/// Tells what to do for an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Asks to record the intent.
    Begin(Intent),
    /// Asks to connect to the service and to send nothing yet.
    Connect(Attempt),
    /// Asks to record the outcome.
    Finish(Report),
    /// Asks to answer the caller; the order is over.
    Reply(Reply),
    /// Asks to send the call over the connection.
    Send(Attempt),
    /// Asks to pause, in milliseconds.
    Wait(u64),
}

/// Answers the caller of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Holds the service's answer.
    Answer {
        /// Tells whether the answer was given before.
        replayed: bool,
        /// Holds the answer.
        response: Response,
    },
    /// Refuses the order.
    Refused(Refusal),
}

/// Tells why an order is refused.
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
    /// Means that the service said that it did not run the order.
    Declined,
    /// Means that the deadline passed before a byte left.
    Late,
    /// Means that the ledger is full; the order did not run.
    LedgerFull,
    /// Means that the ledger did not decide in time, and an earlier request may have run the order.
    LedgerLost,
    /// Means that the key stands for another body; this one did not run.
    Mismatch,
    /// Means that the key is too old to tell what became of it.
    Old,
    /// Means that another request is running the order.
    Running,
    /// Means that the order may have run.
    Unknown,
    /// Means that the service took no connection.
    Unreachable,
}

impl Refusal {
    /// Returns whether the order certainly had not run when it was refused, neither for this
    /// request nor for any before.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Declined | Self::Late | Self::LedgerFull | Self::Mismatch | Self::Unreachable => {
                true
            }
            Self::LedgerLost | Self::Old | Self::Running | Self::Unknown => false,
        }
    }
}

/// Runs one order.
#[derive(Clone, Debug)]
pub struct Order {
    deadline: Instant,
    intent: Intent,
    pauses: u32,
    policy: Policy,
    stage: Stage,
}

#[derive(Clone, Debug)]
enum Stage {
    Asking,
    Connecting { attempt: Attempt, tries: u32 },
    Done,
    Pausing,
    Sending { attempt: Attempt },
    Settling(Settling),
}

#[derive(Clone, Debug)]
struct Settling {
    paused: bool,
    reply: Reply,
    report: Report,
    until: Instant,
}

impl Order {
    /// Returns the order and what to do first; `intent_id` identifies this request.
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
            timeout_ms: deadline.since(now) + policy.grace,
            key,
            intent_id,
        };
        let order = Self {
            deadline,
            intent: intent.clone(),
            pauses: 0,
            policy,
            stage: Stage::Asking,
        };
        (order, Effect::Begin(intent))
    }

    /// Takes the next event and returns what to do next, or `None` where the event comes too late.
    pub fn step(&mut self, now: Instant, event: Event) -> Option<Effect> {
        match (std::mem::replace(&mut self.stage, Stage::Done), event) {
            (Stage::Asking, Event::Begun(decision)) => Some(self.decided(now, decision)),
            (Stage::Asking, Event::BeginLost) => Some(self.ask_again(now, Refusal::LedgerLost)),
            (Stage::Pausing, Event::Woken) => {
                self.stage = Stage::Asking;
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
                if tries >= self.policy.connects {
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
            (Stage::Settling(settling), event) => self.settling(now, settling, &event),
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

    fn ask_again(&mut self, now: Instant, refusal: Refusal) -> Effect {
        let pause = self.pause();
        if now + pause >= self.deadline {
            return Effect::Reply(Reply::Refused(refusal));
        }
        self.stage = Stage::Pausing;
        Effect::Wait(pause)
    }

    fn decided(&mut self, now: Instant, decision: Decision) -> Effect {
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
                self.intent.intent_id = renewed(self.intent.intent_id);
                self.ask_again(now, Refusal::Running)
            }
            Decision::Unknown => refused(Refusal::Unknown),
        }
    }

    fn pause(&mut self) -> u64 {
        let doubled = self.policy.pause << self.pauses.min(16);
        self.pauses += 1;
        doubled.min(self.policy.pause_limit)
    }

    fn settle(&mut self, now: Instant, attempt: Attempt, outcome: Outcome, reply: Reply) -> Effect {
        let report = Report {
            attempt,
            key: self.intent.key.clone(),
            outcome,
        };
        self.stage = Stage::Settling(Settling {
            paused: false,
            reply,
            report: report.clone(),
            until: now + self.policy.settle,
        });
        Effect::Finish(report)
    }

    fn settle_refused(&mut self, now: Instant, attempt: Attempt, refusal: Refusal) -> Effect {
        let reply = Reply::Refused(refusal);
        self.settle(now, attempt, Outcome::NotRun, reply)
    }

    fn settling(&mut self, now: Instant, mut settling: Settling, event: &Event) -> Option<Effect> {
        match event {
            Event::FinishLost if !settling.paused && now < settling.until => {
                settling.paused = true;
                self.stage = Stage::Settling(settling);
                Some(Effect::Wait(self.pause()))
            }
            Event::Finished | Event::FinishLost if !settling.paused => {
                Some(Effect::Reply(settling.reply))
            }
            Event::Woken if settling.paused => {
                settling.paused = false;
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

/// Returns the name of the asking after the one named `owner`.
fn renewed(owner: u128) -> u128 {
    let digest = Digest::of(&[&owner.to_le_bytes()]);
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.0[..16]);
    u128::from_le_bytes(bytes)
}
