//! Entries on their way from the leader to the members.

use std::sync::Arc;

use crate::{
    control::log::{
        raft::Raft,
        record::{DiskWrite, weight_bytes},
    },
    prelude::*,
};

/// Entries of one append, in memory: a configuration of a thousand queues is half of it.
const BATCH_BYTES: usize = 1 << 20;

impl Raft {
    pub(super) fn append(&mut self, entry: Arc<LogEntry>) {
        if let EntryBody::Members(it) = &entry.body {
            self.memberships.push_back((entry.index, it.clone()));
        }
        self.entries_bytes += weight_bytes(&entry);
        self.entries.push_back(entry.clone());
        match self.pending.last_mut() {
            Some(DiskWrite::Append(list)) => list.push(entry),
            _ => self.pending.push(DiskWrite::Append(vec![entry])),
        }
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        let kept = (index - self.base_index - 1) as usize;
        let cut: usize = self.entries.iter().skip(kept).map(|it| weight_bytes(it)).sum();
        self.entries_bytes -= cut;
        self.entries.truncate(kept);
        while 1 < self.memberships.len()
            && self.memberships.back().is_some_and(|(at, _)| index <= *at)
        {
            self.memberships.pop_back();
        }
        self.durable_index = self.durable_index.min(index - 1);
        for (_, last_index) in &mut self.in_flight {
            *last_index = (*last_index).min(index - 1);
        }
        self.pending.push(DiskWrite::Truncate { from_index: index });
    }

    pub(super) fn broadcast(&mut self, now: Now) {
        self.heartbeat_at_ms = now.mono_ms + self.options.heartbeat_ms;
        let ids: Vec<_> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_append(now, id);
        }
        self.advance_commit();
        if self.transfer_since_ms.is_some() {
            self.try_transfer_leadership(now);
        }
    }

    pub(super) fn send_entries(&mut self, now: Now, to: MemberId) {
        let last_index = self.last_index();
        let Some(it) = self.progress.get(&to) else { return };
        let in_window = it.next_index <= it.match_index + self.options.window_entries;
        if it.next_index <= last_index && it.snapshot_offset_bytes.is_none() && in_window {
            self.send_append(now, to);
        }
    }

    /// Sends entries from the member's next index on, or an empty append as heartbeat.
    pub(super) fn send_append(&mut self, now: Now, to: MemberId) {
        let Some(it) = self.progress.get(&to).copied() else { return };
        let previous_index = it.next_index - 1;
        let Some(previous_term) = self.term_at(previous_index) else {
            return self.send_chunk(now, to);
        };
        let in_window = it.next_index <= it.match_index + self.options.window_entries;
        // To a member that does not answer, entries would only pile up on the way: 100
        // configurations of 400 KB in ten seconds are 40 MB without this rule and under 6 with it
        // (tests/log_gathering.rs). Its next answer to an empty append tells from where on it
        // needs them.
        let is_silent = self.options.election_timeout_ms <= it.silent_ms(now.mono_ms);
        let limit = if in_window && !is_silent { self.options.batch_entries } else { 0 };
        let first = (it.next_index - self.base_index - 1) as usize;
        let mut bytes = 0;
        let fits = |it: &&Arc<LogEntry>| {
            let before_bytes = bytes;
            bytes += weight_bytes(it);
            before_bytes < BATCH_BYTES
        };
        let entries: Vec<_> = self
            .entries
            .iter()
            .skip(first)
            .take(limit)
            .take_while(fits)
            .map(|it| (**it).clone())
            .collect();
        if let Some(it) = self.progress.get_mut(&to) {
            it.next_index += entries.len() as u64;
        }
        let request = AppendRequest {
            term: self.hard_state.term,
            previous_index,
            previous_term,
            commit_index: self.commit_index,
            sent_ms: now.mono_ms,
            entries,
        };
        self.send_now(to, RaftBody::Append(request));
    }

    pub(super) fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let reached = self.quorum_value(|id| match self.progress.get(&id) {
            _ if id == self.id => self.durable_index,
            Some(it) => it.match_index,
            None => 0,
        });
        if self.commit_index < reached && self.term_at(reached) == Some(self.hard_state.term) {
            self.commit_index = reached;
        }
    }

    pub(super) fn on_append(&mut self, now: Now, from: MemberId, it: AppendRequest) {
        if it.term < self.hard_state.term {
            let reply = self.append_reply(false, 0, it.sent_ms);
            return self.send_durable(from, reply);
        }
        self.accept_leader(now, from, it.term);
        let last_index = self.last_index();
        match self.term_at(it.previous_index) {
            _ if it.previous_index < self.base_index.min(self.commit_index) => {
                // Behind what is kept, and so committed: told how far the logs are known equal.
                let reply =
                    self.append_reply(true, self.commit_index.min(self.durable_index), it.sent_ms);
                return self.send_durable(from, reply);
            }
            Some(term) if term == it.previous_term => (),
            Some(term) => {
                let mut back = it.previous_index;
                while self.commit_index < back && self.term_at(back) == Some(term) {
                    back -= 1;
                }
                let reply = self.append_reply(false, back, it.sent_ms);
                return self.send_durable(from, reply);
            }
            None => {
                let reply = self.append_reply(false, last_index.min(it.previous_index), it.sent_ms);
                return self.send_durable(from, reply);
            }
        }
        let match_index = it.previous_index + it.entries.len() as u64;
        for entry in it.entries {
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => (),
            }
            self.append(Arc::new(entry));
        }
        self.commit_index = self.commit_index.max(it.commit_index.min(match_index));
        self.note_catch_up(it.term, it.commit_index, it.sent_ms);
        let reply = self.append_reply(true, match_index, it.sent_ms);
        self.send_durable(from, reply);
    }

    pub(super) fn note_catch_up(&mut self, term: u64, commit_index: u64, sent_ms: u64) {
        let first_ms = *self.first_sent_ms.get_or_insert(sent_ms);
        let is_fresh = first_ms + self.options.election_timeout_ms < sent_ms;
        if self.catch_up_index.is_none() && is_fresh && self.term_at(commit_index) == Some(term) {
            self.catch_up_index = Some(commit_index);
        }
    }

    pub(super) fn append_reply(&self, matched: bool, match_index: u64, sent_ms: u64) -> RaftBody {
        RaftBody::AppendReply(AppendReply {
            term: self.hard_state.term,
            matched,
            match_index,
            sent_ms,
            in_force: self.in_force,
        })
    }

    pub(super) fn on_append_reply(&mut self, now: Now, from: MemberId, it: AppendReply) {
        if self.hard_state.term < it.term {
            return self.follow(now, it.term, None);
        }
        if !self.is_leader() || it.term < self.hard_state.term {
            return;
        }
        let last_index = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.acked_sent_ms = progress.acked_sent_ms.max(it.sent_ms);
        progress.last_reply_ms = now.mono_ms;
        progress.in_force = it.in_force.0;
        if it.matched {
            progress.acknowledge(it.match_index.min(last_index));
            self.advance_commit();
        } else if it.sent_ms < progress.resent_ms {
            // Heartbeats that a cut had kept back are all answered at its end: 70 of them had the
            // same entries sent 70 times, 380 MB where 40 were missing.
            return;
        } else if progress.match_index <= it.match_index || progress.snapshot_offset_bytes.is_none()
        {
            progress.resent_ms = now.mono_ms;
            progress.next_index =
                (it.match_index + 1).clamp(progress.match_index + 1, last_index + 1);
        }
        if self.progress.get(&from).is_some_and(|it| it.next_index <= self.flushed_index) {
            self.send_entries(now, from);
        }
        if self.transfer_since_ms.is_some() && !self.transfer_sent {
            self.try_transfer_leadership(now);
        }
    }
}
