//! The cost of placing a task on a VM, as used by [`crate::policy::placement`].

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

/// Slow-down of a service below which batch work beside it is ignored.
const NEGLIGIBLE_SLOWDOWN: f64 = 0.03;

/// Fraction of the latency target up to which slowing a service down costs nothing.
const COST_FREE_TARGET_FRACTION: f64 = 0.6;

/// Fraction of the latency target beyond which batch work that slows the service down waits.
const TARGET_FRACTION_MAX: f64 = 0.9;

pub(super) struct Costs<'a> {
    scheduler: &'a Scheduler,
    state: &'a State,
    task: &'a Task,
    kind: &'a str,
    class: &'a str,
    is_batch: bool,
    /// Whether the task waits rather than slow a service down; urgent and due tasks do not wait.
    may_wait: bool,
    need: Resources,
    /// Number of tasks of the same job by zone and rack; filled for services only.
    same_job_tasks: HashMap<(&'a str, &'a str), u32>,
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
        let mut same_job_tasks = HashMap::new();
        if !is_batch && let Some(job) = job {
            let placed =
                job.task_ids().filter_map(|id| state.jobs.task(id)?.placement.map(|it| it.vm));
            let reserved =
                job.task_ids().filter_map(|id| scheduler.reservations.get(&id).map(|it| it.vm));
            for vm in placed.chain(reserved).filter_map(|id| state.vms.get(id)) {
                *same_job_tasks.entry((vm.zone.as_str(), vm.rack.as_str())).or_insert(0) += 1;
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
            same_job_tasks,
        }
    }
}

impl Costs<'_> {
    /// Returns how far the services of a VM would exceed the cost-free part of their latency
    /// targets; infinity if the task has to wait.
    ///
    /// A task adds the same slow-down on every VM, but its neighbours differ. Batch work that slows
    /// services down is therefore spread until each VM has as much of it as its targets allow, and
    /// then waits. Other batch work goes to any VM.
    fn latency_cost(&self, vm: &Vm, kinds: &[(CompactString, f64)], is_closed: bool) -> f64 {
        let interference_model = &self.scheduler.interference_model;
        let cpu_fraction = cpu_fraction_of(self.need, vm.capacity);
        let services = self.scheduler.services.get(&vm.id).map_or(&[][..], |it| it.as_slice());
        let mut cost = 0.0;
        for class in services {
            let added_slowdown = interference_model.added_slowdown(class, self.kind) * cpu_fraction;
            let target_ms = self.state.class(class).map_or(0, |it| it.answer_target_ms);
            let Some(baseline_tail_ms) = interference_model
                .baseline_tail_ms(class)
                .filter(|_| NEGLIGIBLE_SLOWDOWN <= added_slowdown && 0 < target_ms)
            else {
                continue;
            };
            let before = interference_model.slowdown(class, kinds);
            let after = baseline_tail_ms * (before + added_slowdown) / f64::from(target_ms);
            // The only such task on a VM is always admitted; otherwise it would wait forever.
            let is_alone = before < 1.0 + NEGLIGIBLE_SLOWDOWN;
            if self.may_wait && !is_alone && (is_closed || TARGET_FRACTION_MAX < after) {
                return f64::INFINITY;
            }
            cost += (after - COST_FREE_TARGET_FRACTION).max(0.0);
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
            // Without estimates any batch work may be the cause of the slow-down.
            false if is_closed => return f64::INFINITY,
            false => return 0.0,
            true => (),
        }
        let kinds = self.scheduler.placed_tasks.kinds_on(id, vm.capacity);
        let cost = match self.is_batch {
            true => self.latency_cost(vm, &kinds, is_closed),
            false => self.scheduler.interference_model.slowdown(self.class, &kinds) - 1.0,
        };
        // Smaller differences are estimation noise and must not outweigh a tight fit.
        (cost * 8.0).round() / 8.0
    }

    fn same_job_counts(&self, candidate: &FreeVmCapacity) -> (u32, u32) {
        let zone = self
            .same_job_tasks
            .iter()
            .filter(|((zone, _), _)| *zone == candidate.zone)
            .map(|(_, it)| it)
            .sum();
        let rack = self
            .same_job_tasks
            .get(&(candidate.zone.as_str(), candidate.rack.as_str()))
            .copied()
            .unwrap_or(0);
        (zone, rack)
    }
}

/// Returns the fraction of a VM's processors that a task requests.
pub(super) fn cpu_fraction_of(need: Resources, capacity: Resources) -> f64 {
    f64::from(need.cpu_millicores) / f64::from(capacity.cpu_millicores.max(1))
}
