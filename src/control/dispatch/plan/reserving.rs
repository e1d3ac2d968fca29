//! Searches for capacity to reserve for the most urgent tasks that fit in sum but on no worker.

use std::collections::{HashMap, HashSet};

use crate::{
    control::{
        dispatch::{
            moves::{
                MovedRun, NewReservation, Reservation, ReservationCause, Reservations, StopBudget,
            },
            plan::builder::{PlanBuilder, counts_of, state_of, task_of},
            sessions::{Sessions, UsabilityCriteria},
        },
        state::{NO_RESOURCES, add, fits, reservation_of, subtract},
    },
    policy::{
        compaction::{Compaction, find_compaction, moves_worth},
        disruption::{RunStop, StopCause},
        forecast::{RunTimeModel, TaskKind},
        reservation::{
            ForecastEnd, MovableRun, WorkerRoom, choose_without_stop, is_large, is_within_bound,
        },
    },
    prelude::*,
};

/// Number of workers, those with the largest gaps, whose runs are looked at in one search.
const ROOMS_MAX: usize = 32;

/// Steps for which one search visits the workers.
const STEPS_MAX: usize = 4;

/// Reservations that one search makes at most, without those of moved runs.
const RESERVATIONS_MAX: usize = 8;

/// Time after which a reservation ends whose capacity should have been free long ago: the forecast
/// was wrong, or a stop takes too long.
const GRACE_MS: u64 = 2_000;

/// Time within which a moved run has ended and its task has begun at its target. A stop that takes
/// longer waits for the lease of a silent worker.
const MOVE_MAX_MS: u64 = 5_000;

/// What a search needs beside the plan.
#[derive(Clone, Copy)]
pub(super) struct ReservingInput<'a> {
    pub sessions: &'a Sessions,
    pub run_times: &'a RunTimeModel,
    pub stop_budget: &'a StopBudget,
    pub usability: UsabilityCriteria,
}

/// Returns the reservations to make after a plan.
pub(super) fn find_reservations(
    builder: &PlanBuilder<'_, '_>,
    reservations: &mut Reservations,
    input: ReservingInput<'_>,
) -> Vec<NewReservation> {
    let unplaced = builder.holds.unplaced();
    let entries = reservations.entries().to_vec();
    let waiting = reservations.note_unplaced(unplaced, input.usability.now.mono_ms);
    let mut search: Option<Search<'_, '_, '_>> = None;
    for (step_ref, waited_ms) in waiting.into_iter().take(STEPS_MAX) {
        let search = search.get_or_insert_with(|| Search::new(builder, &entries, input));
        search.visit(step_ref, waited_ms);
    }
    let Some(search) = search else { return Vec::new() };
    reservations.note_search(!search.found.is_empty(), input.usability.now.mono_ms);
    search.found
}

/// A worker as a search sees it.
#[derive(Clone, Copy, Debug)]
struct Row {
    worker: WorkerId,
    free: Resources,
}

/// The workers of a pool, those with the least free processor first.
struct Pool {
    rows: Vec<Row>,
    free: Resources,
    capacity: Resources,
    reserved: Resources,
}

struct Search<'b, 'a, 'r> {
    builder: &'b PlanBuilder<'a, 'r>,
    input: ReservingInput<'b>,
    entries: &'b [Reservation],
    /// What the search has reserved on each worker.
    taken: HashMap<WorkerId, Resources>,
    /// Workers that wait for runs to end or to move; each serves one reservation at a time.
    awaited: HashSet<WorkerId>,
    /// Tasks of each step that the search moves.
    moved_tasks: HashMap<StepRef, u32>,
    rooms: HashMap<WorkerId, WorkerRoom>,
    moves_left: usize,
    found: Vec<NewReservation>,
}

/// The step that a search visits.
struct Need<'n> {
    step_ref: StepRef,
    step: &'n WorkflowStep,
    queue: &'n Queue,
    resources: Resources,
    waited_ms: u64,
}

impl<'b, 'a, 'r> Search<'b, 'a, 'r> {
    fn new(
        builder: &'b PlanBuilder<'a, 'r>,
        entries: &'b [Reservation],
        input: ReservingInput<'b>,
    ) -> Search<'b, 'a, 'r> {
        let awaited = entries.iter().map(|it| it.worker).collect();
        let UsabilityCriteria { term, now, .. } = input.usability;
        Search {
            builder,
            input,
            entries,
            taken: HashMap::new(),
            awaited,
            moved_tasks: HashMap::new(),
            rooms: HashMap::new(),
            moves_left: input.stop_budget.moves_left(builder.workflows, input.sessions, term, now),
            found: Vec::new(),
        }
    }

    /// Reserves capacity for the tasks of a step that still wait, as far as it suffices.
    fn visit(&mut self, step_ref: StepRef, waited_ms: u64) -> Option<()> {
        let workflow = self.builder.workflows.get(step_ref.workflow)?;
        let step = workflow.spec.steps.get(step_ref.step as usize)?;
        let queue = self.builder.workflows.queue(&workflow.queue)?;
        let resources = reservation_of(step);
        let need = Need { step_ref, step, queue, resources, waited_ms };
        let mut pool = self.pool(&need);
        if !is_large(resources, pool.capacity, pool.rows.len()) {
            return None;
        }
        let mut counts = self.counts(&need);
        for _ in 0..self.tasks_without_reservation(&need) {
            let is_full = RESERVATIONS_MAX <= self.found.len()
                || !fits(resources, pool.free)
                || !is_within_bound(resources, pool.reserved, pool.capacity);
            if is_full {
                break;
            }
            let new = self.find(&need, &pool, &counts)?;
            self.note(&mut pool, &new);
            *counts.entry(new.reservation.worker).or_insert(0) += 1;
            self.found.push(new);
        }
        Some(())
    }

    /// Returns the workers that may run tasks of a step.
    fn pool(&self, need: &Need<'_>) -> Pool {
        let visited = self.builder.rows_visited.get() + self.builder.workers.len() as u64;
        self.builder.rows_visited.set(visited);
        let mut res = Pool {
            rows: Vec::new(),
            free: NO_RESOURCES,
            capacity: NO_RESOURCES,
            reserved: NO_RESOURCES,
        };
        for it in &self.builder.workers {
            if !it.suits(need.step, need.queue) {
                continue;
            }
            if let Some(worker) = self.builder.workflows.workers().get(it.id) {
                res.capacity = add(res.capacity, worker.capacity);
            }
            let taken = self.taken.get(&it.id).copied().unwrap_or(NO_RESOURCES);
            let row = Row { worker: it.id, free: subtract(it.free(), taken) };
            res.free = add(res.free, row.free);
            res.rows.push(row);
        }
        let ids: HashSet<_> = res.rows.iter().map(|it| it.worker).collect();
        let found = self.found.iter().flat_map(reservations_of);
        let reserved = self.entries.iter().chain(found).filter(|it| ids.contains(&it.worker));
        res.reserved = reserved.fold(NO_RESOURCES, |sum, it| add(sum, it.resources));
        res.rows.sort_by_key(|it| (it.free.cpu_millicores, it.worker));
        res
    }

    /// Returns the number of runs of a step on each worker, with planned and reserved ones, or an
    /// empty map if the step sets no limit per worker.
    fn counts(&self, need: &Need<'_>) -> HashMap<WorkerId, u32> {
        let step_ref = need.step_ref;
        let workflow = self.builder.workflows.get(step_ref.workflow);
        let Some(state) = workflow.and_then(|it| state_of(it, step_ref)) else {
            return HashMap::new();
        };
        let mut res = counts_of(need.step, state);
        if 0 < need.step.per_worker_max {
            let of_step = |it: &&RunPlacement| StepRef::of_task(it.run.task) == step_ref;
            let placed = self.builder.runs.iter().filter(of_step).map(|it| it.worker);
            let found = self.found.iter().flat_map(reservations_of);
            let reserved = self.entries.iter().chain(found).filter(|it| it.step == step_ref);
            placed
                .chain(reserved.map(|it| it.worker))
                .for_each(|it| *res.entry(it).or_insert(0) += 1);
        }
        res
    }

    /// Returns how many tasks of a step wait for a worker and have no reservation.
    fn tasks_without_reservation(&self, need: &Need<'_>) -> usize {
        let step_ref = need.step_ref;
        let workflow = self.builder.workflows.get(step_ref.workflow);
        let Some(state) = workflow.and_then(|it| state_of(it, step_ref)) else { return 0 };
        let suspects = self.builder.workflows.suspects();
        let may_begin = |index: u32| {
            let task = task_of(step_ref, index);
            self.builder.may_begin(task) && !suspects.needs_probation(task)
        };
        let ready = state.tasks.iter().zip(0_u32..);
        let ready =
            ready.filter(|(it, index)| !it.is_done && it.runs.is_empty() && may_begin(*index));
        let is_of_step = |it: &&RunPlacement| StepRef::of_task(it.run.task) == step_ref;
        let placed = self.builder.runs.iter().filter(is_of_step).count();
        let reserved = self.entries.iter().filter(|it| it.step == step_ref).count();
        ready.count().saturating_sub(placed + reserved)
    }

    /// Returns capacity for one more task of a step: where runs end by themselves, or else where
    /// runs can be moved.
    fn find(
        &mut self,
        need: &Need<'_>,
        pool: &Pool,
        counts: &HashMap<WorkerId, u32>,
    ) -> Option<NewReservation> {
        let is_available = |it: &&Row| {
            !self.awaited.contains(&it.worker) && !self.builder.probations.contains(it.worker)
        };
        let largest = pool.rows.iter().rev().filter(is_available).take(ROOMS_MAX);
        let largest: Vec<_> = largest.copied().collect();
        let partners: Vec<_> = largest.iter().map(|it| self.room(it)).collect();
        let max = need.step.per_worker_max;
        let is_below_limit =
            |it: &&WorkerRoom| max == 0 || counts.get(&it.worker).copied().unwrap_or(0) < max;
        let rooms: Vec<_> = partners.iter().filter(is_below_limit).cloned().collect();
        let now_ms = self.input.usability.now.mono_ms;
        let reservation = |worker, due_ms, expires_ms, cause| Reservation {
            step: need.step_ref,
            worker,
            resources: need.resources,
            due_ms,
            made_ms: now_ms,
            expires_ms,
            cause,
            moved: None,
        };
        if let Some((at, fit)) = choose_without_stop(need.resources, &rooms, now_ms) {
            let (worker, expires_ms) = (rooms[at].worker, fit.late_ms + GRACE_MS);
            let cause = ReservationCause::RunsEnd;
            let reservation = reservation(worker, fit.median_ms, expires_ms, cause);
            return Some(NewReservation {
                reservation,
                moves: Vec::new(),
                waited_ms: need.waited_ms,
            });
        }
        let compaction = self.compaction(need, &rooms, &partners)?;
        let worker = compaction.worker;
        let expires_ms = now_ms + MOVE_MAX_MS;
        let moves = compaction.moves.iter().map(|it| {
            let stop = RunStop { run: it.run.run, worker: it.from, cause: StopCause::Compaction };
            let moved = Some(MovedRun { run: it.run.run, from: it.from });
            let target = Reservation {
                step: StepRef::of_task(it.run.run.task),
                resources: it.run.resources,
                moved,
                ..reservation(it.target, now_ms, expires_ms, ReservationCause::MoveTarget)
            };
            (stop, target)
        });
        let moves = moves.collect();
        let reservation = reservation(worker, now_ms, expires_ms, ReservationCause::Compaction);
        Some(NewReservation { reservation, moves, waited_ms: need.waited_ms })
    }

    /// Returns the moves that make room for a task, if it gains more than the moved ones lose.
    fn compaction(
        &self,
        need: &Need<'_>,
        rooms: &[WorkerRoom],
        partners: &[WorkerRoom],
    ) -> Option<Compaction> {
        let moves_max = moves_worth(need.waited_ms).min(self.moves_left);
        if !need.step.lasting || moves_max == 0 {
            return None;
        }
        let now_ms = self.input.usability.now.mono_ms;
        let can_take = |run: &MovableRun, worker| self.can_take(run, worker);
        find_compaction(need.resources, rooms, partners, moves_max, now_ms, can_take)
    }

    /// Returns whether a worker accepts a run apart from its resources.
    fn can_take(&self, run: &MovableRun, worker: WorkerId) -> bool {
        let workflows = self.builder.workflows;
        let step_ref = StepRef::of_task(run.run.task);
        let Some(workflow) = workflows.get(step_ref.workflow) else { return false };
        let Some(step) = workflow.spec.steps.get(step_ref.step as usize) else { return false };
        let Some(queue) = workflows.queue(&workflow.queue) else { return false };
        let Some(state) = state_of(workflow, step_ref) else { return false };
        let position = self.builder.workers.binary_search_by_key(&worker, |it| it.id);
        let count = || {
            let counts = counts_of(step, state);
            counts.get(&worker).copied().unwrap_or(0)
        };
        position.is_ok_and(|it| self.builder.workers[it].suits(step, queue))
            && (step.per_worker_max == 0 || count() < step.per_worker_max)
    }

    /// Returns what is free on a worker and what may become free.
    fn room(&mut self, row: &Row) -> WorkerRoom {
        if !self.rooms.contains_key(&row.worker) {
            let room = self.new_room(row.worker);
            self.rooms.insert(row.worker, room);
        }
        let mut res = self.rooms[&row.worker].clone();
        for it in &mut res.movable {
            let moved = self.moved_tasks.get(&StepRef::of_task(it.run.task));
            it.spare = it.spare.saturating_sub(moved.copied().unwrap_or(0));
        }
        res.movable.retain(|it| 0 < it.spare);
        res.free = row.free;
        res
    }

    fn new_room(&self, worker: WorkerId) -> WorkerRoom {
        let workflows = self.builder.workflows;
        let runs = workflows.workers().get(worker).map(|it| &it.runs);
        let mut res =
            WorkerRoom { worker, free: NO_RESOURCES, ends: Vec::new(), movable: Vec::new() };
        for run in runs.into_iter().flatten().copied() {
            let Some(step) = workflows.step_of(run.task) else { continue };
            let resources = reservation_of(step);
            match step {
                // A filler ends when the tasks beside it let it, and reserves no processor.
                _ if step.filler || step.gang => (),
                _ if step.lasting => {
                    let spare = self.spare(worker, run);
                    res.movable.push(MovableRun { run, resources, spare });
                }
                _ => res.ends.extend(self.forecast_end(worker, run, step, resources)),
            }
        }
        res.ends.sort_by_key(|it| it.late_ms);
        res.movable.sort_by_key(|it| (it.resources.cpu_millicores, it.run.task));
        res
    }

    /// Returns how many tasks of a run's step may be moved, or 0 if the run itself may not.
    fn spare(&self, worker: WorkerId, run: RunRef) -> u32 {
        let ReservingInput { sessions, stop_budget, usability, .. } = self.input;
        let stop = RunStop { run, worker, cause: StopCause::Compaction };
        let workflows = self.builder.workflows;
        let verdict = stop_budget.check(workflows, sessions, usability.term, stop, usability.now);
        match verdict {
            Ok(()) if !workflows.suspects().needs_probation(run.task) => {
                let spare = StopBudget::spare(workflows, sessions, usability.term, run);
                let step = workflows.step_of(run.task);
                // Two tasks that move to one worker must not exceed the limit per worker together.
                if step.is_some_and(|it| 0 < it.per_worker_max) { spare.min(1) } else { spare }
            }
            _ => 0,
        }
    }

    /// Returns when a run ends by itself. A run that an earlier leader began may have begun just now.
    fn forecast_end(
        &self,
        worker: WorkerId,
        run: RunRef,
        step: &WorkflowStep,
        resources: Resources,
    ) -> Option<ForecastEnd> {
        let now_ms = self.input.usability.now.mono_ms;
        let workflow = self.builder.workflows.get(run.task.workflow)?;
        let kind = TaskKind { queue: workflow.queue.clone(), image: step.image.clone() };
        let forecast = self.input.run_times.forecast(&kind, step.estimate_ms);
        let session = self.input.sessions.get(worker)?;
        let begun_ms = session.begun_ms.get(&run).copied().unwrap_or(now_ms);
        Some(ForecastEnd {
            resources,
            median_ms: (begun_ms + forecast.median_ms()).max(now_ms),
            late_ms: begun_ms + forecast.late_ms(),
        })
        // A run past its late end may go on for any time.
        .filter(|it| now_ms <= it.late_ms)
    }

    /// Takes what a reservation needs from the pool.
    fn note(&mut self, pool: &mut Pool, new: &NewReservation) {
        self.awaited.insert(new.reservation.worker);
        self.awaited.extend(new.moves.iter().map(|(stop, _)| stop.worker));
        self.moves_left = self.moves_left.saturating_sub(new.moves.len());
        for it in reservations_of(new) {
            let taken = self.taken.entry(it.worker).or_insert(NO_RESOURCES);
            *taken = add(*taken, it.resources);
            pool.reserved = add(pool.reserved, it.resources);
            pool.free = subtract(pool.free, it.resources);
            if it.moved.is_some() {
                *self.moved_tasks.entry(it.step).or_insert(0) += 1;
            }
            if let Some(row) = pool.rows.iter_mut().find(|row| row.worker == it.worker) {
                row.free = subtract(row.free, it.resources);
            }
        }
        pool.rows.sort_by_key(|it| (it.free.cpu_millicores, it.worker));
    }
}

fn reservations_of(it: &NewReservation) -> impl Iterator<Item = &Reservation> {
    it.moves.iter().map(|(_, target)| target).chain([&it.reservation])
}
