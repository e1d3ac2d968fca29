//! Deliberately broken variants: each promise's checker must catch its own.

use crate::{
    checkers::check_all,
    faults::{begin, job, note_cut_off, put_team},
    world::World,
};

/// What is broken on the way between the cores and the fakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Workers do not stop when the lease ends.
    EndlessLease,
    /// Tasks take more than was reserved for them.
    TakesMore,
    /// An endpoint answers with another's answer.
    SwapAnswers,
    /// Each request runs twice.
    RunTwice,
    /// Who was answered is told that it did not run.
    LieNotRun,
    /// The agent never hears that its endpoint leaves.
    LeaveUnheard,
    /// A worker starts what it is told to twice.
    StartTwice,
    /// A process in a planned stop ends before it is drained.
    EndUndrained,
    /// A control member shows its state before it has caught up.
    ShowsTooEarly,
}

fn check(sabotage: Sabotage, promise: &str, scene: fn(&mut World)) {
    let mut world = begin(7, 3, 2, 4);
    scene(&mut world);
    world.run(20_000);
    let sound = check_all(&world.history, None);
    assert!(sound.is_empty(), "unbroken: {sound:?}");

    let mut world = begin(7, 3, 2, 4);
    world.sabotage = Some(sabotage);
    scene(&mut world);
    world.run(20_000);
    let found = check_all(&world.history, None);
    assert!(
        found.iter().any(|it| it.starts_with(promise)),
        "{sabotage:?} was not caught: {found:?}"
    );
}

fn quicks(world: &mut World) {
    for at in 0..20 {
        let entry = world.entries[at % 2];
        let key = format!("key-{at}");
        world.quick(entry, &format!("body-{at}"), Some(&key), 1_000);
        world.run(50);
    }
}

#[test]
fn an_endless_lease_is_caught() {
    check(Sabotage::EndlessLease, "no task in two places", |world| {
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
    check(Sabotage::TakesMore, "no VM overfilled", |world| {
        world.submit(world.entries[0], "wide", job(12, 5_000, 2_000));
        world.run(4_000);
    });
}

#[test]
fn a_foreign_answer_is_caught() {
    check(Sabotage::SwapAnswers, "own whole answer", quicks);
}

#[test]
fn a_request_that_runs_twice_is_caught() {
    check(Sabotage::RunTwice, "at most once", quicks);
}

#[test]
fn a_lie_about_not_running_is_caught() {
    check(Sabotage::LieNotRun, "not run means not run", quicks);
}

#[test]
fn work_for_an_endpoint_that_left_is_caught() {
    check(Sabotage::LeaveUnheard, "a leaving endpoint gets nothing new", |world| {
        world.leave(world.agents[0]);
        for _ in 0..40 {
            world.run(200);
            quicks_idempotent(world);
        }
    });
}

fn quicks_idempotent(world: &mut World) {
    let entry = world.entries[0];
    for _ in 0..4 {
        let body = format!("body-{}", world.history.operations);
        world.quick(entry, &body, None, 1_000);
    }
}

#[test]
fn a_configuration_that_reverts_is_caught() {
    check(Sabotage::ShowsTooEarly, "configuration never reverts", |world| {
        // Enough for a snapshot, and then a few more.
        for at in 0..230 {
            let control = world.leader().unwrap();
            let revision = world.control(control).unwrap().in_force();
            world.change(
                control,
                revision,
                &format!("c-{at}"),
                put_team(&format!("team-{}", at % 5)),
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
    check(Sabotage::StartTwice, "evicted work resumes exactly once", |world| {
        world.submit(world.entries[0], "job", job(2, 500, 1_000));
        world.run(2_000);
    });
}

#[test]
fn a_stop_that_cuts_off_is_caught() {
    check(Sabotage::EndUndrained, "planned stops cut off nothing", |world| {
        let entry = world.entries[0];
        for at in 0..5 {
            world.quick(entry, &format!("body-{at}"), None, 1_000);
        }
        world.stop(entry);
        while world.sabotage != Some(Sabotage::EndUndrained) && !world.is_drained(entry) {
            world.run(10);
        }
        note_cut_off(world, entry);
        world.kill(entry, 0);
    });
}
