//! What the hosts know of the upstreams of routed services.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// Describes one upstream as the platform's list shows it, which may be late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedUpstream {
    /// Holds its address, which another upstream may have had before.
    pub address: SocketAddr,
    /// Names its failure domain.
    pub domain: String,
    /// Names this start of the upstream.
    pub id: String,
    /// Tells whether it is about to end and wants no new work.
    pub leaving: bool,
    /// Names its service.
    pub service: String,
    /// Bounds the requests that it runs at once; 0 when the list does not say.
    pub slots: u32,
    /// Gives the time of its start, in milliseconds of its own clock; 0 when the list does not say.
    pub started: u64,
    /// Gives the weights version of each of its models.
    pub weights: BTreeMap<String, u64>,
}

/// Tells whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Means that it is about to end.
    Leaving,
    /// Means that it is about to load weights or loads them.
    Loading,
    /// Means that it takes work.
    Ready,
}

/// Describes one upstream to the hosts that send it requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Holds its address.
    pub address: SocketAddr,
    /// Names its failure domain.
    pub domain: String,
    /// Names this start of the upstream.
    pub id: String,
    /// Names its service.
    pub service: String,
    /// Bounds the requests that it runs at once; 0 when unknown.
    pub slots: u32,
    /// Tells whether it takes new work.
    pub standing: Standing,
    /// Gives the weights version of each of its models.
    pub weights: BTreeMap<String, u64>,
}

/// Orders the editions of a fleet; a later leader's come after an earlier one's.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Edition {
    /// Gives the term of the voter that wrote it.
    pub term: u64,
    /// Numbers the editions of one term.
    pub number: u64,
}

/// Lists all upstreams.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fleet {
    /// Orders this list among others.
    pub edition: Edition,
    /// Gives the oldest weights version of each model that may still serve requests.
    pub floors: BTreeMap<String, u64>,
    /// Lists the upstreams.
    pub upstreams: Vec<Upstream>,
}
