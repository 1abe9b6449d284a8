//! Which hosts should vote: replaces voters whose hosts are gone for good or end, one at a time.
//!
//! A successor is added and votes before the one that it replaces is removed, so that the group
//! never has fewer sound voters than before the change. A voter that is only unreachable stays a
//! member until a successor votes in its place, but does not have to be held dead for that: the
//! next loss may come before it is.

use std::net::SocketAddr;

use crate::host::Role;
use crate::host::Standing;
use crate::quorum::Config;
use crate::quorum::Member;
use crate::quorum::MemberId;
use crate::view::View;

/// Returns a voter that can be removed, because more than `target` vote and its host is gone or
/// ends.
pub fn removable_voter(config: &Config, view: &View, target: usize) -> Option<MemberId> {
    if config.voters().count() <= target {
        return None;
    }
    let members = config.members.iter();
    let mut gone = members.filter(|(_, member)| member.name != view.me && !stays(member, view));
    gone.next().map(|(id, _)| *id)
}

/// Returns the hosts that should become voters, because fewer than `target` members stay.
pub fn replacement_hosts(config: &Config, view: &View, target: usize) -> Vec<(String, SocketAddr)> {
    let staying = config.members.values().filter(|m| stays(m, view)).count();
    if staying >= target {
        return Vec::new();
    }
    let known = |name: &str| config.members.values().any(|member| member.name == name);
    let hosts = view.present(Role::Voter).map(|host| &host.record);
    let able = hosts.filter(|record| {
        let sound = record.standing == Standing::Alive && !record.profile.draining;
        sound && !known(&record.host)
    });
    able.map(|record| (record.host.clone(), record.profile.peer))
        .collect()
}

/// Returns whether the host of a member answers and does not end.
fn stays(member: &Member, view: &View) -> bool {
    let host = view.get(&member.name).map(|host| &host.record);
    host.is_some_and(|host| host.standing == Standing::Alive && !host.profile.draining)
}
