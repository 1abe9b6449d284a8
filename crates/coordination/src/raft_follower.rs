//! Handling of received messages: dispatch by kind, and entries and snapshots of a leader.

use std::sync::Arc;

use crate::quorum::MemberId;
use crate::raft::Effect;
use crate::raft::IncomingSnapshot;
use crate::raft::Raft;
use crate::raft::State;
use crate::raft_entry::Entry;
use crate::raft_entry::Position;
use crate::raft_entry::Record;
use crate::raft_entry::Snapshot;
use crate::raft_entry::SnapshotMeta;
use crate::raft_message::Body;
use crate::raft_message::Envelope;

impl Raft {
    /// Handles a message, unless it is for another member or from another group.
    pub(crate) fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            body,
            from,
            group,
            term,
            to,
        } = envelope;
        let own = self.log.config().group;
        let unset = MemberId::default();
        let other_group = own != unset && group != unset && group != own;
        if to != self.identity || other_group {
            return;
        }
        match body {
            Body::PreVote { last } => return self.on_pre_vote(from, term, last),
            Body::PreVoteReply { granted } if granted => {
                return self.on_pre_vote_reply(from, term, granted);
            }
            Body::Vote { last } => return self.on_vote(from, term, last),
            _ if term > self.hard_state.term => self.become_follower(term, None),
            _ => {}
        }
        let current = term == self.hard_state.term;
        match body {
            Body::Append { round, .. } | Body::InstallSnapshot { round, .. } if !current => {
                let hint = 0;
                self.send_synced(from, self.hard_state.term, Body::Rejected { hint, round });
            }
            Body::Append {
                commit,
                entries,
                previous,
                round,
            } => {
                self.record_leader_contact(from);
                self.on_append(from, round, previous, entries, commit);
            }
            Body::InstallSnapshot {
                data,
                meta,
                offset,
                round,
                total,
            } => {
                self.record_leader_contact(from);
                self.on_install_snapshot(from, round, meta, offset, &data, total);
            }
            Body::Accepted { matched, round } if current => self.on_accepted(from, round, matched),
            Body::ReceivedChunk {
                index,
                offset,
                round,
            } if current => self.on_received_chunk(from, round, index, offset),
            Body::Rejected { hint, round } if current => self.on_rejected(from, round, hint),
            Body::VoteReply { granted } => self.on_vote_reply(from, term, granted),
            Body::Accepted { .. }
            | Body::PreVote { .. }
            | Body::PreVoteReply { .. }
            | Body::ReceivedChunk { .. }
            | Body::Rejected { .. }
            | Body::Vote { .. } => {}
        }
    }

    /// Appends the entries that follow `previous`, or rejects them if the logs differ there.
    fn on_append(
        &mut self,
        from: MemberId,
        round: u64,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
    ) {
        let snapshot_index = self.log.snapshot().meta.position.index;
        let matches = previous.index < snapshot_index
            || self.log.term_at(previous.index) == Some(previous.term);
        if !matches {
            let hint = self.rejection_hint(previous);
            let term = self.hard_state.term;
            return self.send_synced(from, term, Body::Rejected { hint, round });
        }
        let matched = previous.index + entries.len() as u64;
        self.append_new_entries(entries);
        self.commit_up_to(commit.min(matched));
        let matched = matched.max(snapshot_index.min(self.commit_index));
        let accepted = Body::Accepted { matched, round };
        self.send_synced(from, self.hard_state.term, accepted);
    }

    fn commit_up_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index);
        self.apply();
    }

    /// Replaces the log from the first entry on that it does not hold yet.
    fn append_new_entries(&mut self, entries: Vec<Entry>) {
        let snapshot_index = self.log.snapshot().meta.position.index;
        let new = entries.into_iter().skip_while(|entry| {
            let position = entry.position;
            position.index <= snapshot_index
                || self.log.term_at(position.index) == Some(position.term)
        });
        let new: Vec<Entry> = new.collect();
        let Some(first) = new.first().map(|entry| entry.position.index) else {
            return;
        };
        assert!(
            first > self.commit_index,
            "received entry {first} contradicts a committed one"
        );
        self.log.truncate(first);
        new.iter().for_each(|entry| self.log.push(entry.clone()));
        self.records.push(Record::Entries(new));
    }

    /// Follows `leader` and restarts the election timeout.
    fn record_leader_contact(&mut self, leader: MemberId) {
        let following = matches!(self.state, State::Follower(Some(known)) if known == leader);
        if !following {
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.last_leader_contact = self.now;
        self.reset_election_timer();
    }

    /// Returns the last index at which the leader's log may match: all entries of the conflicting
    /// term are skipped in one step.
    fn rejection_hint(&self, previous: Position) -> u64 {
        let last = self.log.last_position().index;
        if previous.index > last {
            return last;
        }
        let term = self.log.term_at(previous.index);
        let mut index = previous.index - 1;
        while index > self.commit_index && self.log.term_at(index) == term {
            index -= 1;
        }
        index
    }

    /// Replaces the log and the state machine by a snapshot.
    fn install_snapshot(&mut self, meta: SnapshotMeta, data: Vec<u8>) {
        let snapshot = Arc::new(Snapshot {
            data: data.into(),
            meta,
        });
        let index = snapshot.meta.position.index;
        self.log.reset(snapshot.clone());
        self.commit_index = index;
        self.applied_index = index;
        self.records.push(Record::Install(snapshot.clone()));
        self.effects.push(Effect::Restore(snapshot));
    }

    /// Collects the chunks of a snapshot, and installs it when it is complete.
    ///
    /// A snapshot whose last entry is already in the log is not needed, but shows that this entry
    /// is committed.
    fn on_install_snapshot(
        &mut self,
        from: MemberId,
        round: u64,
        meta: SnapshotMeta,
        offset: u64,
        data: &[u8],
        total: u64,
    ) {
        let position = meta.position;
        let term = self.hard_state.term;
        if position.index <= self.commit_index
            || self.log.term_at(position.index) == Some(position.term)
        {
            self.commit_up_to(position.index);
            let matched = position.index;
            return self.send_synced(from, term, Body::Accepted { matched, round });
        }
        if self.incoming.as_ref().is_none_or(|i| i.meta != meta) {
            let data = Vec::new();
            let meta = meta.clone();
            self.incoming = Some(IncomingSnapshot { data, meta });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let offset = incoming.data.len() as u64;
        if offset < total {
            let index = position.index;
            let received = Body::ReceivedChunk {
                index,
                offset,
                round,
            };
            return self.send_synced(from, term, received);
        }
        let data = self.incoming.take().map(|incoming| incoming.data);
        self.install_snapshot(meta, data.unwrap_or_default());
        let matched = position.index;
        self.send_synced(from, term, Body::Accepted { matched, round });
    }
}
