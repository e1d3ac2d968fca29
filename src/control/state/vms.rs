//! VMs, their sessions and the resources reserved on them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::state::{Change, ReplyResult, State, task::TaskTransition},
    prelude::*,
};

pub const NO_RESOURCES: Resources = Resources { cpu_millicores: 0, memory_mib: 0, accelerators: 0 };

/// A run of the agent that manages a VM.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Session {
    pub id: SessionId,
    pub boot: u64,
    pub address: std::net::SocketAddr,
}

/// A VM whose agent has opened a session.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    pub id: VmId,
    pub name: CompactString,
    pub zone: CompactString,
    pub rack: CompactString,
    pub capacity: Resources,
    /// Sum of the reservations of its tasks.
    pub used: Resources,
    pub tasks: BTreeSet<TaskId>,
    pub session: Option<Session>,
    pub draining: bool,
    pub quarantined: bool,
    /// Task failures on this VM since a task last completed here.
    pub failures_in_row: u32,
    /// When the session ended or the quarantine began.
    pub changed_ms: u64,
}

impl Vm {
    /// Returns whether a task with this need may be started on the VM.
    pub fn has_capacity_for(&self, need: Resources) -> bool {
        // A VM in quarantine accepts one task at a time, as a probe.
        let is_closed = self.draining || (self.quarantined && !self.tasks.is_empty());
        !is_closed && self.session.is_some() && fits(add(self.used, need), self.capacity)
    }

    pub fn free_capacity(&self) -> Resources {
        subtract(self.capacity, self.used)
    }
}

/// All VMs.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Vms {
    vms: BTreeMap<VmId, Vm>,
    by_name: BTreeMap<CompactString, VmId>,
    by_session: BTreeMap<SessionId, VmId>,
    #[serde(rename = "next")]
    last_id: u32,
}

impl Vms {
    pub fn get(&self, id: VmId) -> Option<&Vm> {
        self.vms.get(&id)
    }

    pub fn by_name(&self, name: &str) -> Option<&Vm> {
        self.vms.get(self.by_name.get(name)?)
    }

    /// Returns the VM of an open session.
    pub fn by_session(&self, session: SessionId) -> Option<&Vm> {
        self.vms.get(self.by_session.get(&session)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    pub fn len(&self) -> usize {
        self.vms.len()
    }

    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    pub(super) fn reserve(&mut self, id: VmId, task: TaskId, need: Resources) {
        if let Some(vm) = self.vms.get_mut(&id) {
            vm.used = add(vm.used, need);
            vm.tasks.insert(task);
        }
    }

    pub(super) fn release(&mut self, id: VmId, task: TaskId, need: Resources) {
        if let Some(vm) = self.vms.get_mut(&id)
            && vm.tasks.remove(&task)
        {
            vm.used = subtract(vm.used, need);
        }
    }

    /// Records that a task on a VM completed or failed.
    ///
    /// In quarantine the task was a probe: its success ends the quarantine, its failure restarts
    /// the quarantine time.
    pub(super) fn note_outcome(&mut self, id: VmId, completed: bool, time_ms: u64) {
        let Some(vm) = self.vms.get_mut(&id) else { return };
        vm.failures_in_row = if completed { 0 } else { vm.failures_in_row + 1 };
        if vm.quarantined {
            vm.quarantined = !completed;
            vm.changed_ms = time_ms;
        }
    }

    pub(super) fn expire(&mut self, before_ms: u64) {
        let is_expired =
            |vm: &Vm| vm.session.is_none() && vm.tasks.is_empty() && vm.changed_ms < before_ms;
        self.vms.retain(|_, vm| !is_expired(vm));
        let vms = &self.vms;
        self.by_name.retain(|_, id| vms.contains_key(id));
    }
}

impl State {
    pub(super) fn open_session(
        &mut self,
        command: &OpenSessionCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let known_vm = self.vms.by_name(&command.vm_name);
        if let Some(vm) = known_vm
            && let Some(session) =
                vm.session.as_ref().filter(|session| session.boot == command.boot)
        {
            return Ok(Reply::SessionOpened(SessionOpened { session: session.id, vm: vm.id }));
        }
        if let Some(vm) = known_vm
            && !fits(vm.used, command.capacity)
        {
            let detail =
                format_compact!("VM {} announces less than its tasks hold", command.vm_name);
            return Err(refusal_with_retry_after(ErrorKind::Infeasible, detail, 5_000));
        }
        let id = known_vm.map(|vm| vm.id).unwrap_or_else(|| {
            self.vms.last_id += 1;
            VmId(self.vms.last_id)
        });
        let session =
            Session { id: SessionId(self.index), boot: command.boot, address: command.address };
        let vm = self.vms.vms.entry(id).or_insert_with(|| Vm {
            id,
            name: command.vm_name.clone(),
            zone: command.zone.clone(),
            rack: command.rack.clone(),
            capacity: command.capacity,
            used: NO_RESOURCES,
            tasks: BTreeSet::new(),
            session: None,
            draining: false,
            quarantined: false,
            failures_in_row: 0,
            changed_ms: self.time_ms,
        });
        vm.zone = command.zone.clone();
        vm.rack = command.rack.clone();
        vm.capacity = command.capacity;
        if let Some(superseded) = vm.session.replace(session) {
            self.vms.by_session.remove(&superseded.id);
        }
        self.vms.by_name.insert(command.vm_name.clone(), id);
        self.vms.by_session.insert(SessionId(self.index), id);
        // The worker still runs the tasks that the previous agent started; the new one finds them.
        self.transfer_tasks(id, SessionId(self.index));
        changes.push(Change::Vm(id));
        Ok(Reply::SessionOpened(SessionOpened { session: SessionId(self.index), vm: id }))
    }

    pub(super) fn close_session(
        &mut self,
        command: &CloseSessionCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let time_ms = self.time_ms;
        let Some(vm) =
            self.vms.by_session.remove(&command.session).and_then(|id| self.vms.vms.get_mut(&id))
        else {
            return Ok(Reply::Done);
        };
        vm.session = None;
        vm.changed_ms = time_ms;
        let (id, tasks) = (vm.id, vm.tasks.clone());
        for task in tasks {
            self.apply_transition(task, TaskTransition::Lost, changes);
        }
        self.claims.end_session(command.session, time_ms);
        changes.push(Change::Vm(id));
        Ok(Reply::Done)
    }

    pub(super) fn set_vm_flags(
        &mut self,
        command: &VmFlagsCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let time_ms = self.time_ms;
        let Some(vm) = self.vms.vms.get_mut(&command.vm) else {
            return Err(refusal(
                ErrorKind::NotFound,
                format_compact!("no VM has the number {}", command.vm),
            ));
        };
        if vm.quarantined != command.quarantined {
            vm.failures_in_row = 0;
            vm.changed_ms = time_ms;
        }
        vm.draining = command.draining;
        vm.quarantined = command.quarantined;
        changes.push(Change::Vm(command.vm));
        Ok(Reply::Done)
    }
}

/// Returns `a + b` per resource, saturating.
pub fn add(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.saturating_add(b.cpu_millicores),
        memory_mib: a.memory_mib.saturating_add(b.memory_mib),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Returns `a - b` per resource, at least 0.
pub fn subtract(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.saturating_sub(b.cpu_millicores),
        memory_mib: a.memory_mib.saturating_sub(b.memory_mib),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Returns whether `need` is at most `free` in every resource.
pub fn fits(need: Resources, free: Resources) -> bool {
    need.cpu_millicores <= free.cpu_millicores
        && need.memory_mib <= free.memory_mib
        && need.accelerators <= free.accelerators
}
