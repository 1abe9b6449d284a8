//! What an upstream is held to be, from four sources that disagree.
//!
//! The platform's list lags, so it may take work away but never gives it back: only the upstream's
//! own answer ends a failure. Leaving holds until another process answers in the upstream's place
//! or a later list says that it stays.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;

use state::ident::Incarnation;

/// Names what an upstream is held to be.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumIter, Eq, Hash, PartialEq, Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Means that it failed; it gets no new work.
    Down,
    /// Means that it is about to end; it gets no new work.
    Leaving,
    /// Means that it gets work.
    Serving,
    /// Means that a request or a heartbeat failed; it gets no new work until it answers.
    Suspect,
    /// Means that nothing was heard of it yet; it gets no work.
    #[default]
    Unknown,
}

/// Names what the platform's list says of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Hash, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Listed {
    /// Means that the list no longer names it.
    Gone,
    /// Means that it is about to end.
    Leaving,
    /// Means that it runs.
    Live,
}

/// Tells what one of the sources says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Tells that a heartbeat or a request was answered.
    Answered {
        /// Identifies the run of the upstream's process.
        incarnation: Incarnation,
        /// Tells whether the upstream says that it is about to end.
        leaving: bool,
    },
    /// Tells that a request or a heartbeat could not be sent or broke off.
    Failed,
    /// Tells what the platform's list says, in its edition `edition`.
    Listed {
        /// Numbers the list; later ones have greater numbers.
        edition: u64,
        /// Holds what it says.
        listed: Listed,
    },
    /// Tells that another host saw that this run of the upstream is about to end.
    PeerReportedLeaving {
        /// Identifies the run of the upstream's process.
        incarnation: Incarnation,
    },
}

/// Tells what changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Tells that another process answers, whose cache is empty.
    CacheLost(Incarnation),
    /// Tells that the standing changed.
    StandingChanged {
        /// Holds the earlier standing.
        from: Standing,
        /// Holds the present standing.
        to: Standing,
    },
}

const FAILURES_UNTIL_DOWN: u32 = 2;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Health {
    Answers,
    Fails(u32),
    #[default]
    Unheard,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    Listed,
    Told,
}

/// Follows one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    edition: u64,
    health: Health,
    incarnation: Option<Incarnation>,
    leaving: Option<Cause>,
}

impl Tracker {
    /// Returns what the upstream is held to be.
    pub fn standing(&self) -> Standing {
        match (self.health, self.leaving) {
            (Health::Fails(failures), _) if failures >= FAILURES_UNTIL_DOWN => Standing::Down,
            (_, Some(_)) => Standing::Leaving,
            (Health::Answers, None) => Standing::Serving,
            (Health::Fails(_), None) => Standing::Suspect,
            (Health::Unheard, None) => Standing::Unknown,
        }
    }

    /// Returns the run of the upstream's process that answered last.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns whether the upstream gets new work.
    pub fn takes_work(&self) -> bool {
        self.standing() == Standing::Serving
    }

    /// Takes one signal and returns what changed.
    pub fn step(&mut self, signal: Signal) -> Vec<Change> {
        let from = self.standing();
        let before = self.incarnation;
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
        let emptied = self
            .incarnation
            .filter(|now| before.is_some_and(|b| b != *now));
        let moved = (from != to).then_some(Change::StandingChanged { from, to });
        emptied
            .map(Change::CacheLost)
            .into_iter()
            .chain(moved)
            .collect()
    }

    fn answered(&mut self, incarnation: Incarnation, leaving: bool) {
        match self.incarnation {
            Some(known) if incarnation < known => return,
            Some(known) if incarnation > known => self.leaving = None,
            _ => {}
        }
        self.incarnation = Some(incarnation);
        self.health = Health::Answers;
        if leaving {
            self.leaving = Some(Cause::Told);
        }
    }

    fn failed(&mut self) {
        self.health = match self.health {
            Health::Answers => Health::Fails(1),
            Health::Fails(failures) => Health::Fails(failures.saturating_add(1)),
            Health::Unheard => Health::Fails(FAILURES_UNTIL_DOWN),
        };
    }

    fn listed(&mut self, edition: u64, listed: Listed) {
        if edition <= self.edition {
            return;
        }
        let unheard = self.health == Health::Unheard;
        match (listed, self.leaving) {
            (Listed::Live, Some(Cause::Listed)) => self.leaving = None,
            (Listed::Live, _) => {}
            (Listed::Gone, _) if unheard => return,
            (Listed::Gone | Listed::Leaving, None) => self.leaving = Some(Cause::Listed),
            (Listed::Gone | Listed::Leaving, Some(_)) => {}
        }
        self.edition = edition;
    }

    fn peer_reported_leaving(&mut self, incarnation: Incarnation) {
        if self.incarnation.is_none_or(|known| incarnation >= known) {
            self.incarnation = Some(incarnation);
            self.leaving = Some(Cause::Told);
        }
    }
}
