//! Tests of roll-outs under seeded schedules of lost answers, late orders and lost controllers.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coordination::desired_state::DesiredState;
use coordination::desired_state::Goal;
use coordination::engine_state::Action;
use coordination::engine_state::EngineState;
use coordination::rollout::CALL_TIMEOUT_MS;
use coordination::rollout::Effect;
use coordination::rollout::Event;
use coordination::rollout::Reply;
use coordination::rollout::Rollout;
use coordination::rollout::Step;
use state::column::Column;
use state::edit;
use state::edit::Edit;
use state::row;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;

const ENGINES: usize = 6;
const LEASE_MS: u64 = 10_000;
const LOAD_LIMIT: u64 = 2;
const LOAD_MS: u64 = 2_000;
const MINIMUM: u64 = 2;
const SEEDS: std::ops::Range<u64> = 0..40;
const TICK_MS: u64 = 100;

#[derive(Clone, Debug)]
struct Engine {
    checks_fence: bool,
    dead: bool,
    fence: u64,
    loads: BTreeMap<String, u64>,
    model: String,
    ready: Option<(u64, String)>,
    refuses: bool,
    version: String,
}

struct World {
    controllers: Vec<Option<Rollout>>,
    desired: DesiredState,
    engines: Vec<Engine>,
    fence: u64,
    holder: Option<(usize, u64)>,
    lossy: bool,
    now: u64,
    queue: BTreeMap<(u64, u64), Delivery>,
    rng: ChaCha8Rng,
    sequence: u64,
    told: Vec<(Step, String)>,
    violations: Vec<String>,
}

enum Delivery {
    Order(usize, u64, usize, Action),
    Read(usize, usize),
    Reply(usize, Event),
}

fn name(place: usize) -> String {
    format!("u{place}")
}

fn goal(model: &str, version: &str, checks_fence: bool) -> Goal {
    Goal {
        adapter: None,
        checks_fence,
        load_limit: LOAD_LIMIT,
        model: model.to_owned(),
        role: None,
        version: version.to_owned(),
    }
}

fn desired(engines: &[Engine], version: &str, minimum: u64) -> DesiredState {
    let goals = engines.iter().enumerate();
    let goals = goals.map(|(p, e)| (name(p), goal("m", version, e.checks_fence)));
    DesiredState {
        goals: goals.collect(),
        minimum_serving: BTreeMap::from([("m".to_owned(), minimum)]),
    }
}

impl World {
    fn new(seed: u64, count: usize, minimum: u64) -> Self {
        let engine = |place: usize| Engine {
            checks_fence: place.is_multiple_of(2),
            dead: false,
            fence: 0,
            loads: BTreeMap::new(),
            model: "m".to_owned(),
            ready: None,
            refuses: false,
            version: "v1".to_owned(),
        };
        let engines: Vec<Engine> = (0..count).map(engine).collect();
        Self {
            controllers: vec![Some(Rollout::default()), Some(Rollout::default())],
            desired: desired(&engines, "v1", minimum),
            engines,
            fence: 0,
            holder: None,
            lossy: false,
            now: 1_000,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            told: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn want(&mut self, version: &str) {
        let minimum = self.desired.minimum_serving("m");
        self.desired = desired(&self.engines, version, minimum);
        for place in 0..self.controllers.len() {
            let event = Event::Table(self.desired.clone());
            self.tell(place, event);
        }
    }

    /// Replaces a controller by one that knows nothing.
    fn lose(&mut self, place: usize) {
        self.controllers[place] = Some(Rollout::default());
        let event = Event::Table(self.desired.clone());
        self.tell(place, event);
        if self.holder.is_some_and(|(holder, _)| holder == place) {
            self.controllers.swap(0, 1);
            self.holder = self.holder.map(|(_, until)| (usize::MAX, until));
        }
    }

    fn lease(&mut self) {
        let now = self.now;
        match self.holder {
            Some((holder, until)) if now < until => {
                if holder < self.controllers.len() && until - now < LEASE_MS / 2 {
                    self.grant(holder);
                }
            }
            _ => {
                self.fence += 1;
                let place = self.rng.random_range(0..self.controllers.len());
                self.grant(place);
            }
        }
    }

    fn grant(&mut self, place: usize) {
        let until = self.now + LEASE_MS;
        self.holder = Some((place, until));
        let event = Event::Leased {
            fence: self.fence,
            until: Instant(until - 200),
        };
        self.tell(place, event);
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK_MS;
            while let Some((&key, _)) = self.queue.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                let delivery = self.queue.remove(&key).unwrap();
                self.deliver(delivery);
            }
            self.finish_loads();
            self.lease();
            for place in 0..self.controllers.len() {
                self.tell(place, Event::Tick);
            }
            self.check();
        }
    }

    fn run_until_done(&mut self, version: &str, limit: u64) -> Option<u64> {
        let start = self.now;
        while !self
            .engines
            .iter()
            .all(|e| e.version == version && e.ready.is_none())
        {
            if self.now - start > limit {
                return None;
            }
            self.run(TICK_MS);
        }
        Some(self.now - start)
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            if let Some((_, version)) = engine.ready.take_if(|(at, _)| *at <= now) {
                engine.version = version;
            }
        }
    }

    fn check(&mut self) {
        let loading = self.engines.iter().filter(|e| e.ready.is_some()).count() as u64;
        let serving = self.engines.len() as u64 - loading;
        if loading > LOAD_LIMIT {
            self.violations
                .push(format!("{loading} load at {}", self.now));
        }
        if serving < self.desired.minimum_serving("m") {
            self.violations
                .push(format!("{serving} serve at {}", self.now));
        }
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), delivery);
    }

    fn tell(&mut self, place: usize, event: Event) {
        let now = Instant(self.now);
        let Some(controller) = &mut self.controllers[place] else {
            return;
        };
        for effect in controller.step(now, event) {
            let late = self.lossy && self.rng.random_bool(0.3);
            let delay = match late {
                false => self.rng.random_range(1..50),
                true => self.rng.random_range(50..CALL_TIMEOUT_MS),
            };
            match effect {
                Effect::Order {
                    action,
                    fence,
                    upstream,
                    ..
                } => {
                    let engine = upstream[1..].parse().unwrap();
                    self.schedule(delay, Delivery::Order(place, fence, engine, action));
                }
                Effect::Read(upstream) => {
                    let engine = upstream[1..].parse().unwrap();
                    self.schedule(delay, Delivery::Read(place, engine));
                }
                Effect::Report(step, upstream) => self.told.push((step, upstream)),
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let lost = self.lossy && self.rng.random_bool(0.2);
        match delivery {
            Delivery::Order(place, fence, engine, action) => {
                let reply = match lost && self.rng.random_bool(0.5) {
                    false => self.order(fence, engine, action),
                    true => Reply::Unanswered,
                };
                let reply = match lost {
                    false => reply,
                    true => Reply::Unanswered,
                };
                let upstream = name(engine);
                let event = Event::Ordered { reply, upstream };
                self.schedule(1, Delivery::Reply(place, event));
            }
            Delivery::Read(place, engine) => {
                let state = &self.engines[engine];
                let standing = EngineState {
                    loading: state.ready.as_ref().map(|(_, version)| version.clone()),
                    model: state.model.clone(),
                    version: state.version.clone(),
                    ..EngineState::default()
                };
                let standing = (!lost && !state.dead).then_some(standing);
                let upstream = name(engine);
                let event = Event::Read { standing, upstream };
                self.schedule(1, Delivery::Reply(place, event));
            }
            Delivery::Reply(place, event) => self.tell(place, event),
        }
    }

    fn order(&mut self, fence: u64, place: usize, action: Action) -> Reply {
        let now = self.now;
        let engine = &mut self.engines[place];
        if engine.checks_fence && fence < engine.fence {
            return Reply::StaleFence;
        }
        if engine.refuses {
            return Reply::Refused;
        }
        engine.fence = engine.fence.max(fence);
        let Action::Load { version, .. } = action else {
            return Reply::Accepted;
        };
        if engine.ready.is_some() {
            self.violations
                .push(format!("order to loading u{place} at {now}"));
        }
        if engine.ready.is_none() && engine.version == version {
            self.violations
                .push(format!("u{place} loads {version} again at {now}"));
        }
        *engine.loads.entry(version.clone()).or_default() += 1;
        engine.ready = Some((now + LOAD_MS, version));
        Reply::Accepted
    }

    fn told(&self, step: Step) -> usize {
        self.told.iter().filter(|(told, _)| *told == step).count()
    }
}

fn add(table: &mut Table, sheet: Sheet, row: &str, cells: &[(Column, &str)]) {
    let cells = cells.iter().map(|(c, text)| (*c, (*text).to_owned()));
    let edit = Edit {
        action: edit::Action::Add(cells.collect()),
        author: "test".to_owned(),
        if_revision: 0,
        key: row.to_owned(),
        name: row::Name {
            row: row.to_owned(),
            sheet,
        },
    };
    table.apply(&edit).expect("the edit is good");
}

#[test]
fn all_engines_reach_a_new_version_one_load_each() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.want("v2");
        let took = world.run_until_done("v2", 60_000);
        println!("seed {seed}: {ENGINES} engines after {took:?} ms");
        assert!(took.is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            world.engines.iter().all(|e| e.loads["v2"] == 1),
            "seed {seed}"
        );
    }
}

#[test]
fn nothing_is_ordered_without_a_reason_or_a_lease() {
    let mut world = World::new(1, ENGINES, MINIMUM);
    world.want("v1");
    world.run(60_000);
    assert!(world.engines.iter().all(|e| e.loads.is_empty()));
    let mut controller = Rollout::default();
    let table = Event::Table(desired(&world.engines, "v2", MINIMUM));
    assert_eq!(controller.step(Instant(1), table), []);
    assert_eq!(controller.step(Instant(2), Event::Tick), []);
}

#[test]
fn lost_answers_and_late_orders_do_no_harm() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.lossy = true;
        world.want("v2");
        assert!(world.run_until_done("v2", 300_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_controller_lost_at_any_step_is_replaced_without_harm() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.lossy = seed % 2 == 1;
        world.want("v2");
        for _ in 0..6 {
            let pause = world.rng.random_range(100..6_000);
            world.run(pause);
            if let Some((holder, _)) = world.holder
                && holder < world.controllers.len()
            {
                world.lose(holder);
            }
        }
        assert!(world.run_until_done("v2", 300_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_change_midway_is_obeyed() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.want("v2");
        let pause = world.rng.random_range(100..8_000);
        world.run(pause);
        world.want("v3");
        let untouched = world.engines.iter().filter(|e| e.loads.is_empty()).count();
        assert!(world.run_until_done("v3", 60_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        let direct = world.engines.iter().filter(|e| !e.loads.contains_key("v2"));
        assert!(
            direct.count() + LOAD_LIMIT as usize >= untouched,
            "seed {seed}"
        );
    }
}

#[test]
fn a_change_back_midway_loads_nothing_twice() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.want("v2");
        world.run(5_000);
        world.want("v1");
        assert!(world.run_until_done("v1", 60_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_last_engine_that_serves_a_model_is_never_taken() {
    let mut world = World::new(1, 1, 1);
    world.want("v2");
    world.run(120_000);
    assert!(world.engines[0].loads.is_empty());
    assert_eq!(world.told(Step::Blocked), 1);
    let mut world = World::new(1, 1, 0);
    world.want("v2");
    assert!(world.run_until_done("v2", 30_000).is_some());
}

#[test]
fn an_engine_that_died_after_its_move_does_not_count_as_serving() {
    let mut world = World::new(1, 2, 1);
    world.engines[0].ready = Some((world.now + 8_000, "v1".to_owned()));
    world.engines[1].version = "v2".to_owned();
    world.want("v2");
    world.run(3_000);
    world.engines[1].dead = true;
    world.run(60_000);
    assert!(world.engines[0].loads.is_empty());
}

#[test]
fn an_engine_that_leaves_has_no_goal_and_does_not_count_as_serving() {
    let mut table = Table::default();
    add(&mut table, Sheet::Models, "m", &[(Column::Version, "v2")]);
    for (row, standing) in [("u0", "serving"), ("u1", "leaving"), ("u2", "off")] {
        let cells = [
            (Column::Address, "127.0.0.1:9000"),
            (Column::Model, "m"),
            (Column::Standing, standing),
            (Column::Type, "engine"),
        ];
        add(&mut table, Sheet::Upstreams, row, &cells);
    }
    let desired = DesiredState::from_table(&table);
    let names: Vec<&String> = desired.goals.keys().collect();
    assert_eq!(names, ["u0"]);
}

#[test]
fn an_order_that_is_refused_is_retried_and_reported() {
    let mut world = World::new(1, ENGINES, MINIMUM);
    world.engines[3].refuses = true;
    world.want("v2");
    world.run(60_000);
    assert_eq!(world.told(Step::Refused), 1);
    let others = world.engines.iter().enumerate().filter(|(p, _)| *p != 3);
    assert!(others.clone().all(|(_, e)| e.version == "v2"));
    world.engines[3].refuses = false;
    assert!(world.run_until_done("v2", 60_000).is_some());
}

#[test]
fn a_load_that_never_ends_is_reported_and_holds_up_nobody() {
    let mut world = World::new(1, ENGINES, MINIMUM);
    world.engines[0].ready = Some((u64::MAX, "v2".to_owned()));
    world.engines[2].ready = Some((u64::MAX, "v2".to_owned()));
    world.want("v2");
    world.run(55_000);
    assert!(world.engines[1].loads.is_empty());
    world.run(60_000);
    assert_eq!(world.told(Step::Stuck), 2);
    let moved = [1, 3, 4, 5]
        .iter()
        .filter(|p| world.engines[**p].version == "v2");
    assert_eq!(moved.count(), 4);
}

#[test]
fn a_late_order_of_an_earlier_controller_is_waited_out() {
    let mut controller = Rollout::default();
    let goals = BTreeMap::from([
        ("checks".to_owned(), goal("m", "v2", true)),
        ("trusts".to_owned(), goal("m", "v2", false)),
    ]);
    let desired = DesiredState {
        goals,
        minimum_serving: BTreeMap::new(),
    };
    controller.step(Instant(1_000), Event::Table(desired));
    let leased = Event::Leased {
        fence: 7,
        until: Instant(100_000),
    };
    controller.step(Instant(1_000), leased);
    let mut first = BTreeMap::new();
    for now in (1_000..20_000).step_by(100) {
        for effect in controller.step(Instant(now), Event::Tick) {
            match effect {
                Effect::Order { upstream, .. } => {
                    first.entry(upstream).or_insert(now);
                }
                Effect::Read(upstream) => {
                    let standing = Some(EngineState {
                        model: "m".to_owned(),
                        version: "v1".to_owned(),
                        ..EngineState::default()
                    });
                    controller.step(Instant(now), Event::Read { standing, upstream });
                }
                Effect::Report(..) => {}
            }
        }
    }
    assert!(first["checks"] < 1_000 + CALL_TIMEOUT_MS);
    assert!(first["trusts"] >= 1_000 + 2 * CALL_TIMEOUT_MS);
}

#[test]
fn a_controller_that_was_superseded_stops() {
    let mut controller = Rollout::default();
    let world = World::new(1, ENGINES, MINIMUM);
    controller.step(
        Instant(1),
        Event::Table(desired(&world.engines, "v2", MINIMUM)),
    );
    let leased = Event::Leased {
        fence: 1,
        until: Instant(100_000),
    };
    controller.step(Instant(1), leased);
    controller.step(Instant(100), Event::Tick);
    let stale = Event::Ordered {
        reply: Reply::StaleFence,
        upstream: name(0),
    };
    let lost = Effect::Report(Step::Lost, name(0));
    assert_eq!(controller.step(Instant(200), stale), [lost]);
    assert_eq!(controller.step(Instant(10_000), Event::Tick), []);
}

#[test]
fn nothing_is_sent_that_could_arrive_after_the_lease() {
    let mut controller = Rollout::default();
    let world = World::new(1, ENGINES, MINIMUM);
    let table = Event::Table(desired(&world.engines, "v2", MINIMUM));
    controller.step(Instant(1), table);
    let until = Instant(10_000);
    controller.step(Instant(1), Event::Leased { fence: 1, until });
    let early = controller.step(Instant(10_000 - CALL_TIMEOUT_MS - 1), Event::Tick);
    assert_eq!(early.len(), ENGINES);
    for upstream in (0..ENGINES).map(name) {
        let standing = Some(EngineState {
            model: "m".to_owned(),
            version: "v1".to_owned(),
            ..EngineState::default()
        });
        let now = Instant(10_000 - CALL_TIMEOUT_MS - 1);
        controller.step(now, Event::Read { standing, upstream });
    }
    assert_eq!(
        controller.step(Instant(10_000 - CALL_TIMEOUT_MS), Event::Tick),
        []
    );
}
