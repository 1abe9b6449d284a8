//! The timing and the bounds of the replicated log.

/// Holds the timing and the bounds of the replicated log.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) max_uncommitted_entries: u64,
    pub(crate) max_batch_bytes: usize,
    pub(crate) election_timeout_ms: u64,
    pub(crate) election_jitter_ms: u64,
    pub(crate) heartbeat_interval_ms: u64,
    pub(crate) max_chunk_bytes: usize,
    pub(crate) window: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_uncommitted_entries: 16_384,
            max_batch_bytes: 256 * 1024,
            election_timeout_ms: 700,
            election_jitter_ms: 500,
            heartbeat_interval_ms: 150,
            max_chunk_bytes: 256 * 1024,
            window: 16,
        }
    }
}

impl Settings {
    /// Sets how many entries may wait for commitment before proposals are refused.
    #[must_use]
    pub fn max_uncommitted_entries(self, max_uncommitted_entries: u64) -> Self {
        Self {
            max_uncommitted_entries,
            ..self
        }
    }

    /// Sets the most bytes of entries in one message.
    #[must_use]
    pub fn max_batch_bytes(self, max_batch_bytes: usize) -> Self {
        Self {
            max_batch_bytes,
            ..self
        }
    }

    /// Sets the shortest election timeout and how much longer a random one may be, in
    /// milliseconds.
    #[must_use]
    pub fn election_timeout_ms(self, election_timeout_ms: u64, election_jitter_ms: u64) -> Self {
        Self {
            election_timeout_ms,
            election_jitter_ms,
            ..self
        }
    }

    /// Sets the time between heartbeats, in milliseconds.
    #[must_use]
    pub fn heartbeat_interval_ms(self, heartbeat_interval_ms: u64) -> Self {
        Self {
            heartbeat_interval_ms,
            ..self
        }
    }

    /// Sets the most bytes of one piece of a snapshot.
    #[must_use]
    pub fn max_chunk_bytes(self, max_chunk_bytes: usize) -> Self {
        Self {
            max_chunk_bytes,
            ..self
        }
    }

    /// Sets how many batches may be under way to one member.
    #[must_use]
    pub fn window(self, window: usize) -> Self {
        Self { window, ..self }
    }
}
