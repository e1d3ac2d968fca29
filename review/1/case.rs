//! All processes of the core are killed at the same moment, while the operator changes the config.
//! What was acknowledged has to be read back afterwards.
//!
//! A round sends configs, eight at a time, until two control processes have begun a new log file
//! behind a snapshot, kills the three processes, starts them again at once, and reads the config.
//! With `AIM=0` the kill comes at a moment that does not depend on any file. With `TROUBLE=0` nothing
//! is killed.

use std::{
    collections::BTreeSet,
    fs,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    json::Json,
    site::{Plan, Record, SIGKILL, Site, config, route, signal, wait},
};

/// Orders of an operator in progress at once, at most (PROTOCOL.md).
const ORDERS: usize = 8;

/// Routes of each config: its body stays below `max_body_bytes`, 262,144.
const ROUTES: usize = 1_000;

/// Changes after which a new deployment takes the place of the one before: "hundreds of changes" a day.
const CHANGES_MAX: u64 = 700;

/// Longest time for which configs are sent in a round.
const ROUND_MAX: Duration = Duration::from_secs(12);

/// Time after which no other round begins.
const ROUNDS_MAX: Duration = Duration::from_secs(80);

/// Rounds without a kill, if `TROUBLE=0`.
const CALM_ROUNDS: usize = 3;

/// `contact_ms`, for which the operator reads the config.
const READ_TIME: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let began = Instant::now();
    let mut rounds = 0;
    let mut is_over = false;
    while !is_over {
        // A day of its own: a new deployment, with hundreds of changes at most.
        let plan = Plan { controls: 3, entries: 1, nodes: 0, nodes_per_rack: 1 };
        let mut site = Site::start(record, &plan)?;
        let first = config_of(1);
        record.line("case", &format!("a new deployment; a config has {} bytes", first.len()));
        site.install(1, &first)?;
        site.wait_until_ready()?;
        let mut next_version = 2;
        while !is_over && next_version < CHANGES_MAX {
            rounds += 1;
            let acknowledged = send_configs(&site, &mut next_version, trouble)?;
            if trouble {
                for index in 0..plan.controls {
                    site.restart_control(index)?;
                }
                record.line("case", "started the three processes of the core again");
            }
            let shown = read_back(&site, acknowledged)?;
            record.line(
                "operator",
                &format!("round {rounds}: newest acknowledged {acknowledged}, read back {shown}"),
            );
            if shown < acknowledged {
                return Ok(Verdict::Broken(format!(
                    "config {acknowledged} was acknowledged; after round {rounds}, {shown} is read back"
                )));
            }
            is_over = ROUNDS_MAX < began.elapsed() || !trouble && CALM_ROUNDS <= rounds;
        }
    }
    record.line("case", &format!("{rounds} rounds"));
    Ok(Verdict::Held)
}

fn config_of(version: u64) -> String {
    let timeout_ms = 3_000 + version % 1_000;
    let of = |it: usize| route(&format!("r-{it}"), &format!("/q{it}/"), timeout_ms);
    config(version, &(0..ROUTES).map(of).collect::<Vec<_>>())
}

/// Sends configs until the kill, and returns the newest version that was acknowledged.
fn send_configs(site: &Site, next_version: &mut u64, trouble: bool) -> Result<u64, String> {
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(*next_version));
    let acknowledged = Arc::new(Mutex::new(BTreeSet::new()));
    let operators: Vec<_> = (0..ORDERS)
        .map(|_| {
            let (is_over, next) = (is_over.clone(), next.clone());
            let (acknowledged, addresses) = (acknowledged.clone(), site.control_addresses.clone());
            let record = site.record.clone();
            thread::spawn(move || {
                while !is_over.load(SeqCst) {
                    let version = next.fetch_add(1, SeqCst);
                    let body = config_of(version);
                    // Without a clear response, the same goes to another daemon.
                    for at in version as usize.. {
                        if is_over.load(SeqCst) {
                            break;
                        }
                        let to = addresses[at % addresses.len()];
                        let (host, time) = (to.ip().to_string(), Duration::from_secs(1));
                        let answer = http::call(to, "PUT", "/-/config", &host, &body, time);
                        let status = answer.map(|(status, _)| status);
                        let text = status.map_or("no response".to_owned(), |it| it.to_string());
                        record.line("operator", &format!("PUT config {version} to {to} -> {text}"));
                        if status == Some(200) {
                            acknowledged.lock().unwrap().insert(version);
                            break;
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            })
        })
        .collect();
    let new_logs = Arc::new(AtomicUsize::new(0));
    let watchers: Vec<_> = site
        .data_folders
        .iter()
        .map(|folder| {
            let (folder, before) = (folder.clone(), logs_in(folder));
            let (is_over, new_logs) = (is_over.clone(), new_logs.clone());
            thread::spawn(move || {
                while !is_over.load(SeqCst) {
                    if logs_in(&folder).iter().any(|it| !before.contains(it)) {
                        new_logs.fetch_add(1, SeqCst);
                        return;
                    }
                }
            })
        })
        .collect();
    let began = Instant::now();
    match std::env::var("AIM").as_deref() {
        Ok("0") => {
            let random_ms = (site.record.seconds() * 1e6) as u64 % 700;
            thread::sleep(Duration::from_millis(300 + random_ms));
        }
        _ => while new_logs.load(SeqCst) < 2 && began.elapsed() < ROUND_MAX {},
    }
    if trouble {
        let pids: Vec<_> = site.controls.iter().map(|it| it.pid()).collect();
        pids.into_iter().for_each(|it| signal(it, SIGKILL));
    }
    let seconds = began.elapsed().as_secs_f64();
    is_over.store(true, SeqCst);
    operators.into_iter().chain(watchers).for_each(|it| drop(it.join()));
    let sent = next.load(SeqCst) - *next_version;
    *next_version = next.load(SeqCst);
    let acknowledged = acknowledged.lock().unwrap();
    let newest = acknowledged.last().copied().unwrap_or(0);
    let what = if trouble { "killed the core (SIGKILL)" } else { "stopped sending" };
    site.record.line("operator", &format!("sent {sent} configs, {} acknowledged, newest {newest}", acknowledged.len()));
    site.record.line("case", &format!("{what} after {seconds:.3} s"));
    for (index, folder) in site.data_folders.iter().enumerate().filter(|_| trouble) {
        let logs = logs_in(folder);
        let bytes = |it: &String| fs::metadata(folder.join(it)).map_or(0, |it| it.len());
        let logs: Vec<_> = logs.iter().map(|it| format!("{it} of {} bytes", bytes(it))).collect();
        site.record.line("case", &format!("for information: disk {index} has {}", logs.join(", ")));
    }
    Ok(newest)
}

/// Returns the names of the log files in a data folder.
fn logs_in(folder: &Path) -> Vec<String> {
    let names = fs::read_dir(folder).into_iter().flatten().flatten();
    let names = names.filter_map(|it| it.file_name().into_string().ok());
    names.filter(|it| it.starts_with("log-") && !it.ends_with(".new")).collect()
}

/// Reads the config from all control processes; returns the newest version shown. As long as that is
/// older than `acknowledged`, it is read again for `contact_ms`.
fn read_back(site: &Site, acknowledged: u64) -> Result<u64, String> {
    let read = |at: usize| -> Option<u64> {
        let (status, text) = site.operator(at, "GET", "/-/config", "")?;
        let version = Json::parse(&text).and_then(|it| it.get("version")?.number());
        let to = site.control_addresses[at];
        site.record.line("operator", &format!("GET config from {to} -> {status}, version {version:?}"));
        version.filter(|_| status == 200)
    };
    let mut shown = None;
    wait("the config", Duration::from_secs(12), || {
        shown = (0..3).filter_map(read).max();
        shown.is_some()
    })?;
    let began = Instant::now();
    while shown < Some(acknowledged) && began.elapsed() < READ_TIME {
        shown = shown.max((0..3).filter_map(read).max());
        thread::sleep(Duration::from_millis(300));
    }
    shown.ok_or_else(|| "no config was read".to_owned())
}
