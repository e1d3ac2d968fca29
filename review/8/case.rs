//! A client leaves while its entry is frozen, and cancels by another entry.

#![allow(dead_code)]

#[path = "../standin-3/executor.rs"]
mod executor;
#[path = "../standin-3/http.rs"]
mod http;
#[path = "../standin-3/json.rs"]
mod json;
#[path = "../standin-3/proxy.rs"]
mod proxy;
#[path = "../standin-3/record.rs"]
mod record;
#[path = "../standin-3/site.rs"]
mod site;

use std::{net::TcpStream, thread, time::Duration};

use json::Json;
use record::Record;
use site::{HOST, PREFIX, Site, Size, Verdict, config, has_trouble, route, run_case, step, submission};

const ID: &str = "000000000000001c";

/// Longest time for which a machine is frozen.
const FROZEN_MS: u64 = 5_000;

/// Time for which the client waits for its answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// `cancel_ms`, and `stop_ms` after it.
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 400;

fn main() {
    run_case("review/8", play);
}

fn play(record: &Record) -> Verdict {
    let site = Site::start(record, Size { entries: 2, executors: 5, has_proxies: false, first_kind: "a" });
    site.install(&config(1, vec![route("queue", 3)]));
    let ready = || site.client(1, "GET", PREFIX, "").is_some_and(|it| it.0 == 200);
    assert!(site.wait(15_000, ready), "the entry serves");
    thread::sleep(Duration::from_secs(3));
    let lasting = step(2, 2_000, 1_000, vec![("runs_forever", Json::Bool(true))]);
    let body = submission("lasts cpu=2000", vec![lasting]).to_string();
    let path = format!("{PREFIX}{ID}");
    // Three other clients stay.
    for at in 2..=4 {
        site.submit(&format!("00000000000000{at}c"), &submission("work 500", vec![step(2, 1_000, 500, vec![])]));
    }
    let began_ms = record.now_ms();
    if has_trouble() {
        site.signal("edge-1", "STOP");
    }
    // The client sends its submission, waits, and leaves without an answer.
    let mut stream = TcpStream::connect(site.front(1)).expect("a channel to the entry");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    http::send(&mut stream, "POST", HOST, &path, &body, PATIENCE).expect("the submission is sent");
    record.note(format!("client, edge-1: POST {path} {body}"));
    let mut answer = [0; 200];
    let read = std::io::Read::read(&mut stream, &mut answer).unwrap_or(0);
    let shown = String::from_utf8_lossy(&answer[..read]).lines().next().unwrap_or("nothing").to_owned();
    record.note(format!("client, edge-1: answered {shown}; it leaves"));
    drop(stream);
    // It makes sure that nothing of it runs.
    let mut acked = None;
    let is_acked = site.wait(10_000, || {
        acked = site.client(2, "DELETE", &path, "").filter(|it| matches!(it.0, 200..=299 | 410));
        acked.is_some()
    });
    assert!(is_acked, "the cancel is acknowledged");
    let acked_ms = record.now_ms();
    if has_trouble() {
        let left_ms = (began_ms + FROZEN_MS).saturating_sub(record.now_ms());
        thread::sleep(Duration::from_millis(left_ms));
        site.signal("edge-1", "CONT");
    }
    thread::sleep(Duration::from_secs(12));
    let state = site.state(ID);
    let history: Vec<_> = site.executors.iter().flat_map(|it| it.history()).collect();
    let own = history.iter().filter(|it| it.task.starts_with(ID));
    let late: Vec<_> = own.filter(|it| acked_ms + CANCEL_MS < it.began_ms).collect();
    let running = site.running(ID).len();
    let is_over = record.now_ms() < acked_ms + CANCEL_MS + STOP_MS || running == 0;
    match late.is_empty() && is_over {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "the cancel was acknowledged with {}; {} tasks were started {:?} ms after that, {running} run, and the submission is {state}",
            acked.map_or(0, |it| it.0),
            late.len(),
            late.iter().map(|it| it.began_ms - acked_ms).collect::<Vec<_>>()
        )),
    }
}
