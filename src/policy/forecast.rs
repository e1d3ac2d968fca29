//! Forecasts run times from those of earlier tasks of the same kind, since declared run times are
//! often far off.
//!
//! The ratio of actual to declared run time is taken as log-normal for each kind of task. The
//! spread is part of the forecast: a decision that waits for a task has to know how late it may end.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Weight of the newest observation once a kind is well known.
const GAIN: f64 = 0.05;

/// Standard deviation of the logarithm of the ratio for an unknown kind: two thirds of declared run
/// times are within a factor of 1.6.
const PRIOR_SPREAD: f64 = 0.5;

/// Observations that the prior counts for.
const PRIOR_OBSERVATIONS: f64 = 4.0;

/// Largest logarithm of a ratio, in either direction: a factor of 100.
const LOG_RATIO_MAX: f64 = 4.6;

/// Kinds of tasks that are kept. Clients choose images freely.
const KINDS_MAX: usize = 4_096;

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

    /// Returns the natural logarithm of a run time over the median, in standard deviations.
    pub fn score_of(self, run_ms: u64) -> f64 {
        ((run_ms.max(1) as f64).ln() - self.log_median_ms) / self.spread
    }

    /// Returns the standard deviation of the natural logarithm of the run time.
    pub fn spread(self) -> f64 {
        self.spread
    }

    fn at_score_ms(self, score: f64) -> u64 {
        ((self.log_median_ms + score * self.spread).exp() as u64).max(1)
    }
}

#[derive(Clone, Copy, Debug)]
struct LogRatio {
    mean: f64,
    variance: f64,
    observations: u32,
}

/// Learned ratios of actual to declared run times, by kind of task.
#[derive(Clone, Debug, Default)]
pub struct RunTimeModel {
    ratios: BTreeMap<TaskKind, LogRatio>,
}

impl RunTimeModel {
    /// Continues with what an earlier leader has learned.
    pub fn with_learned(learned: &[LearnedRunTime]) -> RunTimeModel {
        let ratio = |it: &LearnedRunTime| {
            let kind = TaskKind { queue: it.queue.clone(), image: it.image.clone() };
            let ratio = LogRatio {
                mean: it.log_ratio.into(),
                variance: it.log_variance.into(),
                observations: it.observations,
            };
            (kind, ratio)
        };
        RunTimeModel { ratios: learned.iter().map(ratio).collect() }
    }

    /// Returns what was learned, for the next leader.
    pub fn learned(&self) -> Vec<LearnedRunTime> {
        let learned = |(kind, it): (&TaskKind, &LogRatio)| LearnedRunTime {
            queue: kind.queue.clone(),
            image: kind.image.clone(),
            log_ratio: it.mean as f32,
            log_variance: it.variance as f32,
            observations: it.observations,
        };
        self.ratios.iter().map(learned).collect()
    }

    /// Records that a task with the declared run time `declared_ms` ran for `run_ms`.
    pub fn observe(&mut self, kind: TaskKind, declared_ms: u64, run_ms: u64) {
        if KINDS_MAX <= self.ratios.len() && !self.ratios.contains_key(&kind) {
            return;
        }
        let log_ratio = (run_ms.max(1) as f64 / declared_ms.max(1) as f64)
            .ln()
            .clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        let prior = LogRatio { mean: 0.0, variance: PRIOR_SPREAD * PRIOR_SPREAD, observations: 0 };
        let it = self.ratios.entry(kind).or_insert(prior);
        it.observations = it.observations.saturating_add(1);
        let gain = GAIN.max(1.0 / (f64::from(it.observations) + PRIOR_OBSERVATIONS));
        let error = log_ratio - it.mean;
        it.mean += error * gain;
        it.variance = (1.0 - gain) * (it.variance + gain * error * error);
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
        match self.ratios.get(kind) {
            Some(it) => RunTimeForecast {
                log_median_ms: log_declared_ms + it.mean,
                spread: it.variance.sqrt(),
            },
            None => RunTimeForecast { log_median_ms: log_declared_ms, spread: PRIOR_SPREAD },
        }
    }
}
