//! Tasks that crash the worker that starts them.
//!
//! Users saw almost nothing served: eleven workers came and went all day, and two tasks were
//! started dozens of times. The order of events: a task begins, its worker crashes 10 ms later,
//! the node finds nobody at its address for 200 ms, the leader ends the run as one whose lease
//! lapsed, and the next plan starts the task on the next worker, together with all that ran on
//! the last one. The cause: an end with its worker counted for nothing, so that no number of
//! crashes ended the workflow or slowed its next start.
//!
//! The evidence: in the leader's log each start of such a task is an entry of its own with the
//! next run number, on another worker, and ends 313 to 336 ms later with that worker, among the
//! youngest of the runs lost each time; no other task was lost half as often.

use aspenrail::prelude::*;

use crate::{
    faults::disturb,
    worker::{Crash, Nature},
    world::{World, spec, step},
};

/// Seeds that run in CI.
const SEEDS: std::ops::Range<u64> = 0..12;

/// First seed of the long run.
const LONG_FROM: u64 = 400_000;

const QUICK: Nature = Nature { work_ms: 400, fails_every: 0, crash: None };

fn crashing(work_ms: u64, after_ms: u64) -> Nature {
    Nature { work_ms, fails_every: 0, crash: Some(Crash { index: 0, after_ms }) }
}

fn lasting(count: u32) -> WorkflowStep {
    let mut res = step(count, 1, &[]);
    res.lasting = true;
    res
}

fn assert_unbroken(world: &World) {
    assert!(world.rules.broken.is_empty(), "{:#?}", world.rules.broken);
}

/// Plays work on a small site, some of which crashes its workers.
fn play_work(world: &mut World, crashing_ids: &[u64], after_ms: u64) {
    world.install_queue();
    for id in 1..=30 {
        let nature = if crashing_ids.contains(&id) { crashing(3_000, after_ms) } else { QUICK };
        world.submit(id, spec(vec![step(4, 1, &[]), step(3, 2, &[0])]), nature);
        world.run_for(300);
    }
    world.run_for(20_000);
}

/// As the recorded day: work goes on while one task takes down whatever starts it.
#[yare::parameterized(
    at_once = { 10, true },
    at_once_and_found_by_the_next_lifetime = { 10, false },
    before_the_start_is_answered = { 0, true },
    after_a_while = { 2_500, true },
)]
fn a_task_that_crashes_its_workers_is_given_up(after_ms: u64, refuses_connections: bool) {
    let mut world = World::new(21, 3, 6);
    world.refuses_connections = refuses_connections;
    play_work(&mut world, &[5], after_ms);
    assert_unbroken(&world);
    assert_eq!(world.phase(5), Some(WorkflowPhase::Failed));
    for id in (1..=30).filter(|it| *it != 5) {
        assert_eq!(world.phase(id), Some(WorkflowPhase::Completed), "workflow {id} did no harm");
    }
}

#[test]
fn several_at_a_time_are_given_up_and_nothing_else() {
    let mut world = World::new(22, 3, 8);
    world.refuses_connections = true;
    let crashing_ids = [4, 5, 9, 14, 15, 21];
    play_work(&mut world, &crashing_ids, 10);
    assert_unbroken(&world);
    for id in 1..=30 {
        let expected = match crashing_ids.contains(&id) {
            true => WorkflowPhase::Failed,
            false => WorkflowPhase::Completed,
        };
        assert_eq!(world.phase(id), Some(expected), "workflow {id}");
    }
}

#[test]
fn a_lasting_task_that_crashes_its_workers_is_given_up() {
    let mut world = World::new(23, 3, 5);
    world.refuses_connections = true;
    world.install_queue();
    world.submit(1, spec(vec![lasting(3)]), Nature { work_ms: 600_000, ..QUICK });
    world.submit(2, spec(vec![lasting(3)]), crashing(600_000, 10));
    world.run_for(30_000);
    assert_unbroken(&world);
    assert_eq!(world.phase(2), Some(WorkflowPhase::Failed));
    assert_eq!(world.phase(1), Some(WorkflowPhase::Running));
}

#[test]
fn a_member_of_a_gang_that_crashes_its_workers_ends_the_gang() {
    let mut world = World::new(24, 3, 5);
    world.refuses_connections = true;
    world.install_queue();
    let mut gang = step(4, 2, &[]);
    gang.gang = true;
    world.submit(1, spec(vec![gang]), crashing(2_000, 10));
    world.run_for(30_000);
    assert_unbroken(&world);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Failed));
}

/// What was learned of a task is in the log: a leader that is lost in between starts it no more
/// often.
#[test]
fn a_new_leader_knows_what_crashed_under_the_one_before() {
    let mut world = World::new(25, 3, 6);
    world.refuses_connections = true;
    world.install_queue();
    world.submit(1, spec(vec![step(1, 1, &[])]), crashing(2_000, 10));
    for _ in 0..4 {
        world.run_for(700);
        let leader = world.leader();
        world.kill_member(leader, 500, false);
        world.run_for(2_500);
    }
    world.run_for(10_000);
    assert_unbroken(&world);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Failed));
}

/// Work whose workers are lost to something else is done in the end, however often.
#[test]
fn no_task_is_given_up_for_workers_that_crash_by_themselves() {
    let mut world = World::new(26, 3, 6);
    world.refuses_connections = true;
    world.install_queue();
    for id in 1..=6 {
        world.submit(id, spec(vec![lasting(4)]), Nature { work_ms: 600_000, ..QUICK });
    }
    for id in 7..=40 {
        world.submit(id, spec(vec![step(4, 1, &[])]), Nature { work_ms: 4_000, ..QUICK });
        world.run_for(500);
        if id % 3 == 0 {
            let vm = world.random.usize(0..6);
            if world.nodes[vm].worker.up {
                world.crash_worker(vm, 2_500);
            }
        }
    }
    world.run_for(30_000);
    assert_unbroken(&world);
    for id in 1..=40 {
        let expected = if id <= 6 { WorkflowPhase::Running } else { WorkflowPhase::Completed };
        assert_eq!(world.phase(id), Some(expected), "workflow {id}");
    }
}

/// How often workers crash by themselves beside work that crashes them, and what of it was given up.
#[derive(Debug, Default)]
struct Errors {
    harmless: u32,
    harmless_given_up: u32,
    guilty: u32,
    guilty_given_up: u32,
    /// Workers that the guilty tasks took down, and rules broken by their starts.
    crashes_caused: u32,
    broken: u32,
}

/// Plays work as in the test before, of which one in ten crashes its workers if `with_guilty`,
/// while a worker crashes by itself each `crash_each_ms`, if at all.
fn count_errors(seed: u64, crash_each_ms: u64, with_guilty: bool, errors: &mut Errors) {
    let mut world = World::new(seed, 3, 6);
    world.refuses_connections = true;
    world.install_queue();
    for id in 1..=6 {
        world.submit(id, spec(vec![lasting(4)]), Nature { work_ms: 600_000, ..QUICK });
    }
    let is_guilty = |id: u64| with_guilty && 6 < id && id.is_multiple_of(10);
    for id in 7..=40 {
        let after_ms = world.random.u64(0..3_000);
        let harmless = Nature { work_ms: 4_000, ..QUICK };
        let nature = if is_guilty(id) { crashing(4_000, after_ms) } else { harmless };
        world.submit(id, spec(vec![step(4, 1, &[])]), nature);
        world.run_for(500);
        if crash_each_ms != 0 && (id * 500).is_multiple_of(crash_each_ms) {
            let vm = world.random.usize(0..6);
            if world.nodes[vm].worker.up {
                world.crash_worker(vm, 2_500);
            }
        }
    }
    world.run_for(30_000);
    errors.broken += world.rules.broken.len() as u32;
    errors.crashes_caused += world.rules.crashes_caused();
    for id in 1..=40 {
        let is_given_up = u32::from(world.phase(id) == Some(WorkflowPhase::Failed));
        match is_guilty(id) {
            true => {
                (errors.guilty, errors.guilty_given_up) =
                    (errors.guilty + 1, errors.guilty_given_up + is_given_up)
            }
            false => {
                (errors.harmless, errors.harmless_given_up) =
                    (errors.harmless + 1, errors.harmless_given_up + is_given_up)
            }
        }
    }
}

/// Of harmless work one in a thousand may be given up at any rate of crashes, and no task that
/// crashes its workers goes on for longer than users allow.
#[test]
#[ignore = "long; counts both errors over many seeds and rates"]
fn both_errors_by_the_rate_of_crashes() {
    let count = std::env::var("ASPENRAIL_SEEDS").map_or(60, |it| it.parse().unwrap());
    let rates = [0, 12_000, 6_000, 3_000, 1_500];
    let cases = [false, true].into_iter().flat_map(|it| rates.map(|each_ms| (it, each_ms)));
    let count_all = |(with_guilty, each_ms)| {
        let mut res = Errors::default();
        (26..26 + count).for_each(|seed| count_errors(seed, each_ms, with_guilty, &mut res));
        res
    };
    let counted: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = cases.map(|it| (it, scope.spawn(move || count_all(it)))).collect();
        threads.into_iter().map(|(it, thread)| (it, thread.join().unwrap())).collect()
    });
    counted.iter().for_each(|it| println!("{it:?}, {count} seeds"));
    for (case, it) in counted {
        assert!(it.harmless_given_up * 1_000 <= it.harmless, "{case:?}: {it:?}");
        assert_eq!(it.broken, 0, "{case:?}: {it:?}");
    }
}

/// A loss of power takes all workers and the leader, so that nobody has seen what ran where: that
/// tells nothing of any task, and all of them begin again at once.
#[test]
fn a_loss_of_all_workers_puts_no_task_on_trial() {
    let mut world = World::new(27, 3, 6);
    world.install_queue();
    for id in 1..=12 {
        world.submit(id, spec(vec![lasting(3)]), Nature { work_ms: 600_000, ..QUICK });
    }
    world.run_for(3_000);
    assert_eq!(world.rules.starts, 36);
    (0..3).for_each(|at| world.kill_member(at, 1_500, false));
    (0..6).for_each(|vm| world.crash_worker(vm, 1_500));
    // Workers are back and announced after 2 s, a leader is there a second later.
    world.run_for(4_500);
    assert_eq!(world.rules.starts, 72);
    assert_unbroken(&world);
}

/// Plays a minute of load, faults of all kinds, and tasks that crash their workers.
fn play(seed: u64) -> World {
    let mut world = World::new(seed, 3, 7);
    world.refuses_connections = world.random.bool();
    world.install_queue();
    for id in 1..=40 {
        let work_ms = world.random.u64(100..2_500);
        let crash = (world.random.u32(0..10) == 0)
            .then(|| Crash { index: 0, after_ms: world.random.u64(0..work_ms) });
        let steps = match id % 8 {
            0 => vec![lasting(3)],
            1 | 2 => vec![step(6, 2, &[])],
            _ => vec![step(4, 1, &[]), step(3, 3, &[0])],
        };
        let nature =
            Nature { work_ms: if id % 8 == 0 { 600_000 } else { work_ms }, fails_every: 0, crash };
        world.submit(id, spec(steps), nature);
        disturb(&mut world);
        let pause_ms = world.random.u64(200..1_500);
        world.run_for(pause_ms);
    }
    world.cut.clear();
    world.late_percent = 0;
    world.run_for(40_000);
    world
}

fn assert_unbroken_by(seed: u64) -> u32 {
    let world = play(seed);
    assert!(world.rules.broken.is_empty(), "seed {seed}: {:#?}", world.rules.broken);
    world.rules.starts
}

#[test]
fn no_rule_is_broken_by_tasks_that_crash_their_workers_under_seeded_faults() {
    let starts: u32 = SEEDS.map(assert_unbroken_by).sum();
    assert!(0 < starts);
}

/// Looks that were meant for the lifetime before reach a worker that is back under its id, with a
/// lease by another clock: it ran on for longer than the leader waited, and its tasks began elsewhere.
#[yare::parameterized(first = { 400_108 }, second = { 400_128 }, third = { 400_171 })]
fn no_lease_is_by_the_clock_of_the_lifetime_before(seed: u64) {
    assert_unbroken_by(seed);
}

/// Control was away for 20 s while a task ran and crashed its worker: nobody saw it, and its age in
/// the ledger cleared it of the crashes before.
#[test]
fn a_crash_that_nobody_saw_clears_no_task() {
    assert_unbroken_by(400_268);
}

/// A start that is carried out late, on a worker that then crashes under it, looks ten seconds old:
/// the task was cleared by it and began again after its third crash.
#[yare::parameterized(first = { 400_282 }, second = { 400_467 })]
fn a_start_that_came_late_clears_no_task(seed: u64) {
    assert_unbroken_by(seed);
}

#[test]
#[ignore = "long; see the module"]
fn many_seeds_with_crashing_tasks() {
    let count = std::env::var("ASPENRAIL_SEEDS").map_or(200, |it| it.parse().unwrap());
    let broken: Vec<_> = (LONG_FROM..LONG_FROM + count)
        .map(|seed| (seed, play(seed).rules.broken))
        .filter(|(_, it)| !it.is_empty())
        .collect();
    println!("{count} seeds from {LONG_FROM}: {} with broken rules", broken.len());
    assert!(broken.is_empty(), "{broken:#?}");
}
