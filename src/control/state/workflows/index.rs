//! Indexes that find ready steps and queues without a full scan.
//!
//! An index follows the changes of the state and is not part of a snapshot. It holds the same as a
//! full scan finds.

use std::collections::{BTreeSet, HashMap};

use crate::{
    control::state::workflows::{Occurrence, Workflow, Workflows},
    prelude::*,
    schema::memory::workflow_bytes,
};

/// Indexes over the workflows.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    /// Steps that have tasks to begin and wait for no other step.
    ready: BTreeSet<StepRef>,
    /// Positions of the queues in the configuration, by name.
    queues: HashMap<CompactString, usize>,
}

impl Workflows {
    /// Returns the steps that have tasks to begin and wait for no other step, due or not.
    pub fn ready_steps(&self) -> impl Iterator<Item = StepRef> {
        self.index.ready.iter().copied()
    }

    /// Returns whether a step has tasks to begin and waits for no other step, without the index.
    pub fn is_ready(&self, step_ref: StepRef) -> bool {
        let workflow = self.workflows.get(&step_ref.workflow).filter(|it| it.is_active());
        let occurrence = workflow.and_then(|it| it.occurrences.get(step_ref.occurrence as usize));
        match (workflow, occurrence) {
            (Some(workflow), Some(occurrence)) => {
                is_step_ready(workflow, occurrence, step_ref.step as usize)
            }
            _ => false,
        }
    }

    /// Returns a queue by name, or `None` if it is not configured.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let position = *self.index.queues.get(name)?;
        self.config.as_ref()?.queues.get(position)
    }

    /// Rebuilds the indexes, for example after loading a snapshot.
    pub fn rebuild_index(&mut self) {
        self.index = Index::default();
        self.memory_bytes = self.workflows.values().map(|it| workflow_bytes(&it.spec)).sum();
        self.index_queues();
        let ids: Vec<_> = self.active.iter().copied().collect();
        ids.into_iter().for_each(|it| self.index_workflow(it));
        self.workers.rebuild_index();
        self.recount_usage();
        // Earlier versions counted silences that were never resolved.
        let suspected: Vec<_> = self.suspects.iter().map(|(task, _)| task).collect();
        self.recount_silent_workers(suspected.into_iter());
    }

    pub(super) fn index_queues(&mut self) {
        let queues = self.config.iter().flat_map(|it| &it.queues).enumerate();
        self.index.queues = queues.map(|(position, it)| (it.name.clone(), position)).collect();
    }

    /// Updates the index for a step whose tasks or runs changed.
    pub(super) fn index_step(&mut self, step_ref: StepRef) {
        match self.is_ready(step_ref) {
            true => drop(self.index.ready.insert(step_ref)),
            false => drop(self.index.ready.remove(&step_ref)),
        }
    }

    /// Updates the index for a step with a task that ended. If the step is done, updates all steps
    /// of its occurrence, since those that wait for it may become ready.
    pub(super) fn index_step_and_dependents(&mut self, step_ref: StepRef) {
        let workflow = self.workflows.get(&step_ref.workflow);
        let occurrence = workflow.and_then(|it| it.occurrences.get(step_ref.occurrence as usize));
        let step = occurrence.and_then(|it| it.steps.get(step_ref.step as usize));
        match (occurrence, step) {
            (Some(occurrence), Some(it)) if it.is_done() => {
                let steps = occurrence.steps.len() as u32;
                (0..steps).for_each(|step| self.index_step(StepRef { step, ..step_ref }));
            }
            _ => self.index_step(step_ref),
        }
    }

    /// Updates the index for all steps of a workflow that was submitted or has ended.
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

fn is_step_ready(workflow: &Workflow, occurrence: &Occurrence, step_index: usize) -> bool {
    let (Some(step), Some(state)) =
        (workflow.spec.steps.get(step_index), occurrence.steps.get(step_index))
    else {
        return false;
    };
    !state.is_done()
        && state.tasks.iter().any(|it| !it.is_done && it.runs.is_empty())
        && workflow.are_prerequisites_done(occurrence, step)
}
