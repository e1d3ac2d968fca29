//! One test for each fault that users name; the test bears the name of the fault.

use aspenrail::{
    control::Input,
    entry::{CallerAnswer, CallerRequest},
    error::{ExecutionStatus, answer_for_error},
    prelude::*,
};

use crate::{
    checkers::check_all,
    faults::{job, put_team, start_world, wait_for_leader},
    world::{CAPACITY, World},
};

/// Waits until the group has recovered, then checks every promise.
fn check(world: &mut World) {
    world.run(40_000);
    let leader = wait_for_leader(world);
    let violations = check_all(&world.history, Some(world.control(leader).unwrap().state()));
    assert!(violations.is_empty(), "{violations:#?}");
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
    let mut world = start_world(1, 3, 2, 4);
    world.submit(world.entries[0], "job", job(8, 4_000, 2_000));
    world.run(2_000);
    let lost = world.agents[0];
    world.kill_vm(lost);
    check(&mut world);
    assert!(states_of(&mut world, "job").iter().all(|it| *it == TaskState::Completed));
}

#[test]
fn own_processes_die() {
    let mut world = start_world(2, 3, 2, 4);
    for index in 0..40 {
        world.submit(world.entries[index % 2], &format!("job-{index}"), job(1, 1_500, 500));
        world.send_quick(world.entries[index % 2], &format!("body-{index}"), None, 1_500);
        world.run(100);
        let victim = match index {
            8 => Some(wait_for_leader(&mut world)),
            16 => Some(world.entries[0]),
            24 => Some(world.agents[1]),
            _ => None,
        };
        if let Some(victim) = victim {
            world.kill(victim, 1);
            world.run(700);
            world.start(victim);
        }
    }
    check(&mut world);
}

#[test]
fn lease_outlives_a_frozen_agent() {
    let mut world = start_world(3, 3, 1, 3);
    world.submit(world.entries[0], "job", job(3, 9_000, 2_000));
    world.run(1_500);
    let frozen = world.agents[0];
    world.nodes[frozen].paused = true;
    // Longer than the lease and its margin, so its tasks restart on other VMs, but not earlier.
    world.run(8_000);
    world.resume(frozen);
    check(&mut world);
}

#[test]
fn declared_run_times_are_far_off() {
    let mut world = start_world(4, 3, 1, 2);
    for (index, (declared_ms, run_ms)) in
        [(10_000, 100), (100, 4_000), (1, 1_000), (86_400_000, 50)].iter().enumerate()
    {
        let mut spec = job(3, *run_ms, 1_000);
        spec.declared_run_ms = *declared_ms;
        world.submit(world.entries[0], &format!("job-{index}"), spec);
    }
    check(&mut world);
}

#[test]
fn job_can_never_run() {
    let mut world = start_world(5, 3, 1, 2);
    world.submit(world.entries[0], "too large", job(1, 100, CAPACITY.cpu_millicores + 1));
    let mut poison = job(1, 100, 500);
    poison.payload = r#"{"run_ms":20,"fail":true}"#.into();
    world.submit(world.entries[0], "poison", poison);
    world.submit(world.entries[0], "sound", job(2, 100, 500));
    world.run(20_000);
    assert_eq!(states_of(&mut world, "poison"), [TaskState::DeadLetter]);
    assert_eq!(states_of(&mut world, "sound"), [TaskState::Completed, TaskState::Completed]);
    let state = leader_state(&mut world);
    assert!(
        state.jobs.jobs().all(|it| it.key != "too large"),
        "a job larger than any VM is refused at submission"
    );
    // The failing job must not leave the VMs it ran on in quarantine.
    assert!(state.vms.iter().all(|it| !it.quarantined));
}

#[test]
fn cancellations_come_in_waves() {
    let mut world = start_world(6, 3, 2, 3);
    for index in 0..60 {
        world.submit(world.entries[index % 2], &format!("job-{index}"), job(2, 3_000, 1_000));
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
    let mut world = start_world(7, 3, 2, 2);
    for index in 0..30_u64 {
        world.submit(world.entries[0], &format!("job-{index}"), job(1, 200, 500));
        let pause_ms = 150 + index * 10;
        world.run(pause_ms);
        if let Some(last) = world.history.jobs.keys().last().copied() {
            world.cancel(world.entries[1], vec![last]);
        }
    }
    check(&mut world);
}

#[test]
fn worker_fails_every_task() {
    let mut world = start_world(8, 3, 1, 4);
    world.vms[0].worker.broken = true;
    for index in 0..30 {
        world.submit(world.entries[0], &format!("job-{index}"), job(1, 800, 2_000));
        world.run(200);
    }
    world.run(10_000);
    let state = leader_state(&mut world);
    let broken = state.vms.by_name("vm-0").unwrap();
    assert!(broken.quarantined, "{broken:?}");
    assert!(
        state.jobs.tasks().all(|it| it.state == TaskState::Completed),
        "failures on a broken VM must not fail the task"
    );
    // After the repair, a probe task succeeds and ends the quarantine.
    world.vms[0].worker.broken = false;
    for index in 30..60 {
        world.submit(world.entries[0], &format!("job-{index}"), job(1, 800, 2_000));
        world.run(200);
    }
    check(&mut world);
    assert!(!leader_state(&mut world).vms.by_name("vm-0").unwrap().quarantined);
}

#[test]
fn control_vm_is_cut_off_silently_for_long() {
    let mut world = start_world(9, 3, 2, 3);
    let isolated = wait_for_leader(&mut world);
    let term = world.control(isolated).unwrap().raft().term();
    let others: Vec<_> = (0..world.nodes.len()).filter(|it| *it != isolated).collect();
    world.links.cut = others.iter().flat_map(|it| [(isolated, *it), (*it, isolated)]).collect();
    world.run(5_000);
    assert!(!world.control(isolated).unwrap().raft().is_leader(), "an isolated leader steps down");
    let leader = wait_for_leader(&mut world);
    assert_ne!(leader, isolated);
    for index in 0..100 {
        let revision = world.control(leader).unwrap().in_force();
        change(&mut world, leader, revision, &format!("change-{index}"));
        world.submit(world.entries[index % 2], &format!("job-{index}"), job(1, 200, 500));
    }
    let term_before = world.control(leader).unwrap().raft().term();
    world.links.cut.clear();
    world.run(3_000);
    assert!(term < term_before);
    assert_eq!(
        wait_for_leader(&mut world),
        leader,
        "a returning member must not depose the leader"
    );
    assert_eq!(world.control(leader).unwrap().raft().term(), term_before);
    check(&mut world);
}

#[test]
fn leader_is_deaf_but_not_dumb() {
    let mut world = start_world(10, 3, 2, 3);
    let leader = wait_for_leader(&mut world);
    // Followers receive its heartbeats, but it gets no replies: its lease must expire.
    world.links.cut =
        world.controls.iter().filter(|it| **it != leader).map(|it| (*it, leader)).collect();
    world.run(3_000);
    assert!(!world.control(leader).unwrap().raft().is_leader());
    world.links.cut.clear();
    check(&mut world);
}

#[test]
fn operators_race_with_equal_numbers() {
    let mut world = start_world(11, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    let base = world.control(leader).unwrap().in_force();
    let racers: Vec<_> = (0..3)
        .map(|index| {
            world.change(
                world.controls[index],
                base,
                &format!("racer-{index}"),
                put_team(&format!("t-{index}")),
            )
        })
        .collect();
    world.run(2_000);
    let outcome = |index: usize| world.history.changes[index].outcome.clone().unwrap();
    let winners: Vec<_> = racers.iter().filter(|index| outcome(**index).is_ok()).collect();
    assert_eq!(winners.len(), 1);
    for index in racers.iter().filter(|index| !winners.contains(index)) {
        let refusal = outcome(*index).unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::RevisionConflict);
        assert!(
            refusal.detail.contains("PutTeam"),
            "the refusal names the accepted change: {}",
            refusal.detail
        );
    }
}

#[test]
fn operator_resends_after_a_lost_answer() {
    let mut world = start_world(12, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    let base = world.control(leader).unwrap().in_force();
    let first = change(&mut world, leader, base, "same");
    let revision = world.control(leader).unwrap().in_force();
    change(&mut world, leader, revision, "another");
    world.kill(leader, 0);
    let other = wait_for_leader(&mut world);
    let resent = change(&mut world, other, base, "same");
    let outcome = |index: usize| world.history.changes[index].outcome.clone().unwrap().unwrap();
    assert_eq!(
        outcome(first),
        outcome(resent),
        "a resend gets the first answer although the revision has advanced"
    );
}

#[test]
fn second_vm_is_lost_right_after_a_repair() {
    let mut world = start_world(13, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    let lost = world.controls.iter().copied().find(|it| *it != leader).unwrap();
    let member = world.lose_disk(lost);
    let old_id = MemberId(lost as u64 + 1);
    world.request_operation(leader, Operation::Membership(MemberChange::Remove(old_id)));
    world.run(500);
    world.request_operation(leader, Operation::Membership(MemberChange::Add(member.clone())));
    world.run(100);
    // Too early: the learner lags, or the previous membership change is uncommitted.
    world.links.cut.insert((leader, lost));
    let base = world.control(leader).unwrap().in_force();
    change(&mut world, leader, base, "while it lags");
    world.request_operation(leader, Operation::Membership(MemberChange::Promote(member.id)));
    world.run(300);
    let is_voter = |world: &World, leader: usize| {
        world.control(leader).unwrap().raft().members().voters.iter().any(|it| it.id == member.id)
    };
    assert!(!is_voter(&world, leader), "a lagging learner must not become a voter");
    world.links.cut.clear();
    world.run(1_000);
    world.request_operation(leader, Operation::Membership(MemberChange::Promote(member.id)));
    world.run(1_000);
    assert!(is_voter(&world, leader));
    let accepted = world.control(leader).unwrap().in_force();
    // Another member is lost at once: committed changes must survive.
    world.kill(leader, 0);
    let new_leader = wait_for_leader(&mut world);
    assert_eq!(world.control(new_leader).unwrap().in_force(), accepted);
    world.start(leader);
    check(&mut world);
}

#[test]
fn processes_restart_after_hundreds_of_changes() {
    let mut world = start_world(14, 3, 2, 3);
    let leader = wait_for_leader(&mut world);
    let stopped_nodes = [
        world.controls.iter().copied().find(|it| *it != leader).unwrap(),
        world.entries[0],
        world.agents[0],
    ];
    stopped_nodes.iter().for_each(|it| world.kill(*it, 0));
    for index in 0..500 {
        let leader = wait_for_leader(&mut world);
        let revision = world.control(leader).unwrap().in_force();
        world.change(
            leader,
            revision,
            &format!("change-{index}"),
            put_team(&format!("team-{}", index % 20)),
        );
        world.run(25);
    }
    stopped_nodes.iter().for_each(|it| world.start(*it));
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
        let mut world = start_world(seed, 3, 2, 2);
        world.send_quick(world.entries[0], "stamp", Some("key"), 2_000);
        let pause_ms = seed - 19;
        world.run(pause_ms);
        world.kill(world.entries[0], 0);
        world.run(300);
        world.send_quick(world.entries[1], "stamp", Some("key"), 9_000);
        world.run(12_000);
        let answer = world.history.quick_requests.values().last().unwrap().answer.clone();
        assert!(
            matches!(answer, Some((_, CallerAnswer::Quick { .. }))),
            "the resend gets the outcome: {answer:?}"
        );
        check(&mut world);
    }
}

#[test]
fn agent_dies_while_a_stamp_is_made() {
    for seed in 40..50 {
        let mut world = start_world(seed, 3, 2, 1);
        world.send_quick(world.entries[0], "stamp", Some("key"), 3_000);
        let pause_ms = 8 + (seed - 40);
        world.run(pause_ms);
        world.kill_vm(world.agents[0]);
        world.run(10_000);
        world.send_quick(world.entries[1], "stamp", Some("key"), 3_000);
        world.run(5_000);
        let answers: Vec<_> =
            world.history.quick_requests.values().map(|it| it.answer.clone()).collect();
        let ran = world.history.runs.contains_key("stamp");
        for answer in answers {
            let Some((_, CallerAnswer::Refused(refusal))) = answer else { continue };
            assert!(
                !ran || answer_for_error(refusal.kind).execution != ExecutionStatus::NotExecuted
                    || refusal.kind == ErrorKind::NoEndpoint,
                "{refusal:?}"
            );
        }
        check(&mut world);
    }
}

#[test]
fn load_shifts_in_waves() {
    let mut world = start_world(15, 3, 2, 2);
    let mut request_count = 0;
    for wave in 0..6 {
        let requests = if wave % 2 == 0 { 400 } else { 10 };
        for _ in 0..requests {
            request_count += 1;
            world.send_quick(
                world.entries[request_count % 2],
                &format!("body-{request_count}"),
                None,
                60,
            );
        }
        world.run(500);
    }
    world.run(2_000);
    let refused = world.history.quick_requests.values().filter_map(|it| match &it.answer {
        Some((_, CallerAnswer::Refused(it))) => Some(it),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty(), "8 slots cannot answer a wave of 400 requests within 60 ms");
    for it in &refused {
        assert!(
            answer_for_error(it.kind).execution == ExecutionStatus::Unknown
                || 0 < it.retry_after_ms,
            "a refusal without retry_after_ms: {it:?}"
        );
    }
    assert!(
        world.history.quick_requests.values().all(|it| it.answer.is_some()),
        "every request is answered"
    );
    check(&mut world);
}

#[test]
fn lost_answers_of_a_watch_are_read_again() {
    let mut world = start_world(16, 3, 2, 2);
    world.send_other(
        world.entries[0],
        CallerRequest::CreateWatch { key: "w".into(), subject: "lot".into() },
    );
    world.run(500);
    for index in 0..5 {
        let entry = world.entries[index % 2];
        let key = format_compact!("e-{index}");
        let event =
            CallerRequest::Publish { key, subject: "lot".into(), body: format_compact!("{index}") };
        world.send_other(entry, event.clone());
        world.run(200);
        // A resent event must appear once in the watch.
        world.send_other(entry, event);
        if index == 2 {
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
    assert_eq!(bodies(3), ["3", "4"], "re-reading from a cursor must not lose or repeat events");
    assert_eq!(bodies(u64::MAX), [""; 0], "no event has that cursor");
}

#[test]
fn key_is_reused_for_another_request() {
    let mut world = start_world(17, 3, 2, 2);
    world.send_quick(world.entries[0], "first", Some("key"), 2_000);
    world.run(500);
    world.send_quick(world.entries[1], "second", Some("key"), 2_000);
    world.run(500);
    let (_, answer) = world.history.quick_requests.values().last().unwrap().answer.clone().unwrap();
    assert!(
        matches!(&answer, CallerAnswer::Refused(it) if it.kind == ErrorKind::KeyReused),
        "{answer:?}"
    );
    assert!(!world.history.runs.contains_key("second"));
    check(&mut world);
}

#[test]
fn disk_is_full() {
    let mut world = start_world(18, 3, 1, 2);
    let leader = wait_for_leader(&mut world);
    world.input_control(leader, Input::DiskFull(true));
    let base = world.control(leader).unwrap().in_force();
    let refused = change(&mut world, leader, base, "full");
    world.submit(world.entries[0], "job", job(1, 100, 500));
    world.run(2_000);
    let outcome =
        |world: &World, index: usize| world.history.changes[index].outcome.clone().unwrap();
    assert_eq!(outcome(&world, refused).unwrap_err().kind, ErrorKind::DiskFull);
    assert!(world.history.jobs.is_empty(), "the job is refused, not accepted and lost");
    world.input_control(leader, Input::DiskFull(false));
    let accepted = change(&mut world, leader, base, "full");
    assert!(outcome(&world, accepted).is_ok());
    check(&mut world);
}

#[test]
fn drained_vm_is_emptied() {
    let mut world = start_world(19, 3, 1, 3);
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
    let task_count = |world: &World| names.iter().map(|it| tasks_on(world, it)).sum::<usize>();
    assert_eq!(task_count(&world), 10);
    let busiest = *names.iter().max_by_key(|it| tasks_on(&world, it)).unwrap();
    let drain = DrainRequest { vm_name: busiest.into(), draining: true };
    world.request_operation(leader, Operation::Drain(drain));
    world.run(25_000);
    assert_eq!(tasks_on(&world, busiest), 0);
    assert_eq!(task_count(&world), 10, "all tasks run on other VMs");
    assert!(check_all(&world.history, None).is_empty());
}
