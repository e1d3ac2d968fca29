//! When slow workers are used, and when tasks may leave them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::{
        dispatch::{
            capacity::PlacementMode,
            plan::{Candidate, builder::PlanBuilder},
            sessions::SlowRun,
        },
        state::Workflows,
    },
    prelude::*,
};

/// Time for which the tasks of a step wait for a worker of normal speed. Short tasks leave such a
/// worker within about a second, and a second is less than a slow worker adds to most tasks. It is a
/// third of the three seconds within which work must begin while most capacity is free.
const WAIT_MAX_MS: u64 = 1_000;

/// Times since which steps have had tasks that wait.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct WaitingSince {
    steps: BTreeMap<StepRef, u64>,
}

impl WaitingSince {
    pub(super) fn clear(&mut self) {
        self.steps.clear();
    }

    /// Places the tasks of steps that have waited long enough on slow workers too.
    pub(super) fn use_slow_workers(
        &mut self,
        candidates: &[Candidate<'_>],
        builder: &mut PlanBuilder<'_, '_>,
        now_ms: u64,
    ) {
        if !builder.workers().iter().any(|it| it.is_slow()) {
            return self.clear();
        }
        // The tasks that this plan has placed are still listed as waiting.
        let placed: BTreeSet<_> =
            builder.runs().iter().map(|it| StepRef::of_task(it.run.task)).collect();
        let mut steps = BTreeMap::new();
        for it in candidates {
            let since_ms = self.steps.get(&it.step_ref).copied().unwrap_or(now_ms);
            steps.insert(it.step_ref, since_ms);
            if since_ms + WAIT_MAX_MS <= now_ms && !placed.contains(&it.step_ref) {
                builder.place(it.step_ref, it.workflow, PlacementMode::SlowWorkers);
            }
        }
        self.steps = steps;
    }
}

/// Returns the runs on slow workers that may move now. While other tasks wait for capacity, those
/// that last stay where they are: elsewhere they would take capacity that does more for the others.
pub(super) fn movable(
    mut runs: Vec<SlowRun>,
    workflows: &Workflows,
    builder: &PlanBuilder<'_, '_>,
) -> Vec<SlowRun> {
    if builder.is_short_of_capacity() {
        runs.retain(|it| workflows.step_of(it.run.task).is_some_and(|it| !it.lasting));
    }
    runs
}
