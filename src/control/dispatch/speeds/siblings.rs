//! The newest paces of runs that are compared with each other.

use std::collections::VecDeque;

use crate::{policy::worker_speed::READING_MAX_AGE_MS, prelude::*};

/// Paces that are kept: enough for a median, and few enough to be compared at each report.
const SIBLINGS_MAX: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Sibling {
    run: RunRef,
    worker: WorkerId,
    log_ratio: f64,
    measured_ms: u64,
}

/// The newest paces of the runs of one step, or of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Siblings {
    paces: VecDeque<Sibling>,
}

impl Siblings {
    pub(super) fn note(&mut self, run: RunRef, worker: WorkerId, log_ratio: f64, now_ms: u64) {
        self.paces.retain(|it| it.run != run);
        if SIBLINGS_MAX <= self.paces.len() {
            self.paces.pop_front();
        }
        self.paces.push_back(Sibling { run, worker, log_ratio, measured_ms: now_ms });
    }

    /// Returns the fresh ratios of runs on the workers that `is_compared` selects.
    pub(super) fn ratios(&self, now_ms: u64, is_compared: impl Fn(WorkerId) -> bool) -> Vec<f64> {
        let fresh = self.paces.iter().filter(|it| now_ms < it.measured_ms + READING_MAX_AGE_MS);
        fresh.filter(|it| is_compared(it.worker)).map(|it| it.log_ratio).collect()
    }

    pub(super) fn is_stale(&self, now_ms: u64) -> bool {
        self.paces.back().is_none_or(|it| it.measured_ms + READING_MAX_AGE_MS <= now_ms)
    }
}
