//! A simulated worker with serving tasks and fillers, and the throttler that watches it.

use aspenrail::{
    policy::{
        contention::headroom_percent,
        throttling::{CpuUsageWindow, FillerReading, ServingReading, Throttler},
    },
    prelude::*,
};

/// Time for which fillers may keep a task over its target.
pub const HARM_MAX_MS: u64 = 4_500;

/// Interval between readings.
const READING_MS: u64 = 250;

/// Resolution of the simulation.
const STEP_MS: u64 = 50;

/// Time after which a speed takes effect, if the call for it is not late.
pub const SPEED_DELAY_MS: u64 = 100;

/// Time constant of the average tail that a worker reports for the last half second.
const TAIL_AVERAGE_MS: f64 = 400.0;

const TARGET_MS: u64 = 50;

/// Headroom of a task whose queue is full.
const LEAST_HEADROOM_PERCENT: f64 = 9.0;

/// Best-effort tasks of one image.
#[derive(Clone, Copy, Debug)]
pub struct FillerGroup {
    pub count: u32,
    /// Cores of each at full speed.
    pub cores: f64,
    /// Headroom that one core uses of each serving task.
    pub cost_percent: f64,
    /// The same as the leader estimates it.
    pub estimated_cost_percent: f64,
}

/// What callers got in the simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Longest time on end for which fillers kept a serving task over its target.
    pub longest_miss_ms: u64,
    /// Time for which fillers kept the serving task that they slowed most over its target.
    pub missed_ms: u64,
    /// Work of the fillers, as a share of their work at full speed.
    pub filler_share: f64,
}

struct ServingTask {
    run: RunRef,
    tail_ms: f64,
    missed_since_ms: Option<u64>,
    missed_ms: u64,
}

struct Filler {
    run: RunRef,
    group: FillerGroup,
    usage: CpuUsageWindow,
    /// Speeds with the times from which they apply.
    speeds: Vec<(u64, u32)>,
}

impl Filler {
    fn speed_percent(&self, now_ms: u64) -> u32 {
        let applied = self.speeds.iter().rfind(|(from_ms, _)| *from_ms <= now_ms);
        applied.map_or(100, |(_, percent)| *percent)
    }

    fn cores(&self, now_ms: u64) -> f64 {
        self.group.cores * f64::from(self.speed_percent(now_ms)) / 100.0
    }
}

/// One worker under a throttler.
pub struct Worker {
    random: fastrand::Rng,
    /// Standard deviation of a reading, as a share of it.
    scatter: f64,
    speed_delay_ms: u64,
    throttler: Throttler,
    serving: Vec<ServingTask>,
    fillers: Vec<Filler>,
    now_ms: u64,
    began_ms: u64,
    done_core_ms: f64,
}

fn run(workflow: u64, index: u32) -> RunRef {
    let task = TaskRef { workflow: WorkflowId(workflow), occurrence: 0, step: 0, index };
    RunRef { task, run: 1 }
}

impl Worker {
    pub fn new(seed: u64, scatter: f64, serving: u32, groups: &[FillerGroup]) -> Worker {
        let began_ms = 10_000;
        let serving = (0..serving).map(|index| ServingTask {
            run: run(1, index),
            tail_ms: 0.0,
            missed_since_ms: None,
            missed_ms: 0,
        });
        let filler = |workflow: u64, group: &FillerGroup, index| Filler {
            run: run(workflow, index),
            group: *group,
            usage: CpuUsageWindow::starting_at(began_ms),
            speeds: Vec::new(),
        };
        let fillers = (2..).zip(groups).flat_map(|(workflow, group)| {
            (0..group.count).map(move |index| filler(workflow, group, index))
        });
        Worker {
            random: fastrand::Rng::with_seed(seed),
            scatter,
            speed_delay_ms: SPEED_DELAY_MS,
            throttler: Throttler::new(HARM_MAX_MS),
            serving: serving.collect(),
            fillers: fillers.collect(),
            now_ms: began_ms,
            began_ms,
            done_core_ms: 0.0,
        }
    }

    /// Lets each speed take effect after this time.
    pub fn delay_speeds(&mut self, delay_ms: u64) {
        self.speed_delay_ms = delay_ms;
    }

    /// Plays `duration_ms`; `idle_headroom_percent` is the headroom without fillers by the time
    /// since the start.
    pub fn play(&mut self, duration_ms: u64, idle_headroom_percent: impl Fn(u64) -> f64) -> Served {
        let mut longest_miss_ms = 0;
        while self.now_ms < self.began_ms + duration_ms {
            self.now_ms += STEP_MS;
            let idle_percent = idle_headroom_percent(self.now_ms - self.began_ms);
            longest_miss_ms = longest_miss_ms.max(self.step(idle_percent));
            if (self.now_ms - self.began_ms).is_multiple_of(READING_MS) {
                self.read();
            }
        }
        let full_core_ms: f64 =
            self.fillers.iter().map(|it| it.group.cores * duration_ms as f64).sum();
        Served {
            longest_miss_ms,
            missed_ms: self.serving.iter().map(|it| it.missed_ms).max().unwrap_or(0),
            filler_share: self.done_core_ms / full_core_ms,
        }
    }

    /// Advances the tails. Returns the longest time for which a task is over its target now.
    fn step(&mut self, idle_percent: f64) -> u64 {
        let used = |it: &Filler| it.group.cost_percent * it.cores(self.now_ms);
        let used_percent: f64 = self.fillers.iter().map(used).sum();
        let cores: f64 = self.fillers.iter().map(|it| it.cores(self.now_ms)).sum();
        self.done_core_ms += cores * STEP_MS as f64;
        let headroom = (idle_percent - used_percent).max(LEAST_HEADROOM_PERCENT);
        let is_missed = headroom < 100.0 && 100.0 <= idle_percent && 0.0 < cores;
        let kept = (-(STEP_MS as f64) / TAIL_AVERAGE_MS).exp();
        let mut longest_ms = 0;
        for it in &mut self.serving {
            let tail_ms = TARGET_MS as f64 * 100.0 / headroom;
            it.tail_ms = it.tail_ms * kept + tail_ms * (1.0 - kept);
            it.missed_since_ms =
                is_missed.then(|| it.missed_since_ms.unwrap_or(self.now_ms - STEP_MS));
            it.missed_ms += if is_missed { STEP_MS } else { 0 };
            let missed_ms = it.missed_since_ms.map_or(0, |since_ms| self.now_ms - since_ms);
            longest_ms = longest_ms.max(missed_ms);
        }
        longest_ms
    }

    /// Returns a normal deviate.
    fn deviate(&mut self) -> f64 {
        (0..12).map(|_| self.random.f64()).sum::<f64>() - 6.0
    }

    /// Gives the throttler a reading, and applies the speeds that it decides on.
    fn read(&mut self) {
        let mut readings = Vec::new();
        for at in 0..self.serving.len() {
            let scatter = 1.0 + self.scatter * self.deviate();
            let tail_ms = (self.serving[at].tail_ms * scatter.max(0.1)).round() as u32;
            let headroom_percent = headroom_percent(tail_ms, TARGET_MS);
            readings.push(ServingReading { run: self.serving[at].run, headroom_percent });
        }
        let now_ms = self.now_ms;
        for it in &mut self.fillers {
            let cores = it.cores(now_ms);
            it.usage.observe(cores, cores, now_ms);
        }
        let filler_reading = |it: &Filler| FillerReading {
            run: it.run,
            full_speed_cores: it.group.cores,
            used_cores: it.usage.cores,
            core_costs_percent: vec![it.group.estimated_cost_percent; self.serving.len()],
        };
        let fillers: Vec<_> = self.fillers.iter().map(filler_reading).collect();
        self.throttler.observe(&readings, &fillers, now_ms);
        for it in &mut self.fillers {
            let percent = self.throttler.speed_percent(it.run);
            it.speeds.push((now_ms + self.speed_delay_ms, percent));
        }
    }
}
