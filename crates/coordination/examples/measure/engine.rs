//! A model of an engine: continuous batching with chunked prefill, priorities and a prefix cache.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::cache::Cache;
use crate::workload::BLOCK_TOKENS;
use coordination::report::LoadReport;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::rank::Rank;

/// Number of requests that an engine runs at once.
pub const SLOTS: usize = 32;

/// Most prompt tokens that one step computes, for all requests together.
const CHUNK_TOKENS: u32 = 512;
const IMPORT_US_PER_BLOCK: u64 = 25_000;
/// Length of a step in which nothing is computed because all requests wait for imports.
const IMPORT_POLL_INTERVAL_US: u64 = 5_000;
const IMPORT_START_US: u64 = 20_000;
const PREFILL_TOKENS_PER_S: u32 = 17_000;
const STEP_BASE_US: u64 = 6_000;
const STEP_US_PER_SEQUENCE: u64 = 100;
const STEP_US_PER_TOKEN: u64 = 40;

/// Progress of a request at the end of a step.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The request with this serial number got its last token.
    Finished(usize),
    /// The request with this serial number got its first token.
    FirstToken(usize),
}

/// Number of blocks of a prompt by where they came from.
#[derive(Clone, Copy, Debug, Default)]
pub struct BlockOrigins {
    /// Blocks that were imported.
    pub imported: u32,
    /// Blocks that the engine had cached.
    pub resident: u32,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Whole blocks of the prompt, in order.
    pub blocks: Rc<[BlockHash]>,
    /// Number of leading blocks to import.
    pub import: u32,
    /// Length of the answer in tokens.
    pub output_tokens: u32,
    /// Rank of the request; the engine serves higher ranks first.
    pub rank: Rank,
    /// Number that identifies the request.
    pub serial: usize,
    /// Number of prompt tokens after the last whole block.
    pub tail_tokens: u32,
}

/// What a running request does.
enum Stage {
    Decode,
    Import { until: u64 },
    Prefill { started: bool },
}

struct RunningJob {
    job: Job,
    /// Prompt tokens that are still to be prefilled.
    prefill_tokens_left: u32,
    /// Order in which the requests arrived.
    arrival: u64,
    origins: BlockOrigins,
    /// Number of tokens of the answer that were generated.
    produced: u32,
    stage: Stage,
}

/// A simulated engine.
pub struct Engine {
    /// Whether the engine is up.
    pub alive: bool,
    /// Prefix cache.
    pub cache: Cache,
    /// Incarnation of the engine; increases with every crash.
    pub incarnation: u64,
    /// Whether a step is in progress.
    pub stepping: bool,
    arrivals: u64,
    running: Vec<RunningJob>,
    waiting: BTreeMap<(std::cmp::Reverse<Rank>, u64), Job>,
}

impl Engine {
    /// Returns an idle engine with a cache for `cache_blocks` blocks.
    pub fn new(cache_blocks: usize) -> Self {
        Self {
            alive: true,
            arrivals: 0,
            cache: Cache::new(cache_blocks),
            incarnation: 1,
            running: Vec::new(),
            stepping: false,
            waiting: BTreeMap::new(),
        }
    }

    /// Cancels a request, running or waiting.
    pub fn cancel(&mut self, serial: usize) {
        self.running.retain(|run| run.job.serial != serial);
        self.waiting.retain(|_, job| job.serial != serial);
    }

    /// Crashes: empties the cache and drops all requests. Returns the serial numbers of these.
    pub fn crash(&mut self) -> Vec<usize> {
        let running = self.running.drain(..).map(|run| run.job.serial);
        let mut lost: Vec<usize> = running.collect();
        lost.extend(self.waiting.values().map(|job| job.serial));
        self.waiting.clear();
        self.alive = false;
        self.cache.clear();
        self.incarnation += 1;
        lost
    }

    /// Returns whether the engine has no requests.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Queues a request.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let key = (std::cmp::Reverse(job.rank), self.arrivals);
        self.waiting.insert(key, job);
    }

    /// Returns a load report that says it is `age_ms` old.
    pub fn load_report(&self, age_ms: u64) -> LoadReport {
        let running = self
            .running
            .iter()
            .map(|run| (run.job.rank, run.prefill_tokens_left));
        let tokens = |job: &Job| {
            let missing = job.blocks.len() as u32 - self.cache.cached_prefix_len(&job.blocks);
            missing * BLOCK_TOKENS + job.tail_tokens
        };
        let waiting = self.waiting.values().map(|job| (job.rank, tokens(job)));
        let mut sums = [0; 2];
        for (rank, tokens) in running.chain(waiting) {
            sums[rank.index()] += u64::from(tokens);
        }
        LoadReport {
            age_ms,
            queued_background_tokens: sums[Rank::Background.index()],
            incarnation: Incarnation(self.incarnation),
            prefill_rate: PREFILL_TOKENS_PER_S,
            running: (self.running.len() + self.waiting.len()) as u32,
            slots: SLOTS as u32,
            queued_urgent_tokens: sums[Rank::Urgent.index()],
            version: "v1".to_owned(),
        }
    }

    /// Runs one step. Returns its length in microseconds and the progress of requests at its end,
    /// with where the blocks of their prompts came from.
    pub fn step(&mut self, now: u64) -> (u64, Vec<(Outcome, BlockOrigins)>) {
        self.start_waiting(now);
        self.complete_imports(now);
        let computed = self.prefill();
        let mut outcomes = Vec::new();
        let mut decoding = 0;
        for run in &mut self.running {
            match run.stage {
                Stage::Decode => {
                    decoding += 1;
                    run.produced += 1;
                }
                Stage::Prefill { started: true } if run.prefill_tokens_left == 0 => {
                    run.stage = Stage::Decode;
                    run.produced = 1;
                    outcomes.push((Outcome::FirstToken(run.job.serial), run.origins));
                }
                _ => continue,
            }
            if run.produced >= run.job.output_tokens {
                outcomes.push((Outcome::Finished(run.job.serial), run.origins));
            }
        }
        let done =
            |r: &RunningJob| matches!(r.stage, Stage::Decode) && r.produced >= r.job.output_tokens;
        self.running.retain(|run| !done(run));
        if computed == 0 && decoding == 0 && outcomes.is_empty() {
            return (IMPORT_POLL_INTERVAL_US, outcomes);
        }
        let length = STEP_BASE_US
            + u64::from(computed) * STEP_US_PER_TOKEN
            + decoding * STEP_US_PER_SEQUENCE;
        (length, outcomes)
    }

    /// Starts waiting requests, of the highest rank first, while slots are free.
    fn start_waiting(&mut self, now: u64) {
        while self.running.len() < SLOTS {
            let Some(((_, arrival), job)) = self.waiting.pop_first() else {
                return;
            };
            let cached_prefix_len = self.cache.cached_prefix_len(&job.blocks);
            let fetched = u64::from(job.import.saturating_sub(cached_prefix_len));
            let stage = match fetched {
                0 => Stage::Prefill { started: false },
                _ => Stage::Import {
                    until: now + IMPORT_START_US + fetched * IMPORT_US_PER_BLOCK,
                },
            };
            self.running.push(RunningJob {
                prefill_tokens_left: 1,
                job,
                arrival,
                origins: BlockOrigins::default(),
                produced: 0,
                stage,
            });
        }
    }

    /// Completes the imports that have ended by `now`.
    fn complete_imports(&mut self, now: u64) {
        for run in &mut self.running {
            if let Stage::Import { until } = run.stage
                && until <= now
            {
                let cached_prefix_len = self.cache.cached_prefix_len(&run.job.blocks);
                run.origins.imported = run.job.import.saturating_sub(cached_prefix_len);
                self.cache.touch(&run.job.blocks[..run.job.import as usize]);
                run.stage = Stage::Prefill { started: false };
            }
        }
    }

    /// Prefills up to [`CHUNK_TOKENS`] tokens by rank and order of arrival, and returns how many.
    fn prefill(&mut self) -> u32 {
        let mut budget = CHUNK_TOKENS;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        let key = |index: &usize| {
            let run = &self.running[*index];
            (std::cmp::Reverse(run.job.rank), run.arrival)
        };
        order.sort_by_key(key);
        for index in order {
            let run = &mut self.running[index];
            let Stage::Prefill { started } = &mut run.stage else {
                continue;
            };
            if budget == 0 {
                break;
            }
            let blocks = run.job.blocks.len() as u32;
            if !*started {
                *started = true;
                let cached_prefix_len = self.cache.cached_prefix_len(&run.job.blocks);
                run.origins.resident = cached_prefix_len.saturating_sub(run.origins.imported);
                run.prefill_tokens_left =
                    (blocks - cached_prefix_len) * BLOCK_TOKENS + run.job.tail_tokens;
                self.cache
                    .touch(&run.job.blocks[..cached_prefix_len as usize]);
            }
            let left_before = run.prefill_tokens_left;
            run.prefill_tokens_left -= run.prefill_tokens_left.min(budget);
            budget -= left_before - run.prefill_tokens_left;
            let missing = run
                .prefill_tokens_left
                .saturating_sub(run.job.tail_tokens)
                .div_ceil(BLOCK_TOKENS);
            let missing_before = left_before
                .saturating_sub(run.job.tail_tokens)
                .div_ceil(BLOCK_TOKENS);
            if missing < missing_before {
                self.cache
                    .touch(&run.job.blocks[..(blocks - missing) as usize]);
            }
        }
        CHUNK_TOKENS - budget
    }
}
