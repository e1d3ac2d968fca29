//! Reports to operators who waits for capacity, and who was rejected lately.

use std::collections::HashSet;

use crate::{
    control::{
        dispatch::{
            Dispatcher,
            capacity::{PlacementMode, TaskDemand},
            plan::{Candidate, candidates},
            sessions::UsabilityCriteria,
        },
        state::{Workflows, add, fits, reservation_of, subtract},
    },
    policy::verdict::RejectedSubmission,
    prelude::*,
};

/// Highest number of rows of each list: the leader answers between two plans.
const ROWS_MAX: usize = 200;

impl Dispatcher {
    /// Returns the most urgent steps that wait, and the submissions rejected lately.
    pub(super) fn waiting_report(
        &mut self,
        workflows: &Workflows,
        rows_max: u32,
        now: Now,
    ) -> WaitingReport {
        let rows_max = ROWS_MAX.min(rows_max as usize);
        self.refresh_backlog(workflows, now);
        let waiting: Vec<_> = candidates(workflows, now)
            .into_iter()
            .filter_map(|it| Some((waiting_tasks(&it)?, it)))
            .collect();
        let steps = waiting.iter().take(rows_max);
        let steps = steps.filter_map(|(tasks, it)| self.waiting_step(workflows, it, tasks, now));
        WaitingReport {
            steps: steps.collect(),
            steps_total: waiting.len() as u64,
            rejected: self.rejected_callers(rows_max, now),
        }
    }

    fn rejected_callers(&self, rows_max: usize, now: Now) -> Vec<RejectedCaller> {
        let row = |it: &RejectedSubmission| RejectedCaller {
            workflow: it.id,
            caller: it.caller.clone(),
            cause: it.cause,
            rejections: it.rejections,
            return_in_ms: it.return_at_ms.saturating_sub(now.mono_ms),
        };
        self.rejected(now).take(rows_max).map(row).collect()
    }

    fn waiting_step(
        &mut self,
        workflows: &Workflows,
        it: &Candidate<'_>,
        tasks: &[u32],
        now: Now,
    ) -> Option<WaitingStep> {
        let step_ref = it.step_ref;
        let index = step_ref.occurrence as usize;
        let queue = workflows.queue(&it.workflow.queue)?;
        let step = it.workflow.spec.steps.get(step_ref.step as usize)?;
        let caller = workflows.caller_of(step_ref.workflow)?;
        let ends = match step.lasting {
            true => None,
            false => self.forecast_waiting(workflows, step_ref.workflow, index, now),
        };
        let end_ms = |it: f64| if it.is_finite() { it as u64 } else { 0 };
        Some(WaitingStep {
            workflow: step_ref.workflow,
            occurrence: step_ref.occurrence,
            step: step_ref.step,
            caller,
            tasks: tasks.len() as u32,
            need: step.need,
            best_effort: step.filler,
            long_running: step.lasting,
            since_ms: it.workflow.accepted_ms.max(it.workflow.due_ms(index)),
            cause: self.wait_cause(workflows, step_ref, step, queue, tasks, now),
            median_end_ms: ends.map_or(0, |it| end_ms(it.median)),
            late_end_ms: ends.map_or(0, |it| end_ms(it.late)),
        })
    }

    fn wait_cause(
        &mut self,
        workflows: &Workflows,
        step_ref: StepRef,
        step: &WorkflowStep,
        queue: &Queue,
        tasks: &[u32],
        now: Now,
    ) -> WaitCause {
        let suspects = workflows.suspects();
        let task = |index: u32| {
            let StepRef { workflow, occurrence, step } = step_ref;
            TaskRef { workflow, occurrence, step, index }
        };
        let probations = self.probations.active(now);
        let needs_quiet = |it: &u32| suspects.needs_quiet_period(task(*it));
        if !probations.is_quiet() && tasks.iter().all(needs_quiet) {
            return WaitCause::RecentCrashes;
        }
        if tasks.iter().all(|it| suspects.needs_probation(task(*it))) {
            return WaitCause::Probation;
        }
        let usability =
            UsabilityCriteria { term: self.term, silent_ms: self.options.silent_ms, now };
        self.free_capacities.refresh(workflows, &mut self.contention, now);
        let workers =
            self.free_capacities.usable(workflows, &self.sessions, &self.speeds, usability);
        let demand = TaskDemand::new(step, queue, &mut self.contention);
        let mode = PlacementMode::ProtectLatency;
        if workers.iter().any(|it| it.offer(&demand, 0, mode, &self.contention).is_some()) {
            return WaitCause::NextPlan;
        }
        let ids: HashSet<_> = workers.iter().map(|it| it.id).collect();
        let serving = workflows
            .workers()
            .iter()
            .filter(|(id, it)| ids.contains(id) && it.service == queue.service);
        let free: Vec<_> = serving.map(|(_, it)| subtract(it.capacity, it.reserved)).collect();
        let in_sum = free.iter().copied().reduce(add);
        let need = reservation_of(step);
        match in_sum {
            None => WaitCause::NoWorker,
            Some(sum) if fits(need, sum) && !free.iter().any(|it| fits(need, *it)) => {
                WaitCause::NoCapacityInOnePiece
            }
            Some(_) => WaitCause::NoCapacity,
        }
    }
}

/// Returns the indexes of the tasks that have no run, if there are any.
fn waiting_tasks(it: &Candidate<'_>) -> Option<Vec<u32>> {
    let occurrence = it.workflow.occurrences.get(it.step_ref.occurrence as usize)?;
    let state = occurrence.steps.get(it.step_ref.step as usize)?;
    let tasks = state.tasks.iter().zip(0..);
    let waiting = tasks.filter(|(it, _)| !it.is_done && it.runs.is_empty());
    let res: Vec<u32> = waiting.map(|(_, index)| index).collect();
    (!res.is_empty()).then_some(res)
}
