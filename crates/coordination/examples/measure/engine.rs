//! A model of an engine: continuous batching with chunked prefill, priorities and a prefix cache.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::cache::Cache;
use crate::work::BLOCK_TOKENS;
use coordination::report::LoadReport;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::rank::Rank;

/// Gives the requests that an engine runs at once.
pub const SLOTS: usize = 32;

const CHUNK_TOKENS: u32 = 512;
const IMPORT_BLOCK_US: u64 = 25_000;
const IMPORT_POLL_US: u64 = 5_000;
const IMPORT_START_US: u64 = 20_000;
const PREFILL_RATE: u32 = 17_000;
const STEP_BASE_US: u64 = 6_000;
const STEP_SEQUENCE_US: u64 = 100;
const STEP_TOKEN_US: u64 = 40;

/// Tells what a step of an engine brought.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// Means that a request got its last token.
    Finished(usize),
    /// Means that a request got its first token.
    First(usize),
}

/// Counts where the blocks of a prompt came from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Origin {
    /// Counts blocks that were imported.
    pub imported: u32,
    /// Counts blocks that the engine held.
    pub resident: u32,
}

/// Describes a request as an engine sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Lists the blocks of the prompt.
    pub blocks: Rc<[BlockHash]>,
    /// Gives how many leading blocks to import.
    pub import: u32,
    /// Gives the tokens of the answer.
    pub output: u32,
    /// Ranks the request.
    pub priority: Rank,
    /// Numbers the request.
    pub serial: usize,
    /// Gives the tokens of the prompt after its last whole block.
    pub tail: u32,
}

enum Stage {
    Decode,
    Import { until: u64 },
    Prefill { started: bool },
}

struct Run {
    job: Job,
    left: u32,
    order: u64,
    origin: Origin,
    produced: u32,
    stage: Stage,
}

/// Simulates one engine.
pub struct Engine {
    /// Tells whether the engine runs.
    pub alive: bool,
    /// Holds the prefix cache.
    pub cache: Cache,
    /// Identifies the run.
    pub incarnation: u64,
    /// Tells whether a step is under way.
    pub stepping: bool,
    arrivals: u64,
    running: Vec<Run>,
    waiting: BTreeMap<(std::cmp::Reverse<Rank>, u64), Job>,
}

impl Engine {
    /// Returns an idle engine whose cache holds `bound` blocks.
    pub fn new(bound: usize) -> Self {
        Self {
            alive: true,
            arrivals: 0,
            cache: Cache::new(bound),
            incarnation: 1,
            running: Vec::new(),
            stepping: false,
            waiting: BTreeMap::new(),
        }
    }

    /// Forgets a request.
    pub fn cancel(&mut self, serial: usize) {
        self.running.retain(|run| run.job.serial != serial);
        self.waiting.retain(|_, job| job.serial != serial);
    }

    /// Crashes and returns the requests that were lost.
    pub fn crash(&mut self) -> Vec<usize> {
        let running = self.running.drain(..).map(|run| run.job.serial);
        let mut lost: Vec<usize> = running.collect();
        lost.extend(self.waiting.values().map(|job| job.serial));
        self.waiting.clear();
        self.alive = false;
        self.cache.lose();
        self.incarnation += 1;
        lost
    }

    /// Returns whether the engine has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Takes a request.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let key = (std::cmp::Reverse(job.priority), self.arrivals);
        self.waiting.insert(key, job);
    }

    /// Returns a load report.
    pub fn sample(&self, age_ms: u64) -> LoadReport {
        let running = self.running.iter().map(|run| (run.job.priority, run.left));
        let tokens = |job: &Job| {
            let missing = job.blocks.len() as u32 - self.cache.depth(&job.blocks);
            missing * BLOCK_TOKENS + job.tail
        };
        let waiting = self.waiting.values().map(|job| (job.priority, tokens(job)));
        let mut sums = [0; 2];
        for (rank, tokens) in running.chain(waiting) {
            sums[rank.index()] += u64::from(tokens);
        }
        LoadReport {
            age_ms,
            queued_background_tokens: sums[Rank::Background.index()],
            incarnation: Incarnation(self.incarnation),
            prefill_rate: PREFILL_RATE,
            running: (self.running.len() + self.waiting.len()) as u32,
            slots: SLOTS as u32,
            queued_urgent_tokens: sums[Rank::Urgent.index()],
            version: "v1".to_owned(),
        }
    }

    /// Runs one step and returns its length and what it brings at its end, with origins of prompts.
    pub fn step(&mut self, now: u64) -> (u64, Vec<(Outcome, Origin)>) {
        self.fill(now);
        self.import(now);
        let computed = self.prefill();
        let mut outcomes = Vec::new();
        let mut decoding = 0;
        for run in &mut self.running {
            match run.stage {
                Stage::Decode => {
                    decoding += 1;
                    run.produced += 1;
                }
                Stage::Prefill { started: true } if run.left == 0 => {
                    run.stage = Stage::Decode;
                    run.produced = 1;
                    outcomes.push((Outcome::First(run.job.serial), run.origin));
                }
                _ => continue,
            }
            if run.produced >= run.job.output {
                outcomes.push((Outcome::Finished(run.job.serial), run.origin));
            }
        }
        let over = |run: &Run| matches!(run.stage, Stage::Decode) && run.produced >= run.job.output;
        self.running.retain(|run| !over(run));
        if computed == 0 && decoding == 0 && outcomes.is_empty() {
            return (IMPORT_POLL_US, outcomes);
        }
        let length =
            STEP_BASE_US + u64::from(computed) * STEP_TOKEN_US + decoding * STEP_SEQUENCE_US;
        (length, outcomes)
    }

    fn fill(&mut self, now: u64) {
        while self.running.len() < SLOTS {
            let Some(((_, order), job)) = self.waiting.pop_first() else {
                return;
            };
            let depth = self.cache.depth(&job.blocks);
            let fetched = u64::from(job.import.saturating_sub(depth));
            let stage = match fetched {
                0 => Stage::Prefill { started: false },
                _ => Stage::Import {
                    until: now + IMPORT_START_US + fetched * IMPORT_BLOCK_US,
                },
            };
            self.running.push(Run {
                left: 1,
                job,
                order,
                origin: Origin::default(),
                produced: 0,
                stage,
            });
        }
    }

    fn import(&mut self, now: u64) {
        for run in &mut self.running {
            if let Stage::Import { until } = run.stage
                && until <= now
            {
                let depth = self.cache.depth(&run.job.blocks);
                run.origin.imported = run.job.import.saturating_sub(depth);
                self.cache.touch(&run.job.blocks[..run.job.import as usize]);
                run.stage = Stage::Prefill { started: false };
            }
        }
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = CHUNK_TOKENS;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        let key = |at: &usize| {
            let run = &self.running[*at];
            (std::cmp::Reverse(run.job.priority), run.order)
        };
        order.sort_by_key(key);
        for at in order {
            let run = &mut self.running[at];
            let Stage::Prefill { started } = &mut run.stage else {
                continue;
            };
            if budget == 0 {
                break;
            }
            let blocks = run.job.blocks.len() as u32;
            if !*started {
                *started = true;
                let depth = self.cache.depth(&run.job.blocks);
                run.origin.resident = depth.saturating_sub(run.origin.imported);
                run.left = (blocks - depth) * BLOCK_TOKENS + run.job.tail;
                self.cache.touch(&run.job.blocks[..depth as usize]);
            }
            let before = run.left;
            run.left -= run.left.min(budget);
            budget -= before - run.left;
            let missing = run.left.saturating_sub(run.job.tail).div_ceil(BLOCK_TOKENS);
            let known = before.saturating_sub(run.job.tail).div_ceil(BLOCK_TOKENS);
            if missing < known {
                self.cache
                    .touch(&run.job.blocks[..(blocks - missing) as usize]);
            }
        }
        CHUNK_TOKENS - budget
    }
}
