//! Retention of ended workflows and of tombstones, independent of changes to the wall clock.
//!
//! An end is stamped with the wall clock of the leader that processed it. This clock may be set
//! ahead or back, and differs from that of the next leader. A leader therefore measures the
//! retention time with its monotonic clock, and records the wall clock along with it. It counts anew
//! after a time in which its process did not run: copies of submissions may have waited for it.

use std::collections::VecDeque;

use crate::prelude::*;

/// Readings of the leader's clocks, the oldest first.
#[derive(Debug)]
pub(super) struct ClockReadings {
    /// Usual time between two readings.
    interval_ms: u64,
    readings: VecDeque<Now>,
}

impl ClockReadings {
    /// Returns no readings, which will be taken each `interval_ms`.
    pub(super) fn new(interval_ms: u64) -> ClockReadings {
        ClockReadings { interval_ms, readings: VecDeque::new() }
    }

    /// Adds a reading, and drops the old ones that are not needed for `age_ms`.
    pub(super) fn note(&mut self, now: Now, age_ms: u64) {
        let has_stalled = |it: &Now| it.mono_ms + 2 * self.interval_ms <= now.mono_ms;
        if self.readings.back().is_some_and(has_stalled) {
            self.readings.clear();
        }
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
