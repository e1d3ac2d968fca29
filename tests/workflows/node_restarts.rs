//! A node that restarts at any point between an order, its answer, the list and the report, beside
//! a worker that may be leaving and carries calls out late: what is called refused never runs.

use std::collections::{BTreeMap, BTreeSet};

use aspenrail::{
    node::{Action, CallResult, Effect, Input, NodeCore, NodeOptions, WorkerCall},
    prelude::*,
};

use crate::{
    rules::Ledger,
    worker::{FakeWorker, Nature},
    world::{address, spec, step},
};

const SEEDS: u64 = 400;

const PLAYED_MS: u64 = 12_000;

/// Longer than the test, so that a run never ends by itself.
const WORK_MS: u64 = 60_000;

#[derive(Debug)]
enum Event {
    /// A call reaches the worker; its answer may get lost.
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

/// A leader with one run after the other for one worker, its node, and what lies between them.
struct Scene {
    now_ms: u64,
    random: fastrand::Rng,
    node: NodeCore,
    boot: u64,
    worker: FakeWorker,
    rules: Ledger,
    nature: BTreeMap<u64, Nature>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    wanted: BTreeSet<RunRef>,
    /// Runs that the node has called refused, so that they are placed elsewhere.
    refused: BTreeSet<RunRef>,
    refusals: u32,
}

impl Scene {
    fn new(seed: u64) -> Scene {
        let mut rules = Ledger::new(3);
        rules.submitted.insert(1, spec(vec![step(100, 1, &[])]));
        Scene {
            now_ms: 10_000,
            random: fastrand::Rng::with_seed(seed),
            node: new_node(1),
            boot: 1,
            worker: FakeWorker::new(0),
            rules,
            nature: BTreeMap::from([(1, Nature { work_ms: WORK_MS, fails_every: 0, crash: None })]),
            events: BTreeMap::new(),
            next_event: 0,
            wanted: BTreeSet::new(),
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

    fn play(&mut self) {
        let until_ms = self.now_ms + PLAYED_MS;
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
                    self.wanted.insert(RunRef { task, run: 1 });
                    next_index = (next_index + 1).min(99);
                }
                // The leader gives up on a run.
                9 => drop(self.wanted.pop_first()),
                _ => (),
            }
            if self.now_ms.is_multiple_of(200) {
                let it = self.worker.announce(self.now_ms);
                self.tell(Input::WorkerAnnounced(it));
            }
            self.worker.tick(self.now_ms, &self.nature, &mut self.rules);
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now_ms
            {
                let event = entry.remove();
                self.handle(event);
            }
            if self.node.next_tick_ms() <= self.now_ms {
                self.tell(Input::Tick);
            }
            for run in &self.refused {
                let has_run = self.rules.has_started(*run);
                assert!(!has_run, "{run:?} was called refused and has run");
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
                self.tell(Input::CallEnded { id, result });
            }
            Event::Result { .. } => (),
            Event::Grant(it) => self.tell(Input::Message(Box::new(Message::NodeGrant(it)))),
        }
    }

    fn tell(&mut self, input: Input) {
        let now = self.now();
        self.node.handle(now, input);
        for effect in self.node.take_effects() {
            match effect {
                Effect::Call { id, call } => self.call(id, call),
                Effect::Send { message: Message::NodeReport(it), .. } => self.answer(&it),
                Effect::Send { .. } | Effect::AnnouncementIgnored(_) => (),
            }
        }
    }

    /// Starts may be carried out seconds late, with no answer.
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

    /// Answers a report as the leader does.
    fn answer(&mut self, report: &NodeReport) {
        let Some(seen) = report.workers.first() else { return };
        let told: Vec<_> = seen.refused.iter().map(|it| it.run).collect();
        self.refusals += told.iter().filter(|it| !self.refused.contains(it)).count() as u32;
        self.refused.extend(&told);
        self.wanted.retain(|it| !told.contains(it));
        let is_known = |run: &RunRef| {
            seen.running.iter().any(|it| it.run == *run)
                || seen.ended.iter().any(|it| it.end.run == *run)
        };
        let starts = self.wanted.iter().filter(|it| !is_known(it)).map(|it| {
            RunOrder::Start(StartRun {
                run: *it,
                payload: "work".into(),
                checkpoint: CompactString::default(),
                role: TaskRole::Plain,
            })
        });
        let strays = seen.running.iter().filter(|it| !self.wanted.contains(&it.run));
        let is_complete = seen.term == 1;
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
            worker: seen.name.clone(),
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
        let mut scene = Scene::new(seed);
        scene.play();
        refusals += scene.refusals;
    }
    assert!(SEEDS as u32 <= refusals, "only {refusals} runs were refused, which shows little");
}
