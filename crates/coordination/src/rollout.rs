//! The roll-out controller: moves engines to the model, version, adapter and role in the table.
//!
//! One controller acts at a time, under a lease whose fencing token its orders carry. It reads the
//! state of an engine before it sends an order, sends each engine one order at a time, limits how
//! many engines load at once and how fast loads start, and never takes the last engines that serve
//! a model. After a change of controller, an engine that does not check fencing tokens gets no
//! order until no order of the earlier controller can still arrive.

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

/// Timeout of an order or a read, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

const BACKOFF_BASE_MS: u64 = 1_000;
const MAX_BACKOFF_MS: u64 = 30_000;
/// Maximum age of the last read by which an engine counts as serving.
const SERVING_FRESHNESS_MS: u64 = 1_500;
/// Time between two reads of an engine that has not reached its goal.
const READ_PERIOD_MS: u64 = 500;
/// Time between two reads of an engine that has reached its goal.
const SETTLED_READ_PERIOD_MS: u64 = 10_000;
/// Minimum time between the starts of two loads.
const LOAD_START_PERIOD_MS: u64 = 250;
/// Time after which a load that has not ended is reported and no longer counts as loading.
const STUCK_AFTER_MS: u64 = 60_000;
const TRIES_UNTIL_REPORT: u32 = 3;

/// The outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, which had no effect.
    Refused,
    /// The engine refused the order because it has seen a greater fencing token.
    Stale,
    /// No answer arrived: the order may or may not have had an effect.
    Unanswered,
}

/// An input of the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// This host was granted the lease, or extended it.
    Leased {
        /// Fencing token of the lease.
        fence: u64,
        /// End of the lease, on this host's clock.
        until: Instant,
    },
    /// An order was answered or timed out.
    Ordered {
        /// Outcome of the order.
        reply: Reply,
        /// Name of the engine.
        upstream: String,
    },
    /// The state of an engine was read, or the engine did not answer.
    Read {
        /// State of the engine; `None` if it did not answer.
        state: Option<EngineState>,
        /// Name of the engine.
        upstream: String,
    },
    /// The table changed: the goals of all engines.
    Table(DesiredState),
    /// Time has passed.
    Tick,
}

/// An action that the controller requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send an order to an engine.
    Order {
        /// Change that the engine is to make.
        action: Action,
        /// Fencing token of the lease.
        fence: u64,
        /// Id of the order.
        id: String,
        /// Name of the engine.
        upstream: String,
    },
    /// Read the state of an engine.
    Read(String),
    /// Report a step of the roll-out of an engine to operators.
    Report(Step, String),
}

/// A step of a roll-out that is reported to operators.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Taking the engine would leave too few engines that serve its model.
    Blocked,
    /// The engine has reached its goal.
    Done,
    /// Another controller has taken over the lease.
    Lost,
    /// An order was sent.
    Ordered,
    /// The engine refused an order several times.
    Refused,
    /// The engine has been loading for far too long.
    Stuck,
}

/// What the controller knows about one engine.
#[derive(Clone, Debug, Default)]
struct Engine {
    read_at: Instant,
    /// Whether [`Step::Blocked`] was reported.
    blocked: bool,
    loading_since: Option<Instant>,
    /// Time before which the engine gets no order, after it refused one.
    not_before: Instant,
    next_read: Instant,
    phase: Phase,
    state: Option<EngineState>,
    /// Whether [`Step::Stuck`] was reported for the load under way.
    stuck: bool,
    /// Number of orders tried: 0 until the first order towards the goal, one more after each that
    /// was refused.
    tries: u32,
    /// Time since which the engine has not had its goal and has got no order to load.
    waiting_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    /// An order is in flight.
    Ordering,
    /// A read is in flight.
    Reading,
    /// Nothing is in flight.
    #[default]
    Waiting,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fence: u64,
    since: Instant,
    until: Instant,
}

/// Plans the orders and reads that move all engines to their goals.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    desired: DesiredState,
    effects: Vec<Effect>,
    engines: BTreeMap<String, Engine>,
    lease: Option<Lease>,
    now: Instant,
    orders_sent: u64,
    last_load_start: Option<Instant>,
}

impl Rollout {
    /// Processes `event` at `now` and returns the resulting effects.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Leased { fence, until } => self.lease_granted(fence, until),
            Event::Ordered { reply, upstream } => self.order_answered(&reply, &upstream),
            Event::Read { state, upstream } => self.state_read(state, &upstream),
            Event::Table(desired) => self.set_desired(desired),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.effects)
    }

    fn lease_granted(&mut self, fence: u64, until: Instant) {
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
                self.last_load_start = None;
            }
        }
    }

    fn set_desired(&mut self, desired: DesiredState) {
        self.desired = desired;
        let goals = &self.desired.goals;
        self.engines.retain(|name, _| goals.contains_key(name));
        for engine in self.engines.values_mut() {
            engine.blocked = false;
            engine.tries = 0;
            engine.not_before = self.now;
            engine.next_read = self.now;
        }
    }

    fn order_answered(&mut self, reply: &Reply, upstream: &str) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        engine.phase = Phase::Waiting;
        engine.next_read = now;
        match reply {
            Reply::Accepted | Reply::Unanswered => {
                engine.state = None;
            }
            Reply::Refused => {
                engine.loading_since = None;
                engine.tries += 1;
                engine.not_before = now + backoff_ms(engine.tries);
                if engine.tries == TRIES_UNTIL_REPORT {
                    self.report(Step::Refused, upstream);
                }
            }
            Reply::Stale => {
                self.lease = None;
                self.report(Step::Lost, upstream);
            }
        }
    }

    fn state_read(&mut self, state: Option<EngineState>, upstream: &str) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if engine.phase != Phase::Reading {
            return;
        }
        engine.phase = Phase::Waiting;
        engine.read_at = now;
        let goal = self.desired.goals.get(upstream);
        let serves = |s: &EngineState| goal.is_some_and(|goal| goal.next_action(s).is_none());
        let has_reached_goal = state.as_ref().is_some_and(serves);
        engine.next_read = match has_reached_goal {
            false => now + READ_PERIOD_MS,
            true => now + SETTLED_READ_PERIOD_MS,
        };
        let is_loading = state.as_ref().is_some_and(|s| s.loading.is_some());
        if state.is_some() {
            engine.loading_since = match is_loading {
                false => None,
                true => engine.loading_since.or(Some(now)),
            };
            engine.stuck &= is_loading;
            engine.waiting_since = match has_reached_goal || is_loading {
                false => engine.waiting_since.or(Some(now)),
                true => None,
            };
        }
        engine.state = state;
        if engine.state.is_some() && !is_loading {
            self.report_reached_goal(upstream);
        }
    }

    /// Reports an engine that has reached its goal after an order.
    fn report_reached_goal(&mut self, upstream: &str) {
        let Some(goal) = self.desired.goals.get(upstream) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let reached = engine
            .state
            .as_ref()
            .is_some_and(|s| goal.next_action(s).is_none());
        if reached && engine.tries > 0 {
            engine.tries = 0;
            self.report(Step::Done, upstream);
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
        let models_being_left = self.models_being_left();
        for name in &names {
            self.engines.entry(name.clone()).or_default();
            self.poll(name, &models_being_left);
        }
        for name in &self.in_order_of_waiting(names) {
            self.order_next(name, lease);
        }
    }

    /// Returns the engines that have waited longest for an order first. In any other order, an
    /// engine could wait for as long as the table changes.
    fn in_order_of_waiting(&self, mut names: Vec<String>) -> Vec<String> {
        let waiting_since = |name: &String| self.engines.get(name)?.waiting_since;
        names.sort_by_key(|name| {
            let since = waiting_since(name);
            (since.is_none(), since)
        });
        names
    }

    /// Returns the models that some engine is to leave. The states of all engines that serve such a
    /// model must be fresh, so that enough of them remain.
    fn models_being_left(&self) -> BTreeSet<String> {
        let mut models = BTreeSet::new();
        for (name, goal) in &self.desired.goals {
            let engine = self.engines.get(name);
            let Some(state) = engine.and_then(|engine| engine.state.as_ref()) else {
                continue;
            };
            if goal.next_action(state).is_some() {
                models.insert(state.model.clone());
            }
        }
        models
    }

    /// Reads an engine whose state is unknown, changing or old, and reports one that is stuck.
    fn poll(&mut self, name: &str, models_being_left: &BTreeSet<String>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let is_being_left = |state: &EngineState| models_being_left.contains(&state.model);
        if engine.state.as_ref().is_some_and(is_being_left) {
            engine.next_read = engine.next_read.min(engine.read_at + READ_PERIOD_MS);
        }
        let is_overdue = engine
            .loading_since
            .is_some_and(|since| now.since(since) >= STUCK_AFTER_MS);
        if is_overdue && !engine.stuck {
            engine.stuck = true;
            self.effects
                .push(Effect::Report(Step::Stuck, name.to_owned()));
        }
        if engine.phase == Phase::Waiting && now >= engine.next_read {
            engine.phase = Phase::Reading;
            self.effects.push(Effect::Read(name.to_owned()));
        }
    }

    /// Sends an engine its next order, if it may get one now.
    fn order_next(&mut self, name: &str, lease: Lease) {
        let Some(goal) = self.desired.goals.get(name).cloned() else {
            return;
        };
        let Some(action) = self.next_action(name, &goal, lease) else {
            return;
        };
        if matches!(action, Action::Load { .. }) {
            if !self.may_load(&goal) {
                return;
            }
            if self.would_undershoot_minimum(name) {
                self.report_blocked(name);
                return;
            }
            self.last_load_start = Some(self.now);
        }
        self.orders_sent += 1;
        let id = format!("{}-{}", lease.fence, self.orders_sent);
        let now = self.now;
        if let Some(engine) = self.engines.get_mut(name) {
            engine.blocked = false;
            engine.loading_since = matches!(action, Action::Load { .. }).then_some(now);
            engine.waiting_since = None;
            engine.phase = Phase::Ordering;
            engine.tries = engine.tries.max(1);
        }
        self.report(Step::Ordered, name);
        self.effects.push(Effect::Order {
            action,
            fence: lease.fence,
            id,
            upstream: name.to_owned(),
        });
    }

    /// Returns the next action of an engine, if its state is known and fresh. For an engine that
    /// does not check fencing tokens, the state must have been read after the previous controller's
    /// calls have ended.
    fn next_action(&self, name: &str, goal: &Goal, lease: Lease) -> Option<Action> {
        let engine = self.engines.get(name)?;
        let state = engine.state.as_ref()?;
        let earliest_read = match goal.checks_fence {
            false => lease.since + 2 * CALL_TIMEOUT_MS,
            true => lease.since,
        };
        let is_fresh =
            engine.read_at >= earliest_read && self.now.since(engine.read_at) < READ_PERIOD_MS;
        let is_ready = engine.phase == Phase::Waiting && state.loading.is_none();
        (is_fresh && is_ready && self.now >= engine.not_before).then(|| goal.next_action(state))?
    }

    /// Returns whether one more engine may start to load now, for `goal`.
    fn may_load(&self, goal: &Goal) -> bool {
        let is_paced = |at: Instant| self.now.since(at) >= LOAD_START_PERIOD_MS;
        if !self.last_load_start.is_none_or(is_paced) {
            return false;
        }
        let is_unread = |e: &&Engine| e.state.is_none() && e.read_at == Instant::default();
        if self
            .engines
            .values()
            .any(|e| is_unread(&e) && e.phase == Phase::Reading)
        {
            return false;
        }
        let counts_as_loading = |engine: &&Engine| engine.loading_since.is_some() && !engine.stuck;
        let loading = self.engines.values().filter(counts_as_loading).count() as u64;
        loading < goal.load_limit
    }

    /// Returns whether taking an engine would leave fewer engines that serve its current model than
    /// the table requires.
    fn would_undershoot_minimum(&self, name: &str) -> bool {
        let model = |engine: &Engine| engine.state.as_ref().map(|s| s.model.clone());
        let Some(current) = self.engines.get(name).and_then(model) else {
            return true;
        };
        let minimum = self.desired.minimum_serving(&current);
        let is_fresh = |engine: &Engine| self.now.since(engine.read_at) <= SERVING_FRESHNESS_MS;
        let serves = |engine: &&Engine| {
            engine.loading_since.is_none()
                && is_fresh(engine)
                && model(engine).as_ref() == Some(&current)
        };
        let serving = self.engines.values().filter(serves).count() as u64;
        minimum > 0 && serving <= minimum
    }

    fn report_blocked(&mut self, name: &str) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if !engine.blocked && self.desired.is_always_needed(name) {
            engine.blocked = true;
            self.report(Step::Blocked, name);
        }
    }

    fn report(&mut self, step: Step, upstream: &str) {
        self.effects.push(Effect::Report(step, upstream.to_owned()));
    }
}

fn backoff_ms(tries: u32) -> u64 {
    let doubled = BACKOFF_BASE_MS.saturating_mul(1 << tries.min(10));
    doubled.min(MAX_BACKOFF_MS)
}
