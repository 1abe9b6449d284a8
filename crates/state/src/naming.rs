//! When each weights version of a model was named, as part of the replicated state.
//!
//! The age of a version decides which engines may still serve, so it has to outlive every process.
//! Log time stands still while no voter leads, and the time of day may jump; each alone may count
//! too little, so the greater of both ages counts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Largest number of namings that are kept for a model. Versions expire within seconds, so older
/// ones decide nothing any more.
const NAMINGS_LIMIT: usize = 64;

/// A time on the two clocks by which ages are counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Time {
    /// Log time, in milliseconds.
    pub log_time_ms: u64,
    /// Time of day in Unix milliseconds; 0 if unknown.
    pub unix_ms: u64,
}

impl Time {
    /// Returns the milliseconds since `earlier`, by the clock that counts more.
    pub fn since(self, earlier: Self) -> u64 {
        let by_log = self.log_time_ms.saturating_sub(earlier.log_time_ms);
        let by_day = match earlier.unix_ms {
            0 => 0,
            unix_ms => self.unix_ms.saturating_sub(unix_ms),
        };
        by_log.max(by_day)
    }
}

/// The times at which the weights versions of each model were named.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Namings {
    models: BTreeMap<String, BTreeMap<u64, Time>>,
}

impl Namings {
    /// Records that `version` was named at `time`. A version that is not newer than all before it
    /// changes nothing.
    pub fn record(&mut self, model: impl Into<String>, version: u64, time: Time) {
        let versions = self.models.entry(model.into()).or_default();
        let newest = versions.last_key_value().map(|(newest, _)| *newest);
        if newest.is_some_and(|newest| newest >= version) {
            return;
        }
        versions.insert(version, time);
        while versions.len() > NAMINGS_LIMIT {
            versions.pop_first();
        }
    }

    /// Returns the ages of all versions that are kept, in milliseconds, by model and version.
    pub fn ages(&self, now: Time) -> BTreeMap<String, BTreeMap<u64, u64>> {
        let models = self.models.iter().map(|(model, versions)| {
            let ages = versions.iter().map(|(v, named)| (*v, now.since(*named)));
            (model.clone(), ages.collect())
        });
        models.collect()
    }
}
