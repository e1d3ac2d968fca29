//! Checks the checkers: each must detect a deliberate violation of its promise.

use crate::{
    checkers::check_all,
    faults::{job, put_team, record_unanswered, start_world},
    world::World,
};

/// The fault injected between the cores and the fakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Workers do not stop their tasks when the lease expires.
    EndlessLease,
    /// Tasks use 16 times the CPU reserved for them.
    TakesMore,
    /// An endpoint returns the answer to another request.
    SwapAnswers,
    /// Each request runs twice.
    RunTwice,
    /// A caller whose request ran is answered that it did not run.
    LieNotRun,
    /// The agent is not notified that its endpoint leaves.
    LeaveUnheard,
    /// A worker executes each start order twice.
    StartTwice,
    /// A process ends a planned stop before it is drained.
    EndUndrained,
    /// A control member exposes its state before it has caught up.
    ShowsTooEarly,
}

fn check_is_detected(sabotage: Sabotage, promise: &str, scenario: fn(&mut World)) {
    let mut world = start_world(7, 3, 2, 4);
    scenario(&mut world);
    world.run(20_000);
    let baseline_violations = check_all(&world.history, None);
    assert!(baseline_violations.is_empty(), "violations without sabotage: {baseline_violations:?}");

    let mut world = start_world(7, 3, 2, 4);
    world.sabotage = Some(sabotage);
    scenario(&mut world);
    world.run(20_000);
    let violations = check_all(&world.history, None);
    assert!(
        violations.iter().any(|it| it.starts_with(promise)),
        "{sabotage:?} was not detected: {violations:?}"
    );
}

fn send_keyed_requests(world: &mut World) {
    for index in 0..20 {
        let entry = world.entries[index % 2];
        let key = format!("key-{index}");
        world.send_quick(entry, &format!("body-{index}"), Some(&key), 1_000);
        world.run(50);
    }
}

#[test]
fn an_endless_lease_is_caught() {
    check_is_detected(Sabotage::EndlessLease, "no task in two places", |world| {
        world.submit(world.entries[0], "long", job(4, 60_000, 1_000));
        world.run(3_000);
        for agent in world.agents.clone() {
            if world.control(world.leader().unwrap()).unwrap().state().vms.iter().count() < 2 {
                continue;
            }
            world.kill(agent, 0);
            world.run(1_500);
            if agent == world.agents[1] {
                break;
            }
        }
        world.run(6_000);
    });
}

#[test]
fn an_overfilled_vm_is_caught() {
    check_is_detected(Sabotage::TakesMore, "no VM overfilled", |world| {
        world.submit(world.entries[0], "wide", job(12, 5_000, 2_000));
        world.run(4_000);
    });
}

#[test]
fn a_foreign_answer_is_caught() {
    check_is_detected(Sabotage::SwapAnswers, "own whole answer", send_keyed_requests);
}

#[test]
fn a_request_that_runs_twice_is_caught() {
    check_is_detected(Sabotage::RunTwice, "at most once", send_keyed_requests);
}

#[test]
fn a_lie_about_not_running_is_caught() {
    check_is_detected(Sabotage::LieNotRun, "not run means not run", send_keyed_requests);
}

#[test]
fn work_for_an_endpoint_that_left_is_caught() {
    check_is_detected(Sabotage::LeaveUnheard, "a leaving endpoint gets nothing new", |world| {
        world.leave_endpoint(world.agents[0]);
        for _ in 0..40 {
            world.run(200);
            send_idempotent_requests(world);
        }
    });
}

fn send_idempotent_requests(world: &mut World) {
    let entry = world.entries[0];
    for _ in 0..4 {
        let body = format!("body-{}", world.history.operations);
        world.send_quick(entry, &body, None, 1_000);
    }
}

#[test]
fn a_configuration_that_reverts_is_caught() {
    check_is_detected(Sabotage::ShowsTooEarly, "configuration never reverts", |world| {
        // More than the 200 entries of a snapshot interval, so entries follow the snapshot.
        for index in 0..230 {
            let control = world.leader().unwrap();
            let revision = world.control(control).unwrap().in_force();
            world.change(
                control,
                revision,
                &format!("c-{index}"),
                put_team(&format!("team-{}", index % 5)),
            );
            world.run(40);
        }
        let follower =
            world.controls.iter().copied().find(|it| Some(*it) != world.leader()).unwrap();
        world.kill(follower, 0);
        world.run(500);
        world.start(follower);
    });
}

#[test]
fn an_incarnation_that_starts_twice_is_caught() {
    check_is_detected(Sabotage::StartTwice, "evicted work resumes exactly once", |world| {
        world.submit(world.entries[0], "job", job(2, 500, 1_000));
        world.run(2_000);
    });
}

#[test]
fn a_stop_that_cuts_off_is_caught() {
    check_is_detected(Sabotage::EndUndrained, "planned stops cut off nothing", |world| {
        let entry = world.entries[0];
        for index in 0..5 {
            world.send_quick(entry, &format!("body-{index}"), None, 1_000);
        }
        world.begin_stop(entry);
        while world.sabotage != Some(Sabotage::EndUndrained) && !world.is_drained(entry) {
            world.run(10);
        }
        record_unanswered(world, entry);
        world.kill(entry, 0);
    });
}
