//! Leader election: pre-votes, votes and the lease that a vote must respect.

use std::collections::BTreeSet;

use crate::quorum::MemberId;
use crate::raft::Raft;
use crate::raft::State;
use crate::raft_entry::HardState;
use crate::raft_entry::Position;
use crate::raft_leader_state::LeaderState;
use crate::raft_message::Body;

impl Raft {
    /// Asks the other voters whether they would vote for this member.
    ///
    /// A member that cannot win keeps its term, so it does not depose a working leader. It asks
    /// again soon, because the others may have heard of the leader a moment later than this member.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.config().is_voter(self.identity) {
            return;
        }
        self.election_due = self.now + self.pre_vote_interval();
        self.refuse_reads();
        self.state = State::PreCandidate(BTreeSet::new());
        let last = self.log.last_position();
        let term = self.hard_state.term + 1;
        for peer in self.other_voters() {
            self.send(peer, term, Body::PreVote { last });
        }
        self.count_vote(self.identity);
    }

    /// Counts a granted vote or pre-vote, and moves on once a majority has granted it.
    pub(crate) fn count_vote(&mut self, voter: MemberId) {
        let config = self.log.config();
        match &mut self.state {
            State::Candidate(votes) => {
                votes.insert(voter);
                if config.has_majority(|id| votes.contains(&id)) {
                    self.become_leader();
                }
            }
            State::PreCandidate(votes) => {
                votes.insert(voter);
                if config.has_majority(|id| votes.contains(&id)) {
                    self.start_election();
                }
            }
            State::Follower(_) | State::Leader(_) => {}
        }
    }

    /// Becomes a follower in `term`, of `leader` when it is known.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        self.refuse_reads();
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        let was_follower = matches!(self.state, State::Follower(_));
        self.state = State::Follower(leader);
        if !was_follower {
            self.reset_election_timer();
        }
    }

    pub(crate) fn on_pre_vote(&mut self, from: MemberId, term: u64, last: Position) {
        let granted = term > self.hard_state.term
            && last >= self.log.last_position()
            && !self.withholds_vote()
            && !self.takes_precedence(from, last);
        if granted && matches!(self.state, State::PreCandidate(_)) {
            self.become_follower(self.hard_state.term, None);
        }
        let reply = if granted { term } else { self.hard_state.term };
        self.send(from, reply, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: MemberId, term: u64, granted: bool) {
        let expected = term == self.hard_state.term + 1;
        if granted && expected && matches!(self.state, State::PreCandidate(_)) {
            self.count_vote(from);
        }
    }

    pub(crate) fn on_vote(&mut self, from: MemberId, term: u64, last: Position) {
        if term < self.hard_state.term {
            let granted = false;
            return self.send_synced(from, self.hard_state.term, Body::VoteReply { granted });
        }
        let repeated = term == self.hard_state.term && self.hard_state.vote == Some(from);
        if self.withholds_vote() && !repeated {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = can_vote
            && last >= self.log.last_position()
            && matches!(self.state, State::Follower(_));
        if granted {
            let vote = Some(from);
            self.set_hard_state(HardState { term, vote });
            self.reset_election_timer();
        }
        self.send_synced(from, term, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, term: u64, granted: bool) {
        if granted && term == self.hard_state.term && matches!(self.state, State::Candidate(_)) {
            self.count_vote(from);
        }
    }

    /// Returns the voters other than this member.
    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.log.config().voters();
        voters.filter(|id| *id != self.identity).collect()
    }

    fn start_election(&mut self) {
        self.reset_election_timer();
        let hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.identity),
        };
        self.set_hard_state(hard_state);
        self.vote_sequence = self.sequence + 1;
        self.state = State::Candidate(BTreeSet::new());
        let last = self.log.last_position();
        for peer in self.other_voters() {
            self.send_synced(peer, hard_state.term, Body::Vote { last });
        }
    }

    fn become_leader(&mut self) {
        let last = self.log.last_position();
        let mut leader = LeaderState::new(self.now, self.log.last_time_ms(), last.index);
        let since = self.last_leader_contact;
        leader.track(self.log.config(), self.identity, last.index + 1, since);
        self.state = State::Leader(Box::new(leader));
        self.begin_term();
    }

    /// Returns whether this member asks for pre-votes itself, and goes before `other`. One of two
    /// that ask at the same moment has to give way, or neither gets a majority of the votes.
    fn takes_precedence(&self, other: MemberId, last: Position) -> bool {
        let asks = matches!(self.state, State::PreCandidate(_));
        asks && (self.log.last_position(), self.identity) > (last, other)
    }

    /// Returns whether this member must not vote yet, because a leader's lease relies on it.
    fn withholds_vote(&self) -> bool {
        match &self.state {
            State::Leader(leader) => leader.lease_end(&self.settings) > self.now,
            State::Candidate(_) | State::Follower(_) | State::PreCandidate(_) => {
                self.now.since(self.last_leader_contact) < self.settings.election_timeout_ms
            }
        }
    }
}
