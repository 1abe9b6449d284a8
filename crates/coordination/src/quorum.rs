//! Who holds the replicated log and whose agreement commits an entry.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Identifies one data folder for its whole life; an empty disk brings another identity.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Describes one holder of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Holds the address that the others connect to.
    pub address: SocketAddr,
    /// Names the host.
    pub name: String,
    /// Tells whether it votes; a learner only receives.
    pub votes: bool,
}

/// Asks for a change of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Adds a learner.
    Add(MemberId, Member),
    /// Lets a learner vote.
    Promote(MemberId),
    /// Removes a learner or a voter.
    Remove(MemberId),
}

/// Tells why a change is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Error {
    /// Reports a learner that lacks entries or was not heard from lately.
    #[error("{0} has not caught up yet")]
    Behind(MemberId),
    /// Reports that an earlier change is not committed yet.
    #[error("an earlier change of the voters is not committed yet")]
    ChangePending,
    /// Reports a removal that would leave no voter.
    #[error("{0} is the last voter")]
    LastVoter(MemberId),
    /// Reports an identity that is already a member.
    #[error("{0} is already a member")]
    MemberExists(MemberId),
    /// Reports an identity that is no member, or no learner where one is needed.
    #[error("{0} is no member that this change could apply to")]
    UnknownMember(MemberId),
}

/// Lists the holders of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Identifies the group by its first voter, so that two groups never mix.
    pub group: MemberId,
    /// Holds the members.
    pub members: BTreeMap<MemberId, Member>,
}

impl Config {
    /// Returns the members after `change`.
    ///
    /// # Errors
    ///
    /// Returns an error when the change does not fit the members.
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

    /// Returns the greatest value that a majority of the voters has reached.
    pub fn majority_value<T: Ord + Default>(&self, value: impl Fn(MemberId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let majority = values.len() / 2;
        values.into_iter().nth(majority).unwrap_or_default()
    }

    /// Returns whether `agrees` holds for a majority of the voters.
    pub fn has_majority(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        self.majority_value(agrees)
    }

    /// Iterates over the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let voting = |(identity, member): (&MemberId, &Member)| member.votes.then_some(*identity);
        self.members.iter().filter_map(voting)
    }

    /// Returns whether `identity` votes.
    pub fn is_voter(&self, identity: MemberId) -> bool {
        self.members.get(&identity).is_some_and(|m| m.votes)
    }
}
