//! Log of cached prefixes: passes the entries of each host on to all others, in order of arrival.
//!
//! The leading host keeps the newest entries and numbers them. Every other host sends the position
//! of the last entry that it has, and gets the entries after it. A host misses the entries that are
//! dropped before it asks.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::prefix_index::CacheLocation;
use crate::prefix_index::CachedPrefix;
use crate::prefix_index::PrefixKey;
use crate::upstream::Edition;
use crate::upstream::Fleet;

/// Largest number of entries that are kept: enough for some seconds at a hundred long prompts a
/// second.
const ENTRIES_LIMIT: usize = 1_024;
/// Largest number of entries in one answer.
const ANSWER_LIMIT: usize = 256;

/// Position of the last entry that a host has; it is valid only within one term.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Term of the leader that numbered the entry.
    pub term: u64,
    /// Number of the entry within the term.
    pub number: u64,
}

/// A cached prefix, as it is passed on to hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Position of the engine in the edition of the fleet that is sent along; `None` for the store.
    pub engine: Option<u32>,
    /// The cached prefix.
    pub prefix: PrefixKey,
}

/// Returns the announcements of entries; those of engines that `fleet` does not list are left out.
pub fn announce(
    fleet: &Fleet,
    cached_prefixes: impl IntoIterator<Item = CachedPrefix>,
) -> Vec<Announcement> {
    let announcement = |CachedPrefix { location, prefix }| {
        let engine = match location {
            CacheLocation::Engine(id) => {
                let index = fleet.upstreams.binary_search_by(|u| u.id.cmp(&id));
                Some(u32::try_from(index.ok()?).ok()?)
            }
            CacheLocation::Store => None,
        };
        Some(Announcement { engine, prefix })
    };
    cached_prefixes
        .into_iter()
        .filter_map(announcement)
        .collect()
}

/// Returns the entries that were announced with `edition`; none if `fleet` is another one, in which
/// the positions name other engines.
pub fn entries(
    fleet: &Fleet,
    edition: Edition,
    announcements: impl IntoIterator<Item = Announcement>,
) -> Vec<CachedPrefix> {
    let entry = |Announcement { engine, prefix }| {
        let location = match engine {
            None => CacheLocation::Store,
            Some(index) => {
                let upstream = fleet.upstreams.get(index as usize)?;
                CacheLocation::Engine(upstream.id.clone())
            }
        };
        Some(CachedPrefix { location, prefix })
    };
    match fleet.edition == edition {
        false => Vec::new(),
        true => announcements.into_iter().filter_map(entry).collect(),
    }
}

/// The newest entries, as the leading host keeps them.
#[derive(Clone, Debug, Default)]
pub struct PrefixLog {
    entries: VecDeque<(String, CachedPrefix)>,
    last_position: Position,
}

impl PrefixLog {
    /// Appends the entries of `host`, and returns those of the other hosts after its `position`,
    /// with the position of the last entry.
    pub fn exchange(
        &mut self,
        term: u64,
        host: impl Into<String>,
        cached_prefixes: Vec<CachedPrefix>,
        position: Position,
    ) -> (Vec<CachedPrefix>, Position) {
        if self.last_position.term != term {
            self.entries.clear();
            self.last_position = Position { term, number: 0 };
        }
        let host = host.into();
        let after = match position.term == term {
            false => 0,
            true => position.number,
        };
        let missing = self.last_position.number.saturating_sub(after);
        let missing = usize::try_from(missing)
            .unwrap_or(usize::MAX)
            .min(ANSWER_LIMIT);
        let first = self.entries.len().saturating_sub(missing);
        let others = self.entries.iter().skip(first);
        let others = others.filter(|(sender, _)| *sender != host);
        let others = others
            .map(|(_, cached_prefix)| cached_prefix.clone())
            .collect();
        for cached_prefix in cached_prefixes {
            self.entries.push_back((host.clone(), cached_prefix));
            self.last_position.number += 1;
        }
        while self.entries.len() > ENTRIES_LIMIT {
            self.entries.pop_front();
        }
        (others, self.last_position)
    }
}
