//! Cancels of workflows that are not known: after the answer, no copy of the submission is accepted.

use aspenrail::{
    control::state::{State, Workflows},
    gateway::GatewayAnswer,
    prelude::*,
    util::GroupId,
};

use crate::{
    worker::TaskBehavior,
    world::{World, dispatch_options, queues, spec, step, target},
};

const ID: u64 = 7;

/// Time after which a worker in contact has stopped the task of a cancelled workflow: the platform's
/// `cancel_ms` and `stop_ms`.
const GONE_AFTER_MS: u64 = 3_400;

fn submit(id: u64) -> WorkflowCommand {
    WorkflowCommand::SubmitFrom(OriginatedWorkflow {
        zone: "z".into(),
        workflow: SubmitWorkflow {
            id: WorkflowId(id),
            queue: "queue".into(),
            spec: spec(vec![step(1, 1, &[])]),
            accepted_ms: 1,
        },
    })
}

fn record(ids: &[u64], expired_before_ms: u64) -> WorkflowCommand {
    let ids = ids.iter().copied().map(WorkflowId).collect();
    WorkflowCommand::RecordTombstones(RecordedTombstones { ids, expired_before_ms })
}

#[test]
fn a_submission_is_refused_as_long_as_its_cancel_is_remembered() {
    let mut workflows = Workflows::default();
    workflows.apply(&WorkflowCommand::Install(queues(1)), 1);
    assert_eq!(workflows.apply(&record(&[7, 8], 0), 100), WorkflowOutcome::Gone);
    // A later cancel of the same workflow counts.
    workflows.apply(&record(&[8], 0), 200);
    assert_eq!(workflows.apply(&submit(7), 300), WorkflowOutcome::Gone);
    assert_eq!(workflows.apply(&submit(9), 300), WorkflowOutcome::Accepted);
    workflows.apply(&record(&[], 101), 400);
    assert_eq!(workflows.tombstones().len(), 1);
    assert_eq!(workflows.apply(&submit(8), 500), WorkflowOutcome::Gone);
    workflows.apply(&record(&[], 201), 600);
    assert!(workflows.tombstones().is_empty());
    assert!(workflows.get(WorkflowId(7)).is_none() && workflows.get(WorkflowId(8)).is_none());
}

/// A submission that is committed before the cancel of what was unknown is ended by it, and a copy is
/// refused.
#[test]
fn a_cancel_ends_a_submission_that_was_committed_first() {
    let mut workflows = Workflows::default();
    workflows.apply(&WorkflowCommand::Install(queues(1)), 1);
    workflows.apply(&submit(7), 2);
    workflows.apply(&record(&[7], 0), 3);
    assert_eq!(workflows.get(WorkflowId(7)).unwrap().phase(), WorkflowPhase::Cancelled);
    assert_eq!(workflows.apply(&submit(7), 4), WorkflowOutcome::Gone);
    assert!(workflows.tombstones().is_empty());
}

#[test]
fn tombstones_are_in_the_snapshot_and_an_older_snapshot_has_none() {
    let mut state = State::new(GroupId { region: 1, group: 1 });
    state.apply_workflow(1, 1, &WorkflowCommand::Install(queues(1)));
    let older = state.to_bytes().unwrap();
    let older = State::from_bytes(&older[..older.len() - 1]).unwrap();
    assert!(older.workflows.tombstones().is_empty());
    state.apply_workflow(2, 9, &record(&[7, 8], 0));
    let mut read = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
    assert_eq!(read.workflows.tombstones(), state.workflows.tombstones());
    assert_eq!(read.apply_workflow(3, 10, &submit(7)), WorkflowOutcome::Gone);
}

/// In a log of an earlier version, a workflow was accepted after the cancel of what was unknown. It
/// stays accepted when the log is read.
#[test]
fn a_log_of_an_earlier_version_keeps_what_it_accepted() {
    let mut workflows = Workflows::default();
    workflows.apply(&WorkflowCommand::Install(queues(1)), 1);
    let cancelled = workflows.apply(&WorkflowCommand::Cancel(WorkflowId(7)), 2);
    assert_eq!(cancelled, WorkflowOutcome::Gone);
    assert_eq!(workflows.apply(&submit(7), 3), WorkflowOutcome::Accepted);
    assert!(workflows.get(WorkflowId(7)).unwrap().is_active());
}

fn long_running() -> WorkflowSpec {
    spec(vec![WorkflowStep { lasting: true, ..step(1, 1, &[]) }])
}

fn submission() -> WorkflowRequest {
    WorkflowRequest::Submit(WorkflowSubmission { target: target(ID), spec: long_running() })
}

fn new_world(seed: u64, nodes: usize) -> World {
    let mut world = World::new(seed, 3, nodes);
    world.install_queue();
    world.rules.submitted.insert(ID, long_running());
    let behavior = TaskBehavior { work_ms: 600_000, fails_every: 0, crash: None };
    world.nature.insert(ID, behavior);
    world
}

/// Sends a request until its outcome is known.
fn outcome_of(world: &mut World, request: &WorkflowRequest) -> WorkflowOutcome {
    for _ in 0..40 {
        let token = world.request(request.clone());
        world.run_for(1_500);
        if let Some(GatewayAnswer::Outcome(it)) = world.answers.remove(&token) {
            return it;
        }
    }
    panic!("no outcome of {request:?} after 40 requests");
}

/// Copies of a submission reach the control group before and after its cancel, whose outcome is known
/// to the client, while leaders are killed at any moment: proposed entries may be lost or committed
/// by the next leader.
fn check_cancel_beside_elections(seed: u64) {
    let mut world = new_world(seed, 2);
    let mut random = fastrand::Rng::with_seed(seed);
    let leader = world.leader();
    for _ in 0..random.u32(0..3) {
        world.request(submission());
        world.run_for(random.u64(0..25));
    }
    if random.bool() {
        world.request(WorkflowRequest::Cancel(target(ID)));
        world.run_for(random.u64(0..25));
    }
    world.kill_member(leader, random.u64(200..4_000), random.u32(0..4) == 0);
    if random.bool() {
        world.request(submission());
    }
    let cancelled = outcome_of(&mut world, &WorkflowRequest::Cancel(target(ID)));
    assert!(
        matches!(cancelled, WorkflowOutcome::Gone | WorkflowOutcome::Accepted),
        "{cancelled:?}"
    );
    for _ in 0..2 {
        world.request(submission());
        world.run_for(random.u64(0..40));
        let (next_leader, is_killed) = (world.leader_if_any(), random.bool());
        if let Some(it) = next_leader.filter(|_| is_killed) {
            world.kill_member(it, random.u64(200..4_000), false);
        }
        let late = outcome_of(&mut world, &submission());
        assert_eq!(late, WorkflowOutcome::Gone, "seed {seed}");
    }
    world.run_for(GONE_AFTER_MS);
    let phase = world.phase(ID);
    assert!(matches!(phase, None | Some(WorkflowPhase::Cancelled)), "seed {seed}: {phase:?}");
    assert!(!world.rules.is_running(ID), "seed {seed}");
}

#[test]
fn no_copy_is_accepted_after_a_cancel_beside_elections() {
    (0..20).for_each(check_cancel_beside_elections);
}

/// Run by hand; `ASPENRAIL_SEEDS` sets the number of seeds.
#[test]
#[ignore = "many seeds"]
fn many_seeds_of_cancels_beside_elections() {
    let count = std::env::var("ASPENRAIL_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(50);
    (1_000..1_000 + count).for_each(check_cancel_beside_elections);
}

/// A cancel is remembered for its whole lifetime, also by a new leader, which counts it anew, and when
/// clocks are set ahead. Then it is forgotten.
#[test]
fn a_cancel_is_remembered_for_its_lifetime() {
    let lifetime_ms = dispatch_options().tombstones.lifetime_ms;
    let mut world = new_world(11, 1);
    assert_eq!(outcome_of(&mut world, &WorkflowRequest::Cancel(target(ID))), WorkflowOutcome::Gone);
    world.wall_ahead_ms += 3_600_000;
    world.run_for(lifetime_ms / 2);
    let leader = world.leader();
    world.kill_member(leader, 1_000, false);
    world.run_for(lifetime_ms / 2);
    assert_eq!(outcome_of(&mut world, &submission()), WorkflowOutcome::Gone);
    world.run_for(lifetime_ms);
    assert_eq!(outcome_of(&mut world, &submission()), WorkflowOutcome::Accepted);
}
