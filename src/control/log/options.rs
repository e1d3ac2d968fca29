//! Timing and batching of the replicated log.

/// Timing and batching of the replicated log.
#[derive(Clone, Copy, Debug)]
pub struct RaftOptions {
    /// Minimum silence of the leader before a voter starts an election; the maximum is twice that.
    pub election_timeout_ms: u64,
    pub heartbeat_ms: u64,
    /// Maximum number of entries in one append.
    pub batch_entries: usize,
    /// Entries that may be sent beyond the last one that a member acknowledged.
    pub window_entries: u64,
    /// Entries before a snapshot that are retained for members that lag slightly.
    pub retained_entries: u64,
    /// Memory limit of the retained entries; a member that needs older ones receives the snapshot.
    pub retained_bytes: usize,
    /// Memory of the log entries at which a snapshot is taken.
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
            // One sixth and one third of the users' memory limit for a control process.
            retained_bytes: 16 << 20,
            snapshot_bytes: 32 << 20,
            chunk_bytes: 256 * 1024,
            seed: 1,
        }
    }
}
