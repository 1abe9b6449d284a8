//! What only a leader knows: how far each member is, what waits, and until when it leads.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::lease;
use crate::quorum::Config;
use crate::quorum::MemberId;
use crate::raft_message::Token;
use crate::raft_progress::Progress;
use crate::raft_settings::Settings;
use state::time::Instant;

/// Names a read that waits to be answered.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) index: u64,
    pub(crate) round: u64,
    pub(crate) token: Token,
}

/// Holds what only a leader knows.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) base: u64,
    pub(crate) checked: Instant,
    pub(crate) durable: u64,
    pub(crate) first: u64,
    pub(crate) heartbeat_due: Instant,
    pub(crate) leased: Option<Instant>,
    pub(crate) members: BTreeMap<MemberId, Progress>,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) round: u64,
    pub(crate) since: Instant,
    pub(crate) started: VecDeque<(u64, Instant)>,
}

impl LeaderState {
    /// Returns a leader that starts at `now`, when the log's time is `base`.
    pub(crate) fn new(now: Instant, base: u64, durable: u64) -> Self {
        Self {
            base,
            checked: now,
            durable,
            first: durable + 1,
            heartbeat_due: now,
            leased: None,
            members: BTreeMap::new(),
            reads: VecDeque::new(),
            round: 0,
            since: now,
            started: VecDeque::new(),
        }
    }

    /// Returns until when no other member can lead.
    pub(crate) fn lease(&self, settings: &Settings) -> Instant {
        let span = lease::shorten_for_clock_drift(settings.election_timeout_ms);
        self.leased.map_or(Instant(0), |start| start + span)
    }

    /// Follows the members of `config`; new ones are sent entries from `next` on.
    pub(crate) fn track(&mut self, config: &Config, own: MemberId, next_index: u64) {
        self.members.retain(|id, _| config.members.contains_key(id));
        for id in config.members.keys().filter(|id| **id != own) {
            let new = || Progress::new(next_index);
            self.members.entry(*id).or_insert_with(new);
        }
    }

    /// Returns the index up to which each other member's log is known to match.
    pub(crate) fn all_matched(&self) -> Vec<(MemberId, u64)> {
        let matched = self.members.iter().map(|(id, p)| (*id, p.matched));
        matched.collect()
    }

    /// Returns the log's time at `now`.
    pub(crate) fn log_time_ms(&self, now: Instant) -> u64 {
        self.base + now.since(self.since)
    }

    /// Returns the index up to which a member's log is known to match.
    pub(crate) fn matched(&self, id: MemberId, own: MemberId) -> u64 {
        if id == own {
            return self.durable;
        }
        self.members.get(&id).map_or(0, |p| p.matched)
    }

    /// Returns the last round of heartbeats that a member has answered.
    pub(crate) fn acked_round(&self, id: MemberId, own: MemberId) -> u64 {
        if id == own {
            return self.round;
        }
        self.members.get(&id).map_or(0, |p| p.acked_round)
    }
}
