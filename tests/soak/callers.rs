//! Callers that submit workflows during faults, and checks of the answers that they get.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use aspenrail::{http::client::new_client, prelude::*};
use serde_json::{Value, json};

use crate::{
    site::{Site, call},
    worker::TaskBehavior,
    workers::Workers,
};

/// Callers that run at the same time.
const CALLERS: u64 = 3;

/// Time after the last fault within which every accepted workflow must end.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a caller retries one submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// One in so many submissions is cancelled.
const CANCELLED_ONE_IN: u32 = 4;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a caller knows about a workflow that it submitted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Submission {
    Accepted,
    /// Every attempt was refused, so the workflow must not run.
    Refused,
    /// An attempt got no clear answer, and none was accepted.
    Unknown,
    /// Its cancel was acknowledged.
    Cancelled,
}

/// The callers of one run.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    submissions: Arc<Mutex<BTreeMap<u64, Submission>>>,
}

impl Callers {
    pub fn start(site: &Site, seed: u64) -> Callers {
        let (is_over, submissions) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let threads = (0..CALLERS).map(|number| {
            let caller = Caller {
                entry_addresses: site.entry_addresses.clone(),
                workers: site.workers.clone(),
                client: new_client(4),
                unread: Vec::new(),
                random: fastrand::Rng::with_seed(seed * 100 + number),
                is_over: Arc::clone(&is_over),
                submissions: Arc::clone(&submissions),
            };
            thread::spawn(move || caller.run(number))
        });
        Callers {
            threads: threads.collect(),
            is_over: is_over.clone(),
            submissions: submissions.clone(),
        }
    }

    /// Stops the callers, waits until all accepted workflows end, and returns the violations.
    pub fn finish(self, site: &Site) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| it.join().unwrap());
        let client = new_client(1);
        let deadline = Instant::now() + COMPLETION_TIMEOUT;
        let mut violations = Vec::new();
        for (id, outcome) in self.submissions.lock().unwrap().iter() {
            match outcome {
                Submission::Accepted => {
                    let last = wait_for_end(&client, site, *id, deadline);
                    violations.extend(
                        last.map(|it| format!("{id:x} was accepted but has not ended: {it}")),
                    );
                }
                Submission::Refused if site.workers.state().rules.has_started_workflow(*id) => {
                    violations.push(format!("{id:x} was refused but ran"));
                }
                Submission::Cancelled => {
                    let last = wait_for_end(&client, site, *id, deadline);
                    let is_running = site.workers.state().rules.is_running(*id);
                    if last.as_deref().is_some_and(|it| it != "gone") || is_running {
                        violations.push(format!(
                            "{id:x} was cancelled: {last:?}, still runs: {is_running}"
                        ));
                    }
                }
                Submission::Refused | Submission::Unknown => (),
            }
        }
        violations
    }
}

/// Waits until a workflow ends; returns its last known state if it does not.
fn wait_for_end(client: &ureq::Agent, site: &Site, id: u64, deadline: Instant) -> Option<String> {
    let mut last = "not answered".to_owned();
    loop {
        for entry_address in &site.entry_addresses {
            match inspect(client, *entry_address, id) {
                Some((200, state)) => {
                    let phase = phase_of(&state);
                    if let Some(phase) = phase {
                        site.workers.state().rules.check_phase(id, phase);
                    }
                    if phase.is_some_and(is_final) {
                        return None;
                    }
                    last = state.to_string();
                }
                Some((410, _)) => return Some("gone".to_owned()),
                Some((status, _)) => last = format!("answered {status}"),
                None => (),
            }
        }
        if deadline <= Instant::now() {
            return Some(last);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn inspect(client: &ureq::Agent, entry_address: SocketAddr, id: u64) -> Option<(u16, Value)> {
    call(client, entry_address, "GET", &format!("/q/{id:016x}"), &Value::Null)
}

fn phase_of(state: &Value) -> Option<WorkflowPhase> {
    match state["state"].as_str()? {
        "queued" => Some(WorkflowPhase::Queued),
        "running" => Some(WorkflowPhase::Running),
        "completed" => Some(WorkflowPhase::Completed),
        "failed" => Some(WorkflowPhase::Failed),
        "canceled" => Some(WorkflowPhase::Cancelled),
        _ => None,
    }
}

fn is_final(phase: WorkflowPhase) -> bool {
    !matches!(phase, WorkflowPhase::Queued | WorkflowPhase::Running)
}

/// A caller, which keeps its connections open until the process at the other end is gone.
struct Caller {
    entry_addresses: Vec<SocketAddr>,
    workers: Workers,
    client: ureq::Agent,
    /// Open connections with a submission whose answer is not read.
    unread: Vec<TcpStream>,
    random: fastrand::Rng,
    is_over: Arc<AtomicBool>,
    submissions: Arc<Mutex<BTreeMap<u64, Submission>>>,
}

impl Caller {
    fn run(mut self, number: u64) {
        for count in 1.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let id = (number + 1) << 32 | count;
            let outcome = match self.random.u32(0..CANCELLED_ONE_IN) {
                0 => self.submit_and_cancel(id),
                _ => self.submit(id),
            };
            self.submissions.lock().unwrap().insert(id, outcome);
            self.check_earlier(number, count);
            thread::sleep(Duration::from_millis(self.random.u64(20..400)));
        }
    }

    /// Returns the body of a new submission.
    fn new_body(&mut self, id: u64) -> Value {
        let steps = self.steps();
        let body = json!({"spec": "x", "steps": steps});
        {
            let mut state = self.workers.state();
            let nature = TaskBehavior {
                work_ms: self.random.u64(20..1_500),
                fails_every: [0, 0, 0, 2, 3][self.random.usize(0..5)],
                crash: None,
            };
            state.nature.insert(id, nature);
            state.rules.submitted.insert(id, spec_of(&steps));
        }
        body
    }

    fn any_entry(&mut self) -> SocketAddr {
        self.entry_addresses[self.random.usize(0..self.entry_addresses.len())]
    }

    /// Sends copies of a submission without reading the answers, cancels it by any entry, and sends
    /// another copy, which must not be accepted as new.
    fn submit_and_cancel(&mut self, id: u64) -> Submission {
        let body = self.new_body(id);
        for _ in 0..self.random.u32(1..3) {
            let entry_address = self.any_entry();
            self.unread.extend(send_unread(entry_address, id, &body));
        }
        thread::sleep(Duration::from_millis(self.random.u64(0..1_500)));
        let path = format!("/q/{id:016x}");
        let is_acknowledged = |status| matches!(status, 200 | 410);
        if !self.repeat("DELETE", &path, &Value::Null).is_some_and(is_acknowledged) {
            return Submission::Unknown;
        }
        thread::sleep(Duration::from_millis(self.random.u64(0..500)));
        if self.repeat("POST", &path, &body) == Some(200) {
            // Only one that had ended before the cancel is answered so.
            let entry_address = self.any_entry();
            let state = inspect(&self.client, entry_address, id).map(|it| phase_of(&it.1));
            if state.flatten().is_some_and(|it| !is_final(it)) {
                let violation = format!("{id:x} was accepted after its cancel: {state:?}");
                self.workers.state().rules.violations.push(violation);
            }
        }
        Submission::Cancelled
    }

    /// Sends a request by any entry until its outcome is known; returns the status.
    fn repeat(&mut self, method: &str, path: &str, body: &Value) -> Option<u16> {
        let began = Instant::now();
        while began.elapsed() < SUBMIT_TIMEOUT {
            let entry_address = self.any_entry();
            let answer = call(&self.client, entry_address, method, path, body);
            if let Some((status, _)) = answer.filter(|it| !matches!(it.0, 429 | 503 | 504)) {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(self.random.u64(20..200)));
        }
        None
    }

    fn submit(&mut self, id: u64) -> Submission {
        let body = self.new_body(id);
        let mut res = Submission::Refused;
        let began = Instant::now();
        while began.elapsed() < SUBMIT_TIMEOUT {
            let entry_address = self.any_entry();
            match call(&self.client, entry_address, "POST", &format!("/q/{id:016x}"), &body) {
                Some((200, _)) => return Submission::Accepted,
                Some((429 | 503, _)) => (),
                _ => res = Submission::Unknown,
            }
            thread::sleep(Duration::from_millis(self.random.u64(20..200)));
        }
        res
    }

    /// Inspects a random workflow of its own, and checks the answer.
    fn check_earlier(&mut self, number: u64, count: u64) {
        let id = (number + 1) << 32 | self.random.u64(1..=count);
        let entry_address = self.any_entry();
        let was_accepted = self.submissions.lock().unwrap().get(&id) == Some(&Submission::Accepted);
        match inspect(&self.client, entry_address, id) {
            Some((200, state)) => {
                if let Some(phase) = phase_of(&state) {
                    self.workers.state().rules.check_phase(id, phase);
                }
            }
            Some((410, _)) if was_accepted => {
                let mut state = self.workers.state();
                state
                    .rules
                    .violations
                    .push(format!("{id:x} was accepted but is answered as unknown"));
            }
            _ => (),
        }
    }

    fn steps(&mut self) -> Vec<Value> {
        let mut step = |after: &[u32]| {
            let (count, cores) = (self.random.u32(1..5), self.random.u32(1..4));
            json!({"count": count, "cpu": cores * 1_000, "mem_mb": 500, "estimate_ms": 500, "after": after})
        };
        let (first, second) = (step(&[]), step(&[0]));
        if self.random.bool() { vec![first] } else { vec![first, second] }
    }
}

/// Sends a submission; returns its connection if the entry could be reached.
fn send_unread(to: SocketAddr, id: u64, body: &Value) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
    let (host, text) = (to.ip(), body.to_string());
    let head = format!(
        "POST /q/{id:016x} HTTP/1.1\r\nHost: {host}\r\nX-Aspenrail-Deadline-Ms: 30000\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    stream.write_all((head + &text).as_bytes()).ok()?;
    Some(stream)
}

fn spec_of(steps: &[Value]) -> WorkflowSpec {
    let number = |it: &Value| it.as_u64().unwrap_or(0) as u32;
    let step = |it: &Value| WorkflowStep {
        count: number(&it["count"]),
        need: Resources {
            cpu_millicores: number(&it["cpu"]),
            memory_mib: number(&it["mem_mb"]),
            accelerators: 0,
        },
        estimate_ms: 500,
        after: it["after"].as_array().into_iter().flatten().map(number).collect(),
        gang: false,
        same_rack: false,
        required_label: CompactString::default(),
        data_rack: CompactString::default(),
        per_worker_max: 0,
        duplicates: false,
        lasting: false,
        image: CompactString::default(),
        tail_target_ms: 0,
        filler: false,
        unavailable_max: 0,
        checkpoints: false,
    };
    WorkflowSpec {
        payload: "x".into(),
        steps: steps.iter().map(step).collect(),
        repeat_count: 0,
        first_run_ms: 0,
        interval_ms: 0,
    }
}
