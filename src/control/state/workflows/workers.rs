//! The workers' lifetimes and what is placed on each.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::{
    control::state::{NO_RESOURCES, add, fits, reservation_of, subtract},
    prelude::*,
};

/// One lifetime of a worker.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Worker {
    pub name: CompactString,
    /// The node process beside it.
    pub node: SocketAddr,
    pub service: CompactString,
    pub zone: CompactString,
    pub kind: CompactString,
    pub rack: CompactString,
    pub capacity: Resources,
    /// Sum of what its runs reserve.
    pub used: Resources,
    /// Processor that fillers among its runs would use, beside what is reserved.
    pub filler_millicores: u32,
    pub runs: BTreeSet<RunRef>,
    /// Ends up to here are in the ledger.
    pub cursor: u64,
}

impl Worker {
    /// Returns whether `need` fits beside what is placed here.
    pub fn has_capacity_for(&self, need: Resources) -> bool {
        fits(add(self.used, need), self.capacity)
    }

    pub(super) fn add(&mut self, run: RunRef, step: &WorkflowStep) {
        if self.runs.insert(run) {
            self.used = add(self.used, reservation_of(step));
            self.filler_millicores += filler_millicores(step);
        }
    }

    pub(super) fn remove(&mut self, run: RunRef, step: &WorkflowStep) {
        if self.runs.remove(&run) {
            self.used = subtract(self.used, reservation_of(step));
            self.filler_millicores -= filler_millicores(step);
        }
    }
}

/// All workers that may run something.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
    last_id: u64,
    /// The lifetimes beside each node: one, but for an instant while another enrols.
    #[serde(skip)]
    by_node: HashMap<SocketAddr, Vec<WorkerId>>,
}

impl Workers {
    /// Returns a worker.
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.workers.get(&id)
    }

    /// Returns the lifetime with a name beside a node.
    pub fn find(&self, node: SocketAddr, name: &str) -> Option<WorkerId> {
        let beside = self.by_node.get(&node)?;
        beside.iter().copied().find(|id| self.get(*id).is_some_and(|it| it.name == name))
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.workers.iter().map(|(id, it)| (*id, it))
    }

    /// Returns how many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the lifetimes beside a node.
    pub fn ids_at_node(&self, node: SocketAddr) -> Vec<WorkerId> {
        self.by_node.get(&node).cloned().unwrap_or_default()
    }

    /// Returns the newest enrolment so far, whether or not it still holds.
    pub fn last_id(&self) -> WorkerId {
        WorkerId(self.last_id)
    }

    pub(super) fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: WorkerId) -> Option<Worker> {
        let res = self.workers.remove(&id)?;
        if let Some(beside) = self.by_node.get_mut(&res.node) {
            beside.retain(|it| *it != id);
            if beside.is_empty() {
                self.by_node.remove(&res.node);
            }
        }
        Some(res)
    }

    pub(super) fn rebuild_index(&mut self) {
        self.by_node = HashMap::new();
        for (id, it) in &self.workers {
            self.by_node.entry(it.node).or_default().push(*id);
        }
    }

    pub(super) fn enrol(&mut self, it: &EnrolWorker) -> WorkerId {
        self.last_id += 1;
        let worker = Worker {
            name: it.name.clone(),
            node: it.node,
            service: it.service.clone(),
            zone: it.zone.clone(),
            kind: it.kind.clone(),
            rack: it.rack.clone(),
            capacity: it.capacity,
            used: NO_RESOURCES,
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
