//! Protocol cores, links, disks and simulated workers under one virtual clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use aspenrail::{
    control::{
        self, ControlCore, ControlOptions,
        dispatch::{DispatchOptions, Features, MemoryLimits, PlanOptions, TombstoneLimits},
        log::RecoveredState,
    },
    gateway::{self, GatewayAnswer, GatewayCore, GatewayOptions},
    node::{self, CallResult, NodeCore, NodeOptions, WorkerCall},
    prelude::*,
    schema::settings::ControlSettings,
    util::GroupId,
};

use crate::{
    disk::FakeDisk,
    rules::InvariantChecker,
    worker::{FakeWorker, TaskBehavior},
};

const GROUP_ID: GroupId = GroupId { region: 1, group: 1 };

/// Time after which a worker that was crashed by a task restarts.
const CRASH_DOWN_MS: u64 = 3_000;

/// One crash in this many is followed by a late announcement of the crashed incarnation.
const CRASHES_PER_LATE_ANNOUNCEMENT: u32 = 4;

const HOUR_MS: u64 = 3_600_000;

/// Time after which a node gives up a call without an answer.
const UNANSWERED_CALL_MS: u64 = 500;

/// Interval at which a worker announces itself.
const ANNOUNCE_MS: u64 = 500;

pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + process as u16))
}

#[derive(Debug)]
enum Event {
    Deliver {
        to: SocketAddr,
        from: SocketAddr,
        message: Box<Message>,
    },
    Synced {
        process: usize,
        boot: u64,
        number: u64,
    },
    Call {
        vm: usize,
        boot: u64,
        id: u64,
        call: WorkerCall,
    },
    /// An order that a worker incarnation executes late and does not answer.
    LateCall {
        vm: usize,
        incarnation: u32,
        call: WorkerCall,
    },
    Result {
        vm: usize,
        boot: u64,
        id: u64,
        result: CallResult,
    },
    Announce {
        vm: usize,
    },
    Restart {
        process: usize,
    },
    Revive {
        vm: usize,
    },
    /// An announcement of an incarnation that has crashed since.
    LateAnnouncement {
        vm: usize,
        announcement: Box<node::Announcement>,
    },
}

pub struct Member {
    pub core: Option<Box<ControlCore>>,
    disk: FakeDisk,
    id: MemberId,
    boot: u64,
}

pub struct Node {
    pub core: Option<NodeCore>,
    boot: u64,
    pub worker: FakeWorker,
}

/// Processes 0.. are control members, 100 is the gateway, 200.. are nodes.
pub struct World {
    pub now_ms: u64,
    pub random: fastrand::Rng,
    pub members: Vec<Member>,
    pub nodes: Vec<Node>,
    pub gateway: GatewayCore,
    pub rules: InvariantChecker,
    pub nature: BTreeMap<u64, TaskBehavior>,
    pub answers: BTreeMap<u64, GatewayAnswer>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_token: u64,
    /// Offset that is added to all wall clocks.
    pub wall_ahead_ms: u64,
    /// Members whose disk refuses writes, with the number of the newest refused write, or 0.
    refused_writes: BTreeMap<usize, u64>,
    /// Processes that are disconnected from all others.
    pub partitioned: BTreeSet<usize>,
    /// VMs whose node process is suspended, with the inputs that wait until it resumes.
    pub frozen: BTreeMap<usize, Vec<node::Input>>,
    /// Percentage of orders to workers that get no answer and are executed late.
    pub late_percent: u32,
    /// Whether orders to workers are lost. Polls are still answered.
    pub loses_orders: bool,
    /// Whether workers that are down refuse connections. If not, calls get no answer.
    pub refuses_connections: bool,
    /// Whether crashed workers restart under the id that they had. Random if `None`.
    pub keeps_ids: Option<bool>,
    /// Optional decisions of the members that start from now on.
    pub features: Features,
    /// Lease duration of the members that start from now on.
    pub lease_ms: u64,
    /// Random source for the properties of worker incarnations, separate from `random`.
    worker_random: fastrand::Rng,
}

impl World {
    pub fn new(seed: u64, members: usize, nodes: usize) -> World {
        World::with_features(seed, members, nodes, Features::default())
    }

    /// Creates a world whose leaders have optional decisions turned on.
    pub fn with_features(seed: u64, members: usize, nodes: usize, features: Features) -> World {
        crate::long_run::init_logs();
        let controls: Vec<_> = (0..members).map(address).collect();
        let mut res = World {
            now_ms: 10_000,
            random: fastrand::Rng::with_seed(seed),
            members: Vec::new(),
            nodes: Vec::new(),
            gateway: GatewayCore::new(gateway_options(controls.clone())),
            rules: InvariantChecker::new(3),
            nature: BTreeMap::new(),
            answers: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_token: 0,
            wall_ahead_ms: 0,
            refused_writes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            frozen: BTreeMap::new(),
            late_percent: 0,
            loses_orders: false,
            refuses_connections: false,
            keeps_ids: None,
            features,
            lease_ms: dispatch_options().lease_ms,
            worker_random: fastrand::Rng::with_seed(!seed),
        };
        let founders: Vec<_> = controls
            .iter()
            .enumerate()
            .map(|(index, control)| aspenrail::prelude::Member {
                id: MemberId(index as u64 + 1),
                address: *control,
            })
            .collect();
        for index in 0..members {
            let recovered = RecoveredState {
                initial_members: Membership { voters: founders.clone(), learners: Vec::new() },
                ..RecoveredState::default()
            };
            let (disk, id) = (FakeDisk::new(recovered), MemberId(index as u64 + 1));
            res.members.push(Member { core: None, disk, id, boot: 0 });
            res.start_member(index);
        }
        for vm in 0..nodes {
            res.nodes.push(Node { core: None, boot: 0, worker: FakeWorker::new(vm) });
            res.start_node(vm);
            res.push(vm as u64, Event::Announce { vm });
        }
        res
    }

    pub fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms + 1_700_000_000_000 + self.wall_ahead_ms }
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + after_ms, self.next_event), event);
    }

    fn controls(&self) -> Vec<SocketAddr> {
        (0..self.members.len()).map(address).collect()
    }

    fn start_member(&mut self, index: usize) {
        let options = ControlOptions {
            group_id: GROUP_ID,
            member: self.members[index].id,
            address: address(index),
            control_addresses: self.controls(),
            settings: control_settings(),
            boot: self.random.u64(..),
            dispatch: Some(DispatchOptions {
                lease_ms: self.lease_ms,
                features: self.features,
                ..dispatch_options()
            }),
            target_voter_count: 3,
        };
        let now = self.now();
        let member = &mut self.members[index];
        member.boot = options.boot;
        let recovered = member.disk.crash(0);
        member.core = Some(Box::new(ControlCore::new(options, recovered, now).unwrap()));
        self.handle_member_input(index, control::Input::Tick);
    }

    /// Kills a member. If `wiped`, it loses its disk and restarts with a new member id.
    pub fn kill_member(&mut self, index: usize, down_ms: u64, wiped: bool) {
        self.members[index].core = None;
        self.members[index].disk.crash(0);
        if wiped {
            self.members[index].disk = FakeDisk::new(RecoveredState::default());
            self.members[index].id = MemberId(self.random.u64(1_000..1 << 40));
        }
        self.push(down_ms, Event::Restart { process: index });
    }

    /// Makes the disk of a member refuse writes.
    pub fn refuse_writes(&mut self, index: usize) {
        self.refused_writes.insert(index, 0);
        self.handle_member_input(index, control::Input::DiskWritesRefused(true));
    }

    /// Makes the disk of a member accept writes, including those that it refused.
    pub fn accept_writes(&mut self, index: usize) {
        let number = self.refused_writes.remove(&index).filter(|it| 0 < *it);
        self.handle_member_input(index, control::Input::DiskWritesRefused(false));
        if let Some(number) = number {
            let boot = self.members[index].boot;
            self.push(6, Event::Synced { process: index, boot, number });
        }
    }

    fn start_node(&mut self, vm: usize) {
        let options = NodeOptions {
            address: address(200 + vm),
            control_addresses: self.controls(),
            boot: self.random.u64(..),
            report_ms: 500,
            retry_ms: 100,
            hold_wait_ms: 0,
            watch_wait_ms: 0,
            worker_silent_ms: 2_500,
            harm_max_ms: 4_000,
        };
        self.nodes[vm].boot = options.boot;
        self.nodes[vm].core = Some(NodeCore::new(options));
    }

    pub fn kill_node(&mut self, vm: usize, down_ms: u64) {
        self.nodes[vm].core = None;
        self.push(down_ms, Event::Restart { process: 200 + vm });
    }

    /// Suspends the node process of a VM.
    pub fn pause_node(&mut self, vm: usize) {
        self.frozen.entry(vm).or_default();
    }

    /// Resumes all suspended nodes, which handle the inputs that arrived meanwhile.
    pub fn resume_nodes(&mut self) {
        for (vm, inputs) in std::mem::take(&mut self.frozen) {
            inputs.into_iter().for_each(|it| self.handle_node_input(vm, it));
        }
    }

    pub fn crash_worker(&mut self, vm: usize, down_ms: u64) {
        let announcement = self.nodes[vm].worker.announce(self.now_ms);
        let keeps_id = self.keeps_ids.unwrap_or_else(|| self.worker_random.bool());
        self.nodes[vm].worker.crash(keeps_id, &mut self.rules);
        self.push(down_ms, Event::Revive { vm });
        if self.worker_random.u32(0..CRASHES_PER_LATE_ANNOUNCEMENT) == 0 {
            let after_ms = self.worker_random.u64(0..down_ms + 2_000);
            self.push(
                after_ms,
                Event::LateAnnouncement { vm, announcement: Box::new(announcement) },
            );
        }
    }

    /// Crashes a worker and records the run that caused it.
    fn crash_worker_by_run(&mut self, vm: usize, run: RunRef) {
        self.rules.record_crash_by(run);
        self.crash_worker(vm, CRASH_DOWN_MS);
    }

    /// Returns the index of the member that is the leader.
    pub fn leader(&self) -> usize {
        self.leader_if_any().unwrap()
    }

    /// Returns the index of the member that is the leader, if there is one.
    pub fn leader_if_any(&self) -> Option<usize> {
        let leads = |it: &Member| it.core.as_ref().is_some_and(|it| it.raft().is_leader());
        self.members.iter().position(leads)
    }

    /// Sends a request through the gateway; returns its token.
    pub fn request(&mut self, request: WorkflowRequest) -> u64 {
        self.next_token += 1;
        let (token, now) = (self.next_token, self.now());
        self.gateway
            .handle(now, gateway::Input::Request { token, request, wait_ms: 3_000, waited_ms: 0 });
        self.apply_gateway_effects();
        token
    }

    pub fn submit(&mut self, id: u64, spec: WorkflowSpec, nature: TaskBehavior) -> u64 {
        self.rules.submitted.insert(id, spec.clone());
        self.nature.insert(id, nature);
        self.request(WorkflowRequest::Submit(WorkflowSubmission { target: target(id), spec }))
    }

    /// Advances the virtual clock by `time_ms`, one millisecond at a time.
    pub fn run_for(&mut self, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.now_ms += 1;
            crate::long_run::set_log_time(self.now_ms);
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let event = entry.remove();
            self.handle(event);
        }
        let now = self.now();
        for index in 0..self.members.len() {
            if self.members[index].core.as_ref().is_some_and(|it| it.next_tick_ms() <= now.mono_ms)
            {
                self.handle_member_input(index, control::Input::Tick);
            }
        }
        for vm in 0..self.nodes.len() {
            if let Some(run) = self.nodes[vm].worker.crashing_run(now.mono_ms, &self.nature) {
                self.crash_worker_by_run(vm, run);
            }
            let worker = &mut self.nodes[vm].worker;
            worker.tick(now.mono_ms, &self.nature, &mut self.rules);
            let is_due =
                self.nodes[vm].core.as_ref().is_some_and(|it| it.next_tick_ms() <= now.mono_ms);
            if is_due && !self.frozen.contains_key(&vm) {
                self.handle_node_input(vm, node::Input::Tick);
            }
        }
        if self.gateway.next_tick_ms() <= now.mono_ms {
            self.gateway.handle(now, gateway::Input::Tick);
            self.apply_gateway_effects();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { to, from, message } => self.deliver(to, from, *message),
            Event::Synced { process, boot, number } if self.members[process].boot == boot => {
                self.members[process].disk.sync(number);
                self.handle_member_input(process, control::Input::Persisted { number });
            }
            Event::LateCall { vm, incarnation, call } => {
                let worker = &self.nodes[vm].worker;
                // Orders of an incarnation that has crashed are never executed.
                if worker.up && worker.incarnation == incarnation {
                    self.execute_call(vm, &call, true);
                }
            }
            Event::Call { vm, boot, id, call } => {
                if !self.nodes[vm].worker.up {
                    let (after_ms, result) = match self.refuses_connections {
                        true => (1, CallResult::ConnectionRefused),
                        false => (100, CallResult::NoAnswer),
                    };
                    return self.push(after_ms, Event::Result { vm, boot, id, result });
                }
                if self.nodes[vm].worker.is_mute {
                    let result = CallResult::NoAnswer;
                    return self.push(UNANSWERED_CALL_MS, Event::Result { vm, boot, id, result });
                }
                let result = self.execute_call(vm, &call, false);
                self.push(1, Event::Result { vm, boot, id, result });
            }
            Event::Result { vm, boot, id, result } if self.nodes[vm].boot == boot => {
                self.handle_node_input(vm, node::Input::CallEnded { id, result });
            }
            Event::Announce { vm } => {
                self.push(ANNOUNCE_MS, Event::Announce { vm });
                if self.nodes[vm].worker.up {
                    let now_ms = self.now_ms;
                    let announcement = self.nodes[vm].worker.announce(now_ms);
                    self.handle_node_input(vm, node::Input::WorkerAnnounced(announcement));
                }
            }
            Event::Restart { process } if process < 100 => self.start_member(process),
            Event::Restart { process } => self.start_node(process - 200),
            Event::Revive { vm } => {
                let now = self.now();
                // The wall clock may have been set back.
                let back_ms = if self.worker_random.u32(0..4) == 0 { HOUR_MS } else { 0 };
                self.nodes[vm].worker.revive(now.mono_ms, now.wall_ms - back_ms);
            }
            Event::LateAnnouncement { vm, announcement } => {
                self.handle_node_input(vm, node::Input::WorkerAnnounced(*announcement))
            }
            Event::Synced { .. } | Event::Result { .. } => (),
        }
    }

    /// Executes a call on a worker that is up, which may crash the worker.
    fn execute_call(&mut self, vm: usize, call: &WorkerCall, is_late: bool) -> CallResult {
        let now_ms = self.now_ms;
        let worker = &mut self.nodes[vm].worker;
        worker.is_late = is_late;
        let starts_before = self.rules.starts;
        let result = worker.handle(call, now_ms, &self.nature, &mut self.rules);
        tracing::trace!(event = "call_executed", vm, worker = %worker.name(), is_late, ?call, ?result);
        if let Some(run) = worker.crashing_run(now_ms, &self.nature) {
            self.crash_worker_by_run(vm, run);
            return CallResult::NoAnswer;
        }
        if let node::Action::Start { run, .. } = call.action
            && !is_late
            && starts_before < self.rules.starts
        {
            self.rules.check_start_zone(&zone_of(vm), run, now_ms);
        }
        result
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, message: Message) {
        let process = usize::from(to.port()) - 1_000;
        if self.partitioned.contains(&process)
            || self.partitioned.contains(&(usize::from(from.port()) - 1_000))
        {
            return;
        }
        match process {
            100 => {
                let now = self.now();
                self.gateway.handle(now, gateway::Input::Message(Box::new(message)));
                self.apply_gateway_effects();
            }
            id if 200 <= id => {
                self.handle_node_input(id - 200, node::Input::Message(Box::new(message)))
            }
            member => self.handle_member_input(member, control::Input::Message { from, message }),
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let delay_ms = self.random.u64(1..4);
        self.push(delay_ms, Event::Deliver { to, from, message: Box::new(message) });
    }

    fn handle_member_input(&mut self, index: usize, input: control::Input) {
        let now = self.now();
        let Some(core) = &mut self.members[index].core else { return };
        core.handle(now, input).unwrap();
        let effects = core.take_effects();
        for effect in effects {
            match effect {
                control::Effect::Send { to, message } => self.send(address(index), to, message),
                control::Effect::Write { number, writes } => {
                    self.members[index].disk.write(number, writes);
                    let boot = self.members[index].boot;
                    match self.refused_writes.get_mut(&index) {
                        Some(newest) => *newest = number,
                        None => self.push(6, Event::Synced { process: index, boot, number }),
                    }
                }
                control::Effect::Answer { .. } => (),
            }
        }
    }

    fn handle_node_input(&mut self, vm: usize, input: node::Input) {
        if let Some(waiting) = self.frozen.get_mut(&vm) {
            return waiting.push(input);
        }
        let now = self.now();
        let boot = self.nodes[vm].boot;
        let Some(core) = &mut self.nodes[vm].core else { return };
        core.handle(now, input);
        for effect in core.take_effects() {
            match effect {
                node::Effect::Send { to, message } => self.send(address(200 + vm), to, message),
                node::Effect::AnnouncementIgnored(_) => (),
                node::Effect::Call { id, call } => {
                    let is_order = !matches!(call.action, node::Action::Poll { .. });
                    if is_order && self.loses_orders {
                        let result = CallResult::NoAnswer;
                        self.push(500, Event::Result { vm, boot, id, result });
                    } else if is_order && self.random.u32(0..100) < self.late_percent {
                        let late_ms = self.random.u64(1_000..8_000);
                        let incarnation = self.nodes[vm].worker.incarnation;
                        self.push(late_ms, Event::LateCall { vm, incarnation, call });
                        self.push(
                            500,
                            Event::Result { vm, boot, id, result: CallResult::NoAnswer },
                        );
                    } else {
                        self.push(1, Event::Call { vm, boot, id, call });
                    }
                }
            }
        }
    }

    fn apply_gateway_effects(&mut self) {
        for effect in self.gateway.take_effects() {
            match effect {
                gateway::Effect::Send { to, message } => self.send(address(100), to, message),
                gateway::Effect::Answer { token, answer, .. } => {
                    drop(self.answers.insert(token, answer))
                }
            }
        }
    }

    /// Installs the queue that all workflows of the tests use, and waits until that is accepted.
    pub fn install_queue(&mut self) {
        for _ in 0..20 {
            let token = self.request(WorkflowRequest::Install(queues(1)));
            self.run_for(1_500);
            if self.answers.get(&token) == Some(&GatewayAnswer::Outcome(WorkflowOutcome::Accepted))
            {
                return;
            }
        }
        panic!("no configuration was accepted after 20 requests");
    }

    /// Requests the phase of a workflow until the gateway answers. Returns `None` if it is gone.
    pub fn phase(&mut self, id: u64) -> Option<WorkflowPhase> {
        for _ in 0..10 {
            let token = self.request(WorkflowRequest::Inspect(target(id)));
            self.run_for(1_000);
            match self.answers.remove(&token) {
                Some(GatewayAnswer::Outcome(WorkflowOutcome::Phase(it))) => {
                    self.rules.check_phase(id, it);
                    return Some(it);
                }
                Some(GatewayAnswer::Outcome(WorkflowOutcome::Gone)) => return None,
                _ => (),
            }
        }
        panic!("no answer for workflow {id} after 10 requests");
    }
}

/// Returns the availability zone of a VM.
pub fn zone_of(vm: usize) -> CompactString {
    format_compact!("zone-{}", vm % 3)
}

pub fn target(id: u64) -> WorkflowTarget {
    WorkflowTarget { host: "host".into(), path: format_compact!("/queue/{id:016x}") }
}

pub fn dispatch_options() -> DispatchOptions {
    DispatchOptions {
        lease_ms: 4_000,
        lease_slack_percent: 3,
        lease_margin_ms: 300,
        silent_ms: 1_200,
        retention_ms: 300_000,
        plan: PlanOptions { interval_ms: 250 },
        features: Features::default(),
        memory: MemoryLimits::default(),
        tombstones: TombstoneLimits::default(),
    }
}

/// Options of the gateway, process 100.
pub fn gateway_options(control_addresses: Vec<SocketAddr>) -> GatewayOptions {
    GatewayOptions {
        address: address(100),
        control_addresses,
        zone: "zone-0".into(),
        boot: 1,
        resend_ms: 300,
        election_pause_ms: 50,
        give_up_ms: 1_400,
        park_ms: 900,
        probe_ms: 500,
        calls_max: 100,
        calls_max_bytes: 1 << 25,
        overload_control: false,
    }
}

pub fn queues(version: u64) -> QueueConfig {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/queue/".into(),
        service: "pool".into(),
        priority: 0,
        attempts_max: 3,
        timeout_ms: 3_000,
        stretch_percent: 150,
        target_ms: 250,
        needs_ticket: false,
    };
    QueueConfig {
        version,
        queues: vec![queue],
        services: vec!["pool".into()],
        document: serde_bytes::ByteBuf::from(format!("document {version}").into_bytes()),
    }
}

pub fn step(count: u32, cores: u32, after: &[u32]) -> WorkflowStep {
    WorkflowStep {
        count,
        need: Resources { cpu_millicores: cores * 1_000, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: 500,
        after: after.to_vec(),
        gang: false,
        same_rack: false,
        required_label: CompactString::default(),
        data_rack: CompactString::default(),
        per_worker_max: 0,
        duplicates: false,
        lasting: false,
        image: CompactString::default(),
        tail_target_ms: 0,
        filler: false,
        unavailable_max: 0,
        checkpoints: false,
    }
}

pub fn spec(steps: Vec<WorkflowStep>) -> WorkflowSpec {
    WorkflowSpec { payload: "work".into(), steps, repeat_count: 0, first_run_ms: 0, interval_ms: 0 }
}

pub fn control_settings() -> ControlSettings {
    ControlSettings {
        claim_retention_ms: 0,
        claims_max: 1,
        data_folder: CompactString::default(),
        election_timeout_ms: 500,
        free_min_bytes: 0,
        heartbeat_ms: 100,
        job_retention_ms: 0,
        jobs_max: 1,
        lease_margin_ms: 300,
        lease_ms: 4_000,
        listen: address(999),
        operators_file: CompactString::default(),
        quarantine_ms: 0,
        // Small, so that members that were down also catch up by snapshots.
        snapshot_entries: 200,
        task_failures_max: 1,
        tasks_max: 1,
        vm_failures_max: 1,
        vms_max: 1,
        watch_events_max: 1,
        watches_max: 1,
    }
}
