//! The order in which steps of workflows begin.
//!
//! A workflow is worth its full amount up to its objective, a small part for some time after, and
//! nothing later, so what counts is whether it can still meet the objective.

/// What is known of a step that could begin.
#[derive(Clone, Copy, Debug)]
pub struct PendingStep {
    /// 0 comes first.
    pub priority: u32,
    /// It runs until it is cancelled, and earns for every moment that it is at work.
    pub is_long_running: bool,
    /// When the workflow's objective is over.
    pub objective_deadline_ms: u64,
    /// Longest chain of run times from this step on.
    pub remaining_ms: u64,
    /// Processor time that the whole workflow still needs, by declared run times.
    pub work_core_ms: u64,
}

/// The place of a step in the order; the least begins first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    class: u32,
    rank: i64,
}

/// Returns the place of a step in the order.
///
/// Lasting tasks come first, then by priority; within one priority, what can still meet its
/// objective comes before what cannot, least slack first.
pub fn urgency(claim: PendingStep, now_ms: u64) -> Urgency {
    let slack_ms = claim.objective_deadline_ms as i64 - now_ms as i64 - claim.remaining_ms as i64;
    let late = u32::from(slack_ms < 0 && !claim.is_long_running);
    let class = match claim.is_long_running {
        true => 0,
        false => 1 + claim.priority * 2 + late,
    };
    Urgency { class, rank: claim.work_core_ms as i64 }
}
