//! State that only a leader has: replication progress, pending reads and its lease.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::lease;
use crate::quorum::Config;
use crate::quorum::MemberId;
use crate::raft_message::Token;
use crate::raft_progress::Progress;
use crate::raft_settings::Settings;
use state::time::Instant;

/// Heartbeat rounds of a new term before a member counts as silent.
const FIRST_ROUNDS: u64 = 3;

/// A read that waits for its index to be committed and for a majority to confirm the leader.
#[derive(Debug)]
pub(crate) struct PendingRead {
    /// Index that must be committed first: the commit index at the time of the request, or the
    /// first index of the term if that is greater.
    pub(crate) index: u64,
    /// Heartbeat round that a majority must answer first; 0 under a lease.
    pub(crate) round: u64,
    pub(crate) token: Token,
}

/// State of a leader in one term.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Log time at which the term started, in milliseconds.
    pub(crate) start_log_time_ms: u64,
    /// Start of the newest heartbeat round that a majority has answered.
    pub(crate) last_quorum_contact: Instant,
    /// Last index that is synced to the leader's own disk.
    pub(crate) synced_index: u64,
    /// Index of the first entry of the term.
    pub(crate) first_index: u64,
    pub(crate) heartbeat_due: Instant,
    /// Start of the round from which the lease counts.
    pub(crate) lease_start: Option<Instant>,
    pub(crate) members: BTreeMap<MemberId, Progress>,
    pub(crate) reads: VecDeque<PendingRead>,
    /// Number of the newest heartbeat round.
    pub(crate) round: u64,
    /// Time at which the term started.
    pub(crate) started_at: Instant,
    /// Rounds with their start times, from the newest one that a majority has answered on.
    pub(crate) round_starts: VecDeque<(u64, Instant)>,
}

impl LeaderState {
    /// Returns a leader whose term starts at `now`, when log time is `start_log_time_ms`.
    ///
    /// Entries up to `synced_index`, the last one of earlier terms, are on its own disk.
    pub(crate) fn new(now: Instant, start_log_time_ms: u64, synced_index: u64) -> Self {
        Self {
            start_log_time_ms,
            last_quorum_contact: now,
            synced_index,
            first_index: synced_index + 1,
            heartbeat_due: now,
            lease_start: None,
            members: BTreeMap::new(),
            reads: VecDeque::new(),
            round: 0,
            started_at: now,
            round_starts: VecDeque::new(),
        }
    }

    /// Returns the time before which no other member can become leader.
    pub(crate) fn lease_end(&self, settings: &Settings) -> Instant {
        let duration = lease::shorten_for_clock_drift(settings.election_timeout_ms);
        self.lease_start
            .map_or(Instant(0), |start| start + duration)
    }

    /// Tracks exactly the members of `config`; new ones are sent entries from `next_index` on, and
    /// their silence counts from `since` on.
    pub(crate) fn track(
        &mut self,
        config: &Config,
        own: MemberId,
        next_index: u64,
        since: Instant,
    ) {
        self.members.retain(|id, _| config.members.contains_key(id));
        for id in config.members.keys().filter(|id| **id != own) {
            let new = || Progress::new(next_index, since);
            self.members.entry(*id).or_insert_with(new);
        }
    }

    /// Returns the index up to which each other member's log is known to match.
    pub(crate) fn all_matched(&self) -> Vec<(MemberId, u64)> {
        let matched = self.members.iter().map(|(id, p)| (*id, p.matched));
        matched.collect()
    }

    /// Returns the members that have not answered for longer than any election takes to begin, with
    /// the length of their silence in milliseconds.
    ///
    /// In a new term all members first get a few rounds to answer.
    pub(crate) fn silences(&self, now: Instant, settings: &Settings) -> BTreeMap<MemberId, u64> {
        let first_rounds_ms = FIRST_ROUNDS * settings.heartbeat_interval_ms;
        if now.since(self.started_at) < first_rounds_ms {
            return BTreeMap::new();
        }
        let silences = self.members.iter();
        let silences = silences.map(|(id, progress)| (*id, now.since(progress.answered_at)));
        let limit_ms = settings.election_timeout_ms + settings.election_jitter_ms;
        silences
            .filter(|(_, silence)| *silence >= limit_ms)
            .collect()
    }

    /// Returns the log time at `now`, in milliseconds.
    pub(crate) fn log_time_ms(&self, now: Instant) -> u64 {
        self.start_log_time_ms + now.since(self.started_at)
    }

    /// Returns the index up to which a member's log is known to match.
    pub(crate) fn matched(&self, id: MemberId, own: MemberId) -> u64 {
        if id == own {
            return self.synced_index;
        }
        self.members.get(&id).map_or(0, |p| p.matched)
    }

    /// Returns the newest heartbeat round that a member has answered.
    pub(crate) fn acked_round(&self, id: MemberId, own: MemberId) -> u64 {
        if id == own {
            return self.round;
        }
        self.members.get(&id).map_or(0, |p| p.acked_round)
    }
}
