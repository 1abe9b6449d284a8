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
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::engine_model::Models;
use coordination::engine_model::Sample;
use coordination::fleet_log::FleetLog;
use coordination::load::pace::Pace;
use coordination::load::silent_reports::News;
use coordination::load::told::Told;
use coordination::prefix_index::CachedPrefix;
use coordination::queue::line::Line;
use coordination::queue::line::Urgency;
use coordination::queue::returning::Returns;
use coordination::queue::ticket::Ticket;
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
    reply: oneshot::Sender<Result<Choice, Refusal>>,
    request: Request,
    ticket: Ticket,
}

/// The prompts that wait, by service.
#[derive(Default)]
struct Queue {
    is_served: bool,
    lines: BTreeMap<String, Line<Waiter>>,
    returns: Returns,
}

impl Queue {
    fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }
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
        let mut assigner = lock(&self.assigner);
        let paces = assigner.record_told(now, fleet, told);
        for (service, percent) in assigner.spreads() {
            metrics::gauge!(metric::PACE_SPREAD, "service" => service.clone()).set(*percent as f64);
        }
        paces
    }

    /// Replaces the upstreams of `fleet` that several hosts suspect to be silent.
    pub fn set_silent_news(&self, now: Instant, fleet: &Fleet, news: &News) {
        lock(&self.assigner).set_silent_news(now, fleet, news);
    }

    /// Assigns an engine to a long prompt, for which it may wait as long as the request says.
    ///
    /// # Errors
    ///
    /// Returns why this host does not assign engines.
    pub async fn assign(&self, request: Request) -> Result<Result<Choice, Refusal>, Rejection> {
        let fleet = self.fleet()?;
        let now = self.clock.now();
        let held_until = now + request.max_wait_ms;
        let (reply, replied) = oneshot::channel();
        {
            let mut queue = lock(&self.queue);
            let Queue { lines, returns, .. } = &mut *queue;
            let line = lines.entry(request.demand.service.clone()).or_default();
            let work_ms = lock(&self.assigner).work_ms(&request.demand);
            let is_returning = returns.is_returning(now, request.digest);
            let ticket = request.ticket(now, work_ms, is_returning);
            let assigned = match (&fleet, line.is_behind(now, &ticket)) {
                // Until this host has read the list in its term, it only has one that it published
                // before.
                (None, _) => Err(Refusal::NoUpstream),
                (Some(_), true) => Err(Refusal::Busy),
                (Some(fleet), false) => {
                    let urgency = line.urgency(&ticket);
                    self.try_assign(now, fleet, &request, &ticket, urgency)
                }
            };
            if assigned.is_ok() {
                line.record_taken(now, &ticket);
            }
            if assigned != Err(Refusal::Busy) || request.max_wait_ms == 0 {
                return Ok(assigned);
            }
            let waiter = Waiter {
                reply,
                request,
                ticket: ticket.clone(),
            };
            if line.push(ticket, held_until, waiter).is_err() {
                return Ok(assigned);
            }
            if let Some(fleet) = &fleet {
                self.reject(now, fleet, &mut queue);
            }
            metrics::gauge!(metric::ASSIGNMENTS_WAITING).set(queue.len() as f64);
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
            for (service, line) in &mut queue.lines {
                let (served, ended) = match &fleet {
                    Ok(Some(fleet)) => {
                        (self.serve_line(now, fleet, service, line), line.expire(now))
                    }
                    Ok(None) | Err(_) => (Vec::new(), line.drain()),
                };
                for (waiter, assigned) in served {
                    let _ = waiter.reply.send(assigned);
                }
                for waiter in ended {
                    let _ = waiter.reply.send(Err(Refusal::Busy));
                }
            }
            if let Ok(Some(fleet)) = &fleet {
                self.reject(now, fleet, &mut queue);
            }
            queue.lines.retain(|_, line| !line.is_idle(now));
            let waiting = queue.len();
            metrics::gauge!(metric::ASSIGNMENTS_WAITING).set(waiting as f64);
            if waiting == 0 {
                queue.is_served = false;
                return;
            }
        }
    }

    /// Returns the prompts of a line for which there is room now, or no upstream at all.
    fn serve_line(
        &self,
        now: Instant,
        fleet: &Fleet,
        service: &str,
        line: &mut Line<Waiter>,
    ) -> Vec<(Waiter, Result<Choice, Refusal>)> {
        let engines = lock(&self.assigner).engines(now, fleet, service);
        line.serve(now, engines, MAX_FAILURES, |waiter, urgency| {
            let (request, ticket) = (&waiter.request, &waiter.ticket);
            let assigned = self.try_assign(now, fleet, request, ticket, urgency);
            (assigned != Err(Refusal::Busy)).then_some(assigned)
        })
    }

    /// Answers the prompts that would not begin before their callers leave.
    fn reject(&self, now: Instant, fleet: &Fleet, queue: &mut Queue) {
        for (service, line) in &mut queue.lines {
            let engines = lock(&self.assigner).engines(now, fleet, service);
            for waiter in line.reject(now, engines) {
                let digest = waiter.request.digest;
                let work_ms = waiter.ticket.work_ms;
                let returns = &mut queue.returns;
                let retry_after_ms = returns.refuse(now, digest, work_ms, engines.count);
                let details = slog::o!(
                    "request" => waiter.request.request_id.clone(),
                    "service" => service.clone(),
                    "waited_ms" => now.since(waiter.ticket.arrived),
                    "returning" => waiter.ticket.is_returning,
                    "waiting" => line.len(),
                    "oldest_ms" => line.oldest_ms(now),
                    "engines" => engines.count,
                    "backlog_ms" => engines.backlog_ms,
                    "work_ms" => work_ms,
                    "retry_after_ms" => retry_after_ms,
                );
                event::emit(&self.log, Event::PromptRejected, details);
                let _ = waiter.reply.send(Err(Refusal::Crowded { retry_after_ms }));
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
        ticket: &Ticket,
        urgency: Urgency,
    ) -> Result<Choice, Refusal> {
        let loads = lock(&self.loads);
        let mut assigner = lock(&self.assigner);
        let mut request = request.clone();
        let idle_ms = assigner.first_byte_ms(&request.demand);
        request.set_urgency(now.since(ticket.arrived), idle_ms, urgency);
        assigner.assign(now, fleet, loads.total(), request)
    }
}

/// Locks `mutex`; ignores that another thread panicked while holding the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
