//! Which tasks crash the workers that start them.
//!
//! Such a task takes down whatever runs beside it, and would go through the whole fleet if it
//! were started anew like work that lost its worker to something else. Who is to blame for one
//! crash cannot be seen. So a task is suspected by odds: each crash of its worker counts by how
//! much likelier it is if the task caused it than if it came by itself, at the rate at which workers
//! crash that the task was not on. A task that crashes its workers does so at much the same age
//! each time; crashes by themselves come at any age. Whatever then runs unharmed for twice as long
//! as it took its workers to crash is as good as any other task.

/// Time during which nothing else begins on a worker where a suspect begins, so that a crash tells
/// who caused it. Tasks that crash their workers did so 10 ms after their start, and the loss was
/// known 313 to 336 ms after they were placed: three times that, since nodes may be slow.
pub const PROBATION_MS: u64 = 1_000;

/// Time after which a run is not suspected at all, which few kinds of work take.
const OUTLIVED_MS: u64 = 10_000;

/// Times the longest age at which its workers crashed, after which a run has cleared its task.
const CLEARED_TIMES: u64 = 2;

/// Crashes in a row before which no task is given up, as users ask.
const LOSSES_MIN: u32 = 2;

/// Crashes in a row after which one is, however many workers crash anyway. Users allow two starts
/// after the third crash; one is left for a crash that nobody saw, as beside a node that was cut
/// off.
const LOSSES_MAX: u32 = 4;

/// Crashes in a row from which a task begins only in a calm: the next one is its last, and must tell
/// it from work that loses its workers to something else.
const LOSSES_CAREFUL: u32 = LOSSES_MAX - 1;

/// Time without a crash that counts as a calm. Users allow that a workflow runs nowhere for some
/// seconds after workers were lost.
pub const QUIET_PERIOD_MS: u64 = 4_000;

/// Odds from which a task is given up: the share of harmless tasks that may be, inverted.
const ODDS_MIN: f64 = 1_000.0;

/// Most that the first crash can tell, and each one after it, so that it takes two.
const ODDS_OF_FIRST_MAX: f64 = 500.0;
const ODDS_OF_NEXT_MAX: f64 = 40.0;

/// How far apart the ages are at which a task crashes its workers, as the leader learns of it where
/// nodes find their workers gone: some looks at a worker, and two hops.
const FOUND_SOON_MS: u64 = 150;
const FOUND_SOON_SHARE: f64 = 0.6;

/// The same where a node is slow itself.
const FOUND_LATE_MS: u64 = 1_000;
const FOUND_LATE_SHARE: f64 = 0.25;

/// Share of the crashes whose age tells nothing, as where an order was carried out late.
const FOUND_ANYHOW_SHARE: f64 = 1.0 - FOUND_SOON_SHARE - FOUND_LATE_SHARE;

/// Age by which half of the tasks that crash their workers have done so, as far as it is known.
const AT_ONCE_MS: u64 = 500;

/// Least age that is told apart: less than it takes to find a worker gone.
const AGE_MIN_MS: u64 = 100;

/// Time over which crashes are counted for the rate at which workers crash anyway. Shorter than
/// the minutes over which faults of workers change, and long enough for a few of them.
pub const CRASH_RATE_WINDOW_MS: u64 = 20_000;

/// How often workers crashed lately without the task in question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineCrashRate {
    pub crashes: usize,
    pub workers: usize,
}

impl BaselineCrashRate {
    /// Returns the odds for a task of having caused a crash at an age of its run, after one at
    /// another age, if there was any.
    pub fn likelihood_ratio(self, age_ms: u64, age_before_ms: Option<u64>) -> f64 {
        let (likelihood, odds_max) = match age_before_ms {
            None => (likelihood_at_any_age(age_ms), ODDS_OF_FIRST_MAX),
            Some(before_ms) => (likelihood_after(age_ms, before_ms), ODDS_OF_NEXT_MAX),
        };
        (likelihood / self.rate_per_ms()).min(odds_max)
    }

    /// Returns the rate at which one worker crashes by itself.
    fn rate_per_ms(self) -> f64 {
        // One more crash than was seen, since none seen does not mean that there are none.
        (self.crashes + 1) as f64 / (self.workers.max(1) as f64 * CRASH_RATE_WINDOW_MS as f64)
    }
}

/// Returns how likely, by the millisecond, a task that crashes its workers does so at an age, when
/// nothing else is known of it: half of them at once, and the others at an age of which any order
/// of magnitude is as likely as another.
fn likelihood_at_any_age(age_ms: u64) -> f64 {
    let magnitudes = (OUTLIVED_MS as f64 / AGE_MIN_MS as f64).ln();
    let at_once = if age_ms <= AT_ONCE_MS { 1.0 / AT_ONCE_MS as f64 } else { 0.0 };
    (at_once + 1.0 / (age_ms.max(AGE_MIN_MS) as f64 * magnitudes)) / 2.0
}

/// Returns the same for a task that crashed its worker at another age before.
fn likelihood_after(age_ms: u64, before_ms: u64) -> f64 {
    let apart_ms = age_ms.abs_diff(before_ms);
    let within = |spread_ms: u64, share: f64| match apart_ms <= spread_ms {
        true => share / (2 * spread_ms) as f64,
        false => 0.0,
    };
    within(FOUND_SOON_MS, FOUND_SOON_SHARE)
        + within(FOUND_LATE_MS, FOUND_LATE_SHARE)
        + FOUND_ANYHOW_SHARE * likelihood_at_any_age(age_ms)
}

/// What is held against a task: crashes of its workers in a row, none of which it outlived.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CrashEvidence {
    #[serde(rename = "losses")]
    pub crashes_in_row: u32,
    /// Runs since then that ended with a worker that fell silent: it may have crashed.
    silent: u32,
    #[serde(rename = "odds")]
    pub likelihood_ratio: f64,
    /// Age of its run at the last crash that it was seen at.
    age_ms: u64,
}

impl Default for CrashEvidence {
    fn default() -> CrashEvidence {
        CrashEvidence { crashes_in_row: 0, silent: 0, likelihood_ratio: 1.0, age_ms: 0 }
    }
}

impl CrashEvidence {
    /// Returns what is held against the task after one more crash, seen at an age of its run.
    pub fn after_crash(self, age_ms: u64, baseline: BaselineCrashRate) -> CrashEvidence {
        let crashes_in_row = self.crashes_in_row + 1;
        let before_ms = (0 < self.age_ms).then_some(self.age_ms);
        let likelihood_ratio = match self.is_ruled_out_at_age(age_ms) {
            // An order that came late makes a young run look old, so that the count goes on.
            true => baseline.likelihood_ratio(age_ms, None),
            false => self.likelihood_ratio * baseline.likelihood_ratio(age_ms, before_ms),
        };
        CrashEvidence { crashes_in_row, likelihood_ratio, age_ms, ..self }
    }

    /// Returns what is held against the task after a crash that another task explains.
    pub fn after_explained_crash(self, age_ms: u64) -> CrashEvidence {
        CrashEvidence { crashes_in_row: self.crashes_in_row + 1, age_ms, ..self }
    }

    /// Returns what is held against the task after a crash of a worker that was told to start it,
    /// and may have done so.
    pub fn after_unobserved_crash(self) -> CrashEvidence {
        CrashEvidence { crashes_in_row: self.crashes_in_row + 1, ..self }
    }

    /// Returns what is held against the task after its worker fell silent.
    pub fn after_silent_worker(self) -> CrashEvidence {
        CrashEvidence { silent: self.silent + 1, ..self }
    }

    /// Returns whether a run that got so old unharmed has cleared the task.
    pub fn is_ruled_out_at_age(self, age_ms: u64) -> bool {
        is_too_old_to_suspect(age_ms) || 0 < self.age_ms && self.age_ms * CLEARED_TIMES <= age_ms
    }

    /// Returns whether the task must begin where nothing else does.
    ///
    /// One crash that nobody saw it run at tells next to nothing: after a loss of power of all
    /// workers that is true of all tasks, and trials would let them begin one after the other.
    pub fn needs_probation(self) -> bool {
        let was_seen = 0 < self.age_ms;
        self.age_ms <= PROBATION_MS && (was_seen || LOSSES_MIN <= self.crashes_in_row)
    }

    /// Returns whether the task must begin only while no workers crash.
    pub fn needs_quiet_period(self) -> bool {
        LOSSES_CAREFUL <= self.crashes_in_row + self.silent
    }

    /// Returns whether the task has most likely caused the crashes.
    pub fn is_culprit(self) -> bool {
        LOSSES_MIN <= self.crashes_in_row && ODDS_MIN <= self.likelihood_ratio
            || self.is_at_crash_limit()
    }

    /// Returns whether the task must not start again, whatever the odds.
    pub fn is_at_crash_limit(self) -> bool {
        LOSSES_MIN <= self.crashes_in_row && LOSSES_MAX <= self.crashes_in_row + self.silent
    }
}

/// Returns whether a run is too old to be suspected of the crash of its worker.
pub fn is_too_old_to_suspect(age_ms: u64) -> bool {
    OUTLIVED_MS <= age_ms
}

/// Returns the same for a run of which it is not known when it began, or whether its worker was
/// there to the end: orders come up to 8 s late, a lease holds for some 4 s, and as long again control
/// itself may have been away.
pub fn is_surely_too_old_to_suspect(age_ms: u64) -> bool {
    3 * OUTLIVED_MS <= age_ms
}
