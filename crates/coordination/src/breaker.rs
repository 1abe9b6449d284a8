//! Circuit breaker: ejects failing upstreams, probes them, and never ejects more than a share of
//! them.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// Limits of ejections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Failures in a row that eject an upstream.
    pub failures_to_eject: u32,
    /// Longest first ejection, in milliseconds; it doubles with each further one.
    pub ejection_ms: u64,
    /// Longest ejection, in milliseconds.
    pub ejection_limit_ms: u64,
    /// Time after which a probe without an outcome is followed by another, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Largest share of the upstreams that is ejected at once, in percent.
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

/// State of the circuit breaker of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The upstream gets requests.
    Closed,
    /// The upstream is ejected until the given time.
    Open(Instant),
    /// The upstream gets one request, whose outcome ends or renews the ejection.
    Probe,
}

/// Circuit breakers of all upstreams.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    policy: Policy,
    rng: ChaCha8Rng,
    upstreams: BTreeMap<String, Health>,
}

/// Failures of an upstream since its last success.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    ejections: u32,
    failures: u32,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    probed_at: Option<Instant>,
    until: Instant,
}

impl CircuitBreaker {
    /// Returns a breaker without upstreams; `seed` determines the jitter.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
        }
    }

    /// Replaces the set of upstreams, and keeps the state of those that remain.
    pub fn sync(&mut self, names: impl IntoIterator<Item = String>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for name in names {
            let health = old.remove(&name).unwrap_or_default();
            self.upstreams.insert(name, health);
        }
    }

    /// Returns the state of `upstream` without claiming a probe.
    pub fn state(&self, now: Instant, upstream: &str) -> State {
        let ejection = self.upstreams.get(upstream).and_then(|h| h.ejection);
        match ejection {
            None => State::Closed,
            Some(ejection) if now < ejection.until => State::Open(ejection.until),
            Some(ejection) => match ejection.probed_at {
                Some(probed_at) if now.since(probed_at) < self.policy.probe_timeout_ms => {
                    State::Open(probed_at + self.policy.probe_timeout_ms)
                }
                _ => State::Probe,
            },
        }
    }

    /// Returns the state of `upstream`; in the state `Probe`, the next request of the caller is the
    /// probe.
    pub fn admit(&mut self, now: Instant, upstream: &str) -> State {
        let state = self.state(now, upstream);
        if state == State::Probe
            && let Some(health) = self.upstreams.get_mut(upstream)
            && let Some(ejection) = &mut health.ejection
        {
            ejection.probed_at = Some(now);
        }
        state
    }

    /// Records a failure and returns whether it ejected the upstream.
    pub fn record_failure(&mut self, now: Instant, upstream: impl Into<String>) -> bool {
        let can_eject = self.can_eject();
        let policy = self.policy;
        let health = self.upstreams.entry(upstream.into()).or_default();
        health.failures = health.failures.saturating_add(1);
        let ejects = match health.ejection {
            None => health.failures >= policy.failures_to_eject && can_eject,
            Some(ejection) => now >= ejection.until,
        };
        if ejects {
            let doubled = policy.ejection_ms << health.ejections.min(16);
            let limit_ms = doubled.min(policy.ejection_limit_ms);
            let ejection_ms = self.rng.random_range(limit_ms / 2..=limit_ms);
            health.ejections += 1;
            health.ejection = Some(Ejection {
                probed_at: None,
                until: now + ejection_ms,
            });
        }
        ejects
    }

    /// Records a success, which ends an ejection.
    pub fn record_success(&mut self, upstream: &str) {
        if let Some(health) = self.upstreams.get_mut(upstream) {
            *health = Health::default();
        }
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.upstreams
            .values()
            .filter(|h| h.ejection.is_some())
            .count()
    }

    /// Returns whether one more upstream may be ejected.
    fn can_eject(&self) -> bool {
        (self.ejected() + 1) * 100 <= self.upstreams.len() * self.policy.max_ejected_percent
    }
}
