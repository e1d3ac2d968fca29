//! The headroom of one serving task over time.
//!
//! Readings are late, noisy and rounded. So what outlasts a reading is derived from a moving average,
//! and times over the bound are integrals, which one reading changes only a little.

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

/// Time constant of the moving average of the headroom: the time over which a reading is measured.
const AVERAGE_MS: f64 = 500.0;

/// Headroom above which a reading counts as this in the average, so that an idle time does not hide
/// a miss that follows.
const AVERAGE_MAX_PERCENT: f64 = 112.0;

/// Average headroom at and above which the missed time falls. Between it and the bound the time
/// stays as it is, since readings scatter by 5 %.
const MET_AVERAGE_PERCENT: f64 = 105.0;

/// A single reading that shows as much: three standard deviations above the bound.
const MET_PERCENT: f64 = 115.0;

/// Average headroom below which a correction begins. The miss then began some time before, about
/// the time constant of the average.
const CORRECTION_BEGIN_PERCENT: f64 = 101.0;

/// Average headroom to which a correction leads. Noise then rarely takes the task over its bound.
const SET_POINT_PERCENT: f64 = 107.0;

/// Distance from the set point at which a correction grows by the time that passes.
const FULL_RATE_PERCENT: f64 = 4.0;

/// Fastest fall of a correction near the set point. It is slower than the growth, since the effect
/// of a speed shows only after half a second.
const RELEASE_RATE_MAX: f64 = 0.3;

/// A single reading from which fillers are certainly not the cause of a miss any more.
const CLEAR_PERCENT: f64 = 135.0;

/// Fall of both times when a single reading shows that the task is within its bound.
const CLEAR_RATE: f64 = 4.0;

/// Longest time between two readings that counts.
const INTERVAL_MAX_MS: f64 = 1_000.0;

/// The headroom of one serving task over time.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadroomTrack {
    idle_headroom_percent: f64,
    fall_percent_per_s: f64,
    average_percent: f64,
    at_ms: u64,
    missed_ms: f64,
    correction_ms: f64,
    is_correcting: bool,
}

impl HeadroomTrack {
    pub(super) fn new(headroom_percent: f64, used_percent: f64, now_ms: u64) -> HeadroomTrack {
        HeadroomTrack {
            idle_headroom_percent: headroom_percent + used_percent,
            fall_percent_per_s: 0.0,
            average_percent: headroom_percent.min(AVERAGE_MAX_PERCENT),
            at_ms: now_ms,
            missed_ms: 0.0,
            correction_ms: 0.0,
            is_correcting: false,
        }
    }

    /// Records a headroom, and how much of it fillers used. Neither the missed time nor the
    /// correction exceeds `time_max_ms`.
    pub(super) fn observe(
        &mut self,
        headroom_percent: f64,
        used_percent: f64,
        time_max_ms: u64,
        now_ms: u64,
    ) {
        if now_ms <= self.at_ms {
            return;
        }
        let passed_ms = (now_ms - self.at_ms) as f64;
        self.at_ms = now_ms;
        let idle_headroom_percent = headroom_percent + used_percent;
        let fall = (self.idle_headroom_percent - idle_headroom_percent) * 1_000.0 / passed_ms;
        self.fall_percent_per_s += (fall - self.fall_percent_per_s) * FALL_GAIN;
        self.idle_headroom_percent = idle_headroom_percent;
        let gain = 1.0 - (-passed_ms / AVERAGE_MS).exp();
        self.average_percent +=
            (headroom_percent.min(AVERAGE_MAX_PERCENT) - self.average_percent) * gain;
        let counted_ms = passed_ms.min(INTERVAL_MAX_MS);
        self.missed_ms += counted_ms * self.missed_rate(headroom_percent);
        self.missed_ms = self.missed_ms.clamp(0.0, time_max_ms as f64);
        if !self.is_correcting && self.average_percent < CORRECTION_BEGIN_PERCENT {
            self.is_correcting = true;
            self.correction_ms = AVERAGE_MS;
        }
        if self.is_correcting {
            self.correction_ms += counted_ms * self.correction_rate(headroom_percent);
            self.correction_ms = self.correction_ms.clamp(0.0, time_max_ms as f64);
            self.is_correcting = 0.0 < self.correction_ms;
        }
    }

    /// Returns the growth of the missed time per time.
    fn missed_rate(&self, headroom_percent: f64) -> f64 {
        match self.average_percent {
            _ if MET_PERCENT <= headroom_percent => -CLEAR_RATE,
            it if it < BOUND_PERCENT => 1.0,
            it if it < MET_AVERAGE_PERCENT => 0.0,
            _ => -CLEAR_RATE,
        }
    }

    /// Returns the growth of the correction per time.
    fn correction_rate(&self, headroom_percent: f64) -> f64 {
        if CLEAR_PERCENT <= headroom_percent {
            return -CLEAR_RATE;
        }
        let rate = (SET_POINT_PERCENT - self.average_percent) / FULL_RATE_PERCENT;
        rate.clamp(-RELEASE_RATE_MAX, 1.0)
    }

    /// Returns the time over the bound, less the time certainly within it.
    pub(super) fn missed_ms(&self) -> f64 {
        self.missed_ms
    }

    /// Returns the integral of the distance below the set point since the last miss, as a time at
    /// its full rate.
    pub(super) fn correction_ms(&self) -> f64 {
        self.correction_ms
    }

    /// Returns the headroom that fillers may use when new speeds take effect.
    pub(super) fn available_percent(&self) -> f64 {
        let fall = self.fall_percent_per_s.clamp(0.0, FALL_MAX_PERCENT);
        (self.idle_headroom_percent - fall * REACTION_DELAY_MS / 1_000.0 - TARGET_PERCENT).max(0.0)
    }
}
