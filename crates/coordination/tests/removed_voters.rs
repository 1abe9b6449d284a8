//! Tests of a Raft group whose voters are removed for good, one after another, while the failure
//! detector still holds them to be alive.

#[allow(dead_code, reason = "only the profile is used")]
mod common;
mod raft_sim;

use std::collections::BTreeMap;

use common::profile;
use rand::RngExt;

use crate::raft_sim::Flaw;
use crate::raft_sim::Sim;
use crate::raft_sim::member;
use coordination::host::Record;
use coordination::host::Role;
use coordination::host::Standing;
use coordination::host::Version;
use coordination::quorum::Change;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::raft::Event;
use coordination::raft::Raft;
use coordination::raft_message::Token;
use coordination::raft_settings::Settings;
use coordination::view;
use coordination::view::View;
use coordination::voters::Health;
use coordination::voters::HostFolder;
use coordination::voters::Plan;

/// Time from a removal until the successor starts.
const SUCCESSOR_MS: u64 = 100;
/// Time from the start of a successor until the next removal, which is what a repair may take.
const CATCH_UP_MS: u64 = 4_000;
/// Longest time in which a host answers the question for its folder.
const LONGEST_ANSWER_MS: u64 = 250;
const LOOK_MS: u64 = 50;
const RECOVERY_LIMIT_MS: u64 = 10_000;
const ROUNDS: usize = 4;
const SEEDS: u64 = 60;
const STEP_MS: u64 = 5;

/// The upkeep of the voters at the leader: questions with the times of their answers, and the
/// changes that are still to be made.
struct Upkeep {
    answers_at: BTreeMap<String, u64>,
    looked_at: u64,
    /// Index of the log up to which the change before must be committed.
    committed_first: u64,
    plan: Plan,
    steps: Vec<Change>,
    target: usize,
    term: u64,
}

impl Upkeep {
    fn new(target: usize) -> Self {
        Self {
            answers_at: BTreeMap::new(),
            looked_at: 0,
            committed_first: 0,
            plan: Plan::default(),
            steps: Vec::new(),
            target,
            term: 0,
        }
    }

    /// Does what the present leader would do at this moment.
    fn run(&mut self, sim: &mut Sim) {
        let Some(leader) = sim.leader() else {
            return;
        };
        let raft = sim.hosts[leader].raft.as_ref().expect("the leader runs");
        if raft.term() != self.term {
            *self = Self::new(self.target);
            self.term = raft.term();
        }
        if raft.commit_index() < self.committed_first {
            return;
        }
        if let Some(change) = self.steps.pop() {
            let before = raft.last_position();
            sim.step(leader, Event::Change(Token(0), change));
            let raft = sim.hosts[leader].raft.as_ref().expect("the leader runs");
            match raft.last_position() == before {
                false => self.committed_first = raft.last_position().index,
                true => self.steps.clear(),
            }
            return;
        }
        let plan = plan(sim, leader, self.target);
        let config = raft.config().clone();
        if sim.now >= self.looked_at + LOOK_MS || plan != self.plan {
            self.looked_at = sim.now;
            let questions = plan.questions.keys();
            let answers = questions.map(|name| {
                let after = sim.rng.random_range(1..=LONGEST_ANSWER_MS);
                (name.clone(), sim.now + after)
            });
            let answers: Vec<(String, u64)> = answers.collect();
            if plan != self.plan || self.answers_at.values().all(|at| *at <= sim.now) {
                self.answers_at = answers.into_iter().collect();
            }
            self.plan = plan;
        }
        let arrived = self.answers_at.iter().filter(|(_, at)| **at <= sim.now);
        let answers =
            arrived.filter_map(|(name, _)| Some((name.clone(), Some(folder(sim, name)?))));
        let answers = answers.collect();
        let steps = self.plan.steps(&config, &answers).unwrap_or_default();
        if let Some(mut step) = steps.into_iter().next() {
            step.reverse();
            self.steps = step;
            self.answers_at.clear();
        }
    }
}

/// Returns the folder of a host; one that is gone never answers.
fn folder(sim: &Sim, name: &str) -> Option<HostFolder> {
    let host = (0..sim.hosts.len()).find(|host| member(*host).name == name)?;
    sim.hosts[host].raft.as_ref()?;
    let Member { address, name, .. } = member(host);
    Some(HostFolder {
        address,
        identity: sim.hosts[host].disk.identity,
        name,
    })
}

fn plan(sim: &Sim, leader: usize, target: usize) -> Plan {
    let mut hosts: Vec<view::Member> = (0..sim.hosts.len()).map(alive).collect();
    hosts.sort_by(|a, b| a.record.host.cmp(&b.record.host));
    let view = View {
        hosts,
        isolated: false,
        me: member(leader).name,
    };
    let raft = sim.hosts[leader].raft.as_ref().expect("the leader runs");
    let health = Health {
        config: raft.config(),
        silences: &raft.silences(),
        target,
        view: &view,
    };
    health.plan([])
}

fn alive(host: usize) -> view::Member {
    let Member { address, name, .. } = member(host);
    let mut profile = profile(host, 3);
    profile.peer = address;
    profile.roles = [Role::Voter].into_iter().collect();
    view::Member {
        reachable: true,
        record: Record {
            host: name,
            profile,
            standing: Standing::Alive,
            version: Version::default(),
        },
    }
}

/// Returns whether exactly the hosts that run vote, and the leader knows this to be committed.
fn is_repaired(sim: &Sim) -> bool {
    let running = sim.hosts.iter().filter_map(|host| host.raft.as_ref());
    let mut running: Vec<MemberId> = running.map(Raft::identity).collect();
    running.sort_unstable();
    let leader = sim
        .leader()
        .and_then(|leader| sim.hosts[leader].raft.as_ref());
    leader.is_some_and(|raft| {
        let config = raft.config();
        let voters = config.members.len() == running.len() && config.voters().eq(running);
        voters && raft.commit_index() == raft.last_position().index
    })
}

/// Removes `lost` voters at a time, the leader among them in every other round, and returns the
/// longest time that a repair took from the start of the successors.
fn longest_repair(seed: u64, voters: usize, lost: usize) -> u64 {
    let mut sim = Sim::with_settings(seed, voters, Flaw::None, Settings::default());
    sim.mends = false;
    let mut upkeep = Upkeep::new(voters);
    let mut longest = 0;
    for round in 0..ROUNDS {
        let leader = sim.leader().expect("a voter leads");
        let running = |host: &usize| sim.hosts[*host].raft.is_some();
        let mut others: Vec<usize> = (0..sim.hosts.len()).filter(running).collect();
        others.retain(|host| *host != leader);
        let mut gone: Vec<usize> = Vec::new();
        if (seed as usize + round).is_multiple_of(2) {
            gone.push(leader);
        }
        while gone.len() < lost {
            let place = sim.rng.random_range(0..others.len());
            gone.push(others.swap_remove(place));
        }
        for host in gone {
            sim.hosts[host].raft = None;
        }
        run(&mut sim, &mut upkeep, SUCCESSOR_MS, |_| false);
        for _ in 0..lost {
            sim.add_host();
            sim.lose_disk(sim.hosts.len() - 1);
        }
        let began = sim.now;
        run(&mut sim, &mut upkeep, RECOVERY_LIMIT_MS, is_repaired);
        let took = sim.now - began;
        longest = longest.max(took);
        if took < CATCH_UP_MS {
            run(&mut sim, &mut upkeep, CATCH_UP_MS - took, |_| false);
        }
    }
    longest
}

/// Runs for `millis` milliseconds, or until `done` holds.
fn run(sim: &mut Sim, upkeep: &mut Upkeep, millis: u64, done: impl Fn(&Sim) -> bool) {
    let end = sim.now + millis;
    while sim.now < end && !done(sim) {
        sim.run(STEP_MS);
        upkeep.run(sim);
    }
}

/// Guards against a group that ends because a voter is removed while the one before still counts:
/// the repair waited for the failure detector, and for answers of the host that was gone.
#[test]
fn voters_removed_one_after_another_are_replaced_in_time() {
    for (voters, lost) in [(3, 1), (5, 1), (5, 2)] {
        let times: Vec<u64> = (0..SEEDS)
            .map(|seed| longest_repair(seed, voters, lost))
            .collect();
        let late = times.iter().filter(|time| **time >= CATCH_UP_MS).count();
        let longest = times.iter().max();
        println!("{voters} voters, {lost} removed: longest repair {longest:?} ms");
        assert_eq!(
            late, 0,
            "{voters} voters, {lost} removed: longest {longest:?} ms"
        );
    }
}
