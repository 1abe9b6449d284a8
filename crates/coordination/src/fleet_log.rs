//! Differences between the editions of the published fleet, so that an update costs what has
//! changed and not what there is.
//!
//! The leading host keeps which upstreams changed in its last editions. A host that has one of
//! these gets the difference; one that has none of them, or one of another term, gets the whole
//! fleet. A host applies a difference only to the edition that it was made for, and in whole or
//! not at all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::upstream::Edition;
use crate::upstream::Fleet;
use crate::upstream::Upstream;

/// Number of editions whose changes are kept: some seconds of a fleet that changes all the time.
const EDITIONS_LIMIT: usize = 64;

/// Reason why a host cannot apply a difference; it then asks for the whole fleet.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The difference was made for another edition.
    #[error("a difference from edition {base:?} does not fit edition {edition:?}")]
    Base {
        /// Edition that the difference was made for.
        base: Edition,
        /// Edition that the host has.
        edition: Edition,
    },
    /// The result has another number of upstreams than the published fleet.
    #[error("a difference results in {upstreams} upstreams instead of {expected}")]
    Count {
        /// Number in the published fleet.
        expected: usize,
        /// Number in the result.
        upstreams: usize,
    },
}

/// What a host lacks of the newest edition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetUpdate {
    /// The difference from the edition that the host has.
    Difference(Difference),
    /// The whole fleet.
    Whole(Arc<Fleet>),
}

/// The difference between two editions of one term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Edition that the difference was made for.
    pub base: Edition,
    /// The upstreams that are new or have changed.
    pub changed: Vec<Upstream>,
    /// Number of upstreams of the new edition.
    pub count: usize,
    /// The new edition.
    pub edition: Edition,
    /// Oldest weights version of each model that may still serve requests.
    pub min_weights: BTreeMap<String, u64>,
    /// IDs of the upstreams that are gone.
    pub removed: Vec<String>,
}

impl FleetUpdate {
    /// Returns the newest edition, made from the one that the host has.
    ///
    /// # Errors
    ///
    /// Returns an error if a difference does not fit that edition.
    pub fn apply(self, fleet: &Fleet) -> Result<Arc<Fleet>, Error> {
        match self {
            Self::Difference(difference) => difference.apply(fleet).map(Arc::new),
            Self::Whole(whole) => Ok(whole),
        }
    }
}

impl Difference {
    fn apply(self, fleet: &Fleet) -> Result<Fleet, Error> {
        if self.base != fleet.edition {
            return Err(Error::Base {
                base: self.base,
                edition: fleet.edition,
            });
        }
        let mut upstreams: BTreeMap<&str, &Upstream> = fleet
            .upstreams
            .iter()
            .map(|upstream| (upstream.id.as_str(), upstream))
            .collect();
        for id in &self.removed {
            upstreams.remove(id.as_str());
        }
        for upstream in &self.changed {
            upstreams.insert(&upstream.id, upstream);
        }
        if upstreams.len() != self.count {
            return Err(Error::Count {
                expected: self.count,
                upstreams: upstreams.len(),
            });
        }
        Ok(Fleet {
            edition: self.edition,
            min_weights: self.min_weights.clone(),
            upstreams: upstreams.into_values().cloned().collect(),
        })
    }
}

/// The newest edition, with what changed in the editions before it.
#[derive(Clone, Debug, Default)]
pub struct FleetLog {
    /// IDs of the upstreams that changed, by the number of the edition, in order.
    changes: VecDeque<(u64, Vec<String>)>,
    fleet: Arc<Fleet>,
}

impl FleetLog {
    /// Returns the newest edition. Its upstreams are in the order of their IDs.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the log with a newer edition, or `None` if nothing has changed within `term`.
    pub fn publish(
        &self,
        term: u64,
        mut upstreams: Vec<Upstream>,
        min_weights: BTreeMap<String, u64>,
    ) -> Option<Self> {
        upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        let old = &self.fleet;
        let is_same_term = old.edition.term == term;
        if is_same_term && old.upstreams == upstreams && old.min_weights == min_weights {
            return None;
        }
        let number = match is_same_term {
            false => 1,
            true => old.edition.number + 1,
        };
        let mut changes = match is_same_term {
            false => VecDeque::new(),
            true => {
                let mut changes = self.changes.clone();
                changes.push_back((number, changed_ids(&old.upstreams, &upstreams)));
                changes
            }
        };
        while changes.len() > EDITIONS_LIMIT {
            changes.pop_front();
        }
        Some(Self {
            changes,
            fleet: Arc::new(Fleet {
                edition: Edition { term, number },
                min_weights,
                upstreams,
            }),
        })
    }

    /// Returns what a host that has `edition` lacks, or `None` if it has the newest one.
    pub fn update_after(&self, edition: Edition) -> Option<FleetUpdate> {
        let newest = self.fleet.edition;
        if edition >= newest {
            return None;
        }
        let is_kept = edition.term == newest.term
            && self
                .changes
                .front()
                .is_some_and(|(number, _)| *number <= edition.number + 1);
        if !is_kept {
            return Some(FleetUpdate::Whole(self.fleet.clone()));
        }
        let later = self.changes.iter();
        let later = later.filter(|(number, _)| *number > edition.number);
        let ids: BTreeSet<&String> = later.flat_map(|(_, ids)| ids).collect();
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        let upstreams = &self.fleet.upstreams;
        for id in ids {
            match upstreams.binary_search_by(|upstream| upstream.id.cmp(id)) {
                Err(_) => removed.push(id.clone()),
                Ok(index) => changed.push(upstreams[index].clone()),
            }
        }
        Some(FleetUpdate::Difference(Difference {
            base: edition,
            changed,
            count: upstreams.len(),
            edition: newest,
            min_weights: self.fleet.min_weights.clone(),
            removed,
        }))
    }
}

/// Returns the IDs of the upstreams that are not the same in both lists, which are in order.
fn changed_ids(old: &[Upstream], new: &[Upstream]) -> Vec<String> {
    let by_id = |upstreams: &[Upstream]| -> BTreeMap<String, Upstream> {
        let upstreams = upstreams.iter();
        upstreams.map(|u| (u.id.clone(), u.clone())).collect()
    };
    let (old, new) = (by_id(old), by_id(new));
    let changed = new
        .iter()
        .filter(|(id, upstream)| old.get(*id) != Some(*upstream));
    let changed = changed.map(|(id, _)| id.clone());
    let removed = old.keys().filter(|id| !new.contains_key(*id)).cloned();
    changed.chain(removed).collect()
}
