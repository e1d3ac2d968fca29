//! For how long ended workflows are kept, whatever clocks of day do.
//!
//! An end is stamped by the clock of day of the leader that took it in, which may be set ahead or
//! back, and differs from the next leader's. So a leader counts the time itself, by a clock that is
//! never set, and knows what its clock of day read then.

use std::collections::VecDeque;

use crate::prelude::*;

/// Readings of the leader's clocks, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ClockReadings {
    readings: VecDeque<Now>,
}

impl ClockReadings {
    /// Takes in a reading; those that are older than the one sought for `age_ms` are dropped.
    pub(super) fn note(&mut self, now: Now, age_ms: u64) {
        self.readings.push_back(now);
        let is_old = |it: &Now| it.mono_ms + age_ms <= now.mono_ms;
        while self.readings.get(1).is_some_and(is_old) {
            self.readings.pop_front();
        }
    }

    /// Returns a time of day that only stamps of more than `age_ms` ago are before; nothing for as
    /// long as this leader has not led for that time.
    ///
    /// What was stamped since then is not before it, even where the clock was set back meanwhile.
    pub(super) fn wall_before(&self, now: Now, age_ms: u64) -> Option<u64> {
        let first = self.readings.front()?;
        if now.mono_ms < first.mono_ms + age_ms {
            return None;
        }
        self.readings.iter().map(|it| it.wall_ms).min()
    }
}
