//! Kinds of work that compete for the allotment of one workspace.

use serde::Deserialize;
use serde::Serialize;

/// How much one request of a kind costs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Size {
    /// A long prompt.
    Large,
    /// A short prompt or a call of a plain service.
    #[default]
    Small,
}

/// A kind of work; the least comes first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Kind {
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Size of its requests.
    pub size: Size,
}
