//! The secret that all daemons of a fleet share, and the tags made with it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Gives the length of a key, in bytes.
pub const KEY_BYTES: usize = 32;

/// Gives the length of a tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Tells why a text is no key.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Reports a text that is not made of hexadecimal digits.
    #[error("a fleet key is written in hexadecimal digits")]
    Digit,
    /// Reports a text of another length.
    #[error("a fleet key has {} hexadecimal digits, not {found}", KEY_BYTES * 2)]
    Length {
        /// Gives the number of characters.
        found: usize,
    },
}

/// Authenticates whatever is sent under a key.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Tag(pub [u8; TAG_BYTES]);

impl Eq for Tag {}

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Holds a secret of 32 bytes.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Returns the key of those bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Reads a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error that tells which form is expected and never repeats the text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let found = text.chars().count();
        if found != KEY_BYTES * 2 {
            return Err(Error::Length { found });
        }
        let mut bytes = [0; KEY_BYTES];
        let digits: Option<Vec<u8>> = text
            .chars()
            .map(|digit| digit.to_digit(16).map(|value| value as u8))
            .collect();
        let digits = digits.ok_or(Error::Digit)?;
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = pair[0] << 4 | pair[1];
        }
        Ok(Self(bytes))
    }

    /// Returns the key that `purpose` and `parts` yield under this one.
    pub fn derive(&self, purpose: &str, parts: &[&[u8]]) -> Self {
        Self(*self.hash(purpose, parts).as_bytes())
    }

    /// Returns the tag of `parts`, which are kept apart by their lengths.
    pub fn tag(&self, purpose: &str, parts: &[&[u8]]) -> Tag {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.hash(purpose, parts).as_bytes()[..TAG_BYTES]);
        Tag(tag)
    }

    fn hash(&self, purpose: &str, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(purpose.len() as u64).to_le_bytes());
        hasher.update(purpose.as_bytes());
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }
}

/// Holds the key in force and, during a rotation, the one before or after it.
#[derive(Clone, Debug)]
pub struct Keyring {
    /// Holds the key that new connections use.
    pub current: Key,
    /// Holds another key that is still accepted.
    pub previous: Option<Key>,
}

impl Keyring {
    /// Iterates over the keys, the current one first.
    pub fn iter(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.current).chain(&self.previous)
    }
}
