//! A node alone: what it does with orders, answers and grants that come in odd orders.

use aspenrail::{
    node::{
        Action, Announcement, AnnouncementRejection, CallRefusal, CallResult, Effect, Input,
        NodeCore, NodeOptions,
    },
    prelude::*,
};

use crate::{worker::CAPACITY, world::address};

pub struct Alone {
    node: NodeCore,
    pub now_ms: u64,
    pub calls: Vec<(u64, Action)>,
    pub reports: Vec<NodeReport>,
    /// Whom each report was sent to.
    asked: Vec<std::net::SocketAddr>,
    passed_over: Vec<AnnouncementRejection>,
}

pub const RUN: RunRef =
    RunRef { run: 1, task: TaskRef { index: 0, occurrence: 0, step: 0, workflow: WorkflowId(7) } };

impl Alone {
    pub fn new() -> Alone {
        Alone::beside(false)
    }

    /// Makes a node that has heard of no worker.
    pub fn without_worker() -> Alone {
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
        let (calls, reports, asked) = (Vec::new(), Vec::new(), Vec::new());
        let passed_over = Vec::new();
        Alone { node, now_ms: 1_000, calls, reports, asked, passed_over }
    }

    /// Makes a node that has just started beside a worker.
    fn beside(draining: bool) -> Alone {
        let mut res = Alone::without_worker();
        res.input(Input::WorkerAnnounced(Announcement {
            id: "worker".into(),
            service: "pool".into(),
            zone: "zone".into(),
            kind: "a".into(),
            rack: "r".into(),
            capacity: CAPACITY,
            draining,
            remaining_ms: 0,
            clock_ms: 50_000,
            sequence: 1,
            started_unix_ms: None,
        }));
        res.answer_newcomer();
        res
    }

    /// Lets a lifetime that has announced itself answer the look that it is given: nothing runs.
    fn answer_newcomer(&mut self) {
        self.list_newest();
    }

    pub fn input(&mut self, input: Input) {
        self.now_ms += 1;
        self.node.handle(Now { mono_ms: self.now_ms, wall_ms: 0 }, input);
        for effect in self.node.take_effects() {
            match effect {
                Effect::Call { id, call } => self.calls.push((id, call.action)),
                Effect::Send { to, message: Message::NodeReport(it) } => {
                    self.asked.push(to);
                    self.reports.push(it);
                }
                Effect::AnnouncementIgnored(it) => self.passed_over.push(it),
                Effect::Send { .. } => (),
            }
        }
    }

    pub fn grant(&mut self, is_complete: bool, orders: Vec<RunOrder>) {
        self.grant_with(is_complete, orders, 0);
    }

    /// Answers a report of no worker, with a token.
    pub fn grant_nothing(&mut self, token: u64) {
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

    /// Takes note of ends up to a cursor.
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

    /// Returns the name of the lifetime that was reported last.
    pub fn worker(&self) -> Option<CompactString> {
        Some(self.reports.last()?.workers.first()?.name.clone())
    }

    pub fn take_call(&mut self, wanted: fn(&Action) -> bool) -> u64 {
        let at = self.calls.iter().position(|(_, it)| wanted(it)).expect("the call was made");
        self.calls.remove(at).0
    }

    pub fn end(&mut self, id: u64, result: CallResult) {
        self.input(Input::CallEnded { id, result });
    }

    pub fn list(&mut self, running: Vec<RunningTask>) {
        let id = self.take_call(is_hold);
        self.end(
            id,
            CallResult::RunList {
                clock_ms: 50_100,
                started_unix_ms: None,
                running,
                ended: Vec::new(),
            },
        );
    }

    /// Answers the newest call for a list: nothing runs, and nothing has ended.
    pub fn list_newest(&mut self) {
        let newest = self.calls.iter().rposition(|(_, it)| is_hold(it)).unwrap();
        let (id, _) = self.calls.remove(newest);
        self.end(
            id,
            CallResult::RunList {
                clock_ms: 50_300,
                started_unix_ms: None,
                running: Vec::new(),
                ended: Vec::new(),
            },
        );
    }

    pub fn pass(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        self.input(Input::Tick);
    }

    pub fn refused(&self) -> Vec<RefusalCause> {
        let worker = self.reports.last().and_then(|it| it.workers.first());
        worker.map(|it| it.refused.iter().map(|it| it.cause).collect()).unwrap_or_default()
    }
}

pub fn is_hold(it: &Action) -> bool {
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

#[test]
fn a_start_that_the_leader_no_longer_lists_is_barred_and_reported_only_then() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.grant(true, vec![start()]);
    let first = alone.take_call(is_start);
    alone.end(first, CallResult::NoAnswer);
    alone.grant(true, Vec::new());
    assert_eq!(alone.refused(), []);
    let stop = alone.take_call(is_stop);
    alone.end(stop, CallResult::Done { clock_ms: 50_200 });
    assert_eq!(alone.refused(), [], "the list that proves it was not read yet");
    alone.list_newest();
    assert_eq!(alone.refused(), [RefusalCause::Superseded]);
}

#[test]
fn a_start_under_way_that_the_list_shows_is_not_withdrawn() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.grant(true, vec![start()]);
    let under_way = alone.take_call(is_start);
    // The worker's list shows the run before the answer to the start is here, so the leader
    // orders it no more.
    alone.pass(10);
    alone.list(vec![running()]);
    alone.grant(true, Vec::new());
    assert!(!alone.calls.iter().any(|(_, it)| is_stop(it)), "{:?}", alone.calls);
    alone.end(under_way, CallResult::Done { clock_ms: 50_300 });
    assert_eq!(alone.refused(), []);
}

#[test]
fn a_refused_start_is_stopped_before_the_leader_hears_of_it() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.grant(true, vec![start()]);
    let id = alone.take_call(is_start);
    alone.end(id, CallResult::Refused { clock_ms: 50_200, cause: CallRefusal::Room });
    assert_eq!(alone.refused(), [], "an earlier call might still begin it");
    assert!(alone.calls.iter().any(|(_, it)| is_stop(it)));
}

#[test]
fn a_start_for_a_leaving_worker_is_barred_before_the_leader_hears_of_it() {
    // The node has just started: a call of the process before it may still be on its way.
    let mut alone = Alone::beside(true);
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.grant(true, vec![start()]);
    assert_eq!(alone.refused(), [], "an earlier call might still begin it");
    let stop = alone.take_call(is_stop);
    alone.end(stop, CallResult::Done { clock_ms: 50_200 });
    alone.list_newest();
    assert_eq!(alone.refused(), [RefusalCause::Leaving]);
    assert!(!alone.calls.iter().any(|(_, it)| is_start(it)), "{:?}", alone.calls);
}

#[test]
fn a_run_that_began_after_a_list_was_asked_for_is_kept() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.grant(true, vec![start()]);
    // The list was asked for before the start, and its answer comes after that of the start.
    let hold = alone.take_call(is_hold);
    let begun = alone.take_call(is_start);
    alone.end(begun, CallResult::Done { clock_ms: 50_200 });
    alone.end(
        hold,
        CallResult::RunList {
            clock_ms: 50_150,
            started_unix_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
        },
    );
    alone.pass(600);
    let listed = alone.reports.last().unwrap().workers[0].running.iter().map(|it| it.run);
    assert_eq!(listed.collect::<Vec<_>>(), [RUN], "the leader would order it anew, or elsewhere");
    // A later list shows what is true.
    alone.list(Vec::new());
    alone.pass(600);
    assert!(alone.reports.last().unwrap().workers[0].running.is_empty());
}

#[test]
fn reports_of_ends_within_a_commit_are_no_sign_of_a_silent_leader() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.grant(true, Vec::new());
    let leader = alone.asked.last().copied();
    for cursor in 1..=4_u64 {
        let end = RunEnd { run: RUN, outcome: RunOutcome::Failed, checkpoint: "".into() };
        let ended = vec![EndedRun { cursor, end }];
        alone.pass(100);
        let id = alone.take_call(is_hold);
        alone.end(
            id,
            CallResult::RunList {
                clock_ms: 50_200,
                started_unix_ms: None,
                running: Vec::new(),
                ended,
            },
        );
        let asked = alone.asked.last().copied();
        assert_eq!(asked, leader, "report {cursor} went to another process");
    }
}

#[test]
fn nothing_starts_without_a_lease() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    alone.now_ms += 5_000;
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
    alone.input(Input::Message(Box::new(Message::NodeGrant(grant))));
    assert!(!alone.calls.iter().any(|(_, it)| is_start(it)), "{:?}", alone.calls);
}

#[test]
fn a_lease_is_never_longer_on_the_workers_clock_than_granted() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    let hold = alone.calls.iter().find_map(|(_, it)| match it {
        Action::Poll { lease_until_ms, .. } => Some(*lease_until_ms),
        _ => None,
    });
    // The worker's clock read 50 000 when the node's read 1 001; the lease ends 4 s after 1 001.
    assert_eq!(hold, Some(Some(54_000)));
}

#[test]
fn orders_of_an_earlier_leader_are_passed_over() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(Vec::new());
    let mut later = NodeGrant {
        capacity: crate::worker::CAPACITY,
        number: 1,
        sequence: 1,
        sent_ms: alone.now_ms,
        term: 2,
        token: 2 << 24,
        is_complete: false,
        lease_ms: 4_000,
        worker: "worker".into(),
        acked_cursor: 0,
        orders: Vec::new(),
        services: Vec::new(),
        costs: Vec::new(),
        members: Vec::new(),
    };
    alone.input(Input::Message(Box::new(Message::NodeGrant(later.clone()))));
    later.term = 1;
    later.orders = vec![start()];
    alone.input(Input::Message(Box::new(Message::NodeGrant(later))));
    assert!(!alone.calls.iter().any(|(_, it)| is_start(it)), "{:?}", alone.calls);
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
    let mut alone = Alone::new();
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
    let tell = |it: NodeGrant| Input::Message(Box::new(Message::NodeGrant(it)));
    alone.input(tell(grant(vec!["pool".into()])));
    alone.input(announced("other", "elsewhere", 1));
    assert_eq!(alone.passed_over, [AnnouncementRejection::UnknownService]);
    alone.pass(600);
    assert_eq!(alone.reports.last().unwrap().workers[0].name, "worker");
    // The pool is named later, and a new lifetime of it replaces the one before.
    alone.input(tell(grant(vec!["pool".into(), "elsewhere".into()])));
    alone.input(announced("other", "elsewhere", 2));
    alone.answer_newcomer();
    alone.pass(600);
    assert_eq!(alone.reports.last().unwrap().workers[0].name, "other");
}

#[test]
fn a_report_of_an_earlier_lifetime_that_comes_late_changes_nothing() {
    let mut alone = Alone::new();
    alone.input(announced("newer", "pool", 1));
    alone.answer_newcomer();
    alone.input(announced("worker", "pool", 9));
    alone.pass(600);
    assert_eq!(alone.reports.last().unwrap().workers[0].name, "newer");
}

#[test]
fn a_list_with_unreadable_rows_ends_no_run_and_proves_no_refusal() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(vec![running()]);
    let part = |ended: Vec<EndedRun>| CallResult::PartialRunList {
        clock_ms: 50_100,
        started_unix_ms: None,
        running: Vec::new(),
        ended,
        ended_after_unreadable: Vec::new(),
        unreadable_rows: 1,
    };
    alone.pass(300);
    let id = alone.take_call(is_hold);
    alone.end(id, part(Vec::new()));
    alone.pass(600);
    let listed = &alone.reports.last().unwrap().workers[0];
    assert_eq!(listed.running.iter().map(|it| it.run).collect::<Vec<_>>(), [RUN]);
    // The end before the unreadable row is told all the same.
    let end = RunEnd { run: RUN, outcome: RunOutcome::Done, checkpoint: "".into() };
    let id = alone.take_call(is_hold);
    alone.end(id, part(vec![EndedRun { cursor: 1, end }]));
    alone.pass(600);
    let told = &alone.reports.last().unwrap().workers[0];
    assert_eq!((told.running.len(), told.ended.len()), (0, 1));
}

#[test]
fn rows_that_stay_unreadable_are_passed_over_in_the_end() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    let told = |it: &Alone| it.reports.last().unwrap().workers[0].ended.len();
    for _ in 0..8 {
        assert_eq!(told(&alone), 0, "to acknowledge it would be to acknowledge what is unreadable");
        let id = alone.take_call(is_hold);
        let end = RunEnd { run: RUN, outcome: RunOutcome::Done, checkpoint: "".into() };
        alone.end(
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
        alone.pass(300);
        alone.grant(false, Vec::new());
    }
    assert_eq!(alone.reports.last().unwrap().workers[0].term, 1, "the leader may place work again");
    assert_eq!(told(&alone), 1, "and the ends behind the row are told");
}

/// A worker lists so many ends at a time, and no more: what it shows neither as running nor as ended
/// may have ended all the same, however often it says so.
#[test]
fn a_list_that_is_cut_short_proves_nothing_by_absence() {
    let mut alone = Alone::new();
    alone.grant(false, Vec::new());
    alone.list(vec![running()]);
    let end = RunEnd {
        run: RunRef { run: 2, ..RUN },
        outcome: RunOutcome::Done,
        checkpoint: CompactString::default(),
    };
    for _ in 0..12 {
        alone.pass(300);
        let id = alone.take_call(is_hold);
        let part = CallResult::PartialRunList {
            clock_ms: 50_100,
            started_unix_ms: None,
            running: Vec::new(),
            ended: vec![EndedRun { cursor: 1, end: end.clone() }],
            ended_after_unreadable: Vec::new(),
            unreadable_rows: 0,
        };
        alone.end(id, part);
    }
    alone.pass(600);
    let listed = &alone.reports.last().unwrap().workers[0];
    assert_eq!(listed.running.iter().map(|it| it.run).collect::<Vec<_>>(), [RUN]);
    assert_eq!(listed.ended.len(), 1);
}

fn failed(cursor: u64) -> EndedRun {
    let (outcome, checkpoint) = (RunOutcome::Failed, CompactString::default());
    EndedRun { cursor, end: RunEnd { run: RUN, outcome, checkpoint } }
}

impl Alone {
    /// Returns how long the look that is under way may wait.
    fn wait_ms(&self) -> u64 {
        let wait = |it: &(u64, Action)| match it.1 {
            Action::Poll { wait_ms, .. } => Some(wait_ms),
            _ => None,
        };
        self.calls.iter().find_map(wait).unwrap()
    }

    /// Ends the look that is under way with a failure; returns what the leader is told of it.
    fn list_failure(&mut self) -> NotedEnds {
        let id = self.take_call(is_hold);
        let clock_ms = self.now_ms + 49_000;
        self.end(
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

/// A worker whose lease may be over is looked at without a wait: what it lists then had ended before
/// it heard of a new lease, and was never taken note of.
#[test]
fn a_failure_before_a_lapse_is_told_as_such() {
    let mut alone = Alone::new();
    alone.grant(true, Vec::new());
    alone.list(Vec::new());
    assert_eq!(alone.wait_ms(), 1_000);
    let id = alone.take_call(is_hold);
    alone.now_ms += 6_000;
    alone.end(id, CallResult::NoAnswer);
    alone.now_ms += 200;
    alone.input(Input::Tick);
    assert_eq!(alone.wait_ms(), 0);
    let noted = alone.list_failure();
    assert!(noted.has_lapsed(1), "{noted:?}");
}

/// A failure that ended a wait for one came under the lease: to tell it as lapsed let tasks begin
/// again after their last attempt.
#[test]
fn a_failure_under_the_lease_waits_for_its_acknowledgement() {
    let mut alone = Alone::new();
    alone.grant(true, Vec::new());
    alone.list(Vec::new());
    alone.now_ms += 900;
    let noted = alone.list_failure();
    assert!(!noted.has_lapsed(1) && !noted.is_noted(1), "{noted:?}");
}

/// A grant that went over a connection which was given up comes after newer ones: what it orders was
/// concluded meanwhile, and may run elsewhere.
#[yare::parameterized(
    of_an_earlier_enrolment = { (1 << 24) + 1, 9, false },
    overtaken = { (1 << 24) + 2, 4, false },
    newest = { (1 << 24) + 2, 6, true },
)]
fn a_late_grant_is_passed_over(token: u64, sequence: u64, is_taken: bool) {
    let mut alone = Alone::new();
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
    alone.input(grant((1 << 24) + 2, 5, Vec::new()));
    alone.input(grant(token, sequence, vec![start()]));
    assert_eq!(alone.calls.iter().any(|(_, it)| is_start(it)), is_taken);
}
