//! Which tasks crash the workers that start them.
//!
//! Such a task takes down whatever runs beside it, and would go through the whole fleet if it
//! were started anew like work that lost its worker to something else. Who is to blame for one
//! crash cannot be seen. So a task is suspected by odds: each crash of its worker counts by how
//! unlikely it was to come within the task's time there by itself, at the rate at which workers
//! crash that the task was not on. Whatever then runs unharmed for twice as long as it took its
//! workers to crash is as good as any other task.

/// Time during which nothing else begins on a worker where a suspect begins, so that a crash tells
/// who caused it. Tasks that crash their workers did so 10 ms after their start, and the loss was
/// known 313 to 336 ms after they were placed: three times that, since nodes may be slow.
pub const TRIAL_MS: u64 = 1_000;

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

/// Odds from which a task is given up. One crash counts a thousandfold at most, so that two are
/// enough where workers hardly crash otherwise, and three or four where many do.
const ODDS_MIN: f64 = 1_000.0;
const ODDS_OF_A_CRASH_MAX: f64 = 1_000.0;

/// Time over which crashes are counted for the rate at which workers crash anyway. Shorter than
/// the minutes over which faults of workers change, and long enough for a few of them.
pub const RATE_WINDOW_MS: u64 = 20_000;

/// How often workers crashed lately without the task in question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Background {
    pub crashes: usize,
    pub workers: usize,
}

impl Background {
    /// Returns the odds for a task of having caused a crash, at an age of its run.
    pub fn odds(self, age_ms: u64) -> f64 {
        // One more crash than was seen, since none seen does not mean that there are none.
        let rate = (self.crashes + 1) as f64 / (self.workers.max(1) as f64 * RATE_WINDOW_MS as f64);
        (1.0 / (rate * age_ms.max(1) as f64)).clamp(1.0, ODDS_OF_A_CRASH_MAX)
    }
}

/// What is held against a task: crashes of its workers in a row, none of which it outlived.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Suspicion {
    pub losses: u32,
    /// Runs since then that ended with a worker that fell silent: it may have crashed.
    silent: u32,
    pub odds: f64,
    /// The longest age of its run at a crash.
    age_max_ms: u64,
}

impl Default for Suspicion {
    fn default() -> Suspicion {
        Suspicion { losses: 0, silent: 0, odds: 1.0, age_max_ms: 0 }
    }
}

impl Suspicion {
    /// Returns what is held against the task after one more crash, with the odds that it tells.
    pub fn after_crash(self, age_ms: u64, odds: f64) -> Suspicion {
        let losses = self.losses + 1;
        match self.is_cleared_by(age_ms) {
            // An order that came late makes a young run look old, so that the count goes on.
            true => Suspicion { losses, odds, age_max_ms: age_ms, ..self },
            false => Suspicion {
                losses,
                odds: self.odds * odds,
                age_max_ms: self.age_max_ms.max(age_ms),
                ..self
            },
        }
    }

    /// Returns what is held against the task after a crash of a worker that was told to start it,
    /// and may have done so.
    pub fn after_unseen(self) -> Suspicion {
        Suspicion { losses: self.losses + 1, ..self }
    }

    /// Returns what is held against the task after its worker fell silent.
    pub fn after_silence(self) -> Suspicion {
        Suspicion { silent: self.silent + 1, ..self }
    }

    /// Returns whether a run that got so old unharmed has cleared the task.
    pub fn is_cleared_by(self, age_ms: u64) -> bool {
        is_outlived(age_ms) || 0 < self.age_max_ms && self.age_max_ms * CLEARED_TIMES <= age_ms
    }

    /// Returns whether the task must begin where nothing else does.
    ///
    /// One crash that nobody saw it run at tells next to nothing: after a loss of power of all
    /// workers that is true of all tasks, and trials would let them begin one after the other.
    pub fn needs_trial(self) -> bool {
        let was_seen = 0 < self.age_max_ms;
        self.age_max_ms <= TRIAL_MS && (was_seen || LOSSES_MIN <= self.losses)
    }

    /// Returns whether the task has most likely caused the crashes.
    pub fn is_convicted(self) -> bool {
        LOSSES_MIN <= self.losses && ODDS_MIN <= self.odds || self.is_at_limit()
    }

    /// Returns whether the task must not start again, whatever the odds.
    pub fn is_at_limit(self) -> bool {
        LOSSES_MIN <= self.losses && LOSSES_MAX <= self.losses + self.silent
    }
}

/// Returns whether a run is too old to be suspected of the crash of its worker.
pub fn is_outlived(age_ms: u64) -> bool {
    OUTLIVED_MS <= age_ms
}

/// Returns the same for a run of which it is not known when it began, or whether its worker was
/// there to the end: orders come up to 8 s late, a lease holds for some 4 s, and as long again control
/// itself may have been away.
pub fn is_outlived_at_least(age_ms: u64) -> bool {
    3 * OUTLIVED_MS <= age_ms
}
