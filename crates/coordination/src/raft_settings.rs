//! Timeouts and limits of a Raft group.

/// Timeouts and limits of a Raft group.
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
    /// Sets the number of uncommitted entries from which on proposals are refused.
    #[must_use]
    pub fn max_uncommitted_entries(self, max_uncommitted_entries: u64) -> Self {
        Self {
            max_uncommitted_entries,
            ..self
        }
    }

    /// Sets the maximum size of the entries in one message, in bytes.
    #[must_use]
    pub fn max_batch_bytes(self, max_batch_bytes: usize) -> Self {
        Self {
            max_batch_bytes,
            ..self
        }
    }

    /// Sets the election timeout and the maximum random time that is added to it, in milliseconds.
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

    /// Sets the maximum size of one chunk of a snapshot, in bytes.
    #[must_use]
    pub fn max_chunk_bytes(self, max_chunk_bytes: usize) -> Self {
        Self {
            max_chunk_bytes,
            ..self
        }
    }

    /// Sets the maximum number of batches in flight to one member.
    #[must_use]
    pub fn window(self, window: usize) -> Self {
        Self { window, ..self }
    }
}
