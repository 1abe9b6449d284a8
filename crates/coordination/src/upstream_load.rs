//! Adds up what all hosts have under way at each upstream, so that each host knows the load that
//! the others cause.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// Gives how long a host's report counts, in milliseconds; hosts report several times a second.
const REPORT_MS: u64 = 1_000;

/// Counts what is under way at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Counts the tokens of the requests whose prompts are long.
    pub long_prompt_tokens: u64,
    /// Gives the time since the upstream sent a byte to any host, in milliseconds, where it did
    /// lately.
    pub last_byte_age_ms: Option<u64>,
    /// Counts the requests.
    pub running: u32,
    /// Counts the prompt tokens of requests that have not begun to answer.
    pub pending_prefill_tokens: u64,
}

/// Holds the load of upstreams by their names.
pub type UpstreamLoads = BTreeMap<String, UpstreamLoad>;

/// Adds up the reports of hosts.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    heard: BTreeMap<String, Instant>,
    hosts: BTreeMap<String, (Instant, UpstreamLoads)>,
    total: UpstreamLoads,
}

impl LoadAggregator {
    /// Takes the report of a host in place of its last one, and returns what the others have under
    /// way.
    pub fn report(
        &mut self,
        now: Instant,
        host: impl Into<String>,
        loads: UpstreamLoads,
    ) -> UpstreamLoads {
        let host = host.into();
        self.forget(now, &host);
        let mut others = self.total.clone();
        for (upstream, load) in &mut others {
            let heard = self.heard.get(upstream);
            load.last_byte_age_ms = heard.map(|at| now.since(*at));
        }
        for (upstream, load) in &loads {
            if let Some(quiet) = load.last_byte_age_ms {
                let heard = self.heard.entry(upstream.clone()).or_default();
                *heard = (*heard).max(now.before(quiet));
            }
            let sum = self.total.entry(upstream.clone()).or_default();
            sum.long_prompt_tokens += load.long_prompt_tokens;
            sum.running += load.running;
            sum.pending_prefill_tokens += load.pending_prefill_tokens;
        }
        self.hosts.insert(host, (now, loads));
        others
    }

    /// Returns what all hosts have under way.
    pub fn total(&self) -> &UpstreamLoads {
        &self.total
    }

    /// Takes out the last report of `host` and those that are too old.
    fn forget(&mut self, now: Instant, host: &str) {
        let old = |name: &String, at: &Instant| name == host || now.since(*at) > REPORT_MS;
        let gone = self.hosts.iter();
        let gone = gone.filter(|(name, (at, _))| old(name, at));
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone {
            let Some((_, loads)) = self.hosts.remove(&name) else {
                continue;
            };
            for (upstream, load) in loads {
                if let Some(sum) = self.total.get_mut(&upstream) {
                    sum.long_prompt_tokens -= load.long_prompt_tokens;
                    sum.running -= load.running;
                    sum.pending_prefill_tokens -= load.pending_prefill_tokens;
                    if *sum == UpstreamLoad::default() {
                        self.heard.remove(&upstream);
                        self.total.remove(&upstream);
                    }
                }
            }
        }
    }
}
