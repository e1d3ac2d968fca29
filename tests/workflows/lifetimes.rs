//! Tests of a single node core whose worker restarts under the same id, as a new incarnation.
//!
//! The node assumed that a worker id denotes a single incarnation. It therefore mixed values of two
//! incarnations that are valid within one only: announcement numbers, ends, clock, tokens, answers.

use aspenrail::{
    node::{Action, CallRefusal, CallResult, Departure, Input},
    prelude::*,
};

use crate::node::{NodeHarness, RUN, announcement, is_poll, is_start, is_stop, running, start};

const FIRST_START_UNIX_MS: u64 = 1_700_000_000_000;

/// The clock was set back in between, so the later incarnation seems to have started earlier.
const SECOND_START_UNIX_MS: u64 = FIRST_START_UNIX_MS - 3_600_000;

fn announced(started_unix_ms: u64, sequence: u64) -> Input {
    Input::WorkerAnnounced(announcement("worker", "pool", sequence, Some(started_unix_ms)))
}

fn worker_name(started_unix_ms: u64) -> Option<CompactString> {
    Some(format_compact!("worker@{started_unix_ms}"))
}

fn run_list(started_unix_ms: Option<u64>, running: Vec<RunningTask>) -> CallResult {
    CallResult::RunList { clock_ms: 90, started_unix_ms, running, ended: Vec::new() }
}

/// Answers the newest poll of the worker.
fn answer_newest_poll(harness: &mut NodeHarness, result: CallResult) {
    let newest =
        harness.calls.iter().rposition(|(_, it)| is_poll(it)).expect("the worker must be polled");
    let (id, _) = harness.calls.remove(newest);
    harness.end_call(id, result);
}

/// Creates a node whose worker has received a grant and announces its start time.
fn with_first_incarnation() -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.input(announced(FIRST_START_UNIX_MS, 14));
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), Vec::new()));
    assert_eq!(harness.worker(), worker_name(FIRST_START_UNIX_MS));
    harness.calls.clear();
    harness.grant(false, Vec::new());
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), Vec::new()));
    harness
}

#[test]
fn a_lifetime_with_the_same_id_is_told_to_the_leader_once_it_has_answered() {
    let mut harness = with_first_incarnation();
    harness.input(announced(SECOND_START_UNIX_MS, 1));
    harness.advance(600);
    assert_eq!(
        harness.worker(),
        worker_name(FIRST_START_UNIX_MS),
        "the second incarnation is not confirmed yet"
    );
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    assert_eq!(harness.worker(), worker_name(SECOND_START_UNIX_MS));
    // An announcement of the first incarnation arrives late.
    harness.input(announced(FIRST_START_UNIX_MS, 15));
    harness.advance(600);
    assert_eq!(harness.worker(), worker_name(SECOND_START_UNIX_MS));
}

#[test]
fn a_late_announcement_of_a_lifetime_that_was_never_known_replaces_nobody() {
    let mut harness = with_first_incarnation();
    harness.input(announced(SECOND_START_UNIX_MS, 3));
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), vec![running()]));
    harness.advance(600);
    assert_eq!(harness.worker(), worker_name(FIRST_START_UNIX_MS));
    // An announcement without a start time comes from another implementation.
    harness.input(Input::WorkerAnnounced(announcement("worker", "pool", 90, None)));
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), vec![running()]));
    harness.advance(600);
    assert_eq!(harness.worker(), worker_name(FIRST_START_UNIX_MS));
}

/// A node that has just started knows no incarnation. A worker that has received a leader's token
/// answers only calls with that token, so a late announcement could be matched to it by id alone: its
/// runs were concluded, and their tasks started on other workers.
#[test]
fn a_node_that_has_just_started_takes_no_late_announcement_for_the_worker() {
    let mut harness = NodeHarness::without_worker();
    harness.input(announced(SECOND_START_UNIX_MS, 3));
    answer_newest_poll(
        &mut harness,
        CallResult::Refused { clock_ms: 90, cause: CallRefusal::Fenced },
    );
    harness.advance(50);
    assert_eq!(harness.worker(), None);
    harness.grant_without_worker(1 << 24);
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), vec![running()]));
    harness.advance(600);
    assert_eq!(harness.worker(), None);
    harness.input(announced(FIRST_START_UNIX_MS, 9));
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), vec![running()]));
    assert_eq!(harness.worker(), worker_name(FIRST_START_UNIX_MS));
}

/// A start that was sent to the first incarnation may reach the second one. It must not run there,
/// because the leader starts the task on another worker.
#[yare::parameterized(
    unanswered = { None },
    answered_and_in_no_list = { Some(CallResult::Done { clock_ms: 80 }) },
    called_for_in_vain = { Some(CallResult::NoAnswer) },
    refused_for_room = { Some(CallResult::Refused { clock_ms: 80, cause: CallRefusal::Room }) },
)]
fn starts_for_the_first_lifetime_are_barred_at_the_second(first_result: Option<CallResult>) {
    let mut harness = with_first_incarnation();
    harness.grant(true, vec![start()]);
    let call = harness.take_call(is_start);
    if let Some(it) = first_result {
        harness.end_call(call, it);
    }
    harness.calls.clear();
    harness.input(announced(SECOND_START_UNIX_MS, 1));
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), vec![running()]));
    let stop = harness.take_call(is_stop);
    harness.end_call(stop, CallResult::Done { clock_ms: 91 });
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), vec![running()]));
    harness.advance(600);
    assert_eq!(
        harness.worker(),
        worker_name(FIRST_START_UNIX_MS),
        "the second incarnation still runs the start"
    );
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    assert_eq!(harness.worker(), worker_name(SECOND_START_UNIX_MS));
}

/// A worker crashes while starts for it are in transit, and is back under its id. Stopped one by one
/// there, some came first, and their tasks ran on other workers too.
#[test]
fn one_answer_of_the_second_lifetime_fences_all_starts_for_the_first() {
    const STARTS: u32 = 3;
    let start_of = |index| match start() {
        RunOrder::Start(it) => {
            let task = TaskRef { index, ..RUN.task };
            RunOrder::Start(StartRun { run: RunRef { task, ..RUN }, ..it })
        }
        other => other,
    };
    let mut harness = with_first_incarnation();
    harness.grant(true, (0..STARTS).map(start_of).collect());
    for _ in 0..STARTS {
        harness.take_call(is_start);
    }
    harness.calls.clear();
    harness.input(announced(SECOND_START_UNIX_MS, 1));
    let first_token = harness.newest_token;
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    let stop = harness.take_call(is_stop);
    assert!(first_token < harness.newest_token, "the second incarnation accepts starts");
    harness.end_call(stop, CallResult::Done { clock_ms: 91 });
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    assert_eq!(harness.worker(), worker_name(SECOND_START_UNIX_MS));
}

/// The process that fenced the worker has restarted, and its leader still grants the token before.
#[test]
fn a_lifetime_that_was_fenced_is_asked_with_the_next_token() {
    let mut harness = NodeHarness::without_worker();
    harness.grant_without_worker(1 << 24);
    harness.input(announced(SECOND_START_UNIX_MS, 3));
    let refused_token = harness.newest_token;
    let refused = CallResult::Refused { clock_ms: 90, cause: CallRefusal::Fenced };
    answer_newest_poll(&mut harness, refused);
    harness.advance(110);
    assert!(refused_token < harness.newest_token);
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    assert_eq!(harness.worker(), worker_name(SECOND_START_UNIX_MS));
}

/// A node restarts while starts that it sent are in transit, and reaches no leader. The next
/// incarnation of its worker executed them, and their tasks ran on other workers too.
#[test]
fn a_process_of_a_node_fences_the_calls_of_earlier_ones() {
    let mut first = with_first_incarnation();
    first.grant(true, vec![start()]);
    let mut second = NodeHarness::without_worker();
    second.now_ms = first.now_ms;
    second.input(announced(SECOND_START_UNIX_MS, 1));
    assert!(first.newest_token < second.newest_token, "the worker accepts the earlier calls");
}

#[test]
fn a_list_of_another_lifetime_is_not_taken_for_its_own() {
    let mut harness = with_first_incarnation();
    harness.grant(true, vec![start()]);
    let call = harness.take_call(is_start);
    harness.end_call(call, CallResult::Done { clock_ms: 80 });
    let end = RunEnd { run: RUN, outcome: RunOutcome::Done, checkpoint: CompactString::default() };
    let ended = vec![EndedRun { cursor: 1, end }];
    let running = Vec::new();
    answer_newest_poll(
        &mut harness,
        CallResult::RunList {
            clock_ms: 90,
            started_unix_ms: Some(SECOND_START_UNIX_MS),
            running,
            ended,
        },
    );
    harness.calls.clear();
    harness.advance(600);
    assert!(
        harness.calls.is_empty(),
        "calls to this id would reach the other incarnation: {:?}",
        harness.calls
    );
    let report = harness.reports.last().unwrap().workers[0].clone();
    assert_eq!(
        (report.name, report.ended),
        (worker_name(FIRST_START_UNIX_MS).unwrap(), Vec::new())
    );
}

/// The answer holds the clock of another incarnation. A lease computed from it outlasted the time
/// that the leader waits, and tasks started on other workers while they still ran.
#[yare::parameterized(
    done = { CallResult::Done { clock_ms: 9_000_000 } },
    refused = { CallResult::Refused { clock_ms: 9_000_000, cause: CallRefusal::Superseded } },
    a_list = { run_list(Some(FIRST_START_UNIX_MS), vec![running()]) },
)]
fn an_answer_to_a_call_of_the_lifetime_before_changes_nothing(late_result: CallResult) {
    let mut harness = with_first_incarnation();
    harness.grant(true, vec![start()]);
    let call = match late_result {
        CallResult::RunList { .. } => harness.take_call(is_poll),
        _ => harness.take_call(is_start),
    };
    harness.input(announced(SECOND_START_UNIX_MS, 1));
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    let stop = harness.take_call(is_stop);
    harness.end_call(stop, CallResult::Done { clock_ms: 91 });
    answer_newest_poll(&mut harness, run_list(Some(SECOND_START_UNIX_MS), Vec::new()));
    assert_eq!(harness.worker(), worker_name(SECOND_START_UNIX_MS));
    harness.end_call(call, late_result);
    harness.grant(false, Vec::new());
    let lease = harness.calls.iter().rev().find_map(|(_, it)| match it {
        Action::Poll { lease_until_ms, .. } => Some(lease_until_ms.unwrap_or(0)),
        _ => None,
    });
    // The second incarnation's clock shows about 50 s, and the lease lasts 4 s.
    assert!(lease.is_some_and(|it| it < 60_000), "{lease:?}");
}

#[test]
fn a_list_that_does_not_tell_whose_it_is_changes_nothing() {
    let mut harness = with_first_incarnation();
    answer_newest_poll(&mut harness, run_list(None, vec![running()]));
    harness.advance(600);
    assert_eq!(harness.reports.last().unwrap().workers[0].running, []);
}

/// The ends of another incarnation have the same numbers, so it would discard ends that were never
/// reported. Its clock also differs, so it would run on after its lease.
#[yare::parameterized(
    no_answer = { CallResult::NoAnswer },
    nobody_there = { CallResult::ConnectionRefused },
)]
fn ends_and_leases_are_told_to_a_lifetime_that_surely_listens(failed: CallResult) {
    let mut harness = with_first_incarnation();
    harness.grant_acked(57);
    answer_newest_poll(&mut harness, failed);
    harness.advance(110);
    let acked_and_leased = |harness: &NodeHarness| match harness.calls.last() {
        Some((_, Action::Poll { acked_cursor, lease_until_ms, .. })) => {
            (*acked_cursor, lease_until_ms.is_some())
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(acked_and_leased(&harness), (0, false));
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), Vec::new()));
    harness.advance(110);
    assert_eq!(acked_and_leased(&harness), (57, true));
}

/// The node was paused while its worker crashed and restarted under its id, and then continued with
/// the calls that were due. The second incarnation took its own ends for acknowledged, and finished
/// work was repeated.
#[yare::parameterized(
    the_call_under_way_failed = { CallResult::NoAnswer },
    its_answer_is_from_before = { run_list(Some(FIRST_START_UNIX_MS), Vec::new()) },
)]
fn a_node_that_stood_still_looks_first(pending_result: CallResult) {
    let mut harness = with_first_incarnation();
    harness.grant_acked(57);
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), Vec::new()));
    let pending_poll = harness.take_call(is_poll);
    harness.now_ms += 3_000;
    harness.grant(true, vec![start()]);
    harness.end_call(pending_poll, pending_result);
    harness.advance(110);
    assert!(!harness.calls.iter().any(|(_, it)| is_start(it)), "{:?}", harness.calls);
    let Some((id, Action::Poll { lease_until_ms, acked_cursor, .. })) = harness.calls.pop() else {
        panic!("the worker must be polled");
    };
    assert_eq!((lease_until_ms, acked_cursor), (None, 0));
    harness.end_call(id, run_list(Some(FIRST_START_UNIX_MS), Vec::new()));
    harness.advance(110);
    assert!(harness.calls.iter().any(|(_, it)| is_start(it)), "{:?}", harness.calls);
}

/// Connections to the worker were refused for a moment, and the leader marked it as lost.
#[test]
fn a_lifetime_that_was_given_up_and_is_there_is_used_again() {
    let mut harness = with_first_incarnation();
    for _ in 0..3 {
        answer_newest_poll(&mut harness, CallResult::ConnectionRefused);
        harness.advance(150);
    }
    assert!(harness.reports.last().unwrap().workers[0].gone);
    harness.calls.clear();
    harness.input(announced(FIRST_START_UNIX_MS, 15));
    answer_newest_poll(&mut harness, run_list(Some(FIRST_START_UNIX_MS), Vec::new()));
    let report = &harness.reports.last().unwrap().workers[0];
    assert_eq!((report.gone, Some(report.name.clone())), (false, worker_name(FIRST_START_UNIX_MS)));
}

/// A worker without a start time restarts its announcement numbers, and is confirmed by its answer.
#[test]
fn a_worker_without_a_start_that_was_given_up_is_used_again() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    for _ in 0..3 {
        answer_newest_poll(&mut harness, CallResult::ConnectionRefused);
        harness.advance(150);
    }
    assert!(harness.reports.last().unwrap().workers[0].gone);
    harness.calls.clear();
    harness.input(Input::WorkerAnnounced(announcement("worker", "pool", 1, None)));
    answer_newest_poll(&mut harness, run_list(None, Vec::new()));
    assert!(!harness.reports.last().unwrap().workers[0].gone);
}

/// A late announcement must not make the node poll an absent worker forever.
#[test]
fn a_lifetime_that_nobody_answers_for_is_let_be() {
    let mut harness = with_first_incarnation();
    harness.calls.clear();
    harness.input(announced(SECOND_START_UNIX_MS, 3));
    for _ in 0..60 {
        if let Some(index) = harness.calls.iter().rposition(|(_, it)| is_poll(it)) {
            let (id, _) = harness.calls.remove(index);
            harness.end_call(id, CallResult::NoAnswer);
        }
        harness.advance(100);
    }
    harness.calls.clear();
    harness.advance(1_000);
    let polls = harness.calls.iter().filter(|(_, it)| is_poll(it)).count();
    assert!(polls <= 1, "{:?}", harness.calls);
}

/// The leave message of an earlier incarnation may arrive late.
#[test]
fn a_late_word_of_leaving_ends_no_lifetime_that_has_not_said_that_it_drains() {
    let mut harness = with_first_incarnation();
    let departure =
        |started_unix_ms| Input::WorkerLeft(Departure { id: "worker".into(), started_unix_ms });
    harness.input(departure(Some(SECOND_START_UNIX_MS)));
    harness.advance(600);
    assert!(!harness.reports.last().unwrap().workers[0].draining);
    harness.input(departure(None));
    harness.advance(600);
    let report = &harness.reports.last().unwrap().workers[0];
    assert!(report.draining && !report.gone);
    harness.input(announced(FIRST_START_UNIX_MS, 15));
    harness.advance(600);
    assert!(!harness.reports.last().unwrap().workers[0].draining);
}
