//! Replication progress of one member, as tracked by the leader.

/// Replication progress of one member, as tracked by the leader.
/// Times are those of the leader's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub match_index: u64,
    pub next_index: u64,
    /// Sending time of the newest message that the member answered.
    pub acked_sent_ms: u64,
    /// Arrival time of the newest answer.
    pub last_reply_ms: u64,
    /// Time at which the leader began to track this member.
    pub tracked_since_ms: u64,
    /// Time at which the leader last began to resend entries that the member lacked.
    /// Rejections of earlier messages are outdated and ignored.
    pub resent_ms: u64,
    /// Offset of the snapshot chunk being sent, during a snapshot transfer.
    pub snapshot_offset_bytes: Option<u64>,
    pub chunk_sent_ms: u64,
    pub in_force: u64,
}

impl Progress {
    pub(super) fn new(next_index: u64, now_ms: u64) -> Progress {
        Progress {
            match_index: 0,
            next_index,
            acked_sent_ms: 0,
            last_reply_ms: 0,
            tracked_since_ms: now_ms,
            resent_ms: 0,
            snapshot_offset_bytes: None,
            chunk_sent_ms: 0,
            in_force: 0,
        }
    }

    /// Returns the time since the member's newest answer, or since tracking began.
    pub(super) fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_reply_ms.max(self.tracked_since_ms))
    }

    pub(super) fn acknowledge(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.snapshot_offset_bytes = None;
    }
}
