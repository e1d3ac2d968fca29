//! Elections, and the planned hand-over of leadership.

use std::collections::BTreeSet;

use crate::{
    control::log::{
        raft::{Raft, Role},
        record::HardState,
    },
    prelude::*,
};

impl Raft {
    /// Hands leadership to the voter that is furthest ahead, for a planned stop.
    pub fn transfer_leadership(&mut self, now: Now) {
        if self.is_leader() && self.transfer_since_ms.is_none() {
            self.transfer_since_ms = Some(now.mono_ms);
            self.try_transfer_leadership(now);
        }
    }

    pub(super) fn has_quorum(&self) -> bool {
        let voters = &self.members().voters;
        let given = voters.iter().filter(|it| self.votes.contains(&it.id)).count();
        voters.len() / 2 < given
    }

    pub(super) fn must_step_down(&self, now: Now) -> bool {
        let timeout_ms = self.options.election_timeout_ms;
        let silent_since_ms = self.quorum_acked_ms(now).max(self.leader_since_ms);
        let handed_over_at_ms = self.transfer_since_ms.map(|it| it + timeout_ms * 2);
        silent_since_ms + timeout_ms < now.mono_ms
            || handed_over_at_ms.is_some_and(|it| it < now.mono_ms)
    }

    pub(super) fn reset_election(&mut self, now: Now) {
        let timeout_ms = self.options.election_timeout_ms;
        self.election_at_ms = now.mono_ms + timeout_ms + self.random.u64(0..timeout_ms);
    }

    pub(super) fn follow(&mut self, now: Now, term: u64, leader: Option<MemberId>) {
        if self.leader != leader {
            // Another leader, another clock.
            self.first_sent_ms = None;
        }
        if self.hard_state.term < term {
            self.set_hard(HardState { term, vote: None });
        }
        if self.role == Role::Leader || self.leader != leader {
            self.incoming_snapshot = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.transfer_since_ms = None;
        self.transfer_sent = false;
        self.reset_election(now);
    }

    pub(super) fn stand(&mut self, now: Now, pre_vote: bool, transfer: bool) {
        self.reset_election(now);
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        let term = self.hard_state.term + 1;
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_hard(HardState { term, vote: Some(self.id) });
        }
        if pre_vote && self.has_quorum() {
            return self.stand(now, false, transfer);
        }
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        let request = VoteRequest { term, last_index, last_term, pre_vote, transfer };
        let voters: Vec<_> =
            self.members().voters.iter().map(|it| it.id).filter(|it| *it != self.id).collect();
        for to in voters {
            self.send_durable(to, RaftBody::Vote(request));
        }
    }

    pub(super) fn lead(&mut self, now: Now) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since_ms = now.mono_ms;
        self.transfer_since_ms = None;
        self.transfer_sent = false;
        self.progress.clear();
        self.refresh_progress(now);
        // Nothing of earlier terms counts as committed until an entry of this term is.
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
            // Once this was sent another may lead at any moment, so the lease never comes back
            // in this term; a leader whose offer got lost steps down instead.
            self.transfer_sent = true;
            self.send_now(to, RaftBody::TimeoutNow(TimeoutNow { term: self.hard_state.term }));
        }
    }

    pub(super) fn on_vote(&mut self, now: Now, from: MemberId, it: VoteRequest) {
        let barred = now.mono_ms < self.vote_blocked_until_ms && !it.transfer;
        let leads = self.is_leader() && !it.transfer;
        if barred || leads || it.term < self.hard_state.term {
            let reply =
                VoteReply { term: self.hard_state.term, granted: false, pre_vote: it.pre_vote };
            return self.send_durable(from, RaftBody::VoteReply(reply));
        }
        let last_index = self.last_index();
        let own = (self.term_at(last_index).unwrap_or(0), last_index);
        let up_to_date = own <= (it.last_term, it.last_index);
        if it.pre_vote {
            let granted = up_to_date && self.hard_state.term < it.term;
            // A denial carries this member's own term: the asked one was never begun.
            let term = if granted { it.term } else { self.hard_state.term };
            let reply = VoteReply { term, granted, pre_vote: true };
            return self.send_durable(from, RaftBody::VoteReply(reply));
        }
        if self.hard_state.term < it.term {
            self.follow(now, it.term, None);
        }
        let free = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        let granted = up_to_date && free && self.role == Role::Follower;
        if granted {
            self.set_hard(HardState { term: it.term, vote: Some(from) });
            self.reset_election(now);
        }
        let reply = VoteReply { term: self.hard_state.term, granted, pre_vote: false };
        self.send_durable(from, RaftBody::VoteReply(reply));
    }

    pub(super) fn on_vote_reply(&mut self, now: Now, from: MemberId, it: VoteReply) {
        match self.role {
            Role::PreCandidate
                if it.pre_vote && it.granted && it.term == self.hard_state.term + 1 =>
            {
                self.votes.insert(from);
                if self.has_quorum() {
                    self.stand(now, false, false);
                }
            }
            Role::Candidate if !it.pre_vote && it.granted && it.term == self.hard_state.term => {
                self.votes.insert(from);
                if self.has_quorum() {
                    self.lead(now);
                }
            }
            _ if !it.granted && self.hard_state.term < it.term => self.follow(now, it.term, None),
            _ => (),
        }
    }

    pub(super) fn accept_leader(&mut self, now: Now, from: MemberId, term: u64) {
        if self.hard_state.term < term || self.role != Role::Follower || self.leader != Some(from) {
            self.follow(now, term, Some(from));
        }
        self.reset_election(now);
        self.vote_blocked_until_ms = now.mono_ms + self.options.election_timeout_ms;
    }
}
