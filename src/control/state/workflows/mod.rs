//! Workflows (jobs made of steps), the runs of their tasks, and the workers that the runs are
//! placed on.
//!
//! A run is recorded here before its worker is ordered to start it, and stays recorded until its
//! end has been read from the worker's list. So a new leader knows every run that may be active.

mod failures;
mod index;
mod settling;
mod silences;
mod suspects;
mod tombstones;
mod usage;
mod validation;
mod workers;
mod workflow;
mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    sync::Arc,
};

use crate::{control::state::Demand, prelude::*, schema::memory::workflow_bytes};

use self::{
    failures::UnsettledFailures,
    silences::Silences,
    suspects::{Crash, CrashedRun, is_crash},
};
pub use self::{
    silences::ResolvedTasks,
    suspects::Suspects,
    tombstones::Tombstones,
    validation::{STEPS_MAX, ValidationError, check_queues, check_spec},
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
    /// Workflows that have not ended.
    active: BTreeSet<WorkflowId>,
    workers: Workers,
    /// Contention between images on one worker, as measured by leaders.
    #[serde(rename = "costs")]
    image_costs: Vec<ImageCost>,
    #[serde(skip)]
    index: index::Index,
    /// Estimated memory of `workflows`.
    #[serde(skip)]
    memory_bytes: usize,
    /// The silences that the last registration resolved, for the log.
    #[serde(skip)]
    last_resolved: ResolvedTasks,
    // Snapshots of earlier versions lack the following fields; see `MISSING_TAIL_BYTES`.
    evacuations: Evacuations,
    suspects: Suspects,
    failures: UnsettledFailures,
    demand: Demand,
    silences: Silences,
    tombstones: Tombstones,
}

impl Workflows {
    /// Returns the queue configuration in force, if any.
    pub fn config(&self) -> Option<&Arc<QueueConfig>> {
        self.config.as_ref()
    }

    /// Returns the queue that serves a URL: the one on the host with the longest matching path
    /// prefix.
    pub fn queue_for_path(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches_url =
            |it: &&Queue| it.host == host && path.starts_with(it.path_prefix.as_str());
        let queues = &self.config.as_ref()?.queues;
        queues.iter().filter(matches_url).max_by_key(|it| it.path_prefix.len())
    }

    pub fn get(&self, id: WorkflowId) -> Option<&Workflow> {
        self.workflows.get(&id)
    }

    /// Returns the workflows that have not ended.
    pub fn active(&self) -> impl Iterator<Item = (WorkflowId, &Workflow)> {
        self.active.iter().filter_map(|id| Some((*id, self.workflows.get(id)?)))
    }

    /// Returns the number of stored workflows, ended ones included.
    pub fn len(&self) -> usize {
        self.workflows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.workflows.is_empty()
    }

    /// Returns the estimated memory of all stored workflows, with their tasks.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Returns the contention between images on one worker, as measured by leaders.
    pub fn image_costs(&self) -> &[ImageCost] {
        &self.image_costs
    }

    /// Returns the evacuated availability zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the tasks suspected of crashing their workers.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the cancelled workflows that were not known.
    pub fn tombstones(&self) -> &Tombstones {
        &self.tombstones
    }

    /// Returns whether a workflow was cancelled, so that its submission is refused.
    pub fn is_cancelled(&self, id: WorkflowId) -> bool {
        match self.workflows.get(&id) {
            Some(it) => it.phase() == WorkflowPhase::Cancelled,
            None => self.tombstones.contains(id),
        }
    }

    /// Returns what callers ask for, and what leaders have learned.
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// Returns who competes for capacity with a workflow.
    pub fn caller_of(&self, id: WorkflowId) -> Option<Caller> {
        let queue = self.workflows.get(&id)?.queue.clone();
        Some(Caller { queue, zone: self.demand.zone_of(id) })
    }

    /// Returns whether a worker is in an evacuated zone, where no run may begin.
    pub fn is_evacuated(&self, id: WorkerId) -> bool {
        !self.evacuations.zones.is_empty()
            && self.workers.get(id).is_some_and(|it| self.evacuations.contains(&it.zone))
    }

    /// Returns whether a queue configuration is in force that does not list this service.
    pub fn is_unconfigured_service(&self, service: &str) -> bool {
        self.config.as_ref().is_some_and(|it| !it.services.iter().any(|known| known == service))
    }

    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns the step of a task.
    pub fn step_of(&self, task: TaskRef) -> Option<&WorkflowStep> {
        self.workflows.get(&task.workflow)?.spec.steps.get(task.step as usize)
    }

    /// Returns whether a run is recorded on a worker, where it may be active.
    pub fn has_run(&self, worker: WorkerId, run: RunRef) -> bool {
        self.workers.get(worker).is_some_and(|it| it.runs.contains(&run))
    }

    /// Returns whether a run is no longer needed: its task is done or its workflow has ended.
    pub fn is_redundant(&self, run: RunRef) -> bool {
        let Some(workflow) = self.workflows.get(&run.task.workflow) else { return true };
        !workflow.is_active() || workflow.task(run.task).is_none_or(|it| it.is_done)
    }

    /// Returns the workers with runs that became redundant by the end of another run: further runs
    /// of a task that is done, and all runs of a workflow that has ended.
    pub fn workers_with_redundant_runs(
        &self,
        ended: impl Iterator<Item = RunRef>,
    ) -> BTreeSet<WorkerId> {
        let mut res = BTreeSet::new();
        for task in ended.map(|it| it.task) {
            let Some(workflow) = self.workflows.get(&task.workflow) else { continue };
            match workflow.is_active() {
                true => res.extend(workflow.workers_with_runs_of_done(task)),
                false => res.extend(workflow.runs().map(|it| it.worker)),
            }
        }
        res
    }

    pub fn apply(&mut self, command: &WorkflowCommand, time_ms: u64) -> WorkflowOutcome {
        match command {
            WorkflowCommand::Install(it) => self.install(it),
            WorkflowCommand::Submit(it) => self.submit(it),
            WorkflowCommand::Cancel(id) => self.cancel(*id, time_ms),
            WorkflowCommand::Begin(runs) => self.begin(runs, time_ms),
            WorkflowCommand::Finish(it) => self.finish(it, time_ms),
            WorkflowCommand::Void(it) => self.void(it, time_ms),
            WorkflowCommand::Enrol(it) => self.enrol(it, time_ms),
            WorkflowCommand::Dismiss(id) => self.dismiss(*id, time_ms),
            WorkflowCommand::Forget(before_ms) => self.forget(*before_ms, time_ms),
            WorkflowCommand::Learn(costs) => {
                self.image_costs = costs.clone();
                WorkflowOutcome::Accepted
            }
            WorkflowCommand::Evacuate(it) => self.evacuations.apply(it, time_ms),
            WorkflowCommand::Resize(it) => self.resize(it),
            WorkflowCommand::Settle(it) => self.settle(it, time_ms),
            WorkflowCommand::SubmitFrom(it) => self.submit_from(it),
            WorkflowCommand::LearnRunTimes(it) => {
                self.demand.learn_run_times(it);
                WorkflowOutcome::Accepted
            }
            WorkflowCommand::LearnSpeeds(it) => {
                self.demand.learn_speeds(it);
                WorkflowOutcome::Accepted
            }
            WorkflowCommand::ConfirmBegun(ids) => self.confirm_begun(ids),
            WorkflowCommand::RecordTombstones(it) => self.record_tombstones(it, time_ms),
        }
    }

    fn install(&mut self, config: &QueueConfig) -> WorkflowOutcome {
        let is_newer = self.config.as_ref().is_none_or(|old| old.version < config.version);
        if is_newer {
            self.config = Some(Arc::new(config.clone()));
            self.index_queues();
        }
        WorkflowOutcome::Accepted
    }

    fn submit(&mut self, submission: &SubmitWorkflow) -> WorkflowOutcome {
        if self.is_cancelled(submission.id) {
            return WorkflowOutcome::Gone;
        }
        if let Entry::Vacant(entry) = self.workflows.entry(submission.id) {
            self.memory_bytes += workflow_bytes(&submission.spec);
            entry.insert(Workflow::new(submission));
            self.active.insert(submission.id);
            self.index_workflow(submission.id);
        }
        WorkflowOutcome::Accepted
    }

    fn submit_from(&mut self, it: &OriginatedWorkflow) -> WorkflowOutcome {
        // The caller of a workflow stays, since its usage is counted by it.
        if !self.workflows.contains_key(&it.workflow.id) && !self.is_cancelled(it.workflow.id) {
            self.demand.note_submitted(it.workflow.id, it.zone.clone());
        }
        self.submit(&it.workflow)
    }

    fn cancel(&mut self, id: WorkflowId, time_ms: u64) -> WorkflowOutcome {
        if !self.workflows.contains_key(&id) {
            return WorkflowOutcome::Gone;
        }
        self.end_workflow(id, WorkflowPhase::Cancelled, time_ms);
        WorkflowOutcome::Accepted
    }

    /// Cancels workflows, and remembers the cancels of those that are not known. [`Self::cancel`]
    /// remembers none: in logs of earlier versions, such a workflow was accepted later.
    fn record_tombstones(&mut self, it: &RecordedTombstones, time_ms: u64) -> WorkflowOutcome {
        for id in &it.ids {
            match self.workflows.contains_key(id) {
                true => self.end_workflow(*id, WorkflowPhase::Cancelled, time_ms),
                false => self.tombstones.record(*id, time_ms),
            }
        }
        if 0 < it.expired_before_ms {
            self.tombstones.expire(it.expired_before_ms);
        }
        WorkflowOutcome::Gone
    }

    /// Records runs before their workers are ordered to start them. Skips runs that are no longer
    /// valid.
    fn begin(&mut self, runs: &[RunPlacement], time_ms: u64) -> WorkflowOutcome {
        for placement in runs {
            if self.is_evacuated(placement.worker) {
                continue;
            }
            let Some(workflow) = self.workflows.get_mut(&placement.run.task.workflow) else {
                continue;
            };
            let Some(worker) = self.workers.get_mut(placement.worker) else { continue };
            let spec = workflow.spec.clone();
            if workflow.is_active()
                && let Some(step) = spec.steps.get(placement.run.task.step as usize)
                && workflow.begin(placement.run, placement.worker)
            {
                worker.add(placement.run, step);
                self.add_usage(placement.run, time_ms);
                self.suspects.note_begun(placement.run, time_ms);
                self.index_step(StepRef::of_task(placement.run.task));
            }
        }
        WorkflowOutcome::Accepted
    }

    fn finish(&mut self, ended_runs: &FinishRuns, time_ms: u64) -> WorkflowOutcome {
        let Some(worker) = self.workers.get_mut(ended_runs.worker) else {
            return WorkflowOutcome::Gone;
        };
        // Ends that a worker has reported come with a new cursor.
        let was_silent = ended_runs.cursor <= worker.cursor;
        worker.cursor = worker.cursor.max(ended_runs.cursor);
        if was_silent {
            self.note_silence(ended_runs, time_ms);
        }
        let crash = self.crash_from_ends(&ended_runs.ends, time_ms);
        for end in &ended_runs.ends {
            if !was_silent {
                self.confirm_begun(&[end.run.task.workflow]);
            }
            self.finish_run(ended_runs.worker, end, ended_runs.cursor, time_ms);
        }
        let given_up = crash.map(|it| self.suspects.note_crash(&it)).unwrap_or_default();
        for task in given_up {
            self.end_workflow(task.workflow, WorkflowPhase::Failed, time_ms);
        }
        self.recount_silent_workers(ended_runs.ends.iter().map(|it| it.run.task));
        WorkflowOutcome::Accepted
    }

    fn confirm_begun(&mut self, ids: &[WorkflowId]) -> WorkflowOutcome {
        for id in ids {
            if let Some(it) = self.workflows.get_mut(id) {
                it.has_begun = true;
            }
        }
        WorkflowOutcome::Accepted
    }

    /// Returns the worker crash that the run ends report, with the crashed runs that were still
    /// needed. Returns `None` if no run crashed.
    fn crash_from_ends(&self, ends: &[RunEnd], time_ms: u64) -> Option<Crash> {
        let mut crashed = ends.iter().filter(|it| is_crash(it.outcome)).peekable();
        crashed.peek()?;
        let to_crashed_run = |it: &RunEnd| {
            let age_ms = self.suspects.age_ms(it.run, time_ms)?;
            let was_confirmed_running = it.outcome == RunOutcome::Crashed;
            Some(CrashedRun { task: it.run.task, age_ms, was_confirmed_running })
        };
        let runs =
            crashed.filter(|it| !self.is_redundant(it.run)).filter_map(to_crashed_run).collect();
        Some(Crash { worker_count: self.workers.len(), time_ms, runs })
    }

    fn end_workflow(&mut self, id: WorkflowId, phase: WorkflowPhase, time_ms: u64) {
        let Some(workflow) = self.workflows.get_mut(&id) else { return };
        workflow.end(phase, time_ms);
        self.suspects.forget(id);
        self.failures.forget(id);
        self.active.remove(&id);
        self.index_workflow(id);
    }

    /// Records the end of a run.
    ///
    /// A worker lists an end until it receives the acknowledgement, and lists it again after it was
    /// marked as lost and has registered anew. So an end is identified by its run, and counts only
    /// while the run is recorded on the worker: identified by its position in the list, one failure
    /// counted three times and ended a workflow. A `Done` end counts from any worker, since the
    /// task must not run again.
    fn finish_run(&mut self, worker: WorkerId, end: &RunEnd, cursor: u64, time_ms: u64) {
        let is_recorded = self.has_run(worker, end.run);
        if !is_recorded && end.outcome != RunOutcome::Done {
            return;
        }
        self.release(worker, end.run, time_ms);
        match end.outcome {
            RunOutcome::Failed if self.has_limited_attempts(end.run.task) => {
                self.add_unsettled_failure(worker, end, cursor, time_ms);
            }
            _ => self.conclude(worker, end, time_ms),
        }
    }

    /// Returns whether the attempts of a task are limited: those of a long-running task are not.
    fn has_limited_attempts(&self, task: TaskRef) -> bool {
        self.step_of(task).is_some_and(|it| !it.lasting)
    }

    /// Applies the end of a run to its task and its workflow.
    fn conclude(&mut self, worker: WorkerId, end: &RunEnd, time_ms: u64) {
        let id = end.run.task.workflow;
        let attempts_max = self.attempts_max_of(id);
        let is_gang = self.step_of(end.run.task).is_some_and(|it| it.gang);
        if is_gang && end.outcome == RunOutcome::Failed && !self.failures.note_gang_failure(end.run)
        {
            return self.void_run(worker, end.run);
        }
        let Some(workflow) = self.workflows.get_mut(&id) else { return };
        let phase = workflow.finish(worker, end, attempts_max);
        if !is_crash(end.outcome) {
            self.suspects.note_end(end, time_ms);
        }
        self.suspects.forget_run(end.run);
        match phase {
            Some(phase) => self.end_workflow(id, phase, time_ms),
            None => self.index_step_and_dependents(StepRef::of_task(end.run.task)),
        }
    }

    fn attempts_max_of(&self, id: WorkflowId) -> u32 {
        let queue = self.workflows.get(&id).and_then(|it| self.queue(&it.queue));
        queue.map_or(ATTEMPTS_WITHOUT_QUEUE, |it| it.attempts_max.max(1))
    }

    fn void(&mut self, voided: &VoidRuns, time_ms: u64) -> WorkflowOutcome {
        for run in &voided.runs {
            self.release(voided.worker, *run, time_ms);
            self.void_run(voided.worker, *run);
        }
        WorkflowOutcome::Accepted
    }

    /// Removes a run without counting its end, so that its task may begin again.
    fn void_run(&mut self, worker: WorkerId, run: RunRef) {
        self.suspects.forget_run(run);
        if let Some(workflow) = self.workflows.get_mut(&run.task.workflow) {
            workflow.void(worker, run);
            self.index_step(StepRef::of_task(run.task));
        }
    }

    fn release(&mut self, worker: WorkerId, run: RunRef, time_ms: u64) {
        // A workflow is kept as long as one of its runs may be on a worker.
        let Some(workflow) = self.workflows.get(&run.task.workflow) else { return };
        let Some(step) = workflow.spec.steps.get(run.task.step as usize) else { return };
        let worker = self.workers.get_mut(worker);
        if worker.is_some_and(|it| it.remove(run, step)) {
            self.remove_usage(run, time_ms);
        }
    }

    /// Registers a worker incarnation and dismisses earlier ones at the same node, whose runs are
    /// over.
    fn enrol(&mut self, registration: &EnrolWorker, time_ms: u64) -> WorkflowOutcome {
        self.last_resolved = ResolvedTasks::default();
        if self.workers.find(registration.node, &registration.name).is_some() {
            return WorkflowOutcome::Accepted;
        }
        for id in self.workers.ids_at_node(registration.node) {
            self.dismiss(id, time_ms);
        }
        let id = self.workers.enrol(registration);
        self.resolve_silences(registration, time_ms);
        // An earlier incarnation at this node can no longer report whether these failures were
        // acknowledged. They count, since an attempt that may have counted must not be repeated.
        for run in self.failures.note_enrolled(id, registration) {
            self.count_failure(run, time_ms);
        }
        WorkflowOutcome::Accepted
    }

    fn resize(&mut self, resize: &ResizeWorker) -> WorkflowOutcome {
        let Some(worker) = self.workers.get_mut(resize.worker) else {
            return WorkflowOutcome::Gone;
        };
        worker.capacity = resize.capacity;
        WorkflowOutcome::Accepted
    }

    fn dismiss(&mut self, id: WorkerId, time_ms: u64) -> WorkflowOutcome {
        let Some(worker) = self.workers.remove(id) else { return WorkflowOutcome::Gone };
        self.failures.mark_lost(id, &worker, time_ms);
        for run in worker.runs {
            self.remove_usage(run, time_ms);
            self.void_run(id, run);
        }
        WorkflowOutcome::Accepted
    }

    fn forget(&mut self, before_ms: u64, time_ms: u64) -> WorkflowOutcome {
        self.workflows
            .retain(|_, it| it.is_active() || before_ms <= it.ended_ms || it.has_live_runs());
        self.memory_bytes = self.workflows.values().map(|it| workflow_bytes(&it.spec)).sum();
        self.demand.retain(|id| self.workflows.contains_key(&id));
        self.demand.usage_mut().drop_faded(time_ms);
        let unresolved = self.silences.expire(time_ms);
        self.recount_silent_workers(unresolved.into_iter());
        WorkflowOutcome::Accepted
    }
}
