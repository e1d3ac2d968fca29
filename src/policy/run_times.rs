//! Run times corrected by history, since declared ones are often far off.

use std::collections::HashMap;

use crate::prelude::*;

/// Weight of the newest observation.
const GAIN: f64 = 0.2;

/// Natural logarithm of the largest correction, either way.
const LOG_RATIO_MAX: f64 = 4.6;

/// Kinds remembered.
const KINDS_MAX: usize = 10_000;

/// Observations up to which a kind is forgotten when there are too many.
const SELDOM: u32 = 4;

#[derive(Clone, Copy, Debug, Default)]
struct History {
    log_ratio: f64,
    observed: u32,
}

/// Ratios of actual to declared run times, by team and kind.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimates {
    histories: HashMap<(CompactString, CompactString), History>,
}

impl RunTimeEstimates {
    /// Learns that a task declared at `declared_ms` ran for `run_ms`.
    pub fn observe(&mut self, team: &str, kind: &str, declared_ms: u64, run_ms: u64) {
        let key = (CompactString::from(team), CompactString::from(kind));
        if KINDS_MAX <= self.histories.len() && !self.histories.contains_key(&key) {
            self.histories.retain(|_, it| SELDOM < it.observed);
            if KINDS_MAX <= self.histories.len() {
                // Callers choose kinds; one more than fits is taken as declared.
                return;
            }
        }
        // The logarithm treats ten times too long and ten times too short alike; the mean of
        // plain ratios would be carried by the few that ran over.
        let log_ratio = (run_ms.max(1) as f64 / declared_ms.max(1) as f64)
            .ln()
            .clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        let it = self.histories.entry(key).or_default();
        it.observed += 1;
        let gain = GAIN.max(1.0 / f64::from(it.observed + 1));
        it.log_ratio += (log_ratio - it.log_ratio) * gain;
    }

    /// Returns the run time to expect of a task declared at `declared_ms`.
    ///
    /// ```
    /// use aspenrail::policy::run_times::RunTimeEstimates;
    ///
    /// let mut times = RunTimeEstimates::default();
    /// assert_eq!(times.expected_run_ms("team", "kind", 1_000), 1_000);
    /// times.observe("team", "kind", 1_000, 10_000);
    /// assert!(1_000 < times.expected_run_ms("team", "kind", 1_000));
    /// ```
    pub fn expected_run_ms(&self, team: &str, kind: &str, declared_ms: u64) -> u64 {
        let ratio =
            self.histories.get(&(team.into(), kind.into())).map_or(1.0, |it| it.log_ratio.exp());
        ((declared_ms.max(1) as f64 * ratio) as u64).max(1)
    }
}
