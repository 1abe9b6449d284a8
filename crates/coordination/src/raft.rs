//! One member of a Raft group, as a state machine without I/O.
//!
//! [`Raft::step`] takes the time and an event and returns effects. A message that states what is
//! on disk, such as a granted vote or an accepted entry, is held back until [`Event::Persisted`]
//! confirms the records that it depends on, so that a driver cannot send it too early.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::quorum;
use crate::quorum::Change;
use crate::quorum::Config;
use crate::quorum::Member;
use crate::quorum::MemberId;
use crate::raft_entry::Entry;
use crate::raft_entry::HardState;
use crate::raft_entry::Payload;
use crate::raft_entry::Position;
use crate::raft_entry::Record;
use crate::raft_entry::Recovered;
use crate::raft_entry::Snapshot;
use crate::raft_entry::SnapshotMeta;
use crate::raft_leader_state::LeaderState;
use crate::raft_log::Log;
use crate::raft_message::Body;
use crate::raft_message::Envelope;
use crate::raft_message::Token;
use crate::raft_settings::Settings;
use state::time::Instant;

/// Input of [`Raft::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Creates a group whose only voter is this member; ignored unless the disk is empty.
    Bootstrap(Member),
    /// Requests one membership change; only the leader accepts it.
    Change(Token, Change),
    /// Offers a snapshot of the state machine, so that the log up to `index` can be dropped.
    Compact {
        /// The encoded state machine.
        data: Arc<[u8]>,
        /// Index of the last entry that the state machine has applied.
        index: u64,
    },
    /// Delivers a message of another member.
    Message(Envelope),
    /// Confirms that all writes up to this sequence number are synced to disk.
    Persisted(u64),
    /// Proposes commands for replication; only the leader accepts them.
    Propose(Vec<(Token, Arc<[u8]>)>),
    /// Requests a linearizable read: the leader answers with the index to apply first.
    Read(Token),
    /// Checks the timers; due at [`Raft::next_tick`].
    Tick,
}

/// Output of [`Raft::step`], which the driver carries out in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The log position of a proposal, which is committed once the entry there is applied with the
    /// same term.
    Accepted(Token, Position),
    /// Applies committed entries to the state machine.
    Apply(Vec<Entry>),
    /// Writes records and syncs them, then confirms with [`Event::Persisted`].
    Persist {
        /// The records, in order.
        records: Vec<Record>,
        /// Sequence number of this write.
        sequence: u64,
    },
    /// Allows a read as soon as the entry at this index is applied.
    Read(Token, u64),
    /// Refuses a request; nothing of it was replicated.
    Refused(Token, Refusal),
    /// Replaces the state machine by a snapshot.
    Restore(Arc<Snapshot>),
    /// Sends a message; it may be lost.
    Send(Envelope),
}

/// Reason why a member refuses a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Refusal {
    /// The log has as many uncommitted entries as the settings allow.
    #[error("too many uncommitted entries")]
    Backlog,
    /// The membership change cannot be applied.
    #[error(transparent)]
    Change(#[from] quorum::Error),
    /// This member is not the leader; carries the leader when it is known.
    #[error("this voter does not lead")]
    NotLeader(Option<MemberId>),
}

/// Role of a member in the current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Requests votes.
    Candidate,
    /// Follows a leader, if one is known.
    Follower(Option<MemberId>),
    /// Replicates entries and commits them.
    Leader,
    /// Asks whether it would win an election before it starts one.
    PreCandidate,
}

/// Role of a member with the data of that role; the sets hold the votes granted so far.
#[derive(Debug)]
pub(crate) enum State {
    Candidate(BTreeSet<MemberId>),
    Follower(Option<MemberId>),
    Leader(Box<LeaderState>),
    PreCandidate(BTreeSet<MemberId>),
}

/// The part of a snapshot that has arrived from the leader.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) data: Vec<u8>,
    pub(crate) meta: SnapshotMeta,
}

/// One member of a Raft group.
#[derive(Debug)]
pub struct Raft {
    pub(crate) applied_index: u64,
    pub(crate) commit_index: u64,
    pub(crate) effects: Vec<Effect>,
    pub(crate) election_due: Instant,
    pub(crate) hard_state: HardState,
    pub(crate) last_leader_contact: Instant,
    /// Messages with the sequence number of the write that must be synced before they are sent.
    awaiting_sync: VecDeque<(u64, Envelope)>,
    pub(crate) identity: MemberId,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) log: Log,
    pub(crate) now: Instant,
    /// Messages of the current step that must wait for its write.
    outbox: Vec<Envelope>,
    /// Sequence number of the newest write that is synced.
    persisted: u64,
    /// Records of the current step.
    pub(crate) records: Vec<Record>,
    rng: ChaCha8Rng,
    /// Sequence number of the newest write.
    pub(crate) sequence: u64,
    pub(crate) settings: Settings,
    pub(crate) state: State,
    /// Index of the last log entry as of each write that is not yet synced.
    pub(crate) unsynced_writes: BTreeMap<u64, u64>,
    /// Sequence number of the write that holds this member's vote for itself.
    pub(crate) vote_sequence: u64,
}

impl Raft {
    /// Returns a member that resumes from what its disk holds.
    ///
    /// It grants no vote for one election timeout, because a leader may still hold a lease that
    /// relies on this member.
    pub fn new(
        identity: MemberId,
        settings: Settings,
        seed: u64,
        now: Instant,
        recovered: Recovered,
    ) -> Self {
        let start = recovered.snapshot.meta.position.index;
        let mut raft = Self {
            applied_index: start,
            commit_index: start,
            effects: Vec::new(),
            election_due: now,
            hard_state: recovered.hard_state,
            last_leader_contact: now,
            awaiting_sync: VecDeque::new(),
            identity,
            incoming: None,
            log: Log::new(recovered.snapshot, recovered.entries),
            now,
            outbox: Vec::new(),
            persisted: 0,
            records: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            settings,
            state: State::Follower(None),
            unsynced_writes: BTreeMap::new(),
            vote_sequence: 0,
        };
        raft.reset_election_timer();
        raft.skip_election_timeout_if_sole_voter();
        raft
    }

    /// Handles one event at `now` and returns the effects to carry out.
    ///
    /// # Panics
    ///
    /// Panics when another member sends an entry that contradicts a committed one.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Bootstrap(member) => self.bootstrap(member),
            Event::Change(token, change) => self.change(token, &change),
            Event::Compact { data, index } => self.compact(index, data),
            Event::Message(envelope) => self.receive(envelope),
            Event::Persisted(sequence) => self.on_persisted(sequence),
            Event::Propose(commands) => self.propose(commands),
            Event::Read(token) => self.read(token),
            Event::Tick => self.tick(),
        }
        self.flush()
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the newest membership, committed or not.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_due,
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => self.election_due,
        }
    }

    /// Returns the id of this member.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// Returns the position of the last log entry.
    pub fn last_position(&self) -> Position {
        self.log.last_position()
    }

    /// Returns the leader of the current term, when it is known.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.state {
            State::Candidate(_) | State::PreCandidate(_) => None,
            State::Follower(leader) => *leader,
            State::Leader(_) => Some(self.identity),
        }
    }

    /// Returns the role of this member.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Candidate(_) => Role::Candidate,
            State::Follower(leader) => Role::Follower(*leader),
            State::Leader(_) => Role::Leader,
            State::PreCandidate(_) => Role::PreCandidate,
        }
    }

    /// Returns, on the leader, the index up to which each other member's log is known to match.
    pub fn matched(&self) -> Vec<(MemberId, u64)> {
        match &self.state {
            State::Leader(leader) => leader.all_matched(),
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => Vec::new(),
        }
    }

    /// Returns, on the leader, the members that have not answered for longer than the longest
    /// election timeout, with the length of their silence in milliseconds.
    pub fn silences(&self) -> BTreeMap<MemberId, u64> {
        match &self.state {
            State::Leader(leader) => leader.silences(self.now, &self.settings),
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => BTreeMap::new(),
        }
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Returns the newest term that this member has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Hands the entries that became committed to the state machine.
    pub(crate) fn apply(&mut self) {
        if self.commit_index > self.applied_index {
            let entries = self.log.range(self.applied_index + 1, self.commit_index);
            self.applied_index = self.commit_index;
            self.effects.push(Effect::Apply(entries));
        }
    }

    /// Restarts the election timeout with a new random jitter.
    pub(crate) fn reset_election_timer(&mut self) {
        let jitter = self.rng.random_range(0..=self.settings.election_jitter_ms);
        self.election_due = self.now + self.settings.election_timeout_ms + jitter;
    }

    /// Returns the time until the next request for pre-votes, in milliseconds.
    pub(crate) fn pre_vote_interval(&mut self) -> u64 {
        let interval_ms = self.settings.heartbeat_interval_ms;
        self.rng.random_range(interval_ms..=2 * interval_ms)
    }

    /// Sends a message that does not depend on a write.
    pub(crate) fn send(&mut self, to: MemberId, term: u64, body: Body) {
        let envelope = self.envelope(to, term, body);
        self.effects.push(Effect::Send(envelope));
    }

    /// Sends a message once all records so far are synced to disk.
    pub(crate) fn send_synced(&mut self, to: MemberId, term: u64, body: Body) {
        let envelope = self.envelope(to, term, body);
        self.outbox.push(envelope);
    }

    fn bootstrap(&mut self, member: Member) {
        if self.log.last_position() != Position::default()
            || self.hard_state != HardState::default()
        {
            return;
        }
        let position = Position { term: 1, index: 1 };
        let members = BTreeMap::from([(
            self.identity,
            Member {
                votes: true,
                ..member
            },
        )]);
        let config = Config {
            group: self.identity,
            members,
        };
        let entry = Entry {
            log_time_ms: 0,
            payload: Payload::Config(config),
            position,
        };
        self.set_hard_state(HardState {
            term: 1,
            vote: None,
        });
        self.log.push(entry.clone());
        self.records.push(Record::Entries(vec![entry]));
        self.skip_election_timeout_if_sole_voter();
    }

    /// Makes the election of the only voter due at once, because no other member can lead.
    fn skip_election_timeout_if_sole_voter(&mut self) {
        if self.log.config().voters().eq([self.identity]) {
            self.election_due = self.now;
        }
    }

    fn compact(&mut self, index: u64, data: Arc<[u8]>) {
        if index > self.applied_index {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, data) {
            self.records.push(Record::Compact(snapshot));
        }
    }

    fn envelope(&self, to: MemberId, term: u64, body: Body) -> Envelope {
        Envelope {
            body,
            from: self.identity,
            group: self.log.config().group,
            term,
            to,
        }
    }

    /// Returns the effects of a step, with its write first and the messages that may go now last.
    fn flush(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        if !self.records.is_empty() {
            self.sequence += 1;
            self.unsynced_writes
                .insert(self.sequence, self.log.last_position().index);
            let persist = Effect::Persist {
                records: std::mem::take(&mut self.records),
                sequence: self.sequence,
            };
            effects.insert(0, persist);
        }
        for envelope in std::mem::take(&mut self.outbox) {
            self.awaiting_sync.push_back((self.sequence, envelope));
        }
        while self
            .awaiting_sync
            .front()
            .is_some_and(|(sequence, _)| *sequence <= self.persisted)
        {
            let ready = self.awaiting_sync.pop_front();
            effects.extend(ready.map(|(_, envelope)| Effect::Send(envelope)));
        }
        effects
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.records.push(Record::HardState(hard_state));
        }
    }

    fn on_persisted(&mut self, sequence: u64) {
        self.persisted = self.persisted.max(sequence);
        let later = self.unsynced_writes.split_off(&(sequence + 1));
        let synced = std::mem::replace(&mut self.unsynced_writes, later);
        match &mut self.state {
            State::Candidate(_) if sequence >= self.vote_sequence => self.count_vote(self.identity),
            State::Leader(leader) => {
                let last = synced.into_values().max().unwrap_or(0);
                leader.synced_index = leader.synced_index.max(last);
                self.advance_commit();
            }
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => {}
        }
    }

    fn tick(&mut self) {
        match &self.state {
            State::Leader(_) => self.tick_leader(),
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_)
                if self.now >= self.election_due =>
            {
                self.start_pre_vote();
            }
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => {}
        }
    }
}
