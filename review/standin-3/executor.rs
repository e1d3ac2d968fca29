//! An executor as PROTOCOL.md describes it: runs, fencing, leases, lists of ends and status reports.
//!
//! The text of `spec` says what a task does: `lasts`, `work MS` or `fails MS`.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::Json,
    record::Record,
};

/// Interval of status reports, `heartbeat_ms` of a small deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time after which a task that lasts is at work.
const STARTUP_MS: u64 = 300;

const TICK: Duration = Duration::from_millis(5);

struct Run {
    number: u64,
    spec: String,
    cpu: u64,
    began_ms: u64,
}

struct End {
    cursor: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What one life of the executor knows.
struct Life {
    id: String,
    began: Instant,
    token: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    /// Highest run that was stopped or has ended, by task.
    highest: BTreeMap<String, u64>,
    last_cursor: u64,
    sequence: u64,
    is_draining: bool,
}

impl Life {
    fn new(id: String) -> Life {
        Life {
            id,
            began: Instant::now(),
            token: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            last_cursor: 0,
            sequence: 0,
            is_draining: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        // Any start value will do; 0 would look like no clock.
        100_000 + self.began.elapsed().as_millis() as u64
    }
}

struct State {
    name: String,
    lives: u32,
    /// `None` while the executor is down.
    life: Option<Life>,
    connections: Vec<TcpStream>,
    /// Runs of all lives, with their ends.
    history: Vec<PastRun>,
}

/// One run, as a judge sees it.
#[derive(Clone, Debug)]
pub struct PastRun {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub began_ms: u64,
    pub ended: Option<(u64, &'static str)>,
}

/// A handle to an executor.
#[derive(Clone)]
pub struct Executor {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
    kind: String,
    rack: String,
    zone: String,
    /// Whether it answers no call, and carries out none, while its status reports go on.
    is_hanging: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
}

/// Processor of an executor in thousandths of a core, and its memory.
pub const CAPACITY: (u64, u64) = (16_000, 64_000);

impl Executor {
    /// Starts an executor that listens on `listen` and reports to `node`.
    pub fn start(name: &str, zone: &str, labels: [&str; 2], listen: SocketAddr, node: SocketAddr, record: &Record) -> Executor {
        let state = State {
            name: name.to_owned(),
            lives: 0,
            life: None,
            connections: Vec::new(),
            history: Vec::new(),
        };
        let res = Executor {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            record: record.clone(),
            kind: labels[0].to_owned(),
            rack: labels[1].to_owned(),
            zone: zone.to_owned(),
            is_hanging: Arc::default(),
            is_over: Arc::default(),
        };
        res.begin_life();
        let own = res.clone();
        thread::spawn(move || own.listen(listen));
        let own = res.clone();
        thread::spawn(move || own.report(node));
        let own = res.clone();
        thread::spawn(move || {
            while !own.is_over.load(Ordering::Relaxed) {
                own.tick();
                thread::sleep(TICK);
            }
        });
        res
    }

    /// Ends the process of the executor at once; all its runs end with it.
    pub fn crash(&self) {
        let now_ms = self.record.now_ms();
        let mut state = self.state.lock().unwrap();
        let Some(life) = state.life.take() else { return };
        self.record.note(format!("executor {} crashes with {} runs", life.id, life.running.len()));
        for (task, run) in &life.running {
            close(&mut state.history, task, run.number, now_ms, "crashed");
        }
        for it in state.connections.drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Starts the executor again after a crash, under a new id.
    pub fn begin_life(&self) {
        let mut state = self.state.lock().unwrap();
        state.lives += 1;
        let id = format!("i-{}-{}", state.name, state.lives);
        self.record.note(format!("executor {id} starts"));
        state.life = Some(Life::new(id));
    }

    /// Reports from now on that it leaves.
    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(life) = &mut state.life {
            life.is_draining = true;
        }
    }

    /// Sets whether it hangs. Calls that came meanwhile are never carried out.
    pub fn set_hanging(&self, hangs: bool) {
        let id = self.state.lock().unwrap().name.clone();
        self.record.note(format!("executor {id} {}", if hangs { "hangs" } else { "answers again" }));
        self.is_hanging.store(hangs, Ordering::Relaxed);
    }

    pub fn history(&self) -> Vec<PastRun> {
        self.state.lock().unwrap().history.clone()
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.life.iter().flat_map(|it| it.running.keys().cloned()).collect()
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn listen(&self, address: SocketAddr) {
        let mut listener: Option<TcpListener> = None;
        while !self.is_over.load(Ordering::Relaxed) {
            let is_up = self.state.lock().unwrap().life.is_some();
            match (&listener, is_up) {
                (None, true) => {
                    if let Ok(it) = TcpListener::bind(address) {
                        it.set_nonblocking(true).unwrap();
                        listener = Some(it);
                    }
                }
                (Some(_), false) => listener = None,
                (Some(it), true) => {
                    while let Ok((stream, _)) = it.accept() {
                        stream.set_nonblocking(false).unwrap();
                        self.state.lock().unwrap().connections.push(stream.try_clone().unwrap());
                        let own = self.clone();
                        thread::spawn(move || {
                            http::serve_connection(stream, |request| own.answer(&request));
                        });
                    }
                }
                (None, false) => (),
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn report(&self, node: SocketAddr) {
        let mut next = Instant::now();
        let mut reported = String::new();
        while !self.is_over.load(Ordering::Relaxed) {
            let body = {
                let mut state = self.state.lock().unwrap();
                let Some(life) = &mut state.life else {
                    drop(state);
                    thread::sleep(TICK);
                    continue;
                };
                // A new life reports at once.
                if Instant::now() < next && reported == life.id {
                    drop(state);
                    thread::sleep(TICK);
                    continue;
                }
                next = Instant::now() + HEARTBEAT;
                reported.clone_from(&life.id);
                life.sequence += 1;
                let state_name = if life.is_draining { "draining" } else { "ready" };
                Json::object(vec![
                    ("service", Json::text("pool")),
                    ("address", Json::text("127.0.0.1:1")),
                    ("zone", Json::text(&self.zone)),
                    ("version", Json::text("v1")),
                    ("slots", Json::number(8)),
                    ("state", Json::text(state_name)),
                    ("cold_remaining_ms", Json::number(0)),
                    (
                        "capacity",
                        Json::object(vec![
                            ("cpu", Json::number(CAPACITY.0)),
                            ("mem_mb", Json::number(CAPACITY.1)),
                            ("gpu", Json::number(0)),
                        ]),
                    ),
                    ("labels", Json::List(vec![Json::text(&self.kind), Json::text(&self.rack)])),
                    ("clock_ms", Json::number(life.clock_ms())),
                    ("sequence", Json::number(life.sequence)),
                ])
            };
            let path = format!("/-/instances/{reported}");
            let timeout = Duration::from_secs(1);
            let _ = http::call(node, "PUT", "node", &path, &body.to_string(), timeout);
        }
    }

    /// Ends what is over by itself, or with its lease.
    fn tick(&self) {
        let now_ms = self.record.now_ms();
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let Some(life) = &mut state.life else { return };
        let clock_ms = life.clock_ms();
        let has_lapsed = life.deadline_ms <= clock_ms;
        let how = |run: &Run| {
            let age_ms = clock_ms - run.began_ms;
            let mut words = run.spec.split(' ');
            let kind = words.next().unwrap_or("");
            let work_ms: u64 = words.next().and_then(|it| it.parse().ok()).unwrap_or(0);
            match kind {
                _ if has_lapsed => Some("lapsed"),
                "work" if work_ms <= age_ms => Some("done"),
                "fails" if work_ms <= age_ms => Some("failed"),
                _ => None,
            }
        };
        let ended: Vec<_> = life
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.number, how(run)?)))
            .collect();
        let has_ended = !ended.is_empty();
        for (task, run, how) in ended {
            end(life, &mut state.history, &task, run, how, now_ms, &self.record);
        }
        if has_ended {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        if self.is_hanging.load(Ordering::Relaxed) {
            // Longer than any caller waits, so that the answer reaches nobody.
            while self.is_hanging.load(Ordering::Relaxed) {
                thread::sleep(TICK);
            }
            return (503, Json::Null);
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let now_ms = self.record.now_ms();
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let Some(life) = &mut state.life else { return (503, Json::Null) };
        let clock = |life: &Life| ("clock_ms", Json::number(life.clock_ms()));
        let refuse = |life: &Life, reason: &str| {
            (409, Json::object(vec![clock(life), ("reason", Json::text(reason))]))
        };
        let expected = request.header("X-Aspenrail-Expect-Instance");
        if !expected.is_empty() && expected != life.id {
            return (421, Json::Null);
        }
        let token = body.u64("fencing_token");
        if token < life.token {
            return refuse(life, "fence");
        }
        life.token = token;
        let (task, run) = (body.str("task").to_owned(), body.u64("run"));
        match request.path.as_str() {
            "/-/run-start" => {
                let deadline_ms = body.u64("deadline_ms");
                let is_there = life.running.get(&task).is_some_and(|it| it.number == run);
                let is_old = life.highest.get(&task).is_some_and(|it| run <= *it);
                let cpu = cpu_of(body.str("spec"));
                let used: u64 = life.running.values().map(|it| it.cpu).sum();
                let answer = if is_there {
                    (200, Json::object(vec![clock(life)]))
                } else if is_old {
                    refuse(life, "old")
                } else if deadline_ms <= life.clock_ms() {
                    return refuse(life, "late");
                } else if CAPACITY.0 < used + cpu {
                    refuse(life, "room")
                } else {
                    self.record.note(format!("{} starts {task} run {run}", life.id));
                    let spec = body.str("spec").to_owned();
                    let began_ms = life.clock_ms();
                    life.running.insert(task.clone(), Run { number: run, spec, cpu, began_ms });
                    let executor = life.id.clone();
                    state.history.push(PastRun { executor, task, run, began_ms: now_ms, ended: None });
                    (200, Json::object(vec![clock(life)]))
                };
                life.deadline_ms = life.deadline_ms.max(deadline_ms);
                answer
            }
            "/-/run-stop" => {
                if life.running.get(&task).is_some_and(|it| it.number == run) {
                    end(life, &mut state.history, &task, run, "stopped", now_ms, &self.record);
                    self.changed.notify_all();
                }
                let highest = life.highest.entry(task).or_insert(0);
                *highest = run.max(*highest);
                (200, Json::object(vec![clock(life)]))
            }
            "/-/pace" => (200, Json::object(vec![clock(life)])),
            "/-/hold" => {
                let id = life.id.clone();
                life.deadline_ms = life.deadline_ms.max(body.u64("deadline_ms"));
                let acked = body.u64("ack_cursor");
                life.ended.retain(|it| acked < it.cursor);
                let until = Instant::now() + Duration::from_millis(body.u64("wait_ms"));
                loop {
                    let Some(life) = guard.life.as_ref().filter(|it| it.id == id) else {
                        return (503, Json::Null);
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return (200, lists(life));
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => (404, Json::Null),
        }
    }
}

/// Processor that a start reserves: the third word of `spec`, or 1 core.
fn cpu_of(spec: &str) -> u64 {
    spec.split(' ').find_map(|it| it.strip_prefix("cpu=")).and_then(|it| it.parse().ok()).unwrap_or(1_000)
}

fn close(history: &mut [PastRun], task: &str, run: u64, now_ms: u64, how: &'static str) {
    let open = |it: &&mut PastRun| it.task == task && it.run == run && it.ended.is_none();
    if let Some(it) = history.iter_mut().find(open) {
        it.ended = Some((now_ms, how));
    }
}

fn end(
    life: &mut Life,
    history: &mut [PastRun],
    task: &str,
    run: u64,
    how: &'static str,
    now_ms: u64,
    record: &Record,
) {
    life.running.remove(task);
    let highest = life.highest.entry(task.to_owned()).or_insert(0);
    *highest = run.max(*highest);
    life.last_cursor += 1;
    life.ended.push(End { cursor: life.last_cursor, task: task.to_owned(), run, how });
    close(history, task, run, now_ms, how);
    record.note(format!("{} ends {task} run {run}: {how}", life.id));
}

fn lists(life: &Life) -> Json {
    let clock_ms = life.clock_ms();
    let percent = |run: &Run| {
        let age_ms = clock_ms - run.began_ms;
        let mut words = run.spec.split(' ');
        match (words.next(), words.next().and_then(|it| it.parse::<u64>().ok())) {
            (Some("lasts"), _) => if STARTUP_MS <= age_ms { 100 } else { 0 },
            (_, Some(work_ms)) => (age_ms * 100 / work_ms.max(1)).min(99),
            _ => 0,
        }
    };
    let running = life.running.iter().map(|(task, run)| {
        Json::List(vec![
            Json::text(task),
            Json::number(run.number),
            Json::text(""),
            Json::number(percent(run)),
            Json::number(0),
        ])
    });
    let ended = life.ended.iter().take(500).map(|it| {
        Json::List(vec![
            Json::number(it.cursor),
            Json::text(&it.task),
            Json::number(it.run),
            Json::text(it.how),
            Json::text(""),
        ])
    });
    Json::object(vec![
        ("clock_ms", Json::number(clock_ms)),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}
