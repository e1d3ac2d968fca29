//! Sizes the capacity reserved for urgent work from the recent arrivals of urgent tasks.
//!
//! Eviction alone cannot meet both the urgent start target and the eviction limit: each urgent
//! start without free capacity spends eviction budget, and once that is spent the next one waits.
//! The reserve costs batch throughput equal to its size, and only while urgent tasks arrive.

use std::collections::VecDeque;

use crate::prelude::*;

/// Age up to which arrivals count.
const ARRIVAL_WINDOW_MS: u64 = 600_000;

/// Time within which urgent tasks must start; tasks arriving within it need capacity at once.
const START_TARGET_MS: u64 = 8_300;

const RESERVATIONS_MAX: usize = 4;

/// Highest number of arrivals kept; the oldest are dropped.
const ARRIVALS_MAX: usize = 1_000;

#[derive(Clone, Debug, Default)]
pub(super) struct UrgentReserve {
    arrivals: VecDeque<(u64, Resources)>,
}

impl UrgentReserve {
    pub(super) fn note_arrival(&mut self, now: Now, need: Resources) {
        self.arrivals.push_back((now.mono_ms, need));
        if ARRIVALS_MAX < self.arrivals.len() {
            self.arrivals.pop_front();
        }
    }

    /// Returns the required number of reservations, and the size of each.
    pub(super) fn required(&mut self, now: Now) -> (usize, Resources) {
        while self
            .arrivals
            .front()
            .is_some_and(|(arrived_ms, _)| arrived_ms + ARRIVAL_WINDOW_MS < now.mono_ms)
        {
            self.arrivals.pop_front();
        }
        let needs = self.arrivals.iter().map(|(_, need)| *need);
        let largest = needs.reduce(|a, b| Resources {
            cpu_millicores: a.cpu_millicores.max(b.cpu_millicores),
            memory_mib: a.memory_mib.max(b.memory_mib),
            accelerators: a.accelerators.max(b.accelerators),
        });
        let Some(largest) = largest else { return (0, crate::control::state::NO_RESOURCES) };
        let concurrent_arrivals =
            (self.arrivals.len() as u64 * START_TARGET_MS).div_ceil(ARRIVAL_WINDOW_MS);
        ((concurrent_arrivals as usize).min(RESERVATIONS_MAX), largest)
    }

    /// Returns the key of a reservation: a task id that no task has.
    pub(super) fn key_of(index: usize) -> TaskId {
        TaskId(u64::MAX - index as u64)
    }

    pub(super) fn keys() -> impl Iterator<Item = TaskId> {
        (0..RESERVATIONS_MAX).map(UrgentReserve::key_of)
    }
}
