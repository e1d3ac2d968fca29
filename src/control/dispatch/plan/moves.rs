//! Fillers that work slowly where they are and go on elsewhere.
//!
//! A step waits for its last task, so one filler that is halted beside a busy service holds up
//! its whole workflow while other workers could run it at full speed.

use crate::{
    control::dispatch::sessions::SlowRun,
    policy::mobility::{Movable, is_worth_moving},
    prelude::*,
};

use super::placing::Placing;

/// Most moves of one plan: reports of their effect come half a second later.
const MOVES_MAX: usize = 8;

/// Returns the runs to stop, because they would end sooner on workers that have room.
pub(super) fn moves(slow: &[SlowRun], placing: &mut Placing<'_, '_>) -> Vec<SlowRun> {
    let mut res = Vec::new();
    for it in slow {
        if MOVES_MAX <= res.len() {
            break;
        }
        if moves_one(it, placing).is_some() {
            res.push(*it);
        }
    }
    res
}

/// Keeps a better place for a run, if there is one.
fn moves_one(it: &SlowRun, placing: &mut Placing<'_, '_>) -> Option<()> {
    let workflow = placing.workflows().get(it.run.task.workflow)?;
    let step = workflow.spec.steps.get(it.run.task.step as usize)?;
    let found = placing.best_for(StepRef::of(it.run.task), workflow)?;
    let movable = Movable {
        estimate_ms: step.estimate_ms,
        progress_percent: it.progress_percent,
        checkpoints: step.checkpoints,
        share_here: it.share,
    };
    let is_better = found.worker != it.worker && is_worth_moving(movable, found.speed);
    is_better.then(|| placing.keep(&found))
}
