//! A step of a workflow in one occurrence.

use crate::schema::messages::{TaskRef, WorkflowId};

/// A step of a workflow in one occurrence; its tasks share one load.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct StepRef {
    pub workflow: WorkflowId,
    pub occurrence: u32,
    pub step: u32,
}

impl StepRef {
    /// Returns the step of a task.
    pub fn of_task(it: TaskRef) -> StepRef {
        StepRef { workflow: it.workflow, occurrence: it.occurrence, step: it.step }
    }
}
