//! A common bound on the bytes of request bodies that a daemon holds at once.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Hands out bytes until all are taken.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Semaphore>);

/// Holds bytes of a budget and gives them back when dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    held: Option<OwnedSemaphorePermit>,
}

impl Budget {
    /// Returns a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes)))
    }

    /// Returns a share that holds nothing yet.
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            held: None,
        }
    }
}

impl Share {
    /// Returns how many bytes it holds.
    pub fn held_bytes(&self) -> usize {
        self.held.as_ref().map_or(0, |held| held.num_permits())
    }

    /// Takes `bytes` more and returns whether there were as many.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Ok(count) = u32::try_from(bytes) else {
            return false;
        };
        let semaphore = Arc::clone(&self.budget.0);
        let Ok(permit) = semaphore.try_acquire_many_owned(count) else {
            return false;
        };
        self.hold(permit);
        true
    }

    /// Takes `bytes` more once there are as many, and returns whether that happened in time.
    pub async fn wait(&mut self, bytes: usize, limit: Duration) -> bool {
        let Ok(count) = u32::try_from(bytes) else {
            return false;
        };
        let freed = Arc::clone(&self.budget.0).acquire_many_owned(count);
        let Ok(Ok(permit)) = timeout(limit, freed).await else {
            return false;
        };
        self.hold(permit);
        true
    }

    fn hold(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.held {
            None => self.held = Some(permit),
            Some(held) => held.merge(permit),
        }
    }
}
