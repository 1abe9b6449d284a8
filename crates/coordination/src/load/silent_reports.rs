//! Pools which upstreams hosts suspect to be silent.
//!
//! The leading host publishes an upstream that two hosts suspect and that sent no host a byte
//! since, so one host that is cut off takes no upstream away from the others. Once a host hears
//! from a published upstream, all learn of it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::upstream::Edition;
use crate::upstream::Fleet;
use state::time::Instant;

/// Hosts that must suspect an upstream before all do.
const HOSTS_TO_PUBLISH: usize = 2;
/// Time without a byte to any host before an upstream is published, in milliseconds; some hosts may
/// have lost their path to one that serves others.
const QUIET_MS: u64 = 500;
/// How long the report of a host counts, in milliseconds; hosts report several times a second.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Time for which it is published that an upstream answered, in milliseconds; a few polls.
const ANSWERED_MAX_AGE_MS: u64 = 1_000;
/// Least time between two computations of what is published, in milliseconds.
const INTERVAL_MS: u64 = 20;

/// What a host reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Upstreams that were suspected and that the host has heard from, with the time since then in
    /// milliseconds.
    pub heard: BTreeMap<String, u32>,
    /// Upstreams that the host suspects, with the age of its last evidence in milliseconds.
    pub silent: BTreeMap<String, u32>,
}

/// What the leading host publishes, by the position of upstreams in the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// Upstreams that were published as silent and have answered, with the time since then in
    /// milliseconds.
    pub answered: Vec<(u32, u32)>,
    /// Silent upstreams, with the number of hosts that suspect them.
    pub silent: Vec<(u32, u32)>,
}

/// Pools the reports of hosts while this host leads.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    answered: BTreeMap<String, Instant>,
    computed_at: Instant,
    edition: Option<Edition>,
    /// Last time that a host heard from an upstream that some host suspected.
    heard: BTreeMap<String, Instant>,
    news: News,
    /// Times of the last evidence, by host and upstream.
    reports: BTreeMap<String, (Instant, BTreeMap<String, Instant>)>,
    silent: BTreeMap<String, u32>,
}

impl Collector {
    /// Replaces the report of a host, and returns the news for the upstreams of `fleet`.
    /// `last_byte` gives the time at which an upstream last sent a byte to any host, if known.
    pub fn exchange(
        &mut self,
        now: Instant,
        host: &str,
        report: &Report,
        fleet: &Fleet,
        last_byte: impl Fn(&str) -> Option<Instant>,
    ) -> News {
        let before = |age_ms: &u32| now.before(u64::from(*age_ms));
        let silent = report.silent.iter();
        let silent: BTreeMap<String, Instant> =
            silent.map(|(id, age)| (id.clone(), before(age))).collect();
        match silent.is_empty() {
            false => self.reports.insert(host.to_owned(), (now, silent)),
            true => self.reports.remove(host),
        };
        for (id, age_ms) in &report.heard {
            let heard = self.heard.entry(id.clone()).or_default();
            *heard = (*heard).max(before(age_ms));
        }
        let is_current = self.edition == Some(fleet.edition)
            && now.since(self.computed_at) < INTERVAL_MS
            && report.heard.is_empty();
        if !is_current {
            self.edition = Some(fleet.edition);
            self.computed_at = now;
            self.compute(now, fleet, last_byte);
        }
        self.news.clone()
    }

    /// Returns the number of upstreams that are published as silent.
    pub fn silent(&self) -> usize {
        self.silent.len()
    }

    fn compute(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        last_byte: impl Fn(&str) -> Option<Instant>,
    ) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) <= REPORT_LIFETIME_MS);
        self.heard
            .retain(|_, at| now.since(*at) <= 2 * REPORT_LIFETIME_MS);
        let mut hosts: BTreeMap<&String, u32> = BTreeMap::new();
        for (id, evidence_at) in self.reports.values().flat_map(|(_, silent)| silent) {
            let heard_at = self.heard.get(id).copied().max(last_byte(id));
            let is_silent = |at: Instant| at < *evidence_at && now.since(at) >= QUIET_MS;
            if heard_at.is_none_or(is_silent) {
                *hosts.entry(id).or_default() += 1;
            }
        }
        hosts.retain(|_, hosts| *hosts as usize >= HOSTS_TO_PUBLISH);
        let silent = hosts.into_iter().map(|(id, hosts)| (id.clone(), hosts));
        let old = std::mem::replace(&mut self.silent, silent.collect());
        for (id, at) in &self.heard {
            let was_silent = old.contains_key(id) || self.answered.contains_key(id);
            if was_silent && !self.silent.contains_key(id) {
                self.answered.insert(id.clone(), *at);
            }
        }
        self.answered
            .retain(|_, at| now.since(*at) <= ANSWERED_MAX_AGE_MS);
        self.news = News::default();
        if self.silent.is_empty() && self.answered.is_empty() {
            return;
        }
        let ids = fleet.upstreams.iter().map(|upstream| &upstream.id);
        for (index, id) in (0..).zip(ids) {
            if let Some(hosts) = self.silent.get(id) {
                self.news.silent.push((index, *hosts));
            }
            if let Some(at) = self.answered.get(id) {
                let age_ms = u32::try_from(now.since(*at)).unwrap_or(u32::MAX);
                self.news.answered.push((index, age_ms));
            }
        }
    }
}
