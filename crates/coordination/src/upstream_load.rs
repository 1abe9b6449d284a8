//! Sums the requests that all hosts have in flight at each upstream, so that each host can take the
//! load of the others into account.
//!
//! The leading host sends the same sums to all hosts. A host numbers its reports, and subtracts the
//! one that the sums include.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::load::packed;
use crate::upstream::Edition;
use crate::upstream::Fleet;
use state::time::Instant;

/// How long the report of a host counts, in milliseconds; hosts report several times a second.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Least time between two searches for reports that no longer count, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 100;
/// How long the sums are sent before they are computed again, in milliseconds: a fraction of the
/// time between two reports of a host.
const SUMS_MAX_AGE_MS: u64 = 20;
/// Number of its last reports that a host keeps; the sums include one of the last two.
const OWN_REPORTS_LIMIT: usize = 8;

/// Requests in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Prompt tokens of the requests with long prompts.
    pub long_prompt_tokens: u64,
    /// Time since the upstream last sent a byte to any reporting host, in milliseconds, if it did
    /// lately.
    pub last_byte_age_ms: Option<u64>,
    /// Number of requests.
    pub running: u32,
    /// Tokens still to be prefilled: those of requests whose answer has not begun.
    pub pending_prefill_tokens: u64,
}

impl UpstreamLoad {
    fn add(&mut self, other: &Self) {
        self.long_prompt_tokens += other.long_prompt_tokens;
        self.running += other.running;
        self.pending_prefill_tokens += other.pending_prefill_tokens;
    }

    fn subtract(&mut self, other: &Self) {
        self.long_prompt_tokens = self
            .long_prompt_tokens
            .saturating_sub(other.long_prompt_tokens);
        self.running = self.running.saturating_sub(other.running);
        self.pending_prefill_tokens = self
            .pending_prefill_tokens
            .saturating_sub(other.pending_prefill_tokens);
    }

    /// Returns whether no request is in flight.
    fn is_idle(&self) -> bool {
        (
            self.long_prompt_tokens,
            self.running,
            self.pending_prefill_tokens,
        ) == (0, 0, 0)
    }
}

/// Load of each upstream, by its ID.
pub type UpstreamLoads = BTreeMap<String, UpstreamLoad>;

/// The sums of all reports, as the leading host sends them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSums {
    /// Edition of the fleet whose upstreams the loads belong to.
    pub edition: Edition,
    /// Loads in the order of the upstreams of that edition, rounded on the wire.
    #[serde(with = "packed")]
    pub loads: Arc<Vec<UpstreamLoad>>,
}

/// The last report of a host.
#[derive(Clone, Debug)]
struct HostReport {
    at: Instant,
    loads: UpstreamLoads,
    number: u64,
    /// When the report arrived, counted in reports of all hosts.
    sequence: u64,
}

/// Sums the reports of hosts.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    expired_at: Instant,
    last_bytes: BTreeMap<String, Instant>,
    hosts: BTreeMap<String, HostReport>,
    /// Number of reports that have arrived.
    sequence: u64,
    sums: LoadSums,
    summed_at: Instant,
    summed_sequence: u64,
    total: UpstreamLoads,
}

impl LoadAggregator {
    /// Replaces the report of a host by the one with this number. Returns the sums for the
    /// upstreams of `fleet`, and the number of the report of the host that they include; 0 if
    /// none.
    pub fn exchange(
        &mut self,
        now: Instant,
        host: impl Into<String>,
        number: u64,
        loads: UpstreamLoads,
        fleet: &Fleet,
    ) -> (LoadSums, u64) {
        let host = host.into();
        if now.since(self.expired_at) >= EXPIRY_INTERVAL_MS {
            self.expired_at = now;
            self.remove_expired(now);
        }
        let old = self.hosts.remove(&host);
        if let Some(old) = &old {
            self.remove_loads(&old.loads);
        }
        self.add_loads(now, &loads);
        self.sequence += 1;
        let (last_number, last_sequence) = old.map_or((0, 0), |old| (old.number, old.sequence));
        let report = HostReport {
            at: now,
            loads,
            number,
            sequence: self.sequence,
        };
        self.hosts.insert(host, report);
        let is_current = self.sums.edition == fleet.edition
            && now.since(self.summed_at) < SUMS_MAX_AGE_MS
            && last_sequence <= self.summed_sequence
            && self.summed_sequence > 0;
        if !is_current {
            self.sum(now, fleet);
            return (self.sums.clone(), number);
        }
        (self.sums.clone(), last_number)
    }

    /// Returns when an upstream with requests in flight last sent a byte to any host, if known.
    pub fn last_byte(&self, id: &str) -> Option<Instant> {
        self.last_bytes.get(id).copied()
    }

    /// Returns the sum of the reports of all hosts.
    pub fn total(&self) -> &UpstreamLoads {
        &self.total
    }

    /// Computes what is sent to hosts anew.
    fn sum(&mut self, now: Instant, fleet: &Fleet) {
        let load = |id: &String| {
            let mut load = self.total.get(id).copied().unwrap_or_default();
            let last_byte = self.last_bytes.get(id);
            load.last_byte_age_ms = last_byte.map(|at| now.since(*at));
            load
        };
        let ids = fleet.upstreams.iter().map(|upstream| &upstream.id);
        self.sums = LoadSums {
            edition: fleet.edition,
            loads: Arc::new(ids.map(load).collect()),
        };
        self.summed_at = now;
        self.summed_sequence = self.sequence;
    }

    fn add_loads(&mut self, now: Instant, loads: &UpstreamLoads) {
        for (upstream, load) in loads {
            if let Some(age_ms) = load.last_byte_age_ms {
                let last_byte = self.last_bytes.entry(upstream.clone()).or_default();
                *last_byte = (*last_byte).max(now.before(age_ms));
            }
            self.total.entry(upstream.clone()).or_default().add(load);
        }
    }

    fn remove_loads(&mut self, loads: &UpstreamLoads) {
        for (upstream, load) in loads {
            if let Some(sum) = self.total.get_mut(upstream) {
                sum.subtract(load);
                if sum.is_idle() {
                    self.last_bytes.remove(upstream);
                    self.total.remove(upstream);
                }
            }
        }
    }

    /// Removes the reports that no longer count.
    fn remove_expired(&mut self, now: Instant) {
        let expired = self
            .hosts
            .extract_if(.., |_, report| now.since(report.at) > REPORT_LIFETIME_MS);
        let expired: Vec<HostReport> = expired.map(|(_, report)| report).collect();
        for report in expired {
            self.remove_loads(&report.loads);
        }
    }
}

/// The last reports of this host.
#[derive(Clone, Debug)]
pub struct OwnReports {
    last_number: u64,
    reports: VecDeque<(u64, UpstreamLoads)>,
}

impl OwnReports {
    /// Returns an empty list. The numbers begin after `first_number`, which should be random, so
    /// that the reports of a process are not taken for those of the one before it.
    pub fn new(first_number: u32) -> Self {
        Self {
            last_number: u64::from(first_number),
            reports: VecDeque::new(),
        }
    }

    /// Records a report that is about to be sent, and returns its number.
    pub fn record(&mut self, loads: UpstreamLoads) -> u64 {
        self.last_number += 1;
        self.reports.push_back((self.last_number, loads));
        if self.reports.len() > OWN_REPORTS_LIMIT {
            self.reports.pop_front();
        }
        self.last_number
    }

    /// Returns the loads that the other hosts cause, from sums that include the report `included`
    /// of this host; `None` if the sums do not belong to this edition of the fleet.
    pub fn others(&self, fleet: &Fleet, sums: &LoadSums, included: u64) -> Option<UpstreamLoads> {
        if sums.edition != fleet.edition || sums.loads.len() != fleet.upstreams.len() {
            return None;
        }
        let own = self.reports.iter().find(|(number, _)| *number == included);
        let ids = fleet.upstreams.iter().map(|upstream| &upstream.id);
        let others = ids.zip(sums.loads.iter()).filter_map(|(id, sum)| {
            let mut load = *sum;
            if let Some(own) = own.and_then(|(_, own)| own.get(id)) {
                load.subtract(own);
            }
            let is_known = !load.is_idle() || load.last_byte_age_ms.is_some();
            is_known.then(|| (id.clone(), load))
        });
        Some(others.collect())
    }
}
