//! Where steps that could begin and queues are found without a walk over all of them.
//!
//! An index is changed by the state's own changes and is not part of a snapshot; a walk over
//! everything gives the same.

use std::collections::{BTreeSet, HashMap};

use crate::{
    control::state::workflows::{Occurrence, Workflow, Workflows},
    prelude::*,
};

/// The indexes beside the workflows.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    /// Steps that have tasks to begin and wait for no other step.
    ready: BTreeSet<StepRef>,
    /// By name of a queue, its place in the configuration.
    queues: HashMap<CompactString, usize>,
}

impl Workflows {
    /// Returns the steps that have tasks to begin and wait for no other step, due or not.
    pub fn ready_steps(&self) -> impl Iterator<Item = StepRef> {
        self.index.ready.iter().copied()
    }

    /// Returns whether a step could begin, by a look at the step itself.
    pub fn is_ready(&self, at: StepRef) -> bool {
        let workflow = self.workflows.get(&at.workflow).filter(|it| it.is_active());
        let occurrence = workflow.and_then(|it| it.occurrences.get(at.occurrence as usize));
        match (workflow, occurrence) {
            (Some(workflow), Some(occurrence)) => {
                is_step_ready(workflow, occurrence, at.step as usize)
            }
            _ => false,
        }
    }

    /// Returns the queue that a workflow was submitted to, while it is configured.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let at = *self.index.queues.get(name)?;
        self.config.as_ref()?.queues.get(at)
    }

    /// Makes the indexes anew, as after a snapshot.
    pub fn rebuild_index(&mut self) {
        self.index = Index::default();
        self.index_queues();
        let ids: Vec<_> = self.active.iter().copied().collect();
        ids.into_iter().for_each(|it| self.index_workflow(it));
        self.workers.rebuild_index();
    }

    pub(super) fn index_queues(&mut self) {
        let queues = self.config.iter().flat_map(|it| &it.queues).enumerate();
        self.index.queues = queues.map(|(at, it)| (it.name.clone(), at)).collect();
    }

    /// Takes note of a step whose tasks or runs changed.
    pub(super) fn index_step(&mut self, at: StepRef) {
        match self.is_ready(at) {
            true => drop(self.index.ready.insert(at)),
            false => drop(self.index.ready.remove(&at)),
        }
    }

    /// Takes note of a step with a task that ended: steps that wait for it may begin.
    pub(super) fn index_after(&mut self, at: StepRef) {
        let workflow = self.workflows.get(&at.workflow);
        let occurrence = workflow.and_then(|it| it.occurrences.get(at.occurrence as usize));
        let step = occurrence.and_then(|it| it.steps.get(at.step as usize));
        match (occurrence, step) {
            (Some(occurrence), Some(it)) if it.is_done() => {
                let steps = occurrence.steps.len() as u32;
                (0..steps).for_each(|step| self.index_step(StepRef { step, ..at }));
            }
            _ => self.index_step(at),
        }
    }

    /// Takes note of all steps of a workflow that began or ended.
    pub(super) fn index_workflow(&mut self, workflow: WorkflowId) {
        let occurrences = self.workflows.get(&workflow).map_or(0, |it| it.occurrences.len());
        let steps = self.workflows.get(&workflow).map_or(0, |it| it.spec.steps.len());
        for occurrence in 0..occurrences as u32 {
            for step in 0..steps as u32 {
                self.index_step(StepRef { workflow, occurrence, step });
            }
        }
    }
}

fn is_step_ready(workflow: &Workflow, occurrence: &Occurrence, at: usize) -> bool {
    let (Some(step), Some(state)) = (workflow.spec.steps.get(at), occurrence.steps.get(at)) else {
        return false;
    };
    !state.is_done()
        && state.tasks.iter().any(|it| !it.is_done && it.runs.is_empty())
        && workflow.is_step_ready(occurrence, step)
}
