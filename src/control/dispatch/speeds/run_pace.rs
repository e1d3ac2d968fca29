//! The pace of one run: how long it takes per progress, compared with its forecast.

use crate::prelude::*;

/// Least time over which a pace is measured. The lists of runs that nodes report are up to a
/// quarter of a second old, so that a shorter time tells little.
const WINDOW_MIN_MS: u64 = 450;

/// Standard deviation of the age of a reported list of runs.
const LIST_AGE_SPREAD_MS: f64 = 100.0;

/// Standard deviation of the time between the decision to begin a run and its actual start.
const START_SPREAD_MS: f64 = 50.0;

/// Standard deviation of a difference of two whole percentages.
const PERCENT_SPREAD: f64 = 0.6;

/// Least share of its processor that a best-effort task must get for its pace to be known.
const SHARE_MIN: f64 = 0.2;

/// Standard deviation of the logarithm of that share, which is a rough figure.
const SHARE_SPREAD: f64 = 0.25;

/// Standard deviation of the logarithm of a task's tail latency between workers of equal speed:
/// best-effort tasks beside it add to it.
const TAIL_SPREAD: f64 = 0.4;

/// Largest logarithm of a ratio that a tail latency contributes: a factor of five. Beyond it, the
/// latency follows the queue of the task and not the speed of the worker.
const TAIL_LOG_RATIO_MAX: f64 = 1.6;

/// Fall of the logarithm of a tail latency between two readings that shows a queue that drains,
/// which the tasks of a slow worker do not.
const TAIL_LOG_FALL_MIN: f64 = 0.7;

/// Standard deviation of the logarithm of a run's pace around its usual one, on a worker of constant
/// speed.
const OWN_SPREAD: f64 = 0.15;

/// Weight of the newest pace in a run's usual one.
const USUAL_GAIN: f64 = 0.3;

/// Largest deviation from its siblings at which the pace of a run may be its usual one.
const USUAL_LOG_RATIO_MAX: f64 = 0.5;

/// A pace relative to the forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pace {
    /// Natural logarithm of the time per progress over the forecast one.
    pub log_ratio: f64,
    /// Variance of its measurement.
    pub variance: f64,
    pub measured_ms: u64,
}

/// What is expected of a run on a worker of normal speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Expectation {
    /// It progresses steadily and takes `median_ms`; a best-effort task does so if it gets
    /// `millicores`.
    Ends { median_ms: f64, spread: f64, millicores: Option<u32> },
    /// It serves within a tail latency.
    Serves { target_ms: u64 },
}

#[derive(Clone, Copy, Debug)]
struct Anchor {
    percent: u32,
    time_ms: u64,
}

/// The pace of one run.
#[derive(Clone, Debug)]
pub(super) struct RunPace {
    pub kind: u32,
    pub expectation: Expectation,
    /// Progress at the begin of the time over which the pace is measured next.
    anchor: Option<Anchor>,
    pub latest: Option<Pace>,
    /// Logarithm of its ratio to the forecast while its worker was of normal speed.
    usual_log_ratio: Option<f64>,
    /// Whether the latency of a serving task has fallen since the reading before.
    is_draining: bool,
    pub percent: u32,
    pub last_report_number: u64,
}

impl RunPace {
    pub(super) fn new(kind: u32, expectation: Expectation) -> RunPace {
        RunPace {
            kind,
            expectation,
            anchor: None,
            latest: None,
            usual_log_ratio: None,
            is_draining: false,
            percent: 0,
            last_report_number: 0,
        }
    }

    /// Updates the pace from a report; returns whether it is measured anew.
    pub(super) fn observe(&mut self, task: &RunningTask, now_ms: u64) -> bool {
        self.percent = task.progress_percent;
        let newest = Anchor { percent: task.progress_percent, time_ms: now_ms };
        let anchor = *self.anchor.get_or_insert(newest);
        let window_ms = now_ms.saturating_sub(anchor.time_ms);
        if window_ms < WINDOW_MIN_MS {
            return false;
        }
        let pace = match self.expectation {
            Expectation::Serves { target_ms } => serving_pace(task.load, target_ms),
            Expectation::Ends { median_ms, millicores, .. } => {
                let percent = task.progress_percent.saturating_sub(anchor.percent);
                progress_pace(percent, window_ms, median_ms).and_then(|it| match millicores {
                    Some(millicores) => at_full_share(it, task.load, millicores),
                    None => Some(it),
                })
            }
        };
        self.anchor = Some(newest);
        let Some((log_ratio, variance)) = pace else { return false };
        let fall = self.latest.map_or(0.0, |it| it.log_ratio - log_ratio);
        self.is_draining = TAIL_LOG_FALL_MIN <= fall;
        self.latest = Some(Pace { log_ratio, variance, measured_ms: now_ms });
        true
    }

    /// Records that the run has ended after `run_ms`, which counts if it was too short for reports
    /// to show its pace.
    pub(super) fn observe_end(&mut self, run_ms: u64, now_ms: u64) -> bool {
        let Expectation::Ends { median_ms, millicores: None, .. } = self.expectation else {
            return false;
        };
        if self.latest.is_some() {
            return false;
        }
        let run_ms = run_ms.max(1) as f64;
        let variance = (START_SPREAD_MS / run_ms).powi(2);
        let log_ratio = (run_ms / median_ms).ln();
        self.latest = Some(Pace { log_ratio, variance, measured_ms: now_ms });
        true
    }

    /// Returns the deviation of the newest pace from the one expected of it by its siblings, and its
    /// variance.
    ///
    /// A run that has shown its usual pace is compared with that too: a long run is long on every
    /// worker. The smaller deviation counts, so that a change on all workers is none of this one.
    pub(super) fn deviation(&self, siblings: (f64, f64)) -> Option<(f64, f64)> {
        let pace = self.latest?;
        let usual = self.usual_log_ratio.map(|it| (it, OWN_SPREAD * OWN_SPREAD));
        let (expected, variance) = usual.filter(|it| siblings.0 < it.0).unwrap_or(siblings);
        let deviation = match (pace.log_ratio - expected, self.expectation) {
            (it, Expectation::Ends { .. }) => it,
            (_, Expectation::Serves { .. }) if self.is_draining => 0.0,
            (it, Expectation::Serves { .. }) => it.min(TAIL_LOG_RATIO_MAX),
        };
        Some((deviation, variance + pace.variance))
    }

    /// Takes the newest pace as the usual one, if it is near that of the run's siblings.
    pub(super) fn note_usual(&mut self, deviation: f64) {
        let Some(pace) = self.latest else { return };
        let ends = matches!(self.expectation, Expectation::Ends { .. });
        if ends && deviation.abs() < USUAL_LOG_RATIO_MAX {
            let usual = self.usual_log_ratio.get_or_insert(pace.log_ratio);
            *usual += (pace.log_ratio - *usual) * USUAL_GAIN;
        }
    }
}

/// Returns the logarithm of the time per progress over the forecast, and its variance.
fn progress_pace(percent: u32, window_ms: u64, median_ms: f64) -> Option<(f64, f64)> {
    // Half a percent stands for progress that is too small to be listed.
    let percent = f64::from(percent) + 0.5;
    let window_ms = window_ms as f64;
    let log_ratio = (window_ms * 100.0 / (percent * median_ms)).ln();
    let percent_error = PERCENT_SPREAD / percent;
    let time_error = LIST_AGE_SPREAD_MS / window_ms;
    Some((log_ratio, percent_error * percent_error + time_error * time_error))
}

/// Corrects the pace of a best-effort task by the processor that it got.
fn at_full_share((log_ratio, variance): (f64, f64), load: u32, need: u32) -> Option<(f64, f64)> {
    let share = (f64::from(load) / f64::from(need.max(1))).min(1.0);
    let corrected = (log_ratio + share.ln(), variance + SHARE_SPREAD * SHARE_SPREAD);
    (SHARE_MIN <= share).then_some(corrected)
}

fn serving_pace(tail_ms: u32, target_ms: u64) -> Option<(f64, f64)> {
    let log_ratio = (f64::from(tail_ms) / target_ms.max(1) as f64).ln();
    (0 < tail_ms).then_some((log_ratio, TAIL_SPREAD * TAIL_SPREAD))
}
