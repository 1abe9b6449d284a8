//! Dispatch: chooses the upstream of a routed request from what this host has seen itself and what
//! the fleet's list says, and refuses at once what cannot be served.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::affinity;
use crate::affinity::Candidate;
use crate::breaker::CircuitBreaker;
use crate::breaker::Policy;
use crate::breaker::State;
use crate::choice::Choice;
use crate::choice::Rank;
use crate::choice::Refusal;
use crate::demand::Demand;
use crate::prefix_index;
use crate::prefix_index::CacheLocation;
use crate::prefix_index::CachedPrefix;
use crate::prefix_index::PrefixIndex;
use crate::prefix_index::PrefixKey;
use crate::shard;
use crate::unresponsive::RequestId;
use crate::unresponsive::UnresponsiveDetector;
use crate::upstream;
use crate::upstream::Fleet;
use crate::upstream::Upstream;
use crate::upstream_load::UpstreamLoad;
use crate::upstream_load::UpstreamLoads;
use state::time::Instant;

/// Counts the prompt tokens that an engine reads in a millisecond: engines of this class read 62 by
/// themselves, and a piece of 4,096 takes 93 ms with the steps of other answers in between.
const READ_TOKENS_PER_MS: u64 = 45;
/// Gives how much longer a request may wait for an engine with the newest weights, in
/// milliseconds: a fifth of the second within which a long answer should begin, as an answer on
/// older weights is worth a fifth less, and as much again because it may be read twice.
const NEWEST_MS: u64 = 400;
/// Gives how much one more running request slows the others down, in milliseconds of waiting.
const RUNNING_MS: u64 = 3;
/// Gives how long what other hosts have under way counts, in milliseconds.
const LOAD_AGE_MS: u64 = 1_000;
/// Gives how long an upstream that refused a request gets no other, in milliseconds.
const REFUSED_MS: u64 = 250;
/// Gives the time from when a prompt is read until its answer reaches the caller's host, in
/// milliseconds: an engine's first token, a step of its batch and the way.
const FIRST_MS: u64 = 200;
/// Bounds the reading that may be ahead of a long prompt that cannot be in time, in milliseconds,
/// so that those which can be in time go first.
const ROOM_LATE_MS: u64 = 100;
/// Gives the share of the engines that must have little to read before a late prompt takes one of
/// them, in percent; the last idle engines are for prompts that can be in time.
const SPARE_PERCENT: usize = 20;
/// Bounds the part of an engine's memory that long prompts under way may fill, in percent; the rest
/// is for short prompts and for what answers add.
const LONG_PERCENT: u64 = 85;
/// Gives the longer wait that an open connection is worth, as a divisor of the time left until the
/// answer should begin: a new connection costs a round trip at the upstream and a handshake, and a
/// twentieth of the time does not make an answer late.
const CONNECTION_DIVISOR: u64 = 20;
/// Bounds the engines that are weighed for a long prompt, the first in its order, so that a choice
/// costs no more in a larger fleet; as many as a shard has.
const WEIGHED: usize = shard::UPSTREAMS_PER_SHARD;
/// Gives the share of a prompt's reading that fetching it takes, as a divisor.
const FETCH_DIVISOR: u64 = 8;

/// Bounds ejections: three failures in a row are rarely chance where one answer in seven fails; a
/// pause ends in time for an upstream that was started again, and doubles while it is still down;
/// two fifths of the upstreams stay, since a fleet that fails as a whole is not to be left.
const EJECTION: Policy = Policy {
    failures_to_eject: 3,
    ejection_ms: 500,
    ejection_limit_ms: 4_000,
    probe_timeout_ms: 1_000,
    max_ejected_percent: 60,
};

/// Names a request under way.
#[derive(Clone, Debug)]
pub struct InFlight {
    id: String,
    long_prompt_tokens: u64,
    prefix: Option<PrefixKey>,
    request_id: RequestId,
    tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    long_prompt_tokens: u64,
    refused: Option<Instant>,
    running: u32,
    pending_prefill_tokens: u64,
    weights: BTreeMap<String, u64>,
}

impl Seen {
    /// Returns what this host has under way.
    fn load(&self, last_byte_age_ms: Option<u64>) -> UpstreamLoad {
        UpstreamLoad {
            long_prompt_tokens: self.long_prompt_tokens,
            last_byte_age_ms,
            running: self.running,
            pending_prefill_tokens: self.pending_prefill_tokens,
        }
    }
}

/// Tells where a shared prompt is expected, as seen from an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cached {
    Elsewhere,
    Here,
    Nowhere,
}

/// Chooses upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    breaker: CircuitBreaker,
    grants: Vec<u64>,
    prefix_index: PrefixIndex,
    others: (Instant, UpstreamLoads),
    seen: BTreeMap<String, Seen>,
    unresponsive: UnresponsiveDetector,
}

impl Dispatcher {
    /// Returns a dispatch that has seen nothing; `seed` fixes the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            breaker: CircuitBreaker::new(EJECTION, seed),
            grants: Vec::new(),
            prefix_index: PrefixIndex::default(),
            others: Default::default(),
            seen: BTreeMap::new(),
            unresponsive: UnresponsiveDetector::default(),
        }
    }

    /// Forgets upstreams that are gone.
    pub fn sync(&mut self, fleet: &Fleet) {
        let ids: Vec<&String> = fleet.upstreams.iter().map(|u| &u.id).collect();
        self.breaker.sync(ids.iter().map(|id| (*id).clone()));
        self.seen
            .retain(|id, seen| seen.running > 0 || ids.contains(&id));
        self.unresponsive
            .retain(|id| ids.iter().any(|known| *known == id));
    }

    /// Returns where a request goes.
    ///
    /// # Errors
    ///
    /// Returns why no upstream takes it.
    pub fn choose(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        demand: &Demand,
    ) -> Result<Choice, Refusal> {
        let ready = self.ready(now, fleet, demand);
        let upstream = self.pick(now, &ready, demand)?.clone();
        let expected = self.candidate(now, &upstream, demand);
        let _ = self.breaker.admit(now, &upstream.id);
        let weights = demand
            .model
            .as_ref()
            .map(|model| self.weights(&upstream, model));
        let prefix = weights.and_then(|weights| demand.prefix_key(weights));
        let store = prefix.as_ref();
        let store = store.and_then(|prefix| prefix_index::store_for(&demand.stores, prefix));
        let fetch_from = prefix.as_ref().and_then(|prefix| {
            let peer = self.source(now, fleet, demand, &upstream, prefix);
            peer.or(store)
        });
        let saves = prefix.filter(|_| store.is_some());
        let saves = saves.is_some_and(|prefix| self.prefix_index.claim_save(now, &prefix));
        Ok(Choice {
            backlog_ms: expected.backlog_ms,
            fetch_from,
            assignment_id: None,
            rank: match (&demand.shared_prefix, demand.first_byte_left_ms > FIRST_MS) {
                (None, _) => Rank::Normal,
                (Some(_), true) => Rank::First,
                (Some(_), false) => Rank::Last,
            },
            prefill_ms: expected.prefill_ms,
            save_to: store.filter(|_| saves),
            upstream,
            weights,
        })
    }

    /// Notes that a request was sent, and returns what its further events are noted with.
    pub fn record_sent(&mut self, now: Instant, choice: &Choice, demand: &Demand) -> InFlight {
        self.grants.extend(choice.assignment_id);
        let id = choice.upstream.id.clone();
        let cached = self.cached(now, &choice.upstream, demand);
        let tokens = reading_tokens(demand, cached);
        let seen = self.seen.entry(id.clone()).or_default();
        let long_prompt_tokens = demand
            .shared_prefix
            .as_ref()
            .map_or(0, |_| demand.prompt_tokens);
        seen.long_prompt_tokens += long_prompt_tokens;
        seen.running += 1;
        seen.pending_prefill_tokens += tokens;
        let work_ms = 2 * self.load(now, &id).pending_prefill_tokens / READ_TOKENS_PER_MS;
        let request_id = self.unresponsive.record_sent(now, id.clone(), work_ms);
        InFlight {
            id,
            long_prompt_tokens,
            prefix: choice
                .weights
                .and_then(|weights| demand.prefix_key(weights)),
            request_id,
            tokens,
        }
    }

    /// Returns the choices of the leading host by which requests were sent since it was asked last;
    /// what this host has under way covers them.
    pub fn take_assignment_ids(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.grants)
    }

    /// Returns what this host has under way at upstreams.
    pub fn loads(&self, now: Instant) -> UpstreamLoads {
        let busy = self.seen.iter().filter(|(_, seen)| seen.running > 0);
        let load = |(id, seen): (&String, &Seen)| {
            let last_byte_age_ms = self.unresponsive.last_byte_age_ms(now, id);
            (id.clone(), seen.load(last_byte_age_ms))
        };
        busy.map(load).collect()
    }

    /// Notes what other hosts have under way at upstreams.
    pub fn set_other_loads(&mut self, now: Instant, others: UpstreamLoads) {
        for (id, load) in &others {
            if let Some(quiet) = load.last_byte_age_ms {
                self.unresponsive.record_remote_byte(now.before(quiet), id);
            }
        }
        self.others = (now, others);
    }

    /// Notes where other hosts have seen shared prompts.
    pub fn record_remote_prefixes(&mut self, now: Instant, cached_prefixes: Vec<CachedPrefix>) {
        self.prefix_index.record_remote(now, cached_prefixes);
        self.prefix_index.expire(now);
    }

    /// Returns where this host has seen shared prompts since it was asked last.
    pub fn take_prefix_updates(&mut self, now: Instant) -> Vec<CachedPrefix> {
        self.prefix_index.take_updates(now)
    }

    /// Has what this host has seen of shared prompts told once more, as it was told in vain or to
    /// a host that no longer leads.
    pub fn resend_prefix_updates(&mut self, now: Instant) {
        self.prefix_index.resend_updates(now);
    }

    /// Notes the head of an answer.
    pub fn record_answer_head(&mut self, now: Instant, run: &mut InFlight) {
        self.record_byte(now, run);
        self.unresponsive.record_ended(&run.id, run.request_id);
        if let Some(seen) = self.seen.get_mut(&run.id) {
            seen.pending_prefill_tokens = seen.pending_prefill_tokens.saturating_sub(run.tokens);
            run.tokens = 0;
        }
    }

    /// Notes that the upstream has read the request's prompt, since it began to answer.
    pub fn record_prefill(&mut self, now: Instant, run: &mut InFlight) {
        if let Some(prefix) = run.prefix.take() {
            let location = CacheLocation::Engine(run.id.clone());
            self.prefix_index
                .record_local(now, CachedPrefix { location, prefix });
        }
    }

    /// Notes a byte of an answer.
    pub fn record_byte(&mut self, now: Instant, run: &InFlight) {
        self.unresponsive.record_byte(now, &run.id);
    }

    /// Notes the version of an engine's weights as an answer gave it.
    pub fn record_weights(&mut self, run: &InFlight, model: impl Into<String>, version: u64) {
        if let Some(seen) = self.seen.get_mut(&run.id) {
            let known = seen.weights.entry(model.into()).or_default();
            *known = version.max(*known);
        }
    }

    /// Notes that the upstream refused the request without running it.
    pub fn record_refusal(&mut self, now: Instant, run: &InFlight) {
        if let Some(seen) = self.seen.get_mut(&run.id) {
            seen.refused = Some(now);
        }
    }

    /// Notes that the request failed at the upstream, and returns whether that ejected it.
    pub fn record_failure(&mut self, now: Instant, run: &InFlight) -> bool {
        self.breaker.record_failure(now, run.id.clone())
    }

    /// Notes that the upstream served the request.
    pub fn record_success(&mut self, run: &InFlight) {
        self.breaker.record_success(&run.id);
    }

    /// Notes that a request is no longer under way.
    pub fn record_end(&mut self, run: &InFlight) {
        self.unresponsive.record_ended(&run.id, run.request_id);
        if let Some(seen) = self.seen.get_mut(&run.id) {
            seen.long_prompt_tokens = seen
                .long_prompt_tokens
                .saturating_sub(run.long_prompt_tokens);
            seen.running = seen.running.saturating_sub(1);
            seen.pending_prefill_tokens = seen.pending_prefill_tokens.saturating_sub(run.tokens);
        }
    }

    /// Returns whether an upstream would take a request now, without sending it there.
    pub fn can_place(&self, now: Instant, fleet: &Fleet, demand: &Demand) -> bool {
        let ready = self.ready(now, fleet, demand);
        self.pick(now, &ready, demand).is_ok()
    }

    /// Returns whether the upstream of a request answers nobody.
    pub fn is_unresponsive(&self, now: Instant, run: &InFlight) -> bool {
        self.unresponsive.is_unresponsive(now, &run.id)
    }

    /// Returns whether the upstream's weights may still serve the request.
    fn is_current(&self, fleet: &Fleet, upstream: &Upstream, demand: &Demand) -> bool {
        let floor = demand.model.as_ref().and_then(|model| {
            let floor = fleet.floors.get(model)?;
            Some((self.weights(upstream, model), *floor))
        });
        let exact = demand.model.as_ref().zip(demand.exact_weights);
        floor.is_none_or(|(weights, floor)| weights >= floor)
            && exact.is_none_or(|(model, exact)| self.weights(upstream, model) == exact)
    }

    /// Returns the upstreams of a service that take no work from this host for now.
    pub fn unusable(&self, now: Instant, fleet: &Fleet, service: &str) -> Vec<String> {
        let listed = fleet.upstreams.iter();
        let of_service = listed.filter(|upstream| upstream.service == service);
        let avoided = of_service.filter(|upstream| !self.is_usable(now, &upstream.id));
        avoided.map(|upstream| upstream.id.clone()).collect()
    }

    fn is_usable(&self, now: Instant, id: &str) -> bool {
        let refused = self.seen.get(id).and_then(|seen| seen.refused);
        !matches!(self.breaker.state(now, id), State::Open(_))
            && !self.unresponsive.is_unresponsive(now, id)
            && refused.is_none_or(|at| now.since(at) > REFUSED_MS)
    }

    /// Returns the upstreams that may take a request: those that look sound or, where none does,
    /// all that are listed as ready and have not failed the request. For a long prompt they are
    /// among the first in its order.
    fn ready<'a>(&self, now: Instant, fleet: &'a Fleet, demand: &Demand) -> Vec<&'a Upstream> {
        let takes = |upstream: &&Upstream| {
            upstream.service == demand.service
                && upstream.standing == upstream::Standing::Ready
                && !demand.tried.contains(&upstream.id)
                && self.is_current(fleet, upstream, demand)
        };
        let listed: Vec<&Upstream> = fleet.upstreams.iter().filter(takes).collect();
        let listed = match &demand.shared_prefix {
            Some((prefix_id, _)) => affinity::top_ranked(listed, prefix_id, WEIGHED),
            None => listed,
        };
        let is_sound = |upstream: &&Upstream| self.is_usable(now, &upstream.id);
        let sound: Vec<&Upstream> = listed.iter().copied().filter(is_sound).collect();
        match sound.is_empty() {
            false => sound,
            true => listed,
        }
    }

    /// Picks the upstream of a request.
    ///
    /// A long prompt goes where its answer begins in time, first where it was read before, since
    /// each engine that reads it as well drops another prompt for it. A late one goes where little
    /// is ahead of it, while enough engines have little to read. Both go to the newest weights
    /// first. A short one goes to the newest weights, unless work waits much longer there.
    fn pick<'a>(
        &self,
        now: Instant,
        ready: &[&'a Upstream],
        demand: &Demand,
    ) -> Result<&'a Upstream, Refusal> {
        let has_newest = |upstream: &Upstream| {
            let model = demand.model.as_ref();
            model.is_none_or(|model| self.weights(upstream, model) >= demand.newest_weights)
        };
        let (newest, older): (Vec<&Upstream>, Vec<&Upstream>) =
            ready.iter().partition(|upstream| has_newest(upstream));
        let candidates = |upstreams: &[&Upstream]| -> Vec<Candidate> {
            let candidate = |upstream: &&Upstream| self.candidate(now, upstream, demand);
            upstreams.iter().map(candidate).collect()
        };
        let (new, old) = (candidates(&newest), candidates(&older));
        let Some(least) = new.iter().chain(&old).map(|c| c.backlog_ms).min() else {
            return Err(Refusal::NoUpstream);
        };
        if least > demand.left_ms {
            return Err(Refusal::TooLate);
        }
        if let Some((prefix_id, _)) = &demand.shared_prefix {
            let first = |has_room: &dyn Fn(&Candidate) -> bool| {
                let place =
                    affinity::first_fit(&new, prefix_id, has_room).map(|place| newest[place]);
                place.or_else(|| Some(older[affinity::first_fit(&old, prefix_id, has_room)?]))
            };
            let in_time = |candidate: &Candidate| {
                fits(candidate, demand) && begins_in_time(candidate, demand)
            };
            let cached_prefix = |candidate: &Candidate| candidate.has_prefix && in_time(candidate);
            let is_idle = |candidate: &Candidate| candidate.backlog_ms <= ROOM_LATE_MS;
            let soon = |candidate: &Candidate| fits(candidate, demand) && is_idle(candidate);
            let idle = new.iter().chain(&old).filter(|c| is_idle(c)).count();
            let spares = idle * 100 > ready.len() * SPARE_PERCENT;
            let place = first(&cached_prefix).or_else(|| first(&in_time));
            let place = place.or_else(|| first(&soon).filter(|_| spares));
            return place.ok_or(Refusal::Busy);
        }
        let backlog = |candidates: &[Candidate]| candidates.iter().map(|c| c.backlog_ms).min();
        let keeps_up = match (backlog(&new), backlog(&old)) {
            (Some(new), Some(old)) => new <= old + NEWEST_MS,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let (among, candidates) = match keeps_up {
            false if new.is_empty() => (older, old),
            false => (ready.to_vec(), candidates(ready)),
            true => (newest, new),
        };
        let place = affinity::least_loaded_of_sample(&candidates, demand.random);
        let place = place.ok_or(Refusal::NoUpstream)?;
        let slack_ms = demand.first_byte_left_ms / CONNECTION_DIVISOR;
        Ok(among[affinity::prefer_connected(&candidates, place, slack_ms)])
    }

    /// Returns what all hosts have under way at an upstream.
    fn load(&self, now: Instant, id: &str) -> UpstreamLoad {
        let own = self.seen.get(id).map(|seen| seen.load(None));
        let own = own.unwrap_or_default();
        let fresh = now.since(self.others.0) <= LOAD_AGE_MS;
        let others = self.others.1.get(id).copied().filter(|_| fresh);
        let others = others.unwrap_or_default();
        UpstreamLoad {
            long_prompt_tokens: own.long_prompt_tokens + others.long_prompt_tokens,
            last_byte_age_ms: None,
            running: own.running + others.running,
            pending_prefill_tokens: own.pending_prefill_tokens + others.pending_prefill_tokens,
        }
    }

    fn candidate(&self, now: Instant, upstream: &Upstream, demand: &Demand) -> Candidate {
        let load = self.load(now, &upstream.id);
        let running_ms = u64::from(load.running) * RUNNING_MS;
        let cached = self.cached(now, upstream, demand);
        Candidate {
            backlog_ms: load.pending_prefill_tokens / READ_TOKENS_PER_MS + running_ms,
            connected: demand.connected.contains(&upstream.address),
            has_prefix: cached == Cached::Here,
            id: upstream.id.clone(),
            long_prompt_tokens: load.long_prompt_tokens,
            same_domain: upstream.domain == demand.domain,
            prefill_ms: reading_tokens(demand, cached) / READ_TOKENS_PER_MS,
        }
    }

    /// Returns where a request's shared prompt is expected, as seen from an engine.
    fn cached(&self, now: Instant, upstream: &Upstream, demand: &Demand) -> Cached {
        let model = demand.model.as_ref();
        let weights = model.map(|model| self.weights(upstream, model));
        let Some(prefix) = weights.and_then(|weights| demand.prefix_key(weights)) else {
            return Cached::Nowhere;
        };
        let holders = self.prefix_index.engines(now, &prefix);
        match (holders.contains(&upstream.id.as_str()), holders.is_empty()) {
            (true, _) => Cached::Here,
            (false, false) => Cached::Elsewhere,
            (false, true) => Cached::Nowhere,
        }
    }

    fn weights(&self, upstream: &Upstream, model: &str) -> u64 {
        let listed = upstream.weights.get(model).copied().unwrap_or_default();
        let learned = self
            .seen
            .get(&upstream.id)
            .and_then(|seen| seen.weights.get(model).copied());
        listed.max(learned.unwrap_or_default())
    }

    /// Returns the engine from which another fetches a shared prompt that it may lack: one that
    /// read it for the same weights, in the same failure domain first.
    ///
    /// An engine that has the prompt fetches nothing, and one that lacks it gets it in a fraction
    /// of the time of reading it. One that ends its work before it loads has its prompts until
    /// then.
    fn source(
        &self,
        now: Instant,
        fleet: &Fleet,
        demand: &Demand,
        chosen: &Upstream,
        prefix: &PrefixKey,
    ) -> Option<SocketAddr> {
        let holds = |id: &&str| {
            let upstream = fleet.upstreams.iter().find(|upstream| upstream.id == *id)?;
            let model = demand.model.as_ref()?;
            let fits = upstream.id != chosen.id
                && upstream.service == chosen.service
                && upstream.standing != upstream::Standing::Leaving
                && self.weights(upstream, model) == prefix.weights
                && self.is_usable(now, id);
            fits.then_some(upstream)
        };
        let engines = self.prefix_index.engines(now, prefix);
        let cached_prefix: Vec<&Upstream> = engines.iter().filter_map(holds).collect();
        let same_domain = cached_prefix
            .iter()
            .find(|upstream| upstream.domain == chosen.domain);
        let best = same_domain.or(cached_prefix.first());
        best.map(|upstream| upstream.address)
    }
}

/// Counts the tokens that an engine would read for a request, those that it would fetch from
/// another as the reading that takes as long.
fn reading_tokens(demand: &Demand, cached: Cached) -> u64 {
    let shared = demand
        .shared_prefix
        .as_ref()
        .map_or(0, |(_, tokens)| *tokens);
    let own = demand.prompt_tokens.saturating_sub(shared);
    match cached {
        Cached::Elsewhere => own + shared / FETCH_DIVISOR,
        Cached::Here => own,
        Cached::Nowhere => demand.prompt_tokens,
    }
}

/// Returns whether a long prompt fits into a candidate's memory beside those under way; an engine
/// that holds more puts answers back and drops the prompts that later requests share.
fn fits(candidate: &Candidate, demand: &Demand) -> bool {
    let held = candidate.long_prompt_tokens;
    let most = |memory: u64| memory * LONG_PERCENT / 100;
    held == 0
        || demand
            .memory_tokens
            .is_none_or(|memory| held + demand.prompt_tokens <= most(memory))
}

/// Returns whether an answer that a candidate makes is expected to begin in time.
fn begins_in_time(candidate: &Candidate, demand: &Demand) -> bool {
    candidate.backlog_ms + candidate.prefill_ms + FIRST_MS <= demand.first_byte_left_ms
}
