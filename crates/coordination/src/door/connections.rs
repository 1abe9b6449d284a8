//! What a connection of a caller does, and which one yields its place when none is left.

use std::cmp::Reverse;

use state::time::Instant;

/// Bytes that a caller has to read of a blocked answer to count as reading.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time for which a connection must be idle, or its caller too slow, before it may have to yield,
/// in milliseconds.
const STALL_MS: u64 = 2_000;

/// An observation of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The last part of an answer was taken for sending.
    Answered,
    /// The caller does not read what is to be sent.
    Blocked,
    /// All that was to be sent was sent.
    Flushed,
    /// Bytes arrived.
    Received,
    /// The header of a request is complete.
    Requested,
    /// As many bytes were sent.
    Sent(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The answer was taken for sending, but may not have been sent.
    Answered,
    /// A request runs, or its answer is not complete.
    Busy,
    /// A header is expected or arrives, since this time.
    Header(Instant),
    /// Nothing arrived since the last answer was sent, at this time.
    Idle(Instant),
}

/// Since when the caller reads less than the least rate.
#[derive(Clone, Copy, Debug)]
struct Block {
    read_bytes: usize,
    since: Instant,
}

/// Reason why a connection may have to yield; those with the least claim to their place come last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Weakness {
    /// The caller hardly reads its answers.
    Blocked,
    /// The header of a request is not complete.
    Header,
    /// No request came since the last answer.
    Idle,
}

/// What a connection does.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    block: Option<Block>,
    phase: Phase,
}

impl Connection {
    /// Returns a connection that was opened at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            block: None,
            phase: Phase::Header(now),
        }
    }

    /// Takes an event into account.
    pub fn step(&mut self, now: Instant, event: Event) {
        match (event, self.phase) {
            (Event::Answered, Phase::Busy) => self.phase = Phase::Answered,
            (Event::Blocked, phase) => {
                let start = Block {
                    read_bytes: 0,
                    since: now,
                };
                self.block.get_or_insert(start);
                if matches!(phase, Phase::Idle(_)) {
                    self.phase = Phase::Answered;
                }
            }
            (Event::Flushed, phase) => {
                self.block = None;
                if phase == Phase::Answered {
                    self.phase = Phase::Idle(now);
                }
            }
            (Event::Received, Phase::Idle(_)) => self.phase = Phase::Header(now),
            (Event::Requested, _) => self.phase = Phase::Busy,
            (Event::Sent(bytes), _) => self.record_sent(bytes),
            _ => {}
        }
    }

    /// Returns why the connection may have to yield at `now`, and since when that holds.
    pub fn weakness(&self, now: Instant) -> Option<(Weakness, Instant)> {
        let weakness = match (self.block, self.phase) {
            (Some(block), _) => (Weakness::Blocked, block.since),
            (None, Phase::Header(since)) => (Weakness::Header, since),
            (None, Phase::Idle(since)) => (Weakness::Idle, since),
            (None, Phase::Answered | Phase::Busy) => return None,
        };
        (now.since(weakness.1) >= STALL_MS).then_some(weakness)
    }

    /// Ends a block once the caller has read enough.
    fn record_sent(&mut self, bytes: usize) {
        if let Some(block) = &mut self.block {
            block.read_bytes += bytes;
            if block.read_bytes >= PROGRESS_BYTES {
                self.block = None;
            }
        }
    }
}

/// Returns which of `connections` yields its place to a new one: of those with the least claim, the
/// one for which that holds longest.
pub fn yielding<K>(
    now: Instant,
    connections: impl IntoIterator<Item = (K, Connection)>,
) -> Option<K> {
    let weak = connections
        .into_iter()
        .filter_map(|(key, connection)| Some((key, connection.weakness(now)?)));
    weak.max_by_key(|(_, (weakness, since))| (*weakness, Reverse(*since)))
        .map(|(key, _)| key)
}
