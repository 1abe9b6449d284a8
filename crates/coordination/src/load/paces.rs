//! The paces of upstreams as a host that chooses among them knows them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::load::pace::Pace;
use crate::upstream::Fleet;
use state::time::Instant;

/// Age up to which paces count, in milliseconds.
const MAX_AGE_MS: u64 = 1_000;

/// Paces of upstreams, by their IDs.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    at: Instant,
    services: BTreeSet<String>,
    upstreams: BTreeMap<String, Pace>,
}

impl Paces {
    /// Replaces the paces by those of the upstreams of `fleet`, in their order; paces of another
    /// fleet are dropped.
    pub fn set(&mut self, now: Instant, fleet: &Fleet, paces: &[Pace]) {
        if paces.is_empty() && self.upstreams.is_empty() {
            return;
        }
        let upstreams = match paces.len() == fleet.upstreams.len() {
            false => &[],
            true => fleet.upstreams.as_slice(),
        };
        let uneven = upstreams.iter().zip(paces);
        let uneven = uneven.filter(|(_, pace)| **pace != Pace::default());
        self.at = now;
        self.services.clear();
        self.upstreams.clear();
        for (upstream, pace) in uneven {
            if !self.services.contains(&upstream.service) {
                self.services.insert(upstream.service.clone());
            }
            self.upstreams.insert(upstream.id.clone(), *pace);
        }
    }

    /// Returns whether the upstreams of a service differ.
    pub fn is_uneven(&self, now: Instant, service: &str) -> bool {
        now.since(self.at) <= MAX_AGE_MS && self.services.contains(service)
    }

    /// Returns the pace of an upstream.
    pub fn get(&self, now: Instant, id: &str) -> Pace {
        let fresh = now.since(self.at) <= MAX_AGE_MS;
        let pace = self.upstreams.get(id).filter(|_| fresh);
        pace.copied().unwrap_or_default()
    }
}
