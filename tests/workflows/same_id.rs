//! Workers that start again under the id that they had.
//!
//! Users saw tasks that are to last go with their workers and not start again for 11 s and more,
//! with capacity for them. The order of events: workers crash and are back half a second later under
//! their ids; the nodes beside them have found nobody at their addresses for 200 ms, and are silent
//! from then on; the leader hears of no worker that it could use. The cause: a worker's id was taken
//! for one lifetime of it. What the next one says of itself is numbered anew, and was passed over as
//! older than what was known; the worker stayed out of use for good, and its room with it.
//!
//! The evidence: on the code as it was, 2 and 10 of 14 tasks here wait for the one and the three
//! workers that were given up, for ever, and nothing else holds them back; workers with another id
//! take them within a second. Where a worker is back before it is missed, its node goes on calling,
//! and reads the ends of the second lifetime by the numbers of the first.

use aspenrail::prelude::*;

use crate::{
    worker::Nature,
    world::{World, spec, step},
};

const LONG: Nature = Nature { work_ms: 600_000, fails_every: 0, crash: None };

/// Time within which a task that lasts must be at work again, as users ask.
const AGAIN_MS: u64 = 6_000;

/// Tasks that need all of four workers: four at most fit on one.
const TASKS: u32 = 14;

fn lasting(count: u32, cores: u32) -> WorkflowStep {
    let mut res = step(count, cores, &[]);
    res.lasting = true;
    res
}

fn assert_unbroken(world: &World) {
    assert!(world.rules.broken.is_empty(), "{:#?}", world.rules.broken);
}

/// Plays tasks that last on four workers, of which some crash twice; after each time all tasks must
/// be at work again.
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
    world.submit(1, spec(vec![lasting(TASKS, 4)]), LONG);
    for _ in 0..2 {
        // Longer than a run takes to be above suspicion.
        world.run_for(15_000);
        assert_eq!(world.rules.at_work(), TASKS as usize);
        crashing.iter().for_each(|vm| world.crash_worker(*vm, down_ms));
        world.run_for(down_ms + AGAIN_MS);
        assert_eq!(world.rules.at_work(), TASKS as usize);
    }
    assert_unbroken(&world);
}

/// What was done before a crash is not done again, and all that was accepted is done in the end.
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
        let nature = Nature { work_ms: 400, fails_every: 0, crash: None };
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
