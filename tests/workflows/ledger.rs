//! The replicated workflow state alone, and compared with full scans.

use std::collections::BTreeMap;

use aspenrail::{
    control::state::{Demand, State, ValidationError, Workflows, check_spec},
    prelude::*,
    util::GroupId,
};

use crate::world::{queues, spec, step};

const NODE: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1_200);

fn enrol(name: &str) -> WorkflowCommand {
    WorkflowCommand::Enrol(EnrolWorker {
        name: name.into(),
        node: NODE,
        service: "pool".into(),
        zone: "z".into(),
        kind: "a".into(),
        rack: "r".into(),
        capacity: crate::worker::CAPACITY,
    })
}

fn submit(id: u64, spec: WorkflowSpec) -> WorkflowCommand {
    WorkflowCommand::Submit(SubmitWorkflow {
        id: WorkflowId(id),
        queue: "queue".into(),
        spec,
        accepted_ms: 1,
    })
}

fn run(id: u64, step: u32, index: u32, run: u32) -> RunRef {
    RunRef { run, task: TaskRef { workflow: WorkflowId(id), occurrence: 0, step, index } }
}

fn begin(worker: u64, runs: &[RunRef]) -> WorkflowCommand {
    let placed = runs.iter().map(|it| RunPlacement { run: *it, worker: WorkerId(worker) });
    WorkflowCommand::Begin(placed.collect())
}

fn finish(worker: u64, cursor: u64, run: RunRef, outcome: RunOutcome) -> WorkflowCommand {
    let end = RunEnd { run, outcome, checkpoint: CompactString::default() };
    WorkflowCommand::Finish(FinishRuns { worker: WorkerId(worker), cursor, ends: vec![end] })
}

fn settle(counted: &[RunRef], lapsed: &[RunRef]) -> WorkflowCommand {
    let (counted, lapsed) = (counted.to_vec(), lapsed.to_vec());
    WorkflowCommand::Settle(SettleFailures { counted, lapsed })
}

fn with_workflow(spec: WorkflowSpec) -> Workflows {
    let mut res = Workflows::default();
    for it in [WorkflowCommand::Install(queues(1)), enrol("w-1"), submit(7, spec)] {
        assert_eq!(res.apply(&it, 1), WorkflowOutcome::Accepted);
    }
    res
}

fn phase(workflows: &Workflows) -> WorkflowPhase {
    workflows.get(WorkflowId(7)).unwrap().phase()
}

#[test]
fn a_run_number_is_used_once() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let first = run(7, 0, 0, 1);
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 1, first, RunOutcome::Lapsed), 3);
    workflows.apply(&begin(1, &[first]), 4);
    assert!(!workflows.get(WorkflowId(7)).unwrap().has_live_runs());
    workflows.apply(&begin(1, &[run(7, 0, 0, 2)]), 5);
    assert!(workflows.get(WorkflowId(7)).unwrap().has_live_runs());
}

#[test]
fn a_task_has_one_run_at_a_time_and_two_where_copies_are_allowed() {
    let mut duplicated = step(1, 1, &[]);
    duplicated.duplicates = true;
    for (step, expected) in [(step(1, 1, &[]), 1), (duplicated, 2)] {
        let mut workflows = with_workflow(spec(vec![step]));
        (1..=3).for_each(|it| drop(workflows.apply(&begin(1, &[run(7, 0, 0, it)]), 2)));
        let task = run(7, 0, 0, 1).task;
        let runs = workflows.get(WorkflowId(7)).unwrap().task(task).unwrap().runs.len();
        assert_eq!(runs, expected);
    }
}

#[test]
fn one_end_stands_for_a_gang_and_its_failures_add_up() {
    let mut gang = step(3, 1, &[]);
    gang.gang = true;
    let mut workflows = with_workflow(spec(vec![gang]));
    let members: Vec<_> = (0..3).map(|it| run(7, 0, it, 1)).collect();
    workflows.apply(&begin(1, &members), 2);
    workflows.apply(&finish(1, 1, members[0], RunOutcome::Done), 3);
    assert_eq!(phase(&workflows), WorkflowPhase::Completed);
}

/// Members of a gang fail together, each with its own error: this is one attempt of the gang.
#[test]
fn a_start_of_a_gang_fails_once() {
    let mut gang = step(3, 1, &[]);
    gang.gang = true;
    let mut workflows = with_workflow(spec(vec![gang]));
    for start in 1..=3 {
        assert_eq!(
            phase(&workflows),
            if start == 1 { WorkflowPhase::Queued } else { WorkflowPhase::Running }
        );
        let members: Vec<_> = (0..3).map(|it| run(7, 0, it, start)).collect();
        workflows.apply(&begin(1, &members), 2);
        members
            .iter()
            .for_each(|it| drop(workflows.apply(&finish(1, 1, *it, RunOutcome::Failed), 3)));
        workflows.apply(&settle(&members, &[]), 4);
    }
    assert_eq!(phase(&workflows), WorkflowPhase::Failed);
}

#[test]
fn an_end_that_is_told_again_counts_once() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let first = run(7, 0, 0, 1);
    workflows.apply(&begin(1, &[first]), 2);
    for it in 1..=5 {
        workflows.apply(&finish(1, it, first, RunOutcome::Failed), 3);
        workflows.apply(&settle(&[first], &[]), 4);
    }
    assert_eq!(phase(&workflows), WorkflowPhase::Running);
    assert_eq!(workflows.get(WorkflowId(7)).unwrap().task(first.task).unwrap().failures, 1);
}

/// A run that lapsed with its worker is no attempt, even if the worker reports a failure later. Its
/// checkpoint must not replace that of a later run either.
#[test]
fn an_end_that_was_concluded_before_changes_nothing() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let (first, second) = (run(7, 0, 0, 1), run(7, 0, 0, 2));
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 0, first, RunOutcome::Lapsed), 3);
    workflows.apply(&WorkflowCommand::Dismiss(WorkerId(1)), 3);
    workflows.apply(&enrol("w-1"), 4);
    workflows.apply(&begin(2, &[second]), 5);
    let finish_with_checkpoint = |run, outcome, checkpoint: &str| {
        let end = RunEnd { run, outcome, checkpoint: checkpoint.into() };
        WorkflowCommand::Finish(FinishRuns { worker: WorkerId(2), cursor: 1, ends: vec![end] })
    };
    workflows.apply(&finish_with_checkpoint(second, RunOutcome::Stopped, "newer"), 6);
    workflows.apply(&finish_with_checkpoint(first, RunOutcome::Failed, "older"), 7);
    let task = workflows.get(WorkflowId(7)).unwrap().task(first.task).unwrap();
    assert_eq!((task.failures, task.checkpoint.as_str()), (0, "newer"));
}

/// What happens to a worker whose failure was noted.
enum WorkerFate {
    ReceivesAck,
    LeaseLapses,
    /// The worker is dismissed, and another incarnation registers at its node.
    IsReplaced,
    /// The worker is dismissed and registers again.
    Returns,
}

/// A failure counts once its worker received the acknowledgement, and never if the lease lapsed
/// before. Where this cannot be known, it counts, since a task must not get too many attempts. The
/// task, whose other attempts have failed, does not begin again meanwhile.
#[yare::parameterized(
    hears = { WorkerFate::ReceivesAck, 3 },
    lapses = { WorkerFate::LeaseLapses, 2 },
    is_replaced = { WorkerFate::IsReplaced, 3 },
    returns_and_has_lapsed = { WorkerFate::Returns, 2 },
)]
fn a_failure_counts_once_its_worker_knows(worker_fate: WorkerFate, failures: u32) {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    for number in 1..3 {
        let counted = run(7, 0, 0, number);
        workflows.apply(&begin(1, &[counted]), 1);
        workflows.apply(&finish(1, u64::from(number), counted, RunOutcome::Failed), 1);
        workflows.apply(&settle(&[counted], &[]), 1);
    }
    let first = run(7, 0, 0, 3);
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 5, first, RunOutcome::Failed), 3);
    assert!(
        workflows.workers().get(WorkerId(1)).unwrap().runs.is_empty(),
        "the failed run still reserves capacity"
    );
    workflows.apply(&begin(1, &[run(7, 0, 0, 4)]), 3);
    assert!(
        workflows.workers().get(WorkerId(1)).unwrap().runs.is_empty(),
        "the task restarted before its failure was settled"
    );
    match worker_fate {
        WorkerFate::ReceivesAck => drop(workflows.apply(&settle(&[first], &[]), 4)),
        WorkerFate::LeaseLapses => drop(workflows.apply(&settle(&[], &[first]), 4)),
        WorkerFate::IsReplaced | WorkerFate::Returns => {
            workflows.apply(&WorkflowCommand::Dismiss(WorkerId(1)), 4);
            assert_eq!(
                workflows.ready_steps().count(),
                0,
                "the task is ready before its failure was settled"
            );
            let name = if matches!(worker_fate, WorkerFate::Returns) { "w-1" } else { "w-2" };
            workflows.apply(&enrol(name), 5);
        }
    }
    if let WorkerFate::Returns = worker_fate {
        let noted = NotedEnds { noted_cursor: 5, lapsed_after_cursor: 4, lapsed_cursor: 5 };
        let settled = workflows.failures_to_settle(WorkerId(2), noted).unwrap();
        workflows.apply(&WorkflowCommand::Settle(settled), 6);
    }
    let task = workflows.get(WorkflowId(7)).unwrap().task(first.task).unwrap();
    assert_eq!((task.failures, task.runs.len()), (failures, 0));
    let (ready, expected_phase) = match failures {
        3 => (0, WorkflowPhase::Failed),
        _ => (1, WorkflowPhase::Running),
    };
    assert_eq!((workflows.ready_steps().count(), phase(&workflows)), (ready, expected_phase));
}

/// All tasks whose run failed on a worker that was cut off waited for it to return, also those with
/// attempts left whether or not the failure counts.
#[yare::parameterized(
    first_counts = { [true, true], WorkflowPhase::Failed },
    first_lapses = { [false, true], WorkflowPhase::Running },
    both_lapse = { [false, false], WorkflowPhase::Running },
)]
fn only_the_last_attempt_waits_for_its_verdict(verdicts: [bool; 2], last_phase: WorkflowPhase) {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let runs = [1, 2, 3].map(|it| run(7, 0, 0, it));
    for (cursor, it) in runs.iter().enumerate() {
        workflows.apply(&begin(1, &[*it]), 1);
        assert!(workflows.has_run(WorkerId(1), *it), "{it:?} waits for an earlier verdict");
        workflows.apply(&finish(1, cursor as u64 + 1, *it, RunOutcome::Failed), 1);
    }
    assert_eq!(workflows.ready_steps().count(), 0, "a fourth run may exceed the attempts");
    workflows.apply(&settle(&[runs[2]], &[]), 2);
    assert_eq!(workflows.ready_steps().count(), 0, "a fourth run may exceed the attempts");
    for (it, is_counted) in runs.iter().zip(verdicts) {
        assert_eq!(phase(&workflows), WorkflowPhase::Running);
        match is_counted {
            true => workflows.apply(&settle(&[*it], &[]), 3),
            false => workflows.apply(&settle(&[], &[*it]), 3),
        };
    }
    assert_eq!(phase(&workflows), last_phase);
    let is_ready = last_phase == WorkflowPhase::Running;
    assert_eq!(workflows.ready_steps().count() == 1, is_ready);
}

/// A checkpoint of a failed run must not replace that of a later run when the failure is settled.
#[test]
fn a_failure_that_is_settled_late_keeps_the_newer_checkpoint() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let (first, second) = (run(7, 0, 0, 1), run(7, 0, 0, 2));
    let finish_with_checkpoint = |cursor, run, outcome, checkpoint: &str| {
        let end = RunEnd { run, outcome, checkpoint: checkpoint.into() };
        WorkflowCommand::Finish(FinishRuns { worker: WorkerId(1), cursor, ends: vec![end] })
    };
    workflows.apply(&begin(1, &[first]), 1);
    workflows.apply(&finish_with_checkpoint(1, first, RunOutcome::Failed, "older"), 2);
    workflows.apply(&begin(1, &[second]), 3);
    workflows.apply(&finish_with_checkpoint(2, second, RunOutcome::Stopped, "newer"), 4);
    workflows.apply(&settle(&[first], &[]), 5);
    let task = workflows.get(WorkflowId(7)).unwrap().task(first.task).unwrap();
    assert_eq!((task.failures, task.checkpoint.as_str()), (1, "newer"));
}

/// A gang whose start failed under a lease that is in doubt starts again with all members.
#[test]
fn a_gang_with_attempts_left_does_not_wait_for_its_verdict() {
    let mut gang = step(2, 1, &[]);
    gang.gang = true;
    let mut workflows = with_workflow(spec(vec![gang]));
    for number in 1..=3 {
        let members = [run(7, 0, 0, number), run(7, 0, 1, number)];
        workflows.apply(&begin(1, &members), 1);
        assert!(members.iter().all(|it| workflows.has_run(WorkerId(1), *it)), "start {number}");
        workflows.apply(&finish(1, u64::from(number) * 2 - 1, members[0], RunOutcome::Failed), 2);
        workflows.apply(&finish(1, u64::from(number) * 2, members[1], RunOutcome::Failed), 2);
    }
    let fourth = run(7, 0, 0, 4);
    workflows.apply(&begin(1, &[fourth]), 3);
    assert!(!workflows.has_run(WorkerId(1), fourth), "a fourth start may exceed the attempts");
}

/// The final report on an incarnation settles its failures: those that it never noted have lapsed.
#[yare::parameterized(
    noted = { 5, true },
    not_noted = { 4, false },
)]
fn a_final_report_settles_the_failures_of_an_incarnation(noted_cursor: u64, is_counted: bool) {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let first = run(7, 0, 0, 1);
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 5, first, RunOutcome::Failed), 3);
    let noted = NotedEnds { noted_cursor, lapsed_after_cursor: 0, lapsed_cursor: 0 };
    let node = workflows.workers().get(WorkerId(1)).unwrap().node;
    let name = workflows.workers().get(WorkerId(1)).unwrap().name.clone();
    for _ in 0..2 {
        let settled = workflows.failures_to_settle_at_end(node, &name, noted);
        assert_eq!(
            (settled.counted == [first], settled.lapsed == [first]),
            (is_counted, !is_counted)
        );
        workflows.apply(&WorkflowCommand::Dismiss(WorkerId(1)), 4);
    }
    let settled = workflows.failures_to_settle_at_end(node, "other", noted);
    assert!(settled.counted.is_empty() && settled.lapsed.is_empty());
}

#[test]
fn failures_of_workers_that_do_not_come_back_are_found() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let first = run(7, 0, 0, 1);
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 5, first, RunOutcome::Failed), 3);
    assert_eq!(workflows.unsettled_failed_runs_on(WorkerId(1)), [first]);
    workflows.apply(&WorkflowCommand::Dismiss(WorkerId(1)), 10);
    assert_eq!(workflows.lost_failures_before(10), []);
    assert_eq!(workflows.lost_failures_before(11), [first]);
}

#[yare::parameterized(
    not_yet = { NotedEnds { noted_cursor: 4, lapsed_after_cursor: 0, lapsed_cursor: 0 }, None },
    noted = { NotedEnds { noted_cursor: 5, lapsed_after_cursor: 0, lapsed_cursor: 0 }, Some(true) },
    lapsed = { NotedEnds { noted_cursor: 5, lapsed_after_cursor: 4, lapsed_cursor: 9 }, Some(false) },
    lapsed_later = { NotedEnds { noted_cursor: 5, lapsed_after_cursor: 5, lapsed_cursor: 9 }, Some(true) },
    lapsed_before = { NotedEnds { noted_cursor: 5, lapsed_after_cursor: 1, lapsed_cursor: 4 }, Some(true) },
)]
fn what_a_worker_knows_settles_its_failures(noted: NotedEnds, counts: Option<bool>) {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let first = run(7, 0, 0, 1);
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 5, first, RunOutcome::Failed), 3);
    let settled = workflows.failures_to_settle(WorkerId(1), noted);
    assert_eq!(settled.map(|it| it.counted == [first]), counts);
}

/// A task is done even if the run that completed it had been given up. It must not be done twice.
#[test]
fn a_task_that_was_done_by_a_run_given_up_is_done() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    let (first, second) = (run(7, 0, 0, 1), run(7, 0, 0, 2));
    workflows.apply(&begin(1, &[first]), 2);
    workflows.apply(&finish(1, 0, first, RunOutcome::Lapsed), 3);
    workflows.apply(&begin(1, &[second]), 4);
    workflows.apply(&finish(1, 1, first, RunOutcome::Done), 5);
    assert_eq!(phase(&workflows), WorkflowPhase::Completed);
    assert!(workflows.is_redundant(second));
}

#[test]
fn a_lasting_task_has_no_last_attempt() {
    let mut long_running = step(1, 1, &[]);
    long_running.lasting = true;
    let mut workflows = with_workflow(spec(vec![long_running]));
    for it in 1..=10 {
        workflows.apply(&begin(1, &[run(7, 0, 0, it)]), 2);
        workflows.apply(&finish(1, it.into(), run(7, 0, 0, it), RunOutcome::Failed), 3);
    }
    assert_eq!(phase(&workflows), WorkflowPhase::Running);
}

#[test]
fn a_new_lifetime_beside_a_node_ends_the_earlier_one() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    workflows.apply(&begin(1, &[run(7, 0, 0, 1)]), 2);
    workflows.apply(&enrol("w-2"), 3);
    assert!(!workflows.get(WorkflowId(7)).unwrap().has_live_runs());
    assert_eq!(workflows.workers().len(), 1);
    assert_eq!(workflows.workers().find(NODE, "w-2"), Some(WorkerId(2)));
}

#[test]
fn a_filler_reserves_memory_only() {
    let mut filler = step(1, 4, &[]);
    filler.filler = true;
    let mut workflows = with_workflow(spec(vec![filler]));
    workflows.apply(&begin(1, &[run(7, 0, 0, 1)]), 2);
    let worker = workflows.workers().get(WorkerId(1)).unwrap();
    assert_eq!((worker.reserved.cpu_millicores, worker.reserved.memory_mib), (0, 1_000));
    assert_eq!(worker.filler_millicores, 4_000);
}

#[test]
fn an_end_of_a_workflow_is_kept_until_it_is_forgotten() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    workflows.apply(&begin(1, &[run(7, 0, 0, 1)]), 2);
    workflows.apply(&finish(1, 1, run(7, 0, 0, 1), RunOutcome::Done), 100);
    workflows.apply(&WorkflowCommand::Forget(100), 200);
    assert_eq!(phase(&workflows), WorkflowPhase::Completed);
    workflows.apply(&WorkflowCommand::Forget(101), 300);
    assert!(workflows.get(WorkflowId(7)).is_none());
}

#[yare::parameterized(
    no_steps = { vec![], "0 steps" },
    no_tasks = { vec![step(0, 1, &[])], "step 0 has no tasks" },
    later_step = { vec![step(1, 1, &[1]), step(1, 1, &[])], "step 0 waits for step 1" },
    itself = { vec![step(1, 1, &[0])], "step 0 waits for step 0" },
    too_many = { vec![step(10_001, 1, &[])], "10001 tasks" },
)]
fn a_workflow_that_cannot_be_is_refused(steps: Vec<WorkflowStep>, expected: &str) {
    let Err(ValidationError(why)) = check_spec(&spec(steps)) else {
        panic!("the specification was accepted")
    };
    assert!(why.contains(expected), "{why}");
}

/// Applies random commands and compares reserved capacity and runs with a recount.
#[test]
fn room_and_runs_match_a_recount() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut workflows = Workflows::default();
    workflows.apply(&WorkflowCommand::Install(queues(1)), 1);
    (0..4).for_each(|it| {
        let mut command = enrol(&format!("w-{it}"));
        if let WorkflowCommand::Enrol(enrol) = &mut command {
            enrol.node.set_port(1_200 + it);
        }
        workflows.apply(&command, 1);
    });
    (1..=8)
        .for_each(|id| drop(workflows.apply(&submit(id, spec(vec![step(4, id as u32, &[])])), 1)));
    for turn in 0..4_000 {
        let (id, index) = (random.u64(1..=8), random.u32(0..4));
        let run_ref = run(id, 0, index, random.u32(1..8));
        let worker = random.u64(1..=4);
        let command = match random.u32(0..5) {
            0 | 1 => begin(worker, &[run_ref]),
            2 => finish(worker, turn, run_ref, RunOutcome::Lapsed),
            3 => WorkflowCommand::Void(VoidRuns { worker: WorkerId(worker), runs: vec![run_ref] }),
            _ if random.u32(0..60) == 0 => WorkflowCommand::Cancel(WorkflowId(id)),
            _ => continue,
        };
        workflows.apply(&command, turn);
        recount(&workflows);
    }
}

fn recount(workflows: &Workflows) {
    let mut cores: BTreeMap<WorkerId, u32> = BTreeMap::new();
    let mut live = 0;
    for id in 1..=8 {
        let Some(workflow) = workflows.get(WorkflowId(id)) else { continue };
        for task in workflow.occurrences.iter().flat_map(|it| &it.steps).flat_map(|it| &it.tasks) {
            for run in &task.runs {
                live += 1;
                *cores.entry(run.worker).or_insert(0) += workflow.spec.steps[0].need.cpu_millicores;
            }
        }
    }
    for (id, worker) in workflows.workers().iter() {
        assert_eq!(worker.reserved.cpu_millicores, cores.get(&id).copied().unwrap_or(0));
    }
    let listed: usize = workflows.workers().iter().map(|(_, it)| it.runs.len()).sum();
    assert_eq!(listed, live);
}

/// Applies random commands to workflows with several steps, gangs, duplicates and occurrences. The
/// indexes must give the same as a full scan, also after a snapshot.
#[test]
fn ready_steps_and_workers_are_found_as_by_a_walk() {
    let mut random = fastrand::Rng::with_seed(23);
    let mut state = State::new(GroupId { region: 1, group: 1 });
    let mut applied = 0;
    let mut apply = |state: &mut State, command: WorkflowCommand| {
        applied += 1;
        state.apply_workflow(applied, applied, &command);
        assert_eq!(
            state.workflows.ready_steps().collect::<Vec<_>>(),
            scan_ready_steps(&state.workflows)
        );
    };
    apply(&mut state, WorkflowCommand::Install(queues(1)));
    for it in 0..4_u16 {
        apply(&mut state, enrol_at_port(it));
    }
    for id in 1..=9 {
        let mut steps =
            vec![step(3, 1, &[]), step(2, 1, &[0]), step(2, 1, &[]), step(1, 1, &[1, 2])];
        (steps[0].gang, steps[2].duplicates) = (id % 3 == 0, id % 2 == 0);
        let mut spec = spec(steps);
        spec.repeat_count = id as u32 % 3;
        apply(&mut state, submit(id, spec));
    }
    for _ in 0..4_000 {
        let (id, index) = (random.u64(1..=9), random.u32(0..3));
        let mut run_ref = run(id, random.u32(0..4), index, random.u32(1..40));
        run_ref.task.occurrence = random.u32(0..2);
        let worker = random.u64(1..=8);
        let outcomes = [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed];
        let command = match random.u32(0..14) {
            12 => settle(&[run_ref], &[]),
            13 => settle(&[], &[run_ref]),
            0..=4 => begin(worker, &[run_ref]),
            5..=8 => finish(worker, 1, run_ref, outcomes[random.usize(0..3)]),
            9 => WorkflowCommand::Void(VoidRuns { worker: WorkerId(worker), runs: vec![run_ref] }),
            10 => enrol_at_port(random.u16(0..4)),
            _ if random.u32(0..40) == 0 => WorkflowCommand::Cancel(WorkflowId(id)),
            _ if random.u32(0..40) == 0 => WorkflowCommand::Dismiss(WorkerId(worker)),
            _ => WorkflowCommand::Forget(random.u64(0..400)),
        };
        apply(&mut state, command);
        for (id, worker) in state.workflows.workers().iter() {
            assert_eq!(state.workflows.workers().find(worker.node, &worker.name), Some(id));
        }
    }
    let restored = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
    assert_eq!(
        restored.workflows.ready_steps().collect::<Vec<_>>(),
        scan_ready_steps(&state.workflows)
    );
    assert!(restored.workflows.queue("queue").is_some());
    let (id, worker) = state.workflows.workers().iter().next().unwrap();
    assert_eq!(restored.workflows.workers().find(worker.node, &worker.name), Some(id));
}

fn enrol_at_port(port: u16) -> WorkflowCommand {
    let mut command = enrol(&format!("w-{port}"));
    if let WorkflowCommand::Enrol(enrol) = &mut command {
        enrol.node.set_port(1_200 + port);
    }
    command
}

/// Returns the steps that are ready to start, by a scan of all active workflows.
fn scan_ready_steps(workflows: &Workflows) -> Vec<StepRef> {
    let mut res = Vec::new();
    for (id, workflow) in workflows.active() {
        for (occurrence, states) in workflow.occurrences.iter().enumerate() {
            for (index, state) in states.steps.iter().enumerate() {
                let after = &workflow.spec.steps[index].after;
                let is_unblocked = after.iter().all(|it| states.steps[*it as usize].is_done());
                let has_unstarted_task =
                    state.tasks.iter().any(|it| !it.is_done && it.runs.is_empty());
                if is_unblocked && has_unstarted_task {
                    let (occurrence, step) = (occurrence as u32, index as u32);
                    res.push(StepRef { workflow: id, occurrence, step });
                }
            }
        }
    }
    res
}

fn evacuate(zone: &str, evacuated: bool, based_on: u64) -> WorkflowCommand {
    let (zone, by) = (zone.into(), "operator".into());
    WorkflowCommand::Evacuate(EvacuateZone { zone, evacuated, by, based_on })
}

#[test]
fn a_late_copy_of_an_earlier_change_of_zones_undoes_nothing() {
    let mut workflows = Workflows::default();
    assert_eq!(workflows.apply(&evacuate("z", true, 0), 5), WorkflowOutcome::Accepted);
    assert_eq!(workflows.apply(&evacuate("z", false, 1), 6), WorkflowOutcome::Accepted);
    assert_eq!(workflows.apply(&evacuate("z", true, 2), 7), WorkflowOutcome::Accepted);
    assert_eq!(workflows.apply(&evacuate("z", false, 1), 8), WorkflowOutcome::Stale);
    let expected = Evacuation { zone: "z".into(), by: "operator".into(), since_ms: 7 };
    assert_eq!(workflows.evacuations(), &Evacuations { revision: 3, zones: vec![expected] });
}

#[test]
fn a_run_is_not_noted_on_a_worker_of_a_zone_out_of_use() {
    let mut workflows = with_workflow(spec(vec![step(1, 1, &[])]));
    workflows.apply(&evacuate("z", true, 0), 1);
    workflows.apply(&begin(1, &[run(7, 0, 0, 1)]), 1);
    assert!(workflows.workers().get(WorkerId(1)).unwrap().runs.is_empty());
    workflows.apply(&evacuate("z", false, 1), 1);
    workflows.apply(&begin(1, &[run(7, 0, 0, 1)]), 1);
    assert_eq!(workflows.workers().get(WorkerId(1)).unwrap().runs.len(), 1);
}

#[test]
fn zones_out_of_use_are_in_the_snapshot_and_an_older_snapshot_has_none() {
    let mut state = State::new(GroupId { region: 1, group: 1 });
    let older = state.to_bytes().unwrap();
    state.apply_workflow(1, 9, &evacuate("z", true, 0));
    let read = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
    assert!(read.workflows.evacuations().contains("z"));
    // If empty, tombstones take the last byte, silences the one before it, usage the one before it, the rest of demand the three
    // before it, failures the three before them, suspected tasks the three before these, and
    // evacuations the first two: revision 0 and an empty list.
    for missing in [1, 2, 3, 6, 9, 12, 14] {
        let read = State::from_bytes(&older[..older.len() - missing]).unwrap();
        assert_eq!(read.workflows.evacuations(), &Evacuations::default());
        assert!(read.workflows.suspects().is_empty());
        assert_eq!(read.workflows.demand(), &Demand::default());
    }
    for missing in [4, 5, 7, 8, 10, 11, 13, 15, 16] {
        assert!(State::from_bytes(&older[..older.len() - missing]).is_err(), "{missing} missing");
    }
    assert!(State::from_bytes(&[&older[..], &[0]].concat()).is_err());
}

/// The worker has listed a run of workflow 7.
fn confirm_begun() -> WorkflowCommand {
    WorkflowCommand::ConfirmBegun(vec![WorkflowId(7)])
}

/// A workflow has begun once its leader has learned from a worker that a run began there, by its
/// list or by an end. Placed runs, and ends that the leader concluded, prove nothing.
#[test]
fn a_workflow_has_begun_once_a_worker_has_told_so() {
    let told: [(Option<WorkflowCommand>, WorkflowPhase); 5] = [
        (None, WorkflowPhase::Queued),
        (Some(confirm_begun()), WorkflowPhase::Running),
        (Some(finish(1, 1, run(7, 0, 0, 1), RunOutcome::Stopped)), WorkflowPhase::Running),
        (Some(finish(1, 0, run(7, 0, 0, 1), RunOutcome::Lapsed)), WorkflowPhase::Queued),
        (
            Some(WorkflowCommand::Void(VoidRuns {
                worker: WorkerId(1),
                runs: vec![run(7, 0, 0, 1)],
            })),
            WorkflowPhase::Queued,
        ),
    ];
    for (command, expected) in told {
        let mut workflows = with_workflow(spec(vec![step(2, 1, &[])]));
        workflows.apply(&begin(1, &[run(7, 0, 0, 1)]), 2);
        if let Some(it) = &command {
            workflows.apply(it, 3);
        }
        assert_eq!(phase(&workflows), expected, "{command:?}");
    }
}

/// Starts a task on a new worker `times` times, and lets each worker crash `age_ms` later.
fn crash_workers_under(state: &mut State, times: u32, age_ms: u64) {
    for it in 1..=times {
        let at_ms = 10_000 + u64::from(it) * 5_000;
        let name = format!("w-{it}");
        state.apply_workflow(1, at_ms, &enrol(&name));
        let worker = state.workflows.workers().find(NODE, &name).unwrap().0;
        state.apply_workflow(1, at_ms, &begin(worker, &[run(7, 0, 0, it)]));
        state.apply_workflow(1, at_ms, &confirm_begun());
        let end = finish(worker, 0, run(7, 0, 0, it), RunOutcome::Crashed);
        state.apply_workflow(1, at_ms + age_ms, &end);
    }
}

fn submitted_state() -> State {
    let mut state = State::new(GroupId { region: 1, group: 1 });
    for it in [WorkflowCommand::Install(queues(1)), submit(7, spec(vec![step(2, 1, &[])]))] {
        state.apply_workflow(1, 1, &it);
    }
    state
}

#[yare::parameterized(
    once = { 1, 300, WorkflowPhase::Running },
    twice_soon = { 2, 300, WorkflowPhase::Failed },
    thrice_late = { 3, 4_000, WorkflowPhase::Running },
    four_times_late = { 4, 4_000, WorkflowPhase::Failed },
    four_times_outlived = { 4, 10_000, WorkflowPhase::Running },
)]
fn a_task_is_given_up_for_crashes_that_it_most_likely_caused(
    times: u32,
    age_ms: u64,
    expected: WorkflowPhase,
) {
    let mut state = submitted_state();
    crash_workers_under(&mut state, times, age_ms);
    assert_eq!(state.workflows.get(WorkflowId(7)).unwrap().phase(), expected);
}

/// Starts a run of a task on a new worker, which is then marked as lost in silence. Another
/// incarnation registers at its node.
fn silence_worker_under(state: &mut State, number: u32) {
    let at_ms = 10_000 + u64::from(number) * 5_000;
    let name = format!("w-{number}");
    state.apply_workflow(1, at_ms, &enrol(&name));
    let worker = state.workflows.workers().find(NODE, &name).unwrap().0;
    state.apply_workflow(1, at_ms, &begin(worker, &[run(7, 0, 0, number)]));
    state.apply_workflow(1, at_ms, &confirm_begun());
    let end = finish(worker, 0, run(7, 0, 0, number), RunOutcome::Lapsed);
    state.apply_workflow(1, at_ms + 4_000, &end);
    state.apply_workflow(1, at_ms + 4_000, &WorkflowCommand::Dismiss(WorkerId(worker)));
    state.apply_workflow(1, at_ms + 4_500, &enrol(&format!("next-{number}")));
}

/// A silent worker that another incarnation replaces has crashed. A task that crashed two workers
/// behind a cut was started a sixth time, since silences counted for suspected tasks only.
#[test]
fn a_silence_counts_as_a_crash_once_another_incarnation_registers() {
    let mut state = submitted_state();
    for times in 1..=5 {
        silence_worker_under(&mut state, times);
        let is_last = times == 5;
        let expected = if is_last { WorkflowPhase::Failed } else { WorkflowPhase::Running };
        let phase = state.workflows.get(WorkflowId(7)).unwrap().phase();
        assert_eq!(phase, expected, "{times} silent workers have crashed");
    }
}

/// A worker that was cut off and returns has not crashed. Its silence counted as a crash, also as the
/// one that gives a task up.
#[test]
fn a_silence_of_a_worker_that_returns_is_held_against_no_task() {
    let mut state = submitted_state();
    crash_workers_under(&mut state, 3, 4_000);
    for it in 4..=8 {
        let at_ms = 40_000 + u64::from(it) * 5_000;
        let name = format!("w-{it}");
        state.apply_workflow(1, at_ms, &enrol(&name));
        let worker = state.workflows.workers().find(NODE, &name).unwrap().0;
        state.apply_workflow(1, at_ms, &begin(worker, &[run(7, 0, 0, it)]));
        let end = finish(worker, 0, run(7, 0, 0, it), RunOutcome::Lapsed);
        state.apply_workflow(1, at_ms + 4_000, &end);
        state.apply_workflow(1, at_ms + 4_000, &WorkflowCommand::Dismiss(WorkerId(worker)));
        let task = run(7, 0, 0, it).task;
        assert!(state.workflows.suspects().waits_for_silent_workers(task), "silence {it}");
        let read = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
        assert!(read.workflows.suspects().waits_for_silent_workers(task), "silence {it}");
        state.apply_workflow(1, at_ms + 4_500, &enrol(&name));
        assert!(!state.workflows.suspects().waits_for_silent_workers(task), "silence {it}");
    }
    assert_eq!(state.workflows.get(WorkflowId(7)).unwrap().phase(), WorkflowPhase::Running);
}

#[test]
fn what_is_held_against_tasks_is_in_the_snapshot() {
    let mut state = submitted_state();
    crash_workers_under(&mut state, 1, 300);
    let read = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
    assert_eq!(read.workflows.suspects(), state.workflows.suspects());
    assert_eq!(read.workflows.suspects().len(), 1);
    state.apply_workflow(1, 50_000, &WorkflowCommand::Cancel(WorkflowId(7)));
    assert!(state.workflows.suspects().is_empty());
}

/// A long-running task loses workers now and then. Long runs between the losses are evidence against
/// it being the cause, also where a worker only fell silent.
#[yare::parameterized(
    silence = { RunOutcome::Lapsed },
    unseen = { RunOutcome::CrashedUnseen },
    seen = { RunOutcome::Crashed },
)]
fn long_lives_between_losses_clear_a_task(outcome: RunOutcome) {
    let mut state = submitted_state();
    for it in 1..=12 {
        let at_ms = 10_000 + u64::from(it) * 60_000;
        let name = format!("w-{it}");
        state.apply_workflow(1, at_ms, &enrol(&name));
        let worker = state.workflows.workers().find(NODE, &name).unwrap().0;
        let task = run(7, 0, 0, it);
        state.apply_workflow(1, at_ms, &begin(worker, &[task]));
        state.apply_workflow(1, at_ms, &confirm_begun());
        let (age_ms, outcome) =
            if it % 2 == 0 { (40_000, outcome) } else { (3_000, RunOutcome::Crashed) };
        state.apply_workflow(1, at_ms + age_ms, &finish(worker, 0, task, outcome));
    }
    assert_eq!(state.workflows.get(WorkflowId(7)).unwrap().phase(), WorkflowPhase::Running);
}
