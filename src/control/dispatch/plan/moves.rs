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

/// Share of its speed below which a filler makes way for one that would be fast in its place.
const HALTED: f64 = 0.35;

/// Share of its speed that the other one must reach there.
const FAST: f64 = 0.7;

/// Returns the runs to stop, because they would end sooner on workers that have room, or because
/// others that wait would be fast where they stand nearly still.
pub(super) fn moves(
    workflows: &Workflows,
    slow: &[SlowRun],
    waiting: &[Waiting<'_>],
    rooms: &mut [Room<'_>],
    harm: &Harm,
) -> Vec<SlowRun> {
    let mut res = Vec::new();
    for it in slow {
        if MOVES_MAX <= res.len() {
            return res;
        }
        if let Some(step) = workflows.step_of(it.run.task)
            && let Some(room) = better_room(workflows, it, step, rooms, harm)
        {
            room.take(step, harm);
            res.push(*it);
        }
    }
    let mut halted: Vec<_> = slow.iter().filter(|it| it.share < HALTED).collect();
    halted.retain(|it| !res.contains(it));
    for it in waiting {
        for _ in 0..it.count {
            if MOVES_MAX <= res.len() {
                return res;
            }
            let gives_way = |slow: &&SlowRun| displaces(workflows, it, slow, rooms, harm);
            let Some(at) = halted.iter().position(gives_way) else { break };
            res.push(*halted.remove(at));
        }
    }
    res
}

/// Tasks of one step of fillers that wait, and found no place.
pub(super) struct Waiting<'a> {
    pub step: &'a WorkflowStep,
    pub queue: &'a Queue,
    pub count: usize,
}

/// Puts a task that waits in the place of a slow run, if it would be fast there.
fn displaces(
    workflows: &Workflows,
    it: &Waiting<'_>,
    slow: &SlowRun,
    rooms: &mut [Room<'_>],
    harm: &Harm,
) -> bool {
    let Some(step) = workflows.step_of(slow.run.task) else { return false };
    let loses_little = step.checkpoints || slow.progress_percent < LITTLE_PERCENT;
    let Some(room) = rooms.iter_mut().find(|it| it.usable.id == slow.worker) else { return false };
    if !loses_little {
        return false;
    }
    room.give_back(step, harm);
    let fits = room.holds(it.step, it.queue, 0) && FAST <= room.speed_of(it.step, harm);
    room.take(if fits { it.step } else { step }, harm);
    fits
}

/// Progress that may be lost to another task.
const LITTLE_PERCENT: u32 = 15;

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
