//! Availability zones that are evacuated and reopened, under faults.

use aspenrail::{gateway::GatewayAnswer, prelude::*};

use crate::{
    faults::inject_fault,
    long_run::assert_no_seed_breaks_a_rule,
    worker::TaskBehavior,
    world::{World, spec, step, zone_of},
};

/// Seeds that run in CI.
const SEEDS: std::ops::Range<u64> = 0..10;

/// First seed of the long run.
const LONG_FIRST_SEED: u64 = 300_000;

/// Time after the acknowledgement within which runs may still start in the zone, as users require.
const START_GRACE_MS: u64 = 5_000;

const QUICK: TaskBehavior = TaskBehavior { work_ms: 300, fails_every: 0, crash: None };

fn request(zone: &str, evacuated: bool) -> WorkflowRequest {
    WorkflowRequest::Evacuate(EvacuateRequest {
        zone: zone.into(),
        evacuated,
        by: "test".into(),
        based_on: None,
    })
}

/// Requests a change up to 12 times, as an operator does. Returns whether it was acknowledged.
fn change_zone(world: &mut World, zone: &str, evacuated: bool) -> bool {
    for _ in 0..12 {
        let token = world.request(request(zone, evacuated));
        world.run_for(500);
        if world.answers.get(&token) == Some(&GatewayAnswer::Outcome(WorkflowOutcome::Accepted)) {
            return true;
        }
    }
    false
}

fn read_evacuated_zones(world: &mut World) -> Vec<CompactString> {
    for _ in 0..20 {
        let token = world.request(WorkflowRequest::ReadEvacuations);
        world.run_for(500);
        if let Some(GatewayAnswer::Outcome(WorkflowOutcome::Evacuations(evacuations))) =
            world.answers.get(&token)
        {
            return evacuations.zones.iter().map(|it| it.zone.clone()).collect();
        }
    }
    panic!("no answer after 20 requests for the evacuated zones");
}

/// Runs work and faults while zones are evacuated and reopened, at most two at a time.
fn play(seed: u64) -> World {
    let mut world = World::new(seed, 3, 6);
    world.install_queue();
    let mut evacuated_zones: Vec<CompactString> = Vec::new();
    let mut accepted = Vec::new();
    for id in 1..=25 {
        let work_ms = world.random.u64(100..1_500);
        let steps = vec![step(4, 2, &[]), step(3, 1, &[0])];
        accepted.push((
            id,
            world.submit(id, spec(steps), TaskBehavior { work_ms, fails_every: 0, crash: None }),
        ));
        inject_fault(&mut world);
        let vm = world.random.usize(0..3);
        let zone = zone_of(vm);
        match evacuated_zones.iter().position(|it| *it == zone) {
            Some(index) if world.random.bool() => {
                world.rules.set_zone_closed(&zone, None);
                evacuated_zones.remove(index);
                change_zone(&mut world, &zone, false);
            }
            None if evacuated_zones.len() < 2
                && world.random.bool()
                && change_zone(&mut world, &zone, true) =>
            {
                let from_ms = world.now_ms + START_GRACE_MS;
                world.rules.set_zone_closed(&zone, Some(from_ms));
                evacuated_zones.push(zone);
            }
            _ => (),
        }
        let pause_ms = world.random.u64(200..2_500);
        world.run_for(pause_ms);
    }
    world.partitioned.clear();
    world.late_percent = 0;
    world.run_for(15_000);
    for zone in &evacuated_zones {
        let known = read_evacuated_zones(&mut world);
        if !known.contains(zone) {
            world.rules.violations.push(format!("{zone} was evacuated, but is not in {known:?}"));
        }
    }
    for zone in evacuated_zones {
        world.rules.set_zone_closed(&zone, None);
        assert!(
            change_zone(&mut world, &zone, false),
            "the reopening of {zone} was not acknowledged"
        );
    }
    world.run_for(25_000);
    for (id, token) in accepted {
        if world.answers.get(&token) == Some(&GatewayAnswer::Outcome(WorkflowOutcome::Accepted))
            && world.phase(id) != Some(WorkflowPhase::Completed)
        {
            world.rules.violations.push(format!("workflow {id} was accepted but is not completed"));
        }
    }
    world
}

fn assert_unbroken(seed: u64) -> u32 {
    let world = play(seed);
    assert!(world.rules.violations.is_empty(), "seed {seed}: {:#?}", world.rules.violations);
    world.rules.starts
}

#[test]
fn nothing_begins_in_a_zone_out_of_use_under_seeded_faults() {
    let starts: u32 = SEEDS.map(assert_unbroken).sum();
    assert!(0 < starts);
}

#[test]
#[ignore = "long; see the module"]
fn many_seeds_with_evacuations() {
    assert_no_seed_breaks_a_rule(LONG_FIRST_SEED, play);
}

#[test]
fn what_is_ordered_and_not_begun_is_withdrawn_and_done_elsewhere() {
    let mut world = World::new(11, 3, 3);
    world.install_queue();
    // All orders to the workers get no answer, and are executed late or never.
    world.late_percent = 100;
    world.submit(1, spec(vec![step(3, 6, &[])]), QUICK);
    world.run_for(300);
    assert!(change_zone(&mut world, "zone-0", true));
    let from_ms = world.now_ms + START_GRACE_MS;
    world.rules.set_zone_closed("zone-0", Some(from_ms));
    world.late_percent = 0;
    world.run_for(15_000);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Completed));
    assert!(world.rules.violations.is_empty(), "{:#?}", world.rules.violations);
}

#[test]
fn a_node_does_not_go_on_trying_to_begin_what_was_ordered_before() {
    let mut world = World::new(17, 3, 3);
    world.install_queue();
    world.loses_orders = true;
    // Two tasks fill a worker, so that starts are ordered in each zone.
    world.submit(1, spec(vec![step(6, 7, &[])]), QUICK);
    world.run_for(300);
    assert!(change_zone(&mut world, "zone-0", true));
    let from_ms = world.now_ms + START_GRACE_MS;
    world.rules.set_zone_closed("zone-0", Some(from_ms));
    world.run_for(START_GRACE_MS + 500);
    world.loses_orders = false;
    world.run_for(5_000);
    assert!(world.rules.violations.is_empty(), "{:#?}", world.rules.violations);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Completed));
}

#[test]
fn what_runs_in_a_zone_goes_on_when_that_goes_out_of_use() {
    let mut world = World::new(12, 3, 1);
    world.install_queue();
    world.submit(
        1,
        spec(vec![step(1, 1, &[])]),
        TaskBehavior { work_ms: 6_000, fails_every: 0, crash: None },
    );
    world.run_for(1_000);
    assert!(change_zone(&mut world, "zone-0", true));
    world.run_for(8_000);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Completed));
    assert_eq!(world.rules.starts, 1, "the run was started again");
}

#[test]
fn with_all_zones_out_of_use_work_waits_and_goes_on_when_one_is_back() {
    let mut world = World::new(13, 3, 3);
    world.install_queue();
    for vm in 0..3 {
        assert!(change_zone(&mut world, &zone_of(vm), true));
    }
    world.submit(1, spec(vec![step(3, 1, &[])]), QUICK);
    world.run_for(6_000);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Queued));
    assert!(change_zone(&mut world, "zone-2", false));
    world.run_for(3_000);
    assert_eq!(world.phase(1), Some(WorkflowPhase::Completed));
}

#[test]
fn evacuations_survive_the_loss_of_all_members_and_of_one_disk() {
    let mut world = World::new(14, 3, 3);
    world.install_queue();
    assert!(change_zone(&mut world, "zone-1", true));
    (0..3).for_each(|at| world.kill_member(at, 800, at == 1));
    world.run_for(8_000);
    assert_eq!(read_evacuated_zones(&mut world), ["zone-1"]);
}

#[test]
fn a_second_evacuation_and_a_withdrawal_of_nothing_change_nothing() {
    let mut world = World::new(15, 3, 1);
    world.install_queue();
    assert!(change_zone(&mut world, "zone-1", true) && change_zone(&mut world, "zone-1", true));
    assert!(change_zone(&mut world, "nowhere", false));
    assert_eq!(read_evacuated_zones(&mut world), ["zone-1"]);
    assert!(change_zone(&mut world, "zone-1", false) && change_zone(&mut world, "zone-1", false));
    assert!(read_evacuated_zones(&mut world).is_empty());
}

#[yare::parameterized(
    empty = { "" },
    control = { "zone\u{7}" },
    long = { &"z".repeat(201) },
)]
fn names_that_cannot_be_zones_are_refused(name: &str) {
    let mut world = World::new(16, 3, 1);
    world.install_queue();
    let token = world.request(request(name, true));
    world.run_for(500);
    let answer = world.answers.get(&token);
    assert!(
        matches!(answer, Some(GatewayAnswer::Outcome(WorkflowOutcome::Invalid(_)))),
        "{answer:?}"
    );
}
