//! Bodies that are still arriving, and which of them yield when the bytes for all bodies are taken.

use std::collections::BTreeMap;

use state::time::Instant;

/// Bytes by which a body has to grow to count as making progress.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time without progress after which a body may have to yield, in milliseconds; also the time that
/// a new body has for its first bytes.
const STALL_MS: u64 = 1_000;

/// Names a body while it arrives.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Id(u64);

#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Bytes that arrived since the last progress.
    fresh_bytes: usize,
    held_bytes: usize,
    progressed_at: Instant,
}

/// Bodies that are still arriving.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    arrivals: BTreeMap<Id, Arrival>,
    next: u64,
}

impl Arrivals {
    /// Adds a body that begins to arrive.
    pub fn begin(&mut self, now: Instant) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let arrival = Arrival {
            fresh_bytes: 0,
            held_bytes: 0,
            progressed_at: now,
        };
        self.arrivals.insert(id, arrival);
        id
    }

    /// Records that `bytes` of a body arrived, which takes `held_bytes` of memory now.
    pub fn record(&mut self, now: Instant, id: Id, bytes: usize, held_bytes: usize) {
        let Some(arrival) = self.arrivals.get_mut(&id) else {
            return;
        };
        arrival.held_bytes = held_bytes;
        arrival.fresh_bytes += bytes;
        if arrival.fresh_bytes >= PROGRESS_BYTES {
            arrival.fresh_bytes = 0;
            arrival.progressed_at = now;
        }
    }

    /// Removes a body that is whole or given up.
    pub fn end(&mut self, id: Id) {
        self.arrivals.remove(&id);
    }

    /// Removes and returns the bodies that yield to body `id`, which needs `bytes` more: those
    /// without progress for longest. Returns none if that would not be enough.
    pub fn displace(&mut self, now: Instant, id: Id, bytes: usize) -> Vec<Id> {
        let is_stalled = |arrival: &Arrival| {
            arrival.held_bytes > 0 && now.since(arrival.progressed_at) >= STALL_MS
        };
        let others = self.arrivals.iter().filter(|(other, _)| **other != id);
        let mut stalled: Vec<_> = others.filter(|(_, a)| is_stalled(a)).collect();
        stalled.sort_by_key(|(_, arrival)| arrival.progressed_at);
        let mut freed = 0;
        let mut yielding = Vec::new();
        for (id, arrival) in stalled {
            if freed >= bytes {
                break;
            }
            freed += arrival.held_bytes;
            yielding.push(*id);
        }
        if freed < bytes {
            return Vec::new();
        }
        for id in &yielding {
            self.arrivals.remove(id);
        }
        yielding
    }
}
