//! Lends the allotments of workspaces to all hosts while this host leads.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use slog::Logger;

use crate::voter_call::Reading;
use crate::voter_reads::Reads;
use coordination::allotment::holder::Holder;
use coordination::allotment::message::Batch;
use coordination::allotment::message::Draw;
use coordination::allotment::message::Drawing;
use coordination::allotment::message::Report;
use protocol::voter::Rejection;
use state::time::Instant;
use transport::clock::Clock;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Time between two updates of the metrics, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 1_000;

/// The holder, and when its metrics were updated.
#[derive(Default)]
struct State {
    holder: Holder,
    measured_at: Instant,
}

/// Holds the allotments.
#[derive(Clone)]
pub struct Desk {
    clock: Clock,
    log: Logger,
    reads: Reads,
    state: Arc<Mutex<State>>,
}

impl Desk {
    /// Returns a desk that has lent nothing.
    pub fn new(clock: Clock, log: Logger, reads: Reads) -> Self {
        Self {
            clock,
            log,
            reads,
            state: Arc::default(),
        }
    }

    /// Takes the report of a host and lends it what it needs. `reading` has to be confirmed since
    /// the report arrived.
    pub fn exchange(&self, reading: &Reading, host: &str, report: &Report) -> Batch {
        let now = self.clock.now();
        let mut state = self.lock();
        let table = &reading.routed.table;
        let batch = state
            .holder
            .exchange(now, reading.term, table, host, report);
        for (workspace, change) in state.holder.take_changes() {
            let event = match change.is_scarce {
                false => Event::AllotmentSufficient,
                true => Event::AllotmentScarce,
            };
            let details = slog::o!(
                "workspace" => workspace,
                "demand_per_s" => change.demand,
                "rate_per_s" => change.rate,
                "level" => change.level,
            );
            event::emit(&self.log, event, details);
        }
        if now.since(state.measured_at) >= METRICS_INTERVAL_MS {
            state.measured_at = now;
            measure(&state.holder);
        }
        batch
    }

    /// Charges requests that their host cannot cover.
    ///
    /// # Errors
    ///
    /// Returns why this host does not hold the allotments.
    pub async fn draw(&self, draw: Draw) -> Result<Drawing, Rejection> {
        let reading = self.reads.read().await?;
        let now = self.clock.now();
        let table = &reading.routed.table;
        Ok(self.lock().holder.draw(now, reading.term, table, &draw))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn measure(holder: &Holder) {
    for (workspace, summary) in holder.summaries() {
        let gauge = |name| metrics::gauge!(name, "workspace" => workspace.to_owned());
        gauge(metric::ALLOTMENT_LENT).set(summary.lent as f64);
        gauge(metric::ALLOTMENT_LEVEL).set(summary.level as f64);
        gauge(metric::ALLOTMENT_RATE).set(summary.rate as f64);
    }
}
