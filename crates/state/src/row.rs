//! One row of the table.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::cell::Cell;
use crate::column::Column;
use crate::sheet::Sheet;

/// Names a row across the whole table.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Name {
    /// Names the sheet.
    pub sheet: Sheet,
    /// Names the row within its sheet.
    pub row: String,
}

/// Holds the cells of a row and the revision that last changed one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Holds the filled cells.
    pub cells: BTreeMap<Column, Cell>,
    /// Holds the table revision of the last change.
    pub revision: u64,
}

impl Row {
    /// Returns the address in `column`.
    pub fn address(&self, column: Column) -> Option<SocketAddr> {
        match self.cells.get(&column) {
            Some(Cell::Address(address)) => Some(*address),
            _ => None,
        }
    }

    /// Returns the flag in `column`.
    pub fn flag(&self, column: Column) -> Option<bool> {
        match self.cells.get(&column) {
            Some(Cell::Flag(flag)) => Some(*flag),
            _ => None,
        }
    }

    /// Returns the number in `column`.
    pub fn number(&self, column: Column) -> Option<u64> {
        match self.cells.get(&column) {
            Some(Cell::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns the word in `column`.
    pub fn text(&self, column: Column) -> Option<&str> {
        match self.cells.get(&column) {
            Some(Cell::Text(text)) => Some(text),
            _ => None,
        }
    }
}
