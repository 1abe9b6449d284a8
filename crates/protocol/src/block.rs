//! Writes the key of a cached block as 32 hexadecimal digits, and reads it back.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

use state::ident::BlockHash;

const DIGITS: usize = 32;

/// Returns `block` as text.
pub fn format(block: BlockHash) -> String {
    format!("{:032x}", block.0)
}

/// Returns the block that `text` names.
pub fn parse(text: &str) -> Option<BlockHash> {
    let plain = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u128::from_str_radix(text, 16).ok().map(BlockHash))?
}

/// Writes a block in a field marked `#[serde(with = "block")]`.
///
/// # Errors
///
/// Passes on the serialiser's error.
pub fn serialize<S: Serializer>(block: &BlockHash, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format(*block))
}

/// Reads a block in a field marked `#[serde(with = "block")]`.
///
/// # Errors
///
/// Returns an error for a text of another form.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BlockHash, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text).ok_or_else(|| D::Error::custom("a block is 32 hexadecimal digits"))
}

/// Reads and writes an absent block as null.
pub mod option {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use serde::de::Error;

    use state::ident::BlockHash;

    /// Writes a block or null.
    ///
    /// # Errors
    ///
    /// Passes on the serialiser's error.
    pub fn serialize<S: Serializer>(
        block: &Option<BlockHash>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        block.map(super::format).serialize(serializer)
    }

    /// Reads a block or null.
    ///
    /// # Errors
    ///
    /// Returns an error for a text of another form.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<BlockHash>, D::Error> {
        match Option::<String>::deserialize(deserializer)? {
            None => Ok(None),
            Some(text) => match super::parse(&text) {
                None => Err(D::Error::custom("a block is 32 hexadecimal digits")),
                block => Ok(block),
            },
        }
    }
}

/// Reads and writes a list of blocks.
pub mod list {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    use state::ident::BlockHash;

    /// Writes a list of blocks.
    ///
    /// # Errors
    ///
    /// Passes on the serialiser's error.
    pub fn serialize<S: Serializer>(
        blocks: &[BlockHash],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(blocks.iter().map(|b| super::format(*b)))
    }

    /// Reads a list of blocks.
    ///
    /// # Errors
    ///
    /// Returns an error for a text of another form.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<BlockHash>, D::Error> {
        let texts = Vec::<String>::deserialize(deserializer)?;
        let blocks = texts.iter().map(|text| super::parse(text));
        let blocks: Option<Vec<BlockHash>> = blocks.collect();
        blocks.ok_or_else(|| D::Error::custom("a block is 32 hexadecimal digits"))
    }
}
