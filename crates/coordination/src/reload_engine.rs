//! One engine in a rolling reload: its turn, its weights and how urgent its update is.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::upstream::ListedUpstream;
use state::time::Instant;

/// Number of times that the pause after a failed turn doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Step of an engine's turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Was ordered to load `version`, when it had accepted `orders` orders; the next read is due at
    /// `next_read`.
    Loading {
        next_read: Instant,
        orders: u64,
        version: u64,
    },
    /// Is being read before its order; a read without an answer is repeated at `next_read`.
    Reading { next_read: Instant },
    /// Accepts new work.
    Serving,
    /// Is off new work; waits until the other hosts know this and fewer engines load.
    Withdrawn { since: Instant },
}

impl Phase {
    /// Returns whether an order was sent or is about to be sent.
    pub(crate) fn is_ordered(self) -> bool {
        matches!(self, Self::Loading { .. } | Self::Reading { .. })
    }
}

/// Order in which engines get their turns; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    /// Turns that failed since the last one that did not. An engine that does not load must not
    /// keep the others from theirs.
    failed_turns: u32,
    /// Time since which the engine has lagged.
    lagging_since: Instant,
    /// By how many versions it lags.
    pub(crate) behind: Reverse<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) failed_turns: u32,
    /// Whether the engine has been seen to load in this turn.
    has_loaded: bool,
    /// Whether it has become ready for its order since it was taken off new work.
    pub(crate) is_ready: bool,
    /// Whether its last order got no answer and the engine has not been seen to load since. The
    /// order may be lost, so the engine goes on serving.
    pub(crate) is_unconfirmed: bool,
    /// Time since which each model has had a newer version than the engine.
    lagging_since: BTreeMap<String, Instant>,
    pub(crate) listed: ListedUpstream,
    /// Time before which the engine is skipped.
    pub(crate) not_before: Instant,
    pub(crate) ordered: Instant,
    pub(crate) ordered_model: String,
    pub(crate) phase: Phase,
    /// Start of the turn, or of the load if it has begun.
    turn_since: Instant,
    pub(crate) weights: BTreeMap<String, u64>,
}

impl Engine {
    /// Returns an engine that serves, with no weights known.
    pub(crate) fn new(listed: ListedUpstream) -> Self {
        Self {
            failed_turns: 0,
            has_loaded: false,
            is_ready: false,
            is_unconfirmed: false,
            lagging_since: BTreeMap::new(),
            listed,
            not_before: Instant::default(),
            ordered: Instant::default(),
            ordered_model: String::new(),
            phase: Phase::Serving,
            turn_since: Instant::default(),
            weights: BTreeMap::new(),
        }
    }

    /// Returns whether the engine is off new work.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.phase != Phase::Serving && !self.is_unconfirmed
    }

    /// Returns the engine to service, without an order.
    pub(crate) fn serve(&mut self) {
        self.phase = Phase::Serving;
        self.is_unconfirmed = false;
    }

    /// Begins the turn in which the engine is ordered.
    pub(crate) fn begin_turn(&mut self, now: Instant) {
        self.has_loaded = false;
        self.turn_since = now;
    }

    /// Records that the engine reports a load under way.
    pub(crate) fn record_load(&mut self, now: Instant) {
        self.is_unconfirmed = false;
        if !self.has_loaded {
            self.has_loaded = true;
            self.turn_since = now;
        }
    }

    /// Returns whether the turn has taken longer than `limit_ms` without a load, or the load has.
    pub(crate) fn has_overrun(&self, now: Instant, limit_ms: u64) -> bool {
        self.phase.is_ordered() && now.since(self.turn_since) >= limit_ms
    }

    /// Ends the turn of an engine that does not load; the pause until its next one doubles.
    pub(crate) fn fail_turn(&mut self, now: Instant, pause_ms: u64) {
        self.serve();
        self.not_before = now + (pause_ms << self.failed_turns.min(MAX_DOUBLINGS));
        self.failed_turns += 1;
    }

    /// Records weights versions of the engine; a version never decreases while its process runs. A
    /// version that was never named is not the engine's word, but that of another writer.
    pub(crate) fn record_weights(
        &mut self,
        weights: &BTreeMap<String, u64>,
        newest_versions: &BTreeMap<String, u64>,
    ) {
        let is_named = |(model, version): &(&String, &u64)| {
            let newest_version = newest_versions.get(*model);
            newest_version.is_none_or(|newest| *version <= newest)
        };
        for (model, version) in weights.iter().filter(is_named) {
            let known = self.weights.entry(model.clone()).or_default();
            if version > known {
                *known = *version;
                self.lagging_since.remove(model);
            }
        }
    }

    /// Forgets the versions that turn out never to have been named; a read tells the right ones.
    pub(crate) fn forget_unnamed(&mut self, newest_versions: &BTreeMap<String, u64>) {
        for (model, version) in &mut self.weights {
            if newest_versions
                .get(model)
                .is_some_and(|newest| *version > *newest)
            {
                *version = 0;
            }
        }
    }

    /// Records since when each model has lagged.
    pub(crate) fn record_lag(&mut self, now: Instant, newest_versions: &BTreeMap<String, u64>) {
        for (model, version) in &self.weights {
            let newest_version = newest_versions.get(model);
            if newest_version.is_some_and(|newest| newest > version) {
                self.lagging_since.entry(model.clone()).or_insert(now);
            } else {
                self.lagging_since.remove(model);
            }
        }
    }

    /// Returns how urgent the update of the engine is.
    pub(crate) fn urgency(&self, newest_versions: &BTreeMap<String, u64>) -> Urgency {
        let lagging_since = self.lagging_since.values().copied().min();
        Urgency {
            failed_turns: self.failed_turns,
            lagging_since: lagging_since.unwrap_or_default(),
            behind: Reverse(self.versions_behind(newest_versions)),
        }
    }

    /// Returns whether the model of the last order has version `version` or a newer one.
    pub(crate) fn has_version(&self, version: u64) -> bool {
        self.ordered_weights() >= version
    }

    /// Returns the weights version of the model of the last order.
    pub(crate) fn ordered_weights(&self) -> u64 {
        let weights = self.weights.get(&self.ordered_model);
        weights.copied().unwrap_or_default()
    }

    /// Returns by how many versions the engine lags, for the model that lags most.
    pub(crate) fn versions_behind(&self, newest_versions: &BTreeMap<String, u64>) -> u64 {
        let behind = self.weights.iter().filter_map(|(model, version)| {
            let newest_version = newest_versions.get(model)?;
            Some(newest_version.saturating_sub(*version))
        });
        behind.max().unwrap_or_default()
    }

    /// Returns the model that has lagged longest, with its newest version.
    pub(crate) fn next_update(
        &self,
        newest_versions: &BTreeMap<String, u64>,
    ) -> Option<(String, u64)> {
        let lagging = self.lagging_since.iter();
        let (model, _) = lagging.min_by_key(|(_, since)| **since)?;
        let newest_version = newest_versions.get(model)?;
        Some((model.clone(), *newest_version))
    }
}
