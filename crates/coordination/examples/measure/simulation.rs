//! Simulation of one policy on one deployment, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::rc::Rc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cache::Cache;
use crate::engine::BlockOrigins;
use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Outcome;
use crate::router;
use crate::router::Policy;
use crate::router::Router;
use crate::workload;
use crate::workload::Deployment;
use crate::workload::Request;
use crate::workload::Scenario;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::broker::Grant;
use coordination::engine_load::Standing;
use coordination::placement_request::PlacementId;
use coordination::report::Progress;
use coordination::report::ProgressReport;
use state::cache_directory::Batch;
use state::cache_directory::Change;
use state::cache_directory::Snapshot;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::rank::Rank;

/// Share of the batches of cache events that get lost.
const BATCH_LOSS_RATE: f64 = 0.02;
const PUBLISH_INTERVAL_US: u64 = 100_000;
/// One-way delay between a caller and the router.
const CLIENT_DELAY_US: u64 = 3_000;
const CRASH_AT_US: u64 = 40_000_000;
/// Time that callers wait for the first token, by rank.
const DEADLINES_US: [u64; 2] = [30_000_000, 2_000_000];
/// Delay of cache events from an engine to the broker.
const EVENT_DELAY_US: std::ops::Range<u64> = 100_000..600_000;
const EXPORT_TIME_US: u64 = 200_000;
/// One-way delay between two hosts.
const HOP_DELAY_US: u64 = 1_500;
const RESTART_TIME_US: u64 = 3_000_000;
const LOAD_REPORT_DELAY_US: u64 = 150_000;
const LOAD_REPORT_INTERVAL_US: u64 = 250_000;
const SNAPSHOT_DELAY_US: u64 = 100_000;
const TICK_INTERVAL_US: u64 = 5_000;
/// Time until the router learns that an engine crashed or came back.
const DETECTION_DELAY_US: u64 = 500_000;

/// Outcome of a request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Number of prompt blocks that were cached or imported.
    pub origins: BlockOrigins,
    /// Time at which the first token reached the caller, if it did.
    pub first_token_us: Option<u64>,
    /// Most leading blocks that any live cache or the store had when the request arrived.
    pub best_prefix_blocks: u32,
    /// Whether the answer was completed.
    pub complete: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum SimEvent {
    /// A request reaches the router.
    Arrival(usize),
    /// A batch of cache events of an engine reaches the broker.
    CacheEvents(usize, Batch),
    /// An engine crashes.
    Crash(usize),
    /// The deadline of a request passes.
    Deadline(usize),
    /// The progress of a request reaches the broker.
    DeliverProgress(usize, PlacementId, Progress),
    /// Blocks reach the KV store.
    Export(Rc<[BlockHash]>),
    /// All engines and the store send their cache events.
    PublishEvents,
    /// A request reaches an engine, with the number of blocks to import and its rank.
    Push(usize, usize, u32, Rank),
    /// An engine is up again after a crash.
    Recover(usize),
    /// A load report of an engine reaches the broker.
    ReportLoad(usize, coordination::report::LoadReport),
    /// All engines send load reports.
    SampleLoads,
    /// A snapshot of the cache of an engine reaches the broker.
    Snapshot(usize, Snapshot),
    /// A step of this incarnation of an engine ends.
    StepEnd(usize, u64),
    /// A batch of cache events of the KV store reaches the broker.
    StoreEvents(Batch),
    /// The broker gets a tick.
    Tick,
    /// The router learns whether an engine is up.
    UpstreamStanding(usize, bool),
}

/// Due time, number that keeps events of the same time in order, and event.
struct ScheduledEvent(u64, u64, SimEvent);

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// State of a simulation.
pub struct Simulation {
    /// Outcome of each request.
    pub records: Vec<Record>,
    /// Requests, in the order in which they are sent.
    pub requests: Vec<Request>,
    engines: Vec<Engine>,
    schedule: BinaryHeap<Reverse<ScheduledEvent>>,
    now_us: u64,
    /// Progress that the step in progress of each engine brings at its end.
    outcomes: HashMap<usize, Vec<(Outcome, BlockOrigins)>>,
    /// Engine and placement of each request in flight, by index of the request.
    placements: HashMap<usize, (usize, PlacementId)>,
    policy: Policy,
    /// Engines at which a request failed, which the broker must not choose again.
    excluded_engines: HashMap<usize, Vec<String>>,
    rng: ChaCha8Rng,
    router: Router,
    /// Sequence number of the next cache event of each engine.
    sequences: Vec<u64>,
    /// Last number given to an event or a placement.
    last_serial: u64,
    store: Cache,
    store_sequence: u64,
    /// Index of the request of each placement that the broker was asked for.
    pending: HashMap<PlacementId, usize>,
}

impl Simulation {
    /// Simulates `scenario` under `policy` to its end.
    pub fn new(policy: Policy, deployment: &Deployment, scenario: Scenario, seed: u64) -> Self {
        let requests = workload::generate(deployment, scenario, seed);
        let record = Record {
            origins: BlockOrigins::default(),
            first_token_us: None,
            best_prefix_blocks: 0,
            complete: false,
        };
        let engine = |_| Engine::new(deployment.cache_blocks);
        let mut run = Self {
            engines: (0..deployment.engines).map(engine).collect(),
            schedule: BinaryHeap::new(),
            now_us: 0,
            outcomes: HashMap::new(),
            placements: HashMap::new(),
            policy,
            records: vec![record; requests.len()],
            excluded_engines: HashMap::new(),
            requests,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
            router: Router::new(policy, deployment),
            sequences: vec![0; deployment.engines],
            last_serial: 0,
            store: Cache::new(deployment.store_blocks),
            store_sequence: 0,
            pending: HashMap::new(),
        };
        for blocks in workload::shared_prefixes(deployment) {
            run.store.touch(&blocks);
        }
        run.schedule_initial_events();
        run.run_events();
        run
    }

    /// Schedules the periodic events, the crash and the arrivals.
    fn schedule_initial_events(&mut self) {
        for event in [
            SimEvent::PublishEvents,
            SimEvent::SampleLoads,
            SimEvent::Tick,
        ] {
            self.schedule_after(0, event);
        }
        self.schedule_after(CRASH_AT_US, SimEvent::Crash(1));
        for index in 0..self.requests.len() {
            let due = self.requests[index].sent_us + CLIENT_DELAY_US;
            self.schedule_after(due, SimEvent::Arrival(index));
        }
    }

    /// Handles events in the order of their time, until 5 seconds after the last arrivals.
    fn run_events(&mut self) {
        while let Some(Reverse(ScheduledEvent(due_us, _, event))) = self.schedule.pop() {
            if due_us > workload::RUN_LENGTH_US + 5 * workload::SECOND_US {
                return;
            }
            self.now_us = due_us;
            self.handle(event);
        }
    }

    /// Schedules an event `delay` microseconds from now.
    fn schedule_after(&mut self, delay: u64, event: SimEvent) {
        self.last_serial += 1;
        let entry = ScheduledEvent(self.now_us + delay, self.last_serial, event);
        self.schedule.push(Reverse(entry));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(index) => self.handle_arrival(index),
            SimEvent::CacheEvents(engine, batch) => {
                let upstream = router::engine_name(engine);
                self.send_to_broker(Event::Cache { batch, upstream });
            }
            SimEvent::Crash(engine) => self.crash(engine),
            SimEvent::Deadline(index) => self.expire(index),
            SimEvent::DeliverProgress(_, placement_id, progress) => {
                self.send_to_broker(Event::Report(ProgressReport {
                    progress,
                    placement_id,
                }));
            }
            SimEvent::Export(blocks) => self.store.touch(&blocks),
            SimEvent::PublishEvents => self.publish(),
            SimEvent::Push(index, engine, import, rank) => self.push(index, engine, import, rank),
            SimEvent::Recover(engine) => {
                self.engines[engine].alive = true;
                self.sequences[engine] = 0;
                self.schedule_after(DETECTION_DELAY_US, SimEvent::UpstreamStanding(engine, true));
            }
            SimEvent::ReportLoad(engine, report) => {
                let upstream = router::engine_name(engine);
                self.send_to_broker(Event::Load { report, upstream });
            }
            SimEvent::SampleLoads => self.sample_loads(),
            SimEvent::Snapshot(engine, snapshot) => {
                let upstream = router::engine_name(engine);
                self.send_to_broker(Event::Snapshot { snapshot, upstream });
            }
            SimEvent::StepEnd(engine, incarnation) => self.end_step(engine, incarnation),
            SimEvent::StoreEvents(batch) => {
                let upstream = "store".to_owned();
                self.send_to_broker(Event::Cache { batch, upstream });
            }
            SimEvent::Tick => {
                self.send_to_broker(Event::Tick);
                self.schedule_after(TICK_INTERVAL_US, SimEvent::Tick);
            }
            SimEvent::UpstreamStanding(engine, alive) => {
                self.router.usable[engine] = alive;
                let standing = if alive {
                    Standing::Usable
                } else {
                    Standing::Dead
                };
                let upstream = router::engine_name(engine);
                self.send_to_broker(Event::Standing { standing, upstream });
            }
        }
    }

    /// Records the best prefix that any cache has, starts the deadline, and routes the request.
    fn handle_arrival(&mut self, index: usize) {
        let blocks = Rc::clone(&self.requests[index].blocks);
        let held = self
            .engines
            .iter()
            .filter(|e| e.alive)
            .map(|e| e.cache.cached_prefix_len(&blocks));
        self.records[index].best_prefix_blocks = held
            .max()
            .unwrap_or(0)
            .max(self.store.cached_prefix_len(&blocks));
        let deadline = DEADLINES_US[self.requests[index].rank.index()];
        self.schedule_after(deadline, SimEvent::Deadline(index));
        self.send(index);
    }

    /// Routes a request: asks the broker for a placement, or sends it to the engine of a baseline.
    fn send(&mut self, index: usize) {
        let request = self.requests[index].clone();
        self.last_serial += 1;
        let placement_id = PlacementId(u128::from(self.last_serial));
        if self.policy == Policy::Broker {
            self.pending.insert(placement_id, index);
            let due = request.sent_us + CLIENT_DELAY_US + DEADLINES_US[request.rank.index()];
            let left = due.saturating_sub(self.now_us) / 1_000;
            let excluded = self
                .excluded_engines
                .get(&index)
                .cloned()
                .unwrap_or_default();
            let request = router::placement_request(&request, placement_id, left, excluded);
            self.send_to_broker(Event::Arrival(request));
            return;
        }
        if let Some(engine) = self.router.choose(&request) {
            self.placements.insert(index, (engine, placement_id));
            self.router.in_flight[engine] += 1;
            let import = self.store.cached_prefix_len(&request.blocks);
            self.schedule_after(
                HOP_DELAY_US,
                SimEvent::Push(index, engine, import, request.rank),
            );
        }
    }

    /// Passes an event to the broker and carries out its effects.
    fn send_to_broker(&mut self, event: Event) {
        for effect in self.router.step(self.now_us, event) {
            match effect {
                Effect::Export { placement_id, .. } => {
                    if let Some(index) = self.pending.get(&placement_id) {
                        let blocks = Rc::clone(&self.requests[*index].blocks);
                        self.schedule_after(EXPORT_TIME_US, SimEvent::Export(blocks));
                    }
                }
                Effect::Grant(grant) => self.place(&grant),
                Effect::Refuse(refusal) => {
                    self.pending.remove(&refusal.placement_id);
                }
                Effect::Resync { upstream } => self.resync(&upstream),
            }
        }
    }

    /// Sends a request to the engine that the broker granted.
    fn place(&mut self, grant: &Grant) {
        let index = self.pending[&grant.placement_id];
        let engine_index = |name: &str| name[1..].parse::<usize>().ok();
        let engine = engine_index(&grant.upstream).expect("engines have numbers");
        let blocks = &self.requests[index].blocks;
        let import = grant.import.as_ref().map_or(0, |import| {
            let held = match engine_index(&import.source) {
                Some(source) => self.engines[source].cache.cached_prefix_len(blocks),
                None => self.store.cached_prefix_len(blocks),
            };
            held.min(import.blocks)
        });
        self.placements.insert(index, (engine, grant.placement_id));
        self.schedule_after(
            HOP_DELAY_US * 2,
            SimEvent::Push(index, engine, import, grant.priority),
        );
    }

    /// Queues a request at an engine; a crashed engine fails it.
    fn push(&mut self, index: usize, engine: usize, import: u32, rank: Rank) {
        if !self.engines[engine].alive {
            self.handle_failure(index, engine);
            return;
        }
        let request = &self.requests[index];
        self.engines[engine].push(Job {
            blocks: Rc::clone(&request.blocks),
            import,
            output_tokens: request.output_tokens,
            rank,
            serial: index,
            tail_tokens: request.tail_tokens.max(1),
        });
        self.start_step(engine);
    }

    /// Starts a step of an engine that has requests and is between steps.
    fn start_step(&mut self, engine: usize) {
        let target = &mut self.engines[engine];
        if target.stepping || !target.alive || target.is_idle() {
            return;
        }
        target.stepping = true;
        let incarnation = target.incarnation;
        let (length, outcomes) = target.step(self.now_us);
        self.outcomes.insert(engine, outcomes);
        self.schedule_after(length, SimEvent::StepEnd(engine, incarnation));
    }

    /// Records the progress that a step brought, and starts the next one.
    fn end_step(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].stepping = false;
        for (outcome, origins) in self.outcomes.remove(&engine).unwrap_or_default() {
            let (Outcome::Finished(index) | Outcome::FirstToken(index)) = outcome;
            let Some((_, placement_id)) = self.placements.get(&index).copied() else {
                continue;
            };
            match outcome {
                Outcome::Finished(index) => {
                    self.records[index].complete = true;
                    self.end_request(index, Progress::Finished);
                }
                Outcome::FirstToken(index) => {
                    self.records[index].first_token_us =
                        Some(self.now_us + HOP_DELAY_US + CLIENT_DELAY_US);
                    self.records[index].origins = origins;
                    self.schedule_after(
                        HOP_DELAY_US,
                        SimEvent::DeliverProgress(index, placement_id, Progress::FirstToken),
                    );
                    if self.policy != Policy::Broker {
                        let blocks = Rc::clone(&self.requests[index].blocks);
                        self.schedule_after(EXPORT_TIME_US, SimEvent::Export(blocks));
                    }
                }
            }
        }
        self.start_step(engine);
    }

    /// Ends the placement of a request and reports its progress to the broker.
    fn end_request(&mut self, index: usize, progress: Progress) {
        if let Some((engine, placement_id)) = self.placements.remove(&index) {
            self.router.in_flight[engine] -= 1.min(self.router.in_flight[engine]);
            self.schedule_after(
                HOP_DELAY_US,
                SimEvent::DeliverProgress(index, placement_id, progress),
            );
        }
    }

    /// Retries a request at another engine, unless its first token was delivered or it is too late.
    fn handle_failure(&mut self, index: usize, engine: usize) {
        self.end_request(index, Progress::Failed);
        if self.records[index].first_token_us.is_some()
            || self.now_us > self.requests[index].sent_us + DEADLINES_US[0]
        {
            return;
        }
        self.excluded_engines
            .entry(index)
            .or_default()
            .push(router::engine_name(engine));
        self.router.usable[engine] = false;
        self.send(index);
    }

    /// Cancels a request that has no first token at its deadline.
    fn expire(&mut self, index: usize) {
        if self.records[index].first_token_us.is_some() {
            return;
        }
        if let Some((engine, _)) = self.placements.get(&index).copied() {
            self.engines[engine].cancel(index);
            self.end_request(index, Progress::Finished);
        }
    }

    /// Crashes an engine, which restarts later, and fails its requests.
    fn crash(&mut self, engine: usize) {
        self.outcomes.remove(&engine);
        self.engines[engine].stepping = false;
        for index in self.engines[engine].crash() {
            self.handle_failure(index, engine);
        }
        self.schedule_after(
            DETECTION_DELAY_US,
            SimEvent::UpstreamStanding(engine, false),
        );
        self.schedule_after(RESTART_TIME_US, SimEvent::Recover(engine));
    }

    /// Sends the cache events of the engines, of which some batches get lost, and of the KV store.
    fn publish(&mut self) {
        for engine in 0..self.engines.len() {
            let changes = self.engines[engine].cache.publish();
            if !self.engines[engine].alive || changes.is_empty() {
                continue;
            }
            let batch = Batch {
                incarnation: Incarnation(self.engines[engine].incarnation),
                sequence: self.sequences[engine],
                version: "v1".to_owned(),
                changes,
            };
            self.sequences[engine] += batch.changes.len() as u64;
            if self.rng.random::<f64>() >= BATCH_LOSS_RATE {
                let lag = self.rng.random_range(EVENT_DELAY_US);
                self.schedule_after(lag, SimEvent::CacheEvents(engine, batch));
            }
        }
        let with_version = |change| match change {
            Change::Cleared => Change::Cleared,
            Change::Removed(block) => Change::Removed(block.with_version("v1")),
            Change::Stored(block) => Change::Stored(block.with_version("v1")),
        };
        let batch = Batch {
            changes: self.store.publish().into_iter().map(with_version).collect(),
            incarnation: Incarnation(1),
            sequence: self.store_sequence,
            version: String::new(),
        };
        self.store_sequence += batch.changes.len() as u64;
        self.schedule_after(HOP_DELAY_US, SimEvent::StoreEvents(batch));
        self.schedule_after(PUBLISH_INTERVAL_US, SimEvent::PublishEvents);
    }

    /// Sends a snapshot of the cache of an engine to the broker.
    fn resync(&mut self, upstream: &str) {
        let Some(engine) = upstream[1..].parse::<usize>().ok() else {
            return;
        };
        if self.engines[engine].alive {
            let snapshot = Snapshot {
                blocks: self.engines[engine].cache.blocks(),
                incarnation: Incarnation(self.engines[engine].incarnation),
                sequence: self.sequences[engine],
                version: "v1".to_owned(),
            };
            self.schedule_after(SNAPSHOT_DELAY_US, SimEvent::Snapshot(engine, snapshot));
        }
    }

    /// Sends a load report of each engine to the broker.
    fn sample_loads(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].alive {
                let report = self.engines[engine].load_report(LOAD_REPORT_DELAY_US / 1_000);
                self.schedule_after(LOAD_REPORT_DELAY_US, SimEvent::ReportLoad(engine, report));
            }
        }
        self.schedule_after(LOAD_REPORT_INTERVAL_US, SimEvent::SampleLoads);
    }
}
