//! Tests of the addresses that callers get, and of the owners of shards.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use common::name;
use common::profile;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coordination::addresses;
use coordination::addresses::Request;
use coordination::host::Load;
use coordination::host::Record;
use coordination::host::Standing;
use coordination::host::Version;
use coordination::shard;
use coordination::shard::Shard;
use coordination::view::Member;
use coordination::view::View;

const DOMAINS: usize = 3;

fn view(hosts: usize) -> View {
    let member = |index| Member {
        reachable: true,
        record: Record {
            host: name(index),
            profile: profile(index, DOMAINS),
            standing: Standing::Alive,
            version: Version::default(),
        },
    };
    View {
        hosts: (0..hosts).map(member).collect(),
        me: name(0),
        ..View::default()
    }
}

fn entry(index: usize) -> SocketAddr {
    profile(index, DOMAINS).entry.unwrap()
}

fn host_index(address: SocketAddr, hosts: usize) -> usize {
    (0..hosts).find(|p| entry(*p) == address).unwrap()
}

fn request(workspace: usize, random: u64) -> Request {
    Request {
        random,
        prefix: None,
        workspace: format!("workspace-{workspace}"),
    }
}

#[test]
fn dead_left_and_draining_hosts_are_not_listed() {
    let mut view = view(8);
    view.hosts[1].record.standing = Standing::Dead;
    view.hosts[2].record.standing = Standing::Left;
    view.hosts[3].record.profile.draining = true;
    for workspace in 0..100 {
        let addresses = addresses::select(&view, &request(workspace, workspace as u64));
        for absent in [1, 2, 3] {
            assert!(!addresses.contains(&entry(absent)), "workspace {workspace}");
        }
    }
}

// Without this, callers would get no address at all.
#[test]
fn a_fleet_in_which_all_hosts_drain_still_lists_them() {
    let mut view = view(2);
    for member in &mut view.hosts {
        member.record.profile.draining = true;
    }
    assert_eq!(addresses::select(&view, &request(0, 0)).len(), 2);
}

#[test]
fn the_loss_of_a_failure_domain_leaves_every_caller_an_address() {
    for hosts in [3, 8, 390] {
        let view = view(hosts);
        for (workspace, lost) in (0..100).flat_map(|w| (0..DOMAINS).map(move |d| (w, d))) {
            let addresses = addresses::select(&view, &request(workspace, workspace as u64));
            let remaining = addresses
                .iter()
                .filter(|a| host_index(**a, hosts) % DOMAINS != lost);
            assert!(
                remaining.count() >= 2,
                "{hosts} hosts, workspace {workspace}"
            );
            let first_three = addresses
                .iter()
                .take(3)
                .map(|a| host_index(*a, hosts) % DOMAINS);
            assert_eq!(first_three.collect::<BTreeSet<_>>().len(), DOMAINS);
        }
    }
}

#[test]
fn busy_and_suspected_hosts_are_never_first_while_others_have_capacity() {
    let mut view = view(8);
    view.hosts[1].record.profile.load = Load::Busy;
    view.hosts[2].record.profile.load = Load::Overloaded;
    view.hosts[3].record.standing = Standing::Suspect;
    for (workspace, random) in (0..100).flat_map(|w| (0..8).map(move |d| (w, d))) {
        let first = addresses::select(&view, &request(workspace, random))[0];
        assert!(
            ![1, 2, 3].contains(&host_index(first, 8)),
            "workspace {workspace}"
        );
    }
}

#[test]
fn callers_of_one_prefix_get_the_same_first_host() {
    let view = view(8);
    let mut first_hosts = BTreeSet::new();
    for prefix in 0..50 {
        let first_host = |random| {
            let prefix = Some(format!("dossier-{prefix}"));
            let request = Request {
                prefix,
                ..request(1, random)
            };
            addresses::select(&view, &request)[0]
        };
        assert_eq!(first_host(1), first_host(2));
        first_hosts.insert(first_host(1));
    }
    assert!(first_hosts.len() > 1);
}

#[test]
fn a_workspace_stays_on_four_hosts_while_they_have_capacity() {
    let view = view(390);
    let first_hosts = (0..200).map(|random| addresses::select(&view, &request(7, random))[0]);
    assert_eq!(first_hosts.collect::<BTreeSet<_>>().len(), 4);
}

/// Simulates callers that request addresses and load the first host of the answer, `shares` per
/// workspace; returns the greatest ratio of the load of one host to the mean.
fn imbalance(seed: u64, shares: &[u64]) -> f64 {
    const HOSTS: usize = 8;
    const ROUNDS: usize = 60;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut view = view(HOSTS);
    let total: u64 = shares.iter().sum();
    let mut loads = [0; HOSTS];
    let mut host_of_connection: BTreeMap<usize, usize> = BTreeMap::new();
    let mut max_ratio: f64 = 0.0;
    for round in 0..ROUNDS {
        for connection in 0..total as usize {
            if round % 10 == connection % 10 {
                let mut rest = connection as u64;
                let workspace = shares.iter().position(|share| {
                    let within = rest < *share;
                    rest = rest.saturating_sub(*share);
                    within
                });
                let request = request(workspace.unwrap(), rng.random());
                let assigned = host_index(addresses::select(&view, &request)[0], HOSTS);
                if let Some(previous) = host_of_connection.insert(connection, assigned) {
                    loads[previous] -= 1;
                }
                loads[assigned] += 1;
            }
        }
        let mean = total as f64 / HOSTS as f64;
        for (member, load) in view.hosts.iter_mut().zip(loads) {
            let percent = (f64::from(load) / mean * 60.0) as u64;
            let load = &mut member.record.profile.load;
            *load = load.next(percent);
        }
        if round >= ROUNDS / 2 {
            let most = loads.iter().max().copied().unwrap_or_default();
            max_ratio = max_ratio.max(f64::from(most) / mean);
        }
    }
    max_ratio
}

#[test]
fn load_stays_even_when_a_few_workspaces_have_most_callers() {
    for seed in 0..10 {
        let even = imbalance(seed, &[100; 8]);
        let skewed = imbalance(seed, &[400, 300, 40, 20, 10, 10, 10, 10]);
        println!("seed {seed}: greatest load over mean {even:.2} even, {skewed:.2} skewed");
        assert!(even < 1.5, "seed {seed}: {even}");
        assert!(skewed < 1.5, "seed {seed}: {skewed}");
    }
}

#[test]
fn only_the_shards_of_a_lost_broker_move() {
    let before = view(8);
    let shards: Vec<Shard> = (0..1_500).map(Shard).collect();
    let owner = |view: &View, shard: Shard| shard::owner(view, shard).unwrap().record.host.clone();
    for (lost, standing) in (0..8).flat_map(|l| [(l, Standing::Dead), (l, Standing::Left)]) {
        let mut after = before.clone();
        after.hosts[lost].record.standing = standing;
        let moved = shards.iter().copied();
        let moved = moved.filter(|shard| owner(&before, *shard) != owner(&after, *shard));
        let moved: Vec<Shard> = moved.collect();
        assert!(moved.iter().all(|s| owner(&before, *s) == name(lost)));
        let owned = shards.iter().filter(|s| owner(&before, **s) == name(lost));
        assert_eq!(moved.len(), owned.count());
        assert!(moved.len() < 1_500 / 8 * 5 / 4, "{} moved", moved.len());
    }
}

#[test]
fn a_suspected_broker_keeps_its_shards_and_a_draining_one_hands_them_over() {
    let mut view = view(3);
    let owned = |view: &View| {
        let mine = |s: &u16| shard::owner(view, Shard(*s)).unwrap().record.host == name(1);
        (0..100).filter(mine).count()
    };
    let before = owned(&view);
    assert!(before > 0);
    view.hosts[1].record.standing = Standing::Suspect;
    assert_eq!(owned(&view), before);
    view.hosts[1].record.standing = Standing::Alive;
    view.hosts[1].record.profile.draining = true;
    assert_eq!(owned(&view), 0);
}

#[test]
fn a_steady_measurement_never_makes_the_load_alternate() {
    for percent in 0..=120 {
        for start in [Load::Busy, Load::Normal, Load::Overloaded] {
            let once = start.next(percent);
            assert_eq!(once.next(percent), once, "{percent} from {start}");
        }
    }
}
