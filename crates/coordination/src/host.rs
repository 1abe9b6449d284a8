//! What the fleet knows of each of its hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;

/// Names a role that a host plays.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Owns upstreams and places requests on them.
    Broker,
    /// Terminates callers.
    Entry,
    /// Keeps the replicated log on its disk.
    Voter,
}

/// Holds a set of roles in one byte.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roles(u8);

impl Roles {
    /// Returns whether the set holds `role`.
    pub fn contains(self, role: Role) -> bool {
        self.0 & Self::bit(role) != 0
    }

    fn bit(role: Role) -> u8 {
        1 << role as u8
    }
}

impl FromIterator<Role> for Roles {
    fn from_iter<T: IntoIterator<Item = Role>>(roles: T) -> Self {
        Self(
            roles
                .into_iter()
                .map(Self::bit)
                .fold(0, |set, bit| set | bit),
        )
    }
}

/// Names how loaded a host is; coarse, so that it seldom changes and costs little to spread.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Load {
    /// Means that the host should get less new work.
    Busy,
    /// Means that the host has room.
    #[default]
    Normal,
    /// Means that the host should get new work only where no other can.
    Overloaded,
}

const BUSY_PERCENT: u64 = 70;
const NORMAL_PERCENT: u64 = 55;
const OVERLOADED_PERCENT: u64 = 95;
const RELIEVED_PERCENT: u64 = 80;

impl Load {
    /// Returns the load after a reading of `percent`; the bounds differ by direction so that a
    /// steady reading never makes it change back and forth.
    pub fn next(self, percent: u64) -> Self {
        match self {
            _ if percent >= OVERLOADED_PERCENT => Self::Overloaded,
            Self::Overloaded if percent >= RELIEVED_PERCENT => Self::Overloaded,
            Self::Normal if percent < BUSY_PERCENT => Self::Normal,
            _ if percent < NORMAL_PERCENT => Self::Normal,
            _ => Self::Busy,
        }
    }
}

/// Names what a host is held to be.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Hash, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Means that the host answers.
    Alive,
    /// Means that the host did not answer for so long that it is held to be gone.
    Dead,
    /// Means that the host said that it ends.
    Left,
    /// Means that the host did not answer, but still may.
    Suspect,
}

impl Standing {
    /// Returns the rank among reports of one version; the higher one holds.
    pub fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspect => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }

    /// Returns whether the host may still be there.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Orders the reports about a host.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Grows with each start of the host's process.
    pub run: u64,
    /// Grows with each change that the host makes to its own report.
    pub incarnation: u32,
}

/// Holds what a host says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Names the failure domain.
    pub domain: String,
    /// Tells whether the host is shutting down and wants no new work.
    pub draining: bool,
    /// Holds the address for callers, where the host is an entry.
    pub entry: Option<SocketAddr>,
    /// Holds the address for callers of routed services, where the host takes them.
    pub gateway: Option<SocketAddr>,
    /// Tells how loaded the host is.
    pub load: Load,
    /// Holds the address for other daemons.
    pub peer: SocketAddr,
    /// Names the region.
    pub region: String,
    /// Holds the roles.
    pub roles: Roles,
}

/// Reports one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Names the host.
    pub host: String,
    /// Holds what the host says of itself.
    pub profile: Profile,
    /// Tells what the host is held to be.
    pub standing: Standing,
    /// Orders this report among others about the host.
    pub version: Version,
}

impl Record {
    /// Returns whether this report holds against `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.version, record.standing.rank());
        key(self) > key(other)
    }

    /// Returns whether the host takes new work.
    pub fn takes_work(&self) -> bool {
        self.standing.is_present() && !self.profile.draining
    }

    /// Returns a hash of the host, its version and its standing.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.run.to_le_bytes());
        hasher.update(&self.version.incarnation.to_le_bytes());
        hasher.update(&[self.standing.rank()]);
        hasher.update(self.host.as_bytes());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }
}
