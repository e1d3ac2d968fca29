//! Workers with a suspected task on probation.
//!
//! No other task begins on such a worker until the task has outlived its probation, so that a crash
//! identifies its cause. This limits the damage by tasks that crash every worker they start on: two
//! such tasks crashed eleven workers 312 times in a day; with probation, each ends after two
//! crashes.

use std::collections::BTreeMap;

use crate::{
    control::state::Workflows,
    policy::crash_evidence::{CRASH_RATE_WINDOW_MS, PROBATION_MS, QUIET_PERIOD_MS},
    prelude::*,
};

/// One in this many workers, and at least one, may host a probation at a time: the others keep
/// taking new work, and many crashing tasks cannot take down the whole fleet at once.
const WORKERS_PER_PROBATION: usize = 3;

/// Time for which a worker counts as recently enrolled. Probations avoid such workers, since
/// crashes of a worker that restarts by itself would be blamed on the task. Equals the window of
/// the crash rate.
const RECENTLY_ENROLLED_MS: u64 = CRASH_RATE_WINDOW_MS;

/// The workers that host a probation, and the recently enrolled workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Probations {
    /// End of each active probation.
    until_ms: BTreeMap<WorkerId, u64>,
    recently_enrolled_until_ms: BTreeMap<WorkerId, u64>,
    /// Earliest time at which a quiet period can be over.
    quiet_from_ms: u64,
    is_quiet: bool,
}

impl Probations {
    /// Starts the probations of all suspected tasks that run when a new leader takes over.
    pub(super) fn take_over(workflows: &Workflows, now: Now) -> Probations {
        let suspects = workflows.suspects().iter().filter(|(_, it)| it.needs_probation());
        let runs = suspects.filter_map(|(task, _)| {
            let workflow = workflows.get(task.workflow)?;
            Some(workflow.task(task)?.runs.iter().map(|it| it.worker))
        });
        let until_ms = runs.flatten().map(|it| (it, now.mono_ms + PROBATION_MS)).collect();
        // Crashes under the earlier leader are not known.
        Probations {
            until_ms,
            quiet_from_ms: now.mono_ms + QUIET_PERIOD_MS,
            ..Probations::default()
        }
    }

    /// Starts probations for the suspected tasks among runs that the ledger has applied.
    pub(super) fn note_begin(&mut self, workflows: &Workflows, runs: &[RunPlacement], now: Now) {
        let is_suspected = |it: &&RunPlacement| workflows.suspects().needs_probation(it.run.task);
        let until_ms = now.mono_ms + PROBATION_MS;
        self.until_ms.extend(runs.iter().filter(is_suspected).map(|it| (it.worker, until_ms)));
    }

    /// Notes a worker that the ledger has enrolled.
    pub(super) fn note_enrolled(&mut self, worker: WorkerId, now: Now) {
        self.recently_enrolled_until_ms.insert(worker, now.mono_ms + RECENTLY_ENROLLED_MS);
    }

    /// Notes the crash of a worker, which starts a new quiet period.
    pub(super) fn note_crash(&mut self, now: Now) {
        self.quiet_from_ms = now.mono_ms + QUIET_PERIOD_MS;
    }

    /// Returns whether no worker crashed during the last quiet period.
    pub(super) fn is_quiet(&self) -> bool {
        self.is_quiet
    }

    /// Removes the probations that are over, and returns the others.
    pub(super) fn active(&mut self, now: Now) -> Probations {
        self.is_quiet = self.quiet_from_ms <= now.mono_ms;
        self.until_ms.retain(|_, until_ms| now.mono_ms < *until_ms);
        self.recently_enrolled_until_ms.retain(|_, until_ms| now.mono_ms < *until_ms);
        self.clone()
    }

    /// Notes a probation that a plan starts, with no end before the ledger applies the plan.
    pub(super) fn begin(&mut self, worker: WorkerId) {
        self.until_ms.insert(worker, u64::MAX);
    }

    /// Returns whether a worker hosts a probation.
    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.until_ms.contains_key(&worker)
    }

    /// Returns whether a worker has enrolled recently.
    pub(super) fn is_recently_enrolled(&self, worker: WorkerId) -> bool {
        self.recently_enrolled_until_ms.contains_key(&worker)
    }

    /// Returns the number of workers that host a probation.
    pub(super) fn len(&self) -> usize {
        self.until_ms.len()
    }

    /// Returns whether the number of probations has reached its limit for a number of usable
    /// workers.
    pub(super) fn is_limit_reached(&self, usable_workers: usize) -> bool {
        usable_workers.div_ceil(WORKERS_PER_PROBATION).max(1) <= self.until_ms.len()
    }
}
