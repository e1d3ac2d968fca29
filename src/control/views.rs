//! Answers of the leader to queries, as JSON documents.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::{
    control::{
        core::ControlCore,
        state::{Job, ReplyResult, State, Vm},
    },
    prelude::*,
};

/// Highest number of jobs or tasks in one view.
const JOBS_SHOWN_MAX: usize = 500;

const HISTORY_ROWS_MAX: usize = 200;

pub(super) fn job(state: &State, it: &JobQuery) -> ReplyResult {
    let job = find_job(state, it)?;
    document(&job_value(state, job))
}

pub(super) fn job_result(state: &State, it: &JobQuery) -> ReplyResult {
    let job = find_job(state, it)?;
    let tasks: Vec<_> = job
        .task_ids()
        .filter_map(|id| state.jobs.task(id))
        .map(|it| json!({"task": it.id, "state": it.state, "detail": it.detail, "evictions": it.evictions}))
        .collect();
    document(&json!({"job": job.id, "finished": job.finished_ms.is_some(), "tasks": tasks}))
}

pub(super) fn watch(state: &State, it: &WatchQuery, limit: usize) -> ReplyResult {
    let Some(watch) = state.watches.get(&it.team, it.watch) else {
        return Err(refusal(
            ErrorKind::NotFound,
            format_compact!("team {} has no watch {}", it.team, it.watch),
        ));
    };
    let events = watch.read(it.cursor, limit)?;
    let cursor = events.last().map_or(it.cursor, |it| it.cursor);
    document(&json!({"watch": it.watch, "cursor": cursor, "events": events}))
}

pub(super) fn view(core: &ControlCore, view: AdminView, now: Now) -> ReplyResult {
    let state = &core.state;
    let value = match view {
        AdminView::Status => status(core, now),
        AdminView::Configuration => json!(state.configuration),
        AdminView::Teams => json!(state.configuration.teams),
        AdminView::Classes => json!(state.configuration.classes),
        AdminView::History => {
            json!(state.history.iter().rev().take(HISTORY_ROWS_MAX).collect::<Vec<_>>())
        }
        AdminView::Vms => {
            json!(state.vms.iter().map(|it| vm_value(core, it, now)).collect::<Vec<_>>())
        }
        AdminView::Endpoints => match &core.leader_state {
            Some(it) => json!(it.directory.iter().collect::<Vec<_>>()),
            None => json!([]),
        },
        AdminView::Jobs => {
            let jobs = state.jobs.jobs().rev().take(JOBS_SHOWN_MAX);
            json!(jobs.map(|it| job_value(state, it)).collect::<Vec<_>>())
        }
        AdminView::Leases => leases(core, now),
        AdminView::Members => members(core, now),
        AdminView::Queue => queue(core),
        AdminView::DeadLetters => dead_letters(state),
        AdminView::Evacuations => evacuations(state),
    };
    document(&value)
}

/// Returns the evacuated zones, with the number of VMs and workers in each.
fn evacuations(state: &State) -> Value {
    let list = state.workflows.evacuations();
    let row = |it: &Evacuation| {
        let vms = state.vms.iter().filter(|vm| vm.zone == it.zone).count();
        let workers = state.workflows.workers().iter().filter(|(_, at)| at.zone == it.zone).count();
        json!({"zone": it.zone, "by": it.by, "since_ms": it.since_ms, "vms": vms + workers})
    };
    let zones: Vec<_> = list.zones.iter().map(row).collect();
    json!({"revision": list.revision, "zones": zones})
}

fn document(value: &Value) -> ReplyResult {
    Ok(Reply::Document(value.to_string().into()))
}

fn find_job<'a>(state: &'a State, it: &JobQuery) -> Result<&'a Job, Refusal> {
    let found = state.jobs.job(it.job).filter(|job| job.team == it.team);
    found.ok_or_else(|| {
        refusal(ErrorKind::NotFound, format_compact!("team {} has no job {}", it.team, it.job))
    })
}

fn job_value(state: &State, job: &Job) -> Value {
    let mut counts = serde_json::Map::new();
    for task in job.task_ids().filter_map(|id| state.jobs.task(id)) {
        let count = counts.entry(task.state.to_string()).or_insert(json!(0));
        *count = json!(count.as_u64().unwrap_or(0) + 1);
    }
    json!({
        "job": job.id,
        "team": job.team,
        "key": job.key,
        "kind": job.spec.kind,
        "class": job.spec.class,
        "subject": job.spec.subject,
        "tasks": counts,
        "finished": job.finished_ms.is_some(),
        "accepted_ms": job.accepted_ms,
        "finished_ms": job.finished_ms,
    })
}

fn vm_value(core: &ControlCore, vm: &Vm, now: Now) -> Value {
    let agent =
        vm.session.as_ref().and_then(|it| core.leader_state.as_ref()?.sessions.agents.get(&it.id));
    json!({
        "vm": vm.id,
        "name": vm.name,
        "zone": vm.zone,
        "rack": vm.rack,
        "capacity": vm.capacity,
        "reserved": vm.used,
        "tasks": vm.tasks.len(),
        "session": vm.session.as_ref().map(|it| it.id),
        "draining": vm.draining || agent.is_some_and(|it| it.draining),
        "quarantined": vm.quarantined,
        "closed_to_batch": core.scheduler().is_some_and(|it| it.is_closed_to_batch(vm.id)),
        "in_force": agent.map(|it| it.in_force),
        "lease_left_ms": agent.map(|it| it.lease_expires_ms.saturating_sub(now.mono_ms)),
        "usage": agent.map(|it| it.usage),
    })
}

fn leases(core: &ControlCore, now: Now) -> Value {
    let vms = core.state.vms.iter().filter(|it| it.session.is_some());
    let rows = vms.map(|vm| {
        let value = vm_value(core, vm, now);
        json!({"name": vm.name, "session": value["session"], "lease_left_ms": value["lease_left_ms"], "tasks": vm.tasks})
    });
    json!(rows.collect::<Vec<_>>())
}

fn members(core: &ControlCore, now: Now) -> Value {
    let members = core.raft.members();
    let row = |it: &Member, role: &str| {
        let progress = core.raft.progress_of(it.id, now);
        json!({
            "member": it.id,
            "address": it.address,
            "role": role,
            "leads": core.raft.leader() == Some(it.id),
            "match_index": progress.map(|it| it.0),
            "silent_ms": progress.map(|it| it.1),
            "in_force": progress.map(|it| it.2),
        })
    };
    let voters = members.voters.iter().map(|it| row(it, "voter"));
    json!(voters.chain(members.learners.iter().map(|it| row(it, "learner"))).collect::<Vec<_>>())
}

fn queue(core: &ControlCore) -> Value {
    let Some(scheduler) = core.scheduler() else { return json!([]) };
    let mut by_class: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (team, id) in scheduler.queue().iter() {
        let job = core.state.jobs.task(id).and_then(|it| core.state.jobs.job_of(it));
        let class = job.map_or("", |it| it.spec.class.as_str());
        *by_class.entry((team.as_str(), class)).or_insert(0) += 1;
    }
    let rows = scheduler.queue().waiting_by_team().map(|(team, waiting)| {
        let of_team = by_class.iter().filter(|((it, _), _)| *it == team.as_str());
        let classes: Vec<_> =
            of_team.map(|((_, class), count)| format!("{class}:{count}")).collect();
        json!({
            "team": team,
            "waiting": waiting,
            "by_class": classes.join(" "),
            "quota_used_permille": scheduler.queue().share_permille(team),
            "jobs_open": core.state.jobs.open_jobs_of(team),
        })
    });
    json!(rows.collect::<Vec<_>>())
}

fn dead_letters(state: &State) -> Value {
    let tasks =
        state.jobs.tasks().filter(|it| it.state == TaskState::DeadLetter).take(JOBS_SHOWN_MAX);
    json!(tasks.collect::<Vec<_>>())
}

/// Returns the overview of the group, entries, VMs and classes.
fn status(core: &ControlCore, now: Now) -> Value {
    let state = &core.state;
    let entries: Vec<_> = core.leader_state.iter().flat_map(|it| &it.sessions.entries).collect();
    let classes = state.configuration.classes.iter().map(|class| {
        // The highest value of all entries is shown, since percentiles cannot be combined.
        let measured =
            entries.iter().flat_map(|(_, it)| &it.latencies).filter(|it| it.class == class.name);
        json!({
            "class": class.name,
            "kind": class.kind,
            "answer_target_ms": class.answer_target_ms,
            "answer_measured_ms": measured.clone().map(|it| it.percentile_ms).max(),
            "answers": measured.map(|it| it.answers).sum::<u32>(),
        })
    });
    json!({
        "accepted_revision": state.configuration.revision,
        "leader": core.raft.leader(),
        "term": core.raft.term(),
        "committed_index": core.raft.commit_index(),
        "snapshot_index": core.raft.snapshot_index(),
        "members": members(core, now),
        "entries": entries.iter().map(|(address, it)| json!({
            "name": it.name, "zone": it.zone, "address": address, "in_force": it.in_force,
            "silent_ms": now.mono_ms.saturating_sub(it.last_report_ms),
        })).collect::<Vec<_>>(),
        "vms": state.vms.iter().map(|it| vm_value(core, it, now)).collect::<Vec<_>>(),
        "queue": queue(core),
        "classes": classes.collect::<Vec<_>>(),
        "jobs": state.jobs.len(),
        "tasks": state.jobs.task_count(),
        "claims": state.claims.len(),
        "watches": state.watches.len(),
    })
}
