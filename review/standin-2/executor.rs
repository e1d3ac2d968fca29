//! An executor that follows the users' protocol pages. It runs timers instead of work.
//!
//! The `spec` of a submission says what its tasks do: `done after MS`, `failed after MS`, or `lasts`.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::note};

/// Interval of the reports to the node; `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time after its start at which a lasting task is at work.
const STARTUP: Duration = Duration::from_millis(300);

/// As the executors of the site: 64 cores and 250 GB.
const CAPACITY_CPU: u64 = 64_000;
const CAPACITY_MEM_MB: u64 = 256_000;

/// Calls that all executors got, and those of them that were left unanswered.
pub static CALLS: AtomicUsize = AtomicUsize::new(0);
pub static UNANSWERED: AtomicUsize = AtomicUsize::new(0);

/// A run in progress.
struct Work {
    began: Instant,
    /// When and how it ends; `None` for one that lasts.
    end: Option<(Instant, &'static str)>,
}

struct State {
    running: BTreeMap<(String, u64), Work>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Highest run of each task that was started, stopped or ended here.
    highest: BTreeMap<String, u64>,
    last_end: u64,
    token: u64,
    lease_until_ms: u64,
    sequence: u64,
    is_draining: bool,
    /// Whether starts get no answer, and are carried out when `LATE` has passed.
    leaves_starts_unanswered: bool,
}

/// A start that was carried out.
#[derive(Clone)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub at: Instant,
    /// Whether the executor had left the call unanswered and carried it out later.
    pub is_late: bool,
}

/// An end, and whether it was taken note of.
#[derive(Clone)]
pub struct End {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub at: Instant,
    pub noted: Option<Instant>,
    /// Whether the lease lapsed between the end and its acknowledgement.
    pub has_lapsed: bool,
}

#[derive(Clone)]
pub struct Executor {
    pub id: String,
    pub rack: String,
    address: SocketAddr,
    began: Instant,
    state: Arc<Mutex<State>>,
    pub starts: Arc<Mutex<Vec<Start>>>,
    pub ends: Arc<Mutex<Vec<End>>>,
    /// When the node acknowledged that this executor is `draining`.
    pub drain_acked: Arc<Mutex<Option<Instant>>>,
}

/// Time after which a call without an answer is carried out. The pages say 2 to 12 s.
const LATE: Duration = Duration::from_secs(9);

impl Executor {
    /// Starts an executor at `address`, which reports to the node at `node`.
    pub fn start(id: &str, rack: &str, address: SocketAddr, node: SocketAddr) -> Executor {
        let state = State {
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            last_end: 0,
            token: 0,
            lease_until_ms: 0,
            sequence: 0,
            is_draining: false,
            leaves_starts_unanswered: false,
        };
        let res = Executor {
            id: id.to_owned(),
            rack: rack.to_owned(),
            address,
            began: Instant::now(),
            state: Arc::new(Mutex::new(state)),
            starts: Arc::default(),
            ends: Arc::default(),
            drain_acked: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("the executor's address is free");
        let server = res.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = server.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        let reporter = res.clone();
        thread::spawn(move || reporter.report(node));
        let timer = res.clone();
        thread::spawn(move || {
            loop {
                timer.advance(&mut timer.state.lock().unwrap());
                thread::sleep(Duration::from_millis(5));
            }
        });
        res
    }

    pub fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Ends a run as `failed`, as a task may at any time.
    pub fn fail(&self, task: &str) {
        let mut state = self.state.lock().unwrap();
        for ((name, _), work) in &mut state.running {
            if name == task {
                work.end = Some((Instant::now(), "failed"));
            }
        }
    }

    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        note(&format!("{} says that it leaves", self.id));
    }

    pub fn leave_starts_unanswered(&self, value: bool) {
        self.state.lock().unwrap().leaves_starts_unanswered = value;
    }

    /// Returns whether a task runs here.
    pub fn runs(&self, task: &str) -> bool {
        self.state.lock().unwrap().running.keys().any(|(name, _)| name == task)
    }

    /// Returns whether a task whose name begins so runs here.
    pub fn runs_any(&self, prefix: &str) -> bool {
        self.state.lock().unwrap().running.keys().any(|(name, _)| name.starts_with(prefix))
    }

    /// Returns the number of runs in progress.
    pub fn run_count(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    fn report(&self, node: SocketAddr) {
        loop {
            let (sequence, is_draining) = {
                let mut state = self.state.lock().unwrap();
                state.sequence += 1;
                (state.sequence, state.is_draining)
            };
            let (name, remaining) =
                if is_draining { ("draining", ",\"remaining_ms\":6000") } else { ("ready", "") };
            let body = format!(
                "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"{name}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{CAPACITY_CPU},\"mem_mb\":{CAPACITY_MEM_MB},\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"clock_ms\":{},\"sequence\":{sequence}{remaining}}}",
                self.address, self.rack, self.clock_ms()
            );
            let path = format!("/-/instances/{}", self.id);
            let answer = http::call(node, "PUT", &path, "node", &body).map(|it| it.0);
            if is_draining && answer == Some(200) {
                let mut acked = self.drain_acked.lock().unwrap();
                if acked.is_none() {
                    note(&format!("{}: its node acknowledges that it is draining", self.id));
                    *acked = Some(Instant::now());
                }
            }
            // An executor that has no acknowledgement yet reports again soon.
            let wait = if answer == Some(200) { HEARTBEAT } else { Duration::from_millis(300) };
            let until = Instant::now() + wait;
            while Instant::now() < until && self.state.lock().unwrap().is_draining == is_draining {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Ends the runs whose time has come, and all runs when the lease has lapsed.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let has_lapsed = state.lease_until_ms <= self.clock_ms();
        if has_lapsed {
            for it in self.ends.lock().unwrap().iter_mut().filter(|it| it.noted.is_none()) {
                it.has_lapsed = true;
            }
        }
        let over: Vec<_> = state
            .running
            .iter()
            .filter_map(|(run, work)| match work.end {
                Some((at, how)) if at <= now => Some((run.clone(), how)),
                _ if has_lapsed => Some((run.clone(), "lapsed")),
                _ => None,
            })
            .collect();
        for (run, how) in over {
            self.end(state, run, how);
        }
    }

    fn end(&self, state: &mut State, run: (String, u64), how: &'static str) {
        state.running.remove(&run);
        state.last_end += 1;
        let (task, run) = run;
        note(&format!("{}: {task} run {run} ends `{how}`", self.id));
        state.ended.push((state.last_end, task.clone(), run, how));
        let (number, at) = (state.last_end, Instant::now());
        let end = End { number, task, run, how, at, noted: None, has_lapsed: false };
        self.ends.lock().unwrap().push(end);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let Some((status, body)) = self.answer(&request) else {
                // No answer: the caller's time-out ends the channel.
                thread::sleep(Duration::from_secs(3));
                return;
            };
            if http::write_answer(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    /// Carries out a call; returns `None` if it is left unanswered.
    fn answer(&self, request: &http::Request) -> Option<(u16, String)> {
        if request.header("x-aspenrail-expect-instance") != Some(self.id.as_str()) {
            return Some((421, "{}".to_owned()));
        }
        let is_start = request.path == "/-/run-start";
        CALLS.fetch_add(1, Ordering::Relaxed);
        if is_start && self.state.lock().unwrap().leaves_starts_unanswered {
            UNANSWERED.fetch_add(1, Ordering::Relaxed);
            let (what, body) = (request.path.clone(), request.body.clone());
            note(&format!("{}: leaves {what} {} unanswered", self.id, http::text(&body, "task")));
            let own = self.clone();
            thread::spawn(move || {
                thread::sleep(LATE);
                own.carry_out(&what, &body, true)
            });
            return None;
        }
        Some(self.carry_out(&request.path, &request.body, false))
    }

    fn carry_out(&self, path: &str, body: &str, is_late: bool) -> (u16, String) {
        let refuse = |reason: &str| {
            (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
        };
        let done = || (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()));
        let token = http::number(body, "fencing_token");
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        match path {
            "/-/run-start" => {
                let (task, run) = (http::text(body, "task"), http::number(body, "run"));
                self.renew(&mut state, body);
                if state.running.contains_key(&(task.clone(), run)) {
                    return done();
                }
                if run <= state.highest.get(&task).copied().unwrap_or(0) {
                    return refuse("old");
                }
                if http::number(body, "deadline_ms") <= self.clock_ms() {
                    return refuse("late");
                }
                let late = if is_late { ", by a call that it had left unanswered" } else { "" };
                note(&format!("{}: {task} run {run} starts{late}", self.id));
                let now = Instant::now();
                state.highest.insert(task.clone(), run);
                let work = Work { began: now, end: end_of(&http::text(body, "spec"), now) };
                state.running.insert((task.clone(), run), work);
                self.starts.lock().unwrap().push(Start { task, run, at: now, is_late });
                done()
            }
            "/-/run-stop" => {
                let run = (http::text(body, "task"), http::number(body, "run"));
                let highest = state.highest.get(&run.0).copied().unwrap_or(0).max(run.1);
                state.highest.insert(run.0.clone(), highest);
                if state.running.contains_key(&run) {
                    self.end(&mut state, run, "stopped");
                }
                done()
            }
            "/-/hold" => {
                self.renew(&mut state, body);
                self.note_ends(&mut state, http::number(body, "ack_cursor"));
                drop(state);
                self.wait_for_end(http::number(body, "wait_ms"));
                (200, self.lists())
            }
            "/-/pace" => done(),
            _ => (400, "{}".to_owned()),
        }
    }

    /// Renews the lease, which is never shortened.
    fn renew(&self, state: &mut State, body: &str) {
        let longest_ms = self.clock_ms() + 6_000;
        let until_ms = http::number(body, "deadline_ms").min(longest_ms);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    /// Forgets the ends up to a cursor.
    fn note_ends(&self, state: &mut State, cursor: u64) {
        state.ended.retain(|(number, ..)| cursor < *number);
        for it in self.ends.lock().unwrap().iter_mut() {
            if it.number <= cursor && it.noted.is_none() {
                it.noted = Some(Instant::now());
                let lapse = if it.has_lapsed { ", after a lapse of the lease" } else { "" };
                note(&format!("{}: the end of {} run {} is taken note of{lapse}", self.id, it.task, it.run));
            }
        }
    }

    fn wait_for_end(&self, wait_ms: u64) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(2_000));
        while Instant::now() < until && self.state.lock().unwrap().ended.is_empty() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn lists(&self) -> String {
        let state = self.state.lock().unwrap();
        let percent = |it: &Work| match it.end {
            None if it.began.elapsed() < STARTUP => 0,
            None => 100,
            Some((at, _)) => {
                let whole = at.duration_since(it.began).as_millis().max(1);
                (it.began.elapsed().as_millis() * 100 / whole).min(99)
            }
        };
        let running: Vec<_> = state
            .running
            .iter()
            .map(|((task, run), it)| format!("[\"{task}\",{run},\"\",{},500]", percent(it)))
            .collect();
        let ended: Vec<_> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let (running, ended) = (running.join(","), ended.join(","));
        format!("{{\"clock_ms\":{},\"running\":[{running}],\"ended\":[{ended}]}}", self.clock_ms())
    }
}

/// Returns when and how a run ends, by the `spec` of its submission.
fn end_of(spec: &str, now: Instant) -> Option<(Instant, &'static str)> {
    let (how, after) = spec.split_once(" after ")?;
    let after_ms = after.split(" ").next()?.parse().ok()?;
    let after = Duration::from_millis(after_ms);
    Some((now + after, if how == "failed" { "failed" } else { "done" }))
}
