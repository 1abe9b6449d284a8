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
use coordination::quorum::Change;
use coordination::quorum::Config;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::view;
use coordination::view::View;
use coordination::voters::Health;
use coordination::voters::HostFolder;

const TARGET_VOTERS: usize = 3;

/// The silences of members that all answer.
static ANSWERING: BTreeMap<MemberId, u64> = BTreeMap::new();

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

/// Returns what a leader knows that all members answer.
fn health<'a>(config: &'a Config, view: &'a View, target: usize) -> Health<'a> {
    Health {
        config,
        silences: &ANSWERING,
        target,
        view,
    }
}

fn replacement_hosts(config: &Config, view: &View, target: usize) -> Vec<(String, SocketAddr)> {
    health(config, view, target).replacement_hosts()
}

fn removable_voter(config: &Config, view: &View, target: usize) -> Option<MemberId> {
    health(config, view, target).removable_voter()
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

/// Returns the silences of the members with these indices.
fn silences(silent: &[(usize, u64)]) -> BTreeMap<MemberId, u64> {
    let silence = |(index, silence_ms): &(usize, u64)| (MemberId(*index as u64), *silence_ms);
    silent.iter().map(silence).collect()
}

fn folder(index: usize) -> HostFolder {
    HostFolder {
        address: profile(index, 3).peer,
        identity: MemberId(index as u64),
        name: name(index),
    }
}

/// Guards against a repair that begins only when the failure detector has noticed a loss.
#[test]
fn a_voter_that_is_silent_towards_its_leader_is_replaced_while_its_host_seems_alive() {
    let view = healthy_view(&[0, 1, 2, 3]);
    let silences = silences(&[(2, 1_200)]);
    let three = members(&[0, 1, 2]);
    let before = Health {
        silences: &silences,
        ..health(&three, &view, TARGET_VOTERS)
    };
    let replacement = (name(3), profile(3, 3).peer);
    assert_eq!(before.replacement_hosts(), [replacement]);
    assert_eq!(before.removable_voter(), None);
    let four = members(&[0, 1, 2, 3]);
    let after = Health {
        config: &four,
        ..before
    };
    assert_eq!(after.removable_voter(), Some(MemberId(2)));
}

/// Guards against the removal of a slow voter in place of the one that is gone.
#[test]
fn of_several_unhealthy_voters_the_silent_one_is_removed_and_then_the_one_silent_for_longer() {
    let four = members(&[0, 1, 2, 3]);
    let mut view = healthy_view(&[0, 1, 2, 3]);
    view.hosts[1] = host(1, Standing::Dead, false);
    let silent = silences(&[(3, 1_200)]);
    let health = Health {
        silences: &silent,
        ..health(&four, &view, TARGET_VOTERS)
    };
    assert_eq!(health.removable_voter(), Some(MemberId(3)));
    let view = healthy_view(&[0, 1, 2, 3]);
    let silent = silences(&[(1, 1_300), (2, 4_000), (3, 1_200)]);
    let health = Health {
        silences: &silent,
        view: &view,
        ..health
    };
    assert_eq!(health.removable_voter(), Some(MemberId(2)));
}

/// Guards against questions that wait for the host that is gone, at any order of the answers.
#[test]
fn a_successor_is_added_as_soon_as_all_hosts_but_the_gone_one_have_answered() {
    let view = healthy_view(&[0, 1, 2, 3]);
    let config = members(&[0, 1, 2]);
    for gone in [1, 2] {
        let silences = silences(&[(gone, 1_200)]);
        let health = Health {
            silences: &silences,
            ..health(&config, &view, TARGET_VOTERS)
        };
        let plan = health.plan([]);
        let left = 3 - gone;
        for order in [[left, 3], [3, left]] {
            let mut answers = BTreeMap::new();
            answers.insert(name(order[0]), Some(folder(order[0])));
            let early = plan.steps(&config, &answers).unwrap_or_default();
            assert!(early.is_empty(), "{early:?} after {}", order[0]);
            answers.insert(name(order[1]), Some(folder(order[1])));
            let steps = plan.steps(&config, &answers).expect("nobody is waited for");
            let added = |change: &Change| matches!(change, Change::Add(MemberId(3), _));
            assert!(
                matches!(&steps[..], [step] if step.iter().all(added)),
                "{steps:?}"
            );
        }
    }
}

/// Guards against a group that keeps the voter that is gone for another round of questions.
#[test]
fn the_removal_of_a_gone_voter_follows_the_vote_of_its_successor() {
    let view = healthy_view(&[0, 1, 2, 3]);
    let silences = silences(&[(2, 1_200)]);
    let mut config = members(&[0, 1, 2, 3]);
    if let Some(learner) = config.members.get_mut(&MemberId(3)) {
        learner.votes = false;
    }
    let health = Health {
        silences: &silences,
        ..health(&config, &view, TARGET_VOTERS)
    };
    let answers = [1, 3].map(|index| (name(index), Some(folder(index))));
    let steps = health.plan([]).steps(&config, &BTreeMap::from(answers));
    let step = vec![Change::Promote(MemberId(3)), Change::Remove(MemberId(2))];
    assert_eq!(steps, Some(vec![step]));
}
