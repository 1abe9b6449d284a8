//! Placement of a request on the upstream with the least expected time to the first token.

use state::cache_directory::UpstreamIndex;

/// Gives the trade that a workspace row without one has.
pub const DEFAULT_TRADE: u64 = 30;
/// Gives the weight that an upstream row without one has.
pub const DEFAULT_WEIGHT: u64 = 100;

const DISTANCE_US: u64 = 1_500;
const EVEN_PERCENT: u64 = 5;
const IMPORT_BLOCK_US: u64 = 25_000;
const IMPORT_START_US: u64 = 20_000;
const TRADE_UNIT: u64 = 50;

/// Describes an upstream that could serve a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// Tells whether the blocks that it is thought to hold are in doubt.
    pub doubtful: bool,
    /// Gives the time that computing one block takes, in microseconds.
    pub block_us: u64,
    /// Tells whether it lies in another failure domain than the entry.
    pub remote: bool,
    /// Gives the leading blocks of the prompt that it holds.
    pub resident: u32,
    /// Gives the time that computing the prompt's last, partial block takes, in microseconds.
    pub tail_us: u64,
    /// Gives the time that the request would wait, in microseconds.
    pub wait_us: u64,
    /// Gives the weight of the table.
    pub weight: u64,
}

/// Describes the request that is to be placed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Gives the whole blocks of the prompt.
    pub blocks: u32,
    /// Gives the most leading blocks that any cache holds, from which they can be imported.
    pub held: u32,
    /// Says how far hit rate goes before first-token time, from 0 to 100.
    pub trade: u64,
}

/// Rates a candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rating {
    /// Gives the cost by which candidates are compared, in microseconds.
    pub cost_us: u64,
    /// Gives the expected time to the first token, in microseconds.
    pub expected_us: u64,
    /// Names the candidate.
    pub slot: UpstreamIndex,
    /// Gives the blocks that the upstream has to compute.
    pub uncached: u32,
    /// Gives the time that bringing in and computing the prompt takes, in microseconds.
    pub work_us: u64,
}

/// Rates one candidate for a request.
pub fn rate(demand: Demand, slot: UpstreamIndex, candidate: &Candidate) -> Rating {
    let resident = match candidate.doubtful {
        true => candidate.resident / 2,
        false => candidate.resident,
    };
    let missing = u64::from(demand.blocks.saturating_sub(resident));
    let held = demand.held.max(resident);
    let fetched = u64::from(held - resident);
    let compute_us = missing * candidate.block_us;
    let import_us = IMPORT_START_US
        + fetched * IMPORT_BLOCK_US
        + (missing.saturating_sub(fetched)) * candidate.block_us;
    let (work_us, uncached) = match fetched > 0 && import_us < compute_us {
        true => (import_us, missing.saturating_sub(fetched)),
        false => (compute_us, missing),
    };
    let distance_us = if candidate.remote { DISTANCE_US } else { 0 };
    let expected_us = candidate.wait_us + work_us + candidate.tail_us + distance_us;
    let burden_us = work_us * demand.trade / TRADE_UNIT;
    let weight = candidate.weight.max(1);
    let cost_us = (expected_us + burden_us).saturating_mul(DEFAULT_WEIGHT) / weight;
    Rating {
        cost_us,
        expected_us,
        slot,
        uncached: uncached as u32,
        work_us: work_us + candidate.tail_us,
    }
}

/// Sorts ratings so that the best comes first.
///
/// Of those within a few percent of the cheapest, the one with the least `tie` wins, so that
/// requests for the same prefix agree on an upstream before any of them has run.
pub fn sort(ratings: &mut [Rating], tie: impl Fn(UpstreamIndex) -> u64) {
    ratings.sort_by_key(|rating| (rating.cost_us, rating.slot));
    let Some(first) = ratings.first() else {
        return;
    };
    let bound = first.cost_us + first.cost_us * EVEN_PERCENT / 100;
    let even = ratings.partition_point(|rating| rating.cost_us <= bound);
    let best = (0..even)
        .min_by_key(|at| tie(ratings[*at].slot))
        .unwrap_or(0);
    ratings[..=best].rotate_right(1);
}
