//! What the leader knows of one member.

/// What the leader knows of one member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub match_index: u64,
    pub next_index: u64,
    /// The leader's clock at the sending of the newest message that the member answered.
    pub acked_sent_ms: u64,
    /// The leader's clock at the newest answer.
    pub last_reply_ms: u64,
    /// The same when it began to look after this member.
    pub known_ms: u64,
    /// The same when it last began to send entries again that the member turned out to miss.
    /// Answers to what was sent before that tell nothing new.
    pub resent_ms: u64,
    /// Offset of the snapshot chunk under way, while one is.
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
            known_ms: now_ms,
            resent_ms: 0,
            snapshot_offset_bytes: None,
            chunk_sent_ms: 0,
            in_force: 0,
        }
    }

    /// Returns for how long the member has not answered.
    pub(super) fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_reply_ms.max(self.known_ms))
    }

    pub(super) fn acknowledge(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.snapshot_offset_bytes = None;
    }
}
