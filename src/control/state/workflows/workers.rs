//! Worker incarnations and the runs placed on each.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::{
    control::state::{NO_RESOURCES, add, fits, reservation_of, subtract},
    prelude::*,
};

/// One incarnation of a worker.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Worker {
    pub name: CompactString,
    /// Address of the worker's node process.
    pub node: SocketAddr,
    pub service: CompactString,
    pub zone: CompactString,
    pub kind: CompactString,
    pub rack: CompactString,
    pub capacity: Resources,
    /// Sum of the reservations of its runs.
    #[serde(rename = "used")]
    pub reserved: Resources,
    /// CPU that its best-effort tasks (fillers) would use, in addition to `reserved`.
    pub filler_millicores: u32,
    pub runs: BTreeSet<RunRef>,
    /// Run ends up to this cursor are recorded.
    pub cursor: u64,
}

impl Worker {
    /// Returns whether `need` fits into the capacity that is not reserved.
    pub fn has_capacity_for(&self, need: Resources) -> bool {
        fits(add(self.reserved, need), self.capacity)
    }

    pub(super) fn add(&mut self, run: RunRef, step: &WorkflowStep) {
        if self.runs.insert(run) {
            self.reserved = add(self.reserved, reservation_of(step));
            self.filler_millicores = self.filler_millicores.saturating_add(filler_millicores(step));
        }
    }

    /// Removes a run and returns true, or returns false if it is not recorded.
    pub(super) fn remove(&mut self, run: RunRef, step: &WorkflowStep) -> bool {
        let is_recorded = self.runs.remove(&run);
        if is_recorded {
            self.reserved = subtract(self.reserved, reservation_of(step));
            self.filler_millicores = self.filler_millicores.saturating_sub(filler_millicores(step));
        }
        is_recorded
    }
}

/// All worker incarnations that may have runs.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
    last_id: u64,
    /// Worker incarnations by node address: one per node, except briefly while another registers.
    #[serde(skip)]
    by_node: HashMap<SocketAddr, Vec<WorkerId>>,
}

impl Workers {
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.workers.get(&id)
    }

    /// Returns the worker incarnation with this name at a node.
    pub fn find(&self, node: SocketAddr, name: &str) -> Option<WorkerId> {
        let ids = self.by_node.get(&node)?;
        ids.iter().copied().find(|id| self.get(*id).is_some_and(|it| it.name == name))
    }

    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.workers.iter().map(|(id, it)| (*id, it))
    }

    pub fn len(&self) -> usize {
        self.workers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the worker incarnations at a node.
    pub fn ids_at_node(&self, node: SocketAddr) -> Vec<WorkerId> {
        self.by_node.get(&node).cloned().unwrap_or_default()
    }

    /// Returns the id of the worker registered last, which may have been removed since.
    pub fn last_id(&self) -> WorkerId {
        WorkerId(self.last_id)
    }

    pub(super) fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: WorkerId) -> Option<Worker> {
        let res = self.workers.remove(&id)?;
        if let Some(ids) = self.by_node.get_mut(&res.node) {
            ids.retain(|it| *it != id);
            if ids.is_empty() {
                self.by_node.remove(&res.node);
            }
        }
        Some(res)
    }

    pub(super) fn rebuild_index(&mut self) {
        self.by_node = HashMap::new();
        for (id, worker) in &self.workers {
            self.by_node.entry(worker.node).or_default().push(*id);
        }
    }

    pub(super) fn enrol(&mut self, registration: &EnrolWorker) -> WorkerId {
        self.last_id += 1;
        let worker = Worker {
            name: registration.name.clone(),
            node: registration.node,
            service: registration.service.clone(),
            zone: registration.zone.clone(),
            kind: registration.kind.clone(),
            rack: registration.rack.clone(),
            capacity: registration.capacity,
            reserved: NO_RESOURCES,
            filler_millicores: 0,
            runs: BTreeSet::new(),
            cursor: 0,
        };
        let id = WorkerId(self.last_id);
        self.by_node.entry(worker.node).or_default().push(id);
        self.workers.insert(id, worker);
        id
    }
}

fn filler_millicores(step: &WorkflowStep) -> u32 {
    if step.filler { step.need.cpu_millicores } else { 0 }
}
