//! The upstreams of routed services, as the platform lists them and as the leading host publishes
//! them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// How far the clocks of hosts and upstreams may be apart, in milliseconds; a later start counts as
/// unknown.
const MAX_CLOCK_SKEW_MS: u64 = 24 * 60 * 60 * 1_000;

/// One upstream in the platform's list, which may lag behind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedUpstream {
    /// Its address, which another upstream may have had before.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// ID of the upstream; it mostly changes with every start.
    pub id: String,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// Name of its service.
    pub service: String,
    /// Number of requests that it runs at once; 0 if the list does not say.
    pub slots: u32,
    /// Time of its start by its own clock, in milliseconds; 0 if the list does not say.
    pub started: u64,
    /// Weights version of each of its models.
    pub weights: BTreeMap<String, u64>,
}

/// Returns the upstreams with one entry for each ID: the one that started last or, among these, the
/// first. `wall_ms` is the time of day in Unix milliseconds.
pub fn distinct(listed: Vec<ListedUpstream>, wall_ms: u64) -> Vec<ListedUpstream> {
    let latest = wall_ms.saturating_add(MAX_CLOCK_SKEW_MS);
    let started = |upstream: &ListedUpstream| match upstream.started > latest {
        false => upstream.started,
        true => 0,
    };
    let mut kept: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, upstream) in listed.iter().enumerate() {
        let best = kept.entry(&upstream.id).or_insert(index);
        if started(upstream) > started(&listed[*best]) {
            *best = index;
        }
    }
    let kept: BTreeSet<usize> = kept.into_values().collect();
    let listed = listed.into_iter().enumerate();
    let distinct = listed.filter(|(index, _)| kept.contains(index));
    distinct.map(|(_, upstream)| upstream).collect()
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It is shutting down.
    Leaving,
    /// It is about to load weights, or is loading them.
    Loading,
    /// It takes requests.
    Ready,
}

/// One upstream, as published to the hosts that send it requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// ID of the upstream; it mostly changes with every start.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Number of requests that it runs at once; 0 if unknown.
    pub slots: u32,
    /// Whether it takes new requests.
    pub standing: Standing,
    /// Time of its start by its own clock, in milliseconds; 0 if unknown.
    pub started: u64,
    /// Weights version of each of its models.
    pub weights: BTreeMap<String, u64>,
}

/// Version of a published fleet; editions of a later term are newer than those of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Edition {
    /// Term of the leader that published it.
    pub term: u64,
    /// Number of the edition within the term.
    pub number: u64,
}

/// All upstreams of routed services, as the leading host publishes them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fleet {
    /// Version of this list.
    pub edition: Edition,
    /// Oldest weights version of each model that may still serve requests.
    pub min_weights: BTreeMap<String, u64>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}
