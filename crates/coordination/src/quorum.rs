//! Membership of a Raft group, and the majority of its voters that commits an entry.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Id of a member; it belongs to one data folder, so a member with an empty disk has another id.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One member of the group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address that the other members connect to.
    pub address: SocketAddr,
    /// Name of its host.
    pub name: String,
    /// Whether it votes; a learner only receives entries.
    pub votes: bool,
}

/// Membership change of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Adds a member as a learner.
    Add(MemberId, Member),
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Removes a learner or a voter.
    Remove(MemberId),
}

/// Reason why a membership change is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Error {
    /// The learner lacks committed entries or has not answered lately.
    #[error("learner {0} has not caught up yet")]
    Behind(MemberId),
    /// An earlier change, or the first entry of the leader's term, is not committed yet.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The removal would leave no voter.
    #[error("member {0} is the last voter")]
    LastVoter(MemberId),
    /// The id is already a member.
    #[error("{0} is already a member")]
    MemberExists(MemberId),
    /// The id is not a member, or not a learner where the change needs one.
    #[error("{0} is not a member that this change applies to")]
    UnknownMember(MemberId),
}

/// Membership of the group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Id of the group, which is that of its first voter; messages of other groups are dropped.
    pub group: MemberId,
    /// Voters and learners by id.
    pub members: BTreeMap<MemberId, Member>,
}

impl Config {
    /// Returns the membership after `change`.
    ///
    /// # Errors
    ///
    /// Returns an error when the change does not apply to the present members.
    pub fn with_change(&self, change: &Change) -> Result<Self, Error> {
        let mut config = self.clone();
        match change {
            Change::Add(identity, member) => {
                if self.members.contains_key(identity) {
                    return Err(Error::MemberExists(*identity));
                }
                let votes = false;
                let member = member.clone();
                config.members.insert(*identity, Member { votes, ..member });
            }
            Change::Promote(identity) => match config.members.get_mut(identity) {
                Some(member) if !member.votes => member.votes = true,
                _ => return Err(Error::UnknownMember(*identity)),
            },
            Change::Remove(identity) => {
                if config.members.remove(identity).is_none() {
                    return Err(Error::UnknownMember(*identity));
                }
                if config.voters().next().is_none() {
                    return Err(Error::LastVoter(*identity));
                }
            }
        }
        Ok(config)
    }

    /// Returns the greatest value that a majority of the voters has at least reached.
    pub fn majority_value<T: Ord + Default>(&self, value: impl Fn(MemberId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let majority = values.len() / 2;
        values.into_iter().nth(majority).unwrap_or_default()
    }

    /// Returns whether `predicate` holds for a majority of the voters.
    pub fn has_majority(&self, predicate: impl Fn(MemberId) -> bool) -> bool {
        self.majority_value(predicate)
    }

    /// Returns the ids of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let voting = |(identity, member): (&MemberId, &Member)| member.votes.then_some(*identity);
        self.members.iter().filter_map(voting)
    }

    /// Returns whether `identity` is a member that votes.
    pub fn is_voter(&self, identity: MemberId) -> bool {
        self.members.get(&identity).is_some_and(|m| m.votes)
    }
}
