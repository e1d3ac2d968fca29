//! Moves fillers that run slowly, and tasks on slow workers, to workers where they run faster.
//!
//! A step waits for its last task, so one filler that is suspended beside a busy service delays its
//! whole workflow while other workers could run it at full speed.

use std::collections::HashMap;

use crate::{
    control::dispatch::sessions::SlowRun,
    policy::migration::{MigrationCandidate, is_worth_moving},
    prelude::*,
};

use super::builder::{MoveTarget, PlanBuilder};

/// Maximum number of moves of one cause per plan: reports of their effect arrive half a second
/// later.
const MOVES_MAX: usize = 8;

/// Reserves capacity for the runs that would end sooner on other workers; returns these runs, which
/// are to be stopped.
pub(super) fn reserve_moves(slow: &[SlowRun], builder: &mut PlanBuilder<'_, '_>) -> Vec<SlowRun> {
    let mut res = Vec::new();
    let mut best_targets = BestTargets::new();
    for it in slow {
        if MOVES_MAX <= res.len() {
            break;
        }
        if reserve_move(it, builder, &mut best_targets).is_some() {
            res.push(*it);
        }
    }
    res
}

/// Reserves capacity for tasks that were stopped by an earlier plan and will begin again, so that
/// no further task is stopped for the same capacity.
pub(super) fn reserve_under_way(tasks: &[TaskRef], builder: &mut PlanBuilder<'_, '_>) {
    for task in tasks {
        let step_ref = StepRef::of_task(*task);
        let workflow = builder.workflows().get(task.workflow);
        let target = workflow.and_then(|it| builder.best_for(step_ref, it));
        if let Some(it) = target.filter(|it| !it.is_slow) {
            builder.reserve(&it);
        }
    }
}

/// Cache of the best worker for one more task of each step. Tasks of a step have the same
/// requirements, and in overload the number of slow tasks grows with the fleet: without the cache,
/// the time of a plan would grow with the square of the fleet's size.
type BestTargets<'a> = HashMap<StepRef, Option<MoveTarget<'a>>>;

/// Reserves capacity for a run on a better worker, if there is one.
fn reserve_move<'a>(
    it: &SlowRun,
    builder: &mut PlanBuilder<'a, '_>,
    best_targets: &mut BestTargets<'a>,
) -> Option<()> {
    let workflow = builder.workflows().get(it.run.task.workflow)?;
    let step = workflow.spec.steps.get(it.run.task.step as usize)?;
    let step_ref = StepRef::of_task(it.run.task);
    let target =
        (*best_targets.entry(step_ref).or_insert_with(|| builder.best_for(step_ref, workflow)))?;
    let candidate = MigrationCandidate {
        estimate_ms: it.full_speed_ms,
        progress_percent: it.progress_percent,
        keeps_progress: step.checkpoints,
        current_speed_share: it.speed_share,
    };
    // A task that lasts is listed only where it serves badly.
    let is_better = target.worker != it.worker
        && !target.is_slow
        && (step.lasting || is_worth_moving(candidate, target.speed));
    if !is_better {
        return None;
    }
    builder.reserve(&target);
    // Only the offers of the worker that was chosen have changed.
    best_targets.retain(|_, it| it.is_none_or(|it| it.worker != target.worker));
    Some(())
}
