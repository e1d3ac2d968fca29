//! The replicated state: what the log's commands add up to.
//!
//! [`State::apply`] is a function of the commands alone: it reads no clock, no settings and no
//! random number, so that every member comes to the same state. Limits that are settings are
//! checked by the leader before it proposes. What must hold whatever the leader decides (no VM
//! overfilled, no task in two places, one winner of each race) is checked here once more.

mod claims;
mod configuration;
mod jobs;
mod task;
mod vms;
mod watches;
mod workflows;

use std::collections::BTreeMap;

use crate::{prelude::*, util::Place};

pub use self::{
    claims::Claims,
    configuration::{ConfigHistory, ConfigHistoryEntry},
    jobs::{Job, Jobs},
    task::{Placement, TASK_TRANSITIONS, Task, TaskTransition, next_state},
    vms::{NO_RESOURCES, Session, Vm, Vms, add, fits, subtract},
    watches::{Watch, Watches},
    workflows::{
        Occurrence, StepState, Suspects, TaskRun, ValidationError, Worker, Workers, Workflow,
        Workflows, check_queues, check_spec, reservation_of,
    },
};

/// What a command changed, for indexes that are kept beside the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Task(TaskId),
    Vm(VmId),
    Configuration,
}

/// Bytes that snapshots of earlier versions lack at their end, all zero where there is nothing:
/// three for failures, three before it for suspected tasks, and two before these for
/// evacuations.
const MISSING_TAILS: [usize; 3] = [3, 6, 8];

/// The outcome of one command.
pub type ReplyResult = Result<Reply, Refusal>;

/// The replicated state of one control group.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct State {
    #[serde(rename = "place")]
    group_id: Place,
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
    /// Makes the state before the first command.
    pub fn new(group_id: Place) -> State {
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

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.configuration.teams.iter().find(|it| it.name == name)
    }

    /// Returns a class by name.
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
            // Its own outcome goes to its caller by [`State::apply_workflow`].
            Command::Workflow(it) => {
                self.workflows.apply(it, time_ms);
                Ok(Reply::Done)
            }
        }
    }

    /// Applies a change of the workflows at `index`.
    pub fn apply_workflow(
        &mut self,
        index: u64,
        time_ms: u64,
        command: &WorkflowCommand,
    ) -> WorkflowOutcome {
        self.advance_to(index, time_ms);
        self.workflows.apply(command, time_ms)
    }

    /// Notes an entry that changes nothing here.
    pub fn advance_to(&mut self, index: u64, time_ms: u64) {
        self.index = index;
        self.time_ms = time_ms;
    }

    /// Returns the state as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).map_err(|it| {
            Error::report(ErrorKind::Internal, format_compact!("cannot encode the state: {it}"))
        })
    }

    /// Reads a state back from bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no state of this version.
    pub fn from_bytes(data: &[u8]) -> Result<State> {
        let read = |missing: usize| {
            let data = [data, &vec![0; missing]].concat();
            let (res, used) = bincode::serde::decode_from_slice(&data, bincode::config::standard())
                .map_err(|it| it.to_string())?;
            let is_whole = used == data.len();
            is_whole.then_some(res).ok_or_else(|| format!("{} bytes too many", data.len() - used))
        };
        let earlier = || MISSING_TAILS.iter().find_map(|it| read(*it).ok());
        let mut res: State = read(0).or_else(|error| earlier().ok_or(error)).map_err(|it| {
            Error::report(
                ErrorKind::Internal,
                format_compact!("cannot decode the state of a snapshot: {it}"),
            )
        })?;
        res.workflows.rebuild_index();
        Ok(res)
    }

    /// Checks what must always hold, from scratch.
    ///
    /// # Errors
    ///
    /// Returns what does not hold.
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
                    "VM {} holds {sum:?} but its ledger says {:?}",
                    vm.name, vm.used
                ));
            }
            if !fits(sum, vm.capacity) {
                return Err(format!("VM {} is overfilled: {sum:?} of {:?}", vm.name, vm.capacity));
            }
        }
        Ok(())
    }

    fn expire(&mut self, it: &ExpireCommand) -> ReplyResult {
        self.jobs.expire(it.jobs_before_ms);
        self.vms.expire(it.jobs_before_ms);
        self.claims.expire(it.claims_before_ms);
        self.watches.expire(it.claims_before_ms);
        Ok(Reply::Done)
    }
}
