//! Measures, in virtual time, how long a Raft group has no leader after it loses one.
//!
//! Run with `cargo run --release -p coordination --example election`.

#[path = "../tests/raft_sim/mod.rs"]
mod raft_sim;

use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;

const ELECTION_TIMEOUT_MS: u64 = 200;
const RECOVERY_LIMIT_MS: u64 = 60_000;
const SEEDS: u64 = 1_000;

fn main() {
    type Fault = fn(&mut Sim, usize);
    let faults: [(&str, Fault); 3] = [
        ("the leader crashes", |sim, leader| sim.crash(leader)),
        ("the leader is cut off", |sim, leader| {
            sim.cut_links(leader, true, true)
        }),
        ("the leader cannot send", |sim, leader| {
            sim.cut_links(leader, true, false)
        }),
    ];
    for voters in [3, 5] {
        for (name, fault) in faults {
            let mut times: Vec<u64> = (0..SEEDS)
                .map(|seed| election_time(seed, voters, fault))
                .collect();
            times.sort_unstable();
            let percentile = |percent: usize| times[(times.len() - 1) * percent / 100] / 10;
            let (p50, p99, longest) = (percentile(50), percentile(99), percentile(100));
            println!(
                "{voters} voters, {name}: p50 {p50}, p99 {p99}, longest {longest} tenths of the \
                 election timeout",
            );
        }
    }
}

/// Returns the time to a new leader, in hundredths of the election timeout.
fn election_time(seed: u64, voters: usize, fault: fn(&mut Sim, usize)) -> u64 {
    let mut sim = Sim::new(seed, voters, Flaw::None);
    let offset_ms = seed * 7 % ELECTION_TIMEOUT_MS;
    sim.run(offset_ms);
    let old = sim.leader().expect("a voter leads");
    fault(&mut sim, old);
    let start_ms = sim.now;
    sim.run_until(RECOVERY_LIMIT_MS, |sim| {
        sim.leader().is_some_and(|leader| leader != old)
    });
    (sim.now - start_ms) * 100 / ELECTION_TIMEOUT_MS
}
