//! Index of which engines have which shared prefixes cached, and which ones the store was sent.
//!
//! A host records a prefix once an engine has begun to answer a request with it, and sends the
//! entry to the other hosts. An engine that lacks a prefix fetches it from one that has it in a
//! tenth of the time of its prefill. An entry is a hint: the engine may have evicted the prefix
//! since, and then it costs the prefill that would have been needed anyway.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;
use state::time::Instant;

/// How long a prefix is expected in the cache of an engine, in milliseconds: an engine keeps about
/// ten prompts of full length, and prefills about one a second under load.
const CACHED_MS: u64 = 10_000;
/// Time after which a prefix is saved to the store again, in milliseconds, because the store may
/// have evicted it or was down.
const SAVE_INTERVAL_MS: u64 = 10_000;
/// Time for which an entry that this host observes again is not sent again, in milliseconds: the
/// other hosts keep it three times as long.
const ANNOUNCE_INTERVAL_MS: u64 = 3_000;
/// Least time between two removals of expired entries, in milliseconds: each visits all entries,
/// and reports of hosts arrive a thousand times a second.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// Largest number of entries that wait to be sent to the other hosts; a host sends fewer long
/// prompts to engines between two updates.
const UNSENT_LIMIT: usize = 256;

/// Identity of a shared prefix as engines cache it: for one weights version, and within one
/// workspace where that is isolated.
///
/// Hosts tell each other of thousands of prefixes a second, so a hash stands for the ID. Two IDs
/// with one hash cost a fetch that finds nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PrefixKey {
    id_hash: [u8; 8],
    /// Version of the weights that computed it.
    pub weights: u64,
}

impl PrefixKey {
    /// Returns the key of a prefix by the ID of its last part, with the scope in which it is shared
    /// if that is not all requests.
    pub fn new(prefix_id: impl AsRef<[u8]>, weights: u64) -> Self {
        let mut id_hash = [0; 8];
        id_hash.copy_from_slice(&blake3::hash(prefix_id.as_ref()).as_bytes()[..8]);
        Self { id_hash, weights }
    }
}

/// Where a prefix is cached.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CacheLocation {
    /// In the engine with this ID.
    Engine(String),
    /// In the store.
    Store,
}

/// An entry of the index: a prefix and one place where it is cached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPrefix {
    /// Where the prefix is cached.
    pub location: CacheLocation,
    /// The cached prefix.
    pub prefix: PrefixKey,
}

/// Returns the store that keeps a prefix. Rendezvous hashing gives the same store on every host, so
/// that each prefix is kept once and prefixes spread over all stores.
pub fn store_for(stores: &[SocketAddr], prefix: &PrefixKey) -> Option<SocketAddr> {
    let score = |store: &&SocketAddr| rendezvous::score(&prefix.id_hash, &store.to_string());
    stores.iter().max_by_key(score).copied()
}

/// When an entry was observed.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// When any host was last known to have observed it.
    at: Instant,
    /// When the other hosts were last told of it.
    announced: Instant,
}

/// Records which locations have which prefixes cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    expired_at: Instant,
    locations: BTreeMap<PrefixKey, BTreeMap<CacheLocation, Observation>>,
    sent: VecDeque<(Instant, CachedPrefix)>,
    unsent: Vec<CachedPrefix>,
}

impl PrefixIndex {
    /// Records an entry that this host has observed, and queues it for the other hosts unless they
    /// were told of it lately.
    pub fn record_local(&mut self, now: Instant, cached_prefix: CachedPrefix) {
        let CachedPrefix { location, prefix } = &cached_prefix;
        let locations = self.locations.entry(*prefix).or_default();
        if let Some(known) = locations.get_mut(location)
            && now.since(known.announced) < ANNOUNCE_INTERVAL_MS
        {
            known.at = now;
            return;
        }
        if self.unsent.len() < UNSENT_LIMIT {
            self.unsent.push(cached_prefix.clone());
        }
        self.insert(now, cached_prefix);
    }

    /// Records entries that other hosts have observed.
    pub fn record_remote(&mut self, now: Instant, cached_prefixes: Vec<CachedPrefix>) {
        for cached_prefix in cached_prefixes {
            self.insert(now, cached_prefix);
        }
    }

    /// Takes the entries that were not sent to the other hosts yet.
    pub fn take_updates(&mut self, now: Instant) -> Vec<CachedPrefix> {
        let unsent = std::mem::take(&mut self.unsent);
        let sent = unsent
            .iter()
            .cloned()
            .map(|cached_prefix| (now, cached_prefix));
        self.sent.extend(sent);
        let excess = self.sent.len().saturating_sub(UNSENT_LIMIT);
        self.sent.drain(..excess);
        unsent
    }

    /// Queues the entries that were sent but have not expired again, before those not sent yet.
    pub fn requeue_updates(&mut self, now: Instant) {
        let sent = std::mem::take(&mut self.sent);
        let recent = sent
            .into_iter()
            .filter(|(at, _)| now.since(*at) <= CACHED_MS);
        let later = std::mem::take(&mut self.unsent);
        self.unsent = recent
            .map(|(_, cached_prefix)| cached_prefix)
            .chain(later)
            .collect();
        self.unsent.truncate(UNSENT_LIMIT);
    }

    /// Returns the engines that have a prefix cached, the one with the newest entry first.
    pub fn engines(&self, now: Instant, prefix: &PrefixKey) -> Vec<&str> {
        let locations = self.locations.get(prefix).into_iter().flatten();
        let mut engines: Vec<(Instant, &str)> = locations
            .filter(|(_, seen)| now.since(seen.at) <= CACHED_MS)
            .filter_map(|(location, seen)| match location {
                CacheLocation::Engine(id) => Some((seen.at, id.as_str())),
                CacheLocation::Store => None,
            })
            .collect();
        engines.sort_by(|a, b| b.cmp(a));
        engines.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether a prefix should be saved to the store now, and records that it is if so.
    pub fn claim_save(&mut self, now: Instant, prefix: &PrefixKey) -> bool {
        let saved = self.locations.get(prefix);
        let saved = saved.and_then(|locations| locations.get(&CacheLocation::Store));
        let due = saved.is_none_or(|saved| now.since(saved.at) > SAVE_INTERVAL_MS);
        if due {
            self.record_local(
                now,
                CachedPrefix {
                    location: CacheLocation::Store,
                    prefix: *prefix,
                },
            );
        }
        due
    }

    /// Removes expired entries, if none were removed lately. They decide nothing meanwhile.
    pub fn expire(&mut self, now: Instant) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        let longest_ms = CACHED_MS.max(SAVE_INTERVAL_MS);
        self.locations.retain(|_, locations| {
            locations.retain(|_, seen| now.since(seen.at) <= longest_ms);
            !locations.is_empty()
        });
    }

    fn insert(&mut self, now: Instant, cached_prefix: CachedPrefix) {
        let locations = self.locations.entry(cached_prefix.prefix).or_default();
        let seen = Observation {
            at: now,
            announced: now,
        };
        locations.insert(cached_prefix.location, seen);
    }
}
