//! Timing and batching of the replicated log.

/// Timing and batching of the replicated log.
#[derive(Clone, Copy, Debug)]
pub struct RaftOptions {
    /// Least silence after which a voter stands for election; the most is twice that.
    pub election_timeout_ms: u64,
    pub heartbeat_ms: u64,
    /// Entries in one append.
    pub batch_entries: usize,
    /// Entries sent ahead of a member's last acknowledgement.
    pub window_entries: u64,
    /// Entries kept behind a snapshot for members that lag a little.
    pub retained_entries: u64,
    /// Memory that they may take; a member that needs more gets the snapshot.
    pub retained_bytes: usize,
    /// Memory of entries at which a snapshot is taken.
    pub snapshot_bytes: usize,
    pub chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

impl Default for RaftOptions {
    fn default() -> RaftOptions {
        RaftOptions {
            election_timeout_ms: 1_000,
            heartbeat_ms: 100,
            batch_entries: 512,
            window_entries: 8_192,
            retained_entries: 2_000,
            // A sixth and a third of what users want a control process to take at most.
            retained_bytes: 16 << 20,
            snapshot_bytes: 32 << 20,
            chunk_bytes: 256 * 1024,
            seed: 1,
        }
    }
}
