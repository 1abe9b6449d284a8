//! Splits a stream of events into whole ones, so that it can go on from another source.

use bytes::Bytes;
use bytes::BytesMut;

/// Ends an event.
const END: &[u8] = b"\n\n";

/// Passes on whole events that were not passed on before.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Returns a splitter for a stream that goes on after the event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            held: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes of the stream and returns the events that they complete; an event that was
    /// passed on before is left out.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = find(&self.held) {
            let event = self.held.split_to(end + END.len());
            let id = id(&event);
            if id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            whole.extend_from_slice(&event);
        }
        whole.freeze()
    }

    /// Forgets the part of an event that has arrived, since its source is gone.
    pub fn restart(&mut self) {
        self.held.clear();
    }

    /// Returns what follows the last whole event, once the stream has ended as it should.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Returns the identifier of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}

fn find(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|window| window == END)
}

/// Returns the identifier of an event, where it has one that counts.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
