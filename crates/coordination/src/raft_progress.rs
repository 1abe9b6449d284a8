//! What a leader knows of one other member.

use std::collections::VecDeque;

/// Tells how a leader sends to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Sends one batch and waits, because the member's log is not known yet.
    Probe {
        /// Tells whether a batch is under way.
        in_flight: bool,
    },
    /// Sends batches without waiting, up to the window.
    Replicate,
    /// Sends a snapshot in pieces.
    Snapshot {
        /// Gives the index of the snapshot.
        index: u64,
        /// Gives how many bytes have arrived.
        offset: u64,
    },
}

/// Tracks one other member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Gives the newest round that the member answered.
    pub acked_round: u64,
    /// Gives the last index that is on the member's disk.
    pub matched: u64,
    /// Tells how to send.
    pub mode: Mode,
    /// Tells whether the member confirmed anything new since the last heartbeat.
    pub advanced: bool,
    /// Gives the index to send next.
    pub next_index: u64,
    /// Holds the last index of each batch under way.
    pub in_flight: VecDeque<u64>,
}

impl Progress {
    /// Returns the progress of a member of which nothing is known.
    pub fn new(next_index: u64) -> Self {
        Self {
            acked_round: 0,
            matched: 0,
            mode: Mode::Probe { in_flight: false },
            advanced: false,
            next_index,
            in_flight: VecDeque::new(),
        }
    }

    /// Takes in a confirmation up to `matched`.
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

    /// Goes back to one batch at a time from `next` on.
    pub fn probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.matched + 1);
        self.in_flight.clear();
        self.mode = Mode::Probe { in_flight: false };
    }

    /// Takes in how much of a snapshot has arrived, and returns whether it was news.
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

    /// Takes in a refusal of the batch after an entry that the member lacks.
    pub fn record_rejected(&mut self, hint: u64) {
        if hint >= self.matched && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.probe(self.next_index.min(hint + 1));
        }
    }
}
