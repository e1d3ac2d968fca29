//! One life of an executor, as PROTOCOL.md describes it. It prints what it sees, a line each.
//!
//! A task works for the milliseconds after `ms=` in its `spec`, and lasts for good without them.
//! Lines on standard input change it: `unhealthy` and `healthy` (503 to starts), `drain`.

use std::{
    collections::BTreeMap,
    io::BufRead,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, quote},
};

/// Interval of status reports (`heartbeat_ms`).
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

const HOLD_MAX_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
const CHECKPOINT_MS: u64 = 2_000;

struct Run {
    number: u64,
    began_ms: u64,
    work_ms: Option<u64>,
    /// When it ends as stopped, once that is ordered.
    stops_at_ms: Option<u64>,
    saved: String,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    highest: BTreeMap<String, u64>,
    ends: u64,
    token: u64,
    lease_until_ms: u64,
    is_unhealthy: bool,
    is_draining: bool,
    sequence: u64,
}

struct Executor {
    id: String,
    app: SocketAddr,
    control: SocketAddr,
    zone: String,
    rack: String,
    kind: String,
    began: Instant,
    state: Mutex<State>,
    has_end: Condvar,
}

pub fn run(words: &[&str]) {
    let value = |key: &str| -> String {
        let found = words.iter().find_map(|it| it.strip_prefix(key)?.strip_prefix('='));
        found.unwrap_or_default().to_owned()
    };
    let executor = Arc::new(Executor {
        id: value("id"),
        app: value("app").parse().expect("app"),
        control: value("control").parse().expect("control"),
        zone: value("zone"),
        rack: value("rack"),
        kind: value("kind"),
        began: Instant::now(),
        state: Mutex::default(),
        has_end: Condvar::new(),
    });
    let listener = TcpListener::bind(executor.app).expect("the address of the executor");
    let own = executor.clone();
    http::serve(listener, Arc::new(move |request| own.handle(&request)));
    let own = executor.clone();
    thread::spawn(move || own.report_until_end());
    let own = executor.clone();
    thread::spawn(move || {
        loop {
            own.tick();
            thread::sleep(Duration::from_millis(2));
        }
    });
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let mut state = executor.state.lock().unwrap();
        match line.trim() {
            "unhealthy" => state.is_unhealthy = true,
            "healthy" => state.is_unhealthy = false,
            "drain" => state.is_draining = true,
            _ => (),
        }
    }
}

impl Executor {
    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn report_until_end(&self) {
        let mut is_first = true;
        loop {
            let (state, sequence) = {
                let mut state = self.state.lock().unwrap();
                state.sequence += 1;
                (if state.is_draining { "draining" } else { "ready" }, state.sequence)
            };
            let body = format!(
                "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":64000,\"mem_mb\":256000,\"gpu\":0}},\"labels\":[{},{}],\"clock_ms\":{},\"sequence\":{sequence}}}",
                self.app,
                quote(&self.zone),
                quote(&self.kind),
                quote(&self.rack),
                self.clock_ms()
            );
            let path = format!("/-/instances/{}", self.id);
            let host = self.control.to_string();
            let answer =
                http::call(self.control, "PUT", &path, &host, &body, Duration::from_secs(1));
            let is_acknowledged = answer.is_some_and(|(status, _)| status / 100 == 2);
            if is_acknowledged && std::mem::take(&mut is_first) {
                println!("reported");
            }
            thread::sleep(if is_acknowledged { REPORT_INTERVAL } else { Duration::from_millis(200) });
        }
    }

    /// Ends what is due.
    fn tick(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let has_lapsed = !state.running.is_empty() && state.lease_until_ms < now_ms;
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|(task, it)| {
                let is_done = it.work_ms.is_some_and(|work| it.began_ms + work <= now_ms);
                let is_stopped = it.stops_at_ms.is_some_and(|at| at <= now_ms);
                match (has_lapsed, is_stopped, is_done) {
                    (true, _, _) => Some((task.clone(), "lapsed")),
                    (_, true, _) => Some((task.clone(), "stopped")),
                    (_, _, true) => Some((task.clone(), "done")),
                    _ => None,
                }
            })
            .collect();
        for (task, how) in due {
            let Some(it) = state.running.remove(&task) else { continue };
            println!("end {task} run {} {how}", it.number);
            state.ends += 1;
            let row = (state.ends, task, it.number, how, it.saved);
            state.ended.push(row);
            self.has_end.notify_all();
        }
        for (task, it) in &mut state.running {
            let saves = (now_ms - it.began_ms) / CHECKPOINT_MS;
            if 0 < saves {
                it.saved = format!("{task}@{}-{saves}", it.number);
            }
        }
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        if request.method == "GET" {
            let is_ill = self.state.lock().unwrap().is_unhealthy;
            return (if is_ill { 503 } else { 200 }, "{}".to_owned());
        }
        if request.header("X-Aspenrail-Expect-Instance").is_some_and(|it| it != self.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let number = |key: &str| body.get(key).and_then(Json::number);
        let task = body.get("task").and_then(Json::text).unwrap_or_default().to_owned();
        let (run, token) = (number("run").unwrap_or(0), number("fencing_token").unwrap_or(0));
        let now_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let refuse = |reason: &str| {
            (409, format!("{{\"clock_ms\":{now_ms},\"reason\":\"{reason}\"}}"))
        };
        if token < state.token {
            return refuse("fence");
        }
        let done = || (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()));
        match request.path.as_str() {
            "/-/run-start" => {
                if state.is_unhealthy {
                    println!("start {task} run {run} answered with 503");
                    return (503, "{}".to_owned());
                }
                state.token = token;
                let deadline_ms = number("deadline_ms").unwrap_or(0);
                if deadline_ms <= now_ms {
                    return refuse("late");
                }
                state.extend_lease(deadline_ms, now_ms);
                if state.running.get(&task).is_some_and(|it| it.number == run) {
                    return done();
                }
                if run <= state.highest.get(&task).copied().unwrap_or(0)
                    || state.running.contains_key(&task)
                {
                    return refuse("old");
                }
                let spec = body.get("spec").and_then(Json::text).unwrap_or_default();
                let saved = body.get("last_checkpoint").and_then(Json::text).unwrap_or_default();
                let shown: String = spec.chars().take(24).collect();
                println!(
                    "start {task} run {run} spec {} of {} bytes, checkpoint {}",
                    quote(&shown),
                    spec.len(),
                    quote(saved)
                );
                let work = spec.split_whitespace().find_map(|it| it.strip_prefix("ms="));
                state.highest.insert(task.clone(), run);
                state.running.insert(
                    task,
                    Run {
                        number: run,
                        began_ms: now_ms,
                        work_ms: work.and_then(|it| it.parse().ok()),
                        stops_at_ms: None,
                        saved: saved.to_owned(),
                    },
                );
                done()
            }
            "/-/run-stop" => {
                state.token = token;
                let highest = state.highest.entry(task.clone()).or_insert(0);
                *highest = (*highest).max(run);
                if let Some(it) = state.running.get_mut(&task)
                    && it.number <= run
                {
                    it.stops_at_ms.get_or_insert(now_ms + STOP_MS);
                }
                done()
            }
            "/-/hold" => {
                state.token = token;
                if let Some(it) = number("deadline_ms") {
                    state.extend_lease(it, now_ms);
                }
                let acked = number("ack_cursor").unwrap_or(0);
                for (cursor, task, run, how, _) in state.ended.iter().filter(|it| it.0 <= acked) {
                    println!("noted end {cursor} of {task} run {run} {how}");
                }
                state.ended.retain(|it| acked < it.0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(2_000));
                let state = match state.ended.is_empty() && !wait.is_zero() {
                    true => self.has_end.wait_timeout(state, wait).unwrap().0,
                    false => state,
                };
                (200, self.lists(&state))
            }
            "/-/pace" => {
                state.token = token;
                done()
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn lists(&self, state: &State) -> String {
        let now_ms = self.clock_ms();
        let row = |(task, it): (&String, &Run)| {
            let percent = match it.work_ms {
                Some(work) => ((now_ms - it.began_ms) * 100 / work.max(1)).min(99),
                None => 100,
            };
            let load = 100;
            format!("[{},{},{},{percent},{load}]", quote(task), it.number, quote(&it.saved))
        };
        let running: Vec<_> = state.running.iter().map(row).collect();
        let ended = state.ended.iter().take(500);
        let ended: Vec<_> = ended
            .map(|(cursor, task, run, how, saved)| {
                format!("[{cursor},{},{run},\"{how}\",{}]", quote(task), quote(saved))
            })
            .collect();
        format!(
            "{{\"clock_ms\":{now_ms},\"running\":[{}],\"ended\":[{}]}}",
            running.join(","),
            ended.join(",")
        )
    }
}

impl State {
    /// The lease never shortens, and is never longer than `hold_max_ms`.
    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(now_ms + HOLD_MAX_MS));
    }
}
