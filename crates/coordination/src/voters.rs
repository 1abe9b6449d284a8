//! Replacement of voters whose hosts are unreachable, dead or draining, one at a time.
//!
//! The new voter is added and votes before the one that it replaces is removed, so that the group
//! never has fewer healthy voters than before the change. A voter stays a member until then. It is
//! already replaced while its host is only suspected, because another host may be lost before the
//! failure detector declares the first one dead.

use std::net::SocketAddr;

use crate::host::Role;
use crate::host::Standing;
use crate::quorum::Config;
use crate::quorum::Member;
use crate::quorum::MemberId;
use crate::view::View;

/// Returns a member that can be removed: more than `target` members vote, and its host is not
/// healthy. The member on the own host is never removed.
pub fn removable_voter(config: &Config, view: &View, target: usize) -> Option<MemberId> {
    if config.voters().count() <= target {
        return None;
    }
    let members = config.members.iter();
    let mut removable = members.filter(|(_, m)| m.name != view.me && !is_healthy(m, view));
    removable.next().map(|(id, _)| *id)
}

/// Returns the hosts that can become voters, if fewer than `target` members are healthy.
pub fn replacement_hosts(config: &Config, view: &View, target: usize) -> Vec<(String, SocketAddr)> {
    let healthy = config
        .members
        .values()
        .filter(|m| is_healthy(m, view))
        .count();
    if healthy >= target {
        return Vec::new();
    }
    let is_member = |name: &str| config.members.values().any(|member| member.name == name);
    let hosts = view.present(Role::Voter).map(|host| &host.record);
    let candidates = hosts.filter(|record| {
        let healthy = record.standing == Standing::Alive && !record.profile.draining;
        healthy && !is_member(&record.host)
    });
    candidates
        .map(|record| (record.host.clone(), record.profile.peer))
        .collect()
}

/// Returns whether the host of a member is alive and not draining.
fn is_healthy(member: &Member, view: &View) -> bool {
    let host = view.get(&member.name).map(|host| &host.record);
    host.is_some_and(|host| host.standing == Standing::Alive && !host.profile.draining)
}
