//! Tests of what hosts do with engines that fall silent under load; each names the load.

mod upstream_fixtures;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::upstream_fixtures::engines;
use crate::upstream_fixtures::pending_prefill;
use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::load::silent_reports::Collector;
use coordination::load::silent_reports::News;
use coordination::load::told::Told;
use coordination::local_state::InFlight;
use coordination::rendezvous::scatter;
use coordination::upstream::Fleet;
use coordination::upstream_load::LoadAggregator;
use coordination::upstream_load::OwnReports;
use state::time::Instant;

const ENGINES: usize = 12;
const HOSTS: usize = 6;
const ANSWER_MS: u64 = 100;
const CHECK_LIMIT_MS: u64 = 400;
/// Load that engines tell; the silence of others is not watched.
const TOLD: Told = Told {
    pace_percent: 100,
    running: 1,
    slots: 32,
    waiting: 0,
};

/// How an engine treats a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Neither answers nor accepts connections.
    Dark,
    /// Accepts connections but does not answer.
    Frozen,
    /// Answers after this time.
    Working(u64),
}

struct Host {
    checks: Vec<(Instant, String)>,
    dispatcher: Dispatcher,
    own_reports: OwnReports,
    in_flight: Vec<(Instant, bool, InFlight, String)>,
}

/// Hosts that send short requests to engines and share what they suspect.
struct Sim {
    aggregator: LoadAggregator,
    collector: Collector,
    fleet: Fleet,
    hosts: Vec<Host>,
    now: Instant,
    /// Requests that were sent, by engine, and whether they must run once.
    sent: Vec<(Instant, usize, String, bool)>,
}

/// Has an engine tell its load to a host.
fn tell_load(host: &mut Dispatcher, fleet: &Fleet) {
    let (now, demand) = (Instant(0), demand(0, false));
    let choice = host.choose(now, fleet, &demand).unwrap();
    let mut handle = host.record_sent(now, &choice, &demand);
    host.record_accepted(now, &mut handle, Some(TOLD));
    host.record_answer_head(now, &mut handle);
    host.record_end(&handle);
}

fn demand(random: u64, runs_once: bool) -> Demand {
    Demand {
        first_byte_left_ms: 500,
        left_ms: 5_000,
        model: Some("m".to_owned()),
        newest_weights: 1,
        prompt_tokens: 380,
        random,
        runs_once,
        service: "engines".to_owned(),
        ..Demand::default()
    }
}

impl Sim {
    fn new() -> Self {
        let fleet = engines(ENGINES);
        let host = |seed| {
            let mut dispatcher = Dispatcher::new(seed);
            dispatcher.sync(&fleet);
            tell_load(&mut dispatcher, &fleet);
            Host {
                checks: Vec::new(),
                dispatcher,
                own_reports: OwnReports::new(0),
                in_flight: Vec::new(),
            }
        };
        Self {
            aggregator: LoadAggregator::default(),
            collector: Collector::default(),
            hosts: (0..HOSTS as u64).map(host).collect(),
            fleet,
            now: Instant(1_000),
            sent: Vec::new(),
        }
    }

    /// Lets each host send a request every 20 ms, each second of which must run once unless all
    /// must, until `until`.
    fn run(&mut self, until: u64, all_once: bool, mode: impl Fn(usize, &str) -> Mode) {
        while self.now < Instant(until) {
            self.now = self.now + 10;
            for number in 0..HOSTS {
                self.step(number, all_once, |id| mode(number, id));
            }
        }
    }

    fn step(&mut self, number: usize, all_once: bool, mode: impl Fn(&str) -> Mode) {
        let now = self.now;
        let host = &mut self.hosts[number];
        host.in_flight.retain_mut(|(sent_at, once, handle, id)| {
            let answered = matches!(mode(id), Mode::Working(ms) if now.since(*sent_at) >= ms);
            if answered {
                host.dispatcher.record_answer_head(now, handle);
                host.dispatcher.record_success(handle);
            }
            let moved = !*once && host.dispatcher.is_unresponsive(now, handle);
            let ended = answered || moved || now.since(*sent_at) >= 5_000;
            if ended {
                host.dispatcher.record_end(handle);
            }
            !ended
        });
        host.checks.retain(|(begun_at, id)| {
            let accepted = mode(id) != Mode::Dark;
            let ended = accepted || now.since(*begun_at) >= CHECK_LIMIT_MS;
            if ended {
                host.dispatcher.record_check(now, *begun_at, id, accepted);
            }
            !ended
        });
        if now.0.is_multiple_of(100) {
            let due = host.dispatcher.due_checks(now);
            host.checks.extend(due.into_iter().map(|id| (now, id)));
            self.poll(number);
        }
        if now.0.is_multiple_of(20) {
            let runs_once = all_once || (now.0 / 20).is_multiple_of(2);
            self.send(number, runs_once);
        }
    }

    fn send(&mut self, number: usize, runs_once: bool) {
        let now = self.now;
        let demand = demand(scatter(number as u64, now.0), runs_once);
        let host = &mut self.hosts[number];
        let choice = host.dispatcher.choose(now, &self.fleet, &demand).unwrap();
        let id = choice.upstream.id.clone();
        assert!(!runs_once || !host.dispatcher.suspected().contains(&id));
        let handle = host.dispatcher.record_sent(now, &choice, &demand);
        host.in_flight.push((now, runs_once, handle, id.clone()));
        self.sent.push((now, number, id, runs_once));
    }

    fn poll(&mut self, number: usize) {
        let (now, host) = (self.now, &mut self.hosts[number]);
        let loads = host.dispatcher.loads(now);
        let name = format!("h{number}");
        let report_number = host.own_reports.record(loads.clone());
        let report = host.dispatcher.silent_report(now);
        let (aggregator, fleet) = (&mut self.aggregator, &self.fleet);
        let (sums, included) = aggregator.exchange(now, &name, report_number, loads, fleet);
        let last_byte = |id: &str| aggregator.last_byte(id);
        let news = self
            .collector
            .exchange(now, &name, &report, fleet, last_byte);
        let others = host.own_reports.others(fleet, &sums, included).unwrap();
        host.dispatcher.set_other_loads(now, others);
        host.dispatcher.set_silent_news(now, now, fleet, &news);
    }

    /// Returns how many requests each engine got in this time.
    fn counts(&self, from: u64, until: u64) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for (at, _, id, _) in &self.sent {
            if (Instant(from)..Instant(until)).contains(at) {
                *counts.entry(id.as_str()).or_default() += 1;
            }
        }
        counts
    }

    fn suspected(&self, number: usize) -> BTreeSet<String> {
        self.hosts[number]
            .dispatcher
            .suspected()
            .into_iter()
            .collect()
    }
}

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

/// Load: long prompts of which a dark engine would get most, since it looks idle.
#[test]
fn the_leading_host_assigns_no_prompt_to_a_published_engine() {
    let fleet = engines(ENGINES);
    let mut assigner = Assigner::new(1);
    let news = News {
        silent: vec![(0, 2), (5, 3)],
        ..News::default()
    };
    assigner.set_silent_news(Instant(1_000), &fleet, &news);
    let engines = assigner.engines(Instant(1_000), &fleet, "engines");
    assert_eq!(engines.count, ENGINES - 2);
    for prompt in 0..200 {
        let demand = Demand {
            first_byte_left_ms: 800,
            left_ms: 12_000,
            prompt_tokens: 17_000,
            service: "engines".to_owned(),
            shared_prefix: Some((format!("p{prompt}"), 13_300)),
            ..Demand::default()
        };
        let request = Request {
            demand,
            ..Request::default()
        };
        let assigned = assigner.assign(Instant(1_000), &fleet, &BTreeMap::new(), request);
        let id = assigned.map(|choice| choice.upstream.id);
        assert!(!id.is_ok_and(|id| id == "e0" || id == "e5"));
    }
}

/// Load: 300 requests a second of six hosts, while a quarter of the engines goes dark for 6 s.
#[test]
fn a_quarter_of_the_engines_that_goes_dark_gets_no_work_until_it_is_back() {
    let dark = ["e0", "e1", "e2"];
    let mut sim = Sim::new();
    let working = Mode::Working(ANSWER_MS);
    sim.run(2_000, false, |_, _| working);
    sim.run(8_000, false, |_, id| match dark.contains(&id) {
        false => working,
        true => Mode::Dark,
    });
    for number in 0..HOSTS {
        assert_eq!(sim.suspected(number), ids(&dark));
    }
    let counts = sim.counts(3_200, 8_000);
    let to_dark = dark.iter().filter_map(|id| counts.get(id));
    assert_eq!(to_dark.sum::<usize>(), 0, "{counts:?}");
    sim.run(10_000, false, |_, _| working);
    let counts = sim.counts(9_000, 10_000);
    for id in dark {
        assert!(counts[id] > 300 / ENGINES / 2, "{counts:?}");
    }
}

/// Load: a backlog of prefill that takes 20 s at an engine that goes dark, and one request there.
#[test]
fn a_dark_engine_with_a_long_backlog_is_known_within_a_second() {
    let mut sim = Sim::new();
    let host = &mut sim.hosts[0].dispatcher;
    let (now, later) = (Instant(2_000), Instant(2_401));
    host.set_other_loads(
        now,
        BTreeMap::from([("e0".to_owned(), pending_prefill(500_000))]),
    );
    let demand = Demand {
        left_ms: 60_000,
        service: "engines".to_owned(),
        tried: (1..ENGINES).map(|engine| format!("e{engine}")).collect(),
        ..Demand::default()
    };
    let choice = host.choose(now, &sim.fleet, &demand).unwrap();
    let handle = host.record_sent(now, &choice, &demand);
    assert_eq!(host.due_checks(now), [""; 0]);
    assert_eq!(host.due_checks(later), ["e0"]);
    host.record_check(later, later, "e0", true);
    assert!(!host.is_unresponsive(later, &handle));
    assert_eq!(host.due_checks(Instant(3_401)), ["e0"]);
    host.record_check(Instant(3_801), Instant(3_401), "e0", false);
    assert!(host.is_unresponsive(Instant(3_801), &handle));
}

/// Load: 300 requests a second, beside one engine that takes six times as long as the others.
#[test]
fn a_slow_engine_that_sends_bytes_is_not_suspected() {
    let mut sim = Sim::new();
    for until in (1_100..=6_000).step_by(100) {
        sim.run(until, false, |_, id| match id {
            "e0" => Mode::Working(6 * ANSWER_MS),
            _ => Mode::Working(ANSWER_MS),
        });
        for number in 0..HOSTS {
            assert_eq!(sim.suspected(number), BTreeSet::new(), "at {until}");
        }
    }
}

/// Load: 300 requests a second, while one host reaches only a third of the engines.
#[test]
fn a_host_that_is_cut_off_from_most_engines_distrusts_itself() {
    let reached = ["e0", "e1", "e2", "e3"];
    let mut sim = Sim::new();
    for until in (1_100..=5_000).step_by(100) {
        sim.run(until, false, |number, id| {
            match number > 0 || reached.contains(&id) {
                false => Mode::Dark,
                true => Mode::Working(ANSWER_MS),
            }
        });
        for number in 1..HOSTS {
            assert_eq!(sim.suspected(number), BTreeSet::new(), "at {until}");
        }
    }
    assert_eq!(sim.suspected(0), BTreeSet::new());
}

/// Load: 300 requests a second, while one host has lost its path to two engines.
#[test]
fn the_lost_paths_of_one_host_do_not_concern_the_others() {
    let mut sim = Sim::new();
    for until in (1_100..=6_000).step_by(100) {
        sim.run(until, false, |number, id| {
            match number > 0 || id != "e0" && id != "e1" {
                false => Mode::Dark,
                true => Mode::Working(ANSWER_MS),
            }
        });
        for number in 1..HOSTS {
            assert_eq!(sim.suspected(number), BTreeSet::new(), "at {until}");
        }
    }
    assert_eq!(sim.suspected(0), ids(&["e0", "e1"]));
}

/// Load: 300 requests a second, while one engine accepts connections but does not answer.
#[test]
fn an_engine_that_only_accepts_connections_gets_trials_one_at_a_time() {
    let mut sim = Sim::new();
    let working = Mode::Working(ANSWER_MS);
    sim.run(2_000, false, |_, _| working);
    sim.run(8_000, false, |_, id| match id {
        "e0" => Mode::Frozen,
        _ => working,
    });
    let trials = sim.sent.iter();
    let trials = trials.filter(|(at, _, id, _)| id == "e0" && *at >= Instant(3_200));
    let trials: Vec<&(Instant, usize, String, bool)> = trials.collect();
    assert!(trials.iter().all(|(_, _, _, runs_once)| !runs_once));
    assert!((1..=24).contains(&trials.len()), "{}", trials.len());
    sim.run(10_000, false, |_, _| working);
    assert!(sim.counts(9_000, 10_000)["e0"] > 300 / ENGINES / 2);
}

/// Load: 300 requests a second that must all run once, after an engine sent nothing for a while.
#[test]
fn an_engine_of_a_service_without_trials_gets_work_again() {
    let mut sim = Sim::new();
    let working = Mode::Working(ANSWER_MS);
    sim.run(3_500, true, |_, id| match id {
        "e0" => Mode::Frozen,
        _ => working,
    });
    assert!(sim.suspected(0).contains("e0"));
    sim.run(10_000, true, |_, _| working);
    assert!(sim.counts(9_000, 10_000)["e0"] > 300 / ENGINES / 2);
}
