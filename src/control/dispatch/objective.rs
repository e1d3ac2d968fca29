//! When workflows should be completed, and how much of them is left.

use crate::{
    control::state::{StepRef, Workflow, Workflows},
    policy::worth::Waiting,
    prelude::*,
};

/// The objective of one occurrence of a workflow.
pub(super) struct Objective {
    since_ms: u64,
    objective_ms: u64,
    /// By step: the longest chain of declared run times that begins with it.
    tails_ms: Vec<u64>,
}

impl Objective {
    pub(super) fn new(workflow: &Workflow, queue: &Queue, occurrence: u32) -> Objective {
        let tails_ms = tails_ms(&workflow.spec);
        let chain_ms = tails_ms.iter().copied().max().unwrap_or(0);
        Objective {
            since_ms: workflow.accepted_ms.max(workflow.due_ms(occurrence as usize)),
            objective_ms: chain_ms * u64::from(queue.stretch_percent) / 100 + queue.target_ms,
            tails_ms,
        }
    }

    /// Returns when the occurrence should be completed.
    pub(super) fn due_by_ms(&self) -> u64 {
        self.since_ms + self.objective_ms
    }

    /// Returns the longest chain of run times from a step on.
    pub(super) fn tail_ms(&self, step: u32) -> u64 {
        self.tails_ms.get(step as usize).copied().unwrap_or(0)
    }
}

/// Returns what waits for a run that has come so far, or nothing where no objective is known.
pub(super) fn waiting_for(
    workflows: &Workflows,
    run: RunRef,
    progress_percent: u32,
) -> Option<Waiting> {
    let at = StepRef::of(run.task);
    let workflow = workflows.get(at.workflow)?;
    let queue = workflows.queue(&workflow.queue)?;
    let step = workflow.spec.steps.get(at.step as usize)?;
    let objective = Objective::new(workflow, queue, at.occurrence);
    let done_ms = step.estimate_ms * u64::from(progress_percent.min(100)) / 100;
    Some(Waiting {
        since_ms: objective.since_ms,
        objective_ms: objective.objective_ms,
        remaining_ms: objective.tail_ms(at.step).saturating_sub(done_ms),
    })
}

/// Returns for each step the longest chain of declared run times that begins with it.
fn tails_ms(spec: &WorkflowSpec) -> Vec<u64> {
    let mut res: Vec<u64> = spec.steps.iter().map(|it| it.estimate_ms).collect();
    // Steps wait for earlier ones only, so later tails are known first.
    for at in (0..spec.steps.len()).rev() {
        for before in &spec.steps[at].after {
            let before = *before as usize;
            res[before] = res[before].max(spec.steps[before].estimate_ms + res[at]);
        }
    }
    res
}
