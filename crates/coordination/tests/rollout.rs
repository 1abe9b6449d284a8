//! Tests of the roll-out controller under seeded schedules of lost answers, late orders and lost
//! controllers.

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
    /// Number of loads of each version.
    loads: BTreeMap<String, u64>,
    model: String,
    /// End of the load under way, and the version being loaded.
    loading: Option<(u64, String)>,
    refuses_orders: bool,
    version: String,
}

/// Simulated engines, two controllers, the lease and the network between them.
struct World {
    controllers: Vec<Option<Rollout>>,
    desired: DesiredState,
    engines: Vec<Engine>,
    fence: u64,
    /// Index of the controller that holds the lease, and the end of the lease.
    lease_holder: Option<(usize, u64)>,
    has_losses: bool,
    now: u64,
    queue: BTreeMap<(u64, u64), Delivery>,
    rng: ChaCha8Rng,
    sequence: u64,
    reported: Vec<(Step, String)>,
    violations: Vec<String>,
}

enum Delivery {
    Order(usize, u64, usize, Action),
    Read(usize, usize),
    Reply(usize, Event),
}

fn name(index: usize) -> String {
    format!("u{index}")
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

fn desired(engines: &[Engine], version: &str, minimum_serving: u64) -> DesiredState {
    let goals = engines.iter().enumerate();
    let goals = goals.map(|(p, e)| (name(p), goal("m", version, e.checks_fence)));
    DesiredState {
        goals: goals.collect(),
        minimum_serving: BTreeMap::from([("m".to_owned(), minimum_serving)]),
    }
}

impl World {
    fn new(seed: u64, engine_count: usize, minimum_serving: u64) -> Self {
        let engine = |index: usize| Engine {
            checks_fence: index.is_multiple_of(2),
            dead: false,
            fence: 0,
            loads: BTreeMap::new(),
            model: "m".to_owned(),
            loading: None,
            refuses_orders: false,
            version: "v1".to_owned(),
        };
        let engines: Vec<Engine> = (0..engine_count).map(engine).collect();
        Self {
            controllers: vec![Some(Rollout::default()), Some(Rollout::default())],
            desired: desired(&engines, "v1", minimum_serving),
            engines,
            fence: 0,
            lease_holder: None,
            has_losses: false,
            now: 1_000,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            reported: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn set_desired_version(&mut self, version: &str) {
        let minimum_serving = self.desired.minimum_serving("m");
        self.desired = desired(&self.engines, version, minimum_serving);
        for index in 0..self.controllers.len() {
            let event = Event::Table(self.desired.clone());
            self.deliver_event(index, event);
        }
    }

    /// Replaces a controller by a new one without any state, as when its process is restarted.
    fn replace_controller(&mut self, index: usize) {
        self.controllers[index] = Some(Rollout::default());
        let event = Event::Table(self.desired.clone());
        self.deliver_event(index, event);
        if self.lease_holder.is_some_and(|(h, _)| h == index) {
            self.controllers.swap(0, 1);
            self.lease_holder = self.lease_holder.map(|(_, until)| (usize::MAX, until));
        }
    }

    fn update_lease(&mut self) {
        let now = self.now;
        match self.lease_holder {
            Some((lease_holder, until)) if now < until => {
                if lease_holder < self.controllers.len() && until - now < LEASE_MS / 2 {
                    self.grant_lease(lease_holder);
                }
            }
            _ => {
                self.fence += 1;
                let index = self.rng.random_range(0..self.controllers.len());
                self.grant_lease(index);
            }
        }
    }

    fn grant_lease(&mut self, index: usize) {
        let until = self.now + LEASE_MS;
        self.lease_holder = Some((index, until));
        let event = Event::Leased {
            fence: self.fence,
            until: Instant(until - 200),
        };
        self.deliver_event(index, event);
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
            self.update_lease();
            for index in 0..self.controllers.len() {
                self.deliver_event(index, Event::Tick);
            }
            self.check_invariants();
        }
    }

    fn run_until_done(&mut self, version: &str, limit: u64) -> Option<u64> {
        let start = self.now;
        while !self
            .engines
            .iter()
            .all(|e| e.version == version && e.loading.is_none())
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
            if let Some((_, version)) = engine.loading.take_if(|(at, _)| *at <= now) {
                engine.version = version;
            }
        }
    }

    fn check_invariants(&mut self) {
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count() as u64;
        let serving = self.engines.len() as u64 - loading;
        if loading > LOAD_LIMIT {
            self.violations
                .push(format!("{loading} engines load at {}", self.now));
        }
        if serving < self.desired.minimum_serving("m") {
            self.violations
                .push(format!("{serving} engines serve at {}", self.now));
        }
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), delivery);
    }

    fn deliver_event(&mut self, index: usize, event: Event) {
        let now = Instant(self.now);
        let Some(controller) = &mut self.controllers[index] else {
            return;
        };
        for effect in controller.step(now, event) {
            let is_late = self.has_losses && self.rng.random_bool(0.3);
            let delay = match is_late {
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
                    self.schedule(delay, Delivery::Order(index, fence, engine, action));
                }
                Effect::Read(upstream) => {
                    let engine = upstream[1..].parse().unwrap();
                    self.schedule(delay, Delivery::Read(index, engine));
                }
                Effect::Report(step, upstream) => self.reported.push((step, upstream)),
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let is_lost = self.has_losses && self.rng.random_bool(0.2);
        match delivery {
            Delivery::Order(index, fence, engine, action) => {
                let reply = match is_lost && self.rng.random_bool(0.5) {
                    false => self.order(fence, engine, action),
                    true => Reply::Unanswered,
                };
                let reply = match is_lost {
                    false => reply,
                    true => Reply::Unanswered,
                };
                let upstream = name(engine);
                let event = Event::Ordered { reply, upstream };
                self.schedule(1, Delivery::Reply(index, event));
            }
            Delivery::Read(index, engine) => {
                let served = &self.engines[engine];
                let state = EngineState {
                    loading: served.loading.as_ref().map(|(_, version)| version.clone()),
                    model: served.model.clone(),
                    version: served.version.clone(),
                    ..EngineState::default()
                };
                let state = (!is_lost && !served.dead).then_some(state);
                let upstream = name(engine);
                let event = Event::Read { state, upstream };
                self.schedule(1, Delivery::Reply(index, event));
            }
            Delivery::Reply(index, event) => self.deliver_event(index, event),
        }
    }

    fn order(&mut self, fence: u64, index: usize, action: Action) -> Reply {
        let now = self.now;
        let engine = &mut self.engines[index];
        if engine.checks_fence && fence < engine.fence {
            return Reply::Stale;
        }
        if engine.refuses_orders {
            return Reply::Refused;
        }
        engine.fence = engine.fence.max(fence);
        let Action::Load { version, .. } = action else {
            return Reply::Accepted;
        };
        if engine.loading.is_some() {
            self.violations
                .push(format!("u{index} got an order while loading, at {now}"));
        }
        if engine.loading.is_none() && engine.version == version {
            self.violations
                .push(format!("u{index} loads {version} again at {now}"));
        }
        *engine.loads.entry(version.clone()).or_default() += 1;
        engine.loading = Some((now + LOAD_MS, version));
        Reply::Accepted
    }

    fn reported(&self, step: Step) -> usize {
        self.reported.iter().filter(|(r, _)| *r == step).count()
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
    table.apply(&edit).expect("the edit is valid");
}

#[test]
fn all_engines_reach_a_new_version_one_load_each() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.set_desired_version("v2");
        let took_ms = world.run_until_done("v2", 60_000);
        println!("seed {seed}: {ENGINES} engines after {took_ms:?} ms");
        assert!(took_ms.is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            world.engines.iter().all(|e| e.loads["v2"] == 1),
            "seed {seed}"
        );
    }
}

#[test]
fn no_order_is_sent_without_a_change_or_a_lease() {
    let mut world = World::new(1, ENGINES, MINIMUM);
    world.set_desired_version("v1");
    world.run(60_000);
    assert!(world.engines.iter().all(|e| e.loads.is_empty()));
    let mut controller = Rollout::default();
    let table = Event::Table(desired(&world.engines, "v2", MINIMUM));
    assert_eq!(controller.step(Instant(1), table), []);
    assert_eq!(controller.step(Instant(2), Event::Tick), []);
}

// A lost answer leaves the outcome of an order unknown: the controller must not load a version
// twice, exceed the load limit or fall below the minimum of serving engines.
#[test]
fn lost_answers_and_late_orders_violate_no_limit() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.has_losses = true;
        world.set_desired_version("v2");
        assert!(world.run_until_done("v2", 300_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// A new controller does not know which orders of the earlier one are still under way.
#[test]
fn replacing_the_controller_at_any_step_violates_no_limit() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.has_losses = seed % 2 == 1;
        world.set_desired_version("v2");
        for _ in 0..6 {
            let delay_ms = world.rng.random_range(100..6_000);
            world.run(delay_ms);
            if let Some((lease_holder, _)) = world.lease_holder
                && lease_holder < world.controllers.len()
            {
                world.replace_controller(lease_holder);
            }
        }
        assert!(world.run_until_done("v2", 300_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// Engines that have not started to load must skip the earlier version.
#[test]
fn a_version_that_changes_during_a_roll_out_replaces_the_earlier_goal() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.set_desired_version("v2");
        let delay_ms = world.rng.random_range(100..8_000);
        world.run(delay_ms);
        world.set_desired_version("v3");
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
fn a_change_back_during_a_roll_out_loads_nothing_twice() {
    for seed in SEEDS {
        let mut world = World::new(seed, ENGINES, MINIMUM);
        world.set_desired_version("v2");
        world.run(5_000);
        world.set_desired_version("v1");
        assert!(world.run_until_done("v1", 60_000).is_some(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_last_engine_that_serves_a_model_is_never_taken() {
    let mut world = World::new(1, 1, 1);
    world.set_desired_version("v2");
    world.run(120_000);
    assert!(world.engines[0].loads.is_empty());
    assert_eq!(world.reported(Step::Blocked), 1);
    let mut world = World::new(1, 1, 0);
    world.set_desired_version("v2");
    assert!(world.run_until_done("v2", 30_000).is_some());
}

// A settled engine is read seldom; without a fresh read, the controller would count a dead one and
// take the last engine that serves.
#[test]
fn an_engine_that_died_after_its_move_does_not_count_as_serving() {
    let mut world = World::new(1, 2, 1);
    world.engines[0].loading = Some((world.now + 8_000, "v1".to_owned()));
    world.engines[1].version = "v2".to_owned();
    world.set_desired_version("v2");
    world.run(3_000);
    world.engines[1].dead = true;
    world.run(60_000);
    assert!(world.engines[0].loads.is_empty());
}

#[test]
fn an_engine_that_leaves_or_is_off_has_no_goal() {
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
    world.engines[3].refuses_orders = true;
    world.set_desired_version("v2");
    world.run(60_000);
    assert_eq!(world.reported(Step::Refused), 1);
    let others = world.engines.iter().enumerate().filter(|(p, _)| *p != 3);
    assert!(others.clone().all(|(_, e)| e.version == "v2"));
    world.engines[3].refuses_orders = false;
    assert!(world.run_until_done("v2", 60_000).is_some());
}

// Stuck loads must not use up the limit of loads at once for ever.
#[test]
fn a_load_that_never_ends_is_reported_and_blocks_no_other_engine() {
    let mut world = World::new(1, ENGINES, MINIMUM);
    world.engines[0].loading = Some((u64::MAX, "v2".to_owned()));
    world.engines[2].loading = Some((u64::MAX, "v2".to_owned()));
    world.set_desired_version("v2");
    world.run(55_000);
    assert!(world.engines[1].loads.is_empty());
    world.run(60_000);
    assert_eq!(world.reported(Step::Stuck), 2);
    let moved = [1, 3, 4, 5]
        .iter()
        .filter(|p| world.engines[**p].version == "v2");
    assert_eq!(moved.count(), 4);
}

// Such an engine would carry out a late order of the earlier controller as well.
#[test]
fn an_engine_without_fence_checks_gets_no_order_while_an_earlier_one_may_arrive() {
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
    let mut first_order_at = BTreeMap::new();
    for now in (1_000..20_000).step_by(100) {
        for effect in controller.step(Instant(now), Event::Tick) {
            match effect {
                Effect::Order { upstream, .. } => {
                    first_order_at.entry(upstream).or_insert(now);
                }
                Effect::Read(upstream) => {
                    let state = Some(EngineState {
                        model: "m".to_owned(),
                        version: "v1".to_owned(),
                        ..EngineState::default()
                    });
                    controller.step(Instant(now), Event::Read { state, upstream });
                }
                Effect::Report(..) => {}
            }
        }
    }
    assert!(first_order_at["checks"] < 1_000 + CALL_TIMEOUT_MS);
    assert!(first_order_at["trusts"] >= 1_000 + 2 * CALL_TIMEOUT_MS);
}

#[test]
fn a_controller_stops_after_a_stale_fencing_token() {
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
        reply: Reply::Stale,
        upstream: name(0),
    };
    let lost = Effect::Report(Step::Lost, name(0));
    assert_eq!(controller.step(Instant(200), stale), [lost]);
    assert_eq!(controller.step(Instant(10_000), Event::Tick), []);
}

#[test]
fn no_call_is_sent_that_could_arrive_after_the_lease_ends() {
    let mut controller = Rollout::default();
    let world = World::new(1, ENGINES, MINIMUM);
    let table = Event::Table(desired(&world.engines, "v2", MINIMUM));
    controller.step(Instant(1), table);
    let until = Instant(10_000);
    controller.step(Instant(1), Event::Leased { fence: 1, until });
    let sent = controller.step(Instant(10_000 - CALL_TIMEOUT_MS - 1), Event::Tick);
    assert_eq!(sent.len(), ENGINES);
    for upstream in (0..ENGINES).map(name) {
        let state = Some(EngineState {
            model: "m".to_owned(),
            version: "v1".to_owned(),
            ..EngineState::default()
        });
        let now = Instant(10_000 - CALL_TIMEOUT_MS - 1);
        controller.step(now, Event::Read { state, upstream });
    }
    assert_eq!(
        controller.step(Instant(10_000 - CALL_TIMEOUT_MS), Event::Tick),
        []
    );
}
