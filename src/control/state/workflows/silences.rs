//! Workers that were marked as lost in silence, and the tasks that ran there.
//!
//! Such a worker has crashed or was only cut off. Which of both is known once its node is heard
//! again: the same incarnation was cut off, and another one has replaced one that crashed. Silences
//! that counted as crashes at once gave up tasks whose workers had been cut off.

use std::net::SocketAddr;

use crate::{control::state::workflows::Workflows, prelude::*};

/// Time after which a silence is forgotten: its VM may be gone for good.
const SILENCE_MAX_MS: u64 = 60_000;

/// The silences that are not resolved.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Silences {
    silences: Vec<Silence>,
}

/// A worker that was marked as lost in silence.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Silence {
    pub name: CompactString,
    pub node: SocketAddr,
    pub since_ms: u64,
    /// Tasks with a run there that may have crashed it.
    pub tasks: Vec<TaskRef>,
}

/// The tasks of silences that are resolved.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedTasks {
    /// The worker was cut off, or it is not known what became of it.
    pub harmless: Vec<TaskRef>,
    /// The worker crashed.
    pub crashed: Vec<TaskRef>,
}

impl Silences {
    pub(super) fn add(&mut self, silence: Silence) {
        self.silences.push(silence);
    }

    /// Returns the number of open silences of a task.
    pub(super) fn count(&self, task: TaskRef) -> u32 {
        self.silences.iter().filter(|it| it.tasks.contains(&task)).count() as u32
    }

    /// Resolves the silences at a node where an incarnation registers.
    pub(super) fn resolve(&mut self, registration: &EnrolWorker) -> ResolvedTasks {
        let mut res = ResolvedTasks::default();
        for it in self.silences.extract_if(.., |it| it.node == registration.node) {
            match it.name == registration.name {
                true => res.harmless.extend(it.tasks),
                false => res.crashed.extend(it.tasks),
            }
        }
        res
    }

    /// Forgets the silences that have lasted too long; returns their tasks.
    pub(super) fn expire(&mut self, time_ms: u64) -> Vec<TaskRef> {
        let is_over = |it: &mut Silence| it.since_ms + SILENCE_MAX_MS <= time_ms;
        self.silences.extract_if(.., is_over).flat_map(|it| it.tasks).collect()
    }
}

impl Workflows {
    /// Returns the tasks of the silent workers of which the last registration told what became.
    pub fn last_resolved(&self) -> &ResolvedTasks {
        &self.last_resolved
    }

    /// Notes which tasks may have crashed a worker that was marked as lost in silence.
    pub(super) fn note_silence(&mut self, ended_runs: &FinishRuns, time_ms: u64) {
        let Some(worker) = self.workers.get(ended_runs.worker) else { return };
        let may_have_crashed = |it: &&RunEnd| {
            it.outcome == RunOutcome::Lapsed
                && !self.is_redundant(it.run)
                && self.suspects.may_be_suspected(it.run, time_ms)
        };
        let tasks: Vec<_> =
            ended_runs.ends.iter().filter(may_have_crashed).map(|it| it.run.task).collect();
        if tasks.is_empty() {
            return;
        }
        let (name, node) = (worker.name.clone(), worker.node);
        self.silences.add(Silence { name, node, since_ms: time_ms, tasks });
    }

    /// Resolves the silences at a node, where an incarnation registers.
    pub(super) fn resolve_silences(&mut self, registration: &EnrolWorker, time_ms: u64) {
        let resolved = self.silences.resolve(registration);
        let is_needed = |it: &TaskRef| !self.is_redundant(RunRef { task: *it, run: 0 });
        let crashed: Vec<_> = resolved.crashed.iter().copied().filter(is_needed).collect();
        for task in self.suspects.note_silent_crash(&crashed) {
            self.end_workflow(task.workflow, WorkflowPhase::Failed, time_ms);
        }
        let tasks = resolved.harmless.iter().chain(&resolved.crashed).copied();
        self.recount_silent_workers(tasks.collect::<Vec<_>>().into_iter());
        self.last_resolved = resolved;
    }

    /// Counts the silent workers of suspected tasks anew.
    pub(super) fn recount_silent_workers(&mut self, tasks: impl Iterator<Item = TaskRef>) {
        for task in tasks {
            if self.suspects.get(task).is_some() {
                self.suspects.set_silent_workers(task, self.silences.count(task));
            }
        }
    }
}
