//! Values of clients at the ends of their ranges.

use aspenrail::{
    control::state::{ValidationError, check_queues, check_spec},
    prelude::*,
};

use crate::{
    fillers::{LeaderHarness, filler},
    world::{queues, spec, step},
};

#[yare::parameterized(
    estimate = { |it: &mut WorkflowSpec| it.steps[0].estimate_ms = u64::MAX, "estimate in ms of step 0 is 18446744073709551615; 0 to 3162240000000 are" },
    processor = { |it: &mut WorkflowSpec| it.steps[0].need.cpu_millicores = u32::MAX, "processor in millicores of step 0 is 4294967295; 0 to 100000000 are" },
    first_run = { |it: &mut WorkflowSpec| it.first_run_ms = u64::MAX, "first run in ms is 18446744073709551615; 0 to 253402300799999 are" },
    interval = { |it: &mut WorkflowSpec| it.interval_ms = u64::MAX, "interval in ms is 18446744073709551615; 0 to 3162240000000 are" },
    tasks = { |it: &mut WorkflowSpec| (it.steps, it.repeat_count) = (vec![step(u32::MAX, 1, &[]); 2], u32::MAX), "8589934590 tasks in 4294967295 occurrences; 10000 in one" },
)]
fn a_submission_out_of_range_is_refused_with_the_range(
    change: fn(&mut WorkflowSpec),
    expected: &str,
) {
    let mut spec = spec(vec![step(1, 1, &[])]);
    spec.repeat_count = 2;
    assert_eq!(check_spec(&spec), Ok(()));
    change(&mut spec);
    let Err(ValidationError(why)) = check_spec(&spec) else { panic!("it was accepted") };
    assert!(why.contains(expected), "{why}");
}

#[yare::parameterized(
    target = { |it: &mut Queue| it.target_ms = u64::MAX, "target in ms of queue queue is 18446744073709551615" },
    timeout = { |it: &mut Queue| it.timeout_ms = u64::MAX, "timeout in ms of queue queue is 18446744073709551615" },
    priority = { |it: &mut Queue| it.priority = u32::MAX, "priority of queue queue is 4294967295; 0 to 1000000 are" },
    stretch = { |it: &mut Queue| it.stretch_percent = u32::MAX, "of queue queue is 4294967295; 0 to 100000000 are" },
)]
fn a_queue_out_of_range_is_refused_with_the_range(change: fn(&mut Queue), expected: &str) {
    let mut config = queues(1);
    assert_eq!(check_queues(&config), Ok(()));
    change(&mut config.queues[0]);
    let Err(ValidationError(why)) = check_queues(&config) else { panic!("it was accepted") };
    assert!(why.contains(expected), "{why}");
}

/// Load: a workflow that an earlier version accepted, with the largest numbers, beside usual ones.
#[test]
fn stored_numbers_of_any_size_stop_no_plan() {
    let mut leader = LeaderHarness::new(1);
    let mut endless = vec![step(2, 1, &[]), step(2, 1, &[0])];
    endless.iter_mut().for_each(|it| it.estimate_ms = u64::MAX);
    leader.submit(1, endless);
    let mut fillers = vec![filler("batch", 2, 1, 0)];
    fillers[0].need.cpu_millicores = u32::MAX;
    leader.submit(2, fillers);
    let mut repeated = spec(vec![step(1, 1, &[])]);
    (repeated.repeat_count, repeated.interval_ms, repeated.first_run_ms) = (3, u64::MAX, 1);
    leader.submit_spec(3, repeated);
    leader.submit(4, vec![step(1, 1, &[])]);
    leader.advance(3_000);
    let is_begun = |id| leader.runs_on(1).iter().any(|it| it.task.workflow == WorkflowId(id));
    assert!(is_begun(1) && is_begun(3) && is_begun(4), "{:?}", leader.runs_on(1));
    let occurrences =
        leader.runs_on(1).iter().filter(|it| it.task.workflow == WorkflowId(3)).count();
    assert_eq!(occurrences, 1, "an occurrence began before it was due");
}
