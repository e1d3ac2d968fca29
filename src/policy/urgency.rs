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
    let end_ms = now_ms.saturating_add(step.remaining_ms);
    let late = u32::from(step.objective_deadline_ms < end_ms && !step.is_long_running);
    let class = match step.is_long_running {
        true => 0,
        false => step.priority.saturating_mul(2).saturating_add(1 + late),
    };
    Urgency { class, rank: i64::try_from(step.work_core_ms).unwrap_or(i64::MAX) }
}
