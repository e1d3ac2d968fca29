//! Which workers fail or stall what they start.
//!
//! A worker that fails everything is soon idle, and would draw all work to itself until the
//! attempts of many workflows are used up. Failures of one workflow say nothing, since its tasks
//! may be at fault; failures of several in a row, with nothing done in between, blame the worker.

use crate::prelude::*;

/// Workflows that must fail in a row. At 2 % of failures by their own fault, three in a row on a
/// sound worker come once in 125,000 ends.
const FAILURES_MAX: usize = 3;

/// First pause of a worker that is not trusted; it doubles with each further failure.
const PAUSE_MS: u64 = 2_000;

/// Longest pause, after which a worker that was mended gets work again.
const PAUSE_MAX_MS: u64 = 8_000;

/// Least time without progress after which a task counts as stalled: two fresh lists of the
/// worker, and a lost report.
const STALLED_MS: u64 = 2_500;

/// The same as a part of the declared run time, so that one percent of a long task that takes ten
/// times as long as declared is not taken for none.
const STALLED_PART: u64 = 10;

/// What is known of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerHealth {
    /// Workflows that failed here since something was last done.
    failed: Vec<WorkflowId>,
    pauses: u32,
    shunned_until_ms: u64,
}

impl WorkerHealth {
    /// Returns whether the worker may get new work.
    pub fn is_healthy(&self, now_ms: u64) -> bool {
        self.shunned_until_ms <= now_ms
    }

    /// Learns that a run was done.
    pub fn note_done(&mut self) {
        *self = WorkerHealth::default();
    }

    /// Learns that a run of a workflow failed; returns whether that ends the trust.
    pub fn note_failed(&mut self, workflow: WorkflowId, now_ms: u64) -> bool {
        if self.failed.contains(&workflow) {
            return false;
        }
        self.failed.push(workflow);
        if self.failed.len() < FAILURES_MAX {
            return false;
        }
        // One more failure after the pause is enough for the next one.
        self.failed.remove(0);
        self.shun(now_ms);
        true
    }

    /// Learns that a run stood still, which no task does by itself.
    pub fn note_stalled(&mut self, now_ms: u64) {
        if self.is_healthy(now_ms) {
            self.shun(now_ms);
        }
    }

    fn shun(&mut self, now_ms: u64) {
        let pause_ms = (PAUSE_MS << self.pauses.min(8)).min(PAUSE_MAX_MS);
        self.pauses += 1;
        self.shunned_until_ms = now_ms + pause_ms;
    }
}

/// The progress of one run, as reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallDetector {
    percent: u32,
    since_ms: u64,
}

impl StallDetector {
    /// Begins with the first report of a run.
    pub fn new(percent: u32, now_ms: u64) -> StallDetector {
        StallDetector { percent, since_ms: now_ms }
    }

    /// Takes in a report of a run with a declared run time; returns whether it stands still.
    pub fn observe(&mut self, percent: u32, estimate_ms: u64, now_ms: u64) -> bool {
        if self.percent != percent {
            *self = StallDetector::new(percent, now_ms);
        }
        self.since_ms + STALLED_MS.max(estimate_ms / STALLED_PART) <= now_ms
    }
}
