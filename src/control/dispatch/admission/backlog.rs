//! Sums up the work that goes before a submission, and the capacity that serves it.

use std::collections::BTreeMap;

use crate::{
    control::{
        dispatch::plan::{chains_ms, objective_ms, size_core_ms, work_core_ms},
        state::{Occurrence, StepState, Workflow, Workflows, fits},
    },
    policy::{
        completion::{Estimate, StepForecast},
        forecast::{RunTimeModel, TaskKind},
        urgency::{PendingStep, Urgency, urgency},
    },
    prelude::*,
};

/// Place of a workflow in the order in which plans visit steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order(Urgency, WorkflowId);

impl Order {
    /// Returns the place of a submission.
    pub(super) fn of_new(id: WorkflowId, queue: &Queue, spec: &WorkflowSpec, now: Now) -> Order {
        let chain_ms = chains_ms(spec).into_iter().max().unwrap_or(0);
        // Without repetitions the time of the first run has no meaning.
        let due_ms = if spec.repeat_count == 0 { 0 } else { spec.first_run_ms };
        let begin_ms = now.wall_ms.max(due_ms);
        let deadline_ms = begin_ms.saturating_add(objective_ms(queue, chain_ms));
        let urgency = urgency_of(queue, deadline_ms, chain_ms, size_core_ms(spec), now);
        Order(urgency, id)
    }

    pub(super) fn of_waiting(
        id: WorkflowId,
        queue: &Queue,
        workflow: &Workflow,
        index: usize,
        now: Now,
    ) -> Option<Order> {
        let occurrence = workflow.occurrences.get(index)?;
        let chains_ms = chains_ms(&workflow.spec);
        let chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
        let remaining = chains_ms.iter().zip(&occurrence.steps).filter(|(_, it)| !it.is_done());
        let remaining_ms = remaining.map(|(it, _)| *it).max().unwrap_or(0);
        let begin_ms = workflow.accepted_ms.max(workflow.due_ms(index));
        let deadline_ms = begin_ms.saturating_add(objective_ms(queue, chain_ms));
        let work_core_ms = work_core_ms(workflow, occurrence);
        let urgency = urgency_of(queue, deadline_ms, remaining_ms, work_core_ms, now);
        Some(Order(urgency, id))
    }
}

fn urgency_of(
    queue: &Queue,
    objective_deadline_ms: u64,
    remaining_ms: u64,
    work_core_ms: u64,
    now: Now,
) -> Urgency {
    let pending = PendingStep {
        priority: queue.priority,
        is_long_running: false,
        objective_deadline_ms,
        remaining_ms,
        work_core_ms,
    };
    urgency(pending, now.wall_ms)
}

/// Processor time, in core-milliseconds, by the kind of capacity that serves it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Work {
    pub plain: Estimate,
    pub filler: Estimate,
}

impl Work {
    /// Adds the processor time of best-effort or other tasks.
    pub(super) fn add(&mut self, is_filler: bool, core_ms: Estimate) {
        match is_filler {
            true => self.filler.add(core_ms),
            false => self.plain.add(core_ms),
        }
    }
}

/// An amount of processor and memory of many workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Amount {
    pub cpu_millicores: u64,
    pub memory_mib: u64,
}

impl Amount {
    fn add(&mut self, it: Resources, count: usize) {
        self.cpu_millicores += u64::from(it.cpu_millicores) * count as u64;
        self.memory_mib += u64::from(it.memory_mib) * count as u64;
    }

    fn minus(self, other: Amount) -> Amount {
        Amount {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }
}

/// The capacity of a service's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Pool {
    /// Whether any worker is registered.
    pub has_workers: bool,
    /// Capacity that no long-running task has or waits for.
    pub long_running_spare: Amount,
    /// Cores for tasks that reserve processor and end.
    pub plain_cores: f64,
    /// Cores that are not reserved now.
    pub unreserved_cores: f64,
}

#[derive(Clone, Debug)]
struct WaitingWork {
    service: CompactString,
    caller: Caller,
    order: Order,
    work: Work,
}

/// The work of all workflows that are due, and the capacity of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    waiting: Vec<WaitingWork>,
    pools: BTreeMap<CompactString, Pool>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolSums {
    capacity: Amount,
    /// Largest processor, memory and accelerators of one worker; `None` without workers.
    largest: Option<Resources>,
    reserved: Amount,
    long_running: Amount,
    long_running_waiting: Amount,
}

impl Backlog {
    pub(super) fn new(workflows: &Workflows, run_times: &RunTimeModel, now: Now) -> Backlog {
        let mut sums: BTreeMap<CompactString, PoolSums> = BTreeMap::new();
        for (_, worker) in workflows.workers().iter() {
            let sum = sums.entry(worker.service.clone()).or_default();
            sum.capacity.add(worker.capacity, 1);
            let largest = sum.largest.map_or(worker.capacity, |it| larger(it, worker.capacity));
            sum.largest = Some(largest);
            sum.reserved.add(worker.reserved, 1);
        }
        let mut waiting = Vec::new();
        for (id, workflow) in workflows.active() {
            let Some(queue) = workflows.queue(&workflow.queue) else { continue };
            let sum = sums.entry(queue.service.clone()).or_default();
            let due = |index: usize| workflow.due_ms(index) <= now.wall_ms;
            let occurrences = workflow.occurrences.iter().enumerate();
            for (index, occurrence) in occurrences.filter(|(index, _)| due(*index)) {
                add_long_running(sum, workflow, occurrence);
                let work = remaining_work(workflow, occurrence, run_times);
                let order = Order::of_waiting(id, queue, workflow, index, now);
                if let Some(order) = order.filter(|_| work != Work::default()) {
                    waiting.push(WaitingWork {
                        service: queue.service.clone(),
                        caller: Caller {
                            queue: workflow.queue.clone(),
                            zone: workflows.demand().zone_of(id),
                        },
                        order,
                        work,
                    });
                }
            }
        }
        let pools = sums.into_iter().map(|(service, it)| (service, it.pool())).collect();
        Backlog { waiting, pools }
    }

    /// Returns the capacity of a service's workers.
    pub(super) fn pool(&self, service: &str) -> Pool {
        self.pools.get(service).copied().unwrap_or_default()
    }

    /// Returns the work that goes before a workflow; the early case counts only that of
    /// `same_caller`, if given.
    pub(super) fn ahead(&self, service: &str, order: Order, same_caller: Option<&Caller>) -> Work {
        let mut res = Work::default();
        for it in self.waiting.iter().filter(|it| it.service == service && it.order < order) {
            let mut work = it.work;
            if same_caller.is_some_and(|caller| *caller != it.caller) {
                (work.plain.early, work.filler.early) = (0.0, 0.0);
            }
            res.plain.add(work.plain);
            res.filler.add(work.filler);
        }
        res
    }
}

impl PoolSums {
    fn pool(self) -> Pool {
        let cores = |it: Amount| it.cpu_millicores as f64 / 1_000.0;
        let without_long_running = self.capacity.minus(self.long_running);
        Pool {
            has_workers: self.largest.is_some(),
            long_running_spare: without_long_running.minus(self.long_running_waiting),
            plain_cores: cores(without_long_running),
            unreserved_cores: cores(self.capacity.minus(self.reserved)),
        }
    }
}

fn larger(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.max(b.cpu_millicores),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

fn add_long_running(sum: &mut PoolSums, workflow: &Workflow, occurrence: &Occurrence) {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps);
    for (step, state) in steps.filter(|(step, _)| step.lasting) {
        let waiting = state.tasks.iter().filter(|it| !it.is_done && it.runs.is_empty()).count();
        let running = state.tasks.iter().filter(|it| !it.runs.is_empty()).count();
        sum.long_running.add(step.need, running);
        // A task that is larger than any worker takes no capacity from others.
        if sum.largest.is_some_and(|it| fits(step.need, it)) {
            sum.long_running_waiting.add(step.need, waiting);
        }
    }
}

/// Returns the steps of an occurrence with the tasks that have not ended.
pub(super) fn remaining_steps<'a>(
    workflow: &'a Workflow,
    occurrence: &Occurrence,
    run_times: &RunTimeModel,
) -> Vec<StepForecast<'a>> {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps);
    let forecast = |(step, state): (&'a WorkflowStep, &StepState)| {
        let kind = TaskKind { queue: workflow.queue.clone(), image: step.image.clone() };
        StepForecast {
            run_time: run_times.forecast(&kind, step.estimate_ms),
            tasks: step.count.saturating_sub(state.done_count),
            cpu_millicores: step.need.cpu_millicores,
            after: &step.after,
        }
    };
    steps.map(forecast).collect()
}

/// Returns the work of the tasks that have not ended. How far running ones are is not counted: they
/// are done in the early case, halfway in the middle, and just begun in the late one.
pub(super) fn remaining_work(
    workflow: &Workflow,
    occurrence: &Occurrence,
    run_times: &RunTimeModel,
) -> Work {
    let mut res = Work::default();
    let forecasts = remaining_steps(workflow, occurrence, run_times);
    for ((step, state), forecast) in
        workflow.spec.steps.iter().zip(&occurrence.steps).zip(&forecasts)
    {
        if step.lasting || state.is_done() {
            continue;
        }
        let waiting = state.tasks.iter().filter(|it| !it.is_done && it.runs.is_empty()).count();
        let waiting = waiting as u32;
        let running = forecast.work_core_ms(forecast.tasks.saturating_sub(waiting));
        res.add(step.filler, forecast.work_core_ms(waiting));
        let running = Estimate { early: 0.0, median: running.median / 2.0, late: running.late };
        res.add(step.filler, running);
    }
    res
}
