//! The steps that may begin, and their order.

use crate::{
    control::state::{Occurrence, Workflow, Workflows},
    policy::urgency::{PendingStep, Urgency, urgency},
    prelude::*,
};

/// A step whose tasks may begin.
pub(in crate::control::dispatch) struct Candidate<'a> {
    pub urgency: Urgency,
    pub step_ref: StepRef,
    pub workflow: &'a Workflow,
}

/// Returns the steps that may begin, most urgent first.
pub(in crate::control::dispatch) fn candidates(
    workflows: &Workflows,
    now: Now,
) -> Vec<Candidate<'_>> {
    let ready = workflows.ready_steps();
    let mut res: Vec<_> = ready.filter_map(|it| candidate(workflows, it, now)).collect();
    res.sort_by_key(|it| (it.urgency, it.step_ref));
    res
}

fn candidate(workflows: &Workflows, step_ref: StepRef, now: Now) -> Option<Candidate<'_>> {
    let workflow = workflows.get(step_ref.workflow)?;
    let queue = workflows.queue(&workflow.queue)?;
    let due_ms = workflow.due_ms(step_ref.occurrence as usize);
    if now.wall_ms < due_ms {
        return None;
    }
    let occurrence = workflow.occurrences.get(step_ref.occurrence as usize)?;
    let chains_ms = chains_ms(&workflow.spec);
    let longest_chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
    let objective_ms = longest_chain_ms * u64::from(queue.stretch_percent) / 100 + queue.target_ms;
    let step = step_ref.step as usize;
    let pending = PendingStep {
        priority: queue.priority,
        is_long_running: workflow.spec.steps.get(step)?.lasting,
        objective_deadline_ms: workflow.accepted_ms.max(due_ms) + objective_ms,
        remaining_ms: chains_ms[step],
        work_core_ms: work_core_ms(workflow, occurrence),
    };
    Some(Candidate { urgency: urgency(pending, now.wall_ms), step_ref, workflow })
}

/// Returns for each step the longest sum of declared run times over a chain that begins with it.
pub(in crate::control::dispatch) fn chains_ms(spec: &WorkflowSpec) -> Vec<u64> {
    let mut res: Vec<u64> = spec.steps.iter().map(|it| it.estimate_ms).collect();
    // Steps depend on earlier ones only, so the chains of later steps are known first.
    for index in (0..spec.steps.len()).rev() {
        for dependency in &spec.steps[index].after {
            let dependency = *dependency as usize;
            res[dependency] = res[dependency].max(spec.steps[dependency].estimate_ms + res[index]);
        }
    }
    res
}

/// Returns the processor time, in core-milliseconds, that the remaining tasks of an occurrence need
/// by their declared run times.
pub(in crate::control::dispatch) fn work_core_ms(
    workflow: &Workflow,
    occurrence: &Occurrence,
) -> u64 {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps);
    let remaining = steps.map(|(step, state)| {
        let tasks = u64::from(step.count - state.done_count.min(step.count));
        tasks * step.estimate_ms * u64::from(step.need.cpu_millicores) / 1_000
    });
    remaining.sum()
}
