//! Finds the values of a JSON text without decoding them.

use std::ops::Range;

use serde::de::DeserializeOwned;

/// Longest entry of a list that is decoded, in bytes; sound ones have a few hundred.
pub const MAX_ENTRY_BYTES: usize = 64 << 10;
/// Number of places in a malformed list at which an entry or the end of the list is missed; it
/// bounds the time for a list whose brackets were damaged on purpose.
const MAX_PROBES: usize = 1_000;

/// Reads JSON from the front without recursion, however deep it is nested; numbers and the contents
/// of strings are not checked.
#[derive(Clone, Debug)]
pub struct Scanner<'a> {
    at: usize,
    bytes: &'a [u8],
}

impl<'a> Scanner<'a> {
    /// Returns a scanner that begins at the byte `at`.
    pub fn new(bytes: &'a [u8], at: usize) -> Self {
        Self { at, bytes }
    }

    /// Returns the position of the next byte.
    pub fn position(&self) -> usize {
        self.at
    }

    /// Returns the bytes at `place`.
    ///
    /// # Panics
    ///
    /// Panics when `place` is not within the text.
    pub fn slice(&self, place: Range<usize>) -> &'a [u8] {
        &self.bytes[place]
    }

    /// Returns the next byte that is not white space.
    pub fn peek(&mut self) -> Option<u8> {
        while self.byte().is_some_and(is_white_space) {
            self.at += 1;
        }
        self.byte()
    }

    /// Passes `byte` if it comes next, and returns whether it does.
    pub fn pass(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.at += usize::from(is_next);
        is_next
    }

    /// Passes a string, and returns its place with the quotes.
    pub fn string(&mut self) -> Option<Range<usize>> {
        let is_string = self.peek()? == b'"';
        is_string.then(|| self.value())?
    }

    /// Passes one value, and returns its place unless its brackets or strings are malformed.
    pub fn value(&mut self) -> Option<Range<usize>> {
        self.peek()?;
        let start = self.at;
        let mut open = Vec::new();
        let mut complete = false;
        while !complete || !open.is_empty() {
            match self.peek()? {
                b'"' if !complete => {
                    self.pass_string()?;
                    complete = true;
                }
                byte @ (b'[' | b'{') if !complete => {
                    open.push(byte);
                    self.at += 1;
                }
                b']' => complete = self.close(&mut open, b'[')?,
                b'}' => complete = self.close(&mut open, b'{')?,
                b',' | b':' if complete => {
                    complete = false;
                    self.at += 1;
                }
                _ if !complete => {
                    self.pass_literal()?;
                    complete = true;
                }
                _ => return None,
            }
        }
        Some(start..self.at)
    }

    /// Passes fields of an object up to the list named `list` (in quotes) or to the end of the
    /// text, and calls `add` with the name and the value of each other field; returns the position
    /// of the first entry if the list was reached, or none if the fields are malformed.
    pub fn fields(
        &mut self,
        list: &[u8],
        mut add: impl FnMut(&'a [u8], &'a [u8]),
    ) -> Option<Option<usize>> {
        while !self.pass(b'}') {
            let name = self.string()?;
            let name = self.slice(name);
            self.pass(b':').then_some(())?;
            if name == list {
                return self.pass(b'[').then_some(Some(self.at));
            }
            let value = self.value()?;
            add(name, self.slice(value));
            if !self.pass(b',') && self.peek() != Some(b'}') {
                return None;
            }
        }
        self.peek().is_none().then_some(None)
    }

    /// Passes the fields behind the list named `list` up to the end of the text, as
    /// [`Self::fields`] does; returns none if they are malformed.
    pub fn tail(&mut self, list: &[u8], add: impl FnMut(&'a [u8], &'a [u8])) -> Option<()> {
        let is_last = self.peek() == Some(b'}');
        if !is_last && !self.pass(b',') {
            return None;
        }
        self.fields(list, add)?.is_none().then_some(())
    }

    /// Passes the rest of a list from its first entry on, and calls `add` with the bytes of each
    /// entry; returns none if the brackets or strings of the list are malformed.
    pub fn entries(&mut self, mut add: impl FnMut(&'a [u8])) -> Option<()> {
        let mut ended = self.pass(b']');
        while !ended {
            let entry = self.value()?;
            add(self.slice(entry));
            ended = self.pass(b']');
            if !ended && !self.pass(b',') {
                return None;
            }
        }
        Some(())
    }

    fn byte(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    /// Passes a closing bracket, which must match the last one in `open`.
    fn close(&mut self, open: &mut Vec<u8>, opening: u8) -> Option<bool> {
        self.at += 1;
        (open.pop()? == opening).then_some(true)
    }

    fn pass_string(&mut self) -> Option<()> {
        self.at += 1;
        loop {
            match self.byte()? {
                b'"' => break,
                b'\\' => self.at += 2,
                0..b' ' => return None,
                _ => self.at += 1,
            }
        }
        self.at += 1;
        Some(())
    }

    fn pass_literal(&mut self) -> Option<()> {
        let start = self.at;
        let is_literal = |byte: u8| {
            !is_white_space(byte) && !matches!(byte, b'"' | b',' | b':' | b'[' | b']' | b'{' | b'}')
        };
        while self.byte().is_some_and(is_literal) {
            self.at += 1;
        }
        (self.at > start).then_some(())
    }
}

/// Calls `add` with the bytes of each entry that can be recognized as a `T` in the list that begins
/// at `start`, where its brackets or strings are malformed. The list ends at the first bracket
/// behind which `end` returns something, which is returned; returns none if there is no such one.
pub fn recover<'a, T: DeserializeOwned, E>(
    bytes: &'a [u8],
    start: usize,
    mut add: impl FnMut(&'a [u8]),
    end: impl Fn(Scanner<'a>) -> Option<E>,
) -> Option<E> {
    let mut at = start;
    let mut probes = 0;
    let mut may_begin = true;
    while probes < MAX_PROBES {
        let byte = *bytes.get(at)?;
        if byte == b'{' && may_begin {
            if let Some(length) = entry_length::<T>(&bytes[at..]) {
                add(&bytes[at..at + length]);
                at += length;
                may_begin = false;
                continue;
            }
            probes += 1;
        }
        at += 1;
        if byte == b']' {
            probes += 1;
            if let Some(end) = end(Scanner::new(bytes, at)) {
                return Some(end);
            }
        }
        may_begin = byte == b',' || may_begin && is_white_space(byte);
    }
    None
}

/// Returns the length of the entry at the front of `bytes`, if there is one.
fn entry_length<T: DeserializeOwned>(bytes: &[u8]) -> Option<usize> {
    let bytes = &bytes[..bytes.len().min(MAX_ENTRY_BYTES)];
    let mut entries = serde_json::Deserializer::from_slice(bytes).into_iter::<T>();
    entries.next()?.ok()?;
    Some(entries.byte_offset())
}

/// Returns whether JSON allows the byte between its values.
fn is_white_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}
