//! Checks that a request that crashes upstreams crashes at most two, and that requests which were
//! in flight beside it are still answered.

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
const DIGEST: Digest = Digest([1; 32]);
const WAIT: Verdict = Verdict::Wait(20);

fn quarantine() -> Quarantine {
    Quarantine::new(Policy::default())
}

fn run_and_crash(quarantine: &mut Quarantine, run_id: u128) -> usize {
    assert_ne!(quarantine.enter(NOW, DIGEST, RunId(run_id)), WAIT);
    quarantine.leave(NOW, DIGEST, RunId(run_id), Outcome::Crashed)
}

#[test]
fn a_digest_without_a_success_has_at_most_two_runs_at_once() {
    let mut quarantine = quarantine();
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(1)), Verdict::Run);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(2)), Verdict::Run);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(3)), WAIT);
    quarantine.leave(NOW, DIGEST, RunId(1), Outcome::Stopped);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(3)), Verdict::Run);
}

#[test]
fn a_digest_with_a_success_has_any_number_of_runs_at_once() {
    let mut quarantine = quarantine();
    quarantine.enter(NOW, DIGEST, RunId(0));
    quarantine.leave(NOW, DIGEST, RunId(0), Outcome::Whole);
    for run_id in 1..100 {
        assert_eq!(quarantine.enter(NOW, DIGEST, RunId(run_id)), Verdict::Run);
    }
}

#[test]
fn a_suspect_has_one_run_at_a_time_and_no_other_suspect_on_its_upstream() {
    let mut quarantine = quarantine();
    run_and_crash(&mut quarantine, 1);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(2)), Verdict::RunAlone);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(3)), WAIT);
    assert!(quarantine.isolate(NOW, "u", RunId(2)));
    assert!(quarantine.isolate(NOW, "u", RunId(2)));
    assert!(!quarantine.isolate(NOW, "u", RunId(9)));
    quarantine.release("u", RunId(2));
    assert!(quarantine.isolate(NOW, "u", RunId(9)));
}

#[test]
fn a_suspect_is_cleared_by_its_first_success() {
    let mut quarantine = quarantine();
    run_and_crash(&mut quarantine, 1);
    quarantine.enter(NOW, DIGEST, RunId(2));
    assert_eq!(quarantine.leave(NOW, DIGEST, RunId(2), Outcome::Whole), 0);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(3)), Verdict::Run);
}

#[test]
fn the_second_crash_quarantines_a_digest_until_the_time_is_over() {
    let mut quarantine = quarantine();
    assert_eq!(run_and_crash(&mut quarantine, 1), 1);
    assert_eq!(run_and_crash(&mut quarantine, 2), 2);
    let hold = Policy::default().quarantine_ms;
    let later = quarantine.enter(NOW + 1_000, DIGEST, RunId(3));
    assert_eq!(later, Verdict::Quarantined(hold - 1_000));
    assert_eq!(quarantine.quarantined_count(), 1);
    assert_eq!(quarantine.enter(NOW + hold, DIGEST, RunId(3)), Verdict::Run);
}

#[test]
fn no_third_run_starts_when_both_runs_in_flight_crash() {
    let mut quarantine = quarantine();
    quarantine.enter(NOW, DIGEST, RunId(1));
    quarantine.enter(NOW, DIGEST, RunId(2));
    quarantine.leave(NOW, DIGEST, RunId(1), Outcome::Crashed);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(3)), WAIT);
    quarantine.leave(NOW, DIGEST, RunId(2), Outcome::Crashed);
    let held = Verdict::Quarantined(Policy::default().quarantine_ms);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(3)), held);
}

#[test]
fn a_run_whose_router_died_stops_counting_when_its_lease_expires() {
    let mut quarantine = quarantine();
    run_and_crash(&mut quarantine, 1);
    quarantine.enter(NOW, DIGEST, RunId(2));
    let lease = Policy::default().lease_ms;
    assert!(quarantine.renew(NOW + (lease - 1), DIGEST, RunId(2)));
    assert_eq!(quarantine.enter(NOW + lease, DIGEST, RunId(3)), WAIT);
    let over = NOW + (2 * lease - 1);
    assert_eq!(quarantine.enter(over, DIGEST, RunId(3)), Verdict::RunAlone);
    assert!(!quarantine.renew(over, DIGEST, RunId(2)));
}

#[test]
fn a_new_owner_takes_over_the_crashes_that_an_earlier_owner_counted() {
    let mut quarantine = quarantine();
    quarantine.adopt(NOW, DIGEST, 1);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(1)), Verdict::RunAlone);
    quarantine.adopt(NOW, DIGEST, 2);
    let held = Verdict::Quarantined(Policy::default().quarantine_ms);
    assert_eq!(quarantine.enter(NOW, DIGEST, RunId(2)), held);
}

#[test]
fn the_number_of_records_is_limited_and_prune_drops_old_ones() {
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
fn all_hosts_agree_on_the_owner_and_digests_are_spread_evenly() {
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
fn digests_of_a_draining_host_go_to_the_next_host_in_rank() {
    let stays = view("h1", "");
    let leaves = view("h1", "h2");
    for i in 0..100_u32 {
        let digest = Digest::of(&[&i.to_le_bytes()]);
        let ranked = ranked_owners(&stays, digest);
        let first = ranked.iter().find(|m| m.record.host != "h2").unwrap();
        assert_eq!(owner(&leaves, digest), first.record.host);
    }
}

/// One request and where it is in the simulated fleet.
#[derive(Clone, Copy, Debug)]
struct SimRequest {
    digest: Digest,
    poison: bool,
    state: State,
    run_id: RunId,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Done,
    Quarantined,
    Running { alone: bool, upstream: usize },
    Waiting,
}

/// Simulates a fleet in which every request is retried until it is answered or quarantined.
///
/// Returns the crashes, and how many of the harmless requests were answered and quarantined.
fn simulate_fleet(
    seed: u64,
    copies: usize,
    harmless: usize,
    upstreams: usize,
) -> (usize, usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = quarantine();
    let mut requests: Vec<SimRequest> = (0..copies + harmless)
        .map(|i| SimRequest {
            digest: Digest([if i < copies { 0 } else { i as u8 }; 32]),
            poison: i < copies,
            state: State::Waiting,
            run_id: RunId(i as u128),
        })
        .collect();
    let mut crashes = 0;
    for step in 0..20_000 {
        let now = NOW + step * 5;
        let i = rng.random_range(0..requests.len());
        let request = requests[i];
        match request.state {
            State::Done | State::Quarantined => {}
            State::Waiting => {
                let upstream = rng.random_range(0..upstreams);
                let name = format!("u{upstream}");
                let alone = match quarantine.enter(now, request.digest, request.run_id) {
                    Verdict::Quarantined(_) => {
                        requests[i].state = State::Quarantined;
                        continue;
                    }
                    Verdict::Run => false,
                    Verdict::RunAlone => true,
                    Verdict::Wait(_) => continue,
                };
                if alone && !quarantine.isolate(now, name, request.run_id) {
                    quarantine.leave(now, request.digest, request.run_id, Outcome::Stopped);
                    continue;
                }
                requests[i].state = State::Running { alone, upstream };
            }
            State::Running { upstream, .. } if request.poison => {
                crashes += 1;
                for other in &mut requests {
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
                quarantine.leave(now, request.digest, request.run_id, Outcome::Whole);
                quarantine.release(&format!("u{upstream}"), request.run_id);
                requests[i].state = State::Done;
            }
        }
    }
    let count_harmless = |state| {
        let mut others = requests[copies..].iter();
        others.by_ref().filter(|f| f.state == state).count()
    };
    (
        crashes,
        count_harmless(State::Done),
        count_harmless(State::Quarantined),
    )
}

#[test]
fn copies_of_one_poison_request_at_once_crash_at_most_two_upstreams() {
    for seed in 0..200 {
        let (crashes, _, _) = simulate_fleet(seed, 8, 40, 9);
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
    }
}

#[test]
fn harmless_requests_beside_a_poison_request_are_all_answered() {
    for seed in 0..200 {
        let (_, done, held) = simulate_fleet(seed, 1, 40, 9);
        assert_eq!((done, held), (40, 0), "seed {seed}");
    }
}
