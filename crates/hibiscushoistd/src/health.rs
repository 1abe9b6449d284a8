//! What this host knows of the health of upstreams, and the budgets of its retries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use coordination::breaker;
use coordination::breaker::CircuitBreaker;
use coordination::breaker::State;
use coordination::retry;
use coordination::retry::Denial;
use coordination::retry::Failure;
use coordination::retry::Reason;
use coordination::retry::RetryBudgets;
use state::column::Column;
use state::ident::Incarnation;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;
use transport::clock::Clock;
use transport::metric;

const ENGINE: &str = "engine";
/// Gives how long an upstream is passed by after it refused a request, in milliseconds.
const REFUSAL_PAUSE: u64 = 200;
const SERVING: &str = "serving";

/// Keeps ejections, retry budgets and the runs of upstreams as last seen.
#[derive(Debug)]
pub struct Health {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    breaker: CircuitBreaker,
    incarnations: BTreeMap<String, Incarnation>,
    refused: BTreeMap<String, Instant>,
    retries: RetryBudgets,
    revision: Option<u64>,
}

impl Health {
    /// Returns the health of upstreams that have not failed yet.
    pub fn new(clock: Clock) -> Self {
        let inner = Inner {
            breaker: CircuitBreaker::new(breaker::Policy::default(), rand::random()),
            incarnations: BTreeMap::new(),
            refused: BTreeMap::new(),
            retries: RetryBudgets::new(retry::Policy::default(), rand::random()),
            revision: None,
        };
        Self {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Returns the pause before the next attempt, in milliseconds, and counts the reason.
    ///
    /// # Errors
    ///
    /// Returns why there is no next attempt, and counts that.
    pub fn again(&self, reason: Reason, failure: &Failure) -> Result<u64, Denial> {
        let verdict = self.lock().retries.try_retry(self.clock.now(), failure);
        match verdict {
            Err(denial) => {
                let denial: &'static str = denial.into();
                metrics::counter!(metric::RETRY_DENIALS, "reason" => denial).increment(1);
            }
            Ok(_) => {
                let reason: &'static str = reason.into();
                metrics::counter!(metric::RETRIES, "reason" => reason).increment(1);
            }
        }
        verdict
    }

    /// Lists the upstreams of `model` that a request should not go to: those in `failed`, which
    /// already failed it, and those ejected. Where that leaves none, only the first are listed,
    /// and where these are all there are, none.
    pub fn excluded(&self, table: &Table, model: &str, failed: &BTreeSet<String>) -> Vec<String> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.sync(now, table);
        let serving = table.sheet(Sheet::Upstreams).filter(|(_, row)| {
            row.text(Column::Model) == Some(model)
                && row.text(Column::Type) == Some(ENGINE)
                && row.text(Column::Standing).unwrap_or(SERVING) == SERVING
        });
        let serving: BTreeSet<String> = serving.map(|(name, _)| name.to_owned()).collect();
        let ejected = |name: &&String| {
            let refused = inner.refused.get(*name);
            refused.is_some_and(|at| now.since(*at) < REFUSAL_PAUSE)
                || matches!(inner.breaker.state(now, name), State::Open(_))
        };
        let mut all = failed.clone();
        all.extend(serving.iter().filter(ejected).cloned());
        if !serving.is_subset(&all) {
            return all.into_iter().collect();
        }
        if !serving.is_subset(failed) {
            return failed.iter().cloned().collect();
        }
        Vec::new()
    }

    /// Counts a failure of `upstream`.
    pub fn failed(&self, upstream: &str, reason: Reason) {
        let now = self.clock.now();
        if self.lock().breaker.record_failure(now, upstream) {
            let reason: &'static str = reason.into();
            metrics::counter!(metric::EJECTIONS, "reason" => reason).increment(1);
        }
    }

    /// Returns the run of `upstream` that was seen last.
    pub fn incarnation(&self, upstream: &str) -> Option<Incarnation> {
        self.lock().incarnations.get(upstream).copied()
    }

    /// Takes note of the run that `upstream` named.
    pub fn observe(&self, upstream: &str, incarnation: Incarnation) {
        let mut inner = self.lock();
        inner.incarnations.insert(upstream.to_owned(), incarnation);
    }

    /// Takes note that `upstream` refused a request, so that others pass it by for a moment.
    pub fn refused(&self, upstream: &str) {
        let now = self.clock.now();
        self.lock().refused.insert(upstream.to_owned(), now);
    }

    /// Counts a request that is sent to `upstream`, claims its probe where it is ejected, and
    /// earns retry budget with a first attempt.
    pub fn sent(&self, workspace: &str, upstream: &str, first: bool) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.breaker.admit(now, upstream);
        if first {
            inner.retries.record_first_attempt(now, workspace, upstream);
        }
    }

    /// Counts a success of `upstream`.
    pub fn succeeded(&self, upstream: &str) {
        self.lock().breaker.record_success(upstream);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn sync(&mut self, now: Instant, table: &Table) {
        if self.revision == Some(table.revision()) {
            return;
        }
        self.revision = Some(table.revision());
        self.retries.prune(now);
        let names = || table.sheet(Sheet::Upstreams).map(|(name, _)| name);
        self.breaker.sync(names().map(str::to_owned));
        let known: BTreeSet<&str> = names().collect();
        self.incarnations
            .retain(|name, _| known.contains(name.as_str()));
        self.refused.retain(|name, _| known.contains(name.as_str()));
    }
}
