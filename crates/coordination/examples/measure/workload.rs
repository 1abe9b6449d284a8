//! Requests of the two deployments: nested prompts, growing sessions, hot prefixes and floods.

use std::rc::Rc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use state::ident::BlockHash;
use state::rank::Rank;

/// Number of tokens of a cached block.
pub const BLOCK_TOKENS: u32 = 4_096;
/// Time during which requests arrive, in microseconds.
pub const RUN_LENGTH_US: u64 = 70 * SECOND_US;
/// One second in microseconds.
pub const SECOND_US: u64 = 1_000_000;

const FLOOD_END_US: u64 = 60 * SECOND_US;
/// Rate of the flood as a multiple of the capacity of the fleet.
const FLOOD_FACTOR: f64 = 5.0;
const FLOOD_START_US: u64 = 30 * SECOND_US;
/// Time after which other parts of prompts become the hot ones.
const HOT_PREFIX_SHIFT_US: u64 = 25 * SECOND_US;
/// Share of urgent requests that use the hottest part on every level.
const VIRAL_SHARE: f64 = 0.15;
const WORKSPACES: usize = 8;

/// The kind of load that is generated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Requests of small callers only.
    Alone,
    /// The steady mix and a flood of background requests.
    BackgroundFlood,
    /// The steady mix: each rank at a constant share of its capacity.
    Steady,
    /// The steady mix and a flood of urgent requests.
    UrgentFlood,
}

/// Size and load of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Background requests per second that the fleet can serve if it gets no urgent ones.
    pub background_capacity: f64,
    /// Number of blocks that an engine caches.
    pub cache_blocks: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of blocks on each of the three levels of a prompt.
    pub level_blocks: [usize; 3],
    /// Number of different parts on each level for one part of the level above.
    pub fan_out: [usize; 3],
    /// Name of the deployment.
    pub name: &'static str,
    /// Maximum number of tokens of an answer, by rank.
    pub output_tokens: [u32; 2],
    /// Number of blocks that the KV store holds.
    pub store_blocks: usize,
    /// Minimum number of tokens of a prompt after its shared part, by rank; up to twice as many are
    /// drawn.
    pub tail_tokens: [u32; 2],
    /// Value of the `trade` cell of the workspaces.
    pub trade: u64,
    /// Urgent requests per second that the fleet can serve if it gets no background ones.
    pub urgent_capacity: f64,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time at which the caller sends the request, in microseconds.
    pub sent_us: u64,
    /// Whole blocks of the prompt, in order.
    pub blocks: Rc<[BlockHash]>,
    /// Number of the caller in its workspace.
    pub caller: usize,
    /// Length of the answer in tokens.
    pub output_tokens: u32,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether the caller is a small one, which sends few requests.
    pub small: bool,
    /// Number of prompt tokens after the last whole block.
    pub tail_tokens: u32,
    /// Index of the workspace.
    pub workspace: usize,
}

struct Generator<'a> {
    deployment: &'a Deployment,
    requests: Vec<Request>,
    rng: ChaCha8Rng,
    session: u64,
}

/// Returns the requests of a simulation in the order in which they are sent.
pub fn generate(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Request> {
    let mut generator = Generator {
        deployment,
        requests: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        session: 0,
    };
    if scenario != Scenario::Alone {
        let steady_share = 0.3;
        generator.poisson(
            Rank::Urgent,
            deployment.urgent_capacity * steady_share,
            0,
            RUN_LENGTH_US,
        );
        generator.poisson(
            Rank::Background,
            deployment.background_capacity * steady_share,
            0,
            RUN_LENGTH_US,
        );
    }
    let flood = match scenario {
        Scenario::Alone | Scenario::Steady => None,
        Scenario::BackgroundFlood => Some((Rank::Background, deployment.background_capacity)),
        Scenario::UrgentFlood => Some((Rank::Urgent, deployment.urgent_capacity)),
    };
    if let Some((rank, capacity)) = flood {
        generator.poisson(rank, capacity * FLOOD_FACTOR, FLOOD_START_US, FLOOD_END_US);
    }
    generator.small_callers();
    let mut requests = generator.requests;
    requests.sort_by_key(|request| request.sent_us);
    requests
}

/// Returns the shared part of every possible prompt, as blocks.
pub fn shared_prefixes(deployment: &Deployment) -> Vec<Vec<BlockHash>> {
    let mut prompts: Vec<Vec<BlockHash>> = Vec::new();
    for workspace in 0..WORKSPACES {
        let root = BlockHash::root(&self::workspace_name(workspace), "m", "v1");
        let mut level = vec![(root, Vec::new())];
        for (number, count) in deployment.level_blocks.into_iter().enumerate() {
            let parts = |(block, blocks): &(BlockHash, Vec<BlockHash>)| {
                let extend = |part| append_level(*block, blocks.clone(), number, part, count);
                (0..deployment.fan_out[number])
                    .map(extend)
                    .collect::<Vec<_>>()
            };
            level = level.iter().flat_map(parts).collect();
        }
        prompts.extend(level.into_iter().map(|(_, blocks)| blocks));
    }
    prompts
}

/// Returns the name of a workspace.
pub fn workspace_name(index: usize) -> String {
    format!("w{index}")
}

impl Generator<'_> {
    /// Adds requests of large callers as a Poisson process of `rate` requests per second.
    /// Background requests come in sessions of several turns.
    fn poisson(&mut self, rank: Rank, rate: f64, from: u64, to: u64) {
        let turns = match rank {
            Rank::Background => 3,
            Rank::Urgent => 1,
        };
        let mut at = from as f64;
        loop {
            let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln();
            at += gap * SECOND_US as f64 * f64::from(turns) / rate;
            if at >= to as f64 {
                return;
            }
            let workspace = self.zipf(WORKSPACES);
            let caller = self.rng.random_range(0..4);
            self.session(at as u64, rank, workspace, caller, turns, false);
        }
    }

    /// Adds the requests of small callers, one of each rank in each workspace.
    fn small_callers(&mut self) {
        for workspace in 0..WORKSPACES {
            let mut at = self.rng.random_range(0..SECOND_US);
            while at < RUN_LENGTH_US {
                self.session(at, Rank::Urgent, workspace, 100, 1, true);
                at += SECOND_US + self.rng.random_range(0..SECOND_US);
            }
            let mut at = self.rng.random_range(0..SECOND_US);
            while at < RUN_LENGTH_US {
                self.session(at, Rank::Background, workspace, 101, 1, true);
                at += 5 * SECOND_US + self.rng.random_range(0..SECOND_US);
            }
        }
    }

    /// Adds the requests of a session: each turn comes 15 seconds after the one before, and its
    /// prompt extends that of the turn before.
    fn session(
        &mut self,
        at: u64,
        rank: Rank,
        workspace: usize,
        caller: usize,
        turns: u32,
        small: bool,
    ) {
        self.session += 1;
        let session = self.session;
        let mut blocks = self.random_shared_prefix(at, rank, workspace);
        let mut extra = self.deployment.tail_tokens[rank.index()];
        extra += self.rng.random_range(0..extra);
        let mut at = at;
        let mut tail_tokens = 0;
        for turn in 0..turns {
            tail_tokens += extra;
            while tail_tokens >= BLOCK_TOKENS {
                let parent = *blocks.last().expect("a prompt has blocks");
                blocks.push(
                    parent.child(&[session.to_le_bytes(), u64::from(turn).to_le_bytes()].concat()),
                );
                tail_tokens -= BLOCK_TOKENS;
            }
            let most = self.deployment.output_tokens[rank.index()];
            let output_tokens = self.rng.random_range(most / 2..=most);
            self.requests.push(Request {
                sent_us: at,
                blocks: blocks.clone().into(),
                caller,
                output_tokens,
                rank,
                small,
                tail_tokens,
                workspace,
            });
            extra += output_tokens;
            at += 15 * SECOND_US;
        }
    }

    /// Returns the shared part of a random prompt. Which parts are hot shifts with time.
    fn random_shared_prefix(&mut self, at: u64, rank: Rank, workspace: usize) -> Vec<BlockHash> {
        let mut block = BlockHash::root(&self::workspace_name(workspace), "m", "v1");
        let mut blocks = Vec::new();
        let shift = (at / HOT_PREFIX_SHIFT_US) as usize;
        let viral = rank == Rank::Urgent && self.rng.random::<f64>() < VIRAL_SHARE;
        for (level, count) in self.deployment.level_blocks.into_iter().enumerate() {
            let fan_out = self.deployment.fan_out[level];
            let choice = if viral { 0 } else { self.zipf(fan_out) };
            let part = (choice + shift * (level + 1)) % fan_out;
            (block, blocks) = append_level(block, blocks, level, part, count);
        }
        blocks
    }

    /// Returns a random number below `bound`, by Zipf's law: `n` is drawn in proportion to
    /// `1 / (n + 1)`.
    fn zipf(&mut self, bound: usize) -> usize {
        let weights: Vec<f64> = (1..=bound).map(|at| 1.0 / at as f64).collect();
        let mut point = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (at, weight) in weights.iter().enumerate() {
            point -= weight;
            if point <= 0.0 {
                return at;
            }
        }
        bound - 1
    }
}

/// Appends the blocks of one level of a prompt to `blocks`, and returns the last one with them.
fn append_level(
    parent: BlockHash,
    mut blocks: Vec<BlockHash>,
    level: usize,
    part: usize,
    count: usize,
) -> (BlockHash, Vec<BlockHash>) {
    let mut block = parent;
    for number in 0..count {
        block = block.child(&[level as u8, part as u8, number as u8]);
        blocks.push(block);
    }
    (block, blocks)
}
