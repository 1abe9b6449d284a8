//! One member of the replicated log, as a step function.
//!
//! [`Raft::step`] takes the time and an event and returns effects. A message that promises
//! anything about the disk is held back until [`Event::Persisted`] confirms the records that the
//! promise rests on, so a driver cannot send it too early.

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

/// Tells a member what happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Founds a group whose only voter is this member.
    Bootstrap(Member),
    /// Asks a leader for one change of the members.
    Change(Token, Change),
    /// Offers the state machine as of `index`, so that the log before it can go.
    Compact {
        /// Holds the encoded state machine.
        data: Arc<[u8]>,
        /// Gives the index of the last entry that it has applied.
        index: u64,
    },
    /// Brings a message.
    Message(Envelope),
    /// Confirms that all records up to this sequence number are on the disk.
    Persisted(u64),
    /// Asks a leader to replicate commands.
    Propose(Vec<(Token, Arc<[u8]>)>),
    /// Asks a leader for an index that covers everything acknowledged so far.
    Read(Token),
    /// Lets time pass.
    Tick,
}

/// Tells the driver what to do, in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Tells at which place a proposal stands; it is committed once that place is applied.
    Accepted(Token, Position),
    /// Applies committed entries.
    Apply(Vec<Entry>),
    /// Writes records and syncs them, then confirms with [`Event::Persisted`].
    Persist {
        /// Holds the records in order.
        records: Vec<Record>,
        /// Numbers this write.
        sequence: u64,
    },
    /// Allows a read once the entry at this index is applied.
    Read(Token, u64),
    /// Refuses what a token stands for; nothing of it was replicated.
    Refused(Token, Refusal),
    /// Replaces the state machine.
    Restore(Arc<Snapshot>),
    /// Sends a message, which may get lost.
    Send(Envelope),
}

/// Tells why a member refuses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Refusal {
    /// Reports more uncommitted entries than the backlog allows.
    #[error("too many entries wait for the voters")]
    Backlog,
    /// Reports a change of members that does not fit.
    #[error(transparent)]
    Change(#[from] quorum::Error),
    /// Reports that this member does not lead; the leader is named when known.
    #[error("this voter does not lead")]
    NotLeader(Option<MemberId>),
}

/// Tells what a member is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Asks for votes.
    Candidate,
    /// Follows the leader, if it knows one.
    Follower(Option<MemberId>),
    /// Leads.
    Leader,
    /// Asks whether it would get votes.
    PreCandidate,
}

#[derive(Debug)]
pub(crate) enum State {
    Candidate(BTreeSet<MemberId>),
    Follower(Option<MemberId>),
    Leader(Box<LeaderState>),
    PreCandidate(BTreeSet<MemberId>),
}

#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) data: Vec<u8>,
    pub(crate) meta: SnapshotMeta,
}

/// Holds one member of the replicated log.
#[derive(Debug)]
pub struct Raft {
    pub(crate) applied: u64,
    pub(crate) commit_index: u64,
    pub(crate) effects: Vec<Effect>,
    pub(crate) election_due: Instant,
    pub(crate) hard_state: HardState,
    pub(crate) heard: Instant,
    held: VecDeque<(u64, Envelope)>,
    pub(crate) identity: MemberId,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) log: Log,
    pub(crate) now: Instant,
    outbox: Vec<Envelope>,
    persisted: u64,
    pub(crate) records: Vec<Record>,
    rng: ChaCha8Rng,
    pub(crate) sequence: u64,
    pub(crate) settings: Settings,
    pub(crate) state: State,
    pub(crate) unsynced: BTreeMap<u64, u64>,
    pub(crate) voted: u64,
}

impl Raft {
    /// Returns the member that owns a disk, as of its last start.
    ///
    /// It grants no vote for one election timeout, since it may have promised a leader not to.
    pub fn new(
        identity: MemberId,
        settings: Settings,
        seed: u64,
        now: Instant,
        recovered: Recovered,
    ) -> Self {
        let start = recovered.snapshot.meta.position.index;
        let mut raft = Self {
            applied: start,
            commit_index: start,
            effects: Vec::new(),
            election_due: now,
            hard_state: recovered.hard_state,
            heard: now,
            held: VecDeque::new(),
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
            unsynced: BTreeMap::new(),
            voted: 0,
        };
        raft.defer_election();
        raft.hurry_alone();
        raft
    }

    /// Takes in one event at `now` and returns what to do about it.
    ///
    /// # Panics
    ///
    /// Panics when another member contradicts an entry that is committed here.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Bootstrap(member) => self.bootstrap(member),
            Event::Change(token, change) => self.change(token, &change),
            Event::Compact { data, index } => self.compact(index, data),
            Event::Message(envelope) => self.receive(envelope),
            Event::Persisted(sequence) => self.synced(sequence),
            Event::Propose(commands) => self.propose(commands),
            Event::Read(token) => self.read(token),
            Event::Tick => self.tick(),
        }
        self.flush()
    }

    /// Returns the index of the last committed entry known here.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the members.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Returns when to tick next.
    pub fn next_tick(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_due,
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => self.election_due,
        }
    }

    /// Returns this member's identity.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// Returns the place of the last entry.
    pub fn last_position(&self) -> Position {
        self.log.last_position()
    }

    /// Returns the leader, when it is known.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.state {
            State::Candidate(_) | State::PreCandidate(_) => None,
            State::Follower(leader) => *leader,
            State::Leader(_) => Some(self.identity),
        }
    }

    /// Returns what this member is doing.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Candidate(_) => Role::Candidate,
            State::Follower(leader) => Role::Follower(*leader),
            State::Leader(_) => Role::Leader,
            State::PreCandidate(_) => Role::PreCandidate,
        }
    }

    /// Returns the index up to which each other member's log is known to match, on the leader.
    pub fn matched(&self) -> Vec<(MemberId, u64)> {
        match &self.state {
            State::Leader(leader) => leader.all_matched(),
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => Vec::new(),
        }
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Returns the newest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    pub(crate) fn apply(&mut self) {
        if self.commit_index > self.applied {
            let entries = self.log.range(self.applied + 1, self.commit_index);
            self.applied = self.commit_index;
            self.effects.push(Effect::Apply(entries));
        }
    }

    pub(crate) fn defer_election(&mut self) {
        let spread = self.rng.random_range(0..=self.settings.election_jitter_ms);
        self.election_due = self.now + self.settings.election_timeout_ms + spread;
    }

    /// Sends a message that promises nothing about the disk.
    pub(crate) fn send(&mut self, to: MemberId, term: u64, body: Body) {
        let envelope = self.envelope(to, term, body);
        self.effects.push(Effect::Send(envelope));
    }

    /// Sends a message once all records so far are on the disk.
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
        self.set_hard(HardState {
            term: 1,
            vote: None,
        });
        self.log.push(entry.clone());
        self.records.push(Record::Entries(vec![entry]));
        self.hurry_alone();
    }

    /// Lets the only voter stand for election at once, since nobody else can lead.
    fn hurry_alone(&mut self) {
        if self.log.config().voters().eq([self.identity]) {
            self.election_due = self.now;
        }
    }

    fn compact(&mut self, index: u64, data: Arc<[u8]>) {
        if index > self.applied {
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

    fn flush(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        if !self.records.is_empty() {
            self.sequence += 1;
            self.unsynced
                .insert(self.sequence, self.log.last_position().index);
            let persist = Effect::Persist {
                records: std::mem::take(&mut self.records),
                sequence: self.sequence,
            };
            effects.insert(0, persist);
        }
        for envelope in std::mem::take(&mut self.outbox) {
            self.held.push_back((self.sequence, envelope));
        }
        while self
            .held
            .front()
            .is_some_and(|(sequence, _)| *sequence <= self.persisted)
        {
            let held = self.held.pop_front();
            effects.extend(held.map(|(_, envelope)| Effect::Send(envelope)));
        }
        effects
    }

    pub(crate) fn set_hard(&mut self, hard_state: HardState) {
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.records.push(Record::HardState(hard_state));
        }
    }

    fn synced(&mut self, sequence: u64) {
        self.persisted = self.persisted.max(sequence);
        let later = self.unsynced.split_off(&(sequence + 1));
        let synced = std::mem::replace(&mut self.unsynced, later);
        match &mut self.state {
            State::Candidate(_) if sequence >= self.voted => self.count(self.identity),
            State::Leader(leader) => {
                let last = synced.into_values().max().unwrap_or(0);
                leader.durable = leader.durable.max(last);
                self.advance();
            }
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => {}
        }
    }

    fn tick(&mut self) {
        match &self.state {
            State::Leader(_) => self.beat(),
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_)
                if self.now >= self.election_due =>
            {
                self.precampaign();
            }
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => {}
        }
    }
}
