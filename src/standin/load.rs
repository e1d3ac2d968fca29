//! A load generator: sends quick requests at a fixed rate and checks every answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{http::client::new_client, prelude::*};

/// Options of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entries, or endpoints where `direct` is set.
    pub targets: Vec<SocketAddr>,
    pub token: CompactString,
    pub class: CompactString,
    pub callers: usize,
    /// Requests per second of all callers together; with 0, a caller sends its next request
    /// as soon as the last one is answered.
    pub rate: u64,
    pub seconds: u64,
    pub deadline_ms: u32,
    /// Sends requests directly to the endpoints, as a baseline.
    pub direct: bool,
    pub idempotent: bool,
}

/// Results of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    pub answered: u64,
    pub mismatched: u64,
    /// Requests without any answer, for example because their entry was killed.
    pub unanswered: u64,
    pub errors: BTreeMap<String, u64>,
    /// Bodies of the requests whose refusal says that they did not run.
    pub refused_not_run: Vec<String>,
    pub elapsed: Duration,
    latencies_us: Histogram<u64>,
}

impl LoadReport {
    /// Returns a quantile of the answer times, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latencies_us.value_at_quantile(quantile)
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "answered": self.answered,
            "answered_per_second": self.answered as f64 / self.elapsed.as_secs_f64(),
            "mismatched": self.mismatched,
            "unanswered": self.unanswered,
            "errors": self.errors,
            "p50_us": self.quantile_us(0.5),
            "p99_us": self.quantile_us(0.99),
            "p999_us": self.quantile_us(0.999),
        })
    }
}

/// Runs a load and waits until it has ended.
pub fn run_load(options: &LoadOptions) -> LoadReport {
    let latencies_us =
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are constant and valid");
    let report = LoadReport {
        answered: 0,
        mismatched: 0,
        unanswered: 0,
        errors: BTreeMap::new(),
        refused_not_run: Vec::new(),
        elapsed: Duration::ZERO,
        latencies_us,
    };
    let report = Arc::new(Mutex::new(report));
    let started_at = Instant::now();
    let callers: Vec<_> = (0..options.callers)
        .map(|caller| {
            let (options, report) = (options.clone(), report.clone());
            thread::spawn(move || call_until_end(caller, &options, &report, started_at))
        })
        .collect();
    for it in callers {
        // A caller that panicked has printed the reason; its later requests are not in the report.
        let _ = it.join();
    }
    let mut res = report.lock().unwrap_or_else(PoisonError::into_inner).clone();
    res.elapsed = started_at.elapsed();
    res
}

fn call_until_end(
    caller: usize,
    options: &LoadOptions,
    report: &Mutex<LoadReport>,
    started_at: Instant,
) {
    let client = new_client(4);
    let end = started_at + Duration::from_secs(options.seconds);
    let interval = match options.rate {
        0 => Duration::ZERO,
        rate => Duration::from_secs_f64(options.callers as f64 / rate as f64),
    };
    let mut due = started_at + interval.mul_f64(caller as f64 / options.callers as f64);
    for number in 0_u64.. {
        let now = Instant::now();
        if end <= now.max(due) {
            return;
        }
        thread::sleep(due.saturating_duration_since(now));
        // Measured from the due time: a slow answer must not hide the delay of later requests.
        let start = if interval.is_zero() { Instant::now() } else { due };
        due += interval;
        let target = options.targets[(caller + number as usize) % options.targets.len()];
        let body = format!("caller-{caller}-{number}-{:x}", fastrand::u64(..));
        let outcome = call(&client, options, target, &body);
        let elapsed_us = start.elapsed().as_micros() as u64;
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        match outcome {
            Ok(echo) if echo == body => {
                report.answered += 1;
                report.latencies_us.saturating_record(elapsed_us.max(1));
            }
            Ok(_) => report.mismatched += 1,
            Err(Some(document)) => {
                let kind = document["error"].as_str().unwrap_or("endpoint_status").to_owned();
                *report.errors.entry(kind).or_insert(0) += 1;
                if document["ran"] == "no" {
                    report.refused_not_run.push(body);
                }
            }
            Err(None) => report.unanswered += 1,
        }
    }
}

/// Sends one request. Returns the echoed body, or the refusal, which is `None` without an answer.
fn call(
    client: &ureq::Agent,
    options: &LoadOptions,
    target: SocketAddr,
    body: &str,
) -> Result<String, Option<Value>> {
    let path = if options.direct {
        "check".to_owned()
    } else {
        format!("v1/quick/{}/check", options.class)
    };
    let result = client
        .post(format!("http://{target}/{path}"))
        .header("Authorization", format!("Bearer {}", options.token))
        .header("Aspenrail-Deadline-Ms", options.deadline_ms.to_string())
        .header("Aspenrail-Idempotent", options.idempotent.to_string())
        .header("Idempotency-Key", body)
        .send(body);
    let mut response = result.map_err(|_| None)?;
    let status = response.status();
    let text = response.body_mut().read_to_string().map_err(|_| None)?;
    let document: Value = serde_json::from_str(&text).map_err(|_| None)?;
    match document["echo"].as_str() {
        Some(it) if status == 200 => Ok(it.to_owned()),
        _ => Err(Some(document)),
    }
}
