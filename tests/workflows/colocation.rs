//! A minute of services and batch work on the same workers, and what their callers get.
//!
//! The load of services oscillates, each image with its own phase. Best-effort tasks (fillers) of one
//! kind take much headroom from services of the same kind and little from others. The leader has to
//! learn which.

use std::collections::{BTreeMap, HashMap};

use aspenrail::{
    policy::{
        contention::{UNKNOWN_COST_PERCENT, headroom_percent},
        throttling::{FillerReading, ServingReading, Throttler},
    },
    prelude::*,
};

use crate::fillers::{LeaderHarness, filler, node, service};

const WORKERS: u64 = 8;
const STEP_MS: u64 = 250;
const PLAYED_MS: u64 = 60_000;
const TARGET_MS: u64 = 50;

/// Headroom of a service that has no load.
const UNLOADED_HEADROOM_PERCENT: f64 = 500.0;

/// Time after submission within which a batch workflow has its full value.
const OBJECTIVE_MS: u64 = 5_000;

/// Run time of a filler at full speed.
const WORK_MS: u64 = 1_700;

/// Images of fillers; the first letter is the kind.
const IMAGES: [&str; 8] = ["a3", "a4", "a5", "b3", "b4", "b5", "c1", "c2"];

/// Number of simulated minutes, each with its own seed.
const SEED_COUNT: u64 = 6;

/// Highest share of readings of services over their latency targets. It is 0.40 % on VMs of 64 cores
/// and 0.41 % on VMs of 16. Costs reported by core, levels estimated apart from costs, and estimates
/// cut at zero give 0.67 and 1.79 %; services assumed to use 45 % at any time, 0.49 and 0.44 %.
const OVER_MAX_PERCENT: f64 = 0.6;

/// Least share of batch workflows that meet their objective. It is 76.4 and 77.3 %; the alternatives
/// above give 65.7 and 62.5 %, and 72.6 and 73.8 %. More work is submitted than the workers can
/// do beside their services.
const IN_TIME_MIN_PERCENT: f64 = 74.0;

/// Returns the headroom, in percent, that a filler takes from a service for each core that it uses on
/// a 64-core VM. The first letters of the images are their kinds: services of kinds a and b suffer
/// from fillers of their kind, and kind c costs little to all.
fn true_cost_percent(service: &str, filler: &str) -> f64 {
    match service.as_bytes()[0] == filler.as_bytes()[0] {
        true => 8.0,
        false => 1.0,
    }
}

/// Returns the headroom of the services of an image at a time when no filler runs.
fn idle_headroom_percent(image: &str, now_ms: u64) -> f64 {
    let phase = f64::from(image.as_bytes()[1]) + now_ms as f64 / 14_000.0 * std::f64::consts::TAU;
    UNLOADED_HEADROOM_PERCENT * (1.0 - 0.45 * (1.0 + 0.5 * phase.sin()))
}

/// One worker and its node.
struct WorkerNode {
    ended: Vec<EndedRun>,
    cursor: u64,
    costs_percent: HashMap<(CompactString, CompactString), f64>,
    throttler: Throttler,
}

/// A run and its step.
type Running = (RunRef, WorkflowStep);

impl WorkerNode {
    fn new() -> WorkerNode {
        let throttler = Throttler::new(4_000);
        WorkerNode { ended: Vec::new(), cursor: 0, costs_percent: HashMap::new(), throttler }
    }

    fn apply_grant(&mut self, grant: &NodeGrant) {
        self.ended.retain(|it| grant.acked_cursor < it.cursor);
        for it in &grant.costs {
            let pair = (it.serving.clone(), it.filler.clone());
            self.costs_percent.insert(pair, f64::from(it.headroom_percent));
        }
    }

    /// Returns the cores that a filler uses at its current speed.
    fn used_cores(&self, (run, step): &Running) -> f64 {
        f64::from(step.need.cpu_millicores) / 1_000.0 * self.speed_ratio(*run)
    }

    fn speed_ratio(&self, run: RunRef) -> f64 {
        f64::from(self.throttler.speed_percent(run)) / 100.0
    }

    fn tail_ms(
        &self,
        serving: &WorkflowStep,
        fillers: &[Running],
        vm_cores: u32,
        now_ms: u64,
    ) -> u32 {
        let core_scale = 64.0 / f64::from(vm_cores);
        let cost = |it: &Running| {
            true_cost_percent(&serving.image, &it.1.image) * self.used_cores(it) * core_scale
        };
        let used_percent: f64 = fillers.iter().map(cost).sum();
        let headroom = (idle_headroom_percent(&serving.image, now_ms) - used_percent).max(10.0);
        (TARGET_MS as f64 * 100.0 / headroom) as u32
    }

    fn throttle(
        &mut self,
        services: &[Running],
        tails_ms: &[u32],
        fillers: &[Running],
        now_ms: u64,
    ) {
        let known_cost_percent = |serving: &CompactString, filler: &CompactString| {
            let pair = (serving.clone(), filler.clone());
            self.costs_percent.get(&pair).copied().unwrap_or(UNKNOWN_COST_PERCENT)
        };
        let serving_readings: Vec<_> = services
            .iter()
            .zip(tails_ms)
            .map(|((run, _), tail_ms)| ServingReading {
                run: *run,
                headroom_percent: headroom_percent(*tail_ms, TARGET_MS),
            })
            .collect();
        let filler_readings: Vec<_> = fillers
            .iter()
            .map(|it| FillerReading {
                run: it.0,
                full_speed_cores: f64::from(it.1.need.cpu_millicores) / 1_000.0,
                used_cores: self.used_cores(it),
                core_costs_percent: services
                    .iter()
                    .map(|(_, serving)| known_cost_percent(&serving.image, &it.1.image))
                    .collect(),
            })
            .collect();
        self.throttler.observe(&serving_readings, &filler_readings, now_ms);
    }

    fn add_end(&mut self, run: RunRef, outcome: RunOutcome) {
        self.cursor += 1;
        let end = RunEnd { run, outcome, checkpoint: "saved".into() };
        self.ended.push(EndedRun { cursor: self.cursor, end });
    }
}

/// Counts of what callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    /// Latency readings of services, and those over the target.
    readings: u32,
    readings_over_target: u32,
    /// Batch workflows submitted, and those completed within their objective.
    batch_submitted: u32,
    batch_in_time: u32,
}

struct Simulation {
    leader: LeaderHarness,
    /// Cores of each VM. All needs are scaled to the size of the VM.
    vm_cores: u32,
    worker_nodes: Vec<WorkerNode>,
    /// Work done for each filler, in milliseconds at full speed.
    done_ms: BTreeMap<TaskRef, f64>,
    /// Submission times of the batch workflows that are not completed.
    open_since_ms: BTreeMap<u64, u64>,
    served: Served,
}

impl Simulation {
    fn new(vm_cores: u32) -> Simulation {
        let mut leader = LeaderHarness::with_cores(WORKERS, vm_cores);
        for (id, image) in (1..).zip(["a1", "b1", "a2", "b2"]) {
            leader.submit(id, vec![scale_to_vm(service(image, 6, 13), vm_cores)]);
        }
        let worker_nodes = (0..WORKERS).map(|_| WorkerNode::new()).collect();
        let (done_ms, open_since_ms) = (BTreeMap::new(), BTreeMap::new());
        Simulation {
            leader,
            vm_cores,
            worker_nodes,
            done_ms,
            open_since_ms,
            served: Served::default(),
        }
    }

    fn submit_batch(&mut self, id: u64, image: &str, count: u32) {
        let mut step = scale_to_vm(filler(image, count, 7, 200), self.vm_cores);
        step.estimate_ms = WORK_MS;
        self.open_since_ms.insert(id, self.leader.now_ms);
        self.served.batch_submitted += 1;
        self.leader.submit(id, vec![step]);
    }

    fn advance(&mut self) {
        self.leader.now_ms += STEP_MS;
        for worker in 1..=WORKERS {
            let (running, ended) = self.run_worker(worker);
            self.leader.report_runs(worker, running, ended);
        }
        let now_ms = self.leader.now_ms;
        let workflows = &self.leader.workflows;
        let is_done = |id: &u64| {
            let phase = workflows.get(WorkflowId(*id)).map(|it| it.phase());
            phase == Some(WorkflowPhase::Completed)
        };
        let done: Vec<_> = self.open_since_ms.extract_if(.., |id, _| is_done(id)).collect();
        let is_in_time = |(_, since_ms): &&(u64, u64)| now_ms <= since_ms + OBJECTIVE_MS;
        self.served.batch_in_time += done.iter().filter(is_in_time).count() as u32;
    }

    /// Simulates one step of a worker, and returns its running and ended runs.
    fn run_worker(&mut self, worker: u64) -> (Vec<RunningTask>, Vec<EndedRun>) {
        let now_ms = self.leader.now_ms;
        let worker_node = &mut self.worker_nodes[worker as usize - 1];
        if let Some(grant) = self.leader.grants.get(&node(worker)) {
            worker_node.apply_grant(grant);
        }
        let mut runs = self.leader.runs_on(worker);
        runs.retain(|run| !worker_node.ended.iter().any(|it| it.end.run == *run));
        let step_of = |run: &RunRef| self.leader.workflows.step_of(run.task).unwrap().clone();
        let all = runs.iter().map(|run| (*run, step_of(run)));
        let (fillers, services): (Vec<_>, Vec<_>) = all.partition(|(_, it)| it.filler);
        let tails_ms: Vec<_> = services
            .iter()
            .map(|(_, it)| worker_node.tail_ms(it, &fillers, self.vm_cores, now_ms))
            .collect();
        self.served.readings += tails_ms.len() as u32;
        let is_over = |it: &&u32| TARGET_MS < u64::from(**it);
        self.served.readings_over_target += tails_ms.iter().filter(is_over).count() as u32;
        let running_task = |run: RunRef, progress_percent, load| RunningTask {
            run,
            checkpoint: "saved".into(),
            progress_percent,
            load,
        };
        let mut running: Vec<_> = services
            .iter()
            .zip(&tails_ms)
            .map(|(it, tail_ms)| running_task(it.0, 100, *tail_ms))
            .collect();
        for it in &fillers {
            let done_ms = self.done_ms.entry(it.0.task).or_default();
            *done_ms += STEP_MS as f64 * worker_node.speed_ratio(it.0);
            let load = (worker_node.used_cores(it) * 1_000.0) as u32;
            match () {
                () if WORK_MS as f64 <= *done_ms => worker_node.add_end(it.0, RunOutcome::Done),
                () if self.leader.stops.contains(&it.0) => {
                    worker_node.add_end(it.0, RunOutcome::Stopped)
                }
                () => running.push(running_task(
                    it.0,
                    (*done_ms * 100.0) as u32 / WORK_MS as u32,
                    load,
                )),
            }
        }
        worker_node.throttle(&services, &tails_ms, &fillers, now_ms);
        (running, worker_node.ended.clone())
    }
}

/// Scales the need of a step for a 64-core VM to the same share of a smaller VM.
fn scale_to_vm(mut step: WorkflowStep, vm_cores: u32) -> WorkflowStep {
    step.need.cpu_millicores = step.need.cpu_millicores * vm_cores / 64;
    step
}

/// Simulates a minute in which as much batch work arrives as idle cores could do.
fn play(seed: u64, vm_cores: u32) -> Served {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut simulation = Simulation::new(vm_cores);
    let mut id = 100;
    for at_ms in (0..PLAYED_MS).step_by(STEP_MS as usize) {
        // Bursts of twice the usual work during a third of the time.
        let per_step = if at_ms % 15_000 < 5_000 { 0.6 } else { 0.3 };
        if random.f64() < per_step {
            id += 1;
            let image = IMAGES[random.usize(0..IMAGES.len())];
            simulation.submit_batch(id, image, random.u32(6..24));
        }
        simulation.advance();
    }
    simulation.served
}

#[yare::parameterized(
    large_vms = { 64 },
    small_vms = { 16 },
)]
fn callers_of_services_and_of_batch_work_are_both_served_in_a_busy_minute(vm_cores: u32) {
    let all: Vec<_> = (0..SEED_COUNT).map(|seed| play(seed, vm_cores)).collect();
    let sum = |count: fn(&Served) -> u32| all.iter().map(count).sum::<u32>();
    let over_percent =
        f64::from(sum(|it| it.readings_over_target)) * 100.0 / f64::from(sum(|it| it.readings));
    let in_time_percent =
        f64::from(sum(|it| it.batch_in_time)) * 100.0 / f64::from(sum(|it| it.batch_submitted));
    println!(
        "services over their bounds {over_percent:.2} % of the time, batch in time {in_time_percent:.1} %"
    );
    assert!(
        over_percent <= OVER_MAX_PERCENT,
        "{over_percent:.2} % of readings are over their targets"
    );
    assert!(
        IN_TIME_MIN_PERCENT <= in_time_percent,
        "{in_time_percent:.1} % of batch workflows are in time"
    );
}
