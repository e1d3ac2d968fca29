//! Estimated memory of messages whose size depends on clients.

use crate::prelude::*;

/// Returns the memory of a workflow's specification; exact for the contents that can be large.
pub fn spec_bytes(spec: &WorkflowSpec) -> usize {
    spec.payload.len() + spec.steps.iter().map(step_bytes).sum::<usize>()
}

/// Estimated memory of a task that may run, with its run.
const TASK_BYTES: usize = 200;

/// Memory of a task of a later occurrence.
const LATER_TASK_BYTES: usize = 64;

/// Returns the memory that a workflow takes at a member of the control group, with all of its tasks.
pub fn workflow_bytes(spec: &WorkflowSpec) -> usize {
    let tasks: usize = spec.steps.iter().map(|it| it.count as usize).sum();
    let later_occurrences = spec.repeat_count.saturating_sub(1) as usize;
    let later_bytes = tasks.saturating_mul(later_occurrences).saturating_mul(LATER_TASK_BYTES);
    spec_bytes(spec).saturating_add(tasks * TASK_BYTES).saturating_add(later_bytes)
}

/// Returns the memory of a request; exact for the contents that can be large.
pub fn request_bytes(request: &WorkflowRequest) -> usize {
    let contents_bytes = match request {
        WorkflowRequest::Submit(it) => submission_bytes(it),
        WorkflowRequest::SubmitFrom(it) => submission_bytes(&it.submission),
        WorkflowRequest::Inspect(it) | WorkflowRequest::Cancel(it) => target_bytes(it),
        WorkflowRequest::Install(it) => config_bytes(it),
        WorkflowRequest::Evacuate(it) => it.zone.len(),
        WorkflowRequest::ReadConfig
        | WorkflowRequest::Ping
        | WorkflowRequest::ReadEvacuations
        | WorkflowRequest::ReadWaiting(_) => 0,
    };
    size_of::<WorkflowRequest>() + contents_bytes
}

/// Returns the memory of a configuration of queues; exact for the contents that can be large.
pub fn config_bytes(config: &QueueConfig) -> usize {
    let text_bytes = |it: &Queue| it.name.len() + it.host.len() + it.path_prefix.len();
    let queues_bytes: usize = config.queues.iter().map(text_bytes).sum();
    config.document.len() + queues_bytes + config.queues.len() * size_of::<Queue>()
}

impl WorkflowRequest {
    /// Returns the specification of the workflow that the request submits.
    pub fn submitted_spec(&self) -> Option<&WorkflowSpec> {
        match self {
            WorkflowRequest::Submit(it) => Some(&it.spec),
            WorkflowRequest::SubmitFrom(it) => Some(&it.submission.spec),
            _ => None,
        }
    }
}

fn submission_bytes(it: &WorkflowSubmission) -> usize {
    target_bytes(&it.target) + spec_bytes(&it.spec)
}

fn target_bytes(it: &WorkflowTarget) -> usize {
    it.host.len() + it.path.len()
}

fn step_bytes(it: &WorkflowStep) -> usize {
    let text_bytes = it.required_label.len() + it.data_rack.len() + it.image.len();
    size_of::<WorkflowStep>() + it.after.len() * size_of::<u32>() + text_bytes
}
