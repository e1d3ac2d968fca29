//! Tasks and the table of their state transitions.

use crate::prelude::*;

/// Where an incarnation of a task runs.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Placement {
    pub vm: VmId,
    pub session: SessionId,
    pub since_ms: u64,
    /// Whether the session that the incarnation was placed under has been superseded. The VM may
    /// have restarted, which ends all its tasks, so this incarnation is never started again.
    pub inherited: bool,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Task {
    pub id: TaskId,
    pub job: JobId,
    pub state: TaskState,
    /// Number of the last start, the fencing token of all reports about the task.
    pub incarnation: u32,
    pub placement: Option<Placement>,
    pub checkpoint: CompactString,
    /// Run time whose progress the checkpoint preserves.
    pub kept_run_ms: u64,
    pub failed_on: Vec<VmId>,
    pub evictions: u32,
    pub queued_ms: u64,
    /// Result, or the cause of the last failure.
    pub detail: CompactString,
}

impl TaskState {
    /// Returns whether the task's resources are reserved on a VM.
    pub fn holds_resources(self) -> bool {
        use TaskState::*;
        matches!(self, Starting | Resuming | Running | Checkpointing | Stopping)
    }

    /// Returns whether the task waits for a VM.
    pub fn is_waiting(self) -> bool {
        matches!(self, TaskState::Queued | TaskState::Evicted)
    }

    /// Returns whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, TaskState::Completed | TaskState::Cancelled | TaskState::DeadLetter)
    }
}

/// An event that moves a task from one state to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskTransition {
    Start,
    Running,
    Completed,
    Failed,
    EvictRequested,
    Evicted,
    Stopped,
    /// The session that held the task ended.
    Lost,
    Cancel,
    DeadLetter,
}

/// All transitions, for tests over the whole table.
pub const TASK_TRANSITIONS: &[TaskTransition] = &[
    TaskTransition::Start,
    TaskTransition::Running,
    TaskTransition::Completed,
    TaskTransition::Failed,
    TaskTransition::EvictRequested,
    TaskTransition::Evicted,
    TaskTransition::Stopped,
    TaskTransition::Lost,
    TaskTransition::Cancel,
    TaskTransition::DeadLetter,
];

/// Returns the state that `transition` leads to, or `None` if `state` does not allow it.
///
/// `has_checkpoint` is whether the task would resume from a checkpoint.
pub fn next_state(
    state: TaskState,
    transition: TaskTransition,
    has_checkpoint: bool,
) -> Option<TaskState> {
    use TaskState::*;
    let waiting = if has_checkpoint { Evicted } else { Queued };
    match (state, transition) {
        (Queued, TaskTransition::Start) => Some(Starting),
        (Evicted, TaskTransition::Start) => Some(Resuming),
        (Starting | Resuming, TaskTransition::Running) => Some(Running),
        // A completion takes precedence over a requested eviction or cancellation: the work is
        // done, and to repeat or discard it would cost the caller twice.
        (Starting | Resuming | Running | Checkpointing | Stopping, TaskTransition::Completed) => {
            Some(Completed)
        }
        (
            Starting | Resuming | Running | Checkpointing,
            TaskTransition::Failed | TaskTransition::Stopped | TaskTransition::Lost,
        ) => Some(waiting),
        (Starting | Resuming | Running, TaskTransition::EvictRequested) => Some(Checkpointing),
        (Starting | Resuming | Running | Checkpointing, TaskTransition::Evicted) => Some(waiting),
        (
            Stopping,
            TaskTransition::Failed
            | TaskTransition::Stopped
            | TaskTransition::Lost
            | TaskTransition::Evicted,
        ) => Some(Cancelled),
        (Queued | Evicted, TaskTransition::Cancel) => Some(Cancelled),
        (Starting | Resuming | Running | Checkpointing, TaskTransition::Cancel) => Some(Stopping),
        (Queued | Evicted, TaskTransition::DeadLetter) => Some(DeadLetter),
        _ => None,
    }
}
