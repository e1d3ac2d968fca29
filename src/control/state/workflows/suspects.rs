//! Tasks whose workers crashed, and the crash evidence against each.

use std::collections::BTreeMap;

use crate::{
    policy::crash_evidence::{
        BaselineCrashRate, CRASH_RATE_WINDOW_MS, CrashEvidence, is_surely_too_old_to_suspect,
        is_too_old_to_suspect,
    },
    prelude::*,
};

/// The tasks that are suspected of crashing their workers, with the data that the crash evidence is
/// computed from.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Suspects {
    /// Holds a task from the first crash of its worker until the task is done or ruled out, or its
    /// workflow has ended. At most the tasks of recently crashed workers are suspected.
    tasks: BTreeMap<TaskRef, CrashEvidence>,
    /// When each run that may be on a worker was recorded.
    begun_ms: BTreeMap<RunRef, u64>,
    /// Times of the worker crashes within `CRASH_RATE_WINDOW_MS` that no task was found to cause.
    crashes_ms: Vec<u64>,
}

/// The crash of a worker, with the runs that the worker may have begun.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub worker_count: usize,
    pub time_ms: u64,
    pub runs: Vec<CrashedRun>,
}

/// A run on a worker that crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashedRun {
    pub task: TaskRef,
    pub age_ms: u64,
    /// Whether the worker reported the run as running before the crash.
    pub was_confirmed_running: bool,
}

/// Returns whether a run ended by a crash of its worker.
pub(super) fn is_crash(outcome: RunOutcome) -> bool {
    matches!(outcome, RunOutcome::Crashed | RunOutcome::CrashedUnseen)
}

impl Suspects {
    /// Returns the crash evidence against a task, or `None` if it is not suspected.
    pub fn get(&self, task: TaskRef) -> Option<CrashEvidence> {
        self.tasks.get(&task).copied()
    }

    /// Returns whether a task must begin on probation: on a worker where nothing else starts.
    pub fn needs_probation(&self, task: TaskRef) -> bool {
        self.get(task).is_some_and(CrashEvidence::needs_probation)
    }

    /// Returns whether a task may begin only after a period without worker crashes.
    pub fn needs_quiet_period(&self, task: TaskRef) -> bool {
        self.get(task).is_some_and(CrashEvidence::needs_quiet_period)
    }

    /// Returns whether a task may begin only once it is known what became of silent workers.
    pub fn waits_for_silent_workers(&self, task: TaskRef) -> bool {
        self.get(task).is_some_and(CrashEvidence::waits_for_silent_workers)
    }

    /// Returns whether nothing else may begin on the worker of a task while it is suspected.
    pub fn needs_isolation(&self, task: TaskRef) -> bool {
        self.get(task).is_some_and(CrashEvidence::needs_isolation)
    }

    pub fn iter(&self) -> impl Iterator<Item = (TaskRef, CrashEvidence)> {
        self.tasks.iter().map(|(task, it)| (*task, *it))
    }

    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the time since a run was recorded, or `None` if an earlier version recorded it.
    pub fn age_ms(&self, run: RunRef, time_ms: u64) -> Option<u64> {
        self.begun_ms.get(&run).map(|it| time_ms.saturating_sub(*it))
    }

    pub(super) fn note_begun(&mut self, run: RunRef, time_ms: u64) {
        self.begun_ms.insert(run, time_ms);
    }

    /// Forgets a run that is no longer on a worker.
    pub(super) fn forget_run(&mut self, run: RunRef) {
        self.begun_ms.remove(&run);
    }

    /// Updates the crash evidence after a run that ended without a known crash: the longer it ran,
    /// the less likely its task crashes workers.
    pub(super) fn note_end(&mut self, end: &RunEnd, time_ms: u64) {
        let task = end.run.task;
        let Some(evidence) = self.get(task) else { return };
        let age_ms = self.age_ms(end.run, time_ms).unwrap_or(0);
        let is_ruled_out = match end.outcome {
            RunOutcome::Done => true,
            RunOutcome::Lapsed => is_surely_too_old_to_suspect(age_ms),
            _ => evidence.is_ruled_out_at_age(age_ms),
        };
        if is_ruled_out {
            self.tasks.remove(&task);
        }
    }

    /// Returns whether a run may be young enough to have crashed its worker.
    pub(super) fn may_be_suspected(&self, run: RunRef, time_ms: u64) -> bool {
        self.age_ms(run, time_ms).is_some_and(|it| !is_surely_too_old_to_suspect(it))
    }

    /// Sets the number of silent workers of a task, if it is suspected.
    pub(super) fn set_silent_workers(&mut self, task: TaskRef, count: u32) {
        self.tasks.entry(task).and_modify(|it| *it = it.with_silent_workers(count));
    }

    /// Notes that the worker of these tasks, which was silent, has crashed. Returns the tasks that
    /// must be given up.
    pub(super) fn note_silent_crash(&mut self, tasks: &[TaskRef]) -> Vec<TaskRef> {
        for task in tasks {
            let before = self.get(*task).unwrap_or_default();
            self.tasks.insert(*task, before.after_unobserved_crash());
        }
        let is_given_up = |it: &TaskRef| self.get(*it).is_some_and(CrashEvidence::is_given_up);
        tasks.iter().copied().filter(is_given_up).collect()
    }

    /// Updates the crash evidence after a worker crash. Returns the tasks that must be given up.
    ///
    /// Of the tasks found to be culprits, the one with the highest odds explains the crash. The
    /// crash then adds no evidence against the other tasks on the worker, but still counts towards
    /// their crash limit.
    pub(super) fn note_crash(&mut self, crash: &Crash) -> Vec<TaskRef> {
        self.crashes_ms.retain(|it| crash.time_ms < it + CRASH_RATE_WINDOW_MS);
        let updated = |it: &CrashedRun| {
            Some((it.task, self.evidence_after_crash(*it, crash.worker_count, false)?))
        };
        let culprits = crash.runs.iter().filter_map(updated).filter(|(_, it)| it.is_culprit());
        let culprit = culprits
            .max_by(|a, b| a.1.likelihood_ratio.total_cmp(&b.1.likelihood_ratio))
            .map(|it| it.0);
        for run in &crash.runs {
            let is_explained = culprit.is_some_and(|it| it.workflow != run.task.workflow);
            match self.evidence_after_crash(*run, crash.worker_count, is_explained) {
                Some(evidence) => drop(self.tasks.insert(run.task, evidence)),
                None => drop(self.tasks.remove(&run.task)),
            }
        }
        if culprit.is_none() {
            self.crashes_ms.push(crash.time_ms);
        }
        let is_given_up = |it: &TaskRef| self.get(*it).is_some_and(CrashEvidence::is_given_up);
        crash.runs.iter().map(|it| it.task).filter(is_given_up).collect()
    }

    /// Returns the crash evidence against a task after a crash, which another task may explain.
    /// Returns `None` if the run is too old to have caused the crash.
    fn evidence_after_crash(
        &self,
        run: CrashedRun,
        worker_count: usize,
        is_explained: bool,
    ) -> Option<CrashEvidence> {
        let before = self.get(run.task).unwrap_or_default();
        let crashes = self.crashes_ms.len().saturating_sub(before.crashes_in_row as usize);
        let baseline = BaselineCrashRate { crashes, workers: worker_count };
        match run.was_confirmed_running {
            false if is_surely_too_old_to_suspect(run.age_ms) => None,
            false => Some(before.after_unobserved_crash()),
            true if is_too_old_to_suspect(run.age_ms) => None,
            true if is_explained => Some(before.after_explained_crash(run.age_ms)),
            true => Some(before.after_crash(run.age_ms, baseline)),
        }
    }

    /// Forgets the tasks of a workflow that has ended.
    pub(super) fn forget(&mut self, workflow: WorkflowId) {
        self.tasks.retain(|task, _| task.workflow != workflow);
    }
}
