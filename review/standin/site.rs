//! A small deployment: the processes of the deploy file, with settings as its templates give them.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    json::{Json, quote},
};

/// How long one step of a case may take, such as the start of the deployment.
const STEP_MAX: Duration = Duration::from_secs(20);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// `PR_SET_PDEATHSIG`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGKILL: i32 = 9;

pub fn signal(pid: u32, number: i32) {
    // Fails for a process that has ended, which changes nothing here.
    unsafe { kill(pid as i32, number) };
}

/// The file `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, who: &str, what: &str) {
        let text = format!("{:8.3} {who}: {what}\n", self.began.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        file.write_all(text.as_bytes()).expect("record.txt");
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

pub struct Process {
    pub name: String,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Executor {
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub app: SocketAddr,
    pub control: SocketAddr,
    pub lives: u32,
    child: Option<Child>,
}

/// Sizes and options of a deployment.
pub struct Plan {
    pub controls: usize,
    pub entries: usize,
    pub nodes: usize,
    pub nodes_per_rack: usize,
}

pub struct Site {
    pub record: Record,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub nodes: Vec<Process>,
    pub executors: Vec<Executor>,
    pub control_addresses: Vec<SocketAddr>,
    pub front_addresses: Vec<SocketAddr>,
    pub ready_addresses: Vec<SocketAddr>,
    pub data_folders: Vec<PathBuf>,
    /// Lines that executors have printed: number of the executor and text.
    pub events: Arc<Mutex<Vec<(usize, String)>>>,
    folder: PathBuf,
    seeds: String,
    internal_port: u16,
}

const HOST: &str = "queue.example";

impl Site {
    /// Starts the processes and the executors, and installs the first config.
    pub fn start(record: &Record, plan: &Plan) -> Result<Site, String> {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64
            ^ u64::from(std::process::id()) << 20;
        let folder = std::env::temp_dir().join(format!("review-{unique:x}"));
        fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
        // Loopback addresses of their own, so that all machines use the same ports.
        let net = (1 + unique % 200, (unique >> 8) % 250);
        let ip = |class: u64, index: usize| format!("127.{}.{}.{}", net.0, net.1, class + index as u64);
        let probe = TcpListener::bind(format!("{}:0", ip(1, 0))).map_err(|it| it.to_string())?;
        let port = probe.local_addr().map_err(|it| it.to_string())?.port().clamp(20_000, 50_000);
        drop(probe);
        let address = |ip: String, offset: u16| -> SocketAddr {
            format!("{ip}:{}", port + offset).parse().expect("an address")
        };
        let control_addresses: Vec<_> =
            (0..plan.controls).map(|it| address(ip(1, it), 1)).collect();
        let seeds: Vec<_> = control_addresses.iter().take(3).map(ToString::to_string).collect();
        let mut site = Site {
            record: record.clone(),
            controls: Vec::new(),
            entries: Vec::new(),
            nodes: Vec::new(),
            executors: Vec::new(),
            front_addresses: (0..plan.entries).map(|it| address(ip(20, it), 2)).collect(),
            ready_addresses: (0..plan.entries).map(|it| address(ip(20, it), 3)).collect(),
            control_addresses,
            data_folders: Vec::new(),
            events: Arc::default(),
            folder,
            seeds: seeds.join(","),
            internal_port: port,
        };
        for index in 0..plan.controls {
            let data = site.folder.join(format!("data-{index}"));
            fs::create_dir_all(&data).map_err(|it| it.to_string())?;
            site.data_folders.push(data);
            let process = site.process(format!("control-{index}"));
            site.controls.push(process);
            site.write_control(index, &ip(1, index), true)?;
        }
        for index in 0..plan.entries {
            let own = ip(20, index);
            let text = format!(
                "{}drain_max_ms = 5000\n{}[gateway]\nlisten = {}\nreadiness_listen = {}\nmetrics_listen = {own}:9464\n",
                head(&format!("entry-{index}"), "gateway", "zone-a"),
                site.link(&own),
                site.front_addresses[index],
                site.ready_addresses[index],
            );
            let process = site.process(format!("entry-{index}"));
            fs::write(&process.settings, text).map_err(|it| it.to_string())?;
            site.entries.push(process);
        }
        for index in 0..plan.nodes {
            let own = ip(40, index);
            let (control, app) = (address(own.clone(), 1), address(own.clone(), 4));
            let text = format!(
                "{}{}[node]\nlisten = {control}\nworker = {app}\nmetrics_listen = {own}:9464\nharm_max_ms = 4000\n",
                head(&format!("node-{index}"), "node", "zone-a"),
                site.link(&own),
            );
            let process = site.process(format!("node-{index}"));
            fs::write(&process.settings, text).map_err(|it| it.to_string())?;
            site.nodes.push(process);
            site.executors.push(Executor {
                zone: "zone-a".to_owned(),
                rack: format!("rack-{}", index / plan.nodes_per_rack),
                kind: "a".to_owned(),
                app,
                control,
                lives: 0,
                child: None,
            });
        }
        for list in [&mut site.controls, &mut site.entries, &mut site.nodes] {
            for it in list {
                it.spawn(&site.folder)?;
            }
        }
        for index in 0..plan.nodes {
            site.start_executor(index)?;
        }
        Ok(site)
    }

    fn process(&self, name: String) -> Process {
        let settings = self.folder.join(format!("{name}.ini"));
        Process { name, settings, child: None }
    }

    fn link(&self, own: &str) -> String {
        let port = self.internal_port;
        format!("[link]\nlisten = {own}:{port}\ncontrol = {}\ncontrol_port = {port}\n", self.seeds)
    }

    /// Writes the settings of a control process; `is_first` as the platform's `bootstrap`.
    fn write_control(&self, index: usize, own: &str, is_first: bool) -> Result<(), String> {
        let text = format!(
            "{}{}[gateway]\nlisten = {}\nmetrics_listen = {own}:9464\ngive_up_ms = 900\n[dispatch]\ndata_folder = {}\nfirst_start = {}\nlosses_tolerated = 1\nlease_max_ms = 6000\nretention_s = 120\nworker_speeds = 1\nadmission = 1\n",
            head(&format!("control-{index}"), "gateway, dispatch", "zone-a"),
            self.link(own),
            self.control_addresses[index],
            self.data_folders[index].display(),
            u8::from(is_first),
        );
        fs::write(&self.controls[index].settings, text).map_err(|it| it.to_string())
    }

    /// Starts a control process again after its end, with `bootstrap` false.
    pub fn restart_control(&mut self, index: usize) -> Result<(), String> {
        let own = self.control_addresses[index].ip().to_string();
        self.write_control(index, &own, false)?;
        let folder = self.folder.clone();
        self.controls[index].reap();
        self.controls[index].spawn(&folder)
    }

    pub fn start_executor(&mut self, index: usize) -> Result<(), String> {
        let executor = &mut self.executors[index];
        executor.lives += 1;
        let id = format!("i-{index:02}-{}", executor.lives);
        let program = std::env::current_exe().map_err(|it| it.to_string())?;
        let mut child = Command::new(program)
            .args([
                "executor",
                &format!("id={id}"),
                &format!("app={}", executor.app),
                &format!("control={}", executor.control),
                &format!("zone={}", executor.zone),
                &format!("rack={}", executor.rack),
                &format!("kind={}", executor.kind),
            ])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|it| it.to_string())?;
        let output = child.stdout.take().ok_or("no output of an executor")?;
        let (record, events) = (self.record.clone(), self.events.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&id, &line);
                events.lock().unwrap().push((index, line));
            }
        });
        executor.child = Some(child);
        Ok(())
    }

    /// Sends a line to an executor's standard input.
    pub fn tell_executor(&mut self, index: usize, text: &str) {
        self.record.line("case", &format!("executor {index}: {text}"));
        if let Some(input) = self.executors[index].child.as_mut().and_then(|it| it.stdin.as_mut()) {
            let _ = input.write_all(format!("{text}\n").as_bytes());
        }
    }

    /// Returns the events of executors that begin with `prefix`.
    pub fn events_with(&self, prefix: &str) -> Vec<(usize, String)> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|(_, it)| it.starts_with(prefix)).cloned().collect()
    }

    /// Sends an operator's request to one control process.
    pub fn operator(&self, at: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let to = self.control_addresses[at % self.control_addresses.len()];
        http::call(to, method, path, &to.ip().to_string(), body, Duration::from_millis(1_000))
    }

    /// Sends a config as operators do, until it is acknowledged.
    pub fn install(&self, version: u64, body: &str) -> Result<(), String> {
        let began = Instant::now();
        for at in 0.. {
            match self.operator(at, "PUT", "/-/config", body) {
                Some((200, _)) => {
                    self.record.line("operator", &format!("config {version} acknowledged"));
                    return Ok(());
                }
                Some((status @ 400..=428, text)) => return Err(format!("config: {status} {text}")),
                _ => (),
            }
            if STEP_MAX < began.elapsed() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("no config was acknowledged".to_owned())
    }

    /// Sends a client's request through an entry process, and records it.
    pub fn client(&self, at: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let to = self.front_addresses[at % self.front_addresses.len()];
        let answer = http::call(to, method, path, HOST, body, Duration::from_millis(3_000));
        let text = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no response".to_owned(),
        };
        self.record.line("client", &format!("{method} {path} -> {text}"));
        answer
    }

    /// Hands a submission in as clients do: again with the same id after no response, 502, 503, 504.
    pub fn submit(&self, path: &str, body: &str) -> Result<(), String> {
        self.record.line("client", &format!("POST {path} body {body}"));
        for at in 0..12 {
            match self.client(at, "POST", path, body) {
                Some((200..=299, _)) => return Ok(()),
                Some((400 | 404, text)) => return Err(format!("refused: {text}")),
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        Err("the submission was not accepted".to_owned())
    }

    /// Returns the state that clients are shown.
    pub fn state(&self, path: &str) -> Option<String> {
        let (status, text) = self.client(0, "GET", path, "")?;
        match status {
            200 => Some(Json::parse(&text)?.get("state")?.text()?.to_owned()),
            410 => Some("gone".to_owned()),
            _ => None,
        }
    }

    /// Waits until the executors are known and entries are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let is_ready = |it: &SocketAddr| {
            let answer =
                http::call(*it, "GET", "/-/readyz", "x", "", Duration::from_millis(500));
            answer.is_some_and(|(status, _)| status == 200)
        };
        wait("ready entries", STEP_MAX, || self.ready_addresses.iter().all(is_ready))?;
        let count = self.executors.len();
        wait("acknowledged reports", STEP_MAX, || {
            let mut seen: Vec<_> =
                self.events_with("reported").iter().map(|(index, _)| *index).collect();
            seen.sort_unstable();
            seen.dedup();
            seen.len() == count
        })?;
        // Time for the reports of the node processes.
        thread::sleep(Duration::from_millis(1_500));
        Ok(())
    }
}

impl Process {
    fn spawn(&mut self, folder: &Path) -> Result<(), String> {
        let log = folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let mut command = Command::new("target/release/aspenrail");
        command
            .arg("serve")
            .env("ASPENRAIL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.map_err(|it| it.to_string())?);
        // No process outlives the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().map_err(|it| format!("target/release/aspenrail: {it}"))?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }


    /// Kills the process if it runs, and waits for its end.
    pub fn reap(&mut self) {
        if let Some(mut it) = self.child.take() {
            let _ = it.kill();
            let _ = it.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for it in &mut self.executors {
            if let Some(mut child) = it.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let all = self.controls.iter_mut().chain(&mut self.entries).chain(&mut self.nodes);
        all.for_each(Process::reap);
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn head(name: &str, roles: &str, zone: &str) -> String {
    format!("[process]\nname = {name}\nroles = {roles}\nzone = {zone}\n")
}

pub fn wait(what: &str, max: Duration, mut is_true: impl FnMut() -> bool) -> Result<(), String> {
    let began = Instant::now();
    while !is_true() {
        if max < began.elapsed() {
            return Err(format!("waited too long for {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// A route, as in a config.
pub fn route(name: &str, prefix: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":{},\"host\":\"{HOST}\",\"path_prefix\":{},\"type\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"target_completion_ms\":250,\"priority\":0,\"service\":\"pool\",\"max_attempts\":3,\"stretch\":1.5}}",
        quote(name),
        quote(prefix)
    )
}

pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
