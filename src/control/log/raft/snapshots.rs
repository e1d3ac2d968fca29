//! Snapshots: creation, transfer in chunks to members that lag far behind, and installation.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    control::log::{
        raft::Raft,
        record::{DiskWrite, Snapshot, estimated_bytes},
    },
    prelude::*,
    util::checksum,
};

impl Raft {
    /// Replaces the log up to the applied index by a snapshot of the state at that index.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied_index;
        let Some(term) = self.term_at(index) else { return };
        let members = self.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, checksum: checksum(&data), data });
        let later_entries = self.entries.iter().filter(|it| index < it.index).cloned().collect();
        let write = DiskWrite::Snapshot { snapshot: snapshot.clone(), later_entries };
        self.pending_writes.push(write);
        self.snapshot = Some(snapshot);
        let keep_from = index.saturating_sub(self.options.retained_entries);
        while self.base_index < keep_from
            || (self.base_index < index && self.options.retained_bytes < self.entries_bytes)
        {
            let Some(entry) = self.entries.pop_front() else { break };
            self.entries_bytes -= estimated_bytes(&entry);
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        // The membership at the base is kept, because a truncation may go back to it.
        while 1 < self.memberships.len() && self.memberships[1].0 <= self.base_index {
            self.memberships.pop_front();
        }
    }

    pub(super) fn send_snapshot_chunk(&mut self, now: Now, to: MemberId) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let chunk_bytes = self.options.chunk_bytes;
        // An unanswered chunk is sent again, but only after its answer had time to arrive.
        let resend_ms = self.options.heartbeat_ms * 2;
        let Some(progress) = self.progress.get_mut(&to) else { return };
        if progress.snapshot_offset_bytes.is_some()
            && now.mono_ms < progress.chunk_sent_ms + resend_ms
        {
            return;
        }
        let start = *progress.snapshot_offset_bytes.get_or_insert(0) as usize;
        progress.chunk_sent_ms = now.mono_ms;
        let end = (start + chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            term: self.hard_state.term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset_bytes: start as u64,
            total_bytes: snapshot.data.len() as u64,
            checksum: snapshot.checksum,
            sent_ms: now.mono_ms,
            data: serde_bytes::ByteBuf::from(snapshot.data.get(start..end).unwrap_or_default()),
        };
        self.send_now(to, RaftBody::Snapshot(chunk));
    }

    pub(super) fn on_snapshot_chunk(&mut self, now: Now, from: MemberId, chunk: SnapshotChunk) {
        if chunk.term < self.hard_state.term {
            return self.send_when_durable(from, self.append_reply(false, 0, chunk.sent_ms));
        }
        self.accept_leader(now, from, chunk.term);
        if chunk.index <= self.commit_index {
            let reply =
                self.append_reply(true, self.commit_index.min(self.durable_index), chunk.sent_ms);
            return self.send_when_durable(from, reply);
        }
        if self.term_at(chunk.index) == Some(chunk.index_term) {
            // The log has the last entry of the snapshot, so it holds the same entries up to there,
            // which are committed. The later ones stay: this member may have acknowledged them.
            tracing::info!(
                event = "snapshot_not_needed",
                index = chunk.index,
                commit_index = self.commit_index,
                last_index = self.last_index()
            );
            self.incoming_snapshot = None;
            self.commit_index = chunk.index;
            let reply = self.append_reply(true, chunk.index, chunk.sent_ms);
            return self.send_when_durable(from, reply);
        }
        let is_same_snapshot = |(first, _): &(SnapshotChunk, Vec<u8>)| {
            (first.index, first.checksum) == (chunk.index, chunk.checksum)
        };
        if !self.incoming_snapshot.as_ref().is_some_and(is_same_snapshot) {
            self.incoming_snapshot = Some((chunk.clone(), Vec::new()));
        }
        let Some((_, data)) = &mut self.incoming_snapshot else { return };
        if data.len() as u64 == chunk.offset_bytes {
            data.extend_from_slice(&chunk.data);
        }
        let next_offset_bytes = data.len() as u64;
        if next_offset_bytes < chunk.total_bytes {
            let reply = SnapshotReply {
                term: chunk.term,
                index: chunk.index,
                next_offset_bytes,
                sent_ms: chunk.sent_ms,
            };
            return self.send_now(from, RaftBody::SnapshotReply(reply));
        }
        let Some((_, data)) = self.incoming_snapshot.take() else { return };
        if checksum(&data) != chunk.checksum {
            // Restart the transfer; a snapshot with a wrong checksum is never installed.
            let reply = SnapshotReply {
                term: chunk.term,
                index: chunk.index,
                next_offset_bytes: 0,
                sent_ms: chunk.sent_ms,
            };
            return self.send_now(from, RaftBody::SnapshotReply(reply));
        }
        self.install_snapshot(Snapshot {
            index: chunk.index,
            term: chunk.index_term,
            members: chunk.members,
            checksum: chunk.checksum,
            data,
        });
        let reply = self.append_reply(true, chunk.index, chunk.sent_ms);
        self.send_when_durable(from, reply);
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.entries.clear();
        self.entries_bytes = 0;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.commit_index = snapshot.index;
        self.durable_index = snapshot.index;
        for (_, last_index) in &mut self.in_flight_writes {
            *last_index = snapshot.index;
        }
        self.memberships = VecDeque::from([(snapshot.index, snapshot.members.clone())]);
        let write = DiskWrite::Snapshot { snapshot: snapshot.clone(), later_entries: Vec::new() };
        self.pending_writes.push(write);
        self.snapshots_to_install.push_back(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    pub(super) fn on_snapshot_reply(&mut self, now: Now, from: MemberId, reply: SnapshotReply) {
        if !self.is_leader() || reply.term != self.hard_state.term {
            return;
        }
        let snapshot_index = self.snapshot_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.acked_sent_ms = progress.acked_sent_ms.max(reply.sent_ms);
        progress.last_reply_ms = now.mono_ms;
        let offset_bytes = if reply.index == snapshot_index { reply.next_offset_bytes } else { 0 };
        progress.snapshot_offset_bytes = Some(offset_bytes);
        progress.chunk_sent_ms = 0;
        self.send_snapshot_chunk(now, from);
    }
}
