//! Differences between the editions of the published fleet, so that an update costs what has
//! changed and not what there is.
//!
//! The leading host keeps which upstreams changed in its last editions. A host that has one of
//! these gets the difference; one that has none of them, or one of another term, gets the whole
//! fleet. A host applies a difference only to the edition that it was made for, and in whole or
//! not at all.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::upstream::Edition;
use crate::upstream::Fleet;
use crate::upstream::Standing;
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

/// A change of nothing but standing and weights; each reload of an upstream brings several.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Position of the upstream in the new edition.
    pub index: u32,
    /// Its standing.
    pub standing: Standing,
    /// Weights versions of its models, in the order of their names.
    pub weights: Vec<u64>,
}

/// How an upstream differs from the one with this ID in the edition before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Change {
    /// In nothing but its standing and the versions of its weights.
    Patched,
    /// In something else, or it is new or gone.
    Replaced,
}

impl Change {
    /// Returns the change from `old` to `new`, if there is one.
    fn between(old: &Upstream, new: &Upstream) -> Option<Self> {
        if old == new {
            return None;
        }
        let is_patch = old.weights.keys().eq(new.weights.keys())
            && *new
                == Upstream {
                    standing: new.standing,
                    weights: new.weights.clone(),
                    ..old.clone()
                };
        Some(match is_patch {
            false => Self::Replaced,
            true => Self::Patched,
        })
    }
}

/// The difference between two editions of one term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Edition that the difference was made for.
    pub base: Edition,
    /// The upstreams that are new or have changed otherwise than by a patch.
    pub changed: Vec<Upstream>,
    /// Number of upstreams of the new edition.
    pub count: usize,
    /// The new edition.
    pub edition: Edition,
    /// Oldest weights version of each model that may still serve requests.
    pub min_weights: BTreeMap<String, u64>,
    /// What has changed of the upstreams that are otherwise the same.
    pub patches: Vec<Patch>,
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
        let mut upstreams: Vec<Upstream> = upstreams.into_values().cloned().collect();
        let misfit = Error::Count {
            expected: self.count,
            upstreams: upstreams.len(),
        };
        if upstreams.len() != self.count {
            return Err(misfit);
        }
        for patch in self.patches {
            let Some(upstream) = upstreams.get_mut(patch.index as usize) else {
                return Err(misfit);
            };
            upstream.standing = patch.standing;
            for (version, new) in upstream.weights.values_mut().zip(patch.weights) {
                *version = new;
            }
        }
        Ok(Fleet {
            edition: self.edition,
            min_weights: self.min_weights,
            upstreams,
        })
    }
}

/// The newest edition, with what changed in the editions before it.
#[derive(Clone, Debug, Default)]
pub struct FleetLog {
    /// The upstreams that changed, by the number of the edition, in order.
    changes: VecDeque<(u64, Vec<(String, Change)>)>,
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
                changes.push_back((number, changes_between(&old.upstreams, &upstreams)));
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
        let mut greatest: BTreeMap<&String, Change> = BTreeMap::new();
        for (id, change) in later.flat_map(|(_, changes)| changes) {
            let known = greatest.entry(id).or_insert(*change);
            *known = (*known).max(*change);
        }
        let (mut changed, mut patches, mut removed) = (Vec::new(), Vec::new(), Vec::new());
        let upstreams = &self.fleet.upstreams;
        for (id, change) in greatest {
            match (upstreams.binary_search_by(|u| u.id.cmp(id)), change) {
                (Err(_), _) => removed.push(id.clone()),
                (Ok(index), Change::Patched) => patches.push(Patch {
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                    standing: upstreams[index].standing,
                    weights: upstreams[index].weights.values().copied().collect(),
                }),
                (Ok(index), Change::Replaced) => changed.push(upstreams[index].clone()),
            }
        }
        Some(FleetUpdate::Difference(Difference {
            base: edition,
            changed,
            count: upstreams.len(),
            edition: newest,
            min_weights: self.fleet.min_weights.clone(),
            patches,
            removed,
        }))
    }
}

/// Returns the IDs of the upstreams that are not the same in both lists, which are in order.
fn changes_between(old: &[Upstream], new: &[Upstream]) -> Vec<(String, Change)> {
    fn by_id(upstreams: &[Upstream]) -> BTreeMap<&String, &Upstream> {
        upstreams.iter().map(|u| (&u.id, u)).collect()
    }
    let (old, new) = (by_id(old), by_id(new));
    let change = |(id, upstream): (&&String, &&Upstream)| {
        let change = match old.get(id) {
            None => Some(Change::Replaced),
            Some(old) => Change::between(old, upstream),
        };
        Some(((*id).clone(), change?))
    };
    let changed = new.iter().filter_map(change);
    let removed = old.keys().filter(|id| !new.contains_key(*id));
    let removed = removed.map(|id| ((*id).clone(), Change::Replaced));
    changed.chain(removed).collect()
}
