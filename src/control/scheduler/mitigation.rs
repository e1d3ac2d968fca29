//! Throttles and evicts batch work that slows services down, and evicts tasks from draining VMs.

use crate::{
    control::{
        scheduler::{Plan, Scheduler, costs::cpu_fraction_of},
        state::{State, Vm},
    },
    policy::{
        feedback::{FeedbackAction, TailLatencyReport},
        preemption::EvictionPurpose,
    },
    prelude::*,
};

/// Time allowed for requests in flight to end before the services of a draining VM are evicted.
const DRAIN_SERVICES_DELAY_MS: u64 = 15_000;

/// CPU limit of a task that is not throttled.
const UNTHROTTLED_PERMILLE: u32 = 1_000;

impl Scheduler {
    /// Learns from a VM's endpoint report, and mitigates tail latency above its target.
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
                let measured_at_ms = now.mono_ms.saturating_sub(age_ms);
                self.interference_model.observe(
                    &it.class,
                    tail_ms as f64,
                    self.workload_history.kinds_at(vm.id, measured_at_ms),
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
                let unthrottled_tail_ms = self.unthrottled_tail_ms_of(vm, &class, tail_ms);
                let report = TailLatencyReport {
                    tail_ms,
                    unthrottled_tail_ms,
                    target_ms,
                    report_age_ms: age_ms,
                };
                self.apply_feedback(state, vm, &class, report, now)
            }
            _ => Vec::new(),
        }
    }

    /// Returns the tail latency expected on a VM if its throttled task ran without the throttle.
    fn unthrottled_tail_ms_of(&self, vm: &Vm, class: &str, tail_ms: u64) -> u64 {
        let throttled = self.feedback_loops.get(&vm.id).and_then(|it| it.throttled());
        let withheld_slowdown = throttled.and_then(|id| {
            let placed_task = self.placed_tasks.get(id)?;
            let limit_permille =
                f64::from(self.throttles.get(&id).copied().unwrap_or(UNTHROTTLED_PERMILLE));
            let cpu_fraction = cpu_fraction_of(placed_task.need, vm.capacity)
                * (1.0 - limit_permille / f64::from(UNTHROTTLED_PERMILLE));
            Some(
                self.interference_model.added_slowdown(class, placed_task.kind.as_ref()?)
                    * cpu_fraction,
            )
        });
        let baseline_tail_ms = self.interference_model.baseline_tail_ms(class).unwrap_or(0.0);
        tail_ms + (withheld_slowdown.unwrap_or(0.0) * baseline_tail_ms) as u64
    }

    fn apply_feedback(
        &mut self,
        state: &State,
        vm: &Vm,
        class: &str,
        report: TailLatencyReport,
        now: Now,
    ) -> Vec<TaskEventCommand> {
        let slowdown_by = |id: &TaskId| {
            let task = state.jobs.task(*id).filter(|it| it.state == TaskState::Running)?;
            let placed_task = self.placed_tasks.get(task.id)?;
            let kind = placed_task.kind.as_ref()?;
            let cpu_fraction = cpu_fraction_of(placed_task.need, vm.capacity);
            // The constant makes the largest task the likeliest cause before the model has data.
            Some(((self.interference_model.added_slowdown(class, kind) + 0.01) * cpu_fraction, *id))
        };
        let worst = vm.tasks.iter().filter_map(slowdown_by).max_by(|a, b| a.0.total_cmp(&b.0));
        let feedback_loop = self.feedback_loops.entry(vm.id).or_default();
        let action = feedback_loop.observe(now.mono_ms, report, worst.map(|(_, id)| id));
        let mut plan = Plan::default();
        match action {
            FeedbackAction::None => (),
            FeedbackAction::Throttle { task, permille } => self.throttle(task, permille),
            // The agent receives a release as a throttle to the full CPU limit.
            FeedbackAction::Release { task } => self.throttle(task, UNTHROTTLED_PERMILLE),
            FeedbackAction::Move { task } => {
                if self.charge_evictions(state, &[task], now, EvictionPurpose::LatencyRelief) {
                    self.evict(state, task, &mut plan);
                } else if let Some(it) = self.feedback_loops.get_mut(&vm.id) {
                    it.restore_throttled(task);
                }
            }
        }
        plan.events
    }

    /// Evicts the tasks of VMs that an operator drains: batch tasks at once, services once entries
    /// have had time to stop sending requests and requests in flight have ended.
    ///
    /// The operator requested these evictions, so they do not count against the eviction budgets.
    pub(super) fn evict_from_draining(&mut self, state: &State, now: Now, plan: &mut Plan) {
        for since_ms in self.draining.values_mut().filter(|it| **it == 0) {
            *since_ms = now.mono_ms;
        }
        let mut to_evict = Vec::new();
        for (id, since_ms) in &self.draining {
            let Some(vm) = state.vms.get(*id) else { continue };
            let includes_services = since_ms + DRAIN_SERVICES_DELAY_MS <= now.mono_ms;
            let running = vm.tasks.iter().filter(|id| {
                state.jobs.task(**id).is_some_and(|it| it.state == TaskState::Running)
            });
            let is_batch =
                |id: &TaskId| self.placed_tasks.get(*id).is_some_and(|it| it.kind.is_some());
            to_evict.extend(
                running.filter(|id| {
                    (includes_services || is_batch(id)) && !self.evicting.contains(id)
                }),
            );
        }
        for id in to_evict {
            self.evict(state, id, plan);
        }
    }

    fn throttle(&mut self, task: TaskId, permille: u32) {
        self.throttles.insert(task, permille);
        self.placed_tasks.throttle(task, permille);
    }
}
