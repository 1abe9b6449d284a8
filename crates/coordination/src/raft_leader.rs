//! What a leader does: replicate, commit, answer reads and change the members.

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
    /// Commits what a majority has on disk, and answers the reads that this allows.
    pub(crate) fn advance(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let own = self.identity;
        let config = self.log.config();
        let agreed = config.majority_value(|id| leader.matched(id, own));
        if agreed > self.commit_index && self.log.term_at(agreed) == Some(self.hard_state.term) {
            self.commit_index = agreed;
            self.apply();
        }
        let gone = !self.config().members.contains_key(&own);
        if gone && self.commit_index >= self.log.config_index() {
            return self.follow(self.hard_state.term, None);
        }
        self.answer_reads();
    }

    /// Starts a round of heartbeats, or stops leading when a majority is silent.
    pub(crate) fn beat(&mut self) {
        let limit = self.settings.election_timeout_ms + self.settings.election_jitter_ms;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now.since(leader.checked) >= limit && leader.members.values().len() > 0 {
            return self.follow(self.hard_state.term, None);
        }
        if self.now < leader.heartbeat_due {
            return;
        }
        self.start_round();
        self.renew();
    }

    /// Starts the term with an entry of its own, which lets it commit those of earlier terms.
    pub(crate) fn begin_term(&mut self) {
        self.push(Payload::NoOp);
        self.start_round();
        self.renew();
    }

    /// Changes the members by one.
    pub(crate) fn change(&mut self, token: Token, change: &Change) {
        match self.checked_change(change) {
            Err(refusal) => self.effects.push(Effect::Refused(token, refusal)),
            Ok(config) => {
                let position = self.push(Payload::Config(config));
                let next = self.log.last_position().index;
                if let State::Leader(leader) = &mut self.state {
                    leader.track(self.log.config(), self.identity, next);
                }
                self.effects.push(Effect::Accepted(token, position));
                self.send_all();
            }
        }
    }

    /// Refuses the reads that wait for a majority.
    pub(crate) fn fail_reads(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        for read in leader.reads.drain(..) {
            let refusal = Refusal::NotLeader(None);
            self.effects.push(Effect::Refused(read.token, refusal));
        }
    }

    pub(crate) fn on_accepted(&mut self, from: MemberId, round: u64, matched: u64) {
        self.with_member(from, round, |progress| progress.record_accepted(matched));
    }

    pub(crate) fn on_received(&mut self, from: MemberId, round: u64, index: u64, offset: u64) {
        let mut advanced = false;
        self.with_member(from, round, |progress| {
            advanced = progress.record_received(index, offset)
        });
        if advanced {
            self.send_piece(from);
        }
    }

    pub(crate) fn on_rejected(&mut self, from: MemberId, round: u64, hint: u64) {
        self.with_member(from, round, |progress| progress.record_rejected(hint));
    }

    /// Appends commands as one batch.
    pub(crate) fn propose(&mut self, commands: Vec<(Token, Arc<[u8]>)>) {
        let waiting = self.log.last_position().index - self.commit_index;
        let refusal = match &self.state {
            State::Leader(_) if waiting < self.settings.max_uncommitted_entries => None,
            State::Leader(_) => Some(Refusal::Backlog),
            _ => Some(Refusal::NotLeader(self.leader())),
        };
        for (token, command) in commands {
            let effect = match refusal {
                None => Effect::Accepted(token, self.push(Payload::Command(command))),
                Some(refusal) => Effect::Refused(token, refusal),
            };
            self.effects.push(effect);
        }
        self.send_all();
    }

    /// Answers a read under the lease, or after a majority confirms that this member leads.
    pub(crate) fn read(&mut self, token: Token) {
        let leads = self.leader();
        let commit = self.commit_index;
        let State::Leader(leader) = &mut self.state else {
            let refusal = Refusal::NotLeader(leads);
            return self.effects.push(Effect::Refused(token, refusal));
        };
        let leased = self.now < leader.lease(&self.settings);
        let round = if leased { 0 } else { leader.round + 1 };
        leader.reads.push_back(PendingRead {
            index: commit.max(leader.first),
            round,
            token,
        });
        if !leased {
            self.start_round();
            self.renew();
        }
        self.answer_reads();
    }

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

    fn checked_change(&self, change: &Change) -> Result<Config, Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(Refusal::NotLeader(self.leader()));
        };
        if self.commit_index < self.log.config_index().max(leader.first) {
            return Err(quorum::Error::ChangePending.into());
        }
        if let Change::Promote(id) = change {
            let progress = leader.members.get(id);
            let recent =
                |p: &Progress| p.acked_round + 2 >= leader.round && p.matched >= self.commit_index;
            if !progress.is_some_and(recent) {
                return Err(quorum::Error::Behind(*id).into());
            }
        }
        Ok(self.log.config().with_change(change)?)
    }

    fn push(&mut self, payload: Payload) -> Position {
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

    /// Takes the newest round that a majority answered as the start of the lease.
    fn renew(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let own = self.identity;
        let confirmed = self
            .log
            .config()
            .majority_value(|id| leader.acked_round(id, own));
        while leader
            .started
            .front()
            .is_some_and(|(round, _)| *round < confirmed)
        {
            leader.started.pop_front();
        }
        if let Some((round, at)) = leader.started.front()
            && *round == confirmed
        {
            leader.checked = leader.checked.max(*at);
            leader.leased = Some(*at);
        }
    }

    fn send_all(&mut self) {
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
            self.send_piece(peer);
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

    fn send_heartbeat(&mut self, peer: MemberId) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&peer) else {
            return;
        };
        let stuck = !std::mem::take(&mut progress.advanced);
        match &mut progress.mode {
            Mode::Probe { in_flight } => *in_flight = false,
            Mode::Replicate if stuck && !progress.in_flight.is_empty() => {
                progress.probe(progress.matched + 1);
            }
            Mode::Replicate => {}
            Mode::Snapshot { .. } if stuck => return self.send_piece(peer),
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

    fn send_piece(&mut self, peer: MemberId) {
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

    fn start_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.round += 1;
        leader.heartbeat_due = self.now + self.settings.heartbeat_interval_ms;
        leader.started.push_back((leader.round, self.now));
        let peers: Vec<MemberId> = leader.members.keys().copied().collect();
        for peer in peers {
            self.send_heartbeat(peer);
        }
    }

    fn with_member(&mut self, from: MemberId, round: u64, change: impl FnOnce(&mut Progress)) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.members.get_mut(&from) else {
            return;
        };
        progress.acked_round = progress.acked_round.max(round);
        change(progress);
        self.renew();
        self.advance();
        self.send_entries(from);
    }
}
