//! Speed limits of best-effort tasks (fillers) beside serving tasks.
//!
//! Each serving task has a headroom (see `policy/contention/`), of which each filler uses an amount
//! in proportion to its speed. The throttler adds the headroom that fillers used to the measured
//! one, extrapolates its fall, and admits the fillers with the lowest costs up to a margin above
//! the bound. If a task stays over its bound, the fillers known to use its headroom are suspended.
//! If that does not suffice, the estimated costs are wrong, and all fillers are slowed until the
//! task is within its bound.

mod track;
mod usage;

use std::collections::HashMap;

use self::track::HeadroomTrack;
pub use self::usage::CpuUsageWindow;
use crate::prelude::*;

/// Largest raise at once of a filler with a relevant cost, in percent of its full speed.
const RAISE_MAX_PERCENT: u32 = 40;

/// Speeds are rounded down to multiples of this, so that noise does not change them.
const STEP_PERCENT: u32 = 10;

/// Headroom that a filler at full speed may use of a task without being throttled, unless the task
/// has missed its bound for some time: less than a single reading can show.
pub const NEGLIGIBLE_COST_PERCENT: f64 = 10.0;

/// Divisor of `harm_max_ms`: a task over its bound for this part of it suspends the fillers that
/// use its headroom, and slows the others. The effect of a speed shows 0.5 s later.
const SUSPEND_RELEVANT_DIVISOR: u64 = 4;

/// The same for the suspension of all fillers. Between the two they are slowed in proportion: a
/// tail just over its bound needs only a little less.
const SUSPEND_ALL_DIVISOR: u64 = 2;

/// The newest reading of a serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingReading {
    pub run: RunRef,
    pub headroom_percent: f64,
}

/// The newest reading of a filler.
#[derive(Clone, Debug, PartialEq)]
pub struct FillerReading {
    pub run: RunRef,
    /// Cores that it would use at full speed.
    pub full_speed_cores: f64,
    /// Cores that it used over the time that tail readings cover.
    pub used_cores: f64,
    /// Headroom that one core of it uses of each serving task, in the order of the serving tasks.
    pub core_costs_percent: Vec<f64>,
}

impl FillerReading {
    /// Returns the headroom that it uses of the serving task at index `at` at full speed.
    fn used_percent(&self, at: usize) -> f64 {
        self.core_costs_percent[at] * self.full_speed_cores
    }
}

/// Shares of their full speed that fillers may have beside one serving task.
#[derive(Clone, Copy, Debug)]
struct SpeedLimits {
    /// For those that are known to use its headroom.
    relevant: f64,
    /// For the others; may be above 1.
    other: f64,
}

/// The speed limits of the fillers on one worker.
#[derive(Clone, Debug)]
pub struct Throttler {
    /// Longest time for which fillers may keep a serving task over its bound.
    harm_max_ms: u64,
    tracks: HashMap<RunRef, HeadroomTrack>,
    speed_percents: HashMap<RunRef, u32>,
}

impl Throttler {
    /// Creates a throttler that lets fillers keep a serving task over its bound for at most
    /// `harm_max_ms` on end.
    pub fn new(harm_max_ms: u64) -> Throttler {
        Throttler { harm_max_ms, tracks: HashMap::new(), speed_percents: HashMap::new() }
    }

    /// Returns the speed limit of a filler, in percent of its full speed; 0 is suspended.
    pub fn speed_percent(&self, filler: RunRef) -> u32 {
        self.speed_percents.get(&filler).copied().unwrap_or(100)
    }

    /// Records a reading of all serving tasks and fillers, and sets new speeds.
    pub fn observe(&mut self, serving: &[ServingReading], fillers: &[FillerReading], now_ms: u64) {
        self.tracks.retain(|run, _| serving.iter().any(|it| it.run == *run));
        let time_max_ms = self.harm_max_ms / SUSPEND_ALL_DIVISOR;
        for (at, it) in serving.iter().enumerate() {
            let used_percent: f64 =
                fillers.iter().map(|it| it.core_costs_percent[at] * it.used_cores).sum();
            let first = HeadroomTrack::new(it.headroom_percent, used_percent, now_ms);
            let track = self.tracks.entry(it.run).or_insert(first);
            track.observe(it.headroom_percent, used_percent, time_max_ms, now_ms);
        }
        self.reallocate(serving, fillers);
    }

    /// Distributes the headroom of the last reading again, as after another filler has started.
    pub fn reallocate(&mut self, serving: &[ServingReading], fillers: &[FillerReading]) {
        let track = |it: &ServingReading| self.tracks.get(&it.run);
        let available_percents: Vec<_> = serving
            .iter()
            .map(|it| track(it).map_or(0.0, HeadroomTrack::available_percent))
            .collect();
        let mut speeds = speeds_within(&available_percents, fillers);
        for (at, it) in serving.iter().enumerate() {
            let Some(track) = track(it) else { continue };
            let limits = self.speed_limits(track);
            for (filler, speed) in fillers.iter().zip(&mut speeds) {
                let is_relevant = NEGLIGIBLE_COST_PERCENT < filler.used_percent(at);
                *speed = speed.min(if is_relevant { limits.relevant } else { limits.other });
            }
        }
        let speed_percents: HashMap<_, _> = fillers
            .iter()
            .zip(speeds)
            .map(|(it, wanted)| (it.run, self.step_towards(it, wanted)))
            .collect();
        self.speed_percents = speed_percents;
    }

    /// Returns the speeds that fillers may have beside a task that is or was over its bound.
    fn speed_limits(&self, track: &HeadroomTrack) -> SpeedLimits {
        let suspend_relevant_ms = (self.harm_max_ms / SUSPEND_RELEVANT_DIVISOR) as f64;
        let suspend_all_ms = (self.harm_max_ms / SUSPEND_ALL_DIVISOR) as f64;
        let is_suspended = suspend_relevant_ms <= track.missed_ms();
        let remaining_ms = suspend_all_ms - track.correction_ms();
        SpeedLimits {
            relevant: if is_suspended { 0.0 } else { 1.0 },
            other: remaining_ms / (suspend_all_ms - suspend_relevant_ms),
        }
    }

    /// Returns the next speed of a filler on its way to the share `wanted`, in percent.
    fn step_towards(&self, it: &FillerReading, wanted: f64) -> u32 {
        let current_percent = self.speed_percent(it.run);
        let wanted_percent = (wanted * 100.0) as u32 / STEP_PERCENT * STEP_PERCENT;
        let is_known = self.speed_percents.contains_key(&it.run);
        let is_relevant = (0..it.core_costs_percent.len())
            .any(|at| NEGLIGIBLE_COST_PERCENT < it.used_percent(at));
        match is_known && is_relevant {
            true => wanted_percent.min(current_percent + RAISE_MAX_PERCENT),
            false => wanted_percent,
        }
    }
}

/// Returns the speed of each filler, from 0 to 1, at which the fillers exceed no serving task's
/// available headroom.
///
/// Where it would be exceeded, the fillers with the highest cost per core are slowed first, which
/// gives up the least work. Among equals the later ones are slowed first, so that the earlier ones
/// end soon.
fn speeds_within(available_percents: &[f64], fillers: &[FillerReading]) -> Vec<f64> {
    let mut speeds = vec![1.0; fillers.len()];
    for (at, available_percent) in available_percents.iter().enumerate() {
        let used = |it: &FillerReading| it.used_percent(at);
        let used: f64 = fillers.iter().zip(&speeds).map(|(it, speed)| used(it) * speed).sum();
        let mut excess = used - available_percent;
        let mut order: Vec<_> = (0..fillers.len()).collect();
        order.sort_by(|a, b| {
            let (one, other) =
                (&fillers[*a].core_costs_percent[at], &fillers[*b].core_costs_percent[at]);
            other.total_cmp(one).then(b.cmp(a))
        });
        for index in order {
            let cost = fillers[index].used_percent(at);
            if excess <= 0.0 {
                break;
            }
            if cost <= NEGLIGIBLE_COST_PERCENT {
                continue;
            }
            let cut = speeds[index].min(excess / cost);
            speeds[index] -= cut;
            excess -= cut * cost;
        }
    }
    speeds
}
