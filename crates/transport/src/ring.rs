//! Bounded rings between the threads of a process.

use std::time::Duration;

use crossbeam_channel as channel;
use thiserror::Error;

/// Tells why a ring took no message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Reports that the receiving duty has ended.
    #[error("the receiving duty has ended")]
    Closed,
    /// Reports that the ring holds as many messages as it may.
    #[error("the ring is full")]
    Full,
}

/// Tells why a ring gave no message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Empty {
    /// Reports that every sender is gone.
    #[error("every sender is gone")]
    Closed,
    /// Reports that nothing came in time.
    #[error("nothing came in time")]
    Timeout,
}

/// Puts messages into a ring.
#[derive(Debug)]
pub struct Sender<T>(channel::Sender<T>);

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Returns how many messages wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Puts `message` into the ring without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error when the ring is full or its receiver is gone; the message is dropped.
    pub fn send(&self, message: T) -> Result<(), Error> {
        self.0.try_send(message).map_err(|error| match error {
            channel::TrySendError::Disconnected(_) => Error::Closed,
            channel::TrySendError::Full(_) => Error::Full,
        })
    }
}

/// Takes messages from a ring.
#[derive(Debug)]
pub struct Receiver<T>(channel::Receiver<T>);

impl<T> Receiver<T> {
    /// Waits at most `timeout` for a message.
    ///
    /// # Errors
    ///
    /// Returns an error when nothing came in time or every sender is gone.
    pub fn receive(&self, timeout: Duration) -> Result<T, Empty> {
        self.0.recv_timeout(timeout).map_err(|error| match error {
            channel::RecvTimeoutError::Disconnected => Empty::Closed,
            channel::RecvTimeoutError::Timeout => Empty::Timeout,
        })
    }

    /// Takes a message that already waits.
    pub fn take(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}

/// Makes a ring that holds at most `capacity` messages.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = channel::bounded(capacity);
    (Sender(sender), Receiver(receiver))
}
