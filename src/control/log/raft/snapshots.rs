//! Snapshots: taken here, sent in chunks to members far behind, and installed.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    control::log::{
        raft::Raft,
        record::{DiskWrite, Snapshot, weight_bytes},
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
        self.pending.push(DiskWrite::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        let keep_from = index.saturating_sub(self.options.retained_entries);
        while self.base_index < keep_from
            || (self.base_index < index && self.options.retained_bytes < self.entries_bytes)
        {
            let Some(it) = self.entries.pop_front() else { break };
            self.entries_bytes -= weight_bytes(&it);
            self.base_index = it.index;
            self.base_term = it.term;
        }
        // The membership at the base stays, for a truncation back to it.
        while 1 < self.memberships.len() && self.memberships[1].0 <= self.base_index {
            self.memberships.pop_front();
        }
        // The log on disk now begins anew: the entries kept in memory go with it.
        let kept: Vec<_> = self.entries.iter().filter(|it| index < it.index).cloned().collect();
        if !kept.is_empty() {
            self.pending.push(DiskWrite::Append(kept));
        }
    }

    pub(super) fn send_chunk(&mut self, now: Now, to: MemberId) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let chunk_bytes = self.options.chunk_bytes;
        // An unanswered chunk is sent again, not before its answer had time to arrive.
        let resend_ms = self.options.heartbeat_ms * 2;
        let Some(it) = self.progress.get_mut(&to) else { return };
        if it.snapshot_offset_bytes.is_some() && now.mono_ms < it.chunk_sent_ms + resend_ms {
            return;
        }
        let offset = *it.snapshot_offset_bytes.get_or_insert(0) as usize;
        it.chunk_sent_ms = now.mono_ms;
        let end = (offset + chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            term: self.hard_state.term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset_bytes: offset as u64,
            total_bytes: snapshot.data.len() as u64,
            checksum: snapshot.checksum,
            sent_ms: now.mono_ms,
            data: serde_bytes::ByteBuf::from(snapshot.data.get(offset..end).unwrap_or_default()),
        };
        self.send_now(to, RaftBody::Snapshot(chunk));
    }

    pub(super) fn on_chunk(&mut self, now: Now, from: MemberId, it: SnapshotChunk) {
        if it.term < self.hard_state.term {
            return self.send_durable(from, self.append_reply(false, 0, it.sent_ms));
        }
        self.accept_leader(now, from, it.term);
        if it.index <= self.commit_index {
            let reply =
                self.append_reply(true, self.commit_index.min(self.durable_index), it.sent_ms);
            return self.send_durable(from, reply);
        }
        let same = |(first, _): &(SnapshotChunk, Vec<u8>)| {
            (first.index, first.checksum) == (it.index, it.checksum)
        };
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = Some((it.clone(), Vec::new()));
        }
        let Some((_, data)) = &mut self.incoming_snapshot else { return };
        if data.len() as u64 == it.offset_bytes {
            data.extend_from_slice(&it.data);
        }
        let next_offset_bytes = data.len() as u64;
        if next_offset_bytes < it.total_bytes {
            let reply = SnapshotReply {
                term: it.term,
                index: it.index,
                next_offset_bytes,
                sent_ms: it.sent_ms,
            };
            return self.send_now(from, RaftBody::SnapshotReply(reply));
        }
        let Some((_, data)) = self.incoming_snapshot.take() else { return };
        if checksum(&data) != it.checksum {
            // Begun anew; a wrong snapshot is never installed.
            let reply = SnapshotReply {
                term: it.term,
                index: it.index,
                next_offset_bytes: 0,
                sent_ms: it.sent_ms,
            };
            return self.send_now(from, RaftBody::SnapshotReply(reply));
        }
        self.install_snapshot(Snapshot {
            index: it.index,
            term: it.index_term,
            members: it.members,
            checksum: it.checksum,
            data,
        });
        let reply = self.append_reply(true, it.index, it.sent_ms);
        self.send_durable(from, reply);
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.entries.clear();
        self.entries_bytes = 0;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.commit_index = snapshot.index;
        self.durable_index = snapshot.index;
        for (_, last_index) in &mut self.in_flight {
            *last_index = snapshot.index;
        }
        self.memberships = VecDeque::from([(snapshot.index, snapshot.members.clone())]);
        self.pending.push(DiskWrite::Snapshot(snapshot.clone()));
        self.snapshots_to_install.push_back(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    pub(super) fn on_chunk_reply(&mut self, now: Now, from: MemberId, it: SnapshotReply) {
        if !self.is_leader() || it.term != self.hard_state.term {
            return;
        }
        let current = self.snapshot_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.acked_sent_ms = progress.acked_sent_ms.max(it.sent_ms);
        progress.last_reply_ms = now.mono_ms;
        let offset_bytes = if it.index == current { it.next_offset_bytes } else { 0 };
        progress.snapshot_offset_bytes = Some(offset_bytes);
        progress.chunk_sent_ms = 0;
        self.send_chunk(now, from);
    }
}
