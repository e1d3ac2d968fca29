//! Workers on which a suspected task is tried.
//!
//! Nothing else begins there until the task has outlived its trial, so that a crash tells who
//! caused it. It answers loads in which tasks take down whatever starts them: on a day where eleven
//! workers were lost to two such tasks 312 times, it ends after two crashes of each.

use std::collections::BTreeMap;

use crate::{
    control::state::Workflows,
    policy::crash_evidence::{CRASH_RATE_WINDOW_MS, PROBATION_MS, QUIET_PERIOD_MS},
    prelude::*,
};

/// One worker in so many, and one at least, may be under trial at a time: the others go on taking
/// new work, and many such tasks cannot take a whole fleet down at once.
const WORKERS_A_TRIAL: usize = 3;

/// Time for which a worker counts as a newcomer, which a trial avoids: one that goes down and up
/// by itself would be blamed on whatever is tried there. As long as the rate of crashes looks back.
const NEWCOMER_MS: u64 = CRASH_RATE_WINDOW_MS;

/// The workers under trial, and those that have come lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Probations {
    /// When each trial under way is over.
    until_ms: BTreeMap<WorkerId, u64>,
    newcomers_until_ms: BTreeMap<WorkerId, u64>,
    /// Until when no calm can be.
    calm_from_ms: u64,
    is_quiet: bool,
}

impl Probations {
    /// Takes the suspected tasks that run under a new leader for ones that have just begun.
    pub(super) fn take_over(workflows: &Workflows, now: Now) -> Probations {
        let suspects = workflows.suspects().iter().filter(|(_, it)| it.needs_probation());
        let runs = suspects.filter_map(|(task, _)| {
            let workflow = workflows.get(task.workflow)?;
            Some(workflow.task(task)?.runs.iter().map(|it| it.worker))
        });
        let until_ms = runs.flatten().map(|it| (it, now.mono_ms + PROBATION_MS)).collect();
        // What crashed under the leader before is not known.
        Probations {
            until_ms,
            calm_from_ms: now.mono_ms + QUIET_PERIOD_MS,
            ..Probations::default()
        }
    }

    /// Takes in runs that have come into the ledger.
    pub(super) fn note_begun(&mut self, workflows: &Workflows, runs: &[RunPlacement], now: Now) {
        let is_tried = |it: &&RunPlacement| workflows.suspects().needs_probation(it.run.task);
        let until_ms = now.mono_ms + PROBATION_MS;
        self.until_ms.extend(runs.iter().filter(is_tried).map(|it| (it.worker, until_ms)));
    }

    /// Takes in a worker that has come into the ledger.
    pub(super) fn note_enrolled(&mut self, worker: WorkerId, now: Now) {
        self.newcomers_until_ms.insert(worker, now.mono_ms + NEWCOMER_MS);
    }

    /// Takes in the crash of a worker.
    pub(super) fn note_crash(&mut self, now: Now) {
        self.calm_from_ms = now.mono_ms + QUIET_PERIOD_MS;
    }

    /// Returns whether no worker has crashed lately.
    pub(super) fn is_quiet(&self) -> bool {
        self.is_quiet
    }

    /// Forgets the trials that are over, and returns the others.
    pub(super) fn under_way(&mut self, now: Now) -> Probations {
        self.is_quiet = self.calm_from_ms <= now.mono_ms;
        self.until_ms.retain(|_, until_ms| now.mono_ms < *until_ms);
        self.newcomers_until_ms.retain(|_, until_ms| now.mono_ms < *until_ms);
        self.clone()
    }

    /// Notes a trial that a plan begins.
    pub(super) fn begin(&mut self, worker: WorkerId) {
        self.until_ms.insert(worker, u64::MAX);
    }

    /// Returns whether a task is tried on a worker.
    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.until_ms.contains_key(&worker)
    }

    /// Returns whether a worker has come lately.
    pub(super) fn is_recently_enrolled(&self, worker: WorkerId) -> bool {
        self.newcomers_until_ms.contains_key(&worker)
    }

    /// Returns how many workers are under trial.
    pub(super) fn len(&self) -> usize {
        self.until_ms.len()
    }

    /// Returns whether so many trials are under way, on so many usable workers, that no workflow
    /// may begin another one.
    pub(super) fn are_many(&self, usable: usize) -> bool {
        usable.div_ceil(WORKERS_A_TRIAL).max(1) <= self.until_ms.len()
    }
}
