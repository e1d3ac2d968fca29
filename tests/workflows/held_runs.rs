//! Runs that the ledger holds, and reports that do not speak for their worker.

use aspenrail::prelude::*;

use crate::{fillers::Leader, world::step};

/// Time within which the next plan is made.
const PLAN_MS: u64 = 20;

/// Users saw a task that is to last run nowhere. A worker that loses a run without telling its end
/// keeps the task from running, if nobody concludes that. It may run unseen, so that the worker bars
/// it before it begins again.
#[test]
fn a_run_that_is_no_longer_listed_is_barred_and_begins_again() {
    let mut leader = Leader::new(1);
    let mut lasting = step(1, 2, &[]);
    lasting.lasting = true;
    leader.submit(1, vec![lasting]);
    let first = leader.runs_on(1);
    leader.report(1, &[]);
    assert_eq!(leader.stops, []);
    leader.tell(1, Vec::new(), Vec::new());
    assert_eq!(leader.stops, first);
    leader.refuse(1, first[0]);
    leader.idle(PLAN_MS);
    assert_eq!(leader.runs_on(1), [RunRef { run: 2, ..first[0] }]);
}

/// A version before this one knew workers by their ids alone. Whether the worker that tells its start
/// is the one in the log is not known, so that its lease must be over before its runs begin elsewhere.
#[test]
fn a_worker_known_by_its_id_alone_keeps_its_runs_for_its_lease() {
    let mut leader = Leader::new(1);
    leader.submit(1, vec![step(1, 2, &[])]);
    let runs = leader.runs_on(1);
    assert_eq!(runs.len(), 1);
    let number = leader.number;
    let tell = |leader: &mut Leader, number: u64| {
        let name = "worker-1@1700000000000".into();
        leader.tell_of(1, name, number, Vec::new(), Vec::new());
    };
    (1..4).for_each(|it| tell(&mut leader, number + it));
    assert_eq!(leader.runs_on(1), runs);
    leader.idle(10_000);
    (4..7).for_each(|it| tell(&mut leader, number + it));
    leader.idle(PLAN_MS);
    let (_, worker) = leader.workflows.workers().iter().next().unwrap();
    assert_eq!(worker.name, "worker-1@1700000000000");
    assert!(worker.runs.contains(&RunRef { run: 2, ..runs[0] }), "{:?}", worker.runs);
}

/// A node starts anew, and a report of its process before, held up by a cut, comes after its own: it
/// names a lifetime that is over, which must not take the place of the one that is there.
#[test]
fn a_late_report_of_a_nodes_process_before_changes_nothing() {
    let mut leader = Leader::new(1);
    let late = leader.number + 1;
    leader.boot = 2;
    leader.tell_of(1, "worker-1@2".into(), 1, Vec::new(), Vec::new());
    leader.idle(10_000);
    (2..4).for_each(|it| leader.tell_of(1, "worker-1@2".into(), it, Vec::new(), Vec::new()));
    leader.boot = 1;
    leader.tell_of(1, "worker-1".into(), late, Vec::new(), Vec::new());
    let names: Vec<_> = leader.workflows.workers().iter().map(|(_, it)| &it.name).collect();
    assert_eq!(names, ["worker-1@2"]);
}
