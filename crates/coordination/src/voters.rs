//! Replacement of voters whose disks are lost, or whose hosts are unreachable, dead or draining,
//! one at a time.
//!
//! A voter whose disk is lost never votes again, so it is removed first: the voters that are left
//! need as many of themselves as before for a majority, and its successor may be lost in turn at
//! any moment without harm.
//!
//! A voter whose host is unreachable may come back with its disk. The new voter is added and votes
//! before the one that it replaces is removed, so that the group never has fewer healthy voters
//! than before the change. A voter stays a member until then. It is already replaced while its host
//! is only suspected, because another host may be lost before the failure detector declares the
//! first one dead.

use std::net::SocketAddr;

use crate::host::Role;
use crate::host::Standing;
use crate::quorum::Change;
use crate::quorum::Config;
use crate::quorum::Member;
use crate::quorum::MemberId;
use crate::view::View;

/// The data folder that a host has at present.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostFolder {
    /// Address of the host's voter.
    pub address: SocketAddr,
    /// Id of the folder.
    pub identity: MemberId,
    /// Name of the host.
    pub name: String,
}

impl HostFolder {
    /// Returns the change that makes the folder's host a learner.
    fn addition(&self) -> Change {
        let member = Member {
            address: self.address,
            name: self.name.clone(),
            votes: false,
        };
        Change::Add(self.identity, member)
    }
}

/// Returns the steps that bring the members closer to the folders that hosts have, the most urgent
/// first. Each is a sequence of changes; those after the first one hold only if it is made.
/// `removable` is a member that [`removable_voter`] found.
///
/// A learner is promoted only if its host still has its folder.
pub fn steps(
    config: &Config,
    folders: &[HostFolder],
    removable: Option<MemberId>,
) -> Vec<Vec<Change>> {
    let members = &config.members;
    let is_new = |folder: &&HostFolder| !members.contains_key(&folder.identity);
    let mut steps: Vec<Vec<Change>> = Vec::new();
    for folder in folders {
        let is_lost = |(id, member): &(&MemberId, &Member)| {
            member.name == folder.name && **id != folder.identity
        };
        let mut lost = members.iter().filter(is_lost);
        if let Some((id, _)) = lost.next() {
            let successor = Some(folder).filter(is_new).map(HostFolder::addition);
            let removal = Change::Remove(*id);
            steps.push([removal].into_iter().chain(successor).collect());
        }
        steps.extend(lost.map(|(id, _)| vec![Change::Remove(*id)]));
    }
    let learns = |folder: &&HostFolder| {
        let member = members.get(&folder.identity);
        member.is_some_and(|member| !member.votes)
    };
    let learners = folders.iter().filter(learns);
    steps.extend(learners.map(|folder| vec![Change::Promote(folder.identity)]));
    steps.extend(removable.map(|id| vec![Change::Remove(id)]));
    let new = folders.iter().filter(is_new);
    steps.extend(new.map(|folder| vec![folder.addition()]));
    steps
}

/// Returns a learner that can be removed: its host is dead or unknown.
pub fn removable_learner(config: &Config, view: &View) -> Option<MemberId> {
    let is_gone = |member: &Member| {
        let host = view.get(&member.name).map(|host| &host.record);
        host.is_none_or(|host| host.standing == Standing::Dead)
    };
    let mut members = config.members.iter();
    let gone = members.find(|(_, member)| !member.votes && is_gone(member));
    gone.map(|(id, _)| *id)
}

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
