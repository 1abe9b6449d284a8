//! Edits: changes to the table that an operator asks for.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::column::Column;
use crate::row;

/// What an edit does to its row.
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

/// Request to change one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// The change to the row.
    pub action: Action,
    /// Name of the operator.
    pub author: String,
    /// Revision of the row that the operator saw; 0 for a row that is added.
    pub if_revision: u64,
    /// Idempotency key of the edit: if it is sent again, it gets the first answer.
    pub key: String,
    /// Name of the row.
    pub name: row::Name,
}

/// Confirmation of an accepted edit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// The table revision that the edit produced.
    pub revision: u64,
}
