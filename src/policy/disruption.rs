//! Limits how many long-running tasks may be stopped so that they begin again elsewhere. Other tasks
//! have no limit here.
//!
//! Every stop costs the task its place for about a second, so all causes of stops share these
//! limits: several causes that act at once must not take more from a step than one may.

use crate::prelude::*;

/// Tasks of a long-running step that may be away at once if the step states no limit: one, so that
/// the others go on serving.
const AWAY_MAX_DEFAULT: u32 = 1;

/// Minimum time between two stops of one long-running task. A stop and its new start take one to one
/// and a half seconds, a small part of the task's time.
pub const STOP_INTERVAL_MS: u64 = 10_000;

/// Long-running tasks that may be away at once because they were moved to make room: the moves of a
/// wrong forecast must not take a noticeable part of what serves.
const MOVES_UNDER_WAY_MAX: usize = 8;

/// Returns how many more long-running tasks may be moved to make room while `under_way` are away
/// for that reason.
pub fn moves_left(under_way: usize) -> usize {
    MOVES_UNDER_WAY_MAX.saturating_sub(under_way)
}

/// How many tasks of a long-running step serve at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepAvailability {
    /// Tasks of the step that have no run, or whose run is not known to be at work.
    pub away: u32,
    /// Tasks that the step allows to be away by the scheduler's own doing, or 0 if it states no
    /// limit.
    pub unavailable_max: u32,
}

impl StepAvailability {
    /// Returns whether one more task of the step may be stopped.
    pub fn allows_stop(self) -> bool {
        0 < self.spare()
    }

    /// Returns how many more tasks of the step may be stopped.
    pub fn spare(self) -> u32 {
        let away_max = match self.unavailable_max {
            0 => AWAY_MAX_DEFAULT,
            it => it,
        };
        away_max.saturating_sub(self.away)
    }
}

/// Why a running task is stopped before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopCause {
    /// It is a best-effort task that would end sooner elsewhere.
    SlowFiller,
    /// Its worker is slow.
    SlowWorker,
    /// Its capacity makes room for a larger task.
    Compaction,
}

impl StopCause {
    /// Returns the text of the cause in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            StopCause::SlowFiller => "slow_filler",
            StopCause::SlowWorker => "slow_worker",
            StopCause::Compaction => "compaction",
        }
    }
}

/// A run to stop before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStop {
    pub run: RunRef,
    pub worker: WorkerId,
    pub cause: StopCause,
}

/// Why a stop is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopRejection {
    /// The run is not listed by its worker in this term, or is being stopped already.
    NotRunning,
    /// Too many tasks of its step are away.
    StepUnavailable,
    /// The task was stopped lately.
    StoppedLately,
    /// Too many moved tasks are away.
    TooManyMoves,
}
