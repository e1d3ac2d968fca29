//! Runs that the ledger holds and that their worker, or its name, no longer speaks for.

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
