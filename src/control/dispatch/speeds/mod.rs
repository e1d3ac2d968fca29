//! Learns from reported runs which workers are slow.

mod leader;
mod observe;
mod run_pace;
mod siblings;
mod slow_runs;

use std::collections::BTreeMap;

use crate::{
    control::{dispatch::Features, state::Workflows},
    policy::{disruption::STOP_INTERVAL_MS, forecast::TaskKind},
    prelude::*,
};

use self::{
    run_pace::{Expectation, RunPace},
    siblings::Siblings,
};

/// Time without evidence after which one task is placed on a slow worker as if it were normal. A
/// probe delays its task by about a second, until its pace is known and it is moved, so a worker is
/// probed for a third of the time.
const PROBE_AFTER_MS: u64 = 2_000;

/// Time without evidence after which a worker is no longer taken as slow.
const FORGET_AFTER_MS: u64 = 10_000;

/// Probability of being slow from which nothing is learned from a worker about images and run times.
const SUSPECTED_PROBABILITY: f64 = 0.1;

/// Time for which queues of serving tasks drain after their worker was slow.
const DRAIN_MS: u64 = 2_000;

/// Least variance of an estimate that is passed on, so that it never counts as certain.
const VARIANCE_MIN: f64 = 0.01;

/// What is known of a worker that is taken as slow.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SlowWorker {
    log_slowdown: f64,
    log_variance: f64,
    since_ms: u64,
    /// Time of the newest evidence.
    observed_ms: u64,
    /// The same by the log's clock.
    observed_wall_ms: u64,
}

/// How a worker's speed affects placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SpeedClass {
    /// 0 for workers of normal speed; larger ones are slower.
    pub slowness: u8,
    /// Whether the next task there is a probe, which is placed as if the worker were normal.
    pub is_probe_due: bool,
}

impl SpeedClass {
    pub(super) fn is_slow(self) -> bool {
        0 < self.slowness
    }

    /// Returns the share of its full speed that a task reaches.
    pub(super) fn speed_share(self) -> f64 {
        match self.is_slow() && !self.is_probe_due {
            true => 1.0 / f64::from(self.slowness.max(1)),
            false => 1.0,
        }
    }

    /// Returns the class by which workers are ordered for a task. One that lasts is no probe.
    pub(super) fn rank(self, is_lasting: bool) -> u8 {
        if self.is_probe_due && !is_lasting { 0 } else { self.slowness }
    }
}

#[derive(Clone, Debug, Default)]
struct WorkerEvidence {
    /// Runs in the newest report, and those that ended lately.
    paces: BTreeMap<RunRef, RunPace>,
    slow: Option<SlowWorker>,
    /// Probability that the worker is slow, by its newest report.
    slow_probability: f64,
    /// Time of the last probe.
    probed_ms: u64,
    /// Time until which queues of the time when it was slow may drain.
    draining_until_ms: u64,
}

/// The speeds of all workers, and the paces that they follow from.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    workers: BTreeMap<WorkerId, WorkerEvidence>,
    steps: BTreeMap<StepRef, Siblings>,
    kinds: BTreeMap<TaskKind, u32>,
    last_kind: u32,
    by_kind: BTreeMap<u32, Siblings>,
    /// Times of the last stops of tasks on slow workers.
    last_stops_ms: BTreeMap<TaskRef, u64>,
}

impl WorkerSpeeds {
    /// Continues with what an earlier leader has learned.
    pub(super) fn take_over(features: Features, workflows: &Workflows, now: Now) -> WorkerSpeeds {
        let mut res = WorkerSpeeds::default();
        if !features.worker_speeds {
            return res;
        }
        for it in workflows.demand().speeds() {
            let age_ms = now.wall_ms.saturating_sub(it.observed_ms);
            if FORGET_AFTER_MS <= age_ms || workflows.workers().get(it.worker).is_none() {
                continue;
            }
            let observed_ms = now.mono_ms.saturating_sub(age_ms);
            let slow = SlowWorker {
                log_slowdown: it.log_slowdown.into(),
                log_variance: it.log_variance.into(),
                since_ms: observed_ms,
                observed_ms,
                observed_wall_ms: it.observed_ms,
            };
            res.workers.entry(it.worker).or_default().slow = Some(slow);
        }
        res
    }

    /// Returns the slow workers, for the next leader.
    pub(super) fn learned(&self) -> Vec<WorkerSpeed> {
        let learned = |(id, it): (&WorkerId, &WorkerEvidence)| {
            let slow = it.slow?;
            Some(WorkerSpeed {
                worker: *id,
                log_slowdown: slow.log_slowdown as f32,
                log_variance: slow.log_variance as f32,
                observed_ms: slow.observed_wall_ms,
            })
        };
        self.workers.iter().filter_map(learned).collect()
    }

    pub(super) fn is_slow(&self, id: WorkerId) -> bool {
        self.workers.get(&id).is_some_and(|it| it.slow.is_some())
    }

    /// Returns whether what is measured on a worker holds for workers of normal speed.
    pub(super) fn is_of_normal_speed(&self, id: WorkerId, now_ms: u64) -> bool {
        self.workers.get(&id).is_none_or(|it| {
            it.slow.is_none()
                && it.slow_probability < SUSPECTED_PROBABILITY
                && it.draining_until_ms <= now_ms
        })
    }

    /// Returns how a worker's speed affects placement.
    pub(super) fn class_of(&self, id: WorkerId, now_ms: u64) -> SpeedClass {
        let evidence = self.workers.get(&id);
        let Some((slow, probed_ms)) = evidence.and_then(|it| Some((it.slow?, it.probed_ms))) else {
            return SpeedClass::default();
        };
        SpeedClass {
            slowness: (slow.log_slowdown.exp().round() as u8).max(1),
            is_probe_due: slow.observed_ms.max(probed_ms) + PROBE_AFTER_MS <= now_ms,
        }
    }

    /// Notes the runs of a plan that are probes.
    pub(super) fn note_probes(&mut self, runs: &[RunPlacement], now_ms: u64) {
        for it in runs {
            if self.class_of(it.worker, now_ms).is_probe_due
                && let Some(evidence) = self.workers.get_mut(&it.worker)
            {
                evidence.probed_ms = now_ms;
            }
        }
    }

    pub(super) fn drop(&mut self, id: WorkerId) {
        self.workers.remove(&id);
    }

    /// Forgets what is too old to be used.
    fn forget_old(&mut self, workflows: &Workflows, now_ms: u64) {
        self.workers.retain(|id, _| workflows.workers().get(*id).is_some());
        self.steps.retain(|_, it| !it.is_stale(now_ms));
        self.by_kind.retain(|_, it| !it.is_stale(now_ms));
        self.last_stops_ms.retain(|_, it| now_ms < *it + STOP_INTERVAL_MS);
        for it in self.workers.values_mut() {
            it.slow = it.slow.filter(|it| now_ms < it.observed_ms + FORGET_AFTER_MS);
        }
    }
}
