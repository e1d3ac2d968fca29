//! Tasks of steps put into rooms, one step after the other.

use std::{
    cell::Cell,
    collections::{BTreeSet, BinaryHeap, HashMap},
};

use crate::{
    control::{
        dispatch::{
            capacity::{FreeCapacity, PlacementMode, Preference, TaskDemand},
            probations::Probations,
            run_monitor::RunKind,
        },
        state::{StepState, Workflow, Workflows},
    },
    policy::contention::{ContentionModel, images::ImageKey},
    prelude::*,
};

/// A plan while it is made.
pub(super) struct PlanBuilder<'a, 'r> {
    workflows: &'a Workflows,
    workers: Vec<&'r mut FreeCapacity>,
    contention: &'a mut ContentionModel,
    probations: Probations,
    runs: Vec<RunPlacement>,
    touched: BTreeSet<WorkerId>,
    /// Needs for which no room was left: rooms only shrink while a plan is made, so that whoever
    /// needs as much need not look again. In overload most of what waits is of few kinds.
    unmet: Vec<Unmet>,
    /// Rooms that were asked what they offer.
    rows_visited: Cell<u64>,
}

/// A need for which no room was left.
#[derive(Clone, Debug, PartialEq)]
struct Unmet {
    service: CompactString,
    label: CompactString,
    filler: Option<ImageKey>,
    reserve: Resources,
    filler_millicores: u32,
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
            reserve: demand.reservation,
            filler_millicores,
        }
    }

    /// Returns whether what finds no room for this finds none for `other`.
    fn rules_out(&self, other: &Unmet) -> bool {
        self.filler == other.filler
            && self.service == other.service
            && (self.label.is_empty() || self.label == other.label)
            && self.filler_millicores <= other.filler_millicores
            && self.reserve.cpu_millicores <= other.reserve.cpu_millicores
            && self.reserve.memory_mib <= other.reserve.memory_mib
            && self.reserve.accelerators <= other.reserve.accelerators
    }
}

impl<'a, 'r> PlanBuilder<'a, 'r> {
    pub(super) fn new(
        workflows: &'a Workflows,
        workers: Vec<&'r mut FreeCapacity>,
        contention: &'a mut ContentionModel,
        probations: Probations,
    ) -> PlanBuilder<'a, 'r> {
        let (runs, touched, unmet) = (Vec::new(), BTreeSet::new(), Vec::new());
        PlanBuilder {
            workflows,
            workers,
            contention,
            probations,
            runs,
            touched,
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

    /// Returns how many rooms were asked what they offer.
    pub(super) fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    pub(super) fn runs(&self) -> &[RunPlacement] {
        &self.runs
    }

    /// Returns the runs to begin, and the workers whose rooms no longer match the ledger.
    pub(super) fn finish(self) -> (Vec<RunPlacement>, BTreeSet<WorkerId>) {
        (self.runs, self.touched)
    }

    /// Places the tasks of a step that wait, as far as there is room.
    pub(super) fn place(&mut self, at: StepRef, workflow: &Workflow, mode: PlacementMode) {
        let Some(queue) = self.workflows.queue(&workflow.queue) else { return };
        let Some(step) = workflow.spec.steps.get(at.step as usize) else { return };
        let Some(state) = state_of(workflow, at) else { return };
        let demand = TaskDemand::new(step, queue, self.contention);
        let need = Unmet::new(&demand);
        if mode == PlacementMode::ProtectLatency && self.unmet.iter().any(|it| it.rules_out(&need))
        {
            return;
        }
        let waiting: Vec<_> = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, it)| !it.is_done && it.runs.is_empty())
            .map(|(index, it)| (index as u32, it.last_run + 1))
            .filter(|(index, _)| self.may_begin(task_of(at, *index)))
            .collect();
        match step.gang {
            // Members of an earlier run are still ending.
            true if waiting.len() < state.tasks.len() => (),
            true => self.place_gang(at, &demand, state, &waiting, mode),
            false => {
                // One that runs is enough not to be idle.
                let most = if mode == PlacementMode::AnyWorker { 1 } else { usize::MAX };
                let most = most.min(waiting.len());
                let Parted { tried, free } = self.split(at, &waiting[..most]);
                self.place_tried(at, &demand, state, &tried, mode);
                let placed = self.place_tasks(at, &demand, state, &free, mode);
                if placed < free.len()
                    && mode == PlacementMode::ProtectLatency
                    && step.per_worker_max == 0
                {
                    self.unmet.push(need);
                }
            }
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        at: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        waiting: &[(u32, u32)],
        mode: PlacementMode,
    ) {
        let run = waiting.iter().map(|(_, run)| *run).max().unwrap_or(1);
        let members: Vec<_> = waiting.iter().map(|(index, _)| (*index, run)).collect();
        let from = self.runs.len();
        let probations = self.probations.clone();
        let Parted { tried, free } = self.split(at, &members);
        let is_placed = self.place_tried(at, demand, state, &tried, mode) == tried.len()
            && self.place_tasks(at, demand, state, &free, mode) == free.len();
        if is_placed {
            return;
        }
        self.probations = probations;
        for placed in self.runs.split_off(from) {
            if let Some(room) = self.workers.iter_mut().find(|it| it.id == placed.worker) {
                room.give_back(demand, self.contention);
            }
        }
    }

    /// Returns whether a task need not wait for a calm.
    pub(super) fn may_begin(&self, task: TaskRef) -> bool {
        self.probations.is_quiet() || !self.workflows.suspects().needs_quiet_period(task)
    }

    /// Parts tasks into those that must be tried and the others.
    fn split(&self, at: StepRef, tasks: &[(u32, u32)]) -> Parted {
        let suspects = self.workflows.suspects();
        let must_be_tried = |(index, _): &(u32, u32)| suspects.needs_probation(task_of(at, *index));
        let (tried, free) = tasks.iter().copied().partition(must_be_tried);
        Parted { tried, free }
    }

    /// Places tasks of a workflow that must be tried, on workers with least to lose where nothing
    /// else begins; returns how many. The others wait until trials under way have ended.
    ///
    /// They may share a worker: whichever of them is to blame, their workflow is given up.
    fn place_tried(
        &mut self,
        at: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        tasks: &[(u32, u32)],
        mode: PlacementMode,
    ) -> usize {
        let mut counts = counts_of(demand.step, state);
        let must_wait = self.probations.are_many(self.workers.len());
        let mut taken: Vec<usize> = Vec::new();
        for (placed, (index, run)) in tasks.iter().enumerate() {
            let count = |it: WorkerId| counts.get(&it).copied().unwrap_or(0);
            let has_room = |it: &usize| {
                let room = &self.workers[*it];
                room.offer(demand, count(room.id), mode, self.contention).is_some()
            };
            let shared = taken.iter().copied().find(has_room);
            let fresh = || self.least_to_lose(demand, &counts, mode).filter(|_| !must_wait);
            let Some(best) = shared.or_else(fresh) else { return placed };
            let worker = self.workers[best].id;
            self.workers[best].take(demand, self.contention);
            self.probations.begin(worker);
            taken.push(best);
            self.touched.insert(worker);
            *counts.entry(worker).or_insert(0) += 1;
            let run = RunRef { task: task_of(at, *index), run: *run };
            self.runs.push(RunPlacement { run, worker });
        }
        tasks.len()
    }

    /// Returns the worker that would take a task and holds the fewest runs; rather one that has been
    /// there for long.
    fn least_to_lose(
        &self,
        demand: &TaskDemand<'_>,
        counts: &HashMap<WorkerId, u32>,
        mode: PlacementMode,
    ) -> Option<usize> {
        let loss = |it: &usize| {
            let id = self.workers[*it].id;
            let runs = self.workflows.workers().get(id).map(|it| it.runs.len());
            (self.probations.is_recently_enrolled(id), runs, *it)
        };
        self.offers(demand, counts, mode).into_iter().map(|(_, it)| it).min_by_key(loss)
    }

    /// Places tasks, each with its run number, until there is no room; returns how many.
    ///
    /// What is placed changes one room only, so the offers of the others stand.
    fn place_tasks(
        &mut self,
        at: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        tasks: &[(u32, u32)],
        mode: PlacementMode,
    ) -> usize {
        let mut counts = counts_of(demand.step, state);
        let mut offers = self.offers(demand, &counts, mode);
        for (placed, (index, run)) in tasks.iter().enumerate() {
            let Some((_, best)) = offers.pop() else { return placed };
            let room = &mut self.workers[best];
            room.take(demand, self.contention);
            self.touched.insert(room.id);
            let count = counts.entry(room.id).or_insert(0);
            *count += 1;
            let run = RunRef { task: task_of(at, *index), run: *run };
            self.runs.push(RunPlacement { run, worker: room.id });
            if let Some(it) = room.offer(demand, *count, mode, self.contention) {
                offers.push((it, best));
            }
        }
        tasks.len()
    }

    fn offers(
        &self,
        demand: &TaskDemand<'_>,
        counts: &HashMap<WorkerId, u32>,
        mode: PlacementMode,
    ) -> BinaryHeap<(Preference, usize)> {
        let offer = |(at, room): (usize, &&'r mut FreeCapacity)| {
            if self.probations.contains(room.id) {
                return None;
            }
            let placed = counts.get(&room.id).copied().unwrap_or(0);
            Some((room.offer(demand, placed, mode, self.contention)?, at))
        };
        self.rows_visited.set(self.rows_visited.get() + self.workers.len() as u64);
        self.workers.iter().enumerate().filter_map(offer).collect()
    }

    /// Returns the best worker for one more task of a step, and the speed that it has there.
    pub(super) fn best_for(
        &mut self,
        at: StepRef,
        workflow: &'a Workflow,
    ) -> Option<MoveTarget<'a>> {
        let queue = self.workflows.queue(&workflow.queue)?;
        let state = state_of(workflow, at)?;
        let step = workflow.spec.steps.get(at.step as usize)?;
        let demand = TaskDemand::new(step, queue, self.contention);
        let need = Unmet::new(&demand);
        if self.unmet.iter().any(|it| it.rules_out(&need)) {
            return None;
        }
        let Some((_, worker_index)) =
            self.offers(&demand, &counts_of(step, state), PlacementMode::ProtectLatency).pop()
        else {
            if step.per_worker_max == 0 {
                self.unmet.push(need);
            }
            return None;
        };
        let speed = match demand.run_kind {
            RunKind::Filler { image, millicores } => {
                self.workers[worker_index].speed_of(image, millicores, self.contention)
            }
            _ => 1.0,
        };
        Some(MoveTarget { worker_index, worker: self.workers[worker_index].id, speed, demand })
    }

    /// Keeps what was found for a run that is to move there.
    pub(super) fn keep(&mut self, it: &MoveTarget<'_>) {
        let worker = &mut self.workers[it.worker_index];
        worker.take(&it.demand, self.contention);
        self.touched.insert(worker.id);
    }
}

/// Tasks to place, each by its index with the number of its next run.
struct Parted {
    tried: Vec<(u32, u32)>,
    free: Vec<(u32, u32)>,
}

/// A worker that would take one more task.
#[derive(Clone, Copy)]
pub(super) struct MoveTarget<'a> {
    worker_index: usize,
    pub worker: WorkerId,
    pub speed: f64,
    demand: TaskDemand<'a>,
}

fn task_of(at: StepRef, index: u32) -> TaskRef {
    TaskRef { workflow: at.workflow, occurrence: at.occurrence, step: at.step, index }
}

fn state_of(workflow: &Workflow, at: StepRef) -> Option<&StepState> {
    workflow.occurrences.get(at.occurrence as usize)?.steps.get(at.step as usize)
}

/// Returns how many runs of a step each worker has, where that is bounded.
fn counts_of(step: &WorkflowStep, state: &StepState) -> HashMap<WorkerId, u32> {
    let mut res = HashMap::new();
    if 0 < step.per_worker_max {
        for run in state.tasks.iter().flat_map(|it| &it.runs) {
            *res.entry(run.worker).or_insert(0) += 1;
        }
    }
    res
}
