//! Run time estimates from history, since declared run times are often far off.

use std::collections::HashMap;

use crate::prelude::*;

/// Weight of the newest observation.
const GAIN: f64 = 0.2;

/// Natural logarithm of the largest correction factor, in either direction.
const LOG_RATIO_MAX: f64 = 4.6;

/// Pairs of team and kind that are kept.
const KINDS_MAX: usize = 10_000;

/// At the limit of kinds, those with at most this many observations are removed.
const EVICTED_OBSERVATIONS_MAX: u32 = 4;

#[derive(Clone, Copy, Debug, Default)]
struct History {
    log_ratio: f64,
    observations: u32,
}

/// Ratios of actual to declared run times, by team and kind.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimates {
    histories: HashMap<(CompactString, CompactString), History>,
}

impl RunTimeEstimates {
    /// Learns that a task with the declared run time `declared_ms` ran for `run_ms`.
    pub fn observe(&mut self, team: &str, kind: &str, declared_ms: u64, run_ms: u64) {
        let key = (CompactString::from(team), CompactString::from(kind));
        if KINDS_MAX <= self.histories.len() && !self.histories.contains_key(&key) {
            self.histories.retain(|_, it| EVICTED_OBSERVATIONS_MAX < it.observations);
            if KINDS_MAX <= self.histories.len() {
                // Clients choose kinds freely; beyond the limit the declared time is used.
                return;
            }
        }
        // The logarithm gives equal weight to run times that are ten times too long and ten times
        // too short; a mean of plain ratios would be dominated by the few that are too long.
        let log_ratio = (run_ms.max(1) as f64 / declared_ms.max(1) as f64)
            .ln()
            .clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        let it = self.histories.entry(key).or_default();
        it.observations += 1;
        let gain = GAIN.max(1.0 / f64::from(it.observations + 1));
        it.log_ratio += (log_ratio - it.log_ratio) * gain;
    }

    /// Returns the expected run time of a task with the declared run time `declared_ms`.
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
