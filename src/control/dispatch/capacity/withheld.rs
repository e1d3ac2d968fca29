//! Capacity of a worker that is kept for tasks with reservations.

use crate::{
    control::{
        dispatch::capacity::{FreeCapacity, TaskDemand},
        state::{NO_RESOURCES, add, fits, subtract},
    },
    policy::reservation::may_backfill,
    prelude::*,
};

/// Free capacity that only tasks with a reservation may use, and those that end before it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Withheld {
    pub resources: Resources,
    /// When the first of the reservations is due.
    due_ms: u64,
}

impl Withheld {
    pub(super) const NONE: Withheld = Withheld { resources: NO_RESOURCES, due_ms: u64::MAX };
}

impl FreeCapacity {
    /// Returns what is free, with what is withheld.
    pub(in crate::control::dispatch) fn free_and_withheld(&self) -> Resources {
        add(self.free, self.withheld.resources)
    }

    /// Returns what any task may use.
    pub(in crate::control::dispatch) fn free(&self) -> Resources {
        self.free
    }

    /// Withholds capacity for a reservation, as far as it is free.
    pub(in crate::control::dispatch) fn withhold(&mut self, resources: Resources, due_ms: u64) {
        let rest = subtract(self.free, resources);
        self.withheld.resources = add(self.withheld.resources, subtract(self.free, rest));
        self.withheld.due_ms = self.withheld.due_ms.min(due_ms);
        self.free = rest;
    }

    /// Gives capacity back that was withheld for a reservation.
    pub(in crate::control::dispatch) fn give_back(&mut self, resources: Resources) {
        let rest = subtract(self.withheld.resources, resources);
        self.free = add(self.free, subtract(self.withheld.resources, rest));
        self.withheld.resources = rest;
    }

    /// Takes capacity for a task: what is free first, then what is withheld.
    pub(super) fn take(&mut self, resources: Resources) {
        let missing = subtract(resources, self.free);
        self.withheld.resources = subtract(self.withheld.resources, missing);
        self.free = subtract(self.free, resources);
    }

    /// Returns whether a task fits, by its requirements and the time by which it ends.
    pub(super) fn has_room_for(&self, demand: &TaskDemand<'_>) -> bool {
        fits(demand.reservation, self.free)
            || (may_backfill(demand.late_end_ms, self.withheld.due_ms)
                && fits(demand.reservation, self.free_and_withheld()))
    }

    /// Returns whether the worker may run tasks of a step, apart from what is free on it.
    pub(in crate::control::dispatch) fn suits(&self, step: &WorkflowStep, queue: &Queue) -> bool {
        (step.required_label.is_empty() || step.required_label == self.kind)
            && self.service == queue.service
    }
}
