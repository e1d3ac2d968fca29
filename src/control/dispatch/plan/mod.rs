//! The next runs to begin: which tasks, in what order, and where.

mod moves;
mod rooms;

use std::collections::{HashMap, HashSet};

use crate::{
    control::{
        dispatch::sessions::{SlowRun, Usable},
        state::{Occurrence, StepState, Workflow, Workflows},
    },
    policy::{
        harm::Harm,
        urgency::{Claim, Urgency, urgency},
    },
    prelude::*,
};

use self::rooms::{Care, Room, choose};

/// What the planner is told by the settings.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Longest pause between two plans: occurrences become due and slack shrinks by itself.
    pub interval_ms: u64,
}

/// A step with tasks that could begin.
struct Candidate<'a> {
    urgency: Urgency,
    id: WorkflowId,
    workflow: &'a Workflow,
    occurrence: usize,
    step: usize,
}

/// Time for which a workflow with nothing running waits for a place where its fillers harm nobody.
/// A third of the three seconds within which work must begin while most of the room is free; the
/// silence of a worker that held the last run takes another part of them.
const IDLE_MAX_MS: u64 = 1_000;

/// Share of the reserved processor, in percent, up to which a workflow is not kept idle for the
/// sake of tails; the pace of fillers guards these then.
const IDLE_ROOM_PERCENT: u64 = 60;

/// Since when workflows have had nothing running though a step of theirs could begin.
pub(super) type IdleSince = HashMap<WorkflowId, u64>;

/// What a plan leads to.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub runs: Vec<RunPlacement>,
    /// Fillers to stop, so that they go on elsewhere.
    pub moves: Vec<SlowRun>,
}

/// What a plan is made from.
pub(super) struct Basis<'a> {
    pub workflows: &'a Workflows,
    pub usable: Vec<Usable<'a>>,
    /// Fillers that are slow, and may move.
    pub slow: Vec<SlowRun>,
    pub harm: &'a Harm,
}

/// Returns the runs to begin now, and those to move.
pub(super) fn plan(basis: &Basis<'_>, idle_since: &mut IdleSince, now: Now) -> Plan {
    let Basis { workflows, usable, slow, harm } = basis;
    let mut rooms: Vec<_> = usable.iter().map(|it| Room::new(workflows, *it, harm)).collect();
    let mut runs = Vec::new();
    let candidates = candidates(workflows, now);
    for candidate in &candidates {
        place_step(workflows, candidate, &mut rooms, harm, Care::KeepTails, &mut runs);
    }
    // What is placed on a worker that is silent may no longer run.
    let heard: HashSet<_> = usable.iter().map(|it| it.id).collect();
    let placed: HashSet<_> = runs.iter().map(|it| it.run.task.workflow).collect();
    let is_idle = |it: &&Candidate<'_>| !placed.contains(&it.id) && !it.workflow.has_run_on(&heard);
    let idle: Vec<_> = candidates.iter().filter(is_idle).collect();
    let ids: HashSet<_> = idle.iter().map(|it| it.id).collect();
    idle_since.retain(|id, _| ids.contains(id));
    let has_room = has_idle_room(usable);
    for candidate in idle {
        let since_ms = *idle_since.entry(candidate.id).or_insert(now.mono_ms);
        if has_room && since_ms + IDLE_MAX_MS <= now.mono_ms {
            place_step(workflows, candidate, &mut rooms, harm, Care::Anywhere, &mut runs);
        }
    }
    let moves = moves::moves(workflows, slow, &mut rooms, harm);
    Plan { runs, moves }
}

/// Returns whether so little is reserved that nothing may be kept idle.
fn has_idle_room(usable: &[Usable<'_>]) -> bool {
    let sum = |of: fn(&Usable<'_>) -> u32| usable.iter().map(|it| u64::from(of(it))).sum::<u64>();
    let used = sum(|it| it.worker.used.cpu_millicores);
    let capacity = sum(|it| it.worker.capacity.cpu_millicores);
    used * 100 <= capacity * IDLE_ROOM_PERCENT
}

/// Returns the steps that could begin, most urgent first.
fn candidates(workflows: &Workflows, now: Now) -> Vec<Candidate<'_>> {
    let mut res = Vec::new();
    for (id, workflow) in workflows.active() {
        let Some(queue) = workflows.queue(&workflow.queue) else { continue };
        let tails_ms = tails_ms(&workflow.spec);
        let chain_ms = tails_ms.iter().copied().max().unwrap_or(0);
        for (at, occurrence) in workflow.occurrences.iter().enumerate() {
            let due_ms = workflow.due_ms(at);
            if now.wall_ms < due_ms {
                break;
            }
            if occurrence.is_done() {
                continue;
            }
            let objective_ms = chain_ms * u64::from(queue.stretch_percent) / 100 + queue.target_ms;
            for step in ready_steps(workflow, occurrence) {
                let claim = Claim {
                    priority: queue.priority,
                    is_lasting: workflow.spec.steps[step].lasting,
                    due_by_ms: workflow.accepted_ms.max(due_ms) + objective_ms,
                    remaining_ms: tails_ms[step],
                    work_core_ms: work_core_ms(workflow, occurrence),
                };
                let urgency = urgency(claim, now.wall_ms);
                res.push(Candidate { urgency, id, workflow, occurrence: at, step });
            }
        }
    }
    res.sort_by_key(|it| (it.urgency, it.id, it.occurrence, it.step));
    res
}

/// Returns the steps of an occurrence that have tasks to begin.
fn ready_steps(workflow: &Workflow, occurrence: &Occurrence) -> Vec<usize> {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps).enumerate();
    let ready = steps.filter(|(_, (step, state))| {
        !state.is_done()
            && state.tasks.iter().any(|it| !it.is_done && it.runs.is_empty())
            && workflow.is_step_ready(occurrence, step)
    });
    ready.map(|(at, _)| at).collect()
}

/// Returns for each step the longest chain of declared run times that begins with it.
fn tails_ms(spec: &WorkflowSpec) -> Vec<u64> {
    let mut res: Vec<u64> = spec.steps.iter().map(|it| it.estimate_ms).collect();
    // Steps wait for earlier ones only, so later tails are known first.
    for at in (0..spec.steps.len()).rev() {
        for before in &spec.steps[at].after {
            let before = *before as usize;
            res[before] = res[before].max(spec.steps[before].estimate_ms + res[at]);
        }
    }
    res
}

/// Returns the processor time that an occurrence still needs, by declared run times.
fn work_core_ms(workflow: &Workflow, occurrence: &Occurrence) -> u64 {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps);
    let left = steps.map(|(step, state)| {
        let tasks = u64::from(step.count - state.done_count.min(step.count));
        tasks * step.estimate_ms * u64::from(step.need.cpu_millicores) / 1_000
    });
    left.sum()
}

fn place_step(
    workflows: &Workflows,
    candidate: &Candidate<'_>,
    rooms: &mut [Room<'_>],
    harm: &Harm,
    care: Care,
    res: &mut Vec<RunPlacement>,
) {
    let Candidate { id, workflow, occurrence, step: at, .. } = *candidate;
    let Some(queue) = workflows.queue(&workflow.queue) else { return };
    let step = &workflow.spec.steps[at];
    let state = &workflow.occurrences[occurrence].steps[at];
    let mut counts = counts_of(step, state);
    let waiting =
        state.tasks.iter().enumerate().filter(|(_, it)| !it.is_done && it.runs.is_empty());
    let waiting: Vec<_> = waiting.collect();
    if step.gang && waiting.len() < state.tasks.len() {
        // Members of an earlier run are still ending.
        return;
    }
    let from = res.len();
    let gang_run = state.tasks.iter().map(|it| it.last_run).max().unwrap_or(0) + 1;
    for (index, task) in waiting {
        let Some(room) = choose(step, queue, &counts, rooms, harm, care) else {
            if step.gang {
                undo(step, rooms, harm, res, from);
            }
            return;
        };
        room.take(step, harm);
        let worker = room.usable.id;
        *counts.entry(worker).or_insert(0) += 1;
        let task_ref = TaskRef {
            workflow: id,
            occurrence: occurrence as u32,
            step: at as u32,
            index: index as u32,
        };
        let run = if step.gang { gang_run } else { task.last_run + 1 };
        res.push(RunPlacement { run: RunRef { task: task_ref, run }, worker });
        if care == Care::Anywhere && !step.gang {
            // One that runs is enough not to be idle.
            return;
        }
    }
}

/// Returns how many runs of a step each worker has, where that is bounded.
fn counts_of(step: &WorkflowStep, state: &StepState) -> HashMap<WorkerId, u32> {
    let mut res = HashMap::new();
    if 0 < step.per_worker_max {
        for run in state.tasks.iter().flat_map(|it| &it.runs) {
            *res.entry(run.worker).or_insert(0) += 1;
        }
    }
    res
}

/// Takes back the placements of a gang that did not fit whole.
fn undo(
    step: &WorkflowStep,
    rooms: &mut [Room<'_>],
    harm: &Harm,
    res: &mut Vec<RunPlacement>,
    from: usize,
) {
    for placed in res.drain(from..) {
        if let Some(room) = rooms.iter_mut().find(|it| it.usable.id == placed.worker) {
            room.give_back(step, harm);
        }
    }
}
