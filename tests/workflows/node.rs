//! Tests of a single node core that receives orders, answers and grants in unusual sequences.

use aspenrail::{
    node::{
        Action, Announcement, AnnouncementRejection, CallRefusal, CallResult, Effect, Input,
        NodeCore, NodeOptions,
    },
    prelude::*,
};

use crate::{worker::CAPACITY, world::address};

pub struct NodeHarness {
    node: NodeCore,
    pub now_ms: u64,
    pub calls: Vec<(u64, Action)>,
    /// Fencing token of the newest call.
    pub newest_token: u64,
    pub reports: Vec<NodeReport>,
    /// Destination of each report.
    report_targets: Vec<std::net::SocketAddr>,
    rejections: Vec<AnnouncementRejection>,
}

pub const RUN: RunRef =
    RunRef { run: 1, task: TaskRef { index: 0, occurrence: 0, step: 0, workflow: WorkflowId(7) } };

impl NodeHarness {
    pub fn new() -> NodeHarness {
        NodeHarness::with_worker(false)
    }

    /// Creates a node that has received no announcement.
    pub fn without_worker() -> NodeHarness {
        let options = NodeOptions {
            address: address(200),
            control_addresses: vec![address(0), address(1)],
            boot: 1,
            report_ms: 500,
            retry_ms: 100,
            hold_wait_ms: 1_000,
            watch_wait_ms: 250,
            worker_silent_ms: 2_500,
            harm_max_ms: 4_000,
        };
        let node = NodeCore::new(options);
        let (calls, reports, report_targets) = (Vec::new(), Vec::new(), Vec::new());
        let rejections = Vec::new();
        let newest_token = 0;
        NodeHarness {
            node,
            now_ms: 1_000,
            calls,
            newest_token,
            reports,
            report_targets,
            rejections,
        }
    }

    /// Creates a node that has just started and knows one worker.
    fn with_worker(draining: bool) -> NodeHarness {
        let mut res = NodeHarness::without_worker();
        res.announce(draining, 1);
        res.answer_unconfirmed();
        res
    }

    /// Announces that the known worker drains.
    fn announce_draining(&mut self) {
        self.announce(true, 2);
    }

    fn announce(&mut self, draining: bool, sequence: u64) {
        self.input(Input::WorkerAnnounced(Announcement {
            id: "worker".into(),
            service: "pool".into(),
            zone: "zone".into(),
            kind: "a".into(),
            rack: "r".into(),
            capacity: CAPACITY,
            draining,
            remaining_ms: 0,
            clock_ms: 50_000,
            sequence,
            started_unix_ms: None,
        }));
    }

    /// Answers the poll of an unconfirmed worker with an empty run list.
    fn answer_unconfirmed(&mut self) {
        self.answer_newest_poll_empty();
    }

    pub fn input(&mut self, input: Input) {
        self.now_ms += 1;
        self.node.handle(Now { mono_ms: self.now_ms, wall_ms: 0 }, input);
        for effect in self.node.take_effects() {
            match effect {
                Effect::Call { id, call } => {
                    self.newest_token = call.token;
                    self.calls.push((id, call.action));
                }
                Effect::Send { to, message: Message::NodeReport(it) } => {
                    self.report_targets.push(to);
                    self.reports.push(it);
                }
                Effect::AnnouncementIgnored(it) => self.rejections.push(it),
                Effect::Send { .. } => (),
            }
        }
    }

    pub fn grant(&mut self, is_complete: bool, orders: Vec<RunOrder>) {
        self.grant_with(is_complete, orders, 0);
    }

    /// Answers a report that lists no worker with a grant that holds only a token.
    pub fn grant_without_worker(&mut self, token: u64) {
        let number = self.reports.last().map_or(0, |it| it.number);
        self.input(Input::Message(Box::new(Message::NodeGrant(NodeGrant {
            capacity: Resources { cpu_millicores: 0, memory_mib: 0, accelerators: 0 },
            number,
            sequence: 0,
            sent_ms: 0,
            term: 1,
            token,
            is_complete: false,
            lease_ms: 0,
            worker: CompactString::default(),
            acked_cursor: 0,
            orders: Vec::new(),
            services: Vec::new(),
            costs: Vec::new(),
            members: vec![address(0)],
        }))));
    }

    /// Sends a grant like [`NodeHarness::grant_acked`] that was delayed until its lease is over.
    fn grant_acked_without_lease(&mut self, acked_cursor: u64) {
        let grant = NodeGrant {
            term: 1,
            token: 1 << 24,
            sequence: self.now_ms,
            sent_ms: 1,
            acked_cursor,
            ..grant_of_next_leader(self)
        };
        self.input(Input::Message(Box::new(Message::NodeGrant(grant))));
    }

    /// Sends a grant that acknowledges ended runs up to a cursor.
    pub fn grant_acked(&mut self, acked_cursor: u64) {
        self.grant_with(true, Vec::new(), acked_cursor);
    }

    fn grant_with(&mut self, is_complete: bool, orders: Vec<RunOrder>, acked_cursor: u64) {
        let number = self.reports.last().map_or(0, |it| it.number);
        let worker = self.worker().unwrap_or_default();
        self.input(Input::Message(Box::new(Message::NodeGrant(NodeGrant {
            capacity: crate::worker::CAPACITY,
            number,
            sequence: self.now_ms,
            sent_ms: self.now_ms,
            term: 1,
            token: 1 << 24,
            is_complete,
            lease_ms: 4_000,
            worker,
            acked_cursor,
            orders,
            services: Vec::new(),
            costs: Vec::new(),
            members: vec![address(0)],
        }))));
    }

    /// Returns the name of the worker incarnation in the last report.
    pub fn worker(&self) -> Option<CompactString> {
        Some(self.reports.last()?.workers.first()?.name.clone())
    }

    pub fn take_call(&mut self, is_wanted: fn(&Action) -> bool) -> u64 {
        let index = self.calls.iter().position(|(_, it)| is_wanted(it)).expect("the call was made");
        self.calls.remove(index).0
    }

    pub fn end_call(&mut self, id: u64, result: CallResult) {
        self.input(Input::CallEnded { id, result });
    }

    pub fn answer_poll(&mut self, running: Vec<RunningTask>) {
        let id = self.take_call(is_poll);
        self.end_call(
            id,
            CallResult::RunList {
                clock_ms: 50_100,
                started_unix_ms: None,
                running,
                ended: Vec::new(),
            },
        );
    }

    /// Answers the newest poll with a list without running or ended runs.
    pub fn answer_newest_poll_empty(&mut self) {
        let newest = self.calls.iter().rposition(|(_, it)| is_poll(it)).unwrap();
        let (id, _) = self.calls.remove(newest);
        self.end_call(
            id,
            CallResult::RunList {
                clock_ms: 50_300,
                started_unix_ms: None,
                running: Vec::new(),
                ended: Vec::new(),
            },
        );
    }

    pub fn advance(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        self.input(Input::Tick);
    }

    pub fn refused(&self) -> Vec<RefusalCause> {
        let worker = self.reports.last().and_then(|it| it.workers.first());
        worker.map(|it| it.refused.iter().map(|it| it.cause).collect()).unwrap_or_default()
    }
}

pub fn is_poll(it: &Action) -> bool {
    matches!(it, Action::Poll { .. })
}

pub fn is_start(it: &Action) -> bool {
    matches!(it, Action::Start { .. })
}

pub fn is_stop(it: &Action) -> bool {
    matches!(it, Action::Stop { .. })
}

pub fn start() -> RunOrder {
    RunOrder::Start(StartRun {
        run: RUN,
        payload: "work".into(),
        checkpoint: CompactString::default(),
        role: TaskRole::Plain,
    })
}

pub fn running() -> RunningTask {
    RunningTask { run: RUN, checkpoint: CompactString::default(), progress_percent: 1, load: 0 }
}

/// A start without an answer was repeated for as long as the worker lived, and began on a worker about
/// to leave; its task then ran a second time elsewhere.
#[test]
fn a_start_without_an_answer_is_not_repeated_on_a_worker_that_drains() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, vec![start()]);
    let start_call = harness.take_call(is_start);
    harness.announce_draining();
    assert!(!harness.calls.iter().any(|(_, it)| is_stop(it)), "the call may still be answered");
    harness.end_call(start_call, CallResult::NoAnswer);
    harness.advance(1_000);
    assert!(!harness.calls.iter().any(|(_, it)| is_start(it)), "the start was repeated");
    let stop = harness.take_call(is_stop);
    harness.end_call(stop, CallResult::Done { clock_ms: 50_200 });
    harness.answer_newest_poll_empty();
    assert_eq!(harness.refused(), [RefusalCause::Leaving]);
}

#[test]
fn a_start_that_the_leader_no_longer_lists_is_barred_and_reported_only_then() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, vec![start()]);
    let start_call = harness.take_call(is_start);
    harness.end_call(start_call, CallResult::NoAnswer);
    harness.grant(true, Vec::new());
    assert_eq!(harness.refused(), []);
    let stop = harness.take_call(is_stop);
    harness.end_call(stop, CallResult::Done { clock_ms: 50_200 });
    assert_eq!(harness.refused(), [], "the run list that proves the refusal has not arrived yet");
    harness.answer_newest_poll_empty();
    assert_eq!(harness.refused(), [RefusalCause::Superseded]);
}

#[test]
fn a_start_under_way_that_the_list_shows_is_not_withdrawn() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, vec![start()]);
    let pending_start = harness.take_call(is_start);
    // The worker's list shows the run before the answer to the start arrives, so the leader no
    // longer orders the start.
    harness.advance(10);
    harness.answer_poll(vec![running()]);
    harness.grant(true, Vec::new());
    assert!(!harness.calls.iter().any(|(_, it)| is_stop(it)), "{:?}", harness.calls);
    harness.end_call(pending_start, CallResult::Done { clock_ms: 50_300 });
    assert_eq!(harness.refused(), []);
}

#[test]
fn a_refused_start_is_stopped_before_the_leader_hears_of_it() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, vec![start()]);
    let id = harness.take_call(is_start);
    harness.end_call(id, CallResult::Refused { clock_ms: 50_200, cause: CallRefusal::Room });
    assert_eq!(harness.refused(), [], "an earlier call might still start the run");
    assert!(harness.calls.iter().any(|(_, it)| is_stop(it)));
}

#[test]
fn a_start_for_a_leaving_worker_is_barred_before_the_leader_hears_of_it() {
    // The node has just started: a call of the previous process may still be in transit.
    let mut harness = NodeHarness::with_worker(true);
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, vec![start()]);
    assert_eq!(harness.refused(), [], "an earlier call might still start the run");
    let stop = harness.take_call(is_stop);
    harness.end_call(stop, CallResult::Done { clock_ms: 50_200 });
    harness.answer_newest_poll_empty();
    assert_eq!(harness.refused(), [RefusalCause::Leaving]);
    assert!(!harness.calls.iter().any(|(_, it)| is_start(it)), "{:?}", harness.calls);
}

#[test]
fn a_run_that_began_after_a_list_was_asked_for_is_kept() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, vec![start()]);
    // The list was requested before the start, and its answer arrives after that of the start.
    let poll = harness.take_call(is_poll);
    let start_call = harness.take_call(is_start);
    harness.end_call(start_call, CallResult::Done { clock_ms: 50_200 });
    harness.end_call(
        poll,
        CallResult::RunList {
            clock_ms: 50_150,
            started_unix_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
        },
    );
    harness.advance(600);
    let reported_runs = harness.reports.last().unwrap().workers[0].running.iter().map(|it| it.run);
    assert_eq!(
        reported_runs.collect::<Vec<_>>(),
        [RUN],
        "the leader would start the run again, here or on another worker"
    );
    // A list requested after the start is authoritative.
    harness.answer_poll(Vec::new());
    harness.advance(600);
    assert!(harness.reports.last().unwrap().workers[0].running.is_empty());
}

#[test]
fn reports_of_ends_within_a_commit_are_no_sign_of_a_silent_leader() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.grant(true, Vec::new());
    let leader = harness.report_targets.last().copied();
    for cursor in 1..=4_u64 {
        let end = RunEnd { run: RUN, outcome: RunOutcome::Failed, checkpoint: "".into() };
        let ended = vec![EndedRun { cursor, end }];
        harness.advance(100);
        let id = harness.take_call(is_poll);
        harness.end_call(
            id,
            CallResult::RunList {
                clock_ms: 50_200,
                started_unix_ms: None,
                running: Vec::new(),
                ended,
            },
        );
        let target = harness.report_targets.last().copied();
        assert_eq!(target, leader, "report {cursor} was sent to another control process");
    }
}

#[test]
fn nothing_starts_without_a_lease() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    harness.now_ms += 5_000;
    let grant = NodeGrant {
        capacity: crate::worker::CAPACITY,
        number: 1,
        sequence: 1_000_000,
        sent_ms: 0,
        term: 1,
        token: 1 << 24,
        is_complete: true,
        lease_ms: 4_000,
        worker: "worker".into(),
        acked_cursor: 0,
        orders: vec![start()],
        services: Vec::new(),
        costs: Vec::new(),
        members: Vec::new(),
    };
    harness.input(Input::Message(Box::new(Message::NodeGrant(grant))));
    assert!(!harness.calls.iter().any(|(_, it)| is_start(it)), "{:?}", harness.calls);
}

#[test]
fn a_lease_is_never_longer_on_the_workers_clock_than_granted() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    let lease_end_ms = harness.calls.iter().find_map(|(_, it)| match it {
        Action::Poll { lease_until_ms, .. } => Some(*lease_until_ms),
        _ => None,
    });
    // The worker's clock showed 50 000 when the node's showed 1 001; the lease ends 4 s after 1 001.
    assert_eq!(lease_end_ms, Some(Some(54_000)));
}

/// Returns the first grant of the next leader, which holds no orders yet.
fn grant_of_next_leader(harness: &NodeHarness) -> NodeGrant {
    NodeGrant {
        capacity: crate::worker::CAPACITY,
        number: 1,
        sequence: 1,
        sent_ms: harness.now_ms,
        term: 2,
        token: 2 << 24,
        is_complete: false,
        lease_ms: 4_000,
        worker: "worker".into(),
        acked_cursor: 0,
        orders: Vec::new(),
        services: Vec::new(),
        costs: Vec::new(),
        members: vec![address(0)],
    }
}

/// A stop gets no answer, and another leader takes over. Repeated with its token, the stop would
/// end a run that it counts as at work.
#[test]
fn a_stop_of_an_earlier_leader_is_not_repeated() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(vec![running()]);
    harness.grant(true, vec![RunOrder::Stop(RUN)]);
    let stop = harness.take_call(is_stop);
    harness.input(Input::Message(Box::new(Message::NodeGrant(grant_of_next_leader(&harness)))));
    harness.end_call(stop, CallResult::NoAnswer);
    for _ in 0..10 {
        harness.advance(200);
    }
    assert!(!harness.calls.iter().any(|(_, it)| is_stop(it)), "{:?}", harness.calls);
}

#[test]
fn orders_of_an_earlier_leader_are_passed_over() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(Vec::new());
    let mut newer_grant = grant_of_next_leader(&harness);
    harness.input(Input::Message(Box::new(Message::NodeGrant(newer_grant.clone()))));
    newer_grant.term = 1;
    newer_grant.orders = vec![start()];
    harness.input(Input::Message(Box::new(Message::NodeGrant(newer_grant))));
    assert!(!harness.calls.iter().any(|(_, it)| is_start(it)), "{:?}", harness.calls);
}

fn announced(id: &str, service: &str, sequence: u64) -> Input {
    Input::WorkerAnnounced(announcement(id, service, sequence, None))
}

pub fn announcement(
    id: &str,
    service: &str,
    sequence: u64,
    started_unix_ms: Option<u64>,
) -> Announcement {
    Announcement {
        id: id.into(),
        service: service.into(),
        zone: "zone".into(),
        kind: "a".into(),
        rack: "r".into(),
        capacity: CAPACITY,
        draining: false,
        remaining_ms: 0,
        clock_ms: 50_050,
        sequence,
        started_unix_ms,
    }
}

#[test]
fn a_worker_of_a_pool_that_no_configuration_names_takes_nobodys_place() {
    let mut harness = NodeHarness::new();
    let grant = |services: Vec<CompactString>| NodeGrant {
        capacity: crate::worker::CAPACITY,
        number: 1,
        sequence: services.len() as u64,
        sent_ms: 1_000,
        term: 1,
        token: 1 << 24,
        is_complete: false,
        lease_ms: 4_000,
        worker: "worker".into(),
        acked_cursor: 0,
        orders: Vec::new(),
        services,
        costs: Vec::new(),
        members: Vec::new(),
    };
    let grant_input = |it: NodeGrant| Input::Message(Box::new(Message::NodeGrant(it)));
    harness.input(grant_input(grant(vec!["pool".into()])));
    harness.input(announced("other", "elsewhere", 1));
    assert_eq!(harness.rejections, [AnnouncementRejection::UnknownService]);
    harness.advance(600);
    assert_eq!(harness.reports.last().unwrap().workers[0].name, "worker");
    // Once the configuration names the pool, a new worker of it replaces the previous one.
    harness.input(grant_input(grant(vec!["pool".into(), "elsewhere".into()])));
    harness.input(announced("other", "elsewhere", 2));
    harness.answer_unconfirmed();
    harness.advance(600);
    assert_eq!(harness.reports.last().unwrap().workers[0].name, "other");
}

#[test]
fn a_report_of_an_earlier_lifetime_that_comes_late_changes_nothing() {
    let mut harness = NodeHarness::new();
    harness.input(announced("newer", "pool", 1));
    harness.answer_unconfirmed();
    harness.input(announced("worker", "pool", 9));
    harness.advance(600);
    assert_eq!(harness.reports.last().unwrap().workers[0].name, "newer");
}

#[test]
fn a_list_with_unreadable_rows_ends_no_run_and_proves_no_refusal() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(vec![running()]);
    let partial_list = |ended: Vec<EndedRun>| CallResult::PartialRunList {
        clock_ms: 50_100,
        started_unix_ms: None,
        running: Vec::new(),
        ended,
        ended_after_unreadable: Vec::new(),
        unreadable_rows: 1,
    };
    harness.advance(300);
    let id = harness.take_call(is_poll);
    harness.end_call(id, partial_list(Vec::new()));
    harness.advance(600);
    let worker_report = &harness.reports.last().unwrap().workers[0];
    assert_eq!(worker_report.running.iter().map(|it| it.run).collect::<Vec<_>>(), [RUN]);
    // The end that precedes the unreadable row is still reported.
    let end = RunEnd { run: RUN, outcome: RunOutcome::Done, checkpoint: "".into() };
    let id = harness.take_call(is_poll);
    harness.end_call(id, partial_list(vec![EndedRun { cursor: 1, end }]));
    harness.advance(600);
    let report = &harness.reports.last().unwrap().workers[0];
    assert_eq!((report.running.len(), report.ended.len()), (0, 1));
}

#[test]
fn rows_that_stay_unreadable_are_passed_over_in_the_end() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    let reported_ends = |it: &NodeHarness| it.reports.last().unwrap().workers[0].ended.len();
    for _ in 0..8 {
        assert_eq!(
            reported_ends(&harness),
            0,
            "acknowledging this end would acknowledge the unreadable rows too"
        );
        let id = harness.take_call(is_poll);
        let end = RunEnd { run: RUN, outcome: RunOutcome::Done, checkpoint: "".into() };
        harness.end_call(
            id,
            CallResult::PartialRunList {
                clock_ms: 50_100,
                started_unix_ms: None,
                running: Vec::new(),
                ended: Vec::new(),
                ended_after_unreadable: vec![EndedRun { cursor: 5, end }],
                unreadable_rows: 2,
            },
        );
        harness.advance(300);
        harness.grant(false, Vec::new());
    }
    assert_eq!(
        harness.reports.last().unwrap().workers[0].term,
        1,
        "the leader may place work on this worker again"
    );
    assert_eq!(reported_ends(&harness), 1, "the ends after the unreadable rows are reported");
}

/// A worker limits the number of ends in one list. A run that such a list shows neither as running
/// nor as ended may still have ended, however often the list is repeated.
#[test]
fn a_list_that_is_cut_short_proves_nothing_by_absence() {
    let mut harness = NodeHarness::new();
    harness.grant(false, Vec::new());
    harness.answer_poll(vec![running()]);
    let end = RunEnd {
        run: RunRef { run: 2, ..RUN },
        outcome: RunOutcome::Done,
        checkpoint: CompactString::default(),
    };
    for _ in 0..12 {
        harness.advance(300);
        let id = harness.take_call(is_poll);
        let partial_list = CallResult::PartialRunList {
            clock_ms: 50_100,
            started_unix_ms: None,
            running: Vec::new(),
            ended: vec![EndedRun { cursor: 1, end: end.clone() }],
            ended_after_unreadable: Vec::new(),
            unreadable_rows: 0,
        };
        harness.end_call(id, partial_list);
    }
    harness.advance(600);
    let worker_report = &harness.reports.last().unwrap().workers[0];
    assert_eq!(worker_report.running.iter().map(|it| it.run).collect::<Vec<_>>(), [RUN]);
    assert_eq!(worker_report.ended.len(), 1);
}

fn failed(cursor: u64) -> EndedRun {
    let (outcome, checkpoint) = (RunOutcome::Failed, CompactString::default());
    EndedRun { cursor, end: RunEnd { run: RUN, outcome, checkpoint } }
}

impl NodeHarness {
    /// Returns the maximum wait of the poll in progress.
    fn wait_ms(&self) -> u64 {
        let poll_wait_ms = |it: &(u64, Action)| match it.1 {
            Action::Poll { wait_ms, .. } => Some(wait_ms),
            _ => None,
        };
        self.calls.iter().find_map(poll_wait_ms).unwrap()
    }

    /// Returns the lease in the newest poll, if it carries one.
    fn lease_until_ms(&self) -> Option<u64> {
        self.calls.iter().rev().find_map(|(_, it)| match it {
            Action::Poll { lease_until_ms, .. } => Some(*lease_until_ms),
            _ => None,
        })?
    }

    /// Answers the newest poll with ended runs.
    fn list_ends(&mut self, ended: Vec<EndedRun>) {
        let newest = self.calls.iter().rposition(|(_, it)| is_poll(it)).unwrap();
        let (id, _) = self.calls.remove(newest);
        let clock_ms = self.now_ms + 49_000;
        self.end_call(id, list(clock_ms, ended));
    }

    /// Answers the poll in progress with a failed run; returns the noted ends in the latest report.
    fn list_failure(&mut self) -> NotedEnds {
        let id = self.take_call(is_poll);
        let clock_ms = self.now_ms + 49_000;
        self.end_call(
            id,
            CallResult::RunList {
                clock_ms,
                started_unix_ms: None,
                running: Vec::new(),
                ended: vec![failed(1)],
            },
        );
        self.reports.last().unwrap().workers[0].noted
    }
}

/// The node polls a worker whose lease may have expired without a wait. A run in that list had ended
/// before the worker received a new lease, and its end was never acknowledged.
#[test]
fn a_failure_before_a_lapse_is_told_as_such() {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    assert_eq!(harness.wait_ms(), 1_000);
    let id = harness.take_call(is_poll);
    harness.now_ms += 6_000;
    harness.end_call(id, CallResult::NoAnswer);
    harness.now_ms += 200;
    harness.input(Input::Tick);
    assert_eq!(harness.wait_ms(), 0);
    let noted = harness.list_failure();
    assert!(noted.has_lapsed(1), "{noted:?}");
}

fn list(clock_ms: u64, ended: Vec<EndedRun>) -> CallResult {
    CallResult::RunList { clock_ms, started_unix_ms: None, running: Vec::new(), ended }
}

/// A node that was paused for longer than a lease sends the acknowledgement of a failure first, and
/// then lists ends after it. The leader hears of the lapse only then, and counted the failure.
#[test]
fn a_lapse_is_reported_though_later_ends_were_listed_since() {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    harness.list_failure();
    harness.now_ms += 6_000;
    harness.input(Input::Tick);
    let noted = harness.list_failure();
    assert!(noted.has_lapsed(1), "{noted:?}");
    harness.grant_acked_without_lease(1);
    harness.advance(110);
    for _ in 0..2 {
        harness.list_ends(vec![failed(2)]);
        harness.advance(110);
    }
    let noted = harness.reports.last().unwrap().workers[0].noted;
    assert!(noted.has_lapsed(1) && noted.has_lapsed(2), "{noted:?}");
}

/// The acknowledgement of a failure arrives in the last milliseconds of the lease. Sent at once, it
/// reached the worker just before or just after the lapse.
#[test]
fn an_acknowledgement_waits_where_the_lease_ends() {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    let lease_end_ms = harness.lease_until_ms().expect("the worker has a lease");
    harness.list_failure();
    // The worker's clock is 49 s ahead of the node's.
    harness.now_ms = lease_end_ms - 49_000 - 10;
    harness.calls.clear();
    harness.grant_acked(1);
    let noted = loop {
        let is_over = lease_end_ms < harness.now_ms + 49_000;
        let carries_nothing = |it: &(u64, Action)| match it.1 {
            Action::Poll { lease_until_ms, acked_cursor, .. } => {
                (lease_until_ms, acked_cursor) == (None, 0)
            }
            _ => false,
        };
        assert!(is_over || harness.calls.iter().all(carries_nothing), "{:?}", harness.calls);
        if is_over && harness.lease_until_ms().is_some() {
            harness.list_ends(vec![failed(1)]);
            break harness.reports.last().unwrap().workers[0].noted;
        }
        if !harness.calls.is_empty() {
            harness.list_ends(vec![failed(1)]);
        }
        harness.advance(20);
    };
    assert!(noted.has_lapsed(1), "{noted:?}");
}

/// The poll that renewed a lapsed lease was replaced by one for the next leader. Its answer shows
/// that the failure lapsed; without it the next poll seemed to acknowledge the failure in time.
#[test]
fn a_lapse_shown_by_a_replaced_poll_is_reported() {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    harness.list_failure();
    harness.now_ms += 6_000;
    harness.grant_acked(1);
    let replaced = harness.calls.iter().rposition(|(_, it)| is_poll(it)).unwrap();
    let (replaced, _) = harness.calls.remove(replaced);
    harness.input(Input::Message(Box::new(Message::NodeGrant(grant_of_next_leader(&harness)))));
    let clock_ms = harness.now_ms + 49_000;
    harness.end_call(replaced, list(clock_ms, vec![failed(1)]));
    harness.list_ends(Vec::new());
    harness.advance(600);
    let noted = harness.reports.last().unwrap().workers[0].noted;
    assert!(!noted.is_noted(1), "{noted:?}");
}

/// A poll with an acknowledgement got no answer. Whether it arrived shows in the next list.
#[yare::parameterized(
    arrived = { Vec::new(), true },
    lost = { vec![failed(1)], false },
)]
fn an_acknowledgement_without_an_answer_shows_in_the_next_list(
    ended: Vec<EndedRun>,
    is_noted: bool,
) {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    harness.list_failure();
    harness.grant_acked(1);
    harness.advance(110);
    let id = harness.take_call(is_poll);
    harness.end_call(id, CallResult::NoAnswer);
    harness.now_ms += 6_000;
    harness.input(Input::Tick);
    harness.list_ends(ended);
    let noted = harness.reports.last().unwrap().workers[0].noted;
    assert_eq!((noted.is_noted(1), noted.has_lapsed(1)), (is_noted, !is_noted), "{noted:?}");
}

/// A worker crashes while its node is cut off, and the next incarnation registers. Only the node
/// knows which acknowledgements the first one received.
#[test]
fn the_last_report_on_an_incarnation_comes_with_the_first_on_the_next() {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    harness.list_failure();
    harness.input(Input::WorkerAnnounced(announcement("worker-2", "pool", 1, Some(7))));
    let id = harness.calls.iter().rposition(|(_, it)| is_poll(it)).unwrap();
    let (id, _) = harness.calls.remove(id);
    let started_unix_ms = Some(7);
    let (running, ended) = (Vec::new(), Vec::new());
    harness.end_call(id, CallResult::RunList { clock_ms: 90, started_unix_ms, running, ended });
    let workers = &harness.reports.last().unwrap().workers;
    assert_eq!((workers[0].name.as_str(), workers[0].gone), ("worker-2@7", false));
    assert_eq!((workers[1].name.as_str(), workers[1].gone), ("worker", true));
    assert!(!workers[1].noted.is_noted(1), "{:?}", workers[1].noted);
    harness.grant(true, Vec::new());
    harness.advance(600);
    assert_eq!(harness.reports.last().unwrap().workers.len(), 1, "the leader knows it by now");
}

/// A failure that completes a waiting poll happened within the lease. Reporting it as lapsed allowed
/// tasks to start again after their last attempt.
#[test]
fn a_failure_under_the_lease_waits_for_its_acknowledgement() {
    let mut harness = NodeHarness::new();
    harness.grant(true, Vec::new());
    harness.answer_poll(Vec::new());
    harness.now_ms += 900;
    let noted = harness.list_failure();
    assert!(!noted.has_lapsed(1) && !noted.is_noted(1), "{noted:?}");
}

/// A grant sent over an abandoned connection can arrive after newer ones. The runs that it orders
/// have been concluded by then, and their tasks may run on other workers.
#[yare::parameterized(
    of_an_earlier_enrolment = { (1 << 24) + 1, 9, false },
    overtaken = { (1 << 24) + 2, 4, false },
    newest = { (1 << 24) + 2, 6, true },
)]
fn a_late_grant_is_passed_over(token: u64, sequence: u64, is_applied: bool) {
    let mut harness = NodeHarness::new();
    let grant = |token, sequence, orders| {
        Input::Message(Box::new(Message::NodeGrant(NodeGrant {
            capacity: crate::worker::CAPACITY,
            number: 1,
            sequence,
            sent_ms: 1_000,
            term: 1,
            token,
            is_complete: true,
            lease_ms: 4_000,
            worker: "worker".into(),
            acked_cursor: 0,
            orders,
            services: Vec::new(),
            costs: Vec::new(),
            members: vec![address(0)],
        })))
    };
    harness.input(grant((1 << 24) + 2, 5, Vec::new()));
    harness.input(grant(token, sequence, vec![start()]));
    assert_eq!(harness.calls.iter().any(|(_, it)| is_start(it)), is_applied);
}
