//! An operator that changes the configuration again and again during faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use aspenrail::http::client::new_client;
use serde_json::{Value, json};

use crate::{site::call, workers::ATTEMPTS_MAX};

/// Pause between two changes, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..600;

/// Time after the last fault within which the newest acknowledged configuration must be shown.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(20);

/// Path of the configuration.
const CONFIG_PATH: &str = "/-/config";

/// Returns a configuration with one queue, whose timeout changes with the version.
pub fn configuration(version: u64, host: &str) -> Value {
    json!({"version": version, "services": [{"name": "pool"}], "limits": {},
        "routes": [{"name": "q", "host": host, "path_prefix": "/q/", "service": "pool",
            "timeout_ms": 3_000 + version % 100, "max_attempts": ATTEMPTS_MAX, "stretch": 1.5,
            "target_completion_ms": 250, "priority": 0}]})
}

/// The operator of one run.
pub struct Operator {
    thread: JoinHandle<(u64, Vec<String>)>,
    is_over: Arc<AtomicBool>,
    addresses: Vec<SocketAddr>,
}

impl Operator {
    pub fn start(addresses: Vec<SocketAddr>, host: String, seed: u64) -> Operator {
        let is_over = Arc::new(AtomicBool::new(false));
        let (is_over_copy, addresses_copy) = (Arc::clone(&is_over), addresses.clone());
        let thread =
            thread::spawn(move || change_until(&is_over_copy, &addresses_copy, &host, seed));
        Operator { thread, is_over, addresses }
    }

    /// Stops the changes.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Stops the changes, and returns the violations: valid changes that were refused, and an older
    /// configuration than the newest acknowledged one.
    pub fn finish(self) -> Vec<String> {
        self.stop();
        let (acknowledged, mut violations) = self.thread.join().unwrap();
        let client = new_client(1);
        for address in self.addresses {
            let began = Instant::now();
            let mut shown = None;
            while shown.is_none_or(|it| it < acknowledged) && began.elapsed() < READ_BACK_TIMEOUT {
                thread::sleep(Duration::from_millis(50));
                let answer = call(&client, address, "GET", CONFIG_PATH, &Value::Null);
                shown = answer.and_then(|(_, it)| it["version"].as_u64()).or(shown);
            }
            if shown.is_none_or(|it| it < acknowledged) {
                violations.push(format!(
                    "{address} shows configuration {shown:?}, {acknowledged} was acknowledged"
                ));
            }
        }
        violations
    }
}

/// Sends changes with rising versions; returns the newest acknowledged one and the violations.
fn change_until(
    is_over: &AtomicBool,
    addresses: &[SocketAddr],
    host: &str,
    seed: u64,
) -> (u64, Vec<String>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (client, mut acknowledged, mut violations) = (new_client(4), 1, Vec::new());
    for version in 2.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let address = addresses[random.usize(0..addresses.len())];
        match call(&client, address, "PUT", CONFIG_PATH, &configuration(version, host)) {
            Some((200, _)) => acknowledged = version,
            Some((status, it)) if status < 500 && !matches!(status, 408 | 429) => {
                violations.push(format!("configuration {version} was refused: {it}"));
            }
            _ => (),
        }
        thread::sleep(Duration::from_millis(random.u64(PAUSE_MS)));
    }
    (acknowledged, violations)
}
