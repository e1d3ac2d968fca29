//! A stand-in executor: it speaks the platform's protocol, and runs nothing but clocks.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use aspenrail::http::{HttpAnswer, HttpRequest, Pending, ServerOptions, start_server};
use serde_json::{Value, json};

/// Name of the first lifetime.
pub const NAME: &str = "executor-1";

/// Payload of work that crashes the executor soon after it begins.
pub const CRASHES: &str = "crashes";

/// Payload of work that fails whenever it is run.
pub const FAILS: &str = "fails";

/// Time from the start of such work to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(10);

/// What runs, and how it will end.
struct Work {
    ends: Instant,
    outcome: &'static str,
}

#[derive(Default)]
struct State {
    running: BTreeMap<(String, u64), Work>,
    ended: Vec<(u64, String, u64, &'static str)>,
    highest: BTreeMap<String, u64>,
    next: u64,
    token: u64,
    work: Duration,
    /// Runs that failed so far.
    failures: u32,
    /// Lists that still have rows which nobody can read.
    odd_lists: u32,
    /// Crashes so far.
    crashes: u32,
    crashes_at: Option<Instant>,
    /// Whether it is back under the id that it had.
    keeps_id: bool,
    /// Reports about itself so far.
    sequence: u64,
    /// When its clock began; nothing for the first lifetime.
    began: Option<Instant>,
}

/// Start of the first lifetime, as a Unix millisecond.
const BORN_MS: u64 = 1_700_000_000_000;

impl State {
    /// Crashes if that is due: a new lifetime runs nothing and knows no token.
    fn crash_if_due(&mut self) {
        if self.crashes_at.is_some_and(|it| it <= Instant::now()) {
            let (work, crashes, keeps_id) = (self.work, self.crashes + 1, self.keeps_id);
            let began = Some(Instant::now());
            *self = State { work, crashes, keeps_id, began, next: 1, ..State::default() };
        }
    }

    fn name(&self) -> String {
        match self.crashes {
            0 => NAME.to_owned(),
            _ if self.keeps_id => NAME.to_owned(),
            it => format!("{NAME}-{it}"),
        }
    }

    fn born(&self) -> u64 {
        BORN_MS + u64::from(self.crashes)
    }
}

/// A handle to the stand-in.
#[derive(Clone)]
pub struct Executor {
    state: Arc<Mutex<State>>,
    began: Instant,
}

impl Executor {
    pub fn start(listen: SocketAddr) -> Executor {
        let state = State { work: Duration::from_millis(50), next: 1, ..State::default() };
        let res = Executor { state: Arc::new(Mutex::new(state)), began: Instant::now() };
        let options = ServerOptions {
            listen,
            threads: 1,
            body_max_bytes: 1 << 20,
            headers_max_bytes: 1 << 14,
        };
        let own = res.clone();
        start_server(options, &Pending::default(), move |_, it| Some(own.answer(&it.unwrap())))
            .unwrap();
        res
    }

    pub fn set_work(&self, work: Duration) {
        self.state.lock().unwrap().work = work;
    }

    /// Puts rows that cannot be read into the next lists.
    pub fn set_odd_lists(&self, count: u32) {
        self.state.lock().unwrap().odd_lists = count;
    }

    /// Returns the name of the lifetime.
    pub fn name(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.crash_if_due();
        state.name()
    }

    /// Tells whether it is back under the id that it had, once it has crashed.
    pub fn set_keeps_id(&self, keeps_id: bool) {
        self.state.lock().unwrap().keeps_id = keeps_id;
    }

    /// Crashes at once; from now on it is back under the id that it had.
    pub fn crash_and_keep_id(&self) {
        let mut state = self.state.lock().unwrap();
        state.keeps_id = true;
        state.crashes_at = Some(Instant::now());
        state.crash_if_due();
    }

    /// Returns the runs that are at work.
    pub fn running(&self) -> Vec<u64> {
        self.state.lock().unwrap().running.keys().map(|(_, run)| *run).collect()
    }

    /// Returns its next report about itself.
    pub fn report(&self) -> Value {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        state.crash_if_due();
        state.sequence += 1;
        json!({"service": "pool", "zone": "z", "state": "ready", "slots": 8,
            "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1"],
            "clock_ms": clock_ms, "sequence": state.sequence, "born": state.born()})
    }

    pub fn crashes(&self) -> u32 {
        self.state.lock().unwrap().crashes
    }

    /// Returns how many runs have failed.
    pub fn failures(&self) -> u32 {
        self.state.lock().unwrap().failures
    }

    /// Returns whether it was told to start anything.
    pub fn has_started(&self) -> bool {
        !self.state.lock().unwrap().highest.is_empty()
    }

    pub fn done(&self) -> u64 {
        self.state.lock().unwrap().next - 1
    }

    pub fn clock_ms(&self) -> u64 {
        let began = self.state.lock().unwrap().began.unwrap_or(self.began);
        began.elapsed().as_millis() as u64
    }

    fn answer(&self, it: &HttpRequest) -> HttpAnswer {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        state.crash_if_due();
        if it.header("X-Aspenrail-Expect-Instance") != Some(&state.name()) {
            return HttpAnswer::json(421, &json!({}));
        }
        let body: Value = serde_json::from_slice(&it.body).unwrap();
        let token = body["fencing_token"].as_u64().unwrap();
        if token < state.token {
            return HttpAnswer::json(409, &json!({"clock_ms": clock_ms, "reason": "fence"}));
        }
        state.token = token;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        match it.path.as_str() {
            "/-/hold" => hold(&mut state, &body, clock_ms),
            "/-/run-start" if run <= state.highest.get(&task).copied().unwrap_or(0) => {
                let reason = if state.running.contains_key(&(task, run)) {
                    return HttpAnswer::json(200, &json!({"clock_ms": clock_ms}));
                } else {
                    "old"
                };
                HttpAnswer::json(409, &json!({"clock_ms": clock_ms, "reason": reason}))
            }
            "/-/run-start" => {
                let ends = Instant::now() + state.work;
                if body["spec"] == CRASHES {
                    state.crashes_at = Some(Instant::now() + CRASH_AFTER);
                }
                state.highest.insert(task.clone(), run);
                let outcome = if body["spec"] == FAILS { "failed" } else { "done" };
                state.running.insert((task, run), Work { ends, outcome });
                HttpAnswer::json(200, &json!({"clock_ms": clock_ms}))
            }
            "/-/run-stop" => {
                state.running.remove(&(task.clone(), run));
                state.highest.insert(task, run);
                HttpAnswer::json(200, &json!({"clock_ms": clock_ms}))
            }
            _ => HttpAnswer::json(404, &json!({})),
        }
    }
}

fn hold(state: &mut State, body: &Value, clock_ms: u64) -> HttpAnswer {
    let now = Instant::now();
    let over: Vec<_> =
        state.running.iter().filter(|(_, it)| it.ends <= now).map(|(it, _)| it.clone()).collect();
    for at in over {
        let Some(work) = state.running.remove(&at) else { continue };
        let (number, (task, run)) = (state.next, at);
        state.next += 1;
        state.failures += u32::from(work.outcome == "failed");
        state.ended.push((number, task, run, work.outcome));
    }
    let acked = body["ack_cursor"].as_u64().unwrap();
    state.ended.retain(|(number, ..)| acked < *number);
    let mut running: Vec<_> =
        state.running.keys().map(|(task, run)| json!([task, run, "", 1])).collect();
    let mut ended: Vec<_> = state
        .ended
        .iter()
        .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
        .collect();
    if 0 < state.odd_lists {
        state.odd_lists -= 1;
        running.clear();
        running.extend([json!("text"), json!([null, {}, 3]), json!({"task": 1})]);
        ended.insert(0, json!([1, "0.0.0.0", 1e99, "vanished"]));
    }
    let born = state.born();
    let body = json!({"clock_ms": clock_ms, "born": born, "running": running, "ended": ended});
    HttpAnswer::json(200, &body)
}
