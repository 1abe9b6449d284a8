//! The leader: replication, commits, linearizable reads and membership changes.

use std::sync::Arc;

use crate::quorum;
use crate::quorum::Change;
use crate::quorum::Config;
use crate::quorum::MemberId;
use crate::raft::Effect;
use crate::raft::Raft;
use crate::raft::Refusal;
use crate::raft::State;
use crate::raft_entry::Entry;
use crate::raft_entry::Payload;
use crate::raft_entry::Position;
use crate::raft_entry::Record;
use crate::raft_leader_state::PendingRead;
use crate::raft_message::Body;
use crate::raft_message::Token;
use crate::raft_progress::Mode;
use crate::raft_progress::Progress;

impl Raft {
    /// Commits the entries that a majority has on disk, and answers the reads that this allows.
    ///
    /// Only an entry of the current term is committed by counting; it commits those before it.
    /// A leader that is no longer a member steps down once its removal is committed.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let own = self.identity;
        let config = self.log.config();
        let majority_index = config.majority_value(|id| leader.matched(id, own));
        if majority_index > self.commit_index
            && self.log.term_at(majority_index) == Some(self.hard_state.term)
        {
            self.commit_index = majority_index;
            self.apply();
        }
        let removed = !self.config().members.contains_key(&own);
        if removed && self.commit_index >= self.log.config_index() {
            return self.become_follower(self.hard_state.term, None);
        }
        self.answer_reads();
    }

    /// Starts a heartbeat round when it is due, or steps down when no majority has answered within
    /// the longest election timeout.
    pub(crate) fn tick_leader(&mut self) {
        let limit = self.settings.election_timeout_ms + self.settings.election_jitter_ms;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now.since(leader.last_quorum_contact) >= limit && leader.members.values().len() > 0
        {
            return self.become_follower(self.hard_state.term, None);
        }
        if self.now < leader.heartbeat_due {
            return;
        }
        self.start_heartbeat_round();
        self.renew_lease();
    }

    /// Starts the term with an empty entry, whose commit also commits the entries of earlier terms.
    pub(crate) fn begin_term(&mut self) {
        self.append_entry(Payload::NoOp);
        self.start_heartbeat_round();
        self.renew_lease();
    }

    /// Appends a membership change, which is in force at once.
    pub(crate) fn change(&mut self, token: Token, change: &Change) {
        match self.validated_change(change) {
            Err(refusal) => self.effects.push(Effect::Refused(token, refusal)),
            Ok(config) => {
                let position = self.append_entry(Payload::Config(config));
                let next = self.log.last_position().index;
                if let State::Leader(leader) = &mut self.state {
                    leader.track(self.log.config(), self.identity, next, self.now);
                }
                self.effects.push(Effect::Accepted(token, position));
                self.send_entries_to_all();
            }
        }
    }

    /// Refuses the pending reads.
    pub(crate) fn refuse_reads(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        for read in leader.reads.drain(..) {
            let refusal = Refusal::NotLeader(None);
            self.effects.push(Effect::Refused(read.token, refusal));
        }
    }

    pub(crate) fn on_accepted(&mut self, from: MemberId, round: u64, matched: u64) {
        self.update_progress(from, round, |progress| progress.record_accepted(matched));
    }

    pub(crate) fn on_received_chunk(
        &mut self,
        from: MemberId,
        round: u64,
        index: u64,
        offset: u64,
    ) {
        let mut advanced = false;
        self.update_progress(from, round, |progress| {
            advanced = progress.record_received(index, offset)
        });
        if advanced {
            self.send_snapshot_chunk(from);
        }
    }

    pub(crate) fn on_rejected(&mut self, from: MemberId, round: u64, hint: u64) {
        self.update_progress(from, round, |progress| progress.record_rejected(hint));
    }

    /// Appends commands as one batch, or refuses all of them.
    pub(crate) fn propose(&mut self, commands: Vec<(Token, Arc<[u8]>)>) {
        let uncommitted = self.log.last_position().index - self.commit_index;
        let refusal = match &self.state {
            State::Leader(_) if uncommitted < self.settings.max_uncommitted_entries => None,
            State::Leader(_) => Some(Refusal::Backlog),
            _ => Some(Refusal::NotLeader(self.leader())),
        };
        for (token, command) in commands {
            let effect = match refusal {
                None => Effect::Accepted(token, self.append_entry(Payload::Command(command))),
                Some(refusal) => Effect::Refused(token, refusal),
            };
            self.effects.push(effect);
        }
        self.send_entries_to_all();
    }

    /// Answers a read under the lease, or after a majority has confirmed that this member leads.
    pub(crate) fn read(&mut self, token: Token) {
        let known_leader = self.leader();
        let commit = self.commit_index;
        let State::Leader(leader) = &mut self.state else {
            let refusal = Refusal::NotLeader(known_leader);
            return self.effects.push(Effect::Refused(token, refusal));
        };
        let leased = self.now < leader.lease_end(&self.settings);
        let round = if leased { 0 } else { leader.round + 1 };
        leader.reads.push_back(PendingRead {
            index: commit.max(leader.first_index),
            round,
            token,
        });
        if !leased {
            self.start_heartbeat_round();
            self.renew_lease();
        }
        self.answer_reads();
    }

    /// Answers the pending reads whose round and index are confirmed, oldest first.
    fn answer_reads(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let own = self.identity;
        let confirmed = self
            .log
            .config()
            .majority_value(|id| leader.acked_round(id, own));
        let commit = self.commit_index;
        let ready = |read: &PendingRead| read.round <= confirmed && read.index <= commit;
        while let Some(read) = leader.reads.pop_front_if(|read| ready(read)) {
            self.effects.push(Effect::Read(read.token, read.index));
        }
    }

    /// Returns the membership after `change`, or why it cannot be made now.
    ///
    /// A learner is promoted only if it has answered within the last two rounds and has all
    /// committed entries.
    fn validated_change(&self, change: &Change) -> Result<Config, Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(Refusal::NotLeader(self.leader()));
        };
        if self.commit_index < self.log.config_index().max(leader.first_index) {
            return Err(quorum::Error::ChangePending.into());
        }
        if let Change::Promote(id) = change {
            let progress = leader.members.get(id);
            let caught_up =
                |p: &Progress| p.acked_round + 2 >= leader.round && p.matched >= self.commit_index;
            if !progress.is_some_and(caught_up) {
                return Err(quorum::Error::Behind(*id).into());
            }
        }
        Ok(self.log.config().with_change(change)?)
    }

    /// Appends one entry to the log and to the records of this step.
    fn append_entry(&mut self, payload: Payload) -> Position {
        let log_time_ms = match &self.state {
            State::Leader(leader) => leader.log_time_ms(self.now),
            _ => self.log.last_time_ms(),
        };
        let position = Position {
            term: self.hard_state.term,
            index: self.log.last_position().index + 1,
        };
        let entry = Entry {
            log_time_ms,
            payload,
            position,
        };
        self.log.push(entry.clone());
        match self.records.last_mut() {
            Some(Record::Entries(entries)) => entries.push(entry),
            _ => self.records.push(Record::Entries(vec![entry])),
        }
        position
    }

    /// Restarts the lease at the start of the newest heartbeat round that a majority has answered.
    fn renew_lease(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let own = self.identity;
        let confirmed = self
            .log
            .config()
            .majority_value(|id| leader.acked_round(id, own));
        while leader
            .round_starts
            .front()
            .is_some_and(|(round, _)| *round < confirmed)
        {
            leader.round_starts.pop_front();
        }
        if let Some((round, at)) = leader.round_starts.front()
            && *round == confirmed
        {
            leader.last_quorum_contact = leader.last_quorum_contact.max(*at);
            leader.lease_start = Some(*at);
        }
    }

    /// Sends each member the entries that it lacks, as far as its window allows.
    fn send_entries_to_all(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let peers: Vec<MemberId> = leader.members.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer);
        }
    }

    fn send_entries(&mut self, peer: MemberId) {
        while let Some(body) = self.next_batch(peer) {
            self.send(peer, self.hard_state.term, body);
        }
    }

    /// Returns the next batch for a member, or `None` when nothing may be sent now.
    ///
    /// A member whose next entry is dropped from the log is sent the snapshot instead.
    fn next_batch(&mut self, peer: MemberId) -> Option<Body> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.members.get_mut(&peer)?;
        let last = self.log.last_position().index;
        match progress.mode {
            Mode::Probe { in_flight: true } | Mode::Snapshot { .. } => return None,
            Mode::Replicate if progress.next_index > last => return None,
            Mode::Replicate if progress.in_flight.len() >= self.settings.window => return None,
            Mode::Probe { .. } | Mode::Replicate => {}
        }
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else {
            let index = self.log.snapshot().meta.position.index;
            let offset = 0;
            progress.mode = Mode::Snapshot { index, offset };
            self.send_snapshot_chunk(peer);
            return None;
        };
        let entries = self
            .log
            .batch(progress.next_index, self.settings.max_batch_bytes);
        match &mut progress.mode {
            Mode::Probe { in_flight } => *in_flight = true,
            Mode::Replicate | Mode::Snapshot { .. } => {
                progress.next_index += entries.len() as u64;
                progress.in_flight.push_back(progress.next_index - 1);
            }
        }
        Some(Body::Append {
            commit: self.commit_index,
            entries,
            previous: Position { term, index },
            round: leader.round,
        })
    }

    /// Sends a heartbeat, and probes again if nothing new was confirmed since the last one.
    fn send_heartbeat(&mut self, peer: MemberId) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&peer) else {
            return;
        };
        let stalled = !std::mem::take(&mut progress.advanced);
        match &mut progress.mode {
            Mode::Probe { in_flight } => *in_flight = false,
            Mode::Replicate if stalled && !progress.in_flight.is_empty() => {
                progress.probe(progress.matched + 1);
            }
            Mode::Replicate => {}
            Mode::Snapshot { .. } if stalled => return self.send_snapshot_chunk(peer),
            Mode::Snapshot { .. } => return,
        }
        let index = progress.matched;
        if matches!(progress.mode, Mode::Replicate)
            && let Some(term) = self.log.term_at(index)
        {
            let body = Body::Append {
                commit: self.commit_index,
                entries: Vec::new(),
                previous: Position { term, index },
                round: leader.round,
            };
            self.send(peer, self.hard_state.term, body);
        }
        self.send_entries(peer);
    }

    /// Sends the next chunk of the newest snapshot; a newer snapshot starts from its first byte.
    fn send_snapshot_chunk(&mut self, peer: MemberId) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&peer) else {
            return;
        };
        let snapshot = self.log.snapshot().clone();
        let newest = snapshot.meta.position.index;
        let Mode::Snapshot { index, offset } = &mut progress.mode else {
            return;
        };
        if *index != newest {
            *index = newest;
            *offset = 0;
        }
        let total = snapshot.data.len();
        let start = (*offset as usize).min(total);
        let end = (start + self.settings.max_chunk_bytes).min(total);
        let body = Body::InstallSnapshot {
            data: snapshot.data[start..end].to_vec(),
            meta: snapshot.meta.clone(),
            offset: start as u64,
            round: leader.round,
            total: total as u64,
        };
        self.send(peer, self.hard_state.term, body);
    }

    fn start_heartbeat_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.round += 1;
        leader.heartbeat_due = self.now + self.settings.heartbeat_interval_ms;
        leader.round_starts.push_back((leader.round, self.now));
        let peers: Vec<MemberId> = leader.members.keys().copied().collect();
        for peer in peers {
            self.send_heartbeat(peer);
        }
    }

    /// Applies a member's answer to its progress, then commits and sends what this allows.
    fn update_progress(&mut self, from: MemberId, round: u64, change: impl FnOnce(&mut Progress)) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&from) else {
            return;
        };
        progress.acked_round = progress.acked_round.max(round);
        progress.answered_at = self.now;
        change(progress);
        self.renew_lease();
        self.advance_commit();
        self.send_entries(from);
    }
}
