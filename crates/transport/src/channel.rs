//! Bounded channels between the threads of a process, whose senders never block.

use std::time::Duration;

use crossbeam_channel as channel;
use thiserror::Error;

/// Reason why a message was not sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SendError {
    /// The receiver was dropped.
    #[error("the receiving thread has ended")]
    Closed,
    /// The channel holds as many messages as its capacity allows.
    #[error("the channel is full")]
    Full,
}

/// Reason why no message was received.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ReceiveError {
    /// Every sender was dropped and no message is left.
    #[error("every sender of the channel was dropped")]
    Closed,
    /// No message arrived in time.
    #[error("no message arrived in time")]
    Timeout,
}

/// Sending half of a bounded channel.
#[derive(Debug)]
pub struct Sender<T>(channel::Sender<T>);

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Returns the number of messages that wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Sends `message` without blocking.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full or has no receiver; the message is dropped.
    pub fn send(&self, message: T) -> Result<(), SendError> {
        self.0.try_send(message).map_err(|error| match error {
            channel::TrySendError::Disconnected(_) => SendError::Closed,
            channel::TrySendError::Full(_) => SendError::Full,
        })
    }
}

/// Receiving half of a bounded channel.
#[derive(Debug)]
pub struct Receiver<T>(channel::Receiver<T>);

impl<T> Receiver<T> {
    /// Receives a message, waiting at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when no message arrived in time or every sender was dropped.
    pub fn receive(&self, timeout: Duration) -> Result<T, ReceiveError> {
        self.0.recv_timeout(timeout).map_err(|error| match error {
            channel::RecvTimeoutError::Disconnected => ReceiveError::Closed,
            channel::RecvTimeoutError::Timeout => ReceiveError::Timeout,
        })
    }

    /// Returns a message if one already waits.
    pub fn try_receive(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}

/// Creates a channel that holds at most `capacity` messages.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = channel::bounded(capacity);
    (Sender(sender), Receiver(receiver))
}
