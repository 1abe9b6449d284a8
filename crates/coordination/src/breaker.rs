//! Ejects upstreams that fail, probes them, and never ejects more than a share of them.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// Bounds ejections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Gives how many failures in a row eject an upstream.
    pub failures_to_eject: u32,
    /// Gives the length of the first ejection, in milliseconds; it doubles from there.
    pub ejection_ms: u64,
    /// Bounds the length of an ejection, in milliseconds.
    pub ejection_limit_ms: u64,
    /// Gives how long a probe may take, in milliseconds, before another is let through.
    pub probe_timeout_ms: u64,
    /// Bounds the share of upstreams ejected at once, in percent.
    pub max_ejected_percent: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            failures_to_eject: 3,
            ejection_ms: 500,
            ejection_limit_ms: 30_000,
            probe_timeout_ms: 5_000,
            max_ejected_percent: 50,
        }
    }
}

/// Tells whether an upstream takes a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Means that it takes requests.
    Closed,
    /// Means that it is ejected until the given time.
    Open(Instant),
    /// Means that it takes this one request, which decides whether it comes back.
    Probe,
}

/// Keeps the standing of all upstreams.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    policy: Policy,
    rng: ChaCha8Rng,
    upstreams: BTreeMap<String, Health>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    ejections: u32,
    failures: u32,
    open: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe: Option<Instant>,
    until: Instant,
}

impl CircuitBreaker {
    /// Returns a breaker that knows no upstream; `seed` fixes the jitter.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
        }
    }

    /// Makes `names` the upstreams that exist.
    pub fn sync(&mut self, names: impl IntoIterator<Item = String>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for name in names {
            let health = old.remove(&name).unwrap_or_default();
            self.upstreams.insert(name, health);
        }
    }

    /// Returns whether `upstream` takes a request now, without claiming a probe.
    pub fn state(&self, now: Instant, upstream: &str) -> State {
        let open = self.upstreams.get(upstream).and_then(|h| h.open);
        match open {
            None => State::Closed,
            Some(ejection) if now < ejection.until => State::Open(ejection.until),
            Some(ejection) => match ejection.probe {
                Some(begun) if now.since(begun) < self.policy.probe_timeout_ms => {
                    State::Open(begun + self.policy.probe_timeout_ms)
                }
                _ => State::Probe,
            },
        }
    }

    /// Returns whether `upstream` takes a request now; a probe is claimed by the asker.
    pub fn admit(&mut self, now: Instant, upstream: &str) -> State {
        let standing = self.state(now, upstream);
        if standing == State::Probe
            && let Some(health) = self.upstreams.get_mut(upstream)
            && let Some(ejection) = &mut health.open
        {
            ejection.probe = Some(now);
        }
        standing
    }

    /// Counts a failure and returns whether it ejected the upstream.
    pub fn record_failure(&mut self, now: Instant, upstream: impl Into<String>) -> bool {
        let room = self.has_room();
        let policy = self.policy;
        let health = self.upstreams.entry(upstream.into()).or_default();
        health.failures = health.failures.saturating_add(1);
        let again = match health.open {
            None => health.failures >= policy.failures_to_eject && room,
            Some(ejection) => now >= ejection.until,
        };
        if again {
            let doubled = policy.ejection_ms << health.ejections.min(16);
            let limit = doubled.min(policy.ejection_limit_ms);
            let pause = self.rng.random_range(limit / 2..=limit);
            health.ejections += 1;
            health.open = Some(Ejection {
                probe: None,
                until: now + pause,
            });
        }
        again
    }

    /// Counts a success, which ends an ejection.
    pub fn record_success(&mut self, upstream: &str) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            *health = Health::default();
        }
    }

    /// Returns how many upstreams are ejected.
    pub fn ejected(&self) -> usize {
        self.upstreams.values().filter(|h| h.open.is_some()).count()
    }

    fn has_room(&self) -> bool {
        (self.ejected() + 1) * 100 <= self.upstreams.len() * self.policy.max_ejected_percent
    }
}
