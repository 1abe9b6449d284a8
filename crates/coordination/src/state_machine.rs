//! The replicated state machine: configuration table, ledger of calls and leases.
//!
//! A snapshot holds all of it as of one index, with the stored answers that suppress duplicates, so
//! that a voter restored from it answers a resent command as any other voter does.
//!
//! What was added to log entries and snapshots later stands behind the rest, where a version that
//! does not know it reads no further; where it is missing, it counts as unknown.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::lease;
use crate::lease::Leases;
use crate::stored_command;
use crate::stored_command::StoredCommand;
use state::edit::Edit;
use state::edit::Receipt;
use state::history::History;
use state::ledger;
use state::ledger::Ledger;
use state::naming;
use state::naming::Namings;
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
        Ok(postcard::from_bytes::<StoredCommand>(bytes.as_ref())?.into())
    }

    /// Encodes a command as the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the command does not encode.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        match stored_command::stored(self) {
            None => Ok(postcard::to_stdvec(self)?),
            Some(stored) => Ok(postcard::to_stdvec(&stored)?),
        }
    }

    /// Encodes a command that the leader took at `unix_ms`, the time of day in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error when the command does not encode.
    pub fn encode_stamped(&self, unix_ms: u64) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_extend(&unix_ms, self.encode()?)?)
    }

    /// Decodes a command with the time of day at which the leader took it, in Unix milliseconds; 0
    /// if the entry has none.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode.
    pub fn decode_stamped(bytes: impl AsRef<[u8]>) -> Result<(Self, u64), Error> {
        let (command, rest) = postcard::take_from_bytes::<StoredCommand>(bytes.as_ref())?;
        let unix_ms = match rest.is_empty() {
            false => postcard::from_bytes(rest)?,
            true => 0,
        };
        Ok((command.into(), unix_ms))
    }
}

/// The replicated state; every voter applies the same commands to it in the same order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateMachine {
    log_time_ms: u64,
    history: History,
    leases: Leases,
    ledger: Ledger,
    #[serde(skip)]
    namings: Arc<Namings>,
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

    /// Applies one command that the leader stamped with `log_time_ms`, at an unknown time of day.
    pub fn apply(&mut self, log_time_ms: u64, command: &Command) -> Answer {
        let unix_ms = 0;
        self.apply_stamped(
            naming::Time {
                log_time_ms,
                unix_ms,
            },
            command,
        )
    }

    /// Applies one command that the leader took at `time`.
    pub fn apply_stamped(&mut self, time: naming::Time, command: &Command) -> Answer {
        self.log_time_ms = self.log_time_ms.max(time.log_time_ms);
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
                let named = naming::Time {
                    log_time_ms: now,
                    unix_ms: time.unix_ms,
                };
                Arc::make_mut(&mut self.namings).record(model.clone(), *version, named);
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

    /// Returns when each weights version was named.
    pub fn namings(&self) -> &Arc<Namings> {
        &self.namings
    }

    /// Decodes a state machine from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode.
    pub fn restore(bytes: impl AsRef<[u8]>) -> Result<Self, Error> {
        let (mut machine, rest): (Self, _) = postcard::take_from_bytes(bytes.as_ref())?;
        if rest.is_empty() {
            return Ok(machine);
        }
        let (namings, rest) = postcard::take_from_bytes(rest)?;
        machine.namings = Arc::new(namings);
        if !rest.is_empty() {
            let allotments = postcard::from_bytes(rest)?;
            Arc::make_mut(&mut machine.routed).set_allotments(&allotments);
        }
        Ok(machine)
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
        let whole = postcard::to_extend(&*self.namings, postcard::to_stdvec(self)?)?;
        let allotments = self.routed.table.allotments();
        match allotments.is_empty() {
            false => Ok(postcard::to_extend(&allotments, whole)?),
            true => Ok(whole),
        }
    }

    /// Returns the configuration table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }
}
