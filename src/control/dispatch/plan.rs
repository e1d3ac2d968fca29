//! The next runs to begin: which tasks, in what order, and where.

use std::collections::{HashMap, HashSet};

use crate::{
    control::{
        dispatch::sessions::Usable,
        state::{Occurrence, Workflow, Workflows, add, fits, reserve_of, subtract},
    },
    policy::{
        harm::{Filler, Harm},
        urgency::{Claim, Urgency, urgency},
    },
    prelude::*,
};

/// What the planner is told by the settings.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Longest pause between two plans: occurrences become due and slack shrinks by itself.
    pub interval_ms: u64,
}

/// A step with tasks that could begin.
struct Candidate<'a> {
    urgency: Urgency,
    id: WorkflowId,
    workflow: &'a Workflow,
    occurrence: usize,
    step: usize,
}

/// Share of its reservation that a task which serves is taken to use, in percent. Serving tasks
/// reserve for their peaks; what fillers find missing shows in their progress, not in harm.
const SERVING_USE_PERCENT: u32 = 60;

/// Pace of the fillers on a worker below which it gets no more of them.
const FILLER_PACE_MIN_PERCENT: u32 = 60;

/// Tail, in percent of its bound, that a further filler may lead a serving task to.
const TAIL_MAX_PERCENT: f64 = 80.0;

/// Time for which a workflow with nothing running waits for a place where its fillers harm nobody.
/// A third of the three seconds within which work must begin while most of the room is free; the
/// silence of a worker that held the last run takes another part of them.
const IDLE_MAX_MS: u64 = 1_000;

/// Share of the reserved processor, in percent, up to which a workflow is not kept idle for the
/// sake of tails; the pace of fillers guards these then.
const IDLE_ROOM_PERCENT: u64 = 60;

/// Since when workflows have had nothing running though a step of theirs could begin.
pub(super) type IdleSince = HashMap<WorkflowId, u64>;

/// What is left on a worker while a plan is made.
struct Room<'a> {
    usable: Usable<'a>,
    free: Resources,
    filler_millicores: u32,
    /// Tails to expect of the images that serve here, in percent of their bounds.
    tails: Vec<(CompactString, f64)>,
}

impl Room<'_> {
    /// Returns the processor that neither reservations nor fillers have taken.
    fn idle_millicores(&self) -> u32 {
        self.free.cpu_millicores.saturating_sub(self.filler_millicores)
    }

    /// Returns the processor that a further filler would find unused at the present pace.
    fn unused_millicores(&self) -> u32 {
        let serving = self.usable.worker.serving_millicores;
        let unused = self.free.cpu_millicores + serving * (100 - SERVING_USE_PERCENT) / 100;
        let left = unused.saturating_sub(self.filler_millicores);
        left * self.usable.report.filler_percent / 100
    }

    fn takes_filler(&self, step: &WorkflowStep, harm: &Harm) -> bool {
        FILLER_PACE_MIN_PERCENT <= self.usable.report.filler_percent
            && step.need.cpu_millicores <= self.unused_millicores()
            && (self.tails.is_empty() || self.worst_tail_with(step, harm) <= TAIL_MAX_PERCENT)
    }

    /// Returns the worst tail to expect with a further filler, in percent of its bound.
    fn worst_tail_with(&self, step: &WorkflowStep, harm: &Harm) -> f64 {
        let cores = f64::from(step.need.cpu_millicores) / 1_000.0;
        let with =
            |(image, tail): &(CompactString, f64)| tail + harm.of(image, &step.image) * cores;
        self.tails.iter().map(with).fold(0.0, f64::max)
    }
}

/// Returns the runs to begin now.
pub(super) fn plan(
    workflows: &Workflows,
    usable: &[Usable<'_>],
    harm: &Harm,
    idle_since: &mut IdleSince,
    now: Now,
) -> Vec<RunPlacement> {
    let mut rooms: Vec<_> = usable
        .iter()
        .map(|it| Room {
            usable: *it,
            free: subtract(it.worker.capacity, it.worker.used),
            filler_millicores: it.worker.filler_millicores,
            tails: tails(workflows, it, harm),
        })
        .collect();
    let mut res = Vec::new();
    let candidates = candidates(workflows, now);
    for candidate in &candidates {
        place_step(workflows, candidate, &mut rooms, Some(harm), &mut res);
    }
    // What is placed on a worker that is silent may no longer run.
    let heard: HashSet<_> = usable.iter().map(|it| it.id).collect();
    let placed: HashSet<_> = res.iter().map(|it| it.run.task.workflow).collect();
    let is_idle = |it: &&Candidate<'_>| !placed.contains(&it.id) && !it.workflow.has_run_on(&heard);
    let idle: Vec<_> = candidates.iter().filter(is_idle).collect();
    let ids: HashSet<_> = idle.iter().map(|it| it.id).collect();
    idle_since.retain(|id, _| ids.contains(id));
    let has_room = has_idle_room(usable);
    for candidate in idle {
        let since_ms = *idle_since.entry(candidate.id).or_insert(now.mono_ms);
        if has_room && since_ms + IDLE_MAX_MS <= now.mono_ms {
            place_step(workflows, candidate, &mut rooms, None, &mut res);
        }
    }
    res
}

/// Returns whether so little is reserved that nothing may be kept idle.
fn has_idle_room(usable: &[Usable<'_>]) -> bool {
    let sum = |of: fn(&Usable<'_>) -> u32| usable.iter().map(|it| u64::from(of(it))).sum::<u64>();
    let used = sum(|it| it.worker.used.cpu_millicores);
    let capacity = sum(|it| it.worker.capacity.cpu_millicores);
    used * 100 <= capacity * IDLE_ROOM_PERCENT
}

/// Returns the steps that could begin, most urgent first.
fn candidates(workflows: &Workflows, now: Now) -> Vec<Candidate<'_>> {
    let mut res = Vec::new();
    for (id, workflow) in workflows.active() {
        let Some(queue) = workflows.queue(&workflow.queue) else { continue };
        let tails_ms = tails_ms(&workflow.spec);
        let chain_ms = tails_ms.iter().copied().max().unwrap_or(0);
        for (at, occurrence) in workflow.occurrences.iter().enumerate() {
            let due_ms = workflow.due_ms(at);
            if now.wall_ms < due_ms {
                break;
            }
            if occurrence.is_done() {
                continue;
            }
            let objective_ms = chain_ms * u64::from(queue.stretch_percent) / 100 + queue.target_ms;
            for step in ready_steps(workflow, occurrence) {
                let claim = Claim {
                    priority: queue.priority,
                    is_lasting: workflow.spec.steps[step].lasting,
                    due_by_ms: workflow.accepted_ms.max(due_ms) + objective_ms,
                    remaining_ms: tails_ms[step],
                    work_core_ms: work_core_ms(workflow, occurrence),
                };
                let urgency = urgency(claim, now.wall_ms);
                res.push(Candidate { urgency, id, workflow, occurrence: at, step });
            }
        }
    }
    res.sort_by_key(|it| (it.urgency, it.id, it.occurrence, it.step));
    res
}

/// Returns the steps of an occurrence that have tasks to begin.
fn ready_steps(workflow: &Workflow, occurrence: &Occurrence) -> Vec<usize> {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps).enumerate();
    let ready = steps.filter(|(_, (step, state))| {
        !state.is_done()
            && state.tasks.iter().any(|it| !it.is_done && it.runs.is_empty())
            && workflow.is_step_ready(occurrence, step)
    });
    ready.map(|(at, _)| at).collect()
}

/// Returns for each step the longest chain of declared run times that begins with it.
fn tails_ms(spec: &WorkflowSpec) -> Vec<u64> {
    let mut res: Vec<u64> = spec.steps.iter().map(|it| it.estimate_ms).collect();
    // Steps wait for earlier ones only, so later tails are known first.
    for at in (0..spec.steps.len()).rev() {
        for before in &spec.steps[at].after {
            let before = *before as usize;
            res[before] = res[before].max(spec.steps[before].estimate_ms + res[at]);
        }
    }
    res
}

/// Returns the processor time that an occurrence still needs, by declared run times.
fn work_core_ms(workflow: &Workflow, occurrence: &Occurrence) -> u64 {
    let steps = workflow.spec.steps.iter().zip(&occurrence.steps);
    let left = steps.map(|(step, state)| {
        let tasks = u64::from(step.count - state.done_count.min(step.count));
        tasks * step.estimate_ms * u64::from(step.need.cpu_millicores) / 1_000
    });
    left.sum()
}

/// Returns the longest chain of declared run times of a workflow.
pub fn chain_ms(spec: &WorkflowSpec) -> u64 {
    tails_ms(spec).into_iter().max().unwrap_or(0)
}

fn place_step(
    workflows: &Workflows,
    candidate: &Candidate<'_>,
    rooms: &mut [Room<'_>],
    harm: Option<&Harm>,
    res: &mut Vec<RunPlacement>,
) {
    let Candidate { id, workflow, occurrence, step: at, .. } = *candidate;
    let Some(queue) = workflows.queue(&workflow.queue) else { return };
    let step = &workflow.spec.steps[at];
    let state = &workflow.occurrences[occurrence].steps[at];
    let mut counts = counts_of(step, state);
    let waiting =
        state.tasks.iter().enumerate().filter(|(_, it)| !it.is_done && it.runs.is_empty());
    let waiting: Vec<_> = waiting.collect();
    if step.gang && waiting.len() < state.tasks.len() {
        // Members of an earlier run are still ending.
        return;
    }
    let from = res.len();
    let gang_run = state.tasks.iter().map(|it| it.last_run).max().unwrap_or(0) + 1;
    for (index, task) in waiting {
        let Some(room) = choose(step, queue, &counts, rooms, harm) else {
            if step.gang {
                undo(step, rooms, res, from);
            }
            return;
        };
        take(step, room, harm);
        let worker = room.usable.id;
        *counts.entry(worker).or_insert(0) += 1;
        let task_ref = TaskRef {
            workflow: id,
            occurrence: occurrence as u32,
            step: at as u32,
            index: index as u32,
        };
        let run = if step.gang { gang_run } else { task.last_run + 1 };
        res.push(RunPlacement { run: RunRef { task: task_ref, run }, worker });
        if harm.is_none() && !step.gang {
            // One that runs is enough not to be idle.
            return;
        }
    }
}

/// Returns how many runs of a step each worker has, where that is bounded.
fn counts_of(
    step: &WorkflowStep,
    state: &crate::control::state::StepState,
) -> HashMap<WorkerId, u32> {
    let mut res = HashMap::new();
    if 0 < step.per_worker_max {
        for run in state.tasks.iter().flat_map(|it| &it.runs) {
            *res.entry(run.worker).or_insert(0) += 1;
        }
    }
    res
}

/// Returns the best worker for one task of a step.
fn choose<'a, 'b>(
    step: &WorkflowStep,
    queue: &Queue,
    counts: &HashMap<WorkerId, u32>,
    rooms: &'a mut [Room<'b>],
    harm: Option<&Harm>,
) -> Option<&'a mut Room<'b>> {
    let reserve = reserve_of(step);
    let unknown = Harm::default();
    let is_fit = |it: &&mut Room<'_>| {
        let worker = it.usable.worker;
        let below_max = step.per_worker_max == 0
            || counts.get(&it.usable.id).copied().unwrap_or(0) < step.per_worker_max;
        worker.service == queue.service
            && below_max
            && (step.required_label.is_empty() || step.required_label == worker.kind)
            && fits(reserve, it.free)
            && (!step.filler || harm.is_none_or(|harm| it.takes_filler(step, harm)))
    };
    rooms.iter_mut().filter(is_fit).max_by_key(|it| {
        let is_near = !step.data_rack.is_empty() && it.usable.worker.rack == step.data_rack;
        let serving = i64::from(it.usable.worker.serving_millicores);
        let preference = match step.filler {
            // Where nobody serves a filler harms nobody.
            true => -(it.worst_tail_with(step, harm.unwrap_or(&unknown)) * 1_000.0) as i64,
            // What reserves is packed, so that some workers are left without tasks that serve.
            false => serving - i64::from(it.idle_millicores()),
        };
        (is_near, preference)
    })
}

fn take(step: &WorkflowStep, room: &mut Room<'_>, harm: Option<&Harm>) {
    room.free = subtract(room.free, reserve_of(step));
    if step.filler {
        room.filler_millicores += step.need.cpu_millicores;
        let cores = f64::from(step.need.cpu_millicores) / 1_000.0;
        for (image, tail) in &mut room.tails {
            let Some(harm) = harm else { break };
            *tail += harm.of(image, &step.image) * cores;
        }
    }
}

/// Returns the tails to expect on a worker with the fillers placed there at full pace, but never
/// less than what is reported, in percent of their bounds.
fn tails(workflows: &Workflows, it: &Usable<'_>, harm: &Harm) -> Vec<(CompactString, f64)> {
    let fillers: Vec<_> = it
        .worker
        .runs
        .iter()
        .filter_map(|run| workflows.step_of(run.task))
        .filter(|step| step.filler)
        .map(|step| Filler {
            image: step.image.clone(),
            cores: f64::from(step.need.cpu_millicores) / 1_000.0,
        })
        .collect();
    let tail = |task: &RunningTask| {
        let step = workflows.step_of(task.run.task).filter(|it| 0 < it.tail_target_ms)?;
        let reported = f64::from(task.load) * 100.0 / step.tail_target_ms as f64;
        Some((step.image.clone(), reported.max(harm.predict(&step.image, &fillers))))
    };
    it.report.running.iter().filter_map(tail).collect()
}

/// Takes back the placements of a gang that did not fit whole.
fn undo(step: &WorkflowStep, rooms: &mut [Room<'_>], res: &mut Vec<RunPlacement>, from: usize) {
    for placed in res.drain(from..) {
        if let Some(room) = rooms.iter_mut().find(|it| it.usable.id == placed.worker) {
            room.free = add(room.free, reserve_of(step));
            if step.filler {
                room.filler_millicores -= step.need.cpu_millicores;
            }
        }
    }
}
