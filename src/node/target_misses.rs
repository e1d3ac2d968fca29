//! Spells for which serving tasks miss their latency targets beside best-effort tasks (fillers).

use std::collections::BTreeMap;

use crate::{policy::throttling::ServingReading, prelude::*};

/// Headroom below which a task misses its target.
const BOUND_PERCENT: f64 = 100.0;

/// A spell ends once no reading of this time missed the target: four readings, so that one alone
/// does not split it.
const MET_FOR_MS: u64 = 1_000;

/// Spells below this share of the allowed time are not logged.
const LOGGED_DIVISOR: u64 = 4;

/// What fillers did at the time of a reading.
#[derive(Clone, Copy, Debug)]
pub(super) struct FillerActivity {
    /// Cores that they used together.
    pub cores: f64,
    /// Highest speed that was ordered, in percent.
    pub speed_max_percent: u32,
    /// Fillers whose speed on the worker is not known for certain.
    pub doubtful_speeds: usize,
}

/// A spell in which a task missed its target.
#[derive(Clone, Copy, Debug)]
struct TargetMiss {
    began_ms: u64,
    last_missed_ms: u64,
    missed_readings: u32,
    met_readings: u32,
    least_headroom_percent: f64,
    filler_cores_max: f64,
    speed_max_percent: u32,
    doubtful_speeds_max: usize,
}

impl TargetMiss {
    fn new(now_ms: u64) -> TargetMiss {
        TargetMiss {
            began_ms: now_ms,
            last_missed_ms: now_ms,
            missed_readings: 0,
            met_readings: 0,
            least_headroom_percent: f64::MAX,
            filler_cores_max: 0.0,
            speed_max_percent: 0,
            doubtful_speeds_max: 0,
        }
    }

    fn add(&mut self, headroom_percent: f64, fillers: FillerActivity, now_ms: u64) {
        if BOUND_PERCENT <= headroom_percent {
            self.met_readings += 1;
            return;
        }
        self.missed_readings += 1;
        self.last_missed_ms = now_ms;
        self.least_headroom_percent = self.least_headroom_percent.min(headroom_percent);
        self.filler_cores_max = self.filler_cores_max.max(fillers.cores);
        self.speed_max_percent = self.speed_max_percent.max(fillers.speed_max_percent);
        self.doubtful_speeds_max = self.doubtful_speeds_max.max(fillers.doubtful_speeds);
    }
}

/// The spells of the serving tasks on one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetMisses {
    spells: BTreeMap<RunRef, TargetMiss>,
}

impl TargetMisses {
    /// Records the readings of all serving tasks, and logs each spell that has ended.
    pub(super) fn observe(
        &mut self,
        worker: &CompactString,
        serving: &[ServingReading],
        fillers: FillerActivity,
        harm_max_ms: u64,
        now_ms: u64,
    ) {
        for it in serving {
            let is_missed = it.headroom_percent < BOUND_PERCENT && 0.0 < fillers.cores;
            if is_missed || self.spells.contains_key(&it.run) {
                let spell = self.spells.entry(it.run).or_insert_with(|| TargetMiss::new(now_ms));
                spell.add(it.headroom_percent, fillers, now_ms);
            }
        }
        let has_ended = |run: &RunRef, it: &mut TargetMiss| {
            it.last_missed_ms + MET_FOR_MS < now_ms || !serving.iter().any(|it| it.run == *run)
        };
        for (run, it) in self.spells.extract_if(.., has_ended) {
            let missed_ms = it.last_missed_ms - it.began_ms;
            if missed_ms < harm_max_ms / LOGGED_DIVISOR {
                continue;
            }
            let run = crate::control::dispatch::run_name(run);
            tracing::info!(event = "target_missed", worker = %worker, run = %run, missed_ms, missed_readings = it.missed_readings, met_readings = it.met_readings, least_headroom_percent = it.least_headroom_percent as u64, filler_cores_max = it.filler_cores_max as u64, speed_max_percent = it.speed_max_percent, doubtful_speeds_max = it.doubtful_speeds_max);
        }
    }
}
