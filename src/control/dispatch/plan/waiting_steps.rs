//! Logs long-running tasks that no worker can take, with the cause of the wait.

use std::collections::HashMap;

use crate::{
    control::{
        dispatch::plan::{Candidate, builder::PlanBuilder},
        state::{StepState, Workflow, add, fits, reservation_of},
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

/// Interval between two checks of whether the tasks of a step fit into the free capacity in sum. A
/// check visits all workers, so a plan makes one.
const FREE_CHECK_INTERVAL_MS: u64 = 500;

/// Steps with long-running tasks that wait for a worker.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct WaitingSteps {
    steps: HashMap<StepRef, Wait>,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    since_ms: u64,
    logged_ms: u64,
    updated_ms: u64,
    /// Tasks that waited since the last update.
    tasks: u64,
    /// What was free at the last check, if there was one.
    free: Option<FreeSummary>,
    next_check_ms: u64,
    /// Sum of the waits of all tasks.
    task_ms: u64,
    /// The part of that sum for which the tasks fitted in sum but on no worker.
    fragmented_task_ms: u64,
}

impl Wait {
    fn new(now_ms: u64) -> Wait {
        Wait {
            since_ms: now_ms,
            logged_ms: now_ms,
            updated_ms: now_ms,
            tasks: 0,
            free: None,
            next_check_ms: now_ms,
            task_ms: 0,
            fragmented_task_ms: 0,
        }
    }

    fn advance(&mut self, tasks: u64, now_ms: u64) {
        let elapsed_ms = now_ms - self.updated_ms;
        self.task_ms += self.tasks * elapsed_ms;
        let fitting = self.free.map_or(0, |it| it.fitting_in_sum);
        self.fragmented_task_ms += self.tasks.min(fitting) * elapsed_ms;
        (self.tasks, self.updated_ms) = (tasks, now_ms);
    }

    fn log_end(&self, step_ref: StepRef, now_ms: u64) {
        let waited_ms = now_ms - self.since_ms;
        if waited_ms < LOG_AFTER_MS {
            return;
        }
        tracing::info!(event = "tasks_waited", workflow = %format_args!("{:016x}", step_ref.workflow.0), step = step_ref.step, waited_ms, task_ms = self.task_ms, fragmented_task_ms = self.fragmented_task_ms);
    }
}

impl WaitingSteps {
    /// Ends all waits.
    pub(super) fn clear(&mut self, now_ms: u64) {
        for (step_ref, mut wait) in self.steps.drain() {
            wait.advance(0, now_ms);
            wait.log_end(step_ref, now_ms);
        }
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
        self.steps.retain(|step_ref, wait| {
            let is_waiting = unplaced.iter().any(|(it, _)| it.step_ref == *step_ref);
            if !is_waiting {
                wait.advance(0, now_ms);
                wait.log_end(*step_ref, now_ms);
            }
            is_waiting
        });
        let mut logged = 0;
        let mut may_check = true;
        for (it, unplaced) in unplaced {
            let wait = self.steps.entry(it.step_ref).or_insert_with(|| Wait::new(now_ms));
            wait.advance(unplaced.tasks as u64, now_ms);
            if wait.next_check_ms <= now_ms && may_check {
                may_check = false;
                wait.next_check_ms = now_ms + FREE_CHECK_INTERVAL_MS;
                wait.free = builder.free_summary(it.step_ref, it.workflow);
            }
            let is_due = wait.since_ms + LOG_AFTER_MS <= now_ms
                && (wait.logged_ms == wait.since_ms || wait.logged_ms + LOG_INTERVAL_MS <= now_ms);
            if is_due && logged < LOGGED_STEPS_MAX {
                logged += 1;
                wait.logged_ms = now_ms;
                unplaced.log(it.step_ref, wait, now_ms, builder);
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
    fn log(self, step_ref: StepRef, wait: &Wait, now_ms: u64, builder: &PlanBuilder<'_, '_>) {
        let workers = builder.workers().len();
        let is_fragmented = wait.free.is_some_and(|it| 0 < it.fitting_in_sum);
        let cause = match self {
            _ if workers == 0 => "no_worker",
            it if it.waiting_for_quiet == it.tasks => "recent_crashes",
            it if it.suspects == it.tasks => "probation",
            _ if is_fragmented => "no_capacity_in_one_piece",
            _ => "no_capacity",
        };
        let probations = builder.probations().len();
        let waited_ms = now_ms - wait.since_ms;
        let cores = |it: fn(&FreeSummary) -> u32| wait.free.as_ref().map(it).map(|it| it / 1_000);
        let free_cores = cores(|it| it.sum.cpu_millicores);
        let largest_gap_cores = cores(|it| it.largest_gap_millicores);
        tracing::warn!(event = "tasks_waiting", workflow = %format_args!("{:016x}", step_ref.workflow.0), step = step_ref.step, tasks = self.tasks, suspects = self.suspects, waited_ms, workers, probations, free_cores, largest_gap_cores, task_ms = wait.task_ms, fragmented_task_ms = wait.fragmented_task_ms, cause);
    }
}

/// Free capacity of the workers that may run a task, also what is reserved and not in use yet.
#[derive(Clone, Copy, Debug)]
struct FreeSummary {
    sum: Resources,
    largest_gap_millicores: u32,
    /// Number of tasks that fit in sum if none fits on any worker, or else 0.
    fitting_in_sum: u64,
}

impl PlanBuilder<'_, '_> {
    fn free_summary(&self, step_ref: StepRef, workflow: &Workflow) -> Option<FreeSummary> {
        let queue = self.workflows.queue(&workflow.queue)?;
        let step = workflow.spec.steps.get(step_ref.step as usize)?;
        self.rows_visited.set(self.rows_visited.get() + self.workers.len() as u64);
        let need = reservation_of(step);
        let suiting = self.workers.iter().filter(|it| it.suits(step, queue));
        let gaps: Vec<_> = suiting.map(|it| it.free_and_withheld()).collect();
        let sum = gaps.iter().copied().reduce(add)?;
        let is_whole = gaps.iter().any(|it| fits(need, *it));
        Some(FreeSummary {
            sum,
            largest_gap_millicores: gaps.iter().map(|it| it.cpu_millicores).max()?,
            fitting_in_sum: if is_whole { 0 } else { tasks_in(sum, need) },
        })
    }
}

/// Returns how many tasks fit into an amount, by the resource that suffices for the fewest.
fn tasks_in(sum: Resources, need: Resources) -> u64 {
    let tasks = |sum: u32, need: u32| sum.checked_div(need).map_or(u64::MAX, u64::from);
    tasks(sum.cpu_millicores, need.cpu_millicores)
        .min(tasks(sum.memory_mib, need.memory_mib))
        .min(tasks(sum.accelerators, need.accelerators))
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
