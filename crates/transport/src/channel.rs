//! Bounded channels between the threads of a process.

use std::time::Duration;

use crossbeam_channel as channel;
use thiserror::Error;

/// Tells why a channel took no message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SendError {
    /// Reports that the receiving duty has ended.
    #[error("the receiving duty has ended")]
    Closed,
    /// Reports that the channel holds as many messages as it may.
    #[error("the channel is full")]
    Full,
}

/// Tells why a channel gave no message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ReceiveError {
    /// Reports that every sender is gone.
    #[error("every sender is gone")]
    Closed,
    /// Reports that nothing came in time.
    #[error("nothing came in time")]
    Timeout,
}

/// Puts messages into a channel.
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

    /// Puts `message` into the channel without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full or its receiver is gone; the message is dropped.
    pub fn send(&self, message: T) -> Result<(), SendError> {
        self.0.try_send(message).map_err(|error| match error {
            channel::TrySendError::Disconnected(_) => SendError::Closed,
            channel::TrySendError::Full(_) => SendError::Full,
        })
    }
}

/// Takes messages from a channel.
#[derive(Debug)]
pub struct Receiver<T>(channel::Receiver<T>);

impl<T> Receiver<T> {
    /// Waits at most `timeout` for a message.
    ///
    /// # Errors
    ///
    /// Returns an error when nothing came in time or every sender is gone.
    pub fn receive(&self, timeout: Duration) -> Result<T, ReceiveError> {
        self.0.recv_timeout(timeout).map_err(|error| match error {
            channel::RecvTimeoutError::Disconnected => ReceiveError::Closed,
            channel::RecvTimeoutError::Timeout => ReceiveError::Timeout,
        })
    }

    /// Takes a message that already waits.
    pub fn try_receive(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}

/// Makes a channel that holds at most `capacity` messages.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = channel::bounded(capacity);
    (Sender(sender), Receiver(receiver))
}
