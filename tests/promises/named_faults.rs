//! A test for each fault that users name, by its name.

use aspenrail::{
    control::Input,
    entry::{CallerAnswer, CallerRequest},
    error::{ExecutionStatus, answer_for_error},
    prelude::*,
};

use crate::{
    checkers::check_all,
    faults::{begin, job, put_team, wait_for_leader},
    world::{CAPACITY, World},
};

/// Lets the group come to rest and checks every promise.
fn check(world: &mut World) {
    world.run(40_000);
    let leader = wait_for_leader(world);
    let found = check_all(&world.history, Some(world.control(leader).unwrap().state()));
    assert!(found.is_empty(), "{found:#?}");
}

fn leader_state(world: &mut World) -> aspenrail::control::state::State {
    let leader = wait_for_leader(world);
    world.control(leader).unwrap().state().clone()
}

fn states_of(world: &mut World, key: &str) -> Vec<TaskState> {
    let state = leader_state(world);
    let job = state.jobs.jobs().find(|it| it.key == key).unwrap();
    job.task_ids().map(|id| state.jobs.task(id).unwrap().state).collect()
}

fn change(world: &mut World, node: usize, based_on: Revision, key: &str) -> usize {
    let index = world.change(node, based_on, key, put_team("team-x"));
    world.run(500);
    index
}

#[test]
fn vm_fails() {
    let mut world = begin(1, 3, 2, 4);
    world.submit(world.entries[0], "job", job(8, 4_000, 2_000));
    world.run(2_000);
    let lost = world.agents[0];
    world.kill_vm(lost);
    check(&mut world);
    assert!(states_of(&mut world, "job").iter().all(|it| *it == TaskState::Completed));
}

#[test]
fn own_processes_die() {
    let mut world = begin(2, 3, 2, 4);
    for at in 0..40 {
        world.submit(world.entries[at % 2], &format!("job-{at}"), job(1, 1_500, 500));
        world.quick(world.entries[at % 2], &format!("body-{at}"), None, 1_500);
        world.run(100);
        let victim = match at {
            8 => Some(wait_for_leader(&mut world)),
            16 => Some(world.entries[0]),
            24 => Some(world.agents[1]),
            _ => None,
        };
        if let Some(it) = victim {
            world.kill(it, 1);
            world.run(700);
            world.start(it);
        }
    }
    check(&mut world);
}

#[test]
fn lease_outlives_a_frozen_agent() {
    let mut world = begin(3, 3, 1, 3);
    world.submit(world.entries[0], "job", job(3, 9_000, 2_000));
    world.run(1_500);
    let frozen = world.agents[0];
    world.nodes[frozen].paused = true;
    // Longer than the lease and its margin: its tasks go elsewhere, and only then.
    world.run(8_000);
    world.resume(frozen);
    check(&mut world);
}

#[test]
fn declared_run_times_are_far_off() {
    let mut world = begin(4, 3, 1, 2);
    for (at, (declared_ms, run_ms)) in
        [(10_000, 100), (100, 4_000), (1, 1_000), (86_400_000, 50)].iter().enumerate()
    {
        let mut spec = job(3, *run_ms, 1_000);
        spec.declared_run_ms = *declared_ms;
        world.submit(world.entries[0], &format!("job-{at}"), spec);
    }
    check(&mut world);
}

#[test]
fn job_can_never_run() {
    let mut world = begin(5, 3, 1, 2);
    world.submit(world.entries[0], "too large", job(1, 100, CAPACITY.cpu_millicores + 1));
    let mut poison = job(1, 100, 500);
    poison.payload = r#"{"run_ms":20,"fail":true}"#.into();
    world.submit(world.entries[0], "poison", poison);
    world.submit(world.entries[0], "sound", job(2, 100, 500));
    world.run(20_000);
    assert_eq!(states_of(&mut world, "poison"), [TaskState::DeadLetter]);
    assert_eq!(states_of(&mut world, "sound"), [TaskState::Completed, TaskState::Completed]);
    let state = leader_state(&mut world);
    assert!(state.jobs.jobs().all(|it| it.key != "too large"), "it was refused at submission");
    // The VMs that the poison failed on are not blamed for good.
    assert!(state.vms.iter().all(|it| !it.quarantined));
}

#[test]
fn cancellations_come_in_waves() {
    let mut world = begin(6, 3, 2, 3);
    for at in 0..60 {
        world.submit(world.entries[at % 2], &format!("job-{at}"), job(2, 3_000, 1_000));
    }
    world.run(1_000);
    let jobs: Vec<_> = world.history.jobs.keys().copied().collect();
    assert_eq!(jobs.len(), 60);
    for wave in jobs.chunks(20).take(2) {
        world.cancel(world.entries[0], wave.to_vec());
        world.run(50);
    }
    check(&mut world);
}

#[test]
fn cancel_races_a_completion() {
    let mut world = begin(7, 3, 2, 2);
    for at in 0..30_u64 {
        world.submit(world.entries[0], &format!("job-{at}"), job(1, 200, 500));
        let pause_ms = 150 + at * 10;
        world.run(pause_ms);
        if let Some(last) = world.history.jobs.keys().last().copied() {
            world.cancel(world.entries[1], vec![last]);
        }
    }
    check(&mut world);
}

#[test]
fn worker_fails_every_task() {
    let mut world = begin(8, 3, 1, 4);
    world.vms[0].worker.broken = true;
    for at in 0..30 {
        world.submit(world.entries[0], &format!("job-{at}"), job(1, 800, 2_000));
        world.run(200);
    }
    world.run(10_000);
    let state = leader_state(&mut world);
    let broken = state.vms.by_name("vm-0").unwrap();
    assert!(broken.quarantined, "{broken:?}");
    assert!(
        state.jobs.tasks().all(|it| it.state == TaskState::Completed),
        "no task is blamed for its VM"
    );
    // Mended, a probe lets it back in.
    world.vms[0].worker.broken = false;
    for at in 30..60 {
        world.submit(world.entries[0], &format!("job-{at}"), job(1, 800, 2_000));
        world.run(200);
    }
    check(&mut world);
    assert!(!leader_state(&mut world).vms.by_name("vm-0").unwrap().quarantined);
}

#[test]
fn control_vm_is_cut_off_silently_for_long() {
    let mut world = begin(9, 3, 2, 3);
    let cut_off = wait_for_leader(&mut world);
    let term = world.control(cut_off).unwrap().raft().term();
    let others: Vec<_> = (0..world.nodes.len()).filter(|it| *it != cut_off).collect();
    world.links.cut = others.iter().flat_map(|it| [(cut_off, *it), (*it, cut_off)]).collect();
    world.run(5_000);
    assert!(!world.control(cut_off).unwrap().raft().is_leader(), "it steps down by itself");
    let leader = wait_for_leader(&mut world);
    assert_ne!(leader, cut_off);
    for at in 0..100 {
        let revision = world.control(leader).unwrap().in_force();
        change(&mut world, leader, revision, &format!("change-{at}"));
        world.submit(world.entries[at % 2], &format!("job-{at}"), job(1, 200, 500));
    }
    let term_before = world.control(leader).unwrap().raft().term();
    world.links.cut.clear();
    world.run(3_000);
    assert!(term < term_before);
    assert_eq!(wait_for_leader(&mut world), leader, "the one that returns deposes nobody");
    assert_eq!(world.control(leader).unwrap().raft().term(), term_before);
    check(&mut world);
}

#[test]
fn leader_is_deaf_but_not_dumb() {
    let mut world = begin(10, 3, 2, 3);
    let leader = wait_for_leader(&mut world);
    // Its heartbeats arrive, and no answer comes back: it must not go on believing in its lease.
    world.links.cut =
        world.controls.iter().filter(|it| **it != leader).map(|it| (*it, leader)).collect();
    world.run(3_000);
    assert!(!world.control(leader).unwrap().raft().is_leader());
    world.links.cut.clear();
    check(&mut world);
}

#[test]
fn operators_race_with_equal_numbers() {
    let mut world = begin(11, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    let base = world.control(leader).unwrap().in_force();
    let racers: Vec<_> = (0..3)
        .map(|at| {
            world.change(
                world.controls[at],
                base,
                &format!("racer-{at}"),
                put_team(&format!("t-{at}")),
            )
        })
        .collect();
    world.run(2_000);
    let outcome = |at: usize| world.history.changes[at].outcome.clone().unwrap();
    let winners: Vec<_> = racers.iter().filter(|at| outcome(**at).is_ok()).collect();
    assert_eq!(winners.len(), 1);
    for at in racers.iter().filter(|at| !winners.contains(at)) {
        let refusal = outcome(*at).unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::RevisionConflict);
        assert!(refusal.detail.contains("PutTeam"), "it shows the winner: {}", refusal.detail);
    }
}

#[test]
fn operator_resends_after_a_lost_answer() {
    let mut world = begin(12, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    let base = world.control(leader).unwrap().in_force();
    let first = change(&mut world, leader, base, "same");
    let revision = world.control(leader).unwrap().in_force();
    change(&mut world, leader, revision, "another");
    world.kill(leader, 0);
    let other = wait_for_leader(&mut world);
    let resent = change(&mut world, other, base, "same");
    let outcome = |at: usize| world.history.changes[at].outcome.clone().unwrap().unwrap();
    assert_eq!(
        outcome(first),
        outcome(resent),
        "the first answer, though the revision has moved on"
    );
}

#[test]
fn second_vm_is_lost_right_after_a_repair() {
    let mut world = begin(13, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    let lost = world.controls.iter().copied().find(|it| *it != leader).unwrap();
    let member = world.lose_disk(lost);
    let old = MemberId(lost as u64 + 1);
    world.operation(leader, Operation::Membership(MemberChange::Remove(old)));
    world.run(500);
    world.operation(leader, Operation::Membership(MemberChange::Add(member.clone())));
    world.run(100);
    // Too early: it has not caught up, or the change before is still under way.
    world.links.cut.insert((leader, lost));
    let base = world.control(leader).unwrap().in_force();
    change(&mut world, leader, base, "while it lags");
    world.operation(leader, Operation::Membership(MemberChange::Promote(member.id)));
    world.run(300);
    let is_voter = |world: &World, leader: usize| {
        world.control(leader).unwrap().raft().members().voters.iter().any(|it| it.id == member.id)
    };
    assert!(!is_voter(&world, leader), "a learner that lags is no voter");
    world.links.cut.clear();
    world.run(1_000);
    world.operation(leader, Operation::Membership(MemberChange::Promote(member.id)));
    world.run(1_000);
    assert!(is_voter(&world, leader));
    let accepted = world.control(leader).unwrap().in_force();
    // The next one goes at once: what was committed is still there.
    world.kill(leader, 0);
    let next = wait_for_leader(&mut world);
    assert_eq!(world.control(next).unwrap().in_force(), accepted);
    world.start(leader);
    check(&mut world);
}

#[test]
fn processes_restart_after_hundreds_of_changes() {
    let mut world = begin(14, 3, 2, 3);
    let leader = wait_for_leader(&mut world);
    let away = [
        world.controls.iter().copied().find(|it| *it != leader).unwrap(),
        world.entries[0],
        world.agents[0],
    ];
    away.iter().for_each(|it| world.kill(*it, 0));
    for at in 0..500 {
        let leader = wait_for_leader(&mut world);
        let revision = world.control(leader).unwrap().in_force();
        world.change(
            leader,
            revision,
            &format!("change-{at}"),
            put_team(&format!("team-{}", at % 20)),
        );
        world.run(25);
    }
    away.iter().for_each(|it| world.start(*it));
    world.run(5_000);
    let leader = wait_for_leader(&mut world);
    let accepted = world.control(leader).unwrap().in_force();
    for (address, revision) in &world.history.in_force {
        assert_eq!(*revision, accepted, "in force at {address}");
    }
    check(&mut world);
}

#[test]
fn entry_dies_between_claim_and_answer() {
    for seed in 20..40 {
        let mut world = begin(seed, 3, 2, 2);
        world.quick(world.entries[0], "stamp", Some("key"), 2_000);
        let pause_ms = seed - 19;
        world.run(pause_ms);
        world.kill(world.entries[0], 0);
        world.run(300);
        world.quick(world.entries[1], "stamp", Some("key"), 9_000);
        world.run(12_000);
        let answer = world.history.quicks.values().last().unwrap().answer.clone();
        assert!(
            matches!(answer, Some((_, CallerAnswer::Quick { .. }))),
            "the resend learns the outcome: {answer:?}"
        );
        check(&mut world);
    }
}

#[test]
fn agent_dies_while_a_stamp_is_made() {
    for seed in 40..50 {
        let mut world = begin(seed, 3, 2, 1);
        world.quick(world.entries[0], "stamp", Some("key"), 3_000);
        let pause_ms = 8 + (seed - 40);
        world.run(pause_ms);
        world.kill_vm(world.agents[0]);
        world.run(10_000);
        world.quick(world.entries[1], "stamp", Some("key"), 3_000);
        world.run(5_000);
        let told: Vec<_> = world.history.quicks.values().map(|it| it.answer.clone()).collect();
        let ran = world.history.runs.contains_key("stamp");
        for it in told {
            let Some((_, CallerAnswer::Refused(it))) = it else { continue };
            assert!(
                !ran || answer_for_error(it.kind).execution != ExecutionStatus::NotExecuted
                    || it.kind == ErrorKind::NoEndpoint,
                "{it:?}"
            );
        }
        check(&mut world);
    }
}

#[test]
fn load_shifts_in_waves() {
    let mut world = begin(15, 3, 2, 2);
    let mut next = 0;
    for wave in 0..6 {
        let requests = if wave % 2 == 0 { 400 } else { 10 };
        for _ in 0..requests {
            next += 1;
            world.quick(world.entries[next % 2], &format!("body-{next}"), None, 60);
        }
        world.run(500);
    }
    world.run(2_000);
    let refused = world.history.quicks.values().filter_map(|it| match &it.answer {
        Some((_, CallerAnswer::Refused(it))) => Some(it),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty(), "a wave of 400 is more than 8 slots answer in 60 ms");
    for it in &refused {
        assert!(
            answer_for_error(it.kind).execution == ExecutionStatus::Unknown
                || 0 < it.retry_after_ms,
            "told when to come back: {it:?}"
        );
    }
    assert!(world.history.quicks.values().all(|it| it.answer.is_some()), "everyone is answered");
    check(&mut world);
}

#[test]
fn lost_answers_of_a_watch_are_read_again() {
    let mut world = begin(16, 3, 2, 2);
    world.ask_other(
        world.entries[0],
        CallerRequest::CreateWatch { key: "w".into(), subject: "lot".into() },
    );
    world.run(500);
    for at in 0..5 {
        let entry = world.entries[at % 2];
        let key = format_compact!("e-{at}");
        let event =
            CallerRequest::Publish { key, subject: "lot".into(), body: format_compact!("{at}") };
        world.ask_other(entry, event.clone());
        world.run(200);
        // A resend of the same event is told once.
        world.ask_other(entry, event);
        if at == 2 {
            let leader = wait_for_leader(&mut world);
            world.kill(leader, 0);
            world.run(2_000);
            world.start(leader);
        }
        world.run(2_000);
    }
    let state = leader_state(&mut world);
    let id = WatchId(aspenrail::util::GroupId { region: 1, group: 1 }.pack(1));
    let watch = state.watches.get("team", id).unwrap();
    let bodies = |cursor| -> Vec<_> {
        watch.read(cursor, 100).unwrap().into_iter().map(|it| it.body).collect()
    };
    assert_eq!(bodies(0), ["0", "1", "2", "3", "4"]);
    assert_eq!(bodies(3), ["3", "4"], "reading again from a cursor loses and repeats nothing");
}

#[test]
fn key_is_reused_for_another_request() {
    let mut world = begin(17, 3, 2, 2);
    world.quick(world.entries[0], "first", Some("key"), 2_000);
    world.run(500);
    world.quick(world.entries[1], "second", Some("key"), 2_000);
    world.run(500);
    let (_, answer) = world.history.quicks.values().last().unwrap().answer.clone().unwrap();
    assert!(
        matches!(&answer, CallerAnswer::Refused(it) if it.kind == ErrorKind::KeyReused),
        "{answer:?}"
    );
    assert!(!world.history.runs.contains_key("second"));
    check(&mut world);
}

#[test]
fn disk_is_full() {
    let mut world = begin(18, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    world.input_control(leader, Input::DiskFull(true));
    let base = world.control(leader).unwrap().in_force();
    let refused = change(&mut world, leader, base, "full");
    world.submit(world.entries[0], "job", job(1, 100, 500));
    world.run(2_000);
    let outcome = |world: &World, at: usize| world.history.changes[at].outcome.clone().unwrap();
    assert_eq!(outcome(&world, refused).unwrap_err().kind, ErrorKind::DiskFull);
    assert!(world.history.jobs.is_empty(), "told, not taken and lost");
    world.input_control(leader, Input::DiskFull(false));
    let taken = change(&mut world, leader, base, "full");
    assert!(outcome(&world, taken).is_ok());
    check(&mut world);
}

#[test]
fn drained_vm_is_emptied() {
    let mut world = begin(19, 3, 1, 3);
    let mut service = job(2, 10_000_000, 500);
    service.class = "quick".into();
    world.submit(world.entries[0], "service", service);
    world.submit(world.entries[0], "batch", job(8, 60_000, 1_000));
    world.run(3_000);
    let leader = wait_for_leader(&mut world);
    let names = ["vm-0", "vm-1", "vm-2"];
    let tasks_on = |world: &World, name: &str| {
        world.control(leader).unwrap().state().vms.by_name(name).unwrap().tasks.len()
    };
    let all = |world: &World| names.iter().map(|it| tasks_on(world, it)).sum::<usize>();
    assert_eq!(all(&world), 10);
    let busiest = *names.iter().max_by_key(|it| tasks_on(&world, it)).unwrap();
    let drain = DrainRequest { vm_name: busiest.into(), draining: true };
    world.operation(leader, Operation::Drain(drain));
    world.run(25_000);
    assert_eq!(tasks_on(&world, busiest), 0);
    assert_eq!(all(&world), 10, "all run elsewhere");
    assert!(check_all(&world.history, None).is_empty());
}
