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
//! is only suspected, or while it does not answer its leader, because another host may be lost
//! before the failure detector declares the first one dead.

use std::collections::BTreeMap;
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
/// `removable` is a member that can be removed.
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

/// What the leader knows of the members and of the other hosts.
#[derive(Clone, Copy, Debug)]
pub struct Health<'a> {
    /// The members.
    pub config: &'a Config,
    /// The members that do not answer their leader, with the length of their silence in
    /// milliseconds; see [`crate::raft::Raft::silences`].
    pub silences: &'a BTreeMap<MemberId, u64>,
    /// How many members should vote.
    pub target: usize,
    /// The fleet, as the failure detector sees it.
    pub view: &'a View,
}

impl Health<'_> {
    /// Returns a learner that can be removed: its host is dead or unknown.
    pub fn removable_learner(&self) -> Option<MemberId> {
        let is_gone = |member: &Member| {
            let host = self.view.get(&member.name).map(|host| &host.record);
            host.is_none_or(|host| host.standing == Standing::Dead)
        };
        let mut members = self.config.members.iter();
        let gone = members.find(|(_, member)| !member.votes && is_gone(member));
        gone.map(|(id, _)| *id)
    }

    /// Returns a voter that can be removed: more than `target` members vote, and it is not healthy.
    pub fn removable_voter(&self) -> Option<MemberId> {
        let surplus = self.config.voters().count() > self.target;
        self.worst_voter().filter(|_| surplus)
    }

    /// Returns the hosts that can become voters, if fewer than `target` members are healthy.
    pub fn replacement_hosts(&self) -> Vec<(String, SocketAddr)> {
        let members = &self.config.members;
        let healthy = members.iter().filter(|(id, m)| self.is_healthy(**id, m));
        if healthy.count() >= self.target {
            return Vec::new();
        }
        let is_member = |name: &str| members.values().any(|member| member.name == name);
        let hosts = self.view.present(Role::Voter).map(|host| &host.record);
        let candidates = hosts.filter(|record| {
            let healthy = record.standing == Standing::Alive && !record.profile.draining;
            healthy && !is_member(&record.host)
        });
        candidates
            .map(|record| (record.host.clone(), record.profile.peer))
            .collect()
    }

    /// Returns the hosts to ask for their folders, among them those of `listed`, and what can be
    /// removed.
    pub fn plan(&self, listed: impl IntoIterator<Item = (String, SocketAddr)>) -> Plan {
        let members = self.config.members.values();
        let members = members.map(|member| (member.name.clone(), member.address));
        let hosts = members.chain(listed).chain(self.replacement_hosts());
        let questions = hosts.filter(|(name, _)| *name != self.view.me);
        let questions = questions.map(|(name, address)| {
            let answers = self.answers(&name);
            (name, Question { address, answers })
        });
        let full = self.config.voters().count() == self.target;
        Plan {
            questions: questions.collect(),
            removable: self.removable_voter().or_else(|| self.removable_learner()),
            replaceable: self.worst_voter().filter(|_| full),
        }
    }

    /// Returns the voter that most likely is gone, if any is not healthy; never that on the own
    /// host.
    ///
    /// Silence towards the leader tells more than the failure detector, which takes longer.
    fn worst_voter(&self) -> Option<MemberId> {
        let voters = self.config.members.iter().filter(|(_, m)| m.votes);
        let unhealthy =
            voters.filter(|(id, m)| m.name != self.view.me && !self.is_healthy(**id, m));
        let worst = unhealthy.max_by_key(|(id, member)| {
            let silence = self.silences.get(id);
            let standing = self.view.get(&member.name).map(|host| host.record.standing);
            let precedence = standing.map_or(u8::MAX, Standing::precedence);
            (silence.is_some(), precedence, silence)
        });
        worst.map(|(id, _)| *id)
    }

    /// Returns whether a member answers its leader, and its host is alive and not draining.
    fn is_healthy(&self, id: MemberId, member: &Member) -> bool {
        let host = self.view.get(&member.name).map(|host| &host.record);
        let healthy =
            host.is_some_and(|host| host.standing == Standing::Alive && !host.profile.draining);
        healthy && !self.silences.contains_key(&id)
    }

    /// Returns whether a host is alive and has a member, and all its members answer their leader.
    fn answers(&self, name: &str) -> bool {
        let members = self.config.members.iter();
        let mut members = members.filter(|(_, m)| m.name == name).peekable();
        let standing = self.view.get(name).map(|host| host.record.standing);
        standing == Some(Standing::Alive)
            && members.peek().is_some()
            && members.all(|(id, _)| !self.silences.contains_key(id))
    }
}

/// A question to a host for its data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// Address of the host's voter.
    pub address: SocketAddr,
    /// Whether the host is that of a member that answers its leader, and so will answer at once.
    pub answers: bool,
}

/// What is to be found out before the members are changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Questions, by the name of the host.
    pub questions: BTreeMap<String, Question>,
    /// A member that can be removed now.
    pub removable: Option<MemberId>,
    /// A voter that can be removed once one more votes.
    pub replaceable: Option<MemberId>,
}

impl Plan {
    /// Returns the steps that the answers so far allow, the most urgent first, or `None` while the
    /// host of a member that answers its leader has not answered here.
    ///
    /// No other host is waited for, as it may be gone: the repair must not take longer for it.
    pub fn steps(
        &self,
        config: &Config,
        answers: &BTreeMap<String, Option<HostFolder>>,
    ) -> Option<Vec<Vec<Change>>> {
        let mut expected = self.questions.iter().filter(|(_, q)| q.answers);
        if expected.any(|(name, _)| !answers.contains_key(name)) {
            return None;
        }
        let folders: Vec<HostFolder> = answers.values().flatten().cloned().collect();
        let mut steps = steps(config, &folders, self.removable);
        for step in &mut steps {
            if let [Change::Promote(_)] = step[..] {
                step.extend(self.replaceable.map(Change::Remove));
            }
        }
        Some(steps)
    }
}
