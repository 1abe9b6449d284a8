//! Assigns engines to the long prompts of all hosts while this host leads. A prompt for which no
//! engine has room waits here for a while, so that its host need not ask again and again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slog::Logger;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::voter;
use coordination::assign_queue::AssignQueue;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::engine_model::Models;
use coordination::engine_model::Sample;
use coordination::fleet_log::FleetLog;
use coordination::load::pace::Pace;
use coordination::load::told::Told;
use coordination::prefix_index::CachedPrefix;
use coordination::upstream::Fleet;
use coordination::upstream_load::LoadAggregator;
use protocol::voter::Rejection;
use state::time::Instant;
use transport::clock::Clock;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Time between two attempts to serve the prompts that wait.
const SERVE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of prompts in a row that find no room before the others are not looked at any more.
const MAX_FAILURES: usize = 4;

/// A prompt that waits, and the call that it came with.
struct Waiter {
    request: Request,
    reply: oneshot::Sender<Result<Choice, Refusal>>,
}

#[derive(Default)]
struct Queue {
    is_served: bool,
    waiting: AssignQueue<Waiter>,
}

/// Assigns engines to long prompts.
#[derive(Clone)]
pub struct Desk {
    assigner: Arc<Mutex<Assigner>>,
    clock: Clock,
    fleet: watch::Receiver<Arc<FleetLog>>,
    loads: Arc<Mutex<LoadAggregator>>,
    log: Logger,
    queue: Arc<Mutex<Queue>>,
    voter: voter::Handle,
}

impl Desk {
    /// Returns a desk without assignments.
    pub fn new(
        clock: Clock,
        fleet: watch::Receiver<Arc<FleetLog>>,
        loads: Arc<Mutex<LoadAggregator>>,
        log: Logger,
        voter: voter::Handle,
    ) -> Self {
        Self {
            assigner: Arc::new(Mutex::new(Assigner::new(rand::random()))),
            clock,
            fleet,
            loads,
            log,
            queue: Arc::default(),
            voter,
        }
    }

    /// Records which assignments the report of a host includes, and the prefixes that it saw
    /// cached.
    pub fn record_report(&self, now: Instant, ids: &[u64], cached_prefixes: &[CachedPrefix]) {
        lock(&self.assigner).record_report(now, ids, cached_prefixes);
    }

    /// Records samples of a host, and returns how fast the engines of each service are.
    pub fn record_samples(&self, now: Instant, samples: Vec<Sample>) -> Arc<Models> {
        let (models, news) = lock(&self.assigner).record_samples(now, samples);
        for (service, model) in news {
            let details = slog::o!(
                "service" => service,
                "prefill_tokens_per_s" => model.prefill_tokens_per_s,
                "first_byte_ms" => model.first_byte_ms,
            );
            event::emit(&self.log, Event::EnginesLearned, details);
        }
        models
    }

    /// Records the loads that upstreams have told a host, and returns the paces of the upstreams
    /// of `fleet` in their order.
    pub fn record_told(
        &self,
        now: Instant,
        fleet: &Fleet,
        told: &BTreeMap<String, Told>,
    ) -> Arc<Vec<Pace>> {
        lock(&self.assigner).record_told(now, fleet, told)
    }

    /// Assigns an engine to a long prompt, for which it may wait as long as the request says.
    ///
    /// # Errors
    ///
    /// Returns why this host does not assign engines.
    pub async fn assign(&self, request: Request) -> Result<Result<Choice, Refusal>, Rejection> {
        let fleet = self.fleet()?;
        let now = self.clock.now();
        let until = now + request.max_wait_ms;
        let arrived = now.before(request.waited_ms);
        let (reply, replied) = oneshot::channel();
        {
            let mut queue = lock(&self.queue);
            let is_behind = queue.waiting.is_behind(request.rank, arrived);
            let assigned = match (&fleet, is_behind) {
                // Until this host has read the list in its term, it only has one that it published
                // before.
                (None, _) => Err(Refusal::NoUpstream),
                (Some(_), true) => Err(Refusal::Busy),
                (Some(fleet), false) => self.try_assign(now, fleet, &request),
            };
            if assigned != Err(Refusal::Busy) || request.max_wait_ms == 0 {
                return Ok(assigned);
            }
            let rank = request.rank;
            let waiter = Waiter { request, reply };
            if queue.waiting.push(rank, arrived, until, waiter).is_err() {
                return Ok(assigned);
            }
            metrics::gauge!(metric::ASSIGNMENTS_WAITING).set(queue.waiting.len() as f64);
            if !std::mem::replace(&mut queue.is_served, true) {
                tokio::spawn(self.clone().serve());
            }
        }
        Ok(replied.await.unwrap_or(Err(Refusal::Busy)))
    }

    /// Serves the prompts that wait until none does.
    async fn serve(self) {
        loop {
            tokio::time::sleep(SERVE_INTERVAL).await;
            let fleet = self.fleet();
            let now = self.clock.now();
            let mut queue = lock(&self.queue);
            let (served, ended) = match &fleet {
                Ok(Some(fleet)) => {
                    let served = queue.waiting.serve(MAX_FAILURES, |waiter| {
                        let assigned = self.try_assign(now, fleet, &waiter.request);
                        (assigned != Err(Refusal::Busy)).then_some(assigned)
                    });
                    (served, queue.waiting.expire(now))
                }
                Ok(None) | Err(_) => (Vec::new(), queue.waiting.drain()),
            };
            for (waiter, assigned) in served {
                let _ = waiter.reply.send(assigned);
            }
            for waiter in ended {
                let _ = waiter.reply.send(Err(Refusal::Busy));
            }
            metrics::gauge!(metric::ASSIGNMENTS_WAITING).set(queue.waiting.len() as f64);
            if queue.waiting.is_empty() {
                queue.is_served = false;
                return;
            }
        }
    }

    /// Returns the fleet that this host published in its term, if it has published one.
    fn fleet(&self) -> Result<Option<Arc<Fleet>>, Rejection> {
        let status = self.voter.status().ok_or(Rejection::Ended)?;
        if !status.leads {
            return Err(Rejection::NotLeader(status.leader));
        }
        let fleet = self.fleet.borrow().fleet().clone();
        Ok(Some(fleet).filter(|fleet| fleet.edition.term == status.term))
    }

    fn try_assign(
        &self,
        now: Instant,
        fleet: &Fleet,
        request: &Request,
    ) -> Result<Choice, Refusal> {
        let loads = lock(&self.loads);
        lock(&self.assigner).assign(now, fleet, loads.total(), request.clone())
    }
}

/// Locks `mutex`; ignores that another thread panicked while holding the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
