//! Replication of entries from the leader to the other members.

use std::sync::Arc;

use crate::{
    control::log::{
        raft::Raft,
        record::{DiskWrite, estimated_bytes},
    },
    prelude::*,
};

/// Estimated memory of the entries at which an append is full. A configuration of 1,000 queues takes
/// half of it.
const BATCH_MAX_BYTES: usize = 1 << 20;

impl Raft {
    pub(super) fn append(&mut self, entry: Arc<LogEntry>) {
        if let EntryBody::Members(it) = &entry.body {
            self.memberships.push_back((entry.index, it.clone()));
        }
        self.entries_bytes += estimated_bytes(&entry);
        self.entries.push_back(entry.clone());
        match self.pending_writes.last_mut() {
            Some(DiskWrite::Append(list)) => list.push(entry),
            _ => self.pending_writes.push(DiskWrite::Append(vec![entry])),
        }
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        let kept_count = (index - self.base_index - 1) as usize;
        let removed_bytes: usize =
            self.entries.iter().skip(kept_count).map(|it| estimated_bytes(it)).sum();
        self.entries_bytes -= removed_bytes;
        self.entries.truncate(kept_count);
        while 1 < self.memberships.len()
            && self.memberships.back().is_some_and(|(changed_index, _)| index <= *changed_index)
        {
            self.memberships.pop_back();
        }
        self.durable_index = self.durable_index.min(index - 1);
        for (_, last_index) in &mut self.in_flight_writes {
            *last_index = (*last_index).min(index - 1);
        }
        self.pending_writes.push(DiskWrite::Truncate { from_index: index });
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
        let Some(progress) = self.progress.get(&to) else { return };
        let in_window = progress.next_index <= progress.match_index + self.options.window_entries;
        if progress.next_index <= last_index
            && progress.snapshot_offset_bytes.is_none()
            && in_window
        {
            self.send_append(now, to);
        }
    }

    /// Sends the entries from the member's next index on, or an empty append as a heartbeat.
    pub(super) fn send_append(&mut self, now: Now, to: MemberId) {
        let Some(progress) = self.progress.get(&to).copied() else { return };
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.term_at(previous_index) else {
            return self.send_snapshot_chunk(now, to);
        };
        let in_window = progress.next_index <= progress.match_index + self.options.window_entries;
        // Entries for a member that does not answer would pile up in transit: 100 configurations of
        // 400 KB in 10 s take 40 MB without this rule and less than 6 MB with it
        // (tests/log_gathering.rs). Its next answer to an empty append gives the index to resend from.
        let is_silent = self.options.election_timeout_ms <= progress.silent_ms(now.mono_ms);
        let entries_max = if in_window && !is_silent { self.options.batch_entries } else { 0 };
        let first_position = (progress.next_index - self.base_index - 1) as usize;
        let mut bytes = 0;
        let fits = |it: &&Arc<LogEntry>| {
            let before_bytes = bytes;
            bytes += estimated_bytes(it);
            before_bytes < BATCH_MAX_BYTES
        };
        let entries: Vec<_> = self
            .entries
            .iter()
            .skip(first_position)
            .take(entries_max)
            .take_while(fits)
            .map(|it| (**it).clone())
            .collect();
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.next_index += entries.len() as u64;
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
        let quorum_index = self.quorum_value(|id| match self.progress.get(&id) {
            _ if id == self.id => self.durable_index,
            Some(it) => it.match_index,
            None => 0,
        });
        if self.commit_index < quorum_index
            && self.term_at(quorum_index) == Some(self.hard_state.term)
        {
            self.commit_index = quorum_index;
        }
    }

    pub(super) fn on_append(&mut self, now: Now, from: MemberId, request: AppendRequest) {
        if request.term < self.hard_state.term {
            let reply = self.append_reply(false, 0, request.sent_ms);
            return self.send_when_durable(from, reply);
        }
        self.accept_leader(now, from, request.term);
        let last_index = self.last_index();
        match self.term_at(request.previous_index) {
            _ if request.previous_index < self.base_index.min(self.commit_index) => {
                // Older than the retained entries, and so committed: report how far the logs match.
                let reply = self.append_reply(
                    true,
                    self.commit_index.min(self.durable_index),
                    request.sent_ms,
                );
                return self.send_when_durable(from, reply);
            }
            Some(term) if term == request.previous_term => (),
            Some(term) => {
                let mut conflict_index = request.previous_index;
                while self.commit_index < conflict_index
                    && self.term_at(conflict_index) == Some(term)
                {
                    conflict_index -= 1;
                }
                let reply = self.append_reply(false, conflict_index, request.sent_ms);
                return self.send_when_durable(from, reply);
            }
            None => {
                let reply = self.append_reply(
                    false,
                    last_index.min(request.previous_index),
                    request.sent_ms,
                );
                return self.send_when_durable(from, reply);
            }
        }
        let match_index = request.previous_index + request.entries.len() as u64;
        for entry in request.entries {
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => (),
            }
            self.append(Arc::new(entry));
        }
        self.commit_index = self.commit_index.max(request.commit_index.min(match_index));
        self.note_catch_up(request.term, request.commit_index, request.sent_ms);
        let reply = self.append_reply(true, match_index, request.sent_ms);
        self.send_when_durable(from, reply);
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

    pub(super) fn on_append_reply(&mut self, now: Now, from: MemberId, reply: AppendReply) {
        if self.hard_state.term < reply.term {
            return self.become_follower(now, reply.term, None);
        }
        if !self.is_leader() || reply.term < self.hard_state.term {
            return;
        }
        let last_index = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.acked_sent_ms = progress.acked_sent_ms.max(reply.sent_ms);
        progress.last_reply_ms = now.mono_ms;
        progress.in_force = reply.in_force.0;
        if reply.matched {
            progress.acknowledge(reply.match_index.min(last_index));
            self.advance_commit();
        } else if reply.sent_ms < progress.resent_ms {
            // Heartbeats delayed by a network partition are all answered at its end. Without this
            // check 70 of them caused 70 copies of the same entries: 380 MB instead of 40 MB.
            return;
        } else if progress.match_index <= reply.match_index
            || progress.snapshot_offset_bytes.is_none()
        {
            progress.resent_ms = now.mono_ms;
            progress.next_index =
                (reply.match_index + 1).clamp(progress.match_index + 1, last_index + 1);
        }
        if self.progress.get(&from).is_some_and(|it| it.next_index <= self.flushed_index) {
            self.send_entries(now, from);
        }
        if self.transfer_since_ms.is_some() && !self.transfer_sent {
            self.try_transfer_leadership(now);
        }
    }
}
