//! The feedback loop of an agent's VM under noisy reports.

use aspenrail::{
    policy::feedback::{FeedbackAction, FeedbackLoop, TailLatencyReport},
    prelude::*,
};

const SEEDS: u64 = 200;

const TARGET_MS: u64 = 200;

const REPORT_MS: u64 = 1_000;

/// Reports within which noise must not keep a step from being taken.
const REPORTS_MAX: u64 = 60;

/// Reports until the first step that is wanted, given a steady tail and readings that scatter.
fn reports_until(
    seed: u64,
    tail_ms: f64,
    feedback: &mut FeedbackLoop,
    is_wanted: fn(FeedbackAction) -> bool,
) -> Option<u64> {
    let mut random = fastrand::Rng::with_seed(seed);
    (1..=REPORTS_MAX).find(|number| {
        let deviate = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
        let tail_ms = (tail_ms * (1.0 + 0.05 * deviate)).round() as u64;
        let report = TailLatencyReport {
            tail_ms,
            unthrottled_tail_ms: tail_ms,
            target_ms: TARGET_MS,
            report_age_ms: 500,
        };
        is_wanted(feedback.observe(number * REPORT_MS, report, Some(TaskId(1))))
    })
}

#[test]
fn noise_does_not_keep_a_neighbour_unthrottled_above_the_target() {
    for seed in 0..SEEDS {
        let is_throttle = |it| matches!(it, FeedbackAction::Throttle { .. });
        let reports = reports_until(seed, 202.0, &mut FeedbackLoop::default(), is_throttle);
        assert!(reports.is_some(), "seed {seed}");
    }
}

#[test]
fn noise_does_not_keep_a_neighbour_throttled_below_the_target() {
    for seed in 0..SEEDS {
        let mut feedback = FeedbackLoop::default();
        feedback.restore_throttled(TaskId(1));
        let is_release = |it| matches!(it, FeedbackAction::Release { .. });
        let reports = reports_until(seed, 175.0, &mut feedback, is_release);
        assert!(reports.is_some(), "seed {seed}");
    }
}
