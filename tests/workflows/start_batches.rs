//! Starts that take more memory than a grant may have.

use std::collections::BTreeSet;

use aspenrail::prelude::*;

use crate::{
    fillers::{LeaderHarness, node},
    world::{spec, step},
};

/// Longest payload that the users' pages allow.
const PAYLOAD_BYTES: usize = 4_000;

const TASKS: u32 = 1_500;

/// Largest message that a link carries.
const GRANT_MAX_BYTES: usize = 4 << 20;

fn starts_of(grant: &NodeGrant) -> BTreeSet<RunRef> {
    let run = |it: &RunOrder| match it {
        RunOrder::Start(it) => Some(it.run),
        _ => None,
    };
    grant.orders.iter().filter_map(run).collect()
}

fn large_workflow() -> WorkflowSpec {
    let mut tasks = step(TASKS, 0, &[]);
    tasks.need.memory_mib = 1;
    WorkflowSpec { payload: "x".repeat(PAYLOAD_BYTES).into(), ..spec(vec![tasks]) }
}

/// A grant of all starts would be larger than a link carries: the worker got no lease and no start.
/// They come in several grants, and none is withdrawn on the way.
#[test]
fn many_starts_with_large_payloads_come_in_several_grants() {
    let mut leader = LeaderHarness::new(1);
    leader.submit_spec(7, large_workflow());
    let mut started = BTreeSet::new();
    let mut pending: BTreeSet<RunRef> = BTreeSet::new();
    for _ in 0..20 {
        let grant = leader.grants[&node(1)].clone();
        let starts = starts_of(&grant);
        assert!(starts.len() * PAYLOAD_BYTES < GRANT_MAX_BYTES);
        let is_withdrawn = grant.is_complete && !pending.is_subset(&starts);
        assert!(!is_withdrawn, "starts that are missing in a complete grant are withdrawn");
        pending.extend(starts);
        // The worker begins half of what it was sent before it lists its runs again.
        let begun: Vec<_> = pending.iter().copied().take(pending.len().div_ceil(2)).collect();
        pending.retain(|it| !begun.contains(it));
        started.extend(begun);
        let running = started.iter().map(|run| RunningTask {
            run: *run,
            checkpoint: CompactString::default(),
            progress_percent: 1,
            load: 0,
        });
        let running = running.collect();
        leader.now_ms += 20;
        leader.report_runs(1, running, Vec::new());
    }
    assert_eq!(started.len(), TASKS as usize);
}

/// All workers together get a bounded amount of starts at once; the others follow with their reports.
#[test]
fn starts_for_many_workers_all_come() {
    const WORKERS: u64 = 20;
    let mut leader = LeaderHarness::new(WORKERS);
    for id in 1..=WORKERS {
        leader.submit_spec(id, large_workflow());
    }
    let all: usize = leader.grants.values().map(|it| starts_of(it).len()).sum();
    assert!(0 < all);
    for _ in 0..10 {
        (1..=WORKERS).for_each(|it| leader.report(it, &[]));
    }
    for worker in 1..=WORKERS {
        let grant = &leader.grants[&node(worker)];
        assert!(
            grant.is_complete && starts_of(grant).is_empty(),
            "all starts of {worker} were sent"
        );
    }
}
