//! Which tasks crash the workers that start them.
//!
//! Such a task also ends everything else on its worker. If it were restarted like a task whose
//! worker crashed for another reason, it would crash one worker after the other. The cause of a
//! single crash cannot be observed, so a likelihood ratio is kept for each task. Each crash of its
//! worker multiplies the ratio by the probability of the crash if the task caused it, divided by
//! its probability at the baseline rate, at which workers without the task crash. A task that
//! crashes its workers does so at a similar age each time; other crashes come at any age. A run
//! that survives twice the age at which its workers crashed clears the task.

/// Time during which nothing else starts on a worker where a suspected task starts, so that a
/// crash can be attributed. Tasks that crash their workers did so 10 ms after their start, and the
/// loss was known 313 to 336 ms after placement; three times that allows for slow nodes.
pub const PROBATION_MS: u64 = 1_000;

/// Age of a run from which it is not suspected of a crash. Few kinds of work run this long.
const SUSPECT_AGE_MAX_MS: u64 = 10_000;

/// A run clears its task at this multiple of the age at which the task's worker last crashed.
const CLEARING_AGE_FACTOR: u64 = 2;

/// Crashes in a row before which no task is given up; a requirement of the users.
const CRASHES_MIN: u32 = 2;

/// Crashes in a row after which a task is given up, whatever the baseline crash rate. Users allow
/// two starts after the third crash; one of them is reserved for an unobserved crash, as on a
/// partitioned node.
const CRASHES_MAX: u32 = 4;

/// The same for a task none of whose crashes was observed: its runs may never have begun.
const UNOBSERVED_CRASHES_MAX: u32 = CRASHES_MAX + 1;

/// Crashes in a row from which a task starts only in a quiet period. After one more crash
/// the task is given up, so that crash must not have another cause.
const QUIET_PERIOD_CRASHES: u32 = CRASHES_MAX - 1;

/// Time without worker crashes that counts as a quiet period. Users allow a workflow to be without
/// a run for some seconds after workers were lost.
pub const QUIET_PERIOD_MS: u64 = 4_000;

/// Likelihood ratio from which a task is given up: the inverse of the share of harmless tasks that
/// may be given up.
const LIKELIHOOD_RATIO_MIN: f64 = 1_000.0;

/// Largest factors of the first crash and of each later one. One crash alone never suffices.
const FIRST_CRASH_RATIO_MAX: f64 = 500.0;
const LATER_CRASH_RATIO_MAX: f64 = 40.0;

/// Largest difference of the crash ages of one task, as the leader learns them from nodes that
/// detect the loss of a worker (several checks and two network hops), and the share of crashes
/// within it.
const DETECTION_SPREAD_MS: u64 = 150;
const DETECTION_SHARE: f64 = 0.6;

/// The same where the node itself is slow.
const SLOW_DETECTION_SPREAD_MS: u64 = 1_000;
const SLOW_DETECTION_SHARE: f64 = 0.25;

/// Share of the crashes whose ages are unrelated, as after an order that was executed late.
const UNRELATED_AGE_SHARE: f64 = 1.0 - DETECTION_SHARE - SLOW_DETECTION_SHARE;

/// Age up to which half of the tasks that crash their workers are expected to do so.
const EARLY_CRASH_MS: u64 = 500;

/// Ages below this are treated as equal; detecting the loss of a worker takes longer.
const AGE_RESOLUTION_MS: u64 = 100;

/// Least age recorded for an observed crash, since an age of 0 means that none was observed.
const CRASH_AGE_MIN_MS: u64 = 1;

/// Time over which crashes are counted for the baseline rate. It is shorter than the minutes over
/// which the fault rate of workers changes, and long enough to contain a few crashes.
pub const CRASH_RATE_WINDOW_MS: u64 = 20_000;

/// How often workers without the task in question crashed within [`CRASH_RATE_WINDOW_MS`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineCrashRate {
    pub crashes: usize,
    pub workers: usize,
}

impl BaselineCrashRate {
    /// Returns how much likelier a crash at `age_ms` of a run is if the task caused it than at the
    /// baseline rate. `age_before_ms` is the age at the previous crash, if any.
    pub fn likelihood_ratio(self, age_ms: u64, age_before_ms: Option<u64>) -> f64 {
        let (likelihood, ratio_max) = match age_before_ms {
            None => (likelihood_at_any_age(age_ms), FIRST_CRASH_RATIO_MAX),
            Some(before_ms) => (likelihood_after(age_ms, before_ms), LATER_CRASH_RATIO_MAX),
        };
        (likelihood / self.rate_per_ms()).min(ratio_max)
    }

    /// Returns the baseline crash rate of one worker.
    fn rate_per_ms(self) -> f64 {
        // Adds one crash, since zero observed crashes do not imply a rate of zero.
        (self.crashes + 1) as f64 / (self.workers.max(1) as f64 * CRASH_RATE_WINDOW_MS as f64)
    }
}

/// Returns the probability density, per millisecond, of a first crash at `age_ms` of a task that
/// crashes its workers: half of these tasks crash early, and for the others each order of
/// magnitude of the age is equally likely.
fn likelihood_at_any_age(age_ms: u64) -> f64 {
    let magnitudes = (SUSPECT_AGE_MAX_MS as f64 / AGE_RESOLUTION_MS as f64).ln();
    let early = if age_ms <= EARLY_CRASH_MS { 1.0 / EARLY_CRASH_MS as f64 } else { 0.0 };
    (early + 1.0 / (age_ms.max(AGE_RESOLUTION_MS) as f64 * magnitudes)) / 2.0
}

/// Returns the same density for a task that crashed its worker at `before_ms` before.
fn likelihood_after(age_ms: u64, before_ms: u64) -> f64 {
    let apart_ms = age_ms.abs_diff(before_ms);
    let within = |spread_ms: u64, share: f64| match apart_ms <= spread_ms {
        true => share / (2 * spread_ms) as f64,
        false => 0.0,
    };
    within(DETECTION_SPREAD_MS, DETECTION_SHARE)
        + within(SLOW_DETECTION_SPREAD_MS, SLOW_DETECTION_SHARE)
        + UNRELATED_AGE_SHARE * likelihood_at_any_age(age_ms)
}

/// Evidence against a task: crashes of its workers in a row, with no run in between that cleared
/// it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CrashEvidence {
    #[serde(rename = "losses")]
    pub crashes_in_row: u32,
    /// Runs since the task was last cleared whose worker is silent, and so may have crashed.
    #[serde(rename = "silent")]
    silent_workers: u32,
    #[serde(rename = "odds")]
    pub likelihood_ratio: f64,
    /// Age of the run at the last observed crash; 0 before the first one.
    #[serde(rename = "age_ms")]
    crash_age_ms: u64,
}

impl Default for CrashEvidence {
    fn default() -> CrashEvidence {
        CrashEvidence {
            crashes_in_row: 0,
            silent_workers: 0,
            likelihood_ratio: 1.0,
            crash_age_ms: 0,
        }
    }
}

impl CrashEvidence {
    /// Returns the evidence after one more crash, observed at `age_ms` of the run.
    pub fn after_crash(self, age_ms: u64, baseline: BaselineCrashRate) -> CrashEvidence {
        let crashes_in_row = self.crashes_in_row + 1;
        let before_ms = (0 < self.crash_age_ms).then_some(self.crash_age_ms);
        let likelihood_ratio = match self.is_ruled_out_at_age(age_ms) {
            // A late order makes a young run look old, so the crash count is kept and only the
            // ratio starts anew.
            true => baseline.likelihood_ratio(age_ms, None),
            false => self.likelihood_ratio * baseline.likelihood_ratio(age_ms, before_ms),
        };
        let crash_age_ms = age_ms.max(CRASH_AGE_MIN_MS);
        CrashEvidence { crashes_in_row, likelihood_ratio, crash_age_ms, ..self }
    }

    /// Returns the evidence after a crash that is attributed to another task.
    pub fn after_explained_crash(self, age_ms: u64) -> CrashEvidence {
        let crash_age_ms = age_ms.max(CRASH_AGE_MIN_MS);
        CrashEvidence { crashes_in_row: self.crashes_in_row + 1, crash_age_ms, ..self }
    }

    /// Returns the evidence after a crash of a worker that was ordered to start the task, where it
    /// is unknown whether the run began.
    pub fn after_unobserved_crash(self) -> CrashEvidence {
        CrashEvidence { crashes_in_row: self.crashes_in_row + 1, ..self }
    }

    /// Returns the evidence with another number of silent workers.
    pub fn with_silent_workers(self, silent_workers: u32) -> CrashEvidence {
        CrashEvidence { silent_workers, ..self }
    }

    /// Returns whether a run that reached `age_ms` without a crash clears the task.
    pub fn is_ruled_out_at_age(self, age_ms: u64) -> bool {
        is_too_old_to_suspect(age_ms)
            || 0 < self.crash_age_ms && self.crash_age_ms * CLEARING_AGE_FACTOR <= age_ms
    }

    /// Returns whether nothing else may start on the worker for [`PROBATION_MS`] after the task.
    ///
    /// A single unobserved crash is not enough: after a power loss of all workers every task has
    /// one, and probation would serialize all their starts.
    pub fn needs_probation(self) -> bool {
        let was_observed = 0 < self.crash_age_ms;
        self.crash_age_ms <= PROBATION_MS && (was_observed || CRASHES_MIN <= self.crashes_in_row)
    }

    /// Returns whether the task may start only in a quiet period ([`QUIET_PERIOD_MS`]).
    pub fn needs_quiet_period(self) -> bool {
        QUIET_PERIOD_CRASHES <= self.crashes_in_row + self.silent_workers
    }

    /// Returns whether the next crash gives the task up, so that nothing else may start on its worker
    /// while it is suspected.
    pub fn needs_isolation(self) -> bool {
        self.needs_quiet_period()
    }

    /// Returns whether the task is taken to have caused the crashes.
    pub fn is_culprit(self) -> bool {
        CRASHES_MIN <= self.crashes_in_row && LIKELIHOOD_RATIO_MIN <= self.likelihood_ratio
            || self.is_at_crash_limit()
    }

    /// Returns whether the task is given up.
    ///
    /// Below the limit, only a task that crashes its worker within its probation is: nothing else
    /// started beside it. Other crashes may have come at similar ages by chance, as where workers
    /// crash at regular intervals.
    pub fn is_given_up(self) -> bool {
        let had_probation = self.crash_age_ms <= PROBATION_MS;
        self.is_culprit() && had_probation || self.is_at_crash_limit()
    }

    /// Returns whether the task must not start again, whatever the likelihood ratio.
    pub fn is_at_crash_limit(self) -> bool {
        self.crashes_max() <= self.crashes_in_row
    }

    /// Returns whether the task must not start until it is known what became of silent workers: it is
    /// at the limit if these have crashed.
    pub fn waits_for_silent_workers(self) -> bool {
        !self.is_at_crash_limit() && self.crashes_max() <= self.crashes_in_row + self.silent_workers
    }

    /// Returns the number of crashes in a row at which the task is given up.
    fn crashes_max(self) -> u32 {
        if 0 < self.crash_age_ms { CRASHES_MAX } else { UNOBSERVED_CRASHES_MAX }
    }
}

/// Returns whether a run is too old to be suspected of the crash of its worker.
pub fn is_too_old_to_suspect(age_ms: u64) -> bool {
    SUSPECT_AGE_MAX_MS <= age_ms
}

/// Returns the same for a run whose start time is unknown, or whose worker may have been gone
/// before the end. The margin covers orders that arrive up to 8 s late, a lease of about 4 s and
/// as long an outage of control itself.
pub fn is_surely_too_old_to_suspect(age_ms: u64) -> bool {
    3 * SUSPECT_AGE_MAX_MS <= age_ms
}
