//! Sums the requests that all hosts have in flight at each upstream, so that each host can take the
//! load of the others into account.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// How long the report of a host counts, in milliseconds; hosts report several times a second.
const REPORT_LIFETIME_MS: u64 = 1_000;

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

/// Load of each upstream, by its ID.
pub type UpstreamLoads = BTreeMap<String, UpstreamLoad>;

/// Sums the reports of hosts.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    last_bytes: BTreeMap<String, Instant>,
    hosts: BTreeMap<String, (Instant, UpstreamLoads)>,
    total: UpstreamLoads,
}

impl LoadAggregator {
    /// Replaces the report of a host, and returns the sum of the other hosts' reports.
    pub fn report(
        &mut self,
        now: Instant,
        host: impl Into<String>,
        loads: UpstreamLoads,
    ) -> UpstreamLoads {
        let host = host.into();
        self.remove_reports(now, &host);
        let mut others = self.total.clone();
        for (upstream, load) in &mut others {
            let last_byte = self.last_bytes.get(upstream);
            load.last_byte_age_ms = last_byte.map(|at| now.since(*at));
        }
        for (upstream, load) in &loads {
            if let Some(age_ms) = load.last_byte_age_ms {
                let last_byte = self.last_bytes.entry(upstream.clone()).or_default();
                *last_byte = (*last_byte).max(now.before(age_ms));
            }
            let sum = self.total.entry(upstream.clone()).or_default();
            sum.long_prompt_tokens += load.long_prompt_tokens;
            sum.running += load.running;
            sum.pending_prefill_tokens += load.pending_prefill_tokens;
        }
        self.hosts.insert(host, (now, loads));
        others
    }

    /// Returns the sum of the reports of all hosts.
    pub fn total(&self) -> &UpstreamLoads {
        &self.total
    }

    /// Removes the last report of `host` and all expired reports.
    fn remove_reports(&mut self, now: Instant, host: &str) {
        let is_removed =
            |name: &String, at: &Instant| name == host || now.since(*at) > REPORT_LIFETIME_MS;
        let removed = self.hosts.iter();
        let removed = removed.filter(|(name, (at, _))| is_removed(name, at));
        let removed: Vec<String> = removed.map(|(name, _)| name.clone()).collect();
        for name in removed {
            let Some((_, loads)) = self.hosts.remove(&name) else {
                continue;
            };
            for (upstream, load) in loads {
                if let Some(sum) = self.total.get_mut(&upstream) {
                    sum.long_prompt_tokens -= load.long_prompt_tokens;
                    sum.running -= load.running;
                    sum.pending_prefill_tokens -= load.pending_prefill_tokens;
                    if *sum == UpstreamLoad::default() {
                        self.last_bytes.remove(&upstream);
                        self.total.remove(&upstream);
                    }
                }
            }
        }
    }
}
