//! Tests of the pace of rolling reloads beside load. The pattern they answer: weights named every
//! few seconds in a fleet whose engines are always busy and load at different speeds.

mod upstream_fixtures;

use std::collections::BTreeMap;

use crate::upstream_fixtures::listed_upstream;
use coordination::reload::Effect;
use coordination::reload::Event;
use coordination::reload::Outcome;
use coordination::reload::Policy;
use coordination::reload::Reload;
use coordination::reload::Report;
use coordination::upstream_load::UpstreamLoad;
use coordination::upstream_load::UpstreamLoads;
use coordination::version_history::VersionHistory;
use state::time::Instant;

const ENGINES: usize = 60;
const MODEL: &str = "m";
const STEP_MS: u64 = 50;
/// Time for which versions are named, and the time before it in which the fleet settles.
const DAY_MS: u64 = 90_000;
/// Time after which no request may begin on weights older than those named.
const LIMIT_MS: u64 = 20_000;

struct Engine {
    load_ms: u64,
    loading: Option<(u64, u64)>,
    orders: u64,
    version: u64,
}

/// What a fleet did while versions were named.
#[derive(Debug, Default)]
struct Outcomes {
    /// Greatest number of engines off new work at once.
    most_away: usize,
    /// Greatest number of engines at once that no request may begin on, though they take work.
    most_expired: usize,
    /// Engines that take work on weights on which requests may still begin, in the mean, in
    /// percent.
    usable_percent: usize,
}

/// A fleet of busy engines whose loads take `load_ms` at the speed of each.
struct Fleet {
    engines: BTreeMap<String, Engine>,
    reload: Reload,
}

impl Fleet {
    fn new(load_ms: u64, speeds_percent: &[u64]) -> Self {
        let engine = |index: usize| {
            let speed = speeds_percent[index % speeds_percent.len()];
            let engine = Engine {
                load_ms: load_ms * 100 / speed,
                loading: None,
                orders: 0,
                version: 1,
            };
            (format!("e{index:02}"), engine)
        };
        let engines: BTreeMap<String, Engine> = (0..ENGINES).map(engine).collect();
        let mut reload = Reload::new(Policy::default());
        let listed = engines.keys().map(|id| listed_upstream(id, MODEL, 1));
        reload.step(Instant(0), Event::Listed(listed.collect()));
        reload.step(Instant(0), Event::LeadershipGained);
        Self { engines, reload }
    }

    /// Names a version each `interval_ms`, and returns what the fleet did.
    fn run(mut self, interval_ms: u64) -> Outcomes {
        let mut outcomes = Outcomes::default();
        let mut history = VersionHistory::new(LIMIT_MS);
        let (mut newest, mut usable_sum, mut steps) = (1, 0, 0);
        for now_ms in (Policy::default().takeover_delay_ms..DAY_MS).step_by(STEP_MS as usize) {
            let now = Instant(now_ms);
            newest = newest.max(1 + now_ms / interval_ms);
            let versions = BTreeMap::from([(MODEL.to_owned(), newest)]);
            history.record(now, &versions);
            self.reload.step(now, Event::NewestVersions(versions));
            self.reload.step(now, Event::Loads(self.loads()));
            self.advance(now_ms);
            let is_away = |id: &String| self.reload.is_loading(id);
            let away = self.engines.keys().filter(|id| is_away(id)).count();
            let is_expired = |engine: &Engine| {
                let expiry = history.expiry(MODEL, engine.version);
                expiry.is_some_and(|expiry| expiry <= now)
            };
            let expired = self
                .engines
                .iter()
                .filter(|(id, engine)| !is_away(id) && is_expired(engine));
            outcomes.most_away = outcomes.most_away.max(away);
            outcomes.most_expired = outcomes.most_expired.max(expired.count());
            let min = history.min_versions(now, history.begin_margin_ms());
            let min = min.get(MODEL).copied().unwrap_or_default();
            let is_usable =
                |(id, engine): &(&String, &Engine)| engine.version >= min && !is_away(id);
            let usable = self.engines.iter().filter(is_usable);
            usable_sum += usable.count() * 100 / ENGINES;
            steps += 1;
        }
        outcomes.usable_percent = usable_sum / steps;
        outcomes
    }

    /// Returns the loads of engines that run some requests all the time while they take work.
    fn loads(&self) -> UpstreamLoads {
        let load = UpstreamLoad {
            running: 12,
            ..UpstreamLoad::default()
        };
        let serving = self.engines.keys().filter(|id| !self.reload.is_loading(id));
        serving.map(|id| (id.clone(), load)).collect()
    }

    fn advance(&mut self, now_ms: u64) {
        for engine in self.engines.values_mut() {
            if let Some((_, version)) = engine.loading.take_if(|(due, _)| *due <= now_ms) {
                engine.version = version;
            }
        }
        let mut effects = self.reload.step(Instant(now_ms), Event::Tick);
        while let Some(effect) = effects.pop() {
            let event = match effect {
                Effect::Done { .. } | Effect::Withdrawn { .. } => continue,
                Effect::Order(order) => {
                    let engine = self.engines.get_mut(&order.id).unwrap();
                    engine.orders += 1;
                    engine.loading = Some((now_ms + engine.load_ms, order.version));
                    Event::Answered(order.id, Outcome::Accepted)
                }
                Effect::Read(id) => {
                    let engine = &self.engines[&id];
                    let report = Report {
                        loading: engine.loading.is_some(),
                        accepted_orders: engine.orders,
                        running: 0,
                        weights: BTreeMap::from([(MODEL.to_owned(), engine.version)]),
                    };
                    Event::Reported(id, Some(report))
                }
            };
            effects.extend(self.reload.step(Instant(now_ms), event));
        }
    }
}

/// Loads of 3.5 s, and of 2.5 s on hosts of 0.6 to 1.6 of the usual speed.
#[test]
fn no_engine_takes_work_on_expired_weights_while_versions_come_each_four_seconds() {
    for (load_ms, speeds) in [(3_500, &[100][..]), (2_500, &[60, 100, 160][..])] {
        let outcomes = Fleet::new(load_ms, speeds).run(4_000);
        println!("loads of {load_ms} ms: {outcomes:?}");
        assert_eq!(outcomes.most_expired, 0, "loads of {load_ms} ms");
        assert!(outcomes.most_away * 2 <= ENGINES, "loads of {load_ms} ms");
    }
}
