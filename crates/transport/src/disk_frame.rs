//! Checksummed frames, of which files in the data folder consist.
//!
//! A frame is a magic number, a CRC-32 of length and payload, the length of the payload as a 64-bit
//! little-endian number, and the payload.

use serde::Serialize;
use serde::de::DeserializeOwned;

const HEADER_BYTES: usize = 16;
/// Start of each frame, which also lets intact frames be found after a damaged one.
const MAGIC: [u8; 4] = *b"hhF1";

/// Result of reading a frame at an offset of a file.
#[derive(Debug, Eq, PartialEq)]
pub enum ReadOutcome<T> {
    /// The frame is damaged and an intact frame follows, so that this is not an unfinished write.
    Damaged,
    /// The offset is at the end of the file.
    End,
    /// The frame is intact.
    Frame {
        /// Offset of the first byte after the frame.
        next: usize,
        /// Value in the frame.
        value: T,
    },
    /// The frame is damaged and no intact frame follows, as after an unfinished write.
    Torn,
}

/// Returns a frame with `value`, encoded with postcard.
///
/// # Errors
///
/// Returns an error when the value cannot be encoded.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_stdvec(value)?;
    let length = (payload.len() as u64).to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&checksum(&length, &payload));
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Reads the frame that starts at `offset` of `bytes`.
pub fn read<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> ReadOutcome<T> {
    if offset >= bytes.len() {
        return ReadOutcome::End;
    }
    let decoded = intact_payload(bytes, offset).and_then(|payload| {
        let value = postcard::from_bytes(payload).ok()?;
        let next = offset + HEADER_BYTES + payload.len();
        Some(ReadOutcome::Frame { next, value })
    });
    match decoded {
        Some(frame) => frame,
        None if (offset + 1..bytes.len())
            .any(|next_offset| intact_payload(bytes, next_offset).is_some()) =>
        {
            ReadOutcome::Damaged
        }
        None => ReadOutcome::Torn,
    }
}

fn checksum(length: &[u8], payload: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize().to_le_bytes()
}

fn intact_payload(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let rest = bytes.get(offset..)?;
    let (header, rest) = rest.split_at_checked(HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = &header[8..];
    let payload_bytes = u64::from_le_bytes(length.try_into().ok()?);
    let payload = rest.get(..usize::try_from(payload_bytes).ok()?)?;
    (header[4..8] == checksum(length, payload)).then_some(payload)
}
