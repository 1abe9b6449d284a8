//! Messages between the holder of the allotments and the hosts that spend them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::allotment::kind::Kind;

/// Use of one workspace's allotment by one host since its last report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Use {
    /// Units of leases that the host still holds.
    pub held: u64,
    /// Units that the host has given back, for requests that did not run.
    pub returned: u64,
    /// Units that the host has spent.
    pub spent: u64,
    /// Units that callers have asked for, by kind, refused requests included.
    pub wanted: BTreeMap<Kind, u64>,
}

/// Report of a host to the holder, sent with each request for a routing update.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Number of the last lease batch that the host has received in this term.
    pub received: u64,
    /// Term of the holder that lent what the host holds.
    pub term: u64,
    /// Use by workspace; a workspace without any is left out.
    pub uses: BTreeMap<String, Use>,
}

/// Units that the holder lends to a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Kinds that are refused until the next lease, with the time after which their callers may
    /// come back, in milliseconds.
    pub closed: BTreeMap<Kind, u64>,
    /// Units lent in addition to what the host holds.
    pub units: u64,
}

/// Leases for one host, sent with each routing update.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Leases by workspace; a workspace that gets none is left out.
    pub leases: BTreeMap<String, Lease>,
    /// Number of the batch within the term.
    pub number: u64,
    /// Term of the holder.
    pub term: u64,
}

/// A request of a host for units that it needs at once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// Name of the host.
    pub host: String,
    /// Kind of the work.
    pub kind: Kind,
    /// Units that the work costs.
    pub units: u64,
    /// Name of the workspace.
    pub workspace: String,
}

/// Answer to a [`Draw`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Drawn {
    /// The units are charged.
    Charged,
    /// The allotment does not cover the work.
    Refused {
        /// Time after which the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
}
