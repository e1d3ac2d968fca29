//! Cost of one control leader by the number of VMs and tasks.

use std::time::{Duration, Instant};

use crate::{
    bench::{fit, resident_bytes},
    control::{
        ControlCore, ControlOptions, Effect, Input, Scheduler, SchedulerOptions,
        log::RecoveredState,
        state::{Change, State},
    },
    link::encode_frame,
    prelude::*,
    schema::settings::ControlSettings,
    util::GroupId,
};

const GROUP_ID: GroupId = GroupId { region: 1, group: 1 };
const WALL_MS: u64 = 1_700_000_000_000;

/// CPU of a VM: more than the tasks that the largest case places on one.
const VM_MILLICORES: u32 = 64_000;

/// Results of one case.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub vms: u32,
    pub tasks: u32,
    /// Time to plan and apply one start with the index.
    pub start_us: f64,
    /// Time to choose a VM by comparing all of them: the baseline.
    pub scan_us: f64,
    /// Time to handle and answer one agent's heartbeat.
    pub heartbeat_us: f64,
    /// Size of a heartbeat and of its answer on the link.
    pub heartbeat_bytes: usize,
    pub reply_bytes: usize,
    /// Size of the state in a snapshot, and the time to encode it.
    pub snapshot_bytes: usize,
    pub snapshot_ms: f64,
    /// Growth of resident memory while the state and the indexes were built.
    pub resident_bytes: u64,
    /// Time to rebuild the indexes, as after a change of leader.
    pub rebuild_ms: f64,
}

/// Measures every combination of the sizes and prints a table with the fitted slopes.
pub fn run(vm_counts: &[u32], task_counts: &[u32]) {
    println!(
        "vms tasks start_us scan_us heartbeat_us heartbeat_B reply_B snapshot_B snapshot_ms resident_B rebuild_ms"
    );
    let mut cases = Vec::new();
    for tasks in task_counts {
        for vms in vm_counts {
            let case = measure(*vms, *tasks);
            println!(
                "{} {} {:.1} {:.1} {:.1} {} {} {} {:.1} {} {:.1}",
                case.vms,
                case.tasks,
                case.start_us,
                case.scan_us,
                case.heartbeat_us,
                case.heartbeat_bytes,
                case.reply_bytes,
                case.snapshot_bytes,
                case.snapshot_ms,
                case.resident_bytes,
                case.rebuild_ms
            );
            cases.push(case);
        }
    }
    let per_vm = |it: &Case| f64::from(it.tasks) / f64::from(it.vms);
    print_fit("heartbeat bytes by tasks on a VM", &cases, per_vm, |it| it.heartbeat_bytes as f64);
    print_fit("heartbeat us by tasks on a VM", &cases, per_vm, |it| it.heartbeat_us);
    print_fit(
        "snapshot bytes by tasks",
        &cases,
        |it| f64::from(it.tasks),
        |it| it.snapshot_bytes as f64,
    );
    print_fit("snapshot ms by tasks", &cases, |it| f64::from(it.tasks), |it| it.snapshot_ms);
    print_fit(
        "resident bytes by tasks",
        &cases,
        |it| f64::from(it.tasks),
        |it| it.resident_bytes as f64,
    );
    print_fit("rebuild ms by tasks", &cases, |it| f64::from(it.tasks), |it| it.rebuild_ms);
    print_fit("scan us by VMs", &cases, |it| f64::from(it.vms), |it| it.scan_us);
    print_fit("start us by VMs", &cases, |it| f64::from(it.vms), |it| it.start_us);
}

fn print_fit(
    name: &str,
    cases: &[Case],
    size: impl Fn(&Case) -> f64,
    measure: impl Fn(&Case) -> f64,
) {
    let points: Vec<_> = cases.iter().map(|it| (size(it), measure(it))).collect();
    let line = fit(&points);
    println!(
        "fit: {name}: {:.3} + {:.6} x, largest error {:.0} %",
        line.base,
        line.slope,
        line.error * 100.0
    );
}

fn now(ms: u64) -> Now {
    Now { mono_ms: 10_000 + ms, wall_ms: WALL_MS + ms }
}

/// Measures one case.
fn measure(vms: u32, tasks: u32) -> Case {
    let resident_before = resident_bytes();
    let mut core = single_member_leader(vms, tasks);
    let resident_after = resident_bytes();
    let state = core.state().clone();

    let started_at = Instant::now();
    let encoded_bytes = state.to_bytes().map_or(0, |it| it.len());
    let snapshot_ms = millis(started_at.elapsed());
    let started_at = Instant::now();
    let mut scheduler = Scheduler::new(&state, SchedulerOptions::default());
    let rebuild_ms = millis(started_at.elapsed());

    let (heartbeat_us, heartbeat_bytes, reply_bytes) = measure_heartbeats(&mut core);
    let mut state = state;
    let start_us = measure_starts(&mut state, &mut scheduler);
    Case {
        vms,
        tasks,
        start_us,
        scan_us: measure_scan(&state),
        heartbeat_us,
        heartbeat_bytes,
        reply_bytes,
        snapshot_bytes: encoded_bytes,
        snapshot_ms,
        resident_bytes: resident_after.saturating_sub(resident_before),
        rebuild_ms,
    }
}

/// Returns the leader of a single-member group with `vms` VMs and `tasks` running tasks, which
/// were all created through its log.
fn single_member_leader(vms: u32, tasks: u32) -> ControlCore {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let member = Member { id: MemberId(1), address };
    let recovered = RecoveredState {
        initial_members: Membership { voters: vec![member], learners: Vec::new() },
        ..RecoveredState::default()
    };
    let options = ControlOptions {
        group_id: GROUP_ID,
        member: MemberId(1),
        address,
        control_addresses: vec![address],
        settings: settings(address),
        boot: 7,
        dispatch: None,
        target_voter_count: 0,
    };
    let mut core =
        ControlCore::new(options, recovered, now(0)).expect("an empty disk holds no snapshot");
    for ms in [0, 1_000, 2_500, 4_000] {
        handle_input(&mut core, now(ms), Input::Tick);
    }
    for it in configuration() {
        let based_on = core.in_force();
        let key = format_compact!("{based_on}");
        let command = ConfigureCommand { based_on, key, operator: "bench".into(), change: it };
        propose(&mut core, Command::Configure(command));
    }
    for vm in 0..vms {
        propose(&mut core, Command::OpenSession(open_session(vm)));
    }
    let mut next_number = 0;
    while next_number < tasks {
        let count = (tasks - next_number).min(20);
        propose(&mut core, Command::Submit(submit(next_number, count)));
        next_number += count;
    }
    // The scheduler plans the starts: up to 128 tasks in each turn of 25 ms.
    let mut ms = 5_000;
    while core.scheduler().is_some_and(|it| !it.queue().is_empty()) && ms < 60_000 {
        ms += 25;
        handle_input(&mut core, now(ms), Input::Tick);
    }
    core
}

fn propose(core: &mut ControlCore, command: Command) {
    let operation = Operation::Propose(command);
    handle_input(core, now(4_500), Input::Operation { token: 0, operation, deadline_ms: u64::MAX });
}

/// Handles one input and confirms the disk writes that it causes; returns the messages sent.
fn handle_input(core: &mut ControlCore, now: Now, input: Input) -> Vec<Message> {
    let mut sent = Vec::new();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        core.handle(now, input).expect("the inputs are valid");
        for effect in core.take_effects() {
            match effect {
                Effect::Write { number, .. } => inputs.push(Input::Persisted { number }),
                Effect::Send { message, .. } => sent.push(message),
                Effect::Answer { .. } => (),
            }
        }
    }
    sent
}

fn measure_heartbeats(core: &mut ControlCore) -> (f64, usize, usize) {
    let rounds = 2_000;
    let heartbeats: Vec<_> =
        core.state().vms.iter().filter_map(|vm| heartbeat_of(core, vm)).collect();
    let bytes =
        heartbeats.iter().map(|it| frame_bytes(Message::AgentHeartbeat(it.clone()))).sum::<usize>();
    let from = std::net::SocketAddr::from(([127, 0, 0, 1], 2));
    let mut reply_bytes = 0;
    let mut answered = 0;
    let mut elapsed = Duration::ZERO;
    // The first round is not measured: it changes tasks from starting to running.
    for round in 0..2_u64 {
        for index in 0..rounds.max(heartbeats.len()) {
            let mut it = heartbeats[index % heartbeats.len()].clone();
            it.number += round * 1_000_000 + index as u64;
            let input = Input::Message { from, message: Message::AgentHeartbeat(it) };
            let started_at = Instant::now();
            let sent = handle_input(core, now(4_500), input);
            if round == 1 {
                elapsed += started_at.elapsed();
                answered += 1;
                reply_bytes += sent.into_iter().map(frame_bytes).sum::<usize>();
            }
        }
    }
    let count = heartbeats.len().max(1);
    (
        micros(elapsed) / f64::from(answered.max(1)),
        bytes / count,
        reply_bytes / answered.max(1) as usize,
    )
}

fn frame_bytes(message: Message) -> usize {
    let envelope = Envelope { in_force: Revision(1), message };
    encode_frame(&envelope, usize::MAX).map_or(0, |it| it.len())
}

fn heartbeat_of(core: &ControlCore, vm: &crate::control::state::Vm) -> Option<AgentHeartbeat> {
    let session = vm.session.as_ref()?;
    let tasks = vm.tasks.iter().filter_map(|id| core.state().jobs.task(*id));
    let tasks = tasks.map(|it| TaskReport {
        task: it.id,
        incarnation: it.incarnation,
        phase: TaskPhase::Running,
        detail: CompactString::default(),
        run_ms: 12_345,
    });
    let endpoints = (0..5).map(|number| EndpointReport {
        number,
        class: "quick".into(),
        slots: 8,
        leaving: false,
        answer_p99_ms: 0,
    });
    Some(AgentHeartbeat {
        session: session.id,
        number: 1,
        sent_ms: 1_000_000,
        reply_to: session.address,
        in_force: core.in_force(),
        reconciled: true,
        draining: false,
        endpoints: endpoints.collect(),
        tasks: tasks.collect(),
        usage: Usage { cpu_millicores: 40_000, memory_mib: 100_000, age_ms: 2_000 },
    })
}

/// Plans and applies starts while jobs arrive one at a time.
fn measure_starts(state: &mut State, scheduler: &mut Scheduler) -> f64 {
    let rounds = 400;
    let mut started = 0;
    let mut elapsed = Duration::ZERO;
    for round in 0..rounds {
        let mut changes = Vec::new();
        let ms = 6_000 + u64::from(round) * 25;
        let index = state.index() + 1;
        let _ = state.apply(
            index,
            WALL_MS + ms,
            &Command::Submit(submit(1_000_000 + round, 4)),
            &mut changes,
        );
        let started_at = Instant::now();
        note_all(state, scheduler, &changes);
        let plan = scheduler.plan(state, now(ms));
        for start in plan.starts {
            let mut changes = Vec::new();
            let index = state.index() + 1;
            if state.apply(index, WALL_MS + ms, &Command::Start(start), &mut changes).is_ok() {
                started += 1;
            }
            note_all(state, scheduler, &changes);
        }
        elapsed += started_at.elapsed();
    }
    micros(elapsed) / f64::from(started.max(1))
}

fn note_all(state: &State, scheduler: &mut Scheduler, changes: &[Change]) {
    changes.iter().for_each(|it| scheduler.note_change(state, *it));
}

/// Chooses a VM by a scan of all VMs, which needs no index.
fn measure_scan(state: &State) -> f64 {
    let need = submit(0, 1).spec.resources;
    let rounds = 200;
    let started_at = Instant::now();
    let mut found = 0;
    for _ in 0..rounds {
        let fitting = state.vms.iter().filter(|it| it.has_capacity_for(need));
        found += usize::from(fitting.min_by_key(|it| it.free_capacity().cpu_millicores).is_some());
    }
    std::hint::black_box(found);
    micros(started_at.elapsed()) / f64::from(rounds)
}

fn micros(it: Duration) -> f64 {
    it.as_secs_f64() * 1e6
}

fn millis(it: Duration) -> f64 {
    it.as_secs_f64() * 1e3
}

fn configuration() -> Vec<ConfigChange> {
    let quota = Resources { cpu_millicores: u32::MAX, memory_mib: u32::MAX, accelerators: 100 };
    let team = |index: u32| Team {
        name: format_compact!("team-{index}"),
        quota,
        jobs_open_max: u32::MAX,
        requests_in_flight_max: 1_000,
    };
    let class = |name: &str, kind: ClassKind| Class {
        name: name.into(),
        kind,
        answer_target_ms: 50,
        answer_percentile_permille: 990,
        deadline_max_ms: 10_000,
        finish_target_ms: 3_600_000,
        evictions_per_hour: 100,
        urgent: false,
    };
    let teams = (0..25).map(|index| ConfigChange::PutTeam(team(index)));
    let quick = ConfigChange::PutClass(class("quick", ClassKind::LatencyCritical));
    let batch = ConfigChange::PutClass(class("batch", ClassKind::Batch));
    teams.chain([quick, batch]).collect()
}

fn open_session(vm: u32) -> OpenSessionCommand {
    OpenSessionCommand {
        vm_name: format_compact!("vm-{vm}"),
        boot: u64::from(vm),
        zone: format_compact!("zone-{}", vm % 4),
        rack: format_compact!("rack-{}", vm / 3),
        address: std::net::SocketAddr::from(([10, 0, (vm >> 8) as u8, vm as u8], 7_000)),
        capacity: Resources { cpu_millicores: VM_MILLICORES, memory_mib: 250_000, accelerators: 0 },
    }
}

/// Returns a job of `tasks` tasks; every fourth job is a service.
fn submit(number: u32, tasks: u32) -> SubmitCommand {
    let class = if number.is_multiple_of(4) { "quick" } else { "batch" };
    SubmitCommand {
        team: format_compact!("team-{}", number % 25),
        key: format_compact!("job-{number}"),
        spec: JobSpec {
            kind: format_compact!("kind-{}", number % 40),
            class: class.into(),
            subject: format_compact!("lot-{number}"),
            tasks,
            // Small enough for the largest case to fit on ten VMs.
            resources: Resources { cpu_millicores: 10, memory_mib: 20, accelerators: 0 },
            declared_run_ms: 600_000,
            payload: "{\"input\":\"a-reference-of-about-sixty-bytes-to-the-work-to-do\"}".into(),
        },
    }
}

fn settings(address: std::net::SocketAddr) -> ControlSettings {
    ControlSettings {
        listen: address,
        data_folder: "unused".into(),
        operators_file: "unused".into(),
        election_timeout_ms: 1_000,
        heartbeat_ms: 100,
        lease_ms: 15_000,
        lease_margin_ms: 2_000,
        snapshot_entries: 10_000_000,
        free_min_bytes: 0,
        jobs_max: 10_000_000,
        tasks_max: 10_000_000,
        claims_max: 200_000,
        claim_retention_ms: 86_400_000,
        job_retention_ms: 86_400_000,
        watches_max: 100_000,
        watch_events_max: 256,
        vms_max: 100_000,
        task_failures_max: 3,
        vm_failures_max: 3,
        quarantine_ms: 60_000,
    }
}
