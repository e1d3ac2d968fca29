//! Decides whether a slow task should move to another worker: a best-effort task (filler) that gets
//! little processor, or any task on a slow worker.

/// Weight of the newest speed reading in the moving average; readings are noisy.
const GAIN: f64 = 0.4;

/// Time for which a filler is observed before it can count as slow: its start and three reports.
const OBSERVATION_MS: u64 = 1_200;

/// Share of its full speed below which a filler is slow.
const SLOW_SHARE: f64 = 0.6;

/// Duration of a move: a stop, two commits, a start and the loading of the checkpoint.
const MOVE_MS: f64 = 1_000.0;

/// Least share of the remaining time that a move must save, so that noisy readings cause no moves.
const SAVED_SHARE_MIN: f64 = 0.3;

/// Least part of a task that is assumed to remain, since declared run times may be far too short.
const REMAINING_MIN_PERCENT: u32 = 5;

/// Least share of its full speed that is assumed, so that estimated times are finite.
const SPEED_SHARE_MIN: f64 = 0.02;

/// The speed of one filler on one worker, as a share of its full speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed {
    share: f64,
    since_ms: u64,
}

impl RelativeSpeed {
    /// Creates the estimate at the first report of a run, which is assumed to be at full speed.
    pub fn new(now_ms: u64) -> RelativeSpeed {
        RelativeSpeed { share: 1.0, since_ms: now_ms }
    }

    /// Records a speed reading.
    pub fn observe(&mut self, share: f64) {
        self.share += (share.clamp(0.0, 1.0) - self.share) * GAIN;
    }

    /// Returns the share of its full speed if the filler is slow.
    pub fn speed_share_if_slow(&self, now_ms: u64) -> Option<f64> {
        let is_slow = self.share < SLOW_SHARE && self.since_ms + OBSERVATION_MS <= now_ms;
        is_slow.then_some(self.share)
    }
}

/// A run that could move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCandidate {
    /// Expected run time at full speed.
    pub estimate_ms: u64,
    pub progress_percent: u32,
    /// Whether its progress is kept when it moves.
    pub keeps_progress: bool,
    pub current_speed_share: f64,
}

/// Returns whether a run ends sooner if it moves to a worker where it has `target_speed_share` of
/// its full speed.
pub fn is_worth_moving(it: MigrationCandidate, target_speed_share: f64) -> bool {
    let remaining_percent = 100_u32.saturating_sub(it.progress_percent).max(REMAINING_MIN_PERCENT);
    let remaining_share = f64::from(remaining_percent) / 100.0;
    let total_ms = it.estimate_ms.max(1) as f64;
    let stay_ms = total_ms * remaining_share / it.current_speed_share.max(SPEED_SHARE_MIN);
    let remaining_share_after_move = if it.keeps_progress { remaining_share } else { 1.0 };
    let move_ms =
        MOVE_MS + total_ms * remaining_share_after_move / target_speed_share.max(SPEED_SHARE_MIN);
    move_ms < stay_ms * (1.0 - SAVED_SHARE_MIN)
}
