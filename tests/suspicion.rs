//! Tests which tasks the crash evidence identifies as culprits, on fixed figures.
#![allow(clippy::unwrap_used)]

use aspenrail::policy::crash_evidence::{BaselineCrashRate, CrashEvidence};

/// Six workers, one of which crashes by itself every 1.5 s.
const FREQUENT_CRASHES: BaselineCrashRate = BaselineCrashRate { crashes: 13, workers: 6 };

/// Eleven workers without recent crashes.
const RARE_CRASHES: BaselineCrashRate = BaselineCrashRate { crashes: 0, workers: 11 };

fn evidence_after(ages_ms: &[u64], baseline: BaselineCrashRate) -> CrashEvidence {
    ages_ms
        .iter()
        .fold(CrashEvidence::default(), |evidence, age_ms| evidence.after_crash(*age_ms, baseline))
}

#[yare::parameterized(
    young_and_alike = { RARE_CRASHES, &[320, 330], true },
    old_and_alike = { RARE_CRASHES, &[2_500, 2_520, 2_480], true },
    one_crash = { RARE_CRASHES, &[320], false },
    alike_beside_many = { FREQUENT_CRASHES, &[320, 330, 310, 340], true },
    at_any_age_beside_many = { FREQUENT_CRASHES, &[400, 700, 350], false },
    apart_beside_many = { FREQUENT_CRASHES, &[2_900, 1_200, 3_600], false },
)]
fn a_task_is_held_guilty_by_the_ages_of_its_crashes(
    baseline: BaselineCrashRate,
    ages_ms: &[u64],
    expected: bool,
) {
    assert_eq!(evidence_after(ages_ms, baseline).is_culprit(), expected);
}

/// A task whose workers most likely crashed for another reason gets one more start, in a quiet period.
#[yare::parameterized(
    two_crashes = { &[2_900, 1_200], false },
    three_crashes = { &[2_900, 1_200, 3_600], true },
)]
fn the_last_chance_waits_for_a_calm(ages_ms: &[u64], expected: bool) {
    assert_eq!(evidence_after(ages_ms, FREQUENT_CRASHES).needs_quiet_period(), expected);
}

/// A worker that crashes in the millisecond of the start is the clearest case of all.
#[test]
fn a_crash_at_the_start_is_observed() {
    let after_one = evidence_after(&[0], RARE_CRASHES);
    assert!(after_one.needs_probation(), "the task begins where nothing else does");
    assert!(evidence_after(&[0, 0], RARE_CRASHES).is_culprit());
    assert!(after_one.is_ruled_out_at_age(2), "it lived twice as long as before");
    let explained = CrashEvidence::default().after_explained_crash(0);
    assert!(explained.needs_probation());
}
