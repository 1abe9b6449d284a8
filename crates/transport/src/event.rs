//! The numbered events, which are all that the daemon logs.

use slog::Level;
use slog::Logger;
use strum::Display;
use strum::EnumIter;

/// A kind of event. Its number is part of the log format and never changes.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, PartialEq)]
#[repr(u16)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// The daemon started to serve.
    Started = 100,
    /// The daemon began to drain.
    DrainBegun = 101,
    /// The daemon stops after its last request.
    Stopped = 102,
    /// The daemon stops before its last request ended, because the drain limit has passed.
    DrainLimitPassed = 103,
    /// Changed settings are in force.
    SettingsReloaded = 104,
    /// Changed settings are not valid, and the previous ones stay in force.
    SettingsRefused = 105,
    /// A caller's connection ended with an error.
    ConnectionFailed = 110,
    /// The connection limit is reached, so no connections are accepted for now.
    ConnectionLimit = 111,
    /// A request was refused.
    RequestRefused = 120,
    /// An attempt at a routed request failed.
    AttemptFailed = 121,
    /// No upstream is available for a routed request.
    RoutedRefused = 122,
    /// A routed request was refused because the host's table may be out of date.
    OutlookStale = 123,
    /// A routed stream failed; the details say whether it is resumed at another upstream.
    StreamBroken = 124,
    /// The answer to a routed request ended; the details say how, and how its upstream was chosen.
    RequestAnswered = 125,
    /// An upstream asked in an answer for no further requests of this host.
    UpstreamHeld = 126,
    /// An engine did not say which weights it serves, so it gets a request without block names.
    VersionUnknown = 127,
    /// An engine crashed under a request whose prompt has parts that others share.
    EngineCrashed = 130,
    /// A part of prompts was quarantined, because engines crash that begin to answer them.
    PartQuarantined = 131,
    /// A whole answer ended the quarantine of a part.
    PartReleased = 132,
    /// A request was refused because a part of its prompt is quarantined.
    PartRefused = 133,
    /// An accepted edit is in force on this host.
    TableApplied = 200,
    /// An edit was refused.
    EditRefused = 201,
    /// The table could not be saved for the next start.
    TableNotSaved = 202,
    /// A routed table is in force on this host.
    RoutesApplied = 203,
    /// A routed table was accepted, or a table at least as new was already in force.
    RoutesAccepted = 204,
    /// A routed table was refused.
    RoutesRefused = 205,
    /// The voters did not answer a request about a routed table.
    RoutesUnanswered = 206,
    /// The newest weights version of a model was set.
    WeightsNamed = 207,
    /// The voter's data folder was opened.
    VoterStarted = 210,
    /// This voter became the leader.
    LeadershipGained = 211,
    /// This voter is no longer the leader.
    LeadershipLost = 212,
    /// The voters and learners have changed.
    VotersChanged = 213,
    /// An incomplete write at the end of the log was dropped.
    LogTorn = 214,
    /// The disk is full, and the write is retried.
    DiskFull = 215,
    /// The disk failed, and this voter stops until the next start.
    DiskFailed = 216,
    /// A host's voter belongs to another group and is ignored.
    VoterForeign = 217,
    /// A voter or learner does not answer this voter, which leads.
    VoterSilent = 218,
    /// The members of the group were changed, or a change was refused or not confirmed.
    MemberChanged = 219,
    /// A host was seen for the first time, or again after it was gone.
    HostJoined = 300,
    /// A host runs a new process.
    HostRestarted = 301,
    /// A host does not answer.
    HostSuspected = 302,
    /// A suspected host answers again.
    HostCleared = 303,
    /// A host is considered dead.
    HostDied = 304,
    /// A host accepts no new work.
    HostDraining = 305,
    /// A host shut down gracefully.
    HostLeft = 306,
    /// The load class of a host changed.
    HostLoaded = 307,
    /// A host answers others but not this host.
    LinkCut = 310,
    /// A host answers this host again.
    LinkMended = 311,
    /// This host receives messages from no other host.
    Isolated = 312,
    /// This host receives messages from other hosts again.
    Reunited = 313,
    /// This process was stopped for a while.
    Paused = 314,
    /// Another host uses the name of this host.
    NameTaken = 315,
    /// A connection of another daemon was refused.
    PeerRefused = 316,
    /// The owner of upstreams is unreachable, so this host places requests itself.
    OwnerAway = 317,
    /// The list of upstreams could not be read.
    ListFailed = 318,
    /// The upstreams that are sent to the hosts have changed.
    FleetChanged = 319,
    /// An order was sent to an engine.
    RolloutOrdered = 320,
    /// An engine serves what the table requires.
    RolloutDone = 321,
    /// An engine cannot be changed without leaving too few that serve its model.
    RolloutBlocked = 322,
    /// An engine refused an order several times.
    RolloutRefused = 323,
    /// An engine takes far too long to load.
    RolloutStuck = 324,
    /// This host no longer controls roll-outs.
    RolloutLost = 325,
    /// An engine answered the order to load newer weights; the details say how.
    ReloadOrdered = 326,
    /// A voter did not answer the request for a routing update.
    OutlookFailed = 327,
    /// An engine has loaded the weights that it was ordered to load.
    ReloadDone = 328,
    /// The leading host did not choose an engine for a long prompt.
    AssignFailed = 329,
    /// An engine was taken off new work and waits for the order to load newer weights.
    ReloadWaiting = 330,
    /// The number of malformed entries in the list of upstreams has changed.
    ListMalformed = 331,
    /// The report of an engine could not be decoded.
    ReportMalformed = 332,
    /// The platform's list of hosts could not be read.
    HostListFailed = 333,
    /// The number of malformed entries in the platform's list of hosts has changed.
    HostListMalformed = 334,
    /// A difference of the list of upstreams did not fit the list that this host has.
    FleetMisfit = 335,
    /// The leading host has learned how fast the engines of a service are, or that it has changed.
    EnginesLearned = 336,
    /// Callers of a workspace ask for more than its allotment.
    AllotmentScarce = 340,
    /// The allotment of a workspace covers again what callers ask for.
    AllotmentSufficient = 341,
    /// A request was refused because the allotment of its workspace does not cover it.
    AllotmentRefused = 342,
    /// A long prompt would not begin before its caller leaves, so it was rejected.
    PromptRejected = 343,
    /// This host suspects an upstream to be silent, and sends it no requests.
    UpstreamSuspected = 350,
    /// An upstream that this host suspected to be silent is there again.
    SuspicionEnded = 351,
    /// An upstream rejected a request without running it.
    UpstreamRejected = 353,
    /// A short request was rejected because it would not be served in time.
    ForecastRejected = 354,
}

impl Event {
    /// Returns the log level of the event.
    pub fn level(self) -> Level {
        match self {
            Self::AllotmentRefused
            | Self::AttemptFailed
            | Self::ConnectionFailed
            | Self::FleetChanged
            | Self::ForecastRejected
            | Self::HostLoaded
            | Self::OutlookStale
            | Self::PartRefused
            | Self::PromptRejected
            | Self::RequestAnswered
            | Self::RequestRefused
            | Self::RoutedRefused
            | Self::StreamBroken
            | Self::UpstreamHeld
            | Self::UpstreamRejected
            | Self::VersionUnknown => Level::Debug,
            Self::AssignFailed
            | Self::ConnectionLimit
            | Self::DiskFull
            | Self::DrainLimitPassed
            | Self::EngineCrashed
            | Self::FleetMisfit
            | Self::HostDied
            | Self::HostListFailed
            | Self::HostListMalformed
            | Self::LeadershipLost
            | Self::LinkCut
            | Self::ListFailed
            | Self::ListMalformed
            | Self::LogTorn
            | Self::OutlookFailed
            | Self::OwnerAway
            | Self::PartQuarantined
            | Self::Paused
            | Self::PeerRefused
            | Self::ReportMalformed
            | Self::RolloutBlocked
            | Self::RolloutLost
            | Self::RolloutRefused
            | Self::RolloutStuck
            | Self::SettingsRefused
            | Self::TableNotSaved => Level::Warning,
            Self::AllotmentScarce
            | Self::AllotmentSufficient
            | Self::DrainBegun
            | Self::EditRefused
            | Self::EnginesLearned
            | Self::HostCleared
            | Self::HostDraining
            | Self::HostJoined
            | Self::HostLeft
            | Self::HostRestarted
            | Self::HostSuspected
            | Self::LeadershipGained
            | Self::LinkMended
            | Self::MemberChanged
            | Self::PartReleased
            | Self::ReloadDone
            | Self::ReloadOrdered
            | Self::ReloadWaiting
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
            | Self::SuspicionEnded
            | Self::TableApplied
            | Self::UpstreamSuspected
            | Self::VoterSilent
            | Self::VoterStarted
            | Self::VotersChanged
            | Self::WeightsNamed => Level::Info,
            Self::DiskFailed | Self::Isolated | Self::NameTaken | Self::VoterForeign => {
                Level::Error
            }
        }
    }

    /// Returns the number under which the event is logged.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Logs `event` with its number and `details`.
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
