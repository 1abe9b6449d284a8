//! Puts the pieces of an answer together across attempts, with nothing repeated, lost or foreign.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;
use thiserror::Error;

/// Holds consecutive tokens of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Piece {
    /// Tells why the answer ended, in its last piece.
    pub finish: Option<Finish>,
    /// Names the attempt that the piece answers.
    pub id: String,
    /// Gives the offset of the first token.
    pub offset: u64,
    /// Holds the text.
    pub text: String,
    /// Counts the tokens.
    pub tokens: u64,
}

/// Tells why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// Means that the upstream was told to stop.
    Cancelled,
    /// Means that the answer reached its bound.
    Length,
    /// Means that the model ended the answer.
    Stop,
}

/// Tells why an attempt must be given up; what was accepted before stays valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// Reports an end that nobody on this side asked for.
    #[error("the upstream cancelled the answer at offset {at}")]
    Cancelled {
        /// Gives the offset.
        at: u64,
    },
    /// Reports a piece of another attempt.
    #[error("a piece answers attempt `{found}`, not `{expected}`")]
    Crossed {
        /// Names the attempt in progress.
        expected: String,
        /// Names the attempt of the piece.
        found: String,
    },
    /// Reports a piece after the finishing one.
    #[error("a piece at offset {found} follows the end of the answer")]
    Extra {
        /// Gives the offset of the piece.
        found: u64,
    },
    /// Reports that tokens are missing before a piece.
    #[error("a piece starts at offset {found}, but {expected} comes next")]
    Gap {
        /// Gives the offset that comes next.
        expected: u64,
        /// Gives the offset of the piece.
        found: u64,
    },
    /// Reports an answer that is longer than its bound.
    #[error("the answer is longer than its bound of {limit}")]
    LimitExceeded {
        /// Gives the bound, in tokens or in bytes.
        limit: u64,
    },
    /// Reports a stream that ended before the answer did.
    #[error("the stream ended at offset {at} without its end mark")]
    NoEnd {
        /// Gives the offset that would come next.
        at: u64,
    },
    /// Reports tokens that were accepted before.
    #[error("a piece starts at offset {found}, but {expected} comes next; tokens repeat")]
    Repeat {
        /// Gives the offset that comes next.
        expected: u64,
        /// Gives the offset of the piece.
        found: u64,
    },
    /// Reports an attempt with other weights than those that gave the tokens accepted before.
    #[error("the answer began with weights `{expected}`, not `{found}`")]
    Version {
        /// Names the weights version of the tokens accepted before.
        expected: String,
        /// Names the weights version of the attempt.
        found: String,
    },
}

/// Tells the next upstream where to go on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// Counts the tokens accepted so far.
    pub offset: u64,
    /// Holds their text.
    pub text: String,
    /// Names the weights version that they came from, if there are any.
    pub version: Option<String>,
}

/// Bounds an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bounds the text, in bytes.
    pub bytes: u64,
    /// Bounds the answer, in tokens.
    pub tokens: u64,
}

/// Accepts the pieces of one answer in order.
#[derive(Clone, Debug)]
pub struct Assembler {
    attempt: Option<Attempt>,
    limits: Limits,
    ended: bool,
    finish: Option<Finish>,
    next: u64,
    text: String,
    version: Option<String>,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    version: String,
}

impl Assembler {
    /// Returns an assembler for an answer within `bound`.
    pub fn new(limits: Limits) -> Self {
        Self {
            attempt: None,
            limits,
            ended: false,
            finish: None,
            next: 0,
            text: String::new(),
            version: None,
        }
    }

    /// Starts an attempt; pieces of any earlier one are foreign from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when tokens of another weights version were accepted before.
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

    /// Accepts the end of the bytes.
    ///
    /// # Errors
    ///
    /// Returns an error unless the end mark came before.
    pub fn close(&self) -> Result<(), StreamError> {
        match self.ended {
            false => Err(StreamError::NoEnd { at: self.next }),
            true => Ok(()),
        }
    }

    /// Accepts the end mark.
    ///
    /// # Errors
    ///
    /// Returns an error when the finishing piece has not come.
    pub fn end(&mut self) -> Result<Finish, StreamError> {
        let finish = self.finish.ok_or(StreamError::NoEnd { at: self.next })?;
        self.ended = true;
        Ok(finish)
    }

    /// Returns whether the whole answer was accepted.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Returns how many tokens were accepted.
    pub fn len(&self) -> u64 {
        self.next
    }

    /// Returns whether no token was accepted.
    pub fn is_empty(&self) -> bool {
        self.next == 0
    }

    /// Accepts the next piece of the current attempt.
    ///
    /// # Errors
    ///
    /// Returns why the attempt must be given up; nothing of the piece was accepted then.
    pub fn push(&mut self, piece: &Piece) -> Result<(), StreamError> {
        self.check(piece)?;
        self.next += piece.tokens;
        self.text.push_str(&piece.text);
        self.finish = piece.finish;
        if piece.tokens > 0 {
            self.version = self.attempt.as_ref().map(|a| a.version.clone());
        }
        Ok(())
    }

    /// Returns where the next attempt goes on; one that missed only the end mark ends again.
    pub fn resume(&mut self) -> ResumePoint {
        self.attempt = None;
        self.finish = None;
        ResumePoint {
            offset: self.next,
            text: self.text.clone(),
            version: self.version.clone(),
        }
    }

    /// Returns the text accepted so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn check(&self, piece: &Piece) -> Result<(), StreamError> {
        let expected = self.next;
        let found = piece.offset;
        let current = self.attempt.as_ref().map_or("", |a| a.id.as_str());
        if self.attempt.is_none() || current != piece.id {
            return Err(StreamError::Crossed {
                expected: current.to_owned(),
                found: piece.id.clone(),
            });
        }
        if self.finish.is_some() || self.ended {
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
