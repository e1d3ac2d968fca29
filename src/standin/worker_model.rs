//! Behaviour of the simulated worker, without HTTP.

use std::collections::BTreeMap;

use crate::{
    agent::{WorkerCall, WorkerReport, WorkerResult, WorkerTask},
    control::state::{NO_RESOURCES, add, fits},
    prelude::*,
};

/// Behaviour of a simulated task, read from its payload. It runs for 1 s if the payload is not such
/// a document or has no `run_ms`.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(default)]
pub struct Script {
    pub run_ms: Option<u64>,
    pub result: CompactString,
    pub fail: bool,
}

#[derive(Clone, Debug)]
struct Run {
    task: WorkerTask,
    script: Script,
    /// Work done; grows with the time multiplied by `rate`.
    done_ms: f64,
    rate: f64,
    advanced_to_ms: u64,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    capacity: Resources,
    session: SessionId,
    lease_until_ms: u64,
    runs: BTreeMap<TaskId, Run>,
    /// Latest incarnation of each task that must not start any more.
    fences: BTreeMap<TaskId, u32>,
    /// Fails every task that it starts.
    pub broken: bool,
    pub starts: u64,
}

impl WorkerModel {
    /// Returns a worker on a VM with this capacity.
    pub fn new(capacity: Resources) -> WorkerModel {
        WorkerModel {
            capacity,
            session: SessionId(0),
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            fences: BTreeMap::new(),
            broken: false,
            starts: 0,
        }
    }

    /// Returns the running tasks with their incarnations.
    pub fn running(&self) -> impl Iterator<Item = (TaskId, u32)> {
        let running = self.runs.values().filter(|it| is_running(it.task.phase));
        running.map(|it| (it.task.task, it.task.incarnation))
    }

    /// Returns the resources of the running tasks.
    pub fn running_resources(&self) -> Resources {
        self.runs
            .values()
            .filter(|it| is_running(it.task.phase))
            .map(|it| it.task.resources)
            .fold(NO_RESOURCES, add)
    }

    /// Handles a call at a time.
    pub fn call(&mut self, now_ms: u64, call: &WorkerCall) -> WorkerResult {
        self.advance(now_ms);
        match call {
            WorkerCall::List => WorkerResult::Report(self.report()),
            WorkerCall::Lease { session, until_boottime_ms } => {
                if *session < self.session {
                    return refused("an older session");
                }
                self.session = *session;
                self.lease_until_ms = *until_boottime_ms;
                WorkerResult::Done
            }
            WorkerCall::Start { session, task, incarnation, start } => {
                self.start(now_ms, *session, *task, *incarnation, start)
            }
            WorkerCall::Throttle { session, task, incarnation, permille } => {
                self.with_run(*session, *task, *incarnation, |it| {
                    it.rate = f64::from(*permille) / 1_000.0
                })
            }
            WorkerCall::Checkpoint { session, task, incarnation } => {
                self.with_run(*session, *task, *incarnation, |it| {
                    if is_running(it.task.phase) {
                        it.task.phase = TaskPhase::Evicted;
                        it.task.run_ms = it.done_ms as u64;
                        it.task.detail = format_compact!("at-{}", it.task.run_ms);
                    }
                })
            }
            WorkerCall::Stop { session, task, incarnation } => {
                self.stop(*session, *task, *incarnation)
            }
            WorkerCall::Forget { session, task, incarnation } => {
                if *session < self.session {
                    return refused("an older session");
                }
                if self.runs.get(task).is_some_and(|it| {
                    it.task.incarnation <= *incarnation && !is_running(it.task.phase)
                }) {
                    self.runs.remove(task);
                }
                WorkerResult::Done
            }
        }
    }

    /// Advances the time: tasks end, and all running tasks stop when the lease expires.
    pub fn advance(&mut self, now_ms: u64) {
        let until_ms = now_ms.min(self.lease_until_ms);
        for run in self.runs.values_mut().filter(|it| is_running(it.task.phase)) {
            run.done_ms += until_ms.saturating_sub(run.advanced_to_ms) as f64 * run.rate;
            run.advanced_to_ms = run.advanced_to_ms.max(until_ms);
            run.task.run_ms = run.done_ms as u64;
            let run_ms = run.script.run_ms.unwrap_or(1_000) as f64;
            if run.script.fail && run_ms <= run.done_ms {
                run.task.phase = TaskPhase::Failed;
                run.task.detail = "the script says so".into();
            } else if run_ms <= run.done_ms {
                run.task.phase = TaskPhase::Completed;
                run.task.detail = run.script.result.clone();
            } else if self.lease_until_ms <= now_ms {
                run.task.phase = TaskPhase::Stopped;
                run.task.detail = "the lease ended".into();
            }
        }
    }

    fn report(&self) -> WorkerReport {
        let reserved = self.running_resources();
        let usage = Usage {
            cpu_millicores: reserved.cpu_millicores,
            memory_mib: reserved.memory_mib,
            age_ms: 500,
        };
        WorkerReport {
            session: self.session,
            tasks: self.runs.values().map(|it| it.task.clone()).collect(),
            usage,
        }
    }

    fn start(
        &mut self,
        now_ms: u64,
        session: SessionId,
        task: TaskId,
        incarnation: u32,
        start: &TaskStart,
    ) -> WorkerResult {
        if session < self.session || self.lease_until_ms <= now_ms {
            return refused("no lease");
        }
        if self.fences.get(&task).is_some_and(|it| incarnation <= *it) {
            return refused("stopped before it started");
        }
        match self.runs.get(&task) {
            Some(it) if it.task.incarnation == incarnation => return WorkerResult::Done,
            Some(it) if incarnation < it.task.incarnation || is_running(it.task.phase) => {
                return refused("another incarnation is here");
            }
            _ => (),
        }
        if !fits(add(self.running_resources(), start.resources), self.capacity) {
            return refused("the VM is full");
        }
        self.starts += 1;
        let script: Script = serde_json::from_str(&start.payload).unwrap_or_default();
        let checkpoint_run_ms =
            start.checkpoint.strip_prefix("at-").and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let phase = if self.broken { TaskPhase::Failed } else { TaskPhase::Running };
        let detail =
            if self.broken { "this worker is broken".into() } else { CompactString::default() };
        let run = Run {
            task: WorkerTask {
                task,
                incarnation,
                phase,
                detail,
                run_ms: checkpoint_run_ms,
                resources: start.resources,
            },
            script,
            done_ms: checkpoint_run_ms as f64,
            rate: 1.0,
            advanced_to_ms: now_ms,
        };
        self.runs.insert(task, run);
        WorkerResult::Done
    }

    fn stop(&mut self, session: SessionId, task: TaskId, incarnation: u32) -> WorkerResult {
        if session < self.session {
            return refused("an older session");
        }
        // An unknown incarnation is fenced as well: its start call may still be in transit.
        let fence = self.fences.entry(task).or_insert(0);
        *fence = (*fence).max(incarnation);
        let run = self.runs.entry(task).or_insert_with(|| Run {
            task: WorkerTask {
                task,
                incarnation,
                phase: TaskPhase::Stopped,
                detail: CompactString::default(),
                run_ms: 0,
                resources: NO_RESOURCES,
            },
            script: Script::default(),
            done_ms: 0.0,
            rate: 1.0,
            advanced_to_ms: 0,
        });
        if run.task.incarnation <= incarnation && is_running(run.task.phase) {
            run.task.phase = TaskPhase::Stopped;
        }
        WorkerResult::Done
    }

    fn with_run(
        &mut self,
        session: SessionId,
        task: TaskId,
        incarnation: u32,
        change: impl FnOnce(&mut Run),
    ) -> WorkerResult {
        if session < self.session {
            return refused("an older session");
        }
        match self.runs.get_mut(&task).filter(|it| it.task.incarnation == incarnation) {
            Some(it) => {
                change(it);
                WorkerResult::Done
            }
            None => refused("no such incarnation"),
        }
    }
}

fn is_running(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Starting | TaskPhase::Running | TaskPhase::Checkpointing)
}

fn refused(detail: &str) -> WorkerResult {
    WorkerResult::Refused(detail.into())
}
