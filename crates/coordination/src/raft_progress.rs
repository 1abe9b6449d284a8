//! What a leader knows of one other member.

use std::collections::VecDeque;

/// Tells how a leader sends to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Sends one batch and waits, because the member's log is not known yet.
    Probe {
        /// Tells whether a batch is under way.
        waiting: bool,
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
    pub acked: u64,
    /// Gives the last index that is on the member's disk.
    pub matched: u64,
    /// Tells how to send.
    pub mode: Mode,
    /// Tells whether the member confirmed anything new since the last heartbeat.
    pub moved: bool,
    /// Gives the index to send next.
    pub next: u64,
    /// Holds the last index of each batch under way.
    pub under_way: VecDeque<u64>,
}

impl Progress {
    /// Returns the progress of a member of which nothing is known.
    pub fn new(next: u64) -> Self {
        Self {
            acked: 0,
            matched: 0,
            mode: Mode::Probe { waiting: false },
            moved: false,
            next,
            under_way: VecDeque::new(),
        }
    }

    /// Takes in a confirmation up to `matched`.
    pub fn accept(&mut self, matched: u64) {
        let grew = matched > self.matched;
        self.moved |= grew;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        while self.under_way.front().is_some_and(|last| *last <= matched) {
            self.under_way.pop_front();
        }
        match self.mode {
            Mode::Probe { .. } => self.mode = Mode::Replicate,
            Mode::Replicate => {}
            Mode::Snapshot { index, .. } if grew || matched >= index => self.probe(matched + 1),
            Mode::Snapshot { .. } => {}
        }
    }

    /// Goes back to one batch at a time from `next` on.
    pub fn probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.under_way.clear();
        self.mode = Mode::Probe { waiting: false };
    }

    /// Takes in how much of a snapshot has arrived, and returns whether it was news.
    pub fn receive(&mut self, snapshot: u64, arrived: u64) -> bool {
        match &mut self.mode {
            Mode::Snapshot { index, offset } if *index == snapshot => {
                let grew = arrived > *offset;
                self.moved |= grew;
                *offset = arrived;
                grew
            }
            Mode::Probe { .. } | Mode::Replicate | Mode::Snapshot { .. } => false,
        }
    }

    /// Takes in a refusal of the batch after an entry that the member lacks.
    pub fn reject(&mut self, hint: u64) {
        if hint >= self.matched && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.probe(self.next.min(hint + 1));
        }
    }
}
