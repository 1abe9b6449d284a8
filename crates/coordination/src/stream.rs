//! Assembles an answer from the pieces of several attempts, without repeated, lost or foreign
//! tokens.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;
use thiserror::Error;

/// Consecutive tokens of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Piece {
    /// Why the answer ended, in its last piece.
    pub finish: Option<Finish>,
    /// ID of the attempt that the piece belongs to.
    pub id: String,
    /// Offset of the first token in the answer.
    pub offset: u64,
    /// Text of the tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// The upstream was told to cancel it.
    Cancelled,
    /// The answer reached its limit.
    Length,
    /// The model ended it.
    Stop,
}

/// Why an attempt must be given up; the pieces accepted before stay valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The upstream ended the answer as cancelled, which this side did not request.
    #[error("the upstream cancelled the answer at offset {at}")]
    Cancelled {
        /// Offset of the piece that ended it.
        at: u64,
    },
    /// A piece belongs to another attempt.
    #[error("a piece answers attempt `{found}`, not `{expected}`")]
    Crossed {
        /// ID of the current attempt.
        expected: String,
        /// ID of the attempt of the piece.
        found: String,
    },
    /// A piece follows the finishing one.
    #[error("a piece at offset {found} follows the end of the answer")]
    Extra {
        /// Offset of the piece.
        found: u64,
    },
    /// Tokens are missing before a piece.
    #[error("a piece starts at offset {found}, but {expected} comes next")]
    Gap {
        /// Offset of the next token.
        expected: u64,
        /// Offset of the piece.
        found: u64,
    },
    /// The answer exceeds one of its limits.
    #[error("the answer exceeds its limit of {limit}")]
    LimitExceeded {
        /// The limit, in tokens or in bytes.
        limit: u64,
    },
    /// The stream ended before the answer did.
    #[error("the stream ended at offset {at} without its end mark")]
    NoEnd {
        /// Offset of the next token.
        at: u64,
    },
    /// A piece repeats tokens that were accepted before.
    #[error("a piece starts at offset {found}, but {expected} comes next; tokens repeat")]
    Repeat {
        /// Offset of the next token.
        expected: u64,
        /// Offset of the piece.
        found: u64,
    },
    /// The weights of the attempt differ from those of the tokens accepted before.
    #[error("the answer began with weights `{expected}`, not `{found}`")]
    Version {
        /// Weights version of the tokens accepted before.
        expected: String,
        /// Weights version of the attempt.
        found: String,
    },
}

/// The state from which the next attempt resumes the answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// Number of tokens accepted so far.
    pub offset: u64,
    /// Text of these tokens.
    pub text: String,
    /// Weights version of these tokens, if there are any.
    pub version: Option<String>,
}

/// Limits of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest text, in bytes.
    pub bytes: u64,
    /// Largest number of tokens.
    pub tokens: u64,
}

/// Assembles one answer from its pieces.
#[derive(Clone, Debug)]
pub struct Assembler {
    attempt: Option<Attempt>,
    limits: Limits,
    end_mark_seen: bool,
    finish: Option<Finish>,
    next_offset: u64,
    text: String,
    version: Option<String>,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    version: String,
}

impl Assembler {
    /// Returns an assembler for an answer within `limits`.
    pub fn new(limits: Limits) -> Self {
        Self {
            attempt: None,
            limits,
            end_mark_seen: false,
            finish: None,
            next_offset: 0,
            text: String::new(),
            version: None,
        }
    }

    /// Starts an attempt; pieces of earlier attempts are rejected from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if tokens of another weights version were accepted before.
    pub fn begin_attempt(
        &mut self,
        id: impl Into<String>,
        version: impl Into<String>,
    ) -> Result<(), StreamError> {
        let version = version.into();
        self.attempt = None;
        if let Some(expected) = self.version.as_ref().filter(|v| **v != version) {
            return Err(StreamError::Version {
                expected: expected.clone(),
                found: version,
            });
        }
        let id = id.into();
        self.attempt = Some(Attempt { id, version });
        Ok(())
    }

    /// Records the end of the byte stream.
    ///
    /// # Errors
    ///
    /// Returns an error unless the end mark arrived before.
    pub fn close(&self) -> Result<(), StreamError> {
        match self.end_mark_seen {
            false => Err(StreamError::NoEnd {
                at: self.next_offset,
            }),
            true => Ok(()),
        }
    }

    /// Records the end mark.
    ///
    /// # Errors
    ///
    /// Returns an error if the finishing piece has not arrived.
    pub fn end(&mut self) -> Result<Finish, StreamError> {
        let finish = self.finish.ok_or(StreamError::NoEnd {
            at: self.next_offset,
        })?;
        self.end_mark_seen = true;
        Ok(finish)
    }

    /// Returns whether the answer is complete, including its end mark.
    pub fn is_complete(&self) -> bool {
        self.end_mark_seen
    }

    /// Returns the number of accepted tokens.
    pub fn len(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether no token was accepted.
    pub fn is_empty(&self) -> bool {
        self.next_offset == 0
    }

    /// Accepts the next piece of the current attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason why the attempt must be given up; then nothing of the piece is accepted.
    pub fn push(&mut self, piece: &Piece) -> Result<(), StreamError> {
        self.check(piece)?;
        self.next_offset += piece.tokens;
        self.text.push_str(&piece.text);
        self.finish = piece.finish;
        if piece.tokens > 0 {
            self.version = self.attempt.as_ref().map(|a| a.version.clone());
        }
        Ok(())
    }

    /// Ends the current attempt, and returns the state from which the next one resumes. If only the
    /// end mark was missing, the next attempt has to send the finishing piece again.
    pub fn resume(&mut self) -> ResumePoint {
        self.attempt = None;
        self.finish = None;
        ResumePoint {
            offset: self.next_offset,
            text: self.text.clone(),
            version: self.version.clone(),
        }
    }

    /// Returns the text accepted so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Checks a piece against the current attempt, the next offset and the limits.
    fn check(&self, piece: &Piece) -> Result<(), StreamError> {
        let expected = self.next_offset;
        let found = piece.offset;
        let current = self.attempt.as_ref().map_or("", |a| a.id.as_str());
        if self.attempt.is_none() || current != piece.id {
            return Err(StreamError::Crossed {
                expected: current.to_owned(),
                found: piece.id.clone(),
            });
        }
        if self.finish.is_some() || self.end_mark_seen {
            return Err(StreamError::Extra { found });
        }
        if found > expected {
            return Err(StreamError::Gap { expected, found });
        }
        if found < expected {
            return Err(StreamError::Repeat { expected, found });
        }
        if piece.finish == Some(Finish::Cancelled) {
            return Err(StreamError::Cancelled { at: found });
        }
        if found.saturating_add(piece.tokens) > self.limits.tokens {
            let limit = self.limits.tokens;
            return Err(StreamError::LimitExceeded { limit });
        }
        if (self.text.len() + piece.text.len()) as u64 > self.limits.bytes {
            let limit = self.limits.bytes;
            return Err(StreamError::LimitExceeded { limit });
        }
        Ok(())
    }
}
