//! Membership of the group, which changes by one member at a time.

use std::collections::BTreeSet;

use crate::{
    control::log::{
        progress::Progress,
        raft::{ProposeError, Raft},
    },
    prelude::*,
};

impl Raft {
    /// Returns the membership in force.
    pub fn members(&self) -> &Membership {
        &self.memberships.back().expect("the first membership is never removed").1
    }

    /// Returns the address of a member of the membership in force.
    pub fn address_of(&self, id: MemberId) -> Option<std::net::SocketAddr> {
        let members = self.members();
        members.voters.iter().chain(&members.learners).find(|it| it.id == id).map(|it| it.address)
    }

    /// Proposes a membership change.
    ///
    /// # Errors
    ///
    /// Returns the reason when the change is rejected; the membership is then unchanged.
    pub fn change_members(&mut self, now: Now, change: MemberChange) -> Result<u64, ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        let (changed_index, current) =
            self.memberships.back().cloned().expect("a membership is always known");
        if self.commit_index < changed_index
            || self.term_at(self.commit_index) != Some(self.hard_state.term)
        {
            return Err(ProposeError::MembershipBusy);
        }
        let mut members = current;
        match change {
            MemberChange::Add(member) => {
                let mut all = members.voters.iter().chain(&members.learners);
                if all.any(|other| other.id == member.id || other.address == member.address) {
                    return Err(ProposeError::MembershipUnsafe(
                        "a member with this identity or address exists: remove it first",
                    ));
                }
                members.learners.push(member);
            }
            MemberChange::Promote(id) => {
                let Some(position) = members.learners.iter().position(|it| it.id == id) else {
                    return Err(ProposeError::MembershipUnsafe("it is not a learner"));
                };
                // A voter that lacks committed entries would count towards the quorum although fewer
                // copies exist than promised; a disk loss soon after could then lose an entry.
                let caught_up = self.progress.get(&id).is_some_and(|it| {
                    self.commit_index <= it.match_index && self.has_replied_recently(it, now)
                });
                if !caught_up {
                    return Err(ProposeError::MembershipUnsafe("the learner has not caught up"));
                }
                let member = members.learners.remove(position);
                members.voters.push(member);
            }
            MemberChange::Remove(id) => {
                if id == self.id {
                    return Err(ProposeError::MembershipUnsafe(
                        "it leads: stop it first, so that it hands over",
                    ));
                }
                let count_before = members.voters.len() + members.learners.len();
                members.voters.retain(|it| it.id != id);
                members.learners.retain(|it| it.id != id);
                if members.voters.len() + members.learners.len() == count_before {
                    return Err(ProposeError::MembershipUnsafe("no such member"));
                }
            }
        }
        let live_voters = members.voters.iter().filter(|it| {
            it.id == self.id
                || self.progress.get(&it.id).is_some_and(|it| self.has_replied_recently(it, now))
        });
        if live_voters.count() < members.voters.len() / 2 + 1 {
            return Err(ProposeError::MembershipUnsafe(
                "the voters left would have no live majority",
            ));
        }
        let res = self.propose(now, EntryBody::Members(members))?;
        self.refresh_progress(now);
        Ok(res)
    }

    pub(super) fn members_at(&self, index: u64) -> Membership {
        let found =
            self.memberships.iter().rev().find(|(changed_index, _)| *changed_index <= index);
        found
            .or(self.memberships.front())
            .map(|(_, it)| it.clone())
            .expect("a membership is always known")
    }

    pub(super) fn is_voter(&self, id: MemberId) -> bool {
        self.members().voters.iter().any(|it| it.id == id)
    }

    pub(super) fn has_replied_recently(&self, progress: &Progress, now: Now) -> bool {
        now.mono_ms < progress.last_reply_ms + self.options.election_timeout_ms
    }

    /// Returns the sending time of the newest message that a majority has answered.
    pub(super) fn quorum_acked_ms(&self, now: Now) -> u64 {
        self.quorum_value(|id| match self.progress.get(&id) {
            _ if id == self.id => now.mono_ms,
            Some(it) => it.acked_sent_ms,
            None => 0,
        })
    }

    /// Returns the largest value that a majority of the voters reaches.
    pub(super) fn quorum_value(&self, value_of: impl Fn(MemberId) -> u64) -> u64 {
        let mut values: Vec<_> = self.members().voters.iter().map(|it| value_of(it.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    pub(super) fn refresh_progress(&mut self, now: Now) {
        let members = self.members().clone();
        let ids: BTreeSet<_> =
            members.voters.iter().chain(&members.learners).map(|it| it.id).collect();
        self.progress.retain(|id, _| ids.contains(id));
        let next_index = self.last_index() + 1;
        for id in ids {
            if id != self.id {
                self.progress.entry(id).or_insert_with(|| Progress::new(next_index, now.mono_ms));
            }
        }
    }
}
