//! Places the tasks of steps on workers, one step after the other.

use std::{
    cell::Cell,
    collections::{BTreeSet, BinaryHeap, HashMap},
};

use crate::{
    control::{
        dispatch::{
            capacity::{FreeCapacity, PlacementMode, Preference, TaskDemand},
            isolations::Isolations,
            plan::holds::Holds,
            probations::Probations,
            run_monitor::RunKind,
        },
        state::{StepState, Workflow, Workflows},
    },
    policy::{
        contention::{ContentionModel, images::ImageKey},
        crash_evidence::is_too_old_to_suspect,
        start_breaker::BreakerState,
    },
    prelude::*,
};

/// Builds a plan.
pub(super) struct PlanBuilder<'a, 'r> {
    pub(super) workflows: &'a Workflows,
    /// In the order of their ids.
    pub(super) workers: Vec<&'r mut FreeCapacity>,
    pub(super) contention: &'a mut ContentionModel,
    pub(super) probations: Probations,
    isolations: Isolations,
    now_wall_ms: u64,
    pub(super) runs: Vec<RunPlacement>,
    pub(super) changed_workers: BTreeSet<WorkerId>,
    pub(super) holds: Holds<'a>,
    /// Requirements that no worker could meet. Free capacity only shrinks while a plan is built, so
    /// later steps with equal or larger requirements are skipped. In overload most waiting tasks
    /// are of few kinds.
    unmet: Vec<Unmet>,
    /// Number of workers whose offers were computed.
    pub(super) rows_visited: Cell<u64>,
}

/// Requirements that no worker could meet.
#[derive(Clone, Debug, PartialEq)]
struct Unmet {
    service: CompactString,
    label: CompactString,
    filler: Option<ImageKey>,
    reservation: Resources,
    filler_millicores: u32,
    late_end_ms: u64,
}

impl Unmet {
    fn new(demand: &TaskDemand<'_>) -> Unmet {
        let (filler, filler_millicores) = match demand.run_kind {
            RunKind::Filler { image, millicores } => (Some(image), millicores),
            _ => (None, 0),
        };
        Unmet {
            service: demand.queue.service.clone(),
            label: demand.step.required_label.clone(),
            filler,
            reservation: demand.reservation,
            filler_millicores,
            late_end_ms: demand.late_end_ms,
        }
    }

    /// Returns whether no worker can meet `other` either, since it requires at least as much.
    fn rules_out(&self, other: &Unmet) -> bool {
        self.filler == other.filler
            && self.service == other.service
            && (self.label.is_empty() || self.label == other.label)
            && self.filler_millicores <= other.filler_millicores
            && self.late_end_ms <= other.late_end_ms
            && self.reservation.cpu_millicores <= other.reservation.cpu_millicores
            && self.reservation.memory_mib <= other.reservation.memory_mib
            && self.reservation.accelerators <= other.reservation.accelerators
    }
}

impl<'a, 'r> PlanBuilder<'a, 'r> {
    pub(super) fn new(
        workflows: &'a Workflows,
        workers: Vec<&'r mut FreeCapacity>,
        contention: &'a mut ContentionModel,
        probations: Probations,
        isolations: Isolations,
        now: Now,
    ) -> PlanBuilder<'a, 'r> {
        let (runs, changed_workers, unmet) = (Vec::new(), BTreeSet::new(), Vec::new());
        PlanBuilder {
            workflows,
            workers,
            contention,
            probations,
            isolations,
            now_wall_ms: now.wall_ms,
            runs,
            changed_workers,
            holds: Holds::default(),
            unmet,
            rows_visited: Cell::new(0),
        }
    }

    pub(super) fn workflows(&self) -> &'a Workflows {
        self.workflows
    }

    pub(super) fn workers(&self) -> &[&'r mut FreeCapacity] {
        &self.workers
    }

    pub(super) fn probations(&self) -> &Probations {
        &self.probations
    }

    /// Returns the number of workers whose offers were computed.
    pub(super) fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    pub(super) fn runs(&self) -> &[RunPlacement] {
        &self.runs
    }

    /// Returns the runs to begin, and the workers whose free capacity no longer matches the ledger.
    pub(super) fn finish(self) -> (Vec<RunPlacement>, BTreeSet<WorkerId>) {
        (self.runs, self.changed_workers)
    }

    /// Places the waiting tasks of a step as far as free capacity allows.
    pub(super) fn place(&mut self, step_ref: StepRef, workflow: &Workflow, mode: PlacementMode) {
        let Some(queue) = self.workflows.queue(&workflow.queue) else { return };
        let Some(step) = workflow.spec.steps.get(step_ref.step as usize) else { return };
        let Some(state) = state_of(workflow, step_ref) else { return };
        let mut demand = TaskDemand::new(step, queue, self.contention);
        demand.late_end_ms = self.late_end_ms(step, queue);
        let requirements = Unmet::new(&demand);
        let has_reservations = self.holds.has_any(step_ref);
        if mode == PlacementMode::ProtectLatency
            && !has_reservations
            && self.unmet.iter().any(|it| it.rules_out(&requirements))
        {
            self.note_unplaced(step_ref, step);
            return;
        }
        let waiting: Vec<_> = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, it)| !it.is_done && it.runs.is_empty())
            .map(|(index, it)| (index as u32, it.last_run + 1))
            .filter(|(index, _)| self.may_begin(task_of(step_ref, *index)))
            .collect();
        match step.gang {
            // Members of an earlier run of the gang have not ended yet.
            true if waiting.len() < state.tasks.len() => (),
            true => self.place_gang(step_ref, &demand, state, &waiting, mode),
            false => {
                // One running task is enough for the workflow not to be idle.
                let limit = if mode == PlacementMode::AnyWorker { 1 } else { usize::MAX };
                let limit = limit.min(waiting.len());
                let SplitTasks { suspects, others } = self.split(step_ref, &waiting[..limit]);
                self.place_suspects(step_ref, &demand, state, &suspects, mode);
                let reserved = match has_reservations {
                    true => self.place_reserved(step_ref, &demand, state, &others),
                    false => 0,
                };
                let others = &others[reserved..];
                let placed = self.place_tasks(step_ref, &demand, state, others, mode);
                if placed < others.len() {
                    self.note_unplaced(step_ref, step);
                }
                if placed < others.len()
                    && mode == PlacementMode::ProtectLatency
                    && step.per_worker_max == 0
                {
                    self.unmet.push(requirements);
                }
            }
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        step_ref: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        waiting: &[(u32, u32)],
        mode: PlacementMode,
    ) {
        let run = waiting.iter().map(|(_, run)| *run).max().unwrap_or(1);
        let members: Vec<_> = waiting.iter().map(|(index, _)| (*index, run)).collect();
        let first_run = self.runs.len();
        let (probations, isolations) = (self.probations.clone(), self.isolations.clone());
        let SplitTasks { suspects, others } = self.split(step_ref, &members);
        let is_placed = self.place_suspects(step_ref, demand, state, &suspects, mode)
            == suspects.len()
            && self.place_tasks(step_ref, demand, state, &others, mode) == others.len();
        if is_placed {
            return;
        }
        (self.probations, self.isolations) = (probations, isolations);
        for placed in self.runs.split_off(first_run) {
            if let Some(worker) = self.workers.iter_mut().find(|it| it.id == placed.worker) {
                worker.release(demand, self.contention);
            }
        }
    }

    /// Returns whether nothing else may begin on a worker that hosts a suspected task.
    pub(super) fn is_closed(&self, worker: WorkerId) -> bool {
        self.probations.contains(worker) || self.isolations.contains(worker)
    }

    /// Returns whether a task need not wait for a quiet period.
    pub(super) fn may_begin(&self, task: TaskRef) -> bool {
        let suspects = self.workflows.suspects();
        !suspects.waits_for_silent_workers(task)
            && (self.probations.is_quiet() || !suspects.needs_quiet_period(task))
    }

    /// Separates the tasks that need probation or isolation from the others.
    fn split(&self, step_ref: StepRef, tasks: &[(u32, u32)]) -> SplitTasks {
        let evidence = self.workflows.suspects();
        let is_set_apart = |(index, _): &(u32, u32)| {
            let task = task_of(step_ref, *index);
            evidence.needs_probation(task) || evidence.needs_isolation(task)
        };
        let (suspects, others) = tasks.iter().copied().partition(is_set_apart);
        SplitTasks { suspects, others }
    }

    /// Places tasks of a workflow that need probation or isolation, each on the worker with the
    /// fewest runs that may host it; returns how many. The rest wait until active probations and
    /// isolations have ended.
    ///
    /// Tasks of one workflow may share a worker: whichever of them crashes it, the workflow fails.
    fn place_suspects(
        &mut self,
        step_ref: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        tasks: &[(u32, u32)],
        mode: PlacementMode,
    ) -> usize {
        let evidence = self.workflows.suspects();
        let mut counts = counts_of(demand.step, state);
        let too_many_probations = self.probations.is_limit_reached(self.workers.len());
        let too_many_isolations = self.isolations.is_limit_reached(self.workers.len());
        let mut used_workers: Vec<usize> = Vec::new();
        for (placed, (index, run)) in tasks.iter().enumerate() {
            let task = task_of(step_ref, *index);
            let needs_probation = evidence.needs_probation(task);
            let needs_isolation = evidence.needs_isolation(task);
            let count = |it: WorkerId| counts.get(&it).copied().unwrap_or(0);
            let has_capacity = |it: &usize| {
                let worker = &self.workers[*it];
                worker.offer(demand, count(worker.id), mode, self.contention).is_some()
            };
            let must_wait =
                needs_probation && too_many_probations || needs_isolation && too_many_isolations;
            let shared = used_workers.iter().copied().find(has_capacity);
            let unused_worker = || {
                let offers = self.offers(demand, &counts, mode).into_iter().map(|(_, it)| it);
                offers.min_by_key(|it| self.load_of(*it)).filter(|_| !must_wait)
            };
            let Some(best) = shared.or_else(unused_worker) else { return placed };
            let worker = self.workers[best].id;
            self.workers[best].reserve(demand, self.contention);
            if needs_probation {
                self.probations.begin(worker);
            }
            if needs_isolation {
                self.isolations.begin(worker);
            }
            used_workers.push(best);
            self.changed_workers.insert(worker);
            *counts.entry(worker).or_insert(0) += 1;
            self.runs.push(RunPlacement { run: RunRef { task, run: *run }, worker });
        }
        tasks.len()
    }

    /// Returns the load by which a suspected task is placed: on the worker with the fewest runs that
    /// may crash it, and preferably on one that has not enrolled recently.
    fn load_of(&self, worker_index: usize) -> (bool, usize, usize, usize) {
        let id = self.workers[worker_index].id;
        let runs = self.workflows.workers().get(id).map(|it| &it.runs);
        let suspects = self.workflows.suspects();
        let is_young = |it: &&RunRef| {
            suspects.age_ms(**it, self.now_wall_ms).is_some_and(|it| !is_too_old_to_suspect(it))
        };
        let young_count = runs.map_or(0, |it| it.iter().filter(is_young).count());
        let count = runs.map_or(0, |it| it.len());
        (self.probations.is_recently_enrolled(id), young_count, count, worker_index)
    }

    /// Places tasks, each with its run number, until no worker can take the next; returns how many.
    ///
    /// A placement changes the free capacity of one worker, so the offers of the others stay valid.
    fn place_tasks(
        &mut self,
        step_ref: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        tasks: &[(u32, u32)],
        mode: PlacementMode,
    ) -> usize {
        let mut counts = self.counts_with_plan(step_ref, demand.step, state);
        let mut offers = self.offers(demand, &counts, mode);
        for (placed, (index, run)) in tasks.iter().enumerate() {
            let Some((_, best)) = offers.pop() else { return placed };
            let worker = &mut self.workers[best];
            worker.reserve(demand, self.contention);
            self.changed_workers.insert(worker.id);
            let count = counts.entry(worker.id).or_insert(0);
            *count += 1;
            let run = RunRef { task: task_of(step_ref, *index), run: *run };
            self.runs.push(RunPlacement { run, worker: worker.id });
            if let Some(it) = worker.offer(demand, *count, mode, self.contention) {
                offers.push((it, best));
            }
        }
        tasks.len()
    }

    /// Returns the number of runs of a step on each worker, as [`counts_of`] does, with those that
    /// this plan has placed on reserved workers.
    pub(super) fn counts_with_plan(
        &self,
        step_ref: StepRef,
        step: &WorkflowStep,
        state: &StepState,
    ) -> HashMap<WorkerId, u32> {
        let mut res = counts_of(step, state);
        if 0 < step.per_worker_max && self.holds.has_any(step_ref) {
            let placed = self.runs.iter().filter(|it| StepRef::of_task(it.run.task) == step_ref);
            placed.for_each(|it| *res.entry(it.worker).or_insert(0) += 1);
        }
        res
    }

    fn offers(
        &self,
        demand: &TaskDemand<'_>,
        counts: &HashMap<WorkerId, u32>,
        mode: PlacementMode,
    ) -> BinaryHeap<(Preference, usize)> {
        let offer = |(index, worker): (usize, &&'r mut FreeCapacity)| {
            if self.is_closed(worker.id) {
                return None;
            }
            let placed = counts.get(&worker.id).copied().unwrap_or(0);
            Some((worker.offer(demand, placed, mode, self.contention)?, index))
        };
        self.rows_visited.set(self.rows_visited.get() + self.workers.len() as u64);
        self.workers.iter().enumerate().filter_map(offer).collect()
    }

    /// Returns the best worker for one more task of a step, and the speed of the task there.
    pub(super) fn best_for(
        &mut self,
        step_ref: StepRef,
        workflow: &'a Workflow,
    ) -> Option<MoveTarget<'a>> {
        let queue = self.workflows.queue(&workflow.queue)?;
        let state = state_of(workflow, step_ref)?;
        let step = workflow.spec.steps.get(step_ref.step as usize)?;
        let demand = TaskDemand::new(step, queue, self.contention);
        let requirements = Unmet::new(&demand);
        if self.unmet.iter().any(|it| it.rules_out(&requirements)) {
            return None;
        }
        let mut offers =
            self.offers(&demand, &counts_of(step, state), PlacementMode::ProtectLatency);
        // A run that works is not stopped to test another worker.
        let accepts_moves =
            |(_, index): &(Preference, usize)| self.workers[*index].breaker == BreakerState::Closed;
        let best = std::iter::from_fn(|| offers.pop()).find(accepts_moves);
        let Some((_, worker_index)) = best else {
            if step.per_worker_max == 0 {
                self.unmet.push(requirements);
            }
            return None;
        };
        let speed = match demand.run_kind {
            RunKind::Filler { image, millicores } => {
                self.workers[worker_index].speed_of(image, millicores, self.contention)
            }
            _ => 1.0,
        };
        let worker = &self.workers[worker_index];
        let is_slow = worker.is_slow();
        Some(MoveTarget { worker_index, worker: worker.id, speed, is_slow, demand })
    }

    /// Reserves capacity on a target for a run that is to move there.
    pub(super) fn reserve(&mut self, it: &MoveTarget<'_>) {
        let worker = &mut self.workers[it.worker_index];
        worker.reserve(&it.demand, self.contention);
        self.changed_workers.insert(worker.id);
    }
}

/// Tasks to place, each by its index and the number of its next run.
struct SplitTasks {
    suspects: Vec<(u32, u32)>,
    others: Vec<(u32, u32)>,
}

/// A worker that can take one more task.
#[derive(Clone, Copy)]
pub(super) struct MoveTarget<'a> {
    worker_index: usize,
    pub worker: WorkerId,
    pub speed: f64,
    /// Whether the worker itself is slow.
    pub is_slow: bool,
    demand: TaskDemand<'a>,
}

pub(super) fn task_of(step_ref: StepRef, index: u32) -> TaskRef {
    TaskRef {
        workflow: step_ref.workflow,
        occurrence: step_ref.occurrence,
        step: step_ref.step,
        index,
    }
}

pub(super) fn state_of(workflow: &Workflow, step_ref: StepRef) -> Option<&StepState> {
    workflow.occurrences.get(step_ref.occurrence as usize)?.steps.get(step_ref.step as usize)
}

/// Returns the number of runs of a step on each worker, or an empty map if the step sets no limit
/// per worker.
pub(super) fn counts_of(step: &WorkflowStep, state: &StepState) -> HashMap<WorkerId, u32> {
    let mut res = HashMap::new();
    if 0 < step.per_worker_max {
        for run in state.tasks.iter().flat_map(|it| &it.runs) {
            *res.entry(run.worker).or_insert(0) += 1;
        }
    }
    res
}
