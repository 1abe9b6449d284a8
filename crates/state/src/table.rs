//! The table that operators edit.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::cell;
use crate::cell::Cell;
use crate::column::Column;
use crate::edit::Action;
use crate::edit::Edit;
use crate::edit::Receipt;
use crate::row;
use crate::row::Row;
use crate::sheet::Sheet;

/// Tells why an edit was refused; the table is unchanged.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Error {
    /// Reports a text that does not fit its column.
    #[error("{0}")]
    Cell(#[from] cell::Error),
    /// Reports an edit based on a revision that is no longer the row's.
    #[error(
        "row `{}` of `{}` is at revision {found}, not {expected}; read it again",
        name.row,
        name.sheet
    )]
    Conflict {
        /// Gives the revision that the edit named.
        expected: u64,
        /// Gives the row's revision.
        found: u64,
        /// Names the row.
        name: row::Name,
    },
    /// Reports a column that the sheet does not have.
    #[error("sheet `{sheet}` has no column `{column}`")]
    Foreign {
        /// Names the column.
        column: Column,
        /// Names the sheet.
        sheet: Sheet,
    },
    /// Reports a required column left empty.
    #[error("sheet `{sheet}` needs column `{column}`")]
    Missing {
        /// Names the column.
        column: Column,
        /// Names the sheet.
        sheet: Sheet,
    },
    /// Reports a text that cannot name a row.
    #[error("`{text}` is no row name: use 1 to 64 letters, digits, dots, dashes and underscores")]
    Name {
        /// Repeats the text.
        text: String,
    },
    /// Reports a row that does not exist.
    #[error("sheet `{}` has no row `{}`", name.sheet, name.row)]
    Unknown {
        /// Names the row.
        name: row::Name,
    },
}

/// Holds all rows and the revision of the newest change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    revision: u64,
    rows: BTreeMap<row::Name, Row>,
}

impl Table {
    /// Applies `edit` and returns its receipt.
    ///
    /// # Errors
    ///
    /// Returns the first thing wrong with the edit and leaves the table unchanged.
    pub fn apply(&mut self, edit: &Edit) -> Result<Receipt, Error> {
        self.compare(edit)?;
        let row = self.changed(edit)?;
        self.revision += 1;
        match row {
            Some(cells) => {
                let revision = self.revision;
                let name = edit.name.clone();
                self.rows.insert(name, Row { cells, revision });
            }
            None => {
                self.rows.remove(&edit.name);
            }
        }
        Ok(Receipt {
            revision: self.revision,
        })
    }

    /// Returns the row of that name.
    pub fn get(&self, sheet: Sheet, row: impl Into<String>) -> Option<&Row> {
        let row = row.into();
        self.rows.get(&row::Name { sheet, row })
    }

    /// Iterates over all rows in order of sheet and name.
    pub fn iter(&self) -> impl Iterator<Item = (&row::Name, &Row)> {
        self.rows.iter()
    }

    /// Returns the revision of the newest change; an empty table has revision 0.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the rows of one sheet in order of name.
    pub fn sheet(&self, sheet: Sheet) -> impl Iterator<Item = (&str, &Row)> {
        self.rows
            .iter()
            .filter(move |(name, _)| name.sheet == sheet)
            .map(|(name, row)| (name.row.as_str(), row))
    }

    fn changed(&self, edit: &Edit) -> Result<Option<BTreeMap<Column, Cell>>, Error> {
        let sheet = edit.name.sheet;
        let mut cells = BTreeMap::new();
        match &edit.action {
            Action::Add(texts) => {
                for (column, text) in texts {
                    cells.insert(*column, parse(sheet, *column, text)?);
                }
            }
            Action::Remove => return Ok(None),
            Action::Set(texts) => {
                cells.extend(self.rows[&edit.name].cells.clone());
                for (column, text) in texts {
                    match text {
                        Some(text) => cells.insert(*column, parse(sheet, *column, text)?),
                        None => cells.remove(column),
                    };
                }
            }
        }
        match sheet.required().iter().find(|c| !cells.contains_key(c)) {
            Some(column) => Err(Error::Missing {
                column: *column,
                sheet,
            }),
            None => Ok(Some(cells)),
        }
    }

    fn compare(&self, edit: &Edit) -> Result<(), Error> {
        let name = edit.name.clone();
        if !cell::is_name(&name.row) {
            return Err(Error::Name { text: name.row });
        }
        let found = self.rows.get(&name).map(|row| row.revision);
        let adds = matches!(edit.action, Action::Add(_));
        if found.is_none() && !adds {
            return Err(Error::Unknown { name });
        }
        let found = found.unwrap_or(0);
        if found != edit.if_revision {
            let expected = edit.if_revision;
            return Err(Error::Conflict {
                expected,
                found,
                name,
            });
        }
        Ok(())
    }
}

fn parse(sheet: Sheet, column: Column, text: &str) -> Result<Cell, Error> {
    if !sheet.columns().contains(&column) {
        return Err(Error::Foreign { column, sheet });
    }
    Ok(Cell::parse(column, text)?)
}
