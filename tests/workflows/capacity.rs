//! Workers whose capacity decreases and increases while they run.

use aspenrail::prelude::*;

use crate::{
    faults::inject_fault,
    long_run::assert_no_seed_breaks_a_rule,
    worker::{CAPACITY, TaskBehavior},
    world::{World, spec, step},
};

/// Seeds that run in CI.
const SEEDS: std::ops::Range<u64> = 0..10;

/// First seed of the long run.
const LONG_FIRST_SEED: u64 = 500_000;

const QUICK: TaskBehavior = TaskBehavior { work_ms: 600, fails_every: 0, crash: None };

/// Creates workers that accept all starts, so that only the leader limits what runs on them.
fn world_without_capacity_checks(seed: u64, workers: usize) -> World {
    let mut world = World::new(seed, 3, workers);
    world.nodes.iter_mut().for_each(|it| it.worker.checks_capacity = false);
    world.install_queue();
    world
}

fn resize(world: &mut World, vm: usize, cores: u32) {
    let now_ms = world.now_ms;
    let capacity = Resources { cpu_millicores: cores * 1_000, ..CAPACITY };
    world.nodes[vm].worker.resize(capacity, now_ms);
}

fn assert_unbroken(world: &World) {
    assert!(world.rules.violations.is_empty(), "{:#?}", world.rules.violations);
}

#[test]
fn a_worker_that_has_shrunk_is_not_filled_beyond_what_is_left() {
    let mut world = world_without_capacity_checks(31, 2);
    resize(&mut world, 0, 4);
    world.run_for(4_000);
    for id in 1..=20 {
        world.submit(id, spec(vec![step(4, 2, &[])]), QUICK);
        world.run_for(100);
    }
    world.run_for(10_000);
    assert_unbroken(&world);
    (1..=20).for_each(|id| assert_eq!(world.phase(id), Some(WorkflowPhase::Completed)));
}

#[test]
fn a_worker_that_has_grown_is_used_within_a_report() {
    let mut world = world_without_capacity_checks(32, 1);
    resize(&mut world, 0, 2);
    world.run_for(4_000);
    world.submit(1, spec(vec![step(1, 8, &[])]), QUICK);
    world.run_for(1_000);
    assert_eq!(world.rules.starts, 0);
    resize(&mut world, 0, 16);
    // An announcement interval of 500 ms, a commit and the order.
    world.run_for(600);
    assert_eq!(world.rules.starts, 1);
}

#[test]
fn a_new_leader_has_the_newest_capacity() {
    let mut world = world_without_capacity_checks(33, 1);
    resize(&mut world, 0, 4);
    world.run_for(4_000);
    let leader = world.leader();
    world.kill_member(leader, 60_000, false);
    for id in 1..=6 {
        world.submit(id, spec(vec![step(4, 2, &[])]), QUICK);
        world.run_for(300);
    }
    world.run_for(12_000);
    assert_unbroken(&world);
}

/// Runs must not be stopped when the capacity of their worker decreases below what they use.
#[test]
fn what_runs_on_a_worker_that_shrinks_goes_on() {
    let mut world = world_without_capacity_checks(34, 1);
    world.submit(1, spec(vec![step(8, 2, &[])]), TaskBehavior { work_ms: 5_000, ..QUICK });
    world.run_for(1_000);
    resize(&mut world, 0, 4);
    world.run_for(8_000);
    assert_unbroken(&world);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Completed));
    assert_eq!(world.rules.starts, 8);
}

fn play(seed: u64) -> World {
    let mut world = world_without_capacity_checks(seed, 5);
    for id in 1..=30 {
        let work_ms = world.random.u64(100..2_500);
        let steps = vec![step(6, 2, &[]), step(3, 3, &[0])];
        world.submit(id, spec(steps), TaskBehavior { work_ms, ..QUICK });
        inject_fault(&mut world);
        let vm = world.random.usize(0..5);
        if world.nodes[vm].worker.up && world.random.bool() {
            let cores = world.random.u32(2..17);
            resize(&mut world, vm, cores);
        }
        let pause_ms = world.random.u64(200..1_500);
        world.run_for(pause_ms);
    }
    world.partitioned.clear();
    world.late_percent = 0;
    world.run_for(20_000);
    world
}

#[test]
fn no_worker_is_overfilled_while_capacities_change_under_seeded_faults() {
    for seed in SEEDS {
        let world = play(seed);
        assert!(world.rules.violations.is_empty(), "seed {seed}: {:#?}", world.rules.violations);
    }
}

#[test]
#[ignore = "long; see the module"]
fn many_seeds_with_changing_capacities() {
    assert_no_seed_breaks_a_rule(LONG_FIRST_SEED, play);
}
