//! A step of a workflow in one occurrence.

use crate::schema::messages::{TaskRef, WorkflowId};

/// A step of a workflow in one occurrence. All its tasks cause the same load.
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
    pub fn of_task(task: TaskRef) -> StepRef {
        StepRef { workflow: task.workflow, occurrence: task.occurrence, step: task.step }
    }
}
