//! The next runs to begin: which tasks, in what order, and where.
//!
//! A plan looks at the steps that could begin and at the rooms that are kept, never at all
//! workflows or all runs.

mod builder;
mod moves;
mod waiting_steps;

use std::collections::{HashMap, HashSet};

use crate::{
    control::{
        dispatch::{
            capacity::{FreeCapacities, FreeCapacity, PlacementMode},
            probations::Probations,
            sessions::{Sessions, SlowRun, UsabilityCriteria},
        },
        state::{Occurrence, Workflow, Workflows},
    },
    policy::{
        contention::ContentionModel,
        urgency::{PendingStep, Urgency, urgency},
    },
    prelude::*,
};

use self::builder::PlanBuilder;
pub(super) use self::waiting_steps::WaitingSteps;

/// What the planner is told by the settings.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Longest pause between two plans: occurrences become due and slack shrinks by itself.
    pub interval_ms: u64,
}

/// A step with tasks that could begin.
struct Candidate<'a> {
    urgency: Urgency,
    step_ref: StepRef,
    workflow: &'a Workflow,
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
pub(super) struct PlanInput<'a> {
    pub workflows: &'a Workflows,
    pub sessions: &'a Sessions,
    pub free_capacities: &'a mut FreeCapacities,
    pub contention: &'a mut ContentionModel,
    /// Workers where nothing may begin, since a task is tried there.
    pub probations: Probations,
    pub usability: UsabilityCriteria,
}

/// Returns the runs to begin now, and those to move.
pub(super) fn plan(
    basis: PlanInput<'_>,
    idle_since: &mut IdleSince,
    waiting_steps: &mut WaitingSteps,
) -> Plan {
    let PlanInput { workflows, sessions, free_capacities, contention, probations, usability } =
        basis;
    let now = usability.now;
    let candidates = candidates(workflows, now);
    let slow = sessions.slow_runs(workflows, usability);
    if candidates.is_empty() && slow.is_empty() {
        idle_since.clear();
        waiting_steps.clear();
        return Plan::default();
    }
    free_capacities.refresh(workflows, contention, now);
    let mut builder = PlanBuilder::new(
        workflows,
        free_capacities.usable(workflows, sessions, usability),
        contention,
        probations,
    );
    for it in &candidates {
        builder.place(it.step_ref, it.workflow, PlacementMode::ProtectLatency);
    }
    let idle = idle(&candidates, &builder);
    let ids: HashSet<_> = idle.iter().map(|it| it.step_ref.workflow).collect();
    idle_since.retain(|id, _| ids.contains(id));
    let has_room = has_idle_room(workflows, builder.workers());
    for it in idle {
        let since_ms = *idle_since.entry(it.step_ref.workflow).or_insert(now.mono_ms);
        if has_room && since_ms + IDLE_MAX_MS <= now.mono_ms {
            builder.place(it.step_ref, it.workflow, PlacementMode::AnyWorker);
        }
    }
    waiting_steps.note(&candidates, &builder, now.mono_ms);
    let moves = moves::moves(&slow, &mut builder);
    let rows_visited = builder.rows_visited();
    let (runs, touched) = builder.finish();
    free_capacities.note_visited(rows_visited);
    touched.into_iter().for_each(|it| free_capacities.note_changed(it));
    Plan { runs, moves }
}

/// Returns the candidates of workflows that run nowhere, nor will by this plan.
fn idle<'a, 'b>(
    candidates: &'a [Candidate<'b>],
    builder: &PlanBuilder<'_, '_>,
) -> Vec<&'a Candidate<'b>> {
    // What is placed on a worker that is silent may no longer run.
    let heard: HashSet<_> = builder.workers().iter().map(|it| it.id).collect();
    let placed: HashSet<_> = builder.runs().iter().map(|it| it.run.task.workflow).collect();
    let is_idle = |it: &&Candidate<'_>| {
        !placed.contains(&it.step_ref.workflow) && !it.workflow.has_run_on_any(&heard)
    };
    candidates.iter().filter(is_idle).collect()
}

/// Returns whether so little is reserved that nothing may be kept idle.
fn has_idle_room(workflows: &Workflows, free_capacities: &[&mut FreeCapacity]) -> bool {
    let workers = || free_capacities.iter().filter_map(|it| workflows.workers().get(it.id));
    let used: u64 = workers().map(|it| u64::from(it.used.cpu_millicores)).sum();
    let capacity: u64 = workers().map(|it| u64::from(it.capacity.cpu_millicores)).sum();
    used * 100 <= capacity * IDLE_ROOM_PERCENT
}

/// Returns the steps that could begin, most urgent first.
fn candidates(workflows: &Workflows, now: Now) -> Vec<Candidate<'_>> {
    let ready = workflows.ready_steps();
    let mut res: Vec<_> = ready.filter_map(|it| candidate(workflows, it, now)).collect();
    res.sort_by_key(|it| (it.urgency, it.step_ref));
    res
}

fn candidate(workflows: &Workflows, step_ref: StepRef, now: Now) -> Option<Candidate<'_>> {
    let workflow = workflows.get(step_ref.workflow)?;
    let queue = workflows.queue(&workflow.queue)?;
    let due_ms = workflow.due_ms(step_ref.occurrence as usize);
    if now.wall_ms < due_ms {
        return None;
    }
    let occurrence = workflow.occurrences.get(step_ref.occurrence as usize)?;
    let tails_ms = tails_ms(&workflow.spec);
    let chain_ms = tails_ms.iter().copied().max().unwrap_or(0);
    let objective_ms = chain_ms * u64::from(queue.stretch_percent) / 100 + queue.target_ms;
    let step = step_ref.step as usize;
    let claim = PendingStep {
        priority: queue.priority,
        is_long_running: workflow.spec.steps.get(step)?.lasting,
        objective_deadline_ms: workflow.accepted_ms.max(due_ms) + objective_ms,
        remaining_ms: tails_ms[step],
        work_core_ms: work_core_ms(workflow, occurrence),
    };
    Some(Candidate { urgency: urgency(claim, now.wall_ms), step_ref, workflow })
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
