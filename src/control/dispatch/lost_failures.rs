//! How long the failures on lost workers have been unsettled.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Time for which the failures on a lost worker stay unsettled in case it returns. Only a task at
/// its last attempt waits for them. After it the failures count, so that no workflow waits for a VM
/// that is gone for good.
const LOST_FAILURES_MAX_MS: u64 = 60_000;

/// The unsettled failures on lost workers, with the time since which this leader knows each, by its
/// steady clock: a step of the clock of day must not settle them early.
#[derive(Debug, Default)]
pub(super) struct LostFailures {
    since_ms: BTreeMap<RunRef, u64>,
}

impl LostFailures {
    /// Updates the failures to those in the ledger; returns those that have waited for too long.
    pub(super) fn update(&mut self, unsettled: &[RunRef], now: Now) -> Vec<RunRef> {
        self.since_ms.retain(|run, _| unsettled.contains(run));
        for run in unsettled {
            self.since_ms.entry(*run).or_insert(now.mono_ms);
        }
        let is_due = |since_ms: u64| since_ms + LOST_FAILURES_MAX_MS <= now.mono_ms;
        self.since_ms.iter().filter(|(_, it)| is_due(**it)).map(|(run, _)| *run).collect()
    }
}
