//! A common bound on the bytes of requests that a daemon holds at once.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use coordination::door::reserve::Reserve;

/// Hands out bytes until all are taken.
#[derive(Clone, Debug)]
pub struct Budget {
    all: Arc<Semaphore>,
    /// Bytes of large bodies, which count among all as well.
    large: Arc<Semaphore>,
    reserve: Reserve,
}

/// Holds bytes of a budget and gives them back when dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    expected_bytes: usize,
    held: Option<OwnedSemaphorePermit>,
    held_as_large: Option<OwnedSemaphorePermit>,
}

impl Budget {
    /// Returns a budget of `bytes`, part of which large bodies leave to small ones.
    pub fn new(bytes: usize, reserve: Reserve) -> Self {
        Self {
            all: Arc::new(Semaphore::new(bytes)),
            large: Arc::new(Semaphore::new(reserve.large_bytes)),
            reserve,
        }
    }

    /// Returns a share that holds nothing yet.
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            expected_bytes: 0,
            held: None,
            held_as_large: None,
        }
    }
}

impl Share {
    /// Returns how many bytes it holds.
    pub fn held_bytes(&self) -> usize {
        permits(&self.held)
    }

    /// Says that it will hold `bytes` if there are as many.
    pub fn expect(&mut self, bytes: usize) {
        self.expected_bytes = bytes;
    }

    /// Takes `bytes` more and returns whether there were as many.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some((count, large)) = self.counts(bytes) else {
            return false;
        };
        let Ok(as_large) = self.budget.large.clone().try_acquire_many_owned(large) else {
            return false;
        };
        let Ok(permit) = self.budget.all.clone().try_acquire_many_owned(count) else {
            return false;
        };
        hold(&mut self.held, permit);
        hold(&mut self.held_as_large, as_large);
        true
    }

    /// Takes `bytes` more once there are as many, and returns whether that happened in time.
    pub async fn wait(&mut self, bytes: usize, limit: Duration) -> bool {
        let Some((count, large)) = self.counts(bytes) else {
            return false;
        };
        let budget = self.budget.clone();
        let freed = async {
            let as_large = budget.large.acquire_many_owned(large).await;
            (budget.all.acquire_many_owned(count).await, as_large)
        };
        let Ok((Ok(permit), Ok(as_large))) = timeout(limit, freed).await else {
            return false;
        };
        hold(&mut self.held, permit);
        hold(&mut self.held_as_large, as_large);
        true
    }

    /// Returns how many permits `bytes` more take of all bytes, and of those for large bodies.
    fn counts(&self, bytes: usize) -> Option<(u32, u32)> {
        let total = self.held_bytes() + bytes;
        let large = match self.budget.reserve.is_large(total.max(self.expected_bytes)) {
            false => 0,
            true => total - permits(&self.held_as_large),
        };
        Some((u32::try_from(bytes).ok()?, u32::try_from(large).ok()?))
    }
}

fn hold(held: &mut Option<OwnedSemaphorePermit>, permit: OwnedSemaphorePermit) {
    match held {
        None => *held = Some(permit),
        Some(held) => held.merge(permit),
    }
}

fn permits(held: &Option<OwnedSemaphorePermit>) -> usize {
    held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
}
