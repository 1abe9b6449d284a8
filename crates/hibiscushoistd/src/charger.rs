//! Charges the requests of this host to the allotments of their workspaces.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::Logger;

use crate::pool::Pool;
use crate::routing_snapshot;
use coordination::allotment::kind::Kind;
use coordination::allotment::kind::Size;
use coordination::allotment::message::Batch;
use coordination::allotment::message::Draw;
use coordination::allotment::message::Drawn;
use coordination::allotment::purse::Charge;
use coordination::allotment::purse::Purse;
use state::time::Instant;
use transport::clock::Clock;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Timeout of a call that draws. An answer that comes later may stem from a leader that was frozen.
const DRAW_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before the leader is asked again that did not answer.
const DRAW_PAUSE: Duration = Duration::from_millis(50);
/// Number of times for which a leader is asked.
const DRAW_ATTEMPTS: u32 = 3;
/// Time for which a leader that did not answer is not asked again for small requests, in
/// milliseconds: one that is busy would have to answer those of all hosts first.
const SILENCE_MS: u64 = 250;

/// Longest wait for units that a request lacks, in milliseconds; its caller would need longer to
/// come back.
const MAX_WAIT_MS: u64 = 250;

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

/// Charges requests from the purse of this host, or at the holder of the allotments.
pub struct Charger {
    clock: Clock,
    log: Logger,
    pool: Option<Pool>,
    purse: Mutex<Purse>,
    routing: routing_snapshot::Handle,
    /// Time until which the leader is not asked for small requests, in milliseconds.
    silent_until_ms: AtomicU64,
}

impl Charger {
    /// Returns a charger with an empty purse.
    pub fn new(
        clock: Clock,
        log: Logger,
        pool: Option<Pool>,
        routing: routing_snapshot::Handle,
    ) -> Self {
        Self {
            clock,
            log,
            pool,
            purse: Mutex::new(Purse::new(rand::random())),
            routing,
            silent_until_ms: AtomicU64::new(0),
        }
    }

    /// Locks the purse; ignores that another thread panicked while holding the lock.
    pub fn purse(&self) -> MutexGuard<'_, Purse> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the leases that came in answer to the report sent at `reported_at`.
    pub fn apply(&self, reported_at: Instant, batch: Batch) {
        let mut purse = self.purse();
        purse.apply(reported_at, batch);
        let age_ms = purse.age_ms(self.clock.now());
        metrics::gauge!(metric::ALLOTMENT_LEASE_AGE_MS).set(age_ms as f64);
    }

    /// Decides whether a request that has arrived is taken while the allotment is scarce.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Spent`] if it is not.
    pub fn admit(&self, cost: &Cost) -> Result<(), Refusal> {
        let now = self.clock.now();
        let (kind, units) = (cost.kind, cost.units);
        let admitted = self
            .purse()
            .admit(now, &cost.workspace, kind, units, rand::random());
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
        for attempt in 1..=DRAW_ATTEMPTS {
            let now = self.clock.now();
            let charge = self.purse().charge(now, &cost.workspace, cost.units);
            let drawn = match charge {
                Charge::Covered => Some(Drawn::Charged),
                Charge::Draw if self.is_silent(now, cost) => break,
                Charge::Draw => self.draw(cost).await,
                Charge::Refused { retry_after_ms } => Some(Drawn::Refused { retry_after_ms }),
            };
            match drawn {
                None if attempt < DRAW_ATTEMPTS => tokio::time::sleep(DRAW_PAUSE).await,
                None => break,
                Some(Drawn::Charged) => {
                    count(metric::ALLOTMENT_USED, cost);
                    return Ok(());
                }
                Some(Drawn::Refused { retry_after_ms })
                    if attempt == 1 && retry_after_ms <= MAX_WAIT_MS =>
                {
                    tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
                }
                Some(Drawn::Refused { retry_after_ms }) => {
                    self.log_refusal(cost, "bucket", retry_after_ms);
                    let jitter_ms = rand::random_range(0..=retry_after_ms / 2);
                    let retry_after_ms = retry_after_ms + jitter_ms;
                    return Err(Refusal::Spent { retry_after_ms });
                }
            }
        }
        Err(Refusal::Unanswered)
    }

    /// Returns whether the leader is not asked for a request because it has just not answered.
    fn is_silent(&self, now: Instant, cost: &Cost) -> bool {
        cost.kind.size == Size::Small && now.0 < self.silent_until_ms.load(Ordering::Relaxed)
    }

    /// Gives back what was charged for a request that did not run.
    pub fn give_back(&self, cost: &Cost) {
        count(metric::ALLOTMENT_RETURNED, cost);
        self.purse().give_back(&cost.workspace, cost.units);
    }

    /// Asks the holder to charge a request. Returns `None` if none answers.
    async fn draw(&self, cost: &Cost) -> Option<Drawn> {
        let leader = self.routing.leader()?;
        let pool = self.pool.as_ref()?;
        let draw = Draw {
            kind: cost.kind,
            units: cost.units,
            workspace: cost.workspace.clone(),
        };
        let asked_at = self.clock.now();
        let client = pool.client(leader, None);
        let call = client.call(DRAW_TIMEOUT, |peer, call| async move {
            peer.draw(call, draw).await
        });
        let drawn = call.await.ok().and_then(Result::ok);
        let now = self.clock.now();
        let drawn = drawn.filter(|_| now.since(asked_at) <= DRAW_TIMEOUT.as_millis() as u64);
        if drawn.is_none() {
            self.silent_until_ms
                .store((now + SILENCE_MS).0, Ordering::Relaxed);
        }
        let outcome = match drawn {
            None => "unanswered",
            Some(Drawn::Charged) => "charged",
            Some(Drawn::Refused { .. }) => "refused",
        };
        metrics::counter!(metric::ALLOTMENT_DRAWS, "outcome" => outcome).increment(1);
        if let Some(Drawn::Refused { retry_after_ms }) = drawn {
            let (workspace, units) = (&cost.workspace, cost.units);
            self.purse()
                .record_refusal(now, workspace, units, retry_after_ms);
        }
        drawn
    }

    fn log_refusal(&self, cost: &Cost, by: &'static str, retry_after_ms: u64) {
        count(metric::ALLOTMENT_REFUSED, cost);
        let details = slog::o!(
            "request" => cost.request.clone(),
            "workspace" => cost.workspace.clone(),
            "by" => by,
            "units" => cost.units,
            "rank" => cost.kind.rank,
            "lease_age_ms" => self.purse().age_ms(self.clock.now()),
            "retry_after_ms" => retry_after_ms,
        );
        event::emit(&self.log, Event::AllotmentRefused, details);
    }
}

fn count(name: &'static str, cost: &Cost) {
    metrics::counter!(name, "workspace" => cost.workspace.clone()).increment(cost.units);
}
