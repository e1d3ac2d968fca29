//! The simulated workers behind HTTP, their clocks, and the rules checked on what they observe.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use aspenrail::{
    http::{
        HttpAnswer, HttpRequest, Pending, ServerLimits, ServerOptions, client::new_client,
        start_server,
    },
    node::{Action, CallRefusal, CallResult, WorkerCall},
    prelude::*,
};
use serde_json::{Value, json};

use crate::{
    rules::InvariantChecker,
    worker::{FakeWorker, TaskBehavior},
};

/// Attempts that the queue of the tests allows per task.
pub const ATTEMPTS_MAX: u32 = 3;

/// Time of the workers' wall clocks at the start of a run.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Interval at which the simulated workers check for finished work.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Interval at which a worker announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// State of all simulated workers.
pub struct State {
    pub rules: InvariantChecker,
    pub nature: BTreeMap<u64, TaskBehavior>,
    workers: Vec<FakeWorker>,
    up_at: Vec<Option<Instant>>,
    /// Share of orders that get no answer and are executed late, in percent.
    late_percent: u32,
    random: fastrand::Rng,
}

/// A handle to all simulated workers.
#[derive(Clone)]
pub struct Workers {
    state: Arc<Mutex<State>>,
    began: Instant,
    is_stopped: Arc<AtomicBool>,
}

impl Workers {
    /// Starts a worker for each pair of worker address and node address.
    pub fn start(seed: u64, places: &[(SocketAddr, SocketAddr)]) -> Workers {
        let state = State {
            rules: InvariantChecker::new(ATTEMPTS_MAX),
            nature: BTreeMap::new(),
            workers: (0..places.len()).map(FakeWorker::new).collect(),
            up_at: vec![None; places.len()],
            late_percent: 0,
            random: fastrand::Rng::with_seed(seed),
        };
        let res = Workers {
            state: Arc::new(Mutex::new(state)),
            began: Instant::now(),
            is_stopped: Arc::default(),
        };
        for (vm, (listen, node)) in places.iter().enumerate() {
            res.serve(vm, *listen);
            res.announce(vm, *node);
        }
        let own = res.clone();
        thread::spawn(move || {
            while !own.is_stopped.load(Ordering::Relaxed) {
                own.tick();
                thread::sleep(TICK_INTERVAL);
            }
        });
        res
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn starts(&self) -> u32 {
        self.state().rules.starts
    }

    pub fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut self.state().rules.violations)
    }

    pub fn set_late_percent(&self, percent: u32) {
        self.state().late_percent = percent;
    }

    /// Crashes a worker, which restarts after `down` under its old id or a new one.
    pub fn crash(&self, vm: usize, down: Duration) {
        let mut guard = self.state();
        let state = &mut *guard;
        if state.workers[vm].up {
            let keeps_id = state.random.bool();
            state.workers[vm].crash(keeps_id, &mut state.rules);
            state.up_at[vm] = Some(Instant::now() + down);
        }
    }

    /// Ends the threads of the workers.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn tick(&self) {
        let now_ms = self.now_ms();
        let mut guard = self.state();
        let state = &mut *guard;
        for (worker, up_at) in state.workers.iter_mut().zip(&mut state.up_at) {
            if up_at.is_some_and(|it| it <= Instant::now()) {
                worker.revive(now_ms, START_UNIX_MS + now_ms);
                *up_at = None;
            }
            worker.tick(now_ms, &state.nature, &mut state.rules);
        }
    }

    fn announce(&self, vm: usize, node: SocketAddr) {
        let own = self.clone();
        thread::spawn(move || {
            let client = new_client(1);
            while !own.is_stopped.load(Ordering::Relaxed) {
                thread::sleep(ANNOUNCE_INTERVAL);
                let now_ms = own.now_ms();
                let announcement = {
                    let mut state = own.state();
                    state.workers[vm].up.then(|| state.workers[vm].announce(now_ms))
                };
                let Some(announcement) = announcement else { continue };
                let body = json!({"service": "pool", "zone": announcement.zone, "state": "ready", "slots": 8,
                    "capacity": {"cpu": announcement.capacity.cpu_millicores, "mem_mb": announcement.capacity.memory_mib, "gpu": 0},
                    "labels": [announcement.kind, announcement.rack], "clock_ms": announcement.clock_ms, "sequence": announcement.sequence, "born": announcement.started_unix_ms});
                // Fails while the node is down or frozen; the next announcement follows.
                let _ = client
                    .put(format!("http://{node}/-/instances/{}", announcement.id))
                    .config()
                    .timeout_global(Some(Duration::from_millis(500)))
                    .build()
                    .send_json(&body);
            }
        });
    }

    fn serve(&self, vm: usize, listen: SocketAddr) {
        let options = ServerOptions {
            listen,
            threads: 1,
            body_max_bytes: 1 << 20,
            headers_max_bytes: 1 << 14,
            watches_stalls: false,
        };
        let own = self.clone();
        start_server(options, &ServerLimits::unlimited(), &Pending::default(), move |_, it| {
            own.answer(vm, &it.ok()?)
        })
        .unwrap();
    }

    /// Executes a call; returns no answer if the worker is down or executes the call late.
    fn answer(&self, vm: usize, request: &HttpRequest) -> Option<HttpAnswer> {
        let call = parse_call(request)?;
        let is_order = !matches!(call.action, Action::Poll { .. });
        let (late_ms, worker_incarnation) = {
            let mut state = self.state();
            if !state.workers[vm].up {
                return None;
            }
            let is_late = is_order && state.random.u32(0..100) < state.late_percent;
            let late_ms = is_late.then(|| state.random.u64(1_000..8_000));
            (late_ms, state.workers[vm].incarnation)
        };
        let Some(late_ms) = late_ms else {
            return Some(answer_of(&self.execute(vm, &call, false, worker_incarnation)));
        };
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(late_ms));
            own.execute(vm, &call, true, worker_incarnation)
        });
        None
    }

    /// Executes a call that has reached a worker incarnation; a later incarnation ignores it.
    fn execute(
        &self,
        vm: usize,
        call: &WorkerCall,
        is_late: bool,
        worker_incarnation: u32,
    ) -> CallResult {
        let now_ms = self.now_ms();
        let mut guard = self.state();
        let state = &mut *guard;
        let worker = &mut state.workers[vm];
        if !worker.up || worker.incarnation != worker_incarnation {
            return CallResult::NoAnswer;
        }
        worker.is_late = is_late;
        worker.handle(call, now_ms, &state.nature, &mut state.rules)
    }
}

fn parse_call(request: &HttpRequest) -> Option<WorkerCall> {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    let run =
        || Some(RunRef { task: parse_task(body["task"].as_str()?)?, run: number("run") as u32 });
    let text = |name: &str| CompactString::from(body[name].as_str().unwrap_or_default());
    let action = match request.path.as_str() {
        "/-/hold" => Action::Poll {
            lease_until_ms: body["deadline_ms"].as_u64(),
            acked_cursor: number("ack_cursor"),
            wait_ms: 0,
        },
        "/-/run-start" => Action::Start {
            run: run()?,
            payload: text("spec"),
            checkpoint: text("last_checkpoint"),
            lease_until_ms: number("deadline_ms"),
        },
        "/-/run-stop" => Action::Stop { run: run()? },
        _ => Action::Throttle { run: run()?, speed_percent: number("percent") as u32 },
    };
    let worker = request.header("X-Aspenrail-Expect-Instance")?.into();
    Some(WorkerCall { worker, token: number("fencing_token"), action })
}

fn parse_task(name: &str) -> Option<TaskRef> {
    let mut parts = name.split('.');
    let workflow = WorkflowId(u64::from_str_radix(parts.next()?, 16).ok()?);
    let mut number = || parts.next()?.parse().ok();
    Some(TaskRef { workflow, occurrence: number()?, step: number()?, index: number()? })
}

fn task_name(task: TaskRef) -> String {
    format!("{:016x}.{}.{}.{}", task.workflow.0, task.occurrence, task.step, task.index)
}

fn answer_of(result: &CallResult) -> HttpAnswer {
    let refused = |clock_ms, reason| json!({"clock_ms": clock_ms, "reason": reason});
    match result {
        CallResult::RunList { clock_ms, started_unix_ms, running, ended } => {
            let running: Vec<_> = running
                .iter()
                .map(|it| json!([task_name(it.run.task), it.run.run, "", it.progress_percent, 0]))
                .collect();
            let ended: Vec<_> = ended
                .iter()
                .map(|it| {
                    let outcome = format!("{:?}", it.end.outcome).to_lowercase();
                    json!([it.cursor, task_name(it.end.run.task), it.end.run.run, outcome, ""])
                })
                .collect();
            let body = json!({"clock_ms": clock_ms, "born": started_unix_ms, "running": running, "ended": ended});
            HttpAnswer::json(200, &body)
        }
        CallResult::Done { clock_ms } => HttpAnswer::json(200, &json!({"clock_ms": clock_ms})),
        CallResult::Refused { clock_ms, cause } => {
            let reason = match cause {
                CallRefusal::Fenced => "fence",
                CallRefusal::Superseded => "old",
                CallRefusal::Late => "late",
                CallRefusal::Room => "room",
                CallRefusal::Ticket => "ticket",
            };
            HttpAnswer::json(409, &refused(clock_ms, reason))
        }
        CallResult::OtherLifetime => HttpAnswer::json(421, &json!({})),
        _ => HttpAnswer::json(503, &json!({})),
    }
}
