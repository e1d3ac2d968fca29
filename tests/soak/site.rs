//! The processes of one installation on loopback, each behind a proxy, and what is done to them.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use aspenrail::{http::client::new_client, standin::layout::free_addresses};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};

use crate::{
    proxy::{Mode, Proxy},
    workers::{ATTEMPTS_MAX, Workers},
};

/// Longest wait for a step of the test itself.
const STEP_MAX: Duration = Duration::from_secs(60);

/// Setting that lets the time of day of a process jump.
const CLOCK_KEY: &str = "clock_ahead_ms";

/// How many processes of each role there are.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub controls: usize,
    pub entries: usize,
    pub nodes: usize,
}

impl Shape {
    pub const SMALL: Shape = Shape { controls: 3, entries: 2, nodes: 5 };
    pub const LARGE: Shape = Shape { controls: 5, entries: 4, nodes: 40 };
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Control,
    Entry,
    Node,
}

/// One process, over all its runs.
pub struct Process {
    pub role: Role,
    name: String,
    settings: PathBuf,
    child: Option<Child>,
    pub proxy: Proxy,
    is_frozen: bool,
    /// Whether its end was brought about.
    is_ended: bool,
}

/// An installation; its processes end with it.
pub struct Site {
    pub processes: Vec<Process>,
    pub workers: Workers,
    pub fronts: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    unexpected: Vec<String>,
    _folder: tempfile::TempDir,
}

impl Site {
    pub fn start(seed: u64, shape: Shape) -> Site {
        let folder = tempfile::tempdir().unwrap();
        let Shape { controls, entries, nodes } = shape;
        let mut free = free_addresses(controls * 3 + entries * 5 + nodes * 5).unwrap().into_iter();
        let mut next = || own_address(free.next().unwrap());
        let links: Vec<_> = (0..controls).map(|_| next()).collect();
        let seeds = links.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        let mut res = Vec::new();
        let mut add = |role, name: String, link: SocketAddr, bound: SocketAddr, section: &str| {
            let roles = match role {
                Role::Control => "gateway, dispatch",
                Role::Entry => "gateway",
                Role::Node => "node",
            };
            let text = format!(
                "[process]\nname = {name}\nroles = {roles}\nzone = z\n[link]\nlisten = {link}\nbind_port = {}\ncontrol = {seeds}\n{section}",
                bound.port()
            );
            let settings = folder.path().join(format!("{name}.ini"));
            fs::write(&settings, text).unwrap();
            let proxy = Proxy::start(link, bound);
            let (child, is_frozen, is_ended) = (None, false, false);
            res.push(Process { role, name, settings, child, proxy, is_frozen, is_ended });
        };
        let mut operators = Vec::new();
        for (at, link) in links.iter().enumerate() {
            let data = folder.path().join(format!("data-{at}"));
            fs::create_dir(&data).unwrap();
            let operator = next();
            operators.push(operator);
            let section = format!(
                "[gateway]\nlisten = {operator}\n[dispatch]\ndata_folder = {}\nfirst_start = 1\nlosses_tolerated = {}\nfree_min_bytes = 0\n",
                data.display(),
                controls / 2
            );
            add(Role::Control, format!("control-{at}"), *link, next(), &section);
        }
        let mut fronts = Vec::new();
        for at in 0..entries {
            let front = next();
            fronts.push(front);
            let section = format!(
                "[gateway]\nlisten = {front}\nreadiness_listen = {}\nmetrics_listen = {}\n",
                next(),
                next()
            );
            add(Role::Entry, format!("entry-{at}"), next(), next(), &section);
        }
        let mut places = Vec::new();
        for at in 0..nodes {
            let (listen, worker) = (next(), next());
            places.push((worker, listen));
            let section = format!(
                "[node]\nlisten = {listen}\nworker = {worker}\nhold_wait_ms = 20\nmetrics_listen = {}\n",
                next()
            );
            add(Role::Node, format!("node-{at}"), next(), next(), &section);
        }
        let workers = Workers::start(seed, &places);
        let unexpected = Vec::new();
        let mut site =
            Site { processes: res, workers, fronts, operators, unexpected, _folder: folder };
        (0..site.processes.len()).for_each(|at| site.spawn(at));
        site.install();
        site
    }

    /// Returns the numbers of the processes of a role.
    pub fn of(&self, role: Role) -> Vec<usize> {
        (0..self.processes.len()).filter(|it| self.processes[*it].role == role).collect()
    }

    fn spawn(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let output = match std::env::var_os("ASPENRAIL_SOAK_LOGS") {
            Some(folder) => {
                let path = PathBuf::from(folder).join(format!("{}.log", process.name));
                Stdio::from(fs::OpenOptions::new().create(true).append(true).open(path).unwrap())
            }
            None => Stdio::null(),
        };
        let child = Command::new(env!("CARGO_BIN_EXE_aspenrail"))
            .arg("serve")
            .env("ASPENRAIL_SETTINGS", &process.settings)
            .stdout(output)
            .spawn()
            .unwrap();
        process.child = Some(child);
        process.is_ended = false;
    }

    fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.processes[at].child {
            // A process that has just ended is noticed by its owner.
            let _ = kill_process(Pid::from_raw(child.id() as i32).unwrap(), signal);
        }
    }

    pub fn freeze(&mut self, at: usize) {
        self.processes[at].is_frozen = true;
        self.signal(at, Signal::STOP);
    }

    pub fn thaw(&mut self, at: usize) {
        self.processes[at].is_frozen = false;
        self.signal(at, Signal::CONT);
    }

    pub fn kill(&mut self, at: usize) {
        self.processes[at].is_ended = true;
        self.signal(at, Signal::KILL);
    }

    /// Asks a process to stop; it ends by itself.
    pub fn stop(&mut self, at: usize) {
        self.processes[at].is_ended = true;
        self.thaw(at);
        self.signal(at, Signal::TERM);
    }

    /// Lets the disk of a process refuse whatever makes a file longer, or take it again.
    pub fn set_refuses_writes(&self, at: usize, refuses: bool) {
        let Some(child) = &self.processes[at].child else { return };
        let pid = Pid::from_raw(child.id() as i32);
        let current = refuses.then_some(0);
        // Fails for a process that has just ended; the next one starts without the limit.
        let _ = prlimit(pid, Resource::Fsize, Rlimit { current, maximum: None });
    }

    /// Lets the time of day of a process jump.
    pub fn set_clock_ahead(&self, at: usize, ahead_ms: u32) {
        let process = &self.processes[at];
        let text = fs::read_to_string(&process.settings).unwrap();
        let rest = text.lines().filter(|it| !it.starts_with(CLOCK_KEY));
        let clock = format!("{CLOCK_KEY} = {ahead_ms}");
        let lines = rest.flat_map(|it| match it {
            "[process]" => vec![it, clock.as_str()],
            it => vec![it],
        });
        let lines: Vec<_> = lines.collect();
        fs::write(&process.settings, lines.join("\n")).unwrap();
        self.signal(at, Signal::HUP);
    }

    /// Starts what has ended, and notes what ended unasked.
    pub fn restart_ended(&mut self) {
        for at in 0..self.processes.len() {
            let process = &mut self.processes[at];
            let Some(status) = process.child.as_mut().and_then(|it| it.try_wait().unwrap()) else {
                continue;
            };
            if !process.is_ended {
                self.unexpected.push(format!("{} ended by itself: {status}", process.name));
            }
            process.is_frozen = false;
            self.spawn(at);
        }
    }

    /// Ends all faults.
    pub fn calm(&mut self) {
        self.workers.set_late_percent(0);
        for at in 0..self.processes.len() {
            self.processes[at].proxy.set(Mode::Pass);
            self.thaw(at);
            self.set_refuses_writes(at, false);
        }
        // What was asked to stop may take its time over it.
        let began = Instant::now();
        while self.processes.iter().any(|it| it.is_ended) {
            assert!(began.elapsed() < STEP_MAX, "a process that was told to end did not");
            std::thread::sleep(Duration::from_millis(10));
            self.restart_ended();
        }
        self.restart_ended();
    }

    pub fn unexpected_ends(&self) -> Vec<String> {
        self.unexpected.clone()
    }

    fn install(&self) {
        let client = new_client(1);
        let host = self.fronts[0].ip().to_string();
        let body = json!({"version": 1, "services": [{"name": "pool"}], "limits": {},
            "routes": [{"name": "q", "host": host, "path_prefix": "/q/", "service": "pool",
                "timeout_ms": 3_000, "max_attempts": ATTEMPTS_MAX, "stretch": 1.5,
                "target_completion_ms": 250, "priority": 0}]});
        let began = Instant::now();
        let url = format!("http://{}/-/config", self.operators[0]);
        while client.put(&url).send_json(&body).map_or(0, |it| it.status().as_u16()) != 200 {
            assert!(began.elapsed() < STEP_MAX, "no configuration was accepted");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.workers.stop();
        for child in self.processes.iter_mut().filter_map(|it| it.child.as_mut()) {
            // One that has ended already is what was wanted.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns an address of this process alone, so that soaks at the same time do not meet.
fn own_address(it: SocketAddr) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 1 + (high & 63), middle, low], it.port()))
}

/// Returns the answer to a call, or nothing where none came.
pub fn call(
    client: &ureq::Agent,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let text = if body.is_null() { String::new() } else { body.to_string() };
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("Host", to.ip().to_string())
        .header("X-Aspenrail-Deadline-Ms", "3000")
        .body(text)
        .unwrap();
    let mut answer = client.run(request).ok()?;
    let text = answer.body_mut().read_to_string().ok()?;
    let value = serde_json::from_str(&text).unwrap_or(Value::Null);
    Some((answer.status().as_u16(), value))
}
