//! What callers ask for, and what leaders have learned about run times and worker speeds.
//!
//! All of it is part of the replicated state, so that a new leader continues with it.

mod usage;

use std::collections::BTreeMap;

use crate::prelude::*;

pub use self::usage::Usage;

/// Callers and learned values.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// Availability zones that workflows entered by; workflows of earlier versions have none.
    zones: BTreeMap<WorkflowId, CompactString>,
    run_times: Vec<LearnedRunTime>,
    speeds: Vec<WorkerSpeed>,
    usage: Usage,
}

impl Demand {
    /// Returns the availability zone that a workflow entered by, or an empty text if it is unknown.
    pub fn zone_of(&self, id: WorkflowId) -> CompactString {
        self.zones.get(&id).cloned().unwrap_or_default()
    }

    /// Returns the run times learned by leaders.
    pub fn run_times(&self) -> &[LearnedRunTime] {
        &self.run_times
    }

    /// Returns the worker speeds learned by leaders.
    pub fn speeds(&self) -> &[WorkerSpeed] {
        &self.speeds
    }

    /// Returns what callers hold of the capacity, and what they have held lately.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    pub(super) fn usage_mut(&mut self) -> &mut Usage {
        &mut self.usage
    }

    pub(super) fn note_submitted(&mut self, id: WorkflowId, zone: CompactString) {
        self.zones.entry(id).or_insert(zone);
    }

    pub(super) fn retain(&mut self, is_kept: impl Fn(WorkflowId) -> bool) {
        self.zones.retain(|id, _| is_kept(*id));
    }

    pub(super) fn learn_run_times(&mut self, learned: &[LearnedRunTime]) {
        self.run_times = learned.to_vec();
    }

    pub(super) fn learn_speeds(&mut self, learned: &[WorkerSpeed]) {
        self.speeds = learned.to_vec();
    }
}
