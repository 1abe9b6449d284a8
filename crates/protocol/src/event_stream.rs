//! Splits an event stream into whole events, so that it can be resumed from another source.

use bytes::Bytes;
use bytes::BytesMut;

/// Separator that ends an event.
const END: &[u8] = b"\n\n";

/// Passes on only whole events, and each event only once.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Returns a splitter for a stream that is resumed after the event with the id `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Appends bytes of the stream and returns the events that they complete, without those that
    /// were passed on before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = find_end(&self.buffer) {
            let event = self.buffer.split_to(end + END.len());
            let id = id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            complete.extend_from_slice(&event);
        }
        complete.freeze()
    }

    /// Drops the incomplete event at the end of the buffer, because its source was lost.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Returns the bytes after the last whole event, for a stream that ended normally.
    pub fn finish(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the position of the first separator.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|window| window == END)
}

/// Returns the id of an event, if it has one that is a number.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
