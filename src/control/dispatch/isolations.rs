//! Workers with a task that is given up at the next crash.
//!
//! Nothing else starts on such a worker until the task has outlived the age at which tasks are
//! suspected, so that the crash that gives it up is not caused by another task. Without this, all
//! tasks that had lost three workers waited for the same quiet period and then started on one
//! worker, and one crash gave up all their workflows.

use std::collections::BTreeSet;

use crate::{control::state::Workflows, policy::crash_evidence::is_too_old_to_suspect, prelude::*};

/// One in this many workers, and at least one, may host such a task at a time.
const WORKERS_PER_ISOLATION: usize = 3;

/// The workers that host such a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Isolations {
    workers: BTreeSet<WorkerId>,
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
                    res.begin(it.worker);
                }
            }
        }
        res
    }

    /// Returns whether a worker hosts such a task.
    pub(super) fn contains(&self, worker: WorkerId) -> bool {
        self.workers.contains(&worker)
    }

    /// Notes that such a task starts on a worker.
    pub(super) fn begin(&mut self, worker: WorkerId) {
        self.workers.insert(worker);
    }

    /// Returns whether the number of such workers has reached its limit for a number of usable
    /// workers.
    pub(super) fn is_limit_reached(&self, usable_workers: usize) -> bool {
        usable_workers.div_ceil(WORKERS_PER_ISOLATION).max(1) <= self.workers.len()
    }
}
