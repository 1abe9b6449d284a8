//! What [`Dispatcher`] records of silent upstreams.

use crate::demand::Demand;
use crate::dispatch::Dispatcher;
use crate::load::silent::Change;
use crate::load::silent::Evidence;
use crate::load::silent_reports::News;
use crate::load::silent_reports::Report;
use crate::local_state::InFlight;
use crate::upstream::Fleet;
use crate::upstream::Upstream;
use state::time::Instant;

impl Dispatcher {
    /// Suspects the upstreams that have become unresponsive, and returns those of which it must be
    /// checked now whether they accept a connection.
    pub fn due_checks(&mut self, now: Instant) -> Vec<String> {
        for id in self.unresponsive.unresponsive(now) {
            self.suspect(now, now, &id, Evidence::Idle);
        }
        let busy = self.local.iter().filter(|(_, local)| local.has_requests());
        let quiet = busy.filter(|(id, _)| self.unresponsive.needs_check(now, id));
        let quiet = quiet.filter(|(id, _)| self.is_watched(id));
        let quiet = quiet.map(|(id, _)| id.clone()).collect();
        self.silent.due_checks(now, quiet)
    }

    /// Records evidence against an upstream whose silence is watched.
    fn suspect(&mut self, now: Instant, sent_at: Instant, id: &str, evidence: Evidence) {
        if self.is_watched(id) {
            self.silent.suspect(now, sent_at, id, evidence);
        }
    }

    /// Returns whether the silence of an upstream is watched: its service tells its load.
    fn is_watched(&self, id: &str) -> bool {
        let service = self.silent.service(id);
        service.is_some_and(|service| self.tells_load(service))
    }

    /// Records whether an upstream accepted a connection that was begun at `begun_at`.
    pub fn record_check(&mut self, now: Instant, begun_at: Instant, id: &str, accepted: bool) {
        let is_lost = !accepted && self.unresponsive.was_heard_after(begun_at, id);
        if is_lost && !self.silent.has_evidence(id) {
            return;
        }
        if self.silent.record_check(now, begun_at, id, accepted) {
            self.unresponsive.record_recovery(id);
        }
    }

    /// Records that the upstream accepted no connection for the request.
    pub fn record_unreachable(&mut self, now: Instant, in_flight: &InFlight) {
        let (sent_at, id) = (in_flight.sent_at, &in_flight.upstream_id);
        self.suspect(now, sent_at, id, Evidence::Unreachable);
    }

    /// Records that the request is given up because no answer came.
    pub fn record_idle(&mut self, now: Instant, in_flight: &InFlight) {
        self.record_failure(now, in_flight);
        let id = &in_flight.upstream_id;
        if self.unresponsive.unresponsive(now).contains(id) {
            self.suspect(now, now, id, Evidence::Idle);
        }
    }

    /// Records that the answer of the request stalled.
    pub fn record_stall(&mut self, now: Instant, in_flight: &InFlight) {
        let id = &in_flight.upstream_id;
        if self.unresponsive.is_quiet(now, id) {
            self.suspect(now, now, id, Evidence::Idle);
        }
    }

    /// Returns whether the upstream of a request in flight is suspected since the request was sent.
    pub fn is_silent(&self, in_flight: &InFlight) -> bool {
        self.silent
            .is_silent_for(in_flight.sent_at, &in_flight.upstream_id)
    }

    /// Replaces what the leading host published in answer to a request sent at `asked_at`.
    pub fn set_silent_news(&mut self, now: Instant, asked_at: Instant, fleet: &Fleet, news: &News) {
        for id in self.silent.set_news(now, asked_at, fleet, news) {
            self.unresponsive.record_recovery(&id);
        }
    }

    /// Returns what this host reports of silent upstreams.
    pub fn silent_report(&mut self, now: Instant) -> Report {
        self.silent.report(now)
    }

    /// Returns the upstreams that are suspected to be silent.
    pub fn suspected(&self) -> Vec<String> {
        self.silent.suspected().cloned().collect()
    }

    /// Takes the changes of what this host suspects on its own evidence.
    pub fn take_silent_changes(&mut self) -> Vec<Change> {
        self.silent.take_changes()
    }

    /// Returns the suspected one of these upstreams if there is one, because it is due for a trial
    /// that other upstreams would win otherwise, or else all. A request that was moved is no trial.
    pub(crate) fn trial_or_all<'a>(
        &self,
        usable: Vec<&'a Upstream>,
        demand: &Demand,
    ) -> Vec<&'a Upstream> {
        let mut upstreams = usable.iter().filter(|_| demand.tried.is_empty());
        match upstreams.find(|upstream| self.silent.is_suspected(&upstream.id)) {
            None => usable,
            Some(trial) => vec![*trial],
        }
    }

    /// Ends the suspicion of an upstream that sent this host a byte.
    pub(crate) fn end_suspicion(&mut self, now: Instant, id: &str) {
        if self.silent.record_byte(now, id) {
            self.unresponsive.record_recovery(id);
        }
    }

    /// Ends the suspicion of an upstream that sent another host a byte at `at`.
    pub(crate) fn end_suspicion_elsewhere(&mut self, now: Instant, at: Instant, id: &str) {
        if self.silent.record_remote_byte(now, at, id) {
            self.unresponsive.record_recovery(id);
        }
    }
}
