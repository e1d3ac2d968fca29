//! Retention of ended workflows, independent of changes to the wall clock.
//!
//! An end is stamped with the wall clock of the leader that processed it. This clock may be set
//! ahead or back, and differs from that of the next leader. A leader therefore measures the
//! retention time with its monotonic clock, and records the wall clock along with it.

use std::collections::VecDeque;

use crate::prelude::*;

/// Readings of the leader's clocks, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ClockReadings {
    readings: VecDeque<Now>,
}

impl ClockReadings {
    /// Adds a reading, and drops the old ones that are not needed for `age_ms`.
    pub(super) fn note(&mut self, now: Now, age_ms: u64) {
        self.readings.push_back(now);
        let is_old = |it: &Now| it.mono_ms + age_ms <= now.mono_ms;
        while self.readings.get(1).is_some_and(is_old) {
            self.readings.pop_front();
        }
    }

    /// Returns a wall-clock time such that all ends stamped before it are older than `age_ms`, or
    /// `None` if this leader has not led for that long.
    ///
    /// Later ends are not stamped before it, even if the wall clock was set back in the meantime.
    pub(super) fn wall_before(&self, now: Now, age_ms: u64) -> Option<u64> {
        let oldest = self.readings.front()?;
        if now.mono_ms < oldest.mono_ms + age_ms {
            return None;
        }
        self.readings.iter().map(|it| it.wall_ms).min()
    }
}
