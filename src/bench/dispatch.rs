//! Cost of the workflow leader by the number of workers and of waiting tasks.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    control::{
        dispatch::{
            DispatchOptions, Dispatcher, Features, MemoryLimits, PlanOptions, TombstoneLimits,
        },
        state::Workflows,
    },
    link::{FrameDecoder, encode_frame},
    prelude::*,
};

/// Images of long-running services and of best-effort tasks (fillers), as many as in the users'
/// largest deployment.
const SERVICES: u64 = 16;
const FILLERS: u64 = 30;

/// Serving tasks and fillers on each worker: the former reserve two thirds of its cores, the latter
/// use most of the rest.
const SERVING_PER_WORKER: u32 = 3;
const FILLERS_PER_WORKER: u32 = 3;

/// Tasks of one waiting step: the mean width of the users' batch steps.
const STEP_WIDTH: u32 = 40;

/// Interval of a node's reports.
const REPORT_MS: u64 = 500;

/// Far above the size of any frame in this benchmark.
const FRAME_MAX_BYTES: usize = 1 << 20;

/// Number of measured rounds, in each of which every worker reports once.
const ROUNDS: u32 = 20;

/// Results of one case; times are given as median and 99th percentile.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub workers: u64,
    pub waiting: u32,
    /// Time to decode and handle a report and to encode its answer, without a plan.
    pub report_us: (f64, f64),
    /// Time of a turn that makes a plan while the waiting tasks cannot be placed.
    pub plan_us: (f64, f64),
    pub rows_visited: RowsVisited,
}

/// Mean number of sessions and free capacities that the leader visits in full scans.
#[derive(Clone, Copy, Debug)]
pub struct RowsVisited {
    /// For each worker that registers, one by one, without the rows visited by plans.
    pub per_enrolment: f64,
    /// For each plan while no task waits and no filler is slow.
    pub per_idle_plan: f64,
    /// For each plan while the waiting tasks cannot be placed and every filler is slow.
    pub per_plan: f64,
}

/// Measures every combination of the sizes and prints a table.
pub fn run(workers: &[u64], waiting: &[u32]) {
    println!(
        "workers waiting report_us_p50 report_us_p99 plan_us_p50 plan_us_p99 looks_per_enrolment looks_per_idle_plan looks_per_plan"
    );
    for waiting in waiting {
        for workers in workers {
            let case = measure(*workers, *waiting);
            println!(
                "{} {} {:.1} {:.1} {:.0} {:.0} {:.1} {:.1} {:.1}",
                case.workers,
                case.waiting,
                case.report_us.0,
                case.report_us.1,
                case.plan_us.0,
                case.plan_us.1,
                case.rows_visited.per_enrolment,
                case.rows_visited.per_idle_plan,
                case.rows_visited.per_plan
            );
        }
    }
}

/// Measures one case.
pub fn measure(workers: u64, waiting: u32) -> Case {
    let mut leader = Leader::new(workers);
    let per_enrolment = leader.enrolment_rows_visited as f64 / workers as f64;
    let per_idle_plan = leader.rows_visited_per_plan(1, LOW_TAIL_MS);
    // Services first, then fillers, while tail latencies are low enough for fillers.
    for id in 0..SERVICES {
        let count = (workers as u32 * SERVING_PER_WORKER).div_ceil(SERVICES as u32);
        leader.submit(id + 1, service(id, count));
    }
    leader.report_all(LOW_TAIL_MS);
    leader.report_all(LOW_TAIL_MS);
    for id in 0..FILLERS {
        let count = (workers as u32 * FILLERS_PER_WORKER).div_ceil(FILLERS as u32);
        leader.submit(100 + id, filler(id, count));
    }
    leader.report_all(HIGH_TAIL_MS);
    // With the high tail latencies, no further filler fits beside the services.
    for id in 0..u64::from(waiting.div_ceil(STEP_WIDTH)) {
        leader.submit(1_000 + id, filler(id % FILLERS, STEP_WIDTH));
    }
    leader.report_all(HIGH_TAIL_MS);
    leader.report_times = Vec::new();
    leader.plan_times = Vec::new();
    let per_plan = leader.rows_visited_per_plan(ROUNDS, HIGH_TAIL_MS);
    let rows_visited = RowsVisited { per_enrolment, per_idle_plan, per_plan };
    let report_us = percentiles_us(&mut leader.report_times);
    let plan_us = percentiles_us(&mut leader.plan_times);
    Case { workers, waiting, report_us, plan_us, rows_visited }
}

/// Tail latencies of services that leave capacity for fillers, and that leave none.
const LOW_TAIL_MS: u32 = 12;
const HIGH_TAIL_MS: u32 = 40;
const TARGET_MS: u64 = 50;

struct Leader {
    workflows: Workflows,
    dispatcher: Dispatcher,
    now_ms: u64,
    number: u64,
    workers: u64,
    report_times: Vec<Duration>,
    plan_times: Vec<Duration>,
    enrolment_rows_visited: u64,
}

impl Leader {
    fn new(workers: u64) -> Leader {
        let mut workflows = Workflows::default();
        workflows.apply(&WorkflowCommand::Install(queues()), 1);
        let now = Now { mono_ms: 1_000, wall_ms: 1_000 };
        let options = DispatchOptions {
            lease_ms: 4_000,
            lease_slack_percent: 3,
            lease_margin_ms: 300,
            silent_ms: 1_200,
            retention_ms: 300_000,
            plan: PlanOptions { interval_ms: 250 },
            features: Features::default(),
            memory: MemoryLimits::default(),
            tombstones: TombstoneLimits::default(),
        };
        let dispatcher = Dispatcher::new(options, &workflows, 1, now);
        let (report_times, plan_times) = (Vec::new(), Vec::new());
        let mut res = Leader {
            workflows,
            dispatcher,
            now_ms: 1_000,
            number: 0,
            workers,
            report_times,
            plan_times,
            enrolment_rows_visited: 0,
        };
        res.report_all(0);
        res.report_all(0);
        res
    }

    fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    fn submit(&mut self, id: u64, step: WorkflowStep) {
        let spec = WorkflowSpec {
            payload: "work".into(),
            steps: vec![step],
            repeat_count: 0,
            first_run_ms: 0,
            interval_ms: 0,
        };
        let accepted_ms = self.now_ms;
        self.now_ms += 10;
        let id = WorkflowId(id);
        self.apply(WorkflowCommand::Submit(SubmitWorkflow {
            id,
            queue: "queue".into(),
            spec,
            accepted_ms,
        }));
        self.turn();
    }

    fn apply(&mut self, command: WorkflowCommand) {
        self.workflows.apply(&command, self.now_ms);
        let before = self.dispatcher.rows_visited();
        self.dispatcher.note_applied(&self.workflows, &command, &[], self.now());
        if let WorkflowCommand::Enrol(_) = command {
            self.enrolment_rows_visited += self.dispatcher.rows_visited() - before;
        }
    }

    /// Makes every worker report `rounds` times; returns the mean number of rows visited per plan.
    fn rows_visited_per_plan(&mut self, rounds: u32, tail_ms: u32) -> f64 {
        let (rows_visited, plans) = (self.dispatcher.rows_visited(), self.dispatcher.plan_count());
        (0..rounds).for_each(|_| self.report_all(tail_ms));
        let plans = (self.dispatcher.plan_count() - plans).max(1);
        (self.dispatcher.rows_visited() - rows_visited) as f64 / plans as f64
    }

    /// Makes every worker report once, spread over the report interval.
    fn report_all(&mut self, tail_ms: u32) {
        for worker in 1..=self.workers {
            self.now_ms +=
                u64::from(worker.is_multiple_of(self.workers.div_ceil(REPORT_MS).max(1)))
                    * (REPORT_MS / self.workers).max(1);
            self.report(worker, tail_ms);
        }
    }

    fn report(&mut self, worker: u64, tail_ms: u32) {
        self.number += 1;
        let report = Message::NodeReport(NodeReport {
            node: node(worker),
            boot: 1,
            number: self.number,
            sent_ms: self.now_ms,
            workers: vec![self.report_of(worker, tail_ms)],
        });
        let Ok(frame) = encode_frame(&report, FRAME_MAX_BYTES) else { return };
        let started_at = Instant::now();
        let mut frames = FrameDecoder::new(FRAME_MAX_BYTES);
        frames.push(&frame);
        // Decodes the frame that was just encoded.
        let Ok(Some(Message::NodeReport(report))) = frames.next_frame() else { return };
        self.dispatcher.on_report(&self.workflows, report, &[], self.now());
        self.report_times.push(started_at.elapsed());
        self.turn();
    }

    fn report_of(&self, worker: u64, tail_ms: u32) -> WorkerReport {
        let name = format_compact!("worker-{worker}");
        let id = self.workflows.workers().find(node(worker), &name);
        let known_worker = id.and_then(|it| self.workflows.workers().get(it));
        let running = known_worker.iter().flat_map(|it| &it.runs).map(|run| {
            let is_filler = self.workflows.step_of(run.task).is_some_and(|it| it.filler);
            let load = if is_filler { 3_000 } else { tail_ms };
            RunningTask {
                run: *run,
                checkpoint: "0bb87a21d94b".into(),
                progress_percent: 100,
                load,
            }
        });
        WorkerReport {
            name,
            service: "pool".into(),
            zone: "zone".into(),
            kind: "a".into(),
            rack: "rack".into(),
            capacity: Resources { cpu_millicores: 64_000, memory_mib: 250_000, accelerators: 0 },
            draining: false,
            remaining_ms: 0,
            gone: false,
            term: 1,
            running: running.collect(),
            ended: Vec::new(),
            refused: Vec::new(),
            noted: NotedEnds::NO_ACKNOWLEDGEMENTS,
            roles_missing: false,
            faded: Vec::new(),
        }
    }

    /// Ends a turn, and applies its commands at once.
    fn turn(&mut self) {
        loop {
            let plans = self.dispatcher.plan_count();
            let started_at = Instant::now();
            let output = self.dispatcher.finish_turn(&self.workflows, &[], self.now());
            if plans < self.dispatcher.plan_count() {
                self.plan_times.push(started_at.elapsed());
            }
            for (_, message) in &output.messages {
                let started_at = Instant::now();
                // Encoded as for the link, only to measure the time.
                let _ = encode_frame(message, FRAME_MAX_BYTES);
                if let Some(it) = self.report_times.last_mut() {
                    *it += started_at.elapsed();
                }
            }
            if output.commands.is_empty() {
                return;
            }
            output.commands.into_iter().for_each(|it| self.apply(it));
        }
    }
}

fn node(worker: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + worker as u16))
}

fn queues() -> QueueConfig {
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
    let document = serde_bytes::ByteBuf::new();
    QueueConfig { version: 1, queues: vec![queue], services: vec!["pool".into()], document }
}

fn service(image: u64, count: u32) -> WorkflowStep {
    let need = Resources { cpu_millicores: 13_000, memory_mib: 26_000, accelerators: 0 };
    WorkflowStep {
        lasting: true,
        tail_target_ms: TARGET_MS,
        image: format_compact!("service-{image}"),
        ..step(count, need)
    }
}

fn filler(image: u64, count: u32) -> WorkflowStep {
    let need = Resources { cpu_millicores: 7_000, memory_mib: 13_000, accelerators: 0 };
    let image = format_compact!("filler-{image}");
    WorkflowStep { filler: true, checkpoints: true, image, ..step(count, need) }
}

fn step(count: u32, need: Resources) -> WorkflowStep {
    WorkflowStep {
        count,
        need,
        estimate_ms: 2_700,
        after: Vec::new(),
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

/// Returns the median and the 99th percentile, in microseconds.
fn percentiles_us(times: &mut [Duration]) -> (f64, f64) {
    times.sort_unstable();
    let percentile = |percent: usize| {
        let it = times.get((times.len() * percent / 100).min(times.len().saturating_sub(1)));
        it.map_or(0.0, |it| it.as_secs_f64() * 1e6)
    };
    (percentile(50), percentile(99))
}
