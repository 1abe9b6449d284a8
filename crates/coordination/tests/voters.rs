//! Tests of the replacement of voters whose hosts are lost or draining.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use common::name;
use common::profile;

use coordination::host::Record;
use coordination::host::Role;
use coordination::host::Standing;
use coordination::host::Version;
use coordination::quorum::Config;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::view;
use coordination::view::View;
use coordination::voters::Health;

const TARGET_VOTERS: usize = 3;

fn host(index: usize, standing: Standing, draining: bool) -> view::Member {
    let mut profile = profile(index, 3);
    profile.draining = draining;
    profile.roles = [Role::Voter].into_iter().collect();
    view::Member {
        reachable: true,
        record: Record {
            host: name(index),
            profile,
            standing,
            version: Version::default(),
        },
    }
}

/// Returns a view in which all given hosts are alive; the own host is the first one.
fn healthy_view(indices: &[usize]) -> View {
    let healthy = |index: &usize| host(*index, Standing::Alive, false);
    View {
        hosts: indices.iter().map(healthy).collect(),
        isolated: false,
        me: name(0),
    }
}

/// Returns a membership in which all given hosts vote.
fn members(indices: &[usize]) -> Config {
    let member = |index: &usize| {
        let member = Member {
            address: profile(*index, 3).peer,
            name: name(*index),
            votes: true,
        };
        (MemberId(*index as u64), member)
    };
    Config {
        group: MemberId(9),
        members: indices.iter().map(member).collect::<BTreeMap<_, _>>(),
    }
}

/// Returns the hosts that can replace voters of `config` while all members answer their leader.
fn replacement_hosts(config: &Config, view: &View, target: usize) -> Vec<(String, SocketAddr)> {
    let silences = BTreeMap::new();
    let health = Health {
        config,
        silences: &silences,
        target,
        view,
    };
    health.replacement_hosts()
}

/// Returns the voter that can be removed while all members answer their leader.
fn removable_voter(config: &Config, view: &View, target: usize) -> Option<MemberId> {
    let silences = BTreeMap::new();
    let health = Health {
        config,
        silences: &silences,
        target,
        view,
    };
    health.removable_voter()
}

fn replacements(view: &View) -> Vec<String> {
    let hosts = replacement_hosts(&members(&[0, 1, 2]), view, TARGET_VOTERS);
    hosts.into_iter().map(|(name, _)| name).collect()
}

#[test]
fn a_group_on_healthy_hosts_is_not_changed() {
    let view = healthy_view(&[0, 1, 2, 3]);
    assert!(replacements(&view).is_empty());
    assert_eq!(
        removable_voter(&members(&[0, 1, 2]), &view, TARGET_VOTERS),
        None
    );
}

/// Guards against a removal before the replacement votes, which would shrink the group.
#[test]
fn a_voter_on_a_dead_host_stays_until_its_replacement_votes() {
    let mut view = healthy_view(&[0, 1, 2, 3]);
    view.hosts[2] = host(2, Standing::Dead, false);
    assert_eq!(replacements(&view), [name(3)]);
    assert_eq!(
        removable_voter(&members(&[0, 1, 2]), &view, TARGET_VOTERS),
        None
    );
    let all = members(&[0, 1, 2, 3]);
    let removed = Some(MemberId(2));
    assert_eq!(removable_voter(&all, &view, TARGET_VOTERS), removed);
    assert!(replacement_hosts(&all, &view, TARGET_VOTERS).is_empty());
}

/// Guards against a wait for the failure detector, during which another host may be lost.
#[test]
fn a_voter_on_a_suspected_host_is_replaced_if_another_host_can_vote() {
    let mut view = healthy_view(&[0, 1, 2, 3]);
    view.hosts[2] = host(2, Standing::Suspect, false);
    assert_eq!(replacements(&view), [name(3)]);
    let all = members(&[0, 1, 2, 3]);
    let removed = Some(MemberId(2));
    assert_eq!(removable_voter(&all, &view, TARGET_VOTERS), removed);
    let mut alone = healthy_view(&[0, 1, 2]);
    alone.hosts[2] = host(2, Standing::Suspect, false);
    assert!(replacements(&alone).is_empty());
    assert_eq!(
        removable_voter(&members(&[0, 1, 2]), &alone, TARGET_VOTERS),
        None
    );
}

#[test]
fn a_voter_on_a_draining_host_is_replaced_before_the_host_stops() {
    let mut view = healthy_view(&[0, 1, 2, 3]);
    view.hosts[1] = host(1, Standing::Alive, true);
    assert_eq!(replacements(&view), [name(3)]);
}

#[test]
fn a_draining_suspected_or_dead_host_replaces_no_voter() {
    for candidate in [
        host(3, Standing::Alive, true),
        host(3, Standing::Suspect, false),
        host(3, Standing::Dead, false),
    ] {
        let mut view = healthy_view(&[0, 1, 2, 3]);
        view.hosts[2] = host(2, Standing::Dead, false);
        view.hosts[3] = candidate;
        assert!(replacements(&view).is_empty());
    }
}

#[test]
fn the_leader_does_not_remove_itself() {
    let mut view = healthy_view(&[0, 1, 2, 3]);
    view.hosts[0] = host(0, Standing::Alive, true);
    let all = members(&[0, 1, 2, 3]);
    assert_eq!(removable_voter(&all, &view, TARGET_VOTERS), None);
}
