//! Selection of the VM that a task starts on.
//!
//! Batch tasks are packed onto the VM with the least free capacity that still fits, so that large
//! free blocks are preserved. Tasks of services are spread over availability zones and racks. Both
//! prefer the VM with the least estimated interference. Only a bounded number of candidates is
//! compared, so that a start does not scan all VMs.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::state::{fits, subtract},
    prelude::*,
};

/// Candidates compared before one is chosen.
const CANDIDATES: usize = 12;

/// VMs examined in the search for candidates, so that one start stays cheap even if most VMs lack
/// memory or accelerators.
const EXAMINED_MAX: usize = 96;

/// The free resources of a VM, and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct FreeVmCapacity {
    pub free: Resources,
    pub zone: CompactString,
    pub rack: CompactString,
}

/// How the VM of a task is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStrategy {
    /// The VM with the fewest free processors that fits.
    Pack,
    /// The VM with the most free processors, away from the other tasks of the job.
    Spread,
}

/// The cost of one more task on a VM, as the caller estimates it.
pub trait PlacementCost {
    /// Returns the estimated interference between the task and the VM's other work; infinite if the
    /// task must not start there.
    fn interference(&self, vm: VmId) -> f64;

    /// Returns how many tasks of the same job are in the VM's availability zone, and in its rack.
    fn same_job_counts(&self, capacity: &FreeVmCapacity) -> (u32, u32);
}

/// The free capacity of all VMs that accept tasks, ordered by free processors.
#[derive(Clone, Debug, Default)]
pub struct FreeCapacityIndex {
    capacities: BTreeMap<VmId, FreeVmCapacity>,
    by_cpu: BTreeSet<(u32, VmId)>,
}

impl FreeCapacityIndex {
    /// Sets the free capacity of a VM; `None` if no task may start there.
    pub fn set(&mut self, vm: VmId, capacity: Option<FreeVmCapacity>) {
        if let Some(old) = self.capacities.remove(&vm) {
            self.by_cpu.remove(&(old.free.cpu_millicores, vm));
        }
        if let Some(it) = capacity {
            self.by_cpu.insert((it.free.cpu_millicores, vm));
            self.capacities.insert(vm, it);
        }
    }

    /// Subtracts `need` from the free capacity of a VM.
    pub fn allocate(&mut self, vm: VmId, need: Resources) {
        if let Some(mut capacity) = self.capacities.get(&vm).cloned() {
            capacity.free = subtract(capacity.free, need);
            self.set(vm, Some(capacity));
        }
    }

    /// Returns the VM with the most free processors.
    pub fn vm_with_most_free_cpu(&self) -> Option<VmId> {
        self.by_cpu.last().map(|(_, vm)| *vm)
    }

    pub fn get(&self, vm: VmId) -> Option<&FreeVmCapacity> {
        self.capacities.get(&vm)
    }

    pub fn len(&self) -> usize {
        self.capacities.len()
    }

    pub fn is_empty(&self) -> bool {
        self.capacities.is_empty()
    }

    /// Returns the VMs with their free capacity.
    pub fn iter(&self) -> impl Iterator<Item = (VmId, &FreeVmCapacity)> {
        self.capacities.iter().map(|(id, it)| (*id, it))
    }

    /// Chooses a VM for a task; `None` if the task fits on none of the examined VMs.
    pub fn choose(
        &self,
        need: Resources,
        aim: PlacementStrategy,
        cost: &impl PlacementCost,
    ) -> Option<VmId> {
        let range = (need.cpu_millicores, VmId(0))..;
        let fitting = |vm: &VmId| self.capacities.get(vm).is_some_and(|it| fits(need, it.free));
        let candidates: Vec<VmId> = match aim {
            PlacementStrategy::Pack => {
                let examined = self.by_cpu.range(range).take(EXAMINED_MAX);
                examined.map(|(_, vm)| *vm).filter(fitting).take(CANDIDATES).collect()
            }
            PlacementStrategy::Spread => {
                // Keeps all examined VMs that fit: a few could all be in one availability zone.
                let examined = self.by_cpu.range(range).rev().take(EXAMINED_MAX);
                examined.map(|(_, vm)| *vm).filter(fitting).collect()
            }
        };
        self.best_of(candidates.into_iter(), need, aim, cost)
    }

    /// The reference implementation of [`FreeCapacityIndex::choose`], which compares every VM.
    pub fn choose_by_scan(
        &self,
        need: Resources,
        aim: PlacementStrategy,
        cost: &impl PlacementCost,
    ) -> Option<VmId> {
        let fitting =
            self.capacities.iter().filter(|(_, it)| fits(need, it.free)).map(|(id, _)| *id);
        self.best_of(fitting, need, aim, cost)
    }

    fn best_of(
        &self,
        candidates: impl Iterator<Item = VmId>,
        need: Resources,
        aim: PlacementStrategy,
        cost: &impl PlacementCost,
    ) -> Option<VmId> {
        let score = |vm: VmId| -> Option<(u32, u32, f64, u32)> {
            let capacity = self.capacities.get(&vm)?;
            let remaining_millicores = capacity.free.cpu_millicores - need.cpu_millicores;
            let interference = Some(cost.interference(vm)).filter(|it| it.is_finite())?;
            Some(match aim {
                PlacementStrategy::Pack => (0, 0, interference, remaining_millicores),
                PlacementStrategy::Spread => {
                    let (zone, rack) = cost.same_job_counts(capacity);
                    (zone, rack, interference, u32::MAX - remaining_millicores)
                }
            })
        };
        let scored = candidates.filter_map(|vm| Some((score(vm)?, vm)));
        let best = scored.min_by(|(a, _), (b, _)| {
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        best.map(|(_, vm)| vm)
    }
}
