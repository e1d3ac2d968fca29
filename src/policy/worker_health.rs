//! Detection of workers on which tasks fail or stall.
//!
//! A worker on which every task fails is soon idle, and would attract all new work until many
//! workflows have used up their attempts. Failures of one workflow are no evidence against the
//! worker, since the workflow's tasks may be at fault. Failures of several workflows in a row, with
//! no completed run in between, are attributed to the worker.

use crate::prelude::*;

/// Workflows that must fail in a row. If 2 % of runs fail by their own fault, three in a row on a
/// healthy worker occur once in 125,000 runs.
const FAILURES_MAX: usize = 3;

/// First time for which an unhealthy worker is avoided; it doubles with each further failure.
const PAUSE_MS: u64 = 2_000;

/// Longest time for which a worker is avoided, so that a repaired worker gets work again.
const PAUSE_MAX_MS: u64 = 8_000;

/// Least time without progress after which a task counts as stalled: time for two new run lists of
/// the worker, and one lost report.
const STALLED_MS: u64 = 2_500;

/// The same time as a divisor of the declared run time, so that a task that runs ten times as long
/// as declared is not stalled between two percent steps of its progress.
const STALLED_DIVISOR: u64 = 10;

/// The health of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerHealth {
    /// Workflows that failed on the worker since the last completed run.
    failed: Vec<WorkflowId>,
    pauses: u32,
    avoided_until_ms: u64,
}

impl WorkerHealth {
    /// Returns whether the worker may get new work.
    pub fn is_healthy(&self, now_ms: u64) -> bool {
        self.avoided_until_ms <= now_ms
    }

    /// Records a completed run.
    pub fn note_done(&mut self) {
        *self = WorkerHealth::default();
    }

    /// Records a failed run of a workflow; returns whether the worker becomes unhealthy.
    pub fn note_failed(&mut self, workflow: WorkflowId, now_ms: u64) -> bool {
        if self.failed.contains(&workflow) {
            return false;
        }
        self.failed.push(workflow);
        if self.failed.len() < FAILURES_MAX {
            return false;
        }
        // After the pause, one more failure is enough for the next pause.
        self.failed.remove(0);
        self.avoid(now_ms);
        true
    }

    /// Records a stalled run; a stall is always attributed to the worker.
    pub fn note_stalled(&mut self, now_ms: u64) {
        if self.is_healthy(now_ms) {
            self.avoid(now_ms);
        }
    }

    fn avoid(&mut self, now_ms: u64) {
        let pause_ms = (PAUSE_MS << self.pauses.min(8)).min(PAUSE_MAX_MS);
        self.pauses += 1;
        self.avoided_until_ms = now_ms + pause_ms;
    }
}

/// Detects whether the reported progress of one run has stalled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallDetector {
    percent: u32,
    since_ms: u64,
}

impl StallDetector {
    /// Creates a detector from the first report of a run.
    pub fn new(percent: u32, now_ms: u64) -> StallDetector {
        StallDetector { percent, since_ms: now_ms }
    }

    /// Records a report of a run with the declared run time `estimate_ms`; returns whether the run
    /// has stalled.
    pub fn observe(&mut self, percent: u32, estimate_ms: u64, now_ms: u64) -> bool {
        if self.percent != percent {
            *self = StallDetector::new(percent, now_ms);
        }
        self.since_ms + STALLED_MS.max(estimate_ms / STALLED_DIVISOR) <= now_ms
    }
}
