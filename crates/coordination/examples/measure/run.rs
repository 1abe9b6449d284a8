//! One run of one policy on one deployment, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::rc::Rc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cache::Cache;
use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Origin;
use crate::engine::Outcome;
use crate::router;
use crate::router::Policy;
use crate::router::Router;
use crate::work;
use crate::work::Deployment;
use crate::work::Request;
use crate::work::Scene;
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

const BATCH_LOSS: f64 = 0.02;
const BATCH_US: u64 = 100_000;
const CLIENT_US: u64 = 3_000;
const CRASH_US: u64 = 40_000_000;
const DEADLINE_US: [u64; 2] = [30_000_000, 2_000_000];
const EVENT_LAG_US: std::ops::Range<u64> = 100_000..600_000;
const EXPORT_US: u64 = 200_000;
const HOP_US: u64 = 1_500;
const RECOVERY_US: u64 = 3_000_000;
const SAMPLE_LAG_US: u64 = 150_000;
const SAMPLE_US: u64 = 250_000;
const SNAPSHOT_US: u64 = 100_000;
const TICK_US: u64 = 5_000;
const VERDICT_US: u64 = 500_000;

/// Records what became of a request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Gives the blocks that were resident or imported.
    pub origin: Origin,
    /// Gives the time of the first token, at the caller.
    pub first: Option<u64>,
    /// Gives the most leading blocks that any live cache held when the request came.
    pub oracle: u32,
    /// Tells whether the answer came whole.
    pub whole: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum What {
    Arrive(usize),
    Cache(usize, Batch),
    Crash(usize),
    Deadline(usize),
    Done(usize, PlacementId, Progress),
    Export(Rc<[BlockHash]>),
    Publish,
    Push(usize, usize, u32, Rank),
    Recover(usize),
    Sample(usize, coordination::report::LoadReport),
    Sampling,
    Snapshot(usize, Snapshot),
    Step(usize, u64),
    Store(Batch),
    Tick,
    Verdict(usize, bool),
}

struct Entry(u64, u64, What);

impl Eq for Entry {}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Holds a run and, at its end, its records.
pub struct Run {
    /// Holds what became of each request.
    pub records: Vec<Record>,
    /// Holds the requests.
    pub requests: Vec<Request>,
    engines: Vec<Engine>,
    heap: BinaryHeap<Reverse<Entry>>,
    now: u64,
    outcomes: HashMap<usize, Vec<(Outcome, Origin)>>,
    placed: HashMap<usize, (usize, PlacementId)>,
    policy: Policy,
    refused: HashMap<usize, Vec<String>>,
    rng: ChaCha8Rng,
    router: Router,
    sequence: Vec<u64>,
    serial: u64,
    store: Cache,
    store_sequence: u64,
    tickets: HashMap<PlacementId, usize>,
}

impl Run {
    /// Runs `scene` under `policy`.
    pub fn new(policy: Policy, deployment: &Deployment, scene: Scene, seed: u64) -> Self {
        let requests = work::generate(deployment, scene, seed);
        let record = Record {
            origin: Origin::default(),
            first: None,
            oracle: 0,
            whole: false,
        };
        let engine = |_| Engine::new(deployment.cache_blocks);
        let mut run = Self {
            engines: (0..deployment.engines).map(engine).collect(),
            heap: BinaryHeap::new(),
            now: 0,
            outcomes: HashMap::new(),
            placed: HashMap::new(),
            policy,
            records: vec![record; requests.len()],
            refused: HashMap::new(),
            requests,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
            router: Router::new(policy, deployment),
            sequence: vec![0; deployment.engines],
            serial: 0,
            store: Cache::new(deployment.store_blocks),
            store_sequence: 0,
            tickets: HashMap::new(),
        };
        for blocks in work::prompts(deployment) {
            run.store.touch(&blocks);
        }
        run.start();
        run.drive();
        run
    }

    fn start(&mut self) {
        for what in [What::Publish, What::Sampling, What::Tick] {
            self.after(0, what);
        }
        self.after(CRASH_US, What::Crash(1));
        for at in 0..self.requests.len() {
            let due = self.requests[at].at + CLIENT_US;
            self.after(due, What::Arrive(at));
        }
    }

    fn drive(&mut self) {
        while let Some(Reverse(Entry(at, _, what))) = self.heap.pop() {
            if at > work::LENGTH_US + 5 * work::SECOND_US {
                return;
            }
            self.now = at;
            self.handle(what);
        }
    }

    fn after(&mut self, delay: u64, what: What) {
        self.serial += 1;
        let entry = Entry(self.now + delay, self.serial, what);
        self.heap.push(Reverse(entry));
    }

    fn handle(&mut self, what: What) {
        match what {
            What::Arrive(at) => self.arrive(at),
            What::Cache(engine, batch) => {
                let upstream = router::engine(engine);
                self.tell(Event::Cache { batch, upstream });
            }
            What::Crash(engine) => self.crash(engine),
            What::Deadline(at) => self.give_up(at),
            What::Done(_, placement_id, progress) => {
                self.tell(Event::Report(ProgressReport {
                    progress,
                    placement_id,
                }));
            }
            What::Export(blocks) => self.store.touch(&blocks),
            What::Publish => self.publish(),
            What::Push(at, engine, import, priority) => self.push(at, engine, import, priority),
            What::Recover(engine) => {
                self.engines[engine].alive = true;
                self.sequence[engine] = 0;
                self.after(VERDICT_US, What::Verdict(engine, true));
            }
            What::Sample(engine, report) => {
                let upstream = router::engine(engine);
                self.tell(Event::Load { report, upstream });
            }
            What::Sampling => self.sampling(),
            What::Snapshot(engine, snapshot) => {
                let upstream = router::engine(engine);
                self.tell(Event::Snapshot { snapshot, upstream });
            }
            What::Step(engine, incarnation) => self.stepped(engine, incarnation),
            What::Store(batch) => {
                let upstream = "store".to_owned();
                self.tell(Event::Cache { batch, upstream });
            }
            What::Tick => {
                self.tell(Event::Tick);
                self.after(TICK_US, What::Tick);
            }
            What::Verdict(engine, alive) => {
                self.router.usable[engine] = alive;
                let standing = if alive {
                    Standing::Usable
                } else {
                    Standing::Dead
                };
                let upstream = router::engine(engine);
                self.tell(Event::Standing { standing, upstream });
            }
        }
    }

    fn arrive(&mut self, at: usize) {
        let blocks = Rc::clone(&self.requests[at].blocks);
        let held = self
            .engines
            .iter()
            .filter(|e| e.alive)
            .map(|e| e.cache.depth(&blocks));
        self.records[at].oracle = held.max().unwrap_or(0).max(self.store.depth(&blocks));
        let deadline = DEADLINE_US[self.requests[at].rank.index()];
        self.after(deadline, What::Deadline(at));
        self.send(at);
    }

    fn send(&mut self, at: usize) {
        let request = self.requests[at].clone();
        self.serial += 1;
        let placement_id = PlacementId(u128::from(self.serial));
        if self.policy == Policy::Broker {
            self.tickets.insert(placement_id, at);
            let due = request.at + CLIENT_US + DEADLINE_US[request.rank.index()];
            let left = due.saturating_sub(self.now) / 1_000;
            let excluded = self.refused.get(&at).cloned().unwrap_or_default();
            let ask = router::ask(&request, placement_id, left, excluded);
            self.tell(Event::Arrival(ask));
            return;
        }
        if let Some(engine) = self.router.choose(&request) {
            self.placed.insert(at, (engine, placement_id));
            self.router.inflight[engine] += 1;
            let import = self.store.depth(&request.blocks);
            self.after(HOP_US, What::Push(at, engine, import, request.rank));
        }
    }

    fn tell(&mut self, event: Event) {
        for effect in self.router.step(self.now, event) {
            match effect {
                Effect::Export { placement_id, .. } => {
                    if let Some(at) = self.tickets.get(&placement_id) {
                        let blocks = Rc::clone(&self.requests[*at].blocks);
                        self.after(EXPORT_US, What::Export(blocks));
                    }
                }
                Effect::Grant(grant) => self.granted(&grant),
                Effect::Refuse(refusal) => {
                    self.tickets.remove(&refusal.placement_id);
                }
                Effect::Resync { upstream } => self.resync(&upstream),
            }
        }
    }

    fn granted(&mut self, grant: &Grant) {
        let at = self.tickets[&grant.placement_id];
        let index = |name: &str| name[1..].parse::<usize>().ok();
        let engine = index(&grant.upstream).expect("engines have numbers");
        let blocks = &self.requests[at].blocks;
        let import = grant.import.as_ref().map_or(0, |import| {
            let held = match index(&import.source) {
                Some(source) => self.engines[source].cache.depth(blocks),
                None => self.store.depth(blocks),
            };
            held.min(import.blocks)
        });
        self.placed.insert(at, (engine, grant.placement_id));
        self.after(HOP_US * 2, What::Push(at, engine, import, grant.priority));
    }

    fn push(&mut self, at: usize, engine: usize, import: u32, priority: Rank) {
        if !self.engines[engine].alive {
            self.fail(at, engine);
            return;
        }
        let request = &self.requests[at];
        self.engines[engine].push(Job {
            blocks: Rc::clone(&request.blocks),
            import,
            output: request.output,
            priority,
            serial: at,
            tail: request.tail.max(1),
        });
        self.kick(engine);
    }

    fn kick(&mut self, engine: usize) {
        let target = &mut self.engines[engine];
        if target.stepping || !target.alive || target.is_idle() {
            return;
        }
        target.stepping = true;
        let incarnation = target.incarnation;
        let (length, outcomes) = target.step(self.now);
        self.outcomes.insert(engine, outcomes);
        self.after(length, What::Step(engine, incarnation));
    }

    fn stepped(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].stepping = false;
        for (outcome, origin) in self.outcomes.remove(&engine).unwrap_or_default() {
            let (Outcome::Finished(at) | Outcome::First(at)) = outcome;
            let Some((_, placement_id)) = self.placed.get(&at).copied() else {
                continue;
            };
            match outcome {
                Outcome::Finished(at) => {
                    self.records[at].whole = true;
                    self.end(at, Progress::Finished);
                }
                Outcome::First(at) => {
                    self.records[at].first = Some(self.now + HOP_US + CLIENT_US);
                    self.records[at].origin = origin;
                    self.after(HOP_US, What::Done(at, placement_id, Progress::FirstToken));
                    if self.policy != Policy::Broker {
                        let blocks = Rc::clone(&self.requests[at].blocks);
                        self.after(EXPORT_US, What::Export(blocks));
                    }
                }
            }
        }
        self.kick(engine);
    }

    fn end(&mut self, at: usize, progress: Progress) {
        if let Some((engine, placement_id)) = self.placed.remove(&at) {
            self.router.inflight[engine] -= 1.min(self.router.inflight[engine]);
            self.after(HOP_US, What::Done(at, placement_id, progress));
        }
    }

    fn fail(&mut self, at: usize, engine: usize) {
        self.end(at, Progress::Failed);
        if self.records[at].first.is_some() || self.now > self.requests[at].at + DEADLINE_US[0] {
            return;
        }
        self.refused
            .entry(at)
            .or_default()
            .push(router::engine(engine));
        self.router.usable[engine] = false;
        self.send(at);
    }

    fn give_up(&mut self, at: usize) {
        if self.records[at].first.is_some() {
            return;
        }
        if let Some((engine, _)) = self.placed.get(&at).copied() {
            self.engines[engine].cancel(at);
            self.end(at, Progress::Finished);
        }
    }

    fn crash(&mut self, engine: usize) {
        self.outcomes.remove(&engine);
        self.engines[engine].stepping = false;
        for at in self.engines[engine].crash() {
            self.fail(at, engine);
        }
        self.after(VERDICT_US, What::Verdict(engine, false));
        self.after(RECOVERY_US, What::Recover(engine));
    }

    fn publish(&mut self) {
        for engine in 0..self.engines.len() {
            let changes = self.engines[engine].cache.publish();
            if !self.engines[engine].alive || changes.is_empty() {
                continue;
            }
            let batch = Batch {
                incarnation: Incarnation(self.engines[engine].incarnation),
                sequence: self.sequence[engine],
                version: "v1".to_owned(),
                changes,
            };
            self.sequence[engine] += batch.changes.len() as u64;
            if self.rng.random::<f64>() >= BATCH_LOSS {
                let lag = self.rng.random_range(EVENT_LAG_US);
                self.after(lag, What::Cache(engine, batch));
            }
        }
        let named = |change| match change {
            Change::Cleared => Change::Cleared,
            Change::Removed(block) => Change::Removed(block.with_version("v1")),
            Change::Stored(block) => Change::Stored(block.with_version("v1")),
        };
        let batch = Batch {
            changes: self.store.publish().into_iter().map(named).collect(),
            incarnation: Incarnation(1),
            sequence: self.store_sequence,
            version: String::new(),
        };
        self.store_sequence += batch.changes.len() as u64;
        self.after(HOP_US, What::Store(batch));
        self.after(BATCH_US, What::Publish);
    }

    fn resync(&mut self, upstream: &str) {
        let Some(engine) = upstream[1..].parse::<usize>().ok() else {
            return;
        };
        if self.engines[engine].alive {
            let snapshot = Snapshot {
                blocks: self.engines[engine].cache.blocks(),
                incarnation: Incarnation(self.engines[engine].incarnation),
                sequence: self.sequence[engine],
                version: "v1".to_owned(),
            };
            self.after(SNAPSHOT_US, What::Snapshot(engine, snapshot));
        }
    }

    fn sampling(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].alive {
                let sample = self.engines[engine].sample(SAMPLE_LAG_US / 1_000);
                self.after(SAMPLE_LAG_US, What::Sample(engine, sample));
            }
        }
        self.after(SAMPLE_US, What::Sampling);
    }
}
