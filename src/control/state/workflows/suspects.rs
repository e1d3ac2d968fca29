//! Tasks whose workers crashed, and what is held against each.

use std::collections::BTreeMap;

use crate::{
    policy::crash_evidence::{
        BaselineCrashRate, CRASH_RATE_WINDOW_MS, CrashEvidence, is_surely_too_old_to_suspect,
        is_too_old_to_suspect,
    },
    prelude::*,
};

/// The tasks that are suspected of crashing their workers, and what tells whether they do.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Suspects {
    /// One is here from the first crash of its worker until it is done, cleared, or its workflow at
    /// its end: what ran on the workers that crashed lately, at most.
    tasks: BTreeMap<TaskRef, CrashEvidence>,
    /// When each run that may be on a worker came into the ledger.
    begun_ms: BTreeMap<RunRef, u64>,
    /// Crashes of workers within the window of their rate that no task was given up for.
    crashes_ms: Vec<u64>,
}

/// A worker that crashed, with the ages of the runs that it may have begun.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub workers: usize,
    pub time_ms: u64,
    pub runs: Vec<CrashedRun>,
}

/// A run on a worker that crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashedRun {
    pub task: TaskRef,
    pub age_ms: u64,
    /// Whether the worker was seen to run it.
    pub was_confirmed_running: bool,
}

/// Returns whether an end tells that its worker crashed.
pub(super) fn is_crash(outcome: RunOutcome) -> bool {
    matches!(outcome, RunOutcome::Crashed | RunOutcome::CrashedUnseen)
}

impl Suspects {
    /// Returns what is held against a task, if anything.
    pub fn get(&self, task: TaskRef) -> Option<CrashEvidence> {
        self.tasks.get(&task).copied()
    }

    /// Returns whether a task must begin where nothing else does.
    pub fn needs_probation(&self, task: TaskRef) -> bool {
        self.get(task).is_some_and(CrashEvidence::needs_probation)
    }

    /// Returns whether a task must begin only while no workers crash.
    pub fn needs_quiet_period(&self, task: TaskRef) -> bool {
        self.get(task).is_some_and(CrashEvidence::needs_quiet_period)
    }

    /// Returns the suspected tasks.
    pub fn iter(&self) -> impl Iterator<Item = (TaskRef, CrashEvidence)> {
        self.tasks.iter().map(|(task, it)| (*task, *it))
    }

    /// Returns how many tasks are suspected.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether no task is suspected.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns for how long a run has been in the ledger, unless an earlier version put it there.
    pub fn age_ms(&self, run: RunRef, time_ms: u64) -> Option<u64> {
        self.begun_ms.get(&run).map(|it| time_ms.saturating_sub(*it))
    }

    pub(super) fn note_begun(&mut self, run: RunRef, time_ms: u64) {
        self.begun_ms.insert(run, time_ms);
    }

    /// Forgets a run that is on no worker any more.
    pub(super) fn note_over(&mut self, run: RunRef) {
        self.begun_ms.remove(&run);
    }

    /// Takes in the end of a run other than by a crash, for which how long it was unharmed speaks;
    /// returns whether its task is to be given up.
    pub(super) fn note_end(&mut self, end: &RunEnd, time_ms: u64) -> bool {
        let task = end.run.task;
        let Some(evidence) = self.get(task) else { return false };
        let age_ms = self.age_ms(end.run, time_ms).unwrap_or(0);
        let is_cleared = match end.outcome {
            RunOutcome::Done => true,
            RunOutcome::Lapsed => is_surely_too_old_to_suspect(age_ms),
            _ => evidence.is_ruled_out_at_age(age_ms),
        };
        match end.outcome {
            _ if is_cleared => drop(self.tasks.remove(&task)),
            RunOutcome::Lapsed => {
                let after = evidence.after_silent_worker();
                self.tasks.insert(task, after);
                return after.is_at_crash_limit();
            }
            _ => (),
        }
        false
    }

    /// Takes in the crash of a worker; returns the tasks that are to be given up.
    ///
    /// The one with the highest odds explains the crash: that says no more of what ran beside it,
    /// but for the count of crashes that no task may pass.
    pub(super) fn note_crash(&mut self, crash: &Crash) -> Vec<TaskRef> {
        self.crashes_ms.retain(|it| crash.time_ms < it + CRASH_RATE_WINDOW_MS);
        let after = |it: &CrashedRun| Some((it.task, self.after_crash(*it, crash.workers, false)?));
        let convicted = crash.runs.iter().filter_map(after).filter(|(_, it)| it.is_culprit());
        let culprit = convicted
            .max_by(|a, b| a.1.likelihood_ratio.total_cmp(&b.1.likelihood_ratio))
            .map(|it| it.0);
        for it in &crash.runs {
            match self.after_crash(*it, crash.workers, culprit.is_some()) {
                Some(after) => drop(self.tasks.insert(it.task, after)),
                None => drop(self.tasks.remove(&it.task)),
            }
        }
        if culprit.is_none() {
            self.crashes_ms.push(crash.time_ms);
        }
        let is_given_up = |it: &TaskRef| {
            culprit == Some(*it) || self.get(*it).is_some_and(CrashEvidence::is_at_crash_limit)
        };
        crash.runs.iter().map(|it| it.task).filter(is_given_up).collect()
    }

    /// Returns what is held against a task after a crash, which another one may explain; nothing if
    /// it is too old to have caused it.
    fn after_crash(
        &self,
        it: CrashedRun,
        workers: usize,
        is_explained: bool,
    ) -> Option<CrashEvidence> {
        let before = self.get(it.task).unwrap_or_default();
        let crashes = self.crashes_ms.len().saturating_sub(before.crashes_in_row as usize);
        let baseline = BaselineCrashRate { crashes, workers };
        match it.was_confirmed_running {
            false if is_surely_too_old_to_suspect(it.age_ms) => None,
            false => Some(before.after_unobserved_crash()),
            true if is_too_old_to_suspect(it.age_ms) => None,
            true if is_explained => Some(before.after_explained_crash(it.age_ms)),
            true => Some(before.after_crash(it.age_ms, baseline)),
        }
    }

    /// Forgets the tasks of a workflow that is at its end.
    pub(super) fn forget(&mut self, workflow: WorkflowId) {
        self.tasks.retain(|task, _| task.workflow != workflow);
    }
}
