//! Compares the tasks that an agent reports with the replicated state.
//!
//! Agents report all their tasks with every heartbeat, at about thirty bytes a task, so that no
//! deltas can be lost. Each difference leads to an event for the log or an order to the agent,
//! repeated with every heartbeat until the difference is gone.

use std::collections::HashMap;

use crate::{
    control::state::{State, Vm},
    prelude::*,
};

/// Events and orders that bring the state and the agent's tasks into agreement.
#[derive(Clone, Debug, Default)]
pub(super) struct Reconciled {
    pub events: Vec<TaskEventCommand>,
    pub orders: Vec<TaskOrder>,
}

/// Compares the reports of a VM's agent with the state. Missing reports count only if the list is
/// `complete`.
pub(super) fn reconcile(
    state: &State,
    vm: &Vm,
    reports: &[TaskReport],
    complete: bool,
) -> Reconciled {
    let mut res = Reconciled::default();
    let by_task: HashMap<TaskId, &TaskReport> = reports.iter().map(|it| (it.task, it)).collect();
    for id in &vm.tasks {
        let Some(task) = state.jobs.task(*id) else { continue };
        let report = by_task.get(id).filter(|it| it.incarnation == task.incarnation);
        let phase = report.map(|it| it.phase);
        match (task.state, phase) {
            (TaskState::Starting | TaskState::Resuming, None)
                if complete && task.placement.is_some_and(|it| !it.inherited) =>
            {
                res.orders.extend(start_order(state, *id));
            }
            // An earlier agent process was ordered to start the task, and the VM does not have it.
            (TaskState::Starting | TaskState::Resuming, None) if complete => {
                res.push_event(*id, task.incarnation, TaskEvent::Stopped);
            }
            // The task ran here and the agent does not report it, so the task is lost.
            (TaskState::Running | TaskState::Checkpointing | TaskState::Stopping, None)
                if complete =>
            {
                res.push_event(*id, task.incarnation, TaskEvent::Stopped);
            }
            (TaskState::Starting | TaskState::Resuming, Some(TaskPhase::Running)) => {
                res.push_event(*id, task.incarnation, TaskEvent::Running);
            }
            (TaskState::Checkpointing, Some(TaskPhase::Running | TaskPhase::Starting)) => {
                res.push_order(*id, task.incarnation, TaskAction::Checkpoint);
            }
            (
                TaskState::Stopping,
                Some(TaskPhase::Running | TaskPhase::Starting | TaskPhase::Checkpointing),
            ) => {
                res.push_order(*id, task.incarnation, TaskAction::Stop);
            }
            _ => (),
        }
        if let Some(event) = report.and_then(|it| end_event_of(it)) {
            res.push_event(*id, task.incarnation, event);
        }
    }
    for it in reports {
        let task = state.jobs.task(it.task).filter(|task| task.incarnation == it.incarnation);
        if task.is_some_and(|_| vm.tasks.contains(&it.task)) {
            continue;
        }
        // The task is not placed here any more: the agent forgets it if it ended, or stops it.
        let action = if end_event_of(it).is_some() { TaskAction::Forget } else { TaskAction::Stop };
        res.push_order(it.task, it.incarnation, action);
    }
    res
}

/// Returns the order to start a placed task; `None` if the task or its job is gone.
pub(super) fn start_order(state: &State, id: TaskId) -> Option<TaskOrder> {
    let task = state.jobs.task(id)?;
    let job = state.jobs.job_of(task)?;
    let start = TaskStart {
        team: job.team.clone(),
        kind: job.spec.kind.clone(),
        class: job.spec.class.clone(),
        resources: job.spec.resources,
        payload: job.spec.payload.clone(),
        checkpoint: task.checkpoint.clone(),
    };
    Some(TaskOrder { task: id, incarnation: task.incarnation, action: TaskAction::Start(start) })
}

impl Reconciled {
    fn push_event(&mut self, task: TaskId, incarnation: u32, event: TaskEvent) {
        self.events.push(TaskEventCommand { task, incarnation, event });
    }

    fn push_order(&mut self, task: TaskId, incarnation: u32, action: TaskAction) {
        self.orders.push(TaskOrder { task, incarnation, action });
    }
}

/// Returns the event for the reported end of a task; `None` while the task is live.
fn end_event_of(it: &TaskReport) -> Option<TaskEvent> {
    match it.phase {
        TaskPhase::Completed => {
            Some(TaskEvent::Completed(Completion { result: it.detail.clone(), run_ms: it.run_ms }))
        }
        TaskPhase::Failed => Some(TaskEvent::Failed(it.detail.clone())),
        TaskPhase::Evicted => {
            Some(TaskEvent::Evicted(Checkpoint { token: it.detail.clone(), run_ms: it.run_ms }))
        }
        TaskPhase::Stopped => Some(TaskEvent::Stopped),
        TaskPhase::Starting | TaskPhase::Running | TaskPhase::Checkpointing => None,
    }
}
