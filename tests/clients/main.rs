//! Clients that stay outside of the limits, against the system's own processes.
//!
//! The tests play an installation at a quarter of its size: a quarter of the clients (100 of 400), of
//! the memory and descriptors of each VM, and of the limits on totals. They check that the process
//! lives, that its memory and descriptors stay under those of its VM, and that an ordinary request
//! is answered while the connections of the crowd are open.
#![allow(clippy::unwrap_used)]

mod cancels;
mod crowd;
#[path = "../platform/executor.rs"]
#[allow(dead_code)]
mod executor;
#[path = "../platform/installation.rs"]
#[allow(dead_code)]
mod installation;

use std::{
    fs,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crowd::{Crowd, chunks, head};
use installation::{Installation, ProcessKind, SettingsLines, wait};

/// A quarter of the memory of each VM: 260 MB, 256 MB and 128 MB.
const ENTRY_MEMORY_MAX_BYTES: usize = 65_000_000;
const CONTROL_MEMORY_MAX_BYTES: usize = 64_000_000;
const NODE_MEMORY_MAX_BYTES: usize = 32_000_000;

/// A quarter of the descriptors of a VM that are not kept for files: 4,096 less 200.
const DESCRIPTORS_MAX: usize = 974;

/// A quarter of the clients that ended a process.
const CLIENTS: usize = 100;

/// About as many clients as a process at this size has connections.
const BUSY_CLIENTS: usize = 700;

/// Clients that report to a node, as many as it has connections, and what each of them sends.
const REPORTERS: usize = 64;
const REPORTS: usize = 3_000;

/// More clients than a process at this size has descriptors.
const IDLE_CLIENTS: usize = 1_200;

/// Largest body that the processes accept; the default.
const BODY_MAX_BYTES: usize = 1 << 20;

/// A quarter of the default of each limit on a total, and of the node's in its template in deploy/; half
/// of the leader's `calls_max_bytes`, a quarter of which has to hold the largest body.
const LINES: SettingsLines = SettingsLines {
    process: "connections_max = 750\nrequests_max_bytes = 8388608\nanswers_max_bytes = 4194304\n",
    node_process: "connections_max = 64\nrequests_max_bytes = 1048576\n",
    link: "queue_max_bytes = 16777216\ngreetings_max = 500\n",
    gateway: "calls_max_bytes = 8388608\n",
    dispatch: "calls_max_bytes = 8388608\nlog_max_bytes = 8388608\nworkflows_max_bytes = 12582912\n",
};

/// Error of an answer while no leader is known, or none answers.
const NO_LEADER: &str = "no control process leads at the moment";

/// Path of the ordinary submission; no client of a crowd has it.
const ORDINARY_PATH: &str = "/q/ffffffffffffffff";

/// Time for which the peak memory of a process that has read everything stays the same.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// Lets one test run at a time.
static TURN: Mutex<()> = Mutex::new(());

/// An installation with a configuration, and the turn of its test.
struct Site {
    installation: Installation,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    fn start() -> Site {
        // A failed test leaves nothing behind that harms the next one.
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let installation = Installation::start_with(1, LINES);
        installation.install(1);
        Site { installation, _turn: turn }
    }

    /// Checks that a process lives within the memory and descriptors of its VM, and that an ordinary
    /// request is answered.
    fn check(&mut self, kind: ProcessKind) {
        let folder = self.installation.proc_folder(kind);
        wait_until_settled(&folder);
        assert!(self.installation.runs(kind), "{kind:?} has ended");
        self.submit_one();
        wait_until_settled(&folder);
        let descriptors = fs::read_dir(folder.join("fd")).unwrap().count();
        let memory_bytes = peak_memory_bytes(&folder);
        println!("{kind:?}: peak {memory_bytes} bytes, {descriptors} descriptors");
        let memory_max_bytes = match kind {
            ProcessKind::Entry => ENTRY_MEMORY_MAX_BYTES,
            ProcessKind::Control => CONTROL_MEMORY_MAX_BYTES,
            ProcessKind::Node => NODE_MEMORY_MAX_BYTES,
        };
        assert!(memory_bytes <= memory_max_bytes, "{kind:?} used {memory_bytes} bytes");
        assert!(descriptors <= DESCRIPTORS_MAX, "{kind:?} has {descriptors} descriptors");
        assert!(self.installation.runs(kind), "{kind:?} has ended");
    }

    /// Submits a workflow as an ordinary client does: again while it is told to come back.
    fn submit_one(&self) {
        let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 100}]});
        wait("an ordinary submission to be accepted", || {
            self.installation.client("POST", ORDINARY_PATH, &body).0 == 200
        });
    }
}

/// Returns the first answer other than a broken connection or that no leader answered in time, after
/// which every caller sends its request again. A refusal for want of room counts as an answer.
fn answer_of(mut send: impl FnMut() -> (u16, Value)) -> (u16, Value) {
    let mut answer = (0, Value::Null);
    wait("an answer of the leader", || {
        answer = send();
        let is_late = answer.0 == 503 && answer.1["error"] == NO_LEADER;
        !is_late && !matches!(answer.0, 0 | 504)
    });
    answer
}

/// Waits until a process has read what its clients sent: until its peak memory stays the same.
fn wait_until_settled(proc_folder: &Path) {
    let mut peak_bytes = 0;
    let mut since = Instant::now();
    wait("the memory of a process to settle", || {
        let now_bytes = peak_memory_bytes(proc_folder);
        if now_bytes != peak_bytes {
            peak_bytes = now_bytes;
            since = Instant::now();
        }
        SETTLED_AFTER <= since.elapsed()
    });
}

/// Returns the peak resident memory of a process.
fn peak_memory_bytes(proc_folder: &Path) -> usize {
    let status = fs::read_to_string(proc_folder.join("status")).unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let line = line.expect("the process has ended");
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

fn path(client: usize) -> String {
    format!("/q/{client:016x}")
}

/// Returns a submission of `bytes` bytes, all but a few of them in its payload.
fn submission(bytes: usize) -> String {
    let frame_bytes = submission_text("").len();
    submission_text(&"x".repeat(bytes - frame_bytes))
}

fn submission_text(payload: &str) -> String {
    json!({"spec": payload, "steps": [{"count": 1, "cpu": 100}]}).to_string()
}

/// Returns a submission of at most `bytes` bytes with as many steps as fit.
fn submission_of_small_steps(bytes: usize) -> String {
    let steps = "{},".repeat((bytes - 20) / 3);
    format!("{{\"steps\":[{}]}}", steps.trim_end_matches(','))
}

/// Returns a request for a state whose path is as long as headers may be.
fn read_of_long_path(client: usize) -> Vec<u8> {
    let path = format!("{}{}", path(client), "x".repeat(14_000));
    format!("GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n").into_bytes()
}

/// Returns a submission with as many steps as are accepted, of about the largest size.
fn submission_of_large_steps() -> String {
    let step = json!({"count": 1, "cpu": 100, "requirements": "x".repeat(1_000)});
    json!({"steps": vec![step; 1_000]}).to_string()
}

/// Returns a small submission with as many tasks as are accepted in each occurrence, and the longest
/// payload that the platform's pages allow. Repeated ones are due in the far future.
fn submission_of_many_tasks(repeat_count: u32) -> String {
    json!({
        "spec": "x".repeat(4_000),
        "steps": [{"count": 10_000}],
        "repeat_count": repeat_count,
        "first_run_ms": 250_000_000_000_000_u64,
        "interval_ms": 1_000,
    })
    .to_string()
}

/// Returns a body of known length, of which the last `withheld` bytes are not sent.
fn announced(path: &str, body: &str, withheld: usize) -> Vec<u8> {
    let head = head(path, &format!("Content-Length: {}\r\n", body.len()));
    [head.as_bytes(), &body.as_bytes()[..body.len() - withheld]].concat()
}

fn chunked(path: &str, body: &[u8]) -> Vec<u8> {
    [head(path, "Transfer-Encoding: chunked\r\n").as_bytes(), body].concat()
}

/// Clients of the entry, by what each sends before it stops.
#[yare::parameterized(
    large_chunks = { |it| chunked(&path(it), &chunks(BODY_MAX_BYTES - 65_536, 65_536)) },
    small_chunks = { |it| chunked(&path(it), &chunks(400_000, 8)) },
    chunks_far_over_the_limit = { |it| chunked(&path(it), &chunks(6 * BODY_MAX_BYTES, 65_536)) },
    far_over_the_limit_as_announced = {
        |it| announced(&path(it), &submission(6 * BODY_MAX_BYTES), 1)
    },
    one_byte_withheld = { |it| announced(&path(it), &submission(BODY_MAX_BYTES), 1) },
    whole = { |it| announced(&path(it), &submission(BODY_MAX_BYTES), 0) },
    whole_of_small_steps = {
        |it| announced(&path(it), &submission_of_small_steps(BODY_MAX_BYTES), 0)
    },
)]
fn an_entry_bounds_bodies(bytes_of: fn(usize) -> Vec<u8>) {
    let mut site = Site::start();
    let _crowd = Crowd::send(site.installation.front, CLIENTS, bytes_of);
    site.check(ProcessKind::Entry);
}

/// The same submissions reach the leader, which stores what it accepts.
#[yare::parameterized(
    large_payloads = { |it| announced(&path(it), &submission(BODY_MAX_BYTES), 0) },
    large_steps = { |it| announced(&path(it), &submission_of_large_steps(), 0) },
    many_tasks = { |it| announced(&path(it), &submission_of_many_tasks(0), 0) },
    many_occurrences = { |it| announced(&path(it), &submission_of_many_tasks(10), 0) },
)]
fn a_leader_bounds_what_it_stores(bytes_of: fn(usize) -> Vec<u8>) {
    let mut site = Site::start();
    let _crowd = Crowd::send(site.installation.front, CLIENTS, bytes_of);
    site.check(ProcessKind::Control);
}

/// The leader takes nothing from its links meanwhile, so that each copy of a request stays in the entry.
#[yare::parameterized(
    large_payloads = { CLIENTS, |it| announced(&path(it), &submission(BODY_MAX_BYTES), 0) },
    small_steps = { BUSY_CLIENTS, |it| announced(&path(it), &submission_of_small_steps(3_000), 0) },
    long_paths = { BUSY_CLIENTS, |it| read_of_long_path(it) },
)]
fn an_entry_bounds_what_waits_for_a_leader(clients: usize, bytes_of: fn(usize) -> Vec<u8>) {
    let mut site = Site::start();
    site.installation.freeze_control();
    let _crowd = Crowd::send(site.installation.front, clients, bytes_of);
    site.installation.thaw_control();
    site.check(ProcessKind::Entry);
}

#[yare::parameterized(
    silent = { "" },
    header_never_ends = { "GET /q/00000000000000aa HTTP/1.1\r\nX-Long: " },
    idle_after_an_answer = {
        "GET /q/00000000000000aa HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"
    },
)]
fn an_entry_bounds_connections(start: &'static str) {
    let mut site = Site::start();
    let _crowd = Crowd::send(site.installation.front, IDLE_CLIENTS, |_| {
        let filler = if start.ends_with("X-Long: ") { 12_000 } else { 0 };
        format!("{start}{}", "x".repeat(filler)).into_bytes()
    });
    wait("the entry to be ready", || site.installation.readiness() == 200);
    site.check(ProcessKind::Entry);
}

/// Connections to one listener take no room from the others.
#[yare::parameterized(
    readiness = { |it| it.readiness },
    metrics = { |it| it.metrics },
    links = { |it| it.entry_link },
)]
fn an_entry_bounds_connections_to_its_other_listeners(
    address: fn(&Installation) -> std::net::SocketAddr,
) {
    let mut site = Site::start();
    let _crowd = Crowd::send(address(&site.installation), IDLE_CLIENTS, |_| Vec::new());
    wait("the entry to be ready", || site.installation.readiness() == 200);
    site.check(ProcessKind::Entry);
}

/// A document of about the largest size, asked for by clients that read nothing.
#[test]
fn a_control_process_bounds_answers_that_nobody_reads() {
    let mut site = Site::start();
    let mut config = site.installation.config(2, "pool", 3_000);
    config["limits"] = json!({"filler": "x".repeat(BODY_MAX_BYTES - 2_000)});
    let put = || site.installation.operator("PUT", "/-/config", &config);
    assert_eq!(answer_of(put).0, 200);
    let request = "GET /-/config HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n".repeat(3);
    let _crowd = Crowd::send(site.installation.control, CLIENTS, |_| request.clone().into_bytes());
    let get = || site.installation.operator("GET", "/-/config", &Value::Null);
    assert_eq!(answer_of(get), (200, config));
    site.check(ProcessKind::Control);
}

#[yare::parameterized(
    large_chunks = { |_| chunked("/-/config", &chunks(BODY_MAX_BYTES - 65_536, 65_536)) },
    one_byte_withheld = { |_| announced("/-/config", &submission(BODY_MAX_BYTES), 1) },
)]
fn a_control_process_bounds_bodies(bytes_of: fn(usize) -> Vec<u8>) {
    let mut site = Site::start();
    let _crowd = Crowd::send(site.installation.control, CLIENTS, bytes_of);
    site.check(ProcessKind::Control);
}

/// A node accepts bodies of 64 KiB.
#[test]
fn a_node_bounds_bodies() {
    let mut site = Site::start();
    let _crowd = Crowd::send(site.installation.node_listen, BUSY_CLIENTS, |_| {
        announced("/-/instances/x", &submission(65_536), 1)
    });
    site.check(ProcessKind::Node);
    site.installation.wait_for(ORDINARY_PATH, "completed");
}

/// Reports that are readable and come faster than the node works on them.
#[test]
fn a_node_bounds_reports_that_wait() {
    let mut site = Site::start();
    let report = json!({
        "service": "x".repeat(40), "zone": "z".repeat(40), "state": "ready", "labels": ["a".repeat(40), "r".repeat(40)],
        "capacity": {"cpu": 1, "mem_mb": 1}, "clock_ms": 1, "sequence": 1
    })
    .to_string();
    let request = format!(
        "PUT /-/instances/{} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{report}",
        "i".repeat(200),
        report.len()
    );
    let bytes = request.repeat(REPORTS).into_bytes();
    let _crowd = Crowd::send_and_read(site.installation.node_listen, REPORTERS, &bytes);
    site.check(ProcessKind::Node);
    site.installation.wait_for(ORDINARY_PATH, "completed");
}

/// Load: nothing else. Each refusal below would be wrong.
#[test]
fn a_single_request_inside_the_limits_is_served() {
    let site = Site::start();
    let body: Value = serde_json::from_str(&submission(BODY_MAX_BYTES)).unwrap();
    assert_eq!(answer_of(|| site.installation.client("POST", &path(1), &body)).0, 200);
    let steps = vec![json!({"count": 1}); 1_000];
    let body = json!({"spec": "x", "steps": steps});
    assert_eq!(answer_of(|| site.installation.client("POST", &path(2), &body)).0, 200);
    let bytes = chunked(&path(3), &chunked_body(&submission(BODY_MAX_BYTES)));
    let mut crowd = Crowd::send(site.installation.front, 1, |_| bytes.clone());
    wait("an answer to a chunked submission", || crowd.answers()[0].starts_with("HTTP/1.1 200"));
}

/// Returns a whole chunked body.
fn chunked_body(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len()).into_bytes()
}

/// A refused submission never runs, and its client is told when to return.
#[test]
fn refused_submissions_never_run() {
    let site = Site::start();
    let mut crowd = Crowd::send(site.installation.front, CLIENTS, |it| {
        announced(&path(it), &submission(BODY_MAX_BYTES), 0)
    });
    site.submit_one();
    let mut answers = vec![String::new(); CLIENTS];
    wait("the answers", || {
        let new = crowd.answers();
        answers.iter_mut().zip(&new).for_each(|(all, it)| all.push_str(it));
        answers.iter().all(|it| !it.is_empty())
    });
    for (client, answer) in answers.iter().enumerate() {
        let (status, _) = site.installation.state(&path(client));
        match answer.get(9..12) {
            Some("200") => assert_eq!(status, 200, "{client} was accepted"),
            Some("429" | "503") => {
                assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
                assert_eq!(status, 410, "{client} was refused: {answer}");
            }
            // Its outcome is unknown to the client, which asks again.
            Some("504") => (),
            _ => panic!("unexpected answer to client {client}: {answer}"),
        }
    }
}
