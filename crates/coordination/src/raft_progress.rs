//! Replication progress of one member, as tracked by the leader.

use std::collections::VecDeque;

use state::time::Instant;

/// How the leader sends entries to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// One batch at a time, because it is not known yet where the logs match.
    Probe {
        /// Whether a batch is in flight.
        in_flight: bool,
    },
    /// Pipelined batches, up to the window.
    Replicate,
    /// A snapshot, one chunk at a time.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Number of bytes that have arrived.
        offset: u64,
    },
}

/// Replication progress of one other member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Newest heartbeat round that the member has answered.
    pub acked_round: u64,
    /// Time of the member's last answer, or the time from which its silence counts.
    pub answered_at: Instant,
    /// Last index up to which the member's log on disk matches the leader's.
    pub matched: u64,
    /// How entries are sent at present.
    pub mode: Mode,
    /// Whether the member has confirmed anything new since the last heartbeat.
    pub advanced: bool,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Last index of each batch in flight.
    pub in_flight: VecDeque<u64>,
}

impl Progress {
    /// Returns the progress of a member whose log is not known yet, and whose silence counts from
    /// `since` on.
    pub fn new(next_index: u64, since: Instant) -> Self {
        Self {
            acked_round: 0,
            answered_at: since,
            matched: 0,
            mode: Mode::Probe { in_flight: false },
            advanced: false,
            next_index,
            in_flight: VecDeque::new(),
        }
    }

    /// Records that the member's log matches up to `matched`.
    pub fn record_accepted(&mut self, matched: u64) {
        let advanced = matched > self.matched;
        self.advanced |= advanced;
        self.matched = self.matched.max(matched);
        self.next_index = self.next_index.max(self.matched + 1);
        while self.in_flight.front().is_some_and(|last| *last <= matched) {
            self.in_flight.pop_front();
        }
        match self.mode {
            Mode::Probe { .. } => self.mode = Mode::Replicate,
            Mode::Replicate => {}
            Mode::Snapshot { index, .. } if advanced || matched >= index => self.probe(matched + 1),
            Mode::Snapshot { .. } => {}
        }
    }

    /// Goes back to one batch at a time, from `next_index` on.
    pub fn probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.matched + 1);
        self.in_flight.clear();
        self.mode = Mode::Probe { in_flight: false };
    }

    /// Records how much of a snapshot has arrived, and returns whether that is more than before.
    pub fn record_received(&mut self, snapshot: u64, arrived: u64) -> bool {
        match &mut self.mode {
            Mode::Snapshot { index, offset } if *index == snapshot => {
                let advanced = arrived > *offset;
                self.advanced |= advanced;
                *offset = arrived;
                advanced
            }
            Mode::Probe { .. } | Mode::Replicate | Mode::Snapshot { .. } => false,
        }
    }

    /// Records that the member rejected a batch, and resumes after `hint`.
    pub fn record_rejected(&mut self, hint: u64) {
        if hint >= self.matched && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.probe(self.next_index.min(hint + 1));
        }
    }
}
