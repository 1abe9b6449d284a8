//! Tests of the failure detector under seeded schedules of faults.

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
const NOTICE_MS: u64 = 10_000;
const SEEDS: std::ops::Range<u64> = 0..20;

fn joined(hosts: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(hosts, seed);
    let took = fleet.run_until(JOIN_MS, Fleet::has_converged);
    assert!(
        took.is_some(),
        "seed {seed}: the hosts do not find each other"
    );
    fleet.changes.clear();
    fleet
}

fn suspicions(fleet: &Fleet) -> Vec<&(u64, usize, Change)> {
    let bad = |change: &Change| matches!(change, Change::Suspected(_) | Change::Died(_));
    fleet.changes.iter().filter(|(_, _, c)| bad(c)).collect()
}

/// Describes a fault and what every other host must hold of host 5 afterwards.
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
        name: "cut off both ways",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| (0..HOSTS).filter(|p| *p != 5).for_each(|p| fleet.cut(5, p)),
        name: "cut off one way, what it sends is lost",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| (0..HOSTS).filter(|p| *p != 5).for_each(|p| fleet.cut(p, 5)),
        name: "cut off one way, what it should get is lost",
        standing: Standing::Dead,
    },
    Case {
        fault: |fleet| fleet.partition(&[5], &[0, 1, 2]),
        name: "cut off from three of seven",
        standing: Standing::Alive,
    },
    Case {
        fault: |fleet| fleet.cut(5, 0),
        name: "one link cut one way",
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

#[test]
fn every_fault_is_told_from_the_others() {
    for case in CASES {
        for seed in SEEDS {
            let mut fleet = joined(HOSTS, seed);
            (case.fault)(&mut fleet);
            fleet.run(NOTICE_MS);
            for observer in (0..HOSTS).filter(|place| *place != 5) {
                assert_eq!(
                    fleet.standing(observer, 5),
                    Some(case.standing),
                    "{}, seed {seed}, seen by {observer}",
                    case.name,
                );
                let others = (0..HOSTS).filter(|place| ![5, observer].contains(place));
                for other in others {
                    let standing = fleet.standing(observer, other);
                    assert_eq!(standing, Some(Standing::Alive), "{}, {seed}", case.name);
                }
            }
        }
    }
}

#[test]
fn a_fault_of_one_host_never_kills_another() {
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

#[test]
fn a_cut_link_is_noticed_and_its_mending_too() {
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

#[test]
fn a_frozen_host_comes_back_after_an_hour_and_kills_nobody() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.set_state(5, HostState::Frozen);
        fleet.run(3_600_000);
        assert_eq!(fleet.standing(0, 5), Some(Standing::Dead));
        fleet.changes.clear();
        fleet.set_state(5, HostState::Runs);
        assert!(
            fleet.run_until(NOTICE_MS, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
        assert_eq!(
            suspicions(&fleet),
            Vec::<&(u64, usize, Change)>::new(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_host_that_is_cut_off_knows_it_and_holds_nobody_dead() {
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

#[test]
fn two_sides_of_a_cut_of_an_hour_meet_again() {
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

#[test]
fn two_sides_of_a_cut_meet_again_with_all_seeds_gone() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
        fleet.run(NOTICE_MS);
        (0..3).for_each(|place| fleet.set_state(place, HostState::Killed));
        fleet.run(NOTICE_MS);
        fleet.heal();
        assert!(
            fleet.run_until(60_000, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_suspicion_from_before_a_pause_does_not_end_in_a_death() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.partition(&[5], &[0, 1, 2, 3, 4, 6, 7]);
        let suspects = |fleet: &Fleet| fleet.view(5).count(Standing::Suspect) > 0;
        assert!(
            fleet.run_until(NOTICE_MS, suspects).is_some(),
            "seed {seed}"
        );
        fleet.set_state(5, HostState::Frozen);
        fleet.heal();
        fleet.run(3_600_000);
        fleet.changes.clear();
        fleet.set_state(5, HostState::Runs);
        fleet.run(NOTICE_MS);
        let died = |change: &Change| matches!(change, Change::Died(_));
        assert!(
            !fleet.changes.iter().any(|(_, _, c)| died(c)),
            "seed {seed}"
        );
        assert!(fleet.has_converged(), "seed {seed}");
    }
}

#[test]
fn a_herd_of_restarts_forms_one_fleet() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        (0..HOSTS).for_each(|place| fleet.restart(place));
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

#[test]
fn a_host_that_joins_with_two_seeds_of_three_gone_finds_all() {
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

#[test]
fn a_second_host_lost_right_after_a_restart_is_noticed() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.set_state(4, HostState::Killed);
        fleet.run(4_000);
        fleet.restart(4);
        fleet.run(200);
        fleet.set_state(5, HostState::Killed);
        assert!(
            fleet.run_until(NOTICE_MS, Fleet::has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_restart_and_a_load_are_told_to_all() {
    for seed in SEEDS {
        let mut fleet = joined(HOSTS, seed);
        fleet.restart(2);
        fleet.deliver_event(3, Event::Load(Load::Overloaded));
        fleet.run(5_000);
        for observer in (0..HOSTS).filter(|place| ![2, 3].contains(place)) {
            let told = |change: Change| {
                fleet
                    .changes
                    .iter()
                    .any(|(_, p, c)| (*p, c) == (observer, &change))
            };
            assert!(told(Change::Restarted(name(2))), "seed {seed}, {observer}");
            assert!(
                told(Change::LoadChanged(name(3))),
                "seed {seed}, {observer}"
            );
        }
    }
}

#[test]
fn another_host_of_the_same_name_is_reported() {
    let mut fleet = joined(HOSTS, 1);
    let mut record = fleet.view(5).get(name(5)).unwrap().record.clone();
    record.profile.peer = address(7);
    record.version.run += 1;
    let mut message = message_from(&fleet, 4);
    message.updates = vec![record];
    fleet.deliver_message(5, message);
    let taken = Change::NameTaken(address(7));
    assert!(
        fleet
            .changes
            .iter()
            .any(|(_, place, c)| (*place, c) == (5, &taken))
    );
}

fn message_from(fleet: &Fleet, place: usize) -> coordination::gossip::Message {
    let view = fleet.view(place);
    coordination::gossip::Message {
        body: coordination::gossip::Body::Probe,
        digest: 0,
        from: name(place),
        updates: Vec::new(),
        version: view.get(name(place)).unwrap().record.version,
    }
}

/// Returns the bytes and messages that each host sends in a second.
fn cost(fleet: &mut Fleet) -> (u64, f64) {
    const SECONDS: u64 = 20;
    let (bytes, messages) = (fleet.bytes, fleet.messages);
    fleet.run(SECONDS * 1_000);
    let each = SECONDS * fleet.running().len() as u64;
    let sent = (fleet.messages - messages) as f64 / each as f64;
    ((fleet.bytes - bytes) / each, sent)
}

#[test]
fn a_death_is_known_to_390_hosts_within_seconds_and_costs_no_more_than_among_8() {
    let mut small = joined(HOSTS, 1);
    small.run(30_000);
    let mut large = joined(390, 1);
    large.run(60_000);
    let (few, many) = (cost(&mut small), cost(&mut large));
    println!("seed 1, bytes and messages a second: {few:?} at 8 hosts, {many:?} at 390");
    assert!(many.0 <= few.0 * 2);
    large.set_state(77, HostState::Killed);
    let suspected = large.run_until(NOTICE_MS, |fleet| {
        let places = fleet.running();
        places
            .iter()
            .all(|p| fleet.standing(*p, 77) != Some(Standing::Alive))
    });
    let dead = large.run_until(NOTICE_MS, Fleet::has_converged);
    println!("seed 1, 390 hosts: suspected after {suspected:?} ms, dead {dead:?} ms later");
    assert!(suspected.is_some() && dead.is_some());
}

#[test]
fn a_report_is_small() {
    let fleet = Fleet::start(1, 1);
    let mut record = fleet.view(0).hosts[0].record.clone();
    record.version.run = 1_800_000_000_000;
    let bytes = postcard::to_stdvec(&record).unwrap().len();
    println!("a report has {bytes} bytes");
    assert!(bytes <= 64);
}
