//! Splits an event stream into whole events, so that it can be resumed from another source.

use bytes::Bytes;
use bytes::BytesMut;

/// Size limit of an event, in bytes; an event holds a few tokens, in a few hundred bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Position of a reader in an event stream, whose lines end with a line feed, with or without a
/// carriage return before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    event_bytes: usize,
    inside_event: bool,
    inside_line: bool,
}

impl Position {
    /// Moves past `byte`, and returns whether it ends an event or an empty line between events.
    pub fn advance(&mut self, byte: u8) -> bool {
        self.event_bytes += 1;
        match byte {
            b'\n' if self.inside_line => self.inside_line = false,
            b'\n' => {
                *self = Self::default();
                return true;
            }
            b'\r' => {}
            _ => {
                self.inside_event = true;
                self.inside_line = true;
            }
        }
        false
    }

    /// Returns whether the event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_event_too_long(&self) -> bool {
        self.event_bytes > MAX_EVENT_BYTES
    }

    /// Returns whether the stream, if it ended here, would end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.inside_event
    }
}

/// Passes on only whole events, and each event only once.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<u64>,
    position: Position,
}

impl Splitter {
    /// Returns a splitter for a stream that is resumed after the event with the id `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
            position: Position::default(),
        }
    }

    /// Appends bytes of the stream and returns the events that they complete, without those that
    /// were passed on before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let mut complete = BytesMut::new();
        for byte in bytes {
            self.buffer.extend_from_slice(&[*byte]);
            if !self.position.advance(*byte) {
                continue;
            }
            let event = self.buffer.split();
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
        self.position = Position::default();
    }

    /// Returns whether the event at the end of the buffer exceeds [`MAX_EVENT_BYTES`].
    pub fn is_event_too_long(&self) -> bool {
        self.position.is_event_too_long()
    }

    /// Returns whether the stream, if it ended here, would end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.position.is_inside_event()
    }

    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the id of an event, if it has one that is a number.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
