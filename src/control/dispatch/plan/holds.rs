//! Keeps capacity for tasks with reservations while a plan is built.

use std::collections::HashMap;

use crate::{
    control::{
        dispatch::{
            capacity::{PlacementMode, TaskDemand},
            moves::Reservation,
            plan::builder::{PlanBuilder, task_of},
        },
        state::StepState,
    },
    policy::forecast::{RunTimeModel, TaskKind},
    prelude::*,
};

/// Maximum number of steps for which a plan notes that they were not placed whole. Reservations go
/// to the most urgent ones.
const UNPLACED_MAX: usize = 16;

/// Unit of forecast ends: tasks whose ends differ by less share a search for a worker.
const LATE_END_UNIT_MS: u64 = 100;

/// Reservations as a plan uses them.
#[derive(Debug, Default)]
pub(super) struct Holds<'a> {
    /// `None` if capacity is not reserved in this installation.
    run_times: Option<&'a RunTimeModel>,
    by_step: HashMap<StepRef, Vec<Hold>>,
    /// When the last reservation is due; 0 if there is none.
    last_due_ms: u64,
    now_ms: u64,
    /// The most urgent steps that were not placed whole.
    unplaced: Vec<StepRef>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    worker_index: usize,
    resources: Resources,
    due_ms: u64,
}

impl Holds<'_> {
    pub(super) fn has_any(&self, step_ref: StepRef) -> bool {
        self.by_step.contains_key(&step_ref)
    }

    pub(super) fn unplaced(&self) -> &[StepRef] {
        &self.unplaced
    }
}

impl<'a> PlanBuilder<'a, '_> {
    /// Withholds the capacity of reservations from tasks without one.
    pub(super) fn withhold(
        &mut self,
        reservations: &[Reservation],
        run_times: &'a RunTimeModel,
        now_ms: u64,
    ) {
        self.holds.run_times = Some(run_times);
        self.holds.now_ms = now_ms;
        for it in reservations {
            let position = self.workers.binary_search_by_key(&it.worker, |it| it.id);
            let Ok(worker_index) = position else { continue };
            self.workers[worker_index].withhold(it.resources, it.due_ms);
            self.changed_workers.insert(it.worker);
            let hold = Hold { worker_index, resources: it.resources, due_ms: it.due_ms };
            self.holds.by_step.entry(it.step).or_default().push(hold);
            self.holds.last_due_ms = self.holds.last_due_ms.max(it.due_ms);
        }
    }

    /// Returns the time by which a task that begins now has ended, late case included, or the end of
    /// time if no reservation is due after it.
    pub(super) fn late_end_ms(&self, step: &WorkflowStep, queue: &Queue) -> u64 {
        let is_steady = !step.lasting && !step.gang && !step.filler;
        let (Some(run_times), true) = (self.holds.run_times, is_steady) else { return u64::MAX };
        if self.holds.last_due_ms <= self.holds.now_ms {
            return u64::MAX;
        }
        let kind = TaskKind { queue: queue.name.clone(), image: step.image.clone() };
        let late_ms = run_times.forecast(&kind, step.estimate_ms).late_ms();
        let late_end_ms = self.holds.now_ms + late_ms.div_ceil(LATE_END_UNIT_MS) * LATE_END_UNIT_MS;
        if late_end_ms <= self.holds.last_due_ms { late_end_ms } else { u64::MAX }
    }

    /// Notes that a step was not placed whole, if capacity may be reserved for it. Members of a gang
    /// begin together, and fillers reserve no processor.
    pub(super) fn note_unplaced(&mut self, step_ref: StepRef, step: &WorkflowStep) {
        let may_reserve = self.holds.run_times.is_some() && !step.gang && !step.filler;
        let is_new = !self.holds.unplaced.contains(&step_ref);
        if may_reserve && is_new && self.holds.unplaced.len() < UNPLACED_MAX {
            self.holds.unplaced.push(step_ref);
        }
    }

    /// Places tasks of a step, each with its run number, on the workers reserved for it; returns how
    /// many.
    pub(super) fn place_reserved(
        &mut self,
        step_ref: StepRef,
        demand: &TaskDemand<'_>,
        state: &StepState,
        tasks: &[(u32, u32)],
    ) -> usize {
        let mut counts = self.counts_with_plan(step_ref, demand.step, state);
        let holds = self.holds.by_step.get(&step_ref).cloned().unwrap_or_default();
        let mut placed = 0;
        for hold in holds {
            let Some((index, run)) = tasks.get(placed) else { break };
            let is_closed = self.is_closed(self.workers[hold.worker_index].id);
            let worker = &mut self.workers[hold.worker_index];
            let count = counts.entry(worker.id).or_insert(0);
            worker.give_back(hold.resources);
            let offer =
                worker.offer(demand, *count, PlacementMode::ProtectLatency, self.contention);
            if offer.is_none() || is_closed {
                worker.withhold(hold.resources, hold.due_ms);
                continue;
            }
            *count += 1;
            worker.reserve(demand, self.contention);
            let run = RunRef { task: task_of(step_ref, *index), run: *run };
            self.runs.push(RunPlacement { run, worker: worker.id });
            placed += 1;
        }
        placed
    }
}
