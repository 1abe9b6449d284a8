//! Learns how long work takes at each upstream, against the others of its service.
//!
//! Upstreams on unlike machines differ for good, and neighbours on a machine slow one down for a
//! fraction of a second. A host sees an upstream too rarely to tell either, so the leading host
//! learns from what upstreams told all hosts. The middle of what an upstream told over seconds is
//! its usual pace, and its last word that of the moment.
//!
//! An upstream may tell wrong figures. Its answers bear them out or not: an upstream whose answers
//! begin much earlier or later than its pace allows is treated as like the others. What remains is
//! bounded, and the requests in flight there weigh against it.
//!
//! A service whose upstreams tell no pace, or are about even, has no paces.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::engine_model::Models;
use crate::engine_model::Sample;
use crate::load::told::Told;
use crate::upstream::Edition;
use crate::upstream::Fleet;
use crate::upstream::Upstream;
use state::time::Instant;

/// Least and greatest pace, in percent; a byte holds it, and it bounds what a wrong one can do.
const RANGE_PERCENT: (u64, u64) = (40, 250);
/// Age up to which a told pace says something of the moment, in milliseconds.
const TOLD_MAX_AGE_MS: u64 = 400;
/// Time after which a service that tells no more paces is treated as even, in milliseconds.
const SERVICE_MAX_AGE_MS: u64 = 10_000;
/// Least time between two computations of the paces, in milliseconds; each host asks as often.
const INTERVAL_MS: u64 = 100;
/// Least time between two told paces of which the usual one is the middle, in milliseconds, so that
/// a neighbour's burst does not outweigh the time before.
const HISTORY_INTERVAL_MS: u64 = 100;
/// Number of told paces of which the usual one is the middle.
const HISTORY_LIMIT: usize = 32;
/// Number of answers that are kept for an upstream.
const ANSWERS_LIMIT: usize = 32;
/// Difference between told paces and answers from which an upstream is not believed, in percent;
/// the times of answers scatter by half as much.
const DISBELIEF_PERCENT: u64 = 250;
/// Difference between upstreams below which they are treated as even, in percent.
const EVEN_PERCENT: u64 = 10;
/// Difference from the published usual pace from which another one is published, in percent, so
/// that the homes of prefixes stay.
const CHANGE_PERCENT: u64 = 15;

/// Time that work takes at an upstream, in percent of what it takes at the others of its service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pace {
    /// At this moment.
    pub now_percent: u16,
    /// Over seconds.
    pub usual_percent: u16,
}

impl Default for Pace {
    /// Returns the pace of an upstream that is like the others.
    fn default() -> Self {
        Self {
            now_percent: 100,
            usual_percent: 100,
        }
    }
}

/// What is known of an upstream.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Times to the first byte of its last answers, in percent of the expected ones.
    answers: VecDeque<u64>,
    /// Paces that it told, some time apart.
    history: VecDeque<u64>,
    /// When the last pace was added to the history.
    kept_at: Instant,
    /// Usual pace as it was last published.
    published: Option<u64>,
    /// The pace that it told last.
    told: Option<(Instant, u64)>,
}

/// Learns the paces of upstreams while this host leads.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    computed_at: Instant,
    edition: Option<Edition>,
    paces: Arc<Vec<Pace>>,
    records: BTreeMap<String, Record>,
    spreads: BTreeMap<String, u64>,
}

impl Learner {
    /// Records what upstreams have told a host.
    pub fn record_told(&mut self, now: Instant, told: &BTreeMap<String, Told>) {
        for (id, told) in told.iter().filter(|(_, told)| told.pace_percent > 0) {
            let (least, most) = RANGE_PERCENT;
            let pace = u64::from(told.pace_percent).clamp(least, most);
            let record = self.records.entry(id.clone()).or_default();
            let is_due = now.since(record.kept_at) >= HISTORY_INTERVAL_MS;
            if is_due || record.history.is_empty() {
                record.kept_at = now;
                push(&mut record.history, pace, HISTORY_LIMIT);
            }
            record.told = Some((now, pace));
        }
    }

    /// Records answers that hosts have seen; `models` says how long they take as a rule.
    pub fn record_samples(&mut self, models: &Models, samples: &[Sample]) {
        for sample in samples {
            let record = self.records.get_mut(&sample.upstream);
            if let Some((model, record)) = models.get(&sample.service).zip(record) {
                let expected_ms = model.first_byte_ms + model.prefill_ms(sample.tokens);
                let percent = sample.first_byte_ms.saturating_mul(100) / expected_ms.max(1);
                push(&mut record.answers, percent, ANSWERS_LIMIT);
            }
        }
    }

    /// Returns the paces of the upstreams of `fleet`, in their order; none if all are even.
    pub fn paces(&mut self, now: Instant, fleet: &Fleet) -> Arc<Vec<Pace>> {
        let is_known = self.edition == Some(fleet.edition);
        if !is_known {
            self.edition = Some(fleet.edition);
            let listed: BTreeSet<&String> = fleet.upstreams.iter().map(|u| &u.id).collect();
            self.records.retain(|id, _| listed.contains(id));
        }
        if !is_known || now.since(self.computed_at) >= INTERVAL_MS {
            self.computed_at = now;
            self.paces = Arc::new(self.compute(now, fleet));
        }
        self.paces.clone()
    }

    /// Returns the usual pace of the slowest upstream of each service that tells paces, in percent
    /// of the fastest, as it was last computed.
    pub fn spreads(&self) -> &BTreeMap<String, u64> {
        &self.spreads
    }

    fn compute(&mut self, now: Instant, fleet: &Fleet) -> Vec<Pace> {
        let middles = self.middles(now, fleet);
        if middles.is_empty() {
            self.spreads.clear();
            return Vec::new();
        }
        let told: BTreeSet<String> = middles
            .keys()
            .map(|service| (*service).to_owned())
            .collect();
        let pace = |upstream: &Upstream| {
            let middle = middles.get(upstream.service.as_str());
            let record = self.records.get_mut(&upstream.id);
            let known = middle.zip(record);
            known.map_or_else(Pace::default, |(middle, record)| record.pace(now, middle))
        };
        let paces: Vec<Pace> = fleet.upstreams.iter().map(pace).collect();
        self.spreads = spreads(fleet, &paces);
        self.spreads.retain(|service, _| told.contains(service));
        match paces.iter().all(|pace| *pace == Pace::default()) {
            false => paces,
            true => Vec::new(),
        }
    }

    /// Returns the middles of the services whose upstreams tell their paces.
    fn middles<'a>(&self, now: Instant, fleet: &'a Fleet) -> BTreeMap<&'a str, Middle> {
        let mut services: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
        for upstream in &fleet.upstreams {
            if let Some(record) = self.records.get(&upstream.id) {
                services.entry(&upstream.service).or_default().push(record);
            }
        }
        let tells = |record: &&Record| {
            let told = record.told;
            told.is_some_and(|(at, _)| now.since(at) < SERVICE_MAX_AGE_MS)
        };
        let middles = services.into_iter().filter_map(|(service, records)| {
            records.iter().copied().find(tells)?;
            let answered = records
                .iter()
                .filter_map(|record| record.answered_percent());
            let told = records.iter().filter_map(|record| record.told_percent());
            let middle = Middle {
                answered_percent: quantile(answered, 2).unwrap_or(100),
                told_percent: quantile(told, 2)?,
            };
            Some((service, middle))
        });
        middles.collect()
    }
}

/// The upstream in the middle of its service.
struct Middle {
    answered_percent: u64,
    told_percent: u64,
}

impl Record {
    /// Returns how early answers begin while nothing delays them, in percent of the expected time;
    /// the first quarter, because every wait only adds to it.
    fn answered_percent(&self) -> Option<u64> {
        quantile(self.answers.iter().copied(), 1)
    }

    fn told_percent(&self) -> Option<u64> {
        quantile(self.history.iter().copied(), 2)
    }

    /// Returns the pace against the upstream in the middle.
    fn pace(&mut self, now: Instant, middle: &Middle) -> Pace {
        let Some(told) = self.told_percent() else {
            return Pace::default();
        };
        let (least, most) = RANGE_PERCENT;
        let against =
            |percent: u64, middle: u64| (percent * 100 / middle.max(1)).clamp(least, most);
        let usual = against(told, middle.told_percent);
        let enough = self.answers.len() >= ANSWERS_LIMIT / 2;
        let answered = self.answered_percent().filter(|_| enough);
        let answered = answered.map(|percent| against(percent, middle.answered_percent));
        let is_believed = answered.is_none_or(|answered| {
            answered * 100 < usual * DISBELIEF_PERCENT && usual * 100 < answered * DISBELIEF_PERCENT
        });
        if !is_believed {
            return Pace::default();
        }
        let usual = level(usual);
        let published = self.published.get_or_insert(usual);
        if usual.abs_diff(*published) * 100 >= *published * CHANGE_PERCENT {
            *published = usual;
        }
        let usual = *published;
        let fresh = self
            .told
            .filter(|(at, _)| now.since(*at) <= TOLD_MAX_AGE_MS);
        let neighbours = fresh.map_or(100, |(_, last)| level(last * 100 / told.max(1)));
        let now = (usual * neighbours / 100).clamp(least, most);
        Pace {
            now_percent: u16::try_from(now).unwrap_or(u16::MAX),
            usual_percent: u16::try_from(usual).unwrap_or(u16::MAX),
        }
    }
}

/// Returns the usual pace of the slowest upstream of each service in percent of the fastest.
fn spreads(fleet: &Fleet, paces: &[Pace]) -> BTreeMap<String, u64> {
    let mut ranges: BTreeMap<&String, (u64, u64)> = BTreeMap::new();
    for (upstream, pace) in fleet.upstreams.iter().zip(paces) {
        let usual = u64::from(pace.usual_percent);
        let (least, most) = ranges.entry(&upstream.service).or_insert((usual, usual));
        (*least, *most) = (usual.min(*least), usual.max(*most));
    }
    let ranges = ranges.into_iter();
    let spread = |(least, most): (u64, u64)| most * 100 / least.max(1);
    ranges
        .map(|(service, range)| (service.clone(), spread(range)))
        .collect()
}

/// Returns 100 for a percentage that is about even.
fn level(percent: u64) -> u64 {
    match percent.abs_diff(100) <= EVEN_PERCENT {
        false => percent,
        true => 100,
    }
}

fn push(values: &mut VecDeque<u64>, value: u64, limit: usize) {
    values.push_back(value);
    if values.len() > limit {
        values.pop_front();
    }
}

/// Returns the value below which `quarters` quarters of the values lie.
fn quantile(values: impl Iterator<Item = u64>, quarters: usize) -> Option<u64> {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values.get(values.len() * quarters / 4).copied()
}
