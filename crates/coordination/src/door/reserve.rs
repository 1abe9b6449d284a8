//! How the bytes for all bodies are divided between small and large ones.

/// Part of the bytes that large bodies leave to small ones: one in as many.
const RESERVED_PART: usize = 8;
/// Part of the bytes up to which a body is small: one in as many. Several small bodies fit in the
/// reserve.
const SMALL_PART: usize = 32;

/// The part of the bytes that large bodies leave free, so that a few of them that wait for their
/// upstreams do not keep out all others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reserve {
    /// Most bytes of all large bodies together.
    pub large_bytes: usize,
    /// Longest body that is small, in bytes.
    pub small_bytes: usize,
}

impl Reserve {
    /// Returns how to divide `bytes`, so that a body of `body_limit` bytes is still taken.
    pub fn new(bytes: usize, body_limit: usize) -> Self {
        let unreserved = bytes - bytes / RESERVED_PART;
        Self {
            large_bytes: unreserved.max(body_limit).min(bytes),
            small_bytes: bytes / SMALL_PART,
        }
    }

    /// Returns that nothing of `bytes` is reserved.
    pub fn none(bytes: usize) -> Self {
        Self {
            large_bytes: bytes,
            small_bytes: bytes,
        }
    }

    /// Returns whether a body of as many bytes leaves the reserve to others.
    pub fn is_large(&self, bytes: usize) -> bool {
        bytes > self.small_bytes
    }
}
