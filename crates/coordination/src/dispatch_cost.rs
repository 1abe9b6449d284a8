//! The expected cost of a request at each upstream, as [`Dispatcher`] compares it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::affinity::Candidate;
use crate::demand::Demand;
use crate::dispatch::Dispatcher;
use crate::prefill;
use crate::prefill::Availability;
use crate::prefix_index::PrefixKey;
use crate::upstream;
use crate::upstream::Fleet;
use crate::upstream::Upstream;
use crate::upstream_load::UpstreamLoad;
use state::time::Instant;

/// Delay that one more running request causes to the others, in milliseconds of waiting.
const RUNNING_REQUEST_DELAY_MS: u64 = 3;
/// Weight of an upstream whose pace is one percent; one of the usual pace has a hundredth of it.
const EVEN_WEIGHT: u32 = 1_000_000;
/// Age up to which the loads of other hosts count, in milliseconds.
const OTHER_LOADS_MAX_AGE_MS: u64 = 1_000;

/// IDs of the engines that have a shared prefix cached, by weights version.
pub(crate) type Holders<'a> = BTreeMap<u64, Vec<&'a str>>;

/// Returns the time until a slot is free where all are taken: answers are taken to last twice as
/// long as until their first byte.
fn slot_wait_ms(slots: u32, running: u32, first_byte_ms: u64) -> u64 {
    let ahead = u64::from((running + 1).saturating_sub(slots));
    let turn_ms = (2 * first_byte_ms).checked_div(u64::from(slots));
    turn_ms.map_or(0, |turn_ms| turn_ms * ahead)
}

impl Dispatcher {
    /// Returns the load that all hosts cause at an upstream.
    pub(crate) fn load(&self, now: Instant, id: &str) -> UpstreamLoad {
        let own = self.local.get(id).map(|local| local.load(None));
        let own = own.unwrap_or_default();
        let fresh = now.since(self.other_loads.0) <= OTHER_LOADS_MAX_AGE_MS;
        let other_loads = self.other_loads.1.get(id).copied().filter(|_| fresh);
        let other_loads = other_loads.unwrap_or_default();
        UpstreamLoad {
            long_prompt_tokens: own.long_prompt_tokens + other_loads.long_prompt_tokens,
            last_byte_age_ms: None,
            running: own.running + other_loads.running,
            pending_prefill_tokens: own.pending_prefill_tokens + other_loads.pending_prefill_tokens,
        }
    }

    /// Returns the engines that have the request's shared prefix cached, for each weights version
    /// of these upstreams.
    pub(crate) fn holders(
        &self,
        now: Instant,
        upstreams: &[&Upstream],
        demand: &Demand,
    ) -> Holders<'_> {
        let mut holders = Holders::new();
        let Some(model) = demand
            .model
            .as_ref()
            .filter(|_| demand.shared_prefix.is_some())
        else {
            return holders;
        };
        for upstream in upstreams {
            let weights = self.weights(upstream, model);
            holders.entry(weights).or_insert_with(|| {
                let prefix = demand.prefix_key(weights);
                let engines = prefix.map(|prefix| self.prefix_index.engines(now, &prefix));
                engines.unwrap_or_default()
            });
        }
        holders
    }

    /// Returns an upstream with the expected cost of the request there.
    pub(crate) fn candidate(
        &self,
        now: Instant,
        upstream: &Upstream,
        demand: &Demand,
        holders: &Holders<'_>,
    ) -> Candidate {
        let load = self.load(now, &upstream.id);
        let running_ms = u64::from(load.running) * RUNNING_REQUEST_DELAY_MS;
        let model = self.model(&demand.service);
        let availability = self.prefix_availability(upstream, demand, holders);
        let pace = self.paces.get(now, &upstream.id);
        let is_uneven = self.paces.is_uneven(now, &demand.service);
        let slot_wait_ms = match is_uneven || self.has_line(demand) && demand.model.is_some() {
            false => 0,
            true => slot_wait_ms(upstream.slots, load.running, model.first_byte_ms),
        };
        let paced = |ms: u64| ms * u64::from(pace.now_percent) / 100;
        let prefill_ms = model.prefill_ms(load.pending_prefill_tokens);
        let backlog_ms = paced(prefill_ms + running_ms + slot_wait_ms);
        let prefill_ms = paced(model.prefill_ms(prefill::tokens(demand, availability)));
        Candidate {
            backlog_ms,
            connected: demand.connected.contains(&upstream.address),
            has_prefix: availability == Availability::Here,
            id: upstream.id.clone(),
            long_prompt_tokens: load.long_prompt_tokens,
            same_domain: upstream.domain == demand.domain,
            prefill_ms,
            start_ms: match is_uneven && demand.shared_prefix.is_some() {
                false => backlog_ms,
                true => backlog_ms + prefill_ms + paced(model.first_byte_ms),
            },
            weight: EVEN_WEIGHT / u32::from(pace.usual_percent.max(1)),
        }
    }

    /// Returns where a request's shared prefix is expected to be cached, as seen from an engine.
    pub(crate) fn prefix_availability(
        &self,
        upstream: &Upstream,
        demand: &Demand,
        holders: &Holders<'_>,
    ) -> Availability {
        let model = demand.model.as_ref();
        let weights = model.map(|model| self.weights(upstream, model));
        let Some(engines) = weights.and_then(|weights| holders.get(&weights)) else {
            return Availability::Nowhere;
        };
        match (engines.contains(&upstream.id.as_str()), engines.is_empty()) {
            (true, _) => Availability::Here,
            (false, false) => Availability::Elsewhere,
            (false, true) => Availability::Nowhere,
        }
    }

    /// Returns the weights version of an upstream: the newer of the listed one and the one that its
    /// answers named.
    pub(crate) fn weights(&self, upstream: &Upstream, model: &str) -> u64 {
        let listed = upstream.weights.get(model).copied().unwrap_or_default();
        let answered = self
            .local
            .get(&upstream.id)
            .and_then(|local| local.weights.get(model).copied());
        listed.max(answered.unwrap_or_default())
    }

    /// Returns the engine from which the chosen one fetches a shared prefix that it may lack: one
    /// that computed it with the same weights, preferably in the same failure domain.
    ///
    /// An engine that has the prefix fetches nothing, and one that lacks it gets it in a fraction
    /// of the time of its prefill. An engine that finishes its requests before it loads new weights
    /// keeps its prefixes until then.
    pub(crate) fn fetch_source(
        &self,
        now: Instant,
        fleet: &Fleet,
        demand: &Demand,
        chosen: &Upstream,
        prefix: &PrefixKey,
    ) -> Option<SocketAddr> {
        let as_source = |id: &&str| {
            let upstream = fleet.upstreams.iter().find(|upstream| upstream.id == *id)?;
            let model = demand.model.as_ref()?;
            let is_source = upstream.id != chosen.id
                && upstream.service == chosen.service
                && upstream.standing != upstream::Standing::Leaving
                && self.weights(upstream, model) == prefix.weights
                && !demand.tried.contains(&upstream.id)
                && self.is_usable(now, upstream);
            is_source.then_some(upstream)
        };
        let engines = self.prefix_index.engines(now, prefix);
        let sources: Vec<&Upstream> = engines.iter().filter_map(as_source).collect();
        let same_domain = sources
            .iter()
            .find(|upstream| upstream.domain == chosen.domain);
        let source = same_domain.or(sources.first());
        source.map(|upstream| upstream.address)
    }
}
