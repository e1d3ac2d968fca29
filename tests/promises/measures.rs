//! Measures recovery times in virtual time and prints them with the timeouts they depend on.

use crate::{
    faults::{put_team, start_world, wait_for_leader},
    world::{World, control_settings},
};

fn quantile(sorted: &[u64], permille: usize) -> u64 {
    sorted[(sorted.len() - 1) * permille / 1_000]
}

/// Advances time in steps of 1 ms until `condition` holds; returns the elapsed time.
fn elapsed_until_ms(world: &mut World, condition: impl Fn(&World) -> bool) -> u64 {
    let start_ms = world.now_ms;
    while !condition(world) {
        world.run(1);
        assert!(world.now_ms < start_ms + 120_000, "condition did not hold within 120 s");
    }
    world.now_ms - start_ms
}

fn in_force_everywhere(world: &World) -> bool {
    let Some(accepted) = world.leader().map(|it| world.control(it).unwrap().in_force()) else {
        return false;
    };
    world.history.in_force.values().all(|it| *it == accepted)
}

#[test]
#[ignore = "a measurement: run it by hand, with --release and --nocapture"]
fn recovery_times() {
    let settings = control_settings();
    println!(
        "election timeout {} to {} ms, heartbeat {} ms, links 1 to 3 ms, syncs 1 to 3 ms",
        settings.election_timeout_ms,
        settings.election_timeout_ms * 2,
        settings.heartbeat_ms
    );

    let mut world = start_world(1, 5, 1, 1);
    let mut times_ms = Vec::new();
    for _ in 0..100 {
        let leader = wait_for_leader(&mut world);
        world.kill(leader, 0);
        times_ms.push(elapsed_until_ms(&mut world, |it| it.leader().is_some()));
        world.start(leader);
        world.run(1_500);
    }
    times_ms.sort_unstable();
    println!(
        "fail-over over 100 kills: p50 {} ms, p99 {} ms, max {} ms",
        quantile(&times_ms, 500),
        quantile(&times_ms, 990),
        times_ms[99]
    );

    let mut times_ms = Vec::new();
    for _ in 0..100 {
        let leader = wait_for_leader(&mut world);
        world.begin_stop(leader);
        let elapsed_ms =
            elapsed_until_ms(&mut world, |it| it.leader().is_some_and(|it| it != leader));
        times_ms.push(elapsed_ms);
        world.run(1_000);
    }
    times_ms.sort_unstable();
    println!(
        "planned leadership transfer, 100 times: p50 {} ms, p99 {} ms",
        quantile(&times_ms, 500),
        quantile(&times_ms, 990)
    );

    for changes in [500, 5_000] {
        let mut world = start_world(2, 3, 1, 1);
        let leader = wait_for_leader(&mut world);
        let stopped = world.controls.iter().copied().find(|it| *it != leader).unwrap();
        world.kill(stopped, 0);
        for index in 0..changes {
            let revision = world.control(leader).unwrap().in_force();
            world.change(
                leader,
                revision,
                &format!("c-{index}"),
                put_team(&format!("team-{}", index % 20)),
            );
            world.run(8);
        }
        world.run(1_000);
        world.start(stopped);
        let leader_log_index = world.control(leader).unwrap().state().index();
        let elapsed_ms = elapsed_until_ms(&mut world, |it| {
            leader_log_index <= it.control(stopped).unwrap().state().index()
        });
        println!("catch-up of a control member after {changes} changes: {elapsed_ms} ms");
    }

    let mut world = start_world(3, 3, 2, 100);
    world.run(10_000);
    let mut times_ms = Vec::new();
    for index in 0..20 {
        let leader = wait_for_leader(&mut world);
        let revision = world.control(leader).unwrap().in_force();
        world.change(leader, revision, &format!("c-{index}"), put_team("team-x"));
        elapsed_until_ms(&mut world, |it| {
            it.leader().is_some_and(|leader| revision < it.control(leader).unwrap().in_force())
        });
        times_ms.push(elapsed_until_ms(&mut world, in_force_everywhere));
        let pause_ms = world.random.u64(100..900);
        world.run(pause_ms);
    }
    times_ms.sort_unstable();
    println!(
        "in force everywhere, 100 agents at heartbeats of 300 ms and 2 entries at 1000 ms: p50 {} ms, max {} ms",
        quantile(&times_ms, 500),
        times_ms[19]
    );
}
