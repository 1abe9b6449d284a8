//! Runs seeded schedules of faults and checks the histories of table and ledger.
//!
//! `HISTORY_SEEDS` sets how many seeds are run, `HISTORY_FIRST` the first of them.

mod raft_sim;

use std::panic;
use std::panic::AssertUnwindSafe;
use std::thread;

use rand::RngExt;

use crate::raft_sim::FaultRates;
use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;
use crate::raft_sim::client::Clients;

const FAULTS_END: u64 = 6_000;
const FLAWED_SEEDS: u64 = 4_000;
const HEAL_LIMIT: u64 = 60_000;
const SEEDS: u64 = 1_000;
const STEP: u64 = 10;
const STUCK: &str = "the group did not recover";
const THREADS: u64 = 4;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
}

/// Brings about one fault.
fn disturb(sim: &mut Sim, restarts: &mut Vec<(u64, usize)>, heal: &mut u64) {
    let count = sim.hosts.len();
    let any = sim.rng.random_range(0..count);
    let target = sim.leader().filter(|_| sim.rng.random_bool(0.5));
    let target = target.unwrap_or(any);
    let other = (target + sim.rng.random_range(1..count)) % count;
    let until = sim.now + sim.rng.random_range(100..1_500);
    match sim.rng.random_range(0..8) {
        0 | 1 if sim.hosts[target].raft.is_some() => {
            sim.crash(target);
            restarts.push((until, target));
        }
        2 => {
            sim.blocked.insert((target, other));
            *heal = until;
        }
        3 => {
            sim.cut(target, true, false);
            *heal = until;
        }
        4 => {
            sim.cut(target, true, true);
            *heal = until;
        }
        5 => sim.fault_rates = FaultRates::STORM,
        6 => sim.fault_rates = FaultRates::CALM,
        _ if sim.whole() => sim.lose_disk(target),
        _ => {}
    }
}

/// Runs the schedule of one seed.
fn run(seed: u64, flaw: Flaw) -> Result<usize, String> {
    let mut sim = Sim::new(seed, 3, flaw);
    let mut clients = Clients::new();
    let mut restarts: Vec<(u64, usize)> = Vec::new();
    let mut heal = 0;
    let mut next = sim.now + 300;
    let end = sim.now + FAULTS_END;
    while sim.now < end {
        if sim.now >= next {
            disturb(&mut sim, &mut restarts, &mut heal);
            next = sim.now + sim.rng.random_range(50..500);
        }
        if sim.now >= heal {
            sim.blocked.clear();
        }
        let now = sim.now;
        for (_, host) in restarts.extract_if(.., |(at, _)| *at <= now) {
            if sim.hosts[host].raft.is_none() {
                sim.start(host);
            }
        }
        clients.step(&mut sim, clients.operations.len() < 100);
        sim.run(STEP);
    }
    sim.blocked.clear();
    sim.fault_rates = FaultRates::CALM;
    for (_, host) in restarts {
        if sim.hosts[host].raft.is_none() {
            sim.start(host);
        }
    }
    let limit = sim.now + HEAL_LIMIT;
    while !(clients.idle() && sim.whole()) {
        if sim.now >= limit {
            return Err(STUCK.to_owned());
        }
        clients.step(&mut sim, false);
        sim.run(STEP);
    }
    clients.check()?;
    let first = &sim.hosts[0].machine;
    if sim.hosts.iter().any(|host| host.machine != *first) {
        return Err("voters differ".to_owned());
    }
    Ok(clients.operations.len())
}

fn guarded(seed: u64, flaw: Flaw) -> Result<usize, String> {
    let caught = panic::catch_unwind(AssertUnwindSafe(|| run(seed, flaw)));
    caught.unwrap_or_else(|_| Err("an assertion failed".to_owned()))
}

/// Returns the first seed whose history is wrong under `flaw`.
fn caught(flaw: Flaw) -> Option<(u64, String)> {
    let wrong = |seed| {
        let error = guarded(seed, flaw).err().filter(|error| error != STUCK);
        error.map(|error| (seed, error))
    };
    (0..FLAWED_SEEDS).find_map(wrong)
}

#[test]
fn histories_are_linearizable() {
    let first = number("HISTORY_FIRST", 0);
    let seeds = number("HISTORY_SEEDS", SEEDS);
    let worker = move |offset: u64| {
        let seeds = (first + offset..first + seeds).step_by(THREADS as usize);
        let run = |seed| match guarded(seed, Flaw::None) {
            Err(error) => Err(format!("seed {seed}: {error}")),
            Ok(count) => Ok(count),
        };
        seeds.map(run).collect::<Vec<_>>()
    };
    let workers = (0..THREADS).map(|offset| thread::spawn(move || worker(offset)));
    let workers: Vec<_> = workers.collect();
    let mut failures = Vec::new();
    let mut operations = 0;
    for worker in workers {
        for result in worker.join().expect("worker ends") {
            match result {
                Err(error) => failures.push(error),
                Ok(count) => operations += count,
            }
        }
    }
    println!("{operations} operations over {seeds} seeds from {first} on");
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn skipped_sync_is_caught() {
    let (seed, error) = caught(Flaw::SkipSync).expect("a seed shows the lost entries");
    println!("seed {seed}: {error}");
}

#[test]
fn trusted_name_of_an_empty_disk_is_caught() {
    let (seed, error) = caught(Flaw::TrustName).expect("a seed shows the lost entries");
    println!("seed {seed}: {error}");
}
