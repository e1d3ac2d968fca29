//! Which VM a task starts on.
//!
//! Batch tasks are packed: the VM with the least room that still fits, so that large gaps stay
//! whole. Tasks of services are spread over availability zones and racks. Both prefer the VM
//! where the estimated interference is least among a bounded number of candidates, so that a
//! start costs no scan of all VMs.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::state::{fits, subtract},
    prelude::*,
};

/// Candidates compared before one is chosen.
const CANDIDATES: usize = 12;

/// VMs looked at for candidates before the search gives up, so that one start stays cheap even
/// where memory or accelerators are what is missing.
const LOOKED_AT_MAX: usize = 96;

/// What is free on a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct FreeVmCapacity {
    pub free: Resources,
    pub zone: CompactString,
    pub rack: CompactString,
}

/// How a task's place is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStrategy {
    /// The tightest fit.
    Pack,
    /// The emptiest, away from the other tasks of its job.
    Spread,
}

/// The cost of one more task on a VM, as the caller estimates it.
pub trait PlacementCost {
    /// Returns the estimated harm that the task and the VM's other work do to each other;
    /// infinite where the task must not start.
    fn interference(&self, vm: VmId) -> f64;

    /// Returns how many tasks of the same job stand in the VM's zone, and in its rack.
    fn same_job_counts(&self, room: &FreeVmCapacity) -> (u32, u32);
}

/// The free room of all open VMs, ordered by free processors.
#[derive(Clone, Debug, Default)]
pub struct FreeCapacityIndex {
    rooms: BTreeMap<VmId, FreeVmCapacity>,
    by_cpu: BTreeSet<(u32, VmId)>,
}

impl FreeCapacityIndex {
    /// Sets what is free on a VM; `None` where no task may start.
    pub fn set(&mut self, vm: VmId, room: Option<FreeVmCapacity>) {
        if let Some(old) = self.rooms.remove(&vm) {
            self.by_cpu.remove(&(old.free.cpu_millicores, vm));
        }
        if let Some(it) = room {
            self.by_cpu.insert((it.free.cpu_millicores, vm));
            self.rooms.insert(vm, it);
        }
    }

    /// Takes `need` from a VM's room.
    pub fn allocate(&mut self, vm: VmId, need: Resources) {
        if let Some(mut room) = self.rooms.get(&vm).cloned() {
            room.free = subtract(room.free, need);
            self.set(vm, Some(room));
        }
    }

    /// Returns the VM with the most free processors.
    pub fn vm_with_most_free_cpu(&self) -> Option<VmId> {
        self.by_cpu.last().map(|(_, vm)| *vm)
    }

    pub fn get(&self, vm: VmId) -> Option<&FreeVmCapacity> {
        self.rooms.get(&vm)
    }

    pub fn len(&self) -> usize {
        self.rooms.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// Returns the VMs of the index.
    pub fn iter(&self) -> impl Iterator<Item = (VmId, &FreeVmCapacity)> {
        self.rooms.iter().map(|(id, it)| (*id, it))
    }

    /// Chooses a VM for a task, or none where it fits nowhere among those looked at.
    pub fn choose(
        &self,
        need: Resources,
        aim: PlacementStrategy,
        cost: &impl PlacementCost,
    ) -> Option<VmId> {
        let range = (need.cpu_millicores, VmId(0))..;
        let fitting = |vm: &VmId| self.rooms.get(vm).is_some_and(|it| fits(need, it.free));
        let candidates: Vec<VmId> = match aim {
            PlacementStrategy::Pack => {
                let looked_at = self.by_cpu.range(range).take(LOOKED_AT_MAX);
                looked_at.map(|(_, vm)| *vm).filter(fitting).take(CANDIDATES).collect()
            }
            PlacementStrategy::Spread => {
                // Zones differ in which of their VMs are empty; a longer look finds several zones.
                let looked_at = self.by_cpu.range(range).rev().take(LOOKED_AT_MAX);
                looked_at.map(|(_, vm)| *vm).filter(fitting).collect()
            }
        };
        self.best_of(candidates.into_iter(), need, aim, cost)
    }

    /// The naive twin of [`FreeCapacityIndex::choose`]: compares every VM.
    pub fn choose_by_scan(
        &self,
        need: Resources,
        aim: PlacementStrategy,
        cost: &impl PlacementCost,
    ) -> Option<VmId> {
        let fitting = self.rooms.iter().filter(|(_, it)| fits(need, it.free)).map(|(id, _)| *id);
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
            let room = self.rooms.get(&vm)?;
            let left = room.free.cpu_millicores - need.cpu_millicores;
            let harm = Some(cost.interference(vm)).filter(|it| it.is_finite())?;
            Some(match aim {
                PlacementStrategy::Pack => (0, 0, harm, left),
                PlacementStrategy::Spread => {
                    let (zone, rack) = cost.same_job_counts(room);
                    (zone, rack, harm, u32::MAX - left)
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
