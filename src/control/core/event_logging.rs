//! Log events that the leader writes for applied workflow commands.

use std::collections::BTreeSet;

use crate::{
    control::{
        dispatch::{log_cancelled_before, run_name},
        state::{ResolvedTasks, State},
    },
    prelude::*,
};

/// Returns for each run end in `command` whether the state still has the run on that worker.
pub(super) fn expected_ends(state: &State, command: &WorkflowCommand) -> Vec<bool> {
    let WorkflowCommand::Finish(it) = command else { return Vec::new() };
    it.ends.iter().map(|end| state.workflows.has_run(it.worker, end.run)).collect()
}

/// Logs an applied command: one event for a request of a client or operator, one for each run.
pub(super) fn log_applied(
    state: &State,
    command: &WorkflowCommand,
    entry: &LogEntry,
    outcome: &WorkflowOutcome,
    expected: &[bool],
) {
    let (index, term) = (entry.index, entry.term);
    match command {
        WorkflowCommand::Install(it) => {
            tracing::info!(
                event = "queues_installed",
                version = it.version,
                queues = it.queues.len(),
                index,
                term
            );
        }
        WorkflowCommand::Submit(it) => log_submitted(it, "", outcome, entry),
        WorkflowCommand::SubmitFrom(it) => log_submitted(&it.workflow, &it.zone, outcome, entry),
        WorkflowCommand::Cancel(id) => {
            tracing::info!(event = "workflow_cancelled", workflow = %format_args!("{:016x}", id.0), outcome = ?outcome, index, term);
        }
        WorkflowCommand::RecordTombstones(it) => {
            let stored = state.workflows.tombstones().len();
            let first = it.ids.first().map(|id| format_compact!("{:016x}", id.0));
            tracing::info!(
                event = "tombstones_recorded",
                workflows = it.ids.len(),
                first = first.as_deref(),
                expired_before_ms = it.expired_before_ms,
                stored,
                index,
                term
            );
        }
        WorkflowCommand::Evacuate(it) => {
            let workers = state.workflows.workers().iter();
            let workers = workers.filter(|(_, worker)| worker.zone == it.zone).count();
            tracing::info!(event = "zone_changed", zone = %it.zone, evacuated = it.evacuated, by = %it.by, based_on = it.based_on, workers, outcome = ?outcome, index, term);
        }
        WorkflowCommand::Begin(runs) => {
            for it in runs {
                let worker = state.workflows.workers().get(it.worker).map(|it| it.name.as_str());
                tracing::info!(event = "run_placed", run = %run_name(it.run), worker, index, term);
            }
        }
        WorkflowCommand::Finish(it) => {
            for (end, expected) in it.ends.iter().zip(expected) {
                log_end(state, it, end, *expected, entry);
            }
            log_suspects(state, it, entry);
        }
        WorkflowCommand::Settle(it) => {
            for run in &it.counted {
                log_failure(state, *run, entry);
            }
            for run in &it.lapsed {
                tracing::info!(event = "failure_lapsed", run = %run_name(*run), index, term);
            }
        }
        WorkflowCommand::Enrol(it) => log_resolved_silences(state, it, entry),
        WorkflowCommand::Resize(it) => {
            let worker = state.workflows.workers().get(it.worker);
            let (name, used) =
                worker.map(|it| (it.name.as_str(), it.reserved.cpu_millicores)).unzip();
            tracing::info!(
                event = "worker_resized",
                worker = name,
                cpu_millicores = it.capacity.cpu_millicores,
                memory_mib = it.capacity.memory_mib,
                used_millicores = used,
                index,
                term
            );
        }
        _ => (),
    }
}

fn log_submitted(it: &SubmitWorkflow, zone: &str, outcome: &WorkflowOutcome, entry: &LogEntry) {
    if *outcome == WorkflowOutcome::Gone {
        return log_cancelled_before(it.id);
    }
    tracing::info!(event = "workflow_accepted", workflow = %format_args!("{:016x}", it.id.0), queue = %it.queue, zone, steps = it.spec.steps.len(), index = entry.index, term = entry.term);
}

/// Highest number of suspected tasks logged after a crash; the likeliest causes are logged.
const SUSPECTS_LOGGED_MAX: usize = 4;

/// Logs the tasks suspected of a crash, and the workflows given up because of it.
fn log_suspects(state: &State, it: &FinishRuns, entry: &LogEntry) {
    let (index, term) = (entry.index, entry.term);
    let suspects = state.workflows.suspects();
    let mut suspected: Vec<_> =
        it.ends.iter().filter_map(|end| Some((suspects.get(end.run.task)?, end))).collect();
    suspected.sort_by(|a, b| b.0.likelihood_ratio.total_cmp(&a.0.likelihood_ratio));
    for (evidence, end) in suspected.into_iter().take(SUSPECTS_LOGGED_MAX) {
        tracing::info!(event = "task_suspected", run = %run_name(end.run), losses = evidence.crashes_in_row, odds = evidence.likelihood_ratio as u64, outcome = ?end.outcome, index, term);
    }
    let is_given_up = |end: &&RunEnd| {
        let crash_outcomes = [RunOutcome::Crashed, RunOutcome::CrashedUnseen, RunOutcome::Lapsed];
        crash_outcomes.contains(&end.outcome)
            && state.workflows.get(end.run.task.workflow).is_some_and(|it| {
                it.phase() == WorkflowPhase::Failed && it.ended_ms == entry.time_ms
            })
    };
    for end in it.ends.iter().filter(is_given_up) {
        tracing::warn!(event = "workflow_given_up", run = %run_name(end.run), worker = it.worker.0, cause = "crashes_workers", index, term);
    }
}

/// Logs what became of the workers at a node that were silent, and the workflows given up because of
/// it.
fn log_resolved_silences(state: &State, it: &EnrolWorker, entry: &LogEntry) {
    let (index, term) = (entry.index, entry.term);
    let resolved = state.workflows.last_resolved();
    if *resolved == ResolvedTasks::default() {
        return;
    }
    tracing::info!(event = "silence_resolved", worker = %it.name, node = %it.node, returned = resolved.harmless.len(), crashed = resolved.crashed.len(), index, term);
    let workflows: BTreeSet<_> = resolved.crashed.iter().map(|it| it.workflow).collect();
    let is_given_up = |it: &WorkflowId| {
        let workflow = state.workflows.get(*it);
        workflow
            .is_some_and(|it| it.phase() == WorkflowPhase::Failed && it.ended_ms == entry.time_ms)
    };
    for id in workflows.into_iter().filter(is_given_up) {
        tracing::warn!(event = "workflow_given_up", workflow = %format_args!("{:016x}", id.0), worker = %it.name, cause = "crashes_workers", index, term);
    }
}

/// Logs how a run ended.
///
/// An end is unexpected if the state had already ended the run, for example because its worker
/// stopped responding.
fn log_end(state: &State, it: &FinishRuns, end: &RunEnd, expected: bool, entry: &LogEntry) {
    let workflow = state.workflows.get(end.run.task.workflow);
    let phase = workflow.map(|it| it.phase());
    let age_ms = workflow.map(|it| entry.time_ms.saturating_sub(it.accepted_ms));
    tracing::info!(event = "run_ended", run = %run_name(end.run), worker = it.worker.0, outcome = ?end.outcome, expected, cursor = it.cursor, phase = ?phase, age_ms = ?age_ms, index = entry.index, term = entry.term);
}

/// Logs that a failure counts as an attempt, and whether it made the workflow fail.
fn log_failure(state: &State, run: RunRef, entry: &LogEntry) {
    let workflow = state.workflows.get(run.task.workflow);
    let failures = workflow.and_then(|it| Some(it.task(run.task)?.failures));
    let has_failed = workflow
        .is_some_and(|it| it.phase() == WorkflowPhase::Failed && it.ended_ms == entry.time_ms);
    let event = if has_failed { "workflow_failed" } else { "failure_counted" };
    tracing::info!(event, run = %run_name(run), failures = ?failures, index = entry.index, term = entry.term);
}
