//! Asks the owner of a request's digest whether the request may run.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use coordination::quarantine::Outcome;
use coordination::quarantine::Policy;
use coordination::quarantine::Quarantine;
use coordination::quarantine::Ticket;
use coordination::quarantine::Verdict;
use state::ident::Digest;
use transport::clock::Clock;
use transport::metric;

/// Gives the time between renewals of a run.
const RENEWAL: Duration = Duration::from_secs(5);

/// Reaches the owners of digests.
#[derive(Debug)]
pub struct Suspects {
    clock: Clock,
    own: Mutex<Quarantine>,
}

/// Names one run of a request with its owner.
#[derive(Clone, Copy, Debug)]
pub struct Pass {
    /// Identifies the request's content.
    pub digest: Digest,
    /// Names the run.
    pub ticket: Ticket,
}

impl Suspects {
    /// Returns suspects that nobody was told of yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            own: Mutex::new(Quarantine::new(Policy::default())),
        }
    }

    /// Asks whether the request may run.
    pub async fn enter(&self, pass: Pass) -> Verdict {
        let now = self.clock.now();
        let verdict = self.lock().enter(now, pass.digest, pass.ticket);
        if let Verdict::Held(_) = verdict {
            metrics::counter!(metric::QUARANTINED).increment(1);
        }
        verdict
    }

    /// Asks to be the only suspect on `upstream`.
    pub async fn isolate(&self, upstream: &str, pass: Pass) -> bool {
        let now = self.clock.now();
        self.lock().isolate(now, upstream, pass.ticket)
    }

    /// Tells how the run on `upstream` ended.
    pub async fn leave(&self, upstream: &str, pass: Pass, outcome: Outcome) {
        let now = self.clock.now();
        let outcome_name: &'static str = outcome.into();
        metrics::counter!(metric::RUNS, "outcome" => outcome_name).increment(1);
        let mut own = self.lock();
        own.release(upstream, pass.ticket);
        own.leave(now, pass.digest, pass.ticket, outcome);
    }

    /// Keeps the run on `upstream` counted, and alone where it is, for as long as this is polled.
    pub async fn renew(&self, upstream: &str, pass: Pass, alone: bool) {
        loop {
            tokio::time::sleep(RENEWAL).await;
            let now = self.clock.now();
            self.lock().renew(now, pass.digest, pass.ticket);
            if alone {
                self.isolate(upstream, pass).await;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
