//! Times of recovery, in virtual time, beside the timeouts that they come from.

use crate::{
    faults::{begin, put_team, wait_for_leader},
    world::{World, control_settings},
};

fn quantile(sorted: &[u64], permille: usize) -> u64 {
    sorted[(sorted.len() - 1) * permille / 1_000]
}

/// Lets time pass in small steps until something holds; returns how long that took.
fn wait_ms(world: &mut World, holds: impl Fn(&World) -> bool) -> u64 {
    let begun_ms = world.now_ms;
    while !holds(world) {
        world.run(1);
        assert!(world.now_ms < begun_ms + 120_000, "waited in vain");
    }
    world.now_ms - begun_ms
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

    let mut world = begin(1, 5, 1, 1);
    let mut times = Vec::new();
    for _ in 0..100 {
        let leader = wait_for_leader(&mut world);
        world.kill(leader, 0);
        times.push(wait_ms(&mut world, |it| it.leader().is_some()));
        world.start(leader);
        world.run(1_500);
    }
    times.sort_unstable();
    println!(
        "fail-over over 100 kills: p50 {} ms, p99 {} ms, most {} ms",
        quantile(&times, 500),
        quantile(&times, 990),
        times[99]
    );

    let mut times = Vec::new();
    for _ in 0..100 {
        let leader = wait_for_leader(&mut world);
        world.stop(leader);
        let took = wait_ms(&mut world, |it| it.leader().is_some_and(|it| it != leader));
        times.push(took);
        world.run(1_000);
    }
    times.sort_unstable();
    println!(
        "planned hand-over, 100 times: p50 {} ms, p99 {} ms",
        quantile(&times, 500),
        quantile(&times, 990)
    );

    for changes in [500, 5_000] {
        let mut world = begin(2, 3, 1, 1);
        let leader = wait_for_leader(&mut world);
        let away = world.controls.iter().copied().find(|it| *it != leader).unwrap();
        world.kill(away, 0);
        for at in 0..changes {
            let revision = world.control(leader).unwrap().in_force();
            world.change(
                leader,
                revision,
                &format!("c-{at}"),
                put_team(&format!("team-{}", at % 20)),
            );
            world.run(8);
        }
        world.run(1_000);
        world.start(away);
        let index = world.control(leader).unwrap().state().index();
        let took = wait_ms(&mut world, |it| index <= it.control(away).unwrap().state().index());
        println!("catch-up of a control member after {changes} changes: {took} ms");
    }

    let mut world = begin(3, 3, 2, 100);
    world.run(10_000);
    let mut times = Vec::new();
    for at in 0..20 {
        let leader = wait_for_leader(&mut world);
        let revision = world.control(leader).unwrap().in_force();
        world.change(leader, revision, &format!("c-{at}"), put_team("team-x"));
        wait_ms(&mut world, |it| {
            it.leader().is_some_and(|it_| revision < it.control(it_).unwrap().in_force())
        });
        times.push(wait_ms(&mut world, in_force_everywhere));
        let pause_ms = world.random.u64(100..900);
        world.run(pause_ms);
    }
    times.sort_unstable();
    println!(
        "in force everywhere, 100 agents at heartbeats of 300 ms and 2 entries at 1000 ms: p50 {} ms, most {} ms",
        quantile(&times, 500),
        times[19]
    );
}
