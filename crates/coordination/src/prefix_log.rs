//! Bulletin: passes what each host has seen on to all others, in the order in which it came.
//!
//! The host that leads keeps the newest entries and numbers them; every other host names the last
//! that it has and gets those after it. Entries that are gone before a host asks are lost to it.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::prefix_index::CachedPrefix;

/// Bounds the entries that are kept: some seconds' worth at a hundred long prompts a second.
const KEPT: usize = 1_024;
/// Bounds the entries of one answer.
const TOLD: usize = 256;

/// Names the last entry that a host has; numbers of another leader mean nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Gives the term of the voter that numbered it.
    pub term: u64,
    /// Gives its number.
    pub number: u64,
}

/// Keeps the newest entries.
#[derive(Clone, Debug, Default)]
pub struct PrefixLog {
    entries: VecDeque<(String, CachedPrefix)>,
    mark: Position,
}

impl PrefixLog {
    /// Takes the entries of `host`, and returns those of the others after `heard` with the mark of
    /// the last.
    pub fn exchange(
        &mut self,
        term: u64,
        host: impl Into<String>,
        told: Vec<CachedPrefix>,
        heard: Position,
    ) -> (Vec<CachedPrefix>, Position) {
        if self.mark.term != term {
            self.entries.clear();
            self.mark = Position { term, number: 0 };
        }
        let host = host.into();
        let after = match heard.term == term {
            false => 0,
            true => heard.number,
        };
        let lacking = self.mark.number.saturating_sub(after);
        let lacking = usize::try_from(lacking).unwrap_or(usize::MAX).min(TOLD);
        let first = self.entries.len().saturating_sub(lacking);
        let others = self.entries.iter().skip(first);
        let others = others.filter(|(from, _)| *from != host);
        let others = others
            .map(|(_, cached_prefix)| cached_prefix.clone())
            .collect();
        for cached_prefix in told {
            self.entries.push_back((host.clone(), cached_prefix));
            self.mark.number += 1;
        }
        while self.entries.len() > KEPT {
            self.entries.pop_front();
        }
        (others, self.mark)
    }
}
