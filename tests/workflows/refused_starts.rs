//! Workers that refuse starts while their announcements and lists are sound.

use aspenrail::{gateway::GatewayAnswer, prelude::*};

use crate::{
    worker::{StartRefusal, TaskBehavior},
    world::{World, spec, step, target},
};

const SHORT: TaskBehavior = TaskBehavior { work_ms: 500, fails_every: 0, crash: None };

const LONG: TaskBehavior = TaskBehavior { work_ms: 90_000, fails_every: 0, crash: None };

/// Time for which users bear that a task whose turn has come runs nowhere although there is capacity.
const IDLE_MAX_MS: u64 = 3_000;

/// The largest number of starts that a worker may get and refuse within a second: three attempts of a
/// task, and those of one that was sent before the first refusal was known.
const REFUSED_A_SECOND_MAX: usize = 6;

/// Returns a world with a worker that is in use, which attracts small tasks, and its VM.
fn world_with_worker_in_use(workers: usize) -> (World, usize) {
    let mut world = World::new(71, 3, workers);
    world.install_queue();
    world.submit(1, spec(vec![step(1, 1, &[])]), LONG);
    world.run_for(1_000);
    let starts = |vm: &usize| world.rules.starts_on(&world.nodes[*vm].worker.name());
    let in_use = (0..workers).find(|vm| 0 < starts(vm)).unwrap();
    (world, in_use)
}

/// Submits workflows of one small task.
fn submit_small(world: &mut World, ids: std::ops::RangeInclusive<u64>) {
    for id in ids {
        world.submit(id, spec(vec![step(1, 1, &[])]), SHORT);
    }
}

/// Runs until all these workflows have begun; returns the time that took, or `None` after `max_ms`.
fn time_to_begin(
    world: &mut World,
    ids: std::ops::RangeInclusive<u64>,
    max_ms: u64,
) -> Option<u64> {
    let since_ms = world.now_ms;
    while !ids.clone().all(|it| world.rules.has_started_workflow(it)) {
        if since_ms + max_ms <= world.now_ms {
            return None;
        }
        world.run_for(10);
    }
    Some(world.now_ms - since_ms)
}

/// Returns the largest number of starts that a worker refused within a second.
fn refused_in_a_second(world: &World, vm: usize) -> usize {
    let times_ms = &world.nodes[vm].worker.refused_starts_ms;
    let count_from = |from_ms: &u64| {
        let second = *from_ms..from_ms + 1_000;
        times_ms.iter().filter(|it| second.contains(it)).count()
    };
    times_ms.iter().map(count_from).max().unwrap_or(0)
}

/// Guards against work that is sent again and again to the one worker that refuses it while others
/// are idle.
#[yare::parameterized(
    unhealthy = { StartRefusal::Unhealthy },
    room = { StartRefusal::Room },
)]
fn work_that_one_worker_refuses_begins_on_another(refusal: StartRefusal) {
    let (mut world, in_use) = world_with_worker_in_use(11);
    world.nodes[in_use].worker.start_refusal = Some(refusal);
    submit_small(&mut world, 2..=2);
    assert!(time_to_begin(&mut world, 2..=2, IDLE_MAX_MS).is_some(), "the first is not begun");
    for first in [3, 9, 15] {
        submit_small(&mut world, first..=first + 5);
        let time = time_to_begin(&mut world, first..=first + 5, 1_000);
        assert!(time.is_some(), "later ones wait for a worker known to refuse them");
        world.run_for(1_000);
    }
    assert!(refused_in_a_second(&world, in_use) <= REFUSED_A_SECOND_MAX);
    assert_eq!(world.rules.violations, [""; 0]);
}

/// Guards against a pause that outlasts the refusals: the worker is used again by itself.
#[test]
fn a_worker_that_accepts_starts_again_is_used_again() {
    let (mut world, in_use) = world_with_worker_in_use(2);
    world.nodes[in_use].worker.start_refusal = Some(StartRefusal::Unhealthy);
    submit_small(&mut world, 2..=4);
    world.run_for(6_500);
    world.nodes[in_use].worker.start_refusal = None;
    let before = world.rules.starts_on(&world.nodes[in_use].worker.name());
    // More than the other worker can hold.
    for id in 10..=13 {
        world.submit(id, spec(vec![step(1, 7, &[])]), LONG);
    }
    assert!(time_to_begin(&mut world, 10..=13, IDLE_MAX_MS).is_some());
    assert!(before < world.rules.starts_on(&world.nodes[in_use].worker.name()));
    assert_eq!(world.rules.violations, [""; 0]);
}

/// Guards against workers that are avoided for too long after all of them have refused work at once,
/// and against a storm of starts meanwhile.
#[test]
fn work_begins_soon_after_all_workers_have_refused_it() {
    let (mut world, _) = world_with_worker_in_use(4);
    for vm in 0..4 {
        world.nodes[vm].worker.start_refusal = Some(StartRefusal::Unhealthy);
    }
    submit_small(&mut world, 2..=30);
    world.run_for(8_000);
    for vm in 0..4 {
        let refused = world.nodes[vm].worker.refused_starts_ms.split_off(0);
        // The first plan may place many tasks before any refusal is known.
        let later = refused.iter().filter(|it| world.now_ms - 6_000 < **it).count();
        assert!(0 < later, "worker {vm} is not tested");
        assert!(later <= 6 * REFUSED_A_SECOND_MAX, "worker {vm} got {later} starts in 6 s");
        world.nodes[vm].worker.start_refusal = None;
    }
    assert!(time_to_begin(&mut world, 2..=30, IDLE_MAX_MS).is_some());
    assert_eq!(world.rules.violations, [""; 0]);
}

/// Guards against a step that waits although the only worker that may run it accepts starts again.
#[test]
fn the_only_worker_that_may_run_a_step_is_tried_until_it_accepts() {
    let mut world = World::new(73, 3, 4);
    world.nodes[2].worker.kind = "special".into();
    world.install_queue();
    world.nodes[2].worker.start_refusal = Some(StartRefusal::Unhealthy);
    let mut special = step(1, 1, &[]);
    special.required_label = "special".into();
    world.submit(5, spec(vec![special]), SHORT);
    for _ in 0..10 {
        world.run_for(1_000);
        assert!(!world.rules.has_started_workflow(5));
    }
    assert!(refused_in_a_second(&world, 2) <= REFUSED_A_SECOND_MAX);
    world.nodes[2].worker.start_refusal = None;
    assert!(time_to_begin(&mut world, 5..=5, IDLE_MAX_MS).is_some());
    assert_eq!(world.rules.violations, [""; 0]);
}

/// Guards against work that waits for a worker that answers no call, although it announces itself.
#[test]
fn work_for_a_worker_that_answers_no_call_begins_on_another() {
    let (mut world, in_use) = world_with_worker_in_use(11);
    world.nodes[in_use].worker.is_mute = true;
    world.run_for(1_000);
    for first in [2, 8, 14] {
        submit_small(&mut world, first..=first + 5);
        let time = time_to_begin(&mut world, first..=first + 5, IDLE_MAX_MS);
        assert!(time.is_some(), "work waits for a worker that answers nothing");
    }
    world.nodes[in_use].worker.is_mute = false;
    world.run_for(10_000);
    assert_eq!(world.rules.violations, [""; 0]);
}

/// Returns the number of the queue's workflows that are counted as waiting.
fn pending_count(world: &mut World) -> u64 {
    let queue = WorkflowTarget { path: "/queue/".into(), ..target(0) };
    let token = world.request(WorkflowRequest::Inspect(queue));
    world.run_for(500);
    match world.answers.remove(&token) {
        Some(GatewayAnswer::Outcome(WorkflowOutcome::Pending(it))) => it,
        other => panic!("no count: {other:?}"),
    }
}

/// Guards against a workflow that is shown as running, and counted as begun, since a run of it is
/// placed on a worker that refuses it.
#[test]
fn work_that_all_workers_refuse_is_counted_as_waiting() {
    let (mut world, _) = world_with_worker_in_use(3);
    for vm in 0..3 {
        world.nodes[vm].worker.start_refusal = Some(StartRefusal::Unhealthy);
    }
    submit_small(&mut world, 2..=7);
    for _ in 0..6 {
        world.run_for(1_000);
        assert_eq!(pending_count(&mut world), 6);
    }
    assert_eq!(world.phase(2), Some(WorkflowPhase::Queued));
    (0..3).for_each(|vm| world.nodes[vm].worker.start_refusal = None);
    world.run_for(4_000);
    assert_eq!(pending_count(&mut world), 0);
    assert_eq!(world.rules.violations, [""; 0]);
}

/// Guards against the same for a worker that is cut off: its run stays in the ledger until the lease
/// has expired.
#[test]
fn work_placed_on_a_worker_that_is_cut_off_is_counted_as_waiting() {
    let (mut world, in_use) = world_with_worker_in_use(3);
    world.partitioned.insert(200 + in_use);
    submit_small(&mut world, 2..=7);
    world.run_for(500);
    let begun = |world: &World| (2..=7).filter(|it| world.rules.has_started_workflow(*it)).count();
    assert!(begun(&world) < 6, "no work is placed on the worker that is cut off");
    for _ in 0..4 {
        let waiting = 6 - begun(&world) as u64;
        // A begin is known with the next report of its worker.
        assert!(waiting <= pending_count(&mut world));
        world.run_for(500);
    }
    world.run_for(8_000);
    assert_eq!(pending_count(&mut world), 0);
    (2..=7).for_each(|id| assert_eq!(world.phase(id), Some(WorkflowPhase::Completed)));
    assert_eq!(world.rules.violations, [""; 0]);
}
