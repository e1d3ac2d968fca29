//! Failures on workers that were marked as lost, in the replicated state.

use std::net::{Ipv4Addr, SocketAddr};

use aspenrail::{
    control::state::{State, Workflows},
    prelude::*,
};

use crate::world::{queues, spec, step};

fn node(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_200 + number))
}

fn enrol(node: SocketAddr, name: &str) -> WorkflowCommand {
    WorkflowCommand::Enrol(EnrolWorker {
        name: name.into(),
        node,
        service: "pool".into(),
        zone: "z".into(),
        kind: "a".into(),
        rack: "r".into(),
        capacity: crate::worker::CAPACITY,
    })
}

fn first_run_of(index: u32) -> RunRef {
    let task = TaskRef { workflow: WorkflowId(7), occurrence: 0, step: 0, index };
    RunRef { run: 1, task }
}

/// Returns commands after which two workers with the same name, at the nodes 1 and 2, are marked
/// as lost, each with the unsettled failure of one task.
fn two_lost_workers() -> Vec<WorkflowCommand> {
    let submission = SubmitWorkflow {
        id: WorkflowId(7),
        queue: "queue".into(),
        spec: spec(vec![step(2, 1, &[])]),
        accepted_ms: 1,
    };
    let begin = |worker, index| RunPlacement { run: first_run_of(index), worker };
    let fail = |worker, index| {
        let (run, checkpoint) = (first_run_of(index), CompactString::default());
        let end = RunEnd { run, outcome: RunOutcome::Failed, checkpoint };
        WorkflowCommand::Finish(FinishRuns { worker, cursor: 5, ends: vec![end] })
    };
    vec![
        WorkflowCommand::Install(queues(1)),
        WorkflowCommand::Submit(submission),
        enrol(node(1), "w"),
        enrol(node(2), "w"),
        WorkflowCommand::Begin(vec![begin(WorkerId(1), 0), begin(WorkerId(2), 1)]),
        fail(WorkerId(1), 0),
        fail(WorkerId(2), 1),
        WorkflowCommand::Dismiss(WorkerId(1)),
        WorkflowCommand::Dismiss(WorkerId(2)),
    ]
}

#[test]
fn lost_workers_with_the_same_name_keep_their_failures_apart() {
    let mut workflows = Workflows::default();
    for it in two_lost_workers() {
        assert_eq!(workflows.apply(&it, 3), WorkflowOutcome::Accepted);
    }
    assert_eq!(workflows.lost_failures_before(4), [first_run_of(0), first_run_of(1)]);
    // Another worker with that name is none of the lost ones.
    workflows.apply(&enrol(node(3), "w"), 5);
    assert_eq!(workflows.unsettled_failed_runs_on(WorkerId(3)), []);
    workflows.apply(&enrol(node(2), "w"), 6);
    assert_eq!(workflows.unsettled_failed_runs_on(WorkerId(4)), [first_run_of(1)]);
    assert_eq!(workflows.lost_failures_before(7), [first_run_of(0)]);
}

/// The snapshot, in hexadecimal digits, that an earlier version wrote with one lost worker.
const EARLIER_SNAPSHOT: &str = "\
    01010103000000000000000000000000000000000000000000010a646f63756d656e742031010304\
    686f737405717565756500072f71756575652f0004706f6f6c96fafbb80b0104706f6f6c01010705\
    7175657565000004776f726b00010000020000fbf4010000000000fbe803fbe80300000000000101\
    0102000001010101000000010101020000010000010701020177007f000001fbb20404706f6f6c01\
    7a0161017200fb803efb007d00000000000502000000000201000000070301010000070300010201\
    020001010100000705010177007f000001fbb104030101000101000000070500000000\
    ";

#[test]
fn lost_failures_are_read_from_snapshots_of_earlier_versions() {
    let pairs = EARLIER_SNAPSHOT.as_bytes().chunks(2).map(|it| std::str::from_utf8(it).unwrap());
    let earlier: Vec<_> = pairs.map(|it| u8::from_str_radix(it, 16).unwrap()).collect();
    let read = State::from_bytes(&earlier).unwrap();
    let bytes = read.to_bytes().unwrap();
    assert!(bytes.starts_with(&earlier), "the encoding has changed: {bytes:02x?}");
    let mut read = read.workflows;
    assert_eq!(read.lost_failures_before(4), [first_run_of(0)]);
    read.apply(&enrol(node(1), "w"), 5);
    assert_eq!(read.unsettled_failed_runs_on(WorkerId(3)), [first_run_of(0)]);
}
