//! Tasks that crash the worker that starts them.
//!
//! The failure: two tasks that crash their workers are started dozens of times, so that eleven
//! workers restart all day and serve almost nothing. A task starts, its worker crashes 10 ms later,
//! the node's connections are refused for 200 ms, and the leader ends the run as lapsed. The next
//! plan starts the task on another worker, with the other runs of the crashed one. Runs that end
//! with their worker did not count as failures, so no number of crashes failed the workflow or
//! delayed its next start.
//!
//! In the leader's log each start of such a task is an entry with the next run number, on another
//! worker. The run ends 313 to 336 ms later with that worker, among the youngest of the runs lost. No
//! other task is lost half as often.

use aspenrail::prelude::*;

use crate::{
    faults::inject_fault,
    long_run::{self, assert_no_seed_breaks_a_rule},
    worker::{Crash, TaskBehavior},
    world::{World, spec, step},
};

/// Seeds of the CI run.
const SEEDS: std::ops::Range<u64> = 0..12;

/// First seed of the ignored long run.
const LONG_FIRST_SEED: u64 = 400_000;

const QUICK: TaskBehavior = TaskBehavior { work_ms: 400, fails_every: 0, crash: None };

fn crashing(work_ms: u64, after_ms: u64) -> TaskBehavior {
    TaskBehavior { work_ms, fails_every: 0, crash: Some(Crash { index: 0, after_ms }) }
}

fn long_running(count: u32) -> WorkflowStep {
    let mut res = step(count, 1, &[]);
    res.lasting = true;
    res
}

fn assert_unbroken(world: &World) {
    assert!(world.rules.violations.is_empty(), "{:#?}", world.rules.violations);
}

/// Runs 30 workflows, of which the given ones crash their workers.
fn run_workload(world: &mut World, crashing_ids: &[u64], after_ms: u64) {
    world.install_queue();
    for id in 1..=30 {
        let nature = if crashing_ids.contains(&id) { crashing(3_000, after_ms) } else { QUICK };
        world.submit(id, spec(vec![step(4, 1, &[]), step(3, 2, &[0])]), nature);
        world.run_for(300);
    }
    world.run_for(20_000);
}

/// Other work continues while one task crashes every worker that starts it.
#[yare::parameterized(
    at_once = { 10, true },
    at_once_and_found_by_the_next_lifetime = { 10, false },
    before_the_start_is_answered = { 0, true },
    after_a_while = { 2_500, true },
)]
fn a_task_that_crashes_its_workers_is_given_up(after_ms: u64, refuses_connections: bool) {
    let mut world = World::new(21, 3, 6);
    world.refuses_connections = refuses_connections;
    run_workload(&mut world, &[5], after_ms);
    assert_unbroken(&world);
    assert_eq!(world.phase(5), Some(WorkflowPhase::Failed));
    for id in (1..=30).filter(|it| *it != 5) {
        assert_eq!(
            world.phase(id),
            Some(WorkflowPhase::Completed),
            "workflow {id} crashes no worker and must complete"
        );
    }
}

#[test]
fn several_at_a_time_are_given_up_and_nothing_else() {
    let mut world = World::new(22, 3, 8);
    world.refuses_connections = true;
    let crashing_ids = [4, 5, 9, 14, 15, 21];
    run_workload(&mut world, &crashing_ids, 10);
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
    world.submit(1, spec(vec![long_running(3)]), TaskBehavior { work_ms: 600_000, ..QUICK });
    world.submit(2, spec(vec![long_running(3)]), crashing(600_000, 10));
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

/// Crash evidence is replicated in the log: a change of leader does not add starts of the task.
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

/// Work whose workers crash for other reasons completes, however often they crash.
#[test]
fn no_task_is_given_up_for_workers_that_crash_by_themselves() {
    let mut world = World::new(26, 3, 6);
    world.refuses_connections = true;
    world.install_queue();
    for id in 1..=6 {
        world.submit(id, spec(vec![long_running(4)]), TaskBehavior { work_ms: 600_000, ..QUICK });
    }
    for id in 7..=40 {
        world.submit(id, spec(vec![step(4, 1, &[])]), TaskBehavior { work_ms: 4_000, ..QUICK });
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

/// Counts of harmless and crashing (guilty) workflows, and how many of each were given up.
#[derive(Debug, Default)]
struct Errors {
    harmless: u32,
    harmless_given_up: u32,
    guilty: u32,
    guilty_given_up: u32,
    /// Worker crashes that guilty tasks caused.
    crashes_caused: u32,
    /// Invariants broken.
    broken: u32,
}

/// Runs the work of the previous test. One workflow in ten crashes its workers if `with_guilty`, and
/// a worker crashes by itself every `crash_interval_ms` (0: never).
fn count_errors(seed: u64, crash_interval_ms: u64, with_guilty: bool, errors: &mut Errors) {
    let mut world = World::new(seed, 3, 6);
    world.refuses_connections = true;
    world.install_queue();
    for id in 1..=6 {
        world.submit(id, spec(vec![long_running(4)]), TaskBehavior { work_ms: 600_000, ..QUICK });
    }
    let is_guilty = |id: u64| with_guilty && 6 < id && id.is_multiple_of(10);
    for id in 7..=40 {
        let after_ms = world.random.u64(0..3_000);
        let harmless = TaskBehavior { work_ms: 4_000, ..QUICK };
        let nature = if is_guilty(id) { crashing(4_000, after_ms) } else { harmless };
        world.submit(id, spec(vec![step(4, 1, &[])]), nature);
        world.run_for(500);
        if crash_interval_ms != 0 && (id * 500).is_multiple_of(crash_interval_ms) {
            let vm = world.random.usize(0..6);
            if world.nodes[vm].worker.up {
                world.crash_worker(vm, 2_500);
            }
        }
    }
    world.run_for(30_000);
    errors.broken += world.rules.violations.len() as u32;
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

/// At any crash rate at most one in a thousand harmless workflows may be given up, and no task that
/// crashes its workers may continue for longer than users allow.
#[test]
#[ignore = "long; counts both errors over many seeds and rates"]
fn both_errors_by_the_rate_of_crashes() {
    let seeds = long_run::seeds(26, 60);
    let rates = [0, 12_000, 6_000, 3_000, 1_500];
    let cases = [false, true].into_iter().flat_map(|it| rates.map(|interval_ms| (it, interval_ms)));
    let count_over_seeds = |(with_guilty, interval_ms)| {
        let mut res = Errors::default();
        seeds.clone().for_each(|seed| count_errors(seed, interval_ms, with_guilty, &mut res));
        res
    };
    let case_counts: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            cases.map(|it| (it, scope.spawn(move || count_over_seeds(it)))).collect();
        threads.into_iter().map(|(it, thread)| (it, thread.join().unwrap())).collect()
    });
    case_counts.iter().for_each(|it| println!("{it:?}, seeds {seeds:?}"));
    for (case, counts) in case_counts {
        assert!(counts.harmless_given_up * 1_000 <= counts.harmless, "{case:?}: {counts:?}");
        assert_eq!(counts.broken, 0, "{case:?}: {counts:?}");
    }
}

/// Tasks that had lost three workers waited for the same quiet period and started together on one
/// worker. One of them crashed it, and the workflows of all were given up.
#[yare::parameterized(two_given_up = { 27 }, three_given_up = { 29 })]
fn no_task_is_given_up_for_a_crash_that_another_one_caused(seed: u64) {
    let mut errors = Errors::default();
    count_errors(seed, 0, true, &mut errors);
    assert_eq!((errors.harmless_given_up, errors.broken), (0, 0), "{errors:?}");
    assert_eq!(errors.guilty_given_up, errors.guilty, "{errors:?}");
}

/// A power loss stops all workers and the leader, so no component observed which runs were
/// executing on which worker. It is no evidence against any task, and all tasks start again without
/// probation.
#[test]
fn a_loss_of_all_workers_puts_no_task_on_trial() {
    let mut world = World::new(27, 3, 6);
    world.install_queue();
    for id in 1..=12 {
        world.submit(id, spec(vec![long_running(3)]), TaskBehavior { work_ms: 600_000, ..QUICK });
    }
    world.run_for(3_000);
    assert_eq!(world.rules.starts, 36);
    (0..3).for_each(|member| world.kill_member(member, 1_500, false));
    (0..6).for_each(|vm| world.crash_worker(vm, 1_500));
    // Workers have restarted and announced themselves after 2 s; a leader is elected 1 s later.
    world.run_for(4_500);
    assert_eq!(world.rules.starts, 72);
    assert_unbroken(&world);
}

/// Simulates a minute of load with faults of all kinds and tasks that crash their workers.
fn simulate(seed: u64) -> World {
    let mut world = World::new(seed, 3, 7);
    world.refuses_connections = world.random.bool();
    world.install_queue();
    for id in 1..=40 {
        let work_ms = world.random.u64(100..2_500);
        let crash = (world.random.u32(0..10) == 0)
            .then(|| Crash { index: 0, after_ms: world.random.u64(0..work_ms) });
        let steps = match id % 8 {
            0 => vec![long_running(3)],
            1 | 2 => vec![step(6, 2, &[])],
            _ => vec![step(4, 1, &[]), step(3, 3, &[0])],
        };
        let nature = TaskBehavior {
            work_ms: if id % 8 == 0 { 600_000 } else { work_ms },
            fails_every: 0,
            crash,
        };
        world.submit(id, spec(steps), nature);
        inject_fault(&mut world);
        let pause_ms = world.random.u64(200..1_500);
        world.run_for(pause_ms);
    }
    world.partitioned.clear();
    world.late_percent = 0;
    world.run_for(40_000);
    world
}

fn assert_unbroken_by(seed: u64) -> u32 {
    let world = simulate(seed);
    assert!(world.rules.violations.is_empty(), "seed {seed}: {:#?}", world.rules.violations);
    world.rules.starts
}

#[test]
fn no_rule_is_broken_by_tasks_that_crash_their_workers_under_seeded_faults() {
    let starts: u32 = SEEDS.map(assert_unbroken_by).sum();
    assert!(0 < starts);
}

/// Polls sent to the previous incarnation reach a worker that restarted under its id, with a lease
/// computed from the previous clock. The worker ran on for longer than the leader waited, and its
/// tasks started on other workers.
#[yare::parameterized(first = { 400_108 }, second = { 400_128 }, third = { 400_171 })]
fn no_lease_is_by_the_clock_of_the_lifetime_before(seed: u64) {
    assert_unbroken_by(seed);
}

/// Control was unavailable for 20 s while a task ran and crashed its worker. The crash was not
/// observed, and the run's age in the ledger cancelled the evidence of the task's earlier crashes.
#[test]
fn a_crash_that_nobody_saw_clears_no_task() {
    assert_unbroken_by(400_268);
}

/// A start is executed late, on a worker that then crashes, and the run seems ten seconds old. That
/// age cancelled the evidence against the task, which started again after its third crash.
#[yare::parameterized(first = { 400_282 }, second = { 400_467 })]
fn a_start_that_came_late_clears_no_task(seed: u64) {
    assert_unbroken_by(seed);
}

/// A task crashes two workers whose nodes are cut off. The leader took them for silent, and started the
/// task a sixth time after three more crashes.
#[test]
fn a_crash_behind_a_cut_is_counted_once_it_is_known() {
    assert_unbroken_by(400_169);
}

#[test]
#[ignore = "long; see the module"]
fn many_seeds_with_crashing_tasks() {
    assert_no_seed_breaks_a_rule(LONG_FIRST_SEED, simulate);
}
