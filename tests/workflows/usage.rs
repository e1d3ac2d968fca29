//! Usage by caller in the replicated state, compared with a naive recomputation.

use std::collections::BTreeMap;

use aspenrail::{
    control::state::{State, Workflows},
    policy::shares::Amounts,
    prelude::*,
    util::GroupId,
};

use crate::world::{queues, spec, step};

const HALF_LIFE_MS: f64 = 16_384.0;

const WORKERS: u64 = 4;

fn enrol(worker: u64) -> WorkflowCommand {
    WorkflowCommand::Enrol(EnrolWorker {
        name: format_compact!("w-{worker}"),
        node: crate::fillers::node(worker % WORKERS),
        service: "pool".into(),
        zone: "z".into(),
        kind: "a".into(),
        rack: "r".into(),
        capacity: crate::worker::CAPACITY,
    })
}

fn submit(id: u64) -> WorkflowCommand {
    let mut steps = vec![step(4, id as u32, &[]), step(2, 1, &[])];
    (steps[0].filler, steps[1].duplicates) = (id.is_multiple_of(2), true);
    let workflow = SubmitWorkflow {
        id: WorkflowId(id),
        queue: "queue".into(),
        spec: spec(steps),
        accepted_ms: 1,
    };
    let zone = format_compact!("zone-{}", id % 3);
    WorkflowCommand::SubmitFrom(OriginatedWorkflow { zone, workflow })
}

/// Returns a random command; half of those that end runs name a run on its worker.
fn random_command(random: &mut fastrand::Rng, workflows: &Workflows) -> WorkflowCommand {
    let (workflow, step) = (WorkflowId(random.u64(1..=8)), random.u32(0..2));
    let task = TaskRef { workflow, occurrence: 0, step, index: random.u32(0..4) };
    let run = RunRef { run: random.u32(1..60), task };
    let worker = WorkerId(random.u64(1..=8));
    let recorded =
        workflows.workers().iter().flat_map(|(id, it)| it.runs.iter().map(move |it| (id, *it)));
    let ended = random.choice(recorded.collect::<Vec<_>>()).filter(|_| random.bool());
    let (ended_at, ended) = ended.unwrap_or((worker, run));
    let outcomes = [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Stopped];
    let outcome = outcomes[random.usize(0..4)];
    let end = RunEnd { run: ended, outcome, checkpoint: CompactString::default() };
    match random.u32(0..16) {
        0..=6 => WorkflowCommand::Begin(vec![RunPlacement { run, worker }]),
        7..=10 => {
            WorkflowCommand::Finish(FinishRuns { worker: ended_at, cursor: 1, ends: vec![end] })
        }
        11 => WorkflowCommand::Void(VoidRuns { worker: ended_at, runs: vec![ended] }),
        12 => WorkflowCommand::Settle(SettleFailures { counted: vec![ended], lapsed: Vec::new() }),
        13 if random.u32(0..10) == 0 => WorkflowCommand::Dismiss(worker),
        14 if random.u32(0..10) == 0 => enrol(random.u64(0..100)),
        15 if random.u32(0..100) == 0 => WorkflowCommand::Cancel(workflow),
        _ => submit(random.u64(1..=8)),
    }
}

/// Returns what the runs on all workers hold, by caller.
fn count_held(workflows: &Workflows) -> BTreeMap<Caller, Amounts> {
    let mut res: BTreeMap<Caller, Amounts> = BTreeMap::new();
    for run in workflows.workers().iter().flat_map(|(_, it)| &it.runs) {
        let caller = workflows.caller_of(run.task.workflow).unwrap();
        let held = res.entry(caller).or_default();
        *held = held.plus(Amounts::of_tasks(workflows.step_of(run.task).unwrap().need, 1));
    }
    res
}

fn state_with_workers() -> State {
    let mut state = State::new(GroupId { region: 1, group: 1 });
    let workers = (0..WORKERS).map(enrol);
    let commands = [WorkflowCommand::Install(queues(1))].into_iter().chain(workers);
    commands.chain((1..=8).map(submit)).for_each(|it| drop(state.apply_workflow(1, 1, &it)));
    state
}

/// Applies random commands with random pauses. What callers hold equals a count of all runs, and the
/// averages are within a thousandth of those computed with floating point, also in a snapshot.
#[test]
fn usage_matches_a_naive_recomputation() {
    let mut random = fastrand::Rng::with_seed(31);
    let mut state = state_with_workers();
    let mut averages: BTreeMap<Caller, f64> = BTreeMap::new();
    let (mut now_ms, mut held_max) = (1, 0);
    for index in 2..6_000 {
        let pause_ms = if random.u32(0..200) == 0 { 60_000 } else { random.u64(0..100) };
        let kept = 0.5_f64.powf(pause_ms as f64 / HALF_LIFE_MS);
        let held = count_held(&state.workflows);
        for caller in held.keys() {
            averages.entry(caller.clone()).or_default();
        }
        for (caller, average) in &mut averages {
            let held = held.get(caller).map_or(0.0, |it| it.cpu_millicores as f64);
            *average = held + (*average - held) * kept;
        }
        now_ms += pause_ms;
        let command = random_command(&mut random, &state.workflows);
        state.apply_workflow(index, now_ms, &command);
        let usage = state.workflows.demand().usage();
        for (caller, held) in count_held(&state.workflows) {
            assert_eq!(usage.held(&caller), held);
            held_max = held_max.max(held.cpu_millicores);
        }
        for (caller, average) in &averages {
            let found = usage.average(caller, now_ms).cpu_millicores as f64;
            assert!((found - average).abs() <= 2.0 + average / 1_000.0, "{found}, {average}");
        }
    }
    assert!(10_000 < held_max, "few runs were held: {held_max}");
    let read = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
    assert_eq!(read.workflows.demand(), state.workflows.demand());
}

/// A snapshot of an earlier version has runs and no usage: what they hold is counted from the runs.
#[test]
fn a_snapshot_without_usage_is_read() {
    let mut state = state_with_workers();
    let first_run = |id: u64| {
        let task = TaskRef { workflow: WorkflowId(id), occurrence: 0, step: 0, index: 0 };
        RunPlacement { run: RunRef { run: 1, task }, worker: WorkerId(1) }
    };
    state.apply_workflow(2, 100, &WorkflowCommand::Begin((1..=8).map(first_run).collect()));
    let usage = state.workflows.demand().usage();
    let usage_bytes =
        bincode::serde::encode_to_vec(usage, bincode::config::standard()).unwrap().len();
    // Empty lists of silences and tombstones follow, which earlier versions lack too.
    let missing_bytes = usage_bytes + 2;
    let bytes = state.to_bytes().unwrap();
    let read = State::from_bytes(&bytes[..bytes.len() - missing_bytes]).unwrap();
    let held = count_held(&state.workflows);
    assert_eq!(held.len(), 3);
    for (caller, held) in held {
        assert_eq!(read.workflows.demand().usage().held(&caller), held);
    }
}

/// A caller without runs is dropped once its average has faded, and not before.
#[test]
fn callers_that_hold_nothing_are_dropped() {
    let mut state = state_with_workers();
    let task = TaskRef { workflow: WorkflowId(1), occurrence: 0, step: 0, index: 0 };
    let run = RunRef { run: 1, task };
    let begin = WorkflowCommand::Begin(vec![RunPlacement { run, worker: WorkerId(1) }]);
    let void = WorkflowCommand::Void(VoidRuns { worker: WorkerId(1), runs: vec![run] });
    for (time_ms, command, callers) in [
        (100, begin, 1),
        (60_000, WorkflowCommand::Forget(0), 1),
        (60_000, void, 1),
        (60_000, WorkflowCommand::Forget(0), 1),
        (600_000, WorkflowCommand::Forget(0), 0),
    ] {
        state.apply_workflow(2, time_ms, &command);
        assert_eq!(state.workflows.demand().usage().callers().count(), callers, "{time_ms}");
    }
}
