//! Linearizability tests: random faults in a simulated group, then a check of the clients' history.
//!
//! `HISTORY_SEEDS` sets the number of seeds, `HISTORY_FIRST` the first seed.

mod raft_sim;

use std::panic;
use std::panic::AssertUnwindSafe;
use std::thread;

use rand::RngExt;

use crate::raft_sim::FaultRates;
use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;
use crate::raft_sim::client::Clients;

const FAULT_PHASE_MS: u64 = 6_000;
/// Seeds that are tried for a flaw; about one in 6,000 shows a reused member id.
const MAX_FLAW_SEEDS: u64 = 16_000;
const RECOVERY_LIMIT_MS: u64 = 60_000;
const SEEDS: u64 = 1_000;
const STEP_MS: u64 = 10;
const STUCK: &str = "the group did not recover";
const THREADS: u64 = 4;

/// Returns the number in an environment variable, or `default` when it is not set.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
}

/// Injects one random fault; crashed hosts are added to `restarts`, cut links end at `heal_at`.
fn inject_fault(sim: &mut Sim, restarts: &mut Vec<(u64, usize)>, heal_at: &mut u64) {
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
            *heal_at = until;
        }
        3 => {
            sim.cut_links(target, true, false);
            *heal_at = until;
        }
        4 => {
            sim.cut_links(target, true, true);
            *heal_at = until;
        }
        5 => sim.fault_rates = FaultRates::HEAVY,
        6 => sim.fault_rates = FaultRates::LIGHT,
        _ if sim.has_recovered() => sim.lose_disk(target),
        _ => {}
    }
}

/// Runs the schedule of one seed, and returns the number of operations in its history.
fn run(seed: u64, flaw: Flaw) -> Result<usize, String> {
    let mut sim = Sim::new(seed, 3, flaw);
    let mut clients = Clients::new();
    let mut restarts: Vec<(u64, usize)> = Vec::new();
    let mut heal_at = 0;
    let mut next = sim.now + 300;
    let end = sim.now + FAULT_PHASE_MS;
    while sim.now < end {
        if sim.now >= next {
            inject_fault(&mut sim, &mut restarts, &mut heal_at);
            next = sim.now + sim.rng.random_range(50..500);
        }
        if sim.now >= heal_at {
            sim.blocked.clear();
        }
        let now = sim.now;
        for (_, host) in restarts.extract_if(.., |(at, _)| *at <= now) {
            if sim.hosts[host].raft.is_none() {
                sim.start(host);
            }
        }
        clients.step(&mut sim, clients.operations.len() < 100);
        sim.run(STEP_MS);
    }
    sim.blocked.clear();
    sim.fault_rates = FaultRates::LIGHT;
    for (_, host) in restarts {
        if sim.hosts[host].raft.is_none() {
            sim.start(host);
        }
    }
    let limit = sim.now + RECOVERY_LIMIT_MS;
    while !(clients.idle() && sim.has_recovered()) {
        if sim.now >= limit {
            return Err(STUCK.to_owned());
        }
        clients.step(&mut sim, false);
        sim.run(STEP_MS);
    }
    clients.check()?;
    let first = &sim.hosts[0].machine;
    if sim.hosts.iter().any(|host| host.machine != *first) {
        return Err("state machines of the voters differ".to_owned());
    }
    Ok(clients.operations.len())
}

/// Runs the schedule of one seed, and returns a failed assertion as an error.
fn run_catching_panics(seed: u64, flaw: Flaw) -> Result<usize, String> {
    let result = panic::catch_unwind(AssertUnwindSafe(|| run(seed, flaw)));
    result.unwrap_or_else(|_| Err("an assertion failed".to_owned()))
}

/// Returns the first seed for which the checks detect `flaw`; a group that is stuck does not count.
fn first_failing_seed(flaw: Flaw) -> Option<(u64, String)> {
    let failure = |seed| {
        let error = run_catching_panics(seed, flaw)
            .err()
            .filter(|error| error != STUCK);
        error.map(|error| (seed, error))
    };
    (0..MAX_FLAW_SEEDS).find_map(failure)
}

/// Guards against lost, duplicated or reordered effects under crashes, lost disks, cut links, lost
/// messages and clock drift.
#[test]
fn histories_are_linearizable() {
    let first = env_number("HISTORY_FIRST", 0);
    let seeds = env_number("HISTORY_SEEDS", SEEDS);
    let worker = move |offset: u64| {
        let seeds = (first + offset..first + seeds).step_by(THREADS as usize);
        let run = |seed| match run_catching_panics(seed, Flaw::None) {
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

/// Shows that the checks detect a member that confirms writes before they are synced.
#[test]
fn checks_detect_a_skipped_sync() {
    let (seed, error) = first_failing_seed(Flaw::SkipSync).expect("a seed shows the lost entries");
    println!("seed {seed}: {error}");
}

/// Shows that the checks detect a member that keeps its id although its disk is empty, and so may
/// vote twice or forget accepted entries.
#[test]
fn checks_detect_a_reused_member_id_with_an_empty_disk() {
    let (seed, error) = first_failing_seed(Flaw::ReuseId).expect("a seed shows the lost entries");
    println!("seed {seed}: {error}");
}
