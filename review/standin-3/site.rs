//! A small deployment on loopback: the programs of the deploy file, with its templates filled in.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{executor::Executor, http, json::Json, proxy::Proxy, record::Record};

/// Values of a small deployment, as in the settings on the pages.
const HOLD_MAX_MS: u64 = 6_000;
const STATUS_S: u64 = 120;
const VIOLATION_MS: u64 = 4_000;

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/q/";

/// Ports of every machine; each has an address of its own.
#[derive(Clone, Copy)]
struct Ports {
    link: u16,
    front: u16,
    readiness: u16,
    control: u16,
    app: u16,
    behind_proxy: u16,
    metrics: u16,
}

/// One process of the system, by the name of its machine.
struct Process {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub record: Record,
    pub executors: Vec<Executor>,
    /// In front of each executor, if the case asks for proxies.
    pub proxies: Vec<Proxy>,
    ports: Ports,
    block: u8,
    processes: Arc<Mutex<Vec<Process>>>,
    folder: PathBuf,
    entries: u8,
}

#[derive(Clone, Copy)]
pub struct Size {
    pub entries: u8,
    pub executors: u8,
    pub has_proxies: bool,
    /// Kind of the first executor; the others are of kind `a`.
    pub first_kind: &'static str,
}

/// Longest time for which a case runs, in total 120 s at most.
const CASE_MAX: Duration = Duration::from_secs(112);

/// Processes of the system that the case has started.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A lock that also opens after a failed check, so that the processes are ended then.
fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}

fn free_port(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|it| it.local_addr()).expect("a free port").port()
}

impl Site {
    /// Starts all processes and waits until a configuration is accepted and all executors take work.
    pub fn start(record: &Record, size: Size) -> Site {
        // Addresses of this run: 127.B.CLASS.N, with a block that other runs hardly use.
        let block = 16 + (std::process::id() % 200) as u8;
        let ip = IpAddr::V4(Ipv4Addr::new(127, block, 0, 1));
        let ports = Ports {
            link: free_port(ip),
            front: free_port(ip),
            readiness: free_port(ip),
            control: free_port(ip),
            app: free_port(ip),
            behind_proxy: free_port(ip),
            metrics: free_port(ip),
        };
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut res = Site {
            record: record.clone(),
            executors: Vec::new(),
            proxies: Vec::new(),
            ports,
            block,
            processes: Arc::default(),
            folder,
            entries: size.entries,
        };
        for at in 1..=3 {
            res.add_process("control", &format!("core-{at}"), res.ip(1, at));
        }
        for at in 1..=size.entries {
            res.add_process("entry", &format!("edge-{at}"), res.ip(2, at));
        }
        for at in 1..=size.executors {
            res.add_process("node", &format!("side-{at}"), res.ip(3, at));
        }
        let names: Vec<_> = lock(&res.processes).iter().map(|it| it.name.clone()).collect();
        names.iter().for_each(|it| res.run(it));
        for at in 1..=size.executors {
            let app = SocketAddr::new(res.ip(3, at), ports.app);
            let listen = match size.has_proxies {
                true => SocketAddr::new(res.ip(3, at), ports.behind_proxy),
                false => app,
            };
            if size.has_proxies {
                res.proxies.push(Proxy::start(app, listen));
            }
            let node = SocketAddr::new(res.ip(3, at), ports.control);
            let rack = format!("r1-{}", at.div_ceil(3));
            let kind = if at == 1 { size.first_kind } else { "a" };
            let name = format!("x{at}");
            res.executors.push(Executor::start(&name, "hall", [kind, &rack], listen, node, record));
        }
        res
    }

    fn ip(&self, class: u8, at: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block, class, at))
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.ip(2, entry), self.ports.front)
    }

    pub fn control(&self, at: u8) -> SocketAddr {
        SocketAddr::new(self.ip(1, at), self.ports.control)
    }

    fn add_process(&mut self, role: &str, name: &str, ip: IpAddr) {
        let template = fs::read_to_string(format!("deploy/{role}.ini")).expect("the template");
        let data = self.folder.join(format!("data-{name}"));
        fs::create_dir_all(&data).expect("a data folder");
        let seeds: Vec<_> = (1..=3).map(|at| self.control(at).to_string()).collect();
        let ports = self.ports;
        let text = template
            .replace("{{ip}}:9464", &format!("{ip}:{}", ports.metrics))
            .replace("{{#bootstrap}}1{{/bootstrap}}{{^bootstrap}}0{{/bootstrap}}", "1")
            .replace("{{#bounds.violation_ms}}", "")
            .replace("{{/bounds.violation_ms}}", "")
            .replace("{{.}}", &VIOLATION_MS.to_string())
            .replace("{{node_name}}", name)
            .replace("{{zone}}", "hall")
            .replace("{{ip}}", &ip.to_string())
            .replace("{{internal_ports.0}}", &ports.link.to_string())
            .replace("{{seeds}}", &seeds.join(","))
            .replace("{{bind_addrs.control}}", &format!("{ip}:{}", ports.control))
            .replace("{{bind_addrs.front}}", &format!("{ip}:{}", ports.front))
            .replace("{{bind_addrs.readiness}}", &format!("{ip}:{}", ports.readiness))
            .replace("{{data_dir}}", &data.display().to_string())
            .replace("{{fault_tolerance.machines}}", "1")
            .replace("{{bounds.hold_max_ms}}", &HOLD_MAX_MS.to_string())
            .replace("{{bounds.status_s}}", &STATUS_S.to_string())
            .replace("{{app}}", &format!("{ip}:{}", ports.app));
        assert!(!text.contains("{{"), "the template has an unknown placeholder: {text}");
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let process = Process { name: name.to_owned(), settings, log, child: None };
        lock(&self.processes).push(process);
    }

    fn with<T>(&self, name: &str, act: impl FnOnce(&mut Process) -> T) -> T {
        let mut processes = lock(&self.processes);
        act(processes.iter_mut().find(|it| it.name == name).expect("a process of that name"))
    }

    /// Starts a process that does not run.
    pub fn run(&self, name: &str) {
        self.with(name, |it| {
            let log = fs::OpenOptions::new().create(true).append(true).open(&it.log).unwrap();
            let child = Command::new("target/release/aspenrail")
                .arg("serve")
                .env("ASPENRAIL_SETTINGS", &it.settings)
                .stdin(Stdio::null())
                .stderr(log.try_clone().unwrap())
                .stdout(log)
                .spawn()
                .expect("the build of the deploy file has run");
            lock(&CHILDREN).push(child.id());
            it.child = Some(child);
        });
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.with(name, |it| it.child.as_ref().map(Child::id)).expect("it runs");
        self.record.note(format!("{name} gets SIG{signal}"));
        // The shell has it built in.
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{signal} {id}")).status();
        assert!(sent.is_ok_and(|it| it.success()), "the signal was sent");
    }

    /// Ends a process at once.
    pub fn kill(&self, name: &str) {
        self.record.note(format!("{name} is killed"));
        self.with(name, |it| {
            if let Some(mut child) = it.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        });
    }

    /// Returns whether a process still runs.
    pub fn is_running(&self, name: &str) -> bool {
        self.with(name, |it| it.child.as_mut().is_some_and(|it| it.try_wait().ok().flatten().is_none()))
    }

    /// Sends a request of a client by an entry, and notes it with its answer.
    pub fn client(&self, entry: u8, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        self.note_call(self.front(entry), &format!("client, edge-{entry}"), method, HOST, path, body)
    }

    /// Sends a request of an operator to a control machine, and notes it with its answer.
    pub fn operator(&self, at: u8, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        self.note_call(self.control(at), &format!("operator, core-{at}"), method, "control", path, body)
    }

    fn note_call(&self, to: SocketAddr, who: &str, method: &str, host: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let answer = http::call(to, method, host, path, body, Duration::from_secs(3)).ok();
        let answer = answer.map(|(status, text)| (status, Json::parse(&text).unwrap_or(Json::Null)));
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, text)| format!("{status} {text}"));
        self.record.note(format!("{who}: {method} {path} {body} -> {}", shown.chars().take(160).collect::<String>()));
        answer
    }

    /// Sends a configuration until it is acknowledged, as operators do.
    pub fn install(&self, config: &Json) {
        let body = config.to_string();
        let until = Instant::now() + Duration::from_secs(15);
        let mut at = 0;
        while Instant::now() < until {
            at = at % 3 + 1;
            if self.operator(at, "PUT", "/-/config", &body).is_some_and(|it| it.0 == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(300));
        }
        panic!("no configuration was acknowledged");
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub fn wait(&self, for_ms: u64, mut condition: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + Duration::from_millis(for_ms);
        while Instant::now() < until {
            if condition() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        condition()
    }

    /// Submits by an entry until it is accepted; clients send an unclear request again.
    pub fn submit(&self, id: &str, body: &Json) {
        let path = format!("{PREFIX}{id}");
        let body = body.to_string();
        let is_accepted = self.wait(15_000, || {
            let res = self.client(1, "POST", &path, &body).is_some_and(|it| it.0 == 200);
            if !res {
                thread::sleep(Duration::from_millis(500));
            }
            res
        });
        assert!(is_accepted, "the submission was accepted");
    }

    /// Returns the state of a submission.
    pub fn state(&self, id: &str) -> String {
        match self.client(self.entries, "GET", &format!("{PREFIX}{id}"), "") {
            Some((200, it)) => it.str("state").to_owned(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Returns the tasks of a submission that run now, with the number of their executor.
    pub fn running(&self, id: &str) -> Vec<(String, usize)> {
        let of = |(at, it): (usize, &Executor)| {
            let tasks = it.running().into_iter().filter(|it| it.starts_with(id));
            tasks.map(|it| (it, at)).collect::<Vec<_>>()
        };
        self.executors.iter().enumerate().flat_map(of).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.executors.iter().for_each(Executor::stop);
        for it in lock(&self.processes).iter_mut() {
            if let Some(mut child) = it.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(folder) => copy_logs(&self.folder, Path::new(&folder)),
            None => (),
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn copy_logs(from: &Path, to: &Path) {
    let _ = fs::create_dir_all(to);
    for it in fs::read_dir(from).into_iter().flatten().flatten() {
        if it.path().extension().is_some_and(|it| it == "log") {
            let _ = fs::copy(it.path(), to.join(it.file_name()));
        }
    }
}

/// A route of the test's queue.
pub fn route(name: &str, max_attempts: u64) -> Json {
    Json::object(vec![
        ("name", Json::text(name)),
        ("host", Json::text(HOST)),
        ("path_prefix", Json::text(PREFIX)),
        ("type", Json::text("unsafe")),
        ("timeout_ms", Json::number(3_000)),
        ("target_completion_ms", Json::number(250)),
        ("priority", Json::number(0)),
        ("service", Json::text("pool")),
        ("max_attempts", Json::number(max_attempts)),
        ("stretch", Json::Number(1.5)),
    ])
}

/// A configuration with these routes.
pub fn config(version: u64, routes: Vec<Json>) -> Json {
    let service = Json::object(vec![
        ("name", Json::text("pool")),
        ("health_path", Json::text("/healthz")),
        ("max_connections", Json::number(64)),
        ("protocol", Json::text("h1")),
        ("tls", Json::Bool(false)),
        ("rejects_overload", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ]);
    let limits = Json::object(vec![
        ("max_header_bytes", Json::number(16_384)),
        ("max_body_bytes", Json::number(262_144)),
        ("header_timeout_ms", Json::number(3_000)),
        ("idle_timeout_ms", Json::number(15_000)),
    ]);
    Json::object(vec![
        ("version", Json::number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}

/// A step; `fields` are added to its count, size and estimate.
pub fn step(count: u64, cpu: u64, estimate_ms: u64, fields: Vec<(&str, Json)>) -> Json {
    let mut all = vec![
        ("count", Json::number(count)),
        ("cpu", Json::number(cpu)),
        ("mem_mb", Json::number(256)),
        ("estimate_ms", Json::number(estimate_ms)),
    ];
    all.extend(fields);
    Json::object(all)
}

/// A submission.
pub fn submission(spec: &str, steps: Vec<Json>) -> Json {
    Json::object(vec![("spec", Json::text(spec)), ("steps", Json::List(steps))])
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Runs a case, and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
pub fn run_case(folder: &str, case: impl FnOnce(&Record) -> Verdict + std::panic::UnwindSafe) -> ! {
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let own = record.clone();
    thread::spawn(move || {
        thread::sleep(CASE_MAX);
        own.note("the case took too long");
        for id in lock(&CHILDREN).iter() {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {id}")).status();
        }
        std::process::exit(2);
    });
    let own = record.clone();
    let code = match std::panic::catch_unwind(move || case(&own)) {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            println!("the rule held");
            0
        }
        Ok(Verdict::Broken(why)) => {
            record.note(format!("the rule was broken: {why}"));
            println!("the rule was broken: {why}");
            1
        }
        Err(_) => {
            record.note("the case could not run");
            2
        }
    };
    std::process::exit(code)
}
