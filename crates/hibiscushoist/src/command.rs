//! The commands.

use strum::Display;
use strum::EnumIter;

/// Names a command.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Command {
    /// Prints the entry addresses that a caller should use.
    Addresses,
    /// Shows the main job on this machine, with stand-ins.
    Demo,
    /// Prints how one request was decided.
    Explain,
    /// Makes a key or prints the hash of one.
    Key,
    /// Sends caller traffic and reports how it was served.
    Load,
    /// Prints how a daemon sees itself and its fleet.
    Status,
    /// Reads and edits the table.
    Table,
    /// Prints the voters.
    Voters,
}

impl Command {
    /// Returns one line that tells what the command does.
    pub fn summary(self) -> &'static str {
        match self {
            Self::Addresses => "print the entry addresses that a caller should use",
            Self::Demo => "show the main job on this machine, with stand-ins",
            Self::Explain => "print how one request was decided",
            Self::Key => "make a key, or print the hash of one",
            Self::Load => "send caller traffic and report how it was served",
            Self::Status => "print how a daemon sees itself and its fleet",
            Self::Table => "read and edit the table",
            Self::Voters => "print the voters that keep the table",
        }
    }
}
