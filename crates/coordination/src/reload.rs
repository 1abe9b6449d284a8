//! Rolling reload: brings engines to the newest weights, a share of them at a time.
//!
//! One host gives the orders. It takes an engine off new work, reads how many orders the engine has
//! accepted, orders the newest weights under the condition that the engine has accepted no other
//! order since, and reads again until the weights are there. An order that got no answer is given
//! again under the same condition, so that it is carried out once even when the first arrives late.
//! A version that was named while an engine waited is skipped. A host that has just begun to lead
//! waits until no order of the host before it can still be on its way.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use strum::Display;
use strum::IntoStaticStr;

use crate::upstream::ListedUpstream;
use crate::upstream_load::UpstreamLoads;
use state::time::Instant;

/// Tells what becomes of the requests that run when weights change.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum InFlightPolicy {
    /// Means that they go on under the new weights.
    Continue,
    /// Means that they end before the weights change.
    #[default]
    Finish,
}

/// Bounds a rolling reload; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Gives the time after an order in which no engine can have finished it.
    pub expected_load_ms: u64,
    /// Gives how many engines may reload at once however few there are.
    pub min_concurrent: usize,
    /// Bounds the time that an engine gets to end its work before its order, which is longer than
    /// most answers take.
    pub finish_wait_ms: u64,
    /// Gives the time between two reads of an engine that loads.
    pub read_interval_ms: u64,
    /// Tells what becomes of the requests that run.
    pub in_flight_policy: InFlightPolicy,
    /// Bounds the engines that load at once, in percent of all; as many more are taken off new work
    /// beside them, to end what runs there.
    pub share_percent: usize,
    /// Gives the time from when an engine is taken off new work until its order.
    pub propagation_ms: u64,
    /// Gives the time after an unanswered or refused order until the next try.
    pub retry_delay_ms: u64,
    /// Gives the time for which an engine that did not answer is left alone.
    pub unanswered_delay_ms: u64,
    /// Gives the time for which a host that begins to lead gives no orders.
    pub takeover_delay_ms: u64,
}

impl Default for Policy {
    /// Returns a policy for engines that load in about two seconds and for hosts that learn of a
    /// change within a third of a second.
    fn default() -> Self {
        Self {
            min_concurrent: 2,
            expected_load_ms: 1_900,
            finish_wait_ms: 2_500,
            read_interval_ms: 150,
            in_flight_policy: InFlightPolicy::Finish,
            share_percent: 20,
            propagation_ms: 350,
            retry_delay_ms: 500,
            unanswered_delay_ms: 2_000,
            takeover_delay_ms: 3_500,
        }
    }
}

/// Asks an engine to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Names the engine.
    pub id: String,
    /// Names the model.
    pub model: String,
    /// Counts the orders that the engine must have accepted before.
    pub expected_orders: u64,
    /// Tells what becomes of the requests that run.
    pub in_flight_policy: InFlightPolicy,
    /// Gives the version of the weights.
    pub version: u64,
}

/// Tells how an order was answered.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Means that the engine carries it out.
    Accepted,
    /// Means that the engine has these weights.
    Holds,
    /// Means that the engine has another order or has accepted another since.
    Refused,
    /// Means that the order may or may not be carried out, perhaps later.
    Unknown,
}

/// Holds what an engine says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Tells whether it carries out an order.
    pub loading: bool,
    /// Counts the orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Counts the requests that run.
    pub running: u32,
    /// Gives the weights version of each of its models.
    pub weights: BTreeMap<String, u64>,
}

/// Tells a reload what happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Brings the answer to an order.
    Answered(String, Outcome),
    /// Tells that this host leads from now on.
    LeadershipGained,
    /// Brings the upstreams of the platform's list.
    Listed(Vec<ListedUpstream>),
    /// Tells what all hosts have under way at engines.
    Loads(UpstreamLoads),
    /// Brings the newest weights versions.
    NewestVersions(BTreeMap<String, u64>),
    /// Brings what an engine says, or that it did not answer.
    Reported(String, Option<Report>),
    /// Lets time pass.
    Tick,
}

/// Tells what to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Tells that an engine has the weights that it was ordered to load.
    Done {
        /// Names the engine.
        id: String,
        /// Gives the time since the order, in milliseconds.
        took_ms: u64,
        /// Gives the version of the weights.
        version: u64,
    },
    /// Gives an order.
    Order(Order),
    /// Reads what an engine says of itself.
    Read(String),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Was given an order for `version` and is read from `next` on.
    Loading { next: Instant, version: u64 },
    /// Is being read before its order.
    Reading { again: Instant },
    /// Takes work.
    Settled,
    /// Gets no new work, until the other hosts know of it and fewer engines load.
    Spreading { since: Instant },
}

impl Phase {
    /// Returns whether an order was given or is about to be.
    fn is_ordered(self) -> bool {
        matches!(self, Self::Loading { .. } | Self::Reading { .. })
    }
}

#[derive(Clone, Debug)]
struct Engine {
    /// Gives the time before which the engine is left alone, because it did not answer.
    not_before: Instant,
    ordered: Instant,
    phase: Phase,
    seen: ListedUpstream,
    weights: BTreeMap<String, u64>,
}

/// Brings engines to the newest weights.
#[derive(Clone, Debug)]
pub struct Reload {
    engines: BTreeMap<String, Engine>,
    loads: UpstreamLoads,
    named: BTreeMap<String, u64>,
    orders_from: Option<Instant>,
    policy: Policy,
}

impl Reload {
    /// Returns a reload that knows no engine.
    pub fn new(policy: Policy) -> Self {
        Self {
            engines: BTreeMap::new(),
            loads: UpstreamLoads::new(),
            named: BTreeMap::new(),
            orders_from: None,
            policy,
        }
    }

    /// Takes `event` at `now` and returns what to do.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::Answered(id, outcome) => self.answered(now, &id, outcome),
            Event::LeadershipGained => self.led(now),
            Event::Listed(seen) => self.listed(seen),
            Event::Loads(loads) => self.loads = loads,
            Event::NewestVersions(named) => self.named = named,
            Event::Reported(id, report) => return self.reported(now, &id, report),
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// Returns whether an engine gets no new work because of its weights.
    pub fn is_loading(&self, id: &str) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| engine.phase != Phase::Settled)
    }

    /// Returns the newest known weights versions of an engine.
    pub fn weights(&self, id: &str) -> Option<&BTreeMap<String, u64>> {
        self.engines.get(id).map(|engine| &engine.weights)
    }

    fn led(&mut self, now: Instant) {
        self.orders_from = Some(now + self.policy.takeover_delay_ms);
        for engine in self.engines.values_mut() {
            engine.phase = Phase::Settled;
        }
    }

    fn listed(&mut self, seen: Vec<ListedUpstream>) {
        let mut old = std::mem::take(&mut self.engines);
        for seen in seen.into_iter().filter(|seen| !seen.weights.is_empty()) {
            let known = old.remove(&seen.id);
            let known = known.filter(|known| known.seen.started == seen.started);
            let mut engine = known.unwrap_or_else(|| Engine {
                not_before: Instant::default(),
                ordered: Instant::default(),
                phase: Phase::Settled,
                seen: seen.clone(),
                weights: BTreeMap::new(),
            });
            engine.note(&seen.weights);
            engine.seen = seen;
            self.engines.insert(engine.seen.id.clone(), engine);
        }
    }

    fn answered(&mut self, now: Instant, id: &str, outcome: Outcome) {
        let policy = self.policy;
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Phase::Loading { version, .. } = engine.phase else {
            return;
        };
        let wait = match outcome {
            Outcome::Accepted => policy.expected_load_ms,
            Outcome::Holds => 0,
            Outcome::Refused | Outcome::Unknown => policy.retry_delay_ms,
        };
        let next = now + wait;
        engine.phase = Phase::Loading { next, version };
    }

    fn reported(&mut self, now: Instant, id: &str, report: Option<Report>) -> Vec<Effect> {
        let policy = self.policy;
        let Some(engine) = self.engines.get_mut(id) else {
            return Vec::new();
        };
        let Some(report) = report else {
            // An engine that does not answer must not keep others from their turn.
            engine.phase = Phase::Settled;
            engine.not_before = now + policy.unanswered_delay_ms;
            return Vec::new();
        };
        engine.note(&report.weights);
        let lagging = engine.lagging(&self.named);
        match (engine.phase, lagging) {
            (Phase::Settled, _) => {}
            (Phase::Loading { version, .. }, _) if engine.has(version) => {
                // Where it lags again, others may lag further; it comes in its turn.
                engine.phase = Phase::Settled;
                return vec![Effect::Done {
                    id: id.to_owned(),
                    took_ms: now.since(engine.ordered),
                    version,
                }];
            }
            (_, None) => engine.phase = Phase::Settled,
            (phase, Some((_, newest))) if report.loading => {
                let version = match phase {
                    Phase::Loading { version, .. } => version,
                    _ => newest,
                };
                let next = now + policy.read_interval_ms;
                engine.phase = Phase::Loading { next, version };
            }
            (_, Some((model, version))) => {
                let next = now + policy.expected_load_ms;
                engine.phase = Phase::Loading { next, version };
                engine.ordered = now;
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
        if self.orders_from.is_none_or(|from| now < from) {
            return Vec::new();
        }
        self.begin(now);
        let policy = self.policy;
        let mut room = self.most().saturating_sub(self.count(Phase::is_ordered));
        let mut effects = Vec::new();
        for engine in self.engines.values_mut() {
            let due = match engine.phase {
                Phase::Settled => continue,
                Phase::Spreading { since } if self.loads.contains_key(&engine.seen.id) => {
                    since + policy.finish_wait_ms
                }
                Phase::Spreading { since } => since + policy.propagation_ms,
                Phase::Reading { again } => again,
                Phase::Loading { next, .. } => next,
            };
            let waits = matches!(engine.phase, Phase::Spreading { .. });
            if now < due || waits && room == 0 {
                continue;
            }
            room -= usize::from(waits);
            engine.phase = match engine.phase {
                Phase::Loading { version, .. } => Phase::Loading {
                    next: now + policy.read_interval_ms,
                    version,
                },
                _ => Phase::Reading {
                    again: now + policy.retry_delay_ms,
                },
            };
            effects.push(Effect::Read(engine.seen.id.clone()));
        }
        effects
    }

    /// Returns how many engines may load at once.
    fn most(&self) -> usize {
        let stay = self.engines.values().filter(|engine| !engine.seen.leaving);
        (stay.count() * self.policy.share_percent / 100).max(self.policy.min_concurrent)
    }

    fn count(&self, is: impl Fn(Phase) -> bool) -> usize {
        let engines = self.engines.values();
        engines.filter(|engine| is(engine.phase)).count()
    }

    /// Takes the engines that lag furthest, of these the least busy, off new work as far as the
    /// share allows.
    fn begin(&mut self, now: Instant) {
        let most = self.most() * 2;
        let busy = self.count(|phase| phase != Phase::Settled);
        let running = |id: &str| self.loads.get(id).map_or(0, |load| load.running);
        let mut lagging: Vec<(Reverse<u64>, u32, String)> = self
            .engines
            .values()
            .filter(|engine| engine.phase == Phase::Settled && !engine.seen.leaving)
            .filter(|engine| now >= engine.not_before)
            .filter_map(|engine| {
                let behind = Reverse(engine.behind(&self.named)?);
                Some((behind, running(&engine.seen.id), engine.seen.id.clone()))
            })
            .collect();
        lagging.sort();
        for (_, _, id) in lagging.into_iter().take(most.saturating_sub(busy)) {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.phase = Phase::Spreading { since: now };
            }
        }
    }
}

impl Engine {
    /// Notes versions that were seen; one never goes back while the engine runs.
    fn note(&mut self, weights: &BTreeMap<String, u64>) {
        for (model, version) in weights {
            let known = self.weights.entry(model.clone()).or_default();
            *known = (*known).max(*version);
        }
    }

    /// Returns whether any model has that version or a newer one.
    fn has(&self, version: u64) -> bool {
        self.weights.values().any(|known| *known >= version)
    }

    fn behind(&self, named: &BTreeMap<String, u64>) -> Option<u64> {
        let behind = self.weights.iter().filter_map(|(model, version)| {
            let newest = named.get(model)?;
            (newest > version).then(|| newest - version)
        });
        behind.max()
    }

    fn lagging(&self, named: &BTreeMap<String, u64>) -> Option<(String, u64)> {
        let mut lagging = self.weights.iter().filter_map(|(model, version)| {
            let newest = named.get(model)?;
            (newest > version).then(|| (model.clone(), *newest))
        });
        lagging.next()
    }
}
