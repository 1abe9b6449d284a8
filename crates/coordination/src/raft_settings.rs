//! The timing and the bounds of the replicated log.

/// Holds the timing and the bounds of the replicated log.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) backlog: u64,
    pub(crate) batch_bytes: usize,
    pub(crate) election: u64,
    pub(crate) election_spread: u64,
    pub(crate) heartbeat: u64,
    pub(crate) piece_bytes: usize,
    pub(crate) window: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            backlog: 16_384,
            batch_bytes: 256 * 1024,
            election: 700,
            election_spread: 500,
            heartbeat: 150,
            piece_bytes: 256 * 1024,
            window: 16,
        }
    }
}

impl Settings {
    /// Sets how many entries may wait for commitment before proposals are refused.
    #[must_use]
    pub fn backlog(self, backlog: u64) -> Self {
        Self { backlog, ..self }
    }

    /// Sets the most bytes of entries in one message.
    #[must_use]
    pub fn batch_bytes(self, batch_bytes: usize) -> Self {
        Self {
            batch_bytes,
            ..self
        }
    }

    /// Sets the shortest election timeout and how much longer a random one may be, in
    /// milliseconds.
    #[must_use]
    pub fn election(self, election: u64, election_spread: u64) -> Self {
        Self {
            election,
            election_spread,
            ..self
        }
    }

    /// Sets the time between heartbeats, in milliseconds.
    #[must_use]
    pub fn heartbeat(self, heartbeat: u64) -> Self {
        Self { heartbeat, ..self }
    }

    /// Sets the most bytes of one piece of a snapshot.
    #[must_use]
    pub fn piece_bytes(self, piece_bytes: usize) -> Self {
        Self {
            piece_bytes,
            ..self
        }
    }

    /// Sets how many batches may be under way to one member.
    #[must_use]
    pub fn window(self, window: usize) -> Self {
        Self { window, ..self }
    }
}
