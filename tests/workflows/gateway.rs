//! Answers of a gateway to its clients.

use aspenrail::{
    gateway::{GatewayAnswer, RejectionCause},
    prelude::*,
};

use crate::{
    worker::TaskBehavior,
    world::{World, queues, spec, step, target},
};

const QUICK: TaskBehavior = TaskBehavior { work_ms: 100, fails_every: 0, crash: None };

#[test]
fn before_a_configuration_nothing_is_taken() {
    let mut world = World::new(1, 3, 1);
    world.run_for(3_000);
    let token = world.submit(7, spec(vec![step(1, 1, &[])]), QUICK);
    world.run_for(500);
    let expected = GatewayAnswer::Rejected { cause: RejectionCause::NoConfig, retry_after_ms: 300 };
    assert_eq!(world.answers.get(&token), Some(&expected));
}

#[test]
fn without_a_leader_a_request_is_refused_soon_and_in_truth() {
    let mut world = World::new(2, 3, 1);
    world.install_queue();
    (0..3).for_each(|at| world.kill_member(at, 5_000, false));
    // Long enough for the gateway's probe to find that the leader does not answer.
    world.run_for(1_500);
    let token = world.submit(7, spec(vec![step(1, 1, &[])]), QUICK);
    world.run_for(950);
    let answer = world.answers.get(&token);
    assert!(
        matches!(answer, Some(GatewayAnswer::Rejected { cause: RejectionCause::NoLeader, .. })),
        "{answer:?}"
    );
    world.run_for(10_000);
    assert_eq!(world.phase(7), None, "accepted although the client got a rejection");
    assert!(!world.rules.has_started_workflow(7));
    assert_eq!(world.rules.starts, 0);
}

#[test]
fn a_request_sent_to_a_leader_that_died_is_unknown_or_taken() {
    let mut world = World::new(3, 3, 1);
    world.install_queue();
    let token = world.submit(7, spec(vec![step(1, 1, &[])]), QUICK);
    (0..3).for_each(|at| world.kill_member(at, 5_000, false));
    world.run_for(2_000);
    assert_eq!(world.answers.get(&token), Some(&GatewayAnswer::Unknown));
}

#[test]
fn a_resent_submission_stays_one() {
    let mut world = World::new(4, 3, 2);
    world.install_queue();
    for _ in 0..3 {
        let token = world.submit(7, spec(vec![step(3, 1, &[])]), QUICK);
        world.run_for(400);
        let expected = GatewayAnswer::Outcome(WorkflowOutcome::Accepted);
        assert_eq!(world.answers.get(&token), Some(&expected));
    }
    assert_eq!(world.rules.starts, 3);
}

#[test]
fn the_highest_version_wins_and_older_ones_change_nothing() {
    let mut world = World::new(5, 3, 1);
    world.install_queue();
    for version in [5, 3, 5] {
        let token = world.request(WorkflowRequest::Install(queues(version)));
        world.run_for(300);
        let expected = GatewayAnswer::Outcome(WorkflowOutcome::Accepted);
        assert_eq!(world.answers.get(&token), Some(&expected));
    }
    let token = world.request(WorkflowRequest::ReadConfig);
    world.run_for(300);
    assert_eq!(
        world.answers.get(&token),
        Some(&GatewayAnswer::Outcome(WorkflowOutcome::Config(queues(5))))
    );
}

#[yare::parameterized(
    unknown_service = { |it: &mut QueueConfig| it.queues[0].service = "other".into(), "unknown service 'other'" },
    no_timeout = { |it: &mut QueueConfig| it.queues[0].timeout_ms = 0, "timeout of 0 ms" },
    same_place = { |it: &mut QueueConfig| it.queues.push(it.queues[0].clone()), "the place of two queues" },
)]
fn an_invalid_configuration_is_refused_by_name(change: fn(&mut QueueConfig), expected: &str) {
    let mut world = World::new(6, 3, 1);
    world.install_queue();
    let mut config = queues(9);
    change(&mut config);
    let token = world.request(WorkflowRequest::Install(config));
    world.run_for(300);
    match world.answers.get(&token) {
        Some(GatewayAnswer::Outcome(WorkflowOutcome::Invalid(why))) => {
            assert!(why.contains(expected), "{why}")
        }
        other => panic!("unexpected answer: {other:?}"),
    }
    let token = world.request(WorkflowRequest::ReadConfig);
    world.run_for(300);
    let unchanged = GatewayAnswer::Outcome(WorkflowOutcome::Config(queues(1)));
    assert_eq!(world.answers.get(&token), Some(&unchanged));
}

#[yare::parameterized(
    unknown_queue = { "host", "/other/0000000000000001", WorkflowOutcome::NotFound },
    unknown_host = { "elsewhere", "/queue/0000000000000001", WorkflowOutcome::NotFound },
    unknown_workflow = { "host", "/queue/0000000000000001", WorkflowOutcome::Gone },
    queue_itself = { "host", "/queue/", WorkflowOutcome::Pending(0) },
)]
fn places_are_told_apart(host: &str, path: &str, expected: WorkflowOutcome) {
    let mut world = World::new(7, 3, 1);
    world.install_queue();
    let workflow_target = WorkflowTarget { host: host.into(), path: path.into() };
    let token = world.request(WorkflowRequest::Inspect(workflow_target));
    world.run_for(300);
    assert_eq!(world.answers.get(&token), Some(&GatewayAnswer::Outcome(expected)));
}

#[test]
fn a_cancelled_workflow_stops_and_stays_cancelled() {
    let mut world = World::new(8, 3, 1);
    world.install_queue();
    world.submit(
        7,
        spec(vec![step(2, 1, &[]), step(2, 1, &[0])]),
        TaskBehavior { work_ms: 3_000, fails_every: 0, crash: None },
    );
    world.run_for(1_000);
    world.request(WorkflowRequest::Cancel(target(7)));
    world.run_for(6_000);
    assert_eq!(world.phase(7), Some(WorkflowPhase::Cancelled));
    assert_eq!(world.rules.starts, 2, "a step started after the workflow was cancelled");
}
