//! Rates the upstreams for a request, mainly by the expected time to first token.

use state::cache_directory::UpstreamIndex;

/// Trade of a workspace whose row sets none; see [`RatedRequest::trade`].
pub const DEFAULT_TRADE: u64 = 30;
/// Weight of an upstream whose row sets none.
pub const DEFAULT_WEIGHT: u64 = 100;

/// Extra latency of an upstream in another failure domain, in microseconds.
const CROSS_DOMAIN_US: u64 = 1_500;
/// Cost difference up to which upstreams count as equally good, in percent.
const TIE_PERCENT: u64 = 5;
/// Time to import one block, in microseconds.
const IMPORT_BLOCK_US: u64 = 25_000;
/// Time until an import has started, in microseconds.
const IMPORT_SETUP_US: u64 = 20_000;
/// Trade at which the prefill of uncached blocks counts double in the cost.
const TRADE_SCALE: u64 = 50;

/// An upstream that can serve a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// Whether cache events of the upstream were lost, so that it may hold fewer blocks.
    pub has_gap: bool,
    /// Time to prefill one block, in microseconds.
    pub block_us: u64,
    /// Whether it is in another failure domain than the entry host.
    pub remote: bool,
    /// Number of leading blocks of the prompt that it is assumed to hold.
    pub resident_blocks: u32,
    /// Time to prefill the last, partial block of the prompt, in microseconds.
    pub tail_us: u64,
    /// Time that the request would wait before its prefill, in microseconds.
    pub wait_us: u64,
    /// Weight of the upstream in the table.
    pub weight: u64,
}

/// The properties of a request by which candidates are rated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RatedRequest {
    /// Number of full blocks of the prompt.
    pub blocks: u32,
    /// Largest number of leading blocks that can be imported from one cache.
    pub importable_blocks: u32,
    /// Preference for a high cache hit rate over a short time to first token, from 0 to 100.
    pub trade: u64,
}

/// The rating of a candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rating {
    /// Cost by which candidates are compared, in microseconds.
    pub cost_us: u64,
    /// Expected time to first token, in microseconds.
    pub expected_us: u64,
    /// Index of the candidate.
    pub index: UpstreamIndex,
    /// Number of blocks that the upstream has to prefill.
    pub uncached_blocks: u32,
    /// Time to import and prefill the prompt, in microseconds.
    pub work_us: u64,
}

/// Rates one candidate for a request.
pub fn rate(request: RatedRequest, index: UpstreamIndex, candidate: &Candidate) -> Rating {
    let resident = match candidate.has_gap {
        true => candidate.resident_blocks / 2,
        false => candidate.resident_blocks,
    };
    let missing = u64::from(request.blocks.saturating_sub(resident));
    let importable = request.importable_blocks.max(resident);
    let imported = u64::from(importable - resident);
    let compute_us = missing * candidate.block_us;
    let import_us = IMPORT_SETUP_US
        + imported * IMPORT_BLOCK_US
        + (missing.saturating_sub(imported)) * candidate.block_us;
    let (work_us, uncached) = match imported > 0 && import_us < compute_us {
        true => (import_us, missing.saturating_sub(imported)),
        false => (compute_us, missing),
    };
    let cross_domain_us = if candidate.remote { CROSS_DOMAIN_US } else { 0 };
    let expected_us = candidate.wait_us + work_us + candidate.tail_us + cross_domain_us;
    let trade_cost_us = work_us * request.trade / TRADE_SCALE;
    let weight = candidate.weight.max(1);
    let cost_us = (expected_us + trade_cost_us).saturating_mul(DEFAULT_WEIGHT) / weight;
    Rating {
        cost_us,
        expected_us,
        index,
        uncached_blocks: uncached as u32,
        work_us: work_us + candidate.tail_us,
    }
}

/// Sorts the ratings so that the best comes first.
///
/// Of those whose cost is within a few percent of the lowest, the one with the lowest `tie_break`
/// wins, so that requests with the same prefix choose the same upstream before any of them has run.
pub fn sort(ratings: &mut [Rating], tie_break: impl Fn(UpstreamIndex) -> u64) {
    ratings.sort_by_key(|rating| (rating.cost_us, rating.index));
    let Some(first) = ratings.first() else {
        return;
    };
    let max_tie_cost_us = first.cost_us + first.cost_us * TIE_PERCENT / 100;
    let ties = ratings.partition_point(|rating| rating.cost_us <= max_tie_cost_us);
    let best = (0..ties)
        .min_by_key(|at| tie_break(ratings[*at].index))
        .unwrap_or(0);
    ratings[..=best].rotate_right(1);
}
