//! A small deployment: three control processes, one entry, and one node beside each executor.
//!
//! Each process is `target/release/aspenrail serve`, the command of the deploy file, with the settings
//! that the templates in deploy/ give it. Each machine has a loopback address of its own.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{executor::Executor, http, record::note};

const HOST: &str = "queues.example";

pub struct Deployment {
    folder: PathBuf,
    controls: Vec<Child>,
    others: Vec<Child>,
    control_files: Vec<PathBuf>,
    control_gateways: Vec<SocketAddr>,
    front: SocketAddr,
    pub executors: Vec<Executor>,
}

/// Why a case could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl Deployment {
    /// Starts all processes and executors, and waits until the entry is ready.
    pub fn start(executor_count: usize) -> Result<Deployment, CannotRun> {
        let folder = std::env::temp_dir().join(format!("aspenrail-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|it| CannotRun(format!("no temporary folder: {it}")))?;
        let machines = 4 + executor_count;
        let ip = |machine: usize| format!("127.0.{}.{}", 1 + std::process::id() % 250, machine + 1);
        let address = |machine: usize, port: u16| -> SocketAddr {
            format!("{}:{port}", ip(machine)).parse().expect("an address")
        };
        let ports = free_ports(&(0..machines).map(ip).collect::<Vec<_>>())?;
        let [link, gateway, readiness, metrics, side, app] = ports;
        let seeds: Vec<_> = (0..3).map(|it| address(it, gateway).to_string()).collect();
        let head = |machine: usize, name: &str, roles: &str| {
            format!(
                "[process]\nname = {name}\nroles = {roles}\nzone = z1\n{}\n[link]\nlisten = {}\ncontrol = {}\ncontrol_port = {link}\n",
                if roles == "gateway" { "drain_max_ms = 5000" } else { "" },
                address(machine, link),
                seeds.join(",")
            )
        };
        let write = |name: &str, text: String| -> Result<PathBuf, CannotRun> {
            let path = folder.join(format!("{name}.ini"));
            fs::write(&path, text).map_err(|it| CannotRun(format!("cannot write settings: {it}")))?;
            Ok(path)
        };
        let mut control_files = Vec::new();
        for machine in 0..3 {
            let data = folder.join(format!("data-{machine}"));
            fs::create_dir_all(&data).map_err(|it| CannotRun(format!("no data folder: {it}")))?;
            let text = format!(
                "{}[gateway]\nlisten = {}\nmetrics_listen = {}\ngive_up_ms = 900\n[dispatch]\ndata_folder = {}\nfirst_start = 1\nlosses_tolerated = 1\nlease_max_ms = 6000\nretention_s = 120\nworker_speeds = 1\nadmission = 1\n",
                head(machine, &format!("core-{machine}"), "gateway, dispatch"),
                address(machine, gateway),
                address(machine, metrics),
                data.display()
            );
            control_files.push(write(&format!("core-{machine}"), text)?);
        }
        let entry = format!(
            "{}[gateway]\nlisten = {}\nreadiness_listen = {}\nmetrics_listen = {}\n",
            head(3, "edge-0", "gateway"),
            address(3, gateway),
            address(3, readiness),
            address(3, metrics)
        );
        let mut other_files = vec![write("edge-0", entry)?];
        for machine in 4..machines {
            let text = format!(
                "{}[node]\nlisten = {}\nworker = {}\nmetrics_listen = {}\nharm_max_ms = 4000\n",
                head(machine, &format!("side-{}", machine - 4), "node"),
                address(machine, side),
                address(machine, app),
                address(machine, metrics)
            );
            other_files.push(write(&format!("side-{}", machine - 4), text)?);
        }
        let mut res = Deployment {
            folder,
            controls: Vec::new(),
            others: Vec::new(),
            control_files,
            control_gateways: (0..3).map(|it| address(it, gateway)).collect(),
            front: address(3, gateway),
            executors: Vec::new(),
        };
        res.start_control()?;
        for it in &other_files {
            res.others.push(spawn(it)?);
        }
        for machine in 4..machines {
            let (id, rack) = (format!("i-{:08x}", machine * 7_919), format!("r{machine}"));
            let executor = Executor::start(&id, &rack, address(machine, app), address(machine, side));
            res.executors.push(executor);
        }
        let readiness = address(3, readiness);
        let is_ready = || http::call(readiness, "GET", "/-/readyz", "edge", "").is_some_and(|it| it.0 == 200);
        wait_until("the entry is ready", Duration::from_secs(20), is_ready)?;
        note("all processes run, and the entry is ready");
        Ok(res)
    }

    /// Starts the control processes.
    pub fn start_control(&mut self) -> Result<(), CannotRun> {
        for it in &self.control_files {
            self.controls.push(spawn(it)?);
        }
        Ok(())
    }

    /// Kills the control processes; their disks stay.
    pub fn kill_control(&mut self) {
        for mut it in self.controls.drain(..) {
            let _ = it.kill();
            let _ = it.wait();
        }
    }

    /// Sends a configuration, again to any control process, until it is acknowledged.
    pub fn put_config(&self, config: &str) -> Result<(), CannotRun> {
        let mut answer = None;
        let mut at = 0;
        wait_until("a configuration is acknowledged", Duration::from_secs(15), || {
            let to = self.control_gateways[at % self.control_gateways.len()];
            at += 1;
            answer = http::call(to, "PUT", "/-/config", "control", config);
            answer.as_ref().is_some_and(|it| it.0 == 200)
        })
        .map_err(|it| CannotRun(format!("{}; last answer {answer:?}", it.0)))
    }

    /// Sends a client's request; returns the status and the body, or 0 without an answer.
    pub fn client(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let answer = http::call(self.front, method, path, HOST, body).unwrap_or_default();
        let shown = match body.len() {
            0 => String::new(),
            1..400 => format!(" {body}"),
            it => format!(" {}... ({it} bytes)", &body[..60]),
        };
        note(&format!("client: {method} {path}{shown} -> {} {}", answer.0, answer.1));
        answer
    }

    /// Submits until the submission is accepted.
    pub fn submit(&self, path: &str, body: &str) -> Result<(), CannotRun> {
        wait_until("a submission is accepted", Duration::from_secs(10), || {
            self.client("POST", path, body).0 == 200
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.kill_control();
        for it in &mut self.others {
            let _ = it.kill();
            let _ = it.wait();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("settings and logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns a configuration with the given routes, as JSON objects.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// Returns a route for a configuration.
pub fn route(name: &str, prefix: &str, timeout_ms: u64, max_attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"target_completion_ms\":1000,\"priority\":0,\"service\":\"pool\",\"max_attempts\":{max_attempts},\"stretch\":2.0}}"
    )
}

/// Waits until a condition holds.
pub fn wait_until(
    what: &str,
    longest: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<(), CannotRun> {
    let began = Instant::now();
    while !condition() {
        if longest < began.elapsed() {
            return Err(CannotRun(format!("waited in vain until {what}")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn spawn(settings: &PathBuf) -> Result<Child, CannotRun> {
    let log = fs::File::options().create(true).append(true).open(settings.with_extension("log"));
    let log = log.map_err(|it| CannotRun(format!("cannot write a log: {it}")))?;
    Command::new("target/release/aspenrail")
        .arg("serve")
        .env("ASPENRAIL_SETTINGS", settings)
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .map_err(|it| CannotRun(format!("target/release/aspenrail does not start: {it}")))
}

/// Finds six ports that are free at all addresses.
fn free_ports(ips: &[String]) -> Result<[u16; 6], CannotRun> {
    let mut res = [0; 6];
    let mut held = Vec::new();
    for port in &mut res {
        'next: for _ in 0..100 {
            let Ok(first) = TcpListener::bind((ips[0].as_str(), 0)) else { continue };
            let Ok(number) = first.local_addr().map(|it| it.port()) else { continue };
            let mut listeners = vec![first];
            for ip in &ips[1..] {
                match TcpListener::bind((ip.as_str(), number)) {
                    Ok(it) => listeners.push(it),
                    Err(_) => continue 'next,
                }
            }
            held.extend(listeners);
            *port = number;
            break;
        }
        if *port == 0 {
            return Err(CannotRun("no free ports".to_owned()));
        }
    }
    Ok(res)
}
