//! Graceful shutdown of a host, without cutting off a request.
//!
//! A draining host first announces that it accepts no new work and is removed from the lists of
//! addresses, but keeps serving for as long as callers may still use its address. Then it closes
//! its listener, waits for the last request, announces that it leaves the fleet, and ends its
//! process. A second signal or the drain limit ends it at once.

use state::time::Instant;

/// The time limits of a drain.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which callers may use an address that they were given, in milliseconds.
    pub address_lifetime_ms: u64,
    /// Time from the close of the listener until the last request must have ended, in milliseconds.
    pub drain_limit_ms: u64,
    /// Time until every host knows of the drain and no longer lists this one, in milliseconds.
    pub propagation_ms: u64,
}

impl Limits {
    /// Returns whether to accept a request that may take `duration_ms`, when the drain began
    /// `elapsed_ms` ago.
    ///
    /// Every request is accepted while some hosts may still list this one. After that, requests
    /// come only from callers with an old address, and one that may be cut off at the end of the
    /// drain belongs on another host.
    pub fn accepts(&self, elapsed_ms: u64, duration_ms: u64) -> bool {
        elapsed_ms <= self.propagation_ms
            || elapsed_ms + duration_ms
                <= self.propagation_ms + self.address_lifetime_ms + self.drain_limit_ms
    }
}

/// An input of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The process got a signal to shut down.
    Signal,
    /// Time has passed.
    Tick {
        /// Number of requests and orders in flight.
        in_flight: u64,
    },
}

/// How a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Every request ended.
    Clean,
    /// A second signal cut off the remaining requests.
    Forced,
    /// The drain limit cut off the remaining requests.
    LimitPassed,
}

/// An action that a drain requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Announce to the fleet that this host accepts no new work, and hand over its upstreams.
    Announce,
    /// Close the listener.
    Close,
    /// Announce to the fleet that this host leaves, and end the process.
    End(Outcome),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The listener is closed; requests may finish until `until`.
    Closing { until: Instant },
    /// The process is about to end.
    Ended,
    /// Callers may still use the address of this host, until `until`.
    Listed { until: Instant },
    /// The drain has not begun.
    Serving,
}

/// The phases of the shutdown of a host.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    limits: Limits,
    phase: Phase,
}

impl Drain {
    /// Returns a drain that has not begun: the host serves.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Serving,
        }
    }

    /// Processes `event` at `now` and returns the resulting effect, if any.
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
