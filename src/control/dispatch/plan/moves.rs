//! Fillers that work slowly where they are and go on elsewhere.
//!
//! A step waits for its last task, so one filler that is halted beside a busy service holds up
//! its whole workflow while other workers could run it at full speed.

use crate::{
    control::{dispatch::sessions::SlowRun, state::Workflows},
    policy::{
        harm::Harm,
        mobility::{Movable, is_worth_moving},
    },
    prelude::*,
};

use super::{
    counts_of,
    rooms::{Care, Room, choose},
};

/// Most moves of one plan: reports of their effect come half a second later.
const MOVES_MAX: usize = 8;

/// Returns the runs to stop, because they would end sooner on workers that have room.
pub(super) fn moves(
    workflows: &Workflows,
    slow: &[SlowRun],
    rooms: &mut [Room<'_>],
    harm: &Harm,
) -> Vec<SlowRun> {
    let mut res = Vec::new();
    for it in slow {
        if MOVES_MAX <= res.len() {
            break;
        }
        if let Some(step) = workflows.step_of(it.run.task)
            && let Some(room) = better_room(workflows, it, step, rooms, harm)
        {
            room.take(step, harm);
            res.push(*it);
        }
    }
    res
}

fn better_room<'a, 'b>(
    workflows: &Workflows,
    it: &SlowRun,
    step: &WorkflowStep,
    rooms: &'a mut [Room<'b>],
    harm: &Harm,
) -> Option<&'a mut Room<'b>> {
    let workflow = workflows.get(it.run.task.workflow)?;
    let queue = workflows.queue(&workflow.queue)?;
    let state = workflow.occurrences.get(it.run.task.occurrence as usize)?;
    let state = state.steps.get(it.run.task.step as usize)?;
    let counts = counts_of(step, state);
    let room = choose(step, queue, &counts, rooms, harm, Care::KeepTails)?;
    let movable = Movable {
        estimate_ms: step.estimate_ms,
        progress_percent: it.progress_percent,
        checkpoints: step.checkpoints,
        share_here: it.share,
    };
    let is_better =
        room.usable.id != it.worker && is_worth_moving(movable, room.speed_of(step, harm));
    is_better.then_some(room)
}
