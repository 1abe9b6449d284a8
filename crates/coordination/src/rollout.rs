//! Moves engines to the model, version, adapter and role that the table asks for.
//!
//! One controller acts at a time, under a lease whose fencing number its orders carry. It reads an
//! engine before it gives an order, gives one order at a time to each, bounds how many load at once
//! and how fast loads start, and never takes the last engines that serve a model. After a change of
//! controller, engines that do not check fencing numbers are left alone until no order of the
//! earlier controller can still arrive.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::desired_state::DesiredState;
use crate::desired_state::Goal;
use crate::engine_state::Action;
use crate::engine_state::EngineState;
use state::time::Instant;

/// Bounds the time that an order or a read may take, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

const BACKOFF_MS: u64 = 1_000;
const BACKOFF_LIMIT_MS: u64 = 30_000;
/// Bounds the age of a reading by which an engine counts as serving.
const FRESH_MS: u64 = 1_500;
const READ_PERIOD_MS: u64 = 500;
const SETTLED_READ_PERIOD_MS: u64 = 10_000;
const START_PERIOD_MS: u64 = 250;
const STUCK_MS: u64 = 60_000;
const TRIES_UNTIL_REPORT: u32 = 3;

/// Tells how an order was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Means that the engine took the order.
    Accepted,
    /// Means that the engine refused the order, which had no effect.
    Refused,
    /// Means that the engine has seen a later fencing number.
    StaleFence,
    /// Means that the outcome is unknown.
    Unanswered,
}

/// Tells the controller what happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Tells that the lease is held until then, under that fencing number.
    Leased {
        /// Holds the fencing number.
        fence: u64,
        /// Tells until when, on this host's clock.
        until: Instant,
    },
    /// Tells how an order was answered.
    Ordered {
        /// Holds the answer.
        reply: Reply,
        /// Names the engine.
        upstream: String,
    },
    /// Tells what an engine said of itself, or that it did not answer.
    Read {
        /// Holds what it said.
        standing: Option<EngineState>,
        /// Names the engine.
        upstream: String,
    },
    /// Brings what the table asks for.
    Table(DesiredState),
    /// Lets time pass.
    Tick,
}

/// Tells what to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Has an order given.
    Order {
        /// Tells what to change.
        action: Action,
        /// Holds the fencing number.
        fence: u64,
        /// Names the order.
        id: String,
        /// Names the engine.
        upstream: String,
    },
    /// Has an engine asked what it serves.
    Read(String),
    /// Has operators told of a step.
    Report(Step, String),
}

/// Names a step of a roll-out that operators are told of.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Means that taking the engine would leave too few that serve its model.
    Blocked,
    /// Means that the engine serves what the table asks for.
    Done,
    /// Means that the lease is lost to another controller.
    Lost,
    /// Means that an order was given.
    Ordered,
    /// Means that the engine refused an order several times.
    Refused,
    /// Means that the engine loads for far too long.
    Stuck,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    at: Instant,
    blocked: bool,
    busy_since: Option<Instant>,
    held: Instant,
    next: Instant,
    phase: Phase,
    standing: Option<EngineState>,
    stuck: bool,
    tries: u32,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    Ordering,
    Reading,
    #[default]
    Resting,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fence: u64,
    since: Instant,
    until: Instant,
}

/// Steps through roll-outs.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    desired: DesiredState,
    effects: Vec<Effect>,
    engines: BTreeMap<String, Engine>,
    lease: Option<Lease>,
    now: Instant,
    orders: u64,
    started: Option<Instant>,
}

impl Rollout {
    /// Takes `event` at `now` and returns what to do.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Leased { fence, until } => self.leased(fence, until),
            Event::Ordered { reply, upstream } => self.ordered(&reply, &upstream),
            Event::Read { standing, upstream } => self.read(standing, &upstream),
            Event::Table(desired) => self.desire(desired),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.effects)
    }

    fn leased(&mut self, fence: u64, until: Instant) {
        match &mut self.lease {
            Some(lease) if lease.fence == fence => lease.until = lease.until.max(until),
            _ => {
                let since = self.now;
                self.lease = Some(Lease {
                    fence,
                    since,
                    until,
                });
                self.engines.clear();
                self.started = None;
            }
        }
    }

    fn desire(&mut self, desired: DesiredState) {
        self.desired = desired;
        let goals = &self.desired.goals;
        self.engines.retain(|name, _| goals.contains_key(name));
        for engine in self.engines.values_mut() {
            engine.blocked = false;
            engine.tries = 0;
            engine.held = self.now;
            engine.next = self.now;
        }
    }

    fn ordered(&mut self, reply: &Reply, upstream: &str) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        engine.phase = Phase::Resting;
        engine.next = now;
        match reply {
            Reply::Accepted | Reply::Unanswered => {
                engine.standing = None;
            }
            Reply::Refused => {
                engine.busy_since = None;
                engine.tries += 1;
                engine.held = now + backoff(engine.tries);
                if engine.tries == TRIES_UNTIL_REPORT {
                    self.tell(Step::Refused, upstream);
                }
            }
            Reply::StaleFence => {
                self.lease = None;
                self.tell(Step::Lost, upstream);
            }
        }
    }

    fn read(&mut self, standing: Option<EngineState>, upstream: &str) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if engine.phase != Phase::Reading {
            return;
        }
        engine.phase = Phase::Resting;
        engine.at = now;
        let goal = self.desired.goals.get(upstream);
        let serves = |s: &EngineState| goal.is_some_and(|goal| goal.next_action(s).is_none());
        engine.next = match standing.as_ref().is_some_and(serves) {
            false => now + READ_PERIOD_MS,
            true => now + SETTLED_READ_PERIOD_MS,
        };
        let loads = standing.as_ref().is_some_and(|s| s.loading.is_some());
        if standing.is_some() {
            engine.busy_since = match loads {
                false => None,
                true => engine.busy_since.or(Some(now)),
            };
            engine.stuck &= loads;
        }
        engine.standing = standing;
        if engine.standing.is_some() && !loads {
            self.judge(upstream);
        }
    }

    /// Notes that an engine reached its goal.
    fn judge(&mut self, upstream: &str) {
        let Some(goal) = self.desired.goals.get(upstream) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let reached = engine
            .standing
            .as_ref()
            .is_some_and(|s| goal.next_action(s).is_none());
        if reached && engine.tries > 0 {
            engine.tries = 0;
            self.tell(Step::Done, upstream);
        }
    }

    fn tick(&mut self) {
        let Some(lease) = self.lease else {
            return;
        };
        if self.now + CALL_TIMEOUT_MS >= lease.until {
            return;
        }
        let names: Vec<String> = self.desired.goals.keys().cloned().collect();
        let moving = self.moving();
        for name in &names {
            self.engines.entry(name.clone()).or_default();
            self.watch(name, &moving);
        }
        for name in &names {
            self.advance(name, lease);
        }
    }

    /// Reads an engine whose state is unknown, changing or old.
    /// Returns the models that engines are to leave, whose others must be known afresh.
    fn moving(&self) -> BTreeSet<String> {
        let mut models = BTreeSet::new();
        for (name, goal) in &self.desired.goals {
            let engine = self.engines.get(name);
            let Some(standing) = engine.and_then(|engine| engine.standing.as_ref()) else {
                continue;
            };
            if goal.next_action(standing).is_some() {
                models.insert(standing.model.clone());
            }
        }
        models
    }

    fn watch(&mut self, name: &str, moving: &BTreeSet<String>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let moves = |standing: &EngineState| moving.contains(&standing.model);
        if engine.standing.as_ref().is_some_and(moves) {
            engine.next = engine.next.min(engine.at + READ_PERIOD_MS);
        }
        let loads = engine
            .busy_since
            .is_some_and(|since| now.since(since) >= STUCK_MS);
        if loads && !engine.stuck {
            engine.stuck = true;
            self.effects
                .push(Effect::Report(Step::Stuck, name.to_owned()));
        }
        if engine.phase == Phase::Resting && now >= engine.next {
            engine.phase = Phase::Reading;
            self.effects.push(Effect::Read(name.to_owned()));
        }
    }

    /// Gives an engine its next order, if it may have one now.
    fn advance(&mut self, name: &str, lease: Lease) {
        let Some(goal) = self.desired.goals.get(name).cloned() else {
            return;
        };
        let Some(action) = self.due(name, &goal, lease) else {
            return;
        };
        if matches!(action, Action::Load { .. }) {
            if !self.may_load(&goal) {
                return;
            }
            if self.would_empty(name) {
                self.block(name);
                return;
            }
            self.started = Some(self.now);
        }
        self.orders += 1;
        let id = format!("{}-{}", lease.fence, self.orders);
        let now = self.now;
        if let Some(engine) = self.engines.get_mut(name) {
            engine.blocked = false;
            engine.busy_since = matches!(action, Action::Load { .. }).then_some(now);
            engine.phase = Phase::Ordering;
            engine.tries = engine.tries.max(1);
        }
        self.tell(Step::Ordered, name);
        self.effects.push(Effect::Order {
            action,
            fence: lease.fence,
            id,
            upstream: name.to_owned(),
        });
    }

    /// Returns the next order that an engine needs, if its state is known and fresh.
    fn due(&self, name: &str, goal: &Goal, lease: Lease) -> Option<Action> {
        let engine = self.engines.get(name)?;
        let standing = engine.standing.as_ref()?;
        let settled = match goal.checks_fence {
            false => lease.since + 2 * CALL_TIMEOUT_MS,
            true => lease.since,
        };
        let fresh = engine.at >= settled && self.now.since(engine.at) < READ_PERIOD_MS;
        let ready = engine.phase == Phase::Resting && standing.loading.is_none();
        (fresh && ready && self.now >= engine.held).then(|| goal.next_action(standing))?
    }

    /// Returns whether one more engine may load the model of `goal`.
    fn may_load(&self, goal: &Goal) -> bool {
        let paced = |at: Instant| self.now.since(at) >= START_PERIOD_MS;
        if !self.started.is_none_or(paced) {
            return false;
        }
        let unread = |e: &&Engine| e.standing.is_none() && e.at == Instant::default();
        if self
            .engines
            .values()
            .any(|e| unread(&e) && e.phase == Phase::Reading)
        {
            return false;
        }
        let loads = |engine: &&Engine| engine.busy_since.is_some() && !engine.stuck;
        let loading = self.engines.values().filter(loads).count() as u64;
        loading < goal.load_limit
    }

    /// Returns whether taking an engine would leave too few that serve its present model.
    fn would_empty(&self, name: &str) -> bool {
        let model = |engine: &Engine| engine.standing.as_ref().map(|s| s.model.clone());
        let Some(present) = self.engines.get(name).and_then(model) else {
            return true;
        };
        let least = self.desired.minimum_serving(&present);
        let fresh = |engine: &Engine| self.now.since(engine.at) <= FRESH_MS;
        let serves = |engine: &&Engine| {
            engine.busy_since.is_none() && fresh(engine) && model(engine).as_ref() == Some(&present)
        };
        let serving = self.engines.values().filter(serves).count() as u64;
        least > 0 && serving <= least
    }

    fn block(&mut self, name: &str) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if !engine.blocked && self.desired.is_always_needed(name) {
            engine.blocked = true;
            self.tell(Step::Blocked, name);
        }
    }

    fn tell(&mut self, step: Step, upstream: &str) {
        self.effects.push(Effect::Report(step, upstream.to_owned()));
    }
}

fn backoff(tries: u32) -> u64 {
    let doubled = BACKOFF_MS.saturating_mul(1 << tries.min(10));
    doubled.min(BACKOFF_LIMIT_MS)
}
