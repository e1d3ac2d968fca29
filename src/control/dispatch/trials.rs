//! Workers on which a suspected task is tried.
//!
//! Nothing else begins there until the task has outlived its trial, so that a crash tells who
//! caused it. It answers loads in which tasks take down whatever starts them: on a day where eleven
//! workers were lost to two such tasks 312 times, it ends after two crashes of each.

use std::collections::BTreeMap;

use crate::{control::state::Workflows, policy::suspicion::TRIAL_MS, prelude::*};

/// One worker in so many, and one at least, may be under trial at a time, so that many such tasks
/// cannot take a fleet down together: a worker that crashes is away for some 3 s, and a third of
/// the trials of a second can then keep no more than half of the workers away.
const WORKERS_A_TRIAL: usize = 3;

/// The trials under way, by worker, with the time at which each is over.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials(BTreeMap<WorkerId, u64>);

impl Trials {
    /// Takes the suspected tasks that run under a new leader for ones that have just begun.
    pub(super) fn take_over(workflows: &Workflows, now: Now) -> Trials {
        let suspects = workflows.suspects().iter().filter(|(_, it)| it.needs_trial());
        let runs = suspects.filter_map(|(task, _)| {
            let workflow = workflows.get(task.workflow)?;
            Some(workflow.task(task)?.runs.iter().map(|it| it.worker))
        });
        Trials(runs.flatten().map(|it| (it, now.mono_ms + TRIAL_MS)).collect())
    }

    /// Takes in runs that have come into the ledger.
    pub(super) fn note_begun(&mut self, workflows: &Workflows, runs: &[RunPlacement], now: Now) {
        let is_tried = |it: &&RunPlacement| workflows.suspects().needs_trial(it.run.task);
        self.0.extend(runs.iter().filter(is_tried).map(|it| (it.worker, now.mono_ms + TRIAL_MS)));
    }

    /// Forgets the trials that are over, and returns the others.
    pub(super) fn under_way(&mut self, now: Now) -> Trials {
        self.0.retain(|_, until_ms| now.mono_ms < *until_ms);
        self.clone()
    }

    /// Notes a trial that a plan begins.
    pub(super) fn begin(&mut self, worker: WorkerId) {
        self.0.insert(worker, u64::MAX);
    }

    /// Returns whether a task is tried on a worker.
    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.0.contains_key(&worker)
    }

    /// Returns whether so many trials are under way, on so many usable workers, that no workflow
    /// may begin another one.
    pub(super) fn are_many(&self, usable: usize) -> bool {
        usable.div_ceil(WORKERS_A_TRIAL).max(1) <= self.0.len()
    }
}
