//! Slots for running requests, with a priority queue of those that wait.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::oneshot;

use crate::server::lock;

/// Running requests and the queue of waiting ones.
#[derive(Debug, Default)]
struct Inner {
    arrivals: u64,
    running: usize,
    waiting: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    arrival: u64,
    priority: u8,
    permit_sender: oneshot::Sender<Permit>,
}

/// A semaphore that hands out permits by priority: the lowest number first, and in order of
/// arrival within a priority.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    inner: Arc<Mutex<Inner>>,
    limit: usize,
}

/// A slot in use, passed to the next waiting request when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    slots: Slots,
}

impl Slots {
    /// Returns slots for `limit` concurrent requests.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            inner: Arc::default(),
            limit,
        }
    }

    /// Waits for a slot and returns the permit to use it.
    pub(crate) async fn acquire(&self, priority: u8) -> Permit {
        loop {
            let permit_receiver = {
                let mut inner = lock(&self.inner);
                if inner.running < self.limit {
                    inner.running += 1;
                    return self.permit();
                }
                let (permit_sender, permit_receiver) = oneshot::channel();
                inner.arrivals += 1;
                let arrival = inner.arrivals;
                inner.waiting.push(Waiter {
                    arrival,
                    priority,
                    permit_sender,
                });
                permit_receiver
            };
            if let Ok(permit) = permit_receiver.await {
                return permit;
            }
        }
    }

    /// Returns how many requests have a slot.
    pub(crate) fn running(&self) -> usize {
        lock(&self.inner).running
    }

    /// Returns how many requests wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        let inner = lock(&self.inner);
        inner
            .waiting
            .iter()
            .filter(|w| !w.permit_sender.is_closed())
            .count()
    }

    fn permit(&self) -> Permit {
        let slots = self.clone();
        Permit { slots }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let next = {
            let mut inner = lock(&self.slots.inner);
            inner.running -= 1;
            inner.waiting.retain(|w| !w.permit_sender.is_closed());
            let first = inner.waiting.iter().enumerate();
            let first = first.min_by_key(|(_, w)| (w.priority, w.arrival));
            let first = first.map(|(index, _)| index);
            let next = first.map(|index| inner.waiting.remove(index));
            inner.running += usize::from(next.is_some());
            next
        };
        if let Some(waiter) = next {
            let _ = waiter.permit_sender.send(self.slots.permit());
        }
    }
}
