//! The policies on fillers, workers and the order of workflows.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    policy::{
        harm::{Filler, Harm, Serving},
        pacing::Pacer,
        soundness::{Progress, Soundness},
        urgency::{Claim, urgency},
    },
    prelude::*,
};

/// A serving task whose tail rests at 40 % of its bound and rises with the pace.
fn tail_at(pace_percent: u32, full_harm_percent: u32) -> u32 {
    40 + full_harm_percent * pace_percent / 100
}

#[yare::parameterized(
    mild = { 60 },
    strong = { 200 },
    wild = { 600 },
)]
fn a_tail_is_led_below_its_bound_within_the_time_allowed(full_harm_percent: u32) {
    let mut pacer = Pacer::default();
    // Two thirds of the four seconds in which harm must end.
    for reading in 0..10 {
        let tail = tail_at(pacer.percent(), full_harm_percent);
        pacer.observe(Some(tail), true, 1_000 + reading * 270);
    }
    assert!(tail_at(pacer.percent(), full_harm_percent) <= 100, "{pacer:?}");
}

#[test]
fn harmless_fillers_keep_their_pace() {
    let mut pacer = Pacer::default();
    (0..50).for_each(|it| pacer.observe(Some(45), true, it * 250));
    assert_eq!(pacer.percent(), 100);
}

#[test]
fn a_tail_that_stays_over_its_bound_halts_all_fillers() {
    let mut pacer = Pacer::default();
    (0..12).for_each(|it| pacer.observe(Some(150), true, 1_000 + it * 250));
    assert_eq!(pacer.percent(), 0);
}

#[test]
fn a_worker_whose_fillers_are_gone_forgets_their_pace() {
    let mut pacer = Pacer::default();
    (0..12).for_each(|it| pacer.observe(Some(150), true, 1_000 + it * 250));
    (0..30).for_each(|it| pacer.observe(Some(40), false, 5_000 + it * 250));
    assert_eq!(pacer.percent(), 100);
}

#[test]
fn harm_is_learned_by_pair_under_a_swinging_load() {
    let mut harm = Harm::default();
    let mut random = fastrand::Rng::with_seed(5);
    for _ in 0..400 {
        let swing = random.f64() * 30.0 - 15.0;
        let (heavy, light) = (random.f64() * 6.0, random.f64() * 6.0);
        let fillers = [
            Filler { image: "heavy".into(), cores: heavy },
            Filler { image: "light".into(), cores: light },
        ];
        let tail = 40.0 + 8.0 * heavy + 0.5 * light + swing;
        harm.observe(&[Serving { image: "web".into(), tail_percent: tail }], &fillers);
        harm.observe(&[Serving { image: "web".into(), tail_percent: 40.0 + swing }], &[]);
    }
    let (heavy, light) = (harm.of("web", "heavy"), harm.of("web", "light"));
    assert!((5.0..11.0).contains(&heavy), "{heavy}");
    assert!(light < 3.0, "{light}");
}

#[test]
fn three_workflows_in_a_row_cost_the_trust_and_one_alone_never() {
    let mut it = Soundness::default();
    let lost = (0..20).any(|_| it.note_failed(WorkflowId(1), 0));
    assert!(!lost);
    assert!(it.is_trusted(0));
    it.note_done();
    let lost: Vec<_> = (1..=3).map(|id| it.note_failed(WorkflowId(id), 100)).collect();
    assert_eq!(lost, [false, false, true]);
    assert!(!it.is_trusted(2_099) && it.is_trusted(2_100));
    assert!(it.note_failed(WorkflowId(9), 2_200), "one more is enough after the pause");
    assert!(!it.is_trusted(6_199) && it.is_trusted(6_200), "and the pause is longer");
}

#[yare::parameterized(
    moving = { 300, 10, 100, false },
    still = { 300, 0, 100, true },
    long_and_slow = { 600_000, 0, 1_900, false },
)]
fn progress_counts_against_the_declared_time(
    estimate_ms: u64,
    step_percent: u32,
    pause_ms: u64,
    stalls: bool,
) {
    let mut progress = Progress::new(0, 0);
    let mut found = false;
    for at in 1..=30_u32 {
        found |= progress.observe(at * step_percent, estimate_ms, u64::from(at) * pause_ms);
    }
    assert_eq!(found, stalls);
}

#[test]
fn the_order_is_lasting_then_priority_then_what_can_still_meet_its_objective() {
    let claim = Claim {
        priority: 1,
        is_lasting: false,
        due_by_ms: 10_000,
        remaining_ms: 1_000,
        work_core_ms: 5_000,
    };
    let lasting = Claim { is_lasting: true, priority: 3, ..claim };
    let urgent = Claim { priority: 0, work_core_ms: 90_000, ..claim };
    let late = Claim { due_by_ms: 500, work_core_ms: 1, ..claim };
    let large = Claim { work_core_ms: 6_000, ..claim };
    let order = [lasting, urgent, claim, large, late];
    assert!(order.is_sorted_by_key(|it| urgency(*it, 0)));
}
