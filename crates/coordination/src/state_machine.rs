//! The replicated state machine: configuration table, ledger of calls and leases.
//!
//! A snapshot holds all of it as of one index, with the stored answers that suppress duplicates, so
//! that a voter restored from it answers a resent command as any other voter does.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::lease;
use crate::lease::Leases;
use state::edit::Edit;
use state::edit::Receipt;
use state::history::History;
use state::ledger;
use state::ledger::Ledger;
use state::routing;
use state::routing::RoutingState;
use state::table;
use state::table::Table;

/// One change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Records that a call is about to be sent to an upstream.
    Begin(ledger::Intent),
    /// Changes the table.
    Edit(Edit),
    /// Records how a call ended.
    Finish(ledger::Report),
    /// Acquires, renews or releases a lease.
    Lease(lease::Request),
    /// Replaces the table of routed services unless the version in force is at least as new.
    Route {
        /// The operator's text of the table.
        source: Arc<String>,
        /// The parsed table.
        table: Arc<routing::Table>,
    },
    /// Sets the weights version that the engines of a model should load.
    Weights {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: u64,
    },
}

/// Answer to a [`Command`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// Answer to [`Command::Begin`].
    Begin(ledger::Decision),
    /// Answer to [`Command::Edit`].
    Edit(Result<Receipt, table::Error>),
    /// Answer to [`Command::Finish`].
    Finish(ledger::Settlement),
    /// Answer to [`Command::Lease`].
    Lease(lease::Answer),
    /// Answer to [`Command::Route`]: the version in force.
    Route(u64),
    /// Answer to [`Command::Weights`]: the newest version of the model.
    Weights(u64),
}

/// Failure to encode or decode a command or a snapshot.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The serialization failed.
    #[error("cannot encode or decode replicated state: {0}")]
    Codec(#[from] postcard::Error),
}

impl Command {
    /// Decodes a command from the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode.
    pub fn decode(bytes: impl AsRef<[u8]>) -> Result<Self, Error> {
        Ok(postcard::from_bytes(bytes.as_ref())?)
    }

    /// Encodes a command as the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the command does not encode.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_stdvec(self)?)
    }
}

/// The replicated state; every voter applies the same commands to it in the same order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateMachine {
    log_time_ms: u64,
    history: History,
    leases: Leases,
    ledger: Ledger,
    routed: Arc<RoutingState>,
    table: Arc<Table>,
}

impl StateMachine {
    /// Returns an empty state machine whose ledger has the given limits.
    pub fn new(limits: ledger::Limits) -> Self {
        Self {
            ledger: Ledger::new(limits),
            ..Self::default()
        }
    }

    /// Applies one command that the leader stamped with `log_time_ms`.
    pub fn apply(&mut self, log_time_ms: u64, command: &Command) -> Answer {
        self.log_time_ms = self.log_time_ms.max(log_time_ms);
        let now = self.log_time_ms;
        match command {
            Command::Begin(intent) => Answer::Begin(self.ledger.begin(now, intent)),
            Command::Edit(edit) => {
                let table = Arc::make_mut(&mut self.table);
                Answer::Edit(self.history.apply(now, table, edit))
            }
            Command::Finish(report) => Answer::Finish(self.ledger.finish(now, report)),
            Command::Lease(request) => Answer::Lease(self.leases.request(now, request)),
            Command::Route { source, table } => {
                let routed = Arc::make_mut(&mut self.routed);
                routed.replace(source.clone(), table.clone());
                Answer::Route(routed.table.version)
            }
            Command::Weights { model, version } => {
                let routed = Arc::make_mut(&mut self.routed);
                routed.raise_weights_version(model.clone(), *version);
                Answer::Weights(routed.weights_versions[model])
            }
        }
    }

    /// Returns the log time of the newest command, in milliseconds.
    pub fn log_time_ms(&self) -> u64 {
        self.log_time_ms
    }

    /// Returns the recorded edits of the table.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the leases and their holders.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the ledger of calls.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Decodes a state machine from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode.
    pub fn restore(bytes: impl AsRef<[u8]>) -> Result<Self, Error> {
        Ok(postcard::from_bytes(bytes.as_ref())?)
    }

    /// Returns the table of routed services and the weights versions.
    pub fn routed(&self) -> &Arc<RoutingState> {
        &self.routed
    }

    /// Encodes the state machine as the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the state does not encode.
    pub fn snapshot(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Returns the configuration table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }
}
