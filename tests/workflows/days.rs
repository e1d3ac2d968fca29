//! Combinations of faults that users met on one day, at a small scale.

use aspenrail::prelude::*;

use crate::{
    worker::{CAPACITY, Crash, TaskBehavior},
    world::{World, spec, step},
};

const QUICK: TaskBehavior = TaskBehavior { work_ms: 500, fails_every: 0, crash: None };

fn assert_unbroken(world: &World) {
    assert!(world.rules.violations.is_empty(), "{:#?}", world.rules.violations);
}

/// The tasks of some workflows crash their workers, which restart under the same ids, and the leader
/// is lost meanwhile. These workflows must be given up, and all others completed.
#[yare::parameterized(early = { 3_000 }, late = { 7_000 })]
fn tasks_crash_their_workers_while_the_leader_is_lost(lost_after_ms: u64) {
    let mut world = World::new(51, 3, 8);
    world.refuses_connections = true;
    world.keeps_ids = Some(true);
    world.install_queue();
    let crash = Some(Crash { index: 0, after_ms: 10 });
    let crashes_workers = |id: u64| id.is_multiple_of(10);
    for id in 1..=30 {
        let nature = if crashes_workers(id) { TaskBehavior { crash, ..QUICK } } else { QUICK };
        world.submit(id, spec(vec![step(4, 1, &[])]), nature);
        world.run_for(350);
        if id == lost_after_ms / 350 {
            let leader = world.leader();
            world.kill_member(leader, 2_000, false);
        }
    }
    world.run_for(30_000);
    assert_unbroken(&world);
    for id in 1..=30 {
        let expected = match crashes_workers(id) {
            true => WorkflowPhase::Failed,
            false => WorkflowPhase::Completed,
        };
        assert_eq!(world.phase(id), Some(expected), "workflow {id}");
    }
}

/// A quarter of the workers has about half of its capacity or less for a while, and more work than
/// usual arrives: no worker is overcommitted, and all workflows are completed.
#[yare::parameterized(half = { 9 }, little = { 4 })]
fn workers_shrink_while_much_work_comes(cores: u32) {
    let mut world = World::new(52, 3, 8);
    world.nodes.iter_mut().for_each(|it| it.worker.checks_capacity = false);
    world.install_queue();
    let resize = |world: &mut World, cores: u32| {
        let now_ms = world.now_ms;
        let capacity = Resources { cpu_millicores: cores * 1_000, ..CAPACITY };
        (0..2).for_each(|vm| world.nodes[vm].worker.resize(capacity, now_ms));
    };
    for id in 1..=60 {
        match id {
            15 => resize(&mut world, cores),
            45 => resize(&mut world, 16),
            _ => (),
        }
        world.submit(id, spec(vec![step(8, 2, &[])]), QUICK);
        let is_burst = (25..45).contains(&id);
        world.run_for(if is_burst { 80 } else { 250 });
    }
    world.run_for(15_000);
    assert_unbroken(&world);
    (1..=60).for_each(|id| assert_eq!(world.phase(id), Some(WorkflowPhase::Completed), "{id}"));
}
