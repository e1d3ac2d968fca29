//! Relief for services whose neighbours slow them down, and for VMs that are to be emptied.

use crate::{
    control::{
        scheduler::{Plan, Scheduler, costs::share_of},
        state::{State, Vm},
    },
    policy::{
        feedback::{FeedbackAction, TailLatencyReport},
        preemption::EvictionPurpose,
    },
    prelude::*,
};

/// Time for requests in flight to end before a drained VM's services are moved.
const DRAIN_SERVICES_MS: u64 = 15_000;

/// What a task has of its processors when it is not throttled.
const FREE_PERMILLE: u32 = 1_000;

impl Scheduler {
    /// Learns from a VM's report of its endpoints, and acts on tails above their target.
    pub fn note_endpoints(
        &mut self,
        state: &State,
        vm: &Vm,
        reports: &[EndpointReport],
        age_ms: u64,
        now: Now,
    ) -> Vec<TaskEventCommand> {
        let mut classes: Vec<_> = reports.iter().map(|it| it.class.clone()).collect();
        classes.sort_unstable();
        classes.dedup();
        self.services.insert(vm.id, classes);
        let measured = reports.iter().filter(|it| 0 < it.answer_p99_ms);
        let mut worst: Option<(u64, u64, CompactString)> = None;
        for it in measured {
            let tail_ms = u64::from(it.answer_p99_ms);
            if self.options.learns_interference {
                let then = now.mono_ms.saturating_sub(age_ms);
                self.interference_model.observe(
                    &it.class,
                    tail_ms as f64,
                    self.workload_history.kinds_at(vm.id, then),
                );
            }
            let Some(class) = state.class(&it.class).filter(|it| 0 < it.answer_target_ms) else {
                continue;
            };
            let target_ms = u64::from(class.answer_target_ms);
            let is_worse =
                worst.as_ref().is_none_or(|(tail, target, _)| tail * target_ms < tail_ms * target);
            if is_worse {
                worst = Some((tail_ms, target_ms, it.class.clone()));
            }
        }
        match worst {
            Some((tail_ms, target_ms, class)) if self.options.uses_feedback => {
                let unthrottled_tail_ms = self.tail_if_released(vm, &class, tail_ms);
                let report = TailLatencyReport {
                    tail_ms,
                    unthrottled_tail_ms,
                    target_ms,
                    report_age_ms: age_ms,
                };
                self.feed_back(state, vm, &class, report, now)
            }
            _ => Vec::new(),
        }
    }

    /// Returns the tail to expect on a VM if its throttled neighbour ran freely.
    fn tail_if_released(&self, vm: &Vm, class: &str, tail_ms: u64) -> u64 {
        let throttled = self.feedback_loops.get(&vm.id).and_then(|it| it.throttled());
        let held_back = throttled.and_then(|id| {
            let placed_task = self.placed_tasks.get(id)?;
            let kept = f64::from(self.throttles.get(&id).copied().unwrap_or(FREE_PERMILLE));
            let share =
                share_of(placed_task.need, vm.capacity) * (1.0 - kept / f64::from(FREE_PERMILLE));
            Some(self.interference_model.added_slowdown(class, placed_task.kind.as_ref()?) * share)
        });
        let baseline_tail_ms = self.interference_model.baseline_tail_ms(class).unwrap_or(0.0);
        tail_ms + (held_back.unwrap_or(0.0) * baseline_tail_ms) as u64
    }

    fn feed_back(
        &mut self,
        state: &State,
        vm: &Vm,
        class: &str,
        report: TailLatencyReport,
        now: Now,
    ) -> Vec<TaskEventCommand> {
        let harm_of = |id: &TaskId| {
            let task = state.jobs.task(*id).filter(|it| it.state == TaskState::Running)?;
            let placed_task = self.placed_tasks.get(task.id)?;
            let kind = placed_task.kind.as_ref()?;
            let share = share_of(placed_task.need, vm.capacity);
            // Before anything is learned the largest neighbour is the likeliest.
            Some(((self.interference_model.added_slowdown(class, kind) + 0.01) * share, *id))
        };
        let worst = vm.tasks.iter().filter_map(harm_of).max_by(|a, b| a.0.total_cmp(&b.0));
        let feedback = self.feedback_loops.entry(vm.id).or_default();
        let action = feedback.observe(now.mono_ms, report, worst.map(|(_, id)| id));
        let mut plan = Plan::default();
        match action {
            FeedbackAction::None => (),
            FeedbackAction::Throttle { task, permille } => self.throttle(task, permille),
            // Told to the agent as a throttle that leaves everything.
            FeedbackAction::Release { task } => self.throttle(task, FREE_PERMILLE),
            FeedbackAction::Move { task } => {
                if self.may_evict(state, &[task], now, EvictionPurpose::LatencyRelief) {
                    self.evict(state, task, &mut plan);
                } else if let Some(it) = self.feedback_loops.get_mut(&vm.id) {
                    it.restore_throttled(task);
                }
            }
        }
        plan.events
    }

    /// Moves the tasks of VMs that an operator drains: batch work at once, services once entries
    /// have stopped sending requests there and what was in flight has ended.
    ///
    /// These evictions were ordered, so they are not taken from the disruption targets.
    pub(super) fn empty_draining(&mut self, state: &State, now: Now, plan: &mut Plan) {
        for since_ms in self.draining.values_mut().filter(|it| **it == 0) {
            *since_ms = now.mono_ms;
        }
        let mut moved = Vec::new();
        for (id, since_ms) in &self.draining {
            let Some(vm) = state.vms.get(*id) else { continue };
            let services_too = since_ms + DRAIN_SERVICES_MS <= now.mono_ms;
            let running = vm.tasks.iter().filter(|id| {
                state.jobs.task(**id).is_some_and(|it| it.state == TaskState::Running)
            });
            let is_batch =
                |id: &TaskId| self.placed_tasks.get(*id).is_some_and(|it| it.kind.is_some());
            moved.extend(
                running.filter(|id| (services_too || is_batch(id)) && !self.evicting.contains(id)),
            );
        }
        for id in moved {
            self.evict(state, id, plan);
        }
    }

    fn throttle(&mut self, task: TaskId, permille: u32) {
        self.throttles.insert(task, permille);
        self.placed_tasks.throttle(task, permille);
    }
}
