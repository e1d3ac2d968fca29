//! Separate processes on loopback: killed, frozen and stopped while they work.
#![allow(clippy::unwrap_used)]

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
        executor::{ExecutorOptions, Seen, start_executor},
        layout::{Counts, Layout, OPERATOR_TOKEN, TEAM_TOKEN},
        load::{LoadOptions, run_load},
        worker::start_worker,
        worker_model::WorkerModel,
    },
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Far longer than any step takes.
const STEP_MAX: Duration = Duration::from_secs(60);

const TIMING: &str =
    "election_timeout_ms = 500\nheartbeat_ms = 50\nlease_ms = 4000\nlease_margin_ms = 1000\n";

/// An installation of separate processes; all of them end with it.
struct Cluster {
    layout: Layout,
    processes: BTreeMap<PathBuf, Child>,
    executors: Vec<Arc<Seen>>,
    _folder: tempfile::TempDir,
}

impl Cluster {
    fn start(counts: Counts) -> Cluster {
        let folder = tempfile::tempdir().unwrap();
        let layout = Layout::create(folder.path(), counts, TIMING).unwrap();
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
        let mut res = Cluster { layout, processes: BTreeMap::new(), executors, _folder: folder };
        files.iter().for_each(|it| res.spawn(it));
        res.configure();
        res
    }

    fn spawn(&mut self, file: &Path) {
        let child = Command::new(env!("CARGO_BIN_EXE_aspenrail"))
            .arg("run")
            .arg(file)
            .env("ASPENRAIL_LOG", "error")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        self.processes.insert(file.to_owned(), child);
    }

    fn signal(&self, file: &Path, signal: Signal) {
        let pid = Pid::from_raw(self.processes[file].id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    fn kill(&mut self, file: &Path) {
        let mut child = self.processes.remove(file).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn admin(&self, path: &str, body: Option<&Value>) -> Option<Value> {
        let client = new_client(1);
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        self.layout.admins.iter().find_map(|it| {
            let url = format!("http://{it}/v1/admin/{path}");
            let sent = match body {
                Some(body) => {
                    client.post(url).header("Authorization", &authorization).send(body.to_string())
                }
                None => client.get(url).header("Authorization", &authorization).call(),
            };
            let mut response = sent.ok().filter(|it| it.status().is_success())?;
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
        for (at, change) in changes.iter().enumerate() {
            revision = wait_until("a change is taken", || {
                let body =
                    json!({"based_on": revision, "key": format!("c-{at}"), "change": change});
                self.admin("configuration", Some(&body))?["revision"].as_u64()
            });
        }
        if self.layout.vms.is_empty() || self.layout.callers.is_empty() {
            return;
        }
        wait_until("every endpoint is known", || {
            let endpoints = self.admin("endpoints", None)?;
            (endpoints.as_array()?.len() == self.layout.vms.len()).then_some(())
        });
        wait_until("the entries answer", || {
            let load = LoadOptions { seconds: 1, rate: 20, callers: 2, ..self.load() };
            let report = run_load(&load);
            (report.errors.is_empty() && 0 < report.answered).then_some(())
        });
    }

    fn load(&self) -> LoadOptions {
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

    /// Submits a job through any entry that answers, again until one does.
    fn submit(&self, key: &str, run_ms: u64) -> u64 {
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
            let sent = match body {
                Some(body) => client.post(url).header("Authorization", &authorization).send(body),
                None => client.get(url).header("Authorization", &authorization).call(),
            };
            sent.ok()?.body_mut().read_json().ok()
        })
    }

    fn check_job(&self, job: u64, key: &str) {
        let result = wait_until("a job finishes", || {
            let result = self.caller(&format!("jobs/{job}/result"), None)?;
            (result["finished"] == true).then_some(result)
        });
        for task in result["tasks"].as_array().unwrap() {
            assert_eq!(task["state"], "completed", "{result}");
            assert_eq!(task["detail"], format!("graded {key}"), "{result}");
        }
    }

    fn leader_file(&self) -> PathBuf {
        let leader =
            wait_until("there is a leader", || self.admin("status", None)?["leader"].as_u64());
        self.layout.control_files[leader as usize - 1].clone()
    }

    fn runs_of(&self, body: &str) -> u32 {
        self.executors.iter().map(|it| it.runs_of(body)).sum()
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

fn wait_until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(it) = look() {
            return it;
        }
        assert!(begun.elapsed() < STEP_MAX, "waited in vain until {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn one_process_of_each_role_is_killed_on_the_way() {
    let mut cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 6 });
    let load = cluster.load();
    let loading = thread::spawn(move || run_load(&load));
    let mut jobs = Vec::new();
    let victims = [
        cluster.leader_file(),
        cluster.layout.entry_files[0].clone(),
        cluster.layout.agent_files[0].clone(),
    ];
    for round in 0..9 {
        let key = format!("job-{round}");
        jobs.push((cluster.submit(&key, 400), key));
        if let Some(victim) = victims.get(round / 3).filter(|_| round % 3 == 1) {
            cluster.kill(victim);
        }
        if let Some(victim) = victims.get(round / 3).filter(|_| round % 3 == 2) {
            cluster.spawn(victim);
        }
    }
    let report = loading.join().unwrap();
    assert_eq!(report.mismatched, 0, "every answer matches its request");
    assert!(0 < report.answered);
    for (job, key) in &jobs {
        cluster.check_job(*job, key);
        // A resend of the same key is the same job.
        assert_eq!(cluster.submit(key, 400), *job);
    }
    for body in &report.refused_not_run {
        assert_eq!(cluster.runs_of(body), 0, "{body} was told not run");
    }
}

#[test]
fn agent_frozen_for_longer_than_its_lease_wakes_up() {
    let cluster = Cluster::start(Counts { controls: 3, entries: 1, agents: 3 });
    let job = cluster.submit("long", 12_000);
    wait_until("its tasks run", || {
        let vms = cluster.admin("vms", None)?;
        vms.as_array()?.iter().any(|it| 0 < it["tasks"].as_u64().unwrap_or(0)).then_some(())
    });
    let vms = cluster.admin("vms", None).unwrap();
    let busy =
        vms.as_array().unwrap().iter().position(|it| it["tasks"].as_u64() != Some(0)).unwrap();
    let name = vms[busy]["name"].as_str().unwrap();
    let number: usize = name.trim_start_matches("vm-").parse().unwrap();
    let file = cluster.layout.agent_files[number - 1].clone();
    let session = vms[busy]["session"].as_u64();
    cluster.signal(&file, Signal::STOP);
    wait_until("its session ends", || {
        let vms = cluster.admin("vms", None)?;
        let vm = vms.as_array()?.iter().find(|it| it["name"] == name)?.clone();
        (vm["session"].as_u64() != session).then_some(())
    });
    cluster.signal(&file, Signal::CONT);
    cluster.check_job(job, "long");
}

#[test]
fn planned_stops_cut_off_nothing() {
    let mut cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 3 });
    let load = LoadOptions { seconds: 6, ..cluster.load() };
    let loading = thread::spawn(move || run_load(&load));
    let stopped = [cluster.layout.agent_files[0].clone(), cluster.leader_file()];
    for file in &stopped {
        thread::sleep(Duration::from_millis(500));
        cluster.signal(file, Signal::TERM);
        let code = cluster.processes.remove(file).unwrap().wait().unwrap();
        assert_eq!(code.code(), Some(0), "{file:?} drains");
        cluster.spawn(file);
    }
    let report = loading.join().unwrap();
    assert_eq!(report.unanswered, 0, "nothing is cut off: {}", report.to_json());
    assert_eq!(report.mismatched, 0);
    // An entry that stops answers what it took; its callers are told to go elsewhere.
    let load =
        LoadOptions { seconds: 3, targets: vec![cluster.layout.callers[0]], ..cluster.load() };
    let loading = thread::spawn(move || run_load(&load));
    thread::sleep(Duration::from_millis(700));
    let file = cluster.layout.entry_files[0].clone();
    cluster.signal(&file, Signal::TERM);
    let code = cluster.processes.remove(&file).unwrap().wait().unwrap();
    assert_eq!(code.code(), Some(0));
    let report = loading.join().unwrap();
    for body in &report.refused_not_run {
        assert_eq!(cluster.runs_of(body), 0, "{body} was told not run");
    }
}

/// Bad input over each edge: a clear answer, the process alive, the counter moved.
#[test]
fn bad_input_over_each_edge_is_refused() {
    let cluster = Cluster::start(Counts { controls: 1, entries: 1, agents: 1 });
    let caller = cluster.layout.callers[0];
    let admin = cluster.layout.admins[0];
    let local = cluster.layout.vms[0].local;
    let (team, operator) = (TEAM_TOKEN, OPERATOR_TOKEN);
    let long = "x".repeat(300);
    let spec = |tasks: u32, cpu: u32, class: &str| {
        json!({"key": "k", "spec": {
            "kind": "a", "class": class, "subject": "s", "tasks": tasks, "declared_run_ms": 1, "payload": "",
            "resources": {"cpu_millicores": cpu, "memory_mib": 1, "accelerators": 0},
        }})
        .to_string()
    };
    let change = |based_on: u64, change: Value| {
        json!({"based_on": based_on, "key": "x", "change": change}).to_string()
    };
    let class = json!({"PutClass": {
        "name": "c", "kind": "latency_critical", "answer_target_ms": 0, "answer_percentile_permille": 990,
        "deadline_max_ms": 0, "finish_target_ms": 0, "evictions_per_hour": 0, "urgent": false,
    }});
    let quick = [("Aspenrail-Idempotent", "true")];
    let table: Vec<(
        &str,
        std::net::SocketAddr,
        &str,
        &str,
        &str,
        Vec<(&str, &str)>,
        String,
        u16,
        &str,
    )> = vec![
        (
            "no token",
            caller,
            "POST",
            "/v1/jobs",
            "",
            vec![],
            spec(1, 1, "batch"),
            401,
            "unauthenticated",
        ),
        (
            "operator's token at the callers' edge",
            caller,
            "POST",
            "/v1/jobs",
            operator,
            vec![],
            spec(1, 1, "batch"),
            401,
            "unauthenticated",
        ),
        ("no JSON", caller, "POST", "/v1/jobs", team, vec![], "{".into(), 400, "bad_request"),
        (
            "unknown field",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            r#"{"key":"k","spec":{},"extra":1}"#.into(),
            400,
            "bad_request",
        ),
        (
            "no tasks",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(0, 1, "batch"),
            400,
            "bad_request",
        ),
        (
            "too many tasks",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(20_000, 1, "batch"),
            400,
            "bad_request",
        ),
        (
            "larger than the quota",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(1, 999_999, "batch"),
            422,
            "infeasible",
        ),
        (
            "larger than any VM",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(1, 100_000, "batch"),
            422,
            "infeasible",
        ),
        (
            "unknown class",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(1, 1, "nope"),
            400,
            "unknown_class",
        ),
        (
            "job is no number",
            caller,
            "GET",
            "/v1/jobs/abc",
            team,
            vec![],
            String::new(),
            400,
            "bad_request",
        ),
        (
            "no such job",
            caller,
            "GET",
            "/v1/jobs/77",
            team,
            vec![],
            String::new(),
            404,
            "not_found",
        ),
        (
            "no jobs to cancel",
            caller,
            "POST",
            "/v1/jobs/cancel",
            team,
            vec![],
            r#"{"jobs":[]}"#.into(),
            400,
            "bad_request",
        ),
        (
            "wrong method",
            caller,
            "DELETE",
            "/v1/jobs",
            team,
            vec![],
            String::new(),
            405,
            "method_not_allowed",
        ),
        ("unknown path", caller, "GET", "/v2/jobs", team, vec![], String::new(), 404, "not_found"),
        (
            "quick of an unknown class",
            caller,
            "POST",
            "/v1/quick/nope/x",
            team,
            quick.to_vec(),
            "b".into(),
            400,
            "unknown_class",
        ),
        (
            "quick of a batch class",
            caller,
            "POST",
            "/v1/quick/batch/x",
            team,
            quick.to_vec(),
            "b".into(),
            400,
            "wrong_class_kind",
        ),
        (
            "deadline too long",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Aspenrail-Idempotent", "true"), ("Aspenrail-Deadline-Ms", "999999")],
            "b".into(),
            400,
            "deadline_out_of_range",
        ),
        (
            "deadline is no number",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Aspenrail-Deadline-Ms", "soon")],
            "b".into(),
            400,
            "bad_request",
        ),
        (
            "idempotent is no truth",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Aspenrail-Idempotent", "maybe")],
            "b".into(),
            400,
            "bad_request",
        ),
        (
            "not idempotent without a key",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![],
            "b".into(),
            400,
            "bad_request",
        ),
        (
            "key too long",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Idempotency-Key", &long)],
            "b".into(),
            413,
            "payload_too_large",
        ),
        (
            "body too large",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            quick.to_vec(),
            "b".repeat(2 << 20),
            413,
            "payload_too_large",
        ),
        (
            "no such watch",
            caller,
            "GET",
            "/v1/watches/5",
            team,
            vec![],
            String::new(),
            404,
            "not_found",
        ),
        (
            "team's token at the operators' edge",
            admin,
            "GET",
            "/v1/admin/status",
            team,
            vec![],
            String::new(),
            401,
            "unauthenticated",
        ),
        (
            "unknown view",
            admin,
            "GET",
            "/v1/admin/secrets",
            operator,
            vec![],
            String::new(),
            404,
            "not_found",
        ),
        (
            "change of an old revision",
            admin,
            "POST",
            "/v1/admin/configuration",
            operator,
            vec![],
            change(1, json!({"DeleteTeam": "demo"})),
            409,
            "revision_conflict",
        ),
        (
            "change of nothing known",
            admin,
            "POST",
            "/v1/admin/configuration",
            operator,
            vec![],
            change(1, json!({"Reboot": 1})),
            400,
            "bad_request",
        ),
        (
            "class without a target",
            admin,
            "POST",
            "/v1/admin/configuration",
            operator,
            vec![],
            change(0, class),
            409,
            "revision_conflict",
        ),
        (
            "drain of no VM",
            admin,
            "POST",
            "/v1/admin/drain",
            operator,
            vec![],
            r#"{"vm_name":"x","draining":true}"#.into(),
            404,
            "not_found",
        ),
        (
            "promotion of no learner",
            admin,
            "POST",
            "/v1/admin/members",
            operator,
            vec![],
            r#"{"Promote":9}"#.into(),
            409,
            "membership_unsafe",
        ),
        (
            "announcement without slots",
            local,
            "POST",
            "/v1/announce",
            "",
            vec![],
            r#"{"class":"q","address":"127.0.0.1:1","slots":0,"connections":1}"#.into(),
            400,
            "bad_request",
        ),
        (
            "announcement of no address",
            local,
            "POST",
            "/v1/announce",
            "",
            vec![],
            r#"{"class":"q","address":"here","slots":1,"connections":1}"#.into(),
            400,
            "bad_request",
        ),
        (
            "leave of nobody",
            local,
            "POST",
            "/v1/leave",
            "",
            vec![],
            r#"{"address":"127.0.0.1:1"}"#.into(),
            404,
            "not_found",
        ),
    ];
    for (name, edge, method, path, token, headers, body, status, kind) in table {
        let before = counter(edge, kind);
        let mut request =
            ureq::http::Request::builder().method(method).uri(format!("http://{edge}{path}"));
        for (header, value) in headers {
            request = request.header(header, value);
        }
        if !token.is_empty() {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        let mut response = new_client(1).run(request.body(body).unwrap()).unwrap();
        let answer: Value = response.body_mut().read_json().unwrap();
        assert_eq!(
            (response.status().as_u16(), answer["error"].as_str()),
            (status, Some(kind)),
            "{name}: {answer}"
        );
        assert_eq!(answer["ran"], "no", "{name}: {answer}");
        assert!(!answer["detail"].as_str().unwrap().is_empty(), "{name}");
        assert_eq!(counter(edge, kind), before + 1, "{name}: the counter moves");
    }
}

/// Returns how often a process refused a kind.
fn counter(edge: std::net::SocketAddr, kind: &str) -> u64 {
    let mut response = new_client(1).get(format!("http://{edge}/metrics")).call().unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let line = format!("aspenrail_refusals_total{{kind=\"{kind}\"}} ");
    text.lines().find_map(|it| it.strip_prefix(&line)?.parse().ok()).unwrap()
}

/// A write that fails ends the process: it must not go on as if it had succeeded.
#[test]
fn failed_write_ends_the_process_and_loses_nothing_acknowledged() {
    let mut cluster = Cluster::start(Counts { controls: 1, entries: 0, agents: 0 });
    let file = cluster.layout.control_files[0].clone();
    cluster.kill(&file);
    // Files of more than 64 KiB fail to grow, with the signal that would come with it ignored.
    let limited = format!(
        "trap '' XFSZ; ulimit -f 64; exec {} run {}",
        env!("CARGO_BIN_EXE_aspenrail"),
        file.display()
    );
    let child =
        Command::new("bash").args(["-c", &limited]).env("ASPENRAIL_LOG", "off").spawn().unwrap();
    cluster.processes.insert(file.clone(), child);
    let mut revision = wait_until("control is back", || {
        cluster.admin("status", None)?["accepted_revision"].as_u64()
    });
    let mut number = 0;
    let code = wait_until("the process ends", || {
        number += 1;
        let change = json!({"DeleteTeam": format!("none-{number}-{}", "x".repeat(2_000))});
        let team = json!({"PutTeam": {
            "name": format!("team-{}-{}", number % 3, "x".repeat(2_000)), "jobs_open_max": number,
            "quota": {"cpu_millicores": 1, "memory_mib": 1, "accelerators": 0}, "requests_in_flight_max": 1,
        }});
        let change = if number % 10 == 0 { change } else { team };
        let body = json!({"based_on": revision, "key": format!("k-{number}"), "change": change});
        if let Some(answer) = cluster.admin("configuration", Some(&body)) {
            revision = answer["revision"].as_u64().unwrap();
        }
        cluster.processes.get_mut(&file).unwrap().try_wait().unwrap()
    });
    assert_eq!(code.code(), Some(1));
    cluster.spawn(&file);
    let status = wait_until("control is back", || cluster.admin("status", None));
    assert!(revision <= status["accepted_revision"].as_u64().unwrap());
}

/// What idle processes cost; prints processor time, memory and bytes a second by role.
#[test]
#[ignore = "measures for a minute: run it by hand, with --release and --nocapture"]
fn idle_costs() {
    let cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 6 });
    thread::sleep(Duration::from_secs(5));
    let roles = [
        ("control", &cluster.layout.control_files, &cluster.layout.admins),
        ("entry", &cluster.layout.entry_files, &cluster.layout.callers),
    ];
    let locals: Vec<_> = cluster.layout.vms.iter().map(|it| it.local).collect();
    let all: Vec<_> =
        roles.into_iter().chain([("agent", &cluster.layout.agent_files, &locals)]).collect();
    let read = |file: &PathBuf, edge: std::net::SocketAddr| {
        let pid = cluster.processes[file].id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line =
            status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap().trim().to_owned();
        let sent = metric(edge, "aspenrail_link_sent_bytes_total");
        let received = metric(edge, "aspenrail_link_received_bytes_total");
        (ticks, line, sent + received)
    };
    let seconds = 40;
    let before: Vec<_> = all
        .iter()
        .map(|(_, files, edges)| {
            files.iter().zip(*edges).map(|(f, e)| read(f, *e)).collect::<Vec<_>>()
        })
        .collect();
    thread::sleep(Duration::from_secs(seconds));
    for ((role, files, edges), before) in all.iter().zip(&before) {
        for ((file, edge), (ticks, _, bytes)) in files.iter().zip(*edges).zip(before) {
            let (ticks_after, resident, bytes_after) = read(file, *edge);
            let core_percent = (ticks_after - ticks) as f64 / seconds as f64;
            let rate = (bytes_after - bytes) / seconds;
            println!(
                "{role}: {core_percent:.2} % of a core, {resident} resident, {rate} bytes/s sent and received"
            );
        }
    }
}

fn metric(edge: std::net::SocketAddr, name: &str) -> u64 {
    let mut response = new_client(1).get(format!("http://{edge}/metrics")).call().unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let value = text.lines().find_map(|it| it.strip_prefix(&format!("{name} "))?.parse().ok());
    value.unwrap()
}
