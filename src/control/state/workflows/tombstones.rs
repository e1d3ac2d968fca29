//! Cancelled workflows that were not known when they were cancelled.
//!
//! A copy of a submission may wait anywhere on its way to the leader while its client cancels it. It
//! must not be accepted later, so the ledger remembers the cancel for a time.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The remembered cancels.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tombstones {
    /// When each workflow was cancelled last, by the log's clock.
    recorded_ms: BTreeMap<WorkflowId, u64>,
}

impl Tombstones {
    pub fn len(&self) -> usize {
        self.recorded_ms.len()
    }

    pub fn is_empty(&self) -> bool {
        self.recorded_ms.is_empty()
    }

    /// Returns whether a workflow was cancelled before it was known.
    pub fn contains(&self, id: WorkflowId) -> bool {
        self.recorded_ms.contains_key(&id)
    }

    /// Returns whether any was recorded before `before_ms`.
    pub fn has_expired(&self, before_ms: u64) -> bool {
        self.recorded_ms.values().any(|it| *it < before_ms)
    }

    pub(super) fn record(&mut self, id: WorkflowId, time_ms: u64) {
        let recorded_ms = self.recorded_ms.entry(id).or_default();
        *recorded_ms = time_ms.max(*recorded_ms);
    }

    pub(super) fn expire(&mut self, before_ms: u64) {
        self.recorded_ms.retain(|_, it| before_ms <= *it);
    }
}
