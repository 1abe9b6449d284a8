//! Updates that the leading voter sends to the hosts that serve callers, and how long they stay
//! fresh.
//!
//! A host sends requests often, and counts the age of its routing data from the time of the
//! request. The leader's answer reflects every change acknowledged before it. So a host with fresh
//! data cannot have missed a change that was acknowledged longer ago than the limit, even if it was
//! partitioned or paused in the meantime.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::allotment::message;
use crate::engine_model::Models;
use crate::engine_model::Sample;
use crate::fleet_log::FleetUpdate;
use crate::load::pace::Pace;
use crate::load::silent_reports::News;
use crate::load::silent_reports::Report;
use crate::load::told::Told;
use crate::part_evidence::Evidence;
use crate::part_evidence::Verdict;
use crate::prefix_index::CachedPrefix;
use crate::prefix_log::Announcement;
use crate::prefix_log::Position;
use crate::upstream::Edition;
use crate::upstream_load::LoadSums;
use crate::upstream_load::UpstreamLoads;
use crate::version_history::Ages;
use state::routing::Table;
use state::time::Instant;

/// A request for the changes that a host lacks; it also reports the state of the host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Use of allotments by the host.
    pub allotment_report: message::Report,
    /// Edition of the fleet that the host has.
    pub edition: Edition,
    /// IDs of the assignments that `loads` includes for the first time.
    pub assignment_ids: Vec<u64>,
    /// Evidence of the host on prompt parts that crash engines.
    pub part_evidence: Evidence,
    /// Position of the last entry of the prefix log that the host has.
    pub prefix_position: Position,
    /// Name of the host.
    pub host: String,
    /// Load that the host causes at each upstream.
    pub loads: UpstreamLoads,
    /// Number of this report of loads.
    pub loads_number: u64,
    /// Cached prefixes that the host has recorded since its last request.
    pub cached_prefixes: Vec<CachedPrefix>,
    /// Answers of engines that the host has seen since its last request.
    pub samples: Vec<Sample>,
    /// Upstreams that the host suspects to be silent.
    pub silent: Report,
    /// Version of the routed table that the host has.
    pub table_version: u64,
    /// Load that upstreams have told the host since its last request, by their IDs.
    pub told: BTreeMap<String, Told>,
}

/// The changes that a host lacks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutingUpdate {
    /// Units of allotments that the host may use in addition.
    pub allotment_batch: message::Batch,
    /// What the host lacks of the newest edition of the upstreams.
    pub fleet: Option<FleetUpdate>,
    /// Cached prefixes that other hosts have recorded, for the newest edition of the upstreams.
    pub announcements: Vec<Announcement>,
    /// Load that all hosts cause at each upstream.
    pub loads: LoadSums,
    /// Number of the report of this host that `loads` includes; 0 if none.
    pub loads_included: u64,
    /// How fast the engines of each service are.
    pub models: Arc<Models>,
    /// What is known of prompt parts that crash engines, if the host lacks this version of it.
    pub part_verdict: Option<Verdict>,
    /// Time that work takes at each upstream against the others of its service, in the order of
    /// the upstreams of the edition in `loads`; none if all are even.
    pub paces: Arc<Vec<Pace>>,
    /// Position of the last entry of the prefix log.
    pub prefix_position: Position,
    /// Upstreams that several hosts suspect to be silent, by their positions in the edition in
    /// `loads`.
    pub silent: News,
    /// The routed table, if the host lacks this version of it.
    pub table: Option<Arc<Table>>,
    /// Time since the weights versions of each model were named.
    pub version_ages: Ages,
    /// Newest weights version of each model.
    pub weights: BTreeMap<String, u64>,
}

/// Tracks the age of a host's routing data.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    requested_at: Option<Instant>,
    limit_ms: u64,
}

impl Freshness {
    /// Returns the freshness of a host that has no data yet and may rely on data for `limit_ms`.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            requested_at: None,
            limit_ms,
        }
    }

    /// Records that a request sent at `requested_at` was answered.
    pub fn confirm(&mut self, requested_at: Instant) {
        self.requested_at = self.requested_at.max(Some(requested_at));
    }

    /// Returns whether the host may rely on its data.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = self.age_ms(now);
        age.is_some_and(|age| age < self.limit_ms)
    }

    /// Returns the age of the data, if there is any.
    pub fn age_ms(&self, now: Instant) -> Option<u64> {
        self.requested_at
            .map(|requested_at| now.since(requested_at))
    }
}
