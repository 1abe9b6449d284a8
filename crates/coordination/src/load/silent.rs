//! Upstreams that a host suspects to be silent: they accept no connection, or send no byte for
//! longer than the work of their requests takes.
//!
//! A suspicion outlasts the requests that raised it. It ends with a byte of the upstream or, if a
//! connection failed after it began, with a connection that is accepted. Until then the host checks
//! again and again whether the upstream accepts a connection, which delays no caller. One that
//! accepts, but was silent on open connections, gets one request at a time as a trial; a request
//! that must run once is never a trial.
//!
//! Hosts share their suspicions through the leading host, see [`crate::load::silent_reports`]. A
//! host to which most upstreams of a service look silent takes itself for cut off and suspects
//! none of them.

use std::collections::BTreeMap;

use strum::IntoStaticStr;

use crate::load::silent_reports::News;
use crate::load::silent_reports::Report;
use crate::unresponsive::RequestId;
use crate::upstream::Fleet;
use state::time::Instant;

/// First pause between two checks of an upstream, in milliseconds; it doubles with each check.
const CHECK_PAUSE_MS: u64 = 100;
/// Longest pause between two checks, in milliseconds, so that an upstream that comes back gets work
/// within a second.
const CHECK_PAUSE_LIMIT_MS: u64 = 400;
/// Pause between two checks of an upstream that is not suspected, in milliseconds.
const QUIET_CHECK_PAUSE_MS: u64 = 1_000;
/// First pause between two trials, in milliseconds; it doubles with each trial.
const TRIAL_PAUSE_MS: u64 = 500;
/// Longest pause between two trials, in milliseconds; each costs a caller about a second.
const TRIAL_PAUSE_LIMIT_MS: u64 = 4_000;
/// Hosts that share the checks of an upstream: where more suspect it, each checks more rarely.
const HOSTS_PER_CHECK: u64 = 4;
/// Age up to which the suspicions of other hosts count, in milliseconds.
const NEWS_MAX_AGE_MS: u64 = 1_000;
/// Time for which a host reports that an upstream answered, in milliseconds; a few polls.
const HEARD_MAX_AGE_MS: u64 = 1_000;
/// Time after which an upstream that accepts connections is no longer suspected if no request came
/// that could be a trial, in milliseconds.
const UNTRIED_LIMIT_MS: u64 = 5_000;

/// What makes a host suspect an upstream.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// It sent no byte in time.
    Idle,
    /// It accepted no connection.
    Unreachable,
}

/// A change of what a host suspects on its own evidence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A suspicion began.
    Began(String, Evidence),
    /// A suspicion ended after this number of milliseconds.
    Ended(String, u64),
}

/// A suspicion on evidence of this host.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    began_at: Instant,
    check_at: Instant,
    check_pause_ms: u64,
    evidence: Evidence,
    /// When the last request or check without an answer was sent, or the suspicion began.
    evidence_at: Instant,
    is_checked: bool,
    /// Since when connections are accepted.
    reachable_since: Option<Instant>,
    trial: Option<RequestId>,
    trial_at: Instant,
    trial_pause_ms: u64,
    was_tried: bool,
}

/// What one host suspects.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    changes: Vec<Change>,
    heard: BTreeMap<String, Instant>,
    own: BTreeMap<String, Suspicion>,
    /// When upstreams that are not suspected were checked.
    quiet_checks: BTreeMap<String, Instant>,
    /// Upstreams that other hosts suspect, with the number of hosts and when this host first knew.
    published: BTreeMap<String, (u32, Instant)>,
    published_at: Instant,
    /// Services of the listed upstreams.
    services: BTreeMap<String, String>,
    /// Number of listed upstreams of each service.
    sizes: BTreeMap<String, usize>,
    /// The upstreams in force as suspected, and since when.
    suspected: BTreeMap<String, Instant>,
}

impl Tracker {
    /// Replaces the listed upstreams, and drops the suspicions of others.
    pub fn sync(&mut self, fleet: &Fleet) {
        let listed = fleet.upstreams.iter();
        self.services = listed.map(|u| (u.id.clone(), u.service.clone())).collect();
        self.sizes.clear();
        for service in self.services.values() {
            *self.sizes.entry(service.clone()).or_default() += 1;
        }
        let services = &self.services;
        self.own.retain(|id, _| services.contains_key(id));
        self.published.retain(|id, _| services.contains_key(id));
    }

    /// Returns the service of a listed upstream.
    pub fn service(&self, id: &str) -> Option<&str> {
        self.services.get(id).map(String::as_str)
    }

    /// Records evidence against an upstream: a request or a check that was sent at `sent_at` and is
    /// still without an answer.
    pub fn suspect(&mut self, now: Instant, sent_at: Instant, id: &str, evidence: Evidence) {
        if !self.services.contains_key(id) {
            return;
        }
        if let Some(suspicion) = self.own.get_mut(id) {
            suspicion.evidence_at = suspicion.evidence_at.max(sent_at);
            if evidence == Evidence::Unreachable {
                suspicion.evidence = evidence;
                suspicion.reachable_since = None;
            }
            return;
        }
        let suspicion = Suspicion {
            began_at: now,
            check_at: now,
            check_pause_ms: CHECK_PAUSE_MS,
            evidence,
            evidence_at: sent_at,
            is_checked: false,
            reachable_since: None,
            trial: None,
            trial_at: now,
            trial_pause_ms: TRIAL_PAUSE_MS,
            was_tried: false,
        };
        self.own.insert(id.to_owned(), suspicion);
        self.changes.push(Change::Began(id.to_owned(), evidence));
        self.refresh(now);
    }

    /// Records a byte of an upstream, and returns whether that ended a suspicion.
    pub fn record_byte(&mut self, now: Instant, id: &str) -> bool {
        if !self.own.contains_key(id) && !self.published.contains_key(id) {
            return false;
        }
        self.heard.insert(id.to_owned(), now);
        self.end(now, id);
        self.refresh(now);
        true
    }

    /// Records that another host got a byte of an upstream at `at`, and returns whether that ended
    /// a suspicion. It says nothing about connections of this host that fail.
    pub fn record_remote_byte(&mut self, now: Instant, at: Instant, id: &str) -> bool {
        let ends = |own: &Suspicion| own.evidence == Evidence::Idle && own.evidence_at < at;
        let ends = self.own.get(id).is_some_and(ends);
        if ends {
            self.end(now, id);
            self.refresh(now);
        }
        ends
    }

    /// Returns the upstreams of which it must be checked now whether they accept a connection:
    /// suspected ones and those in `quiet`. Each check ends with [`Self::record_check`].
    pub fn due_checks(&mut self, now: Instant, mut quiet: Vec<String>) -> Vec<String> {
        self.refresh(now);
        self.quiet_checks
            .retain(|_, at| now.since(*at) < QUIET_CHECK_PAUSE_MS);
        quiet.retain(|id| !self.own.contains_key(id) && !self.quiet_checks.contains_key(id));
        self.quiet_checks
            .extend(quiet.iter().map(|id| (id.clone(), now)));
        let due = |own: &Suspicion| !own.is_checked && now >= own.check_at;
        let due = self.own.iter_mut().filter(|(_, own)| due(own));
        let due = due.map(|(id, own)| {
            own.is_checked = true;
            id.clone()
        });
        due.chain(quiet).collect()
    }

    /// Records whether an upstream accepted a connection that was begun at `begun_at`, and returns
    /// whether that ended the suspicion.
    pub fn record_check(
        &mut self,
        now: Instant,
        begun_at: Instant,
        id: &str,
        accepted: bool,
    ) -> bool {
        let hosts = self.published.get(id).map_or(1, |(hosts, _)| *hosts);
        let Some(own) = self.own.get_mut(id) else {
            if !accepted {
                self.suspect(now, begun_at, id, Evidence::Unreachable);
            }
            return false;
        };
        let share = u64::from(hosts).div_ceil(HOSTS_PER_CHECK).max(1);
        own.is_checked = false;
        own.check_at = now + own.check_pause_ms * share;
        own.check_pause_ms = (2 * own.check_pause_ms).min(CHECK_PAUSE_LIMIT_MS);
        if !accepted {
            own.evidence = Evidence::Unreachable;
            own.evidence_at = own.evidence_at.max(begun_at);
            own.reachable_since = None;
            return false;
        }
        let since = *own.reachable_since.get_or_insert(now);
        let is_untried = !own.was_tried && now.since(since) >= UNTRIED_LIMIT_MS;
        let ends = own.evidence == Evidence::Unreachable || is_untried;
        if ends {
            self.heard.insert(id.to_owned(), now);
            self.end(now, id);
            self.refresh(now);
        }
        ends
    }

    /// Records that a request was sent to an upstream; a trial, if that is suspected.
    pub fn record_sent(&mut self, now: Instant, id: &str, request_id: RequestId) {
        let hosts = self.published.get(id).map_or(1, |(hosts, _)| *hosts);
        let Some(own) = self.own.get_mut(id) else {
            return;
        };
        let share = u64::from(hosts).div_ceil(HOSTS_PER_CHECK).max(1);
        own.trial = Some(request_id);
        own.trial_at = now + own.trial_pause_ms * share;
        own.trial_pause_ms = (2 * own.trial_pause_ms).min(TRIAL_PAUSE_LIMIT_MS);
        own.was_tried = true;
    }

    /// Records that a request is no longer in flight.
    pub fn record_end(&mut self, id: &str, request_id: RequestId) {
        if let Some(own) = self.own.get_mut(id)
            && own.trial == Some(request_id)
        {
            own.trial = None;
        }
    }

    /// Replaces what the leading host published, in answer to a request sent at `asked_at`. Returns
    /// the upstreams whose suspicions that ended.
    pub fn set_news(
        &mut self,
        now: Instant,
        asked_at: Instant,
        fleet: &Fleet,
        news: &News,
    ) -> Vec<String> {
        let id = |index: u32| Some(&fleet.upstreams.get(index as usize)?.id);
        let mut ended = Vec::new();
        for (index, age_ms) in &news.answered {
            let at = asked_at.before(u64::from(*age_ms));
            let is_older = |own: &Suspicion| own.evidence_at < at;
            if let Some(id) = id(*index).filter(|id| self.own.get(*id).is_some_and(is_older)) {
                self.end(now, id);
                ended.push(id.clone());
            }
        }
        let old = std::mem::take(&mut self.published);
        for (index, hosts) in &news.silent {
            if let Some(id) = id(*index) {
                let known_at = old.get(id).map_or(now, |(_, known_at)| *known_at);
                self.published.insert(id.clone(), (*hosts, known_at));
            }
        }
        self.published_at = now;
        self.refresh(now);
        ended
    }

    /// Returns what this host reports to the leading host.
    pub fn report(&mut self, now: Instant) -> Report {
        self.heard
            .retain(|_, at| now.since(*at) <= HEARD_MAX_AGE_MS);
        let age = |at: Instant| u32::try_from(now.since(at)).unwrap_or(u32::MAX);
        let own = self.own.iter();
        let own = own.filter(|(id, _)| self.suspected.contains_key(*id));
        Report {
            heard: self
                .heard
                .iter()
                .map(|(id, at)| (id.clone(), age(*at)))
                .collect(),
            silent: own
                .map(|(id, own)| (id.clone(), age(own.evidence_at)))
                .collect(),
        }
    }

    /// Returns whether this host has evidence of its own against an upstream.
    pub fn has_evidence(&self, id: &str) -> bool {
        self.own.contains_key(id)
    }

    /// Returns whether an upstream is suspected.
    pub fn is_suspected(&self, id: &str) -> bool {
        self.suspected.contains_key(id)
    }

    /// Returns the suspected upstreams.
    pub fn suspected(&self) -> impl Iterator<Item = &String> {
        self.suspected.keys()
    }

    /// Returns whether an upstream is suspected and gets no trial now.
    pub fn is_barred(&self, now: Instant, id: &str) -> bool {
        let may_try = |own: &Suspicion| {
            own.reachable_since.is_some() && own.trial.is_none() && now >= own.trial_at
        };
        self.is_suspected(id) && !self.own.get(id).is_some_and(may_try)
    }

    /// Returns whether an upstream fell silent on a request that was sent at `sent_at`.
    pub fn is_silent_for(&self, sent_at: Instant, id: &str) -> bool {
        self.suspected.get(id).is_some_and(|since| sent_at < *since)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn end(&mut self, now: Instant, id: &str) {
        if let Some(own) = self.own.remove(id) {
            let lasted_ms = now.since(own.began_at);
            self.changes.push(Change::Ended(id.to_owned(), lasted_ms));
        }
    }

    /// Computes which suspicions are in force.
    fn refresh(&mut self, now: Instant) {
        if self.own.is_empty() && self.published.is_empty() {
            self.suspected.clear();
            return;
        }
        if now.since(self.published_at) > NEWS_MAX_AGE_MS {
            self.published.clear();
        }
        let heard = &self.heard;
        let is_heard = |id: &String, known_at: Instant| {
            let at = heard.get(id);
            at.is_some_and(|at| *at >= known_at && now.since(*at) <= NEWS_MAX_AGE_MS)
        };
        let published = self.published.iter();
        let published = published.map(|(id, (_, known_at))| (id, *known_at));
        let published = published.filter(|(id, known_at)| !is_heard(id, *known_at));
        let own = self.own.iter().map(|(id, own)| (id, own.began_at));
        let named: BTreeMap<&String, Instant> = published.chain(own).collect();
        let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
        for service in named.keys().filter_map(|id| self.services.get(*id)) {
            *counts.entry(service).or_default() += 1;
        }
        let is_trusted = |id: &String| {
            let service = self.services.get(id);
            let count = service.and_then(|service| counts.get(service));
            let size = service.and_then(|service| self.sizes.get(service));
            count
                .zip(size)
                .is_some_and(|(count, size)| 2 * count <= *size)
        };
        let trusted = named.into_iter().filter(|(id, _)| is_trusted(id));
        self.suspected = trusted.map(|(id, since)| (id.clone(), since)).collect();
    }
}
