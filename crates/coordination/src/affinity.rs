//! Affinity: sends requests with the same shared prefix to the same upstream, as long as it keeps
//! up.
//!
//! Rendezvous hashing ranks all upstreams for each prefix, so that every host finds the same order
//! without coordination, and a removed upstream moves only its own prefixes. A request goes to the
//! first upstream in that order that has room for it. A request without a shared prefix goes to the
//! smallest backlog of a small random sample.

use std::cmp::Reverse;

use crate::rendezvous;
use crate::upstream::Upstream;

/// Size of the random sample for a request without a shared prefix: enough that one of the sample
/// prefills no long prompt while half of the engines do.
const SAMPLE_SIZE: usize = 4;

/// An upstream that could run a request, with the expected cost of the request there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Time that the work ahead of a new request takes, in milliseconds.
    pub backlog_ms: u64,
    /// Whether this host keeps an idle connection to the upstream.
    pub connected: bool,
    /// Whether the upstream is expected to have the request's shared prefix in its cache.
    pub has_prefix: bool,
    /// Tokens of the long prompts in flight there.
    pub long_prompt_tokens: u64,
    /// Whether the upstream is in the failure domain of this host.
    pub same_domain: bool,
    /// ID of the upstream.
    pub id: String,
    /// Time that the prefill of the request's prompt takes there, in milliseconds.
    pub prefill_ms: u64,
    /// Time by which candidates are compared, in milliseconds: that of the work ahead and, where
    /// upstreams differ, that of the request until its answer begins.
    pub start_ms: u64,
    /// Share of the prefixes that have their home there, against the other candidates.
    pub weight: u32,
}

/// Returns the `count` upstreams that rank highest for the shared prefix `key`, in any order.
pub fn top_ranked<'a>(
    mut upstreams: Vec<&'a Upstream>,
    key: &str,
    count: usize,
) -> Vec<&'a Upstream> {
    if upstreams.len() > count {
        let score = |upstream: &Upstream| rendezvous::score(key.as_bytes(), &upstream.id);
        let mut scored: Vec<_> = upstreams.iter().map(|u| (score(u), *u)).collect();
        scored.select_nth_unstable_by_key(count, |(score, _)| Reverse(*score));
        scored.truncate(count);
        upstreams = scored.into_iter().map(|(_, upstream)| upstream).collect();
    }
    upstreams
}

/// Returns the index of the candidate that ranks highest for the shared prefix `key` among those
/// that have room for it.
pub fn first_fit(
    candidates: &[Candidate],
    key: &str,
    has_room: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_, candidate)| has_room(candidate));
    let distance = |candidate: &Candidate| {
        let score = rendezvous::score(key.as_bytes(), &candidate.id);
        rendezvous::weighted_distance(score, candidate.weight)
    };
    let first = open.min_by(|(_, a), (_, b)| distance(a).total_cmp(&distance(b)));
    first.map(|(index, _)| index)
}

/// Returns the index of the least loaded candidate of a random sample, so that hosts which see the
/// same loads do not all choose the same upstream.
pub fn least_loaded_of_sample(candidates: &[Candidate], random: u64) -> Option<usize> {
    let count = candidates.len();
    let first = (random as usize).checked_rem(count)?;
    let mut indices: Vec<usize> = (0..count).collect();
    indices.rotate_left(first);
    let mut rest = random >> 32;
    for index in 1..count.min(SAMPLE_SIZE) {
        let other = index + (rest as usize) % (count - index);
        indices.swap(index, other);
        rest /= count as u64;
    }
    indices.truncate(SAMPLE_SIZE);
    let key = |i: &usize| (candidates[*i].start_ms, !candidates[*i].same_domain);
    indices.into_iter().min_by_key(key)
}

/// Returns the index of the first candidate of a random sample to begin, where a new connection
/// takes `connect_ms`. Faster upstreams are in the sample as much more often as they are faster,
/// and the choice among a few bounds how many hosts follow the same news.
pub fn first_of_weighted_sample(
    candidates: &[Candidate],
    random: u64,
    connect_ms: u64,
) -> Option<usize> {
    let distance = |(index, candidate): (usize, &Candidate)| {
        let score = rendezvous::scatter(random, index as u64);
        (
            rendezvous::weighted_distance(score, candidate.weight),
            index,
        )
    };
    let mut drawn: Vec<(f64, usize)> = candidates.iter().enumerate().map(distance).collect();
    if drawn.len() > SAMPLE_SIZE {
        drawn.select_nth_unstable_by(SAMPLE_SIZE, |(a, _), (b, _)| a.total_cmp(b));
        drawn.truncate(SAMPLE_SIZE);
    }
    drawn.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let key = |(_, i): &(f64, usize)| {
        let candidate = &candidates[*i];
        let start_ms = match candidate.connected {
            false => candidate.start_ms + connect_ms,
            true => candidate.start_ms,
        };
        (start_ms, !candidate.same_domain)
    };
    drawn.into_iter().min_by_key(key).map(|(_, index)| index)
}

/// Returns the index of the first candidate to begin among those with an idle connection that begin
/// at most `slack_ms` later than the candidate at `index`, or else `index`.
pub fn prefer_connected(candidates: &[Candidate], index: usize, slack_ms: u64) -> usize {
    let limit_ms = candidates[index].start_ms + slack_ms;
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_, c)| c.connected && c.start_ms <= limit_ms);
    let least = open.min_by_key(|(_, c)| (c.start_ms, !c.same_domain));
    least.map_or(index, |(index, _)| index)
}
