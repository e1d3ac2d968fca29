//! Validation of workflows and of queue configurations.

use crate::prelude::*;

/// Maximum number of tasks in one occurrence, so that one workflow cannot fill the state.
const TASKS_MAX: u64 = 10_000;

/// Maximum number of steps in a workflow.
const STEPS_MAX: usize = 1_000;

/// Maximum number of tasks in all occurrences together.
const RUNS_MAX: u64 = 100_000;

/// Why a workflow, a queue configuration or an evacuation request is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError(pub CompactString);

/// Checks a workflow.
///
/// # Errors
///
/// Returns what is wrong, with the bad value.
pub fn check_spec(spec: &WorkflowSpec) -> Result<(), ValidationError> {
    let fail = |why: CompactString| Err(ValidationError(why));
    if spec.steps.is_empty() || STEPS_MAX < spec.steps.len() {
        return fail(format_compact!("{} steps; 1 to {STEPS_MAX} are accepted", spec.steps.len()));
    }
    let mut tasks = 0_u64;
    for (index, step) in spec.steps.iter().enumerate() {
        if step.count == 0 {
            return fail(format_compact!("step {index} has no tasks"));
        }
        if let Some(it) = step.after.iter().find(|it| index <= **it as usize) {
            return fail(format_compact!(
                "step {index} waits for step {it}, which is not an earlier one"
            ));
        }
        tasks += u64::from(step.count);
    }
    let total = tasks * u64::from(spec.repeat_count.max(1));
    if TASKS_MAX < tasks || RUNS_MAX < total {
        return fail(format_compact!(
            "{tasks} tasks in {} occurrences; {TASKS_MAX} in one and {RUNS_MAX} in all are accepted",
            spec.repeat_count.max(1)
        ));
    }
    Ok(())
}

/// Checks a configuration of queues.
///
/// # Errors
///
/// Returns what is wrong, with the queue and the bad value.
pub fn check_queues(config: &QueueConfig) -> Result<(), ValidationError> {
    let fail = |why: CompactString| Err(ValidationError(why));
    let mut urls = std::collections::BTreeSet::new();
    for queue in &config.queues {
        if !config.services.contains(&queue.service) {
            return fail(format_compact!(
                "queue {} names unknown service '{}'",
                queue.name,
                queue.service
            ));
        }
        if queue.timeout_ms == 0 {
            return fail(format_compact!("queue {} has a timeout of 0 ms", queue.name));
        }
        if !urls.insert((&queue.host, &queue.path_prefix)) {
            return fail(format_compact!(
                "{}{} is the place of two queues",
                queue.host,
                queue.path_prefix
            ));
        }
    }
    Ok(())
}
