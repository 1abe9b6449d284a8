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
    /// Logs that changed settings are in force.
    SettingsReloaded = 104,
    /// Logs that changed settings have a fault and that those before stay in force.
    SettingsRefused = 105,
    /// Logs that a caller's connection ended with an error.
    ConnectionFailed = 110,
    /// Logs that no more connections are accepted for now.
    ConnectionLimit = 111,
    /// Logs that a request was refused.
    RequestRefused = 120,
    /// Logs that an attempt at a routed request failed.
    AttemptFailed = 121,
    /// Logs that no upstream takes a routed request.
    RoutedRefused = 122,
    /// Logs that a routed request was refused because the host's table may be out of date.
    OutlookStale = 123,
    /// Logs that a routed stream broke off, and whether it goes on at another upstream.
    StreamBroken = 124,
    /// Logs how the answer to a routed request ended, and by what its upstream was chosen.
    RequestAnswered = 125,
    /// Logs that an accepted edit is in force here.
    TableApplied = 200,
    /// Logs that an edit was refused.
    EditRefused = 201,
    /// Logs that the table could not be saved for the next start.
    TableNotSaved = 202,
    /// Logs that a routed table is in force here.
    RoutesApplied = 203,
    /// Logs that a routed table was accepted, or that one as new was in force.
    RoutesAccepted = 204,
    /// Logs that a routed table was refused.
    RoutesRefused = 205,
    /// Logs that the voters did not answer for a routed table.
    RoutesUnanswered = 206,
    /// Logs that new weights were named.
    WeightsNamed = 207,
    /// Logs that the voter's data folder was opened.
    VoterStarted = 210,
    /// Logs that this voter leads from now on.
    LeadershipGained = 211,
    /// Logs that this voter no longer leads.
    LeadershipLost = 212,
    /// Logs that the voters and learners have changed.
    VotersChanged = 213,
    /// Logs that an unfinished write at the end of the log was dropped.
    LogTorn = 214,
    /// Logs that the disk is full and that the write is tried again.
    DiskFull = 215,
    /// Logs that the disk failed and that this voter stops until the next start.
    DiskFailed = 216,
    /// Logs that a host's voter belongs to another group and is left alone.
    VoterForeign = 217,
    /// Logs that a host was seen for the first time or again.
    HostJoined = 300,
    /// Logs that a host runs a new process.
    HostRestarted = 301,
    /// Logs that a host does not answer.
    HostSuspected = 302,
    /// Logs that a suspected host answers again.
    HostCleared = 303,
    /// Logs that a host is held to be dead.
    HostDied = 304,
    /// Logs that a host wants no new work.
    HostDraining = 305,
    /// Logs that a host ended as it should.
    HostLeft = 306,
    /// Logs that the load class of a host changed.
    HostLoaded = 307,
    /// Logs that a host answers others but not this one.
    LinkCut = 310,
    /// Logs that a host answers this one again.
    LinkMended = 311,
    /// Logs that this host hears from nobody.
    Isolated = 312,
    /// Logs that this host hears from others again.
    Reunited = 313,
    /// Logs that this process stood still.
    Paused = 314,
    /// Logs that another host uses the name of this one.
    NameTaken = 315,
    /// Logs that a daemon was refused.
    PeerRefused = 316,
    /// Logs that the owner of upstreams cannot be asked and that this host places requests itself.
    OwnerAway = 317,
    /// Logs that the list of upstreams could not be read.
    ListFailed = 318,
    /// Logs that the upstreams that hosts are told have changed.
    FleetChanged = 319,
    /// Logs that an engine was given an order.
    RolloutOrdered = 320,
    /// Logs that an engine serves what the table asks for.
    RolloutDone = 321,
    /// Logs that an engine cannot be moved without leaving too few that serve its model.
    RolloutBlocked = 322,
    /// Logs that an engine refused an order several times.
    RolloutRefused = 323,
    /// Logs that an engine loads for far too long.
    RolloutStuck = 324,
    /// Logs that this host no longer controls roll-outs.
    RolloutLost = 325,
    /// Logs how an engine answered the order to load newer weights.
    ReloadOrdered = 326,
    /// Logs that a voter did not tell what this host lacks.
    OutlookFailed = 327,
    /// Logs that an engine has the weights that it was ordered to load.
    ReloadDone = 328,
    /// Logs that the leading host did not choose the engine of a long prompt.
    AssignFailed = 329,
}

impl Event {
    /// Returns the severity of the event.
    pub fn level(self) -> Level {
        match self {
            Self::AttemptFailed
            | Self::ConnectionFailed
            | Self::FleetChanged
            | Self::HostLoaded
            | Self::OutlookStale
            | Self::RequestAnswered
            | Self::RequestRefused
            | Self::RoutedRefused
            | Self::StreamBroken => Level::Debug,
            Self::AssignFailed
            | Self::ConnectionLimit
            | Self::DiskFull
            | Self::DrainLimitPassed
            | Self::HostDied
            | Self::LeadershipLost
            | Self::LinkCut
            | Self::ListFailed
            | Self::LogTorn
            | Self::OutlookFailed
            | Self::OwnerAway
            | Self::Paused
            | Self::PeerRefused
            | Self::RolloutBlocked
            | Self::RolloutLost
            | Self::RolloutRefused
            | Self::RolloutStuck
            | Self::SettingsRefused
            | Self::TableNotSaved => Level::Warning,
            Self::DrainBegun
            | Self::EditRefused
            | Self::HostCleared
            | Self::HostDraining
            | Self::HostJoined
            | Self::HostLeft
            | Self::HostRestarted
            | Self::HostSuspected
            | Self::LeadershipGained
            | Self::LinkMended
            | Self::ReloadDone
            | Self::ReloadOrdered
            | Self::Reunited
            | Self::RolloutDone
            | Self::RolloutOrdered
            | Self::RoutesAccepted
            | Self::RoutesApplied
            | Self::RoutesRefused
            | Self::RoutesUnanswered
            | Self::SettingsReloaded
            | Self::Started
            | Self::Stopped
            | Self::TableApplied
            | Self::VoterStarted
            | Self::VotersChanged
            | Self::WeightsNamed => Level::Info,
            Self::DiskFailed | Self::Isolated | Self::NameTaken | Self::VoterForeign => {
                Level::Error
            }
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
