//! Automatic membership changes of a control group.
//!
//! A process that is not a member requests to join. The leader adds it as a learner, and promotes
//! it to voter once it has caught up and a voter is missing: a voter was removed, or has been
//! silent while the learner waits. A process that lost its disk returns with a new identity, so
//! the leader first removes the old identity at its address. A voter is removed only if a process
//! can replace it, and only one change is under way at a time.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    control::core::{ControlCore, Effect},
    prelude::*,
};

/// Interval at which the leader checks the membership, and a non-member requests to join.
const CHECK_INTERVAL_MS: u64 = 200;

/// Silence after which a learner that has caught up replaces a voter. Four times the silence that
/// starts an election, so that a voter back within it causes no membership change.
const VOTER_SILENT_MS: u64 = 2_000;

/// Silence after which a learner is removed; a live one requests to join again.
const LEARNER_SILENT_MS: u64 = 4_000;

const JOIN_REQUEST_VALID_MS: u64 = 1_000;

#[derive(Debug, Default)]
pub(super) struct MembershipManager {
    /// Requests to join, with their time of arrival.
    join_requests: BTreeMap<MemberId, (Member, u64)>,
    tick_at_ms: u64,
    /// When this member began to wait for a leader; `None` while one is known.
    leaderless_since_ms: Option<u64>,
}

impl ControlCore {
    pub(super) fn membership_tick_ms(&self) -> u64 {
        if self.options.target_voter_count == 0 {
            u64::MAX
        } else {
            self.membership_manager.tick_at_ms
        }
    }

    pub(super) fn on_join(&mut self, now: Now, it: Member) {
        if self.raft.is_leader() {
            self.membership_manager.join_requests.insert(it.id, (it, now.mono_ms));
        } else if let Some(to) = self.leader_address() {
            // The joining process may know only this member.
            self.effects.push(Effect::Send { to, message: Message::Join(it) });
        }
    }

    pub(super) fn tick_membership(&mut self, now: Now) {
        if self.options.target_voter_count == 0 || now.mono_ms < self.membership_manager.tick_at_ms
        {
            return;
        }
        self.membership_manager.tick_at_ms = now.mono_ms + CHECK_INTERVAL_MS;
        if self.raft.is_leader() {
            self.membership_manager.leaderless_since_ms = None;
            self.update_members(now);
        } else {
            self.request_join(now);
        }
    }

    /// Requests to join if no leader is known: this member may have been removed meanwhile.
    fn request_join(&mut self, now: Now) {
        if self.raft.leader().is_some() {
            self.membership_manager.leaderless_since_ms = None;
            return;
        }
        let since_ms = *self.membership_manager.leaderless_since_ms.get_or_insert(now.mono_ms);
        let own_id = self.raft.id();
        let is_voter = self.raft.members().voters.iter().any(|it| it.id == own_id);
        if is_voter && now.mono_ms < since_ms + VOTER_SILENT_MS {
            return;
        }
        let own = Member { id: own_id, address: self.options.address };
        let member_addresses = self.member_addresses();
        let recipients: std::collections::BTreeSet<SocketAddr> =
            self.options.control_addresses.iter().chain(&member_addresses).copied().collect();
        for to in recipients.into_iter().filter(|it| *it != own.address) {
            self.effects.push(Effect::Send { to, message: Message::Join(own.clone()) });
        }
    }

    fn update_members(&mut self, now: Now) {
        self.membership_manager
            .join_requests
            .retain(|_, (_, at_ms)| now.mono_ms < *at_ms + JOIN_REQUEST_VALID_MS);
        let Some((change, cause)) = self.next_change(now) else { return };
        let outcome = self.raft.change_members(now, change.clone());
        match outcome {
            Ok(index) => {
                tracing::info!(event = "membership_changed", change = ?change, cause, index, term = self.raft.term());
            }
            Err(error) => {
                tracing::debug!(event = "membership_kept", change = ?change, cause, ?error)
            }
        }
    }

    /// Returns the next membership change that is needed, and its cause.
    fn next_change(&self, now: Now) -> Option<(MemberChange, &'static str)> {
        let members = self.raft.members();
        let silence_ms = |id| self.raft.progress_of(id, now).map_or(u64::MAX, |(_, it, _)| it);
        let all_members = || members.voters.iter().chain(&members.learners);
        for (joiner, _) in self.membership_manager.join_requests.values() {
            if all_members().any(|it| it.id == joiner.id) {
                continue;
            }
            // The process at this address has lost the disk with its earlier identity.
            if let Some(old) = all_members().find(|it| it.address == joiner.address) {
                return Some((MemberChange::Remove(old.id), "disk_lost"));
            }
            return Some((MemberChange::Add(joiner.clone()), "asked_to_join"));
        }
        if let Some(it) = members.learners.iter().find(|it| LEARNER_SILENT_MS < silence_ms(it.id)) {
            return Some((MemberChange::Remove(it.id), "learner_silent"));
        }
        let learner = members.learners.iter().find(|it| self.is_promotable(it.id, now))?;
        if members.voters.len() < self.options.target_voter_count {
            return Some((MemberChange::Promote(learner.id), "voter_missing"));
        }
        let is_silent = |it: &&Member| VOTER_SILENT_MS < silence_ms(it.id);
        let silent_voter =
            members.voters.iter().filter(|it| it.id != self.raft.id()).find(is_silent)?;
        Some((MemberChange::Remove(silent_voter.id), "voter_silent"))
    }

    /// Returns whether a learner has every committed entry and still responds.
    fn is_promotable(&self, id: MemberId, now: Now) -> bool {
        let progress = self.raft.progress_of(id, now);
        progress.is_some_and(|(matched, silent_ms, _)| {
            self.raft.commit_index() <= matched && silent_ms < VOTER_SILENT_MS / 2
        })
    }
}
