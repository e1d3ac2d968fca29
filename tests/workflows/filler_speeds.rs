//! Speeds of best-effort tasks (fillers) on a worker that leaves calls unanswered or carries them out
//! late. A node must not believe that a filler rests while it works.

use std::collections::{BTreeMap, VecDeque};

use aspenrail::{
    node::{
        Action, Announcement, CallRefusal, CallResult, Effect, Input, NodeCore, NodeOptions,
        WorkerCall,
    },
    prelude::*,
};

use crate::{worker::CAPACITY, world::address};

const TARGET_MS: u64 = 50;

/// Tails of a service far within and far over its target.
const LOW_TAIL_MS: u32 = 10;
const HIGH_TAIL_MS: u32 = 200;

const HARM_MAX_MS: u64 = 4_500;

/// Time after which a call without an answer is given up.
const CALL_TIMEOUT_MS: u64 = 500;

const STEP_MS: u64 = 10;

/// What becomes of a call that sets a speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    /// It gets no answer, and is carried out after this time.
    Late {
        after_ms: u64,
    },
}

fn run(workflow: u64, index: u32) -> RunRef {
    let task = TaskRef { workflow: WorkflowId(workflow), occurrence: 0, step: 0, index };
    RunRef { task, run: 1 }
}

fn serving_run() -> RunRef {
    run(1, 0)
}

fn filler_run() -> RunRef {
    run(2, 0)
}

/// A worker with one serving task and one filler, and its node.
struct Installation {
    node: NodeCore,
    boot: u64,
    now_ms: u64,
    tail_ms: u32,
    /// Speed of the filler on the worker.
    speed_percent: u32,
    /// Highest token that the worker has received.
    token: u64,
    /// Fates of the next speed calls; later ones are answered.
    fates: VecDeque<Fate>,
    late: BTreeMap<(u64, u64), WorkerCall>,
    results: BTreeMap<(u64, u64), CallResult>,
    /// Speed calls that the node made.
    speed_calls: u32,
    sequence: u64,
    reports: Vec<NodeReport>,
}

impl Installation {
    fn new() -> Installation {
        let mut res = Installation {
            node: new_node(1),
            boot: 1,
            now_ms: 10_000,
            tail_ms: LOW_TAIL_MS,
            speed_percent: 100,
            token: 0,
            fates: VecDeque::new(),
            late: BTreeMap::new(),
            results: BTreeMap::new(),
            speed_calls: 0,
            sequence: 0,
            reports: Vec::new(),
        };
        res.play(2_000);
        res
    }

    /// Restarts the node process; calls under way may still be carried out.
    fn restart_node(&mut self) {
        self.boot += 1;
        self.node = new_node(self.boot);
        self.results.clear();
    }

    fn play(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(entry) = self.late.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let call = entry.remove();
            self.carry_out(&call);
        }
        if self.now_ms.is_multiple_of(1_000) {
            self.announce();
        }
        while let Some(entry) = self.results.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let ((_, id), result) = entry.remove_entry();
            self.input(Input::CallEnded { id, result });
        }
        self.input(Input::Tick);
    }

    fn announce(&mut self) {
        self.sequence += 1;
        self.input(Input::WorkerAnnounced(Announcement {
            id: "worker".into(),
            service: "pool".into(),
            zone: "zone".into(),
            kind: "a".into(),
            rack: "r".into(),
            capacity: CAPACITY,
            draining: false,
            remaining_ms: 0,
            clock_ms: self.now_ms,
            sequence: self.sequence,
            started_unix_ms: None,
        }));
    }

    fn input(&mut self, input: Input) {
        self.node.handle(Now { mono_ms: self.now_ms, wall_ms: 0 }, input);
        for effect in self.node.take_effects() {
            match effect {
                Effect::Call { id, call } => self.call(id, call),
                Effect::Send { message: Message::NodeReport(it), .. } => {
                    self.reports.push(it);
                    self.grant();
                }
                _ => (),
            }
        }
    }

    /// Answers the last report with the roles of both tasks.
    fn grant(&mut self) {
        let Some(report) = self.reports.last().cloned() else { return };
        let Some(worker) = report.workers.first().map(|it| it.name.clone()) else { return };
        let serving = ServingRole { image: "web".into(), target_ms: TARGET_MS };
        let filler = FillerRole { image: "batch".into(), cpu_millicores: 8_000 };
        let role = |run, role| RunOrder::Role(RunRole { run, role });
        let orders = vec![
            role(serving_run(), TaskRole::Serving(serving)),
            role(filler_run(), TaskRole::Filler(filler)),
        ];
        self.input(Input::Message(Box::new(Message::NodeGrant(NodeGrant {
            capacity: CAPACITY,
            number: report.number,
            sequence: report.number,
            sent_ms: self.now_ms,
            term: 1,
            token: 1 << 24,
            is_complete: true,
            lease_ms: 4_000,
            worker,
            acked_cursor: 0,
            orders,
            services: Vec::new(),
            costs: Vec::new(),
            members: vec![address(0)],
        }))));
    }

    fn call(&mut self, id: u64, call: WorkerCall) {
        let is_speed = matches!(call.action, Action::Throttle { .. });
        self.speed_calls += u32::from(is_speed);
        let fate = match is_speed {
            true => self.fates.pop_front().unwrap_or(Fate::Answered),
            false => Fate::Answered,
        };
        let wait_ms = match call.action {
            Action::Poll { wait_ms, .. } => wait_ms.max(STEP_MS),
            _ => STEP_MS,
        };
        match fate {
            Fate::Answered => {
                let result = self.carry_out(&call);
                self.results.insert((self.now_ms + wait_ms, id), result);
            }
            Fate::Late { after_ms } => {
                self.late.insert((self.now_ms + after_ms, id), call);
                self.results.insert((self.now_ms + CALL_TIMEOUT_MS, id), CallResult::NoAnswer);
            }
        }
    }

    fn carry_out(&mut self, call: &WorkerCall) -> CallResult {
        let clock_ms = self.now_ms;
        if call.token < self.token {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Fenced };
        }
        self.token = call.token;
        match call.action {
            Action::Throttle { speed_percent, .. } => {
                self.speed_percent = speed_percent;
                CallResult::Done { clock_ms }
            }
            Action::Poll { .. } => {
                let task = |run, load| RunningTask {
                    run,
                    checkpoint: CompactString::default(),
                    progress_percent: 1,
                    load,
                };
                let running = vec![
                    task(serving_run(), self.tail_ms),
                    task(filler_run(), self.speed_percent * 80),
                ];
                let ended = Vec::new();
                CallResult::RunList { clock_ms, started_unix_ms: None, running, ended }
            }
            _ => CallResult::Done { clock_ms },
        }
    }
}

fn new_node(boot: u64) -> NodeCore {
    NodeCore::new(NodeOptions {
        address: address(200),
        control_addresses: vec![address(0), address(1)],
        boot,
        report_ms: 500,
        retry_ms: 100,
        hold_wait_ms: 1_000,
        watch_wait_ms: 250,
        worker_silent_ms: 2_500,
        harm_max_ms: HARM_MAX_MS,
    })
}

/// Suspends the filler, which takes until the estimates are known to be wrong at the latest.
fn suspended() -> Installation {
    let mut res = Installation::new();
    assert_eq!(res.speed_percent, 100);
    res.tail_ms = HIGH_TAIL_MS;
    res.play(HARM_MAX_MS);
    assert_eq!(res.speed_percent, 0, "the filler must be suspended");
    res
}

#[test]
fn a_raise_that_is_carried_out_late_does_not_wake_a_suspended_filler() {
    let mut installation = suspended();
    let late = Fate::Late { after_ms: 4_000 };
    installation.fates.extend([late, late, late, late]);
    installation.tail_ms = LOW_TAIL_MS;
    installation.play(1_500);
    installation.tail_ms = HIGH_TAIL_MS;
    installation.play(HARM_MAX_MS);
    for _ in 0..100 {
        installation.play(100);
        assert_eq!(installation.speed_percent, 0, "at {} ms", installation.now_ms);
    }
}

#[test]
fn a_suspension_does_not_wait_for_an_answer_to_a_raise() {
    let mut installation = suspended();
    installation.tail_ms = LOW_TAIL_MS;
    while installation.speed_percent == 0 {
        installation.play(STEP_MS);
    }
    let calls = installation.speed_calls;
    installation.fates.push_back(Fate::Late { after_ms: 60_000 });
    installation.tail_ms = HIGH_TAIL_MS;
    // The first call of the next suspension gets no answer; it is repeated until one does.
    installation.play(2_000);
    assert_eq!(installation.speed_percent, 0);
    assert!(calls + 2 <= installation.speed_calls, "{calls} {}", installation.speed_calls);
}

#[test]
fn a_filler_does_not_rest_for_good_after_its_node_restarted() {
    let mut installation = suspended();
    installation.restart_node();
    installation.tail_ms = LOW_TAIL_MS;
    installation.play(5_000);
    assert_eq!(installation.speed_percent, 100);
}

/// While many calls get no answer, the tail passes its target several times. Then it stays over it.
#[test]
fn no_late_call_leaves_a_filler_at_work_beside_a_service_over_its_target() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut installation = Installation::new();
        let fate = |random: &mut fastrand::Rng| match random.f64() < 0.4 {
            true => Fate::Late { after_ms: random.u64(2_000..12_000) },
            false => Fate::Answered,
        };
        let end_ms = installation.now_ms + 9_000;
        while installation.now_ms < end_ms {
            installation.fates = (0..4).map(|_| fate(&mut random)).collect();
            installation.tail_ms = if random.bool() { LOW_TAIL_MS } else { HIGH_TAIL_MS };
            installation.play(random.u64(10..150) * STEP_MS);
        }
        installation.fates.clear();
        installation.tail_ms = HIGH_TAIL_MS;
        installation.play(HARM_MAX_MS);
        let mut working_ms = 0;
        for _ in 0..1_000 {
            installation.step();
            working_ms += if 0 < installation.speed_percent { STEP_MS } else { 0 };
        }
        assert_eq!(working_ms, 0, "seed {seed}");
    }
}

#[test]
fn a_list_without_a_reading_of_the_service_does_not_wake_a_suspended_filler() {
    let mut installation = suspended();
    for _ in 0..10 {
        installation.tail_ms = 0;
        installation.play(300);
        assert_eq!(installation.speed_percent, 0, "at {} ms", installation.now_ms);
        installation.tail_ms = HIGH_TAIL_MS;
        installation.play(700);
        assert_eq!(installation.speed_percent, 0, "at {} ms", installation.now_ms);
    }
}
