//! Tests of rolling reloads, against simulated engines whose weights lag.

mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::upstream_fixtures::listed_upstream;
use coordination::reload::Effect;
use coordination::reload::Event;
use coordination::reload::Outcome;
use coordination::reload::Policy;
use coordination::reload::Reload;
use coordination::reload::Report;
use coordination::upstream_load::UpstreamLoad;
use state::time::Instant;

const MODEL: &str = "m";

/// Drives a rolling reload against engines that load for as long as the policy expects.
struct Simulation {
    now_ms: u64,
    unresponsive: Vec<String>,
    engines: BTreeMap<String, Engine>,
    effect_log: Vec<(u64, Effect)>,
    /// Largest number of engines that were off new work at once.
    max_out_of_service: usize,
    /// Time after which orders are carried out without an answer, in milliseconds; 0 if they are
    /// answered at once.
    order_delay_ms: u64,
    /// Whether only every fifth engine loads as fast as the policy expects; the others take longer.
    uneven_loads: bool,
    reload: Reload,
    running: BTreeMap<String, UpstreamLoad>,
}

#[derive(Default)]
struct Engine {
    /// Unanswered orders: the time at which each is carried out, its condition and its version.
    late_orders: Vec<(u64, u64, u64)>,
    /// End of the load under way, and the version being loaded.
    loading: Option<(u64, u64)>,
    orders: u64,
    version: u64,
}

impl Simulation {
    fn new(engines: usize) -> Self {
        let names = (0..engines).map(|index| format!("e{index:02}"));
        let engines: BTreeMap<String, Engine> = names
            .map(|name| {
                let version = 1;
                let engine = Engine {
                    version,
                    ..Engine::default()
                };
                (name, engine)
            })
            .collect();
        let mut simulation = Self {
            now_ms: 0,
            unresponsive: Vec::new(),
            engines,
            effect_log: Vec::new(),
            max_out_of_service: 0,
            order_delay_ms: 0,
            uneven_loads: false,
            reload: Reload::new(Policy::default()),
            running: BTreeMap::new(),
        };
        simulation.list();
        simulation.step(Event::LeadershipGained);
        simulation
    }

    fn order_delay_ms(mut self, order_delay_ms: u64) -> Self {
        self.order_delay_ms = order_delay_ms;
        self
    }

    fn uneven_loads(mut self) -> Self {
        self.uneven_loads = true;
        self
    }

    fn unresponsive(mut self, id: &str) -> Self {
        self.unresponsive.push(id.to_owned());
        self
    }

    fn running(mut self, id: &str) -> Self {
        let load = UpstreamLoad {
            long_prompt_tokens: 0,
            last_byte_age_ms: None,
            running: 1,
            pending_prefill_tokens: 0,
        };
        self.running.insert(id.to_owned(), load);
        self
    }

    fn publish_version(mut self, version: u64) -> Self {
        self.step(Event::NewestVersions(BTreeMap::from([(
            MODEL.to_owned(),
            version,
        )])));
        self
    }

    /// Advances the time in steps of a tenth of a second.
    fn advance(mut self, millis: u64) -> Self {
        let until = self.now_ms + millis;
        while self.now_ms < until {
            self.now_ms += 100;
            for engine in self.engines.values_mut() {
                if let Some((due, version)) = engine.loading
                    && self.now_ms >= due
                {
                    engine.version = version;
                    engine.loading = None;
                }
            }
            self.carry_out_late_orders();
            self.step(Event::Loads(self.running.clone()));
            self.step(Event::Tick);
            let out_of_service = self.engines.keys().filter(|id| self.reload.is_loading(id));
            self.max_out_of_service = self.max_out_of_service.max(out_of_service.count());
        }
        self
    }

    fn list(&mut self) {
        let listed = self.engines.iter();
        let listed = listed.map(|(id, engine)| listed_upstream(id, MODEL, engine.version));
        let listed = listed.collect();
        self.step(Event::Listed(listed));
    }

    fn step(&mut self, event: Event) {
        let mut effects = self.reload.step(Instant(self.now_ms), event);
        while let Some(effect) = effects.pop() {
            self.effect_log.push((self.now_ms, effect.clone()));
            let next = match effect {
                Effect::Done { .. } | Effect::Withdrawn { .. } => continue,
                Effect::Order(order) => {
                    let outcome = self.order(&order.id, order.expected_orders, order.version);
                    Event::Answered(order.id, outcome)
                }
                Effect::Read(id) => {
                    let report = self.report(&id);
                    Event::Reported(id, report)
                }
            };
            effects.extend(self.reload.step(Instant(self.now_ms), next));
        }
    }

    fn carry_out_late_orders(&mut self) {
        let now_ms = self.now_ms;
        let ids: Vec<String> = self.engines.keys().cloned().collect();
        for id in ids {
            let engine = self.engines.get_mut(&id).unwrap();
            let due: Vec<(u64, u64, u64)> = engine
                .late_orders
                .extract_if(.., |(at, _, _)| *at <= now_ms)
                .collect();
            for (_, orders, version) in due {
                self.carry_out(&id, orders, version);
            }
        }
    }

    fn order(&mut self, id: &str, orders: u64, version: u64) -> Outcome {
        if self.order_delay_ms == 0 {
            return self.carry_out(id, orders, version);
        }
        let at = self.now_ms + self.order_delay_ms;
        let engine = self.engines.get_mut(id).unwrap();
        engine.late_orders.push((at, orders, version));
        Outcome::Unknown
    }

    fn carry_out(&mut self, id: &str, orders: u64, version: u64) -> Outcome {
        let at = self.now_ms;
        let load_ms = match self.uneven_loads {
            false => 1_900,
            true => 1_900 + 400 * (id.bytes().map(u64::from).sum::<u64>() % 5),
        };
        let engine = self.engines.get_mut(id).unwrap();
        if engine.loading.is_some() || engine.orders != orders {
            return Outcome::Refused;
        }
        engine.orders += 1;
        engine.loading = Some((at + load_ms, version));
        Outcome::Accepted
    }

    fn report(&self, id: &str) -> Option<Report> {
        let engine = &self.engines[id];
        (!self
            .unresponsive
            .iter()
            .any(|unresponsive| unresponsive == id))
        .then(|| Report {
            loading: engine.loading.is_some(),
            accepted_orders: engine.orders,
            running: 0,
            weights: BTreeMap::from([(MODEL.to_owned(), engine.version)]),
        })
    }

    fn orders(&self) -> Vec<(u64, String, u64)> {
        let orders = self
            .effect_log
            .iter()
            .filter_map(|(at, effect)| match effect {
                Effect::Order(order) => Some((*at, order.id.clone(), order.version)),
                Effect::Done { .. } | Effect::Read(_) | Effect::Withdrawn { .. } => None,
            });
        orders.collect()
    }

    fn max_concurrent_loads(&self) -> usize {
        let mut max = 0;
        for (at, _, _) in self.orders() {
            let overlapping = self.orders().into_iter();
            let overlapping =
                overlapping.filter(|(other, _, _)| *other <= at && at < *other + 1_900);
            max = max.max(overlapping.count());
        }
        max
    }

    fn versions(&self) -> Vec<u64> {
        self.engines.values().map(|engine| engine.version).collect()
    }
}

// A fifth of 18 engines is 3.
#[test]
fn all_engines_get_the_newest_weights_a_fifth_at_once() {
    let simulation = Simulation::new(18)
        .advance(4_000)
        .publish_version(2)
        .advance(15_000);
    assert_eq!(simulation.versions(), vec![2; 18]);
    assert_eq!(simulation.orders().len(), 18);
    assert_eq!(simulation.max_concurrent_loads(), 3);
}

#[test]
fn a_new_leader_sends_no_order_while_one_of_the_previous_leader_may_arrive() {
    let simulation = Simulation::new(4).publish_version(2).advance(10_000);
    let first_order_at = simulation.orders()[0].0;
    assert!(
        first_order_at >= Policy::default().takeover_delay_ms,
        "{first_order_at}"
    );
}

#[test]
fn engines_that_still_wait_skip_a_superseded_version() {
    let simulation = Simulation::new(18)
        .advance(4_000)
        .publish_version(2)
        .advance(4_000)
        .publish_version(3)
        .advance(25_000);
    assert_eq!(simulation.versions(), vec![3; 18]);
    let twice = simulation
        .orders()
        .iter()
        .filter(|(_, _, v)| *v == 2)
        .count();
    assert!(twice < 9, "{twice} engines loaded twice");
}

// An engine that has just loaded version 2 must not get version 3 before those still at version 1.
#[test]
fn the_engine_that_is_most_versions_behind_is_updated_first() {
    let simulation = Simulation::new(4)
        .advance(4_000)
        .publish_version(2)
        .advance(2_600)
        .publish_version(3)
        .advance(20_000);
    let orders = simulation.orders();
    let ids: Vec<&String> = orders.iter().map(|(_, id, _)| id).collect();
    assert_eq!(ids[..4], ["e01", "e00", "e03", "e02"], "{orders:?}");
}

// Guards against engines that are off new work and never get their order, because others that were
// taken off later get every load that becomes free.
#[test]
fn no_engine_waits_for_its_order_while_others_load_version_after_version() {
    let mut simulation = Simulation::new(25).uneven_loads().advance(4_000);
    for version in 2..=12 {
        simulation = simulation.publish_version(version).advance(4_500);
        // The version four before this one was named 22.5 s ago.
        let oldest_allowed = version.saturating_sub(4);
        let versions = simulation.versions();
        assert!(
            versions.iter().all(|v| *v >= oldest_allowed),
            "{versions:?}"
        );
    }
}

// Guards against engines that keep their place among those that load: an order that is carried out
// late leaves them at a version that was replaced since, and they get the next order at once.
#[test]
fn an_engine_that_loaded_an_older_version_waits_for_its_next_turn() {
    let mut simulation = Simulation::new(12).order_delay_ms(2_500).advance(4_000);
    for version in 2..=9 {
        simulation = simulation.publish_version(version).advance(2_000);
    }
    let loads: Vec<u64> = simulation.engines.values().map(|e| e.orders).collect();
    assert!(loads.iter().all(|loads| *loads <= 1), "{loads:?}");
    assert!(loads.iter().sum::<u64>() >= 6, "{loads:?}");
}

// Guards against a reload that takes too long because orders without an answer, which may be lost,
// count as loads.
#[test]
fn all_engines_load_within_the_limit_though_no_order_is_answered() {
    let simulation = Simulation::new(18)
        .order_delay_ms(4_000)
        .advance(4_000)
        .publish_version(2)
        .advance(22_500);
    assert_eq!(simulation.versions(), vec![2; 18]);
    assert!(simulation.max_out_of_service <= 6);
}

// Four engines do not answer, more than may load at once.
#[test]
fn engines_that_do_not_answer_do_not_delay_the_others() {
    let simulation = Simulation::new(10)
        .unresponsive("e00")
        .unresponsive("e01")
        .unresponsive("e02")
        .unresponsive("e03")
        .advance(4_000)
        .publish_version(2)
        .advance(12_000);
    assert_eq!(simulation.versions()[4..], [2; 6]);
}

// An engine that always has requests in flight must not keep its old weights for ever.
#[test]
fn an_engine_gets_its_order_once_its_requests_ended_or_after_a_wait() {
    let simulation = Simulation::new(4)
        .running("e00")
        .running("e01")
        .advance(4_000)
        .publish_version(2)
        .advance(1_000);
    let ids: Vec<String> = simulation
        .orders()
        .into_iter()
        .map(|(_, id, _)| id)
        .collect();
    assert!(ids.iter().all(|id| id == "e02" || id == "e03"), "{ids:?}");
    let simulation = simulation.advance(14_000);
    assert_eq!(simulation.versions(), vec![2; 4]);
}

// The first order may still arrive late: with the same count of accepted orders as its condition,
// the engine carries out only one of the two.
#[test]
fn an_order_without_an_answer_is_repeated_under_the_same_condition() {
    let mut reload = Reload::new(Policy::default());
    let mut at = 0;
    let mut step = |reload: &mut Reload, wait: u64, event: Event| {
        at += wait;
        reload.step(Instant(at), event)
    };
    let report = || {
        Some(Report {
            accepted_orders: 7,
            weights: BTreeMap::from([(MODEL.to_owned(), 1)]),
            ..Report::default()
        })
    };
    step(&mut reload, 0, Event::LeadershipGained);
    step(
        &mut reload,
        0,
        Event::Listed(vec![listed_upstream("e", MODEL, 1)]),
    );
    let named = BTreeMap::from([(MODEL.to_owned(), 2)]);
    step(&mut reload, 0, Event::NewestVersions(named));
    step(&mut reload, 4_000, Event::Tick);
    assert_eq!(
        step(&mut reload, 400, Event::Tick),
        [Effect::Read("e".to_owned())]
    );
    let first = step(&mut reload, 1, Event::Reported("e".to_owned(), report()));
    let answered = Event::Answered("e".to_owned(), Outcome::Unknown);
    step(&mut reload, 600, answered);
    assert_eq!(
        step(&mut reload, 500, Event::Tick),
        [Effect::Read("e".to_owned())]
    );
    let again = step(&mut reload, 1, Event::Reported("e".to_owned(), report()));
    assert_eq!(first, again);
    let Effect::Order(order) = &again[0] else {
        panic!("{again:?} is not an order");
    };
    assert_eq!(order.expected_orders, 7);
}

// A list that lags must not take back a version, but a new process may have older weights.
#[test]
fn the_weights_of_a_restarted_engine_may_be_older_than_before() {
    let mut reload = Reload::new(Policy::default());
    let mut listed = listed_upstream("e", MODEL, 3);
    reload.step(Instant(0), Event::Listed(vec![listed.clone()]));
    listed.weights.insert(MODEL.to_owned(), 2);
    reload.step(Instant(1), Event::Listed(vec![listed.clone()]));
    assert_eq!(reload.weights("e").unwrap()[MODEL], 3);
    listed.started += 1;
    reload.step(Instant(2), Event::Listed(vec![listed]));
    assert_eq!(reload.weights("e").unwrap()[MODEL], 2);
}
