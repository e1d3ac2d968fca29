//! The newest paces of runs that are compared with each other.

use std::collections::{BTreeSet, VecDeque};

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

    /// Returns the fresh ratios of runs on the workers that `is_compared` selects, or none if they
    /// are on fewer than `workers_min`, since those may be slow themselves.
    pub(super) fn ratios(
        &self,
        now_ms: u64,
        workers_min: usize,
        is_compared: impl Fn(WorkerId) -> bool,
    ) -> Vec<f64> {
        let is_fresh = |it: &&Sibling| now_ms < it.measured_ms + READING_MAX_AGE_MS;
        let compared = || self.paces.iter().filter(is_fresh).filter(|it| is_compared(it.worker));
        let workers: BTreeSet<_> = compared().map(|it| it.worker).collect();
        match workers.len() < workers_min {
            true => Vec::new(),
            false => compared().map(|it| it.log_ratio).collect(),
        }
    }

    pub(super) fn is_stale(&self, now_ms: u64) -> bool {
        self.paces.back().is_none_or(|it| it.measured_ms + READING_MAX_AGE_MS <= now_ms)
    }
}
