//! Demonstration on one machine: runs all roles as threads of one process.

use std::{
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    cli::{Failure, arguments::Arguments, logs, operator::Operator},
    http::client::new_client,
    prelude::*,
    runtime::{Process, ProcessHandle},
    standin::{
        executor::{EndpointState, ExecutorOptions, start_executor},
        layout::{Counts, Layout, OPERATOR_TOKEN, TEAM_TOKEN, read_settings},
        load::{LoadOptions, run_load},
        worker::start_worker,
        worker_model::WorkerModel,
    },
};

const HELP: &str = "\
aspenrail dev: 3 control, 2 entry and 6 agent processes as threads of this one, with simulated
endpoints and workers on loopback; runs quick requests, a job and a configuration change

  --stay          keeps running until it is interrupted, and prints the addresses
  --folder DIR    stores settings and data in DIR instead of a temporary folder
";

pub(super) const COUNTS: Counts = Counts { controls: 3, entries: 2, agents: 6 };

/// Longest time that a step of the demonstration may take.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

pub(super) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let stay = arguments.flag("--stay");
    let folder = arguments.optional::<PathBuf>("--folder")?;
    arguments.finish()?;
    logs::start("warn");
    let keeps_folder = folder.is_some();
    let unique_name = format!("aspenrail-dev-{}-{:x}", std::process::id(), fastrand::u32(..));
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(unique_name));
    let layout = Layout::create(&folder, COUNTS, "")?;
    let running = start_all(&layout)?;
    let outcome = demonstrate(&layout);
    if stay && outcome.is_ok() {
        println!("\ncallers' API: {:?}, token {TEAM_TOKEN}", layout.callers);
        println!("administration: {:?}, token {OPERATOR_TOKEN}", layout.admins);
        println!("interrupt to end");
        let signals = signal_hook::iterator::Signals::new([
            signal_hook::consts::SIGTERM,
            signal_hook::consts::SIGINT,
        ]);
        if let Ok(mut signals) = signals {
            signals.forever().next();
        }
    }
    running.stop();
    if !keeps_folder {
        // Files left in the temporary folder are harmless.
        let _ = std::fs::remove_dir_all(&folder);
    }
    outcome
}

/// The processes of an installation, as threads.
pub(super) struct Running {
    processes: Vec<(ProcessHandle, thread::JoinHandle<()>)>,
    pub executors: Vec<Arc<EndpointState>>,
}

impl Running {
    /// Stops every process and waits until it has ended.
    pub(super) fn stop(self) {
        self.processes.iter().for_each(|(handle, _)| handle.stop());
        for (_, it) in self.processes {
            // A thread that panicked has already printed the reason.
            let _ = it.join();
        }
    }
}

/// Starts every process of a layout as a thread, and its simulated workers and endpoints.
pub(super) fn start_all(layout: &Layout) -> Result<Running, Failure> {
    let capacity = Resources { cpu_millicores: 64_000, memory_mib: 250_000, accelerators: 0 };
    let mut executors = Vec::new();
    for vm in &layout.vms {
        start_worker(vm.worker, WorkerModel::new(capacity))?;
        executors.push(start_executor(ExecutorOptions {
            listen: vm.executor,
            agent: vm.local,
            class: "quick".into(),
            slots: 8,
            connections: 60,
            work_ms: 2,
            fail_permille: 0,
        })?);
    }
    let files = layout.control_files.iter().chain(&layout.agent_files).chain(&layout.entry_files);
    let mut processes = Vec::new();
    for file in files {
        let process = Process::new(read_settings(file)?);
        let handle = process.handle();
        let run = move || {
            if let Err(report) = process.run() {
                tracing::error!(event = "process_failed", error = %format_args!("{report:#}"));
            }
        };
        let thread = thread::Builder::new().name("core".to_owned()).spawn(run);
        let thread = thread.map_err(|it| {
            Error::report(ErrorKind::Internal, format_compact!("cannot start a thread: {it}"))
        })?;
        processes.push((handle, thread));
    }
    Ok(Running { processes, executors })
}

/// Configures an installation and waits until its entries can route; returns the revision.
pub(super) fn prepare(layout: &Layout) -> Result<u64, Failure> {
    let operator = Operator::new(layout.admins.clone(), OPERATOR_TOKEN);
    let revision = configure(&operator)?;
    wait_until("every VM and endpoint is known", || {
        let endpoints = operator.get("endpoints").ok()?;
        (endpoints.as_array()?.len() == layout.vms.len()).then_some(())
    })?;
    wait_until("both entries are ready", || {
        let client = new_client(1);
        let ready = |it: &std::net::SocketAddr| {
            client.get(format!("http://{it}/healthz")).call().is_ok_and(|it| it.status() == 200)
        };
        layout.callers.iter().all(ready).then_some(())
    })?;
    // The entries receive the endpoint directory with their next heartbeat.
    thread::sleep(Duration::from_millis(1_200));
    Ok(revision)
}

fn demonstrate(layout: &Layout) -> Result<(), Failure> {
    let operator = Operator::new(layout.admins.clone(), OPERATOR_TOKEN);
    let revision = prepare(layout)?;
    println!(
        "1. configuration accepted at revision {revision}: team demo, classes quick and batch"
    );

    let load = LoadOptions {
        targets: layout.callers.clone(),
        token: TEAM_TOKEN.into(),
        class: "quick".into(),
        callers: 8,
        rate: 400,
        seconds: 2,
        deadline_ms: 1_000,
        direct: false,
        idempotent: true,
    };
    let report = run_load(&load);
    println!("2. quick requests: {}", report.to_json());
    if report.answered == 0 || report.mismatched != 0 {
        return Err(Error::report(
            ErrorKind::Internal,
            "no quick request was answered, or an answer differed from its request",
        )
        .into());
    }

    let job = submit_job(layout)?;
    println!("3. job: {job}");

    let change = json!({"PutClass": quick_class(40)});
    let changed = operator
        .post("configuration", &json!({"based_on": revision, "key": "dev-2", "change": change}))?;
    let revision = changed["revision"].as_u64().unwrap_or(0);
    let started_at = Instant::now();
    wait_until("the change is in force everywhere", || {
        let status = operator.get("status").ok()?;
        let rows = ["members", "entries", "vms"]
            .into_iter()
            .filter_map(|it| status[it].as_array())
            .flatten();
        let mut in_force = rows.map(|it| it["in_force"].as_u64());
        in_force.all(|it| it == Some(revision)).then_some(())
    })?;
    println!(
        "4. class quick changed; revision {revision} in force everywhere after {} ms",
        started_at.elapsed().as_millis()
    );
    Ok(())
}

fn configure(operator: &Operator) -> Result<u64, Failure> {
    let team = json!({
        "name": "demo",
        "quota": {"cpu_millicores": 256_000, "memory_mib": 1_000_000, "accelerators": 0},
        "jobs_open_max": 1_000,
        "requests_in_flight_max": 1_000,
    });
    let batch = json!({
        "name": "batch", "kind": "batch", "answer_target_ms": 0, "answer_percentile_permille": 0, "deadline_max_ms": 0,
        "finish_target_ms": 3_600_000, "evictions_per_hour": 60, "urgent": false,
    });
    let mut revision = 0;
    let changes = [
        json!({"PutTeam": team}),
        json!({"PutClass": quick_class(50)}),
        json!({"PutClass": batch}),
    ];
    for (index, change) in changes.iter().enumerate() {
        revision = wait_until("control accepts a change", || {
            let body =
                json!({"based_on": revision, "key": format!("dev-1-{index}"), "change": change});
            operator.post("configuration", &body).ok()?["revision"].as_u64()
        })?;
    }
    Ok(revision)
}

fn quick_class(answer_target_ms: u32) -> Value {
    json!({
        "name": "quick", "kind": "latency_critical", "answer_target_ms": answer_target_ms,
        "answer_percentile_permille": 990, "deadline_max_ms": 10_000, "finish_target_ms": 0, "evictions_per_hour": 0,
        "urgent": false,
    })
}

fn submit_job(layout: &Layout) -> Result<String, Failure> {
    let client = new_client(1);
    let authorization = format!("Bearer {TEAM_TOKEN}");
    let spec = json!({
        "kind": "assessment", "class": "batch", "subject": "lot-7", "tasks": 4, "declared_run_ms": 300,
        "resources": {"cpu_millicores": 1_000, "memory_mib": 512, "accelerators": 0},
        "payload": "{\"run_ms\": 300, \"result\": \"graded\"}",
    });
    let failed = |message: String| Failure::from(Error::report(ErrorKind::Internal, message));
    let mut response = client
        .post(format!("http://{}/v1/jobs", layout.callers[0]))
        .header("Authorization", &authorization)
        .send(json!({"key": "dev-job", "spec": spec}).to_string())
        .map_err(|it| failed(it.to_string()))?;
    let accepted: Value = response.body_mut().read_json().map_err(|it| failed(it.to_string()))?;
    let Some(job) = accepted["job"].as_u64() else {
        return Err(failed(format!("job was not accepted: {accepted}")));
    };
    let mut response = client
        .get(format!("http://{}/v1/jobs/{job}/result?wait_ms=15000", layout.callers[1]))
        .header("Authorization", &authorization)
        .call()
        .map_err(|it| failed(it.to_string()))?;
    let result: Value = response.body_mut().read_json().map_err(|it| failed(it.to_string()))?;
    if result["finished"] != true {
        return Err(failed(format!("job did not finish: {result}")));
    }
    Ok(result.to_string())
}

fn wait_until<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> Result<T, Failure> {
    let started_at = Instant::now();
    loop {
        if let Some(it) = poll() {
            return Ok(it);
        }
        if STEP_TIMEOUT < started_at.elapsed() {
            return Err(Error::report(
                ErrorKind::Internal,
                format_compact!("timed out waiting until {condition}"),
            )
            .into());
        }
        thread::sleep(Duration::from_millis(100));
    }
}
