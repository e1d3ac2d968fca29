//! Tells the ledger which workflows have begun.
//!
//! A workflow has begun once a worker has begun one of its runs. A run in the ledger proves nothing:
//! its worker may refuse it, or may be cut off. So the ledger learns it from the lists of workers.

use std::collections::BTreeSet;

use crate::{
    control::{dispatch::Dispatcher, state::Workflows},
    prelude::*,
};

/// Interval at which the workflows that have begun are written to the ledger. Callers may read a
/// state that is two seconds old.
const CONFIRM_INTERVAL_MS: u64 = 250;

/// Workflows that have begun, until the next write to the ledger.
#[derive(Debug, Default)]
pub(super) struct BegunWorkflows {
    ids: BTreeSet<WorkflowId>,
    last_write_ms: u64,
}

impl BegunWorkflows {
    /// Notes runs that a worker has listed for the first time.
    pub(super) fn note_listed(
        &mut self,
        workflows: &Workflows,
        runs: impl Iterator<Item = RunRef>,
    ) {
        let ids = runs.map(|it| it.task.workflow);
        self.ids.extend(ids.filter(|id| workflows.get(*id).is_some_and(|it| !it.has_begun)));
    }

    /// Returns when the next write is due.
    pub(super) fn next_write_ms(&self) -> u64 {
        match self.ids.is_empty() {
            true => u64::MAX,
            false => self.last_write_ms + CONFIRM_INTERVAL_MS,
        }
    }
}

impl Dispatcher {
    /// Proposes to record the workflows that have begun, if a write is due.
    pub(super) fn propose_begun(&mut self, now: Now) {
        if self.begun.next_write_ms() <= now.mono_ms {
            self.begun.last_write_ms = now.mono_ms;
            let ids = std::mem::take(&mut self.begun.ids).into_iter().collect();
            self.output.commands.push(WorkflowCommand::ConfirmBegun(ids));
        }
    }
}
