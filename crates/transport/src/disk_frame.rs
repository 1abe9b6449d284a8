//! Checksummed frames, of which the files of the replicated log consist.

use serde::Serialize;
use serde::de::DeserializeOwned;

const HEADER: usize = 16;
const MAGIC: [u8; 4] = *b"hhF1";

/// Tells what stands at a place of a file.
#[derive(Debug, Eq, PartialEq)]
pub enum ReadOutcome<T> {
    /// Stands for damage that has intact frames after it.
    Damaged,
    /// Stands for the end of the file.
    End,
    /// Holds a value and the place after it.
    Frame {
        /// Gives the place after the frame.
        next: usize,
        /// Holds the value.
        value: T,
    },
    /// Stands for an unfinished write at the end of the file.
    Torn,
}

/// Returns the frame that holds `value`.
///
/// # Errors
///
/// Returns an error when the value does not encode.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_stdvec(value)?;
    let length = (payload.len() as u64).to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&checksum(&length, &payload));
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Reads the frame at `place`.
pub fn read<T: DeserializeOwned>(bytes: &[u8], place: usize) -> ReadOutcome<T> {
    if place >= bytes.len() {
        return ReadOutcome::End;
    }
    let decoded = intact(bytes, place).and_then(|payload| {
        let value = postcard::from_bytes(payload).ok()?;
        let next = place + HEADER + payload.len();
        Some(ReadOutcome::Frame { next, value })
    });
    match decoded {
        Some(frame) => frame,
        None if (place + 1..bytes.len()).any(|later| intact(bytes, later).is_some()) => {
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

fn intact(bytes: &[u8], place: usize) -> Option<&[u8]> {
    let rest = bytes.get(place..)?;
    let (header, rest) = rest.split_at_checked(HEADER)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = &header[8..];
    let size = u64::from_le_bytes(length.try_into().ok()?);
    let payload = rest.get(..usize::try_from(size).ok()?)?;
    (header[4..8] == checksum(length, payload)).then_some(payload)
}
