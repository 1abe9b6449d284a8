//! Tests of a fleet of eight real daemons under load and faults.

mod processes;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use processes::Fleet;
use processes::LIMIT;
use processes::POLL;
use processes::VOTERS;
use processes::WORKSPACE_KEY;
use processes::load::Load;
use processes::load::Outcome;
use processes::load::Record;
use rustix::process::Signal;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use fakes::engine;
use fakes::engine::Engine;
use hibiscushoistd::auth;

const HOSTS: usize = 8;

/// Lets one fleet run at a time, so that the tests do not slow each other down.
static ALONE: Mutex<()> = Mutex::const_new(());

struct Bench {
    _alone: MutexGuard<'static, ()>,
    engines: Vec<Engine>,
    fleet: Fleet,
}

async fn bench() -> Bench {
    let alone = ALONE.lock().await;
    let fleet = Fleet::start(HOSTS).await;
    let mut engines = Vec::new();
    for _ in 0..3 {
        let options = engine::Options {
            slots: 64,
            token_time: std::time::Duration::from_millis(3),
            ..engine::Options::default()
        };
        engines.push(Engine::start(options).await.unwrap());
    }
    fill(&fleet, &engines).await;
    Bench {
        _alone: alone,
        engines,
        fleet,
    }
}

async fn fill(fleet: &Fleet, engines: &[Engine]) {
    let key = json!({"key_hash": auth::hash(WORKSPACE_KEY)});
    fleet.add("workspaces", "maps", key).await;
    let model = json!({"block_bytes": "64", "version": "v1"});
    fleet.add("models", "m", model).await;
    for (number, engine) in engines.iter().enumerate() {
        let address = engine.address().to_string();
        let cells = json!({"address": address, "model": "m", "type": "engine"});
        fleet.add("upstreams", &format!("u{number}"), cells).await;
    }
    fleet.until_spread().await;
}

impl Bench {
    fn entries(&self) -> Vec<SocketAddr> {
        self.fleet.hosts.iter().map(|host| host.entry).collect()
    }

    /// Returns the places of two hosts that callers of the workspace are told first.
    async fn favourites(&self) -> [usize; 2] {
        let listed = self.fleet.addresses(0, WORKSPACE_KEY).await;
        let place = |address| self.entries().iter().position(|entry| *entry == address);
        [place(listed[0]).unwrap(), place(listed[1]).unwrap()]
    }

    fn load(&self) -> Load {
        Load::start(self.entries())
    }
}

/// Returns the requests that did not end whole, without those sent to `spared` hosts.
fn bad<'a>(records: &'a [Record], spared: &[SocketAddr]) -> Vec<&'a Record> {
    let is_bad =
        |record: &&Record| record.outcome != Outcome::Whole && !spared.contains(&record.address);
    records.iter().filter(is_bad).collect()
}

fn report(name: &str, records: &[Record], spared: &[SocketAddr]) {
    let lost = |record: &&Record| spared.contains(&record.address);
    let lost: Vec<&Record> = records.iter().filter(lost).collect();
    let count = |outcome| lost.iter().filter(|r| r.outcome == outcome).count();
    let (cut, missed) = (count(Outcome::Cut), count(Outcome::Unreachable));
    let bad = bad(records, spared).len();
    let all = records.len();
    println!("{name}: {all} requests; on lost hosts {cut} cut, {missed} missed; {bad} otherwise");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_costs_only_its_own_streams() {
    let mut bench = bench().await;
    let load = bench.load();
    load.more(200).await;
    let [place, _] = bench.favourites().await;
    let victim = bench.fleet.hosts[place].entry;
    bench.fleet.kill(place);
    let killed = Instant::now();
    bench.fleet.until_held(place, &["suspect", "dead"]).await;
    let suspected = killed.elapsed();
    bench.fleet.until_held(place, &["dead"]).await;
    let dead = killed.elapsed();
    load.more(200).await;
    bench.fleet.spawn(place);
    let started = Instant::now();
    bench.fleet.settle().await;
    let back = started.elapsed();
    load.more(200).await;
    let records = load.stop().await;
    report("one killed", &records, &[victim]);
    println!("one killed: suspected after {suspected:?}, dead after {dead:?}, back {back:?}");
    assert_eq!(
        bad(&records, &[victim]).len(),
        0,
        "{:?}",
        bad(&records, &[victim])
    );
    let cuts = records.iter().filter(|r| r.outcome == Outcome::Cut);
    let cut: BTreeSet<usize> = cuts.clone().map(|r| r.caller).collect();
    let times: Vec<String> = cuts.map(|cut| cut_times(cut, killed)).collect();
    let restart = started.duration_since(killed);
    assert_eq!(
        times.len(),
        cut.len(),
        "a caller saw the host break twice; it was started again after {restart:?}: {times:#?}"
    );
}

/// Tells when a cut request began and ended, in seconds after the kill.
fn cut_times(cut: &Record, killed: Instant) -> String {
    let after = |at: Instant| {
        let before = killed.saturating_duration_since(at).as_secs_f64();
        at.saturating_duration_since(killed).as_secs_f64() - before
    };
    let [began, ended] = [cut.started, cut.ended].map(after);
    format!("caller {}: {began:+.3} s to {ended:+.3} s", cut.caller)
}

#[tokio::test(flavor = "multi_thread")]
async fn two_killed_hosts_cost_only_their_own_streams() {
    let mut bench = bench().await;
    let load = bench.load();
    load.more(200).await;
    let places = bench.favourites().await;
    let victims = places.map(|place| bench.fleet.hosts[place].entry);
    for place in places {
        bench.fleet.kill(place);
    }
    let killed = Instant::now();
    bench.fleet.until_held(places[0], &["dead"]).await;
    bench.fleet.until_held(places[1], &["dead"]).await;
    println!("two killed: dead after {:?}", killed.elapsed());
    load.more(200).await;
    let records = load.stop().await;
    report("two killed", &records, &victims);
    assert_eq!(
        bad(&records, &victims).len(),
        0,
        "{:?}",
        bad(&records, &victims)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_host_is_left_alone_and_comes_back() {
    let bench = bench().await;
    let load = bench.load();
    load.more(200).await;
    let [place, _] = bench.favourites().await;
    let victim = bench.fleet.hosts[place].entry;
    bench.fleet.signal(place, Signal::STOP);
    let stopped = Instant::now();
    bench.fleet.until_held(place, &["suspect", "dead"]).await;
    let suspected = stopped.elapsed();
    bench.fleet.until_held(place, &["dead"]).await;
    println!(
        "silent: suspected after {suspected:?}, dead after {:?}",
        stopped.elapsed()
    );
    load.more(200).await;
    bench.fleet.signal(place, Signal::CONT);
    let resumed = Instant::now();
    bench.fleet.settle().await;
    println!("silent: back after {:?}", resumed.elapsed());
    load.more(200).await;
    let records = load.stop().await;
    report("silent", &records, &[victim]);
    assert_eq!(
        bad(&records, &[victim]).len(),
        0,
        "{:?}",
        bad(&records, &[victim])
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_no_request() {
    let mut bench = bench().await;
    let load = bench.load();
    load.more(200).await;
    for place in 0..HOSTS {
        bench.fleet.signal(place, Signal::TERM);
        let status = bench.fleet.wait(place).await;
        assert!(status.success(), "host {place} ended with {status}");
        bench.fleet.spawn(place);
        bench.fleet.settle().await;
    }
    load.more(200).await;
    let records = load.stop().await;
    report("rolling restart", &records, &[]);
    assert_eq!(bad(&records, &[]).len(), 0, "{:?}", bad(&records, &[]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_herd_of_restarts_serves_at_once_with_the_voters_away() {
    let mut bench = bench().await;
    for place in 0..HOSTS {
        bench.fleet.kill(place);
    }
    for place in VOTERS..HOSTS {
        bench.fleet.spawn(place);
    }
    let started = Instant::now();
    let load = Load::start(bench.entries()[VOTERS..].to_vec());
    load.more(1).await;
    println!("herd: first answer after {:?}", started.elapsed());
    bench.fleet.settle().await;
    bench.fleet.until_spread().await;
    println!(
        "herd: all have fleet and table after {:?}",
        started.elapsed()
    );
    load.more(200).await;
    let mut records = load.stop().await;
    records.retain(|record| record.outcome != Outcome::Unreachable);
    report("herd", &records, &[]);
    assert_eq!(bad(&records, &[]).len(), 0, "{:?}", bad(&records, &[]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_is_rolled_out_under_load_with_its_controller_lost() {
    let mut bench = bench().await;
    let load = bench.load();
    load.more(200).await;
    let model = bench.fleet.row("models", "m").await;
    let set = json!({"set": {"version": "v2"}});
    bench.fleet.edit("models", "m", model, set).await;
    let edited = Instant::now();
    let loads = |bench: &Bench| {
        bench
            .engines
            .iter()
            .filter(|e| e.state().version == "v2")
            .count()
    };
    while loads(&bench) == 0 {
        assert!(edited.elapsed() < LIMIT, "no engine loads");
        tokio::time::sleep(POLL).await;
    }
    let controller = bench.fleet.controller();
    let lost = bench.fleet.hosts[controller].entry;
    bench.fleet.kill(controller);
    while loads(&bench) < bench.engines.len() {
        assert!(edited.elapsed() < LIMIT, "not all engines load");
        tokio::time::sleep(POLL).await;
    }
    println!(
        "roll-out: 3 engines after {:?}, controller lost midway",
        edited.elapsed()
    );
    load.more(200).await;
    let records = load.stop().await;
    report("roll-out", &records, &[lost]);
    assert_eq!(
        bad(&records, &[lost]).len(),
        0,
        "{:?}",
        bad(&records, &[lost])
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_a_host_at_once() {
    let mut fleet = Fleet::start(1).await;
    fleet.signal(0, Signal::TERM);
    fleet
        .until(0, |hosts| {
            hosts.iter().any(|(_, standing)| standing == "leaving")
        })
        .await;
    fleet.signal(0, Signal::TERM);
    let status = fleet.wait(0).await;
    assert_eq!(status.code(), Some(1));
}
