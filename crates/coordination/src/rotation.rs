//! Which host is asked for a newer table next.
//!
//! A host that brought something is asked again. One that brought nothing is left for the next: it
//! may be cut off from the voters, or have no table itself and be asking this host.

/// Tells what came of asking a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Means that it brought a newer table.
    Newer,
    /// Means that it did not answer, or with nothing that can be used.
    NoAnswer,
    /// Means that it has nothing newer.
    Unchanged,
}

/// Chooses the host to ask.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    turn: usize,
}

impl Rotation {
    /// Returns a rotation that begins at a place.
    pub fn new(turn: usize) -> Self {
        Self { turn }
    }

    /// Returns the source to ask.
    pub fn source<T: Copy>(&self, sources: &[T]) -> Option<T> {
        let place = self.turn.checked_rem(sources.len())?;
        sources.get(place).copied()
    }

    /// Notes what came of asking that source.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Newer => {}
            Outcome::NoAnswer | Outcome::Unchanged => self.turn = self.turn.wrapping_add(1),
        }
    }
}
