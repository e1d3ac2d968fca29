//! A leader that reserves capacity, and workers that begin, stop and end runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use aspenrail::{
    control::{
        dispatch::{DispatchOptions, Dispatcher, Features},
        state::Workflows,
    },
    prelude::*,
};

use crate::{
    fillers::node,
    world::{dispatch_options, queues, spec, step},
};

const TICK_MS: u64 = 50;
/// Time that a worker takes to get a long-running task to work.
const START_MS: u64 = 200;
const MEMORY_MIB: u32 = 100_000;

/// Id of the service that waits for room.
pub const LARGE: u64 = 500;

fn options() -> DispatchOptions {
    let features = Features { reservations: true, ..Features::default() };
    DispatchOptions { features, ..dispatch_options() }
}

pub fn service(count: u32, cores: u32) -> WorkflowStep {
    WorkflowStep { lasting: true, ..step(count, cores, &[]) }
}

#[derive(Default)]
pub struct FakeWorker {
    pub cores: u32,
    /// The start of each run, and its end if it is short.
    pub runs: BTreeMap<RunRef, (u64, Option<u64>)>,
    pub stops: BTreeMap<RunRef, u64>,
    pub cursor: u64,
    pub number: u64,
    pub term: u64,
    pub is_silent: bool,
    pub is_gone: bool,
}

/// A leader and its workers.
pub struct Fleet {
    pub workflows: Workflows,
    pub dispatcher: Dispatcher,
    pub now_ms: u64,
    pub term: u64,
    pub workers: Vec<FakeWorker>,
    /// Time that a worker takes to stop a run.
    pub stop_ms: u64,
    pub stopped: Vec<RunRef>,
    /// Run times of tasks, by workflow.
    pub run_ms: BTreeMap<WorkflowId, u64>,
    /// Largest number of tasks of each complete service that were not at work at once.
    pub away_most: BTreeMap<WorkflowId, usize>,
    /// When the first task of each workflow began, and on which worker.
    pub started: BTreeMap<WorkflowId, (u64, usize)>,
}

impl Fleet {
    pub fn new(workers: usize, cores: u32) -> Fleet {
        let mut workflows = Workflows::default();
        workflows.apply(&WorkflowCommand::Install(queues(1)), 1);
        let now_ms = 1_000;
        let now = Now { mono_ms: now_ms, wall_ms: now_ms };
        let mut res = Fleet {
            dispatcher: Dispatcher::new(options(), &workflows, 1, now),
            workflows,
            now_ms,
            term: 1,
            workers: (0..workers).map(|_| FakeWorker { cores, ..Default::default() }).collect(),
            stop_ms: 200,
            stopped: Vec::new(),
            run_ms: BTreeMap::new(),
            away_most: BTreeMap::new(),
            started: BTreeMap::new(),
        };
        res.run_for(200);
        res
    }

    /// Creates twelve workers of 64 cores, each with two tasks of 14 cores and two of 12 cores: 144
    /// cores are free, 12 on each worker.
    pub fn fragmented() -> Fleet {
        let mut res = Fleet::new(12, 64);
        for service_id in 0..12_u64 {
            let cores = if service_id < 6 { 14 } else { 12 };
            let workers = (0..4).map(|it| (service_id * 4 + it) % 12);
            res.put(100 + service_id, service(4, cores), &workers.collect::<Vec<_>>());
        }
        res.run_for(1_000);
        res
    }

    pub fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    pub fn submission(&self, id: u64, step: WorkflowStep) -> WorkflowCommand {
        WorkflowCommand::Submit(SubmitWorkflow {
            id: WorkflowId(id),
            queue: "queue".into(),
            spec: spec(vec![step]),
            accepted_ms: self.now_ms,
        })
    }

    pub fn submit(&mut self, id: u64, step: WorkflowStep, run_ms: u64) {
        self.run_ms.insert(WorkflowId(id), run_ms);
        let command = self.submission(id, step);
        self.apply(command);
    }

    /// Begins the tasks of a step on the given workers.
    pub fn put(&mut self, id: u64, step: WorkflowStep, workers: &[u64]) {
        let command = self.submission(id, step);
        self.apply(command);
        let placement = |(index, worker): (u32, &u64)| RunPlacement {
            run: RunRef {
                task: TaskRef { workflow: WorkflowId(id), occurrence: 0, step: 0, index },
                run: 1,
            },
            worker: self.id_of(*worker as usize),
        };
        let runs = (0..).zip(workers).map(placement).collect();
        self.apply(WorkflowCommand::Begin(runs));
    }

    pub fn id_of(&self, worker: usize) -> WorkerId {
        let name = format_compact!("worker-{worker}");
        self.workflows.workers().find(node(worker as u64), &name).unwrap()
    }

    pub fn apply(&mut self, command: WorkflowCommand) {
        self.workflows.apply(&command, self.now_ms);
        self.dispatcher.note_applied(&self.workflows, &command, &[], self.now());
    }

    pub fn cancel(&mut self, id: u64) {
        self.apply(WorkflowCommand::Cancel(WorkflowId(id)));
    }

    /// Replaces the leader.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.dispatcher = Dispatcher::new(options(), &self.workflows, self.term, self.now());
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.tick();
        }
    }

    /// Advances until a condition holds; returns how long that took.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Fleet) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) {
            assert!(self.now_ms < start_ms + limit_ms, "not within {limit_ms} ms");
            self.tick();
        }
        self.now_ms - start_ms
    }

    /// Advances like [`Fleet::run_until`] while a short task arrives every 100 ms.
    pub fn run_with_short_work(
        &mut self,
        limit_ms: u64,
        condition: impl Fn(&Fleet) -> bool,
    ) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) {
            assert!(self.now_ms < start_ms + limit_ms, "not within {limit_ms} ms");
            self.submit(1_000_000 + self.now_ms, step(1, 1, &[]), 700);
            self.run_for(100);
        }
        self.now_ms - start_ms
    }

    pub fn run_with_short_work_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        self.run_with_short_work(duration_ms + 200, |it| end_ms <= it.now_ms);
    }

    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for worker in 0..self.workers.len() {
            if !self.workers[worker].is_silent {
                self.report(worker);
            }
        }
        self.dispatcher.tick(&self.workflows, self.now());
        self.turn();
        self.note_away();
    }

    pub fn report(&mut self, index: usize) {
        let (now_ms, stop_ms) = (self.now_ms, self.stop_ms);
        let worker = &mut self.workers[index];
        worker.number += 1;
        let is_done = |run: &RunRef, end: Option<u64>, stops: &BTreeMap<RunRef, u64>| {
            let stop_ms = stops.get(run).map(|it| it + stop_ms);
            match (end, stop_ms) {
                (Some(end), _) if end <= now_ms => Some(RunOutcome::Done),
                (_, Some(stop)) if stop <= now_ms => Some(RunOutcome::Stopped),
                _ => None,
            }
        };
        let mut ended = Vec::new();
        let FakeWorker { runs, stops, cursor, .. } = worker;
        runs.retain(|run, (_, end)| {
            let Some(outcome) = is_done(run, *end, stops) else { return true };
            *cursor += 1;
            let end = RunEnd { run: *run, outcome, checkpoint: "".into() };
            ended.push(EndedRun { cursor: *cursor, end });
            false
        });
        let running = worker.runs.iter().map(|(run, (start_ms, end))| RunningTask {
            run: *run,
            checkpoint: "".into(),
            progress_percent: match end {
                None if start_ms + START_MS <= now_ms => 100,
                _ => 0,
            },
            load: 0,
        });
        let report = WorkerReport {
            name: format_compact!("worker-{index}"),
            service: "pool".into(),
            zone: "zone".into(),
            kind: "a".into(),
            rack: "rack".into(),
            capacity: Resources {
                cpu_millicores: worker.cores * 1_000,
                memory_mib: MEMORY_MIB,
                accelerators: 0,
            },
            draining: false,
            remaining_ms: 0,
            gone: worker.is_gone,
            term: worker.term,
            running: running.collect(),
            ended,
            refused: Vec::new(),
            noted: NotedEnds::NO_ACKNOWLEDGEMENTS,
            roles_missing: false,
            faded: Vec::new(),
        };
        let report = NodeReport {
            node: node(index as u64),
            boot: 1,
            number: worker.number,
            sent_ms: now_ms,
            workers: vec![report],
        };
        self.dispatcher.on_report(&self.workflows, report, &[], self.now());
        self.turn();
    }

    /// Applies the leader's commands, and delivers its grants to the workers that are not silent.
    pub fn turn(&mut self) {
        loop {
            let output = self.dispatcher.finish_turn(&self.workflows, &[], self.now());
            for (to, message) in output.messages {
                if let Message::NodeGrant(it) = message {
                    self.deliver(to, it);
                }
            }
            self.dispatcher.audit(&self.workflows).unwrap();
            if output.commands.is_empty() {
                return;
            }
            output.commands.into_iter().for_each(|it| self.apply(it));
        }
    }

    pub fn deliver(&mut self, to: SocketAddr, grant: NodeGrant) {
        let index = usize::from(to.port()) - 1_000;
        let worker = &mut self.workers[index];
        if worker.is_silent || worker.is_gone || grant.term < worker.term {
            return;
        }
        worker.term = grant.term;
        for order in grant.orders {
            match order {
                RunOrder::Start(it) => {
                    let run_ms = self.run_ms.get(&it.run.task.workflow).copied();
                    let end = run_ms.filter(|it| *it < u64::MAX).map(|it| self.now_ms + it);
                    worker.runs.entry(it.run).or_insert((self.now_ms, end));
                    let started = self.started.entry(it.run.task.workflow);
                    started.or_insert((self.now_ms, index));
                }
                RunOrder::Stop(run) if !worker.stops.contains_key(&run) => {
                    worker.stops.insert(run, self.now_ms);
                    self.stopped.push(run);
                }
                _ => (),
            }
        }
    }

    /// Returns how many tasks of a service are at work.
    pub fn at_work(&self, id: u64) -> usize {
        let runs = self.workers.iter().filter(|it| !it.is_gone).flat_map(|worker| {
            worker.runs.iter().filter(|(run, _)| !worker.stops.contains_key(run))
        });
        let at_work = runs.filter(|(run, (start_ms, _))| {
            run.task.workflow == WorkflowId(id) && start_ms + START_MS <= self.now_ms
        });
        at_work.map(|(run, _)| run.task.index).collect::<BTreeSet<_>>().len()
    }

    pub fn services(&self) -> Vec<(WorkflowId, usize)> {
        let active = self.workflows.active();
        let services = active.filter(|(_, it)| it.spec.steps[0].lasting);
        services.map(|(id, it)| (id, it.spec.steps[0].count as usize)).collect()
    }

    pub fn note_away(&mut self) {
        for (id, count) in self.services() {
            let away = count - self.at_work(id.0);
            match self.away_most.get_mut(&id) {
                Some(it) => *it = away.max(*it),
                // Counted from the time at which it was complete first.
                None if away == 0 => drop(self.away_most.insert(id, 0)),
                None => (),
            }
        }
    }

    pub fn assert_away_at_most(&self, limit: usize) {
        for (id, away) in &self.away_most {
            assert!(*away <= limit, "{away} tasks of service {id:?} were away at once");
        }
    }

    pub fn are_all_at_work(&self) -> bool {
        self.services().iter().all(|(id, count)| self.at_work(id.0) == *count)
    }

    /// Submits a service of `count` tasks of 16 cores and advances until a task is to be moved for
    /// it; returns that run and the worker that it is to begin on.
    pub fn begin_move(&mut self, count: u32) -> RunRef {
        self.submit(LARGE, service(count, 16), u64::MAX);
        self.run_until(5_000, |it| !it.stopped.is_empty());
        self.stopped[0]
    }

    /// Returns the worker with the given task, apart from the run that is stopped.
    pub fn new_worker_of(&self, stopped: RunRef) -> Option<usize> {
        let is_new = |it: &RunRef| it.task == stopped.task && it.run != stopped.run;
        self.workers.iter().position(|it| it.runs.keys().any(is_new))
    }
}
