//! Checks forecasts of run times and ends, and the verdicts based on them, over seeded draws.
#![allow(clippy::unwrap_used)]

use aspenrail::policy::forecast::{RunTimeModel, TaskKind};

fn kind(name: &str) -> TaskKind {
    TaskKind { queue: name.into(), image: "".into() }
}

/// A draw of a run time whose declared one is off by `off`, and in three of a hundred cases by a
/// factor of seven.
fn run_ms(random: &mut fastrand::Rng, declared_ms: u64, off: f64) -> u64 {
    let sum: f64 = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    let factor = if random.u32(0..100) < 3 { 7.0 } else { 1.0 };
    (declared_ms as f64 * (sum * off).exp() * factor) as u64
}

/// Load: tasks whose declared times are off by 20 to 90 %, with 3 % that take seven times as long.
#[yare::parameterized(little = { 0.2 }, half = { 0.5 }, much = { 0.9 })]
fn of_what_is_said_to_end_in_time_nine_in_ten_do(off: f64) {
    let mut random = fastrand::Rng::with_seed(71);
    let mut model = RunTimeModel::default();
    let mut in_time = 0;
    let kinds: Vec<_> = (0..20).map(|it| kind(&format!("queue-{it}"))).collect();
    for draw in 0..4_000 {
        let declared_ms = random.u64(300..5_000);
        let kind = &kinds[draw % kinds.len()];
        let run_ms = run_ms(&mut random, declared_ms, off);
        in_time += u32::from(run_ms <= model.forecast(kind, declared_ms).late_ms());
        model.observe(kind.clone(), declared_ms, run_ms);
    }
    assert!((3_400..=3_800).contains(&in_time), "{in_time} of 4,000 ended in time");
    let errors = model.take_errors();
    assert_eq!((errors.observations, errors.late), (4_000, 4_000 - in_time));
}

/// Load: declared times that are off to one side only, with no normal distribution.
#[test]
fn run_times_that_are_not_log_normal_are_calibrated_too() {
    let mut random = fastrand::Rng::with_seed(72);
    let mut model = RunTimeModel::default();
    let kind = kind("queue");
    let mut in_time = 0;
    for _ in 0..2_000 {
        let run_ms = (1_000.0 * (0.1 + 1.8 * random.f64())) as u64;
        in_time += u32::from(run_ms <= model.forecast(&kind, 1_000).late_ms());
        model.observe(kind.clone(), 1_000, run_ms);
    }
    assert!((1_700..=1_900).contains(&in_time), "{in_time} of 2,000 ended in time");
}

/// Load: steps of 20 tasks, of which 3 % take seven times as long: the slowest ends the step.
#[test]
fn the_end_of_a_step_counts_with_tasks_that_stall() {
    let mut random = fastrand::Rng::with_seed(73);
    let mut model = RunTimeModel::default();
    let kind = kind("queue");
    let mut in_time = 0;
    for step in 0..600 {
        let runs: Vec<_> = (0..20).map(|_| run_ms(&mut random, 1_000, 0.5)).collect();
        let late_ms = model.forecast(&kind, 1_000).all_end_ms(20, 0.9);
        in_time += u32::from(100 <= step && *runs.iter().max().unwrap() <= late_ms);
        runs.into_iter().for_each(|it| model.observe(kind.clone(), 1_000, it));
    }
    assert!((425..=475).contains(&in_time), "{in_time} of 500 steps ended in time");
}

/// Load: clients that name a new image with every task, for an hour.
#[test]
fn kinds_are_bounded_and_forgotten() {
    let mut model = RunTimeModel::default();
    (0..30).for_each(|_| model.observe(kind("known"), 1_000, 4_000));
    (0..3_000).for_each(|it| model.observe(kind(&format!("queue-{it}")), 1_000, 2_000));
    assert!(model.learned().len() <= 512, "{} kinds", model.learned().len());
    let median_ms = model.forecast(&kind("known"), 1_000).median_ms();
    assert!((3_000..5_000).contains(&median_ms), "{median_ms} ms: the known kind is kept");
    model.decay(3_600_000);
    let left = model.learned();
    assert_eq!(left.len(), 0, "what was not seen for an hour is forgotten: {left:?}");
}

/// A leader without history forecasts as its predecessor did.
#[test]
fn what_was_learned_is_taken_over() {
    let mut model = RunTimeModel::default();
    let mut random = fastrand::Rng::with_seed(74);
    for _ in 0..50 {
        let run_ms = run_ms(&mut random, 3_000, 0.5);
        model.observe(kind("queue"), 1_000, run_ms);
    }
    let next = RunTimeModel::with_learned(&model.learned());
    let (before, after) = (model.forecast(&kind("queue"), 500), next.forecast(&kind("queue"), 500));
    assert!(before.median_ms().abs_diff(after.median_ms()) <= 1, "{before:?} {after:?}");
    assert!(before.late_ms().abs_diff(after.late_ms()) <= 2, "{before:?} {after:?}");
}
