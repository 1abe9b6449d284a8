//! Ranks: the priority classes of work.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Priority class of a kind of work.
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
    /// Work that can wait, but keeps a minimum share of the capacity.
    #[default]
    Background,
    /// Work that is served first.
    Urgent,
}

impl Rank {
    /// Returns the index of the rank in arrays with one value per rank.
    pub fn index(self) -> usize {
        self as usize
    }
}
