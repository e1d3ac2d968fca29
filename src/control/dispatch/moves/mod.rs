//! Stops running tasks so that they begin again elsewhere, under one budget for all causes.
//!
//! The budget follows from the ledger and from reports of this term, apart from the times of the
//! last stops. A new leader counts a task as at work only once its worker has reported in its term:
//! by then the worker rejects the stops of earlier leaders. So a stop that was under way at a
//! change of leader cannot add to the stops of the new one.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::{
    control::{
        dispatch::{Dispatcher, run_name, sessions::Sessions},
        state::{Workflow, Workflows},
    },
    policy::disruption::{RunStop, STOP_INTERVAL_MS, StepAvailability, StopRejection},
    prelude::*,
};

/// Progress of a long-running task that is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;

/// The limits on stops that are not part of the ledger.
#[derive(Debug, Default)]
pub(super) struct StopBudget {
    /// Times of the last stops of long-running tasks.
    last_stops_ms: HashMap<TaskRef, u64>,
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
            let last_stop_ms = self.last_stops_ms.get(&task);
            last_stop_ms.is_some_and(|it| now.mono_ms < it + STOP_INTERVAL_MS)
        };
        let availability = || StepAvailability {
            away: away_count(workflow, sessions, term, stop.run),
            unavailable_max: step.unavailable_max,
        };
        match step.lasting {
            _ if !is_running => Err(StopRejection::NotRunning),
            false => Ok(()),
            true if was_stopped_lately() => Err(StopRejection::StoppedLately),
            true if !availability().allows_stop() => Err(StopRejection::StepUnavailable),
            true => Ok(()),
        }
    }

    fn note_stop(&mut self, task: TaskRef, now: Now) {
        self.last_stops_ms.retain(|_, it| now.mono_ms < *it + STOP_INTERVAL_MS);
        self.last_stops_ms.insert(task, now.mono_ms);
    }
}

impl Dispatcher {
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
            let verdict = self.stop_budget.check(workflows, &self.sessions, self.term, *it, now);
            if let Err(cause) = verdict {
                tracing::debug!(event = "stop_rejected", run = %run_name(it.run), why = it.cause.as_str(), cause = ?cause);
                continue;
            }
            let Some(session) = self.sessions.get_mut(it.worker) else { continue };
            if !session.evict(it.run) {
                continue;
            }
            if workflows.step_of(it.run.task).is_some_and(|it| it.lasting) {
                self.stop_budget.note_stop(it.run.task, now);
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

/// Returns the number of tasks in the step of `stopped`, without that task, that are not known to
/// be at work.
fn away_count(workflow: &Workflow, sessions: &Sessions, term: u64, stopped: RunRef) -> u32 {
    let task = stopped.task;
    let step = workflow
        .occurrences
        .get(task.occurrence as usize)
        .and_then(|it| it.steps.get(task.step as usize));
    let Some(step) = step else { return 0 };
    let is_at_work = |index: u32, worker: WorkerId, run: u32| {
        let run = RunRef { task: TaskRef { index, ..task }, run };
        let Some(session) = sessions.get(worker) else { return false };
        let report = session.report.as_ref().filter(|it| it.term == term);
        !session.is_evicted(run)
            && report.is_some_and(|it| {
                it.running.iter().any(|it| it.run == run && AT_WORK_PERCENT <= it.progress_percent)
            })
    };
    let others = step.tasks.iter().zip(0_u32..).filter(|(_, index)| *index != task.index);
    let away = others
        .filter(|(it, index)| !it.runs.iter().any(|it| is_at_work(*index, it.worker, it.run)));
    away.count() as u32
}
