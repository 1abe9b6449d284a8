//! What can go wrong, in words that a user can act on.

use std::net::SocketAddr;
use std::path::PathBuf;

use error_stack::AttachmentKind;
use error_stack::Frame;
use error_stack::FrameKind;
use error_stack::Report;
use thiserror::Error;

use protocol::operator;
use protocol::refusal;

const CONFLICT: u8 = 5;
const FAILED: u8 = 1;
const REFUSED: u8 = 6;
const UNAUTHORIZED: u8 = 4;
const UNKNOWN: u8 = 7;
const UNREACHABLE: u8 = 3;
const USAGE: u8 = 2;

/// Tells why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports an answer that is not what the path promises.
    #[error("{server} answered `{path}` in a form that this version does not read")]
    Answer {
        /// Names the path.
        path: String,
        /// Names the server.
        server: SocketAddr,
    },
    /// Reports options that do not parse.
    #[error("{0}; `--help` lists the options")]
    Arguments(#[from] getopts::Fail),
    /// Reports a cell that is not written as `COLUMN=VALUE`.
    #[error("`{text}` is not COLUMN=VALUE with a column of the table")]
    Cell {
        /// Repeats the text.
        text: String,
    },
    /// Reports a missing or unknown command.
    #[error(
        "{}; `hibiscushoist help` lists the commands",
        name.as_ref().map_or("no command given".into(), |n| format!("no command `{n}`"))
    )]
    Command {
        /// Repeats the name.
        name: Option<String>,
    },
    /// Reports a step of the demonstration that did not happen.
    #[error("this did not happen: {step}\n  expected: {expected}\n  found: {found}")]
    Demo {
        /// Tells what was expected.
        expected: String,
        /// Tells what was found.
        found: String,
        /// Names the step.
        step: String,
    },
    /// Reports a demonstration that could not start.
    #[error("the demonstration could not start")]
    DemoStart,
    /// Reports a failure that the daemon told.
    #[error("{}", .0.message)]
    Failed(operator::Failure),
    /// Reports a key that cannot be sent.
    #[error("the key holds characters that no key has; use printable ASCII on one line")]
    Key,
    /// Reports a key file that cannot be read.
    #[error("cannot read the key from `{}`", path.display())]
    KeyFile {
        /// Names the file.
        path: PathBuf,
    },
    /// Reports that no key was given.
    #[error("no key given; use --key-file FILE or set {variable}")]
    KeyMissing {
        /// Names the environment variable.
        variable: String,
    },
    /// Reports an edit whose answer was lost each time.
    #[error("the edit may or may not have been accepted; send it again with --edit-key {key}")]
    Lost {
        /// Names the edit.
        key: String,
    },
    /// Reports a number out of range.
    #[error("--{option} takes {accepted}, not `{text}`")]
    Number {
        /// Tells what is accepted.
        accepted: String,
        /// Names the option.
        option: String,
        /// Repeats the text.
        text: String,
    },
    /// Reports output that cannot be written.
    #[error("cannot write the output")]
    Output,
    /// Reports a refusal that the daemon told.
    #[error("{} ({})", .0.message, .0.reason)]
    Refused(refusal::Refusal),
    /// Reports a runtime that cannot start.
    #[error("cannot start the threads that the command needs")]
    Runtime,
    /// Reports an address that is not one.
    #[error("`{text}` is no address; give an IP number and port such as 127.0.0.1:7700")]
    Server {
        /// Repeats the text.
        text: String,
    },
    /// Reports a status without a body that tells why.
    #[error("{server} answered `{path}` with status {status}")]
    Status {
        /// Names the path.
        path: String,
        /// Names the server.
        server: SocketAddr,
        /// Gives the HTTP status.
        status: u16,
    },
    /// Reports that no server answered.
    #[error("none of {servers} answered; check the address and whether the daemon runs")]
    Unreachable {
        /// Lists the servers.
        servers: String,
    },
    /// Reports words that the command does not take.
    #[error("usage: hibiscushoist {usage}")]
    Usage {
        /// Shows what the command takes.
        usage: String,
    },
}

impl Error {
    /// Returns the exit code that tells the kind of failure to scripts.
    pub fn exit(&self) -> u8 {
        match self {
            Self::Answer { .. }
            | Self::Demo { .. }
            | Self::DemoStart
            | Self::Output
            | Self::Runtime
            | Self::Status { .. } => FAILED,
            Self::Arguments(_)
            | Self::Cell { .. }
            | Self::Command { .. }
            | Self::Number { .. }
            | Self::Server { .. }
            | Self::Usage { .. } => USAGE,
            Self::Failed(failure) => kind(failure.kind),
            Self::Key | Self::KeyFile { .. } | Self::KeyMissing { .. } => UNAUTHORIZED,
            Self::Lost { .. } => UNKNOWN,
            Self::Refused(refusal) if refusal.reason == refusal::Reason::Unauthorized => {
                UNAUTHORIZED
            }
            Self::Refused(_) => REFUSED,
            Self::Unreachable { .. } => UNREACHABLE,
        }
    }
}

fn kind(kind: operator::FailureKind) -> u8 {
    match kind {
        operator::FailureKind::Conflict => CONFLICT,
        operator::FailureKind::OutcomeUnknown => UNKNOWN,
        operator::FailureKind::Unauthorized => UNAUTHORIZED,
        operator::FailureKind::BadRequest
        | operator::FailureKind::KeyReused
        | operator::FailureKind::QuorumAway
        | operator::FailureKind::Unknown => REFUSED,
    }
}

/// Returns the lines that tell a user what went wrong, the causes last.
pub fn text(report: &Report<Error>) -> String {
    let mut text = format!("hibiscushoist: {}\n", report.current_context());
    let mut notes = report.frames().filter_map(note).collect::<Vec<_>>();
    notes.retain(|note| *note != report.current_context().to_string());
    notes.dedup();
    for note in notes {
        text.push_str(&format!("  because: {note}\n"));
    }
    text
}

fn note(frame: &Frame) -> Option<String> {
    match frame.kind() {
        FrameKind::Attachment(AttachmentKind::Printable(note)) => Some(note.to_string()),
        FrameKind::Context(cause) => Some(cause.to_string()),
        _ => None,
    }
}
