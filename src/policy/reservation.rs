//! Reserves capacity for tasks that fit into the free capacities of a pool in sum but on no worker.
//!
//! Smaller work fills each gap that opens, so a large task could wait without end. A reservation
//! keeps what becomes free on one worker for the task. Others may use that capacity as long as they
//! are forecast to end before the reservation is due, as in backfilling with one reservation
//! (Lifka, *The ANL/IBM SP scheduling system*, 1995; Mu'alem and Feitelson, *Utilization,
//! predictability, workloads, and user runtime estimates*, 2001).

use crate::{
    control::state::{NO_RESOURCES, add, fits},
    prelude::*,
};

/// The part of a pool's capacity, one in this many, that may be reserved at once: reserved capacity is partly idle, and
/// the rest of the pool must go on working.
const RESERVED_ONE_IN: u64 = 8;

/// The part of a worker's capacity, one in this many, from which on a task is large. Smaller tasks
/// fit into the gaps that the ends of short tasks open all the time, and reservations for them would
/// only take these gaps from each other.
const LARGE_ONE_IN: u64 = 8;

/// Time for which a task waits before capacity is reserved for it: most short tasks end within it,
/// and a gap that they leave may be large enough.
const RESERVE_AFTER_MS: u64 = 500;

/// Longest wait, by the late forecast, for which capacity is reserved without stopping a task.
const WAIT_MAX_MS: u64 = 4_000;

/// A run whose end is forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastEnd {
    pub resources: Resources,
    /// Time by which half of such runs have ended.
    pub median_ms: u64,
    /// Time by which nine of ten such runs have ended.
    pub late_ms: u64,
}

/// A long-running run that may be stopped so that it begins again on another worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovableRun {
    pub run: RunRef,
    pub resources: Resources,
    /// Number of tasks of its step that may be stopped now.
    pub spare: u32,
}

/// What is free on a worker, and what may become free.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRoom {
    pub worker: WorkerId,
    pub free: Resources,
    /// Runs that end by themselves, those with the earliest late end first.
    pub ends: Vec<ForecastEnd>,
    pub movable: Vec<MovableRun>,
}

impl WorkerRoom {
    /// Returns what is free once the runs have ended whose late end is at most `at_ms`.
    pub fn free_by(&self, at_ms: u64) -> Resources {
        let ended = self.ends.iter().take_while(|it| it.late_ms <= at_ms);
        ended.fold(self.free, |free, it| add(free, it.resources))
    }
}

/// When a task fits on a worker without a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FitTime {
    /// The late case.
    pub late_ms: u64,
    /// The median case.
    pub median_ms: u64,
}

/// Returns when `need` fits on a worker without a stop, or `None` if what ends there is too little.
///
/// ```
/// use aspenrail::{
///     policy::reservation::{FitTime, ForecastEnd, WorkerRoom, earliest_fit},
///     prelude::*,
/// };
///
/// let cpu = |cpu_millicores| Resources { cpu_millicores, memory_mib: 0, accelerators: 0 };
/// let end = |median_ms, late_ms| ForecastEnd { resources: cpu(1_000), median_ms, late_ms };
/// let ends = vec![end(600, 1_000), end(900, 2_000)];
/// let room = WorkerRoom { worker: WorkerId(1), free: cpu(3_000), ends, movable: Vec::new() };
/// assert_eq!(earliest_fit(cpu(4_000), &room, 0), Some(FitTime { late_ms: 1_000, median_ms: 600 }));
/// assert_eq!(earliest_fit(cpu(6_000), &room, 0), None);
/// ```
pub fn earliest_fit(need: Resources, room: &WorkerRoom, now_ms: u64) -> Option<FitTime> {
    let mut free = room.free;
    let mut res = FitTime { late_ms: now_ms, median_ms: now_ms };
    for it in &room.ends {
        if fits(need, free) {
            break;
        }
        free = add(free, it.resources);
        res.late_ms = res.late_ms.max(it.late_ms);
        res.median_ms = res.median_ms.max(it.median_ms);
    }
    fits(need, free).then_some(res)
}

/// Chooses the worker on which `need` fits first without a stop; `None` if it fits on none soon
/// enough. Of equal ones, the worker that is left with the least free processor is chosen.
pub fn choose_without_stop(
    need: Resources,
    rooms: &[WorkerRoom],
    now_ms: u64,
) -> Option<(usize, FitTime)> {
    let fit = |(index, it): (usize, &WorkerRoom)| Some((index, earliest_fit(need, it, now_ms)?));
    let soon = |it: &(usize, FitTime)| it.1.late_ms <= now_ms + WAIT_MAX_MS;
    let fitting = rooms.iter().enumerate().filter_map(fit).filter(soon);
    fitting.min_by_key(|(index, it)| (*it, rooms[*index].free.cpu_millicores, *index))
}

/// Returns whether a task that has waited for `waited_ms` may get a reservation.
pub fn has_waited_enough(waited_ms: u64) -> bool {
    RESERVE_AFTER_MS <= waited_ms
}

/// Returns whether a task needs a large part of some resource of a worker of mean size in a pool of
/// `workers`.
pub fn is_large(need: Resources, capacity: Resources, workers: usize) -> bool {
    let is_large = |need: u32, capacity: u32| {
        0 < need && u64::from(capacity) <= u64::from(need) * LARGE_ONE_IN * workers as u64
    };
    is_large(need.cpu_millicores, capacity.cpu_millicores)
        || is_large(need.memory_mib, capacity.memory_mib)
        || is_large(need.accelerators, capacity.accelerators)
}

/// Returns whether a task that is forecast to end by `late_end_ms`, late case included, may use
/// capacity reserved from `due_ms` on.
pub fn may_backfill(late_end_ms: u64, due_ms: u64) -> bool {
    late_end_ms <= due_ms
}

/// Returns whether `need` may be reserved beside what is reserved in a pool. One task may be,
/// however small the pool is.
pub fn is_within_bound(need: Resources, reserved: Resources, capacity: Resources) -> bool {
    let bound = Resources {
        cpu_millicores: share(capacity.cpu_millicores),
        memory_mib: share(capacity.memory_mib),
        accelerators: share(capacity.accelerators),
    };
    let is_first = reserved == NO_RESOURCES;
    is_first || fits(add(reserved, need), bound)
}

/// Returns the part of an amount that may be reserved.
fn share(amount: u32) -> u32 {
    (u64::from(amount) / RESERVED_ONE_IN) as u32
}
