//! The processes of one installation on loopback, each behind a proxy, and faults of these.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use aspenrail::{http::client::new_client, standin::layout::free_addresses};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

use crate::{
    operator::configuration,
    proxy::{Mode, Proxy},
    workers::Workers,
};

/// Longest wait for a step of the test itself.
const STEP_MAX: Duration = Duration::from_secs(60);

/// Settings key that moves the wall clock of a process.
const CLOCK_KEY: &str = "clock_ahead_ms";

/// How many processes of each role there are.
#[derive(Clone, Copy, Debug)]
pub struct SiteSize {
    pub controls: usize,
    pub entries: usize,
    pub nodes: usize,
}

impl SiteSize {
    pub const SMALL: SiteSize = SiteSize { controls: 3, entries: 2, nodes: 5 };
    pub const LARGE: SiteSize = SiteSize { controls: 5, entries: 4, nodes: 40 };
    pub const LARGEST: SiteSize = SiteSize { controls: 5, entries: 6, nodes: 200 };
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Control,
    Entry,
    Node,
}

/// One process, across its restarts.
pub struct Process {
    pub role: Role,
    name: String,
    settings: PathBuf,
    child: Option<Child>,
    pub proxy: Proxy,
    is_frozen: bool,
    /// Whether the test caused its end.
    has_expected_end: bool,
}

/// An installation; dropping it ends its processes.
pub struct Site {
    pub processes: Vec<Process>,
    pub workers: Workers,
    pub entry_addresses: Vec<SocketAddr>,
    pub operator_addresses: Vec<SocketAddr>,
    unexpected_exits: Vec<String>,
    _folder: tempfile::TempDir,
}

impl Site {
    pub fn start(seed: u64, size: SiteSize) -> Site {
        let folder = tempfile::tempdir().unwrap();
        let SiteSize { controls, entries, nodes } = size;
        let mut free = free_addresses(controls * 3 + entries * 5 + nodes * 5).unwrap().into_iter();
        let mut next = || process_address(free.next().unwrap());
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
            let (child, is_frozen, has_expected_end) = (None, false, false);
            res.push(Process { role, name, settings, child, proxy, is_frozen, has_expected_end });
        };
        let mut operator_addresses = Vec::new();
        for (index, link) in links.iter().enumerate() {
            let data = folder.path().join(format!("data-{index}"));
            fs::create_dir(&data).unwrap();
            let operator_address = next();
            operator_addresses.push(operator_address);
            let section = format!(
                "[gateway]\nlisten = {operator_address}\n[dispatch]\ndata_folder = {}\nfirst_start = 1\nlosses_tolerated = {}\nfree_min_bytes = 0\n",
                data.display(),
                controls / 2
            );
            add(Role::Control, format!("control-{index}"), *link, next(), &section);
        }
        let mut entry_addresses = Vec::new();
        for index in 0..entries {
            let entry_address = next();
            entry_addresses.push(entry_address);
            let section = format!(
                "[gateway]\nlisten = {entry_address}\nreadiness_listen = {}\nmetrics_listen = {}\n",
                next(),
                next()
            );
            add(Role::Entry, format!("entry-{index}"), next(), next(), &section);
        }
        let mut worker_places = Vec::new();
        for index in 0..nodes {
            let (listen, worker) = (next(), next());
            worker_places.push((worker, listen));
            let section = format!(
                "[node]\nlisten = {listen}\nworker = {worker}\nhold_wait_ms = 20\nmetrics_listen = {}\n",
                next()
            );
            add(Role::Node, format!("node-{index}"), next(), next(), &section);
        }
        let workers = Workers::start(seed, &worker_places);
        let unexpected_exits = Vec::new();
        let mut site = Site {
            processes: res,
            workers,
            entry_addresses,
            operator_addresses,
            unexpected_exits,
            _folder: folder,
        };
        (0..site.processes.len()).for_each(|index| site.spawn(index));
        site.install();
        site
    }

    /// Returns the indexes of the processes of a role.
    pub fn indexes_of(&self, role: Role) -> Vec<usize> {
        (0..self.processes.len()).filter(|it| self.processes[*it].role == role).collect()
    }

    fn spawn(&mut self, index: usize) {
        let process = &mut self.processes[index];
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
        process.has_expected_end = false;
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.processes[index].child {
            // Fails for a process that has just ended, which `restart_ended` notices.
            let _ = kill_process(Pid::from_raw(child.id() as i32).unwrap(), signal);
        }
    }

    pub fn freeze(&mut self, index: usize) {
        self.processes[index].is_frozen = true;
        self.signal(index, Signal::STOP);
    }

    pub fn thaw(&mut self, index: usize) {
        self.processes[index].is_frozen = false;
        self.signal(index, Signal::CONT);
    }

    pub fn kill(&mut self, index: usize) {
        self.processes[index].has_expected_end = true;
        self.signal(index, Signal::KILL);
    }

    /// Asks a process to stop; it ends by itself.
    pub fn stop(&mut self, index: usize) {
        self.processes[index].has_expected_end = true;
        self.thaw(index);
        self.signal(index, Signal::TERM);
    }

    /// Asks a process to read its settings again.
    pub fn reload(&self, index: usize) {
        self.signal(index, Signal::HUP);
    }

    /// Sets whether writes of a process that make a file longer fail.
    pub fn set_refuses_writes(&self, index: usize, refuses: bool) {
        let Some(child) = &self.processes[index].child else { return };
        let pid = Pid::from_raw(child.id() as i32);
        let current = refuses.then_some(0);
        // Fails for a process that has just ended; the next one starts without the limit.
        let _ = prlimit(pid, Resource::Fsize, Rlimit { current, maximum: None });
    }

    /// Sets how far the wall clock of a process is ahead, so that it jumps.
    pub fn set_clock_ahead(&self, index: usize, ahead_ms: u32) {
        let process = &self.processes[index];
        let text = fs::read_to_string(&process.settings).unwrap();
        let rest = text.lines().filter(|it| !it.starts_with(CLOCK_KEY));
        let clock = format!("{CLOCK_KEY} = {ahead_ms}");
        let lines = rest.flat_map(|it| match it {
            "[process]" => vec![it, clock.as_str()],
            it => vec![it],
        });
        let lines: Vec<_> = lines.collect();
        fs::write(&process.settings, lines.join("\n")).unwrap();
        self.signal(index, Signal::HUP);
    }

    /// Restarts the processes that ended, and records those that ended by themselves.
    pub fn restart_ended(&mut self) {
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            let Some(status) = process.child.as_mut().and_then(|it| it.try_wait().unwrap()) else {
                continue;
            };
            if !process.has_expected_end {
                self.unexpected_exits.push(format!("{} ended by itself: {status}", process.name));
            }
            process.is_frozen = false;
            self.spawn(index);
        }
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.workers.set_late_percent(0);
        for index in 0..self.processes.len() {
            self.processes[index].proxy.set_mode(Mode::Forward);
            self.thaw(index);
            self.set_refuses_writes(index, false);
        }
        // A process that was asked to stop may take a while.
        let began = Instant::now();
        while self.processes.iter().any(|it| it.has_expected_end) {
            assert!(
                began.elapsed() < STEP_MAX,
                "a process that was asked to stop has not ended within 60 s"
            );
            std::thread::sleep(Duration::from_millis(10));
            self.restart_ended();
        }
        self.restart_ended();
    }

    pub fn unexpected_ends(&self) -> Vec<String> {
        self.unexpected_exits.clone()
    }

    fn install(&self) {
        let client = new_client(1);
        let host = self.entry_addresses[0].ip().to_string();
        let body = configuration(1, &host);
        let began = Instant::now();
        let url = format!("http://{}/-/config", self.operator_addresses[0]);
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
            // Fails where the process has ended already, which is the aim.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a loopback address derived from the process id, so that soak tests that run at the same
/// time do not collide.
fn process_address(address: SocketAddr) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 1 + (high & 63), middle, low], address.port()))
}

/// Returns status and body of the answer to a call, or `None` if no answer came.
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
