//! The upstream of a request among those that may take it, as [`Dispatcher`] picks it.

use crate::affinity;
use crate::affinity::Candidate;
use crate::choice::Refusal;
use crate::demand::Demand;
use crate::dispatch::Dispatcher;
use crate::prefill;
use crate::upstream::Upstream;
use state::time::Instant;

/// How much longer a request may wait for an engine with the newest weights, in milliseconds. A
/// long answer should begin within a second, and an answer on older weights is worth a fifth less,
/// which makes 200 ms; as much again because its prompt may have to be prefilled twice.
const NEWEST_WEIGHTS_WAIT_MS: u64 = 400;
/// Backlog up to which an engine counts as idle, in milliseconds of prefill. A long prompt that
/// cannot begin in time goes only to an idle engine, so that those which can go first.
const IDLE_BACKLOG_MS: u64 = 100;
/// Share of the engines that must be idle before a late prompt takes one of them, in percent; the
/// last idle engines are kept for prompts that can begin in time.
const RESERVED_IDLE_PERCENT: usize = 20;
/// Longer wait that an idle connection is worth, as a divisor of the time left until the answer
/// should begin. A new connection costs a round trip and a handshake at the upstream; a twentieth
/// of the time does not make an answer late.
const CONNECTED_SLACK_DIVISOR: u64 = 20;
/// Later beginning that an engine with the prefix is worth where engines differ, as a divisor of
/// the time left until the answer should begin.
const HOME_SLACK_DIVISOR: u64 = 4;
/// Time that a new connection takes, in milliseconds: a round trip and a handshake.
const NEW_CONNECTION_MS: u64 = 5;

impl Dispatcher {
    /// Picks the upstream of a request.
    ///
    /// A long prompt goes to an engine where its answer begins in time, preferably one that has the
    /// prefix cached, because each further engine that prefills it evicts another prefix. A prompt
    /// that is late everywhere goes to an idle engine, while enough engines are idle. Both prefer
    /// the newest weights. A short prompt goes to the newest weights, unless the
    /// backlog there is much longer, and among engines with about the same backlog to the one that
    /// its prefix names.
    pub(crate) fn pick<'a>(
        &self,
        now: Instant,
        eligible: &[&'a Upstream],
        demand: &Demand,
    ) -> Result<&'a Upstream, Refusal> {
        let has_newest = |upstream: &Upstream| {
            let model = demand.model.as_ref();
            model.is_none_or(|model| self.weights(upstream, model) >= demand.newest_weights)
        };
        let (newest, older): (Vec<&Upstream>, Vec<&Upstream>) =
            eligible.iter().partition(|upstream| has_newest(upstream));
        let holders = self.holders(now, eligible, demand);
        let candidates = |upstreams: &[&Upstream]| -> Vec<Candidate> {
            let candidate = |upstream: &&Upstream| self.candidate(now, upstream, demand, &holders);
            upstreams.iter().map(candidate).collect()
        };
        let (new, old) = (candidates(&newest), candidates(&older));
        let Some(min_backlog_ms) = new.iter().chain(&old).map(|c| c.backlog_ms).min() else {
            return Err(Refusal::NoUpstream);
        };
        if min_backlog_ms > demand.left_ms {
            return Err(Refusal::TooLate);
        }
        if let Some((prefix_id, _)) = &demand.shared_prefix {
            let first = |has_room: &dyn Fn(&Candidate) -> bool| {
                let upstream = affinity::first_fit(&new, prefix_id, has_room).map(|i| newest[i]);
                upstream.or_else(|| Some(older[affinity::first_fit(&old, prefix_id, has_room)?]))
            };
            let model = self.model(&demand.service);
            let in_time = |candidate: &Candidate| {
                prefill::fits(candidate, demand)
                    && prefill::begins_in_time(candidate, demand, &model)
            };
            let cached_in_time = |candidate: &Candidate| candidate.has_prefix && in_time(candidate);
            let is_idle = |candidate: &Candidate| candidate.backlog_ms <= IDLE_BACKLOG_MS;
            let idle_fit =
                |candidate: &Candidate| prefill::fits(candidate, demand) && is_idle(candidate);
            let idle = new.iter().chain(&old).filter(|c| is_idle(c)).count();
            let enough_idle = idle * 100 > eligible.len() * RESERVED_IDLE_PERCENT;
            let first_ms = |candidates: &[Candidate]| {
                let in_time = candidates.iter().filter(|candidate| in_time(candidate));
                in_time.map(|candidate| candidate.start_ms).min()
            };
            let first_ms = first_ms(&new).or_else(|| first_ms(&old));
            let first_ms = first_ms.filter(|_| self.paces.is_uneven(now, &demand.service));
            let limit_ms = first_ms.map(|ms| ms + demand.first_byte_left_ms / HOME_SLACK_DIVISOR);
            let near = |candidate: &Candidate| {
                in_time(candidate)
                    && limit_ms.is_some_and(|limit_ms| candidate.start_ms <= limit_ms)
            };
            let cached_near = |candidate: &Candidate| candidate.has_prefix && near(candidate);
            let upstream = first(&cached_near).or_else(|| first(&near));
            let upstream = upstream.or_else(|| first(&cached_in_time));
            let upstream = upstream.or_else(|| first(&in_time));
            let upstream = upstream.or_else(|| first(&idle_fit).filter(|_| enough_idle));
            return upstream.ok_or(Refusal::Busy);
        }
        let backlog = |candidates: &[Candidate]| candidates.iter().map(|c| c.backlog_ms).min();
        let prefers_newest = match (backlog(&new), backlog(&old)) {
            (Some(new), Some(old)) => {
                new <= old + NEWEST_WEIGHTS_WAIT_MS
                    && self.newest_take(now, &newest, &older, demand)
            }
            (Some(_), None) => true,
            (None, _) => false,
        };
        let (upstreams, candidates) = match prefers_newest {
            false if new.is_empty() || self.has_line(demand) => (older, old),
            false => (eligible.to_vec(), candidates(eligible)),
            true => (newest, new),
        };
        let is_uneven = self.paces.is_uneven(now, &demand.service);
        let is_sampled = is_uneven || self.is_loaded(now, &upstreams, demand);
        let index = match is_sampled {
            false => affinity::least_loaded_of_sample(&candidates, demand.random),
            true => {
                affinity::first_of_weighted_sample(&candidates, demand.random, NEW_CONNECTION_MS)
            }
        };
        let index = index.ok_or(Refusal::NoUpstream)?;
        let slack_ms = demand.first_byte_left_ms / CONNECTED_SLACK_DIVISOR;
        if let Some((prefix_id, tokens)) = &demand.short_prefix {
            let saved_ms = self.model(&demand.service).prefill_ms(*tokens);
            let limit_ms = candidates[index].start_ms + slack_ms + saved_ms;
            if let Some(named) = affinity::first_fit(&candidates, prefix_id, |_| true)
                && candidates[named].start_ms <= limit_ms
            {
                return Ok(upstreams[named]);
            }
        }
        let index = match is_sampled {
            false => affinity::prefer_connected(&candidates, index, slack_ms),
            true => index,
        };
        Ok(upstreams[index])
    }
}
