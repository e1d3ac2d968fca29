//! One workflow: its steps, their tasks and the runs of the tasks.

use std::{collections::HashSet, sync::Arc};

use crate::prelude::*;

/// A run and the worker that it is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskRun {
    pub run: u32,
    pub worker: WorkerId,
}

/// One task of a step.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Task {
    pub is_done: bool,
    /// Number of runs that counted as failed.
    pub failures: u32,
    /// Highest run number used so far.
    pub last_run: u32,
    /// Runs that may be on a worker.
    pub runs: Vec<TaskRun>,
    /// Progress saved by an earlier run, or empty.
    pub checkpoint: CompactString,
}

/// The tasks of a step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StepState {
    pub tasks: Vec<Task>,
    pub done_count: u32,
}

impl StepState {
    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }
}

/// One occurrence of a workflow.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Occurrence {
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// Returns whether all tasks of all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// A workflow that was accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workflow {
    pub queue: CompactString,
    pub spec: Arc<WorkflowSpec>,
    pub accepted_ms: u64,
    pub occurrences: Vec<Occurrence>,
    /// Whether a worker has begun a run, as far as the leader has learned it from a list.
    pub has_begun: bool,
    /// The final phase, once the workflow has ended.
    end: Option<WorkflowPhase>,
    pub ended_ms: u64,
}

impl Workflow {
    pub(super) fn new(submission: &SubmitWorkflow) -> Workflow {
        let new_occurrence = || {
            let new_tasks = |step: &WorkflowStep| vec![Task::default(); step.count as usize];
            let states = submission
                .spec
                .steps
                .iter()
                .map(|it| StepState { tasks: new_tasks(it), done_count: 0 });
            Occurrence { steps: states.collect() }
        };
        Workflow {
            queue: submission.queue.clone(),
            spec: Arc::new(submission.spec.clone()),
            accepted_ms: submission.accepted_ms,
            occurrences: (0..submission.spec.repeat_count.max(1))
                .map(|_| new_occurrence())
                .collect(),
            has_begun: false,
            end: None,
            ended_ms: 0,
        }
    }

    /// Returns whether the workflow has not ended.
    pub fn is_active(&self) -> bool {
        self.end.is_none()
    }

    pub fn phase(&self) -> WorkflowPhase {
        match self.end {
            Some(it) => it,
            None if self.has_begun => WorkflowPhase::Running,
            None => WorkflowPhase::Queued,
        }
    }

    pub fn task(&self, task: TaskRef) -> Option<&Task> {
        let steps = &self.occurrences.get(task.occurrence as usize)?.steps;
        steps.get(task.step as usize)?.tasks.get(task.index as usize)
    }

    /// Returns the time of day at which an occurrence is due, in ms since the Unix epoch.
    pub fn due_ms(&self, occurrence: usize) -> u64 {
        match self.spec.repeat_count {
            0 => 0,
            // Earlier versions accepted any numbers.
            _ => {
                let offset_ms = (occurrence as u64).saturating_mul(self.spec.interval_ms);
                self.spec.first_run_ms.saturating_add(offset_ms)
            }
        }
    }

    /// Returns whether all steps that a step waits for are done.
    pub fn are_prerequisites_done(&self, occurrence: &Occurrence, step: &WorkflowStep) -> bool {
        step.after
            .iter()
            .all(|it| occurrence.steps.get(*it as usize).is_some_and(StepState::is_done))
    }

    /// Returns whether a run of the workflow may be on a worker.
    pub fn has_live_runs(&self) -> bool {
        self.runs().next().is_some()
    }

    /// Returns whether a run of the workflow may be on one of `workers`.
    pub fn has_run_on_any(&self, workers: &HashSet<WorkerId>) -> bool {
        self.runs().any(|it| workers.contains(&it.worker))
    }

    /// Returns the workers with remaining runs of a task if it is done, or of all done tasks of its
    /// step if the step is a gang.
    pub(super) fn workers_with_runs_of_done(
        &self,
        task: TaskRef,
    ) -> impl Iterator<Item = WorkerId> {
        let occurrence = self.occurrences.get(task.occurrence as usize);
        let state = occurrence.and_then(|it| it.steps.get(task.step as usize));
        let is_gang = self.spec.steps.get(task.step as usize).is_some_and(|it| it.gang);
        let tasks = state.into_iter().flat_map(|it| it.tasks.iter().enumerate());
        let done_tasks = tasks
            .filter(move |(index, it)| it.is_done && (is_gang || *index == task.index as usize));
        done_tasks.flat_map(|(_, it)| it.runs.iter().map(|it| it.worker))
    }

    /// Returns the runs of the workflow that may be on a worker.
    pub fn runs(&self) -> impl Iterator<Item = &TaskRun> {
        let steps = self.occurrences.iter().flat_map(|it| &it.steps);
        steps.flat_map(|it| &it.tasks).flat_map(|it| &it.runs)
    }

    fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        let steps = &mut self.occurrences.get_mut(task.occurrence as usize)?.steps;
        steps.get_mut(task.step as usize)?.tasks.get_mut(task.index as usize)
    }

    pub(super) fn end(&mut self, phase: WorkflowPhase, time_ms: u64) {
        if self.end.is_none() {
            self.end = Some(phase);
            self.ended_ms = time_ms;
        }
    }

    /// Records a run and returns true, or returns false if the run is invalid: its number must be
    /// new, and its task must need another run.
    pub(super) fn begin(&mut self, run: RunRef, worker: WorkerId) -> bool {
        let Some(step) = self.spec.steps.get(run.task.step as usize) else { return false };
        let copies_max = if step.duplicates { 2 } else { 1 };
        let Some(task) = self.task_mut(run.task) else { return false };
        if task.is_done || run.run <= task.last_run || copies_max <= task.runs.len() {
            return false;
        }
        task.last_run = run.run;
        task.runs.push(TaskRun { run: run.run, worker });
        true
    }

    pub(super) fn void(&mut self, worker: WorkerId, run: RunRef) {
        if let Some(task) = self.task_mut(run.task) {
            task.runs.retain(|it| (it.run, it.worker) != (run.run, worker));
        }
    }

    /// Keeps a task from beginning again by a run that has failed.
    pub(super) fn hold(&mut self, worker: WorkerId, run: RunRef) {
        if let Some(task) = self.task_mut(run.task)
            && !task.runs.iter().any(|it| it.run == run.run)
        {
            task.runs.push(TaskRun { run: run.run, worker });
        }
    }

    /// Stores the checkpoint that a run has left, if any.
    pub(super) fn note_checkpoint(&mut self, end: &RunEnd) {
        let spec = self.spec.clone();
        if let Some(step) = spec.steps.get(end.run.task.step as usize)
            && !end.checkpoint.is_empty()
        {
            self.keep_checkpoint(step, end);
        }
    }

    /// Returns the number of failures counted for a task, or for its gang.
    pub(super) fn failures_of(&self, task_ref: TaskRef) -> u32 {
        let is_gang = self.spec.steps.get(task_ref.step as usize).is_some_and(|it| it.gang);
        let occurrence = self.occurrences.get(task_ref.occurrence as usize);
        let tasks = occurrence
            .and_then(|it| it.steps.get(task_ref.step as usize))
            .map_or(&[][..], |it| &it.tasks);
        match is_gang {
            true => tasks.iter().map(|it| it.failures).sum(),
            false => tasks.get(task_ref.index as usize).map_or(0, |it| it.failures),
        }
    }

    /// Applies the end of a run. Returns the final phase if the workflow ends by it.
    pub(super) fn finish(
        &mut self,
        worker: WorkerId,
        end: &RunEnd,
        attempts_max: u32,
    ) -> Option<WorkflowPhase> {
        self.void(worker, end.run);
        self.note_checkpoint(end);
        let spec = self.spec.clone();
        let step = spec.steps.get(end.run.task.step as usize)?;
        match end.outcome {
            RunOutcome::Done if !step.lasting => self.note_done(step, end.run.task),
            RunOutcome::Failed => return self.note_failed(step, end.run.task, attempts_max),
            _ => return None,
        }
        self.occurrences.iter().all(Occurrence::is_done).then_some(WorkflowPhase::Completed)
    }

    fn keep_checkpoint(&mut self, step: &WorkflowStep, end: &RunEnd) {
        let task_ref = end.run.task;
        // A gang has one checkpoint, whichever member reports it.
        let indexes = if step.gang { 0..step.count } else { task_ref.index..task_ref.index + 1 };
        for index in indexes {
            if let Some(task) = self.task_mut(TaskRef { index, ..task_ref }) {
                task.checkpoint = end.checkpoint.clone();
            }
        }
    }

    fn note_done(&mut self, step: &WorkflowStep, task_ref: TaskRef) {
        let Some(occurrence) = self.occurrences.get_mut(task_ref.occurrence as usize) else {
            return;
        };
        let Some(state) = occurrence.steps.get_mut(task_ref.step as usize) else { return };
        // One member that is done completes all members of a gang.
        let indexes = if step.gang { 0..step.count } else { task_ref.index..task_ref.index + 1 };
        for index in indexes {
            if let Some(task) = state.tasks.get_mut(index as usize)
                && !task.is_done
            {
                task.is_done = true;
                state.done_count += 1;
            }
        }
    }

    fn note_failed(
        &mut self,
        step: &WorkflowStep,
        task_ref: TaskRef,
        attempts_max: u32,
    ) -> Option<WorkflowPhase> {
        let task = self.task_mut(task_ref)?;
        task.failures += 1;
        if step.lasting || task.is_done {
            return None;
        }
        (attempts_max <= self.failures_of(task_ref)).then_some(WorkflowPhase::Failed)
    }
}

/// Returns the resources that one task of a step reserves on its worker. A best-effort task
/// (filler) reserves no CPU.
pub fn reservation_of(step: &WorkflowStep) -> Resources {
    let cpu_millicores = if step.filler { 0 } else { step.need.cpu_millicores };
    Resources { cpu_millicores, ..step.need }
}
