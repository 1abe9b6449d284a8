//! An incremental decoder of server-sent events.

use std::mem;

use thiserror::Error;

/// One item of an event stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// A comment, which only shows that the sender is alive.
    Comment,
    /// The data of one event, its lines joined by line feeds.
    Data(String),
}

/// The reason why bytes are not a valid event stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// An event or a line exceeds the limit.
    #[error("event exceeds {limit} bytes")]
    EventTooLong {
        /// Size limit, in bytes.
        limit: usize,
    },
    /// The data of event data is not UTF-8.
    #[error("event data is not UTF-8")]
    NotUtf8,
}

/// A decoder that buffers bytes until an event is complete.
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

    /// Decodes `bytes` and appends each complete item to `items`.
    ///
    /// # Errors
    ///
    /// Returns an error for an event that is too long or not UTF-8. The decoder
    /// cannot continue after an error.
    pub fn push(&mut self, bytes: &[u8], items: &mut Vec<Item>) -> Result<(), Error> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            self.extend_line(&rest[..end])?;
            let line = mem::take(&mut self.line);
            self.finish_line(&line, items)?;
            rest = &rest[end + 1..];
        }
        self.extend_line(rest)
    }

    fn extend_line(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let buffered = self.data.as_ref().map_or(0, Vec::len);
        if buffered + self.line.len() + bytes.len() > self.limit {
            return Err(Error::EventTooLong { limit: self.limit });
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn finish_line(&mut self, line: &[u8], items: &mut Vec<Item>) -> Result<(), Error> {
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
