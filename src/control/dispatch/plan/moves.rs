//! Fillers that work slowly where they are and go on elsewhere.
//!
//! A step waits for its last task, so one filler that is halted beside a busy service holds up
//! its whole workflow while other workers could run it at full speed.

use std::collections::HashMap;

use crate::{
    control::dispatch::sessions::SlowRun,
    policy::migration::{MigrationCandidate, is_worth_moving},
    prelude::*,
};

use super::builder::{MoveTarget, PlanBuilder};

/// Most moves of one plan: reports of their effect come half a second later.
const MOVES_MAX: usize = 8;

/// Returns the runs to stop, because they would end sooner on workers that have room.
pub(super) fn moves(slow: &[SlowRun], builder: &mut PlanBuilder<'_, '_>) -> Vec<SlowRun> {
    let mut res = Vec::new();
    let mut best = BestPlaces::new();
    for it in slow {
        if MOVES_MAX <= res.len() {
            break;
        }
        if moves_one(it, builder, &mut best).is_some() {
            res.push(*it);
        }
    }
    res
}

/// The best place for one more task of each step that was asked for. Tasks of a step are alike, and
/// in overload as many are slow as the fleet is large: asked for each, a plan would take the square
/// of that.
type BestPlaces<'a> = HashMap<StepRef, Option<MoveTarget<'a>>>;

/// Keeps a better place for a run, if there is one.
fn moves_one<'a>(
    it: &SlowRun,
    builder: &mut PlanBuilder<'a, '_>,
    best: &mut BestPlaces<'a>,
) -> Option<()> {
    let workflow = builder.workflows().get(it.run.task.workflow)?;
    let step = workflow.spec.steps.get(it.run.task.step as usize)?;
    let at = StepRef::of_task(it.run.task);
    let found = (*best.entry(at).or_insert_with(|| builder.best_for(at, workflow)))?;
    let movable = MigrationCandidate {
        estimate_ms: step.estimate_ms,
        progress_percent: it.progress_percent,
        keeps_progress: step.checkpoints,
        current_speed_share: it.speed_share,
    };
    let is_better = found.worker != it.worker && is_worth_moving(movable, found.speed);
    if !is_better {
        return None;
    }
    builder.keep(&found);
    // A place that is taken offers less; all others offer what they did.
    best.retain(|_, it| it.is_none_or(|it| it.worker != found.worker));
    Some(())
}
