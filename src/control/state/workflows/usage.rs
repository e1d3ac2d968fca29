//! Counts what runs hold as usage of their callers.

use crate::{control::state::Workflows, prelude::*};

impl Workflows {
    pub(super) fn add_usage(&mut self, run: RunRef, time_ms: u64) {
        if let Some((caller, need)) = self.holding_of(run) {
            self.demand.usage_mut().add(caller, need, time_ms);
        }
    }

    pub(super) fn remove_usage(&mut self, run: RunRef, time_ms: u64) {
        if let Some((caller, need)) = self.holding_of(run) {
            self.demand.usage_mut().remove(caller, need, time_ms);
        }
    }

    /// Counts usage anew from the runs on all workers, after a snapshot was read.
    pub(super) fn recount_usage(&mut self) {
        let runs = self.workers.iter().flat_map(|(_, it)| it.runs.iter());
        let holdings: Vec<_> = runs.filter_map(|it| self.holding_of(*it)).collect();
        self.demand.usage_mut().recount(holdings.into_iter());
    }

    /// Returns the caller of a run and what the run holds.
    fn holding_of(&self, run: RunRef) -> Option<(Caller, Resources)> {
        Some((self.caller_of(run.task.workflow)?, self.step_of(run.task)?.need))
    }
}
