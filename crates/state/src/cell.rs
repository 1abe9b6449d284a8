//! One value of the table.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::column::Column;
use crate::column::Form;

const HASH_DIGITS: usize = 64;
const LONGEST_NAME: usize = 64;

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
        "column `{column}` takes 1 to {LONGEST_NAME} letters, digits, dots, dashes and \
         underscores, not `{text}`"
    )]
    Name {
        /// Names the column.
        column: Column,
        /// Repeats the text.
        text: String,
    },
    /// Reports a text that is not a whole number within the column's bounds.
    #[error("column `{column}` takes a whole number from {least} to {most}, not `{text}`")]
    Number {
        /// Names the column.
        column: Column,
        /// Gives the least number.
        least: u64,
        /// Gives the greatest number.
        most: u64,
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
        let repeat = || text.chars().take(LONGEST_NAME).collect::<String>();
        match column.form() {
            Form::Address => text.parse().map(Self::Address).map_err(|_| Error::Address {
                column,
                text: repeat(),
            }),
            Form::Choice(words) if words.contains(&text) => Ok(Self::Text(text.to_owned())),
            Form::Choice(words) => Err(Error::Choice {
                accepted: words.join(", "),
                column,
                text: repeat(),
            }),
            Form::Flag => text.parse().map(Self::Flag).map_err(|_| Error::Flag {
                column,
                text: repeat(),
            }),
            Form::Hash if is_hash(text) => Ok(Self::Text(text.to_ascii_lowercase())),
            Form::Hash => Err(Error::Hash { column }),
            Form::Name if is_name(text) => Ok(Self::Text(text.to_owned())),
            Form::Name => Err(Error::Name {
                column,
                text: repeat(),
            }),
            Form::Number { least, most } => match text.parse() {
                Ok(number) if (least..=most).contains(&number) => Ok(Self::Number(number)),
                _ => Err(Error::Number {
                    column,
                    least,
                    most,
                    text: repeat(),
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
    (1..=LONGEST_NAME).contains(&text.len()) && text.chars().all(plain)
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}
