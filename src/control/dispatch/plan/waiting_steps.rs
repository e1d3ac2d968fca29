//! Tasks that last and find no worker, written down with what they wait for.

use std::collections::HashMap;

use crate::{
    control::{
        dispatch::plan::{Candidate, builder::PlanBuilder},
        state::StepState,
    },
    prelude::*,
};

/// Wait after which a line is written: longer than a lease takes to run out is not needed, since the
/// task is ready only then.
const SHOWN_AFTER_MS: u64 = 2_000;

/// Pause between two lines on one step.
const SHOWN_AGAIN_MS: u64 = 5_000;

/// Steps named after one plan.
const NAMED_MAX: usize = 4;

/// Steps with tasks that last and wait.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct WaitingSteps {
    steps: HashMap<StepRef, Wait>,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    since_ms: u64,
    shown_ms: u64,
}

impl WaitingSteps {
    /// Forgets all: nothing waits.
    pub(super) fn clear(&mut self) {
        self.steps.clear();
    }

    /// Takes in what a plan left without a worker.
    pub(super) fn note(
        &mut self,
        candidates: &[Candidate<'_>],
        builder: &PlanBuilder<'_, '_>,
        now_ms: u64,
    ) {
        let lasting = candidates.iter().filter(|it| is_long_running(it));
        let left: Vec<_> = lasting.filter_map(|it| Some((it, left_by(it, builder)?))).collect();
        self.steps.retain(|at, _| left.iter().any(|(it, _)| it.step_ref == *at));
        let mut named = 0;
        for (it, left) in left {
            let wait = self
                .steps
                .entry(it.step_ref)
                .or_insert(Wait { since_ms: now_ms, shown_ms: now_ms });
            let is_due = wait.since_ms + SHOWN_AFTER_MS <= now_ms
                && (wait.shown_ms == wait.since_ms || wait.shown_ms + SHOWN_AGAIN_MS <= now_ms);
            if is_due && named < NAMED_MAX {
                named += 1;
                wait.shown_ms = now_ms;
                left.log(it.step_ref, now_ms - wait.since_ms, builder);
            }
        }
    }
}

/// Tasks of a step that wait.
#[derive(Clone, Copy, Debug)]
struct Left {
    tasks: usize,
    suspects: usize,
    /// Those that wait until no workers crash.
    held: usize,
}

impl Left {
    fn log(self, at: StepRef, waited_ms: u64, builder: &PlanBuilder<'_, '_>) {
        let workers = builder.workers().len();
        let cause = match self {
            _ if workers == 0 => "no_worker",
            it if it.held == it.tasks => "recent_crashes",
            it if it.suspects == it.tasks => "probation",
            _ => "no_capacity",
        };
        let probations = builder.probations().len();
        tracing::warn!(event = "tasks_waiting", workflow = %format_args!("{:016x}", at.workflow.0), step = at.step, tasks = self.tasks, suspects = self.suspects, waited_ms, workers, probations, cause);
    }
}

fn is_long_running(it: &Candidate<'_>) -> bool {
    it.workflow.spec.steps.get(it.step_ref.step as usize).is_some_and(|it| it.lasting)
}

/// Returns the tasks of a step that have no run, nor will have by this plan.
fn left_by(it: &Candidate<'_>, builder: &PlanBuilder<'_, '_>) -> Option<Left> {
    let occurrence = it.workflow.occurrences.get(it.step_ref.occurrence as usize)?;
    let state: &StepState = occurrence.steps.get(it.step_ref.step as usize)?;
    let is_placed = |index: u32| {
        let of_step = |run: &RunPlacement| StepRef::of_task(run.run.task) == it.step_ref;
        builder.runs().iter().any(|run| of_step(run) && run.run.task.index == index)
    };
    let waiting =
        state.tasks.iter().zip(0_u32..).filter(|(it, _)| !it.is_done && it.runs.is_empty());
    let waiting: Vec<_> = waiting.map(|(_, index)| index).filter(|it| !is_placed(*it)).collect();
    let suspects = builder.workflows().suspects();
    let task = |index: u32| TaskRef {
        workflow: it.step_ref.workflow,
        occurrence: it.step_ref.occurrence,
        step: it.step_ref.step,
        index,
    };
    let tried = waiting.iter().filter(|it| suspects.needs_probation(task(**it))).count();
    let held = waiting.iter().filter(|it| !builder.may_begin(task(**it))).count();
    (!waiting.is_empty()).then_some(Left { tasks: waiting.len(), suspects: tried, held })
}
