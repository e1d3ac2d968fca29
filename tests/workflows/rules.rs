//! Checks invariants on what workers and clients observe.

use std::collections::{BTreeMap, BTreeSet};

use aspenrail::{control::state::reservation_of, prelude::*};

/// Worker crashes of a task after which its starts are counted, and count that is a violation.
const CRASHES_MAX: u32 = 3;

/// Number of runs that a workflow must lose in worker crashes before it may be given up.
const CRASHES_MIN: u32 = 2;

/// Events that workers and clients observed, and the invariants that these violate.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    pub submitted: BTreeMap<u64, WorkflowSpec>,
    live_runs: BTreeMap<TaskRef, (RunRef, CompactString)>,
    done: BTreeSet<TaskRef>,
    noted_done: BTreeSet<TaskRef>,
    noted_failures: BTreeMap<TaskRef, u32>,
    /// Runs that failed, except those whose worker's lease expired before the end was noted:
    /// these do not count as attempts.
    failed_runs: BTreeSet<RunRef>,
    /// Number of runs lost in worker crashes of any cause, by workflow.
    lost_runs_by_workflow: BTreeMap<u64, u32>,
    attempts_max: u32,
    pub starts: u32,
    starts_by_worker: BTreeMap<CompactString, u32>,
    started_runs: BTreeSet<RunRef>,
    /// Worker crashes that each task caused, and its starts since the third.
    crashes_by_task: BTreeMap<TaskRef, u32>,
    starts_after_crashes: BTreeMap<TaskRef, u32>,
    /// Times from which no run may start in a zone.
    closed_from_ms: BTreeMap<CompactString, u64>,
    pub violations: Vec<String>,
}

impl InvariantChecker {
    pub fn new(attempts_max: u32) -> InvariantChecker {
        InvariantChecker { attempts_max, ..InvariantChecker::default() }
    }

    pub fn record_start(&mut self, run: RunRef, worker: &str, now_ms: u64) {
        self.starts += 1;
        self.started_runs.insert(run);
        *self.starts_by_worker.entry(worker.into()).or_insert(0) += 1;
        let Some(spec) = self.submitted.get(&run.task.workflow.0) else {
            return self
                .violations
                .push(format!("{now_ms}: {run:?} starts, but its workflow was never submitted"));
        };
        for dependency in &spec.steps[run.task.step as usize].after {
            let count = spec.steps[*dependency as usize].count;
            let all_done = (0..count)
                .all(|index| self.done.contains(&TaskRef { step: *dependency, index, ..run.task }));
            if !all_done {
                self.violations
                    .push(format!("{now_ms}: {run:?} starts before step {dependency} is done"));
            }
        }
        if let Some((other, other_worker)) = self.live_runs.get(&run.task) {
            self.violations.push(format!(
                "{now_ms}: {run:?} starts on {worker} while {other:?} runs on {other_worker}"
            ));
        }
        if self.noted_done.contains(&run.task) {
            self.violations
                .push(format!("{now_ms}: {run:?} starts although the task is noted as done"));
        }
        if self.attempts_max <= self.noted_failures.get(&run.task).copied().unwrap_or(0) {
            self.violations
                .push(format!("{now_ms}: {run:?} starts although its attempts are used up"));
        }
        if CRASHES_MAX <= self.crashes_by_task.get(&run.task).copied().unwrap_or(0) {
            let starts = self.starts_after_crashes.entry(run.task).or_insert(0);
            *starts += 1;
            if CRASHES_MAX <= *starts {
                self.violations.push(format!(
                    "{now_ms}: {run:?} is start {starts} after {CRASHES_MAX} crashes"
                ));
            }
        }
        self.live_runs.insert(run.task, (run, worker.into()));
    }

    /// Returns the resources that a run reserves on its worker.
    pub fn reservation_of(&self, run: RunRef) -> Option<Resources> {
        let spec = self.submitted.get(&run.task.workflow.0)?;
        spec.steps.get(run.task.step as usize).map(reservation_of)
    }

    /// Records that a run crashed its worker.
    pub fn record_crash_by(&mut self, run: RunRef) {
        *self.crashes_by_task.entry(run.task).or_insert(0) += 1;
    }

    /// Returns the number of worker crashes that tasks caused.
    pub fn crashes_caused(&self) -> u32 {
        self.crashes_by_task.values().sum()
    }

    /// Sets the time from which no run may start in a zone, or clears it before the zone is reopened.
    pub fn set_zone_closed(&mut self, zone: &str, from_ms: Option<u64>) {
        match from_ms {
            Some(from_ms) => drop(self.closed_from_ms.insert(zone.into(), from_ms)),
            None => drop(self.closed_from_ms.remove(zone)),
        }
    }

    /// Checks that a run does not start in a closed zone.
    pub fn check_start_zone(&mut self, zone: &str, run: RunRef, now_ms: u64) {
        if self.closed_from_ms.get(zone).is_some_and(|it| *it < now_ms) {
            self.violations.push(format!("{now_ms}: {run:?} starts in {zone}, which is evacuated"));
        }
    }

    /// Returns the number of running tasks.
    pub fn running_task_count(&self) -> usize {
        self.live_runs.len()
    }

    /// Returns whether a run of a workflow is in progress.
    pub fn is_running(&self, id: u64) -> bool {
        self.live_runs.keys().any(|it| it.workflow.0 == id)
    }

    /// Returns the number of noted failures of a task.
    pub fn noted_failures(&self, task: TaskRef) -> u32 {
        self.noted_failures.get(&task).copied().unwrap_or(0)
    }

    pub fn starts_on(&self, worker: &str) -> u32 {
        self.starts_by_worker.get(worker).copied().unwrap_or(0)
    }

    /// Returns whether any worker started a run.
    pub fn has_started(&self, run: RunRef) -> bool {
        self.started_runs.contains(&run)
    }

    /// Returns whether any worker started a run of a workflow.
    pub fn has_started_workflow(&self, id: u64) -> bool {
        self.started_runs.iter().any(|it| it.task.workflow.0 == id)
    }

    pub fn record_end(&mut self, run: RunRef, outcome: RunOutcome) {
        if self.live_runs.get(&run.task).is_some_and(|(live_run, _)| *live_run == run) {
            self.live_runs.remove(&run.task);
        }
        match outcome {
            RunOutcome::Done => drop(self.done.insert(run.task)),
            RunOutcome::Failed => drop(self.failed_runs.insert(run)),
            _ => (),
        }
    }

    /// Records that the worker's lease expired before the end of a run was noted.
    pub fn record_lapse(&mut self, run: RunRef) {
        self.failed_runs.remove(&run);
    }

    pub fn record_noted_end(&mut self, run: RunRef, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Done => drop(self.noted_done.insert(run.task)),
            RunOutcome::Failed => *self.noted_failures.entry(run.task).or_insert(0) += 1,
            _ => (),
        }
    }

    pub fn record_worker_crash<'a>(
        &mut self,
        _worker: &str,
        runs: impl Iterator<Item = &'a RunRef>,
    ) {
        for run in runs {
            *self.lost_runs_by_workflow.entry(run.task.workflow.0).or_insert(0) += 1;
            if self.live_runs.get(&run.task).is_some_and(|(live_run, _)| live_run == run) {
                self.live_runs.remove(&run.task);
            }
        }
    }

    /// Checks the phase of a workflow that a client received.
    pub fn check_phase(&mut self, id: u64, phase: WorkflowPhase) {
        let Some(spec) = self.submitted.get(&id) else {
            return self.violations.push(format!("{id} is shown but was never submitted"));
        };
        let tasks = spec.steps.iter().enumerate().flat_map(|(step, it)| {
            (0..it.count).map(move |index| TaskRef {
                workflow: WorkflowId(id),
                occurrence: 0,
                step: step as u32,
                index,
            })
        });
        if phase == WorkflowPhase::Completed
            && let Some(task) = tasks.into_iter().find(|it| !self.done.contains(it))
        {
            self.violations.push(format!("{id} is shown as completed, but {task:?} is not done"));
        }
        if phase == WorkflowPhase::Running && !self.has_started_workflow(id) {
            self.violations.push(format!("{id} is shown as running, but no worker has begun it"));
        }
        let may_be_given_up =
            CRASHES_MIN <= self.lost_runs_by_workflow.get(&id).copied().unwrap_or(0);
        let failures = self.failures_max(id);
        if phase == WorkflowPhase::Failed && !may_be_given_up && failures < self.attempts_max {
            let max = self.attempts_max;
            self.violations
                .push(format!("{id} is shown as failed after {failures} failures of {max}"));
        }
    }

    /// Returns the highest number of failures of any task or gang of a workflow. A start of a gang
    /// counts as one failure, however many of its members fail.
    pub fn failures_max(&self, id: u64) -> u32 {
        let steps = &self.submitted[&id].steps;
        let mut starts: BTreeSet<(u32, Option<u32>, u32)> = BTreeSet::new();
        for run in self.failed_runs.iter().filter(|it| it.task.workflow.0 == id) {
            let is_gang = steps[run.task.step as usize].gang;
            starts.insert((run.task.step, (!is_gang).then_some(run.task.index), run.run));
        }
        let mut counts: BTreeMap<(u32, Option<u32>), u32> = BTreeMap::new();
        starts.iter().for_each(|it| *counts.entry((it.0, it.1)).or_insert(0) += 1);
        counts.into_values().max().unwrap_or(0)
    }
}
