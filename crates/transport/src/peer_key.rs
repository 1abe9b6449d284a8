//! The secret key that all daemons of a fleet share, and message authentication with it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of a key, in bytes.
pub const KEY_BYTES: usize = 32;

/// Length of a message authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Reason why a text is not a valid key.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text contains a character that is not a hexadecimal digit.
    #[error("a fleet key is written in hexadecimal digits")]
    Digit,
    /// The text has a wrong length.
    #[error("a fleet key has {} hexadecimal digits, not {found}", KEY_BYTES * 2)]
    Length {
        /// Number of characters in the text.
        found: usize,
    },
}

/// Message authentication tag: a truncated keyed BLAKE3 hash, compared in constant time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Tag(pub [u8; TAG_BYTES]);

impl Eq for Tag {}

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Secret key; its debug output does not show the bytes.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Returns the key made of `bytes`.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Parses a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not a key; the error never repeats the text, which may be
    /// a secret.
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

    /// Derives a key from this one for `purpose` and `parts`.
    pub fn derive(&self, purpose: &str, parts: &[&[u8]]) -> Self {
        Self(*self.hash(purpose, parts).as_bytes())
    }

    /// Returns the tag of `parts` for `purpose`.
    ///
    /// The length of each part is hashed too, so that bytes cannot move between parts.
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

/// The current key and, during a rotation, the key before or after it.
#[derive(Clone, Debug)]
pub struct Keyring {
    /// Key that is offered first on new connections.
    pub current: Key,
    /// Other key that is accepted during a rotation.
    pub previous: Option<Key>,
}

impl Keyring {
    /// Iterates over the keys, starting with the current one.
    pub fn iter(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.current).chain(&self.previous)
    }
}
