//! A group that keeps its membership by itself.
//!
//! A process that finds itself in no membership asks to join. The leader takes it in as a
//! learner, and makes it a voter once it has caught up and a voter is missing: one was removed,
//! or has been silent while the newcomer waits. A disk that was lost comes back under a new
//! identity, so the old one at its address is removed first. No voter is ever removed without a
//! process that can take its place, and never more than one change is under way.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    control::core::{ControlCore, Effect},
    prelude::*,
};

/// Interval at which the leader looks after the membership, and an outsider asks to join.
const INTERVAL_MS: u64 = 200;

/// Silence after which a voter's place goes to a learner that has caught up. Four times the
/// silence that elects a new leader: what comes back within it costs no change of membership.
const VOTER_SILENT_MS: u64 = 2_000;

/// Silence after which a learner is forgotten; it asks again if it lives.
const LEARNER_SILENT_MS: u64 = 4_000;

/// Time for which a request to join counts.
const JOIN_VALID_MS: u64 = 1_000;

/// What is known of processes that want to join.
#[derive(Debug, Default)]
pub(super) struct MembershipManager {
    joining: BTreeMap<MemberId, (Member, u64)>,
    tick_at_ms: u64,
    /// When this member last heard a leader, or began to wait for one.
    led_ms: Option<u64>,
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
            self.membership_manager.joining.insert(it.id, (it, now.mono_ms));
        } else if let Some(to) = self.leader_address() {
            // Whoever joins may know none but this member.
            self.effects.push(Effect::Send { to, message: Message::Join(it) });
        }
    }

    pub(super) fn tick_membership(&mut self, now: Now) {
        if self.options.target_voter_count == 0 || now.mono_ms < self.membership_manager.tick_at_ms
        {
            return;
        }
        self.membership_manager.tick_at_ms = now.mono_ms + INTERVAL_MS;
        if self.raft.is_leader() {
            self.membership_manager.led_ms = None;
            self.keep_members(now);
        } else {
            self.ask_to_join(now);
        }
    }

    /// Asks to join when no leader is heard: this member may have been removed while it was away.
    fn ask_to_join(&mut self, now: Now) {
        if self.raft.leader().is_some() {
            self.membership_manager.led_ms = None;
            return;
        }
        let since_ms = *self.membership_manager.led_ms.get_or_insert(now.mono_ms);
        let own = self.raft.id();
        let is_voter = self.raft.members().voters.iter().any(|it| it.id == own);
        if is_voter && now.mono_ms < since_ms + VOTER_SILENT_MS {
            return;
        }
        let own = Member { id: own, address: self.options.address };
        let known = self.member_addresses();
        let to: std::collections::BTreeSet<SocketAddr> =
            self.options.control_addresses.iter().chain(&known).copied().collect();
        for to in to.into_iter().filter(|it| *it != own.address) {
            self.effects.push(Effect::Send { to, message: Message::Join(own.clone()) });
        }
    }

    fn keep_members(&mut self, now: Now) {
        self.membership_manager
            .joining
            .retain(|_, (_, at_ms)| now.mono_ms < *at_ms + JOIN_VALID_MS);
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

    /// Returns the next change that the membership needs, and why.
    fn next_change(&self, now: Now) -> Option<(MemberChange, &'static str)> {
        let members = self.raft.members();
        let silence_ms = |id| self.raft.progress_of(id, now).map_or(u64::MAX, |(_, it, _)| it);
        let all = || members.voters.iter().chain(&members.learners);
        for (joiner, _) in self.membership_manager.joining.values() {
            if all().any(|it| it.id == joiner.id) {
                continue;
            }
            // The process at that address no longer has the disk of the earlier identity.
            if let Some(old) = all().find(|it| it.address == joiner.address) {
                return Some((MemberChange::Remove(old.id), "disk_lost"));
            }
            return Some((MemberChange::Add(joiner.clone()), "asked_to_join"));
        }
        if let Some(it) = members.learners.iter().find(|it| LEARNER_SILENT_MS < silence_ms(it.id)) {
            return Some((MemberChange::Remove(it.id), "learner_silent"));
        }
        let learner = members.learners.iter().find(|it| self.has_copy(it.id, now))?;
        if members.voters.len() < self.options.target_voter_count {
            return Some((MemberChange::Promote(learner.id), "voter_missing"));
        }
        let is_silent = |it: &&Member| VOTER_SILENT_MS < silence_ms(it.id);
        let silent = members.voters.iter().filter(|it| it.id != self.raft.id()).find(is_silent)?;
        Some((MemberChange::Remove(silent.id), "voter_silent"))
    }

    /// Returns whether a learner holds everything committed and answers.
    fn has_copy(&self, id: MemberId, now: Now) -> bool {
        let progress = self.raft.progress_of(id, now);
        progress.is_some_and(|(matched, silent_ms, _)| {
            self.raft.commit_index() <= matched && silent_ms < VOTER_SILENT_MS / 2
        })
    }
}
