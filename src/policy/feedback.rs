//! What is done on a VM whose services answer too slowly.
//!
//! One step at a time, and none before the last one can show in a report: throttle the worst
//! neighbour, then move it, and keep new batch work away while the tail is above its target.

use crate::prelude::*;

/// Reports in a row above the target before something is done.
const HIGH_REPORTS: u32 = 2;

/// Reports in a row well below the target before a step is taken back.
const LOW_REPORTS: u32 = 6;

/// Part of the target below which a tail counts as low, in permille. The gap to the target is
/// the hysteresis: between the two nothing changes.
const LOW_PERMILLE: u64 = 700;

/// Part of the target that the tail may be estimated at for a throttled neighbour to be let go.
const RELEASE_PERMILLE: u64 = 950;

/// What a throttled neighbour keeps of its processors, in permille.
const THROTTLED_PERMILLE: u32 = 400;

/// What is to be done on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedbackAction {
    None,
    /// Let the neighbour have only this part of its processors.
    Throttle {
        task: TaskId,
        permille: u32,
    },
    /// Let the throttled neighbour run freely again.
    Release {
        task: TaskId,
    },
    /// Checkpoint the neighbour and run it elsewhere.
    Move {
        task: TaskId,
    },
}

/// A report on the services of a VM.
#[derive(Clone, Copy, Debug)]
pub struct TailLatencyReport {
    pub tail_ms: u64,
    /// The tail to expect if the throttled neighbour ran freely.
    pub unthrottled_tail_ms: u64,
    pub target_ms: u64,
    /// How old the report is.
    pub report_age_ms: u64,
}

/// The feedback loop of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedbackLoop {
    high: u32,
    low: u32,
    throttled: Option<TaskId>,
    acted_ms: Option<u64>,
    closed: bool,
}

impl FeedbackLoop {
    /// Returns whether new batch work is kept away from the VM.
    pub fn is_closed_to_batch(&self) -> bool {
        self.closed
    }

    /// Returns the neighbour that is throttled.
    pub fn throttled(&self) -> Option<TaskId> {
        self.throttled
    }

    /// Forgets a neighbour that no longer runs on the VM.
    pub fn forget(&mut self, task: TaskId) {
        if self.throttled == Some(task) {
            self.throttled = None;
        }
    }

    /// Takes back a move that the eviction budget did not allow.
    pub fn restore_throttled(&mut self, task: TaskId) {
        self.throttled = Some(task);
    }

    /// Takes in a report, and decides; `worst` is the neighbour estimated most harmful.
    pub fn observe(
        &mut self,
        now_ms: u64,
        report: TailLatencyReport,
        worst: Option<TaskId>,
    ) -> FeedbackAction {
        let TailLatencyReport { tail_ms, unthrottled_tail_ms, target_ms, report_age_ms } = report;
        let above = target_ms < tail_ms;
        // A throttled neighbour is let go once its estimated harm would fit again, not only when
        // the tail is far below: it holds its processors meanwhile and uses a part of them.
        let below = match self.throttled {
            Some(_) => unthrottled_tail_ms * 1_000 < target_ms * RELEASE_PERMILLE,
            None => tail_ms * 1_000 < target_ms * LOW_PERMILLE,
        };
        self.high = if above { self.high + 1 } else { 0 };
        self.low = if below && !above { self.low + 1 } else { 0 };
        // A report that began before the last action says nothing of its effect.
        if self.acted_ms.is_some_and(|it| now_ms < it + report_age_ms * 2) {
            return FeedbackAction::None;
        }
        let action = match (self.throttled, worst) {
            _ if HIGH_REPORTS <= self.high && !self.closed => {
                self.closed = true;
                worst.map_or(FeedbackAction::None, |task| FeedbackAction::Throttle {
                    task,
                    permille: THROTTLED_PERMILLE,
                })
            }
            (Some(task), _) if HIGH_REPORTS <= self.high => FeedbackAction::Move { task },
            (None, Some(task)) if HIGH_REPORTS <= self.high => {
                FeedbackAction::Throttle { task, permille: THROTTLED_PERMILLE }
            }
            (Some(task), _) if LOW_REPORTS <= self.low => FeedbackAction::Release { task },
            (None, _) if LOW_REPORTS <= self.low && self.closed => {
                self.closed = false;
                FeedbackAction::None
            }
            _ => return FeedbackAction::None,
        };
        match action {
            FeedbackAction::Throttle { task, .. } => self.throttled = Some(task),
            FeedbackAction::Release { .. } | FeedbackAction::Move { .. } => self.throttled = None,
            FeedbackAction::None => (),
        }
        self.acted_ms = Some(now_ms);
        self.high = 0;
        self.low = 0;
        action
    }
}
