//! Effect of each scheduling option on batch work, under load waves, wrong run times and faults.
//!
//! The real state and the real scheduler get seeded arrivals; VMs, run times and the contention
//! with services are simple models. Every variant gets the same arrivals and faults.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::{
        Scheduler, SchedulerOptions,
        state::{Change, State},
    },
    policy::task_queue::RankingRule,
    prelude::*,
    util::GroupId,
};

const WALL_MS: u64 = 1_700_000_000_000;
const STEP_MS: u64 = 100;
const VMS: u32 = 10;
const VM_MILLICORES: u32 = 64_000;

/// Age of a report on the services of a VM when it arrives.
const REPORT_AGE_MS: u64 = 2_000;

/// Duration of a checkpoint.
const CHECKPOINT_MS: u64 = 2_000;

/// Tail latency of a service without contention.
const TAIL_ALONE_MS: f64 = 20.0;

/// A batch load, and the answer target that an operator sets for the services beside it.
#[derive(Clone, Copy, Debug)]
struct Mix {
    name: &'static str,
    /// Offered batch work as a fraction of the CPU that services leave.
    load: f64,
    target_ms: u32,
}

/// Operators who prefer low tail latency set a tight target, those who prefer throughput a loose
/// one; the second mix shows the cost of a tight target under full load.
const MIXES: [Mix; 3] = [
    Mix { name: "quick-heavy, tight target", load: 0.6, target_ms: 40 },
    Mix { name: "batch-heavy, tight target", load: 1.0, target_ms: 40 },
    Mix { name: "batch-heavy, loose target", load: 1.0, target_ms: 120 },
];

/// Kinds of batch work: name, mean run time in seconds, CPU in millicores, relative increase of
/// service tails on a VM full of this kind, and ratio of declared to true run time.
const KINDS: [(&str, f64, u32, f64, f64); 6] = [
    ("index", 15.0, 4_000, 0.1, 10.0),
    ("grade", 40.0, 8_000, 0.2, 0.1),
    ("scan", 90.0, 6_000, 6.0, 1.0),
    ("notice", 8.0, 2_000, 0.0, 5.0),
    ("render", 200.0, 12_000, 0.3, 0.2),
    ("pack", 30.0, 4_000, 4.0, 2.0),
];

/// A scheduling policy to measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    /// First in, first out, on the first VM that fits, without learning.
    Naive,
    /// The scheduler with these options.
    Configured(SchedulerOptions),
    /// The scheduler with its default options and true run times.
    Clairvoyant,
}

/// Results of one simulation.
#[derive(Clone, Debug, Default)]
struct Measurements {
    completed: u64,
    responses_s: Vec<f64>,
    slowdowns: Vec<f64>,
    tails_ms: Vec<f64>,
    target_ms: f64,
    evictions: u64,
    lost_s: f64,
    failed_runs: u64,
    urgent_starts_s: Vec<f64>,
    refused: u64,
}

/// Runs every variant with `seeds` seeds, each for `seconds` of virtual time, and prints a table
/// with the mean and the standard error over the seeds; `only` selects one variant by name.
pub fn run(seeds: u64, seconds: u64, only: Option<&str>) {
    println!(
        "variant | completed/h | slowdown mean | response p50 s | response p99 s | tail p50 ms | tail p99 ms | over target % | \
         evictions | lost work s | failed runs | urgent start p99 s"
    );
    for mix in MIXES {
        println!(
            "-- {}: batch load {} of what services leave, target {} ms",
            mix.name, mix.load, mix.target_ms
        );
        for (name, variant) in
            variants().into_iter().filter(|it| only.is_none_or(|only| it.0 == only))
        {
            let rows: Vec<_> = (1..=seeds)
                .map(|seed| Simulation::new(seed, mix, variant).run(seconds).row(seconds))
                .collect();
            let cells: Vec<_> =
                (0..rows[0].len()).map(|column| cell(rows.iter().map(|it| it[column]))).collect();
            println!("{name} | {}", cells.join(" | "));
        }
    }
}

fn variants() -> Vec<(&'static str, Variant)> {
    let ours = SchedulerOptions { quarantine_ms: 60_000, ..SchedulerOptions::default() };
    vec![
        ("naive: first fit, FIFO", Variant::Naive),
        ("ours", Variant::Configured(ours)),
        ("ours, FIFO", Variant::Configured(SchedulerOptions { rule: RankingRule::Fifo, ..ours })),
        (
            "ours, shortest remaining",
            Variant::Configured(SchedulerOptions { rule: RankingRule::ShortestRemaining, ..ours }),
        ),
        (
            "ours, RS",
            Variant::Configured(SchedulerOptions { rule: RankingRule::RemainingTimesSize, ..ours }),
        ),
        (
            "ours, least attained",
            Variant::Configured(SchedulerOptions { rule: RankingRule::LeastAttained, ..ours }),
        ),
        (
            "ours, sizes as declared",
            Variant::Configured(SchedulerOptions { corrects_run_times: false, ..ours }),
        ),
        (
            "ours, no interference",
            Variant::Configured(SchedulerOptions { learns_interference: false, ..ours }),
        ),
        (
            "ours, no feedback",
            Variant::Configured(SchedulerOptions { uses_feedback: false, ..ours }),
        ),
        (
            "ours, neither of both",
            Variant::Configured(SchedulerOptions {
                uses_feedback: false,
                learns_interference: false,
                ..ours
            }),
        ),
        ("ours, no preemption", Variant::Configured(SchedulerOptions { preempts: false, ..ours })),
        (
            "ours, no reserve",
            Variant::Configured(SchedulerOptions { keeps_urgent_reserve: false, ..ours }),
        ),
        (
            "ours, no quarantine",
            Variant::Configured(SchedulerOptions { vm_failures_max: u32::MAX, ..ours }),
        ),
        ("clairvoyant sizes", Variant::Clairvoyant),
    ]
}

fn cell(values: impl Iterator<Item = f64> + Clone) -> String {
    let count = values.clone().count() as f64;
    let mean = values.clone().sum::<f64>() / count;
    let variance = values.map(|it| (it - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    format!("{mean:.1} ±{:.1}", (variance / count).sqrt())
}

impl Measurements {
    fn row(&self, seconds: u64) -> Vec<f64> {
        let mean = |list: &[f64]| list.iter().sum::<f64>() / list.len().max(1) as f64;
        let over = self.tails_ms.iter().filter(|it| self.target_ms < **it).count();
        vec![
            self.completed as f64 * 3_600.0 / seconds as f64,
            mean(&self.slowdowns),
            quantile(&self.responses_s, 0.5),
            quantile(&self.responses_s, 0.99),
            quantile(&self.tails_ms, 0.5),
            quantile(&self.tails_ms, 0.99),
            over as f64 * 100.0 / self.tails_ms.len().max(1) as f64,
            self.evictions as f64,
            self.lost_s,
            self.failed_runs as f64,
            quantile(&self.urgent_starts_s, 0.99),
        ]
    }
}

fn quantile(list: &[f64], quantile: f64) -> f64 {
    let mut sorted = list.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(((sorted.len().max(1) - 1) as f64 * quantile) as usize).copied().unwrap_or(0.0)
}

/// A running incarnation on its simulated worker.
#[derive(Clone, Debug)]
struct Run {
    incarnation: u32,
    vm: VmId,
    done_ms: f64,
    initial_done_ms: f64,
    /// Time at which a requested checkpoint is complete.
    evicted_at_ms: Option<u64>,
}

struct Simulation {
    variant: Variant,
    mix: Mix,
    random: fastrand::Rng,
    now_ms: u64,
    state: State,
    scheduler: Scheduler,
    runs: BTreeMap<TaskId, Run>,
    /// True run time of each job.
    sizes_ms: BTreeMap<JobId, f64>,
    /// Reports on tail latencies in transit: arrival time, VM and tail.
    reports: Vec<(u64, VmId, f64)>,
    services: BTreeSet<TaskId>,
    measured: Measurements,
    jobs: u64,
}

impl Simulation {
    fn new(seed: u64, mix: Mix, variant: Variant) -> Simulation {
        let state = State::new(GroupId { region: 1, group: 1 });
        let options = match variant {
            Variant::Configured(it) => it,
            _ => SchedulerOptions::default(),
        };
        let scheduler = Scheduler::new(&state, options);
        let mut res = Simulation {
            variant,
            mix,
            random: fastrand::Rng::with_seed(seed),
            now_ms: 0,
            state,
            scheduler,
            runs: BTreeMap::new(),
            sizes_ms: BTreeMap::new(),
            reports: Vec::new(),
            services: BTreeSet::new(),
            measured: Measurements {
                target_ms: f64::from(mix.target_ms),
                ..Measurements::default()
            },
            jobs: 0,
        };
        res.set_up();
        res
    }

    /// Applies the configuration, opens the VM sessions and places two 10-core services on each VM.
    fn set_up(&mut self) {
        let total = Resources {
            cpu_millicores: VMS * VM_MILLICORES,
            memory_mib: u32::MAX,
            accelerators: 0,
        };
        for (index, share) in [2, 4, 4].into_iter().enumerate() {
            let quota = Resources { cpu_millicores: total.cpu_millicores / share, ..total };
            let name = format_compact!("team-{index}");
            self.configure(ConfigChange::PutTeam(Team {
                name,
                quota,
                jobs_open_max: u32::MAX,
                requests_in_flight_max: 1,
            }));
        }
        for (name, kind, urgent) in [
            ("service", ClassKind::LatencyCritical, false),
            ("batch", ClassKind::Batch, false),
            ("urgent", ClassKind::Batch, true),
        ] {
            let is_service = kind == ClassKind::LatencyCritical;
            self.configure(ConfigChange::PutClass(Class {
                name: name.into(),
                kind,
                answer_target_ms: if is_service { self.mix.target_ms } else { 0 },
                answer_percentile_permille: 990,
                deadline_max_ms: if is_service { 1_000 } else { 0 },
                finish_target_ms: 0,
                evictions_per_hour: 120,
                urgent,
            }));
        }
        for vm in 0..VMS {
            self.open_vm(vm);
        }
        self.submit("service", "service", VMS * 2, 10_000, 1e12, 1);
        for _ in 0..20 {
            self.plan();
            self.now_ms += 1_000;
        }
        let ids: Vec<_> = self.runs.keys().copied().collect();
        self.services.extend(ids);
    }

    fn run(mut self, seconds: u64) -> Measurements {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + seconds * 1_000 {
            self.now_ms += STEP_MS;
            let second = (self.now_ms - start_ms) / 1_000;
            self.submit_arrivals(second);
            if (self.now_ms - start_ms).is_multiple_of(1_000) {
                self.inject_faults(second);
                self.measure_tails();
            }
            self.advance_runs(second);
            self.deliver_reports();
            self.plan();
        }
        self.measured
    }

    fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: WALL_MS + self.now_ms }
    }

    fn apply(&mut self, command: &Command) -> Result<Reply, Refusal> {
        let mut changes = Vec::new();
        let index = self.state.index() + 1;
        let outcome = self.state.apply(index, WALL_MS + self.now_ms, command, &mut changes);
        if self.variant != Variant::Naive {
            changes.iter().for_each(|it| self.scheduler.note_change(&self.state, *it));
        }
        for it in changes {
            if let Change::Task(id) = it {
                self.update_run(id);
            }
        }
        outcome
    }

    /// Updates the simulated workers after a change of a task.
    fn update_run(&mut self, id: TaskId) {
        let Some(task) = self.state.jobs.task(id) else { return };
        match task.placement {
            Some(it)
                if self.runs.get(&id).is_none_or(|run| run.incarnation != task.incarnation) =>
            {
                let kept_ms = task.kept_run_ms as f64;
                let run = Run {
                    incarnation: task.incarnation,
                    vm: it.vm,
                    done_ms: kept_ms,
                    initial_done_ms: kept_ms,
                    evicted_at_ms: None,
                };
                self.runs.insert(id, run);
                let job = self.state.jobs.job_of(task);
                if let Some(job) =
                    job.filter(|it| it.spec.class == "urgent" && task.incarnation == 1)
                {
                    let waited_ms = WALL_MS + self.now_ms - job.accepted_ms;
                    self.measured.urgent_starts_s.push(waited_ms as f64 / 1_000.0);
                }
            }
            Some(_) if task.state == TaskState::Checkpointing => {
                if let Some(run) = self.runs.get_mut(&id) {
                    run.evicted_at_ms.get_or_insert(self.now_ms + CHECKPOINT_MS);
                }
            }
            Some(_) => (),
            None => {
                if let Some(run) = self.runs.remove(&id)
                    && task.state.is_waiting()
                {
                    self.measured.lost_s +=
                        (run.done_ms - task.kept_run_ms as f64).max(0.0) / 1_000.0;
                }
            }
        }
    }

    fn configure(&mut self, change: ConfigChange) {
        let based_on = self.state.configuration.revision;
        let key = format_compact!("{based_on}");
        let _ = self.apply(&Command::Configure(ConfigureCommand {
            based_on,
            key,
            operator: "bench".into(),
            change,
        }));
    }

    fn open_vm(&mut self, vm: u32) {
        let _ = self.apply(&Command::OpenSession(OpenSessionCommand {
            vm_name: format_compact!("vm-{vm}"),
            boot: self.now_ms,
            zone: format_compact!("zone-{}", vm % 4),
            rack: format_compact!("rack-{}", vm / 3),
            address: std::net::SocketAddr::from(([10, 0, 0, vm as u8], 7_000)),
            capacity: Resources {
                cpu_millicores: VM_MILLICORES,
                memory_mib: 250_000,
                accelerators: 0,
            },
        }));
    }

    fn submit(
        &mut self,
        class: &str,
        kind: &str,
        tasks: u32,
        cpu_millicores: u32,
        size_ms: f64,
        declared_ms: u64,
    ) {
        self.jobs += 1;
        let team = self.random.u32(0..3);
        let declared_run_ms =
            if self.variant == Variant::Clairvoyant { size_ms as u64 } else { declared_ms };
        let command = Command::Submit(SubmitCommand {
            team: format_compact!("team-{team}"),
            key: format_compact!("job-{}", self.jobs),
            spec: JobSpec {
                kind: kind.into(),
                class: class.into(),
                subject: CompactString::default(),
                tasks,
                resources: Resources { cpu_millicores, memory_mib: 100, accelerators: 0 },
                declared_run_ms,
                payload: CompactString::default(),
            },
        });
        match self.apply(&command) {
            Ok(Reply::JobAccepted(it)) => drop(self.sizes_ms.insert(it.job, size_ms)),
            _ => self.measured.refused += 1,
        }
    }

    /// Submits arriving jobs in waves of ten minutes; the kind `scan`, which causes the most
    /// contention, arrives more often in separate waves.
    fn submit_arrivals(&mut self, second: u64) {
        let free_millicores = f64::from(VMS * (VM_MILLICORES - 20_000));
        let mean_work: f64 =
            KINDS.iter().map(|it| it.1 * f64::from(it.2)).sum::<f64>() / KINDS.len() as f64;
        let wave = if (second / 600).is_multiple_of(2) { 1.25 } else { 0.7 };
        let rate = free_millicores * self.mix.load * wave / mean_work * STEP_MS as f64 / 1_000.0;
        let count = rate as u64 + u64::from(self.random.f64() < rate.fract());
        for _ in 0..count {
            let is_contention_wave = (second / 200).is_multiple_of(3);
            let kind_index = self.random.usize(0..KINDS.len());
            let kind_index = if is_contention_wave && self.random.bool() { 2 } else { kind_index };
            let (kind, mean_s, cpu_millicores, _, declared_ratio) = KINDS[kind_index];
            // Run times are exponential; declared ones differ by the kind's and a random factor.
            let size_ms = (-(1.0 - self.random.f64()).ln() * mean_s * 1_000.0).max(500.0);
            let noise = 10_f64.powf(self.random.f64() - 0.5);
            self.submit(
                "batch",
                kind,
                1,
                cpu_millicores,
                size_ms,
                (size_ms * declared_ratio * noise) as u64 + 1,
            );
        }
        if second.is_multiple_of(30) && self.now_ms.is_multiple_of(1_000) {
            self.submit("urgent", "urgent", 1, 24_000, 8_000.0, 8_000);
        }
    }

    /// Injects faults: one VM fails every task for ten minutes, another is lost for five; every ten
    /// minutes, about a fifth of the waiting jobs are cancelled.
    fn inject_faults(&mut self, second: u64) {
        let lost =
            self.state.vms.by_name("vm-7").and_then(|it| it.session.as_ref().map(|it| it.id));
        match (second, lost) {
            (1_200, Some(session)) => {
                let _ = self.apply(&Command::CloseSession(CloseSessionCommand {
                    session,
                    reason: SessionEnd::Expired,
                }));
            }
            (1_500, _) => self.open_vm(7),
            _ => (),
        }
        if second % 600 == 599 {
            let waiting = self
                .state
                .jobs
                .tasks()
                .filter(|it| it.state.is_waiting() && !self.services.contains(&it.id));
            let jobs: Vec<_> = waiting.map(|it| it.job).collect();
            for job in jobs {
                let Some(team) = self.state.jobs.job(job).map(|it| it.team.clone()) else {
                    continue;
                };
                if self.random.u32(0..5) == 0 {
                    let _ = self.apply(&Command::Cancel(CancelCommand { team, jobs: vec![job] }));
                }
            }
        }
    }

    fn is_failing(&self, vm: VmId, second: u64) -> bool {
        (600..1_200).contains(&second) && self.state.vms.get(vm).is_some_and(|it| it.name == "vm-3")
    }

    fn advance_runs(&mut self, second: u64) {
        let mut events = Vec::new();
        for (id, run) in &mut self.runs {
            if self.services.contains(id) {
                continue;
            }
            let throttle =
                self.scheduler.throttle_permille(*id).map_or(1.0, |it| f64::from(it) / 1_000.0);
            run.done_ms += STEP_MS as f64 * throttle;
        }
        for (id, run) in &self.runs {
            let Some(task) = self.state.jobs.task(*id) else { continue };
            let size_ms = self.sizes_ms.get(&task.job).copied().unwrap_or(f64::MAX);
            let event = if self.services.contains(id) {
                None
            } else if self.is_failing(run.vm, second) && run.initial_done_ms + 1_000.0 < run.done_ms
            {
                Some(TaskEvent::Failed("bad VM".into()))
            } else if size_ms <= run.done_ms {
                Some(TaskEvent::Completed(Completion {
                    result: CompactString::default(),
                    run_ms: run.done_ms as u64,
                }))
            } else if run.evicted_at_ms.is_some_and(|it| it <= self.now_ms) {
                let token = "checkpoint".into();
                Some(TaskEvent::Evicted(Checkpoint { token, run_ms: run.done_ms as u64 }))
            } else if matches!(task.state, TaskState::Starting | TaskState::Resuming) {
                Some(TaskEvent::Running)
            } else {
                None
            };
            events.extend(event.map(|event| TaskEventCommand {
                task: *id,
                incarnation: run.incarnation,
                event,
            }));
        }
        for it in events {
            self.apply_event(it);
        }
    }

    fn apply_event(&mut self, event: TaskEventCommand) {
        let task = self.state.jobs.task(event.task).cloned();
        let Some(task) = task else { return };
        let completed_run_ms = match &event.event {
            TaskEvent::Completed(done) => Some(done.run_ms),
            TaskEvent::Failed(_) => {
                self.measured.failed_runs += 1;
                None
            }
            TaskEvent::Evicted(_) => {
                self.measured.evictions += 1;
                None
            }
            _ => None,
        };
        if self.apply(&Command::TaskEvent(event)).is_err() {
            return;
        }
        let Some(run_ms) = completed_run_ms else { return };
        self.scheduler.note_run(&self.state, &task, run_ms);
        let Some(job) = self.state.jobs.job_of(&task).filter(|it| it.spec.class == "batch") else {
            return;
        };
        let size_ms = self.sizes_ms.get(&task.job).copied().unwrap_or(1.0);
        let response_ms = (WALL_MS + self.now_ms - job.accepted_ms) as f64;
        self.measured.completed += 1;
        self.measured.responses_s.push(response_ms / 1_000.0);
        self.measured.slowdowns.push(response_ms / size_ms);
    }

    /// Measures the tail latency of the services on each VM; the report arrives after a delay.
    fn measure_tails(&mut self) {
        let mut contention: BTreeMap<VmId, f64> = BTreeMap::new();
        for (id, run) in &self.runs {
            let Some(job) = self.state.jobs.task(*id).and_then(|it| self.state.jobs.job_of(it))
            else {
                continue;
            };
            let kind = KINDS.iter().find(|it| it.0 == job.spec.kind);
            let throttle =
                self.scheduler.throttle_permille(*id).map_or(1.0, |it| f64::from(it) / 1_000.0);
            let share = f64::from(job.spec.resources.cpu_millicores) / f64::from(VM_MILLICORES);
            *contention.entry(run.vm).or_insert(0.0) +=
                kind.map_or(0.0, |it| it.3) * share * throttle;
        }
        let with_services: BTreeSet<_> =
            self.services.iter().filter_map(|it| self.runs.get(it)).map(|it| it.vm).collect();
        for vm in with_services {
            let noise = 0.9 + 0.2 * self.random.f64();
            let tail_ms =
                TAIL_ALONE_MS * (1.0 + contention.get(&vm).copied().unwrap_or(0.0)) * noise;
            self.measured.tails_ms.push(tail_ms);
            self.reports.push((self.now_ms + REPORT_AGE_MS, vm, tail_ms));
        }
    }

    fn deliver_reports(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.reports.extract_if(.., |it| it.0 <= now_ms).collect();
        if self.variant == Variant::Naive {
            return;
        }
        for (_, vm, tail_ms) in due {
            let Some(vm) = self.state.vms.get(vm).cloned() else { continue };
            let report = EndpointReport {
                number: 1,
                class: "service".into(),
                slots: 8,
                leaving: false,
                answer_p99_ms: tail_ms as u32,
            };
            let events = self.scheduler.note_endpoints(
                &self.state,
                &vm,
                &[report],
                REPORT_AGE_MS,
                self.now(),
            );
            for it in events {
                let _ = self.apply(&Command::TaskEvent(it));
            }
        }
    }

    fn plan(&mut self) {
        if self.variant == Variant::Naive {
            return self.plan_naively();
        }
        let plan = self.scheduler.plan(&self.state, self.now());
        let starts = plan.starts.into_iter().map(Command::Start);
        let events = plan.events.into_iter().map(Command::TaskEvent);
        let flags = plan.vm_flags.into_iter().map(Command::VmFlags);
        for it in starts.chain(events).chain(flags) {
            let _ = self.apply(&it);
        }
    }

    /// First in, first out, on the first VM that fits; a task that fits on no VM blocks the others.
    fn plan_naively(&mut self) {
        loop {
            let waiting = self.state.jobs.tasks().filter(|it| it.state.is_waiting());
            let Some(task) = waiting.min_by_key(|it| it.id) else { return };
            let need = self.state.jobs.need_of(task);
            let Some(vm) = self.state.vms.iter().find(|it| it.has_capacity_for(need)) else {
                return;
            };
            let Some(session) = vm.session.as_ref().map(|it| it.id) else { return };
            let (task, incarnation, vm) = (task.id, task.incarnation + 1, vm.id);
            let start = StartCommand { task, incarnation, vm, session };
            if self.apply(&Command::Start(start)).is_err() {
                return;
            }
        }
    }
}
