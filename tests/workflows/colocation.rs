//! A minute of services and batch work on the same workers, and what their callers get.
//!
//! Services swing in load, each image at its own time. Fillers of one kind take much from the
//! services of one kind and next to nothing from others; nobody tells the leader which.

use std::collections::{BTreeMap, HashMap};

use aspenrail::{
    policy::{
        contention::{UNKNOWN_COST_PERCENT, headroom_percent},
        throttling::{FillerReading, ServingReading, Throttler},
    },
    prelude::*,
};

use crate::fillers::{Leader, filler, node, service};

const WORKERS: u64 = 8;
const STEP_MS: u64 = 250;
const PLAYED_MS: u64 = 60_000;
const TARGET_MS: u64 = 50;

/// Headroom of a service without load.
const IDLE_PERCENT: f64 = 500.0;

/// Time from handing in within which a batch workflow is worth its full amount.
const OBJECTIVE_MS: u64 = 5_000;

/// Work of a filler at full speed.
const WORK_MS: u64 = 1_700;

/// Images of fillers, by kind.
const IMAGES: [&str; 8] = ["a3", "a4", "a5", "b3", "b4", "b5", "c1", "c2"];

/// Minutes played.
const SEEDS: u64 = 6;

/// Most of the time that services may be over their bounds. It was 0.67 % on VMs of 64 cores and
/// 1.79 % on VMs of 16, with costs told by the core, levels apart from costs, and each estimate cut
/// at nothing; it was 0.49 and 0.44 % with services taken to use 45 % at any time; it is 0.40 and
/// 0.41 %.
const OVER_MAX_PERCENT: f64 = 0.6;

/// Least part of batch workflows that meet their objective: 65.7 and 62.5 % before, 72.6 and 73.8 %
/// then, 76.4 and 77.3 % now. What is handed in is more than the workers can do beside their services.
const IN_TIME_MIN_PERCENT: f64 = 74.0;

/// What a core of a VM of 64 takes from a service as a filler, in percent of headroom, by the first
/// letters of their names: services of kinds a and b suffer from fillers of their kind; kind c is
/// mild to all.
fn true_cost_percent(service: &str, filler: &str) -> f64 {
    match service.as_bytes()[0] == filler.as_bytes()[0] {
        true => 8.0,
        false => 1.0,
    }
}

/// What the services of an image have left without fillers at a time.
fn rest_percent(image: &str, now_ms: u64) -> f64 {
    let phase = f64::from(image.as_bytes()[1]) + now_ms as f64 / 14_000.0 * std::f64::consts::TAU;
    IDLE_PERCENT * (1.0 - 0.45 * (1.0 + 0.5 * phase.sin()))
}

/// One worker with its node.
struct Place {
    ended: Vec<EndedRun>,
    cursor: u64,
    costs_percent: HashMap<(CompactString, CompactString), f64>,
    throttler: Throttler,
}

/// A run, and the step that it is of.
type Running = (RunRef, WorkflowStep);

impl Place {
    fn new() -> Place {
        let throttler = Throttler::new(4_000);
        Place { ended: Vec::new(), cursor: 0, costs_percent: HashMap::new(), throttler }
    }

    fn take_grant(&mut self, grant: &NodeGrant) {
        self.ended.retain(|it| grant.acked_cursor < it.cursor);
        for it in &grant.costs {
            let pair = (it.serving.clone(), it.filler.clone());
            self.costs_percent.insert(pair, f64::from(it.headroom_percent));
        }
    }

    /// Returns the processor that a filler uses at its pace.
    fn cores(&self, (run, step): &Running) -> f64 {
        f64::from(step.need.cpu_millicores) / 1_000.0 * self.share(*run)
    }

    fn share(&self, run: RunRef) -> f64 {
        f64::from(self.throttler.speed_percent(run)) / 100.0
    }

    fn tail_ms(
        &self,
        serving: &WorkflowStep,
        fillers: &[Running],
        vm_cores: u32,
        now_ms: u64,
    ) -> u32 {
        let share = 64.0 / f64::from(vm_cores);
        let cost =
            |it: &Running| true_cost_percent(&serving.image, &it.1.image) * self.cores(it) * share;
        let taken: f64 = fillers.iter().map(cost).sum();
        let headroom = (rest_percent(&serving.image, now_ms) - taken).max(10.0);
        (TARGET_MS as f64 * 100.0 / headroom) as u32
    }

    fn pace(&mut self, services: &[Running], tails_ms: &[u32], fillers: &[Running], now_ms: u64) {
        let told = |serving: &CompactString, filler: &CompactString| {
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
                used_cores: self.cores(it),
                core_costs_percent: services
                    .iter()
                    .map(|(_, s)| told(&s.image, &it.1.image))
                    .collect(),
            })
            .collect();
        self.throttler.observe(&serving_readings, &filler_readings, now_ms);
    }

    fn end(&mut self, run: RunRef, outcome: RunOutcome) {
        self.cursor += 1;
        let end = RunEnd { run, outcome, checkpoint: "saved".into() };
        self.ended.push(EndedRun { cursor: self.cursor, end });
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    /// Readings of services, and those over their bounds.
    readings: u32,
    over: u32,
    /// Batch workflows handed in, and those done within their objective.
    batch: u32,
    in_time: u32,
}

struct Hall {
    leader: Leader,
    /// Cores of each VM. Everything is the same by share of a VM.
    cores: u32,
    places: Vec<Place>,
    /// Work done for each filler, in milliseconds at full speed.
    done_ms: BTreeMap<TaskRef, f64>,
    /// When batch workflows were handed in that are not done.
    open: BTreeMap<u64, u64>,
    served: Served,
}

impl Hall {
    fn new(cores: u32) -> Hall {
        let mut leader = Leader::of_cores(WORKERS, cores);
        for (id, image) in (1..).zip(["a1", "b1", "a2", "b2"]) {
            leader.submit(id, vec![of_share(service(image, 6, 13), cores)]);
        }
        let places = (0..WORKERS).map(|_| Place::new()).collect();
        let (done_ms, open) = (BTreeMap::new(), BTreeMap::new());
        Hall { leader, cores, places, done_ms, open, served: Served::default() }
    }

    fn submit_batch(&mut self, id: u64, image: &str, count: u32) {
        let mut step = of_share(filler(image, count, 7, 200), self.cores);
        step.estimate_ms = WORK_MS;
        self.open.insert(id, self.leader.now_ms);
        self.served.batch += 1;
        self.leader.submit(id, vec![step]);
    }

    fn pass(&mut self) {
        self.leader.now_ms += STEP_MS;
        for worker in 1..=WORKERS {
            let (running, ended) = self.work(worker);
            self.leader.tell(worker, running, ended);
        }
        let now_ms = self.leader.now_ms;
        let workflows = &self.leader.workflows;
        let is_done = |id: &u64| {
            let phase = workflows.get(WorkflowId(*id)).map(|it| it.phase());
            phase == Some(WorkflowPhase::Completed)
        };
        let done: Vec<_> = self.open.extract_if(.., |id, _| is_done(id)).collect();
        let in_time = |(_, since_ms): &&(u64, u64)| now_ms <= since_ms + OBJECTIVE_MS;
        self.served.in_time += done.iter().filter(in_time).count() as u32;
    }

    /// Lets a worker work for a step, and returns what it lists.
    fn work(&mut self, worker: u64) -> (Vec<RunningTask>, Vec<EndedRun>) {
        let now_ms = self.leader.now_ms;
        let place = &mut self.places[worker as usize - 1];
        if let Some(grant) = self.leader.grants.get(&node(worker)) {
            place.take_grant(grant);
        }
        let mut runs = self.leader.runs_on(worker);
        runs.retain(|run| !place.ended.iter().any(|it| it.end.run == *run));
        let step_of = |run: &RunRef| self.leader.workflows.step_of(run.task).unwrap().clone();
        let all = runs.iter().map(|run| (*run, step_of(run)));
        let (fillers, services): (Vec<_>, Vec<_>) = all.partition(|(_, it)| it.filler);
        let tails_ms: Vec<_> = services
            .iter()
            .map(|(_, it)| place.tail_ms(it, &fillers, self.cores, now_ms))
            .collect();
        self.served.readings += tails_ms.len() as u32;
        let is_over = |it: &&u32| TARGET_MS < u64::from(**it);
        self.served.over += tails_ms.iter().filter(is_over).count() as u32;
        let list = |run: RunRef, progress_percent, load| RunningTask {
            run,
            checkpoint: "saved".into(),
            progress_percent,
            load,
        };
        let mut running: Vec<_> =
            services.iter().zip(&tails_ms).map(|(it, tail_ms)| list(it.0, 100, *tail_ms)).collect();
        for it in &fillers {
            let done_ms = self.done_ms.entry(it.0.task).or_default();
            *done_ms += STEP_MS as f64 * place.share(it.0);
            let load = (place.cores(it) * 1_000.0) as u32;
            match () {
                () if WORK_MS as f64 <= *done_ms => place.end(it.0, RunOutcome::Done),
                () if self.leader.stops.contains(&it.0) => place.end(it.0, RunOutcome::Stopped),
                () => running.push(list(it.0, (*done_ms * 100.0) as u32 / WORK_MS as u32, load)),
            }
        }
        place.pace(&services, &tails_ms, &fillers, now_ms);
        (running, place.ended.clone())
    }
}

/// Returns a step of a VM of 64 cores as one that takes the same share of a smaller VM.
fn of_share(mut step: WorkflowStep, cores: u32) -> WorkflowStep {
    step.need.cpu_millicores = step.need.cpu_millicores * cores / 64;
    step
}

/// Plays a minute in which as much batch work comes as idle cores could do, and returns what
/// callers got.
fn play(seed: u64, cores: u32) -> Served {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut hall = Hall::new(cores);
    let mut id = 100;
    for at_ms in (0..PLAYED_MS).step_by(STEP_MS as usize) {
        // Bursts of twice the usual work for a third of the time.
        let per_step = if at_ms % 15_000 < 5_000 { 0.6 } else { 0.3 };
        if random.f64() < per_step {
            id += 1;
            let image = IMAGES[random.usize(0..IMAGES.len())];
            hall.submit_batch(id, image, random.u32(6..24));
        }
        hall.pass();
    }
    hall.served
}

#[yare::parameterized(
    large_vms = { 64 },
    small_vms = { 16 },
)]
fn callers_of_services_and_of_batch_work_are_both_served_in_a_busy_minute(cores: u32) {
    let all: Vec<_> = (0..SEEDS).map(|seed| play(seed, cores)).collect();
    let sum = |of: fn(&Served) -> u32| all.iter().map(of).sum::<u32>();
    let over = f64::from(sum(|it| it.over)) * 100.0 / f64::from(sum(|it| it.readings));
    let in_time = f64::from(sum(|it| it.in_time)) * 100.0 / f64::from(sum(|it| it.batch));
    println!("services over their bounds {over:.2} % of the time, batch in time {in_time:.1} %");
    assert!(over <= OVER_MAX_PERCENT, "{over:.2} % of readings are over their bounds");
    assert!(IN_TIME_MIN_PERCENT <= in_time, "{in_time:.1} % of batch workflows are in time");
}
