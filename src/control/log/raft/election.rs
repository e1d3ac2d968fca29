//! Elections and planned leadership transfers.

use std::collections::BTreeSet;

use crate::{
    control::log::{
        raft::{Raft, Role},
        record::HardState,
    },
    prelude::*,
};

impl Raft {
    /// Transfers leadership to a voter whose log is complete, for a planned stop.
    pub fn transfer_leadership(&mut self, now: Now) {
        if self.is_leader() && self.transfer_since_ms.is_none() {
            self.transfer_since_ms = Some(now.mono_ms);
            self.try_transfer_leadership(now);
        }
    }

    pub(super) fn has_vote_quorum(&self) -> bool {
        let voters = &self.members().voters;
        let granted = voters.iter().filter(|it| self.granted_votes.contains(&it.id)).count();
        voters.len() / 2 < granted
    }

    pub(super) fn must_step_down(&self, now: Now) -> bool {
        let timeout_ms = self.options.election_timeout_ms;
        let silent_since_ms = self.quorum_acked_ms(now).max(self.leader_since_ms);
        let transfer_deadline_ms = self.transfer_since_ms.map(|it| it + timeout_ms * 2);
        silent_since_ms + timeout_ms < now.mono_ms
            || transfer_deadline_ms.is_some_and(|it| it < now.mono_ms)
    }

    pub(super) fn reset_election_timer(&mut self, now: Now) {
        let timeout_ms = self.options.election_timeout_ms;
        self.election_at_ms = now.mono_ms + timeout_ms + self.random.u64(0..timeout_ms);
    }

    pub(super) fn become_follower(&mut self, now: Now, term: u64, leader: Option<MemberId>) {
        if self.leader != leader {
            // The clocks of different leaders are not comparable.
            self.first_sent_ms = None;
        }
        if self.hard_state.term < term {
            self.set_hard_state(HardState { term, vote: None });
        }
        if self.role == Role::Leader || self.leader != leader {
            self.incoming_snapshot = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.transfer_since_ms = None;
        self.transfer_sent = false;
        self.reset_election_timer(now);
    }

    pub(super) fn start_election(&mut self, now: Now, pre_vote: bool, transfer: bool) {
        self.reset_election_timer(now);
        self.leader = None;
        self.granted_votes = BTreeSet::from([self.id]);
        let term = self.hard_state.term + 1;
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_hard_state(HardState { term, vote: Some(self.id) });
        }
        if pre_vote && self.has_vote_quorum() {
            return self.start_election(now, false, transfer);
        }
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        let request = VoteRequest { term, last_index, last_term, pre_vote, transfer };
        let voters: Vec<_> =
            self.members().voters.iter().map(|it| it.id).filter(|it| *it != self.id).collect();
        for to in voters {
            self.send_when_durable(to, RaftBody::Vote(request));
        }
    }

    pub(super) fn become_leader(&mut self, now: Now) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since_ms = now.mono_ms;
        self.transfer_since_ms = None;
        self.transfer_sent = false;
        self.progress.clear();
        self.refresh_progress(now);
        // Entries of earlier terms count as committed only once an entry of this term is.
        if self.propose(now, EntryBody::Noop).is_ok() {
            self.broadcast(now);
        }
    }

    pub(super) fn try_transfer_leadership(&mut self, now: Now) {
        let last_index = self.last_index();
        let voters: Vec<_> = self.members().voters.iter().map(|it| it.id).collect();
        let ready = voters.into_iter().find(|id| {
            self.progress.get(id).is_some_and(|it| {
                it.match_index == last_index && self.has_replied_recently(it, now)
            })
        });
        if let Some(to) = ready {
            // After this message another member may become leader at any moment, so the lease is
            // not regained in this term. If the message is lost, this leader steps down.
            self.transfer_sent = true;
            self.send_now(to, RaftBody::TimeoutNow(TimeoutNow { term: self.hard_state.term }));
        }
    }

    pub(super) fn on_vote(&mut self, now: Now, from: MemberId, request: VoteRequest) {
        let is_blocked = now.mono_ms < self.vote_blocked_until_ms && !request.transfer;
        let keeps_leading = self.is_leader() && !request.transfer;
        if is_blocked || keeps_leading || request.term < self.hard_state.term {
            let reply = VoteReply {
                term: self.hard_state.term,
                granted: false,
                pre_vote: request.pre_vote,
            };
            return self.send_when_durable(from, RaftBody::VoteReply(reply));
        }
        let last_index = self.last_index();
        let own_last = (self.term_at(last_index).unwrap_or(0), last_index);
        let up_to_date = own_last <= (request.last_term, request.last_index);
        if request.pre_vote {
            let granted = up_to_date && self.hard_state.term < request.term;
            // A denial carries this member's own term, as a pre-vote does not start the new one.
            let term = if granted { request.term } else { self.hard_state.term };
            let reply = VoteReply { term, granted, pre_vote: true };
            return self.send_when_durable(from, RaftBody::VoteReply(reply));
        }
        if self.hard_state.term < request.term {
            self.become_follower(now, request.term, None);
        }
        let can_vote = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        let granted = up_to_date && can_vote && self.role == Role::Follower;
        if granted {
            self.set_hard_state(HardState { term: request.term, vote: Some(from) });
            self.reset_election_timer(now);
        }
        let reply = VoteReply { term: self.hard_state.term, granted, pre_vote: false };
        self.send_when_durable(from, RaftBody::VoteReply(reply));
    }

    pub(super) fn on_vote_reply(&mut self, now: Now, from: MemberId, reply: VoteReply) {
        match self.role {
            Role::PreCandidate
                if reply.pre_vote && reply.granted && reply.term == self.hard_state.term + 1 =>
            {
                self.granted_votes.insert(from);
                if self.has_vote_quorum() {
                    self.start_election(now, false, false);
                }
            }
            Role::Candidate
                if !reply.pre_vote && reply.granted && reply.term == self.hard_state.term =>
            {
                self.granted_votes.insert(from);
                if self.has_vote_quorum() {
                    self.become_leader(now);
                }
            }
            _ if !reply.granted && self.hard_state.term < reply.term => {
                self.become_follower(now, reply.term, None)
            }
            _ => (),
        }
    }

    pub(super) fn accept_leader(&mut self, now: Now, from: MemberId, term: u64) {
        if self.hard_state.term < term || self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(now, term, Some(from));
        }
        self.reset_election_timer(now);
        self.vote_blocked_until_ms = now.mono_ms + self.options.election_timeout_ms;
    }
}
