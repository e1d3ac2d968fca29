//! What placing a task would cost, as the placement asks it.

use std::collections::HashMap;

use crate::{
    control::{
        scheduler::Scheduler,
        state::{NO_RESOURCES, State, Task, Vm},
    },
    policy::{
        placement::{FreeVmCapacity, PlacementCost},
        task_queue::Tier,
    },
    prelude::*,
};

/// Slow-down below which a neighbour counts as harmless.
const HARMLESS: f64 = 0.03;

/// Part of a target up to which harmful work costs nothing.
const COMFORT: f64 = 0.6;

/// Part of a target beyond which harmful work waits.
const FULL: f64 = 0.9;

/// The costs of placing one task.
pub(super) struct Costs<'a> {
    scheduler: &'a Scheduler,
    state: &'a State,
    task: &'a Task,
    kind: &'a str,
    class: &'a str,
    is_batch: bool,
    /// Whether the task waits rather than harm: urgent and due work does not.
    may_wait: bool,
    need: Resources,
    /// Tasks of the same job by zone and rack, for services only.
    places: HashMap<(&'a str, &'a str), u32>,
}

impl<'a> Costs<'a> {
    pub(super) fn new(
        scheduler: &'a Scheduler,
        state: &'a State,
        task: &'a Task,
        tier: Tier,
    ) -> Costs<'a> {
        let job = state.jobs.job_of(task);
        let class = job.map_or("", |it| it.spec.class.as_str());
        let is_batch = state.class(class).is_none_or(|it| it.kind == ClassKind::Batch);
        let mut places = HashMap::new();
        if !is_batch && let Some(job) = job {
            let placed =
                job.task_ids().filter_map(|id| state.jobs.task(id)?.placement.map(|it| it.vm));
            let held =
                job.task_ids().filter_map(|id| scheduler.reservations.get(&id).map(|it| it.vm));
            for vm in placed.chain(held).filter_map(|id| state.vms.get(id)) {
                *places.entry((vm.zone.as_str(), vm.rack.as_str())).or_insert(0) += 1;
            }
        }
        Costs {
            scheduler,
            state,
            task,
            kind: job.map_or("", |it| it.spec.kind.as_str()),
            class,
            is_batch,
            may_wait: tier == Tier::Batch,
            need: job.map_or(NO_RESOURCES, |it| it.spec.resources),
            places,
        }
    }
}

impl Costs<'_> {
    /// Returns how close to their targets, or beyond, the task would bring the services of a VM.
    ///
    /// What the task adds is the same everywhere; what it meets there is not. So work that harms
    /// is spread until each VM has as much of it as its targets bear, and then waits, while work
    /// that does no harm goes anywhere.
    fn harm_done(&self, vm: &Vm, kinds: &[(CompactString, f64)], is_closed: bool) -> f64 {
        let interference_model = &self.scheduler.interference_model;
        let share = share_of(self.need, vm.capacity);
        let services = self.scheduler.services.get(&vm.id).map_or(&[][..], |it| it.as_slice());
        let mut cost = 0.0;
        for class in services {
            let harm = interference_model.added_slowdown(class, self.kind) * share;
            let target_ms = self.state.class(class).map_or(0, |it| it.answer_target_ms);
            let Some(baseline_tail_ms) = interference_model
                .baseline_tail_ms(class)
                .filter(|_| HARMLESS <= harm && 0 < target_ms)
            else {
                continue;
            };
            let before = interference_model.slowdown(class, kinds);
            let after = baseline_tail_ms * (before + harm) / f64::from(target_ms);
            // Alone it runs somewhere in the end, whatever it does: else it would wait for ever.
            let is_alone = before < 1.0 + HARMLESS;
            if self.may_wait && !is_alone && (is_closed || FULL < after) {
                return f64::INFINITY;
            }
            cost += (after - COMFORT).max(0.0);
        }
        cost
    }
}

impl PlacementCost for Costs<'_> {
    fn interference(&self, id: VmId) -> f64 {
        if self.task.failed_on.contains(&id) {
            return 1e6;
        }
        let Some(vm) = self.state.vms.get(id) else { return f64::INFINITY };
        let is_closed = self.is_batch && self.scheduler.is_closed_to_batch(id);
        match self.scheduler.options.learns_interference {
            // Without estimates any batch work may be what harms.
            false if is_closed => return f64::INFINITY,
            false => return 0.0,
            true => (),
        }
        let kinds = self.scheduler.placed_tasks.kinds_on(id, vm.capacity);
        let cost = match self.is_batch {
            true => self.harm_done(vm, &kinds, is_closed),
            false => self.scheduler.interference_model.slowdown(self.class, &kinds) - 1.0,
        };
        // Small differences are noise of the estimate; they must not beat a tight fit.
        (cost * 8.0).round() / 8.0
    }

    fn same_job_counts(&self, room: &FreeVmCapacity) -> (u32, u32) {
        let zone =
            self.places.iter().filter(|((zone, _), _)| *zone == room.zone).map(|(_, it)| it).sum();
        let rack = self.places.get(&(room.zone.as_str(), room.rack.as_str())).copied().unwrap_or(0);
        (zone, rack)
    }
}

/// Returns the part of a VM's processors that a task takes.
pub(super) fn share_of(need: Resources, of: Resources) -> f64 {
    f64::from(need.cpu_millicores) / f64::from(of.cpu_millicores.max(1))
}
