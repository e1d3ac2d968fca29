//! Validation of workflows and of queue configurations.

use crate::prelude::*;

/// Maximum number of tasks in one occurrence, so that one workflow cannot fill the state.
const TASKS_MAX: u64 = 10_000;

/// Maximum number of steps in a workflow, and of steps that one of them waits for.
pub const STEPS_MAX: usize = 1_000;

/// Maximum number of tasks in all occurrences together.
const RUNS_MAX: u64 = 100_000;

/// Longest time that a workflow or a queue may declare: a hundred years. Sums over all steps and
/// occurrences stay within 64 bits.
const DURATION_MAX_MS: u64 = 100 * 366 * 86_400_000;

/// Latest first occurrence: the end of the year 9999.
const FIRST_RUN_MAX_MS: u64 = 253_402_300_799_999;

/// Largest processor that one task may need: 100,000 cores.
const CPU_MAX_MILLICORES: u32 = 100_000_000;

/// Largest priority and stretch of a queue.
const PRIORITY_MAX: u32 = 1_000_000;
const STRETCH_MAX_PERCENT: u32 = 100_000_000;

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
        check_range(
            format_args!("estimate in ms of step {index}"),
            step.estimate_ms,
            DURATION_MAX_MS,
        )?;
        let cpu_millicores = step.need.cpu_millicores;
        let name = format_args!("processor in millicores of step {index}");
        check_range(name, cpu_millicores.into(), CPU_MAX_MILLICORES.into())?;
        tasks += u64::from(step.count);
    }
    if 0 < spec.repeat_count {
        check_range(format_args!("first run in ms"), spec.first_run_ms, FIRST_RUN_MAX_MS)?;
        check_range(format_args!("interval in ms"), spec.interval_ms, DURATION_MAX_MS)?;
    }
    let total = tasks.saturating_mul(u64::from(spec.repeat_count.max(1)));
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
        for (value, max, name) in [
            (queue.target_ms, DURATION_MAX_MS, "completion target in ms"),
            (queue.timeout_ms, DURATION_MAX_MS, "timeout in ms"),
            (queue.priority.into(), PRIORITY_MAX.into(), "priority"),
            (queue.stretch_percent.into(), STRETCH_MAX_PERCENT.into(), "stretch in percent"),
        ] {
            check_range(format_args!("{name} of queue {}", queue.name), value, max)?;
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

/// Checks that a value is at most `max`.
fn check_range(name: std::fmt::Arguments<'_>, value: u64, max: u64) -> Result<(), ValidationError> {
    match value <= max {
        true => Ok(()),
        false => {
            let reason = format_compact!("the {name} is {value}; 0 to {max} are accepted");
            Err(ValidationError(reason))
        }
    }
}
