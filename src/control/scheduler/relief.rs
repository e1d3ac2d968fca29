//! Relief for services whose neighbours slow them down.

use crate::{
    control::{
        scheduler::{Plan, Scheduler, costs::share_of},
        state::{State, Task, Vm},
    },
    policy::{feedback::Action, preemption::Purpose},
    prelude::*,
};

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
                self.pairs.observe(&it.class, tail_ms as f64, self.past.at(vm.id, then));
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
            Some((tail_ms, target_ms, class)) if self.options.feeds_back => {
                self.feed_back(state, vm, tail_ms, target_ms, &class, age_ms, now)
            }
            _ => Vec::new(),
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn feed_back(
        &mut self,
        state: &State,
        vm: &Vm,
        tail_ms: u64,
        target_ms: u64,
        class: &str,
        lag_ms: u64,
        now: Now,
    ) -> Vec<TaskEventCommand> {
        let harm_of = |it: &Task| {
            let job = state.jobs.job_of(it)?;
            let is_batch =
                state.class(&job.spec.class).is_some_and(|it| it.kind == ClassKind::Batch);
            let share = share_of(job.spec.resources, vm.capacity);
            // Before anything is learned the largest neighbour is the likeliest.
            is_batch.then(|| (self.pairs.harm(class, &job.spec.kind) + 0.01) * share)
        };
        let neighbours = vm.tasks.iter().filter_map(|id| state.jobs.task(*id));
        let running = neighbours.filter(|it| it.state == TaskState::Running);
        let worst =
            running.filter_map(|it| Some((harm_of(it)?, it.id))).max_by(|a, b| a.0.total_cmp(&b.0));
        let feedback = self.loops.entry(vm.id).or_default();
        let action =
            feedback.observe(now.mono_ms, tail_ms, target_ms, lag_ms, worst.map(|(_, id)| id));
        let mut plan = Plan::default();
        match action {
            Action::None => (),
            Action::Throttle { task, permille } => {
                self.throttles.insert(task, permille);
            }
            Action::Release { task } => {
                self.throttles.remove(&task);
            }
            Action::Move { task } => {
                if self.may_evict(state, task, now, Purpose::Relief) {
                    self.evict(state, task, &mut plan);
                }
            }
        }
        plan.events
    }
}
