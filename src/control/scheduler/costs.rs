//! What placing a task would cost, as the placement asks it.

use std::collections::HashMap;

use crate::{
    control::{
        scheduler::Scheduler,
        state::{NOTHING, State, Task},
    },
    policy::placement::{Cost, Room},
    prelude::*,
};

/// The costs of placing one task.
pub(super) struct Costs<'a> {
    scheduler: &'a Scheduler,
    state: &'a State,
    task: &'a Task,
    kind: &'a str,
    class: &'a str,
    is_batch: bool,
    need: Resources,
    /// Tasks of the same job by zone and rack, for services only.
    places: HashMap<(&'a str, &'a str), u32>,
}

impl<'a> Costs<'a> {
    pub(super) fn new(scheduler: &'a Scheduler, state: &'a State, task: &'a Task) -> Costs<'a> {
        let job = state.jobs.job_of(task);
        let class = job.map_or("", |it| it.spec.class.as_str());
        let is_batch = state.class(class).is_none_or(|it| it.kind == ClassKind::Batch);
        let mut places = HashMap::new();
        if !is_batch && let Some(job) = job {
            let placed =
                job.task_ids().filter_map(|id| state.jobs.task(id)?.placement.map(|it| it.vm));
            let held = job.task_ids().filter_map(|id| scheduler.holds.get(&id).map(|it| it.vm));
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
            need: job.map_or(NOTHING, |it| it.spec.resources),
            places,
        }
    }
}

impl Cost for Costs<'_> {
    fn interference(&self, id: VmId) -> f64 {
        if self.task.failed_on.contains(&id) {
            return 1e6;
        }
        let Some(vm) = self.state.vms.get(id) else {
            return f64::INFINITY;
        };
        if self.is_batch && self.scheduler.is_closed(id) {
            return f64::INFINITY;
        }
        if !self.scheduler.options.learns_interference {
            return 0.0;
        }
        let pairs = &self.scheduler.pairs;
        let share = share_of(self.need, vm.capacity);
        let services = self.scheduler.services.get(&id).map_or(&[][..], |it| it.as_slice());
        let done = services.iter().map(|class| pairs.harm(class, self.kind) * share).sum::<f64>();
        let suffered = match self.is_batch {
            true => 0.0,
            false => {
                let kinds = self.scheduler.residents.kinds_on(id, vm.capacity);
                pairs.slowdown(self.class, &kinds) - 1.0
            }
        };
        // Small differences are noise of the estimate; they must not beat a tight fit.
        ((done + suffered) * 4.0).round() / 4.0
    }

    fn neighbours(&self, room: &Room) -> (u32, u32) {
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
