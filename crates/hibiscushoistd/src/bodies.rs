//! Bodies of requests on their way in, within a common bound on the bytes of all bodies.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::budget::Budget;
use crate::budget::Share;
use coordination::door::arrivals::Arrivals;
use coordination::door::arrivals::Id;
use coordination::door::reserve::Reserve;
use transport::clock::Clock;

/// Longest wait for the bytes of bodies that yield; their readers give them back at once.
const YIELD_LIMIT: Duration = Duration::from_millis(200);

/// Bounds the bytes of all bodies together; clones share the bound.
#[derive(Clone, Debug)]
pub struct Bodies {
    budget: Budget,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    arrivals: Arrivals,
    yielding: BTreeMap<Id, Arc<Notify>>,
}

/// A body that is arriving, until it is dropped.
#[derive(Debug)]
pub struct Arriving {
    bodies: Bodies,
    held_bytes: usize,
    id: Id,
    yields: Arc<Notify>,
}

impl Bodies {
    /// Returns a bound of `bytes`, which takes a body of `body_limit` bytes.
    pub fn new(bytes: usize, body_limit: usize, clock: Clock) -> Self {
        Self {
            budget: Budget::new(bytes, Reserve::new(bytes, body_limit)),
            clock,
            state: Arc::default(),
        }
    }

    /// Returns a share of the bytes, which holds nothing yet.
    pub fn share(&self) -> Share {
        self.budget.share()
    }

    /// Begins to count a body as arriving, whose request holds `held_bytes` already.
    pub fn arriving(&self, held_bytes: usize) -> Arriving {
        let yields = Arc::new(Notify::new());
        let now = self.clock.now();
        let mut state = self.state();
        let id = state.arrivals.begin(now);
        state.arrivals.record(now, id, 0, held_bytes);
        state.yielding.insert(id, yields.clone());
        drop(state);
        Arriving {
            bodies: self.clone(),
            held_bytes,
            id,
            yields,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Arriving {
    /// Returns what completes when this body has to yield to others.
    pub fn yields(&self) -> Arc<Notify> {
        self.yields.clone()
    }

    /// Records that `bytes` arrived.
    pub fn record(&self, bytes: usize) {
        let now = self.bodies.clock.now();
        let mut state = self.bodies.state();
        state.arrivals.record(now, self.id, bytes, self.held_bytes);
    }

    /// Takes `bytes` more, if need be of bodies that make no progress, and returns whether there
    /// were as many.
    pub async fn grow(&mut self, share: &mut Share, bytes: usize) -> bool {
        self.held_bytes += bytes;
        share.grow(bytes) || self.displace(bytes) && share.wait(bytes, YIELD_LIMIT).await
    }

    /// Tells others to yield, and returns whether that makes room for `bytes`.
    fn displace(&self, bytes: usize) -> bool {
        let now = self.bodies.clock.now();
        let mut state = self.bodies.state();
        let yielding = state.arrivals.displace(now, self.id, bytes);
        for id in &yielding {
            if let Some(yields) = state.yielding.get(id) {
                yields.notify_one();
            }
        }
        !yielding.is_empty()
    }
}

impl Drop for Arriving {
    fn drop(&mut self) {
        let mut state = self.bodies.state();
        state.arrivals.end(self.id);
        state.yielding.remove(&self.id);
    }
}
