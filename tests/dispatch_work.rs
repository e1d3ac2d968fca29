//! Tests how the leader's work grows with the fleet, by counts of visited rows instead of time.
#![allow(clippy::unwrap_used)]

use aspenrail::bench::dispatch::{RowsVisited, measure};

/// Number of waiting tasks; their steps do not depend on the fleet size.
const WAITING: u32 = 400;

fn measure_rows(workers: u64) -> RowsVisited {
    measure(workers, WAITING).rows_visited
}

/// A registration visits only the worker and the other incarnations on its node.
#[test]
fn a_registration_looks_at_no_other_worker() {
    for workers in [40, 320] {
        let rows = measure_rows(workers).per_enrolment;
        assert!(
            rows <= 2.0,
            "{workers} workers: {rows} sessions and free capacities visited per registration"
        );
    }
}

/// A plan without waiting or slow tasks visits no worker.
#[test]
fn an_idle_plan_looks_at_no_worker() {
    for workers in [40, 320] {
        let rows = measure_rows(workers).per_idle_plan;
        assert!(
            rows <= 2.0,
            "{workers} workers: {rows} sessions and free capacities visited per plan"
        );
    }
}

/// A plan may visit each free capacity once per step with waiting or slow tasks, whatever the number
/// of such tasks, which grows with the fleet.
#[test]
fn a_plan_asks_each_room_once_for_a_step() {
    let steps = f64::from(WAITING.div_ceil(40) + 30);
    for workers in [40, 320, 1_000] {
        let rows = measure_rows(workers).per_plan;
        let rows_max = (steps + 4.0) * workers as f64;
        assert!(
            rows <= rows_max,
            "{workers} workers: {rows} free capacities visited per plan, {rows_max} allowed"
        );
    }
}
