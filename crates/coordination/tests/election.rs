//! Tests of how long a Raft group has no leader after it lost one.

mod raft_sim;

use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;
use coordination::raft_settings::Settings;

/// Longest time until a voter notices the loss: the election timeout with its whole jitter, and the
/// drift of its clock.
const NOTICE_MS: u64 = 1_212;
/// Time for a request for pre-votes that is sent again and for the votes, on a light network.
const VOTES_MS: u64 = 350;
const SEEDS: u64 = 400;

/// Guards against voters that ask for votes at the same moment, again and again, and against one
/// that waits for another election timeout because the others heard of the leader a moment later.
#[test]
fn a_lost_leader_is_followed_by_another_within_one_election_timeout() {
    for voters in [3, 5] {
        let mut longest = 0;
        for seed in 0..SEEDS {
            let mut sim = Sim::with_settings(seed, voters, Flaw::None, Settings::default());
            sim.run(seed * 7 % NOTICE_MS);
            let lost = sim.leader().expect("a voter leads");
            sim.crash(lost);
            let start = sim.now;
            sim.run_until(60_000, |sim| sim.leader().is_some());
            longest = longest.max(sim.now - start);
        }
        println!("{voters} voters: no leader for at most {longest} ms");
        assert!(
            longest <= NOTICE_MS + VOTES_MS,
            "{longest} ms with {voters} voters"
        );
    }
}
