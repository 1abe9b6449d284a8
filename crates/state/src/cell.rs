//! One value of the table.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::column::Column;
use crate::column::ValueType;

const HASH_DIGITS: usize = 64;
const MAX_NAME_LEN: usize = 64;

/// Holds one value of the table, already checked against its column.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cell {
    /// Holds an IP address and a port.
    Address(SocketAddr),
    /// Holds a yes or no.
    Flag(bool),
    /// Holds a whole number.
    Number(u64),
    /// Holds a word.
    Text(String),
}

/// Tells why a text is no value for a column.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Error {
    /// Reports a text that is not an IP address with a port.
    #[error("column `{column}` takes an IP address and port such as 192.0.2.1:8000, not `{text}`")]
    Address {
        /// Names the column.
        column: Column,
        /// Repeats the text.
        text: String,
    },
    /// Reports a text that is none of a column's words.
    #[error("column `{column}` takes one of {accepted}, not `{text}`")]
    Choice {
        /// Lists the words.
        accepted: String,
        /// Names the column.
        column: Column,
        /// Repeats the text.
        text: String,
    },
    /// Reports a text that is neither `true` nor `false`.
    #[error("column `{column}` takes true or false, not `{text}`")]
    Flag {
        /// Names the column.
        column: Column,
        /// Repeats the text.
        text: String,
    },
    /// Reports a text that is not a hash.
    #[error("column `{column}` takes {HASH_DIGITS} hexadecimal digits")]
    Hash {
        /// Names the column.
        column: Column,
    },
    /// Reports a text that is not a name.
    #[error(
        "column `{column}` takes 1 to {MAX_NAME_LEN} letters, digits, dots, dashes and \
         underscores, not `{text}`"
    )]
    Name {
        /// Names the column.
        column: Column,
        /// Repeats the text.
        text: String,
    },
    /// Reports a text that is not a whole number within the column's bounds.
    #[error("column `{column}` takes a whole number from {min} to {max}, not `{text}`")]
    Number {
        /// Names the column.
        column: Column,
        /// Gives the least number.
        min: u64,
        /// Gives the greatest number.
        max: u64,
        /// Repeats the text.
        text: String,
    },
}

impl Cell {
    /// Reads `text` as a value of `column`.
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

/// Returns whether `text` may name a row.
pub fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(plain)
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}
