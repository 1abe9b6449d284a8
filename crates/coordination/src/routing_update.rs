//! What the leading voter tells the hosts that serve callers, and how long they may rely on it.
//!
//! A host asks often and counts the age of what it knows from when it asked. The voter answers
//! under everything acknowledged before, so a host whose knowledge is young enough cannot have
//! missed a change that was acknowledged long ago, also when it was cut off or stood still.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::prefix_index::CachedPrefix;
use crate::prefix_log::Position;
use crate::upstream::Edition;
use crate::upstream::Fleet;
use crate::upstream_load::UpstreamLoads;
use state::routing::Table;
use state::time::Instant;

/// Asks for what a host lacks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Gives the edition of the fleet that the host has.
    pub edition: Edition,
    /// Lists the assignments that what the host has under way covers since it asked last.
    pub assignment_ids: Vec<u64>,
    /// Names the last entry of the bulletin that the host has.
    pub prefix_position: Position,
    /// Names the host.
    pub host: String,
    /// Tells what the host has under way at upstreams.
    pub loads: UpstreamLoads,
    /// Tells where the host has seen shared prompts since it asked last.
    pub cached_prefixes: Vec<CachedPrefix>,
    /// Gives the version of the routed table that the host has.
    pub table_version: u64,
}

/// Holds what a host lacks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutingUpdate {
    /// Holds the upstreams, where the host lacks this edition.
    pub fleet: Option<Fleet>,
    /// Tells where other hosts have seen shared prompts.
    pub cached_prefixes: Vec<CachedPrefix>,
    /// Tells what other hosts have under way at upstreams.
    pub loads: UpstreamLoads,
    /// Names the last entry of the bulletin.
    pub prefix_position: Position,
    /// Holds the routed table, where the host lacks this version.
    pub table: Option<Arc<Table>>,
    /// Gives the newest weights version of each model.
    pub weights: BTreeMap<String, u64>,
}

/// Counts the age of what a host knows.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    requested_at: Option<Instant>,
    limit_ms: u64,
}

impl Freshness {
    /// Returns the age of a host that knows nothing yet and may rely on what it knows for
    /// `limit_ms`.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            requested_at: None,
            limit_ms,
        }
    }

    /// Notes that an ask sent at `asked` was answered.
    pub fn confirm(&mut self, requested_at: Instant) {
        self.requested_at = self.requested_at.max(Some(requested_at));
    }

    /// Returns whether the host may rely on what it knows.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = self.age_ms(now);
        age.is_some_and(|age| age < self.limit_ms)
    }

    /// Returns the age, if anything is known.
    pub fn age_ms(&self, now: Instant) -> Option<u64> {
        self.requested_at
            .map(|requested_at| now.since(requested_at))
    }
}
