//! Selects the host that is asked for a newer table next.
//!
//! A host that sent a newer table is asked again. After one that did not, the next host is asked:
//! the former may be partitioned from the voters, or have no table itself and be asking this host.

/// Outcome of asking a host for a newer table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The host sent a newer table.
    Newer,
    /// The host sent no usable answer.
    NoAnswer,
    /// The host has no newer table.
    Unchanged,
}

/// Round robin over hosts that stays at a host as long as it sends newer tables.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    next: usize,
}

impl Rotation {
    /// Returns a rotation that begins at an index.
    pub fn new(next: usize) -> Self {
        Self { next }
    }

    /// Returns the host to ask, or nothing if `sources` is empty.
    pub fn source<T: Copy>(&self, sources: &[T]) -> Option<T> {
        let index = self.next.checked_rem(sources.len())?;
        sources.get(index).copied()
    }

    /// Records the outcome of asking that host.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Newer => {}
            Outcome::NoAnswer | Outcome::Unchanged => self.next = self.next.wrapping_add(1),
        }
    }
}
