//! Commands as log entries hold them.
//!
//! The entry of a table without allotments is the one that versions wrote which knew none. The
//! other kinds of entries have the bytes of the command itself.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::lease;
use crate::state_machine::Command;
use state::edit::Edit;
use state::ledger;
use state::routing;
use state::routing_layout;

/// A command in a log entry; the position of a variant identifies it there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoredCommand {
    /// Holds [`Command::Begin`].
    Begin(ledger::Intent),
    /// Holds [`Command::Edit`].
    Edit(Edit),
    /// Holds [`Command::Finish`].
    Finish(ledger::Report),
    /// Holds [`Command::Lease`].
    Lease(lease::Request),
    /// Holds [`Command::Route`] with a table that has no allotments.
    Route {
        /// The operator's text of the table.
        source: Arc<String>,
        /// The parsed table.
        table: routing_layout::Table,
    },
    /// Holds [`Command::Weights`].
    Weights {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: u64,
    },
    /// Holds [`Command::Route`] with a table that has allotments.
    WholeRoute {
        /// The operator's text of the table.
        source: Arc<String>,
        /// The parsed table.
        table: Arc<routing::Table>,
    },
}

/// Returns how a command is stored, unless that is in its own bytes.
pub(crate) fn stored(command: &Command) -> Option<StoredCommand> {
    let Command::Route { source, table } = command else {
        return None;
    };
    let source = source.clone();
    Some(match table.allotments().is_empty() {
        false => StoredCommand::WholeRoute {
            source,
            table: table.clone(),
        },
        true => StoredCommand::Route {
            source,
            table: (&**table).into(),
        },
    })
}

impl From<StoredCommand> for Command {
    fn from(stored: StoredCommand) -> Self {
        match stored {
            StoredCommand::Begin(intent) => Self::Begin(intent),
            StoredCommand::Edit(edit) => Self::Edit(edit),
            StoredCommand::Finish(report) => Self::Finish(report),
            StoredCommand::Lease(request) => Self::Lease(request),
            StoredCommand::Route { source, table } => Self::Route {
                source,
                table: Arc::new(table.into()),
            },
            StoredCommand::Weights { model, version } => Self::Weights { model, version },
            StoredCommand::WholeRoute { source, table } => Self::Route { source, table },
        }
    }
}
