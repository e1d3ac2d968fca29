//! A simulated executor, which speaks the platform's protocol and runs timers instead of work.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use aspenrail::http::{
    HttpAnswer, HttpRequest, Pending, ServerLimits, ServerOptions, start_server,
};
use serde_json::{Value, json};

/// Name of the first incarnation of the executor.
pub const FIRST_NAME: &str = "executor-1";

/// Payload of work that crashes the executor soon after its start.
pub const CRASHING_PAYLOAD: &str = "crashes";

/// Payload of work that fails whenever it is run.
pub const FAILING_PAYLOAD: &str = "fails";

/// Time from the start of work with [`CRASHING_PAYLOAD`] to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// A run in progress and its later outcome.
struct Work {
    ends: Instant,
    outcome: &'static str,
}

#[derive(Default)]
struct State {
    running: BTreeMap<(String, u64), Work>,
    ended: Vec<(u64, String, u64, &'static str)>,
    highest: BTreeMap<String, u64>,
    next_cursor: u64,
    token: u64,
    work_time: Duration,
    /// Runs that failed so far.
    failures: u32,
    /// Run lists still to be answered with unreadable rows.
    unreadable_lists: u32,
    /// Crashes so far.
    crashes: u32,
    crashes_at: Option<Instant>,
    /// Whether it restarts under its old id after a crash.
    keeps_id: bool,
    /// Sequence number of its last report.
    sequence: u64,
    /// Start of its clock; `None` for the first incarnation.
    began: Option<Instant>,
}

/// Start of the first incarnation, as Unix time.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;

impl State {
    /// Crashes if a crash is due: the new incarnation has no runs and knows no token.
    fn crash_if_due(&mut self) {
        if self.crashes_at.is_some_and(|it| it <= Instant::now()) {
            let (work_time, crashes, keeps_id) = (self.work_time, self.crashes + 1, self.keeps_id);
            let began = Some(Instant::now());
            *self =
                State { work_time, crashes, keeps_id, began, next_cursor: 1, ..State::default() };
        }
    }

    fn name(&self) -> String {
        match self.crashes {
            0 => FIRST_NAME.to_owned(),
            _ if self.keeps_id => FIRST_NAME.to_owned(),
            it => format!("{FIRST_NAME}-{it}"),
        }
    }

    fn born(&self) -> u64 {
        FIRST_BORN_MS + u64::from(self.crashes)
    }
}

/// A handle to the executor.
#[derive(Clone)]
pub struct Executor {
    state: Arc<Mutex<State>>,
    began: Instant,
}

impl Executor {
    pub fn start(listen: SocketAddr) -> Executor {
        let state =
            State { work_time: Duration::from_millis(50), next_cursor: 1, ..State::default() };
        let res = Executor { state: Arc::new(Mutex::new(state)), began: Instant::now() };
        let options = ServerOptions {
            listen,
            threads: 1,
            // More than the largest payload of a submission.
            body_max_bytes: 2 << 20,
            headers_max_bytes: 1 << 14,
            watches_stalls: false,
        };
        let own = res.clone();
        start_server(options, &ServerLimits::unlimited(), &Pending::default(), move |_, it| {
            Some(own.answer(&it.unwrap()))
        })
        .unwrap();
        res
    }

    pub fn set_work_time(&self, work_time: Duration) {
        self.state.lock().unwrap().work_time = work_time;
    }

    /// Puts unreadable rows into the next `count` run lists.
    pub fn set_unreadable_lists(&self, count: u32) {
        self.state.lock().unwrap().unreadable_lists = count;
    }

    /// Returns the name of the current incarnation.
    pub fn name(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.crash_if_due();
        state.name()
    }

    /// Sets whether it restarts under its old id after a crash.
    pub fn set_keeps_id(&self, keeps_id: bool) {
        self.state.lock().unwrap().keeps_id = keeps_id;
    }

    /// Crashes at once; from now on it restarts under its old id.
    pub fn crash_and_keep_id(&self) {
        let mut state = self.state.lock().unwrap();
        state.keeps_id = true;
        state.crashes_at = Some(Instant::now());
        state.crash_if_due();
    }

    /// Returns the numbers of the runs in progress.
    pub fn running(&self) -> Vec<u64> {
        self.state.lock().unwrap().running.keys().map(|(_, run)| *run).collect()
    }

    /// Returns its next report to the node.
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

    /// Returns the count of failed runs.
    pub fn failures(&self) -> u32 {
        self.state.lock().unwrap().failures
    }

    /// Returns whether it has received an order to start or stop a run.
    pub fn has_started(&self) -> bool {
        !self.state.lock().unwrap().highest.is_empty()
    }

    pub fn done(&self) -> u64 {
        self.state.lock().unwrap().next_cursor - 1
    }

    pub fn clock_ms(&self) -> u64 {
        let began = self.state.lock().unwrap().began.unwrap_or(self.began);
        began.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &HttpRequest) -> HttpAnswer {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        state.crash_if_due();
        if request.header("X-Aspenrail-Expect-Instance") != Some(&state.name()) {
            return HttpAnswer::json(421, &json!({}));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap();
        let token = body["fencing_token"].as_u64().unwrap();
        if token < state.token {
            return HttpAnswer::json(409, &json!({"clock_ms": clock_ms, "reason": "fence"}));
        }
        state.token = token;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/-/hold" => answer_poll(&mut state, &body, clock_ms),
            "/-/run-start" if run <= state.highest.get(&task).copied().unwrap_or(0) => {
                let reason = if state.running.contains_key(&(task, run)) {
                    return HttpAnswer::json(200, &json!({"clock_ms": clock_ms}));
                } else {
                    "old"
                };
                HttpAnswer::json(409, &json!({"clock_ms": clock_ms, "reason": reason}))
            }
            "/-/run-start" => {
                let ends = Instant::now() + state.work_time;
                if body["spec"] == CRASHING_PAYLOAD {
                    state.crashes_at = Some(Instant::now() + CRASH_DELAY);
                }
                state.highest.insert(task.clone(), run);
                let outcome = if body["spec"] == FAILING_PAYLOAD { "failed" } else { "done" };
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

fn answer_poll(state: &mut State, body: &Value, clock_ms: u64) -> HttpAnswer {
    let now = Instant::now();
    let finished: Vec<_> =
        state.running.iter().filter(|(_, it)| it.ends <= now).map(|(it, _)| it.clone()).collect();
    for key in finished {
        let Some(work) = state.running.remove(&key) else { continue };
        let (number, (task, run)) = (state.next_cursor, key);
        state.next_cursor += 1;
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
    if 0 < state.unreadable_lists {
        state.unreadable_lists -= 1;
        running.clear();
        running.extend([json!("text"), json!([null, {}, 3]), json!({"task": 1})]);
        ended.insert(0, json!([1, "0.0.0.0", 1e99, "vanished"]));
    }
    let born = state.born();
    let body = json!({"clock_ms": clock_ms, "born": born, "running": running, "ended": ended});
    HttpAnswer::json(200, &body)
}
