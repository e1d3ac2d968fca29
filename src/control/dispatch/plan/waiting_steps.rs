//! Logs long-running tasks that no worker can take, with the cause of the wait.

use std::collections::HashMap;

use crate::{
    control::{
        dispatch::plan::{Candidate, builder::PlanBuilder},
        state::StepState,
    },
    prelude::*,
};

/// Wait after which a step is logged. It need not cover the expiry of a lease, since a task is
/// ready only after that.
const LOG_AFTER_MS: u64 = 2_000;

/// Interval between two log lines on one step.
const LOG_INTERVAL_MS: u64 = 5_000;

/// Maximum number of steps logged per plan.
const LOGGED_STEPS_MAX: usize = 4;

/// Steps with long-running tasks that wait for a worker.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct WaitingSteps {
    steps: HashMap<StepRef, Wait>,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    since_ms: u64,
    logged_ms: u64,
}

impl WaitingSteps {
    pub(super) fn clear(&mut self) {
        self.steps.clear();
    }

    /// Updates the waits after a plan, and logs those that are due.
    pub(super) fn update(
        &mut self,
        candidates: &[Candidate<'_>],
        builder: &PlanBuilder<'_, '_>,
        now_ms: u64,
    ) {
        let long_running = candidates.iter().filter(|it| is_long_running(it));
        let unplaced: Vec<_> =
            long_running.filter_map(|it| Some((it, unplaced_tasks(it, builder)?))).collect();
        self.steps.retain(|step_ref, _| unplaced.iter().any(|(it, _)| it.step_ref == *step_ref));
        let mut logged = 0;
        for (it, unplaced) in unplaced {
            let wait = self
                .steps
                .entry(it.step_ref)
                .or_insert(Wait { since_ms: now_ms, logged_ms: now_ms });
            let is_due = wait.since_ms + LOG_AFTER_MS <= now_ms
                && (wait.logged_ms == wait.since_ms || wait.logged_ms + LOG_INTERVAL_MS <= now_ms);
            if is_due && logged < LOGGED_STEPS_MAX {
                logged += 1;
                wait.logged_ms = now_ms;
                unplaced.log(it.step_ref, now_ms - wait.since_ms, builder);
            }
        }
    }
}

/// Counts of the tasks of a step that a plan has not placed.
#[derive(Clone, Copy, Debug)]
struct UnplacedTasks {
    tasks: usize,
    suspects: usize,
    /// Tasks that wait for a quiet period.
    waiting_for_quiet: usize,
}

impl UnplacedTasks {
    fn log(self, step_ref: StepRef, waited_ms: u64, builder: &PlanBuilder<'_, '_>) {
        let workers = builder.workers().len();
        let cause = match self {
            _ if workers == 0 => "no_worker",
            it if it.waiting_for_quiet == it.tasks => "recent_crashes",
            it if it.suspects == it.tasks => "probation",
            _ => "no_capacity",
        };
        let probations = builder.probations().len();
        tracing::warn!(event = "tasks_waiting", workflow = %format_args!("{:016x}", step_ref.workflow.0), step = step_ref.step, tasks = self.tasks, suspects = self.suspects, waited_ms, workers, probations, cause);
    }
}

fn is_long_running(it: &Candidate<'_>) -> bool {
    it.workflow.spec.steps.get(it.step_ref.step as usize).is_some_and(|it| it.lasting)
}

/// Counts the tasks of a step that have no run, also after this plan; `None` if there are none.
fn unplaced_tasks(it: &Candidate<'_>, builder: &PlanBuilder<'_, '_>) -> Option<UnplacedTasks> {
    let occurrence = it.workflow.occurrences.get(it.step_ref.occurrence as usize)?;
    let state: &StepState = occurrence.steps.get(it.step_ref.step as usize)?;
    let is_placed = |index: u32| {
        let is_of_step = |run: &RunPlacement| StepRef::of_task(run.run.task) == it.step_ref;
        builder.runs().iter().any(|run| is_of_step(run) && run.run.task.index == index)
    };
    let waiting_tasks =
        state.tasks.iter().zip(0_u32..).filter(|(it, _)| !it.is_done && it.runs.is_empty());
    let waiting_tasks: Vec<_> =
        waiting_tasks.map(|(_, index)| index).filter(|it| !is_placed(*it)).collect();
    let suspects = builder.workflows().suspects();
    let task = |index: u32| TaskRef {
        workflow: it.step_ref.workflow,
        occurrence: it.step_ref.occurrence,
        step: it.step_ref.step,
        index,
    };
    let suspect_count =
        waiting_tasks.iter().filter(|it| suspects.needs_probation(task(**it))).count();
    let waiting_for_quiet =
        waiting_tasks.iter().filter(|it| !builder.may_begin(task(**it))).count();
    (!waiting_tasks.is_empty()).then_some(UnplacedTasks {
        tasks: waiting_tasks.len(),
        suspects: suspect_count,
        waiting_for_quiet,
    })
}
