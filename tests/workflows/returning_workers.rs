//! Workers that crash and restart under their ids while starts for them are in transit.
//!
//! The failure: a task runs in two places. A start is sent to a worker that has crashed, and its next
//! incarnation, which has the same id and has received no fencing token yet, executes it seconds
//! later. The leader meanwhile counts the first incarnation as gone and starts the task elsewhere.

use crate::{
    faults::{inject_fault, play_with},
    long_run::assert_no_seed_breaks_a_rule,
    world::World,
};

/// Seeds of the CI run.
const SEEDS: std::ops::Range<u64> = 0..12;

/// First seed of the ignored long run.
const LONG_FIRST_SEED: u64 = 700_000;

/// Share of the orders that get no answer and are executed late.
const LATE_PERCENT: u32 = 30;

/// Every third fault stops a worker that restarts under its id, its node, or both.
fn inject_stop_or_fault(world: &mut World, number: u64) {
    if number.is_multiple_of(3) {
        let vm = world.random.usize(0..world.nodes.len());
        let what = world.random.u32(0..3);
        if what != 1 && world.nodes[vm].worker.up {
            let down_ms = world.random.u64(300..4_000);
            world.crash_worker(vm, down_ms);
        }
        if what != 0 && world.nodes[vm].core.is_some() {
            let down_ms = world.random.u64(10..3_000);
            world.kill_node(vm, down_ms);
        }
    } else {
        inject_fault(world);
    }
    world.late_percent = LATE_PERCENT;
}

fn play(seed: u64) -> World {
    let mut world = World::new(seed, 3, 5);
    world.keeps_ids = Some(true);
    play_with(world, inject_stop_or_fault)
}

#[test]
fn no_task_runs_twice_while_workers_restart_under_their_ids() {
    for seed in SEEDS {
        let violations = play(seed).rules.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// A worker and its node restart while a start is in transit, and the node is cut off for longer than a
/// lease. No process that could reach the worker knew the leader's token.
#[test]
fn no_start_is_executed_after_its_node_has_restarted_without_a_leader() {
    let violations = play(700_258).rules.violations;
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
#[ignore = "long; see the module"]
fn many_seeds_with_returning_workers() {
    assert_no_seed_breaks_a_rule(LONG_FIRST_SEED, play);
}
