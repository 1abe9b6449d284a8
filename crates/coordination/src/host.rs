//! The record that every host keeps about each host of the fleet.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;

/// A role of a host.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Owns upstreams and places requests on them.
    Broker,
    /// Accepts the connections of callers.
    Entry,
    /// Votes on the replicated log and keeps it on disk.
    Voter,
}

/// A set of roles, as a bit set.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roles(u8);

impl Roles {
    /// Returns whether the set contains `role`.
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

/// How loaded a host is. There are only three levels, so that the load seldom changes and costs
/// little gossip.
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
    /// The host should get less new work.
    Busy,
    /// The host has spare capacity.
    #[default]
    Normal,
    /// The host should get new work only when no other host can take it.
    Overloaded,
}

const BUSY_FROM_PERCENT: u64 = 70;
const NORMAL_BELOW_PERCENT: u64 = 55;
const OVERLOADED_FROM_PERCENT: u64 = 95;
const BUSY_BELOW_PERCENT: u64 = 80;

impl Load {
    /// Returns the load after a measurement of `percent`. The thresholds have hysteresis: a load
    /// rises at a greater percentage than it falls, so that a steady measurement does not make it
    /// alternate.
    pub fn next(self, percent: u64) -> Self {
        match self {
            _ if percent >= OVERLOADED_FROM_PERCENT => Self::Overloaded,
            Self::Overloaded if percent >= BUSY_BELOW_PERCENT => Self::Overloaded,
            Self::Normal if percent < BUSY_FROM_PERCENT => Self::Normal,
            _ if percent < NORMAL_BELOW_PERCENT => Self::Normal,
            _ => Self::Busy,
        }
    }
}

/// The state of a host, as the failure detector sees it.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Hash, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// The host answers.
    Alive,
    /// The host was suspected and did not refute it in time.
    Dead,
    /// The host announced that it shuts down.
    Left,
    /// The host did not answer a probe, and may still refute that it is dead.
    Suspect,
}

impl Standing {
    /// Returns the precedence among records of one version: the greater one wins.
    pub fn precedence(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspect => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }

    /// Returns whether the host is alive or suspected.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// The version of a record; of two records of a host, the one with the greater version wins.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Identifies the host's process; grows with each start.
    pub run: u64,
    /// Grows with each change that the host makes to its own record.
    pub incarnation: u32,
}

/// What a host publishes about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Failure domain of the host.
    pub domain: String,
    /// Whether the host drains: it is shutting down and accepts no new work.
    pub draining: bool,
    /// Address for callers, if the host is an entry.
    pub entry: Option<SocketAddr>,
    /// Address for callers of routed services, if the host serves them.
    pub gateway: Option<SocketAddr>,
    /// Load of the host.
    pub load: Load,
    /// Address for the daemons of other hosts.
    pub peer: SocketAddr,
    /// Region of the host.
    pub region: String,
    /// Roles of the host.
    pub roles: Roles,
}

/// What is known about one host; gossip spreads it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the host.
    pub host: String,
    /// What the host publishes about itself.
    pub profile: Profile,
    /// State of the host, as the failure detector sees it.
    pub standing: Standing,
    /// Version of this record.
    pub version: Version,
}

impl Record {
    /// Returns whether this record replaces `other`, a record of the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.version, record.standing.precedence());
        key(self) > key(other)
    }

    /// Returns whether the host accepts new work.
    pub fn takes_work(&self) -> bool {
        self.standing.is_present() && !self.profile.draining
    }

    /// Returns a hash of the host's name, its version and its standing.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.run.to_le_bytes());
        hasher.update(&self.version.incarnation.to_le_bytes());
        hasher.update(&[self.standing.precedence()]);
        hasher.update(self.host.as_bytes());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }
}
