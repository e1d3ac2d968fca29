//! Starts and controls an installation of separate processes.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use aspenrail::{
    http::client::new_client,
    prelude::*,
    standin::{
        executor::{EndpointState, ExecutorOptions, start_executor},
        layout::{Counts, Layout, OPERATOR_TOKEN, TEAM_TOKEN},
        load::{LoadOptions, run_load},
        worker::start_worker,
        worker_model::WorkerModel,
    },
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Far longer than any step takes, so only a hang exceeds it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

const TIMING_SETTINGS: &str =
    "election_timeout_ms = 500\nheartbeat_ms = 50\nlease_ms = 4000\nlease_margin_ms = 1000\n";

/// An installation of separate processes; they are killed when it is dropped.
pub struct Cluster {
    pub layout: Layout,
    pub processes: BTreeMap<PathBuf, Child>,
    pub executors: Vec<Arc<EndpointState>>,
    _folder: tempfile::TempDir,
}

impl Cluster {
    pub fn start(counts: Counts) -> Cluster {
        let folder = tempfile::tempdir().unwrap();
        let layout = Layout::create(folder.path(), counts, TIMING_SETTINGS).unwrap();
        let capacity = Resources { cpu_millicores: 64_000, memory_mib: 250_000, accelerators: 0 };
        let mut executors = Vec::new();
        for vm in &layout.vms {
            start_worker(vm.worker, WorkerModel::new(capacity)).unwrap();
            let options = ExecutorOptions {
                listen: vm.executor,
                agent: vm.local,
                class: "quick".into(),
                slots: 8,
                connections: 60,
                work_ms: 2,
                fail_permille: 0,
            };
            executors.push(start_executor(options).unwrap());
        }
        let files =
            layout.control_files.iter().chain(&layout.agent_files).chain(&layout.entry_files);
        let files: Vec<_> = files.cloned().collect();
        let mut cluster =
            Cluster { layout, processes: BTreeMap::new(), executors, _folder: folder };
        files.iter().for_each(|it| cluster.spawn(it));
        cluster.configure();
        cluster
    }

    pub fn spawn(&mut self, file: &Path) {
        let child = Command::new(env!("CARGO_BIN_EXE_aspenrail"))
            .arg("run")
            .arg(file)
            .env("ASPENRAIL_LOG", "error")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        self.processes.insert(file.to_owned(), child);
    }

    pub fn signal(&self, file: &Path, signal: Signal) {
        let pid = Pid::from_raw(self.processes[file].id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub fn kill(&mut self, file: &Path) {
        let mut child = self.processes.remove(file).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn admin(&self, path: &str, body: Option<&Value>) -> Option<Value> {
        let client = new_client(1);
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        self.layout.admins.iter().find_map(|it| {
            let url = format!("http://{it}/v1/admin/{path}");
            let result = match body {
                Some(body) => {
                    client.post(url).header("Authorization", &authorization).send(body.to_string())
                }
                None => client.get(url).header("Authorization", &authorization).call(),
            };
            let mut response = result.ok().filter(|it| it.status().is_success())?;
            response.body_mut().read_json().ok()
        })
    }

    fn configure(&self) {
        let quota = json!({"cpu_millicores": 256_000, "memory_mib": 1_000_000, "accelerators": 0});
        let team = json!({"name": "demo", "quota": quota, "jobs_open_max": 1_000, "requests_in_flight_max": 1_000});
        let class = |name: &str, kind: &str, target: u32| {
            json!({"PutClass": {
                "name": name, "kind": kind, "answer_target_ms": target, "answer_percentile_permille": 990,
                "deadline_max_ms": target * 200, "finish_target_ms": 0, "evictions_per_hour": 60, "urgent": false,
            }})
        };
        let changes = [
            json!({"PutTeam": team}),
            class("quick", "latency_critical", 50),
            class("batch", "batch", 0),
        ];
        let mut revision = 0;
        for (index, change) in changes.iter().enumerate() {
            revision = wait_until("a change is accepted", || {
                let body =
                    json!({"based_on": revision, "key": format!("c-{index}"), "change": change});
                self.admin("configuration", Some(&body))?["revision"].as_u64()
            });
        }
        if self.layout.vms.is_empty() || self.layout.callers.is_empty() {
            return;
        }
        wait_until("control lists every endpoint", || {
            let endpoints = self.admin("endpoints", None)?;
            (endpoints.as_array()?.len() == self.layout.vms.len()).then_some(())
        });
        wait_until("the entries answer requests", || {
            let load = LoadOptions { seconds: 1, rate: 20, callers: 2, ..self.load() };
            let report = run_load(&load);
            (report.errors.is_empty() && 0 < report.answered).then_some(())
        });
    }

    pub fn load(&self) -> LoadOptions {
        LoadOptions {
            targets: self.layout.callers.clone(),
            token: TEAM_TOKEN.into(),
            class: "quick".into(),
            callers: 8,
            rate: 200,
            seconds: 10,
            deadline_ms: 2_000,
            direct: false,
            idempotent: true,
        }
    }

    /// Submits a job through any entry; retries until one accepts it, and returns the job's id.
    pub fn submit(&self, key: &str, run_ms: u64) -> u64 {
        let spec = json!({
            "kind": "assessment", "class": "batch", "subject": "lot", "tasks": 2, "declared_run_ms": run_ms,
            "resources": {"cpu_millicores": 500, "memory_mib": 100, "accelerators": 0},
            "payload": format!("{{\"run_ms\": {run_ms}, \"result\": \"graded {key}\"}}"),
        });
        let body = json!({"key": key, "spec": spec}).to_string();
        wait_until("a job is accepted", || {
            let answer = self.caller("jobs", Some(&body))?;
            answer["job"].as_u64()
        })
    }

    fn caller(&self, path: &str, body: Option<&str>) -> Option<Value> {
        let client = new_client(1);
        let authorization = format!("Bearer {TEAM_TOKEN}");
        self.layout.callers.iter().find_map(|it| {
            let url = format!("http://{it}/v1/{path}");
            let result = match body {
                Some(body) => client.post(url).header("Authorization", &authorization).send(body),
                None => client.get(url).header("Authorization", &authorization).call(),
            };
            result.ok()?.body_mut().read_json().ok()
        })
    }

    pub fn check_job(&self, job: u64, key: &str) {
        let result = wait_until("a job finishes", || {
            let result = self.caller(&format!("jobs/{job}/result"), None)?;
            (result["finished"] == true).then_some(result)
        });
        for task in result["tasks"].as_array().unwrap() {
            assert_eq!(task["state"], "completed", "{result}");
            assert_eq!(task["detail"], format!("graded {key}"), "{result}");
        }
    }

    pub fn leader_file(&self) -> PathBuf {
        let leader =
            wait_until("there is a leader", || self.admin("status", None)?["leader"].as_u64());
        self.layout.control_files[leader as usize - 1].clone()
    }

    pub fn runs_of(&self, body: &str) -> u32 {
        self.executors.iter().map(|it| it.run_count(body)).sum()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn wait_until<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "timed out after {STEP_TIMEOUT:?} waiting until {condition}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}
