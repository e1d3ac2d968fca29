//! Interference between kinds of work, learned from delayed reports.
//!
//! The model is additive: the tail of a class on a VM, relative to its baseline, is one plus a
//! slowdown for each kind that runs beside the class. A report is attributed to the kinds that ran
//! at the time of the measurement, not to those that run now.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;

/// Weight of a new observation.
const GAIN: f64 = 0.15;

/// Time for which the history of a VM is kept; older reports cannot be attributed.
const HISTORY_MS: u64 = 120_000;

/// Pairs of class and kind that are kept.
const PAIRS_MAX: usize = 100_000;

/// The kinds that ran together on one VM from `since_ms` on.
#[derive(Clone, Debug, PartialEq)]
struct Workload {
    since_ms: u64,
    kinds: Vec<(CompactString, f64)>,
}

/// The recent workloads of all VMs.
#[derive(Clone, Debug, Default)]
pub struct WorkloadHistory {
    workloads: HashMap<VmId, VecDeque<Workload>>,
}

impl WorkloadHistory {
    /// Records the kinds that run on a VM from now on, with their shares of its processors.
    pub fn record(&mut self, vm: VmId, now_ms: u64, kinds: Vec<(CompactString, f64)>) {
        let list = self.workloads.entry(vm).or_default();
        list.push_back(Workload { since_ms: now_ms, kinds });
        // The last workload that began before the retention period extends into the period.
        while 1 < list.len() && list[1].since_ms + HISTORY_MS < now_ms {
            list.pop_front();
        }
    }

    /// Returns the kinds that ran on a VM at a time, with their shares of its processors.
    pub fn kinds_at(&self, vm: VmId, at_ms: u64) -> &[(CompactString, f64)] {
        let list = self.workloads.get(&vm);
        let found = list.and_then(|it| it.iter().rev().find(|it| it.since_ms <= at_ms));
        found.map_or(&[], |it| it.kinds.as_slice())
    }

    pub fn remove(&mut self, vm: VmId) {
        self.workloads.remove(&vm);
    }
}

/// Estimated slowdown of classes by kinds.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    added_slowdowns: HashMap<(CompactString, CompactString), f64>,
    baseline_tail_ms: HashMap<CompactString, f64>,
}

impl InterferenceModel {
    /// Returns the slowdown that `kind` adds to `class` if `kind` uses all processors of the VM.
    pub fn added_slowdown(&self, class: &str, kind: &str) -> f64 {
        self.added_slowdowns.get(&(class.into(), kind.into())).copied().unwrap_or(0.0)
    }

    /// Returns the tail of `class` without interference, once it is known.
    pub fn baseline_tail_ms(&self, class: &str) -> Option<f64> {
        self.baseline_tail_ms.get(class).copied()
    }

    /// Returns the expected slowdown of `class` beside `kinds`; 1 is none.
    pub fn slowdown(&self, class: &str, kinds: &[(CompactString, f64)]) -> f64 {
        1.0 + kinds
            .iter()
            .map(|(kind, share)| self.added_slowdown(class, kind) * share)
            .sum::<f64>()
    }

    /// Learns from a tail of `class` that was measured beside `kinds`.
    pub fn observe(&mut self, class: &str, tail_ms: f64, kinds: &[(CompactString, f64)]) {
        let predicted = self.slowdown(class, kinds);
        let baseline_tail_ms =
            self.baseline_tail_ms.entry(class.into()).or_insert(tail_ms / predicted);
        // The baseline mainly follows reports without other kinds, and those below the baseline.
        let isolated_tail_ms = tail_ms / predicted;
        let baseline_gain = if kinds.is_empty() || isolated_tail_ms < *baseline_tail_ms {
            GAIN
        } else {
            GAIN / 10.0
        };
        *baseline_tail_ms += (isolated_tail_ms - *baseline_tail_ms) * baseline_gain;
        let error = (tail_ms / baseline_tail_ms.max(0.01)).min(20.0) - predicted;
        let power: f64 = kinds.iter().map(|(_, share)| share * share).sum();
        if power <= 0.0 {
            return;
        }
        // Normalized least mean squares: attributes the error to each kind in proportion to its
        // share.
        for (kind, share) in kinds {
            let key = (class.into(), kind.clone());
            // A full table learns on about the pairs that it has.
            if PAIRS_MAX <= self.added_slowdowns.len() && !self.added_slowdowns.contains_key(&key) {
                continue;
            }
            let it = self.added_slowdowns.entry(key).or_insert(0.0);
            *it = (*it + GAIN * error * share / power).clamp(0.0, 50.0);
        }
    }
}
