//! Workers that restart under the same id.
//!
//! The failure: long-running tasks stop with their workers and do not start again for 11 s and more,
//! although there is capacity for them. Workers crash and restart under their ids half a second
//! later. Their nodes, whose connections were refused for 200 ms, are silent from then on, so the
//! leader knows of no usable worker. The node assumed that an id denotes a single incarnation: the
//! next one restarts its announcement numbers, so its announcements were ignored as outdated, and its
//! capacity was never used again.
//!
//! With that fault 2 and 10 of 14 tasks here wait forever for the one and the three workers given up;
//! workers with a new id receive them within a second. A worker that restarts before its node misses
//! it is still polled, and the ends of its second incarnation were read by the numbers of the first.

use aspenrail::prelude::*;

use crate::{
    worker::TaskBehavior,
    world::{World, spec, step},
};

const LONG: TaskBehavior = TaskBehavior { work_ms: 600_000, fails_every: 0, crash: None };

/// Time within which a long-running task must run again, as users require.
const RESTART_MAX_MS: u64 = 6_000;

/// A number of tasks that needs all four workers: at most four tasks fit on one.
const TASKS: u32 = 14;

fn long_running(count: u32, cores: u32) -> WorkflowStep {
    let mut res = step(count, cores, &[]);
    res.lasting = true;
    res
}

fn assert_unbroken(world: &World) {
    assert!(world.rules.violations.is_empty(), "{:#?}", world.rules.violations);
}

/// Runs long-running tasks on four workers, some of which crash twice. All tasks must run again after
/// each crash.
#[yare::parameterized(
    missed = { 600, &[1] },
    missed_several = { 600, &[0, 2, 3] },
    missed_for_long = { 2_500, &[1] },
    back_before_it_is_missed = { 50, &[1] },
)]
fn tasks_that_last_are_at_work_again(down_ms: u64, crashing: &[usize]) {
    let mut world = World::new(31, 3, 4);
    world.refuses_connections = true;
    world.keeps_ids = Some(true);
    world.install_queue();
    world.submit(1, spec(vec![long_running(TASKS, 4)]), LONG);
    for _ in 0..2 {
        // Longer than the age at which a run is no longer suspected of a crash.
        world.run_for(15_000);
        assert_eq!(world.rules.running_task_count(), TASKS as usize);
        crashing.iter().for_each(|vm| world.crash_worker(*vm, down_ms));
        world.run_for(down_ms + RESTART_MAX_MS);
        assert_eq!(world.rules.running_task_count(), TASKS as usize);
    }
    assert_unbroken(&world);
}

/// Work finished before a crash is not repeated, and all accepted work completes.
#[yare::parameterized(
    missed = { 600, true },
    back_before_it_is_missed = { 50, true },
    silent = { 600, false },
    silent_for_a_moment = { 50, false },
)]
fn work_is_done_once(down_ms: u64, refuses_connections: bool) {
    let mut world = World::new(32, 3, 4);
    world.refuses_connections = refuses_connections;
    world.keeps_ids = Some(true);
    world.install_queue();
    for id in 1..=40 {
        let nature = TaskBehavior { work_ms: 400, fails_every: 0, crash: None };
        world.submit(id, spec(vec![step(4, 1, &[]), step(3, 2, &[0])]), nature);
        world.run_for(400);
        if id % 3 == 0 {
            world.crash_worker(id as usize % 4, down_ms);
        }
    }
    world.run_for(20_000);
    assert_unbroken(&world);
    for id in 1..=40 {
        assert_eq!(world.phase(id), Some(WorkflowPhase::Completed), "workflow {id}");
    }
}
