//! Shares of callers as the leader plans, also after a change of leader.

use aspenrail::{control::dispatch::Features, prelude::*};

use crate::{
    fillers::LeaderHarness,
    world::{spec, step},
};

const CORES: u32 = 16;

/// Time between the ends of two tasks, in which the leader plans once.
const PAUSE_MS: u64 = 50;

const FAIR_SHARES: Features = Features {
    reservations: false,
    fair_shares: true,
    worker_speeds: false,
    admission: false,
    overload_control: false,
};

/// Replaces the leader by a new one.
fn change_leader(leader: &mut LeaderHarness) {
    leader.replace_leader();
    leader.report(1, &[]);
    leader.report(1, &[]);
}

/// Submits `count` workflows of a zone, each with some tasks of one core.
fn submit(leader: &mut LeaderHarness, first_id: u64, count: u64, zone: &str, width: u32) {
    for id in first_id..first_id + count {
        let mut tasks = step(width, 1, &[]);
        (tasks.need.memory_mib, tasks.estimate_ms) = (10, 10_000);
        let workflow = SubmitWorkflow {
            id: WorkflowId(id),
            queue: "queue".into(),
            spec: spec(vec![tasks]),
            accepted_ms: leader.now_ms,
        };
        let zone = zone.into();
        leader.apply(WorkflowCommand::SubmitFrom(OriginatedWorkflow { zone, workflow }));
    }
    leader.advance(PAUSE_MS);
}

/// Ends the runs that have been there for longest, one by one.
fn end_runs(leader: &mut LeaderHarness, count: u64, order: &mut Vec<RunRef>) {
    for _ in 0..count {
        let runs = leader.runs_on(1);
        order.retain(|it| runs.contains(it));
        let new: Vec<_> = runs.iter().copied().filter(|it| !order.contains(it)).collect();
        order.extend(new);
        let run = order.remove(0);
        let end = RunEnd { run, outcome: RunOutcome::Done, checkpoint: CompactString::default() };
        let to_running = |run: &RunRef| RunningTask {
            run: *run,
            checkpoint: CompactString::default(),
            progress_percent: 50,
            load: 0,
        };
        leader.now_ms += PAUSE_MS;
        let running = order.iter().map(to_running).collect();
        leader.report_runs(1, running, vec![EndedRun { cursor: leader.number + 1, end }]);
        leader.advance(PAUSE_MS);
    }
}

fn cores_of(leader: &LeaderHarness, zone: &str) -> usize {
    let is_of_zone = |it: &RunRef| leader.workflows.demand().zone_of(it.task.workflow) == zone;
    leader.runs_on(1).iter().filter(|it| is_of_zone(it)).count()
}

/// Load: one zone floods 16 cores with small workflows, another asks for all of them with a large
/// one. With a tolerance of half an equal part, the one behind has three eighths of the cores: six.
/// A new leader goes on with what callers had.
#[test]
fn a_zone_that_floods_shares_the_cores_under_each_leader() {
    let mut leader = LeaderHarness::with_features(1, CORES, FAIR_SHARES);
    change_leader(&mut leader);
    submit(&mut leader, 1, 60, "zone-a", 4);
    submit(&mut leader, 100, 1, "zone-b", 200);
    assert_eq!(cores_of(&leader, "zone-a"), CORES as usize);
    let mut order = Vec::new();
    end_runs(&mut leader, 60, &mut order);
    assert!((6..=10).contains(&cores_of(&leader, "zone-b")), "{}", cores_of(&leader, "zone-b"));
    for _ in 0..3 {
        change_leader(&mut leader);
        end_runs(&mut leader, 10, &mut order);
        assert!((6..=10).contains(&cores_of(&leader, "zone-b")), "{}", cores_of(&leader, "zone-b"));
    }
}

/// Load: as above, and the flood is over. The zone that is left has all cores.
#[test]
fn a_zone_that_is_alone_has_all_cores() {
    let mut leader = LeaderHarness::with_features(1, CORES, FAIR_SHARES);
    change_leader(&mut leader);
    submit(&mut leader, 1, 5, "zone-a", 4);
    submit(&mut leader, 100, 1, "zone-b", 200);
    end_runs(&mut leader, 60, &mut Vec::new());
    assert_eq!(cores_of(&leader, "zone-b"), CORES as usize);
}
