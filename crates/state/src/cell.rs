//! A cell of the table.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::column::Column;
use crate::column::ValueType;

/// Hexadecimal digits of a BLAKE3 hash.
const HASH_DIGITS: usize = 64;
/// Most bytes of a name, and most characters of a refused text that an error repeats.
const MAX_NAME_LEN: usize = 64;

/// A value of the table that fits its column.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cell {
    /// An IP address and a port.
    Address(SocketAddr),
    /// True or false.
    Flag(bool),
    /// A whole number.
    Number(u64),
    /// A name, a hash or one of a column's words.
    Text(String),
}

/// Reason why a text is not a value of a column.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Error {
    /// The text is not an IP address with a port.
    #[error("column `{column}` takes an IP address and port such as 192.0.2.1:8000, not `{text}`")]
    Address {
        /// The column.
        column: Column,
        /// Start of the refused text.
        text: String,
    },
    /// The text is none of the column's words.
    #[error("column `{column}` takes one of {accepted}, not `{text}`")]
    Choice {
        /// The column's words, separated by commas.
        accepted: String,
        /// The column.
        column: Column,
        /// Start of the refused text.
        text: String,
    },
    /// The text is neither `true` nor `false`.
    #[error("column `{column}` takes true or false, not `{text}`")]
    Flag {
        /// The column.
        column: Column,
        /// Start of the refused text.
        text: String,
    },
    /// The text is not a hash.
    #[error("column `{column}` takes {HASH_DIGITS} hexadecimal digits")]
    Hash {
        /// The column.
        column: Column,
    },
    /// The text is not a name.
    #[error(
        "column `{column}` takes 1 to {MAX_NAME_LEN} letters, digits, dots, dashes and \
         underscores, not `{text}`"
    )]
    Name {
        /// The column.
        column: Column,
        /// Start of the refused text.
        text: String,
    },
    /// The text is not a whole number within the column's bounds.
    #[error("column `{column}` takes a whole number from {min} to {max}, not `{text}`")]
    Number {
        /// The column.
        column: Column,
        /// The least number.
        min: u64,
        /// The greatest number.
        max: u64,
        /// Start of the refused text.
        text: String,
    },
}

impl Cell {
    /// Parses `text` as a value of `column`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the column and what it accepts.
    pub fn parse(column: Column, text: &str) -> Result<Self, Error> {
        let excerpt = || text.chars().take(MAX_NAME_LEN).collect::<String>();
        match column.value_type() {
            ValueType::Address => text.parse().map(Self::Address).map_err(|_| Error::Address {
                column,
                text: excerpt(),
            }),
            ValueType::Choice(words) if words.contains(&text) => Ok(Self::Text(text.to_owned())),
            ValueType::Choice(words) => Err(Error::Choice {
                accepted: words.join(", "),
                column,
                text: excerpt(),
            }),
            ValueType::Flag => text.parse().map(Self::Flag).map_err(|_| Error::Flag {
                column,
                text: excerpt(),
            }),
            ValueType::Hash if is_hash(text) => Ok(Self::Text(text.to_ascii_lowercase())),
            ValueType::Hash => Err(Error::Hash { column }),
            ValueType::Name if is_name(text) => Ok(Self::Text(text.to_owned())),
            ValueType::Name => Err(Error::Name {
                column,
                text: excerpt(),
            }),
            ValueType::Number { min, max } => match text.parse() {
                Ok(number) if (min..=max).contains(&number) => Ok(Self::Number(number)),
                _ => Err(Error::Number {
                    column,
                    min,
                    max,
                    text: excerpt(),
                }),
            },
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address(address) => address.fmt(f),
            Self::Flag(flag) => flag.fmt(f),
            Self::Number(number) => number.fmt(f),
            Self::Text(text) => text.fmt(f),
        }
    }
}

/// Returns whether `text` is a valid name of a row.
pub fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(plain)
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}
