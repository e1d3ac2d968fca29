//! The placed tasks, and the CPU use of each kind of batch work on each VM.
//!
//! The sums per VM are updated incrementally as tasks are placed and removed. Summing a VM's tasks
//! for every candidate VM of every start would be most of the cost of a start.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;

/// A task that is placed on a VM.
#[derive(Clone, Debug)]
pub(super) struct PlacedTask {
    pub team: CompactString,
    pub need: Resources,
    pub vm: VmId,
    /// Kind of a batch task, which can slow services down; `None` for a service.
    pub kind: Option<CompactString>,
    /// CPU limit of the task: its requested processors, reduced by a throttle.
    pub allowed_millicores: u64,
}

#[derive(Clone, Debug, Default)]
struct KindSum {
    millicores: u64,
    tasks: u32,
}

/// The placed tasks by id, and their sums by VM and kind.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacedTasks {
    tasks: HashMap<TaskId, PlacedTask>,
    kinds: HashMap<VmId, HashMap<CompactString, KindSum>>,
    /// VMs whose mix of tasks has changed since the last [`PlacedTasks::take_changed`].
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

    /// Limits a task to a part of its processors; only that part counts as a cause of slow-down.
    pub(super) fn throttle(&mut self, task: TaskId, permille: u32) {
        if let Some(mut it) = self.remove(task) {
            it.allowed_millicores = u64::from(it.need.cpu_millicores) * u64::from(permille) / 1_000;
            self.add(task, it);
        }
    }

    /// Returns the kinds on a VM and the fraction of its processors each uses, sorted by kind.
    pub(super) fn kinds_on(&self, vm: VmId, capacity: Resources) -> Vec<(CompactString, f64)> {
        let total_millicores = f64::from(capacity.cpu_millicores.max(1));
        let kinds = self.kinds.get(&vm).into_iter().flatten();
        let mut res: Vec<_> = kinds
            .map(|(kind, sum)| (kind.clone(), sum.millicores as f64 / total_millicores))
            .collect();
        res.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        res
    }

    pub(super) fn take_changed(&mut self) -> BTreeSet<VmId> {
        std::mem::take(&mut self.changed)
    }

    /// Removes the sums of a VM that has no batch tasks left.
    pub(super) fn remove_empty_vm(&mut self, vm: VmId) {
        if self.kinds.get(&vm).is_some_and(HashMap::is_empty) {
            self.kinds.remove(&vm);
        }
    }
}
