//! Forecasts run times from those of earlier tasks of the same kind, since declared run times are
//! often far off.
//!
//! The ratio of actual to declared run time is taken as log-normal for each kind of task. The
//! spread is part of the forecast: a decision that waits for a task has to know how late it may end.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Maximum weight of past observations: with a bound, the median follows a kind that changes.
const WEIGHT_MAX: f64 = 36.0;

/// Spread of an unknown kind: two thirds of declared run times are within a factor of 1.6.
const PRIOR_SPREAD: f64 = 0.5;

/// Observations that the prior counts for.
const PRIOR_WEIGHT: f64 = 4.0;

/// Bounds of the spread. The least one is that of tasks that differ only in when they are started.
const SPREAD_MIN: f64 = 0.02;
const SPREAD_MAX: f64 = 3.0;

/// Deviation, in spreads, from which an observation counts no further for the median: a few tasks
/// stall and say nothing of the others.
const DEVIATION_MAX: f64 = 2.5;

/// Gain of the spread at each observation: the first divided by the number of observations to the
/// power of 1.5, and at least the second.
const SPREAD_GAIN_MIN: f64 = 0.1;
const SPREAD_GAIN_FIRST: f64 = 4.0;

/// Probability with which a task ends by [`RunTimeForecast::late_ms`].
const LATE_PROBABILITY: f64 = 0.9;

/// Share of tasks that take [`STALL_FACTOR`] times as long as others of their kind. A step with many
/// tasks likely has one, and the spread of single tasks does not show it.
const STALL_SHARE: f64 = 0.03;
const STALL_FACTOR: f64 = 7.0;

/// Time after which an observation counts half: images are replaced within hours.
const HALF_LIFE_MS: f64 = 600_000.0;

/// Weight below which a kind is forgotten.
const WEIGHT_MIN: f64 = 0.5;

/// Largest logarithm of a ratio, in either direction: a factor of 100.
const LOG_RATIO_MAX: f64 = 4.6;

/// Kinds of tasks that are kept. Clients choose images freely, and all kinds are written to the log
/// every few seconds.
const KINDS_MAX: usize = 512;

/// Standard score of the 90th percentile of a normal distribution.
const SCORE_OF_90_PERCENT: f64 = 1.2816;

/// A kind of task whose run times are learned together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKind {
    pub queue: CompactString,
    /// Empty for tasks without an image.
    pub image: CompactString,
}

/// The forecast run time of one task on a worker of normal speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeForecast {
    log_median_ms: f64,
    spread: f64,
}

impl RunTimeForecast {
    /// Returns the run time that half of such tasks exceed.
    pub fn median_ms(self) -> u64 {
        self.at_score_ms(0.0)
    }

    /// Returns the run time that one in ten such tasks exceeds.
    pub fn late_ms(self) -> u64 {
        self.at_score_ms(SCORE_OF_90_PERCENT)
    }

    /// Returns the run time within which all of `tasks` such tasks, begun together, end with a
    /// probability of `probability`.
    pub fn all_end_ms(self, tasks: u32, probability: f64) -> u64 {
        let of_each = probability.powf(1.0 / f64::from(tasks.max(1)));
        let usual = 1.0 - STALL_SHARE;
        match of_each <= usual {
            true => self.at_score_ms(standard_score(of_each)),
            false => {
                let stalled = (of_each - usual) / STALL_SHARE;
                let stalled_ms = self.at_score_ms(standard_score(stalled)) as f64 * STALL_FACTOR;
                self.at_score_ms(standard_score(usual)).max(stalled_ms as u64)
            }
        }
    }

    /// Returns the natural logarithm of a run time over the median, in standard deviations.
    pub fn score_of(self, run_ms: u64) -> f64 {
        ((run_ms.max(1) as f64).ln() - self.log_median_ms) / self.spread
    }

    /// Returns the standard deviation of the natural logarithm of the run time.
    pub fn spread(self) -> f64 {
        self.spread
    }

    fn at_score_ms(self, score: f64) -> u64 {
        ((self.log_median_ms + score * self.spread).exp().round() as u64).max(1)
    }
}

/// What is known of the logarithm of the ratio of actual to declared run times of a kind.
#[derive(Clone, Copy, Debug)]
struct LogRatio {
    median: f64,
    /// Distance of the 90th percentile from the median, over that of a normal distribution.
    spread: f64,
    /// Number of observations, after decay.
    weight: f64,
}

impl LogRatio {
    const UNKNOWN: LogRatio = LogRatio { median: 0.0, spread: PRIOR_SPREAD, weight: 0.0 };

    /// Corrects the median, and the spread such that nine in ten observations are below the 90th
    /// percentile, whatever their distribution (Gibbs and Candès, *Adaptive conformal inference
    /// under distribution shift*, 2021).
    fn observe(&mut self, log_ratio: f64) {
        self.weight = (self.weight + 1.0).min(WEIGHT_MAX);
        let known = self.weight + PRIOR_WEIGHT;
        let deviation = (log_ratio - self.median) / self.spread;
        let is_late = SCORE_OF_90_PERCENT < deviation;
        let miss = f64::from(u8::from(is_late)) - (1.0 - LATE_PROBABILITY);
        let gain = SPREAD_GAIN_MIN.max(SPREAD_GAIN_FIRST / known / known.sqrt());
        self.median += deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX) * self.spread / known;
        self.spread = (self.spread * (gain * miss).exp()).clamp(SPREAD_MIN, SPREAD_MAX);
    }
}

/// Errors of the forecasts since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastErrors {
    pub observations: u32,
    /// Tasks that ended later than [`RunTimeForecast::late_ms`].
    pub late: u32,
    /// Sum of the absolute natural logarithms of run times over their forecast medians.
    pub absolute_log_sum: f64,
}

/// Learned ratios of actual to declared run times, by kind of task.
#[derive(Clone, Debug, Default)]
pub struct RunTimeModel {
    ratios: BTreeMap<TaskKind, LogRatio>,
    errors: ForecastErrors,
}

impl RunTimeModel {
    /// Continues with what an earlier leader has learned.
    pub fn with_learned(learned: &[LearnedRunTime]) -> RunTimeModel {
        let ratio = |it: &LearnedRunTime| {
            let kind = TaskKind { queue: it.queue.clone(), image: it.image.clone() };
            let ratio = LogRatio {
                median: it.log_ratio.into(),
                spread: f64::from(it.log_variance).sqrt().clamp(SPREAD_MIN, SPREAD_MAX),
                weight: it.observations.into(),
            };
            (kind, ratio)
        };
        let ratios = learned.iter().map(ratio).collect();
        RunTimeModel { ratios, errors: ForecastErrors::default() }
    }

    /// Returns what was learned, for the next leader.
    pub fn learned(&self) -> Vec<LearnedRunTime> {
        let learned = |(kind, it): (&TaskKind, &LogRatio)| LearnedRunTime {
            queue: kind.queue.clone(),
            image: kind.image.clone(),
            log_ratio: it.median as f32,
            log_variance: (it.spread * it.spread) as f32,
            observations: it.weight.round() as u32,
        };
        self.ratios.iter().map(learned).collect()
    }

    /// Records that a task with the declared run time `declared_ms` ran for `run_ms`.
    pub fn observe(&mut self, kind: TaskKind, declared_ms: u64, run_ms: u64) {
        let forecast = self.forecast(&kind, declared_ms);
        self.errors.observations += 1;
        self.errors.late += u32::from(forecast.late_ms() < run_ms);
        self.errors.absolute_log_sum += (forecast.score_of(run_ms) * forecast.spread()).abs();
        if KINDS_MAX <= self.ratios.len() && !self.ratios.contains_key(&kind) {
            self.forget_least_known();
        }
        let log_ratio = (run_ms.max(1) as f64 / declared_ms.max(1) as f64)
            .ln()
            .clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        self.ratios.entry(kind).or_insert(LogRatio::UNKNOWN).observe(log_ratio);
    }

    /// Lets what was learned count less, after `elapsed_ms`.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let factor = (-std::f64::consts::LN_2 * elapsed_ms as f64 / HALF_LIFE_MS).exp();
        self.ratios.values_mut().for_each(|it| it.weight *= factor);
        self.ratios.retain(|_, it| WEIGHT_MIN <= it.weight);
    }

    /// Returns the errors since the last call.
    pub fn take_errors(&mut self) -> ForecastErrors {
        std::mem::take(&mut self.errors)
    }

    fn forget_least_known(&mut self) {
        let least = self.ratios.iter().min_by(|a, b| a.1.weight.total_cmp(&b.1.weight));
        if let Some(kind) = least.map(|(kind, _)| kind.clone()) {
            self.ratios.remove(&kind);
        }
    }

    /// Returns the forecast for a task with the declared run time `declared_ms`.
    ///
    /// ```
    /// use aspenrail::policy::forecast::{RunTimeModel, TaskKind};
    ///
    /// let kind = TaskKind { queue: "reports".into(), image: "".into() };
    /// let mut model = RunTimeModel::default();
    /// assert_eq!(model.forecast(&kind, 1_000).median_ms(), 1_000);
    /// (0..100).for_each(|_| model.observe(kind.clone(), 1_000, 3_000));
    /// assert!(2_700 < model.forecast(&kind, 1_000).median_ms());
    /// ```
    pub fn forecast(&self, kind: &TaskKind, declared_ms: u64) -> RunTimeForecast {
        let log_declared_ms = (declared_ms.max(1) as f64).ln();
        let it = self.ratios.get(kind).copied().unwrap_or(LogRatio::UNKNOWN);
        RunTimeForecast { log_median_ms: log_declared_ms + it.median, spread: it.spread }
    }
}

/// Returns the standard score below which a normal distribution has `probability` (Abramowitz and
/// Stegun, *Handbook of mathematical functions*, 26.2.23).
fn standard_score(probability: f64) -> f64 {
    let probability = probability.clamp(1e-9, 1.0 - 1e-9);
    let t = (-2.0 * probability.min(1.0 - probability).ln()).sqrt();
    let numerator = 2.515_517 + 0.802_853 * t + 0.010_328 * t * t;
    let denominator = 1.0 + 1.432_788 * t + 0.189_269 * t * t + 0.001_308 * t * t * t;
    let score = t - numerator / denominator;
    if probability < 0.5 { -score } else { score }
}
