//! Tests of reservations and moves for large tasks: a fleet with gaps on many workers, none of them
//! large enough, while short tasks arrive all the time.

use std::collections::BTreeSet;

use aspenrail::prelude::*;

use crate::{
    fleet::{Fleet, LARGE, service},
    world::step,
};

#[test]
fn a_large_service_gets_room_from_gaps_that_suffice_in_sum() {
    let mut fleet = Fleet::fragmented();
    fleet.run_with_short_work_for(1_000);
    fleet.submit(LARGE, service(4, 16), u64::MAX);
    // A task is moved once the wait equals the time for which it is away, 1.5 s; a second more is for
    // the stops and starts.
    fleet.run_with_short_work(5_000, |it| it.at_work(LARGE) == 4);
    fleet.run_for(2_000);
    assert!(fleet.are_all_at_work(), "a moved task found no place");
    fleet.assert_away_at_most(1);
    assert!(fleet.stopped.len() <= 4, "one move for each task is enough: {:?}", fleet.stopped);
}

/// With one task of each service away, no task that is at work may be stopped. A task that is away
/// already loses nothing by a move.
#[test]
fn a_service_gets_room_only_from_those_that_may_lose_a_task() {
    let mut fleet = Fleet::fragmented();
    let mut away = BTreeSet::new();
    for worker in &mut fleet.workers {
        for (run, it) in worker.runs.iter_mut().filter(|(run, _)| run.task.index == 0) {
            it.0 = u64::MAX / 2;
            away.insert(*run);
        }
    }
    fleet.run_for(200);
    fleet.submit(LARGE, service(12, 16), u64::MAX);
    // The moves begin after 1.5 s; what is moved first is not at work again before 1.9 s.
    fleet.run_for(1_800);
    assert!(fleet.stopped.iter().all(|it| away.contains(it)), "{:?}", fleet.stopped);
}

#[test]
fn nothing_is_moved_while_the_large_service_does_not_fit_in_sum() {
    let mut fleet = Fleet::fragmented();
    // 4 of 12 cores are left on each worker but one, 48 in sum.
    fleet.submit(400, service(12, 9), u64::MAX);
    fleet.run_for(1_000);
    fleet.submit(LARGE, service(1, 40), u64::MAX);
    fleet.run_for(6_000);
    assert_eq!(fleet.stopped, []);
}

/// A worker whose large task ends soon is reserved. Short tasks go on beginning there, but none that
/// would still run when the reservation is due.
#[test]
fn backfill_does_not_delay_a_reserved_task() {
    let start_with_backfill = |has_short_work: bool| {
        let mut fleet = Fleet::new(2, 64);
        fleet.put(100, service(1, 18), &[0]);
        fleet.submit(1, WorkflowStep { estimate_ms: 2_000, ..step(1, 50, &[]) }, 2_000);
        fleet.run_for(100);
        // 46 and 14 cores are free, and 64 on the second worker in two seconds.
        fleet.submit(LARGE, service(1, 60), u64::MAX);
        fleet.run_for(700);
        fleet.submit(2, WorkflowStep { estimate_ms: 3_000, ..step(1, 10, &[]) }, 3_000);
        let is_started = |it: &Fleet| it.started.contains_key(&WorkflowId(LARGE));
        match has_short_work {
            true => drop(fleet.run_with_short_work(4_000, is_started)),
            false => drop(fleet.run_until(4_000, is_started)),
        }
        let (started_ms, worker) = fleet.started[&WorkflowId(LARGE)];
        assert_eq!(worker, 1);
        assert_eq!(fleet.started[&WorkflowId(2)].1, 0, "it would have delayed the reserved task");
        let is_backfill =
            |(id, (_, worker)): (&WorkflowId, &(u64, usize))| 1_000_000 <= id.0 && *worker == 1;
        (started_ms, fleet.started.iter().filter(|it| is_backfill(*it)).count())
    };
    let (alone_ms, _) = start_with_backfill(false);
    let (beside_ms, short_tasks) = start_with_backfill(true);
    assert!(0 < short_tasks, "no short task used the reserved capacity");
    // The short tasks arrive in steps of 100 ms.
    assert!(beside_ms <= alone_ms + 100, "{beside_ms} ms in place of {alone_ms} ms");
}

/// Returns the worker on which the task begins again that is moved first for a service of one task.
fn first_target() -> usize {
    let mut fleet = Fleet::fragmented();
    let moved = fleet.begin_move(1);
    fleet.run_until(2_000, |it| it.new_worker_of(moved).is_some());
    fleet.new_worker_of(moved).unwrap()
}

#[test]
fn a_moved_task_begins_elsewhere_if_its_target_dies() {
    let target = first_target();
    let mut fleet = Fleet::fragmented();
    let moved = fleet.begin_move(1);
    fleet.workers[target].is_gone = true;
    fleet.run_until(2_000, |it| it.new_worker_of(moved).is_some_and(|it| it != target));
}

/// The task is placed on the target before its silence is noticed, and begins elsewhere when the
/// lease of 4.4 s has expired.
#[test]
fn a_moved_task_begins_elsewhere_if_its_target_is_silent() {
    let target = first_target();
    let mut fleet = Fleet::fragmented();
    let moved = fleet.begin_move(1);
    fleet.workers[target].is_silent = true;
    fleet.run_until(6_000, |it| it.new_worker_of(moved).is_some_and(|it| it != target));
}

#[test]
fn a_change_of_leader_between_stop_and_start_loses_no_task() {
    let mut fleet = Fleet::fragmented();
    let moved = fleet.begin_move(2);
    fleet.change_leader();
    fleet.run_until(3_000, |it| it.new_worker_of(moved).is_some());
    fleet.run_until(8_000, |it| it.at_work(LARGE) == 2);
    fleet.run_until(3_000, Fleet::are_all_at_work);
    fleet.assert_away_at_most(1);
}

#[test]
fn the_large_service_gets_its_room_if_the_moved_one_is_cancelled() {
    let mut fleet = Fleet::fragmented();
    let moved = fleet.begin_move(1);
    fleet.cancel(moved.task.workflow.0);
    fleet.run_until(2_000, |it| it.at_work(LARGE) == 1);
    fleet.run_for(6_000);
    // What was reserved for the cancelled one is free for others: 12 cores of it on each worker.
    fleet.submit(600, service(8, 12), u64::MAX);
    fleet.run_until(1_000, |it| it.at_work(600) == 8);
}

#[test]
fn the_moved_task_has_its_place_if_the_large_service_is_cancelled() {
    let mut fleet = Fleet::fragmented();
    let moved = fleet.begin_move(1);
    fleet.cancel(LARGE);
    fleet.run_until(2_000, Fleet::are_all_at_work);
    assert!(fleet.new_worker_of(moved).is_some());
    // Nothing stays reserved: 144 cores are free, 24 of them on the worker that the task left.
    fleet.submit(600, service(1, 24), u64::MAX);
    fleet.run_until(1_000, |it| it.at_work(600) == 1);
}

/// Leaders change while stops are under way, and each knows nothing of the stops of the last one.
#[test]
fn no_service_loses_more_tasks_than_it_allows_while_leaders_change() {
    for (unavailable_max, limit) in [(0, 1), (2, 2)] {
        let mut fleet = Fleet::new(12, 64);
        let all: Vec<_> = (0..12).collect();
        fleet.put(100, service(12, 20), &all);
        fleet.put(101, service(12, 20), &all);
        // Only this service has tasks that fit into the gaps of 12 cores.
        fleet.put(102, WorkflowStep { unavailable_max, ..service(12, 12) }, &all);
        fleet.run_for(1_000);
        fleet.stop_ms = 3_000;
        fleet.submit(LARGE, service(4, 16), u64::MAX);
        for pause_ms in [1_700, 100, 1_900, 250, 2_500, 50, 1_800, 400] {
            fleet.run_with_short_work_for(pause_ms);
            fleet.change_leader();
        }
        fleet.run_for(6_000);
        assert!(4 <= fleet.stopped.len(), "{:?}", fleet.stopped);
        fleet.assert_away_at_most(limit);
    }
}

/// The search for capacity visits the workers for the most urgent steps only, however many wait.
#[test]
fn many_waiting_services_do_not_make_plans_longer() {
    let rows_per_plan = |steps: u64| {
        let mut fleet = Fleet::new(40, 64);
        // 14 cores are left on each worker.
        fleet.submit(100, WorkflowStep { per_worker_max: 1, ..service(40, 50) }, u64::MAX);
        fleet.run_for(500);
        (0..steps).for_each(|it| fleet.submit(LARGE + it, service(2, 16), u64::MAX));
        fleet.run_for(1_000);
        let (rows, plans) = (fleet.dispatcher.rows_visited(), fleet.dispatcher.plan_count());
        fleet.run_for(1_000);
        let plans = fleet.dispatcher.plan_count() - plans;
        (fleet.dispatcher.rows_visited() - rows) as f64 / plans as f64
    };
    let (few, many) = (rows_per_plan(4), rows_per_plan(60));
    assert!(many <= few * 1.2, "{many} workers visited per plan in place of {few}");
}
