//! Separation: keeps short answers away from engines that read long prompts.
//!
//! An engine reads a long prompt in pieces of thousands of tokens, and every answer that it makes
//! meanwhile gets one token between two pieces, a tenth of its usual pace. Short answers therefore
//! share a few engines, and long prompts go to the others first. How many engines the short answers
//! get follows from how many are under way, so that they spread when they slow down.

use std::collections::BTreeSet;

use crate::rendezvous;

/// Counts the short answers under way for each engine that is set aside: a batch of this size makes
/// a token in 10 ms, and half as many again still fit into the smallest engines.
const SHORT_PER_ENGINE: u32 = 20;
/// Bounds the engines that are set aside, as a divisor of all.
const MOST_DIVISOR: usize = 2;

/// Returns the engines that are set aside for short answers while `short` of them are under way.
///
/// Every host finds the same ones without asking, and an engine that comes or goes moves one place.
pub fn set_aside<'a>(
    service: &str,
    engines: impl IntoIterator<Item = &'a str>,
    short: u32,
) -> BTreeSet<&'a str> {
    let score = |id: &str| rendezvous::score(service.as_bytes(), id);
    let mut ranked: Vec<(u64, &str)> = engines.into_iter().map(|id| (score(id), id)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let wanted = short.div_ceil(SHORT_PER_ENGINE).max(1) as usize;
    let count = wanted.min(ranked.len() / MOST_DIVISOR);
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id).collect()
}
