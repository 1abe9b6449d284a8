//! Holders: which engines have read which shared prompts, and whether the store was sent them.
//!
//! A host notes a prompt once an engine has begun to answer a request with it, and tells the
//! others. An engine that lacks a prompt fetches it from one that has it in a tenth of the time of
//! reading it. What is noted is a hint: an engine may have dropped the prompt since, which costs it
//! the reading that it would have done anyway.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;
use state::time::Instant;

/// Gives for how long a prompt that an engine has read is expected there, in milliseconds: engines
/// keep some ten prompts of full length, and each reads about one a second under load.
const HELD_MS: u64 = 10_000;
/// Gives the time after which a prompt goes to the store again, in milliseconds, as the store may
/// have dropped it or was down.
const SAVED_MS: u64 = 10_000;
/// Bounds what waits to be told to the others; a host sends fewer long prompts between two asks.
const UNTOLD: usize = 256;

/// Names a shared prompt as engines cache it: for one version of the weights, and within one
/// workspace where that is isolated.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PrefixKey {
    /// Names its last part, and the workspace that it must not leave, where there is one.
    pub prefix_id: String,
    /// Gives the version of the weights.
    pub weights: u64,
}

/// Names what has a prompt.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CacheLocation {
    /// Is an engine, by its name.
    Engine(String),
    /// Is the store.
    Store,
}

/// Tells that a place has a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPrefix {
    /// Names the place.
    pub location: CacheLocation,
    /// Names the prompt.
    pub prefix: PrefixKey,
}

/// Returns the store that keeps a prompt: every host finds the same one, so that each prompt is
/// kept once and all stores fill.
pub fn store_for(stores: &[SocketAddr], prefix: &PrefixKey) -> Option<SocketAddr> {
    let score =
        |store: &&SocketAddr| rendezvous::score(prefix.prefix_id.as_bytes(), &store.to_string());
    stores.iter().max_by_key(score).copied()
}

/// Keeps which places have which prompts.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    locations: BTreeMap<PrefixKey, BTreeMap<CacheLocation, Instant>>,
    told: VecDeque<(Instant, CachedPrefix)>,
    untold: Vec<CachedPrefix>,
}

impl PrefixIndex {
    /// Notes what this host has seen, to be told to the others.
    pub fn record_local(&mut self, now: Instant, cached_prefix: CachedPrefix) {
        if self.untold.len() < UNTOLD {
            self.untold.push(cached_prefix.clone());
        }
        self.insert(now, cached_prefix);
    }

    /// Notes what other hosts have seen.
    pub fn record_remote(&mut self, now: Instant, cached_prefixes: Vec<CachedPrefix>) {
        for cached_prefix in cached_prefixes {
            self.insert(now, cached_prefix);
        }
    }

    /// Returns what the others were not told yet.
    pub fn take_updates(&mut self, now: Instant) -> Vec<CachedPrefix> {
        let untold = std::mem::take(&mut self.untold);
        let told = untold
            .iter()
            .cloned()
            .map(|cached_prefix| (now, cached_prefix));
        self.told.extend(told);
        let old = self.told.len().saturating_sub(UNTOLD);
        self.told.drain(..old);
        untold
    }

    /// Has what is not too old to count told once more.
    pub fn resend_updates(&mut self, now: Instant) {
        let told = std::mem::take(&mut self.told);
        let young = told.into_iter().filter(|(at, _)| now.since(*at) <= HELD_MS);
        let later = std::mem::take(&mut self.untold);
        self.untold = young
            .map(|(_, cached_prefix)| cached_prefix)
            .chain(later)
            .collect();
        self.untold.truncate(UNTOLD);
    }

    /// Returns the engines that have a prompt, the last that read it first.
    pub fn engines(&self, now: Instant, prefix: &PrefixKey) -> Vec<&str> {
        let locations = self.locations.get(prefix).into_iter().flatten();
        let mut engines: Vec<(Instant, &str)> = locations
            .filter(|(_, at)| now.since(**at) <= HELD_MS)
            .filter_map(|(location, at)| match location {
                CacheLocation::Engine(id) => Some((*at, id.as_str())),
                CacheLocation::Store => None,
            })
            .collect();
        engines.sort_by(|a, b| b.cmp(a));
        engines.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether a prompt should go to the store, and notes that it does.
    pub fn claim_save(&mut self, now: Instant, prefix: &PrefixKey) -> bool {
        let saved = self.locations.get(prefix);
        let saved = saved.and_then(|locations| locations.get(&CacheLocation::Store));
        let due = saved.is_none_or(|at| now.since(*at) > SAVED_MS);
        if due {
            self.record_local(
                now,
                CachedPrefix {
                    location: CacheLocation::Store,
                    prefix: prefix.clone(),
                },
            );
        }
        due
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Instant) {
        let most = HELD_MS.max(SAVED_MS);
        self.locations.retain(|_, locations| {
            locations.retain(|_, at| now.since(*at) <= most);
            !locations.is_empty()
        });
    }

    fn insert(&mut self, now: Instant, cached_prefix: CachedPrefix) {
        let locations = self.locations.entry(cached_prefix.prefix).or_default();
        locations.insert(cached_prefix.location, now);
    }
}
