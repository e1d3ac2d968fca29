//! Simulates a node that restarts at any point between an order, its answer, the run list and the
//! report. Its worker may be draining and may execute calls late. A run reported as refused must
//! never run.

use std::collections::{BTreeMap, BTreeSet};

use aspenrail::{
    node::{Action, CallResult, Effect, Input, NodeCore, NodeOptions, WorkerCall},
    prelude::*,
};

use crate::{
    rules::InvariantChecker,
    worker::{FakeWorker, TaskBehavior},
    world::{address, spec, step},
};

const SEEDS: u64 = 400;

const SIMULATED_MS: u64 = 12_000;

/// Longer than the simulated time, so that a run never ends by itself.
const WORK_MS: u64 = 60_000;

#[derive(Debug)]
enum Event {
    /// A call reaches the worker; its answer may be lost.
    Call {
        boot: u64,
        id: u64,
        call: WorkerCall,
        answered: bool,
    },
    Result {
        boot: u64,
        id: u64,
        result: CallResult,
    },
    Grant(NodeGrant),
}

/// A leader that creates runs for one worker, the worker's node, and the messages in transit.
struct Simulation {
    now_ms: u64,
    random: fastrand::Rng,
    node: NodeCore,
    boot: u64,
    worker: FakeWorker,
    rules: InvariantChecker,
    nature: BTreeMap<u64, TaskBehavior>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    desired: BTreeSet<RunRef>,
    /// Runs that the node has reported as refused, so that a leader places them on other workers.
    refused: BTreeSet<RunRef>,
    refusals: u32,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rules = InvariantChecker::new(3);
        rules.submitted.insert(1, spec(vec![step(100, 1, &[])]));
        Simulation {
            now_ms: 10_000,
            random: fastrand::Rng::with_seed(seed),
            node: new_node(1),
            boot: 1,
            worker: FakeWorker::new(0),
            rules,
            nature: BTreeMap::from([(
                1,
                TaskBehavior { work_ms: WORK_MS, fails_every: 0, crash: None },
            )]),
            events: BTreeMap::new(),
            next_event: 0,
            desired: BTreeSet::new(),
            refused: BTreeSet::new(),
            refusals: 0,
        }
    }

    fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + after_ms, self.next_event), event);
    }

    fn simulate(&mut self) {
        let until_ms = self.now_ms + SIMULATED_MS;
        let mut next_index = 0;
        while self.now_ms < until_ms {
            self.now_ms += 1;
            match self.random.u32(0..1_000) {
                0 => self.restart(),
                1 => self.worker.draining = true,
                2 => self.worker.draining = false,
                3..=8 => {
                    let task = TaskRef {
                        workflow: WorkflowId(1),
                        occurrence: 0,
                        step: 0,
                        index: next_index,
                    };
                    self.desired.insert(RunRef { task, run: 1 });
                    next_index = (next_index + 1).min(99);
                }
                // The leader withdraws a run.
                9 => drop(self.desired.pop_first()),
                _ => (),
            }
            if self.now_ms.is_multiple_of(200) {
                let announcement = self.worker.announce(self.now_ms);
                self.input(Input::WorkerAnnounced(announcement));
            }
            self.worker.tick(self.now_ms, &self.nature, &mut self.rules);
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now_ms
            {
                let event = entry.remove();
                self.handle(event);
            }
            if self.node.next_tick_ms() <= self.now_ms {
                self.input(Input::Tick);
            }
            for run in &self.refused {
                let has_run = self.rules.has_started(*run);
                assert!(!has_run, "{run:?} was reported as refused and has run");
            }
        }
    }

    fn restart(&mut self) {
        self.boot += 1;
        self.node = new_node(self.boot);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { boot, id, call, answered } => {
                let (worker, rules) = (&mut self.worker, &mut self.rules);
                let result = worker.handle(&call, self.now_ms, &self.nature, rules);
                if answered {
                    let delay_ms = self.random.u64(1..20);
                    self.push(delay_ms, Event::Result { boot, id, result });
                }
            }
            Event::Result { boot, id, result } if boot == self.boot => {
                self.input(Input::CallEnded { id, result });
            }
            Event::Result { .. } => (),
            Event::Grant(it) => self.input(Input::Message(Box::new(Message::NodeGrant(it)))),
        }
    }

    fn input(&mut self, input: Input) {
        let now = self.now();
        self.node.handle(now, input);
        for effect in self.node.take_effects() {
            match effect {
                Effect::Call { id, call } => self.call(id, call),
                Effect::Send { message: Message::NodeReport(it), .. } => self.send_grant(&it),
                Effect::Send { .. } | Effect::AnnouncementIgnored(_) => (),
            }
        }
    }

    /// Delivers a call; a start may be executed seconds late, without an answer.
    fn call(&mut self, id: u64, call: WorkerCall) {
        let boot = self.boot;
        let is_late = matches!(call.action, Action::Start { .. }) && self.random.u32(0..3) == 0;
        if is_late {
            let late_ms = self.random.u64(100..5_000);
            self.push(late_ms, Event::Call { boot, id, call, answered: false });
            self.push(500, Event::Result { boot, id, result: CallResult::NoAnswer });
        } else {
            let delay_ms = self.random.u64(1..20);
            self.push(delay_ms, Event::Call { boot, id, call, answered: true });
        }
    }

    /// Answers a report with a grant, as the leader does.
    fn send_grant(&mut self, report: &NodeReport) {
        let Some(worker_report) = report.workers.first() else { return };
        let refused_runs: Vec<_> = worker_report.refused.iter().map(|it| it.run).collect();
        self.refusals += refused_runs.iter().filter(|it| !self.refused.contains(it)).count() as u32;
        self.refused.extend(&refused_runs);
        self.desired.retain(|it| !refused_runs.contains(it));
        let is_known = |run: &RunRef| {
            worker_report.running.iter().any(|it| it.run == *run)
                || worker_report.ended.iter().any(|it| it.end.run == *run)
        };
        let starts = self.desired.iter().filter(|it| !is_known(it)).map(|it| {
            RunOrder::Start(StartRun {
                run: *it,
                payload: "work".into(),
                checkpoint: CompactString::default(),
                role: TaskRole::Plain,
            })
        });
        let strays = worker_report.running.iter().filter(|it| !self.desired.contains(&it.run));
        let is_complete = worker_report.term == 1;
        let orders = match is_complete {
            true => starts.chain(strays.map(|it| RunOrder::Stop(it.run))).collect(),
            false => Vec::new(),
        };
        let grant = NodeGrant {
            capacity: crate::worker::CAPACITY,
            number: report.number,
            sequence: report.sent_ms * 1_000 + report.number,
            sent_ms: report.sent_ms,
            term: 1,
            token: 1 << 24,
            is_complete,
            lease_ms: 4_000,
            worker: worker_report.name.clone(),
            acked_cursor: 0,
            orders,
            services: Vec::new(),
            costs: Vec::new(),
            members: vec![address(0)],
        };
        let delay_ms = self.random.u64(1..30);
        self.push(delay_ms, Event::Grant(grant));
    }
}

fn new_node(boot: u64) -> NodeCore {
    NodeCore::new(NodeOptions {
        address: address(200),
        control_addresses: vec![address(0)],
        boot,
        report_ms: 500,
        retry_ms: 100,
        hold_wait_ms: 0,
        watch_wait_ms: 0,
        worker_silent_ms: 2_500,
        harm_max_ms: 4_000,
    })
}

#[test]
fn what_is_called_refused_never_runs_whenever_the_node_restarts() {
    let mut refusals = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.simulate();
        refusals += simulation.refusals;
    }
    assert!(
        SEEDS as u32 <= refusals,
        "only {refusals} runs were refused, too few for the test to be conclusive"
    );
}
