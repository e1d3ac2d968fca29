//! Runs a group of cores in virtual time, with fakes at their interfaces.

mod effects;
mod settings;

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap},
    net::SocketAddr,
};

use aspenrail::{
    agent::{self, AgentCore, AgentOptions, Announcement, EndpointCall, ExecutionId, WorkerCall},
    control::{self, ControlCore, ControlOptions, log::RecoveredState},
    entry::{self, CallerRequest, EntryCore, EntryOptions, QuickRequest},
    metrics::Metrics,
    prelude::*,
    standin::worker_model::WorkerModel,
    util::GroupId,
};

pub use self::settings::control_settings;
use self::settings::{agent_settings, entry_settings};
use crate::{
    disk::FakeDisk,
    history::{ChangeRecord, History, QuickRecord},
    sabotage::Sabotage,
};

pub const GROUP_ID: GroupId = GroupId { region: 1, group: 1 };
pub const CAPACITY: Resources =
    Resources { cpu_millicores: 8_000, memory_mib: 16_000, accelerators: 1 };
const WALL_CLOCK_OFFSET_MS: u64 = 1_700_000_000_000;
const START_MS: u64 = 10_000;

/// Time after a leave in which new work may still arrive; the promise allows "a few seconds".
const LEAVE_GRACE_MS: u64 = 3_000;

pub struct Node {
    pub role: RoleCore,
    pub address: SocketAddr,
    pub boot: u64,
    pub started_ms: u64,
    /// While paused, events are deferred until the process resumes.
    pub paused: bool,
    deferred_events: Vec<Event>,
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
    pub is_up: bool,
    executions: HashMap<ExecutionId, (u64, EndpointCall)>,
    pub is_announcing: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver { from: SocketAddr, to: usize, in_force: Revision, message: Box<Message> },
    Synced { node: usize, boot: u64, number: u64 },
    Worker { node: usize, boot: u64, call: WorkerCall },
    Executed { node: usize, boot: u64, id: ExecutionId },
    Tick { node: usize, boot: u64 },
}

/// Faults of the links between processes.
#[derive(Clone, Debug)]
pub struct Links {
    pub drop_permille: u32,
    pub duplicate_permille: u32,
    pub delay_max_ms: u64,
    /// One-way cuts as (sender, receiver).
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
    queue: BinaryHeap<Reverse<(u64, u64, UnorderedEvent)>>,
    sequence: u64,
    next_token: u64,
    pending_requests: HashMap<u64, PendingRequest>,
    pub controls: Vec<usize>,
    pub entries: Vec<usize>,
    pub agents: Vec<usize>,
    next_member: u64,
}

#[derive(Clone, Debug)]
enum PendingRequest {
    Quick,
    Submit(u32),
    Cancel,
    Change(usize),
    Other,
}

/// Always equal, so the queue orders events by time and sequence alone.
#[derive(Clone, Debug)]
struct UnorderedEvent(Event);

impl PartialEq for UnorderedEvent {
    fn eq(&self, _: &UnorderedEvent) -> bool {
        true
    }
}
impl Eq for UnorderedEvent {}
impl PartialOrd for UnorderedEvent {
    fn partial_cmp(&self, other: &UnorderedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for UnorderedEvent {
    fn cmp(&self, _: &UnorderedEvent) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl World {
    /// Creates a group and starts all its processes.
    pub fn new(seed: u64, controls: usize, entries: usize, agents: usize) -> World {
        let mut res = World {
            now_ms: START_MS,
            random: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            vms: Vec::new(),
            links: Links {
                drop_permille: 0,
                duplicate_permille: 0,
                delay_max_ms: 3,
                cut: BTreeSet::new(),
            },
            history: History::default(),
            sabotage: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            next_token: 0,
            pending_requests: HashMap::new(),
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
                let recovered =
                    RecoveredState { initial_members: members, ..RecoveredState::default() };
                RoleCore::Control {
                    core: None,
                    disk: Box::new(FakeDisk::new(recovered)),
                    member: MemberId(node as u64 + 1),
                }
            } else if node < controls + entries {
                RoleCore::Entry { core: None }
            } else {
                let worker = unlimited_worker();
                res.vms.push(FakeVm {
                    worker,
                    is_up: true,
                    executions: HashMap::new(),
                    is_announcing: true,
                });
                RoleCore::Agent { core: None, vm: node - controls - entries }
            };
            res.nodes.push(Node {
                role,
                address: address(node),
                boot: 0,
                started_ms: 0,
                paused: false,
                deferred_events: Vec::new(),
                tick_ms: 0,
            });
            res.start(node);
        }
        res
    }

    pub fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: WALL_CLOCK_OFFSET_MS + self.now_ms }
    }

    /// Starts a process that is not running.
    pub fn start(&mut self, node: usize) {
        let now = self.now();
        let boot = self.random.u64(..);
        let control_addresses: Vec<_> = self.controls.iter().map(|it| address(*it)).collect();
        let own_address = self.nodes[node].address;
        self.nodes[node].boot = boot;
        self.nodes[node].started_ms = self.now_ms;
        match &mut self.nodes[node].role {
            RoleCore::Control { core, disk, member } => {
                let options = ControlOptions {
                    group_id: GROUP_ID,
                    member: *member,
                    address: own_address,
                    control_addresses,
                    settings: control_settings(),
                    boot,
                    dispatch: None,
                    target_voter_count: 0,
                };
                let recovered = disk.crash(0);
                *core = Some(Box::new(ControlCore::new(options, recovered, now).unwrap()));
            }
            RoleCore::Entry { core } => {
                let options = EntryOptions {
                    name: format_compact!("entry-{node}"),
                    zone: format_compact!("zone-{}", node % 3),
                    address: own_address,
                    control_addresses,
                    settings: entry_settings(),
                    boot,
                };
                *core = Some(Box::new(EntryCore::new(options, Metrics::new())));
            }
            RoleCore::Agent { core, vm } => {
                let options = AgentOptions {
                    address: own_address,
                    control_addresses,
                    zone: format_compact!("zone-{}", *vm % 3),
                    rack: format_compact!("rack-{}", *vm / 2),
                    settings: agent_settings(*vm),
                    boot,
                };
                *core = Some(Box::new(AgentCore::new(options, Metrics::new())));
                let vm = *vm;
                self.vms[vm].is_up = true;
                self.vms[vm].executions.clear();
            }
        }
        self.apply_effects(node);
        self.announce(node);
    }

    /// Kills a process; its disk loses all unsynced writes but the first `kept_writes`.
    pub fn kill(&mut self, node: usize, kept_writes: usize) {
        self.nodes[node].paused = false;
        self.nodes[node].deferred_events.clear();
        self.nodes[node].boot = 0;
        match &mut self.nodes[node].role {
            RoleCore::Control { core, disk, .. } => {
                *core = None;
                disk.crash(kept_writes);
            }
            RoleCore::Entry { core } => *core = None,
            RoleCore::Agent { core, .. } => *core = None,
        }
        for other in 0..self.nodes.len() {
            let peer = self.nodes[node].address;
            self.input_entry(other, entry::Input::LinkLost { peer });
        }
    }

    /// Kills a VM with its agent, tasks and endpoint.
    pub fn kill_vm(&mut self, node: usize) {
        self.kill(node, 0);
        if let RoleCore::Agent { vm, .. } = self.nodes[node].role {
            let vm = &mut self.vms[vm];
            vm.is_up = false;
            vm.worker = unlimited_worker();
            vm.executions.clear();
        }
    }

    /// Restarts only the worker of a VM: its tasks are lost, its agent keeps running.
    pub fn restart_worker(&mut self, node: usize) {
        if let RoleCore::Agent { vm, .. } = self.nodes[node].role {
            self.vms[vm].worker = unlimited_worker();
        }
    }

    /// Erases a control member's disk and starts it under a new member id.
    pub fn lose_disk(&mut self, node: usize) -> Member {
        self.kill(node, 0);
        self.next_member += 1;
        let id = MemberId(self.next_member);
        if let RoleCore::Control { disk, member, .. } = &mut self.nodes[node].role {
            **disk = FakeDisk::new(RecoveredState::default());
            *member = id;
        }
        self.start(node);
        Member { id, address: address(node) }
    }

    /// Sets whether the disk of a control member syncs no further writes.
    pub fn set_disk_failed(&mut self, node: usize, has_failed: bool) {
        if let RoleCore::Control { disk, .. } = &mut self.nodes[node].role {
            disk.has_failed = has_failed;
        }
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].boot != 0
    }

    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].deferred_events) {
            self.push(0, event);
        }
        let boot = self.nodes[node].boot;
        self.push(0, Event::Tick { node, boot });
    }

    /// Advances virtual time and handles the events due.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(Reverse((at_ms, _, _))) = self.queue.peek()
            && *at_ms <= end_ms
        {
            let Some(Reverse((at_ms, _, UnorderedEvent(event)))) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(event);
            self.check_workers();
        }
        self.now_ms = end_ms;
        self.check_workers();
    }

    pub fn leader(&self) -> Option<usize> {
        let now = self.now();
        let is_leader = |node: &usize| match &self.nodes[*node].role {
            RoleCore::Control { core: Some(core), .. } => core.raft().has_lease(now),
            _ => false,
        };
        self.controls.iter().copied().find(is_leader)
    }

    pub fn control(&self, node: usize) -> Option<&ControlCore> {
        match &self.nodes[node].role {
            RoleCore::Control { core, .. } => core.as_deref(),
            _ => None,
        }
    }

    /// Sends a quick request, unless the entry is down or paused.
    pub fn send_quick(&mut self, entry: usize, body: &str, key: Option<&str>, deadline_ms: u32) {
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
        let token = self.next_token(PendingRequest::Quick);
        let record = QuickRecord {
            body: body.to_owned(),
            key: key.map(CompactString::from),
            answer: None,
            entry,
            sent_ms: self.now_ms,
        };
        self.history.quick_requests.insert(token, record);
        self.send_request(entry, token, CallerRequest::Quick(quick));
    }

    pub fn submit(&mut self, entry: usize, key: &str, spec: JobSpec) {
        let token = self.next_token(PendingRequest::Submit(spec.tasks));
        self.history.submitted += 1;
        self.send_request(entry, token, CallerRequest::Submit { key: key.into(), spec });
    }

    pub fn cancel(&mut self, entry: usize, jobs: Vec<JobId>) {
        let token = self.next_token(PendingRequest::Cancel);
        self.history.cancelled.extend(jobs.iter().copied());
        self.send_request(entry, token, CallerRequest::Cancel(jobs));
    }

    /// Sends a request whose answer is not recorded.
    pub fn send_other(&mut self, entry: usize, request: CallerRequest) {
        let token = self.next_token(PendingRequest::Other);
        self.send_request(entry, token, request);
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
        let token = self.next_token(PendingRequest::Change(index));
        let command = ConfigureCommand { based_on, key: key.into(), operator: "op".into(), change };
        self.send_operation(control, token, Operation::Propose(Command::Configure(command)));
        index
    }

    /// Sends an operation to a control process; its outcome is not recorded.
    pub fn request_operation(&mut self, control: usize, operation: Operation) {
        let token = self.next_token(PendingRequest::Other);
        self.send_operation(control, token, operation);
    }

    pub fn leave_endpoint(&mut self, agent: usize) {
        let RoleCore::Agent { vm, .. } = self.nodes[agent].role else { return };
        self.vms[vm].is_announcing = self.sabotage == Some(Sabotage::LeaveUnheard);
        if !self.is_up(agent) {
            return;
        }
        self.history.left_ms_by_vm.insert(vm, self.now_ms);
        if self.sabotage != Some(Sabotage::LeaveUnheard) {
            self.input_agent(
                agent,
                agent::Input::Leave { token: 0, address: executor_address(vm) },
            );
        }
    }

    pub fn announce_again(&mut self, agent: usize) {
        let RoleCore::Agent { vm, .. } = self.nodes[agent].role else { return };
        self.history.left_ms_by_vm.remove(&vm);
        self.vms[vm].is_announcing = true;
        self.announce(agent);
    }

    /// Begins a planned stop of a process.
    pub fn begin_stop(&mut self, node: usize) {
        self.input_entry(node, entry::Input::Stop);
        self.input_agent(node, agent::Input::Stop);
        self.input_control(node, control::Input::Stop);
    }

    /// Returns whether a stopping process may end.
    pub fn is_drained(&self, node: usize) -> bool {
        match &self.nodes[node].role {
            RoleCore::Entry { core } => core.as_ref().is_none_or(|it| it.is_drained()),
            RoleCore::Agent { core, .. } => core.as_ref().is_none_or(|it| it.is_drained()),
            RoleCore::Control { core, .. } => core.as_ref().is_none_or(|it| !it.raft().is_leader()),
        }
    }

    fn next_token(&mut self, pending: PendingRequest) -> u64 {
        self.next_token += 1;
        self.history.operations += 1;
        self.pending_requests.insert(self.next_token, pending);
        self.next_token
    }

    fn send_request(&mut self, entry: usize, token: u64, request: CallerRequest) {
        self.input_entry(entry, entry::Input::Request { token, team: "team".into(), request });
    }

    fn send_operation(&mut self, control: usize, token: u64, operation: Operation) {
        let deadline_ms = self.now_ms + 8_000;
        self.input_control(control, control::Input::Operation { token, operation, deadline_ms });
    }

    fn announce(&mut self, node: usize) {
        let RoleCore::Agent { vm, core: Some(_) } = &self.nodes[node].role else { return };
        let vm = *vm;
        if self.vms[vm].is_up && self.vms[vm].is_announcing && !self.nodes[node].paused {
            let address = executor_address(vm);
            let announcement =
                Announcement { class: "quick".into(), address, slots: 4, connections: 60 };
            self.input_agent(node, agent::Input::Announce { token: 0, announcement });
        }
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_ms + delay_ms, self.sequence, UnorderedEvent(event))));
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
            return self.finish_execution(node, boot, id);
        }
        if self.nodes[node].boot != boot || boot == 0 {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].deferred_events.push(event);
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
                    if disk.has_failed {
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

    pub fn input_entry(&mut self, node: usize, input: entry::Input) {
        let now = self.now();
        if self.nodes[node].paused {
            return;
        }
        if let RoleCore::Entry { core: Some(core) } = &mut self.nodes[node].role {
            core.handle(now, input);
            self.apply_effects(node);
        }
    }

    fn input_agent(&mut self, node: usize, input: agent::Input) {
        let now = self.now();
        if self.nodes[node].paused {
            return;
        }
        if let RoleCore::Agent { core: Some(core), .. } = &mut self.nodes[node].role {
            core.handle(now, input);
            self.apply_effects(node);
        }
    }

    pub fn input_control(&mut self, node: usize, input: control::Input) {
        let now = self.now();
        if self.nodes[node].paused {
            return;
        }
        if let RoleCore::Control { core: Some(core), .. } = &mut self.nodes[node].role {
            core.handle(now, input).unwrap();
            self.apply_effects(node);
        }
    }
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_000))
}

pub fn executor_address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, vm as u8 + 1], 8_000))
}

/// Returns a worker that accepts every start, so that only the checker enforces VM capacity.
fn unlimited_worker() -> WorkerModel {
    let capacity =
        Resources { cpu_millicores: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };
    WorkerModel::new(capacity)
}
