//! The rule that divides scarce capacity between callers, under loads of a small queue model.
#![allow(clippy::unwrap_used)]

use aspenrail::policy::{
    shares::{Amounts, CallerShare, STARVED_AFTER_MS, STARVED_TURN, ShareCandidate, Wait, order},
    urgency::{PendingStep, urgency},
};

const TICK_MS: u64 = 50;

/// Factor of objectives over the critical path, as callers of batch work state it.
const STRETCH: u64 = 2;
const TARGET_MS: u64 = 1_000;

/// A workflow of the model: steps of `width` tasks, one after the other, each of one core.
#[derive(Clone, Debug)]
struct Job {
    caller: usize,
    begin_ms: u64,
    width: u64,
    task_ms: u64,
    steps: u64,
    /// Tasks of the present step that have not begun.
    waiting: u64,
    running_until_ms: Vec<u64>,
    end_ms: Option<u64>,
}

impl Job {
    fn new(caller: usize, begin_ms: u64, width: u64, steps: u64) -> Job {
        let (running_until_ms, end_ms) = (Vec::new(), None);
        let (task_ms, waiting) = (1_800, width);
        Job { caller, begin_ms, width, task_ms, steps, waiting, running_until_ms, end_ms }
    }

    fn objective_ms(&self, steps: u64) -> u64 {
        steps * self.task_ms * STRETCH + TARGET_MS
    }

    fn response_ms(&self) -> u64 {
        self.end_ms.unwrap() - self.begin_ms
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Urgency,
    Shares,
}

/// Workers with some cores, and the jobs that compete for them.
struct Model {
    rule: Rule,
    cores: u64,
    now_ms: u64,
    jobs: Vec<Job>,
    all_steps: Vec<u64>,
    callers: Vec<CallerShare>,
    /// Core-milliseconds that each caller had.
    had_core_ms: Vec<u64>,
}

impl Model {
    fn new(rule: Rule, cores: u64, jobs: Vec<Job>) -> Model {
        let callers = jobs.iter().map(|it| it.caller + 1).max().unwrap();
        let all_steps = jobs.iter().map(|it| it.steps).collect();
        Model {
            rule,
            cores,
            now_ms: 0,
            jobs,
            all_steps,
            callers: vec![CallerShare::default(); callers],
            had_core_ms: vec![0; callers],
        }
    }

    fn wait(&self, index: usize) -> Wait {
        let it = &self.jobs[index];
        Wait {
            age_ms: self.now_ms - it.begin_ms,
            objective_ms: it.objective_ms(self.all_steps[index]),
            remaining_ms: it.steps * it.task_ms,
        }
    }

    fn work_core_ms(&self, index: usize) -> u64 {
        let it = &self.jobs[index];
        (it.waiting + it.running_until_ms.len() as u64 + (it.steps - 1) * it.width) * it.task_ms
    }

    fn size_core_ms(&self, index: usize) -> u64 {
        self.all_steps[index] * self.jobs[index].width * self.jobs[index].task_ms
    }

    fn candidates(&self) -> Vec<usize> {
        let is_candidate = |it: &usize| {
            let job = &self.jobs[*it];
            job.begin_ms <= self.now_ms && 0 < job.waiting
        };
        let mut res: Vec<_> = (0..self.jobs.len()).filter(is_candidate).collect();
        match self.rule {
            Rule::Urgency => res.sort_by_key(|it| {
                let wait = self.wait(*it);
                let pending = PendingStep {
                    priority: 0,
                    is_long_running: false,
                    objective_deadline_ms: self.jobs[*it].begin_ms + wait.objective_ms,
                    remaining_ms: wait.remaining_ms,
                    work_core_ms: self.work_core_ms(*it),
                };
                urgency(pending, self.now_ms)
            }),
            Rule::Shares => {
                let input = |it: &usize| ShareCandidate {
                    priority: 0,
                    caller: self.jobs[*it].caller,
                    wait: self.wait(*it),
                    work_core_ms: self.work_core_ms(*it),
                    size_core_ms: self.size_core_ms(*it),
                    demand: millicores(self.jobs[*it].waiting),
                };
                let inputs: Vec<_> = res.iter().map(input).collect();
                let ordered = order(&inputs, &self.callers, millicores(self.cores));
                res = ordered.into_iter().map(|it| res[it]).collect();
            }
        }
        res
    }

    fn tick(&mut self) {
        for job in &mut self.jobs {
            job.running_until_ms.retain(|it| self.now_ms < *it);
            let is_step_done = job.waiting == 0 && job.running_until_ms.is_empty();
            if is_step_done && job.end_ms.is_none() {
                job.steps -= 1;
                job.waiting = if job.steps == 0 { 0 } else { job.width };
                job.end_ms = (job.steps == 0).then_some(self.now_ms);
            }
        }
        let running: usize = self.jobs.iter().map(|it| it.running_until_ms.len()).sum();
        let mut free = self.cores - running as u64;
        for index in self.candidates() {
            let standing = self.wait(index).standing();
            let job = &mut self.jobs[index];
            let begun = job.waiting.min(free);
            free -= begun;
            job.waiting -= begun;
            job.running_until_ms.extend((0..begun).map(|_| self.now_ms + job.task_ms));
            self.callers[job.caller].turns.note(standing, begun * job.task_ms);
        }
        for (caller, share) in self.callers.iter_mut().enumerate() {
            let jobs = self.jobs.iter().filter(|it| it.caller == caller);
            let held: usize = jobs.map(|it| it.running_until_ms.len()).sum();
            share.held = millicores(held as u64);
            self.had_core_ms[caller] += held as u64 * TICK_MS;
            let lately = share.lately.cpu_millicores;
            share.lately.cpu_millicores =
                (lately * 23_600 + share.held.cpu_millicores * TICK_MS) / (23_600 + TICK_MS);
        }
        self.now_ms += TICK_MS;
    }

    fn run_until(mut self, end_ms: u64) -> Model {
        while self.now_ms < end_ms {
            self.tick();
        }
        self
    }

    fn run_to_end(mut self) -> Model {
        while self.jobs.iter().any(|it| it.end_ms.is_none()) {
            assert!(self.now_ms < 3_600_000, "a job never ends");
            self.tick();
        }
        self
    }
}

fn millicores(cores: u64) -> Amounts {
    Amounts { cpu_millicores: cores * 1_000, ..Amounts::default() }
}

/// Batch work with the sizes of a heavy day: widths vary by a factor of 25.
fn heavy_day(seed: u64, callers: usize, jobs: u64, duration_ms: u64) -> Vec<Job> {
    let mut random = fastrand::Rng::with_seed(seed);
    let job = |it: u64| {
        let sum: f64 = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
        let width = (17.0 * (0.6 * sum).exp()).clamp(2.0, 80.0) as u64;
        Job::new(random.usize(0..callers), it * duration_ms / jobs, width, random.u64(1..=3))
    };
    (0..jobs).map(job).collect()
}

/// Jobs of one caller, each `interval_ms` one, from `begin_ms` on.
fn stream(caller: usize, begin_ms: u64, interval_ms: u64, count: u64, width: u64) -> Vec<Job> {
    (0..count).map(|it| Job::new(caller, begin_ms + it * interval_ms, width, 1)).collect()
}

/// Returns the percentages of what all callers had between two times.
fn parts_between(mut model: Model, begin_ms: u64, end_ms: u64) -> Vec<u64> {
    model = model.run_until(begin_ms);
    let before = model.had_core_ms.clone();
    let after = model.run_until(end_ms).had_core_ms;
    let had: Vec<_> = after.iter().zip(before).map(|(after, before)| after - before).collect();
    had.iter().map(|it| it * 100 / had.iter().sum::<u64>()).collect()
}

/// Load: one caller floods 100 cores with small jobs, another has as much demand in larger ones. With
/// a tolerance of half an equal part, the one behind has three eighths of what both have; over the
/// half-life of usage it gets no less than a third.
#[yare::parameterized(
    at_first = { 4_000 },
    later = { 40_000 },
)]
fn a_caller_that_floods_leaves_others_their_share(begin_ms: u64) {
    let jobs = [stream(0, 0, 25, 3_200, 4), stream(1, 0, 400, 200, 50)].concat();
    let parts =
        parts_between(Model::new(Rule::Shares, 100, jobs.clone()), begin_ms, begin_ms + 16_400);
    assert!(33 <= parts[0] && 33 <= parts[1], "{parts:?}");
    let before = parts_between(Model::new(Rule::Urgency, 100, jobs), begin_ms, begin_ms + 16_400);
    assert!(before[1] < 20, "the load shows nothing: {before:?}");
}

/// Load: one zone asks for a fifth of the cores, the other for four times as many as there are. The
/// first gets all that it asks for in time, and the second all the rest.
#[test]
fn a_zone_with_little_demand_gets_all_of_it_and_leaves_the_rest() {
    let jobs = [stream(0, 0, 25, 1_600, 5), stream(1, 0, 900, 44, 10)].concat();
    let mut model = Model::new(Rule::Shares, 100, jobs).run_until(40_000);
    let had: u64 = model.had_core_ms.iter().sum();
    assert!(95 * 40_000 <= had, "cores were free: {had}");
    model = model.run_to_end();
    let of_small_zone = model.jobs.iter().filter(|it| it.caller == 1);
    let late: Vec<_> = of_small_zone.filter(|it| it.objective_ms(1) < it.response_ms()).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Load: a caller comes back after a minute in which another had everything. It is served at once, by
/// more than half, since the other had more lately, and does not take everything for it.
#[test]
fn a_caller_that_returns_takes_its_share_and_no_more() {
    let jobs = [stream(0, 0, 25, 4_000, 4), stream(1, 60_000, 200, 150, 50)].concat();
    // Tasks at work are not stopped, so the first places are free after the time of one.
    let parts = parts_between(Model::new(Rule::Shares, 100, jobs), 62_000, 78_000);
    assert!((50..=75).contains(&parts[1]), "{parts:?}");
}

/// Load: what one caller has never use of any more, beside another's useful work that takes all cores.
/// It ends once it has starved and the other work has had seven parts of eight.
#[test]
fn work_of_no_use_goes_last_and_still_ends() {
    let jobs = [vec![Job::new(0, 0, 300, 1)], stream(0, 0, 100, 2_000, 6)].concat();
    let model = Model::new(Rule::Shares, 100, jobs).run_to_end();
    let useful_until_ms = 3 * model.jobs[0].objective_ms(1);
    let work_ms = STARVED_TURN * model.size_core_ms(0) / 100;
    let end_max_ms = useful_until_ms + STARVED_AFTER_MS + work_ms + 2 * 1_800;
    assert!(useful_until_ms < model.jobs[0].response_ms(), "the load shows nothing");
    assert!(model.jobs[0].response_ms() <= end_max_ms, "{}", model.jobs[0].response_ms());
}

/// Load: a thousand small jobs that are of no use any more, and larger ones of two callers that are
/// late and still of some use.
#[test]
fn useful_work_does_not_wait_for_work_of_no_use() {
    let old = (0..1_000).map(|_| Job::new(0, 0, 3, 1));
    let late = (0..10).map(|it| Job::new(it % 2, 14_000, 20, 1));
    let mut model = Model::new(Rule::Shares, 100, old.chain(late).collect());
    model.now_ms = 20_000;
    let model = model.run_to_end();
    let useless = model.jobs[1_000..].iter().filter(|it| 3 * it.objective_ms(1) < it.response_ms());
    assert_eq!(useless.count(), 0);
}

/// Percentages of jobs that end in time, and while they are of use.
fn served(jobs: &[(Job, u64)]) -> (usize, usize) {
    let percent = |multiple: u64| {
        let is_served =
            |(it, steps): &&(Job, u64)| it.response_ms() <= multiple * it.objective_ms(*steps);
        jobs.iter().filter(is_served).count() * 100 / jobs.len()
    };
    (percent(1), percent(3))
}

/// Plays eight heavy days; returns what is served of all jobs, of the largest tenth, and of the fifth
/// below it.
fn heavy_days(rule: Rule, cores: u64, callers: usize) -> [(usize, usize); 3] {
    let (mut all, mut tenths, mut fifths) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 1..=8 {
        let model = Model::new(rule, cores, heavy_day(seed, callers, 157, 34_000)).run_to_end();
        let mut jobs: Vec<_> = model.jobs.into_iter().zip(model.all_steps).collect();
        jobs.sort_by_key(|(it, steps)| it.width * steps);
        tenths.extend_from_slice(&jobs[jobs.len() * 9 / 10..]);
        fifths.extend_from_slice(&jobs[jobs.len() * 7 / 10..jobs.len() * 9 / 10]);
        all.append(&mut jobs);
    }
    [served(&all), served(&tenths), served(&fifths)]
}

/// Load: large jobs among many small ones, more than the cores can do while they come. The largest tenth and the fifth below it are served at least half as often as all, more of the
/// largest end in time, and of all no fewer than a twentieth less.
#[yare::parameterized(
    one_caller = { 220, 1 },
    three_callers = { 220, 3 },
    more_cores = { 300, 3 },
)]
fn large_jobs_among_small_ones_are_served(cores: u64, callers: usize) {
    let before = heavy_days(Rule::Urgency, cores, callers);
    let [all, tenth, fifth] = heavy_days(Rule::Shares, cores, callers);
    assert!(all.1 / 2 <= tenth.1 && all.1 / 2 <= fifth.1, "{all:?} {tenth:?} {fifth:?}");
    assert!(before[1].0 < tenth.0, "{tenth:?}, by urgency {before:?}");
    assert!(before[0].0 * 95 / 100 <= all.0, "{all:?}, by urgency {before:?}");
}

/// Ten thousand steps of a hundred callers: each is in the order once, and priorities come first.
#[test]
fn the_order_has_each_candidate_once() {
    let mut random = fastrand::Rng::with_seed(5);
    let wait = Wait { age_ms: 4_000, objective_ms: 5_000, remaining_ms: 500 };
    let mut candidate = |_| ShareCandidate {
        priority: random.u32(0..3),
        caller: random.usize(0..100),
        wait: Wait { age_ms: random.u64(0..100_000), ..wait },
        work_core_ms: random.u64(1..10_000),
        size_core_ms: 10_000,
        demand: millicores(random.u64(1..50)),
    };
    let candidates: Vec<_> = (0..10_000).map(&mut candidate).collect();
    let res = order(&candidates, &[CallerShare::default(); 100], millicores(1_000));
    assert!(res.is_sorted_by_key(|it| candidates[*it].priority));
    let mut sorted = res;
    sorted.sort_unstable();
    assert!(sorted.into_iter().eq(0..10_000));
}
