//! Numbered events, the only things that are logged.

use slog::Level;
use slog::Logger;
use strum::Display;
use strum::EnumIter;

/// Names what happened; the number never changes once given out.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, PartialEq)]
#[repr(u16)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// Logs that the daemon started to serve.
    Started = 100,
    /// Logs that the daemon began to drain.
    DrainBegun = 101,
    /// Logs that the daemon ends after its last request.
    Stopped = 102,
    /// Logs that the daemon ends before its last request because the drain limit has passed.
    DrainLimitPassed = 103,
    /// Logs that a caller's connection ended with an error.
    ConnectionFailed = 110,
    /// Logs that no more connections are accepted for now.
    ConnectionLimit = 111,
    /// Logs that a request was refused.
    RequestRefused = 120,
    /// Logs that an accepted edit is in force here.
    TableApplied = 200,
    /// Logs that an edit was refused.
    EditRefused = 201,
}

impl Event {
    /// Returns the severity of the event.
    pub fn level(self) -> Level {
        match self {
            Self::ConnectionFailed | Self::RequestRefused => Level::Debug,
            Self::DrainBegun
            | Self::EditRefused
            | Self::Started
            | Self::Stopped
            | Self::TableApplied => Level::Info,
            Self::ConnectionLimit | Self::DrainLimitPassed => Level::Warning,
        }
    }

    /// Returns the number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Logs `event` with `details`.
pub fn emit(log: &Logger, event: Event, details: impl slog::KV) {
    let number = event.number();
    match event.level() {
        Level::Critical => slog::crit!(log, "{}", event; "event" => number, details),
        Level::Debug => slog::debug!(log, "{}", event; "event" => number, details),
        Level::Error => slog::error!(log, "{}", event; "event" => number, details),
        Level::Info => slog::info!(log, "{}", event; "event" => number, details),
        Level::Trace => slog::trace!(log, "{}", event; "event" => number, details),
        Level::Warning => slog::warn!(log, "{}", event; "event" => number, details),
    }
}
