//! An endpoint over HTTP: it works for a while and answers with what it was asked.

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
    http::{HttpAnswer, Pending, ServerOptions, client::new_client, start_server},
    prelude::*,
};

/// What an endpoint of the stand-in does.
#[derive(Clone, Debug)]
pub struct ExecutorOptions {
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub class: CompactString,
    pub slots: u32,
    pub connections: u32,
    /// Time that it works on a request.
    pub work_ms: u64,
    /// Requests in a thousand that it answers with status 500.
    pub fail_permille: u32,
}

/// What an endpoint has seen, for checks.
#[derive(Debug, Default)]
pub struct Seen {
    /// Runs by the body of the request.
    runs: Mutex<HashMap<String, u32>>,
    in_use: AtomicU32,
    most_in_use: AtomicU32,
    leaving: AtomicBool,
    /// Work time and failures, changed while it runs.
    work_ms: AtomicU64,
    fail_permille: AtomicU32,
}

impl Seen {
    /// Returns how often a request with this body ran.
    pub fn runs_of(&self, body: &str) -> u32 {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).get(body).copied().unwrap_or(0)
    }

    /// Returns how many requests ran at once at the most.
    pub fn most_in_use(&self) -> u32 {
        self.most_in_use.load(Ordering::Relaxed)
    }

    /// Makes the endpoint slower or faster.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Makes the endpoint answer with status 500 more or less often.
    pub fn set_fail_permille(&self, permille: u32) {
        self.fail_permille.store(permille, Ordering::Relaxed);
    }

    /// Stops announcing, as an endpoint does before it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }
}

/// Starts an endpoint that announces itself to its agent until it leaves.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on.
pub fn start_executor(options: ExecutorOptions) -> Result<Arc<Seen>> {
    let seen = Arc::new(Seen::default());
    seen.set_work_ms(options.work_ms);
    seen.set_fail_permille(options.fail_permille);
    let pending = Pending::default();
    let server = ServerOptions {
        listen: options.listen,
        threads: 1,
        body_max_bytes: 16 << 20,
        headers_max_bytes: 16 * 1024,
    };
    let (counted, work, answers) = (seen.clone(), options.clone(), pending.clone());
    start_server(server, &pending, move |token, it| {
        let it = match it {
            Ok(it) => it,
            Err(it) => return Some(HttpAnswer::refusal(&it)),
        };
        if it.path == "/runs" {
            let runs = counted.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return Some(HttpAnswer::json(
                200,
                &json!({"runs": runs, "most_in_use": counted.most_in_use()}),
            ));
        }
        let in_use = counted.in_use.fetch_add(1, Ordering::Relaxed) + 1;
        counted.most_in_use.fetch_max(in_use, Ordering::Relaxed);
        let body = String::from_utf8_lossy(&it.body).into_owned();
        *counted
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(body.clone())
            .or_insert(0) += 1;
        let failed = fastrand::u32(0..1_000) < counted.fail_permille.load(Ordering::Relaxed);
        let answer = json!({"echo": body, "path": it.path_and_query, "endpoint": work.listen, "team": it.header("Aspenrail-Team")});
        let answer = HttpAnswer::json(if failed { 500 } else { 200 }, &answer);
        let work_ms = counted.work_ms.load(Ordering::Relaxed);
        if work_ms == 0 {
            counted.in_use.fetch_sub(1, Ordering::Relaxed);
            return Some(answer);
        }
        let (counted, answers) = (counted.clone(), answers.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(work_ms));
            counted.in_use.fetch_sub(1, Ordering::Relaxed);
            answers.answer(token, answer);
        });
        None
    })?;
    let announcing = seen.clone();
    let announce = move || announce_until_left(&options, &announcing);
    let started = thread::Builder::new().name("announce".to_owned()).spawn(announce);
    started.map_err(|it| {
        Error::report(ErrorKind::Internal, format_compact!("cannot start a thread: {it}"))
    })?;
    Ok(seen)
}

fn announce_until_left(options: &ExecutorOptions, seen: &Seen) {
    let client = new_client(1);
    let announcement = json!({
        "class": options.class,
        "address": options.listen,
        "slots": options.slots,
        "connections": options.connections,
    });
    while !seen.leaving.load(Ordering::Relaxed) {
        let sent = client
            .post(format!("http://{}/v1/announce", options.agent))
            .send(announcement.to_string());
        let pause_ms = if sent.is_ok_and(|it| it.status() == 200) { 1_000 } else { 100 };
        thread::sleep(Duration::from_millis(pause_ms));
    }
    let leave = json!({"address": options.listen}).to_string();
    if let Err(error) = client.post(format!("http://{}/v1/leave", options.agent)).send(leave) {
        tracing::warn!(event = "leave_not_reported", %error);
    }
}
