//! A day on which some workers are five times slower for some seconds and report themselves healthy.

use std::collections::BTreeMap;

use aspenrail::{
    control::dispatch::{DispatchOptions, Features},
    prelude::*,
};

use crate::{
    fillers::LeaderHarness,
    world::{dispatch_options, step},
};

const WORKERS: u64 = 8;
const REPORT_MS: u64 = 250;

/// Run time of a task on a worker of normal speed, as declared.
const RUN_MS: u64 = 1_000;

/// What the queue promises: 150 % of the run time and 250 ms.
const OBJECTIVE_MS: u64 = RUN_MS * 150 / 100 + 250;

const SLOWDOWN: f64 = 5.0;

/// Share of workflows that may miss their objective because some workers are slow.
const LOST_SHARE_MAX: f64 = 0.08;

/// Time in which the leader finds out: two reports, and the restart of what runs there.
const DETECTION_MS: u64 = 2_000;

/// Time between two probes of a slow worker.
const PROBE_MS: u64 = 2_000;

/// A day of short workflows on workers that change their speed.
struct Day {
    leader: LeaderHarness,
    /// Progress of runs by worker.
    progress: BTreeMap<(u64, RunRef), f64>,
    cursors: BTreeMap<u64, u64>,
    slow: Vec<u64>,
    submitted_ms: BTreeMap<u64, u64>,
    completed_ms: BTreeMap<u64, u64>,
    begun: Vec<(u64, u64)>,
    next_id: u64,
    /// Workflows that arrive between two reports.
    arrivals: u64,
}

impl Day {
    fn new(features: Features) -> Day {
        let options = DispatchOptions { features, ..dispatch_options() };
        Day {
            leader: LeaderHarness::with_options(WORKERS, 16, options),
            progress: BTreeMap::new(),
            cursors: BTreeMap::new(),
            slow: Vec::new(),
            submitted_ms: BTreeMap::new(),
            completed_ms: BTreeMap::new(),
            begun: Vec::new(),
            next_id: 1,
            arrivals: 2,
        }
    }

    /// Runs for a while. Two workflows of eight tasks each 250 ms use half of the capacity.
    fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / REPORT_MS {
            let end_ms = self.leader.now_ms + REPORT_MS;
            for _ in 0..self.arrivals {
                let mut tasks = step(8, 1, &[]);
                (tasks.estimate_ms, tasks.need.memory_mib) = (RUN_MS, 100);
                self.submitted_ms.insert(self.next_id, self.leader.now_ms);
                self.leader.submit(self.next_id, vec![tasks]);
                self.next_id += 1;
            }
            self.leader.now_ms = end_ms;
            (1..=WORKERS).for_each(|it| self.report(it));
            self.leader.advance(0);
            self.note_completed();
        }
    }

    fn report(&mut self, worker: u64) {
        let share = if self.slow.contains(&worker) { 1.0 / SLOWDOWN } else { 1.0 };
        let (mut running, mut ended) = (Vec::new(), Vec::new());
        for run in self.leader.runs_on(worker) {
            let now_ms = self.leader.now_ms;
            let progress = self.progress.entry((worker, run)).or_insert_with(|| {
                self.begun.push((now_ms, worker));
                0.0
            });
            *progress += share * REPORT_MS as f64 / RUN_MS as f64;
            let outcome = match *progress {
                _ if self.leader.stops.contains(&run) => RunOutcome::Stopped,
                1.0.. => RunOutcome::Done,
                it => {
                    let progress_percent = (it * 100.0) as u32;
                    let checkpoint = CompactString::default();
                    running.push(RunningTask { run, checkpoint, progress_percent, load: 1_000 });
                    continue;
                }
            };
            let cursor = self.cursors.entry(worker).or_insert(0);
            *cursor += 1;
            let end = RunEnd { run, outcome, checkpoint: CompactString::default() };
            ended.push(EndedRun { cursor: *cursor, end });
        }
        self.leader.report_runs(worker, running, ended);
    }

    fn note_completed(&mut self) {
        for id in self.submitted_ms.keys() {
            let workflow = self.leader.workflows.get(WorkflowId(*id));
            if workflow.is_some_and(|it| it.phase() == WorkflowPhase::Completed) {
                self.completed_ms.entry(*id).or_insert(self.leader.now_ms);
            }
        }
    }

    /// Returns the share of the workflows submitted in a period that missed their objective.
    fn missed_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let submitted = self.submitted_ms.iter().filter(|(_, it)| (from_ms..to_ms).contains(it));
        let is_missed = |(id, submitted_ms): &(&u64, &u64)| {
            let end_ms = self.completed_ms.get(*id).copied().unwrap_or(u64::MAX);
            **submitted_ms + OBJECTIVE_MS < end_ms
        };
        let count = submitted.clone().count();
        submitted.filter(is_missed).count() as f64 / count as f64
    }

    /// Makes the workers slow that have the most runs.
    fn slow_down(&mut self, count: usize) {
        let mut workers: Vec<u64> = (1..=WORKERS).collect();
        workers.sort_by_key(|it| std::cmp::Reverse(self.leader.runs_on(*it).len()));
        workers.truncate(count);
        self.slow = workers;
    }

    /// Returns how many runs began on a worker in a period.
    fn begun_on(&self, worker: u64, from_ms: u64, to_ms: u64) -> u64 {
        let is_counted =
            |(at_ms, it): &&(u64, u64)| *it == worker && (from_ms..to_ms).contains(at_ms);
        self.begun.iter().filter(is_counted).count() as u64
    }
}

fn with_speeds() -> Features {
    Features { worker_speeds: true, ..Features::default() }
}

#[test]
fn callers_of_short_work_do_not_notice_a_quarter_of_slow_workers() {
    let mut day = Day::new(with_speeds());
    day.run_for(5_000);
    let from_ms = day.leader.now_ms;
    day.slow_down(2);
    day.run_for(9_000);
    let to_ms = day.leader.now_ms;
    let slow = std::mem::take(&mut day.slow);
    // More work than workers of normal speed can take.
    day.arrivals = 4;
    day.run_for(4_000);
    let missed = day.missed_share(from_ms + DETECTION_MS, to_ms - OBJECTIVE_MS);
    assert!(missed <= LOST_SHARE_MAX, "{missed} of the workflows missed their objective");
    for worker in slow {
        let probes_max = (to_ms - from_ms - DETECTION_MS) / PROBE_MS + 1;
        let begun = day.begun_on(worker, from_ms + DETECTION_MS, to_ms);
        assert!(begun <= probes_max, "{begun} runs began on slow worker {worker}");
        let begun = day.begun_on(worker, to_ms, day.leader.now_ms);
        assert!(16 <= begun, "a slow worker is used where nothing else is free: {begun}");
    }
    let speeds = day.leader.workflows.demand().speeds();
    assert!(speeds.is_empty(), "the recovery is not noticed: {speeds:?}");
}

#[test]
fn no_run_is_stopped_while_all_workers_have_the_same_speed() {
    for slow in [Vec::new(), (1..=WORKERS).collect()] {
        let mut day = Day::new(with_speeds());
        day.run_for(5_000);
        day.slow = slow;
        day.run_for(6_000);
        assert!(day.leader.stops.is_empty(), "{:?}", day.leader.stops);
    }
}

#[test]
fn the_next_leader_knows_the_slow_workers() {
    let mut day = Day::new(with_speeds());
    day.run_for(5_000);
    day.slow_down(2);
    day.run_for(6_000);
    let speeds = day.leader.workflows.demand().speeds().to_vec();
    assert_eq!(speeds.len(), 2, "{speeds:?}");
    day.leader.replace_leader();
    let from_ms = day.leader.now_ms;
    day.run_for(1_500);
    for worker in day.slow.clone() {
        let begun = day.begun_on(worker, from_ms, day.leader.now_ms);
        assert!(begun <= 1, "{begun} runs began on slow worker {worker}");
    }
}

#[test]
fn a_slow_worker_that_is_back_under_its_name_is_a_normal_one() {
    let mut day = Day::new(with_speeds());
    day.run_for(5_000);
    day.slow_down(1);
    day.run_for(6_000);
    assert_eq!(day.leader.workflows.demand().speeds().len(), 1);
    let worker = std::mem::take(&mut day.slow)[0];
    day.leader.dismiss(worker);
    day.progress.retain(|(it, _), _| *it != worker);
    day.cursors.remove(&worker);
    day.arrivals = 4;
    let from_ms = day.leader.now_ms;
    day.run_for(4_000);
    assert!(day.leader.workflows.demand().speeds().is_empty(), "the worker is gone");
    assert!(1 < day.begun_on(worker, from_ms, day.leader.now_ms), "it gets work at once");
}
