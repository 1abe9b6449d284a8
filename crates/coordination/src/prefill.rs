//! The prefill of a request at an engine: how many tokens it computes, and whether the engine has
//! room and time for it.

use crate::affinity::Candidate;
use crate::demand::Demand;
use crate::engine_model::EngineModel;

/// Share of an engine's memory that long prompts in flight may fill, in percent; the rest is for
/// short prompts and for the tokens of answers.
const LONG_PROMPT_MEMORY_PERCENT: u64 = 85;
/// Cost of fetching a prefix from another engine, as a divisor of the cost of its prefill.
const FETCH_DIVISOR: u64 = 8;

/// Where a shared prefix is expected to be cached, as seen from one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// Another engine has it cached.
    Elsewhere,
    /// The engine has it cached.
    Here,
    /// No engine is known to have it.
    Nowhere,
}

/// Returns the tokens that an engine would have to prefill for a request; tokens that it would
/// fetch from another engine count as the prefill that takes as long.
pub fn tokens(demand: &Demand, availability: Availability) -> u64 {
    let shared_tokens = demand
        .shared_prefix
        .as_ref()
        .map_or(0, |(_, tokens)| *tokens);
    let own = demand.prompt_tokens.saturating_sub(shared_tokens);
    match availability {
        Availability::Elsewhere => own + shared_tokens / FETCH_DIVISOR,
        Availability::Here => own,
        Availability::Nowhere => demand.prompt_tokens,
    }
}

/// Returns whether a long prompt fits into a candidate's memory beside those in flight. An engine
/// with more of them preempts running answers and evicts prefixes that later requests share.
pub fn fits(candidate: &Candidate, demand: &Demand) -> bool {
    let in_flight_tokens = candidate.long_prompt_tokens;
    let limit = |memory: u64| memory * LONG_PROMPT_MEMORY_PERCENT / 100;
    in_flight_tokens == 0
        || demand
            .memory_tokens
            .is_none_or(|memory| in_flight_tokens + demand.prompt_tokens <= limit(memory))
}

/// Returns whether no engine of the service can hold a request, whatever else runs there.
pub fn is_too_large(demand: &Demand) -> bool {
    let tokens = demand.prompt_tokens + demand.answer_tokens;
    demand.memory_tokens.is_some_and(|memory| tokens > memory)
}

/// Returns whether the answer of a candidate is expected to begin in time.
pub fn begins_in_time(candidate: &Candidate, demand: &Demand, model: &EngineModel) -> bool {
    candidate.backlog_ms + candidate.prefill_ms + model.first_byte_ms <= demand.first_byte_left_ms
}
