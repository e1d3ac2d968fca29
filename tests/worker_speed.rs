//! Tests how slow workers are recognized from readings with noise: each cause, how many readings it
//! takes, and how often a worker is wrongly taken as slow.
#![allow(clippy::unwrap_used)]

use aspenrail::policy::worker_speed::{
    SlowdownEstimate, SpeedReading, estimate_slowdown, expected_log_ratio,
};

/// Spread of the readings of healthy runs: run times of siblings and the age of reports.
const SPREAD: f64 = 0.3;

/// Share of runs that take seven times as long by themselves.
const LONG_SHARE: f64 = 0.03;

fn normal(random: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| random.f64()).sum::<f64>() - 6.0
}

/// Returns a reading of a run on a worker with a slowdown.
fn reading(random: &mut fastrand::Rng, kind: u32, slowdown: f64, age_ms: u64) -> SpeedReading {
    let long = if random.f64() < LONG_SHARE { 7.0_f64.ln() } else { 0.0 };
    let log_ratio = slowdown.ln() + long + SPREAD * normal(random);
    SpeedReading { kind, log_ratio, variance: SPREAD * SPREAD, age_ms }
}

fn is_slow(readings: &[SpeedReading]) -> bool {
    estimate_slowdown(readings, false).is_slow(false)
}

#[test]
fn a_worker_on_which_all_kinds_are_slow_is_recognized_by_six_readings() {
    let mut random = fastrand::Rng::with_seed(1);
    for slowdown in [3.0, 4.0, 5.0] {
        let mut worker = || (0..6).map(|kind| reading(&mut random, kind, slowdown, 200)).collect();
        let workers: Vec<Vec<SpeedReading>> = (0..1_000).map(|_| worker()).collect();
        let found = workers.iter().filter(|it| is_slow(it)).count();
        assert!(900 <= found, "{found} of 1,000 workers that are {slowdown} times slower");
        let logs: Vec<_> =
            workers.iter().map(|it| estimate_slowdown(it, true).log_slowdown).collect();
        let mean = logs.iter().sum::<f64>() / logs.len() as f64;
        assert!((mean - slowdown.ln()).abs() < 0.25, "slowdown {slowdown} is taken as e^{mean}");
    }
}

/// The readings of a report that follows another are of the same runs, half of them new.
#[test]
fn two_false_alarms_in_10_000_readings_are_the_most() {
    let mut random = fastrand::Rng::with_seed(2);
    for runs in [1, 2, 4, 8, 16] {
        let (mut readings_seen, mut alarms) = (0, 0);
        let mut readings: Vec<SpeedReading> = Vec::new();
        while readings_seen < 100_000 {
            readings.iter_mut().for_each(|it| it.age_ms += 500);
            readings.retain(|it| it.age_ms < 3_000);
            for kind in 0..runs {
                readings.push(reading(&mut random, kind, 1.0, 0));
            }
            readings_seen += runs;
            if is_slow(&readings) {
                alarms += 1;
                readings.clear();
            }
        }
        assert!(alarms <= 20, "{alarms} false alarms in 100,000 readings with {runs} runs");
    }
}

#[test]
fn one_slow_kind_beside_others_is_contention_and_not_the_worker() {
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..1_000 {
        let mut readings: Vec<_> = (0..8).map(|_| reading(&mut random, 1, 5.0, 200)).collect();
        readings.extend((2..6).map(|kind| reading(&mut random, kind, 1.0, 200)));
        assert!(!is_slow(&readings), "{readings:?}");
    }
}

#[test]
fn a_kind_that_is_slow_on_all_workers_has_no_slow_worker() {
    let mut random = fastrand::Rng::with_seed(4);
    let mut slow = |count: usize| -> Vec<f64> {
        (0..count).map(|_| 5.0_f64.ln() + SPREAD * normal(&mut random)).collect()
    };
    // Of the same step, and of other steps of the kind only.
    for (mut step, mut kind) in [(slow(6), slow(12)), (Vec::new(), slow(12))] {
        let (expected, variance) = expected_log_ratio(&mut step, &mut kind, 0.5);
        let readings: Vec<_> = slow(6)
            .into_iter()
            .zip(0..)
            .map(|(it, kind)| SpeedReading { kind, log_ratio: it - expected, variance, age_ms: 0 })
            .collect();
        assert!(!is_slow(&readings), "expected {expected}: {readings:?}");
    }
}

#[test]
fn one_long_run_is_no_evidence_however_long_it_is() {
    let long = SpeedReading { kind: 1, log_ratio: 100.0_f64.ln(), variance: 0.1, age_ms: 0 };
    assert!(!is_slow(&[long]));
    let mut random = fastrand::Rng::with_seed(5);
    let mut readings: Vec<_> = (2..5).map(|kind| reading(&mut random, kind, 1.0, 500)).collect();
    readings.push(long);
    assert!(!is_slow(&readings));
}

#[test]
fn a_recovery_is_seen_by_two_fresh_readings_and_not_without_any() {
    let mut random = fastrand::Rng::with_seed(6);
    let old: Vec<_> = (0..6).map(|kind| reading(&mut random, kind, 5.0, 1_500)).collect();
    let is_still_slow = |readings: &[SpeedReading]| {
        let estimate: SlowdownEstimate = estimate_slowdown(readings, true);
        estimate.is_slow(true)
    };
    assert!(is_still_slow(&[]), "no readings say nothing");
    assert!(is_still_slow(&old));
    let seen = (0..1_000).filter(|_| {
        let fresh = (0..2).map(|kind| reading(&mut random, kind, 1.0, 0)).collect::<Vec<_>>();
        !is_still_slow(&fresh)
    });
    assert!(900 <= seen.count());
}
