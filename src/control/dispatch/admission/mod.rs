//! Decides whether submissions are accepted, with the state that this needs.
//!
//! A next leader has none of this state but the learned run times: it accepts what it has not
//! measured, and gives new times to those that return. Both cost order only, no promise.

mod backlog;
mod throughput;

use std::collections::HashMap;

use crate::{
    control::{
        dispatch::{
            Dispatcher,
            capacity::{PlacementMode, TaskDemand},
            sessions::UsabilityCriteria,
        },
        state::Workflows,
    },
    policy::{
        completion::{Competition, Estimate, StepForecast, chain_ms, completion_ms},
        forecast::TaskKind,
        verdict::{CallId, Prospect, RejectedSubmission, Rejection, Returns, Verdict, verdict},
    },
    prelude::*,
};

use self::{
    backlog::{Backlog, Order, Work, remaining_steps, remaining_work},
    throughput::Throughputs,
};

/// Interval at which the work that goes before submissions is summed up anew.
const BACKLOG_INTERVAL_MS: u64 = 250;

/// Time after which a proposed submission that was not stored is forgotten: far above that of a
/// commit.
const PROPOSED_MAX_MS: u64 = 10_000;

/// Time after which a long-running submission without capacity may ask again. The ends of
/// long-running tasks cannot be forecast.
const NO_CAPACITY_RETRY_MS: u64 = 10_000;

/// Time between the returns of long-running submissions without capacity.
const NO_CAPACITY_SPACING_MS: u64 = 1_000;

/// A submission whose target and content are valid.
#[derive(Clone, Copy)]
pub(super) struct Submission<'a> {
    pub id: WorkflowId,
    pub queue: &'a Queue,
    pub zone: &'a CompactString,
    pub spec: &'a WorkflowSpec,
    /// The calls of gateways that wait for the answer.
    pub calls: &'a [CallId],
}

/// State of the decisions on submissions.
#[derive(Debug, Default)]
pub(super) struct Admission {
    returns: Returns,
    /// Accepted submissions whose commit is under way, with the time of their acceptance.
    proposed: HashMap<WorkflowId, u64>,
    backlog: Backlog,
    backlog_due_ms: u64,
    throughputs: Throughputs,
}

impl Admission {
    /// Notes a submission that was stored.
    pub(super) fn note_stored(&mut self, id: WorkflowId) {
        self.proposed.remove(&id);
    }

    fn note_accepted(&mut self, id: WorkflowId, now: Now) {
        self.returns.remove(id);
        self.proposed.retain(|_, at_ms| now.mono_ms < *at_ms + PROPOSED_MAX_MS);
        self.proposed.insert(id, now.mono_ms);
    }
}

/// When a submission ends, and what it competes with.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    completion_ms: Estimate,
    objective_ms: Estimate,
    /// Time for which the submission uses all capacity that serves it.
    service_ms: f64,
    ahead_core_ms: f64,
}

impl Forecast {
    fn log(&self, id: WorkflowId, verdict: Verdict) {
        let Estimate { early, median, late } = self.completion_ms;
        let ahead_core_s = (self.ahead_core_ms / 1_000.0) as u64;
        tracing::info!(event = "submission_forecast", workflow = %format_args!("{:016x}", id.0), is_accepted = verdict == Verdict::Accept, early_ms = early as u64, median_ms = median as u64, late_ms = late as u64, objective_ms = self.objective_ms.median as u64, long_objective_ms = self.objective_ms.late as u64, ahead_core_s);
    }
}

impl Dispatcher {
    /// Decides on a submission that is not stored; returns how it is rejected, if it is.
    pub(super) fn rejection(
        &mut self,
        workflows: &Workflows,
        it: Submission<'_>,
        now: Now,
    ) -> Option<AdmissionRejection> {
        if !self.options.features.admission {
            return None;
        }
        let rejection = match self.admission.returns.get(it.id) {
            // Stored later by a copy of the same call, it would run after its gateway has passed on
            // that it was rejected.
            Some(known) if it.calls.iter().any(|call| known.calls.contains(call)) => {
                let retry_after_ms = known.return_at_ms.saturating_sub(now.mono_ms);
                Some(AdmissionRejection { cause: known.cause, retry_after_ms })
            }
            _ if self.admission.proposed.contains_key(&it.id) => None,
            _ if it.spec.steps.iter().any(|step| step.lasting) => {
                self.reject_without_capacity(workflows, it, now)
            }
            _ => self.reject_late(workflows, it, now),
        };
        if rejection.is_none() {
            self.admission.note_accepted(it.id, now);
        }
        rejection
    }

    /// Rejects a long-running submission that would not fit if nothing but long-running tasks ran:
    /// then no end of other work and no move of a task makes room for it.
    fn reject_without_capacity(
        &mut self,
        workflows: &Workflows,
        it: Submission<'_>,
        now: Now,
    ) -> Option<AdmissionRejection> {
        self.refresh_backlog(workflows, now);
        let pool = self.admission.backlog.pool(&it.queue.service);
        let long_running = it.spec.steps.iter().filter(|step| step.lasting);
        let need = |of: fn(&Resources) -> u32| -> u64 {
            let needs = long_running.clone();
            needs.map(|step| u64::from(step.count) * u64::from(of(&step.need))).sum()
        };
        let spare = pool.long_running_spare;
        let (need_millicores, need_mib) = (need(|it| it.cpu_millicores), need(|it| it.memory_mib));
        let fits = need_millicores <= spare.cpu_millicores && need_mib <= spare.memory_mib;
        if !pool.has_workers || fits || self.can_begin(workflows, it, now) {
            return None;
        }
        if !self.admission.returns.is_due_later(it.id, now.mono_ms) {
            tracing::info!(event = "submission_unfit", workflow = %format_args!("{:016x}", it.id.0), need_millicores, need_mib, spare_millicores = spare.cpu_millicores, spare_mib = spare.memory_mib);
        }
        let (retry_ms, spacing_ms) = (NO_CAPACITY_RETRY_MS, NO_CAPACITY_SPACING_MS);
        Some(self.reject(it, AdmissionCause::NoCapacity, retry_ms, spacing_ms, now))
    }

    /// Rejects a submission that would end too late to be of use.
    fn reject_late(
        &mut self,
        workflows: &Workflows,
        it: Submission<'_>,
        now: Now,
    ) -> Option<AdmissionRejection> {
        self.refresh_backlog(workflows, now);
        let forecast = self.forecast_end(it, now);
        let mut prospect = Prospect {
            completion_ms: forecast.completion_ms,
            due_ms: last_due_ms(it.spec).saturating_sub(now.wall_ms) as f64,
            objective_ms: forecast.objective_ms,
            can_begin: false,
        };
        // Whether a task fits is looked up only where it matters: it visits all workers.
        if verdict(prospect) != Verdict::Accept {
            prospect.can_begin = self.can_begin(workflows, it, now);
        }
        let verdict = verdict(prospect);
        if !self.admission.returns.is_due_later(it.id, now.mono_ms) {
            forecast.log(it.id, verdict);
        }
        let Verdict::Late { in_time_after_ms } = verdict else { return None };
        let service_ms = forecast.service_ms as u64;
        let rejection = self.reject(it, AdmissionCause::Late, in_time_after_ms, service_ms, now);
        Some(rejection)
    }

    fn reject(
        &mut self,
        it: Submission<'_>,
        cause: AdmissionCause,
        not_before_ms: u64,
        service_ms: u64,
        now: Now,
    ) -> AdmissionRejection {
        let caller = Caller { queue: it.queue.name.clone(), zone: it.zone.clone() };
        let (id, calls) = (it.id, it.calls.to_vec());
        let is_repeated = self.admission.returns.is_due_later(id, now.mono_ms);
        let rejection = Rejection { id, caller, cause, calls, not_before_ms, service_ms };
        let retry_after_ms = self.admission.returns.note(rejection, now.mono_ms);
        if !is_repeated {
            tracing::info!(event = "submission_rejected", workflow = %format_args!("{:016x}", id.0), queue = %it.queue.name, zone = %it.zone, %cause, retry_after_ms);
        }
        AdmissionRejection { cause, retry_after_ms }
    }

    /// Returns the submissions that were rejected lately, the first rejected first.
    pub(super) fn rejected(&self, now: Now) -> impl Iterator<Item = &RejectedSubmission> {
        self.admission.returns.pending(now.mono_ms)
    }

    pub(super) fn refresh_backlog(&mut self, workflows: &Workflows, now: Now) {
        if self.admission.backlog_due_ms <= now.mono_ms {
            self.admission.backlog_due_ms = now.mono_ms + BACKLOG_INTERVAL_MS;
            self.admission.backlog = Backlog::new(workflows, &self.run_times, now);
        }
    }

    /// Samples the processor that best-effort tasks get, if this is due.
    pub(super) fn measure_throughput(&mut self, workflows: &Workflows, now: Now) {
        if self.options.features.admission {
            self.admission.throughputs.measure(workflows, &self.sessions, now.mono_ms);
        }
    }

    /// Forecasts the end of a submission.
    fn forecast_end(&self, it: Submission<'_>, now: Now) -> Forecast {
        let steps: Vec<_> = it
            .spec
            .steps
            .iter()
            .map(|step| {
                let kind = TaskKind { queue: it.queue.name.clone(), image: step.image.clone() };
                StepForecast {
                    run_time: self.run_times.forecast(&kind, step.estimate_ms),
                    tasks: step.count,
                    cpu_millicores: step.need.cpu_millicores,
                    after: &step.after,
                }
            })
            .collect();
        let mut own = Work::default();
        for (step, forecast) in it.spec.steps.iter().zip(&steps) {
            own.add(step.filler, forecast.work_core_ms(forecast.tasks));
        }
        let caller = Caller { queue: it.queue.name.clone(), zone: it.zone.clone() };
        let order = Order::of_new(it.id, it.queue, it.spec, now);
        self.forecast(it.queue, &caller, &steps, own, order, now)
    }

    /// Forecasts the end of a workflow that waits.
    pub(super) fn forecast_waiting(
        &self,
        workflows: &Workflows,
        id: WorkflowId,
        index: usize,
        now: Now,
    ) -> Option<Estimate> {
        let workflow = workflows.get(id)?;
        let queue = workflows.queue(&workflow.queue)?;
        let caller = workflows.caller_of(id)?;
        let occurrence = workflow.occurrences.get(index)?;
        let steps = remaining_steps(workflow, occurrence, &self.run_times);
        let own = remaining_work(workflow, occurrence, &self.run_times);
        let order = Order::of_waiting(id, queue, workflow, index, now)?;
        Some(self.forecast(queue, &caller, &steps, own, order, now).completion_ms)
    }

    fn forecast(
        &self,
        queue: &Queue,
        caller: &Caller,
        steps: &[StepForecast<'_>],
        own: Work,
        order: Order,
        now: Now,
    ) -> Forecast {
        let chain = chain_ms(steps);
        // With shares, a caller that has had little goes before all others: for the best case only
        // its own work goes before.
        let same_caller = self.options.features.fair_shares.then_some(caller);
        let ahead = self.admission.backlog.ahead(&queue.service, order, same_caller);
        let pool = self.admission.backlog.pool(&queue.service);
        let filler_cores =
            self.admission.throughputs.cores(&queue.service, pool.unreserved_cores, now.mono_ms);
        let competition =
            |ahead_core_ms, own_core_ms, cores| Competition { ahead_core_ms, own_core_ms, cores };
        let plain_cores =
            Estimate { early: pool.plain_cores, median: pool.plain_cores, late: pool.plain_cores };
        let competitions = [
            competition(ahead.plain, own.plain, plain_cores),
            competition(ahead.filler, own.filler, filler_cores),
        ];
        let service_ms = own.plain.median / plain_cores.median.max(1.0)
            + own.filler.median / filler_cores.median.max(1.0);
        Forecast {
            completion_ms: completion_ms(chain, &competitions),
            objective_ms: objective_ms(queue, chain),
            service_ms,
            ahead_core_ms: ahead.plain.median + ahead.filler.median,
        }
    }

    /// Returns whether a task of a submission fits on a worker now.
    fn can_begin(&mut self, workflows: &Workflows, it: Submission<'_>, now: Now) -> bool {
        let usability =
            UsabilityCriteria { term: self.term, silent_ms: self.options.silent_ms, now };
        self.free_capacities.refresh(workflows, &mut self.contention, now);
        let workers =
            self.free_capacities.usable(workflows, &self.sessions, &self.speeds, usability);
        let contention = &mut self.contention;
        it.spec.steps.iter().filter(|step| step.after.is_empty()).any(|step| {
            let demand = TaskDemand::new(step, it.queue, contention);
            workers.iter().any(|worker| {
                worker.offer(&demand, 0, PlacementMode::ProtectLatency, contention).is_some()
            })
        })
    }
}

/// Returns the time within which a workflow gives its caller full value.
fn objective_ms(queue: &Queue, chain_ms: Estimate) -> Estimate {
    let stretch = f64::from(queue.stretch_percent) / 100.0;
    let objective_ms = |chain_ms: f64| chain_ms * stretch + queue.target_ms as f64;
    Estimate {
        early: objective_ms(chain_ms.early),
        median: objective_ms(chain_ms.median),
        late: objective_ms(chain_ms.late),
    }
}

/// Returns the time of day at which the last occurrence is due.
fn last_due_ms(spec: &WorkflowSpec) -> u64 {
    match spec.repeat_count {
        0 => 0,
        it => spec.first_run_ms + u64::from(it - 1) * spec.interval_ms,
    }
}
