//! Stops running tasks so that they begin again elsewhere, under one budget for all causes.
//!
//! The budget follows from the ledger and from reports of this term, apart from the times of the
//! last stops. A new leader counts a task as at work only once its worker has reported in its term:
//! by then the worker rejects the stops of earlier leaders, and its node has dropped those that were
//! not carried out. So a stop that was under way at a change of leader cannot add to the stops of the
//! new one.

mod reservations;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::{
    control::{
        dispatch::{Dispatcher, run_name, sessions::Sessions},
        state::{TaskRun, Workflow, Workflows},
    },
    policy::disruption::{
        RunStop, STOP_INTERVAL_MS, StepAvailability, StopCause, StopRejection, moves_left,
    },
    prelude::*,
};

pub(super) use self::reservations::{
    MovedRun, NewReservation, Reservation, ReservationCause, Reservations,
};

/// Progress of a long-running task that is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;

/// The limits on stops that are not part of the ledger.
#[derive(Debug, Default)]
pub(super) struct StopBudget {
    /// The last stops of long-running tasks.
    last_stops: HashMap<TaskRef, LastStop>,
}

#[derive(Clone, Copy, Debug)]
struct LastStop {
    at_ms: u64,
    cause: StopCause,
}

impl StopBudget {
    /// Checks whether a run may be stopped now.
    ///
    /// # Errors
    ///
    /// Returns the limit that the stop would exceed.
    pub(super) fn check(
        &self,
        workflows: &Workflows,
        sessions: &Sessions,
        term: u64,
        stop: RunStop,
        now: Now,
    ) -> Result<(), StopRejection> {
        let task = stop.run.task;
        let workflow = workflows.get(task.workflow).ok_or(StopRejection::NotRunning)?;
        let step = workflows.step_of(task).ok_or(StopRejection::NotRunning)?;
        let is_running = workflows.has_run(stop.worker, stop.run)
            && is_listed(sessions, term, stop.worker, stop.run);
        let was_stopped_lately = || {
            let last_stop = self.last_stops.get(&task);
            last_stop.is_some_and(|it| now.mono_ms < it.at_ms + STOP_INTERVAL_MS)
        };
        let is_beyond_moves = || {
            stop.cause == StopCause::Compaction
                && self.moves_left(workflows, sessions, term, now) == 0
        };
        let availability = || availability(workflow, step, sessions, term, task);
        match step.lasting {
            _ if !is_running => Err(StopRejection::NotRunning),
            false => Ok(()),
            true if was_stopped_lately() => Err(StopRejection::StoppedLately),
            true if !availability().allows_stop() => Err(StopRejection::StepUnavailable),
            true if is_beyond_moves() => Err(StopRejection::TooManyMoves),
            true => Ok(()),
        }
    }

    /// Returns how many tasks of a run's step may be stopped now, apart from the limits on causes.
    pub(super) fn spare(workflows: &Workflows, sessions: &Sessions, term: u64, run: RunRef) -> u32 {
        let workflow = workflows.get(run.task.workflow);
        let step = workflows.step_of(run.task);
        let Some((workflow, step)) = workflow.zip(step) else { return 0 };
        availability(workflow, step, sessions, term, run.task).spare()
    }

    /// Returns how many more long-running tasks may be moved to make room.
    ///
    /// A new leader knows no earlier moves, and the limits of each step still hold.
    pub(super) fn moves_left(
        &self,
        workflows: &Workflows,
        sessions: &Sessions,
        term: u64,
        now: Now,
    ) -> usize {
        let recent = self.last_stops.iter().filter(|(_, it)| {
            it.cause == StopCause::Compaction && now.mono_ms < it.at_ms + STOP_INTERVAL_MS
        });
        let away = recent.filter(|(task, _)| is_active_and_away(workflows, sessions, term, **task));
        moves_left(away.count())
    }

    fn note_stop(&mut self, task: TaskRef, cause: StopCause, now: Now) {
        self.last_stops.retain(|_, it| now.mono_ms < it.at_ms + STOP_INTERVAL_MS);
        self.last_stops.insert(task, LastStop { at_ms: now.mono_ms, cause });
    }
}

impl Dispatcher {
    /// Makes reservations, and stops the runs that they require.
    ///
    /// Each run has capacity reserved at its target before it is stopped.
    pub(super) fn reserve(
        &mut self,
        workflows: &Workflows,
        new: &[NewReservation],
        members: &[SocketAddr],
        now: Now,
    ) {
        for it in new {
            let is_allowed = |(stop, _): &(RunStop, Reservation)| {
                let check =
                    self.stop_budget.check(workflows, &self.sessions, self.term, *stop, now);
                check.is_ok()
            };
            // A part of the moves makes no room.
            if !it.moves.iter().all(is_allowed) {
                continue;
            }
            self.reservations.add(it.reservation, it.waited_ms);
            it.moves.iter().for_each(|(_, target)| self.reservations.add(*target, it.waited_ms));
            let stops: Vec<_> = it.moves.iter().map(|(stop, _)| *stop).collect();
            let stopped = self.stop_runs(workflows, &stops, members, now);
            let rejected = it.moves.iter().filter(|(it, _)| !stopped.contains(&it.run));
            for (_, target) in rejected.clone() {
                self.reservations.withdraw(*target);
            }
            if rejected.count() != 0 {
                self.reservations.withdraw(it.reservation);
            }
        }
    }

    /// Orders workers to stop runs, as far as the budget allows; returns the runs that are stopped.
    pub(super) fn stop_runs(
        &mut self,
        workflows: &Workflows,
        stops: &[RunStop],
        members: &[SocketAddr],
        now: Now,
    ) -> Vec<RunRef> {
        let mut stopped = Vec::new();
        let mut workers = BTreeSet::new();
        for it in stops {
            let check = self.stop_budget.check(workflows, &self.sessions, self.term, *it, now);
            if let Err(rejection) = check {
                tracing::debug!(event = "stop_rejected", run = %run_name(it.run), cause = it.cause.as_str(), rejection = ?rejection);
                continue;
            }
            let Some(session) = self.sessions.get_mut(it.worker) else { continue };
            if !session.evict(it.run) {
                continue;
            }
            if workflows.step_of(it.run.task).is_some_and(|it| it.lasting) {
                self.stop_budget.note_stop(it.run.task, it.cause, now);
            }
            workers.insert(it.worker);
            stopped.push(it.run);
            let worker = workflows.workers().get(it.worker).map(|it| it.name.as_str());
            tracing::info!(event = "run_stopped", run = %run_name(it.run), worker, cause = it.cause.as_str());
        }
        for it in workers {
            self.send_orders(workflows, it, members);
        }
        stopped
    }
}

/// Returns whether a worker's newest report of this term lists a run that is not being stopped.
fn is_listed(sessions: &Sessions, term: u64, worker: WorkerId, run: RunRef) -> bool {
    let Some(session) = sessions.get(worker) else { return false };
    let report = session.report.as_ref().filter(|it| it.term == term);
    report.is_some_and(|it| it.running.iter().any(|it| it.run == run)) && !session.is_evicted(run)
}

fn availability(
    workflow: &Workflow,
    step: &WorkflowStep,
    sessions: &Sessions,
    term: u64,
    task: TaskRef,
) -> StepAvailability {
    let away = away_count(workflow, sessions, term, task);
    StepAvailability { away, unavailable_max: step.unavailable_max }
}

/// Returns the number of tasks in the step of `task`, without that task, that are not known to be at
/// work.
fn away_count(workflow: &Workflow, sessions: &Sessions, term: u64, task: TaskRef) -> u32 {
    let step = workflow
        .occurrences
        .get(task.occurrence as usize)
        .and_then(|it| it.steps.get(task.step as usize));
    let Some(step) = step else { return 0 };
    let others = step.tasks.iter().zip(0_u32..).filter(|(_, index)| *index != task.index);
    let away = others.filter(|(it, index)| {
        !has_run_at_work(sessions, term, TaskRef { index: *index, ..task }, &it.runs)
    });
    away.count() as u32
}

/// Returns whether a task that has not ended has no run that is known to be at work.
fn is_active_and_away(
    workflows: &Workflows,
    sessions: &Sessions,
    term: u64,
    task: TaskRef,
) -> bool {
    let workflow = workflows.get(task.workflow).filter(|it| it.is_active());
    let state = workflow.and_then(|it| it.task(task));
    state.is_some_and(|it| !it.is_done && !has_run_at_work(sessions, term, task, &it.runs))
}

/// Returns whether a worker reports in this term that a task is at work and not being stopped.
fn has_run_at_work(sessions: &Sessions, term: u64, task: TaskRef, runs: &[TaskRun]) -> bool {
    runs.iter().any(|it| {
        let run = RunRef { task, run: it.run };
        let Some(session) = sessions.get(it.worker) else { return false };
        let report = session.report.as_ref().filter(|it| it.term == term);
        let is_at_work = |it: &RunningTask| it.run == run && AT_WORK_PERCENT <= it.progress_percent;
        !session.is_evicted(run) && report.is_some_and(|it| it.running.iter().any(is_at_work))
    })
}
