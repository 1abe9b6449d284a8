//! Which hosts should vote when hosts are gone or end.

mod common;

use std::collections::BTreeMap;

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
use coordination::voters;

const TARGET: usize = 3;

fn host(place: usize, standing: Standing, draining: bool) -> view::Member {
    let mut profile = profile(place, 3);
    profile.draining = draining;
    profile.roles = [Role::Voter].into_iter().collect();
    view::Member {
        reachable: true,
        record: Record {
            host: name(place),
            profile,
            standing,
            version: Version::default(),
        },
    }
}

fn sound(places: &[usize]) -> View {
    let sound = |place: &usize| host(*place, Standing::Alive, false);
    View {
        hosts: places.iter().map(sound).collect(),
        isolated: false,
        me: name(0),
    }
}

fn members(places: &[usize]) -> Config {
    let member = |place: &usize| {
        let member = Member {
            address: profile(*place, 3).peer,
            name: name(*place),
            votes: true,
        };
        (MemberId(*place as u64), member)
    };
    Config {
        group: MemberId(9),
        members: places.iter().map(member).collect::<BTreeMap<_, _>>(),
    }
}

fn successors(view: &View) -> Vec<String> {
    let hosts = voters::replacement_hosts(&members(&[0, 1, 2]), view, TARGET);
    hosts.into_iter().map(|(name, _)| name).collect()
}

#[test]
fn a_group_whose_hosts_are_sound_stays_as_it_is() {
    let view = sound(&[0, 1, 2, 3]);
    assert!(successors(&view).is_empty());
    assert_eq!(
        voters::removable_voter(&members(&[0, 1, 2]), &view, TARGET),
        None
    );
}

#[test]
fn a_voter_whose_host_is_gone_stays_until_another_votes_in_its_place() {
    let mut view = sound(&[0, 1, 2, 3]);
    view.hosts[2] = host(2, Standing::Dead, false);
    assert_eq!(successors(&view), [name(3)]);
    assert_eq!(
        voters::removable_voter(&members(&[0, 1, 2]), &view, TARGET),
        None
    );
    let all = members(&[0, 1, 2, 3]);
    let gone = Some(MemberId(2));
    assert_eq!(voters::removable_voter(&all, &view, TARGET), gone);
    assert!(voters::replacement_hosts(&all, &view, TARGET).is_empty());
}

#[test]
fn a_voter_whose_host_is_suspected_is_replaced_where_another_can_vote() {
    let mut view = sound(&[0, 1, 2, 3]);
    view.hosts[2] = host(2, Standing::Suspect, false);
    assert_eq!(successors(&view), [name(3)]);
    let all = members(&[0, 1, 2, 3]);
    let gone = Some(MemberId(2));
    assert_eq!(voters::removable_voter(&all, &view, TARGET), gone);
    let mut alone = sound(&[0, 1, 2]);
    alone.hosts[2] = host(2, Standing::Suspect, false);
    assert!(successors(&alone).is_empty());
    assert_eq!(
        voters::removable_voter(&members(&[0, 1, 2]), &alone, TARGET),
        None
    );
}

#[test]
fn a_voter_whose_host_ends_is_replaced_before_it_has_ended() {
    let mut view = sound(&[0, 1, 2, 3]);
    view.hosts[1] = host(1, Standing::Alive, true);
    assert_eq!(successors(&view), [name(3)]);
}

#[test]
fn a_host_that_ends_or_is_suspected_succeeds_nobody() {
    for candidate in [
        host(3, Standing::Alive, true),
        host(3, Standing::Suspect, false),
        host(3, Standing::Dead, false),
    ] {
        let mut view = sound(&[0, 1, 2, 3]);
        view.hosts[2] = host(2, Standing::Dead, false);
        view.hosts[3] = candidate;
        assert!(successors(&view).is_empty());
    }
}

#[test]
fn the_leader_does_not_remove_itself() {
    let mut view = sound(&[0, 1, 2, 3]);
    view.hosts[0] = host(0, Standing::Alive, true);
    let all = members(&[0, 1, 2, 3]);
    assert_eq!(voters::removable_voter(&all, &view, TARGET), None);
}
