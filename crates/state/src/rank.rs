//! The ranks of work.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Orders kinds of work by how soon they are served.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Rank {
    /// Means work that can wait, but keeps a floor of the capacity.
    #[default]
    Background,
    /// Means work that is served first.
    Urgent,
}

impl Rank {
    /// Returns the position of the rank in arrays that hold one value for each.
    pub fn index(self) -> usize {
        self as usize
    }
}
