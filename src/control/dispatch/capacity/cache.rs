//! Free capacities, cached between plans.
//!
//! A worker's free capacity is rebuilt only if its runs have changed. The loads and costs in it are
//! refreshed at an interval of their own, since reports arrive at most every half second, and
//! a rebuild visits every run of a worker.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::{
        dispatch::{
            sessions::{Sessions, UsabilityCriteria},
            speeds::WorkerSpeeds,
        },
        state::Workflows,
    },
    policy::{contention::ContentionModel, start_breaker::BreakerState},
    prelude::*,
};

use super::FreeCapacity;

/// Interval at which the loads and costs of all workers are refreshed: a fifth of the interval of
/// worker reports.
const REFRESH_INTERVAL_MS: u64 = 100;

/// The free capacities of all workers in the ledger.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct FreeCapacities {
    by_worker: BTreeMap<WorkerId, FreeCapacity>,
    /// Workers whose runs have changed since their entries were built.
    stale: BTreeSet<WorkerId>,
    next_refresh_ms: u64,
    /// Number of entries visited so far in full scans.
    rows_visited: u64,
}

impl FreeCapacities {
    /// Returns the number of entries visited so far in full scans.
    pub(in crate::control::dispatch) fn rows_visited(&self) -> u64 {
        self.rows_visited
    }

    pub(in crate::control::dispatch) fn note_visited(&mut self, rows_visited: u64) {
        self.rows_visited += rows_visited;
    }

    /// Marks the entry of a worker whose runs have changed for a rebuild.
    pub(in crate::control::dispatch) fn mark_stale(&mut self, id: WorkerId) {
        self.stale.insert(id);
    }

    /// Returns the up-to-date free capacity of a worker.
    pub(in crate::control::dispatch) fn get(
        &mut self,
        workflows: &Workflows,
        contention: &mut ContentionModel,
        id: WorkerId,
    ) -> Option<&FreeCapacity> {
        if self.stale.remove(&id) {
            self.rebuild(workflows, contention, id);
        }
        self.by_worker.get(&id)
    }

    /// Rebuilds the stale entries, and refreshes loads and costs of all entries if that is due.
    pub(in crate::control::dispatch) fn refresh(
        &mut self,
        workflows: &Workflows,
        contention: &mut ContentionModel,
        now: Now,
    ) {
        for id in std::mem::take(&mut self.stale) {
            self.rebuild(workflows, contention, id);
        }
        if self.next_refresh_ms <= now.mono_ms {
            self.next_refresh_ms = now.mono_ms + REFRESH_INTERVAL_MS;
            self.rows_visited += self.by_worker.len() as u64;
            self.by_worker.values_mut().for_each(|it| it.refresh_loads(contention));
        }
    }

    /// Returns the free capacities of the workers on which new runs may be placed, with their
    /// present speeds.
    pub(in crate::control::dispatch) fn usable(
        &mut self,
        workflows: &Workflows,
        sessions: &Sessions,
        speeds: &WorkerSpeeds,
        usability: UsabilityCriteria,
    ) -> Vec<&mut FreeCapacity> {
        self.rows_visited += self.by_worker.len() as u64;
        let is_usable = |id| sessions.is_usable(id, usability) && !workflows.is_evacuated(id);
        let mut res: Vec<_> = self.by_worker.values_mut().filter(|it| is_usable(it.id)).collect();
        for it in &mut res {
            it.speed_class = speeds.class_of(it.id, usability.now.mono_ms);
            it.breaker = sessions.breaker_state(it.id, workflows, usability.now);
        }
        res.retain(|it| it.breaker != BreakerState::Open);
        res
    }

    /// Checks the entries that are not stale against entries built anew.
    ///
    /// # Errors
    ///
    /// Returns a description of the first entry that differs.
    pub(in crate::control::dispatch) fn audit(
        &self,
        workflows: &Workflows,
        contention: &mut ContentionModel,
    ) -> Result<(), String> {
        for (id, worker) in workflows.workers().iter().filter(|(id, _)| !self.stale.contains(id)) {
            let expected = FreeCapacity::new(workflows, id, worker, contention);
            let cached = self.by_worker.get(&id).cloned().map(|mut it| {
                it.refresh_loads(contention);
                // The speed and the breaker follow from reports, and are set for each plan.
                it.speed_class = expected.speed_class;
                it.breaker = expected.breaker;
                it
            });
            if cached.as_ref() != Some(&expected) {
                return Err(format!(
                    "free capacity of worker {id} is cached as {cached:?}, expected {expected:?}"
                ));
            }
        }
        let is_gone = |id: &&WorkerId| workflows.workers().get(**id).is_none();
        match self.by_worker.keys().filter(|it| !self.stale.contains(it)).find(is_gone) {
            Some(id) => {
                Err(format!("free capacity is cached for worker {id}, which is not in the ledger"))
            }
            None => Ok(()),
        }
    }

    fn rebuild(&mut self, workflows: &Workflows, contention: &mut ContentionModel, id: WorkerId) {
        match workflows.workers().get(id) {
            Some(worker) => drop(
                self.by_worker.insert(id, FreeCapacity::new(workflows, id, worker, contention)),
            ),
            None => drop(self.by_worker.remove(&id)),
        }
    }
}
