//! Order in which long prompts wait at the leading host until an engine has room for them.
//!
//! In a burst there are more long prompts than engines can begin. If every host asked again and
//! again, the leading host would answer many times as many questions as there are prompts. Here
//! the urgent ones come first, and among equals the newest. With the oldest first, each prompt
//! would wait until the last moment in which it can begin in time, and all answers of a burst would
//! be late; with the newest first, as many as engines can begin in time do, and the others are
//! refused when their time has passed, as they would be in any order.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use state::time::Instant;

/// Largest number of prompts that wait; more could not begin before their callers give up.
const WAITING_LIMIT: usize = 1_024;

/// Place of a prompt in the queue; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    rank: u32,
    arrived: Reverse<Instant>,
    number: u64,
}

/// A prompt that waits.
#[derive(Debug)]
struct Waiting<T> {
    item: T,
    until: Instant,
}

/// The prompts that wait, with what is needed to answer them.
#[derive(Debug)]
pub struct AssignQueue<T> {
    last_number: u64,
    waiting: BTreeMap<Place, Waiting<T>>,
}

impl<T> Default for AssignQueue<T> {
    fn default() -> Self {
        Self {
            last_number: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> AssignQueue<T> {
    /// Adds a prompt that arrived at its host at `arrived` and waits until `until`. Rank 0 is the
    /// most urgent.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full.
    pub fn push(&mut self, rank: u32, arrived: Instant, until: Instant, item: T) -> Result<(), T> {
        if self.waiting.len() >= WAITING_LIMIT {
            return Err(item);
        }
        self.last_number += 1;
        let place = Place {
            rank,
            arrived: Reverse(arrived),
            number: self.last_number,
        };
        self.waiting.insert(place, Waiting { item, until });
        Ok(())
    }

    /// Returns whether a prompt waits that comes before one with this rank and arrival.
    pub fn is_behind(&self, rank: u32, arrived: Instant) -> bool {
        let first = self.waiting.first_key_value();
        let place = (rank, Reverse(arrived));
        first.is_some_and(|(first, _)| (first.rank, first.arrived) < place)
    }

    /// Returns whether no prompt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of prompts that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Removes and returns the prompts that have waited for as long as they may.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let expired = self
            .waiting
            .extract_if(.., |_, waiting| now >= waiting.until);
        expired.map(|(_, waiting)| waiting.item).collect()
    }

    /// Offers the prompts to `try_take` in their order, and removes and returns those that it takes
    /// with what it returned. Stops after `max_failures` in a row, since one prompt may need more
    /// room than those behind it, but a queue that is blocked must not cost a look at all of it.
    pub fn serve<R>(
        &mut self,
        max_failures: usize,
        mut try_take: impl FnMut(&T) -> Option<R>,
    ) -> Vec<(T, R)> {
        let mut failures = 0;
        let mut taken = Vec::new();
        for (place, waiting) in &self.waiting {
            if failures >= max_failures {
                break;
            }
            match try_take(&waiting.item) {
                None => failures += 1,
                Some(result) => {
                    failures = 0;
                    taken.push((*place, result));
                }
            }
        }
        let taken = taken.into_iter().filter_map(|(place, result)| {
            let waiting = self.waiting.remove(&place)?;
            Some((waiting.item, result))
        });
        taken.collect()
    }

    /// Removes and returns all prompts.
    pub fn drain(&mut self) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiting| waiting.item).collect()
    }
}
