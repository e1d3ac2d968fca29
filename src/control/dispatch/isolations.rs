//! Workers with a task that is given up at the next crash.
//!
//! Such a task starts beside no such task of another workflow until it has outlived the age at which
//! tasks are suspected. Without this, all tasks that had lost three workers waited for the same
//! quiet period and then started on one worker, and one crash gave up all their workflows.

use std::collections::HashMap;

use crate::{control::state::Workflows, policy::crash_evidence::is_too_old_to_suspect, prelude::*};

/// The workers that host such a task, each with the workflow of the task.
#[derive(Clone, Debug, Default)]
pub(super) struct Isolations {
    workflows: HashMap<WorkerId, WorkflowId>,
}

impl Isolations {
    /// Returns the workers that host such a task now.
    pub(super) fn new(workflows: &Workflows, now: Now) -> Isolations {
        let suspects = workflows.suspects();
        let mut res = Isolations::default();
        for (task, _) in suspects.iter().filter(|(_, it)| it.needs_isolation()) {
            let state = workflows.get(task.workflow).and_then(|it| it.task(task));
            for it in state.into_iter().flat_map(|it| &it.runs) {
                let age_ms = suspects.age_ms(RunRef { task, run: it.run }, now.wall_ms);
                if !age_ms.is_some_and(is_too_old_to_suspect) {
                    res.begin(it.worker, task.workflow);
                }
            }
        }
        res
    }

    /// Returns whether such a task of a workflow may start on a worker.
    pub(super) fn may_host(&self, worker: WorkerId, workflow: WorkflowId) -> bool {
        self.workflows.get(&worker).is_none_or(|it| *it == workflow)
    }

    /// Notes that such a task starts on a worker.
    pub(super) fn begin(&mut self, worker: WorkerId, workflow: WorkflowId) {
        self.workflows.insert(worker, workflow);
    }
}
