//! Affinity: sends requests that share a prompt to one upstream, as long as that one is not behind.
//!
//! Each prompt ranks all upstreams by hash, so that every host finds the same order without asking,
//! and an upstream that is gone moves only its own prompts. A request goes to the first in that
//! order whose backlog is close to the smallest; without a shared prompt it goes to the smallest.

use crate::rendezvous;

/// Describes an upstream that could run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Gives the work ahead of a new request, in milliseconds.
    pub backlog_ms: u64,
    /// Tells whether the upstream is in the asker's failure domain.
    pub near: bool,
    /// Names the upstream.
    pub id: String,
}

/// Returns the place of the candidate that should run a request with the shared prompt `key`.
///
/// `worth_ms` is the time that reading the shared prompt again would take, which is how much longer
/// a request may wait for the upstream that has read it; `draw` breaks ties.
pub fn choose(
    candidates: &[Candidate],
    key: Option<&str>,
    worth_ms: u64,
    draw: u64,
) -> Option<usize> {
    let least = candidates.iter().map(|c| c.backlog_ms).min()?;
    let Some(key) = key else {
        return least_loaded(candidates, least, draw);
    };
    let close = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.backlog_ms <= least + worth_ms);
    let first = close.max_by_key(|(_, c)| rendezvous::score(key.as_bytes(), &c.id));
    first.map(|(place, _)| place)
}

fn least_loaded(candidates: &[Candidate], least: u64, draw: u64) -> Option<usize> {
    let smallest = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.backlog_ms == least);
    let smallest: Vec<(usize, &Candidate)> = smallest.collect();
    let near: Vec<usize> = smallest
        .iter()
        .filter(|(_, c)| c.near)
        .map(|(place, _)| *place)
        .collect();
    let all: Vec<usize> = smallest.iter().map(|(place, _)| *place).collect();
    let among = match near.is_empty() {
        false => near,
        true => all,
    };
    let turn = usize::try_from(draw % among.len().max(1) as u64).ok()?;
    among.get(turn).copied()
}
