//! A node alone, beside a worker that is another lifetime under the id that it had.
//!
//! A worker's id was taken for one lifetime of it, so that whatever is numbered within a lifetime was
//! read across two: announcements, ends, the clock, tokens, answers to calls.

use aspenrail::{
    node::{Action, CallRefusal, CallResult, Departure, Input},
    prelude::*,
};

use crate::node::{Alone, RUN, announcement, is_hold, is_start, is_stop, running, start};

const FIRST_MS: u64 = 1_700_000_000_000;

/// A clock that was set back in between: a later lifetime may seem to have begun before.
const SECOND_MS: u64 = FIRST_MS - 3_600_000;

fn announced(started_unix_ms: u64, sequence: u64) -> Input {
    Input::WorkerAnnounced(announcement("worker", "pool", sequence, Some(started_unix_ms)))
}

fn name(started_unix_ms: u64) -> Option<CompactString> {
    Some(format_compact!("worker@{started_unix_ms}"))
}

fn listed(started_unix_ms: Option<u64>, running: Vec<RunningTask>) -> CallResult {
    CallResult::RunList { clock_ms: 90, started_unix_ms, running, ended: Vec::new() }
}

/// Answers the newest look at the worker.
fn answer(alone: &mut Alone, result: CallResult) {
    let newest = alone.calls.iter().rposition(|(_, it)| is_hold(it)).expect("it is looked at");
    let (id, _) = alone.calls.remove(newest);
    alone.end(id, result);
}

/// Makes a node whose worker has taken a grant, and tells its start.
fn beside_first() -> Alone {
    let mut alone = Alone::new();
    alone.input(announced(FIRST_MS, 14));
    answer(&mut alone, listed(Some(FIRST_MS), Vec::new()));
    assert_eq!(alone.worker(), name(FIRST_MS));
    alone.calls.clear();
    alone.grant(false, Vec::new());
    answer(&mut alone, listed(Some(FIRST_MS), Vec::new()));
    alone
}

#[test]
fn a_lifetime_with_the_same_id_is_told_to_the_leader_once_it_has_answered() {
    let mut alone = beside_first();
    alone.input(announced(SECOND_MS, 1));
    alone.pass(600);
    assert_eq!(alone.worker(), name(FIRST_MS), "it has only announced itself");
    answer(&mut alone, listed(Some(SECOND_MS), Vec::new()));
    assert_eq!(alone.worker(), name(SECOND_MS));
    // What the first one said comes late.
    alone.input(announced(FIRST_MS, 15));
    alone.pass(600);
    assert_eq!(alone.worker(), name(SECOND_MS));
}

#[test]
fn a_late_announcement_of_a_lifetime_that_was_never_known_replaces_nobody() {
    let mut alone = beside_first();
    alone.input(announced(SECOND_MS, 3));
    answer(&mut alone, listed(Some(FIRST_MS), vec![running()]));
    alone.pass(600);
    assert_eq!(alone.worker(), name(FIRST_MS));
    // One that does not tell its start is another writer's.
    alone.input(Input::WorkerAnnounced(announcement("worker", "pool", 90, None)));
    answer(&mut alone, listed(Some(FIRST_MS), vec![running()]));
    alone.pass(600);
    assert_eq!(alone.worker(), name(FIRST_MS));
}

/// A node that has just started knows of no lifetime. One that has heard a leader tells nothing of
/// itself without the leader's token, so that the id alone would let a late announcement stand for
/// it: what it runs was concluded, and began elsewhere.
#[test]
fn a_node_that_has_just_started_takes_no_late_announcement_for_the_worker() {
    let mut alone = Alone::without_worker();
    alone.input(announced(SECOND_MS, 3));
    answer(&mut alone, CallResult::Refused { clock_ms: 90, cause: CallRefusal::Fenced });
    alone.pass(50);
    assert_eq!(alone.worker(), None);
    alone.grant_nothing(1 << 24);
    answer(&mut alone, listed(Some(FIRST_MS), vec![running()]));
    alone.pass(600);
    assert_eq!(alone.worker(), None);
    alone.input(announced(FIRST_MS, 9));
    answer(&mut alone, listed(Some(FIRST_MS), vec![running()]));
    assert_eq!(alone.worker(), name(FIRST_MS));
}

/// A start that was meant for the first lifetime may reach the second one: there it must not run,
/// since the leader begins the task elsewhere.
#[yare::parameterized(
    unanswered = { None },
    answered_and_in_no_list = { Some(CallResult::Done { clock_ms: 80 }) },
    called_for_in_vain = { Some(CallResult::NoAnswer) },
    refused_for_room = { Some(CallResult::Refused { clock_ms: 80, cause: CallRefusal::Room }) },
)]
fn starts_for_the_first_lifetime_are_barred_at_the_second(first: Option<CallResult>) {
    let mut alone = beside_first();
    alone.grant(true, vec![start()]);
    let call = alone.take_call(is_start);
    if let Some(it) = first {
        alone.end(call, it);
    }
    alone.calls.clear();
    alone.input(announced(SECOND_MS, 1));
    answer(&mut alone, listed(Some(SECOND_MS), vec![running()]));
    let stop = alone.take_call(is_stop);
    alone.end(stop, CallResult::Done { clock_ms: 91 });
    answer(&mut alone, listed(Some(SECOND_MS), vec![running()]));
    alone.pass(600);
    assert_eq!(alone.worker(), name(FIRST_MS), "the start still runs there");
    answer(&mut alone, listed(Some(SECOND_MS), Vec::new()));
    assert_eq!(alone.worker(), name(SECOND_MS));
}

#[test]
fn a_list_of_another_lifetime_is_not_taken_for_its_own() {
    let mut alone = beside_first();
    alone.grant(true, vec![start()]);
    let call = alone.take_call(is_start);
    alone.end(call, CallResult::Done { clock_ms: 80 });
    let end = RunEnd { run: RUN, outcome: RunOutcome::Done, checkpoint: CompactString::default() };
    let ended = vec![EndedRun { cursor: 1, end }];
    let running = Vec::new();
    answer(
        &mut alone,
        CallResult::RunList { clock_ms: 90, started_unix_ms: Some(SECOND_MS), running, ended },
    );
    alone.calls.clear();
    alone.pass(600);
    assert!(
        alone.calls.is_empty(),
        "calls for its id would reach the other one: {:?}",
        alone.calls
    );
    let report = alone.reports.last().unwrap().workers[0].clone();
    assert_eq!((report.name, report.ended), (name(FIRST_MS).unwrap(), Vec::new()));
}

/// The clock in it is another one: a lease counted by it outlived the leader's patience, and tasks
/// began elsewhere while they ran.
#[yare::parameterized(
    done = { CallResult::Done { clock_ms: 9_000_000 } },
    refused = { CallResult::Refused { clock_ms: 9_000_000, cause: CallRefusal::Superseded } },
    a_list = { listed(Some(FIRST_MS), vec![running()]) },
)]
fn an_answer_to_a_call_of_the_lifetime_before_changes_nothing(late: CallResult) {
    let mut alone = beside_first();
    alone.grant(true, vec![start()]);
    let call = match late {
        CallResult::RunList { .. } => alone.take_call(is_hold),
        _ => alone.take_call(is_start),
    };
    alone.input(announced(SECOND_MS, 1));
    answer(&mut alone, listed(Some(SECOND_MS), Vec::new()));
    let stop = alone.take_call(is_stop);
    alone.end(stop, CallResult::Done { clock_ms: 91 });
    answer(&mut alone, listed(Some(SECOND_MS), Vec::new()));
    assert_eq!(alone.worker(), name(SECOND_MS));
    alone.end(call, late);
    alone.grant(false, Vec::new());
    let lease = alone.calls.iter().rev().find_map(|(_, it)| match it {
        Action::Poll { lease_until_ms, .. } => Some(lease_until_ms.unwrap_or(0)),
        _ => None,
    });
    // The second lifetime's clock reads some 50 s, and the lease is 4 s long.
    assert!(lease.is_some_and(|it| it < 60_000), "{lease:?}");
}

#[test]
fn a_list_that_does_not_tell_whose_it_is_changes_nothing() {
    let mut alone = beside_first();
    answer(&mut alone, listed(None, vec![running()]));
    alone.pass(600);
    assert_eq!(alone.reports.last().unwrap().workers[0].running, []);
}

/// The ends of another lifetime have the same numbers, so that it would forget ends that nobody has
/// seen; and its clock is another one, so that it would run on after its lease.
#[yare::parameterized(
    no_answer = { CallResult::NoAnswer },
    nobody_there = { CallResult::ConnectionRefused },
)]
fn ends_and_leases_are_told_to_a_lifetime_that_surely_listens(failed: CallResult) {
    let mut alone = beside_first();
    alone.grant_acked(57);
    answer(&mut alone, failed);
    alone.pass(110);
    let told = |alone: &Alone| match alone.calls.last() {
        Some((_, Action::Poll { acked_cursor, lease_until_ms, .. })) => {
            (*acked_cursor, lease_until_ms.is_some())
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(told(&alone), (0, false));
    answer(&mut alone, listed(Some(FIRST_MS), Vec::new()));
    alone.pass(110);
    assert_eq!(told(&alone), (57, true));
}

/// The node stood still for as long as it takes a worker to crash and to be back under its id, and goes
/// on with what was due: the second lifetime took its own ends for acknowledged, and done work was done
/// again.
#[yare::parameterized(
    the_call_under_way_failed = { CallResult::NoAnswer },
    its_answer_is_from_before = { listed(Some(FIRST_MS), Vec::new()) },
)]
fn a_node_that_stood_still_looks_first(before: CallResult) {
    let mut alone = beside_first();
    alone.grant_acked(57);
    answer(&mut alone, listed(Some(FIRST_MS), Vec::new()));
    let under_way = alone.take_call(is_hold);
    alone.now_ms += 3_000;
    alone.grant(true, vec![start()]);
    alone.end(under_way, before);
    alone.pass(110);
    assert!(!alone.calls.iter().any(|(_, it)| is_start(it)), "{:?}", alone.calls);
    let Some((id, Action::Poll { lease_until_ms, acked_cursor, .. })) = alone.calls.pop() else {
        panic!("it is looked at");
    };
    assert_eq!((lease_until_ms, acked_cursor), (None, 0));
    alone.end(id, listed(Some(FIRST_MS), Vec::new()));
    alone.pass(110);
    assert!(alone.calls.iter().any(|(_, it)| is_start(it)), "{:?}", alone.calls);
}

/// Nobody was found at its address for a moment, and the leader gave it up.
#[test]
fn a_lifetime_that_was_given_up_and_is_there_is_used_again() {
    let mut alone = beside_first();
    for _ in 0..3 {
        answer(&mut alone, CallResult::ConnectionRefused);
        alone.pass(150);
    }
    assert!(alone.reports.last().unwrap().workers[0].gone);
    alone.calls.clear();
    alone.input(announced(FIRST_MS, 15));
    answer(&mut alone, listed(Some(FIRST_MS), Vec::new()));
    let report = &alone.reports.last().unwrap().workers[0];
    assert_eq!((report.gone, Some(report.name.clone())), (false, name(FIRST_MS)));
}

/// A worker that does not tell its start numbers its announcements anew, and answers for itself.
#[test]
fn a_worker_without_a_start_that_was_given_up_is_used_again() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    for _ in 0..3 {
        answer(&mut alone, CallResult::ConnectionRefused);
        alone.pass(150);
    }
    assert!(alone.reports.last().unwrap().workers[0].gone);
    alone.calls.clear();
    alone.input(Input::WorkerAnnounced(announcement("worker", "pool", 1, None)));
    answer(&mut alone, listed(None, Vec::new()));
    assert!(!alone.reports.last().unwrap().workers[0].gone);
}

/// A late announcement must not have a worker looked at for ever that is not there.
#[test]
fn a_lifetime_that_nobody_answers_for_is_let_be() {
    let mut alone = beside_first();
    alone.calls.clear();
    alone.input(announced(SECOND_MS, 3));
    for _ in 0..60 {
        if let Some(at) = alone.calls.iter().rposition(|(_, it)| is_hold(it)) {
            let (id, _) = alone.calls.remove(at);
            alone.end(id, CallResult::NoAnswer);
        }
        alone.pass(100);
    }
    alone.calls.clear();
    alone.pass(1_000);
    let looks = alone.calls.iter().filter(|(_, it)| is_hold(it)).count();
    assert!(looks <= 1, "{:?}", alone.calls);
}

/// What an earlier lifetime said as it left may come late.
#[test]
fn a_late_word_of_leaving_ends_no_lifetime_that_has_not_said_that_it_drains() {
    let mut alone = beside_first();
    let left =
        |started_unix_ms| Input::WorkerLeft(Departure { id: "worker".into(), started_unix_ms });
    alone.input(left(Some(SECOND_MS)));
    alone.pass(600);
    assert!(!alone.reports.last().unwrap().workers[0].draining);
    alone.input(left(None));
    alone.pass(600);
    let report = &alone.reports.last().unwrap().workers[0];
    assert!(report.draining && !report.gone);
    alone.input(announced(FIRST_MS, 15));
    alone.pass(600);
    assert!(!alone.reports.last().unwrap().workers[0].draining);
}
