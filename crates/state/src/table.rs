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

/// Reason why an edit was refused; the table is unchanged.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Error {
    /// A text does not fit its column.
    #[error("{0}")]
    Cell(#[from] cell::Error),
    /// The edit is based on a revision that is no longer the row's.
    #[error(
        "row `{}` of `{}` is at revision {found}, not {expected}; read it again",
        name.row,
        name.sheet
    )]
    Conflict {
        /// Revision that the edit is based on.
        expected: u64,
        /// Revision of the row.
        found: u64,
        /// Name of the row.
        name: row::Name,
    },
    /// The change would leave a listed model without a serving upstream.
    #[error(
        "{} of row `{}` would leave model `{model}` without a serving upstream",
        column.map_or_else(|| "removal".to_owned(), |c| format!("cell `{c}`")),
        name.row
    )]
    EmptyModel {
        /// Column of the cell, or `None` if the whole row is removed.
        column: Option<Column>,
        /// Name of the model.
        model: String,
        /// Name of the row.
        name: row::Name,
    },
    /// The sheet does not have the column.
    #[error("sheet `{sheet}` has no column `{column}`")]
    ForeignColumn {
        /// The column.
        column: Column,
        /// The sheet.
        sheet: Sheet,
    },
    /// A required column is empty.
    #[error("sheet `{sheet}` needs column `{column}`")]
    MissingColumn {
        /// The column.
        column: Column,
        /// The sheet.
        sheet: Sheet,
    },
    /// The text is not a valid name of a row.
    #[error(
        "`{text}` is not a valid row name: use 1 to 64 letters, digits, dots, dashes and \
         underscores"
    )]
    Name {
        /// The refused text.
        text: String,
    },
    /// The edit key was used for another edit before.
    #[error("edit key `{key}` was used for another edit before; use a new key")]
    ReusedKey {
        /// The refused key.
        key: String,
    },
    /// The row does not exist.
    #[error("sheet `{}` has no row `{}`", name.sheet, name.row)]
    UnknownRow {
        /// Name of the row.
        name: row::Name,
    },
}

/// The rows of all sheets and the revision of the newest change.
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
    /// Returns the first problem found in the edit and leaves the table unchanged.
    pub fn apply(&mut self, edit: &Edit) -> Result<Receipt, Error> {
        self.check_revision(edit)?;
        let row = self.changed_cells(edit)?;
        self.check_model_still_served(edit, row.as_ref())?;
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

    /// Returns the row of that sheet and name.
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

    /// Returns the cells of the row after the edit, or `None` if the edit removes the row.
    fn changed_cells(&self, edit: &Edit) -> Result<Option<BTreeMap<Column, Cell>>, Error> {
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
            Some(column) => Err(Error::MissingColumn {
                column: *column,
                sheet,
            }),
            None => Ok(Some(cells)),
        }
    }

    /// Checks the name and the revision of the row that is edited.
    fn check_revision(&self, edit: &Edit) -> Result<(), Error> {
        let name = edit.name.clone();
        if !cell::is_name(&name.row) {
            return Err(Error::Name { text: name.row });
        }
        let found = self.rows.get(&name).map(|row| row.revision);
        let adds = matches!(edit.action, Action::Add(_));
        if found.is_none() && !adds {
            return Err(Error::UnknownRow { name });
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

    /// Checks that a listed model which the row serves keeps an upstream that serves it.
    fn check_model_still_served(
        &self,
        edit: &Edit,
        cells: Option<&BTreeMap<Column, Cell>>,
    ) -> Result<(), Error> {
        let Some(before) = self.rows.get(&edit.name) else {
            return Ok(());
        };
        let Some(model) = served_model(edit.name.sheet, &before.cells) else {
            return Ok(());
        };
        let still = cells.and_then(|cells| served_model(edit.name.sheet, cells)) == Some(model);
        if still || self.get(Sheet::Models, model).is_none() {
            return Ok(());
        }
        let others = self.rows.iter().filter(|(name, _)| **name != edit.name);
        let mut others = others.filter_map(|(name, row)| served_model(name.sheet, &row.cells));
        if others.any(|other| other == model) {
            return Ok(());
        }
        Err(Error::EmptyModel {
            column: cells.and_then(|cells| changed_serving_column(&before.cells, cells)),
            model: model.to_owned(),
            name: edit.name.clone(),
        })
    }
}

/// Columns that decide whether an upstream serves a model; see [`served_model`].
const SERVING_COLUMNS: [Column; 5] = [
    Column::Limit,
    Column::Model,
    Column::Standing,
    Column::Type,
    Column::Weight,
];

/// Returns the first column of [`SERVING_COLUMNS`] whose cell differs.
fn changed_serving_column(
    before: &BTreeMap<Column, Cell>,
    after: &BTreeMap<Column, Cell>,
) -> Option<Column> {
    let changed = |column: &&Column| before.get(column) != after.get(column);
    SERVING_COLUMNS.iter().find(changed).copied()
}

/// Returns the model that a row of the table serves: an engine that takes new work.
fn served_model(sheet: Sheet, cells: &BTreeMap<Column, Cell>) -> Option<&str> {
    let word = |column| match cells.get(&column) {
        Some(Cell::Text(text)) => Some(text.as_str()),
        _ => None,
    };
    let zero = |column| cells.get(&column) == Some(&Cell::Number(0));
    let engine = sheet == Sheet::Upstreams && word(Column::Type) == Some("engine");
    let takes_work = word(Column::Standing).is_none_or(|standing| standing == "serving");
    let serves = engine && takes_work && !zero(Column::Limit) && !zero(Column::Weight);
    serves.then(|| word(Column::Model)).flatten()
}

fn parse(sheet: Sheet, column: Column, text: &str) -> Result<Cell, Error> {
    if !sheet.columns().contains(&column) {
        return Err(Error::ForeignColumn { column, sheet });
    }
    Ok(Cell::parse(column, text)?)
}
