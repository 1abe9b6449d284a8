//! Changes to the table.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::column::Column;
use crate::row;

/// Tells what an edit does to its row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Adds a row with these cells.
    Add(BTreeMap<Column, String>),
    /// Removes the row.
    Remove,
    /// Fills these cells, or clears those given as `None`.
    Set(BTreeMap<Column, Option<String>>),
}

/// Asks for one change of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Tells what to do.
    pub action: Action,
    /// Names the operator.
    pub author: String,
    /// Gives the row revision that the operator saw; an added row has revision 0.
    pub if_revision: u64,
    /// Names this edit, so that one sent again gets the first answer.
    pub key: String,
    /// Names the row.
    pub name: row::Name,
}

/// Confirms an accepted edit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Gives the table revision that the edit produced.
    pub revision: u64,
}
