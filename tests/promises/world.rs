//! A group of cores under virtual time, with fakes at their interfaces.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    net::SocketAddr,
};

use aspenrail::{
    agent::{
        self, AgentCore, AgentOptions, Announcement, ExecutionId, ExecutorCall, ExecutorResult,
        WorkerCall,
    },
    control::{self, ControlCore, ControlOptions, log::Recovered},
    entry::{self, CallerAnswer, CallerRequest, EntryCore, EntryOptions, QuickRequest},
    metrics::Metrics,
    prelude::*,
    schema::settings::{AgentSettings, ControlSettings, EntrySettings},
    standin::worker_model::WorkerModel,
    util::Place,
};

use crate::{
    disk::FakeDisk,
    history::{ChangeRecord, History, QuickRecord, Run},
    sabotage::Sabotage,
};

pub const PLACE: Place = Place { region: 1, group: 1 };
pub const CAPACITY: Resources =
    Resources { cpu_millicores: 8_000, memory_mib: 16_000, accelerators: 1 };
const WALL_MS: u64 = 1_700_000_000_000;
const START_MS: u64 = 10_000;

/// How long after a leave new work may still arrive: "a few seconds".
const LEAVE_MS: u64 = 3_000;

pub struct Node {
    pub role: RoleCore,
    pub address: SocketAddr,
    pub boot: u64,
    pub started_ms: u64,
    /// While paused, nothing is handled; what arrives waits.
    pub paused: bool,
    waiting: Vec<Event>,
    tick_ms: u64,
}

pub enum RoleCore {
    Control { core: Option<Box<ControlCore>>, disk: Box<FakeDisk>, member: MemberId },
    Entry { core: Option<Box<EntryCore>> },
    Agent { core: Option<Box<AgentCore>>, vm: usize },
}

/// The fakes on one VM.
pub struct FakeVm {
    pub worker: WorkerModel,
    pub up: bool,
    executions: HashMap<ExecutionId, (u64, ExecutorCall)>,
    pub announces: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver { from: SocketAddr, to: usize, in_force: Revision, message: Box<Message> },
    Synced { node: usize, boot: u64, number: u64 },
    Worker { node: usize, boot: u64, call: WorkerCall },
    Executed { node: usize, boot: u64, id: ExecutionId },
    Tick { node: usize, boot: u64 },
}

/// How the links behave.
#[derive(Clone, Debug)]
pub struct Links {
    pub drop_permille: u32,
    pub double_permille: u32,
    pub delay_max_ms: u64,
    /// One-way cuts, from and to.
    pub cut: BTreeSet<(usize, usize)>,
}

pub struct World {
    pub now_ms: u64,
    pub random: fastrand::Rng,
    pub nodes: Vec<Node>,
    pub vms: Vec<FakeVm>,
    pub links: Links,
    pub history: History,
    pub sabotage: Option<Sabotage>,
    queue: BinaryHeap<Reverse<(u64, u64, EventBox)>>,
    sequence: u64,
    next_token: u64,
    tokens: HashMap<u64, Asked>,
    pub controls: Vec<usize>,
    pub entries: Vec<usize>,
    pub agents: Vec<usize>,
    next_member: u64,
}

#[derive(Clone, Debug)]
enum Asked {
    Quick,
    Submit(u32),
    Cancel,
    Change(usize),
    Other,
}

#[derive(Clone, Debug)]
struct EventBox(Event);

impl PartialEq for EventBox {
    fn eq(&self, _: &EventBox) -> bool {
        true
    }
}
impl Eq for EventBox {}
impl PartialOrd for EventBox {
    fn partial_cmp(&self, other: &EventBox) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for EventBox {
    fn cmp(&self, _: &EventBox) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl World {
    /// Makes a group and lets its cores begin.
    pub fn new(seed: u64, controls: usize, entries: usize, agents: usize) -> World {
        let mut res = World {
            now_ms: START_MS,
            random: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            vms: Vec::new(),
            links: Links {
                drop_permille: 0,
                double_permille: 0,
                delay_max_ms: 3,
                cut: BTreeSet::new(),
            },
            history: History::default(),
            sabotage: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            next_token: 0,
            tokens: HashMap::new(),
            controls: (0..controls).collect(),
            entries: (controls..controls + entries).collect(),
            agents: (controls + entries..controls + entries + agents).collect(),
            next_member: 100,
        };
        let founders: Vec<_> = (0..controls)
            .map(|it| Member { id: MemberId(it as u64 + 1), address: address(it) })
            .collect();
        for node in 0..controls + entries + agents {
            let role = if node < controls {
                let members = Membership { voters: founders.clone(), learners: Vec::new() };
                let recovered = Recovered { initial_members: members, ..Recovered::default() };
                RoleCore::Control {
                    core: None,
                    disk: Box::new(FakeDisk::new(recovered)),
                    member: MemberId(node as u64 + 1),
                }
            } else if node < controls + entries {
                RoleCore::Entry { core: None }
            } else {
                let worker = boundless_worker();
                res.vms.push(FakeVm {
                    worker,
                    up: true,
                    executions: HashMap::new(),
                    announces: true,
                });
                RoleCore::Agent { core: None, vm: node - controls - entries }
            };
            res.nodes.push(Node {
                role,
                address: address(node),
                boot: 0,
                started_ms: 0,
                paused: false,
                waiting: Vec::new(),
                tick_ms: 0,
            });
            res.start(node);
        }
        res
    }

    pub fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: WALL_MS + self.now_ms }
    }

    /// Starts a process that is not running.
    pub fn start(&mut self, node: usize) {
        let now = self.now();
        let boot = self.random.u64(..);
        let controls: Vec<_> = self.controls.iter().map(|it| address(*it)).collect();
        let own = self.nodes[node].address;
        self.nodes[node].boot = boot;
        self.nodes[node].started_ms = self.now_ms;
        match &mut self.nodes[node].role {
            RoleCore::Control { core, disk, member } => {
                let options = ControlOptions {
                    place: PLACE,
                    member: *member,
                    address: own,
                    controls,
                    settings: control_settings(),
                    boot,
                };
                let recovered = disk.crash(0);
                *core = Some(Box::new(ControlCore::new(options, recovered, now).unwrap()));
            }
            RoleCore::Entry { core } => {
                let options = EntryOptions {
                    name: format_compact!("entry-{node}"),
                    zone: format_compact!("zone-{}", node % 3),
                    address: own,
                    controls,
                    settings: entry_settings(),
                    boot,
                };
                *core = Some(Box::new(EntryCore::new(options, Metrics::new())));
            }
            RoleCore::Agent { core, vm } => {
                let options = AgentOptions {
                    address: own,
                    controls,
                    zone: format_compact!("zone-{}", *vm % 3),
                    rack: format_compact!("rack-{}", *vm / 2),
                    settings: agent_settings(*vm),
                    boot,
                };
                *core = Some(Box::new(AgentCore::new(options, Metrics::new())));
                let vm = *vm;
                self.vms[vm].up = true;
                self.vms[vm].executions.clear();
            }
        }
        self.after_turn(node);
        self.announce(node);
    }

    /// Kills a process; what its disk had not synced is lost, but for `kept` writes.
    pub fn kill(&mut self, node: usize, kept: usize) {
        self.nodes[node].paused = false;
        self.nodes[node].waiting.clear();
        self.nodes[node].boot = 0;
        match &mut self.nodes[node].role {
            RoleCore::Control { core, disk, .. } => {
                *core = None;
                disk.crash(kept);
            }
            RoleCore::Entry { core } => *core = None,
            RoleCore::Agent { core, .. } => *core = None,
        }
        for other in 0..self.nodes.len() {
            let peer = self.nodes[node].address;
            self.input_entry(other, entry::Input::LinkLost { peer });
        }
    }

    /// Kills a whole VM: its agent, its tasks and its endpoint.
    pub fn kill_vm(&mut self, node: usize) {
        self.kill(node, 0);
        if let RoleCore::Agent { vm, .. } = self.nodes[node].role {
            let vm = &mut self.vms[vm];
            vm.up = false;
            vm.worker = boundless_worker();
            vm.executions.clear();
        }
    }

    /// Restarts a VM's worker alone: its tasks are gone, its agent goes on.
    pub fn restart_worker(&mut self, node: usize) {
        if let RoleCore::Agent { vm, .. } = self.nodes[node].role {
            self.vms[vm].worker = boundless_worker();
        }
    }

    /// Loses a control member's disk, and starts it under a new identity.
    pub fn lose_disk(&mut self, node: usize) -> Member {
        self.kill(node, 0);
        self.next_member += 1;
        let id = MemberId(self.next_member);
        if let RoleCore::Control { disk, member, .. } = &mut self.nodes[node].role {
            **disk = FakeDisk::new(Recovered::default());
            *member = id;
        }
        self.start(node);
        Member { id, address: address(node) }
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].boot != 0
    }

    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].waiting) {
            self.push(0, event);
        }
        let boot = self.nodes[node].boot;
        self.push(0, Event::Tick { node, boot });
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(Reverse((at_ms, _, _))) = self.queue.peek()
            && *at_ms <= end_ms
        {
            let Some(Reverse((at_ms, _, EventBox(event)))) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(event);
            self.look_at_workers();
        }
        self.now_ms = end_ms;
        self.look_at_workers();
    }

    pub fn leader(&self) -> Option<usize> {
        let now = self.now();
        let leads = |node: &usize| match &self.nodes[*node].role {
            RoleCore::Control { core: Some(core), .. } => core.raft().has_lease(now),
            _ => false,
        };
        self.controls.iter().copied().find(leads)
    }

    pub fn control(&self, node: usize) -> Option<&ControlCore> {
        match &self.nodes[node].role {
            RoleCore::Control { core, .. } => core.as_deref(),
            _ => None,
        }
    }

    /// Sends a quick request, where the entry is there to take it.
    pub fn quick(&mut self, entry: usize, body: &str, key: Option<&str>, deadline_ms: u32) {
        if !self.is_up(entry) || self.nodes[entry].paused {
            return;
        }
        let quick = QuickRequest {
            class: "quick".into(),
            path: "/check".into(),
            deadline_ms,
            idempotent: key.is_none(),
            key: key.map(CompactString::from),
            body: body.as_bytes().to_vec(),
        };
        let token = self.next_token(Asked::Quick);
        let record = QuickRecord {
            body: body.to_owned(),
            key: key.map(CompactString::from),
            answer: None,
            entry,
            asked_ms: self.now_ms,
        };
        self.history.quicks.insert(token, record);
        self.ask(entry, token, CallerRequest::Quick(quick));
    }

    pub fn submit(&mut self, entry: usize, key: &str, spec: JobSpec) {
        let token = self.next_token(Asked::Submit(spec.tasks));
        self.history.submitted += 1;
        self.ask(entry, token, CallerRequest::Submit { key: key.into(), spec });
    }

    pub fn cancel(&mut self, entry: usize, jobs: Vec<JobId>) {
        let token = self.next_token(Asked::Cancel);
        self.history.cancelled.extend(jobs.iter().copied());
        self.ask(entry, token, CallerRequest::Cancel(jobs));
    }

    /// Sends a request of any other kind.
    pub fn ask_other(&mut self, entry: usize, request: CallerRequest) {
        let token = self.next_token(Asked::Other);
        self.ask(entry, token, request);
    }

    pub fn change(
        &mut self,
        control: usize,
        based_on: Revision,
        key: &str,
        change: ConfigChange,
    ) -> usize {
        let index = self.history.changes.len();
        self.history.changes.push(ChangeRecord { based_on, key: key.into(), outcome: None });
        let token = self.next_token(Asked::Change(index));
        let command = ConfigureCommand { based_on, key: key.into(), operator: "op".into(), change };
        self.operate(control, token, Operation::Propose(Command::Configure(command)));
        index
    }

    /// Asks a control process for an operation whose outcome nobody looks at.
    pub fn operation(&mut self, control: usize, operation: Operation) {
        let token = self.next_token(Asked::Other);
        self.operate(control, token, operation);
    }

    pub fn leave(&mut self, agent: usize) {
        let RoleCore::Agent { vm, .. } = self.nodes[agent].role else { return };
        self.vms[vm].announces = self.sabotage == Some(Sabotage::LeaveUnheard);
        if !self.is_up(agent) {
            return;
        }
        self.history.left.insert(vm, self.now_ms);
        if self.sabotage != Some(Sabotage::LeaveUnheard) {
            self.input_agent(
                agent,
                agent::Input::Leave { token: 0, address: executor_address(vm) },
            );
        }
    }

    pub fn come_back(&mut self, agent: usize) {
        let RoleCore::Agent { vm, .. } = self.nodes[agent].role else { return };
        self.history.left.remove(&vm);
        self.vms[vm].announces = true;
        self.announce(agent);
    }

    /// Begins a planned stop of a process.
    pub fn stop(&mut self, node: usize) {
        self.input_entry(node, entry::Input::Stop);
        self.input_agent(node, agent::Input::Stop);
        self.input_control(node, control::Input::Stop);
    }

    /// Returns whether a process in a planned stop may end.
    pub fn is_drained(&self, node: usize) -> bool {
        match &self.nodes[node].role {
            RoleCore::Entry { core } => core.as_ref().is_none_or(|it| it.is_drained()),
            RoleCore::Agent { core, .. } => core.as_ref().is_none_or(|it| it.is_drained()),
            RoleCore::Control { core, .. } => core.as_ref().is_none_or(|it| !it.raft().is_leader()),
        }
    }

    fn next_token(&mut self, asked: Asked) -> u64 {
        self.next_token += 1;
        self.history.operations += 1;
        self.tokens.insert(self.next_token, asked);
        self.next_token
    }

    fn ask(&mut self, entry: usize, token: u64, request: CallerRequest) {
        self.input_entry(entry, entry::Input::Request { token, team: "team".into(), request });
    }

    fn operate(&mut self, control: usize, token: u64, operation: Operation) {
        let deadline_ms = self.now_ms + 8_000;
        self.input_control(control, control::Input::Operation { token, operation, deadline_ms });
    }

    fn announce(&mut self, node: usize) {
        let RoleCore::Agent { vm, core: Some(_) } = &self.nodes[node].role else { return };
        let vm = *vm;
        if self.vms[vm].up && self.vms[vm].announces && !self.nodes[node].paused {
            let address = executor_address(vm);
            let announcement =
                Announcement { class: "quick".into(), address, slots: 4, connections: 60 };
            self.input_agent(node, agent::Input::Announce { token: 0, announcement });
        }
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_ms + delay_ms, self.sequence, EventBox(event))));
    }

    fn handle(&mut self, event: Event) {
        let (node, boot) = match &event {
            Event::Deliver { to, .. } => (*to, self.nodes[*to].boot),
            Event::Synced { node, boot, .. }
            | Event::Worker { node, boot, .. }
            | Event::Executed { node, boot, .. }
            | Event::Tick { node, boot } => (*node, *boot),
        };
        if let Event::Executed { node, id, .. } = event {
            return self.executed(node, boot, id);
        }
        if self.nodes[node].boot != boot || boot == 0 {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].waiting.push(event);
        }
        match event {
            Event::Deliver { from, in_force, message, .. } => {
                let message = *message;
                self.input_entry(
                    node,
                    entry::Input::Message { from, in_force, message: message.clone() },
                );
                self.input_agent(
                    node,
                    agent::Input::Message { from, in_force, message: message.clone() },
                );
                self.input_control(node, control::Input::Message { from, message });
            }
            Event::Synced { number, .. } => {
                if let RoleCore::Control { disk, .. } = &mut self.nodes[node].role {
                    if disk.stuck {
                        return;
                    }
                    disk.sync(number);
                }
                self.input_control(node, control::Input::Persisted { number });
            }
            Event::Worker { call, .. } => self.call_worker(node, call),
            Event::Tick { .. } => {
                if self.nodes[node].tick_ms <= self.now_ms {
                    self.nodes[node].tick_ms = u64::MAX;
                    self.announce(node);
                    self.input_entry(node, entry::Input::Tick);
                    self.input_agent(node, agent::Input::Tick);
                    self.input_control(node, control::Input::Tick);
                }
            }
            Event::Executed { .. } => (),
        }
    }

    fn call_worker(&mut self, node: usize, call: WorkerCall) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        if !self.vms[vm].up {
            return;
        }
        let starts_before = self.vms[vm].worker.starts;
        let call = match (&self.sabotage, call) {
            (Some(Sabotage::EndlessLease), WorkerCall::Lease { session, .. }) => {
                WorkerCall::Lease { session, until_boottime_ms: u64::MAX }
            }
            (
                Some(Sabotage::TakesMore),
                WorkerCall::Start { session, task, incarnation, mut start },
            ) => {
                start.resources.cpu_millicores *= 16;
                WorkerCall::Start { session, task, incarnation, start }
            }
            (_, it) => it,
        };
        let result = self.vms[vm].worker.call(self.now_ms, &call);
        if let WorkerCall::Start { task, incarnation, .. } = &call
            && starts_before < self.vms[vm].worker.starts
        {
            self.history.starts.entry((*task, *incarnation)).or_default().push(vm);
        }
        // An answer that gets lost on the way.
        let lost = self.random.u32(0..1_000) < self.links.drop_permille / 4;
        let result = if lost { agent::WorkerResult::Failed("timeout".into()) } else { result };
        self.input_agent(node, agent::Input::Worker { call, result });
    }

    fn executed(&mut self, node: usize, boot: u64, id: ExecutionId) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        if self.nodes[node].boot != boot {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].waiting.push(Event::Executed { node, boot, id });
        }
        let Some((_, call)) = self.vms[vm].executions.remove(&id) else { return };
        let body = match self.sabotage {
            Some(Sabotage::SwapAnswers) => b"someone else's".to_vec(),
            _ => call.body.to_vec(),
        };
        let result =
            ExecutorResult::Answered { status: 200, content_type: "text/plain".into(), body };
        self.input_agent(node, agent::Input::Executor { execution: id, result });
    }

    fn execute(&mut self, node: usize, call: ExecutorCall) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if let Some(left_ms) = self.history.left.get(&vm)
            && left_ms + LEAVE_MS < self.now_ms
        {
            self.history
                .late_work
                .push(format!("{body} ran on VM {vm} {} ms after it left", self.now_ms - left_ms));
        }
        let doubled = self.sabotage == Some(Sabotage::RunTwice);
        for _ in 0..1 + usize::from(doubled) {
            self.history.runs.entry(body.clone()).or_default().push(Run { at_ms: self.now_ms, vm });
        }
        let boot = self.nodes[node].boot;
        let work_ms = self.random.u64(1..12);
        let id = call.execution;
        self.vms[vm].executions.insert(id, (self.now_ms, call));
        self.push(work_ms, Event::Executed { node, boot, id });
    }

    /// Looks whether any task runs in two places, or any VM holds too much.
    fn look_at_workers(&mut self) {
        let mut places: BTreeMap<TaskId, usize> = BTreeMap::new();
        for (at, vm) in self.vms.iter_mut().enumerate() {
            vm.worker.advance(self.now_ms);
            for (task, incarnation) in vm.worker.running() {
                if let Some(other) = places.insert(task, at) {
                    let text = format!(
                        "task {task}.{incarnation} runs on VMs {other} and {at} at {}",
                        self.now_ms
                    );
                    if self.history.doubled.len() < 5 {
                        self.history.doubled.push(text);
                    }
                }
            }
            let held = vm.worker.held();
            if !control::state::fits(held, CAPACITY) && self.history.overfull.len() < 5 {
                self.history.overfull.push(format!("VM {at} holds {held:?} at {}", self.now_ms));
            }
        }
    }

    pub fn input_entry(&mut self, node: usize, input: entry::Input) {
        let now = self.now();
        if self.nodes[node].paused {
            return;
        }
        if let RoleCore::Entry { core: Some(core) } = &mut self.nodes[node].role {
            core.handle(now, input);
            self.after_turn(node);
        }
    }

    fn input_agent(&mut self, node: usize, input: agent::Input) {
        let now = self.now();
        if self.nodes[node].paused {
            return;
        }
        if let RoleCore::Agent { core: Some(core), .. } = &mut self.nodes[node].role {
            core.handle(now, input);
            self.after_turn(node);
        }
    }

    pub fn input_control(&mut self, node: usize, input: control::Input) {
        let now = self.now();
        if self.nodes[node].paused {
            return;
        }
        if let RoleCore::Control { core: Some(core), .. } = &mut self.nodes[node].role {
            core.handle(now, input).unwrap();
            self.after_turn(node);
        }
    }

    /// Carries out what a core wants done, and sets its timer.
    fn after_turn(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        let (in_force, next_ms) = match &mut self.nodes[node].role {
            RoleCore::Entry { core: Some(core) } => {
                let (in_force, effects) = (core.in_force(), core.take_effects());
                let next_ms = core.next_tick_ms();
                for effect in effects {
                    match effect {
                        entry::Effect::Send { to, message } => {
                            self.send(node, to, in_force, message)
                        }
                        entry::Effect::Answer { token, answer } => self.on_answer(token, answer),
                    }
                }
                (in_force, next_ms)
            }
            RoleCore::Agent { core: Some(core), .. } => {
                let (in_force, effects) = (core.in_force(), core.take_effects());
                let next_ms = core.next_tick_ms();
                for effect in effects {
                    match effect {
                        agent::Effect::Send { to, message } => {
                            self.send(node, to, in_force, message)
                        }
                        agent::Effect::Worker(call) => {
                            self.push(1, Event::Worker { node, boot, call })
                        }
                        agent::Effect::Call(it) => self.execute(node, it),
                        agent::Effect::Answer { .. } => (),
                    }
                }
                (in_force, next_ms)
            }
            RoleCore::Control { core: Some(core), .. } => {
                let shows = core.is_ready() || self.sabotage == Some(Sabotage::ShowsTooEarly);
                let in_force = if shows { core.in_force() } else { Revision(0) };
                let (effects, next_ms) = (core.take_effects(), core.next_tick_ms());
                for effect in effects {
                    match effect {
                        control::Effect::Send { to, message } => {
                            self.send(node, to, in_force, message)
                        }
                        control::Effect::Write { number, writes } => {
                            if let RoleCore::Control { disk, .. } = &mut self.nodes[node].role {
                                disk.write(number, writes);
                            }
                            let delay_ms = self.random.u64(1..4);
                            self.push(delay_ms, Event::Synced { node, boot, number });
                        }
                        control::Effect::Answer { token, outcome } => {
                            self.on_outcome(token, outcome)
                        }
                    }
                }
                (in_force, next_ms)
            }
            _ => return,
        };
        self.note_in_force(node, in_force);
        let at_ms = next_ms.clamp(self.now_ms + 1, self.now_ms + 1_000);
        if at_ms < self.nodes[node].tick_ms || self.nodes[node].tick_ms <= self.now_ms {
            self.nodes[node].tick_ms = at_ms;
            self.push(at_ms - self.now_ms, Event::Tick { node, boot });
        }
    }

    fn note_in_force(&mut self, node: usize, in_force: Revision) {
        if in_force == Revision(0) {
            return;
        }
        let address = self.nodes[node].address;
        let before = self.history.in_force.insert(address, in_force);
        if before.is_some_and(|it| in_force < it) {
            self.history.reverts.push(format!("{address} went from {before:?} back to {in_force}"));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, in_force: Revision, message: Message) {
        let Some(to) = self.nodes.iter().position(|it| it.address == to) else { return };
        if self.links.cut.contains(&(from, to)) {
            return;
        }
        if self.random.u32(0..1_000) < self.links.drop_permille {
            return;
        }
        let copies = 1 + usize::from(self.random.u32(0..1_000) < self.links.double_permille);
        let from = self.nodes[from].address;
        for _ in 0..copies {
            let delay_ms = self.random.u64(1..=self.links.delay_max_ms);
            let message = Box::new(message.clone());
            self.push(delay_ms, Event::Deliver { from, to, in_force, message });
        }
    }

    fn on_answer(&mut self, token: u64, answer: CallerAnswer) {
        let Some(asked) = self.tokens.remove(&token) else { return };
        match (asked, answer) {
            (Asked::Quick, answer) => {
                let answer = match (&self.sabotage, answer) {
                    (Some(Sabotage::LieNotRun), CallerAnswer::Quick { .. }) => {
                        CallerAnswer::Refused(refusal(ErrorKind::QueueFull, "a lie"))
                    }
                    (_, it) => it,
                };
                if let Some(it) = self.history.quicks.get_mut(&token) {
                    it.answer = Some((self.now_ms, answer));
                }
            }
            (Asked::Submit(tasks), CallerAnswer::Done(Reply::JobAccepted(it))) => {
                self.history.jobs.insert(it.job, tasks);
            }
            _ => (),
        }
    }

    fn on_outcome(&mut self, token: u64, outcome: Result<Reply, Refusal>) {
        if let Some(Asked::Change(index)) = self.tokens.remove(&token) {
            self.history.changes[index].outcome = Some(outcome);
        }
    }
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_000))
}

pub fn executor_address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, vm as u8 + 1], 8_000))
}

/// A worker that takes whatever it is told to: whether a VM is overfilled is for the checker.
fn boundless_worker() -> WorkerModel {
    let capacity =
        Resources { cpu_millicores: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };
    WorkerModel::new(capacity)
}

pub fn control_settings() -> ControlSettings {
    ControlSettings {
        listen: address(200),
        data_folder: "unused".into(),
        operators_file: "unused".into(),
        election_timeout_ms: 300,
        heartbeat_ms: 50,
        lease_ms: 3_000,
        lease_margin_ms: 500,
        snapshot_entries: 200,
        free_min_bytes: 0,
        jobs_max: 10_000,
        tasks_max: 10_000,
        claims_max: 10_000,
        claim_retention_ms: 3_600_000,
        job_retention_ms: 3_600_000,
        watches_max: 100,
        watch_events_max: 50,
        vms_max: 100,
        task_failures_max: 3,
        vm_failures_max: 3,
        quarantine_ms: 2_000,
    }
}

fn entry_settings() -> EntrySettings {
    EntrySettings {
        listen: address(201),
        teams_file: "unused".into(),
        threads: 1,
        body_max_bytes: 1 << 20,
        queue_max: 256,
        in_flight_max: 4_096,
        attempts_max: 4,
        retry_budget_permille: 200,
        poll_max_ms: 30_000,
        operation_max_ms: 10_000,
    }
}

fn agent_settings(vm: usize) -> AgentSettings {
    AgentSettings {
        listen: address(202),
        vm: format_compact!("vm-{vm}"),
        worker: address(203),
        cpu_millicores: CAPACITY.cpu_millicores,
        memory_mib: CAPACITY.memory_mib,
        accelerators: CAPACITY.accelerators,
        threads: 64,
        queue_max: 16,
        seen_max: 100_000,
        seen_ms: 600_000,
        heartbeat_ms: 300,
        announce_max_ms: 3_000,
    }
}
