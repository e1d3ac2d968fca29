//! Speed limits of best-effort tasks (fillers) beside serving tasks.
//!
//! Each serving task has a headroom (see `policy/contention/`), of which each filler uses an amount
//! in proportion to its speed. The throttler adds the headroom that fillers used to the measured
//! one, extrapolates its fall, and admits the fillers with the lowest costs up to a margin above
//! the bound. If a task stays over its bound, the fillers known to use its headroom are suspended,
//! and later all fillers, since the estimated costs must then be wrong.

use std::collections::HashMap;

use crate::prelude::*;

/// Headroom to leave to a serving task: a tail of 91 % of its bound. The margin covers loads that
/// rise faster than readings show.
const TARGET_PERCENT: f64 = 110.0;

/// Headroom below which a task is over its bound.
const BOUND_PERCENT: f64 = 100.0;

/// Age of a reading when a speed limit derived from it takes effect: half of the 0.5 s over which
/// it is measured, one call, and 0.1 s for the worker to apply the limit.
const REACTION_DELAY_MS: f64 = 500.0;

/// Fastest fall of the headroom to extrapolate, in percent per second. A service that goes from
/// idle to full load within four seconds falls more slowly.
const FALL_MAX_PERCENT: f64 = 120.0;

/// Weight of the newest change in the moving average of the fall.
const FALL_GAIN: f64 = 0.4;

/// Largest raise at once of a filler with a relevant cost, in percent of its full speed.
const RAISE_MAX_PERCENT: u32 = 40;

/// Speeds are rounded down to multiples of this, so that noise does not change them.
const STEP_PERCENT: u32 = 10;

/// Time before a tail reading in which load affects it: the 0.5 s over which it is measured, and
/// some queueing before. Over 20,000 readings of 69 VMs, the usage of fillers in the preceding
/// 700 ms explains 29 % of the differences between sibling tasks; their usage at the time of the
/// reading, without fillers that have just ended, explains 17 %.
const TAIL_WINDOW_MS: u64 = 700;

/// Readings below this share of the expected usage are used as measured. Others count as the
/// expected usage, since readings of a filler at full speed scatter between two thirds and 1.1 of
/// it.
const MEASURED_SHARE_MAX: f64 = 0.6;

/// Headroom that a filler at full speed may use of a task without being throttled: less than
/// a single reading can show.
pub const NEGLIGIBLE_COST_PERCENT: f64 = 10.0;

/// Divisor of `harm_max_ms`: a task over its bound for this part of it suspends the fillers that
/// use its headroom. The effect of a suspension shows 0.5 s later.
const SUSPEND_RELEVANT_DIVISOR: u64 = 4;

/// The same for the suspension of all fillers, since the estimated costs must be wrong.
const SUSPEND_ALL_DIVISOR: u64 = 2;

/// Time for which all fillers are then suspended: two readings that do not overlap.
const SUSPENSION_MS: u64 = 1_000;

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

/// Mean processor usage of a filler over the time that affects a tail reading.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CpuUsageWindow {
    pub cores: f64,
    intervals: Vec<UsageInterval>,
    at_ms: u64,
}

/// An interval of constant processor usage.
#[derive(Clone, Copy, Debug, PartialEq)]
struct UsageInterval {
    start_ms: u64,
    end_ms: u64,
    cores: f64,
}

impl CpuUsageWindow {
    /// Creates the window of a filler that starts now; the default is one that started long ago.
    pub fn starting_at(now_ms: u64) -> CpuUsageWindow {
        CpuUsageWindow { at_ms: now_ms, ..CpuUsageWindow::default() }
    }

    /// Records a noisy reading, given the expected usage at the speed that was ordered.
    pub fn observe(&mut self, read_cores: f64, expected_cores: f64, now_ms: u64) {
        let is_short_of_cpu = read_cores < expected_cores * MEASURED_SHARE_MAX;
        let cores = if is_short_of_cpu { read_cores } else { expected_cores };
        self.intervals.push(UsageInterval { start_ms: self.at_ms, end_ms: now_ms, cores });
        self.at_ms = now_ms;
        self.expire(now_ms);
    }

    /// Advances the window without a reading, as after the filler has ended.
    pub fn expire(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(TAIL_WINDOW_MS);
        self.intervals.retain(|it| since_ms < it.end_ms);
        let used = |it: &UsageInterval| {
            it.end_ms.saturating_sub(it.start_ms.max(since_ms)) as f64 * it.cores
        };
        self.cores = self.intervals.iter().map(used).sum::<f64>() / TAIL_WINDOW_MS as f64;
    }

    /// Returns whether the filler's usage may still affect tail readings.
    pub fn affects_tails(&self) -> bool {
        !self.intervals.is_empty()
    }
}

impl FillerReading {
    /// Returns the headroom that it uses of the serving task at index `at` at full speed.
    fn used_percent(&self, at: usize) -> f64 {
        self.core_costs_percent[at] * self.full_speed_cores
    }
}

/// The headroom of one serving task over time.
#[derive(Clone, Copy, Debug)]
struct HeadroomTrack {
    idle_headroom_percent: f64,
    fall_percent_per_s: f64,
    at_ms: u64,
    over_since_ms: Option<u64>,
}

impl HeadroomTrack {
    fn new(idle_headroom_percent: f64, now_ms: u64) -> HeadroomTrack {
        HeadroomTrack {
            idle_headroom_percent,
            fall_percent_per_s: 0.0,
            at_ms: now_ms,
            over_since_ms: None,
        }
    }

    /// Records a headroom, and how much of it fillers used.
    fn observe(&mut self, headroom_percent: f64, used_percent: f64, now_ms: u64) {
        let idle_headroom_percent = headroom_percent + used_percent;
        if self.at_ms < now_ms {
            let passed_s = (now_ms - self.at_ms) as f64 / 1_000.0;
            let fall = (self.idle_headroom_percent - idle_headroom_percent) / passed_s;
            self.fall_percent_per_s += (fall - self.fall_percent_per_s) * FALL_GAIN;
            self.idle_headroom_percent = idle_headroom_percent;
            self.at_ms = now_ms;
        }
        self.over_since_ms = match headroom_percent < BOUND_PERCENT {
            true => Some(self.over_since_ms.unwrap_or(now_ms)),
            false => None,
        };
    }

    /// Returns the headroom that fillers may use when new speeds take effect.
    fn available_percent(&self) -> f64 {
        let fall = self.fall_percent_per_s.clamp(0.0, FALL_MAX_PERCENT);
        (self.idle_headroom_percent - fall * REACTION_DELAY_MS / 1_000.0 - TARGET_PERCENT).max(0.0)
    }
}

/// The speed limits of the fillers on one worker.
#[derive(Clone, Debug)]
pub struct Throttler {
    /// Longest time for which fillers may keep a serving task over its bound.
    harm_max_ms: u64,
    tracks: HashMap<RunRef, HeadroomTrack>,
    speed_percents: HashMap<RunRef, u32>,
    suspended_until_ms: u64,
}

impl Throttler {
    /// Creates a throttler that lets fillers keep a serving task over its bound for at most
    /// `harm_max_ms` on end.
    pub fn new(harm_max_ms: u64) -> Throttler {
        Throttler {
            harm_max_ms,
            tracks: HashMap::new(),
            speed_percents: HashMap::new(),
            suspended_until_ms: 0,
        }
    }

    /// Returns the speed limit of a filler, in percent of its full speed; 0 is suspended.
    pub fn speed_percent(&self, filler: RunRef) -> u32 {
        self.speed_percents.get(&filler).copied().unwrap_or(100)
    }

    /// Records a reading of all serving tasks and fillers, and sets new speeds.
    pub fn observe(&mut self, serving: &[ServingReading], fillers: &[FillerReading], now_ms: u64) {
        self.tracks.retain(|run, _| serving.iter().any(|it| it.run == *run));
        for (at, it) in serving.iter().enumerate() {
            let used_percent: f64 =
                fillers.iter().map(|it| it.core_costs_percent[at] * it.used_cores).sum();
            let first = HeadroomTrack::new(it.headroom_percent + used_percent, now_ms);
            let track = self.tracks.entry(it.run).or_insert(first);
            track.observe(it.headroom_percent, used_percent, now_ms);
        }
        self.reallocate(serving, fillers, now_ms);
    }

    /// Distributes the headroom of the last reading again, as after another filler has started.
    pub fn reallocate(
        &mut self,
        serving: &[ServingReading],
        fillers: &[FillerReading],
        now_ms: u64,
    ) {
        let track = |it: &ServingReading| self.tracks.get(&it.run);
        let available_percents: Vec<_> = serving
            .iter()
            .map(|it| track(it).map_or(0.0, HeadroomTrack::available_percent))
            .collect();
        let over_ms = |it: &ServingReading| {
            let since_ms = self.tracks.get(&it.run).and_then(|it| it.over_since_ms);
            since_ms.map_or(0, |since_ms| now_ms - since_ms)
        };
        if serving.iter().any(|it| self.harm_max_ms / SUSPEND_ALL_DIVISOR <= over_ms(it)) {
            self.suspended_until_ms = now_ms + SUSPENSION_MS;
        }
        let over_max_ms = self.harm_max_ms / SUSPEND_RELEVANT_DIVISOR;
        let mut speeds = speeds_within(&available_percents, fillers);
        for (at, _) in serving.iter().enumerate().filter(|(_, it)| over_max_ms <= over_ms(it)) {
            let is_relevant = |it: &FillerReading| NEGLIGIBLE_COST_PERCENT < it.used_percent(at);
            let relevant = fillers.iter().zip(&mut speeds).filter(|(it, _)| is_relevant(it));
            relevant.for_each(|(_, speed)| *speed = 0.0);
        }
        if now_ms < self.suspended_until_ms {
            speeds.fill(0.0);
        }
        let speed_percents: HashMap<_, _> = fillers
            .iter()
            .zip(speeds)
            .map(|(it, wanted)| (it.run, self.step_towards(it, wanted)))
            .collect();
        self.speed_percents = speed_percents;
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
