//! Membership view: the hosts of the fleet as one host sees them at one moment.

use crate::host::Record;
use crate::host::Role;
use crate::host::Standing;

/// One host of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Whether the host answers this host directly.
    pub reachable: bool,
    /// Newest record of the host.
    pub record: Record,
}

/// All hosts, including this one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// The hosts, sorted by name.
    pub hosts: Vec<Member>,
    /// Whether no other host answers this host.
    pub isolated: bool,
    /// Name of this host.
    pub me: String,
}

impl View {
    /// Returns the host with this name, if it is in the view.
    pub fn get(&self, host: impl AsRef<str>) -> Option<&Member> {
        let host = host.as_ref();
        let index = self
            .hosts
            .binary_search_by(|m| m.record.host.as_str().cmp(host));
        index.ok().map(|index| &self.hosts[index])
    }

    /// Iterates over the hosts with this role that are present or may be.
    pub fn present(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.hosts.iter().filter(move |member| {
            let record = &member.record;
            record.standing.is_present() && record.profile.roles.contains(role)
        })
    }

    /// Returns the number of hosts with this standing.
    pub fn count(&self, standing: Standing) -> usize {
        let same = |member: &&Member| member.record.standing == standing;
        self.hosts.iter().filter(same).count()
    }
}
