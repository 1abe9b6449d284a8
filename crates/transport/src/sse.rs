//! Reads server-sent events out of the bytes of a response.

use std::mem;

use thiserror::Error;

/// Holds what a stream of events tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// Holds a comment, which only shows that the sender lives.
    Comment,
    /// Holds the data of one event.
    Data(String),
}

/// Tells why bytes are no stream of events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Reports an event or a line that is too long.
    #[error("an event is longer than {limit} bytes")]
    EventTooLong {
        /// Gives the bound, in bytes.
        limit: usize,
    },
    /// Reports text that is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
}

/// Collects bytes until an event is whole.
#[derive(Clone, Debug)]
pub struct Decoder {
    data: Option<Vec<u8>>,
    limit: usize,
    line: Vec<u8>,
}

impl Decoder {
    /// Returns a decoder for events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            data: None,
            limit,
            line: Vec::new(),
        }
    }

    /// Reads `bytes` and appends what is complete to `items`.
    ///
    /// # Errors
    ///
    /// Returns an error for an event that is too long or not UTF-8; the stream is lost then.
    pub fn push(&mut self, bytes: &[u8], items: &mut Vec<Item>) -> Result<(), Error> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            self.extend(&rest[..end])?;
            let line = mem::take(&mut self.line);
            self.finish(&line, items)?;
            rest = &rest[end + 1..];
        }
        self.extend(rest)
    }

    fn extend(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let held = self.data.as_ref().map_or(0, Vec::len);
        if held + self.line.len() + bytes.len() > self.limit {
            return Err(Error::EventTooLong { limit: self.limit });
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn finish(&mut self, line: &[u8], items: &mut Vec<Item>) -> Result<(), Error> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if let Some(data) = self.data.take() {
                let text = String::from_utf8(data).map_err(|_| Error::NotUtf8)?;
                items.push(Item::Data(text));
            }
            return Ok(());
        }
        if line.starts_with(b":") {
            items.push(Item::Comment);
        }
        if let Some(value) = line.strip_prefix(b"data:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            match &mut self.data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => self.data = Some(value.to_vec()),
            }
        }
        Ok(())
    }
}
