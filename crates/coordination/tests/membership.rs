//! Tests of the failure detector in simulated fleets, under seeded schedules of faults.

mod common;
mod gossip_sim;

use common::address;
use common::name;
use gossip_sim::Fleet;
use gossip_sim::HostState;

use coordination::gossip::Change;
use coordination::gossip::Event;
use coordination::host::Load;
use coordination::host::Standing;

const HOSTS: usize = 8;
const JOIN_MS: u64 = 15_000;
const DETECTION_MS: u64 = 10_000;
const SEEDS: std::ops::Range<u64> = 0..20;

fn joined(hosts: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(hosts, seed);
    let joined_after = fleet.run_until(JOIN_MS, Fleet::has_converged);
    assert!(
        joined_after.is_some(),
        "seed {seed}: the hosts did not find each other"
    );
    fleet.changes.clear();
    fleet
}

fn suspicions(fleet: &Fleet) -> Vec<&(u64, usize, Change)> {
    let is_suspicion = |change: &Change| matches!(change, Change::Suspected(_) | Change::Died(_));
    fleet
        .changes
        .iter()
        .filter(|(_, _, c)| is_suspicion(c))
        .collect()
}

/// A fault, and the standing that every other host must give host 5 afterwards.
struct Case {
    fault: fn(&mut Fleet),
    name: &'static str,
    standing: Standing,
}

const CASES: &[Case] = &[
    Case {
        fault: |_| {},
        name: "no fault",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| fleet.set_state(5, HostState::Killed),
        name: "killed",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| fleet.set_state(5, HostState::Frozen),
        name: "frozen",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| fleet.partition(&[5], &[0, 1, 2, 3, 4, 6, 7]),
        name: "partitioned from all others",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| (0..HOSTS).filter(|p| *p != 5).for_each(|p| fleet.cut(5, p)),
        name: "everything that it sends is lost",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| (0..HOSTS).filter(|p| *p != 5).for_each(|p| fleet.cut(p, 5)),
        name: "everything sent to it is lost",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| fleet.partition(&[5], &[0, 1, 2]),
        name: "partitioned from three of seven",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| fleet.cut(5, 0),
        name: "one link cut in one direction",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| fleet.restart(5),
        name: "restarted",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| fleet.restart_with_old_clock(5),
        name: "restarted with a clock that went back",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| fleet.deliver_event(5, Event::Drain),
        name: "draining",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| {
            fleet.deliver_event(5, Event::Leave);
            fleet.run(300);
            fleet.set_state(5, HostState::Killed);
        },
        name: "left",
        standing: Standing::Left,
    },
];

// Guards against confusing partial faults (a cut link, a one-way partition, a restart) with the
// death of a host, and against taking down other hosts with it.
#[test]
fn each_fault_leads_to_its_own_standing_and_affects_no_other_host() {
    for case in CASES {
        for seed in SEEDS {
            let mut fleet = joined(HOSTS, seed);
            (case.fault)(&mut fleet);
            fleet.run(DETECTION_MS);
            for observer in (0..HOSTS).filter(|index| *index != 5) {
                assert_eq!(
                    fleet.standing(observer, 5),
                    Some(case.standing),
                    "{}, seed {seed}, seen by {observer}",
                    case.name,
                );
                let others = (0..HOSTS).filter(|index| ![5, observer].contains(index));
                for other in others {
                    let standing = fleet.standing(observer, other);
                    assert_eq!(standing, Some(Standing::Alive), "{}, {seed}", case.name);
                }
            }
        }
    }
}

// Probes through relays that are down themselves must not make a healthy host look dead.
#[test]
fn a_fault_of_one_host_never_makes_another_suspected_or_dead() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.set_state(3, HostState::Frozen);
        fleet.set_state(6, HostState::Killed);
        fleet.run(30_000);
        for (at, _, change) in &fleet.changes {
            if let Change::Died(host) | Change::Suspected(host) = change {
                assert!(
                    [name(3), name(6)].contains(host),
                    "seed {seed} at {at}: {host}"
                );
            }
        }
    }
}

// Other hosts still reach the host, so only the view of the host behind the cut link changes.
#[test]
fn a_cut_link_makes_a_host_unreachable_until_it_is_restored() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.cut(5, 0);
        fleet.run(30_000);
        let view = fleet.view(0);
        assert!(!view.get(name(5)).unwrap().reachable, "seed {seed}");
        assert!(fleet.view(1).get(name(5)).unwrap().reachable, "seed {seed}");
        fleet.heal();
        fleet.run(30_000);
        assert!(fleet.view(0).get(name(5)).unwrap().reachable, "seed {seed}");
    }
}

// After a pause all probes of the host seem overdue; it must not blame the other hosts for that.
#[test]
fn a_host_frozen_for_an_hour_rejoins_without_suspecting_others() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.set_state(5, HostState::Frozen);
        fleet.run(3_600_000);
        assert_eq!(fleet.standing(0, 5), Some(Standing::Dead));
        fleet.changes.clear();
        fleet.set_state(5, HostState::Runs);
        assert!(
            fleet
                .run_until(DETECTION_MS, Fleet::has_converged)
                .is_some(),
            "seed {seed}"
        );
        assert_eq!(
            suspicions(&fleet),
            Vec::<&(u64, usize, Change)>::new(),
            "seed {seed}"
        );
    }
}

// A host that gets no answer at all must conclude that it is cut off, not that all others died.
#[test]
fn a_partitioned_host_is_isolated_and_declares_no_host_dead() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.partition(&[5], &[0, 1, 2, 3, 4, 6, 7]);
        fleet.run(60_000);
        let view = fleet.view(5);
        assert!(view.isolated, "seed {seed}");
        assert_eq!(view.count(Standing::Dead), 0, "seed {seed}");
        fleet.heal();
        assert!(
            fleet.run_until(JOIN_MS, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
        assert!(!fleet.view(5).isolated, "seed {seed}");
    }
}

// Each side declares the other dead and no longer probes it, so something else must reconnect them.
#[test]
fn the_sides_of_a_partition_of_an_hour_merge_again() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
        fleet.run(3_600_000);
        assert_eq!(fleet.standing(0, 4), Some(Standing::Dead));
        assert_eq!(fleet.standing(4, 5), Some(Standing::Alive));
        fleet.heal();
        assert!(
            fleet.run_until(30_000, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
    }
}

// The first three hosts are the seeds of all, so only calls of dead hosts can reconnect the sides.
#[test]
fn the_sides_of_a_partition_merge_again_without_any_seed() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
        fleet.run(DETECTION_MS);
        (0..3).for_each(|index| fleet.set_state(index, HostState::Killed));
        fleet.run(DETECTION_MS);
        fleet.heal();
        assert!(
            fleet.run_until(60_000, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
    }
}

// While this process is paused, the timeout of a suspicion passes, but no refutation can arrive.
#[test]
fn a_suspicion_from_before_a_pause_does_not_become_a_death() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.partition(&[5], &[0, 1, 2, 3, 4, 6, 7]);
        let has_suspect = |fleet: &Fleet| fleet.view(5).count(Standing::Suspect) > 0;
        assert!(
            fleet.run_until(DETECTION_MS, has_suspect).is_some(),
            "seed {seed}"
        );
        fleet.set_state(5, HostState::Frozen);
        fleet.heal();
        fleet.run(3_600_000);
        fleet.changes.clear();
        fleet.set_state(5, HostState::Runs);
        fleet.run(DETECTION_MS);
        let is_death = |change: &Change| matches!(change, Change::Died(_));
        assert!(
            !fleet.changes.iter().any(|(_, _, c)| is_death(c)),
            "seed {seed}"
        );
        assert!(fleet.has_converged(), "seed {seed}");
    }
}

// No new process knows another host, so all have to find each other through the seeds.
#[test]
fn hosts_that_all_restart_at_once_form_one_fleet() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        (0..HOSTS).for_each(|index| fleet.restart(index));
        assert!(
            fleet.run_until(JOIN_MS, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
        fleet.changes.clear();
        fleet.run(30_000);
        assert_eq!(
            suspicions(&fleet),
            Vec::<&(u64, usize, Change)>::new(),
            "seed {seed}"
        );
    }
}

// One seed refuses connections, and another one never answers.
#[test]
fn a_host_joins_while_two_of_three_seeds_are_gone() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.set_state(0, HostState::Killed);
        fleet.set_state(1, HostState::Frozen);
        fleet.restart(7);
        assert!(
            fleet.run_until(JOIN_MS, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
    }
}

// The restart is still being spread when the second host dies.
#[test]
fn the_loss_of_a_host_right_after_the_restart_of_another_is_detected() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.set_state(4, HostState::Killed);
        fleet.run(4_000);
        fleet.restart(4);
        fleet.run(200);
        fleet.set_state(5, HostState::Killed);
        assert!(
            fleet
                .run_until(DETECTION_MS, Fleet::has_converged)
                .is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_restart_and_a_load_change_reach_every_host() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.restart(2);
        fleet.deliver_event(3, Event::Load(Load::Overloaded));
        fleet.run(5_000);
        for observer in (0..HOSTS).filter(|index| ![2, 3].contains(index)) {
            let reported = |change: Change| {
                fleet
                    .changes
                    .iter()
                    .any(|(_, p, c)| (*p, c) == (observer, &change))
            };
            assert!(
                reported(Change::Restarted(name(2))),
                "seed {seed}, {observer}"
            );
            assert!(
                reported(Change::LoadChanged(name(3))),
                "seed {seed}, {observer}"
            );
        }
    }
}

// Two hosts that are configured with the same name supersede each other's records.
#[test]
fn a_second_host_with_the_same_name_is_reported() {
    let mut fleet = joined(HOSTS, 1);
    let mut record = fleet.view(5).get(name(5)).unwrap().record.clone();
    record.profile.peer = address(7);
    record.version.run += 1;
    let mut message = message_from(&fleet, 4);
    message.updates = vec![record];
    fleet.deliver_message(5, message);
    let name_taken = Change::NameTaken(address(7));
    assert!(
        fleet
            .changes
            .iter()
            .any(|(_, index, c)| (*index, c) == (5, &name_taken))
    );
}

fn message_from(fleet: &Fleet, index: usize) -> coordination::gossip::Message {
    let view = fleet.view(index);
    coordination::gossip::Message {
        body: coordination::gossip::Body::Probe,
        digest: 0,
        from: name(index),
        updates: Vec::new(),
        version: view.get(name(index)).unwrap().record.version,
    }
}

/// Returns the bytes and messages that one host sends per second.
fn traffic_per_host(fleet: &mut Fleet) -> (u64, f64) {
    const SECONDS: u64 = 20;
    let (bytes, messages) = (fleet.bytes, fleet.messages);
    fleet.run(SECONDS * 1_000);
    let host_seconds = SECONDS * fleet.running().len() as u64;
    let sent = (fleet.messages - messages) as f64 / host_seconds as f64;
    ((fleet.bytes - bytes) / host_seconds, sent)
}

// The traffic of each host must not grow with the size of the fleet.
#[test]
fn a_death_reaches_390_hosts_within_seconds_at_no_more_than_twice_the_traffic_of_8() {
    let mut small = joined(HOSTS, 1);
    small.run(30_000);
    let mut large = joined(390, 1);
    large.run(60_000);
    let (small_cost, large_cost) = (traffic_per_host(&mut small), traffic_per_host(&mut large));
    println!(
        "seed 1, bytes and messages per second: {small_cost:?} at 8 hosts, {large_cost:?} at 390"
    );
    assert!(large_cost.0 <= small_cost.0 * 2);
    large.set_state(77, HostState::Killed);
    let suspected = large.run_until(DETECTION_MS, |fleet| {
        let indices = fleet.running();
        indices
            .iter()
            .all(|p| fleet.standing(*p, 77) != Some(Standing::Alive))
    });
    let dead = large.run_until(DETECTION_MS, Fleet::has_converged);
    println!("seed 1, 390 hosts: suspected after {suspected:?} ms, dead {dead:?} ms later");
    assert!(suspected.is_some() && dead.is_some());
}

// Every message carries up to 12 records.
#[test]
fn a_record_takes_at_most_64_bytes() {
    let fleet = Fleet::start(1, 1);
    let mut record = fleet.view(0).hosts[0].record.clone();
    record.version.run = 1_800_000_000_000;
    let bytes = postcard::to_stdvec(&record).unwrap().len();
    println!("a record has {bytes} bytes");
    assert!(bytes <= 64);
}
