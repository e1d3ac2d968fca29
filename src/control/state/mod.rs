//! The replicated state: the result of applying the log's commands in order.
//!
//! [`State::apply`] depends on the commands alone: it reads no clock, no settings and no random
//! number, so that every member reaches the same state. The leader checks limits from settings
//! before it proposes a command. The invariants (no VM overfilled, no task in two places, one
//! winner of each race) are also checked here, so that they hold whatever a leader proposes.

mod claims;
mod configuration;
mod demand;
mod jobs;
mod task;
mod vms;
mod watches;
mod workflows;

use std::collections::BTreeMap;

use crate::{prelude::*, util::GroupId};

pub use self::{
    claims::Claims,
    configuration::{ConfigHistory, ConfigHistoryEntry},
    demand::{Demand, Usage},
    jobs::{Job, Jobs},
    task::{Placement, TASK_TRANSITIONS, Task, TaskTransition, next_state},
    vms::{NO_RESOURCES, Session, Vm, Vms, add, fits, subtract},
    watches::{Watch, Watches},
    workflows::{
        Occurrence, ResolvedTasks, STEPS_MAX, StepState, Suspects, TaskRun, Tombstones,
        ValidationError, Worker, Workers, Workflow, Workflows, check_queues, check_spec,
        reservation_of,
    },
};

/// An object that a command changed, for indexes kept outside the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Task(TaskId),
    Vm(VmId),
    Configuration,
}

/// Numbers of bytes that snapshots of earlier versions lack at their end. Empty fields are encoded
/// as zeros: 1 byte for tombstones, before it 1 for silences, before it 1 for usage, before it 3 for
/// the rest of demand, before these 3 for failures, before these 3 for suspected tasks, and first 2
/// for evacuations.
const MISSING_TAIL_BYTES: [usize; 7] = [1, 2, 3, 6, 9, 12, 14];

/// The outcome of one command.
pub type ReplyResult = Result<Reply, Refusal>;

/// The replicated state of one control group.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct State {
    #[serde(rename = "place")]
    group_id: GroupId,
    index: u64,
    time_ms: u64,
    pub configuration: Configuration,
    pub history: ConfigHistory,
    pub vms: Vms,
    pub jobs: Jobs,
    pub claims: Claims,
    pub watches: Watches,
    pub workflows: Workflows,
}

impl State {
    /// Creates the state before the first command.
    pub fn new(group_id: GroupId) -> State {
        State {
            group_id,
            index: 0,
            time_ms: 0,
            configuration: Configuration {
                revision: Revision(0),
                teams: Vec::new(),
                classes: Vec::new(),
            },
            history: ConfigHistory::default(),
            vms: Vms::default(),
            jobs: Jobs::default(),
            claims: Claims::default(),
            watches: Watches::default(),
            workflows: Workflows::default(),
        }
    }

    /// Returns the index of the last entry applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the state's clock: the time of the last entry applied.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.configuration.teams.iter().find(|it| it.name == name)
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.configuration.classes.iter().find(|it| it.name == name)
    }

    /// Applies the entry at `index`.
    pub fn apply(
        &mut self,
        index: u64,
        time_ms: u64,
        command: &Command,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        self.advance_to(index, time_ms);
        match command {
            Command::Configure(it) => self.configure(it, changes),
            Command::OpenSession(it) => self.open_session(it, changes),
            Command::CloseSession(it) => self.close_session(it, changes),
            Command::VmFlags(it) => self.set_vm_flags(it, changes),
            Command::Submit(it) => self.submit(it, changes),
            Command::Cancel(it) => self.cancel(it, changes),
            Command::Start(it) => self.start(it, changes),
            Command::TaskEvent(it) => self.task_event(it, changes),
            Command::Claim(it) => self.claims.claim(it, time_ms),
            Command::Settle(it) => self.claims.settle(it, time_ms),
            Command::CreateWatch(it) => self.watches.create(self.group_id, it),
            Command::DeleteWatch(it) => self.watches.delete(it),
            Command::Publish(it) => self.watches.publish(it, time_ms),
            Command::Expire(it) => self.expire(it),
            // Callers that need the outcome use [`State::apply_workflow`] instead.
            Command::Workflow(it) => {
                self.workflows.apply(it, time_ms);
                Ok(Reply::Done)
            }
        }
    }

    /// Applies a workflow command at `index`.
    pub fn apply_workflow(
        &mut self,
        index: u64,
        time_ms: u64,
        command: &WorkflowCommand,
    ) -> WorkflowOutcome {
        self.advance_to(index, time_ms);
        self.workflows.apply(command, time_ms)
    }

    /// Advances index and clock to an entry that changes nothing else in the state.
    pub fn advance_to(&mut self, index: u64, time_ms: u64) {
        self.index = index;
        self.time_ms = time_ms;
    }

    /// Returns the state as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        let encoded = bincode::serde::encode_to_vec(self, bincode::config::standard());
        let mut res = encoded.map_err(|it| {
            Error::report(ErrorKind::Internal, format_compact!("cannot encode the state: {it}"))
        })?;
        // The snapshot is kept for members that lag.
        res.shrink_to_fit();
        Ok(res)
    }

    /// Decodes a state from the bytes of a snapshot, of this or an earlier version.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid state.
    pub fn from_bytes(data: &[u8]) -> Result<State> {
        let decode = |missing_bytes: usize| {
            let data = [data, &vec![0; missing_bytes]].concat();
            let (res, used) = bincode::serde::decode_from_slice(&data, bincode::config::standard())
                .map_err(|it| it.to_string())?;
            let is_whole = used == data.len();
            is_whole
                .then_some(res)
                .ok_or_else(|| format!("{} unexpected bytes at the end", data.len() - used))
        };
        let decode_earlier = || MISSING_TAIL_BYTES.iter().find_map(|it| decode(*it).ok());
        let mut res: State =
            decode(0).or_else(|error| decode_earlier().ok_or(error)).map_err(|it| {
                Error::report(
                    ErrorKind::Internal,
                    format_compact!("cannot decode the state of a snapshot: {it}"),
                )
            })?;
        res.workflows.rebuild_index();
        Ok(res)
    }

    /// Checks the invariants of the state, with all reservations summed up anew.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn audit(&self) -> Result<(), String> {
        let mut used: BTreeMap<VmId, Resources> = BTreeMap::new();
        for task in self.jobs.tasks() {
            let holds = task.state.holds_resources();
            if holds != task.placement.is_some() {
                return Err(format!(
                    "task {} is {} with placement {:?}",
                    task.id, task.state, task.placement
                ));
            }
            let Some(placement) = task.placement else { continue };
            let need = self.jobs.need_of(task);
            let sum = used.entry(placement.vm).or_insert(NO_RESOURCES);
            *sum = add(*sum, need);
            if !self.vms.get(placement.vm).is_some_and(|it| it.tasks.contains(&task.id)) {
                return Err(format!("task {} is not listed on its VM {}", task.id, placement.vm));
            }
        }
        for vm in self.vms.iter() {
            let sum = used.get(&vm.id).copied().unwrap_or(NO_RESOURCES);
            if sum != vm.used {
                return Err(format!(
                    "tasks on VM {} reserve {sum:?}, but the VM records {:?}",
                    vm.name, vm.used
                ));
            }
            if !fits(sum, vm.capacity) {
                return Err(format!("VM {} is overfilled: {sum:?} of {:?}", vm.name, vm.capacity));
            }
        }
        Ok(())
    }

    fn expire(&mut self, command: &ExpireCommand) -> ReplyResult {
        self.jobs.expire(command.jobs_before_ms);
        self.vms.expire(command.jobs_before_ms);
        self.claims.expire(command.claims_before_ms);
        self.watches.expire(command.claims_before_ms);
        Ok(Reply::Done)
    }
}
