//! The processes of the core are killed at the same moment; what was acknowledged has to be there.

use std::{
    fs,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http,
    json::Json,
    site::{Plan, Record, SIGKILL, Site, config, route, signal, wait},
};

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan { controls: 3, entries: 1, nodes: 0, nodes_per_rack: 1, kinds: &[] };
    let mut site = Site::start(record, &plan)?;
    let mut version = 1;
    site.install(version, &big(version))?;
    site.wait_until_ready()?;
    let began = Instant::now();
    let mut kills = 0;
    while began.elapsed() < Duration::from_secs(90) {
        let newest = storm(&site, &mut version, trouble)?;
        kills += 1;
        if trouble {
            for index in 0..3 {
                site.restart_control(index)?;
            }
        }
        let shown = read_back(&site)?;
        record.line("operator", &format!("newest acknowledged {newest}, read back {shown}"));
        if shown < newest {
            return Ok(Verdict::Broken(format!(
                "config {newest} was acknowledged, and {shown} is in force after kill {kills}"
            )));
        }
        version = version.max(shown);
    }
    record.line("case", &format!("{kills} rounds"));
    Ok(Verdict::Held)
}

fn big(version: u64) -> String {
    let routes: Vec<_> = (0..900).map(|it| route(&format!("r-{it}"), &format!("/q{it}/"), 3_000 + version % 7)).collect();
    config(version, &routes)
}

/// Sends configs, eight at a time, until the processes are killed; returns the newest acknowledged.
fn storm(site: &Site, version: &mut u64, trouble: bool) -> Result<u64, String> {
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(*version + 1));
    let newest = Arc::new(AtomicU64::new(0));
    let acked = Arc::new(Mutex::new(Vec::new()));
    let mut senders = Vec::new();
    for _ in 0..8 {
        let (is_over, next, newest, acked) = (is_over.clone(), next.clone(), newest.clone(), acked.clone());
        let addresses = site.control_addresses.clone();
        senders.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let version = next.fetch_add(1, Ordering::SeqCst);
                let body = big(version);
                let mut at = version as usize;
                while !is_over.load(Ordering::SeqCst) {
                    let to = addresses[at % addresses.len()];
                    let host = to.ip().to_string();
                    let answer = http::call(to, "PUT", "/-/config", &host, &body, Duration::from_secs(1));
                    if answer.is_some_and(|(status, _)| status == 200) {
                        newest.fetch_max(version, Ordering::SeqCst);
                        acked.lock().unwrap().push(version);
                        break;
                    }
                    at += 1;
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }));
    }
    let logs = |folder: &PathBuf| -> Vec<String> {
        let names = fs::read_dir(folder).into_iter().flatten().flatten();
        let names = names.filter_map(|it| it.file_name().into_string().ok());
        names.filter(|it| it.starts_with("log-") && !it.ends_with(".new")).collect()
    };
    let before: Vec<_> = site.data_folders.iter().map(logs).collect();
    let pids: Vec<_> = site.controls.iter().map(|it| it.pid()).collect();
    let seen: Arc<Vec<AtomicBool>> = Arc::new((0..3).map(|_| AtomicBool::new(false)).collect());
    let began = Instant::now();
    let mut watchers = Vec::new();
    for index in 0..3 {
        let (folder, before, seen) = (site.data_folders[index].clone(), before[index].clone(), seen.clone());
        let is_over = is_over.clone();
        watchers.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let names = fs::read_dir(&folder).into_iter().flatten().flatten();
                let mut names = names.filter_map(|it| it.file_name().into_string().ok());
                if names.any(|it| it.starts_with("log-") && !it.ends_with(".new") && !before.contains(&it)) {
                    seen[index].store(true, Ordering::SeqCst);
                    return;
                }
            }
        }));
    }
    let max = Duration::from_secs(20);
    while began.elapsed() < max {
        let count = seen.iter().filter(|it| it.load(Ordering::SeqCst)).count();
        if 2 <= count {
            break;
        }
        std::hint::spin_loop();
    }
    if trouble {
        pids.iter().for_each(|it| signal(*it, SIGKILL));
    }
    let count = seen.iter().filter(|it| it.load(Ordering::SeqCst)).count();
    is_over.store(true, Ordering::SeqCst);
    let sizes: Vec<_> = site.data_folders.iter().map(|folder| {
        logs(folder).iter().map(|it| format!("{it}:{}", fs::metadata(folder.join(it)).map_or(0, |it| it.len()))).collect::<Vec<_>>().join(",")
    }).collect();
    senders.into_iter().chain(watchers).for_each(|it| drop(it.join()));
    *version = next.load(Ordering::SeqCst);
    let newest = newest.load(Ordering::SeqCst);
    site.record.line("case", &format!("after {:.2} s: {count} new logs, acknowledged {}, newest {newest}, logs {sizes:?}", began.elapsed().as_secs_f64(), acked.lock().unwrap().len()));
    Ok(newest)
}

fn read_back(site: &Site) -> Result<u64, String> {
    let mut shown = 0;
    wait("the config", Duration::from_secs(15), || {
        (0..3).any(|at| match site.operator(at, "GET", "/-/config", "") {
            Some((200, text)) => {
                shown = Json::parse(&text).and_then(|it| it.get("version")?.number()).unwrap_or(0);
                true
            }
            _ => false,
        })
    })?;
    Ok(shown)
}
