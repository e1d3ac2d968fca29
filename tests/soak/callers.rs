//! Callers that hand in work while faults go on, and what they may expect.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
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
    worker::Nature,
    workers::Workers,
};

/// Callers at work.
const CALLERS: u64 = 3;

/// Time after the last fault in which all that was accepted must be over.
const REST: Duration = Duration::from_secs(30);

/// Time for which a caller sends the same work again.
const GIVE_UP: Duration = Duration::from_secs(8);

/// What a caller knows of its work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Known {
    Accepted,
    /// Each try was refused as not taken.
    NotTaken,
    /// A try ended without an answer, and none was accepted.
    Unknown,
}

/// The callers of one play.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    known: Arc<Mutex<BTreeMap<u64, Known>>>,
}

impl Callers {
    pub fn start(site: &Site, seed: u64) -> Callers {
        let (is_over, known) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let threads = (0..CALLERS).map(|number| {
            let caller = Caller {
                fronts: site.fronts.clone(),
                workers: site.workers.clone(),
                client: new_client(4),
                random: fastrand::Rng::with_seed(seed * 100 + number),
                is_over: Arc::clone(&is_over),
                known: Arc::clone(&known),
            };
            thread::spawn(move || caller.work(number))
        });
        Callers { threads: threads.collect(), is_over: is_over.clone(), known: known.clone() }
    }

    /// Stops the callers, waits until all is over, and returns what was wrong with that.
    pub fn finish(self, site: &Site) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| it.join().unwrap());
        let client = new_client(1);
        let ends = Instant::now() + REST;
        let mut broken = Vec::new();
        for (id, known) in self.known.lock().unwrap().iter() {
            match known {
                Known::Accepted => {
                    let last = wait_for_end(&client, site, *id, ends);
                    broken.extend(last.map(|it| format!("{id:x} was accepted and is {it}")));
                }
                Known::NotTaken if site.workers.state().rules.has_begun(*id) => {
                    broken.push(format!("{id:x} was refused as not taken, and ran"));
                }
                Known::NotTaken | Known::Unknown => (),
            }
        }
        broken
    }
}

/// Waits until a workflow is over; returns what it was last if it is not.
fn wait_for_end(client: &ureq::Agent, site: &Site, id: u64, ends: Instant) -> Option<String> {
    let mut last = "not answered".to_owned();
    loop {
        for front in &site.fronts {
            match inspect(client, *front, id) {
                Some((200, state)) => {
                    let phase = phase_of(&state);
                    if let Some(it) = phase {
                        site.workers.state().rules.told(id, it);
                    }
                    if matches!(phase, Some(WorkflowPhase::Completed | WorkflowPhase::Failed)) {
                        return None;
                    }
                    last = state.to_string();
                }
                Some((410, _)) => return Some("gone".to_owned()),
                Some((status, _)) => last = format!("answered {status}"),
                None => (),
            }
        }
        if ends <= Instant::now() {
            return Some(last);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn inspect(client: &ureq::Agent, front: SocketAddr, id: u64) -> Option<(u16, Value)> {
    call(client, front, "GET", &format!("/q/{id:016x}"), &Value::Null)
}

fn phase_of(it: &Value) -> Option<WorkflowPhase> {
    match it["state"].as_str()? {
        "queued" => Some(WorkflowPhase::Queued),
        "running" => Some(WorkflowPhase::Running),
        "completed" => Some(WorkflowPhase::Completed),
        "failed" => Some(WorkflowPhase::Failed),
        "canceled" => Some(WorkflowPhase::Cancelled),
        _ => None,
    }
}

/// One caller: it keeps its connections open until the process at the other end is gone.
struct Caller {
    fronts: Vec<SocketAddr>,
    workers: Workers,
    client: ureq::Agent,
    random: fastrand::Rng,
    is_over: Arc<AtomicBool>,
    known: Arc<Mutex<BTreeMap<u64, Known>>>,
}

impl Caller {
    fn work(mut self, number: u64) {
        for count in 1.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let id = (number + 1) << 32 | count;
            let known = self.hand_in(id);
            self.known.lock().unwrap().insert(id, known);
            self.look_back(number, count);
            thread::sleep(Duration::from_millis(self.random.u64(20..400)));
        }
    }

    fn hand_in(&mut self, id: u64) -> Known {
        let steps = self.steps();
        let body = json!({"spec": "x", "steps": steps});
        {
            let mut state = self.workers.state();
            let nature = Nature {
                work_ms: self.random.u64(20..1_500),
                fails_every: [0, 0, 0, 2, 3][self.random.usize(0..5)],
                crash: None,
            };
            state.nature.insert(id, nature);
            state.rules.submitted.insert(id, spec_of(&steps));
        }
        let mut res = Known::NotTaken;
        let began = Instant::now();
        while began.elapsed() < GIVE_UP {
            let front = self.fronts[self.random.usize(0..self.fronts.len())];
            match call(&self.client, front, "POST", &format!("/q/{id:016x}"), &body) {
                Some((200, _)) => return Known::Accepted,
                Some((429 | 503, _)) => (),
                _ => res = Known::Unknown,
            }
            thread::sleep(Duration::from_millis(self.random.u64(20..200)));
        }
        res
    }

    /// Looks at work of its own, and checks what it is told.
    fn look_back(&mut self, number: u64, count: u64) {
        let id = (number + 1) << 32 | self.random.u64(1..=count);
        let front = self.fronts[self.random.usize(0..self.fronts.len())];
        let was_accepted = self.known.lock().unwrap().get(&id) == Some(&Known::Accepted);
        match inspect(&self.client, front, id) {
            Some((200, state)) => {
                if let Some(it) = phase_of(&state) {
                    self.workers.state().rules.told(id, it);
                }
            }
            Some((410, _)) if was_accepted => {
                let mut state = self.workers.state();
                state.rules.broken.push(format!("{id:x} was accepted, and nobody knows it"));
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
