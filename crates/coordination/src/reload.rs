//! Rolling reload: updates engines to the newest weights, a share of them at a time.
//!
//! Only the leader sends orders. It takes an engine off new work, reads how many orders the engine
//! has accepted, orders the newest weights on the condition that the engine has accepted no other
//! order since, and reads again until the weights are loaded. An order without an answer is sent
//! again under the same condition, so that it is carried out once even when the first one arrives
//! late; until the engine is seen to load, it goes on serving. When a newer version appears while
//! an engine waits, the older one is skipped. A new leader sends no orders until no order of the
//! previous leader can still arrive.
//!
//! Engines take turns: those that have lagged longest come first, and a turn ends after one load,
//! or after a while without one, so that no engine keeps the others waiting.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use strum::Display;
use strum::IntoStaticStr;

use crate::load_time;
use crate::load_time::LoadTimes;
use crate::reload_engine::Engine;
use crate::reload_engine::Phase;
use crate::reload_engine::Urgency;
use crate::upstream::ListedUpstream;
use crate::upstream_load::UpstreamLoads;
use state::time::Instant;

/// What happens to the requests in flight at an engine when its weights change.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum InFlightPolicy {
    /// The requests continue with the new weights.
    Continue,
    /// The requests finish before the weights change.
    #[default]
    Finish,
}

/// The configuration of a rolling reload.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Number of engines that may always load at once, however small the share is.
    pub min_concurrent: usize,
    /// Time that an engine with requests in flight has to finish them before its order, in
    /// milliseconds; most answers take less.
    pub finish_wait_ms: u64,
    /// Time after which a read that got no answer is repeated, in milliseconds.
    pub read_interval_ms: u64,
    /// Time after which an engine is read whose order has got neither an answer nor an error, in
    /// milliseconds.
    pub answer_wait_ms: u64,
    /// What happens to the requests in flight.
    pub in_flight_policy: InFlightPolicy,
    /// Maximum share of the engines that load at once, in percent; as many more may be off new work
    /// to finish their requests.
    pub share_percent: usize,
    /// Time until all hosts know that an engine is off new work, in milliseconds; its order waits
    /// for that long.
    pub propagation_ms: u64,
    /// Time after an unanswered or refused order until the engine is read again, in milliseconds.
    pub retry_delay_ms: u64,
    /// Time for which an engine that did not answer a read is skipped, in milliseconds.
    pub unanswered_delay_ms: u64,
    /// Time for which a new leader sends no orders, in milliseconds.
    pub takeover_delay_ms: u64,
    /// Time in which an engine that is ordered must begin to load, and then load, in milliseconds;
    /// otherwise it makes way for the others. An answer in flight may take as long.
    pub turn_limit_ms: u64,
}

impl Default for Policy {
    /// Returns a policy for a fleet where every host learns of a change within a third of a second.
    fn default() -> Self {
        Self {
            min_concurrent: 2,
            answer_wait_ms: 1_900,
            finish_wait_ms: 2_500,
            read_interval_ms: 150,
            in_flight_policy: InFlightPolicy::Finish,
            share_percent: 20,
            propagation_ms: 350,
            retry_delay_ms: 500,
            unanswered_delay_ms: 2_000,
            takeover_delay_ms: 3_500,
            turn_limit_ms: 12_000,
        }
    }
}

/// An order to an engine to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Id of the engine.
    pub id: String,
    /// Name of the model.
    pub model: String,
    /// Number of orders that the engine must have accepted before; otherwise it refuses this one.
    pub expected_orders: u64,
    /// What happens to the requests in flight.
    pub in_flight_policy: InFlightPolicy,
    /// Version of the weights.
    pub version: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The engine carries out the order.
    Accepted,
    /// The engine already has these weights.
    Holds,
    /// The engine carries out another order, or has accepted another one since it was read.
    Refused,
    /// The order may or may not be carried out, now or later.
    Unknown,
}

/// The state of an engine, as the engine reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Whether the engine carries out an order.
    pub loading: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Number of requests in flight at the engine.
    pub running: u32,
    /// Weights version of each model of the engine.
    pub weights: BTreeMap<String, u64>,
}

/// An input of a rolling reload.
#[derive(Clone, Debug)]
pub enum Event {
    /// An order to this engine was answered or timed out.
    Answered(String, Outcome),
    /// This host became the leader.
    LeadershipGained,
    /// The platform's list of upstreams was read.
    Listed(Vec<ListedUpstream>),
    /// The load of each engine, summed over all hosts.
    Loads(UpstreamLoads),
    /// The newest weights version of each model.
    NewestVersions(BTreeMap<String, u64>),
    /// An engine was read; `None` if it did not answer.
    Reported(String, Option<Report>),
    /// Time has passed.
    Tick,
}

/// An action that a rolling reload requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Report that an engine has loaded the weights that it was ordered to load.
    Done {
        /// Id of the engine.
        id: String,
        /// Time since the order, in milliseconds.
        took_ms: u64,
        /// Version of the weights.
        version: u64,
    },
    /// Send an order.
    Order(Order),
    /// Read the report of an engine.
    Read(String),
    /// Report that an engine was taken off new work, and now waits for its order.
    Withdrawn {
        /// By how many versions the engine lags.
        behind: u64,
        /// Id of the engine.
        id: String,
        /// Number of its requests in flight.
        running: u32,
    },
}

/// Plans the reads and orders that update all engines to the newest weights.
#[derive(Clone, Debug)]
pub struct Reload {
    engines: BTreeMap<String, Engine>,
    load_times: LoadTimes,
    loads: UpstreamLoads,
    newest_versions: BTreeMap<String, u64>,
    orders_allowed_from: Option<Instant>,
    policy: Policy,
}

impl Reload {
    /// Returns a rolling reload without any engine.
    pub fn new(policy: Policy) -> Self {
        Self {
            engines: BTreeMap::new(),
            load_times: LoadTimes::default(),
            loads: UpstreamLoads::new(),
            newest_versions: BTreeMap::new(),
            orders_allowed_from: None,
            policy,
        }
    }

    /// Processes `event` at `now` and returns the resulting effects.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::Answered(id, outcome) => self.order_answered(now, &id, outcome),
            Event::LeadershipGained => self.leadership_gained(now),
            Event::Listed(listed) => self.listed(now, listed),
            Event::Loads(loads) => self.loads = loads,
            Event::NewestVersions(newest_versions) => self.versions_named(now, newest_versions),
            Event::Reported(id, report) => return self.reported(now, &id, report),
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// Returns whether an engine is off new work because its weights are being updated.
    pub fn is_loading(&self, id: &str) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(Engine::is_out_of_service)
    }

    /// Returns the newest weights versions that an engine is known to have.
    pub fn weights(&self, id: &str) -> Option<&BTreeMap<String, u64>> {
        self.engines.get(id).map(|engine| &engine.weights)
    }

    fn leadership_gained(&mut self, now: Instant) {
        self.orders_allowed_from = Some(now + self.policy.takeover_delay_ms);
        for engine in self.engines.values_mut() {
            engine.serve();
        }
    }

    fn versions_named(&mut self, now: Instant, newest_versions: BTreeMap<String, u64>) {
        self.newest_versions = newest_versions;
        for engine in self.engines.values_mut() {
            engine.forget_unnamed(&self.newest_versions);
            engine.record_lag(now, &self.newest_versions);
        }
    }

    fn listed(&mut self, now: Instant, upstreams: Vec<ListedUpstream>) {
        let mut old = std::mem::take(&mut self.engines);
        for listed in upstreams
            .into_iter()
            .filter(|listed| !listed.weights.is_empty())
        {
            let known = old.remove(&listed.id);
            let known = known.filter(|known| known.listed.started == listed.started);
            let mut engine = known.unwrap_or_else(|| Engine::new(listed.clone()));
            engine.record_weights(&listed.weights, &self.newest_versions);
            engine.record_lag(now, &self.newest_versions);
            if listed.leaving && matches!(engine.phase, Phase::Withdrawn { .. }) {
                engine.serve();
            }
            engine.listed = listed;
            self.engines.insert(engine.listed.id.clone(), engine);
        }
    }

    fn order_answered(&mut self, now: Instant, id: &str, outcome: Outcome) {
        let policy = self.policy;
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Phase::Loading {
            orders, version, ..
        } = engine.phase
        else {
            return;
        };
        let wait = match outcome {
            Outcome::Accepted => self.load_times.first_read_ms(&engine.listed.service),
            Outcome::Holds => 0,
            Outcome::Refused | Outcome::Unknown => policy.retry_delay_ms,
        };
        engine.is_unconfirmed = match outcome {
            Outcome::Accepted | Outcome::Holds => false,
            Outcome::Refused => engine.is_unconfirmed,
            Outcome::Unknown => true,
        };
        engine.phase = Phase::Loading {
            next_read: now + wait,
            orders,
            version,
        };
    }

    fn reported(&mut self, now: Instant, id: &str, report: Option<Report>) -> Vec<Effect> {
        let policy = self.policy;
        let Some(engine) = self.engines.get_mut(id) else {
            return Vec::new();
        };
        let Some(report) = report else {
            // An engine that does not answer must not delay the other engines.
            engine.serve();
            engine.not_before = now + policy.unanswered_delay_ms;
            return Vec::new();
        };
        engine.record_weights(&report.weights, &self.newest_versions);
        engine.record_lag(now, &self.newest_versions);
        let update = engine.next_update(&self.newest_versions);
        match (engine.phase, update) {
            (Phase::Serving, _) => {}
            (
                Phase::Loading {
                    orders, version, ..
                },
                _,
            ) if engine.has_version(version)
                || !report.loading && report.accepted_orders > orders =>
            {
                // If a newer version has appeared, other engines may be further behind; this one
                // waits for its turn. So does an engine that carried out an earlier order, whose
                // answer was lost, in place of the last one.
                engine.serve();
                engine.failed_turns = 0;
                let took_ms = now.since(engine.ordered);
                let service = engine.listed.service.clone();
                self.load_times.record(service, took_ms);
                return vec![Effect::Done {
                    id: id.to_owned(),
                    took_ms,
                    version: engine.ordered_weights().min(version),
                }];
            }
            (_, None) => engine.serve(),
            (phase, Some((model, newest_version))) if report.loading => {
                let (orders, version) = match phase {
                    Phase::Loading {
                        orders, version, ..
                    } => (orders, version),
                    _ => {
                        engine.ordered = now;
                        engine.ordered_model = model;
                        (report.accepted_orders.saturating_sub(1), newest_version)
                    }
                };
                engine.record_load(now);
                engine.phase = Phase::Loading {
                    next_read: now + load_time::next_read_ms(now.since(engine.ordered)),
                    orders,
                    version,
                };
            }
            (_, Some((model, version))) => {
                engine.phase = Phase::Loading {
                    next_read: now + policy.answer_wait_ms,
                    orders: report.accepted_orders,
                    version,
                };
                engine.ordered = now;
                engine.ordered_model.clone_from(&model);
                return vec![Effect::Order(Order {
                    id: id.to_owned(),
                    model,
                    expected_orders: report.accepted_orders,
                    in_flight_policy: policy.in_flight_policy,
                    version,
                })];
            }
        }
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<Effect> {
        if self.orders_allowed_from.is_none_or(|from| now < from) {
            return Vec::new();
        }
        let policy = self.policy;
        for engine in self.engines.values_mut() {
            if engine.has_overrun(now, policy.turn_limit_ms) {
                engine.fail_turn(now, policy.unanswered_delay_ms);
            }
        }
        let mut effects = self.withdraw_lagging(now);
        let free_loads = self.free_loads();
        let mut due = self.due_reads(now);
        let due_orders = self.due_orders(now);
        self.record_waits(now, &due_orders);
        due.extend(due_orders.into_iter().take(free_loads));
        for id in due {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.phase = match engine.phase {
                    Phase::Loading {
                        orders, version, ..
                    } => Phase::Loading {
                        next_read: now + policy.read_interval_ms,
                        orders,
                        version,
                    },
                    phase => {
                        if matches!(phase, Phase::Withdrawn { .. }) {
                            engine.begin_turn(now);
                        }
                        let next_read = now + policy.retry_delay_ms;
                        Phase::Reading { next_read }
                    }
                };
                effects.push(Effect::Read(id));
            }
        }
        effects
    }

    /// Returns the ordered engines whose next read is due.
    fn due_reads(&self, now: Instant) -> Vec<String> {
        let is_due = |engine: &&Engine| match engine.phase {
            Phase::Loading { next_read, .. } | Phase::Reading { next_read } => now >= next_read,
            Phase::Serving | Phase::Withdrawn { .. } => false,
        };
        let due = self.engines.values().filter(is_due);
        due.map(|engine| engine.listed.id.clone()).collect()
    }

    /// Returns the withdrawn engines that may get their order, the most urgent first and among
    /// equals the ones that wait longest. In any other order, an engine could wait for as long as
    /// new versions appear.
    fn due_orders(&self, now: Instant) -> Vec<String> {
        let mut due: Vec<(Urgency, Instant, String)> = self
            .engines
            .values()
            .filter_map(|engine| {
                let Phase::Withdrawn { since } = engine.phase else {
                    return None;
                };
                let wait_ms = match self.loads.contains_key(&engine.listed.id) {
                    false => self.policy.propagation_ms,
                    true => self.policy.finish_wait_ms,
                };
                let urgency = engine.urgency(&self.newest_versions);
                (now >= since + wait_ms).then(|| (urgency, since, engine.listed.id.clone()))
            })
            .collect();
        due.sort();
        due.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Records how long the engines that have become ready for their order took for it.
    fn record_waits(&mut self, now: Instant, due: &[String]) {
        for id in due {
            if let Some(engine) = self.engines.get_mut(id)
                && let Phase::Withdrawn { since } = engine.phase
                && !std::mem::replace(&mut engine.is_ready, true)
            {
                let service = engine.listed.service.clone();
                self.load_times.record_wait(service, now.since(since));
            }
        }
    }

    /// Returns how many more engines may get an order. As many orders as may load at once may
    /// besides be without an answer, since most of these are lost or late.
    fn free_loads(&self) -> usize {
        let max_loading = self.max_loading();
        let is_ordered = |engine: &Engine| engine.phase.is_ordered();
        let is_confirmed = |engine: &Engine| is_ordered(engine) && !engine.is_unconfirmed;
        let by_loads = max_loading.saturating_sub(self.count(is_confirmed));
        by_loads.min((2 * max_loading).saturating_sub(self.count(is_ordered)))
    }

    /// Returns how many engines may load at once.
    fn max_loading(&self) -> usize {
        let staying = self
            .engines
            .values()
            .filter(|engine| !engine.listed.leaving);
        (staying.count() * self.policy.share_percent / 100).max(self.policy.min_concurrent)
    }

    fn count(&self, is_counted: impl Fn(&Engine) -> bool) -> usize {
        let engines = self.engines.values();
        engines.filter(|engine| is_counted(engine)).count()
    }

    /// Takes engines off new work, as many as the share allows and as many more as should wait for
    /// their order meanwhile: the most urgent first, and among equals the ones with the fewest
    /// requests in flight.
    fn withdraw_lagging(&mut self, now: Instant) -> Vec<Effect> {
        let max_loading = self.max_loading();
        let services = self
            .engines
            .values()
            .map(|engine| &engine.listed.service)
            .collect::<BTreeSet<_>>();
        let waiting = services
            .into_iter()
            .map(|service| self.load_times.waiting_engines(service, max_loading))
            .max();
        // An engine whose order got no answer goes on serving, and must not keep others waiting.
        let unconfirmed = self.count(|engine| engine.is_unconfirmed).min(max_loading);
        let waiting = waiting.unwrap_or(max_loading).max(unconfirmed);
        let max_withdrawn = max_loading + waiting;
        let in_turn = self.count(|engine| engine.phase != Phase::Serving);
        let running = |id: &str| self.loads.get(id).map_or(0, |load| load.running);
        let mut lagging: Vec<(Urgency, u32, String)> = self
            .engines
            .values()
            .filter(|engine| engine.phase == Phase::Serving && !engine.listed.leaving)
            .filter(|engine| now >= engine.not_before)
            .filter(|engine| engine.versions_behind(&self.newest_versions) > 0)
            .map(|engine| {
                let urgency = engine.urgency(&self.newest_versions);
                let id = &engine.listed.id;
                (urgency, running(id), id.clone())
            })
            .collect();
        lagging.sort();
        lagging.truncate(max_withdrawn.saturating_sub(in_turn));
        for (_, _, id) in &lagging {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.phase = Phase::Withdrawn { since: now };
                engine.is_ready = false;
            }
        }
        let withdrawn = lagging.into_iter();
        let withdrawn = withdrawn.map(|(urgency, running, id)| Effect::Withdrawn {
            behind: urgency.behind.0,
            id,
            running,
        });
        withdrawn.collect()
    }
}
