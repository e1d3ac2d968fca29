//! How much kinds of work slow each other down, learned from reports that lag.
//!
//! The model is a sum: a class's answer time on a VM, relative to its usual one, is one plus a
//! share for each kind that runs beside it. A report is credited to what ran there when it was
//! measured, not to what runs there now.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;

/// Step of the estimate towards a new observation.
const GAIN: f64 = 0.15;

/// How long a VM's past is kept, in ms; older reports are dropped.
const PAST_MS: u64 = 120_000;

/// Pairs remembered.
const PAIRS_MAX: usize = 100_000;

/// What ran beside each other on one VM from some time on.
#[derive(Clone, Debug, PartialEq)]
struct Scene {
    since_ms: u64,
    kinds: Vec<(CompactString, f64)>,
}

/// The recent past of the VMs.
#[derive(Clone, Debug, Default)]
pub struct WorkloadHistory {
    scenes: HashMap<VmId, VecDeque<Scene>>,
}

impl WorkloadHistory {
    /// Notes what runs on a VM from now on: kinds with their share of its processors.
    pub fn record(&mut self, vm: VmId, now_ms: u64, kinds: Vec<(CompactString, f64)>) {
        let list = self.scenes.entry(vm).or_default();
        list.push_back(Scene { since_ms: now_ms, kinds });
        // The last scene that began before the horizon still covers it.
        while 1 < list.len() && list[1].since_ms + PAST_MS < now_ms {
            list.pop_front();
        }
    }

    /// Returns what ran on a VM at a time.
    pub fn kinds_at(&self, vm: VmId, at_ms: u64) -> &[(CompactString, f64)] {
        let list = self.scenes.get(&vm);
        let found = list.and_then(|it| it.iter().rev().find(|it| it.since_ms <= at_ms));
        found.map_or(&[], |it| it.kinds.as_slice())
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: VmId) {
        self.scenes.remove(&vm);
    }
}

/// Estimated slow-down of classes by kinds.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    harm: HashMap<(CompactString, CompactString), f64>,
    baseline_tail_ms: HashMap<CompactString, f64>,
}

impl InterferenceModel {
    /// Returns the harm that a full VM's worth of `kind` does to `class`.
    pub fn added_slowdown(&self, class: &str, kind: &str) -> f64 {
        self.harm.get(&(class.into(), kind.into())).copied().unwrap_or(0.0)
    }

    /// Returns the tail of `class` with nothing harmful beside it, once it is known.
    pub fn baseline_tail_ms(&self, class: &str) -> Option<f64> {
        self.baseline_tail_ms.get(class).copied()
    }

    /// Returns the slow-down of `class` to expect beside `kinds`.
    pub fn slowdown(&self, class: &str, kinds: &[(CompactString, f64)]) -> f64 {
        1.0 + kinds
            .iter()
            .map(|(kind, share)| self.added_slowdown(class, kind) * share)
            .sum::<f64>()
    }

    /// Learns the tail of `class` measured beside `kinds`.
    pub fn observe(&mut self, class: &str, tail_ms: f64, kinds: &[(CompactString, f64)]) {
        let predicted = self.slowdown(class, kinds);
        let baseline_tail_ms =
            self.baseline_tail_ms.entry(class.into()).or_insert(tail_ms / predicted);
        // The usual time follows reports from VMs where nothing else is thought to harm.
        let alone_ms = tail_ms / predicted;
        let usual_gain =
            if kinds.is_empty() || alone_ms < *baseline_tail_ms { GAIN } else { GAIN / 10.0 };
        *baseline_tail_ms += (alone_ms - *baseline_tail_ms) * usual_gain;
        let error = (tail_ms / baseline_tail_ms.max(0.01)).min(20.0) - predicted;
        let power: f64 = kinds.iter().map(|(_, share)| share * share).sum();
        if power <= 0.0 || PAIRS_MAX <= self.harm.len() {
            return;
        }
        // Normalised least mean squares: each kind is credited in proportion to its share.
        for (kind, share) in kinds {
            let it = self.harm.entry((class.into(), kind.clone())).or_insert(0.0);
            *it = (*it + GAIN * error * share / power).clamp(0.0, 50.0);
        }
    }
}
