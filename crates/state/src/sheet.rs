//! The sheets of the table and their columns.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::column::Column;

/// A sheet of the table; its rows have the same columns.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Sheet {
    /// The kinds of work that callers ask for.
    Kinds,
    /// The models and the weights version that each should serve.
    Models,
    /// The upstreams.
    Upstreams,
    /// The workspaces.
    Workspaces,
}

impl Sheet {
    /// Returns the columns that rows of this sheet may fill.
    pub fn columns(self) -> &'static [Column] {
        match self {
            Self::Kinds => &[
                Column::Deadline,
                Column::Floor,
                Column::Idempotent,
                Column::Limit,
                Column::Rank,
                Column::Weight,
            ],
            Self::Models => &[
                Column::Adapter,
                Column::BlockBytes,
                Column::LoadLimit,
                Column::MinimumServing,
                Column::Version,
            ],
            Self::Upstreams => &[
                Column::Address,
                Column::ChecksFence,
                Column::Domain,
                Column::Limit,
                Column::Model,
                Column::Role,
                Column::Service,
                Column::Standing,
                Column::Type,
                Column::Weight,
            ],
            Self::Workspaces => &[
                Column::CallerLimit,
                Column::KeyHash,
                Column::Limit,
                Column::Rate,
                Column::Trade,
                Column::Weight,
            ],
        }
    }

    /// Returns the columns that a row of this sheet must fill when it is added.
    pub fn required(self) -> &'static [Column] {
        match self {
            Self::Kinds => &[Column::Rank],
            Self::Models => &[Column::Version],
            Self::Upstreams => &[Column::Address, Column::Type],
            Self::Workspaces => &[Column::KeyHash],
        }
    }
}
