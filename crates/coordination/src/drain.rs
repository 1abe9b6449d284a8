//! How a host ends without cutting a request.
//!
//! It first wants no new work and leaves the list of addresses, but serves on for as long as
//! callers may hold an address. Then it closes its listener, lets the last request end, tells the
//! fleet and ends. A second signal or the limit ends it at once.

use state::time::Instant;

/// Sets the times of a drain, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Tells how long callers may hold an address.
    pub address_lifetime_ms: u64,
    /// Bounds the time after that lifetime until the last request must have ended.
    pub drain_limit_ms: u64,
    /// Bounds the time until every host knows of the drain and names this one no more.
    pub propagation_ms: u64,
}

impl Limits {
    /// Returns whether a request is taken that may last so long, `since` the drain began, both in
    /// milliseconds.
    ///
    /// All are while some hosts may still name this one. After that only callers with an old
    /// address come, and one whose answer may be cut when this host ends is sent to another.
    pub fn accepts(&self, elapsed_ms: u64, duration_ms: u64) -> bool {
        elapsed_ms <= self.propagation_ms
            || elapsed_ms + duration_ms
                <= self.propagation_ms + self.address_lifetime_ms + self.drain_limit_ms
    }
}

/// Tells a drain what happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Tells that the process was asked to end.
    Signal,
    /// Lets time pass and tells how many requests and orders are in flight.
    Tick {
        /// Counts the requests and orders.
        in_flight: u64,
    },
}

/// Tells how a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Means that every request ended.
    Clean,
    /// Means that a second signal cut the rest.
    Forced,
    /// Means that the limit cut the rest.
    LimitPassed,
}

/// Tells what to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Has the fleet told that this host wants no new work, and ownership handed over.
    Announce,
    /// Has the listener closed.
    Close,
    /// Has the fleet told that this host is gone, and the process ended.
    End(Outcome),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Closing { until: Instant },
    Ended,
    Listed { until: Instant },
    Serving,
}

/// Steps through the end of a host.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    limits: Limits,
    phase: Phase,
}

impl Drain {
    /// Returns the drain of a host that still serves.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Serving,
        }
    }

    /// Takes `event` at `now` and returns what to do.
    pub fn step(&mut self, now: Instant, event: Event) -> Option<Effect> {
        match (self.phase, event) {
            (Phase::Serving, Event::Signal) => {
                let until = now + self.limits.propagation_ms + self.limits.address_lifetime_ms;
                self.phase = Phase::Listed { until };
                Some(Effect::Announce)
            }
            (Phase::Listed { .. } | Phase::Closing { .. }, Event::Signal) => {
                self.end(Outcome::Forced)
            }
            (Phase::Listed { until }, Event::Tick { .. }) if now >= until => {
                let until = now + self.limits.drain_limit_ms;
                self.phase = Phase::Closing { until };
                Some(Effect::Close)
            }
            (Phase::Closing { .. }, Event::Tick { in_flight: 0 }) => self.end(Outcome::Clean),
            (Phase::Closing { until }, Event::Tick { .. }) if now >= until => {
                self.end(Outcome::LimitPassed)
            }
            _ => None,
        }
    }

    fn end(&mut self, outcome: Outcome) -> Option<Effect> {
        self.phase = Phase::Ended;
        Some(Effect::End(outcome))
    }
}
