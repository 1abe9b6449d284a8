//! Checks that a request which crashes upstreams takes down at most two, and spares the others.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coordination::host::Load;
use coordination::host::Profile;
use coordination::host::Record;
use coordination::host::Role;
use coordination::host::Standing;
use coordination::host::Version;
use coordination::quarantine::MAX_CRASHES;
use coordination::quarantine::Outcome;
use coordination::quarantine::Policy;
use coordination::quarantine::Quarantine;
use coordination::quarantine::RunId;
use coordination::quarantine::Verdict;
use coordination::quarantine::ranked_owners;
use coordination::view::Member;
use coordination::view::View;
use state::ident::Digest;
use state::time::Instant;

const NOW: Instant = Instant(1_000);
const A: Digest = Digest([1; 32]);
const WAIT: Verdict = Verdict::Wait(20);

fn quarantine() -> Quarantine {
    Quarantine::new(Policy::default())
}

fn crash(quarantine: &mut Quarantine, run_id: u128) -> usize {
    assert_ne!(quarantine.enter(NOW, A, RunId(run_id)), WAIT);
    quarantine.leave(NOW, A, RunId(run_id), Outcome::Crashed)
}

#[test]
fn an_unproven_digest_runs_at_most_twice_at_once() {
    let mut quarantine = quarantine();
    assert_eq!(quarantine.enter(NOW, A, RunId(1)), Verdict::Run);
    assert_eq!(quarantine.enter(NOW, A, RunId(2)), Verdict::Run);
    assert_eq!(quarantine.enter(NOW, A, RunId(3)), WAIT);
    quarantine.leave(NOW, A, RunId(1), Outcome::Stopped);
    assert_eq!(quarantine.enter(NOW, A, RunId(3)), Verdict::Run);
}

#[test]
fn a_proven_digest_runs_without_bound() {
    let mut quarantine = quarantine();
    quarantine.enter(NOW, A, RunId(0));
    quarantine.leave(NOW, A, RunId(0), Outcome::Whole);
    for run_id in 1..100 {
        assert_eq!(quarantine.enter(NOW, A, RunId(run_id)), Verdict::Run);
    }
}

#[test]
fn a_suspect_runs_once_at_a_time_and_alone_among_suspects() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, 1);
    assert_eq!(quarantine.enter(NOW, A, RunId(2)), Verdict::RunAlone);
    assert_eq!(quarantine.enter(NOW, A, RunId(3)), WAIT);
    assert!(quarantine.isolate(NOW, "u", RunId(2)));
    assert!(quarantine.isolate(NOW, "u", RunId(2)));
    assert!(!quarantine.isolate(NOW, "u", RunId(9)));
    quarantine.release("u", RunId(2));
    assert!(quarantine.isolate(NOW, "u", RunId(9)));
}

#[test]
fn a_suspect_is_cleared_by_its_first_success() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, 1);
    quarantine.enter(NOW, A, RunId(2));
    assert_eq!(quarantine.leave(NOW, A, RunId(2), Outcome::Whole), 0);
    assert_eq!(quarantine.enter(NOW, A, RunId(3)), Verdict::Run);
}

#[test]
fn the_second_crash_holds_a_digest_back_for_a_while() {
    let mut quarantine = quarantine();
    assert_eq!(crash(&mut quarantine, 1), 1);
    assert_eq!(crash(&mut quarantine, 2), 2);
    let hold = Policy::default().quarantine_ms;
    let later = quarantine.enter(NOW + 1_000, A, RunId(3));
    assert_eq!(later, Verdict::Quarantined(hold - 1_000));
    assert_eq!(quarantine.quarantined_count(), 1);
    assert_eq!(quarantine.enter(NOW + hold, A, RunId(3)), Verdict::Run);
}

#[test]
fn two_runs_begun_before_the_first_crash_are_the_last() {
    let mut quarantine = quarantine();
    quarantine.enter(NOW, A, RunId(1));
    quarantine.enter(NOW, A, RunId(2));
    quarantine.leave(NOW, A, RunId(1), Outcome::Crashed);
    assert_eq!(quarantine.enter(NOW, A, RunId(3)), WAIT);
    quarantine.leave(NOW, A, RunId(2), Outcome::Crashed);
    let held = Verdict::Quarantined(Policy::default().quarantine_ms);
    assert_eq!(quarantine.enter(NOW, A, RunId(3)), held);
}

#[test]
fn a_run_whose_router_died_stops_counting() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, 1);
    quarantine.enter(NOW, A, RunId(2));
    let lease = Policy::default().lease_ms;
    assert!(quarantine.renew(NOW + (lease - 1), A, RunId(2)));
    assert_eq!(quarantine.enter(NOW + lease, A, RunId(3)), WAIT);
    let over = NOW + (2 * lease - 1);
    assert_eq!(quarantine.enter(over, A, RunId(3)), Verdict::RunAlone);
    assert!(!quarantine.renew(over, A, RunId(2)));
}

#[test]
fn a_new_owner_knows_the_crashes_that_it_was_told_of() {
    let mut quarantine = quarantine();
    quarantine.adopt(NOW, A, 1);
    assert_eq!(quarantine.enter(NOW, A, RunId(1)), Verdict::RunAlone);
    quarantine.adopt(NOW, A, 2);
    let held = Verdict::Quarantined(Policy::default().quarantine_ms);
    assert_eq!(quarantine.enter(NOW, A, RunId(2)), held);
}

#[test]
fn memory_is_bounded_and_forgets_what_is_over() {
    let policy = Policy {
        max_records: 10,
        ..Policy::default()
    };
    let mut quarantine = Quarantine::new(policy);
    for i in 0..100 {
        let digest = Digest([i; 32]);
        quarantine.enter(NOW, digest, RunId(1));
        quarantine.leave(NOW, digest, RunId(1), Outcome::Whole);
        assert!(quarantine.len() <= 11);
    }
    quarantine.prune(NOW + policy.memory_ms);
    assert!(quarantine.is_empty());
}

fn view(me: &str, draining: &str) -> View {
    let hosts = ["h1", "h2", "h3", "h4"].map(|host| Member {
        reachable: true,
        record: Record {
            host: host.to_owned(),
            profile: Profile {
                domain: "d".to_owned(),
                draining: host == draining,
                gateway: None,
                entry: None,
                load: Load::Normal,
                peer: ([127, 0, 0, 1], 1).into(),
                region: "r".to_owned(),
                roles: [Role::Broker].into_iter().collect(),
            },
            standing: Standing::Alive,
            version: Version::default(),
        },
    });
    View {
        hosts: hosts.to_vec(),
        isolated: false,
        me: me.to_owned(),
    }
}

fn owner(view: &View, digest: Digest) -> String {
    ranked_owners(view, digest)[0].record.host.clone()
}

#[test]
fn every_host_names_the_same_owner_and_work_is_spread() {
    let mut counts = [0; 4];
    for i in 0..4_000_u32 {
        let digest = Digest::of(&[&i.to_le_bytes()]);
        let chosen = owner(&view("h1", ""), digest);
        assert_eq!(owner(&view("h2", ""), digest), chosen);
        counts[["h1", "h2", "h3", "h4"]
            .iter()
            .position(|h| *h == chosen)
            .unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|c| (900..1_100).contains(c)),
        "{counts:?}"
    );
}

#[test]
fn a_host_that_leaves_hands_its_digests_to_the_next_in_rank() {
    let stays = view("h1", "");
    let leaves = view("h1", "h2");
    for i in 0..100_u32 {
        let digest = Digest::of(&[&i.to_le_bytes()]);
        let ranked = ranked_owners(&stays, digest);
        let first = ranked.iter().find(|m| m.record.host != "h2").unwrap();
        assert_eq!(owner(&leaves, digest), first.record.host);
    }
}

/// Holds one request somewhere in the fleet.
#[derive(Clone, Copy, Debug)]
struct Flight {
    digest: Digest,
    poison: bool,
    state: State,
    run_id: RunId,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Done,
    Held,
    Running { alone: bool, upstream: usize },
    Waiting,
}

/// Runs a fleet in which every request is sent again until it is answered or held back.
fn fleet(seed: u64, copies: usize, innocents: usize, upstreams: usize) -> (usize, usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = quarantine();
    let mut flights: Vec<Flight> = (0..copies + innocents)
        .map(|i| Flight {
            digest: Digest([if i < copies { 0 } else { i as u8 }; 32]),
            poison: i < copies,
            state: State::Waiting,
            run_id: RunId(i as u128),
        })
        .collect();
    let mut crashes = 0;
    for step in 0..20_000 {
        let now = NOW + step * 5;
        let i = rng.random_range(0..flights.len());
        let flight = flights[i];
        match flight.state {
            State::Done | State::Held => {}
            State::Waiting => {
                let upstream = rng.random_range(0..upstreams);
                let name = format!("u{upstream}");
                let alone = match quarantine.enter(now, flight.digest, flight.run_id) {
                    Verdict::Quarantined(_) => {
                        flights[i].state = State::Held;
                        continue;
                    }
                    Verdict::Run => false,
                    Verdict::RunAlone => true,
                    Verdict::Wait(_) => continue,
                };
                if alone && !quarantine.isolate(now, name, flight.run_id) {
                    quarantine.leave(now, flight.digest, flight.run_id, Outcome::Stopped);
                    continue;
                }
                flights[i].state = State::Running { alone, upstream };
            }
            State::Running { upstream, .. } if flight.poison => {
                crashes += 1;
                for other in &mut flights {
                    match other.state {
                        State::Running { upstream: on, .. } if on == upstream => {}
                        _ => continue,
                    }
                    quarantine.leave(now, other.digest, other.run_id, Outcome::Crashed);
                    quarantine.release(&format!("u{upstream}"), other.run_id);
                    other.state = State::Waiting;
                }
            }
            State::Running { upstream, .. } => {
                quarantine.leave(now, flight.digest, flight.run_id, Outcome::Whole);
                quarantine.release(&format!("u{upstream}"), flight.run_id);
                flights[i].state = State::Done;
            }
        }
    }
    let innocent = |state| {
        let mut others = flights[copies..].iter();
        others.by_ref().filter(|f| f.state == state).count()
    };
    (crashes, innocent(State::Done), innocent(State::Held))
}

#[test]
fn a_request_sent_through_all_hosts_at_once_takes_down_at_most_two_upstreams() {
    for seed in 0..200 {
        let (crashes, _, _) = fleet(seed, 8, 40, 9);
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
    }
}

#[test]
fn neighbours_of_one_such_request_are_all_answered() {
    for seed in 0..200 {
        let (_, done, held) = fleet(seed, 1, 40, 9);
        assert_eq!((done, held), (40, 0), "seed {seed}");
    }
}
