//! One run of the soak: starts a fleet, plays the schedule of a seed and judges what was seen.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::json;
use tokio::sync::Mutex;

use crate::processes::DISKLESS;
use crate::processes::Fleet;
use crate::processes::LIMIT;
use crate::processes::POLL;
use crate::processes::WORKSPACE_KEY;
use crate::processes::load::Load;
use crate::processes::load::Outcome;
use crate::processes::load::Record;
use crate::soak::callers::Caller;
use crate::soak::callers::SERVICE;
use crate::soak::proxy::Mode;
use crate::soak::proxy::Proxy;
use crate::soak::schedule;
use crate::soak::schedule::Action;
use crate::soak::schedule::Step;
use crate::soak::schedule::Target;
use fakes::engine;
use fakes::engine::Engine;
use fakes::service::Fault;
use fakes::service::Service;
use hibiscushoistd::auth;

/// Counts the engines.
const ENGINES: usize = 3;
/// Counts the hosts, of which the last ones keep nothing over a restart.
const HOSTS: usize = 6;
/// Gives for how long a fault may still be felt after its end: an idle limit of a stream, an
/// election, and the lifetime of the addresses that callers keep.
const FELT: Duration = Duration::from_secs(10);
/// Counts the answers that must come whole once all faults are over.
const AFTER: usize = 50;
/// Counts the callers that order.
const ORDERERS: usize = 4;

/// Tells what a run came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Counts accepted edits.
    pub accepted: usize,
    /// Lists what must not have happened.
    pub broken: Vec<String>,
    /// Counts answers that broke off.
    pub cut: usize,
    /// Counts orders that ran.
    pub ordered: usize,
    /// Counts requests that were refused.
    pub refused: usize,
    /// Names the schedule.
    pub seed: u64,
    /// Counts answers that came whole.
    pub whole: usize,
}

impl Display for Report {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "seed {}: {} whole, {} cut, {} refused, {} orders, {} edits, {} broken",
            self.seed,
            self.whole,
            self.cut,
            self.refused,
            self.ordered,
            self.accepted,
            self.broken.len()
        )
    }
}

/// Tells when a fault may have been felt.
struct Window {
    action: Action,
    from: Instant,
    until: Instant,
}

struct Soak {
    engines: Vec<Engine>,
    fleet: Mutex<Fleet>,
    hosts: Vec<Proxy>,
    links: Vec<Proxy>,
    service: Service,
    starts: Vec<AtomicU64>,
    windows: std::sync::Mutex<Vec<Window>>,
}

/// Plays the schedule of `seed` and returns what it came to.
pub async fn run(seed: u64) -> Report {
    let soak = Arc::new(Soak::start().await);
    let entries = soak.entries().await;
    let caller = Caller::new(entries.clone());
    let load = Load::start(entries);
    let mut tasks = Vec::new();
    tasks.extend((0..ORDERERS).map(|number| tokio::spawn(caller.clone().order(number))));
    tasks.push(tokio::spawn(caller.clone().edit()));
    let watched = soak.clone();
    tasks.push(tokio::spawn(
        caller.clone().look(move |place| watched.starts(place)),
    ));
    load.more(AFTER).await;
    let started = Instant::now();
    let steps = schedule::draw(seed, HOSTS, ENGINES)
        .into_iter()
        .map(|step| {
            let soak = soak.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until((started + step.at).into()).await;
                soak.play(step).await;
            })
        });
    for step in steps.collect::<Vec<_>>() {
        step.await.expect("a step does not panic");
    }
    soak.fleet.lock().await.settle().await;
    load.more(AFTER).await;
    caller.stop.store(true, Ordering::SeqCst);
    for task in tasks {
        task.await.expect("a caller does not panic");
    }
    let records = load.stop().await;
    soak.judge(seed, &caller, &records).await
}

impl Soak {
    async fn start() -> Self {
        let mut fleet = Fleet::prepare(HOSTS);
        let mut hosts = Vec::new();
        for place in 0..HOSTS {
            let (bound, peer) = fleet.stand_before(place);
            hosts.push(Proxy::start(bound, peer));
        }
        for place in 0..HOSTS {
            fleet.spawn(place);
        }
        fleet.settle().await;
        let (mut engines, mut links) = (Vec::new(), Vec::new());
        for _ in 0..ENGINES {
            let options = engine::Options {
                slots: 64,
                token_time: Duration::from_millis(2),
                ..engine::Options::default()
            };
            let engine = Engine::start(options).await.expect("an engine starts");
            links.push(Proxy::start(bound(), engine.address()));
            engines.push(engine);
        }
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let service = Service::start(address).await.expect("a service starts");
        fill(&fleet, &links, &service).await;
        Self {
            engines,
            fleet: Mutex::new(fleet),
            hosts,
            links,
            service,
            starts: (0..HOSTS).map(|_| AtomicU64::default()).collect(),
            windows: Default::default(),
        }
    }

    async fn entries(&self) -> Vec<SocketAddr> {
        let fleet = self.fleet.lock().await;
        fleet.hosts.iter().map(|host| host.entry).collect()
    }

    /// Counts the starts of a host that keeps no table over a restart.
    fn starts(&self, place: usize) -> u64 {
        match place < HOSTS - DISKLESS {
            false => self.starts[place].load(Ordering::SeqCst),
            true => 0,
        }
    }

    /// Does one thing to the fleet and notes how long it may be felt.
    async fn play(&self, step: Step) {
        let from = Instant::now();
        let lasts = tokio::time::sleep(step.lasts);
        match step.action {
            Action::Crash(engine) => self.engines[engine].crash(),
            Action::Kill(place) => {
                if self.take_down(place, Signal::KILL).await {
                    lasts.await;
                    self.bring_up(place).await;
                }
            }
            Action::Link(target, mode) => {
                self.link(target).set(mode);
                lasts.await;
                self.link(target).set(Mode::Pass);
            }
            Action::Pause(place) => {
                let paused = self.signal(place, Signal::STOP).await;
                lasts.await;
                if paused {
                    self.signal(place, Signal::CONT).await;
                }
            }
            Action::Reset(target) => self.link(target).reset(),
            Action::Service(fault) => {
                self.service.set_fault(fault);
                lasts.await;
                self.service.set_fault(Fault::None);
            }
            Action::Silence(target) => self.link(target).silence(),
            Action::Stop(place) => {
                if self.take_down(place, Signal::TERM).await {
                    self.bring_up(place).await;
                }
            }
        }
        self.windows.lock().unwrap().push(Window {
            action: step.action,
            from,
            until: Instant::now() + FELT,
        });
    }

    fn link(&self, target: Target) -> &Proxy {
        match target {
            Target::Engine(engine) => &self.links[engine],
            Target::Host(place) => &self.hosts[place],
        }
    }

    /// Sends a signal to a host that runs, and returns whether it did.
    async fn signal(&self, place: usize, signal: Signal) -> bool {
        let fleet = self.fleet.lock().await;
        let runs = fleet.running().contains(&place);
        if runs {
            fleet.signal(place, signal);
        }
        runs
    }

    /// Ends a host that runs, also one that is paused, and waits until its process is gone; returns
    /// whether it ran.
    async fn take_down(&self, place: usize, signal: Signal) -> bool {
        let Some(mut child) = self.fleet.lock().await.release(place) else {
            return false;
        };
        let pid = rustix::process::Pid::from_child(&child);
        for signal in [signal, Signal::CONT] {
            rustix::process::kill_process(pid, signal).expect("the signal can be sent");
        }
        let began = Instant::now();
        while child.try_wait().expect("it can be watched").is_none() {
            assert!(began.elapsed() < LIMIT, "h{place} does not end");
            tokio::time::sleep(POLL).await;
        }
        true
    }

    async fn bring_up(&self, place: usize) {
        self.starts[place].fetch_add(1, Ordering::SeqCst);
        self.fleet.lock().await.spawn(place);
    }

    /// Judges a run by what callers and upstreams saw.
    async fn judge(&self, seed: u64, caller: &Caller, records: &[Record]) -> Report {
        let accepted = caller.seen.lock().unwrap().accepted.clone();
        for place in 0..HOSTS {
            let began = Instant::now();
            while !caller.rows(place).await.is_superset(&accepted) {
                assert!(began.elapsed() < LIMIT, "h{place} lacks accepted edits");
                tokio::time::sleep(POLL).await;
            }
        }
        let seen = std::mem::take(&mut *caller.seen.lock().unwrap());
        let mut broken = seen.broken;
        for (order, runs) in self.service.runs() {
            if runs > 1 {
                broken.push(format!("{order} ran {runs} times"));
            }
            if seen.not_run.contains(&order) {
                broken.push(format!("{order} was said not to have run"));
            }
        }
        let entries = self.entries().await;
        let place = |address| entries.iter().position(|entry| *entry == address);
        for record in records {
            if !self.is_allowed(record, place(record.address)) {
                broken.push(format!("{record:?} of h{:?}", place(record.address)));
            }
        }
        let count = |is: fn(&Outcome) -> bool| records.iter().filter(|r| is(&r.outcome)).count();
        Report {
            accepted: accepted.len(),
            broken,
            cut: count(|outcome| matches!(outcome, Outcome::Cut | Outcome::Unreachable)),
            ordered: seen.ordered,
            refused: count(|outcome| matches!(outcome, Outcome::Refused(_))),
            seed,
            whole: count(|outcome| *outcome == Outcome::Whole),
        }
    }

    /// Returns whether a request may have ended as it did.
    ///
    /// A wrong answer is never allowed, a refusal while any fault but a graceful stop is felt, and
    /// a cut where the host itself or an engine was hit.
    fn is_allowed(&self, record: &Record, place: Option<usize>) -> bool {
        let windows = self.windows.lock().unwrap();
        let mut felt = windows
            .iter()
            .filter(|window| record.started < window.until && window.from < record.ended);
        match record.outcome {
            Outcome::Whole => true,
            Outcome::Wrong(_) => false,
            Outcome::Refused(_) => felt.any(|w| !matches!(w.action, Action::Stop(_))),
            Outcome::Cut | Outcome::Unreachable => felt.any(|window| match window.action {
                Action::Kill(host) | Action::Pause(host) => Some(host) == place,
                Action::Link(target, _) | Action::Reset(target) | Action::Silence(target) => {
                    target.is_felt_at(place)
                }
                Action::Crash(_) => record.outcome == Outcome::Cut,
                Action::Service(_) | Action::Stop(_) => false,
            }),
        }
    }
}

impl Target {
    /// Returns whether callers of a host may feel what is done to the link.
    fn is_felt_at(self, place: Option<usize>) -> bool {
        match self {
            Self::Engine(_) => true,
            Self::Host(host) => Some(host) == place,
        }
    }
}

fn bound() -> std::net::TcpListener {
    std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free")
}

async fn fill(fleet: &Fleet, links: &[Proxy], service: &Service) {
    let key = json!({"key_hash": auth::hash(WORKSPACE_KEY)});
    fleet.add("workspaces", "maps", key).await;
    let model = json!({"block_bytes": "64", "version": "v1"});
    fleet.add("models", "m", model).await;
    for (number, link) in links.iter().enumerate() {
        let address = link.address().to_string();
        let cells = json!({"address": address, "model": "m", "type": "engine"});
        fleet.add("upstreams", &format!("u{number}"), cells).await;
    }
    let address = service.address().to_string();
    let cells = json!({"address": address, "service": SERVICE, "type": "service"});
    fleet.add("upstreams", "desk", cells).await;
    fleet.until_spread().await;
}
