//! Charges the requests of this host to the allotments of their workspaces.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::pool::Pool;
use crate::routing_snapshot;
use coordination::allotment::kind::Kind;
use coordination::allotment::message::Batch;
use coordination::allotment::message::Draw;
use coordination::allotment::message::Drawing;
use coordination::allotment::message::Drawn;
use coordination::allotment::message::Report;
use coordination::allotment::till::Charge;
use coordination::allotment::till::Till;
use state::time::Instant;
use transport::clock::Clock;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Timeout of a call that draws. An answer that comes later may stem from a leader that was frozen.
const DRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a request is not charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The allotment does not cover it.
    Spent {
        /// Time after which the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The purse does not cover it, and no leader answered.
    Unanswered,
}

/// What a request costs whose workspace has an allotment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cost {
    /// Kind of the work.
    pub kind: Kind,
    /// ID of the request.
    pub request: String,
    /// Units that it costs.
    pub units: u64,
    /// Name of the workspace.
    pub workspace: String,
}

/// The till, and who waits for its outcomes.
struct State {
    senders: HashMap<u64, oneshot::Sender<Charge>>,
    till: Till,
}

/// Charges requests from the purse of this host, or at the holder of the allotments.
pub struct Charger {
    clock: Clock,
    log: Logger,
    pool: Option<Pool>,
    routing: routing_snapshot::Handle,
    state: Mutex<State>,
    /// Wakes the duty that draws.
    waker: Notify,
}

/// A request that waits for a draw. Dropped, it gives back what it is charged.
struct Pending<'a> {
    charger: &'a Charger,
    cost: &'a Cost,
    id: u64,
    is_told: bool,
    receiver: oneshot::Receiver<Charge>,
}

impl Charger {
    /// Returns a charger of this host with an empty purse.
    pub fn new(
        clock: Clock,
        host: impl Into<String>,
        log: Logger,
        pool: Option<Pool>,
        routing: routing_snapshot::Handle,
    ) -> Self {
        Self {
            clock,
            log,
            pool,
            routing,
            state: Mutex::new(State {
                senders: HashMap::new(),
                till: Till::new(host, rand::random()),
            }),
            waker: Notify::new(),
        }
    }

    /// Locks the state; ignores that another thread panicked while holding the lock.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the report that is sent to the holder. What it gives back is lost with it.
    pub fn report(&self, now: Instant) -> Report {
        self.lock().till.purse().report(now)
    }

    /// Takes the leases that came in answer to the report sent at `reported_at`. Draws are as far
    /// apart as `pace`, the time between two reports.
    pub fn apply(&self, reported_at: Instant, pace: Duration, batch: Batch) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.till.set_pace(pace.as_millis() as u64);
        let outcomes = state.till.apply(now, reported_at, batch);
        state.tell(outcomes);
        let age_ms = state.till.purse().age_ms(now);
        metrics::gauge!(metric::ALLOTMENT_LEASE_AGE_MS).set(age_ms as f64);
    }

    /// Draws for the requests that wait, until the task is dropped.
    pub async fn run(&self) {
        let mut calls = FuturesUnordered::new();
        loop {
            let now = self.clock.now();
            let (draw, draw_at) = {
                let mut state = self.lock();
                (state.till.draw(now), state.till.draw_at(now))
            };
            if let Some(draw) = draw {
                calls.push(self.draw(draw));
            }
            let pause = Duration::from_millis(draw_at.map_or(0, |at| at.since(now)));
            tokio::select! {
                Some(()) = calls.next() => {}
                () = self.waker.notified() => {}
                () = tokio::time::sleep(pause), if draw_at.is_some() => {}
            }
        }
    }

    /// Decides whether a request that has arrived is taken while the allotment is scarce.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Spent`] if it is not.
    pub fn admit(&self, cost: &Cost) -> Result<(), Refusal> {
        let now = self.clock.now();
        let (kind, units) = (cost.kind, cost.units);
        let random = rand::random();
        let mut state = self.lock();
        let purse = state.till.purse();
        let admitted = purse.admit(now, &cost.workspace, kind, units, random);
        drop(state);
        admitted.map_err(|retry_after_ms| {
            self.log_refusal(cost, "share", retry_after_ms);
            Refusal::Spent { retry_after_ms }
        })
    }

    /// Charges a request that is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns why it must not be sent.
    pub async fn charge(&self, cost: &Cost) -> Result<(), Refusal> {
        let charge = match self.begin(cost) {
            Ok(charge) => charge,
            Err(pending) => pending.wait().await,
        };
        match charge {
            Charge::Covered => {
                count(metric::ALLOTMENT_USED, cost);
                Ok(())
            }
            Charge::Queued(_) | Charge::Unanswered => Err(Refusal::Unanswered),
            Charge::Refused { retry_after_ms } => {
                self.log_refusal(cost, "bucket", retry_after_ms);
                let jitter_ms = rand::random_range(0..=retry_after_ms / 2);
                let retry_after_ms = retry_after_ms + jitter_ms;
                Err(Refusal::Spent { retry_after_ms })
            }
        }
    }

    /// Gives back what was charged for a request that did not run.
    pub fn give_back(&self, cost: &Cost) {
        count(metric::ALLOTMENT_RETURNED, cost);
        self.return_units(cost);
    }

    fn return_units(&self, cost: &Cost) {
        let mut state = self.lock();
        state.till.purse().give_back(&cost.workspace, cost.units);
    }

    /// Charges a request, or lets it wait for a draw.
    fn begin<'a>(&'a self, cost: &'a Cost) -> Result<Charge, Pending<'a>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let charge = state
            .till
            .charge(now, &cost.workspace, cost.kind, cost.units);
        let Charge::Queued(id) = charge else {
            return Ok(charge);
        };
        let (sender, receiver) = oneshot::channel();
        state.senders.insert(id, sender);
        drop(state);
        self.waker.notify_one();
        Err(Pending {
            charger: self,
            cost,
            id,
            is_told: false,
            receiver,
        })
    }

    /// Asks the holder to charge requests, and tells them the outcome.
    async fn draw(&self, draw: Draw) {
        let number = draw.number;
        let requests = draw.wants.values().map(Vec::len).sum();
        let asked_at = self.clock.now();
        let drawing = self.call(draw).await;
        let now = self.clock.now();
        let drawing = drawing.filter(|_| now.since(asked_at) <= DRAW_TIMEOUT.as_millis() as u64);
        count_draws(requests, drawing.as_ref());
        let mut state = self.lock();
        let outcomes = state.till.settle(now, number, drawing);
        state.tell(outcomes);
    }

    /// Returns `None` if no holder answers.
    async fn call(&self, draw: Draw) -> Option<Drawing> {
        let leader = self.routing.leader()?;
        let client = self.pool.as_ref()?.client(leader, None);
        let call = client.call(DRAW_TIMEOUT, |peer, call| async move {
            peer.draw(call, draw).await
        });
        call.await.ok().and_then(Result::ok)
    }

    fn log_refusal(&self, cost: &Cost, by: &'static str, retry_after_ms: u64) {
        count(metric::ALLOTMENT_REFUSED, cost);
        let details = slog::o!(
            "request" => cost.request.clone(),
            "workspace" => cost.workspace.clone(),
            "by" => by,
            "units" => cost.units,
            "rank" => cost.kind.rank,
            "lease_age_ms" => self.lock().till.purse().age_ms(self.clock.now()),
            "retry_after_ms" => retry_after_ms,
        );
        event::emit(&self.log, Event::AllotmentRefused, details);
    }
}

impl State {
    /// Tells those who wait how their charges ended.
    fn tell(&mut self, outcomes: Vec<(u64, Charge)>) {
        for (id, outcome) in outcomes {
            if let Some(sender) = self.senders.remove(&id) {
                // Whoever waits no more takes the outcome back when it is dropped.
                let _ = sender.send(outcome);
            }
        }
    }
}

impl Pending<'_> {
    async fn wait(mut self) -> Charge {
        let outcome = (&mut self.receiver).await;
        self.is_told = true;
        outcome.unwrap_or(Charge::Unanswered)
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.is_told {
            return;
        }
        let mut state = self.charger.lock();
        state.till.forget(self.id);
        state.senders.remove(&self.id);
        drop(state);
        if self.receiver.try_recv() == Ok(Charge::Covered) {
            self.charger.return_units(self.cost);
        }
    }
}

fn count(name: &'static str, cost: &Cost) {
    metrics::counter!(name, "workspace" => cost.workspace.clone()).increment(cost.units);
}

/// Counts the requests of a draw by their answers.
fn count_draws(requests: usize, drawing: Option<&Drawing>) {
    metrics::counter!(metric::ALLOTMENT_DRAW_CALLS).increment(1);
    let count = |outcome: &'static str, requests: usize| {
        metrics::counter!(metric::ALLOTMENT_DRAWS, "outcome" => outcome).increment(requests as u64);
    };
    let Some(drawing) = drawing else {
        return count("unanswered", requests);
    };
    let verdicts = drawing.grants.values().flat_map(|grant| &grant.verdicts);
    let charged = verdicts
        .filter(|verdict| **verdict == Drawn::Charged)
        .count();
    count("charged", charged);
    count("refused", requests.saturating_sub(charged));
}
