//! Tests of the order in which a roll-out reaches the engines.

use std::collections::BTreeMap;

use coordination::desired_state::DesiredState;
use coordination::desired_state::Goal;
use coordination::engine_state::Action;
use coordination::engine_state::EngineState;
use coordination::rollout::Effect;
use coordination::rollout::Event;
use coordination::rollout::Reply;
use coordination::rollout::Rollout;
use state::time::Instant;

const ENGINES: usize = 6;
const LOAD_MS: u64 = 2_000;
const TICK_MS: u64 = 100;

/// Engines that carry out every order, and the controller that orders them.
struct Simulation {
    engines: BTreeMap<String, EngineState>,
    loaded_at: BTreeMap<String, u64>,
    now_ms: u64,
    rollout: Rollout,
}

impl Simulation {
    fn new() -> Self {
        let state = EngineState {
            model: "m".to_owned(),
            version: "v1".to_owned(),
            ..EngineState::default()
        };
        let engines = (0..ENGINES).map(|index| (format!("e{index}"), state.clone()));
        Self {
            engines: engines.collect(),
            loaded_at: BTreeMap::new(),
            now_ms: 1_000,
            rollout: Rollout::default(),
        }
    }

    fn set_version(&mut self, version: &str) {
        let goal = Goal {
            adapter: None,
            checks_fence: true,
            load_limit: 2,
            model: "m".to_owned(),
            role: None,
            version: version.to_owned(),
        };
        let goals = self.engines.keys().map(|name| (name.clone(), goal.clone()));
        let desired = DesiredState {
            goals: goals.collect(),
            minimum_serving: BTreeMap::from([("m".to_owned(), 1)]),
        };
        self.step(Event::Table(desired));
    }

    fn advance(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            for (name, engine) in &mut self.engines {
                if self
                    .loaded_at
                    .get(name)
                    .is_some_and(|at| *at <= self.now_ms)
                    && let Some(version) = engine.loading.take()
                {
                    engine.version = version;
                }
            }
            let until = Instant(self.now_ms + 10_000);
            self.step(Event::Leased { fence: 1, until });
            self.step(Event::Tick);
        }
    }

    fn step(&mut self, event: Event) {
        let mut effects = self.rollout.step(Instant(self.now_ms), event);
        while let Some(effect) = effects.pop() {
            let next = match effect {
                Effect::Order {
                    action, upstream, ..
                } => {
                    if let Action::Load { version, .. } = action {
                        let engine = self.engines.get_mut(&upstream).unwrap();
                        engine.loading = Some(version);
                        self.loaded_at
                            .insert(upstream.clone(), self.now_ms + LOAD_MS);
                    }
                    let reply = Reply::Accepted;
                    Event::Ordered { reply, upstream }
                }
                Effect::Read(upstream) => Event::Read {
                    state: Some(self.engines[&upstream].clone()),
                    upstream,
                },
                Effect::Report(..) => continue,
            };
            effects.extend(self.rollout.step(Instant(self.now_ms), next));
        }
    }
}

// Guards against engines that keep their old weights while the table changes again and again,
// because the engines with the first names get every load.
#[test]
fn the_engine_that_has_lagged_longest_is_ordered_first() {
    let mut simulation = Simulation::new();
    simulation.set_version("v1");
    simulation.advance(2_000);
    for version in ["v2", "v3", "v4", "v5", "v6"] {
        simulation.set_version(version);
        simulation.advance(3_000);
    }
    let versions: Vec<&String> = simulation.engines.values().map(|e| &e.version).collect();
    assert!(versions.iter().all(|v| *v != "v1"), "{versions:?}");
}
