//! The tasks of a VM, as its worker reports them.

use std::collections::BTreeMap;

use crate::{
    control::state::{NO_RESOURCES, add, fits},
    prelude::*,
};

/// A call of the platform's worker, to be made by the HTTP adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Passes the lease on: the worker stops its tasks by itself at that time, and refuses calls
    /// of older sessions.
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
    /// Result, checkpoint or failure, by phase.
    #[serde(default)]
    pub detail: CompactString,
    #[serde(default)]
    pub run_ms: u64,
    pub resources: Resources,
}

/// A worker's report on all its tasks.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct WorkerReport {
    /// The newest session that the worker was told of; zero for none.
    pub session: SessionId,
    pub tasks: Vec<WorkerTask>,
    pub usage: Usage,
}

/// How a call of the worker ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerResult {
    Done,
    Report(WorkerReport),
    /// The worker answered that it did not do it.
    Refused(CompactString),
    /// No answer: it may have done it.
    Failed(CompactString),
}

/// A start that the worker has not confirmed.
#[derive(Clone, Debug)]
struct Pending {
    incarnation: u32,
    start: Box<TaskStart>,
    /// Whether the answer got lost, so that the start has to be asked for again.
    unanswered: bool,
}

/// What an agent knows of its VM's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Tasks {
    reported: BTreeMap<TaskId, WorkerTask>,
    pending: BTreeMap<TaskId, Pending>,
    /// Starts that the worker confirmed, until control has taken in their end. One that the worker
    /// lists no more, as after its own restart, is reported as stopped and never started again.
    started: BTreeMap<TaskId, u32>,
    /// Failures to start, reported until control has taken them in.
    failed: BTreeMap<TaskId, (u32, CompactString)>,
    throttled: BTreeMap<TaskId, (u32, u32)>,
    pub usage: Option<Usage>,
}

/// Why an order to start is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartRejection {
    /// This incarnation, or a newer one, is known already.
    AlreadyKnown,
    /// An older incarnation still runs here; it goes first.
    OlderRuns,
    /// The VM cannot hold it.
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
        let starting = self.pending.iter().map(|(task, it)| TaskReport {
            task: *task,
            incarnation: it.incarnation,
            phase: TaskPhase::Starting,
            detail: CompactString::default(),
            run_ms: 0,
        });
        let failed = self.failed.iter().map(|(task, (incarnation, reason))| TaskReport {
            task: *task,
            incarnation: *incarnation,
            phase: TaskPhase::Failed,
            detail: reason.clone(),
            run_ms: 0,
        });
        let is_known =
            |task: &TaskId| self.reported.contains_key(task) || self.pending.contains_key(task);
        let vanished =
            self.started.iter().filter(|(task, _)| !is_known(task)).map(|(task, it)| TaskReport {
                task: *task,
                incarnation: *it,
                phase: TaskPhase::Stopped,
                detail: "the worker no longer knows it".into(),
                run_ms: 0,
            });
        worker.chain(starting).chain(vanished).chain(failed).collect()
    }

    /// Returns the tasks that the worker runs, by its last report.
    pub(super) fn running(&self) -> impl Iterator<Item = &WorkerTask> {
        self.reported.values().filter(|it| !has_ended(it.phase))
    }

    /// Notes a start that is about to be asked of the worker.
    ///
    /// # Errors
    ///
    /// Returns why it must not be.
    pub(super) fn try_start(
        &mut self,
        task: TaskId,
        incarnation: u32,
        start: &TaskStart,
        capacity: Resources,
    ) -> Result<(), StartRejection> {
        let reported = self.reported.get(&task);
        let known =
            reported.map(|it| it.incarnation).max(self.pending.get(&task).map(|it| it.incarnation));
        let known = known.max(self.failed.get(&task).map(|it| it.0));
        let known = known.max(self.started.get(&task).copied());
        if known.is_some_and(|it| incarnation <= it) {
            return Err(StartRejection::AlreadyKnown);
        }
        if reported.is_some_and(|it| !has_ended(it.phase)) || self.pending.contains_key(&task) {
            return Err(StartRejection::OlderRuns);
        }
        // Control's ledger decides; this second look keeps the promise even if that one is wrong.
        let running = self.running().map(|it| it.resources);
        let held = running
            .chain(self.pending.values().map(|it| it.start.resources))
            .fold(NO_RESOURCES, add);
        if !fits(add(held, start.resources), capacity) {
            return Err(StartRejection::Full);
        }
        self.pending.insert(
            task,
            Pending { incarnation, start: Box::new(start.clone()), unanswered: false },
        );
        Ok(())
    }

    /// Takes in how a start ended.
    pub(super) fn note_start(&mut self, task: TaskId, incarnation: u32, result: &WorkerResult) {
        let Some(pending) = self.pending.get_mut(&task).filter(|it| it.incarnation == incarnation)
        else {
            return;
        };
        match result {
            WorkerResult::Refused(reason) => {
                self.failed.insert(task, (incarnation, reason.clone()));
                self.pending.remove(&task);
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
                self.pending.remove(&task);
                self.started.insert(task, incarnation);
                self.reported.insert(task, it);
            }
        }
    }

    /// Takes in the worker's report, asked for when nothing was on its way to the worker.
    ///
    /// Returns whether a phase changed, so that control is told at once.
    pub(super) fn note_report(&mut self, it: WorkerReport) -> bool {
        self.usage = Some(it.usage);
        let reported: BTreeMap<_, _> = it.tasks.into_iter().map(|it| (it.task, it)).collect();
        let phase = |list: &BTreeMap<TaskId, WorkerTask>| -> Vec<_> {
            list.values().map(|it| (it.task, it.incarnation, it.phase)).collect()
        };
        let changed = phase(&self.reported) != phase(&reported);
        self.reported = reported;
        let listed = &self.reported;
        // A start whose answer got lost stays pending until the worker lists it: it is asked for
        // again, which does no harm, while forgetting it could let it run unseen.
        let arrived = |id: &TaskId, it: &Pending| {
            listed.get(id).is_some_and(|task| it.incarnation <= task.incarnation)
        };
        self.pending.retain(|id, it| !arrived(id, it));
        self.throttled.retain(|id, _| listed.contains_key(id));
        changed
    }

    /// Takes the starts whose answers got lost, to be asked for again.
    pub(super) fn take_unanswered(&mut self) -> Vec<(TaskId, u32, Box<TaskStart>)> {
        let unanswered = self.pending.iter_mut().filter(|(_, it)| it.unanswered);
        let again = unanswered.map(|(task, it)| {
            it.unanswered = false;
            (*task, it.incarnation, it.start.clone())
        });
        again.collect()
    }

    /// Forgets an incarnation that control has taken in.
    pub(super) fn forget(&mut self, task: TaskId, incarnation: u32) {
        if self.failed.get(&task).is_some_and(|it| it.0 <= incarnation) {
            self.failed.remove(&task);
        }
        if self.started.get(&task).is_some_and(|it| *it <= incarnation) {
            self.started.remove(&task);
        }
    }

    /// Returns whether a throttle is news to the worker.
    pub(super) fn note_throttle(&mut self, task: TaskId, incarnation: u32, permille: u32) -> bool {
        self.throttled.insert(task, (incarnation, permille)) != Some((incarnation, permille))
    }
}

fn has_ended(it: TaskPhase) -> bool {
    matches!(it, TaskPhase::Completed | TaskPhase::Failed | TaskPhase::Evicted | TaskPhase::Stopped)
}
