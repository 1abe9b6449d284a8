//! The state machine that the replicated log drives: table, ledger and leases.
//!
//! A snapshot holds all of it at one index, with the answers that suppress duplicates, so that a
//! voter restored from it treats a resent command as any other voter does.

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

/// Asks for one change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Records that a call is about to be sent.
    Begin(ledger::Intent),
    /// Changes the table.
    Edit(Edit),
    /// Records how a call ended.
    Finish(ledger::Report),
    /// Asks for a lease.
    Lease(lease::Request),
    /// Replaces the routed table unless the one in force is as new.
    Route {
        /// Holds the operator's text of it.
        source: Arc<String>,
        /// Holds the table.
        table: Arc<routing::Table>,
    },
    /// Names the weights version that engines of a model should have.
    Weights {
        /// Names the model.
        model: String,
        /// Gives the version.
        version: u64,
    },
}

/// Answers a [`Command`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// Answers [`Command::Begin`].
    Begin(ledger::Decision),
    /// Answers [`Command::Edit`].
    Edit(Result<Receipt, table::Error>),
    /// Answers [`Command::Finish`].
    Finish(ledger::Settlement),
    /// Answers [`Command::Lease`].
    Lease(lease::Answer),
    /// Answers [`Command::Route`] with the version in force.
    Route(u64),
    /// Answers [`Command::Weights`] with the newest version of the model.
    Weights(u64),
}

/// Tells why bytes are no command or no snapshot.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// Reports bytes that do not decode.
    #[error("cannot decode replicated state: {0}")]
    Codec(#[from] postcard::Error),
}

impl Command {
    /// Reads a command from a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode.
    pub fn decode(bytes: impl AsRef<[u8]>) -> Result<Self, Error> {
        Ok(postcard::from_bytes(bytes.as_ref())?)
    }

    /// Returns the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the command does not encode.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_stdvec(self)?)
    }
}

/// Holds the replicated state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateMachine {
    clock: u64,
    history: History,
    leases: Leases,
    ledger: Ledger,
    routed: Arc<RoutingState>,
    table: Arc<Table>,
}

impl StateMachine {
    /// Returns an empty machine whose ledger keeps to `limits`.
    pub fn new(limits: ledger::Limits) -> Self {
        Self {
            ledger: Ledger::new(limits),
            ..Self::default()
        }
    }

    /// Applies one command that the leader stamped with the log's time `at`.
    pub fn apply(&mut self, at: u64, command: &Command) -> Answer {
        self.clock = self.clock.max(at);
        let now = self.clock;
        match command {
            Command::Begin(intent) => Answer::Begin(self.ledger.begin(now, intent)),
            Command::Edit(edit) => {
                let table = Arc::make_mut(&mut self.table);
                Answer::Edit(self.history.apply(now, table, edit))
            }
            Command::Finish(report) => Answer::Finish(self.ledger.finish(now, report)),
            Command::Lease(ask) => Answer::Lease(self.leases.request(now, ask)),
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

    /// Returns the log's time of the newest command.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns who changed what.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the leases.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns a machine from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode.
    pub fn restore(bytes: impl AsRef<[u8]>) -> Result<Self, Error> {
        Ok(postcard::from_bytes(bytes.as_ref())?)
    }

    /// Returns the routed table and the weights versions.
    pub fn routed(&self) -> &Arc<RoutingState> {
        &self.routed
    }

    /// Returns the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the state does not encode.
    pub fn snapshot(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Returns the table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }
}
