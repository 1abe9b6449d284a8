//! Assignment: the leading host chooses the engine of each long prompt for all hosts.
//!
//! Hosts receive each other's loads a tenth of a second late. In that time several of them would
//! send long prompts to the same engine, which looks idle to all. The leading host sees its own
//! assignments at once: it counts an assigned prompt as load until the report of the requesting
//! host includes it. A host that gets no answer chooses by itself.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::choice::Choice;
use crate::choice::Refusal;
use crate::demand::Demand;
use crate::dispatch::Dispatcher;
use crate::engine_model::ModelFitter;
use crate::engine_model::Models;
use crate::engine_model::Sample;
use crate::load::pace::Learner;
use crate::load::pace::Pace;
use crate::load::silent_reports::News;
use crate::load::told::Told;
use crate::local_state::InFlight;
use crate::prefill;
use crate::prefill::Availability;
use crate::prefix_index::CachedPrefix;
use crate::queue::line::Urgency;
use crate::queue::pace::Engines;
use crate::queue::patience::Patience;
use crate::queue::returning::Digest;
use crate::queue::ticket::Ticket;
use crate::upstream::Edition;
use crate::upstream::Fleet;
use crate::upstream::Standing;
use crate::upstream_load::UpstreamLoads;
use state::time::Instant;

/// How long an assignment counts as load while no report includes it, in milliseconds. Hosts report
/// several times a second; a host that crashed never does.
const PENDING_LIMIT_MS: u64 = 1_000;
/// Age after which the sum of the hosts' loads is taken again, in milliseconds; each host reports
/// ten times a second.
const LOADS_MAX_AGE_MS: u64 = 20;

/// A request to assign an engine to a long prompt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Digest of the request, by which it is known again when its caller comes back.
    pub digest: Digest,
    /// Whether the leading host was asked before for the same request of the same caller.
    pub is_repeat: bool,
    /// Longest time for which the request waits at the leading host until an engine has room for
    /// it, in milliseconds.
    pub max_wait_ms: u64,
    /// How long the request may wait in all.
    pub patience: Patience,
    /// ID of the request, for the log.
    pub request_id: String,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Time that the request has waited before, in milliseconds.
    pub waited_ms: u64,
    /// IDs of the engines that the requesting host does not use for now.
    pub unusable: Vec<String>,
    /// Name of the workspace, if the request belongs to one.
    pub workspace: Option<String>,
    /// Needs of the request.
    pub demand: Demand,
}

impl Request {
    /// Sets within which time an engine has to begin the answer to a patient request, which has
    /// waited for `waited_ms` by now and which an idle engine begins in `idle_ms`.
    pub fn set_urgency(&mut self, waited_ms: u64, idle_ms: u64, urgency: Urgency) {
        if self.patience.is_patient {
            let left_ms = self
                .patience
                .first_byte_left_ms(waited_ms, idle_ms, urgency);
            self.demand.first_byte_left_ms = left_ms;
        }
    }

    /// Returns the ticket with which the request waits, if an engine would spend `work_ms` on it.
    pub fn ticket(&self, now: Instant, work_ms: u64, is_returning: bool) -> Ticket {
        let arrived = now.before(self.waited_ms);
        Ticket {
            arrived,
            is_patient: self.patience.is_patient,
            is_repeat: self.is_repeat,
            is_returning: is_returning && self.patience.is_patient,
            goal_ms: self.patience.goal_ms,
            late_at: arrived + self.patience.goal_ms.saturating_sub(work_ms),
            rank: self.rank,
            until: now + self.patience.wait_left_ms(self.waited_ms),
            work_ms,
            workspace: self.workspace.clone(),
        }
    }
}

/// An assignment that no report includes yet.
#[derive(Debug)]
struct PendingAssignment {
    assigned_at: Instant,
    id: u64,
    in_flight: InFlight,
}

/// Assigns engines to long prompts while this host leads.
#[derive(Debug)]
pub struct Assigner {
    dispatcher: Dispatcher,
    edition: Edition,
    last_id: u64,
    learner: Learner,
    fitter: ModelFitter,
    pending: Vec<PendingAssignment>,
    loads_taken_at: Option<Instant>,
}

impl Assigner {
    /// Returns an assigner without assignments. `seed` determines the jitter and the first
    /// assignment id; it must differ from host to host, so that ids of different leaders do.
    pub fn new(seed: u64) -> Self {
        Self {
            dispatcher: Dispatcher::new(seed),
            edition: Edition::default(),
            last_id: seed >> 1,
            learner: Learner::default(),
            fitter: ModelFitter::default(),
            pending: Vec::new(),
            loads_taken_at: None,
        }
    }

    /// Assigns an engine to a long prompt; `loads` is the sum of the loads that hosts have
    /// reported.
    ///
    /// # Errors
    ///
    /// Returns the reason why no engine takes it.
    pub fn assign(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        loads: &UpstreamLoads,
        request: Request,
    ) -> Result<Choice, Refusal> {
        self.sync(fleet);
        if self
            .loads_taken_at
            .is_none_or(|at| now.since(at) > LOADS_MAX_AGE_MS)
        {
            self.dispatcher.set_other_loads(now, loads.clone());
            self.loads_taken_at = Some(now);
        }
        self.release(|pending| now.since(pending.assigned_at) > PENDING_LIMIT_MS);
        let mut demand = request.demand;
        demand.tried.extend(request.unusable);
        let mut choice = self.dispatcher.choose(now, fleet, &demand)?;
        self.last_id += 1;
        choice.assignment_id = Some(self.last_id);
        let in_flight = self.dispatcher.record_sent(now, &choice, &demand);
        self.pending.push(PendingAssignment {
            assigned_at: now,
            id: self.last_id,
            in_flight,
        });
        Ok(choice)
    }

    /// Returns the time that an engine is expected to spend on a long prompt whose shared prefix it
    /// fetches, in milliseconds.
    pub fn work_ms(&self, demand: &Demand) -> u64 {
        let tokens = prefill::tokens(demand, Availability::Elsewhere);
        self.dispatcher.model(&demand.service).prefill_ms(tokens)
    }

    /// Returns the time until an idle engine without the shared prefix begins the answer to a long
    /// prompt, in milliseconds.
    pub fn first_byte_ms(&self, demand: &Demand) -> u64 {
        let model = self.dispatcher.model(&demand.service);
        let tokens = prefill::tokens(demand, Availability::Nowhere);
        model.prefill_ms(tokens) + model.first_byte_ms
    }

    /// Returns the engines of a service that are ready and not silent, and their work in flight.
    pub fn engines(&self, now: Instant, fleet: &Fleet, service: &str) -> Engines {
        let model = self.dispatcher.model(service);
        let ready = fleet.upstreams.iter();
        let ready = ready.filter(|u| u.service == service && u.standing == Standing::Ready);
        let ready = ready.filter(|u| !self.dispatcher.silent.is_suspected(&u.id));
        let mut engines = Engines::default();
        for upstream in ready {
            let load = self.dispatcher.load(now, &upstream.id);
            engines.backlog_ms += model.prefill_ms(load.pending_prefill_tokens);
            engines.count += 1;
        }
        engines
    }

    /// Records samples of a host. Returns how fast the engines of each service are, and which of
    /// these models are news for the log.
    pub fn record_samples(&mut self, now: Instant, samples: Vec<Sample>) -> (Arc<Models>, Models) {
        self.learner
            .record_samples(&self.fitter.models(now), &samples);
        self.fitter.record(samples);
        let models = self.fitter.models(now);
        self.dispatcher.set_models(models.clone());
        (models, self.fitter.take_news())
    }

    /// Records the loads that upstreams have told a host, and returns the paces of the upstreams
    /// of `fleet` in their order.
    pub fn record_told(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        told: &BTreeMap<String, Told>,
    ) -> Arc<Vec<Pace>> {
        self.learner.record_told(now, told);
        let paces = self.learner.paces(now, fleet);
        self.dispatcher.set_paces(now, fleet, &paces);
        paces
    }

    /// Returns how far the upstreams of each service differ, see [`Learner::spreads`].
    pub fn spreads(&self) -> &BTreeMap<String, u64> {
        self.learner.spreads()
    }

    /// Replaces the upstreams that several hosts suspect to be silent.
    pub fn set_silent_news(&mut self, now: Instant, fleet: &Fleet, news: &News) {
        self.sync(fleet);
        self.dispatcher.set_silent_news(now, now, fleet, news);
    }

    /// Records which assignments the report of a host includes, and the prefixes that it saw
    /// cached.
    pub fn record_report(
        &mut self,
        now: Instant,
        reported_ids: &[u64],
        cached_prefixes: &[CachedPrefix],
    ) {
        if !cached_prefixes.is_empty() {
            self.dispatcher
                .record_remote_prefixes(now, cached_prefixes.to_vec());
        }
        if !reported_ids.is_empty() {
            self.release(|pending| reported_ids.contains(&pending.id));
            self.loads_taken_at = None;
        }
    }

    /// Adopts another edition of the fleet.
    fn sync(&mut self, fleet: &Fleet) {
        if self.edition != fleet.edition {
            self.edition = fleet.edition;
            self.dispatcher.sync(fleet);
        }
    }

    /// Stops counting the assignments for which `is_over` holds.
    fn release(&mut self, is_over: impl Fn(&PendingAssignment) -> bool) {
        for pending in self.pending.extract_if(.., |pending| is_over(pending)) {
            self.dispatcher.record_end(&pending.in_flight);
        }
    }
}
