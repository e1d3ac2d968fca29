//! Tests of the rules that choose what to reserve and which tasks to move for it.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    control::state::{NO_RESOURCES, add, fits},
    policy::{
        compaction::{Compaction, MOVES_MAX, find_compaction, moves_worth},
        reservation::{MovableRun, WorkerRoom, is_large, is_within_bound},
    },
    prelude::*,
};

fn cores(cores: u32) -> Resources {
    Resources { cpu_millicores: cores * 1_000, memory_mib: cores * 100, accelerators: 0 }
}

/// Returns a run of a service that may lose one task.
fn run(service: u64, resources: Resources) -> MovableRun {
    let task = TaskRef { workflow: WorkflowId(service), occurrence: 0, step: 0, index: 0 };
    MovableRun { run: RunRef { task, run: 1 }, resources, spare: 1 }
}

fn room(worker: u64, free: u32, movable: Vec<MovableRun>) -> WorkerRoom {
    WorkerRoom { worker: WorkerId(worker), free: cores(free), ends: Vec::new(), movable }
}

fn find(need: Resources, rooms: &[WorkerRoom], moves_max: usize) -> Option<Compaction> {
    find_compaction(need, rooms, rooms, moves_max, 0, |_, _| true)
}

#[test]
fn one_move_to_the_tightest_gap_is_preferred() {
    let rooms = [
        room(1, 6, vec![run(1, cores(4)), run(2, cores(12))]),
        room(2, 5, vec![run(3, cores(20))]),
        room(3, 4, vec![run(4, cores(20))]),
    ];
    let found = find(cores(10), &rooms, MOVES_MAX).unwrap();
    let moves: Vec<_> = found.moves.iter().map(|it| (it.run.run, it.from, it.target)).collect();
    let expected = (run(1, cores(4)).run, WorkerId(1), WorkerId(3));
    assert_eq!((found.worker, moves), (WorkerId(1), vec![expected]));
}

/// Every gap is smaller than every task, so no task can move alone.
#[test]
fn gaps_smaller_than_every_task_are_joined_by_an_exchange() {
    let rooms = [
        room(1, 8, vec![run(1, cores(24)), run(2, cores(32))]),
        room(2, 8, vec![run(3, cores(16)), run(4, cores(40))]),
    ];
    assert_eq!(find(cores(16), &rooms, 1), None);
    let found = find(cores(16), &rooms, 2).unwrap();
    assert_eq!(found.moves.len(), 2);
}

#[test]
fn a_service_that_may_lose_one_task_does_not_lose_two() {
    let of_one_service = vec![run(1, cores(6)), run(1, cores(6))];
    let of_two = vec![run(1, cores(6)), run(2, cores(6))];
    let others = [room(2, 6, Vec::new()), room(3, 6, Vec::new())];
    let rooms = |movable| [[room(1, 6, movable)].as_slice(), &others].concat();
    assert_eq!(find(cores(18), &rooms(of_one_service), MOVES_MAX), None);
    assert_eq!(find(cores(18), &rooms(of_two), MOVES_MAX).unwrap().moves.len(), 2);
}

/// Whatever the fleet, the moves leave no worker overfilled, make room for the task, and take no
/// more tasks of a service than it spares.
#[test]
fn moves_leave_no_worker_overfilled() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut found_count = 0;
    for _ in 0..300 {
        let mut room = |worker| {
            let mut runs = Vec::new();
            for _ in 0..random.u32(2..5) {
                let need =
                    Resources { memory_mib: random.u32(100..4_000), ..cores(random.u32(8..21)) };
                runs.push(run(random.u64(0..20), need));
            }
            let memory_mib = random.u32(0..4_000);
            WorkerRoom {
                free: Resources { memory_mib, ..cores(random.u32(0..9)) },
                ..room(worker, 0, runs)
            }
        };
        let rooms: Vec<_> = (0..10).map(&mut room).collect();
        let need = Resources { memory_mib: 1_000, ..cores(10) };
        let Some(found) = find(need, &rooms, MOVES_MAX) else { continue };
        found_count += 1;
        assert!(found.moves.len() <= MOVES_MAX);
        for it in &rooms {
            let sum = |runs: Vec<Resources>| runs.into_iter().fold(NO_RESOURCES, add);
            let from = found.moves.iter().filter(|its| its.from == it.worker);
            let to = found.moves.iter().filter(|its| its.target == it.worker);
            let free = add(it.free, sum(from.map(|it| it.run.resources).collect()));
            let own = if it.worker == found.worker { need } else { NO_RESOURCES };
            let used = add(own, sum(to.map(|it| it.run.resources).collect()));
            assert!(fits(used, free), "{used:?} on {:?} with {free:?} free", it.worker);
        }
        let mut services: Vec<_> = found.moves.iter().map(|it| it.run.run.task.workflow).collect();
        services.sort();
        services.dedup();
        assert_eq!(services.len(), found.moves.len());
    }
    assert!(100 < found_count, "{found_count} of 300 fleets could make room");
}

#[test]
fn moves_are_worth_no_more_than_the_wait() {
    assert_eq!(moves_worth(1_000), 0);
    assert_eq!(moves_worth(1_500), 1);
    assert_eq!(moves_worth(60_000), MOVES_MAX);
}

#[test]
fn at_most_an_eighth_of_a_pool_is_reserved() {
    assert!(is_within_bound(cores(16), cores(16), cores(256)));
    assert!(!is_within_bound(cores(16), cores(17), cores(256)));
    assert!(is_within_bound(cores(16), NO_RESOURCES, cores(64)), "one task may always be");
}

#[test]
fn a_task_is_large_by_the_resource_that_it_needs_most() {
    let of_ten_workers = cores(640);
    assert!(is_large(cores(8), of_ten_workers, 10));
    assert!(!is_large(cores(4), of_ten_workers, 10));
    assert!(is_large(Resources { memory_mib: 800, ..cores(1) }, of_ten_workers, 10));
}
