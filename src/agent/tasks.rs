//! The tasks of a VM: those that its worker reports and those being started.

use std::collections::BTreeMap;

use crate::{
    control::state::{NO_RESOURCES, add, fits},
    prelude::*,
};

/// A call to the platform's worker, made by the HTTP adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Passes the lease to the worker, which stops its tasks by itself at `until_boottime_ms` and
    /// refuses calls of older sessions.
    Lease {
        session: SessionId,
        until_boottime_ms: u64,
    },
    List,
    Start {
        session: SessionId,
        task: TaskId,
        incarnation: u32,
        start: Box<TaskStart>,
    },
    Throttle {
        session: SessionId,
        task: TaskId,
        incarnation: u32,
        permille: u32,
    },
    Checkpoint {
        session: SessionId,
        task: TaskId,
        incarnation: u32,
    },
    Stop {
        session: SessionId,
        task: TaskId,
        incarnation: u32,
    },
    Forget {
        session: SessionId,
        task: TaskId,
        incarnation: u32,
    },
}

/// One task in a worker's report.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct WorkerTask {
    pub task: TaskId,
    pub incarnation: u32,
    pub phase: TaskPhase,
    /// Result, checkpoint or failure reason, depending on the phase.
    #[serde(default)]
    pub detail: CompactString,
    #[serde(default)]
    pub run_ms: u64,
    pub resources: Resources,
}

/// A worker's report on all its tasks.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct WorkerReport {
    /// The newest session that the worker received; zero if none.
    pub session: SessionId,
    pub tasks: Vec<WorkerTask>,
    pub usage: Usage,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerResult {
    Done,
    Report(WorkerReport),
    /// The worker answered that it did not carry out the call.
    Refused(CompactString),
    /// The worker did not answer; it may have carried out the call.
    Failed(CompactString),
}

/// A start that the worker has not confirmed.
#[derive(Clone, Debug)]
struct PendingStart {
    incarnation: u32,
    start: Box<TaskStart>,
    /// Whether the worker's answer was lost, so that the start must be sent again.
    unanswered: bool,
}

/// An agent's view of its VM's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Tasks {
    reported: BTreeMap<TaskId, WorkerTask>,
    pending_starts: BTreeMap<TaskId, PendingStart>,
    /// Incarnations whose start the worker confirmed, until control has recorded their end. A task
    /// that the worker no longer lists, for instance after its own restart, is reported as stopped
    /// and never started again.
    confirmed_starts: BTreeMap<TaskId, u32>,
    /// Failed starts with their reasons, reported until control has recorded them.
    failed_starts: BTreeMap<TaskId, (u32, CompactString)>,
    /// The last throttle per task, as incarnation and permille.
    throttles: BTreeMap<TaskId, (u32, u32)>,
    pub usage: Option<Usage>,
}

/// Why an order to start a task is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartRejection {
    /// This task incarnation, or a newer one, is already known.
    AlreadyKnown,
    /// An older incarnation of the task still runs here and must end first.
    OlderRuns,
    /// The VM has too little free capacity.
    Full,
}

impl Tasks {
    /// Returns the reports for control.
    pub(super) fn reports(&self) -> Vec<TaskReport> {
        let worker = self.reported.values().map(|it| TaskReport {
            task: it.task,
            incarnation: it.incarnation,
            phase: it.phase,
            detail: it.detail.clone(),
            run_ms: it.run_ms,
        });
        let starting = self.pending_starts.iter().map(|(task, it)| TaskReport {
            task: *task,
            incarnation: it.incarnation,
            phase: TaskPhase::Starting,
            detail: CompactString::default(),
            run_ms: 0,
        });
        let failed = self.failed_starts.iter().map(|(task, (incarnation, reason))| TaskReport {
            task: *task,
            incarnation: *incarnation,
            phase: TaskPhase::Failed,
            detail: reason.clone(),
            run_ms: 0,
        });
        let is_known = |task: &TaskId| {
            self.reported.contains_key(task) || self.pending_starts.contains_key(task)
        };
        let vanished =
            self.confirmed_starts.iter().filter(|(task, _)| !is_known(task)).map(|(task, it)| {
                TaskReport {
                    task: *task,
                    incarnation: *it,
                    phase: TaskPhase::Stopped,
                    detail: "the worker no longer knows it".into(),
                    run_ms: 0,
                }
            });
        worker.chain(starting).chain(vanished).chain(failed).collect()
    }

    /// Returns the tasks that run on the worker, by its last report.
    pub(super) fn running(&self) -> impl Iterator<Item = &WorkerTask> {
        self.reported.values().filter(|it| !has_ended(it.phase))
    }

    /// Records a start that is about to be sent to the worker.
    ///
    /// # Errors
    ///
    /// Returns why the start must not be sent.
    pub(super) fn try_start(
        &mut self,
        task: TaskId,
        incarnation: u32,
        start: &TaskStart,
        capacity: Resources,
    ) -> Result<(), StartRejection> {
        let reported = self.reported.get(&task);
        let newest_known = reported
            .map(|it| it.incarnation)
            .max(self.pending_starts.get(&task).map(|it| it.incarnation));
        let newest_known = newest_known.max(self.failed_starts.get(&task).map(|it| it.0));
        let newest_known = newest_known.max(self.confirmed_starts.get(&task).copied());
        if newest_known.is_some_and(|it| incarnation <= it) {
            return Err(StartRejection::AlreadyKnown);
        }
        if reported.is_some_and(|it| !has_ended(it.phase))
            || self.pending_starts.contains_key(&task)
        {
            return Err(StartRejection::OlderRuns);
        }
        // Control's ledger decides; this check keeps the VM within its capacity even if the ledger
        // is wrong.
        let running = self.running().map(|it| it.resources);
        let reserved = running
            .chain(self.pending_starts.values().map(|it| it.start.resources))
            .fold(NO_RESOURCES, add);
        if !fits(add(reserved, start.resources), capacity) {
            return Err(StartRejection::Full);
        }
        self.pending_starts.insert(
            task,
            PendingStart { incarnation, start: Box::new(start.clone()), unanswered: false },
        );
        Ok(())
    }

    /// Records the result of a start call.
    pub(super) fn note_start_result(
        &mut self,
        task: TaskId,
        incarnation: u32,
        result: &WorkerResult,
    ) {
        let Some(pending) =
            self.pending_starts.get_mut(&task).filter(|it| it.incarnation == incarnation)
        else {
            return;
        };
        match result {
            WorkerResult::Refused(reason) => {
                self.failed_starts.insert(task, (incarnation, reason.clone()));
                self.pending_starts.remove(&task);
            }
            WorkerResult::Failed(_) => pending.unanswered = true,
            WorkerResult::Done | WorkerResult::Report(_) => {
                let it = WorkerTask {
                    task,
                    incarnation,
                    phase: TaskPhase::Running,
                    detail: CompactString::default(),
                    run_ms: 0,
                    resources: pending.start.resources,
                };
                self.pending_starts.remove(&task);
                self.confirmed_starts.insert(task, incarnation);
                self.reported.insert(task, it);
            }
        }
    }

    /// Records the worker's report, which was requested while no other call to the worker was in
    /// flight.
    ///
    /// Returns whether a phase changed, so that control must be notified at once.
    pub(super) fn note_report(&mut self, report: WorkerReport) -> bool {
        self.usage = Some(report.usage);
        let reported: BTreeMap<_, _> = report.tasks.into_iter().map(|it| (it.task, it)).collect();
        let phases = |list: &BTreeMap<TaskId, WorkerTask>| -> Vec<_> {
            list.values().map(|it| (it.task, it.incarnation, it.phase)).collect()
        };
        let changed = phases(&self.reported) != phases(&reported);
        self.reported = reported;
        let listed = &self.reported;
        // A start whose answer was lost stays pending until the worker lists the task. It is sent
        // again, which is safe, while dropping it could let the task run without being reported.
        let is_listed = |id: &TaskId, it: &PendingStart| {
            listed.get(id).is_some_and(|task| it.incarnation <= task.incarnation)
        };
        self.pending_starts.retain(|id, it| !is_listed(id, it));
        self.throttles.retain(|id, _| listed.contains_key(id));
        changed
    }

    /// Takes the starts whose answers were lost, to be sent again.
    pub(super) fn take_unanswered(&mut self) -> Vec<(TaskId, u32, Box<TaskStart>)> {
        let unanswered = self.pending_starts.iter_mut().filter(|(_, it)| it.unanswered);
        let resends = unanswered.map(|(task, it)| {
            it.unanswered = false;
            (*task, it.incarnation, it.start.clone())
        });
        resends.collect()
    }

    /// Forgets a task incarnation whose end control has recorded.
    pub(super) fn forget(&mut self, task: TaskId, incarnation: u32) {
        if self.failed_starts.get(&task).is_some_and(|it| it.0 <= incarnation) {
            self.failed_starts.remove(&task);
        }
        if self.confirmed_starts.get(&task).is_some_and(|it| *it <= incarnation) {
            self.confirmed_starts.remove(&task);
        }
    }

    /// Records a throttle; returns whether it differs from the last one sent to the worker.
    pub(super) fn note_throttle(&mut self, task: TaskId, incarnation: u32, permille: u32) -> bool {
        self.throttles.insert(task, (incarnation, permille)) != Some((incarnation, permille))
    }
}

fn has_ended(phase: TaskPhase) -> bool {
    matches!(
        phase,
        TaskPhase::Completed | TaskPhase::Failed | TaskPhase::Evicted | TaskPhase::Stopped
    )
}
