//! Runs in the ledger, and reports that do not describe the current worker.

use aspenrail::prelude::*;

use crate::{fillers::LeaderHarness, world::step};

/// Time until the next plan is made.
const PLAN_MS: u64 = 20;

/// A long-running task ran on no worker. A worker that loses a run without reporting its end keeps the
/// task from running unless the leader concludes that run. The run may still be executing, so the
/// worker blocks it before the task starts again.
#[test]
fn a_run_that_is_no_longer_listed_is_barred_and_begins_again() {
    let mut leader = LeaderHarness::new(1);
    let mut long_running = step(1, 2, &[]);
    long_running.lasting = true;
    leader.submit(1, vec![long_running]);
    let first = leader.runs_on(1);
    leader.report(1, &[]);
    assert_eq!(leader.stops, []);
    leader.report_runs(1, Vec::new(), Vec::new());
    assert_eq!(leader.stops, first);
    leader.report_refusal(1, first[0]);
    leader.advance(PLAN_MS);
    assert_eq!(leader.runs_on(1), [RunRef { run: 2, ..first[0] }]);
}

/// An earlier version identified workers by id only. A worker that reports its start time may or may
/// not be the one in the log, so its lease must expire before its runs start on other workers.
#[test]
fn a_worker_known_by_its_id_alone_keeps_its_runs_for_its_lease() {
    let mut leader = LeaderHarness::new(1);
    leader.submit(1, vec![step(1, 2, &[])]);
    let runs = leader.runs_on(1);
    assert_eq!(runs.len(), 1);
    let number = leader.number;
    let report_with_start = |leader: &mut LeaderHarness, number: u64| {
        let name = "worker-1@1700000000000".into();
        leader.report_incarnation(1, name, number, Vec::new(), Vec::new());
    };
    (1..4).for_each(|it| report_with_start(&mut leader, number + it));
    assert_eq!(leader.runs_on(1), runs);
    leader.advance(10_000);
    (4..7).for_each(|it| report_with_start(&mut leader, number + it));
    leader.advance(PLAN_MS);
    let (_, worker) = leader.workflows.workers().iter().next().unwrap();
    assert_eq!(worker.name, "worker-1@1700000000000");
    assert!(worker.runs.contains(&RunRef { run: 2, ..runs[0] }), "{:?}", worker.runs);
}

/// A node restarts, and a report of its previous process, delayed by a network partition, arrives
/// after its own. It names an incarnation that has ended, which must not replace the current one.
#[test]
fn a_late_report_of_a_nodes_process_before_changes_nothing() {
    let mut leader = LeaderHarness::new(1);
    let late_number = leader.number + 1;
    leader.boot = 2;
    leader.report_incarnation(1, "worker-1@2".into(), 1, Vec::new(), Vec::new());
    leader.advance(10_000);
    (2..4).for_each(|it| {
        leader.report_incarnation(1, "worker-1@2".into(), it, Vec::new(), Vec::new())
    });
    leader.boot = 1;
    leader.report_incarnation(1, "worker-1".into(), late_number, Vec::new(), Vec::new());
    let names: Vec<_> = leader.workflows.workers().iter().map(|(_, it)| &it.name).collect();
    assert_eq!(names, ["worker-1@2"]);
}
