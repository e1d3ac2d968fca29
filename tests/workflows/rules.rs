//! What must always hold, checked from what workers and clients see.

use std::collections::{BTreeMap, BTreeSet};

use aspenrail::{control::state::reservation_of, prelude::*};

/// Workers that may crash under a task, and starts after these that are too many.
const CRASHES_MAX: u32 = 3;

/// Workers that must crash under a workflow before it may be given up for that.
const CRASHES_MIN: u32 = 2;

/// What workers and clients saw, and what was wrong with it.
#[derive(Debug, Default)]
pub struct Ledger {
    pub submitted: BTreeMap<u64, WorkflowSpec>,
    live: BTreeMap<TaskRef, (RunRef, CompactString)>,
    done: BTreeSet<TaskRef>,
    noted_done: BTreeSet<TaskRef>,
    noted_failures: BTreeMap<TaskRef, u32>,
    /// Runs that ended as failed, but for those whose worker's lease ran out before the end was
    /// taken note of: these count for nothing.
    failed: BTreeSet<RunRef>,
    /// Workers that died with a run of a workflow on them, by whatever cause.
    deaths: BTreeMap<u64, u32>,
    attempts_max: u32,
    pub starts: u32,
    starts_by_worker: BTreeMap<CompactString, u32>,
    began: BTreeSet<RunRef>,
    /// Workers that crashed under a task that crashes its workers, and its starts since the third.
    crashes: BTreeMap<TaskRef, u32>,
    starts_after_crashes: BTreeMap<TaskRef, u32>,
    /// From when nothing may begin in a zone any more.
    closed_from_ms: BTreeMap<CompactString, u64>,
    pub broken: Vec<String>,
}

impl Ledger {
    pub fn new(attempts_max: u32) -> Ledger {
        Ledger { attempts_max, ..Ledger::default() }
    }

    pub fn started(&mut self, run: RunRef, worker: &str, now_ms: u64) {
        self.starts += 1;
        self.began.insert(run);
        *self.starts_by_worker.entry(worker.into()).or_insert(0) += 1;
        let Some(spec) = self.submitted.get(&run.task.workflow.0) else {
            return self.broken.push(format!("{now_ms}: {run:?} starts, and nobody asked for it"));
        };
        for before in &spec.steps[run.task.step as usize].after {
            let count = spec.steps[*before as usize].count;
            let all = (0..count)
                .all(|index| self.done.contains(&TaskRef { step: *before, index, ..run.task }));
            if !all {
                self.broken.push(format!("{now_ms}: {run:?} starts before step {before} is done"));
            }
        }
        if let Some((other, place)) = self.live.get(&run.task) {
            self.broken
                .push(format!("{now_ms}: {run:?} starts on {worker}, {other:?} runs on {place}"));
        }
        if self.noted_done.contains(&run.task) {
            self.broken.push(format!("{now_ms}: {run:?} starts again though it was done"));
        }
        if self.attempts_max <= self.noted_failures.get(&run.task).copied().unwrap_or(0) {
            self.broken.push(format!("{now_ms}: {run:?} starts though its attempts are used up"));
        }
        if CRASHES_MAX <= self.crashes.get(&run.task).copied().unwrap_or(0) {
            let starts = self.starts_after_crashes.entry(run.task).or_insert(0);
            *starts += 1;
            if CRASHES_MAX <= *starts {
                self.broken
                    .push(format!("{now_ms}: {run:?} is start {starts} after three crashes"));
            }
        }
        self.live.insert(run.task, (run, worker.into()));
    }

    /// Returns what a run takes from its worker.
    pub fn reservation_of(&self, run: RunRef) -> Option<Resources> {
        let spec = self.submitted.get(&run.task.workflow.0)?;
        spec.steps.get(run.task.step as usize).map(reservation_of)
    }

    /// Notes that a worker crashed because of a run.
    pub fn crashed_by(&mut self, run: RunRef) {
        *self.crashes.entry(run.task).or_insert(0) += 1;
    }

    /// Returns how many workers crashed because of what ran on them.
    pub fn crashes_caused(&self) -> u32 {
        self.crashes.values().sum()
    }

    /// Notes that an evacuation was acknowledged, or that the zone is about to be taken back.
    pub fn zone_closes(&mut self, zone: &str, from_ms: Option<u64>) {
        match from_ms {
            Some(it) => drop(self.closed_from_ms.insert(zone.into(), it)),
            None => drop(self.closed_from_ms.remove(zone)),
        }
    }

    /// Checks that a start is not in a zone that has long been out of use.
    pub fn started_in(&mut self, zone: &str, run: RunRef, now_ms: u64) {
        if self.closed_from_ms.get(zone).is_some_and(|it| *it < now_ms) {
            self.broken.push(format!("{now_ms}: {run:?} starts in {zone}, which is out of use"));
        }
    }

    /// Returns how many tasks are at work.
    pub fn at_work(&self) -> usize {
        self.live.len()
    }

    /// Returns how many failures of a task were taken note of.
    pub fn noted_failures(&self, task: TaskRef) -> u32 {
        self.noted_failures.get(&task).copied().unwrap_or(0)
    }

    pub fn starts_on(&self, worker: &str) -> u32 {
        self.starts_by_worker.get(worker).copied().unwrap_or(0)
    }

    /// Returns whether a worker ever began a run.
    pub fn has_started(&self, run: RunRef) -> bool {
        self.began.contains(&run)
    }

    /// Returns whether a worker ever began a run of a workflow.
    pub fn has_begun(&self, id: u64) -> bool {
        self.began.iter().any(|it| it.task.workflow.0 == id)
    }

    pub fn ended(&mut self, run: RunRef, outcome: RunOutcome) {
        if self.live.get(&run.task).is_some_and(|(it, _)| *it == run) {
            self.live.remove(&run.task);
        }
        match outcome {
            RunOutcome::Done => drop(self.done.insert(run.task)),
            RunOutcome::Failed => drop(self.failed.insert(run)),
            _ => (),
        }
    }

    /// Notes that a worker's lease ran out before an end of a run there was taken note of.
    pub fn lapsed_after(&mut self, run: RunRef) {
        self.failed.remove(&run);
    }

    pub fn taken_note_of(&mut self, run: RunRef, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Done => drop(self.noted_done.insert(run.task)),
            RunOutcome::Failed => *self.noted_failures.entry(run.task).or_insert(0) += 1,
            _ => (),
        }
    }

    pub fn worker_died<'a>(&mut self, _worker: &str, runs: impl Iterator<Item = &'a RunRef>) {
        for run in runs {
            *self.deaths.entry(run.task.workflow.0).or_insert(0) += 1;
            if self.live.get(&run.task).is_some_and(|(it, _)| it == run) {
                self.live.remove(&run.task);
            }
        }
    }

    /// Checks what a client was told of a workflow.
    pub fn told(&mut self, id: u64, phase: WorkflowPhase) {
        let Some(spec) = self.submitted.get(&id) else {
            return self.broken.push(format!("{id} is shown and nobody submitted it"));
        };
        let tasks = spec.steps.iter().enumerate().flat_map(|(step, it)| {
            (0..it.count).map(move |index| TaskRef {
                workflow: WorkflowId(id),
                occurrence: 0,
                step: step as u32,
                index,
            })
        });
        if phase == WorkflowPhase::Completed
            && let Some(it) = tasks.into_iter().find(|it| !self.done.contains(it))
        {
            self.broken.push(format!("{id} is shown as completed, and {it:?} is not done"));
        }
        let may_be_given_up = CRASHES_MIN <= self.deaths.get(&id).copied().unwrap_or(0);
        let failures = self.failures_most(id);
        if phase == WorkflowPhase::Failed && !may_be_given_up && failures < self.attempts_max {
            let max = self.attempts_max;
            self.broken.push(format!("{id} is shown as failed after {failures} failures of {max}"));
        }
    }

    /// Returns the most failures of a task of a workflow, or of a gang: a start of a gang fails
    /// once, however many of its members do.
    pub fn failures_most(&self, id: u64) -> u32 {
        let steps = &self.submitted[&id].steps;
        let mut starts: BTreeSet<(u32, Option<u32>, u32)> = BTreeSet::new();
        for it in self.failed.iter().filter(|it| it.task.workflow.0 == id) {
            let is_gang = steps[it.task.step as usize].gang;
            starts.insert((it.task.step, (!is_gang).then_some(it.task.index), it.run));
        }
        let mut counts: BTreeMap<(u32, Option<u32>), u32> = BTreeMap::new();
        starts.iter().for_each(|it| *counts.entry((it.0, it.1)).or_insert(0) += 1);
        counts.into_values().max().unwrap_or(0)
    }
}
