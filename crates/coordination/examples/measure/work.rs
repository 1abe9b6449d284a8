//! The work of the two deployments: nested prompts, growing sessions, hot prefixes and floods.

use std::rc::Rc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use state::ident::BlockHash;
use state::rank::Rank;

/// Gives the tokens of one cached block.
pub const BLOCK_TOKENS: u32 = 4_096;
/// Gives the length of a run, in microseconds.
pub const LENGTH_US: u64 = 70 * SECOND_US;
/// Gives one second.
pub const SECOND_US: u64 = 1_000_000;

const FLOOD_END_US: u64 = 60 * SECOND_US;
const FLOOD_FACTOR: f64 = 5.0;
const FLOOD_START_US: u64 = 30 * SECOND_US;
const SHIFT_US: u64 = 25 * SECOND_US;
const VIRAL_SHARE: f64 = 0.15;
const WORKSPACES: usize = 8;

/// Names what floods in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scene {
    /// Means nothing but the small callers.
    Alone,
    /// Means a flood of background work.
    BackgroundFlood,
    /// Means the usual mix.
    Steady,
    /// Means a flood of urgent work.
    UrgentFlood,
}

/// Describes a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Gives the background requests a second that the fleet can take of that kind alone.
    pub background_capacity: f64,
    /// Gives the blocks that an engine caches.
    pub cache_blocks: usize,
    /// Gives the engines.
    pub engines: usize,
    /// Gives the blocks of the three levels of a prompt.
    pub levels: [usize; 3],
    /// Gives how many prompts there are on each level below the one above.
    pub fan: [usize; 3],
    /// Names the deployment.
    pub name: &'static str,
    /// Gives the tokens of answers, by rank.
    pub output: [u32; 2],
    /// Gives the blocks that the kept-KV store holds.
    pub store_blocks: usize,
    /// Gives the tokens of a prompt after its shared part, by rank.
    pub tail: [u32; 2],
    /// Gives the value of the workspaces' trade cell.
    pub trade: u64,
    /// Gives the urgent requests a second that the fleet can take of that kind alone.
    pub urgent_capacity: f64,
}

/// Describes one request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Gives the time at which its caller sends it.
    pub at: u64,
    /// Lists the whole blocks of the prompt.
    pub blocks: Rc<[BlockHash]>,
    /// Names the caller.
    pub caller: usize,
    /// Gives the tokens of the answer.
    pub output: u32,
    /// Ranks it.
    pub rank: Rank,
    /// Tells whether its caller is a small one.
    pub small: bool,
    /// Gives the tokens of the prompt after its last whole block.
    pub tail: u32,
    /// Names the workspace.
    pub workspace: usize,
}

struct Source<'a> {
    deployment: &'a Deployment,
    requests: Vec<Request>,
    rng: ChaCha8Rng,
    session: u64,
}

/// Returns the requests of a run in order of time.
pub fn generate(deployment: &Deployment, scene: Scene, seed: u64) -> Vec<Request> {
    let mut source = Source {
        deployment,
        requests: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        session: 0,
    };
    if scene != Scene::Alone {
        let usual = 0.3;
        source.poisson(
            Rank::Urgent,
            deployment.urgent_capacity * usual,
            0,
            LENGTH_US,
        );
        source.poisson(
            Rank::Background,
            deployment.background_capacity * usual,
            0,
            LENGTH_US,
        );
    }
    let flood = match scene {
        Scene::Alone | Scene::Steady => None,
        Scene::BackgroundFlood => Some((Rank::Background, deployment.background_capacity)),
        Scene::UrgentFlood => Some((Rank::Urgent, deployment.urgent_capacity)),
    };
    if let Some((rank, capacity)) = flood {
        source.poisson(rank, capacity * FLOOD_FACTOR, FLOOD_START_US, FLOOD_END_US);
    }
    source.small();
    let mut requests = source.requests;
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns the shared part of every prompt.
pub fn prompts(deployment: &Deployment) -> Vec<Vec<BlockHash>> {
    let mut prompts: Vec<Vec<BlockHash>> = Vec::new();
    for workspace in 0..WORKSPACES {
        let root = BlockHash::root(&self::workspace(workspace), "m", "v1");
        let mut level = vec![(root, Vec::new())];
        for (number, count) in deployment.levels.into_iter().enumerate() {
            let parts = |(block, blocks): &(BlockHash, Vec<BlockHash>)| {
                let extend = |part| extend(*block, blocks.clone(), number, part, count);
                (0..deployment.fan[number]).map(extend).collect::<Vec<_>>()
            };
            level = level.iter().flat_map(parts).collect();
        }
        prompts.extend(level.into_iter().map(|(_, blocks)| blocks));
    }
    prompts
}

/// Returns the name of a workspace.
pub fn workspace(index: usize) -> String {
    format!("w{index}")
}

impl Source<'_> {
    /// Adds requests of large callers at random times; background ones come in sessions.
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
            let workspace = self.skewed(WORKSPACES);
            let caller = self.rng.random_range(0..4);
            self.session(at as u64, rank, workspace, caller, turns, false);
        }
    }

    /// Adds the requests of small callers, one of each rank in each workspace.
    fn small(&mut self) {
        for workspace in 0..WORKSPACES {
            let mut at = self.rng.random_range(0..SECOND_US);
            while at < LENGTH_US {
                self.session(at, Rank::Urgent, workspace, 100, 1, true);
                at += SECOND_US + self.rng.random_range(0..SECOND_US);
            }
            let mut at = self.rng.random_range(0..SECOND_US);
            while at < LENGTH_US {
                self.session(at, Rank::Background, workspace, 101, 1, true);
                at += 5 * SECOND_US + self.rng.random_range(0..SECOND_US);
            }
        }
    }

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
        let mut blocks = self.prompt(at, rank, workspace);
        let mut extra = self.deployment.tail[rank.index()];
        extra += self.rng.random_range(0..extra);
        let mut at = at;
        let mut tail = 0;
        for turn in 0..turns {
            tail += extra;
            while tail >= BLOCK_TOKENS {
                let parent = *blocks.last().expect("a prompt has blocks");
                blocks.push(
                    parent.child(&[session.to_le_bytes(), u64::from(turn).to_le_bytes()].concat()),
                );
                tail -= BLOCK_TOKENS;
            }
            let most = self.deployment.output[rank.index()];
            let output = self.rng.random_range(most / 2..=most);
            self.requests.push(Request {
                at,
                blocks: blocks.clone().into(),
                caller,
                output,
                rank,
                small,
                tail,
                workspace,
            });
            extra += output;
            at += 15 * SECOND_US;
        }
    }

    /// Returns the shared part of a prompt; which parts are hot shifts with time.
    fn prompt(&mut self, at: u64, rank: Rank, workspace: usize) -> Vec<BlockHash> {
        let mut block = BlockHash::root(&self::workspace(workspace), "m", "v1");
        let mut blocks = Vec::new();
        let shift = (at / SHIFT_US) as usize;
        let viral = rank == Rank::Urgent && self.rng.random::<f64>() < VIRAL_SHARE;
        for (level, count) in self.deployment.levels.into_iter().enumerate() {
            let fan = self.deployment.fan[level];
            let choice = if viral { 0 } else { self.skewed(fan) };
            let part = (choice + shift * (level + 1)) % fan;
            (block, blocks) = extend(block, blocks, level, part, count);
        }
        blocks
    }

    /// Returns a number below `bound`; small ones come more often.
    fn skewed(&mut self, bound: usize) -> usize {
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

/// Adds the blocks of one level of a prompt.
fn extend(
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
