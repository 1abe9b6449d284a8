//! Tracks since when each weights version of a model has been named, and with it which versions no
//! request may begin on any more.
//!
//! Every voter records a version when it applies it, so that a new leader does not start to count
//! anew; one that has started again takes the age from the replicated state. The leader sends the
//! ages to all hosts, and each host counts on by its own clock, so that a version expires there
//! even while no further update arrives.

use std::collections::BTreeMap;

use state::naming;
use state::naming::Namings;
use state::time::Instant;

/// Time that is set aside for a request to wait at its engine, in milliseconds, at most: a host
/// sends nothing to an engine whose weights expire sooner.
const MAX_BEGIN_MARGIN_MS: u64 = 4_000;
/// The same as a divisor of the time until a version expires. Where that time is short, a longer
/// margin would leave no engine to serve before the fleet can have loaded the newer weights.
const BEGIN_MARGIN_DIVISOR: u64 = 4;
/// Time before the weights expire at which a host cancels a request that has not begun, in
/// milliseconds: the cancellation has to reach the engine, and hosts know the age of a version to
/// within some tenths of a second.
pub const CANCEL_MARGIN_MS: u64 = 500;

/// Time since each version was named, in milliseconds, by model and version.
pub type Ages = BTreeMap<String, BTreeMap<u64, u64>>;

/// The versions of each model, with the time at which the versions before each of them expire.
///
/// The time of the naming itself may lie before the start of this host's clock.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    limit_ms: u64,
    models: BTreeMap<String, BTreeMap<u64, Instant>>,
}

impl VersionHistory {
    /// Returns an empty history of versions that expire `limit_ms` after a newer one was named.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            limit_ms,
            models: BTreeMap::new(),
        }
    }

    /// Returns the time before the weights of an engine expire from which it is sent no request, in
    /// milliseconds.
    pub fn begin_margin_ms(&self) -> u64 {
        (self.limit_ms / BEGIN_MARGIN_DIVISOR).min(MAX_BEGIN_MARGIN_MS)
    }

    /// Records the versions of the replicated state that were unknown until `now`, with their ages
    /// at `time`; the ages of the others are counted on by the clock of this host.
    pub fn record_namings(&mut self, now: Instant, time: naming::Time, namings: &Namings) {
        let mut unknown = namings.ages(time);
        for (model, versions) in &mut unknown {
            let known = self.models.get(model);
            versions.retain(|version, _| known.is_none_or(|known| !known.contains_key(version)));
        }
        self.merge(now, &unknown);
    }

    /// Records that these versions are the newest ones; one that was unknown counts as named at
    /// `now`.
    pub fn record(&mut self, now: Instant, newest_versions: &BTreeMap<String, u64>) {
        for (model, version) in newest_versions {
            self.record_expiry(model.clone(), *version, now + self.limit_ms);
        }
        self.prune(now);
    }

    /// Records the ages that another host sent at `sent_at`; of two ages, the greater one counts.
    pub fn merge(&mut self, sent_at: Instant, ages: &Ages) {
        for (model, versions) in ages {
            for (version, age_ms) in versions {
                let expiry = (sent_at + self.limit_ms).before(*age_ms);
                self.record_expiry(model.clone(), *version, expiry);
            }
        }
        self.prune(sent_at);
    }

    /// Returns the ages of all versions that are still of interest.
    pub fn ages(&self, now: Instant) -> Ages {
        let age_ms = |expiry: &Instant| (now + self.limit_ms).since(*expiry);
        let models = self.models.iter().map(|(model, versions)| {
            let ages = versions.iter().map(|(v, expiry)| (*v, age_ms(expiry)));
            (model.clone(), ages.collect())
        });
        models.collect()
    }

    /// Returns the time after which no request may begin on `version`, if a newer one was named.
    pub fn expiry(&self, model: &str, version: u64) -> Option<Instant> {
        let newer = self.models.get(model)?.range(version + 1..);
        newer.map(|(_, expiry)| *expiry).min()
    }

    /// Returns the oldest version of each model that does not expire within `margin_ms`; a model
    /// none of whose versions does is left out.
    pub fn min_versions(&self, now: Instant, margin_ms: u64) -> BTreeMap<String, u64> {
        let min = self.models.iter().filter_map(|(model, versions)| {
            let mut replacing = versions
                .iter()
                .filter(|(_, expiry)| **expiry <= now + margin_ms);
            Some((model.clone(), *replacing.next_back()?.0))
        });
        min.collect()
    }

    fn record_expiry(&mut self, model: String, version: u64, expiry: Instant) {
        let versions = self.models.entry(model).or_default();
        let known = versions.entry(version).or_insert(expiry);
        *known = (*known).min(expiry);
    }

    /// Drops the versions before the oldest one that may serve, which decide nothing any more.
    fn prune(&mut self, now: Instant) {
        for (model, min_version) in self.min_versions(now, 0) {
            if let Some(versions) = self.models.get_mut(&model) {
                versions.retain(|version, _| *version >= min_version);
            }
        }
    }
}
