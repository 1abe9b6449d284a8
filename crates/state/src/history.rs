//! History of the table: accepted edits, and the answers that edits get when they are sent again.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::edit::Edit;
use crate::edit::Receipt;
use crate::table;
use crate::table::Table;

/// Most edits, and most answers, that are remembered.
const MAX_ENTRIES: usize = 10_000;

/// An accepted edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Time of the edit in the replicated log, in milliseconds.
    pub log_time_ms: u64,
    /// The edit, with its author.
    pub edit: Edit,
    /// Table revision that the edit produced.
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct AnsweredEdit {
    edit: Edit,
    result: Result<Receipt, table::Error>,
}

/// The newest accepted edits, and the answers to the newest edits by their keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    answers: BTreeMap<String, AnsweredEdit>,
    changes: VecDeque<Change>,
    keys: VecDeque<String>,
}

impl History {
    /// Applies `edit` to `table` at the time `log_time_ms` of the replicated log, or repeats the
    /// answer that its key got before.
    ///
    /// # Errors
    ///
    /// Returns an error if the edit is invalid, or if its key was used for another edit.
    pub fn apply(
        &mut self,
        log_time_ms: u64,
        table: &mut Table,
        edit: &Edit,
    ) -> Result<Receipt, table::Error> {
        if let Some(answered) = self.answers.get(&edit.key) {
            if answered.edit != *edit {
                return Err(table::Error::ReusedKey {
                    key: edit.key.clone(),
                });
            }
            return answered.result.clone();
        }
        let result = table.apply(edit);
        if let Ok(receipt) = &result {
            self.changes.push_back(Change {
                log_time_ms,
                edit: edit.clone(),
                revision: receipt.revision,
            });
        }
        self.remember(edit, &result);
        result
    }

    /// Iterates over the remembered changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    fn remember(&mut self, edit: &Edit, result: &Result<Receipt, table::Error>) {
        let answered = AnsweredEdit {
            edit: edit.clone(),
            result: result.clone(),
        };
        self.answers.insert(edit.key.clone(), answered);
        self.keys.push_back(edit.key.clone());
        if self.keys.len() > MAX_ENTRIES
            && let Some(oldest) = self.keys.pop_front()
        {
            self.answers.remove(&oldest);
        }
        if self.changes.len() > MAX_ENTRIES {
            self.changes.pop_front();
        }
    }
}
