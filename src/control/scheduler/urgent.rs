//! Capacity for urgent work: reserved in advance, or freed by eviction.

use std::collections::BTreeMap;

use crate::{
    control::{
        scheduler::{
            Plan, RESERVATION_MS, Reservation, Scheduler, VICTIM_VMS_MAX, is_open,
            reserve::UrgentReserve,
        },
        state::{State, Vm, subtract},
    },
    policy::{
        preemption::{EvictionBudget, EvictionPurpose, Victim, choose_victims},
        task_queue::StartCandidate,
    },
    prelude::*,
};

impl Scheduler {
    /// Adjusts the reservations for urgent work to its recent arrivals.
    pub(super) fn update_urgent_reserve(&mut self, state: &State, now: Now) {
        for need in std::mem::take(&mut self.urgent_arrivals) {
            self.urgent_reserve.note_arrival(now, need);
        }
        let (count, need) = self.urgent_reserve.required(now);
        let count = if self.options.keeps_urgent_reserve { count } else { 0 };
        for (number, key) in UrgentReserve::keys().enumerate() {
            let reservation = self.reservations.get(&key).copied();
            let is_open = reservation
                .is_some_and(|it| state.vms.get(it.vm).is_some_and(|vm| is_open(state, vm)));
            match reservation {
                Some(it) if count <= number || it.need != need || !is_open => {
                    self.release_reservation(key);
                    self.refresh_free_capacity(state, it.vm);
                }
                Some(_) => continue,
                None => (),
            }
            // The VM may be full now: its tasks end in time, and no new task takes their place.
            if number < count
                && let Some(vm) = self.free_capacity_index.vm_with_most_free_cpu()
            {
                self.reserve(
                    state,
                    key,
                    Reservation { vm, need, until_ms: u64::MAX, is_start_proposed: false },
                );
            }
        }
    }

    /// Returns the VM of a reservation whose capacity is free now.
    ///
    /// The reservation stays: the capacity freed when this urgent task ends is for the next one.
    pub(super) fn find_reserved_vm(&self, state: &State, need: Resources) -> Option<VmId> {
        let vm_if_free = |key: TaskId| {
            let reservation = self.reservations.get(&key)?;
            self.fits_reservation(state, reservation.vm, need, key).then_some(reservation.vm)
        };
        UrgentReserve::keys().find_map(vm_if_free)
    }

    /// Frees capacity for an urgent task by evicting batch work on one VM.
    pub(super) fn preempt(
        &mut self,
        state: &State,
        it: &StartCandidate,
        now: Now,
        plan: &mut Plan,
    ) {
        let after = state.vms.iter().filter(|vm| self.victim_cursor < vm.id);
        let before = state.vms.iter().filter(|vm| vm.id <= self.victim_cursor);
        let searched_vms: Vec<_> = after.chain(before).take(VICTIM_VMS_MAX).collect();
        let mut best: Option<(u64, VmId, Vec<TaskId>)> = None;
        for vm in searched_vms {
            self.victim_cursor = vm.id;
            if !is_open(state, vm) {
                continue;
            }
            let reservations = self
                .reservations_by_vm
                .get(&vm.id)
                .into_iter()
                .flatten()
                .filter_map(|it| self.reservations.get(it));
            let free = reservations.fold(vm.free_capacity(), |free, it| subtract(free, it.need));
            let victims = self.victims_on(state, vm, now);
            let Some((tasks, lost_ms)) = choose_victims(it.need, free, &victims) else { continue };
            if best.as_ref().is_none_or(|(least_lost_ms, _, _)| lost_ms < *least_lost_ms) {
                best = Some((lost_ms, vm.id, tasks));
            }
        }
        let Some((_, vm, victims)) = best else { return };
        if !self.charge_evictions(state, &victims, now, EvictionPurpose::UrgentStart) {
            return;
        }
        for id in victims {
            self.evict(state, id, plan);
        }
        let until_ms = now.mono_ms + RESERVATION_MS;
        let reservation = Reservation { vm, need: it.need, until_ms, is_start_proposed: false };
        self.reserve(state, it.task, reservation);
    }

    pub(super) fn victims_on(&self, state: &State, vm: &Vm, now: Now) -> Vec<Victim> {
        let running = vm.tasks.iter().filter_map(|id| state.jobs.task(*id));
        let evictable =
            running.filter(|it| it.state == TaskState::Running && !self.evicting.contains(&it.id));
        let batch = evictable.filter_map(|it| {
            let job = state.jobs.job_of(it)?;
            let class = state.class(&job.spec.class)?;
            let since_ms = it.placement.map_or(now.wall_ms, |it| it.since_ms);
            let is_batch = class.kind == ClassKind::Batch && !class.urgent;
            is_batch.then(|| Victim {
                task: it.id,
                resources: job.spec.resources,
                lost_run_ms: now.wall_ms.saturating_sub(since_ms),
                exceeds_quota: 1_000 < self.queue.share_permille(&job.team),
            })
        });
        batch.collect()
    }

    /// Charges the evictions of `tasks` to the budgets of their classes: all of them or none.
    ///
    /// Charging some before another is refused would spend budget although no task is evicted.
    pub(super) fn charge_evictions(
        &mut self,
        state: &State,
        tasks: &[TaskId],
        now: Now,
        purpose: EvictionPurpose,
    ) -> bool {
        let mut by_class: BTreeMap<&CompactString, (u32, u32)> = BTreeMap::new();
        for id in tasks {
            let job = state.jobs.task(*id).and_then(|it| state.jobs.job_of(it));
            let Some(class) = job.and_then(|it| state.class(&it.spec.class)) else { return false };
            by_class.entry(&class.name).or_insert((class.evictions_per_hour, 0)).1 += 1;
        }
        let budgets = &mut self.eviction_budgets;
        let mut allows = |class: &CompactString, per_hour: u32, count: u32| {
            let budget = budgets.entry(class.clone());
            let budget = budget.or_insert_with(|| EvictionBudget::new(per_hour, now.mono_ms));
            budget.allows(per_hour, now.mono_ms, purpose, count)
        };
        if !by_class.iter().all(|(class, (per_hour, count))| allows(class, *per_hour, *count)) {
            return false;
        }
        for (class, (_, count)) in by_class {
            if let Some(it) = self.eviction_budgets.get_mut(class) {
                it.spend(count);
            }
        }
        true
    }

    pub(super) fn evict(&mut self, state: &State, id: TaskId, plan: &mut Plan) {
        let Some(task) = state.jobs.task(id) else { return };
        self.evicting.insert(id);
        let event = TaskEvent::EvictRequested;
        plan.events.push(TaskEventCommand { task: id, incarnation: task.incarnation, event });
    }
}
