//! The reservations of the leader, kept between plans.
//!
//! They are lost with their leader. A task that was stopped for one is then ready like any other
//! and begins where there is capacity, and a task that waits goes on waiting until the next leader
//! reserves capacity for it.

use std::collections::{HashMap, HashSet};

use crate::{
    control::state::Workflows,
    policy::{disruption::RunStop, reservation::has_waited_enough},
    prelude::*,
};

/// Minimum interval between two searches for reservations, which visit all workers of a pool.
const SEARCH_INTERVAL_MS: u64 = 100;

/// Time until the next search after one that found nothing. Most of what it looked at has not
/// changed by then.
const FRUITLESS_SEARCH_INTERVAL_MS: u64 = 500;

/// Why a reservation is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::control::dispatch) enum ReservationCause {
    /// Runs there end in time by themselves.
    RunsEnd,
    /// Runs there are moved to other workers.
    Compaction,
    /// A run is moved here.
    MoveTarget,
}

impl ReservationCause {
    fn as_str(self) -> &'static str {
        match self {
            ReservationCause::RunsEnd => "runs_end",
            ReservationCause::Compaction => "compaction",
            ReservationCause::MoveTarget => "move_target",
        }
    }
}

/// A run that moves to the worker of its reservation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::control::dispatch) struct MovedRun {
    pub run: RunRef,
    pub from: WorkerId,
}

/// Capacity on one worker that is kept for one task of a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::control::dispatch) struct Reservation {
    pub step: StepRef,
    pub worker: WorkerId,
    pub resources: Resources,
    /// When the capacity is expected to be free; until then, others may use it.
    pub due_ms: u64,
    pub made_ms: u64,
    pub expires_ms: u64,
    pub cause: ReservationCause,
    /// Set for a run that moves.
    pub moved: Option<MovedRun>,
}

/// A reservation to make, with the stops that it requires.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::control::dispatch) struct NewReservation {
    pub reservation: Reservation,
    /// Runs to stop, each with the reservation for it on another worker.
    pub moves: Vec<(RunStop, Reservation)>,
    pub waited_ms: u64,
}

/// The present reservations, and how long steps have waited.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct Reservations {
    entries: Vec<Reservation>,
    waiting_since_ms: HashMap<StepRef, u64>,
    next_search_ms: u64,
}

impl Reservations {
    pub(in crate::control::dispatch) fn entries(&self) -> &[Reservation] {
        &self.entries
    }

    /// Notes the steps that a plan could not place whole; returns those that have waited long enough
    /// for a reservation, with their waits, or none if no search is due.
    pub(in crate::control::dispatch) fn note_unplaced(
        &mut self,
        unplaced: &[StepRef],
        now_ms: u64,
    ) -> Vec<(StepRef, u64)> {
        self.waiting_since_ms.retain(|it, _| unplaced.contains(it));
        for it in unplaced {
            self.waiting_since_ms.entry(*it).or_insert(now_ms);
        }
        if now_ms < self.next_search_ms {
            return Vec::new();
        }
        let waited = unplaced.iter().map(|it| (*it, now_ms - self.waiting_since_ms[it]));
        waited.filter(|(_, it)| has_waited_enough(*it)).collect()
    }

    /// Notes a search for reservations.
    pub(in crate::control::dispatch) fn note_search(&mut self, found_any: bool, now_ms: u64) {
        let interval_ms = if found_any { SEARCH_INTERVAL_MS } else { FRUITLESS_SEARCH_INTERVAL_MS };
        self.next_search_ms = now_ms + interval_ms;
    }

    pub(in crate::control::dispatch) fn add(&mut self, it: Reservation, waited_ms: u64) {
        let due_in_ms = it.due_ms - it.made_ms;
        tracing::info!(event = "reservation_made", workflow = %format_args!("{:016x}", it.step.workflow.0), step = it.step.step, worker = it.worker.0, cores = it.resources.cpu_millicores / 1_000, waited_ms, due_in_ms, cause = it.cause.as_str());
        self.entries.push(it);
    }

    /// Ends a reservation whose stop was rejected.
    pub(in crate::control::dispatch) fn withdraw(&mut self, reservation: Reservation) {
        tracing::info!(event = "reservation_ended", workflow = %format_args!("{:016x}", reservation.step.workflow.0), step = reservation.step.step, worker = reservation.worker.0, after_ms = 0, cause = "stop_rejected");
        self.entries.retain(|it| *it != reservation);
    }

    /// Ends the reservations of tasks that begin on the reserved workers.
    pub(in crate::control::dispatch) fn note_begin(&mut self, runs: &[RunPlacement], now: Now) {
        for run in runs {
            let step = StepRef::of_task(run.run.task);
            let is_used = |it: &Reservation| it.step == step && it.worker == run.worker;
            if let Some(at) = self.entries.iter().position(is_used) {
                let it = self.entries.remove(at);
                tracing::info!(event = "reservation_used", workflow = %format_args!("{:016x}", step.workflow.0), step = step.step, worker = it.worker.0, after_ms = now.mono_ms - it.made_ms, cause = it.cause.as_str());
            }
        }
    }

    /// Ends the reservations that have expired, whose worker is unusable, or whose step has fewer
    /// waiting tasks.
    pub(in crate::control::dispatch) fn end_invalid(
        &mut self,
        workflows: &Workflows,
        is_usable: impl Fn(WorkerId) -> bool,
        now_ms: u64,
    ) {
        let mut waiting: HashMap<StepRef, u32> = HashMap::new();
        let mut unusable: HashSet<WorkerId> = HashSet::new();
        let workers: HashSet<_> = self.entries.iter().map(|it| it.worker).collect();
        unusable.extend(workers.into_iter().filter(|it| !is_usable(*it)));
        self.entries.retain(|it| {
            let left = waiting.entry(it.step).or_insert_with(|| waiting_tasks(workflows, it.step));
            let is_active = workflows.get(it.step.workflow).is_some_and(|it| it.is_active());
            let is_moving = is_active && it.moved.is_some_and(|it| workflows.has_run(it.from, it.run));
            let ended = match it {
                _ if unusable.contains(&it.worker) => Some("worker"),
                it if it.expires_ms <= now_ms => Some("expired"),
                _ if is_moving => None,
                _ if *left == 0 => Some("step"),
                _ => {
                    *left -= 1;
                    None
                }
            };
            if let Some(cause) = ended {
                tracing::info!(event = "reservation_ended", workflow = %format_args!("{:016x}", it.step.workflow.0), step = it.step.step, worker = it.worker.0, after_ms = now_ms - it.made_ms, cause);
            }
            ended.is_none()
        });
    }
}

/// Returns the number of tasks of a step that wait for a worker.
fn waiting_tasks(workflows: &Workflows, step: StepRef) -> u32 {
    let workflow = workflows.get(step.workflow).filter(|it| it.is_active());
    let state = workflow
        .and_then(|it| it.occurrences.get(step.occurrence as usize))
        .and_then(|it| it.steps.get(step.step as usize));
    let Some(state) = state else { return 0 };
    state.tasks.iter().filter(|it| !it.is_done && it.runs.is_empty()).count() as u32
}
