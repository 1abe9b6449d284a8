//! Measures, in virtual time, how long a group serves nothing after its leader is lost.
//!
//! Run with `cargo run --release -p coordination --example election`.

#[path = "../tests/raft_sim/mod.rs"]
mod raft_sim;

use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;

const ELECTION_MS: u64 = 200;
const LIMIT_MS: u64 = 60_000;
const SEEDS: u64 = 1_000;

fn main() {
    type Fault = fn(&mut Sim, usize);
    let faults: [(&str, Fault); 3] = [
        ("the leader crashes", |sim, leader| sim.crash(leader)),
        ("the leader is cut off", |sim, leader| {
            sim.cut(leader, true, true)
        }),
        ("the leader is not heard", |sim, leader| {
            sim.cut(leader, true, false)
        }),
    ];
    for voters in [3, 5] {
        for (name, fault) in faults {
            let mut times: Vec<u64> = (0..SEEDS).map(|seed| time(seed, voters, fault)).collect();
            times.sort_unstable();
            let part = |percent: usize| times[(times.len() - 1) * percent / 100] / 10;
            let (half, most, worst) = (part(50), part(99), part(100));
            println!(
                "{voters} voters, {name}: p50 {half}, p99 {most}, longest {worst} tenths of the \
                 election timeout",
            );
        }
    }
}

/// Returns the time to a new leader, in hundredths of the election timeout.
fn time(seed: u64, voters: usize, fault: fn(&mut Sim, usize)) -> u64 {
    let mut sim = Sim::new(seed, voters, Flaw::None);
    let wait = seed * 7 % ELECTION_MS;
    sim.run(wait);
    let old = sim.leader().expect("a voter leads");
    fault(&mut sim, old);
    let began = sim.now;
    sim.until(LIMIT_MS, |sim| {
        sim.leader().is_some_and(|leader| leader != old)
    });
    (sim.now - began) * 100 / ELECTION_MS
}
