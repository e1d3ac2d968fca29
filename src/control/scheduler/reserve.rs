//! Room kept free for urgent work, by what its arrivals of late say is needed.
//!
//! Evicting alone cannot keep both promises: each urgent start that finds no room spends from the
//! disruption target, and once that is spent the next one waits. A reserve costs its size in
//! batch throughput, and only while urgent work does arrive.

use std::collections::VecDeque;

use crate::prelude::*;

/// How far back arrivals count.
const PAST_MS: u64 = 600_000;

/// Time within which urgent work is to start; arrivals in it need room beside each other.
const START_MS: u64 = 8_300;

/// Most places kept.
const PLACES_MAX: usize = 4;

/// Arrivals remembered.
const ARRIVALS_MAX: usize = 1_000;

/// The urgent arrivals of late.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentReserve {
    arrivals: VecDeque<(u64, Resources)>,
}

impl UrgentReserve {
    /// Notes the arrival of an urgent task.
    pub(super) fn note_arrival(&mut self, now: Now, need: Resources) {
        self.arrivals.push_back((now.mono_ms, need));
        if ARRIVALS_MAX < self.arrivals.len() {
            self.arrivals.pop_front();
        }
    }

    /// Returns how many places are to be kept, and how large each.
    pub(super) fn wanted(&mut self, now: Now) -> (usize, Resources) {
        while self.arrivals.front().is_some_and(|(at_ms, _)| at_ms + PAST_MS < now.mono_ms) {
            self.arrivals.pop_front();
        }
        let needs = self.arrivals.iter().map(|(_, need)| *need);
        let largest = needs.reduce(|a, b| Resources {
            cpu_millicores: a.cpu_millicores.max(b.cpu_millicores),
            memory_mib: a.memory_mib.max(b.memory_mib),
            accelerators: a.accelerators.max(b.accelerators),
        });
        let Some(largest) = largest else { return (0, crate::control::state::NO_RESOURCES) };
        let in_window = (self.arrivals.len() as u64 * START_MS).div_ceil(PAST_MS);
        ((in_window as usize).min(PLACES_MAX), largest)
    }

    /// Returns the key under which a place is held, which no task has.
    pub(super) fn key_of(place: usize) -> TaskId {
        TaskId(u64::MAX - place as u64)
    }

    /// Returns the keys of all places.
    pub(super) fn keys() -> impl Iterator<Item = TaskId> {
        (0..PLACES_MAX).map(UrgentReserve::key_of)
    }
}
