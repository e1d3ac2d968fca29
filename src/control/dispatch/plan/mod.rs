//! Plans the next runs: which tasks begin, in which order, and on which workers.
//!
//! A plan visits the ready steps and the cached free capacities, never all workflows or all runs.

mod builder;
mod candidates;
mod fair_shares;
mod holds;
mod moves;
mod reserving;
mod waiting_steps;

use std::collections::{HashMap, HashSet};

use crate::{
    control::{
        dispatch::{
            capacity::{FreeCapacities, FreeCapacity, PlacementMode},
            isolations::Isolations,
            moves::{NewReservation, Reservations, StopBudget},
            probations::Probations,
            sessions::{Sessions, SlowRun, UsabilityCriteria},
            speeds::WorkerSpeeds,
        },
        state::Workflows,
    },
    policy::{contention::ContentionModel, forecast::RunTimeModel},
    prelude::*,
};

use self::{
    builder::PlanBuilder,
    reserving::{ReservingInput, find_reservations},
};
pub(super) use self::{
    candidates::{Candidate, candidates, chains_ms, objective_ms, size_core_ms, work_core_ms},
    fair_shares::FairShares,
    waiting_steps::WaitingSteps,
};

/// Settings of the planner.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Maximum interval between two plans. Occurrences become due and urgencies rise without any
    /// event.
    pub interval_ms: u64,
}

/// Time for which a workflow with no running task waits for a worker where its fillers slow down no
/// serving task. A third of the three seconds within which work must begin while most capacity is
/// free; the silence of a worker that had the last run may use up another part of them.
const IDLE_MAX_MS: u64 = 1_000;

/// Reserved share of the processor, in percent, up to which no workflow is kept idle to protect
/// tail latencies; throttling of fillers protects them then.
const IDLE_RESERVED_MAX_PERCENT: u64 = 60;

/// Times since which workflows have had no running task although a step may begin.
pub(super) type IdleSince = HashMap<WorkflowId, u64>;

/// Result of a plan.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub runs: Vec<RunPlacement>,
    /// Runs to stop, so that they move to other workers.
    pub moves: Vec<SlowRun>,
    /// Capacity to reserve for tasks that fit on no worker.
    pub reservations: Vec<NewReservation>,
}

/// State that a plan is based on.
pub(super) struct PlanInput<'a> {
    pub workflows: &'a Workflows,
    pub sessions: &'a Sessions,
    pub speeds: &'a WorkerSpeeds,
    /// Runs on slow workers that may be stopped.
    pub on_slow_workers: Vec<SlowRun>,
    /// Tasks that were stopped on slow workers, and whose runs have not ended.
    pub moves_under_way: Vec<TaskRef>,
    pub free_capacities: &'a mut FreeCapacities,
    pub contention: &'a mut ContentionModel,
    /// Workers where no other task may begin, since one is on probation there.
    pub probations: Probations,
    pub usability: UsabilityCriteria,
    /// `None` if capacity is not reserved in this installation.
    pub reserving: Option<ReservingState<'a>>,
    /// Set if scarce capacity is divided between callers.
    pub fair_shares: Option<&'a mut FairShares>,
}

/// State that reservations are based on.
pub(super) struct ReservingState<'a> {
    pub reservations: &'a mut Reservations,
    pub run_times: &'a RunTimeModel,
    pub stop_budget: &'a StopBudget,
}

/// Returns the runs to begin now, and the runs to move.
pub(super) fn plan(
    input: PlanInput<'_>,
    idle_since: &mut IdleSince,
    waiting_steps: &mut WaitingSteps,
) -> Plan {
    let PlanInput {
        workflows,
        sessions,
        speeds,
        on_slow_workers,
        moves_under_way,
        free_capacities,
        contention,
        probations,
        usability,
        reserving,
        mut fair_shares,
    } = input;
    let now = usability.now;
    let mut candidates = candidates(workflows, now);
    if let Some(it) = &mut fair_shares {
        it.end_scarcity(workflows, now);
        it.order(workflows, &mut candidates, now);
    }
    let slow_fillers = sessions.slow_runs(workflows, usability);
    if candidates.is_empty() && slow_fillers.is_empty() && on_slow_workers.is_empty() {
        idle_since.clear();
        waiting_steps.clear(now.mono_ms);
        if let Some(it) = reserving {
            it.reservations.note_unplaced(&[], now.mono_ms);
        }
        return Plan::default();
    }
    free_capacities.refresh(workflows, contention, now);
    let mut builder = PlanBuilder::new(
        workflows,
        free_capacities.usable(workflows, sessions, speeds, usability),
        contention,
        probations,
        Isolations::new(workflows, now),
        now,
    );
    if let Some(it) = &reserving {
        builder.withhold(it.reservations.entries(), it.run_times, now.mono_ms);
    }
    for it in &candidates {
        builder.place(it.step_ref, it.workflow, PlacementMode::ProtectLatency);
    }
    let idle = idle_candidates(&candidates, &builder);
    let ids: HashSet<_> = idle.iter().map(|it| it.step_ref.workflow).collect();
    idle_since.retain(|id, _| ids.contains(id));
    let may_use_any_worker = is_lightly_reserved(workflows, builder.workers());
    for it in idle {
        let since_ms = *idle_since.entry(it.step_ref.workflow).or_insert(now.mono_ms);
        if may_use_any_worker && since_ms + IDLE_MAX_MS <= now.mono_ms {
            builder.place(it.step_ref, it.workflow, PlacementMode::AnyWorker);
        }
    }
    waiting_steps.update(&candidates, &builder, now.mono_ms);
    if let Some(it) = fair_shares {
        it.note_plan(workflows, &candidates, &builder, now);
    }
    moves::reserve_under_way(&moves_under_way, &mut builder);
    let mut moves = moves::reserve_moves(&on_slow_workers, &mut builder);
    let is_moved = |it: &SlowRun| on_slow_workers.iter().any(|other| other.run == it.run);
    let slow_fillers: Vec<_> = slow_fillers.into_iter().filter(|it| !is_moved(it)).collect();
    moves.extend(moves::reserve_moves(&slow_fillers, &mut builder));
    let reservations = reserving.map(|it| {
        let ReservingState { reservations, run_times, stop_budget } = it;
        let input = ReservingInput { sessions, run_times, stop_budget, usability };
        find_reservations(&builder, reservations, input)
    });
    let rows_visited = builder.rows_visited();
    let (runs, changed_workers) = builder.finish();
    free_capacities.note_visited(rows_visited);
    changed_workers.into_iter().for_each(|it| free_capacities.mark_stale(it));
    Plan { runs, moves, reservations: reservations.unwrap_or_default() }
}

/// Returns the candidates of workflows that have no run on a usable worker, also after this plan.
fn idle_candidates<'a, 'b>(
    candidates: &'a [Candidate<'b>],
    builder: &PlanBuilder<'_, '_>,
) -> Vec<&'a Candidate<'b>> {
    // Runs on a silent worker may have ended.
    let usable: HashSet<_> = builder.workers().iter().map(|it| it.id).collect();
    let placed: HashSet<_> = builder.runs().iter().map(|it| it.run.task.workflow).collect();
    let is_idle = |it: &&Candidate<'_>| {
        !placed.contains(&it.step_ref.workflow) && !it.workflow.has_run_on_any(&usable)
    };
    candidates.iter().filter(is_idle).collect()
}

/// Returns whether so little processor is reserved that no workflow may be kept idle.
fn is_lightly_reserved(workflows: &Workflows, free_capacities: &[&mut FreeCapacity]) -> bool {
    let workers = || free_capacities.iter().filter_map(|it| workflows.workers().get(it.id));
    let used: u64 = workers().map(|it| u64::from(it.reserved.cpu_millicores)).sum();
    let capacity: u64 = workers().map(|it| u64::from(it.capacity.cpu_millicores)).sum();
    used * 100 <= capacity * IDLE_RESERVED_MAX_PERCENT
}
