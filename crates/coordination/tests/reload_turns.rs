//! Tests of the turns of engines in a rolling reload: an engine that does not load, or has several
//! models, must not keep the others from their update.

mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::upstream_fixtures::listed_upstream;
use coordination::reload::Effect;
use coordination::reload::Event;
use coordination::reload::Outcome;
use coordination::reload::Policy;
use coordination::reload::Reload;
use coordination::reload::Report;
use state::time::Instant;

/// How an engine treats its orders.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Carries them out.
    None,
    /// Orders get no answer and are lost.
    Loses,
    /// Orders are refused.
    Refuses,
    /// Reports an order under way for good.
    Stuck,
}

struct Engine {
    fault: Fault,
    loading: Option<(u64, String, u64)>,
    orders: u64,
    weights: BTreeMap<String, u64>,
}

/// ID of an engine, its fault, and the versions of its models.
type Start = (String, Fault, Vec<(&'static str, u64)>);

/// Drives a rolling reload against simulated engines, some of which have a fault.
struct Fleet {
    now_ms: u64,
    engines: BTreeMap<String, Engine>,
    reload: Reload,
    served_while_loading: bool,
    ordered: Vec<String>,
}

impl Fleet {
    fn new(engines: Vec<Start>) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            engines: BTreeMap::new(),
            reload: Reload::new(Policy::default()),
            served_while_loading: false,
            ordered: Vec::new(),
        };
        for (id, fault, weights) in engines {
            let weights = weights
                .into_iter()
                .map(|(m, v)| (m.to_owned(), v))
                .collect();
            let engine = Engine {
                fault,
                loading: None,
                orders: 0,
                weights,
            };
            fleet.engines.insert(id, engine);
        }
        fleet.list(&[]);
        fleet.step(Event::LeadershipGained);
        fleet
    }

    fn list(&mut self, leaving: &[&str]) {
        let listed = self.engines.iter().map(|(id, engine)| {
            let mut listed = listed_upstream(id, "m", 1);
            listed.weights = engine.weights.clone();
            listed.leaving = leaving.contains(&id.as_str());
            listed
        });
        let listed = listed.collect();
        self.step(Event::Listed(listed));
    }

    fn name(&mut self, versions: &[(&str, u64)]) {
        let versions = versions
            .iter()
            .map(|(m, v)| ((*m).to_owned(), *v))
            .collect();
        self.step(Event::NewestVersions(versions));
    }

    fn step(&mut self, event: Event) {
        let mut effects = self.reload.step(Instant(self.now_ms), event);
        while let Some(effect) = effects.pop() {
            let next = match effect {
                Effect::Done { .. } | Effect::Withdrawn { .. } => continue,
                Effect::Order(order) => {
                    self.ordered.push(order.id.clone());
                    let engine = self.engines.get_mut(&order.id).unwrap();
                    let outcome = match engine.fault {
                        Fault::None if engine.loading.is_none() => {
                            engine.orders += 1;
                            engine.loading =
                                Some((self.now_ms + 2_500, order.model, order.version));
                            Outcome::Accepted
                        }
                        Fault::Loses => Outcome::Unknown,
                        Fault::None | Fault::Refuses | Fault::Stuck => Outcome::Refused,
                    };
                    Event::Answered(order.id, outcome)
                }
                Effect::Read(id) => {
                    let engine = &self.engines[&id];
                    let report = Report {
                        loading: engine.loading.is_some() || engine.fault == Fault::Stuck,
                        accepted_orders: engine.orders,
                        running: 0,
                        weights: engine.weights.clone(),
                    };
                    Event::Reported(id, Some(report))
                }
            };
            effects.extend(self.reload.step(Instant(self.now_ms), next));
        }
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now_ms + millis;
        while self.now_ms < until {
            self.now_ms += 100;
            let now = self.now_ms;
            for engine in self.engines.values_mut() {
                if let Some((_, model, version)) = engine.loading.take_if(|(due, _, _)| *due <= now)
                {
                    engine.weights.insert(model, version);
                }
            }
            self.step(Event::Tick);
            let loading = self.engines.iter().filter(|(_, e)| e.loading.is_some());
            self.served_while_loading |= loading
                .filter(|(_, e)| {
                    e.loading
                        .as_ref()
                        .is_some_and(|(due, _, _)| due - now < 2_000)
                })
                .any(|(id, _)| !self.reload.is_loading(id));
        }
    }

    fn lagging(&self, model: &str, newest: u64) -> Vec<&str> {
        let lagging = self.engines.iter().filter(|(_, engine)| {
            let version = engine.weights.get(model);
            engine.fault == Fault::None && version.is_some_and(|version| *version < newest)
        });
        lagging.map(|(id, _)| id.as_str()).collect()
    }
}

/// Returns a fleet of 18 engines, the first of which have a fault.
fn faulty_fleet(faulty: usize, fault: Fault) -> Fleet {
    let engine = |index: usize| {
        let fault = if index < faulty { fault } else { Fault::None };
        (format!("e{index:02}"), fault, vec![("m", 1)])
    };
    Fleet::new((0..18).map(engine).collect())
}

/// 3 of 18 engines refuse every order, as many as may load at once.
#[test]
fn engines_that_refuse_their_orders_do_not_keep_the_others_from_theirs() {
    let mut fleet = faulty_fleet(3, Fault::Refuses);
    fleet.name(&[("m", 2)]);
    fleet.advance(60_000);
    assert_eq!(fleet.lagging("m", 2), Vec::<&str>::new());
}

/// The orders of 6 of 18 engines are lost, as many as may be ordered at once.
#[test]
fn engines_whose_orders_are_lost_do_not_keep_the_others_from_theirs() {
    let mut fleet = faulty_fleet(6, Fault::Loses);
    fleet.name(&[("m", 2)]);
    fleet.advance(60_000);
    assert_eq!(fleet.lagging("m", 2), Vec::<&str>::new());
}

/// 3 of 18 engines report a load that never ends, as many as may load at once.
#[test]
fn engines_whose_load_does_not_end_do_not_keep_the_others_from_theirs() {
    let mut fleet = faulty_fleet(3, Fault::Stuck);
    fleet.name(&[("m", 2)]);
    fleet.advance(60_000);
    assert_eq!(fleet.lagging("m", 2), Vec::<&str>::new());
}

/// A model with many versions must not keep the engines of another model from their only update.
#[test]
fn engines_of_a_model_with_few_versions_get_their_order_within_the_limit() {
    let engine = |index: usize| {
        let model = if index < 18 { "busy" } else { "calm" };
        (format!("e{index:02}"), Fault::None, vec![(model, 1)])
    };
    let mut fleet = Fleet::new((0..24).map(engine).collect());
    fleet.advance(4_000);
    for version in 2..20 {
        fleet.name(&[("busy", version), ("calm", 2)]);
        fleet.advance(2_000);
    }
    assert_eq!(fleet.lagging("calm", 2), Vec::<&str>::new());
}

/// Control of the test above: without versions of the other model, all get their order.
#[test]
fn control_engines_of_two_models_get_their_order() {
    let engine = |index: usize| {
        let model = if index < 18 { "busy" } else { "calm" };
        (format!("e{index:02}"), Fault::None, vec![(model, 1)])
    };
    let mut fleet = Fleet::new((0..24).map(engine).collect());
    fleet.advance(4_000);
    fleet.name(&[("busy", 2), ("calm", 2)]);
    fleet.advance(36_000);
    assert_eq!(fleet.lagging("calm", 2), Vec::<&str>::new());
}

/// An engine must not return to service during its load because another of its models has a
/// higher version number.
#[test]
fn an_engine_with_two_models_is_off_new_work_until_its_load_ends() {
    let engine = |index: usize| {
        (
            format!("e{index:02}"),
            Fault::None,
            vec![("a", 1), ("b", 5)],
        )
    };
    let mut fleet = Fleet::new((0..4).map(engine).collect());
    fleet.name(&[("a", 2), ("b", 5)]);
    fleet.advance(4_000 + 20_000);
    assert!(!fleet.served_while_loading);
}

/// An engine that leaves while it waits for its order must not take a load.
#[test]
fn a_leaving_engine_that_waits_gets_no_order() {
    let engine = |index: usize| (format!("e{index:02}"), Fault::None, vec![("m", 1)]);
    let mut fleet = Fleet::new((0..4).map(engine).collect());
    fleet.advance(4_000);
    fleet.name(&[("m", 2)]);
    fleet.advance(200);
    fleet.list(&["e00", "e01", "e02", "e03"]);
    fleet.advance(5_000);
    assert_eq!(fleet.ordered, Vec::<String>::new());
}

/// An entry of another writer, with the ID of an engine and a version that was never named, must
/// not keep the engine from its update for good.
#[test]
fn an_odd_entry_with_too_new_a_version_does_not_end_the_updates_of_an_engine() {
    let engine = |index: usize| (format!("e{index:02}"), Fault::None, vec![("m", 1)]);
    let mut fleet = Fleet::new((0..4).map(engine).collect());
    let odd = |id: &String| {
        let mut listed = listed_upstream(id, "m", u64::MAX);
        listed.started = 1;
        listed
    };
    let listed = fleet.engines.keys().map(odd).collect();
    fleet.step(Event::Listed(listed));
    fleet.list(&[]);
    fleet.name(&[("m", 2)]);
    fleet.advance(30_000);
    assert_eq!(fleet.lagging("m", 2), Vec::<&str>::new());
}
