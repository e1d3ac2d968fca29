//! Disks of control members that take writes and never sync them.

use crate::{
    checkers::check_all,
    faults::{put_team, start_world, wait_for_leader},
    world::World,
};

/// Changes the configuration through a member; returns whether the change was acknowledged.
fn is_change_acknowledged(world: &mut World, node: usize) -> bool {
    let based_on = world.control(node).unwrap().in_force();
    let index = world.change(node, based_on, "change", put_team("team-x"));
    world.run(1_000);
    matches!(&world.history.changes[index].outcome, Some(Ok(_)))
}

/// Loses the unsynced writes of all members, whose disks work afterwards, and checks every promise.
fn lose_unsynced_writes(world: &mut World) {
    for node in world.controls.clone() {
        world.kill(node, 0);
        world.set_disk_failed(node, false);
    }
    for node in world.controls.clone() {
        world.start(node);
    }
    world.run(40_000);
    let leader = wait_for_leader(world);
    let violations = check_all(&world.history, Some(world.control(leader).unwrap().state()));
    assert!(violations.is_empty(), "{violations:#?}");
}

fn has_team(world: &mut World) -> bool {
    let leader = wait_for_leader(world);
    let state = world.control(leader).unwrap().state();
    state.configuration.teams.iter().any(|it| it.name == "team-x")
}

/// The other two disks hold what the group acknowledges.
#[test]
fn a_leader_whose_disk_fails_acknowledges_what_the_others_hold() {
    let mut world = start_world(41, 3, 2, 3);
    let leader = wait_for_leader(&mut world);
    world.set_disk_failed(leader, true);
    assert!(is_change_acknowledged(&mut world, leader));
    lose_unsynced_writes(&mut world);
    assert!(has_team(&mut world), "an acknowledged change was lost with the leader's disk");
}

#[test]
fn a_group_with_one_disk_left_acknowledges_nothing() {
    let mut world = start_world(42, 3, 2, 3);
    let leader = wait_for_leader(&mut world);
    for node in world.controls.clone().into_iter().filter(|it| *it != leader) {
        world.set_disk_failed(node, true);
    }
    assert!(!is_change_acknowledged(&mut world, leader), "only one disk holds the change");
    lose_unsynced_writes(&mut world);
}
