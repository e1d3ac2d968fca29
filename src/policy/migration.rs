//! Whether a filler that works slowly where it is should go on elsewhere.

/// Weight of the newest reading of a speed, which is rough.
const GAIN: f64 = 0.4;

/// Time for which a filler is watched before it is judged: three reports, and its start.
const WATCHED_MS: u64 = 1_200;

/// Share of its speed below which a filler is slow.
const SLOW: f64 = 0.6;

/// Time that a move takes: a stop, two commits, a start and the reading of what was saved.
const MOVE_MS: f64 = 1_000.0;

/// Part of the time left that a move must save, so that rough readings move nothing.
const SAVED_MIN: f64 = 0.3;

/// Least part of a task that is taken to be left, since declared times may be far too short.
const LEFT_MIN_PERCENT: u32 = 5;

/// Least share of its speed that a filler is taken to have, so that no time is endless.
const SHARE_MIN: f64 = 0.02;

/// The speed of one filler on one worker, as a share of what it reaches alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed {
    share: f64,
    since_ms: u64,
}

impl RelativeSpeed {
    /// Begins with the first report of a run, which is taken to go at full speed.
    pub fn new(now_ms: u64) -> RelativeSpeed {
        RelativeSpeed { share: 1.0, since_ms: now_ms }
    }

    /// Takes in a reading.
    pub fn observe(&mut self, share: f64) {
        self.share += (share.clamp(0.0, 1.0) - self.share) * GAIN;
    }

    /// Returns the share, once it is known to be low.
    pub fn speed_share_if_slow(&self, now_ms: u64) -> Option<f64> {
        let is_slow = self.share < SLOW && self.since_ms + WATCHED_MS <= now_ms;
        is_slow.then_some(self.share)
    }
}

/// What is known of a run that could move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCandidate {
    /// Time that it takes in all at full speed, by its declaration.
    pub estimate_ms: u64,
    pub progress_percent: u32,
    /// Whether what it has done moves with it.
    pub keeps_progress: bool,
    pub current_speed_share: f64,
}

/// Returns whether a run ends sooner by going on elsewhere at `share_there` of its speed.
pub fn is_worth_moving(it: MigrationCandidate, share_there: f64) -> bool {
    let left_percent = 100_u32.saturating_sub(it.progress_percent).max(LEFT_MIN_PERCENT);
    let left = f64::from(left_percent) / 100.0;
    let whole_ms = it.estimate_ms.max(1) as f64;
    let here_ms = whole_ms * left / it.current_speed_share.max(SHARE_MIN);
    let left_there = if it.keeps_progress { left } else { 1.0 };
    let there_ms = MOVE_MS + whole_ms * left_there / share_there.max(SHARE_MIN);
    there_ms < here_ms * (1.0 - SAVED_MIN)
}
