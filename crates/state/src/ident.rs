//! Identifiers that several layers share.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Identifies one run of an upstream's process; each restart gets a greater number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

/// Identifies a cached block of a prompt by a hash of all that its content depends on.
///
/// The hash chains over workspace, model, weights version, parent block and the block's own text,
/// so equal hashes mean equal prefixes and no workspace can name a block of another.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct BlockHash(pub u128);

impl BlockHash {
    const CONTEXT: &'static str = "hibiscushoist 2026-12 cached block";
    const VERSION_CONTEXT: &'static str = "hibiscushoist 2026-12 weights version";

    /// Returns the parent of the first blocks of one workspace, model and weights version.
    pub fn root(workspace: &str, model: &str, version: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(Self::CONTEXT);
        for part in [workspace, model, version] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self::truncate(&hasher.finalize())
    }

    /// Returns the hash of the block that follows this one and holds `content`.
    pub fn child(self, content: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(Self::CONTEXT);
        hasher.update(&self.0.to_le_bytes());
        hasher.update(content);
        Self::truncate(&hasher.finalize())
    }

    /// Returns the hash under which an upstream that serves weights `version` holds this block.
    ///
    /// Cache directories use hashes without a version, so that during a roll-out the blocks of
    /// upstreams with the older weights are still found; upstreams and stores only ever see hashes
    /// with a version. Applied again with the same version, it returns the hash without a version.
    pub fn with_version(self, version: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(Self::VERSION_CONTEXT);
        hasher.update(version.as_bytes());
        Self(self.0 ^ Self::truncate(&hasher.finalize()).0)
    }

    /// Returns the hashes of the blocks of `prompt`, each of `size` bytes; a shorter rest at the
    /// end is not a block.
    ///
    /// # Panics
    ///
    /// Panics when `size` is zero.
    pub fn chain(self, prompt: &[u8], size: usize) -> Vec<Self> {
        let mut parent = self;
        prompt
            .chunks_exact(size)
            .map(|content| {
                parent = parent.child(content);
                parent
            })
            .collect()
    }

    fn truncate(hash: &blake3::Hash) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }
}

/// Hash of the content of a request.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the digest of `parts`; their lengths are hashed too, so that moving a boundary
    /// changes the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the first bytes as a number, for maps in which a rare collision does no harm.
    pub fn short(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..8] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
