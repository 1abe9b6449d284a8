//! Affinity: sends requests that share a prompt to one upstream, as long as that one is not behind.
//!
//! Each prompt ranks all upstreams by hash, so that every host finds the same order without asking,
//! and an upstream that is gone moves only its own prompts. A request goes to the first in that
//! order that has room for it; without a shared prompt it goes to the smallest backlog of a few
//! that are drawn by lot.

use std::cmp::Reverse;

use crate::rendezvous;
use crate::upstream::Upstream;

/// Counts the candidates that are drawn by lot for a request without a shared prompt: enough that
/// one of them reads no long prompt while half of the engines do.
const DRAWN: usize = 4;

/// Describes an upstream that could run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Gives the work ahead of a new request, in milliseconds.
    pub backlog_ms: u64,
    /// Tells whether the asker keeps an idle connection to the upstream.
    pub connected: bool,
    /// Tells whether the upstream is expected to have the request's shared prompt.
    pub has_prefix: bool,
    /// Counts the tokens of the long prompts under way there.
    pub long_prompt_tokens: u64,
    /// Tells whether the upstream is in the asker's failure domain.
    pub same_domain: bool,
    /// Names the upstream.
    pub id: String,
    /// Gives the time that reading the request's prompt takes there, in milliseconds.
    pub prefill_ms: u64,
}

/// Returns the `count` upstreams that rank highest for the shared prompt `key`, in any order.
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

/// Returns the place of the candidate that ranks highest for the shared prompt `key` among those
/// that have room for it.
pub fn first_fit(
    candidates: &[Candidate],
    key: &str,
    has_room: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_, candidate)| has_room(candidate));
    let first = open.max_by_key(|(_, c)| rendezvous::score(key.as_bytes(), &c.id));
    first.map(|(place, _)| place)
}

/// Returns the least loaded of some candidates that are drawn by lot, so that hosts which know the
/// same loads do not all choose the same upstream.
pub fn least_loaded_of_sample(candidates: &[Candidate], random: u64) -> Option<usize> {
    let count = candidates.len();
    let first = (random as usize).checked_rem(count)?;
    let mut places: Vec<usize> = (0..count).collect();
    places.rotate_left(first);
    let mut rest = random >> 32;
    for place in 1..count.min(DRAWN) {
        let other = place + (rest as usize) % (count - place);
        places.swap(place, other);
        rest /= count as u64;
    }
    places.truncate(DRAWN);
    let key = |i: &usize| (candidates[*i].backlog_ms, !candidates[*i].same_domain);
    places.into_iter().min_by_key(key)
}

/// Returns the least loaded of the candidates to which a connection is open and which have at most
/// `slack_ms` more work ahead than the one at `place`, or else `place`.
pub fn prefer_connected(candidates: &[Candidate], place: usize, slack_ms: u64) -> usize {
    let most = candidates[place].backlog_ms + slack_ms;
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_, c)| c.connected && c.backlog_ms <= most);
    let least = open.min_by_key(|(_, c)| (c.backlog_ms, !c.same_domain));
    least.map_or(place, |(place, _)| place)
}
