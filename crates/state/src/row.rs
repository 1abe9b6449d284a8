//! One row of the table.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::cell::Cell;
use crate::column::Column;
use crate::sheet::Sheet;

/// Name of a row, unique in the whole table.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Name {
    /// The sheet.
    pub sheet: Sheet,
    /// Name within the sheet.
    pub row: String,
}

/// The cells of a row and the revision that last changed one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The filled cells.
    pub cells: BTreeMap<Column, Cell>,
    /// Table revision of the last change.
    pub revision: u64,
}

impl Row {
    /// Returns the address in `column`, if the cell holds one.
    pub fn address(&self, column: Column) -> Option<SocketAddr> {
        match self.cells.get(&column) {
            Some(Cell::Address(address)) => Some(*address),
            _ => None,
        }
    }

    /// Returns the flag in `column`, if the cell holds one.
    pub fn flag(&self, column: Column) -> Option<bool> {
        match self.cells.get(&column) {
            Some(Cell::Flag(flag)) => Some(*flag),
            _ => None,
        }
    }

    /// Returns the number in `column`, if the cell holds one.
    pub fn number(&self, column: Column) -> Option<u64> {
        match self.cells.get(&column) {
            Some(Cell::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns the text in `column`, if the cell holds one.
    pub fn text(&self, column: Column) -> Option<&str> {
        match self.cells.get(&column) {
            Some(Cell::Text(text)) => Some(text),
            _ => None,
        }
    }
}
