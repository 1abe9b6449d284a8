//! Tracks the standing of an upstream from four sources that may disagree: its answers, failed
//! calls, the platform's list and reports of other hosts.
//!
//! The platform's list lags, so it can stop new work for an upstream but never ends a failure: only
//! an answer of the upstream does. An upstream stays leaving until a new process answers in its
//! place, or until a later list says that it stays, if the list was the source.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;

use state::ident::Incarnation;

/// The state of an upstream, which decides whether it gets new work.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumIter, Eq, Hash, PartialEq, Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Calls failed repeatedly, or the first one did; the upstream gets no new work.
    Down,
    /// The upstream is about to shut down; it gets no new work.
    Leaving,
    /// The upstream answers and gets new work.
    Serving,
    /// A request or a heartbeat failed; the upstream gets no new work until it answers.
    Suspect,
    /// No call was answered or failed yet; the upstream gets no work.
    #[default]
    Unknown,
}

/// The state of an upstream in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Hash, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Listed {
    /// The list no longer contains the upstream.
    Gone,
    /// The upstream is about to shut down.
    Leaving,
    /// The upstream runs.
    Live,
}

/// An input of the tracker, from one of the sources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// A heartbeat or a request was answered.
    Answered {
        /// Identifies the upstream's process.
        incarnation: Incarnation,
        /// Whether the upstream reports that it is about to shut down.
        leaving: bool,
    },
    /// A request or a heartbeat could not be sent, or its answer broke off.
    Failed,
    /// The platform's list was read.
    Listed {
        /// Number of this edition of the list; later ones have greater numbers.
        edition: u64,
        /// State of the upstream in the list.
        listed: Listed,
    },
    /// Another host reported that this process of the upstream is about to shut down.
    PeerReportedLeaving {
        /// Identifies the upstream's process.
        incarnation: Incarnation,
    },
}

/// A change that the tracker reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Another process runs in the place of the earlier one, and its cache is empty.
    CacheLost(Incarnation),
    /// The standing changed.
    StandingChanged {
        /// Previous standing.
        from: Standing,
        /// Current standing.
        to: Standing,
    },
}

/// Number of successive failed calls after which an upstream is down.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// The result of the last calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Health {
    /// The last call was answered.
    Answering,
    /// The number of successive failed calls.
    Failing(u32),
    /// No call was answered or failed yet.
    #[default]
    Unknown,
}

/// The source that says that an upstream is about to shut down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeavingSource {
    /// The platform's list; a later list may revoke it.
    Listed,
    /// The upstream itself, directly or through another host; holds until a new process answers.
    Reported,
}

/// Tracks the standing of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    edition: u64,
    health: Health,
    incarnation: Option<Incarnation>,
    leaving: Option<LeavingSource>,
}

impl Tracker {
    /// Returns the standing of the upstream.
    pub fn standing(&self) -> Standing {
        match (self.health, self.leaving) {
            (Health::Failing(count), _) if count >= FAILURES_UNTIL_DOWN => Standing::Down,
            (_, Some(_)) => Standing::Leaving,
            (Health::Answering, None) => Standing::Serving,
            (Health::Failing(_), None) => Standing::Suspect,
            (Health::Unknown, None) => Standing::Unknown,
        }
    }

    /// Returns the upstream's newest known process.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns whether the upstream gets new work.
    pub fn takes_work(&self) -> bool {
        self.standing() == Standing::Serving
    }

    /// Processes one signal and returns the resulting changes.
    pub fn step(&mut self, signal: Signal) -> Vec<Change> {
        let from = self.standing();
        let previous = self.incarnation;
        match signal {
            Signal::Answered {
                incarnation,
                leaving,
            } => self.answered(incarnation, leaving),
            Signal::Failed => self.failed(),
            Signal::Listed { edition, listed } => self.listed(edition, listed),
            Signal::PeerReportedLeaving { incarnation } => self.peer_reported_leaving(incarnation),
        }
        let to = self.standing();
        let new_incarnation = self
            .incarnation
            .filter(|now| previous.is_some_and(|b| b != *now));
        let standing_change = (from != to).then_some(Change::StandingChanged { from, to });
        new_incarnation
            .map(Change::CacheLost)
            .into_iter()
            .chain(standing_change)
            .collect()
    }

    fn answered(&mut self, incarnation: Incarnation, leaving: bool) {
        match self.incarnation {
            Some(known) if incarnation < known => return,
            Some(known) if incarnation > known => self.leaving = None,
            _ => {}
        }
        self.incarnation = Some(incarnation);
        self.health = Health::Answering;
        if leaving {
            self.leaving = Some(LeavingSource::Reported);
        }
    }

    fn failed(&mut self) {
        self.health = match self.health {
            Health::Answering => Health::Failing(1),
            Health::Failing(count) => Health::Failing(count.saturating_add(1)),
            Health::Unknown => Health::Failing(FAILURES_UNTIL_DOWN),
        };
    }

    fn listed(&mut self, edition: u64, listed: Listed) {
        if edition <= self.edition {
            return;
        }
        let is_unknown = self.health == Health::Unknown;
        match (listed, self.leaving) {
            (Listed::Live, Some(LeavingSource::Listed)) => self.leaving = None,
            (Listed::Live, _) => {}
            (Listed::Gone, _) if is_unknown => return,
            (Listed::Gone | Listed::Leaving, None) => self.leaving = Some(LeavingSource::Listed),
            (Listed::Gone | Listed::Leaving, Some(_)) => {}
        }
        self.edition = edition;
    }

    fn peer_reported_leaving(&mut self, incarnation: Incarnation) {
        if self.incarnation.is_none_or(|known| incarnation >= known) {
            self.incarnation = Some(incarnation);
            self.leaving = Some(LeavingSource::Reported);
        }
    }
}
