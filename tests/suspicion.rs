//! Which tasks are held to crash their workers, by plain figures.
#![allow(clippy::unwrap_used)]

use aspenrail::policy::crash_evidence::{BaselineCrashRate, CrashEvidence};

/// Six workers, of which one crashes by itself each second and a half.
const STORMY: BaselineCrashRate = BaselineCrashRate { crashes: 13, workers: 6 };

/// Eleven workers that hardly crash.
const QUIET: BaselineCrashRate = BaselineCrashRate { crashes: 0, workers: 11 };

fn after(ages_ms: &[u64], baseline: BaselineCrashRate) -> CrashEvidence {
    ages_ms.iter().fold(CrashEvidence::default(), |it, age_ms| it.after_crash(*age_ms, baseline))
}

#[yare::parameterized(
    young_and_alike = { QUIET, &[320, 330], true },
    old_and_alike = { QUIET, &[2_500, 2_520, 2_480], true },
    one_crash = { QUIET, &[320], false },
    alike_beside_many = { STORMY, &[320, 330, 310, 340], true },
    at_any_age_beside_many = { STORMY, &[400, 700, 350], false },
    apart_beside_many = { STORMY, &[2_900, 1_200, 3_600], false },
)]
fn a_task_is_held_guilty_by_the_ages_of_its_crashes(
    baseline: BaselineCrashRate,
    ages_ms: &[u64],
    expected: bool,
) {
    assert_eq!(after(ages_ms, baseline).is_culprit(), expected);
}

/// What most likely lost its workers to something else has one chance left, in a calm.
#[yare::parameterized(
    two_crashes = { &[2_900, 1_200], false },
    three_crashes = { &[2_900, 1_200, 3_600], true },
)]
fn the_last_chance_waits_for_a_calm(ages_ms: &[u64], expected: bool) {
    assert_eq!(after(ages_ms, STORMY).needs_quiet_period(), expected);
}
