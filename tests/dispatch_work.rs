//! What grows with the fleet in the leader's work, by counts and not by time.
#![allow(clippy::unwrap_used)]

use aspenrail::bench::dispatch::{RowsVisited, measure};

/// Tasks that wait: as many steps at any size.
const WAITING: u32 = 400;

fn looks(workers: u64) -> RowsVisited {
    measure(workers, WAITING).rows_visited
}

/// A worker that enrols concerns itself and the lifetimes beside its node.
#[test]
fn a_registration_looks_at_no_other_worker() {
    for workers in [40, 320] {
        let it = looks(workers).per_enrolment;
        assert!(it <= 2.0, "{workers} workers: {it} sessions and rooms a registration");
    }
}

/// Where nothing waits and nothing is slow, there is nothing to look at.
#[test]
fn an_idle_plan_looks_at_no_worker() {
    for workers in [40, 320] {
        let it = looks(workers).per_idle_plan;
        assert!(it <= 2.0, "{workers} workers: {it} sessions and rooms a plan");
    }
}

/// A plan may ask each room once for each step that waits or holds a slow task, whatever the number
/// of such tasks: they are as many as the fleet is large.
#[test]
fn a_plan_asks_each_room_once_for_a_step() {
    let steps = f64::from(WAITING.div_ceil(40) + 30);
    for workers in [40, 320, 1_000] {
        let it = looks(workers).per_plan;
        let most = (steps + 4.0) * workers as f64;
        assert!(it <= most, "{workers} workers: {it} rooms a plan, {most} at most");
    }
}
