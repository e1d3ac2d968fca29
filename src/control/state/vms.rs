//! VMs, their sessions and the ledger of what they hold.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::state::{Change, ReplyResult, State, task::TaskTransition},
    prelude::*,
};

/// No resources.
pub const NO_RESOURCES: Resources = Resources { cpu_millicores: 0, memory_mib: 0, accelerators: 0 };

/// The run of an agent that holds a VM.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Session {
    pub id: SessionId,
    pub boot: u64,
    pub address: std::net::SocketAddr,
}

/// A VM that announced itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    pub id: VmId,
    pub name: CompactString,
    pub zone: CompactString,
    pub rack: CompactString,
    pub capacity: Resources,
    /// Sum of what its tasks reserve.
    pub used: Resources,
    pub tasks: BTreeSet<TaskId>,
    pub session: Option<Session>,
    pub draining: bool,
    pub quarantined: bool,
    /// Failures since a task last completed here.
    pub failures_in_row: u32,
    /// When the session ended or the quarantine began.
    pub changed_ms: u64,
}

impl Vm {
    /// Returns whether a task with this need may be started here.
    pub fn has_capacity_for(&self, need: Resources) -> bool {
        // A VM in quarantine takes one task as a probe.
        let closed = self.draining || (self.quarantined && !self.tasks.is_empty());
        !closed && self.session.is_some() && fits(add(self.used, need), self.capacity)
    }

    /// Returns what is left.
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
    next: u32,
}

impl Vms {
    pub fn get(&self, id: VmId) -> Option<&Vm> {
        self.vms.get(&id)
    }

    pub fn by_name(&self, name: &str) -> Option<&Vm> {
        self.vms.get(self.by_name.get(name)?)
    }

    /// Returns the VM that an open session holds.
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

    /// Counts a task that completed or failed here.
    ///
    /// In quarantine the task was a probe: its success lifts the quarantine, its failure begins
    /// the waiting time anew.
    pub(super) fn note_outcome(&mut self, id: VmId, completed: bool, time_ms: u64) {
        let Some(vm) = self.vms.get_mut(&id) else { return };
        vm.failures_in_row = if completed { 0 } else { vm.failures_in_row + 1 };
        if vm.quarantined {
            vm.quarantined = !completed;
            vm.changed_ms = time_ms;
        }
    }

    pub(super) fn expire(&mut self, before_ms: u64) {
        let gone =
            |vm: &Vm| vm.session.is_none() && vm.tasks.is_empty() && vm.changed_ms < before_ms;
        self.vms.retain(|_, vm| !gone(vm));
        let vms = &self.vms;
        self.by_name.retain(|_, id| vms.contains_key(id));
    }
}

impl State {
    pub(super) fn open_session(
        &mut self,
        it: &OpenSessionCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let known = self.vms.by_name(&it.vm_name);
        if let Some(vm) = known
            && let Some(session) = vm.session.as_ref().filter(|session| session.boot == it.boot)
        {
            return Ok(Reply::SessionOpened(SessionOpened { session: session.id, vm: vm.id }));
        }
        if let Some(vm) = known
            && !fits(vm.used, it.capacity)
        {
            let detail = format_compact!("VM {} announces less than its tasks hold", it.vm_name);
            return Err(refusal_with_retry_after(ErrorKind::Infeasible, detail, 5_000));
        }
        let id = known.map(|vm| vm.id).unwrap_or_else(|| {
            self.vms.next += 1;
            VmId(self.vms.next)
        });
        let session = Session { id: SessionId(self.index), boot: it.boot, address: it.address };
        let vm = self.vms.vms.entry(id).or_insert_with(|| Vm {
            id,
            name: it.vm_name.clone(),
            zone: it.zone.clone(),
            rack: it.rack.clone(),
            capacity: it.capacity,
            used: NO_RESOURCES,
            tasks: BTreeSet::new(),
            session: None,
            draining: false,
            quarantined: false,
            failures_in_row: 0,
            changed_ms: self.time_ms,
        });
        vm.zone = it.zone.clone();
        vm.rack = it.rack.clone();
        vm.capacity = it.capacity;
        if let Some(old) = vm.session.replace(session) {
            self.vms.by_session.remove(&old.id);
        }
        self.vms.by_name.insert(it.vm_name.clone(), id);
        self.vms.by_session.insert(SessionId(self.index), id);
        // The worker still runs what the agent before started; the new agent finds it there.
        self.hand_tasks_over(id, SessionId(self.index));
        changes.push(Change::Vm(id));
        Ok(Reply::SessionOpened(SessionOpened { session: SessionId(self.index), vm: id }))
    }

    pub(super) fn close_session(
        &mut self,
        it: &CloseSessionCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let time_ms = self.time_ms;
        let Some(vm) =
            self.vms.by_session.remove(&it.session).and_then(|id| self.vms.vms.get_mut(&id))
        else {
            return Ok(Reply::Done);
        };
        vm.session = None;
        vm.changed_ms = time_ms;
        let (id, tasks) = (vm.id, vm.tasks.clone());
        for task in tasks {
            self.apply_transition(task, TaskTransition::Lost, changes);
        }
        self.claims.end_session(it.session, time_ms);
        changes.push(Change::Vm(id));
        Ok(Reply::Done)
    }

    pub(super) fn set_vm_flags(
        &mut self,
        it: &VmFlagsCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let time_ms = self.time_ms;
        let Some(vm) = self.vms.vms.get_mut(&it.vm) else {
            return Err(refusal(
                ErrorKind::NotFound,
                format_compact!("no VM has the number {}", it.vm),
            ));
        };
        if vm.quarantined != it.quarantined {
            vm.failures_in_row = 0;
            vm.changed_ms = time_ms;
        }
        vm.draining = it.draining;
        vm.quarantined = it.quarantined;
        changes.push(Change::Vm(it.vm));
        Ok(Reply::Done)
    }
}

/// Returns the sum of two amounts.
pub fn add(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.saturating_add(b.cpu_millicores),
        memory_mib: a.memory_mib.saturating_add(b.memory_mib),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Returns what is left of `a` without `b`, at least nothing.
pub fn subtract(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.saturating_sub(b.cpu_millicores),
        memory_mib: a.memory_mib.saturating_sub(b.memory_mib),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Returns whether `need` is within `free` in every part.
pub fn fits(need: Resources, free: Resources) -> bool {
    need.cpu_millicores <= free.cpu_millicores
        && need.memory_mib <= free.memory_mib
        && need.accelerators <= free.accelerators
}
