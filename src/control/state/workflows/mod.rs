//! The workflows of the group: jobs of steps, the runs of their tasks, and the workers they are
//! placed on.
//!
//! A run is in this ledger from before its worker is told to start it until its end is taken
//! from the worker's list, so that a new leader knows of everything that may run anywhere.

mod failures;
mod index;
mod suspects;
mod validation;
mod workers;
mod workflow;
mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    sync::Arc,
};

use crate::prelude::*;

use self::{
    failures::UnsettledFailures,
    suspects::{Crash, CrashedRun, is_crash},
};
pub use self::{
    suspects::Suspects,
    validation::{ValidationError, check_queues, check_spec},
    workers::{Worker, Workers},
    workflow::{Occurrence, StepState, TaskRun, Workflow, reservation_of},
};

/// Failed runs allowed where the queue of a workflow is no longer configured.
const ATTEMPTS_WITHOUT_QUEUE: u32 = 3;

/// Queues, workflows and workers.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Workflows {
    config: Option<Arc<QueueConfig>>,
    workflows: BTreeMap<WorkflowId, Workflow>,
    /// Workflows that are not at their end.
    active: BTreeSet<WorkflowId>,
    workers: Workers,
    /// What leaders have learned of images beside each other.
    #[serde(rename = "costs")]
    image_costs: Vec<ImageCost>,
    #[serde(skip)]
    index: index::Index,
    /// From here on what snapshots of earlier versions end before.
    evacuations: Evacuations,
    suspects: Suspects,
    failures: UnsettledFailures,
}

impl Workflows {
    /// Returns the queues in force.
    pub fn config(&self) -> Option<&Arc<QueueConfig>> {
        self.config.as_ref()
    }

    /// Returns the queue that serves a place: the longest prefix of the path on the host.
    pub fn queue_for_path(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |it: &&Queue| it.host == host && path.starts_with(it.path_prefix.as_str());
        let queues = &self.config.as_ref()?.queues;
        queues.iter().filter(matching).max_by_key(|it| it.path_prefix.len())
    }

    /// Returns a workflow.
    pub fn get(&self, id: WorkflowId) -> Option<&Workflow> {
        self.workflows.get(&id)
    }

    /// Returns the workflows that are not at their end.
    pub fn active(&self) -> impl Iterator<Item = (WorkflowId, &Workflow)> {
        self.active.iter().filter_map(|id| Some((*id, self.workflows.get(id)?)))
    }

    /// Returns how many workflows are known.
    pub fn len(&self) -> usize {
        self.workflows.len()
    }

    /// Returns whether no workflow is known.
    pub fn is_empty(&self) -> bool {
        self.workflows.is_empty()
    }

    /// Returns what leaders have learned of images beside each other.
    pub fn image_costs(&self) -> &[ImageCost] {
        &self.image_costs
    }

    /// Returns the availability zones that are out of use.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the tasks whose workers crashed.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns whether a worker stands in a zone that is out of use, where nothing may begin.
    pub fn is_evacuated(&self, id: WorkerId) -> bool {
        !self.evacuations.zones.is_empty()
            && self.workers.get(id).is_some_and(|it| self.evacuations.contains(&it.zone))
    }

    /// Returns whether a configuration is in force that does not name a pool of workers.
    pub fn is_unconfigured_service(&self, service: &str) -> bool {
        self.config.as_ref().is_some_and(|it| !it.services.iter().any(|known| known == service))
    }

    /// Returns the workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns the step of a task.
    pub fn step_of(&self, task: TaskRef) -> Option<&WorkflowStep> {
        self.workflows.get(&task.workflow)?.spec.steps.get(task.step as usize)
    }

    /// Returns whether a run may be on a worker, by what is known so far.
    pub fn has_run(&self, worker: WorkerId, run: RunRef) -> bool {
        self.workers.get(worker).is_some_and(|it| it.runs.contains(&run))
    }

    /// Returns what a worker knows of failures there that are not settled, if that settles any.
    pub fn failures_to_settle(&self, worker: WorkerId, noted: NotedEnds) -> Option<SettleFailures> {
        self.failures.failures_to_settle(worker, noted)
    }

    /// Returns the failures on a worker that are not settled.
    pub fn unsettled_failures_on(&self, worker: WorkerId) -> Vec<RunRef> {
        self.failures.on(worker)
    }

    /// Returns the failures that are not settled and whose workers were given up before a time.
    pub fn lost_failures_before(&self, time_ms: u64) -> Vec<RunRef> {
        self.failures.lost_before(time_ms)
    }

    /// Returns whether a run has nothing left to do: its task is done, or its workflow at its end.
    pub fn is_redundant(&self, run: RunRef) -> bool {
        let Some(workflow) = self.workflows.get(&run.task.workflow) else { return true };
        !workflow.is_active() || workflow.task(run.task).is_none_or(|it| it.is_done)
    }

    /// Returns the workers with runs that came to nothing by ends of others: other runs of a task
    /// that is done, and all of a workflow that is at its end.
    pub fn workers_with_redundant_runs(
        &self,
        ended: impl Iterator<Item = RunRef>,
    ) -> BTreeSet<WorkerId> {
        let mut res = BTreeSet::new();
        for at in ended.map(|it| it.task) {
            let Some(workflow) = self.workflows.get(&at.workflow) else { continue };
            match workflow.is_active() {
                true => res.extend(workflow.runs_of_done(at)),
                false => res.extend(workflow.runs().map(|it| it.worker)),
            }
        }
        res
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &WorkflowCommand, time_ms: u64) -> WorkflowOutcome {
        match command {
            WorkflowCommand::Install(it) => self.install(it),
            WorkflowCommand::Submit(it) => self.submit(it),
            WorkflowCommand::Cancel(id) => self.cancel(*id, time_ms),
            WorkflowCommand::Begin(runs) => self.begin(runs, time_ms),
            WorkflowCommand::Finish(it) => self.finish(it, time_ms),
            WorkflowCommand::Void(it) => self.void(it),
            WorkflowCommand::Enrol(it) => self.enrol(it, time_ms),
            WorkflowCommand::Dismiss(id) => self.dismiss(*id, time_ms),
            WorkflowCommand::Forget(before_ms) => self.forget(*before_ms),
            WorkflowCommand::Learn(costs) => {
                self.image_costs = costs.clone();
                WorkflowOutcome::Accepted
            }
            WorkflowCommand::Evacuate(it) => self.evacuations.apply(it, time_ms),
            WorkflowCommand::Resize(it) => self.resize(it),
            WorkflowCommand::Settle(it) => self.settle(it, time_ms),
        }
    }

    fn install(&mut self, it: &QueueConfig) -> WorkflowOutcome {
        let is_newer = self.config.as_ref().is_none_or(|old| old.version < it.version);
        if is_newer {
            self.config = Some(Arc::new(it.clone()));
            self.index_queues();
        }
        WorkflowOutcome::Accepted
    }

    fn submit(&mut self, it: &SubmitWorkflow) -> WorkflowOutcome {
        if let Entry::Vacant(entry) = self.workflows.entry(it.id) {
            entry.insert(Workflow::new(it));
            self.active.insert(it.id);
            self.index_workflow(it.id);
        }
        WorkflowOutcome::Accepted
    }

    fn cancel(&mut self, id: WorkflowId, time_ms: u64) -> WorkflowOutcome {
        if !self.workflows.contains_key(&id) {
            return WorkflowOutcome::Gone;
        }
        self.end_workflow(id, WorkflowPhase::Cancelled, time_ms);
        WorkflowOutcome::Accepted
    }

    /// Notes runs that are about to be ordered; one that no longer makes sense is passed over.
    fn begin(&mut self, runs: &[RunPlacement], time_ms: u64) -> WorkflowOutcome {
        for it in runs {
            if self.is_evacuated(it.worker) {
                continue;
            }
            let Some(workflow) = self.workflows.get_mut(&it.run.task.workflow) else { continue };
            let Some(worker) = self.workers.get_mut(it.worker) else { continue };
            let spec = workflow.spec.clone();
            if workflow.is_active()
                && let Some(step) = spec.steps.get(it.run.task.step as usize)
                && workflow.begin(it.run, it.worker)
            {
                worker.add(it.run, step);
                self.suspects.note_begun(it.run, time_ms);
                self.index_step(StepRef::of_task(it.run.task));
            }
        }
        WorkflowOutcome::Accepted
    }

    fn finish(&mut self, it: &FinishRuns, time_ms: u64) -> WorkflowOutcome {
        let Some(worker) = self.workers.get_mut(it.worker) else { return WorkflowOutcome::Gone };
        worker.cursor = worker.cursor.max(it.cursor);
        let crash = self.crash_of(&it.ends, time_ms);
        for end in &it.ends {
            self.finish_run(it.worker, end, it.cursor, time_ms);
        }
        let given_up = crash.map(|it| self.suspects.note_crash(&it)).unwrap_or_default();
        for task in given_up {
            self.end_workflow(task.workflow, WorkflowPhase::Failed, time_ms);
        }
        WorkflowOutcome::Accepted
    }

    /// Returns the crash that ends tell of, with the runs that still had something to do.
    fn crash_of(&self, ends: &[RunEnd], time_ms: u64) -> Option<Crash> {
        let mut crashed = ends.iter().filter(|it| is_crash(it.outcome)).peekable();
        crashed.peek()?;
        let row = |it: &RunEnd| {
            let age_ms = self.suspects.age_ms(it.run, time_ms)?;
            let was_confirmed_running = it.outcome == RunOutcome::Crashed;
            Some(CrashedRun { task: it.run.task, age_ms, was_confirmed_running })
        };
        let runs = crashed.filter(|it| !self.is_redundant(it.run)).filter_map(row).collect();
        Some(Crash { workers: self.workers.len(), time_ms, runs })
    }

    fn end_workflow(&mut self, id: WorkflowId, phase: WorkflowPhase, time_ms: u64) {
        let Some(workflow) = self.workflows.get_mut(&id) else { return };
        workflow.end(phase, time_ms);
        self.suspects.forget(id);
        self.failures.forget(id);
        self.active.remove(&id);
        self.index_workflow(id);
    }

    /// Takes in the end of a run that is held here.
    ///
    /// A worker lists an end until it hears that it was taken note of, and lists it again after it
    /// was given up and has enrolled anew. So an end counts by its run, once, and not after the run
    /// was concluded: counted by its place in the list, one failure ended a workflow as three. Only
    /// what is done stays done, whoever tells it, since the task must not be done again.
    fn finish_run(&mut self, worker: WorkerId, end: &RunEnd, cursor: u64, time_ms: u64) {
        let is_held = self.has_run(worker, end.run);
        if !is_held && end.outcome != RunOutcome::Done {
            return;
        }
        self.release(worker, end.run);
        match end.outcome {
            // What it takes is free; its task waits until the worker knows of the end.
            RunOutcome::Failed if self.has_last_attempt(end.run.task) => {
                self.failures.open(worker, end.clone(), cursor);
            }
            _ => self.conclude(worker, end, time_ms),
        }
    }

    fn count_failure(&mut self, run: RunRef, time_ms: u64) {
        if let Some(it) = self.failures.take(run) {
            self.conclude(it.worker, &it.end, time_ms);
        }
    }

    /// Returns whether the attempts of a task are bounded: those of one that lasts are not.
    fn has_last_attempt(&self, task: TaskRef) -> bool {
        self.step_of(task).is_some_and(|it| !it.lasting)
    }

    /// Lets the end of a run count for its task and its workflow.
    fn conclude(&mut self, worker: WorkerId, end: &RunEnd, time_ms: u64) {
        let id = end.run.task.workflow;
        let attempts_max = self.attempts_max_of(id);
        let is_gang = self.step_of(end.run.task).is_some_and(|it| it.gang);
        if is_gang && end.outcome == RunOutcome::Failed && !self.failures.note_gang(end.run) {
            return self.void_run(worker, end.run);
        }
        let Some(workflow) = self.workflows.get_mut(&id) else { return };
        let phase = workflow.finish(worker, end, attempts_max);
        let is_given_up = !is_crash(end.outcome) && self.suspects.note_end(end, time_ms);
        self.suspects.note_over(end.run);
        match phase.or(is_given_up.then_some(WorkflowPhase::Failed)) {
            Some(phase) => self.end_workflow(id, phase, time_ms),
            None => self.index_after(StepRef::of_task(end.run.task)),
        }
    }

    /// Lets failures count that their worker knows to be taken note of, and drops those that it
    /// never will.
    fn settle(&mut self, it: &SettleFailures, time_ms: u64) -> WorkflowOutcome {
        it.counted.iter().for_each(|run| self.count_failure(*run, time_ms));
        for run in &it.lapsed {
            if let Some(it) = self.failures.take(*run) {
                self.void_run(it.worker, *run);
            }
        }
        WorkflowOutcome::Accepted
    }

    fn attempts_max_of(&self, id: WorkflowId) -> u32 {
        let queue = self.workflows.get(&id).and_then(|it| self.queue(&it.queue));
        queue.map_or(ATTEMPTS_WITHOUT_QUEUE, |it| it.attempts_max.max(1))
    }

    fn void(&mut self, it: &VoidRuns) -> WorkflowOutcome {
        for run in &it.runs {
            self.release(it.worker, *run);
            self.void_run(it.worker, *run);
        }
        WorkflowOutcome::Accepted
    }

    /// Forgets a run that came to nothing, so that its task may begin again.
    fn void_run(&mut self, worker: WorkerId, run: RunRef) {
        self.suspects.note_over(run);
        if let Some(workflow) = self.workflows.get_mut(&run.task.workflow) {
            workflow.void(worker, run);
            self.index_step(StepRef::of_task(run.task));
        }
    }

    fn release(&mut self, worker: WorkerId, run: RunRef) {
        // A workflow is kept for as long as a run of it may be anywhere.
        let Some(workflow) = self.workflows.get(&run.task.workflow) else { return };
        let Some(step) = workflow.spec.steps.get(run.task.step as usize) else { return };
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.remove(run, step);
        }
    }

    /// Takes in a new lifetime; what ran on an earlier one beside the same node is over.
    fn enrol(&mut self, it: &EnrolWorker, time_ms: u64) -> WorkflowOutcome {
        if self.workers.find(it.node, &it.name).is_some() {
            return WorkflowOutcome::Accepted;
        }
        for id in self.workers.ids_at_node(it.node) {
            self.dismiss(id, time_ms);
        }
        let id = self.workers.enrol(it);
        // An attempt that may have counted must not be made again.
        for run in self.failures.note_enrolled(id, it) {
            self.count_failure(run, time_ms);
        }
        WorkflowOutcome::Accepted
    }

    fn resize(&mut self, it: &ResizeWorker) -> WorkflowOutcome {
        let Some(worker) = self.workers.get_mut(it.worker) else { return WorkflowOutcome::Gone };
        worker.capacity = it.capacity;
        WorkflowOutcome::Accepted
    }

    fn dismiss(&mut self, id: WorkerId, time_ms: u64) -> WorkflowOutcome {
        let Some(worker) = self.workers.remove(id) else { return WorkflowOutcome::Gone };
        self.failures.lose(id, &worker, time_ms);
        worker.runs.into_iter().for_each(|it| self.void_run(id, it));
        WorkflowOutcome::Accepted
    }

    fn forget(&mut self, before_ms: u64) -> WorkflowOutcome {
        self.workflows
            .retain(|_, it| it.is_active() || before_ms <= it.ended_ms || it.has_live_runs());
        WorkflowOutcome::Accepted
    }
}
