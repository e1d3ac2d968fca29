//! Feedback control for a VM whose services exceed their latency target.
//!
//! The loop throttles the batch task with the most estimated interference, then moves it to
//! another VM, and accepts no new batch work on the VM while the tail is above its target. It takes
//! one step at a time, and none before a report can show the effect of the previous one.

use crate::prelude::*;

/// Reports in a row above the target before the next step is taken.
const HIGH_REPORTS: u32 = 2;

/// Low reports in a row before a step is reverted.
const LOW_REPORTS: u32 = 6;

/// Share of the target below which a tail counts as low, in permille. The gap to the target is a
/// hysteresis, within which no step is taken.
const LOW_PERMILLE: u64 = 700;

/// A throttled task is released if the estimated tail is below this share of the target, in
/// permille.
const RELEASE_PERMILLE: u64 = 950;

/// Share of its processors that a throttled task keeps, in permille.
const THROTTLED_PERMILLE: u32 = 400;

/// A step to take on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedbackAction {
    None,
    /// Limit the task to this share of its processors.
    Throttle {
        task: TaskId,
        permille: u32,
    },
    /// Remove the limit of the throttled task.
    Release {
        task: TaskId,
    },
    /// Checkpoint the task and run it on another VM.
    Move {
        task: TaskId,
    },
}

/// A report on the tail latency of the services of a VM.
#[derive(Clone, Copy, Debug)]
pub struct TailLatencyReport {
    pub tail_ms: u64,
    /// The expected tail if the throttled task had no limit.
    pub unthrottled_tail_ms: u64,
    pub target_ms: u64,
    /// Age of the report.
    pub report_age_ms: u64,
}

/// The feedback loop of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedbackLoop {
    /// Reports in a row above the target.
    high_reports: u32,
    /// Low reports in a row.
    low_reports: u32,
    throttled: Option<TaskId>,
    last_step_ms: Option<u64>,
    is_closed: bool,
}

impl FeedbackLoop {
    /// Returns whether the VM accepts no new batch work.
    pub fn is_closed_to_batch(&self) -> bool {
        self.is_closed
    }

    pub fn throttled(&self) -> Option<TaskId> {
        self.throttled
    }

    /// Removes a task that no longer runs on the VM.
    pub fn remove(&mut self, task: TaskId) {
        if self.throttled == Some(task) {
            self.throttled = None;
        }
    }

    /// Marks a task as throttled again, after the eviction budget did not allow to move it.
    pub fn restore_throttled(&mut self, task: TaskId) {
        self.throttled = Some(task);
    }

    /// Records a report, and returns the next step; `worst` is the batch task with the most
    /// estimated interference.
    pub fn observe(
        &mut self,
        now_ms: u64,
        report: TailLatencyReport,
        worst: Option<TaskId>,
    ) -> FeedbackAction {
        let TailLatencyReport { tail_ms, unthrottled_tail_ms, target_ms, report_age_ms } = report;
        let is_above_target = target_ms < tail_ms;
        // Releases a throttled task once the estimated tail without the limit meets the target, not
        // only once the tail is low: meanwhile the task reserves processors that it cannot use.
        let is_low = match self.throttled {
            Some(_) => unthrottled_tail_ms * 1_000 < target_ms * RELEASE_PERMILLE,
            None => tail_ms * 1_000 < target_ms * LOW_PERMILLE,
        };
        self.high_reports = if is_above_target { self.high_reports + 1 } else { 0 };
        self.low_reports = if is_low && !is_above_target { self.low_reports + 1 } else { 0 };
        // A report whose period began before the last step does not show the effect of the step.
        if self.last_step_ms.is_some_and(|it| now_ms < it + report_age_ms * 2) {
            return FeedbackAction::None;
        }
        let action = match (self.throttled, worst) {
            _ if HIGH_REPORTS <= self.high_reports && !self.is_closed => {
                self.is_closed = true;
                worst.map_or(FeedbackAction::None, |task| FeedbackAction::Throttle {
                    task,
                    permille: THROTTLED_PERMILLE,
                })
            }
            (Some(task), _) if HIGH_REPORTS <= self.high_reports => FeedbackAction::Move { task },
            (None, Some(task)) if HIGH_REPORTS <= self.high_reports => {
                FeedbackAction::Throttle { task, permille: THROTTLED_PERMILLE }
            }
            (Some(task), _) if LOW_REPORTS <= self.low_reports => FeedbackAction::Release { task },
            (None, _) if LOW_REPORTS <= self.low_reports && self.is_closed => {
                self.is_closed = false;
                FeedbackAction::None
            }
            _ => return FeedbackAction::None,
        };
        match action {
            FeedbackAction::Throttle { task, .. } => self.throttled = Some(task),
            FeedbackAction::Release { .. } | FeedbackAction::Move { .. } => self.throttled = None,
            FeedbackAction::None => (),
        }
        self.last_step_ms = Some(now_ms);
        self.high_reports = 0;
        self.low_reports = 0;
        action
    }
}
