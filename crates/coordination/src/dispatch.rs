//! Chooses the upstream of each routed request, and refuses at once a request that cannot be
//! served.
//!
//! The choice combines what this host observes itself (requests in flight, failures, answers) with
//! the published list of upstreams and with the loads and cached prefixes that other hosts report.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::affinity;
use crate::breaker::CircuitBreaker;
use crate::breaker::Policy;
use crate::breaker::State;
use crate::choice::Choice;
use crate::choice::Rank;
use crate::choice::Refusal;
use crate::demand::Demand;
use crate::engine_model::EngineModel;
use crate::engine_model::Models;
use crate::engine_model::Sample;
use crate::hold;
use crate::hold::Holds;
use crate::load::pace::Pace;
use crate::load::paces::Paces;
use crate::load::silent::Tracker;
use crate::load::told::Told;
use crate::local_state::InFlight;
use crate::local_state::LocalState;
use crate::prefill;
use crate::prefill::Availability;
use crate::prefix_index;
use crate::prefix_index::CacheLocation;
use crate::prefix_index::CachedPrefix;
use crate::prefix_index::PrefixIndex;
use crate::queue::room::REFUSAL_PAUSE_MS;
use crate::shard;
use crate::unresponsive::UnresponsiveDetector;
use crate::upstream;
use crate::upstream::Fleet;
use crate::upstream::Upstream;
use crate::upstream_load::UpstreamLoads;
use state::time::Instant;

/// Largest number of samples that wait to be sent to the leading host.
const UNSENT_SAMPLES_LIMIT: usize = 32;
/// Largest number of told loads that wait to be sent to the leading host.
const UNSENT_TOLD_LIMIT: usize = 64;
/// Number of engines that are considered for a long prompt, the first in its rendezvous order, so
/// that a choice costs no more in a larger fleet; as many as a shard has.
const LONG_PROMPT_CANDIDATES: usize = shard::UPSTREAMS_PER_SHARD;

/// Policy of the circuit breaker. Three failures in a row are rarely chance where one answer in
/// seven fails. An ejection ends soon enough for an upstream that was restarted, and doubles while
/// it is still down. Two fifths of the upstreams always stay, because a fleet that fails as a whole
/// must not lose all of them.
const EJECTION_POLICY: Policy = Policy {
    failures_to_eject: 3,
    ejection_ms: 500,
    ejection_limit_ms: 4_000,
    probe_timeout_ms: 1_000,
    max_ejected_percent: 60,
};

/// Chooses upstreams for the requests of this host, and records what becomes of them.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) breaker: CircuitBreaker,
    pub(crate) assignment_ids: Vec<u64>,
    pub(crate) holds: Holds,
    pub(crate) prefix_index: PrefixIndex,
    pub(crate) other_loads: (Instant, UpstreamLoads),
    pub(crate) local: BTreeMap<String, LocalState>,
    pub(crate) models: Arc<Models>,
    pub(crate) paces: Paces,
    pub(crate) samples: Vec<Sample>,
    pub(crate) silent: Tracker,
    /// Services whose upstreams tell their load, with the number of requests at which one was
    /// full.
    pub(crate) telling: BTreeMap<String, Option<u32>>,
    told: BTreeMap<String, Told>,
    pub(crate) unresponsive: UnresponsiveDetector,
}

impl Dispatcher {
    /// Returns a dispatcher without observations; `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            breaker: CircuitBreaker::new(EJECTION_POLICY, seed),
            assignment_ids: Vec::new(),
            holds: Holds::default(),
            prefix_index: PrefixIndex::default(),
            other_loads: Default::default(),
            local: BTreeMap::new(),
            models: Arc::default(),
            paces: Paces::default(),
            samples: Vec::new(),
            silent: Tracker::default(),
            telling: BTreeMap::new(),
            told: BTreeMap::new(),
            unresponsive: UnresponsiveDetector::default(),
        }
    }

    /// Drops the state of upstreams that are no longer listed; load and response times are kept
    /// while requests are in flight.
    pub fn sync(&mut self, fleet: &Fleet) {
        let ids: Vec<&String> = fleet.upstreams.iter().map(|u| &u.id).collect();
        self.breaker.sync(ids.iter().map(|id| (*id).clone()));
        self.holds.sync(fleet);
        self.silent.sync(fleet);
        self.local
            .retain(|id, local| local.has_requests() || ids.contains(&id));
        self.unresponsive
            .retain(|id| ids.iter().any(|known| *known == id));
        let is_listed = |service: &String| fleet.upstreams.iter().any(|u| u.service == *service);
        self.telling.retain(|service, _| is_listed(service));
    }

    /// Chooses the upstream of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why no upstream takes the request.
    pub fn choose(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        demand: &Demand,
    ) -> Result<Choice, Refusal> {
        let eligible = self.eligible(now, fleet, demand);
        if eligible.is_empty() && self.is_paused(now, fleet, demand) {
            return Err(Refusal::Paused);
        }
        let upstream = self.pick(now, &eligible, demand)?.clone();
        let holders = self.holders(now, &[&upstream], demand);
        let expected = self.candidate(now, &upstream, demand, &holders);
        let _ = self.breaker.admit(now, &upstream.id);
        let weights = demand
            .model
            .as_ref()
            .map(|model| self.weights(&upstream, model));
        let prefix = weights.and_then(|weights| demand.prefix_key(weights));
        let store = prefix.as_ref();
        let store = store.and_then(|prefix| prefix_index::store_for(&demand.stores, prefix));
        let fetch_from = prefix.as_ref().and_then(|prefix| {
            let engine = self.fetch_source(now, fleet, demand, &upstream, prefix);
            engine.or(store)
        });
        let saves = prefix.filter(|_| store.is_some());
        let saves = saves.is_some_and(|prefix| self.prefix_index.claim_save(now, &prefix));
        Ok(Choice {
            backlog_ms: expected.backlog_ms,
            fetch_from,
            assignment_id: None,
            rank: self.rank(demand),
            prefill_ms: expected.prefill_ms,
            save_to: store.filter(|_| saves),
            upstream,
            weights,
        })
    }

    /// Returns the rank of a request in the queue of its engine.
    fn rank(&self, demand: &Demand) -> Rank {
        let may_begin_in_time =
            demand.first_byte_left_ms > self.model(&demand.service).first_byte_ms;
        match (&demand.shared_prefix, may_begin_in_time) {
            (None, _) => Rank::Normal,
            (Some(_), true) if !demand.is_patient => Rank::First,
            (Some(_), _) => Rank::Last,
        }
    }

    /// Records that a request was sent, and returns the handle for its further events.
    pub fn record_sent(&mut self, now: Instant, choice: &Choice, demand: &Demand) -> InFlight {
        self.assignment_ids.extend(choice.assignment_id);
        let upstream_id = choice.upstream.id.clone();
        let holders = self.holders(now, &[&choice.upstream], demand);
        let availability = self.prefix_availability(&choice.upstream, demand, &holders);
        let pending_prefill_tokens = prefill::tokens(demand, availability);
        let long_prompt_tokens = demand
            .shared_prefix
            .as_ref()
            .map_or(0, |_| demand.prompt_tokens);
        let local = self.local.entry(upstream_id.clone()).or_default();
        local.record_sent(long_prompt_tokens, pending_prefill_tokens);
        local.room.record_sent(now);
        let load = self.load(now, &upstream_id);
        let model = self.model(&demand.service);
        let work_ms = 2 * model.prefill_ms(load.pending_prefill_tokens);
        // A full engine keeps requests waiting for other reasons than their prefill, and it is not
        // known how much of the prefill of others is over, nor whether a fetch finds anything.
        let is_calm = 2 * load.running <= choice.upstream.slots
            && 4 * pending_prefill_tokens >= 3 * load.pending_prefill_tokens;
        let is_known = demand.shared_prefix.is_none() || availability == Availability::Here;
        let is_sample = demand.model.is_some() && is_calm && is_known;
        let sampled_tokens = is_sample.then_some(load.pending_prefill_tokens);
        let request_id = self
            .unresponsive
            .record_sent(now, upstream_id.clone(), work_ms);
        self.silent.record_sent(now, &upstream_id, request_id);
        InFlight {
            is_accepted: false,
            upstream_id,
            long_prompt_tokens,
            prefix: choice
                .weights
                .and_then(|weights| demand.prefix_key(weights)),
            request_id,
            pending_prefill_tokens,
            sampled_tokens,
            sent_at: now,
            service: demand.service.clone(),
            started: choice.upstream.started,
        }
    }

    /// Takes the ids of the leading host's assignments by which requests were sent since the last
    /// call; the loads that this host reports include them.
    pub fn take_assignment_ids(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.assignment_ids)
    }

    /// Returns the load that this host causes at each upstream.
    pub fn loads(&self, now: Instant) -> UpstreamLoads {
        let busy = self.local.iter().filter(|(_, local)| local.has_requests());
        let load = |(id, local): (&String, &LocalState)| {
            let last_byte_age_ms = self.unresponsive.last_byte_age_ms(now, id);
            (id.clone(), local.load(last_byte_age_ms))
        };
        busy.map(load).collect()
    }

    /// Returns how fast the engines of a service are, as far as it is known.
    pub(crate) fn model(&self, service: &str) -> EngineModel {
        self.models.get(service).copied().unwrap_or_default()
    }

    /// Replaces what is known of the engines of these services.
    pub fn set_models(&mut self, models: Arc<Models>) {
        if !models.is_empty() {
            self.models = models;
        }
    }

    /// Takes the samples of engines that were not sent to the leading host yet.
    pub fn take_samples(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.samples)
    }

    /// Records the load that an upstream told with an answer.
    pub fn record_told(&mut self, in_flight: &InFlight, told: Told) {
        let is_known = self.told.contains_key(&in_flight.upstream_id);
        if is_known || self.told.len() < UNSENT_TOLD_LIMIT {
            self.told.insert(in_flight.upstream_id.clone(), told);
        }
    }

    /// Takes the loads that upstreams have told and that were not sent to the leading host yet.
    pub fn take_told(&mut self) -> BTreeMap<String, Told> {
        std::mem::take(&mut self.told)
    }

    /// Replaces the paces of the upstreams of `fleet`, which are in their order.
    pub fn set_paces(&mut self, now: Instant, fleet: &Fleet, paces: &[Pace]) {
        self.paces.set(now, fleet, paces);
    }

    /// Replaces the loads that other hosts cause at upstreams.
    pub fn set_other_loads(&mut self, now: Instant, other_loads: UpstreamLoads) {
        for (id, load) in &other_loads {
            if let Some(age_ms) = load.last_byte_age_ms {
                self.unresponsive.record_remote_byte(now.before(age_ms), id);
                self.end_suspicion_elsewhere(now, now.before(age_ms), id);
            }
        }
        self.other_loads = (now, other_loads);
    }

    /// Records the cached prefixes that other hosts have reported.
    pub fn record_remote_prefixes(&mut self, now: Instant, cached_prefixes: Vec<CachedPrefix>) {
        self.prefix_index.record_remote(now, cached_prefixes);
        self.prefix_index.expire(now);
    }

    /// Takes the cached prefixes that this host has recorded since the last call.
    pub fn take_prefix_updates(&mut self, now: Instant) -> Vec<CachedPrefix> {
        self.prefix_index.take_updates(now)
    }

    /// Queues the recent cached prefixes of this host again, after they were sent without an answer
    /// or to a host that no longer leads.
    pub fn requeue_prefix_updates(&mut self, now: Instant) {
        self.prefix_index.requeue_updates(now);
    }

    /// Records that the head of an answer arrived, which ends the prefill.
    pub fn record_answer_head(&mut self, now: Instant, in_flight: &mut InFlight) {
        self.record_byte(now, in_flight);
        self.unresponsive
            .record_end(&in_flight.upstream_id, in_flight.request_id);
        if let Some(local) = self.local.get_mut(&in_flight.upstream_id) {
            local.record_prefill(in_flight);
        }
    }

    /// Records that the upstream has the request's prefix in its cache, because it began to answer.
    pub fn record_prefill(&mut self, now: Instant, in_flight: &mut InFlight) {
        if let Some(tokens) = in_flight.sampled_tokens.take()
            && self.samples.len() < UNSENT_SAMPLES_LIMIT
        {
            self.samples.push(Sample {
                first_byte_ms: now.since(in_flight.sent_at),
                service: in_flight.service.clone(),
                tokens,
                upstream: in_flight.upstream_id.clone(),
            });
        }
        if let Some(prefix) = in_flight.prefix.take() {
            let location = CacheLocation::Engine(in_flight.upstream_id.clone());
            self.prefix_index
                .record_local(now, CachedPrefix { location, prefix });
        }
    }

    /// Records that bytes of an answer arrived.
    pub fn record_byte(&mut self, now: Instant, in_flight: &InFlight) {
        self.unresponsive.record_byte(now, &in_flight.upstream_id);
        self.end_suspicion(now, &in_flight.upstream_id);
    }

    /// Records the weights version that an answer names.
    pub fn record_weights(&mut self, in_flight: &InFlight, model: impl Into<String>, version: u64) {
        if let Some(local) = self.local.get_mut(&in_flight.upstream_id) {
            let known = local.weights.entry(model.into()).or_default();
            *known = version.max(*known);
        }
    }

    /// Records that the upstream refused the request without running it.
    pub fn record_refusal(&mut self, now: Instant, in_flight: &InFlight) {
        if let Some(local) = self.local.get_mut(&in_flight.upstream_id) {
            local.refused_at = Some(now);
        }
    }

    /// Records that the upstream leaves, and returns whether this host did not know it yet.
    pub fn record_leaving(&mut self, now: Instant, in_flight: &InFlight) -> bool {
        let id = in_flight.upstream_id.clone();
        self.holds.record_leaving(now, id, in_flight.started)
    }

    /// Records that the upstream asked for a pause, and returns whether that begins one.
    pub fn record_pause(&mut self, now: Instant, in_flight: &InFlight, pause_ms: u64) -> bool {
        let id = in_flight.upstream_id.clone();
        self.holds
            .record_pause(now, id, in_flight.started, pause_ms)
    }

    /// Returns whether an upstream has asked for no requests.
    pub fn is_held(&self, now: Instant, upstream: &Upstream) -> bool {
        self.holds.is_held(now, upstream)
    }

    /// Returns the time until the first upstream may take a request again, if all that could take
    /// it have asked for a pause.
    pub fn pause_left_ms(&self, now: Instant, fleet: &Fleet, demand: &Demand) -> Option<u64> {
        if !self.eligible(now, fleet, demand).is_empty() {
            return None;
        }
        let left_ms = |upstream: &Upstream| {
            let could_take = upstream.service == demand.service
                && upstream.standing == upstream::Standing::Ready
                && !demand.tried.contains(&upstream.id)
                && self.is_current(fleet, upstream, demand);
            match self.holds.state(now, upstream) {
                hold::State::Paused(left_ms) if could_take => Some(left_ms),
                _ => None,
            }
        };
        fleet.upstreams.iter().filter_map(left_ms).min()
    }

    /// Returns whether all upstreams that could take a request, tried or not, are paused.
    fn is_paused(&self, now: Instant, fleet: &Fleet, demand: &Demand) -> bool {
        let untried = Demand {
            tried: Vec::new(),
            ..demand.clone()
        };
        self.pause_left_ms(now, fleet, &untried).is_some()
    }

    /// Records that the request failed at the upstream, and returns whether that ejected it.
    pub fn record_failure(&mut self, now: Instant, in_flight: &InFlight) -> bool {
        self.breaker
            .record_failure(now, in_flight.upstream_id.clone())
    }

    /// Records that the upstream served the request, which ends an ejection.
    pub fn record_success(&mut self, in_flight: &InFlight) {
        self.breaker.record_success(&in_flight.upstream_id);
    }

    /// Records that a request is no longer in flight.
    pub fn record_end(&mut self, in_flight: &InFlight) {
        self.silent
            .record_end(&in_flight.upstream_id, in_flight.request_id);
        self.unresponsive
            .record_end(&in_flight.upstream_id, in_flight.request_id);
        if let Some(local) = self.local.get_mut(&in_flight.upstream_id) {
            local.record_end(in_flight);
            local.room.record_end();
        }
    }

    /// Returns whether some upstream would take a request now, without choosing it.
    pub fn can_place(&self, now: Instant, fleet: &Fleet, demand: &Demand) -> bool {
        let eligible = self.eligible(now, fleet, demand);
        self.pick(now, &eligible, demand).is_ok()
    }

    /// Returns whether the upstream of a request, or the path to it, has stopped responding.
    pub fn is_unresponsive(&self, now: Instant, in_flight: &InFlight) -> bool {
        let id = in_flight.upstream_id.as_str();
        self.unresponsive.is_unresponsive(now, id)
            || self.silent.is_silent_for(in_flight.sent_at, id)
    }

    /// Returns whether the upstream's weights version may serve the request.
    fn is_current(&self, fleet: &Fleet, upstream: &Upstream, demand: &Demand) -> bool {
        demand.model.as_ref().is_none_or(|model| {
            let weights = self.weights(upstream, model);
            let min = fleet.min_weights.get(model).copied();
            weights >= min.unwrap_or_default().max(demand.min_weights)
                && demand.exact_weights.is_none_or(|exact| weights == exact)
        })
    }

    /// Returns the upstreams of a service that this host does not use for now.
    pub fn unusable(&self, now: Instant, fleet: &Fleet, service: &str) -> Vec<String> {
        let listed = fleet.upstreams.iter();
        let of_service = listed.filter(|upstream| upstream.service == service);
        let unusable = of_service.filter(|upstream| !self.is_usable(now, upstream));
        unusable.map(|upstream| upstream.id.clone()).collect()
    }

    /// Returns whether an upstream is neither held, ejected nor unresponsive, and has not refused a
    /// request lately.
    pub(crate) fn is_usable(&self, now: Instant, upstream: &Upstream) -> bool {
        let local = self.local.get(&upstream.id);
        let refused_at = local.and_then(|local| local.refused_at);
        self.is_healthy(now, upstream)
            && refused_at.is_none_or(|at| now.since(at) > REFUSAL_PAUSE_MS)
    }

    /// Returns whether an upstream is neither held, ejected nor unresponsive.
    pub(crate) fn is_healthy(&self, now: Instant, upstream: &Upstream) -> bool {
        let id = upstream.id.as_str();
        !matches!(self.breaker.state(now, id), State::Open(_))
            && !self.unresponsive.is_unresponsive(now, id)
            && !self.silent.is_barred(now, id)
            && !self.is_held(now, upstream)
    }

    /// Returns the upstreams that are listed as ready for a request, are not held and have not
    /// failed it.
    pub(crate) fn listed<'a>(
        &self,
        now: Instant,
        fleet: &'a Fleet,
        demand: &Demand,
    ) -> Vec<&'a Upstream> {
        let is_listed = |upstream: &&Upstream| {
            upstream.service == demand.service
                && upstream.standing == upstream::Standing::Ready
                && !self.is_held(now, upstream)
                && !demand.tried.contains(&upstream.id)
                && !(demand.runs_once && self.silent.is_suspected(&upstream.id))
                && self.is_current(fleet, upstream, demand)
        };
        fleet.upstreams.iter().filter(is_listed).collect()
    }

    /// Returns the upstreams that may take a request: the usable ones or, where none is usable, all
    /// that are listed as ready, are not held and have not failed the request. For a long prompt
    /// they are among the first in its rendezvous order.
    fn eligible<'a>(&self, now: Instant, fleet: &'a Fleet, demand: &Demand) -> Vec<&'a Upstream> {
        let listed = self.listed(now, fleet, demand);
        let listed = match &demand.shared_prefix {
            Some((prefix_id, _)) => affinity::top_ranked(listed, prefix_id, LONG_PROMPT_CANDIDATES),
            None => listed,
        };
        let is_usable = |upstream: &&Upstream| match self.has_line(demand) {
            false => self.is_usable(now, upstream),
            true => self.is_healthy(now, upstream) && self.has_room(now, upstream),
        };
        let usable: Vec<&Upstream> = listed.iter().copied().filter(is_usable).collect();
        match usable.is_empty() {
            false => self.trial_or_all(usable, demand),
            true => listed,
        }
    }
}
