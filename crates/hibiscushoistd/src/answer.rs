//! The parts of an answer on their way from an upstream to a caller.

use protocol::completion::Usage;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;

/// Holds one part of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
    /// Ends the answer; nothing follows.
    End {
        /// Tells why the answer ended.
        finish: String,
        /// Counts the tokens.
        usage: Usage,
    },
    /// Ends the attempt to answer; nothing follows.
    Failed(Failure),
    /// Holds the next text.
    Text(String),
}

/// Tells why an answer failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Tells whether the request ran.
    pub not_run: NotRun,
    /// Tells why.
    pub reason: Reason,
    /// Gives the time after which to try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns a failure of a request that did not run.
    pub fn before_run(reason: Reason) -> Self {
        Self {
            not_run: NotRun::True,
            reason,
            retry_after_ms: None,
        }
    }
}
