//! Tests of a Raft group whose hosts lose their disks one after another.

mod raft_sim;

use std::net::SocketAddr;

use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;
use coordination::quorum::Change;
use coordination::quorum::Config;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::voters;
use coordination::voters::HostFolder;

/// Longest time from a loss to the next one of the same host, in milliseconds; a repair takes less.
const LONGEST_GAP_MS: u64 = 400;
const GAP_STEP_MS: u64 = 4;
const RECOVERY_LIMIT_MS: u64 = 10_000;

fn address(host: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16))
}

fn member(host: u64, votes: bool) -> Member {
    Member {
        address: address(host),
        name: format!("h{host}"),
        votes,
    }
}

fn folder(host: u64, identity: u64) -> HostFolder {
    HostFolder {
        address: address(host),
        identity: MemberId(identity),
        name: format!("h{host}"),
    }
}

/// Returns three voters, whose ids are those of their hosts, and a learner `learner` on host 2.
fn config(learner: Option<u64>) -> Config {
    let voters = (0..3).map(|host| (MemberId(host), member(host, true)));
    let learner = learner.map(|identity| (MemberId(identity), member(2, false)));
    Config {
        group: MemberId(0),
        members: voters.chain(learner).collect(),
    }
}

/// Guards against a group that ends because a host loses its disk again while it is repaired: both
/// the lost member and its lost successor counted as voters.
#[test]
fn a_host_that_loses_its_disk_again_and_again_never_ends_the_group() {
    for gap in (0..=LONGEST_GAP_MS).step_by(GAP_STEP_MS as usize) {
        for host in 0..3 {
            let mut sim = Sim::new(gap, 3, Flaw::None);
            for _ in 0..3 {
                sim.lose_disk(host);
                sim.run(gap);
            }
            sim.run_until(RECOVERY_LIMIT_MS, Sim::has_recovered);
        }
    }
}

/// Guards against a lost voter that counts until its successor votes.
#[test]
fn a_voter_whose_disk_is_lost_is_removed_before_its_successor_is_added() {
    let steps = voters::steps(&config(None), &[folder(1, 1), folder(2, 12)], None);
    let add = Change::Add(MemberId(12), member(2, false));
    assert_eq!(steps[0], [Change::Remove(MemberId(2)), add]);
}

/// Guards against a repair that waits for ever for a learner whose disk is lost.
#[test]
fn a_learner_whose_disk_is_lost_is_removed_and_never_promoted() {
    let steps = voters::steps(&config(Some(12)), &[folder(2, 22)], None);
    let add = Change::Add(MemberId(22), member(2, false));
    assert_eq!(steps[0], [Change::Remove(MemberId(2)), add]);
    assert_eq!(steps[1], [Change::Remove(MemberId(12))]);
    assert!(!steps.concat().contains(&Change::Promote(MemberId(12))));
}

/// Guards against a promotion of a learner whose host is down, and against one that holds up all
/// other changes.
#[test]
fn a_learner_that_does_not_answer_holds_up_no_other_change() {
    let removable = Some(MemberId(2));
    let steps = voters::steps(&config(Some(12)), &[], removable);
    assert_eq!(steps, [[Change::Remove(MemberId(2))]]);
}
