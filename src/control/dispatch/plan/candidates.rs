//! The steps that may begin, and their order.

use crate::{
    control::state::{Occurrence, StepState, Workflow, Workflows},
    policy::{
        shares::Wait,
        urgency::{PendingStep, Urgency, urgency},
    },
    prelude::*,
};

/// A step whose tasks may begin.
#[derive(Clone, Copy)]
pub(in crate::control::dispatch) struct Candidate<'a> {
    pub urgency: Urgency,
    pub step_ref: StepRef,
    pub workflow: &'a Workflow,
    pub queue: &'a Queue,
    pub objective: Objective,
    /// Remaining processor time of the whole workflow.
    pub work_core_ms: u64,
    /// Processor time of the whole workflow, done work included.
    pub size_core_ms: u64,
}

/// The time that a workflow has, by declared run times.
#[derive(Clone, Copy)]
pub(in crate::control::dispatch) struct Objective {
    /// When the workflow was accepted or became due.
    begin_ms: u64,
    objective_ms: u64,
    remaining_ms: u64,
}

impl Objective {
    /// Returns how long the workflow has waited.
    pub(super) fn wait(self, now_ms: u64) -> Wait {
        Wait {
            age_ms: now_ms.saturating_sub(self.begin_ms),
            objective_ms: self.objective_ms,
            remaining_ms: self.remaining_ms,
        }
    }
}

impl<'a> Candidate<'a> {
    pub(super) fn step(&self) -> Option<&'a WorkflowStep> {
        self.workflow.spec.steps.get(self.step_ref.step as usize)
    }

    pub(super) fn is_long_running(&self) -> bool {
        self.step().is_some_and(|it| it.lasting)
    }

    /// Returns the number of tasks that have no run.
    pub(super) fn waiting_tasks(&self) -> u64 {
        let tasks = self.state().into_iter().flat_map(|it| &it.tasks);
        tasks.filter(|it| !it.is_done && it.runs.is_empty()).count() as u64
    }

    /// Returns the number of tasks that are not done, without a visit to each.
    pub(super) fn tasks_left(&self) -> u64 {
        self.state().map_or(0, |it| it.tasks.len() as u64 - u64::from(it.done_count))
    }

    fn state(&self) -> Option<&'a StepState> {
        let occurrence = self.workflow.occurrences.get(self.step_ref.occurrence as usize)?;
        occurrence.steps.get(self.step_ref.step as usize)
    }
}

/// Returns the steps that may begin, most urgent first.
pub(in crate::control::dispatch) fn candidates(
    workflows: &Workflows,
    now: Now,
) -> Vec<Candidate<'_>> {
    let mut res = Vec::new();
    let mut last: Option<ReadyOccurrence> = None;
    // Steps of one occurrence follow each other, so that its figures are computed once for all.
    for step_ref in workflows.ready_steps() {
        let key = (step_ref.workflow, step_ref.occurrence);
        if last.as_ref().is_none_or(|it| it.key != key) {
            last = ReadyOccurrence::new(workflows, step_ref, now);
        }
        res.extend(last.as_ref().and_then(|it| it.candidate(step_ref, now)));
    }
    res.sort_by_key(|it| (it.urgency, it.step_ref));
    res
}

/// An occurrence that is due, with what its steps share.
struct ReadyOccurrence<'a> {
    key: (WorkflowId, u32),
    workflow: &'a Workflow,
    queue: &'a Queue,
    begin_ms: u64,
    objective_ms: u64,
    /// For each step, the longest chain that begins with it.
    chains_ms: Vec<u64>,
    work_core_ms: u64,
    size_core_ms: u64,
}

impl<'a> ReadyOccurrence<'a> {
    /// Returns the occurrence of a step, or `None` if it is not due or has no queue.
    fn new(workflows: &'a Workflows, step_ref: StepRef, now: Now) -> Option<Self> {
        let workflow = workflows.get(step_ref.workflow)?;
        let queue = workflows.queue(&workflow.queue)?;
        let due_ms = workflow.due_ms(step_ref.occurrence as usize);
        if now.wall_ms < due_ms {
            return None;
        }
        let occurrence = workflow.occurrences.get(step_ref.occurrence as usize)?;
        let chains_ms = chains_ms(&workflow.spec);
        let longest_chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
        Some(ReadyOccurrence {
            key: (step_ref.workflow, step_ref.occurrence),
            workflow,
            queue,
            begin_ms: workflow.accepted_ms.max(due_ms),
            objective_ms: objective_ms(queue, longest_chain_ms),
            chains_ms,
            work_core_ms: work_core_ms(workflow, occurrence),
            size_core_ms: size_core_ms(&workflow.spec),
        })
    }

    fn candidate(&self, step_ref: StepRef, now: Now) -> Option<Candidate<'a>> {
        let step = step_ref.step as usize;
        let remaining_ms = self.chains_ms[step];
        let pending = PendingStep {
            priority: self.queue.priority,
            is_long_running: self.workflow.spec.steps.get(step)?.lasting,
            objective_deadline_ms: self.begin_ms.saturating_add(self.objective_ms),
            remaining_ms,
            work_core_ms: self.work_core_ms,
        };
        Some(Candidate {
            urgency: urgency(pending, now.wall_ms),
            step_ref,
            workflow: self.workflow,
            queue: self.queue,
            objective: Objective {
                begin_ms: self.begin_ms,
                objective_ms: self.objective_ms,
                remaining_ms,
            },
            work_core_ms: self.work_core_ms,
            size_core_ms: self.size_core_ms,
        })
    }
}

/// Returns the time within which a workflow with this longest chain gives its caller full value.
pub(in crate::control::dispatch) fn objective_ms(queue: &Queue, chain_ms: u64) -> u64 {
    let stretched_ms = chain_ms.saturating_mul(u64::from(queue.stretch_percent)) / 100;
    stretched_ms.saturating_add(queue.target_ms)
}

/// Returns for each step the longest sum of declared run times over a chain that begins with it.
pub(in crate::control::dispatch) fn chains_ms(spec: &WorkflowSpec) -> Vec<u64> {
    let mut res: Vec<u64> = spec.steps.iter().map(|it| it.estimate_ms).collect();
    // Steps depend on earlier ones only, so the chains of later steps are known first.
    for index in (0..spec.steps.len()).rev() {
        for dependency in &spec.steps[index].after {
            let dependency = *dependency as usize;
            let chain_ms = spec.steps[dependency].estimate_ms.saturating_add(res[index]);
            res[dependency] = res[dependency].max(chain_ms);
        }
    }
    res
}

/// Returns the processor time, in core-milliseconds, that one occurrence needs by declared run times.
pub(in crate::control::dispatch) fn size_core_ms(spec: &WorkflowSpec) -> u64 {
    let sizes = spec.steps.iter().map(|it| tasks_core_ms(it, it.count.into()));
    sizes.fold(0, u64::saturating_add)
}

/// Returns the processor time, in core-milliseconds, that some tasks of a step need by their
/// declared run time.
pub(super) fn tasks_core_ms(step: &WorkflowStep, tasks: u64) -> u64 {
    let run_ms = tasks.saturating_mul(step.estimate_ms);
    run_ms.saturating_mul(step.need.cpu_millicores.into()) / 1_000
}

/// Returns the processor time, in core-milliseconds, that the remaining tasks of an occurrence need
/// by their declared run times.
pub(in crate::control::dispatch) fn work_core_ms(
    workflow: &Workflow,
    occurrence: &Occurrence,
) -> u64 {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps);
    let remaining = steps.map(|(step, state)| {
        tasks_core_ms(step, step.count.saturating_sub(state.done_count).into())
    });
    remaining.fold(0, u64::saturating_add)
}
