//! Text format of block hashes: 32 hexadecimal digits.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

use state::ident::BlockHash;

const DIGITS: usize = 32;

/// Returns `block` as 32 lower-case hexadecimal digits.
pub fn format(block: BlockHash) -> String {
    format!("{:032x}", block.0)
}

/// Parses 32 hexadecimal digits.
pub fn parse(text: &str) -> Option<BlockHash> {
    let plain = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u128::from_str_radix(text, 16).ok().map(BlockHash))?
}

/// Serializes a field marked `#[serde(with = "block")]`.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(block: &BlockHash, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format(*block))
}

/// Deserializes a field marked `#[serde(with = "block")]`.
///
/// # Errors
///
/// Returns an error if a text is not 32 hexadecimal digits.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BlockHash, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text).ok_or_else(|| D::Error::custom("a block is 32 hexadecimal digits"))
}

/// Serialization of an optional block, with null if it is absent.
pub mod option {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use serde::de::Error;

    use state::ident::BlockHash;

    /// Serializes a block or null.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(
        block: &Option<BlockHash>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        block.map(super::format).serialize(serializer)
    }

    /// Deserializes a block or null.
    ///
    /// # Errors
    ///
    /// Returns an error if a text is not 32 hexadecimal digits.
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

/// Serialization of a list of blocks.
pub mod list {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    use state::ident::BlockHash;

    /// Serializes a list of blocks.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(
        blocks: &[BlockHash],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(blocks.iter().map(|b| super::format(*b)))
    }

    /// Deserializes a list of blocks.
    ///
    /// # Errors
    ///
    /// Returns an error if a text is not 32 hexadecimal digits.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<BlockHash>, D::Error> {
        let texts = Vec::<String>::deserialize(deserializer)?;
        let blocks = texts.iter().map(|text| super::parse(text));
        let blocks: Option<Vec<BlockHash>> = blocks.collect();
        blocks.ok_or_else(|| D::Error::custom("a block is 32 hexadecimal digits"))
    }
}
