//! A simulated endpoint over HTTP: it waits for its work time and echoes the request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::{
    http::{HttpAnswer, Pending, ServerLimits, ServerOptions, client::new_client, start_server},
    prelude::*,
};

/// Options of a simulated endpoint.
#[derive(Clone, Debug)]
pub struct ExecutorOptions {
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub class: CompactString,
    pub slots: u32,
    pub connections: u32,
    /// Work time of a request.
    pub work_ms: u64,
    /// Requests per thousand that are answered with status 500.
    pub fail_permille: u32,
}

/// State of a simulated endpoint: request counts for checks, and settings that can change.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Number of runs by request body.
    runs: Mutex<HashMap<String, u32>>,
    in_use: AtomicU32,
    most_in_use: AtomicU32,
    leaving: AtomicBool,
    /// Work time and failure rate; both can change while the endpoint runs.
    work_ms: AtomicU64,
    fail_permille: AtomicU32,
}

impl EndpointState {
    /// Returns how many times a request with this body ran.
    pub fn run_count(&self, body: &str) -> u32 {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).get(body).copied().unwrap_or(0)
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn most_in_use(&self) -> u32 {
        self.most_in_use.load(Ordering::Relaxed)
    }

    /// Sets the work time of a request.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Sets how many requests per thousand are answered with status 500.
    pub fn set_fail_permille(&self, permille: u32) {
        self.fail_permille.store(permille, Ordering::Relaxed);
    }

    /// Stops the announcements and reports to the agent that the endpoint leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }
}

/// Starts an endpoint that announces itself to its agent until it leaves.
///
/// # Errors
///
/// Returns an error if the endpoint cannot listen on its address or start a thread.
pub fn start_executor(options: ExecutorOptions) -> Result<Arc<EndpointState>> {
    let state = Arc::new(EndpointState::default());
    state.set_work_ms(options.work_ms);
    state.set_fail_permille(options.fail_permille);
    let pending = Pending::default();
    let server = ServerOptions {
        listen: options.listen,
        threads: 1,
        body_max_bytes: 16 << 20,
        headers_max_bytes: 16 * 1024,
        watches_stalls: false,
    };
    let (shared, endpoint, answers) = (state.clone(), options.clone(), pending.clone());
    start_server(server, &ServerLimits::unlimited(), &pending, move |token, request| {
        let request = match request {
            Ok(it) => it,
            Err(it) => return Some(HttpAnswer::refusal(&it)),
        };
        if request.path == "/runs" {
            let runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return Some(HttpAnswer::json(
                200,
                &json!({"runs": runs, "most_in_use": shared.most_in_use()}),
            ));
        }
        let in_use = shared.in_use.fetch_add(1, Ordering::Relaxed) + 1;
        shared.most_in_use.fetch_max(in_use, Ordering::Relaxed);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        *shared
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(body.clone())
            .or_insert(0) += 1;
        let failed = fastrand::u32(0..1_000) < shared.fail_permille.load(Ordering::Relaxed);
        let answer = json!({"echo": body, "path": request.path_and_query, "endpoint": endpoint.listen, "team": request.header("Aspenrail-Team")});
        let answer = HttpAnswer::json(if failed { 500 } else { 200 }, &answer);
        let work_ms = shared.work_ms.load(Ordering::Relaxed);
        if work_ms == 0 {
            shared.in_use.fetch_sub(1, Ordering::Relaxed);
            return Some(answer);
        }
        let (shared, answers) = (shared.clone(), answers.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(work_ms));
            shared.in_use.fetch_sub(1, Ordering::Relaxed);
            answers.answer(token, answer);
        });
        None
    })?;
    let announcer_state = state.clone();
    let announce = move || announce_until_left(&options, &announcer_state);
    let started = thread::Builder::new().name("announce".to_owned()).spawn(announce);
    started.map_err(|it| {
        Error::report(ErrorKind::Internal, format_compact!("cannot start a thread: {it}"))
    })?;
    Ok(state)
}

fn announce_until_left(options: &ExecutorOptions, state: &EndpointState) {
    let client = new_client(1);
    let announcement = json!({
        "class": options.class,
        "address": options.listen,
        "slots": options.slots,
        "connections": options.connections,
    });
    while !state.leaving.load(Ordering::Relaxed) {
        let response = client
            .post(format!("http://{}/v1/announce", options.agent))
            .send(announcement.to_string());
        let pause_ms = if response.is_ok_and(|it| it.status() == 200) { 1_000 } else { 100 };
        thread::sleep(Duration::from_millis(pause_ms));
    }
    let body = json!({"address": options.listen}).to_string();
    if let Err(error) = client.post(format!("http://{}/v1/leave", options.agent)).send(body) {
        tracing::warn!(event = "leave_not_reported", %error);
    }
}
