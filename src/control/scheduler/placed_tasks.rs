//! Which kinds of batch work run beside each other on a VM.
//!
//! Kept by addition and subtraction as tasks come and go: summing a VM's tasks anew for every
//! candidate of every start was most of a start's cost.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;

/// What a task counted as running holds.
#[derive(Clone, Debug)]
pub(super) struct PlacedTask {
    pub team: CompactString,
    pub need: Resources,
    pub vm: VmId,
    /// Its kind, where it is batch work, which can harm services.
    pub kind: Option<CompactString>,
    /// Processors that a throttle leaves it.
    pub allowed_millicores: u64,
}

#[derive(Clone, Debug, Default)]
struct KindSum {
    millicores: u64,
    tasks: u32,
}

/// The tasks that run, by task and summed up by VM.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacedTasks {
    tasks: HashMap<TaskId, PlacedTask>,
    kinds: HashMap<VmId, HashMap<CompactString, KindSum>>,
    /// VMs whose mix has changed since it was last noted.
    changed: BTreeSet<VmId>,
}

impl PlacedTasks {
    pub(super) fn contains(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    pub(super) fn add(&mut self, task: TaskId, it: PlacedTask) {
        if let Some(kind) = &it.kind {
            let sum = self.kinds.entry(it.vm).or_default().entry(kind.clone()).or_default();
            sum.millicores += it.allowed_millicores;
            sum.tasks += 1;
        }
        self.changed.insert(it.vm);
        self.tasks.insert(task, it);
    }

    pub(super) fn remove(&mut self, task: TaskId) -> Option<PlacedTask> {
        let it = self.tasks.remove(&task)?;
        self.changed.insert(it.vm);
        if let (Some(kind), Some(kinds)) = (&it.kind, self.kinds.get_mut(&it.vm))
            && let Some(sum) = kinds.get_mut(kind)
        {
            sum.millicores -= it.allowed_millicores;
            sum.tasks -= 1;
            if sum.tasks == 0 {
                kinds.remove(kind);
            }
        }
        Some(it)
    }

    pub(super) fn get(&self, task: TaskId) -> Option<&PlacedTask> {
        self.tasks.get(&task)
    }

    /// Notes that a task is held to a part of its processors, which is all that it can harm with.
    pub(super) fn throttle(&mut self, task: TaskId, permille: u32) {
        if let Some(mut it) = self.remove(task) {
            it.allowed_millicores = u64::from(it.need.cpu_millicores) * u64::from(permille) / 1_000;
            self.add(task, it);
        }
    }

    /// Returns the kinds on a VM with their shares of its processors, in a fixed order.
    pub(super) fn kinds_on(&self, vm: VmId, capacity: Resources) -> Vec<(CompactString, f64)> {
        let of = f64::from(capacity.cpu_millicores.max(1));
        let kinds = self.kinds.get(&vm).into_iter().flatten();
        let mut res: Vec<_> =
            kinds.map(|(kind, sum)| (kind.clone(), sum.millicores as f64 / of)).collect();
        res.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        res
    }

    /// Takes the VMs whose mix has changed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<VmId> {
        std::mem::take(&mut self.changed)
    }

    /// Forgets a VM whose session ended.
    pub(super) fn forget(&mut self, vm: VmId) {
        if self.kinds.get(&vm).is_some_and(HashMap::is_empty) {
            self.kinds.remove(&vm);
        }
    }
}
