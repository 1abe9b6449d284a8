//! What operators send and get under `/admin/`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use state::column::Column;
use state::row;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;

/// Shows one row with its cells as text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Holds the filled cells.
    pub cells: BTreeMap<Column, String>,
    /// Gives the table revision of the last change to the row.
    pub revision: u64,
    /// Names the row.
    pub row: String,
    /// Names the sheet.
    pub sheet: Sheet,
}

impl View {
    /// Shows `row` under `name`.
    pub fn of(name: &row::Name, row: &Row) -> Self {
        let texts = row.cells.iter().map(|(c, cell)| (*c, cell.to_string()));
        Self {
            cells: texts.collect(),
            revision: row.revision,
            row: name.row.clone(),
            sheet: name.sheet,
        }
    }
}

/// Shows the whole table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Gives the revision of the newest change.
    pub revision: u64,
    /// Lists the rows in order of sheet and name.
    pub rows: Vec<View>,
}

impl Listing {
    /// Shows `table`.
    pub fn of(table: &Table) -> Self {
        Self {
            revision: table.revision(),
            rows: table
                .iter()
                .map(|(name, row)| View::of(name, row))
                .collect(),
        }
    }
}
