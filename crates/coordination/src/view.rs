//! What one host knows of the fleet at one moment.

use crate::host::Record;
use crate::host::Role;
use crate::host::Standing;

/// Describes one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Tells whether the host answers this one directly.
    pub reachable: bool,
    /// Holds the report in force.
    pub record: Record,
}

/// Lists all hosts, this one included, in order of name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Lists the hosts.
    pub hosts: Vec<Member>,
    /// Tells that this host hears from nobody.
    pub isolated: bool,
    /// Names this host.
    pub me: String,
}

impl View {
    /// Returns the host of that name.
    pub fn get(&self, host: impl AsRef<str>) -> Option<&Member> {
        let host = host.as_ref();
        let place = self
            .hosts
            .binary_search_by(|m| m.record.host.as_str().cmp(host));
        place.ok().map(|place| &self.hosts[place])
    }

    /// Iterates over the hosts that may be there and play `role`.
    pub fn present(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.hosts.iter().filter(move |member| {
            let record = &member.record;
            record.standing.is_present() && record.profile.roles.contains(role)
        })
    }

    /// Counts the hosts of one standing.
    pub fn count(&self, standing: Standing) -> usize {
        let same = |member: &&Member| member.record.standing == standing;
        self.hosts.iter().filter(same).count()
    }
}
