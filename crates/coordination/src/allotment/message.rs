//! Messages between the holder of the allotments and the hosts that spend them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::allotment::kind::Kind;

/// Work that callers have asked for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Number of requests.
    pub requests: u64,
    /// Units that they cost.
    pub units: u64,
}

/// Use of one workspace's allotment by one host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Use {
    /// Units of leases of the report's term that the host holds.
    pub held: u64,
    /// Units that the host has given back since its last report: for requests that did not run, and
    /// those that the holder has called in.
    pub returned: u64,
    /// What callers have asked for since the last report, refused requests included.
    pub wanted: BTreeMap<Kind, Demand>,
}

/// Report of a host to the holder, sent with each request for a routing update.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Number of a draw; it and all before have been answered or given up.
    pub drawn: u64,
    /// Random number of the host's process.
    pub incarnation: u64,
    /// Number of the report within the process, from 1.
    pub number: u64,
    /// Number of the last batch that the host has received in this term.
    pub received: u64,
    /// Term of the holder that lent what the host holds.
    pub term: u64,
    /// Use by workspace; a workspace without any is left out.
    pub uses: BTreeMap<String, Use>,
}

/// How much of the work of a kind is taken while an allotment is scarce.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Requests that are taken, in thousandths.
    pub per_mille: u16,
    /// Time after which the callers of the other requests may come back, in milliseconds.
    pub retry_after_ms: u32,
}

/// Changes of what a host may spend of a workspace's allotment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Units that the host may keep of those that it holds; the others go back.
    pub keep: Option<u64>,
    /// Shares of the kinds of which not all requests are taken, until the next batch.
    pub shares: BTreeMap<Kind, Share>,
    /// Units lent in addition.
    pub units: u64,
}

/// Leases for one host, sent with each routing update.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Leases by workspace; a workspace whose lease does not change is left out.
    pub leases: BTreeMap<String, Lease>,
    /// Number of the batch within the term.
    pub number: u64,
    /// Term of the holder; 0 if this host does not hold the allotments.
    pub term: u64,
}

/// One request that a host cannot cover.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// Kind of the work.
    pub kind: Kind,
    /// Units that the work costs.
    pub units: u64,
}

/// Requests of a host that it cannot cover.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// Name of the host.
    pub host: String,
    /// Random number of the host's process.
    pub incarnation: u64,
    /// Number of the draw within the process, from 1.
    pub number: u64,
    /// Requests by workspace, in the order in which they are charged.
    pub wants: BTreeMap<String, Vec<Want>>,
}

/// Answer for one request of a [`Draw`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Drawn {
    /// The units are charged.
    Charged,
    /// The allotment does not cover the work.
    Refused {
        /// Time after which the bucket can cover it, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Answer for one workspace of a [`Draw`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Units lent for small requests to come.
    pub ahead: u64,
    /// Answers to the requests, in their order.
    pub verdicts: Vec<Drawn>,
}

/// Answer to a [`Draw`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drawing {
    /// Grants by workspace.
    pub grants: BTreeMap<String, Grant>,
    /// Term of the holder.
    pub term: u64,
}
