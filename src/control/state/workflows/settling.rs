//! Settles recorded failures: whether each counts as an attempt of its task.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{control::state::workflows::Workflows, prelude::*};

impl Workflows {
    /// Returns the unsettled failures of a worker that `noted` settles, or `None` if it settles
    /// none.
    pub fn failures_to_settle(&self, worker: WorkerId, noted: NotedEnds) -> Option<SettleFailures> {
        self.failures.failures_to_settle(worker, noted)
    }

    /// Returns the failed runs on a worker that are not settled.
    pub fn unsettled_failed_runs_on(&self, worker: WorkerId) -> Vec<RunRef> {
        self.failures.runs_on(worker)
    }

    /// Settles the unsettled failures of a worker incarnation that has ended, by the final state of
    /// its list: those that were not noted never will be.
    pub fn failures_to_settle_at_end(
        &self,
        node: SocketAddr,
        name: &str,
        noted: NotedEnds,
    ) -> SettleFailures {
        let id = self.workers.find(node, name);
        self.failures.runs_on_incarnation(id, name, node, noted)
    }

    /// Returns the unsettled failed runs whose workers were marked as lost before `time_ms`.
    pub fn lost_failures_before(&self, time_ms: u64) -> Vec<RunRef> {
        self.failures.lost_before(time_ms)
    }

    /// Records a failure that counts or lapses later. The run's resources are free, and its task may
    /// begin again if it has attempts left whether or not the failure counts.
    pub(super) fn add_unsettled_failure(
        &mut self,
        worker: WorkerId,
        end: &RunEnd,
        cursor: u64,
        time_ms: u64,
    ) {
        // Applied now: a later run may store a newer checkpoint before the failure is settled.
        if let Some(workflow) = self.workflows.get_mut(&end.run.task.workflow) {
            workflow.note_checkpoint(end);
        }
        self.suspects.note_end(end, time_ms);
        self.suspects.forget_run(end.run);
        let end = RunEnd { checkpoint: CompactString::default(), ..end.clone() };
        let task = end.run.task;
        self.failures.add(worker, end, cursor);
        self.hold_or_release(task);
    }

    /// Lets a task, or its gang, begin again if it has attempts left even if all of its unsettled
    /// failures count. If not, the runs of these failures hold their tasks until they are settled.
    fn hold_or_release(&mut self, task: TaskRef) {
        let Some(workflow) = self.workflows.get(&task.workflow) else { return };
        let is_gang = self.step_of(task).is_some_and(|it| it.gang);
        let is_concerned = |it: RunRef| match is_gang {
            true => StepRef::of_task(it.task) == StepRef::of_task(task),
            false => it.task == task,
        };
        let failed_runs = self.failures.runs_where(is_concerned);
        let is_attempt = |it: &RunRef| !is_gang || !self.failures.is_counted_for_gang(*it);
        let attempts = failed_runs.iter().map(|it| it.run).filter(is_attempt);
        let unsettled: BTreeSet<_> = attempts.map(|it| it.run).collect();
        let failures = workflow.failures_of(task) + unsettled.len() as u32;
        let has_attempts_left = failures < self.attempts_max_of(task.workflow);
        let Some(workflow) = self.workflows.get_mut(&task.workflow) else { return };
        for it in &failed_runs {
            match has_attempts_left {
                true => workflow.void(it.worker, it.run),
                false => workflow.hold(it.worker, it.run),
            }
        }
        for it in failed_runs {
            self.index_step(StepRef::of_task(it.run.task));
        }
    }

    /// Counts the failure of a run, unless it is already settled.
    pub(super) fn count_failure(&mut self, run: RunRef, time_ms: u64) {
        if let Some(it) = self.failures.take(run) {
            self.conclude(it.worker, &it.end, time_ms);
            self.hold_or_release(run.task);
        }
    }

    /// Counts the failures whose acknowledgement reached their worker in time, and voids those
    /// whose lease expired before.
    pub(super) fn settle(&mut self, settled: &SettleFailures, time_ms: u64) -> WorkflowOutcome {
        settled.counted.iter().for_each(|run| self.count_failure(*run, time_ms));
        for run in &settled.lapsed {
            if let Some(it) = self.failures.take(*run) {
                self.void_run(it.worker, *run);
                // Other failures of the task may have been its last attempt until now.
                self.hold_or_release(run.task);
            }
        }
        WorkflowOutcome::Accepted
    }
}
