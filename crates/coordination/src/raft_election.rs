//! Elections: pre-votes, votes and what a member promises by them.

use std::collections::BTreeSet;

use crate::quorum::MemberId;
use crate::raft::Raft;
use crate::raft::State;
use crate::raft_entry::HardState;
use crate::raft_entry::Position;
use crate::raft_leader_state::LeaderState;
use crate::raft_message::Body;

impl Raft {
    /// Asks whether the others would vote for this member.
    pub(crate) fn precampaign(&mut self) {
        self.defer_election();
        if !self.config().is_voter(self.identity) {
            return;
        }
        self.fail_reads();
        self.state = State::PreCandidate(BTreeSet::new());
        let last = self.log.last_position();
        let term = self.hard_state.term + 1;
        for peer in self.other_voters() {
            self.send(peer, term, Body::PreVote { last });
        }
        self.count(self.identity);
    }

    /// Counts a vote or a pre-vote of `voter`.
    pub(crate) fn count(&mut self, voter: MemberId) {
        let config = self.log.config();
        match &mut self.state {
            State::Candidate(votes) => {
                votes.insert(voter);
                if config.has_majority(|id| votes.contains(&id)) {
                    self.lead();
                }
            }
            State::PreCandidate(votes) => {
                votes.insert(voter);
                if config.has_majority(|id| votes.contains(&id)) {
                    self.campaign();
                }
            }
            State::Follower(_) | State::Leader(_) => {}
        }
    }

    /// Follows `leader`, or nobody yet, in `term`.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<MemberId>) {
        self.fail_reads();
        if term > self.hard_state.term {
            self.set_hard(HardState { term, vote: None });
        }
        let stays = matches!(self.state, State::Follower(_));
        self.state = State::Follower(leader);
        if !stays {
            self.defer_election();
        }
    }

    pub(crate) fn on_pre_vote(&mut self, from: MemberId, term: u64, last: Position) {
        let granted =
            term > self.hard_state.term && last >= self.log.last_position() && !self.promised();
        let reply = if granted { term } else { self.hard_state.term };
        self.send(from, reply, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: MemberId, term: u64, granted: bool) {
        let expected = term == self.hard_state.term + 1;
        if granted && expected && matches!(self.state, State::PreCandidate(_)) {
            self.count(from);
        }
    }

    pub(crate) fn on_vote(&mut self, from: MemberId, term: u64, last: Position) {
        if term < self.hard_state.term {
            let granted = false;
            return self.send_synced(from, self.hard_state.term, Body::VoteReply { granted });
        }
        let again = term == self.hard_state.term && self.hard_state.vote == Some(from);
        if self.promised() && !again {
            return;
        }
        if term > self.hard_state.term {
            self.follow(term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted =
            free && last >= self.log.last_position() && matches!(self.state, State::Follower(_));
        if granted {
            let vote = Some(from);
            self.set_hard(HardState { term, vote });
            self.defer_election();
        }
        self.send_synced(from, term, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, term: u64, granted: bool) {
        if granted && term == self.hard_state.term && matches!(self.state, State::Candidate(_)) {
            self.count(from);
        }
    }

    /// Returns the other members that vote.
    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.log.config().voters();
        voters.filter(|id| *id != self.identity).collect()
    }

    fn campaign(&mut self) {
        self.defer_election();
        let hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.identity),
        };
        self.set_hard(hard_state);
        self.voted = self.sequence + 1;
        self.state = State::Candidate(BTreeSet::new());
        let last = self.log.last_position();
        for peer in self.other_voters() {
            self.send_synced(peer, hard_state.term, Body::Vote { last });
        }
    }

    fn lead(&mut self) {
        let last = self.log.last_position();
        let mut leader = LeaderState::new(self.now, self.log.last_time_ms(), last.index);
        leader.track(self.log.config(), self.identity, last.index + 1);
        self.state = State::Leader(Box::new(leader));
        self.begin_term();
    }

    /// Returns whether a leader may count on this member not to vote yet.
    fn promised(&self) -> bool {
        match &self.state {
            State::Leader(leader) => leader.lease(&self.settings) > self.now,
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => {
                self.now.since(self.heard) < self.settings.election_timeout_ms
            }
        }
    }
}
