//! Processes of the binary on loopback, with settings like those of the templates in deploy/.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use aspenrail::{http::client::new_client, standin::layout::free_addresses};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};

use crate::executor::Executor;

/// Number of last lines of each process's log that a failed test prints.
const LOG_LINES_MAX: usize = 300;

/// Far longer than any step of a test takes.
const STEP_MAX: Duration = Duration::from_secs(60);

/// Further lines of the settings files, by section; each ends with a line break.
#[derive(Clone, Copy, Default)]
pub struct SettingsLines {
    /// In the `[process]` section of the entry and of the control processes.
    pub process: &'static str,
    /// In the `[process]` section of the node.
    pub node_process: &'static str,
    /// In the `[link]` section of every process.
    pub link: &'static str,
    /// In the `[gateway]` section of the entry and of the control processes.
    pub gateway: &'static str,
    pub dispatch: &'static str,
}

/// A process of an installation.
#[derive(Clone, Copy, Debug)]
pub enum ProcessKind {
    Entry,
    Node,
    /// The first control process.
    Control,
}

/// An installation; dropping it ends its processes.
pub struct Installation {
    pub executor: Executor,
    pub front: SocketAddr,
    pub node_listen: SocketAddr,
    pub node_metrics: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub control: SocketAddr,
    pub entry_link: SocketAddr,
    control_files: Vec<PathBuf>,
    controls: Vec<Child>,
    entry: Child,
    /// The second entry, which runs only where a test starts it.
    second_entry_file: PathBuf,
    pub second_front: SocketAddr,
    second_entry: Option<Child>,
    node: Child,
    is_over: Arc<AtomicBool>,
    client: ureq::Agent,
    _folder: tempfile::TempDir,
}

impl Installation {
    pub fn start(members: usize) -> Installation {
        Installation::start_with(members, SettingsLines::default())
    }

    /// Starts an installation whose settings have further lines.
    pub fn start_with(members: usize, lines: SettingsLines) -> Installation {
        let folder = tempfile::tempdir().unwrap();
        let addresses = free_addresses(members * 2 + 12).unwrap();
        let links = &addresses[..members];
        let seeds = links.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        let head = |name: &str, roles: &str, link: SocketAddr| {
            let process = if roles == "node" { lines.node_process } else { lines.process };
            format!(
                "[process]\nname = {name}\nroles = {roles}\nzone = z\n{process}[link]\nlisten = {link}\ncontrol = {seeds}\n{}",
                lines.link
            )
        };
        let [front, readiness, metrics, entry_link, node_link, node_listen, worker, node_metrics] =
            addresses[members * 2..members * 2 + 8]
        else {
            unreachable!()
        };
        let [second_front, second_readiness, second_metrics, second_link] =
            addresses[members * 2 + 8..]
        else {
            unreachable!()
        };
        let control_files: Vec<_> = (0..members)
            .map(|at| {
                let data = folder.path().join(format!("data-{at}"));
                fs::create_dir(&data).unwrap();
                let text = format!(
                    "{}[gateway]\nlisten = {}\n{}[dispatch]\ndata_folder = {}\nfirst_start = 1\nlosses_tolerated = {}\nfree_min_bytes = 0\n{}",
                    head(&format!("control-{at}"), "gateway, dispatch", links[at]),
                    addresses[members + at],
                    lines.gateway,
                    data.display(),
                    members / 2,
                    lines.dispatch,
                );
                write(folder.path(), &format!("control-{at}.ini"), &text)
            })
            .collect();
        let entry_text = |name, link, front, readiness, metrics| {
            format!(
                "{}[gateway]\nlisten = {front}\nreadiness_listen = {readiness}\nmetrics_listen = {metrics}\n{}",
                head(name, "gateway", link),
                lines.gateway
            )
        };
        let entry = entry_text("entry", entry_link, front, readiness, metrics);
        let second_entry =
            entry_text("entry-2", second_link, second_front, second_readiness, second_metrics);
        let node = format!(
            "{}[node]\nlisten = {node_listen}\nworker = {worker}\nhold_wait_ms = 20\nmetrics_listen = {node_metrics}\n",
            head("node", "node", node_link)
        );
        let controls = control_files.iter().map(|it| spawn(it)).collect();
        let entry = spawn(&write(folder.path(), "entry.ini", &entry));
        let node = spawn(&write(folder.path(), "node.ini", &node));
        let executor = Executor::start(worker);
        let res = Installation {
            executor,
            front,
            node_listen,
            node_metrics,
            readiness,
            metrics,
            control: addresses[members],
            entry_link,
            control_files,
            controls,
            entry,
            second_entry_file: write(folder.path(), "entry-2.ini", &second_entry),
            second_front,
            second_entry: None,
            node,
            is_over: Arc::default(),
            client: new_client(4),
            _folder: folder,
        };
        res.announce(node_listen);
        wait("the entry to be ready", || res.readiness() == 200);
        res
    }

    /// Starts the second entry, and waits until it serves.
    pub fn start_second_entry(&mut self) {
        self.second_entry = Some(spawn(&self.second_entry_file));
        wait("the second entry to serve", || {
            self.second_client("GET", "/q/", &Value::Null).0 == 200
        });
    }

    /// Calls the second entry.
    pub fn second_client(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        self.call(self.second_front, method, path, body)
    }

    /// Stops the first entry with SIGSTOP.
    pub fn freeze_entry(&self) {
        kill_process(Pid::from_raw(self.entry.id() as i32).unwrap(), Signal::STOP).unwrap();
    }

    pub fn thaw_entry(&self) {
        kill_process(Pid::from_raw(self.entry.id() as i32).unwrap(), Signal::CONT).unwrap();
    }

    /// Sends the executor's reports to the node until the installation is dropped.
    fn announce(&self, node: SocketAddr) {
        let (is_over, executor) = (self.is_over.clone(), self.executor.clone());
        thread::spawn(move || {
            let client = new_client(1);
            while !is_over.load(Ordering::Relaxed) {
                // Fails while the node is not up yet; the next report follows.
                let _ = client
                    .put(format!("http://{node}/-/instances/{}", executor.name()))
                    .send_json(executor.report());
                thread::sleep(Duration::from_millis(200));
            }
        });
    }

    pub fn config(&self, version: u64, service: &str, timeout_ms: u64) -> Value {
        json!({"version": version, "services": [{"name": "pool"}], "limits": {},
            "routes": [{"name": "q", "host": self.front.ip().to_string(), "path_prefix": "/q/",
                "service": service, "timeout_ms": timeout_ms, "max_attempts": 3, "stretch": 1.5,
                "target_completion_ms": 250, "priority": 0}]})
    }

    pub fn install(&self, version: u64) {
        let body = self.config(version, "pool", 3_000);
        wait("a configuration to be accepted", || {
            self.operator("PUT", "/-/config", &body).0 == 200
        });
    }

    pub fn client(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        self.call(self.front, method, path, body)
    }

    pub fn operator(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        self.call(self.control, method, path, body)
    }

    /// Sends an order as operators do: again, unchanged, while its outcome is unknown (504) or no
    /// leader is elected (503). Returns the status of the first other answer.
    pub fn order(&self, method: &str, path: &str) -> u16 {
        self.order_with(method, path, &Value::Null)
    }

    /// Sends an order with a body, like [`Installation::order`].
    pub fn order_with(&self, method: &str, path: &str, body: &Value) -> u16 {
        let mut status = 0;
        wait("an answer to an order", || {
            status = self.operator(method, path, body).0;
            !matches!(status, 503 | 504)
        });
        status
    }

    /// Returns the answer to a request of a client, which is repeated like an order.
    pub fn settled(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let mut answer = (0, Value::Null);
        wait("an answer to a client", || {
            answer = self.client(method, path, body);
            !matches!(answer.0, 503 | 504)
        });
        answer
    }

    /// Returns the state of a workflow.
    pub fn state(&self, path: &str) -> (u16, Value) {
        self.settled("GET", path, &Value::Null)
    }

    /// Sends `body` to the node as a report of an executor; returns the status of the answer.
    pub fn report(&self, name: &str, body: &[u8]) -> u16 {
        let uri = format!("http://{}/-/instances/{name}", self.node_listen);
        let request = http::Request::builder().method("PUT").uri(uri).body(body);
        self.client.run(request.unwrap()).map_or(0, |it| it.status().as_u16())
    }

    /// Returns the count of reports that the node has ignored.
    pub fn ignored_reports(&self) -> u64 {
        let url = format!("http://{}/metrics", self.node_metrics);
        let text = self.client.get(url).call().unwrap().body_mut().read_to_string().unwrap();
        let counts =
            text.lines().filter(|it| it.starts_with("aspenrail_announcements_passed_over"));
        counts.filter_map(|it| it.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }

    pub fn readiness(&self) -> u16 {
        self.call(self.readiness, "GET", "/-/readyz", &Value::Null).0
    }

    pub fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.metrics);
        self.client.get(url).call().unwrap().body_mut().read_to_string().unwrap()
    }

    fn call(&self, to: SocketAddr, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let text = if body.is_null() { String::new() } else { body.to_string() };
        let request =
            http::Request::builder().method(method).uri(format!("http://{to}{path}")).body(text);
        match self.client.run(request.unwrap()) {
            Ok(mut it) => {
                let text = it.body_mut().read_to_string().unwrap_or_default();
                (it.status().as_u16(), serde_json::from_str(&text).unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Runs an operator's command of the binary; returns what it prints.
    pub fn command(&self, command: &str) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_aspenrail"))
            .args([command, "--control", &self.control.to_string()])
            .env("ASPENRAIL_TOKEN", "none")
            .output()
            .unwrap();
        String::from_utf8(output.stdout).unwrap()
    }

    pub fn wait_for(&self, path: &str, state: &str) {
        wait(state, || self.client("GET", path, &Value::Null) == (200, json!({"state": state})));
    }

    pub fn restart_control(&mut self) {
        for child in &mut self.controls {
            child.kill().unwrap();
            child.wait().unwrap();
        }
        self.controls = self.control_files.iter().map(|it| spawn(it)).collect();
    }

    /// Stops all control processes with SIGSTOP; they end with the installation.
    pub fn freeze_control(&self) {
        for child in &self.controls {
            kill_process(Pid::from_raw(child.id() as i32).unwrap(), Signal::STOP).unwrap();
        }
    }

    /// Sets whether writes of the control processes that make a file longer fail.
    pub fn set_control_refuses_writes(&self, refuses: bool) {
        let limit = Rlimit { current: refuses.then_some(0), maximum: None };
        for child in &self.controls {
            prlimit(Pid::from_raw(child.id() as i32), Resource::Fsize, limit).unwrap();
        }
    }

    /// Lets all control processes go on after a SIGSTOP.
    pub fn thaw_control(&self) {
        for child in &self.controls {
            kill_process(Pid::from_raw(child.id() as i32).unwrap(), Signal::CONT).unwrap();
        }
    }

    /// Returns whether a process runs.
    pub fn runs(&mut self, kind: ProcessKind) -> bool {
        let child = match kind {
            ProcessKind::Entry => &mut self.entry,
            ProcessKind::Node => &mut self.node,
            ProcessKind::Control => &mut self.controls[0],
        };
        child.try_wait().unwrap().is_none()
    }

    /// Returns the folder under `/proc` of a process.
    pub fn proc_folder(&self, kind: ProcessKind) -> PathBuf {
        let child = match kind {
            ProcessKind::Entry => &self.entry,
            ProcessKind::Node => &self.node,
            ProcessKind::Control => &self.controls[0],
        };
        PathBuf::from(format!("/proc/{}", child.id()))
    }

    /// Returns whether all control processes run.
    pub fn control_runs(&mut self) -> bool {
        self.controls.iter_mut().all(|it| it.try_wait().unwrap().is_none())
    }

    /// Stops the node process with SIGSTOP.
    pub fn freeze_node(&self) {
        kill_process(Pid::from_raw(self.node.id() as i32).unwrap(), Signal::STOP).unwrap();
    }

    pub fn thaw_node(&self) {
        kill_process(Pid::from_raw(self.node.id() as i32).unwrap(), Signal::CONT).unwrap();
    }

    pub fn signal_entry(&self) {
        let id = Pid::from_raw(self.entry.id() as i32).unwrap();
        kill_process(id, Signal::TERM).unwrap();
    }

    pub fn wait_until_unready(&self) {
        wait("the entry to be unready", || self.readiness() != 200);
    }

    pub fn entry_exit_code(&mut self) -> Option<i32> {
        self.entry.wait().unwrap().code()
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let others = [&mut self.entry, &mut self.node].into_iter().chain(&mut self.second_entry);
        for child in self.controls.iter_mut().chain(others) {
            // Fails where the process has ended already, which is the aim.
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            print_logs(self._folder.path());
        }
    }
}

/// Prints the last lines of all logs in a folder.
fn print_logs(folder: &Path) {
    let paths = fs::read_dir(folder).into_iter().flatten().flatten().map(|it| it.path());
    for path in paths.filter(|it| it.extension().is_some_and(|it| it == LOG_EXTENSION)) {
        let text = fs::read_to_string(&path).unwrap_or_default();
        let skipped = text.lines().count().saturating_sub(LOG_LINES_MAX);
        println!("{}:", path.display());
        text.lines().skip(skipped).for_each(|it| println!("{it}"));
    }
}

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    fs::write(&path, text).unwrap();
    path
}

const LOG_EXTENSION: &str = "log";

/// Starts a process, whose log is added to a file beside its settings.
fn spawn(settings: &Path) -> Child {
    let log = settings.with_extension(LOG_EXTENSION);
    let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_aspenrail"))
        .arg("serve")
        .env("ASPENRAIL_SETTINGS", settings)
        .stdout(Stdio::from(log))
        .spawn()
        .unwrap()
}

pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < STEP_MAX, "timed out after 60 s while waiting for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
