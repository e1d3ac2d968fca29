//! The order in which steps of workflows start.
//!
//! A workflow earns its full value until its objective, a small part for some time after, and
//! nothing later. So the order depends on whether a workflow can still meet its objective.

/// The properties of a step that is ready to start.
#[derive(Clone, Copy, Debug)]
pub struct PendingStep {
    /// 0 is the highest.
    pub priority: u32,
    /// Whether the step runs until it is cancelled, and earns for all the time that it runs.
    pub is_long_running: bool,
    /// When the time of the workflow's objective ends.
    pub objective_deadline_ms: u64,
    /// Run time of the critical path from this step on.
    pub remaining_ms: u64,
    /// Remaining processor time of the whole workflow, by declared run times.
    pub work_core_ms: u64,
}

/// The sort key of a step; the step with the least key starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    class: u32,
    rank: i64,
}

/// Returns the sort key of a step.
///
/// Long-running steps come first; the others follow by priority. Within one priority, steps that
/// can still meet their objective come before late ones. Ties are broken by the least remaining
/// work of the workflow.
pub fn urgency(step: PendingStep, now_ms: u64) -> Urgency {
    let slack_ms = step.objective_deadline_ms as i64 - now_ms as i64 - step.remaining_ms as i64;
    let late = u32::from(slack_ms < 0 && !step.is_long_running);
    let class = match step.is_long_running {
        true => 0,
        false => 1 + step.priority * 2 + late,
    };
    Urgency { class, rank: step.work_core_ms as i64 }
}
