//! Load beyond what a leader can take, on one leader whose thread and disk take time.
//!
//! The thread of the model takes in or refuses a message in 10 µs and works on a change in 1 ms; the
//! system calls of messages are not part of it. Messages wait in one queue, as in a process.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use aspenrail::{
    control::{
        ControlCore, ControlOptions, Effect, Input,
        dispatch::{DispatchOptions, Features, MemoryLimits, TombstoneLimits},
        log::{DiskWrite, RecoveredState},
    },
    prelude::*,
    schema::settings::ControlSettings,
    util::GroupId,
};

use crate::world::{control_settings, dispatch_options, queues, spec, step, target};

const MESSAGE_US: u64 = 10;
const CHANGE_US: u64 = 1_000;

/// Changes a second that the thread can work on.
const CAPACITY: u64 = 1_000;

/// How long a client waits for its answer, and after which time its gateway sends it again.
const CLIENT_WAIT_MS: u64 = 1_000;
const RESEND_MS: u64 = 300;

const WARM_UP_MS: u64 = 1_000;
const MEASURED_MS: u64 = 1_500;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct Arrival {
    input: Input,
    /// A request that is sent again unless it has been answered.
    copy_of: Option<u64>,
}

/// A named load on the leader.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// New submissions, as a multiple of what the thread can work on.
    multiple: u64,
    /// How often a gateway sends a submission again that is not answered.
    resends: u64,
    /// Time that a sync of the disk takes.
    sync_ms: u64,
    /// Submissions that all come in the first millisecond after control was unreachable.
    herd: u64,
}

#[derive(Debug, Default)]
struct Measured {
    /// Submissions accepted while their clients waited.
    goodput: u64,
    /// Longest time from the arrival of a node's report, and of a cancel, until it was handled.
    report_ms: u64,
    change_ms: u64,
    /// Times to return that were given.
    returns_ms: Vec<u64>,
}

struct Leader {
    core: ControlCore,
    now_us: u64,
    /// Messages by arrival; the number keeps those of one microsecond apart.
    arrivals: BTreeMap<(u64, u64), Arrival>,
    next_arrival: u64,
    channel: VecDeque<(u64, Input)>,
    /// End of the sync under way, and whether writes wait for the next one.
    sync_end_us: u64,
    has_next_sync: bool,
    load: Load,
    /// When each request arrived first, and whether it is not answered yet.
    requests: HashMap<u64, (u64, bool)>,
    /// All answers, each with its time.
    answers: Vec<(u64, WorkflowAnswer)>,
    /// When the leader took in each request first.
    taken_in_us: HashMap<u64, u64>,
    measured: Measured,
}

impl Leader {
    fn new(has_overload_control: bool, load: Load) -> Leader {
        Leader::with_tombstones(has_overload_control, load, TombstoneLimits::default())
    }

    fn with_tombstones(
        has_overload_control: bool,
        load: Load,
        tombstones: TombstoneLimits,
    ) -> Leader {
        let member = Member { id: MemberId(1), address: address(1) };
        let recovered = RecoveredState {
            initial_members: Membership { voters: vec![member], learners: Vec::new() },
            ..RecoveredState::default()
        };
        let features = Features { overload_control: has_overload_control, ..Features::default() };
        let options = ControlOptions {
            group_id: GroupId { region: 1, group: 1 },
            member: MemberId(1),
            address: address(1),
            control_addresses: vec![address(1)],
            settings: ControlSettings { snapshot_entries: 1_000_000, ..control_settings() },
            boot: 7,
            dispatch: Some(DispatchOptions { features, tombstones, ..dispatch_options() }),
            target_voter_count: 0,
        };
        let now = Now { mono_ms: 0, wall_ms: 0 };
        let core = ControlCore::new(options, recovered, now).unwrap();
        let mut res = Leader {
            core,
            now_us: 0,
            arrivals: BTreeMap::new(),
            next_arrival: 0,
            channel: VecDeque::new(),
            sync_end_us: 0,
            has_next_sync: false,
            load: Load::default(),
            requests: HashMap::new(),
            answers: Vec::new(),
            taken_in_us: HashMap::new(),
            measured: Measured::default(),
        };
        res.run_until(4_000);
        res.arrive_call(4_000_000, u64::MAX, &WorkflowRequest::Install(queues(1)), 0);
        res.run_until(5_000);
        assert_eq!(res.core.state().workflows.config().map(|it| it.version), Some(1));
        res.load = load;
        res
    }

    fn arrive(&mut self, at_us: u64, input: Input, copy_of: Option<u64>) {
        self.next_arrival += 1;
        self.arrivals.insert((at_us, self.next_arrival), Arrival { input, copy_of });
    }

    /// Lets a request arrive, and `resends` copies of it until it is answered.
    fn arrive_call(&mut self, at_us: u64, id: u64, request: &WorkflowRequest, resends: u64) {
        self.requests.insert(id, (at_us, true));
        for copy in 0..=resends {
            let call = WorkflowCall { id, reply_to: address(2), request: request.clone() };
            let remaining_ms = CLIENT_WAIT_MS.saturating_sub(copy * RESEND_MS);
            let message = Message::TimedCall(TimedCall { call, remaining_ms });
            let input = Input::Message { from: address(2), message };
            self.arrive(at_us + copy * RESEND_MS * 1_000, input, (0 < copy).then_some(id));
        }
    }

    fn arrive_submission(&mut self, at_us: u64, id: u64) {
        let spec = spec(vec![step(1, 1, &[])]);
        let submission = WorkflowSubmission { target: target(id), spec };
        let zone = "zone".into();
        let request = WorkflowRequest::SubmitFrom(OriginatedSubmission { zone, submission });
        self.arrive_call(at_us, id, &request, self.load.resends);
    }

    /// Plays the load from now on.
    fn play(mut self) -> Measured {
        let (begin_us, end_ms) = (self.now_us, self.now_us / 1_000 + WARM_UP_MS + MEASURED_MS);
        let duration_us = (WARM_UP_MS + MEASURED_MS) * 1_000;
        (0..self.load.herd).for_each(|it| self.arrive_submission(begin_us, it + 1));
        let count = self.load.multiple * CAPACITY * duration_us / 1_000_000;
        for it in 0..count {
            self.arrive_submission(begin_us + it * duration_us / count, 1_000_000 + it);
        }
        for it in 0..duration_us / 8_000 {
            // 60 nodes report twice a second.
            let report = NodeReport {
                node: address(2_000 + it as u16 % 60),
                boot: 1,
                number: it,
                sent_ms: 0,
                workers: Vec::new(),
            };
            let message = Message::NodeReport(report);
            let input = Input::Message { from: address(3), message };
            self.arrive(begin_us + it * 8_000, input, None);
        }
        for it in 0..duration_us / 100_000 {
            // Each operator's and client's cancel names a workflow that was submitted before.
            let request = WorkflowRequest::Cancel(target(1_000_000 + it));
            self.arrive_call(begin_us + it * 100_000, 1 << 40 | it, &request, 0);
        }
        self.run_until(end_ms);
        self.measured
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_us < end_ms * 1_000 {
            self.take_in();
            let batch: Vec<_> = self.channel.drain(..self.channel.len().min(256)).collect();
            let is_idle = batch.is_empty();
            for (arrived_us, input) in batch {
                self.handle_arrived(arrived_us, input);
                self.take_in();
            }
            let is_tick_due = self.core.next_tick_ms() <= self.now_us / 1_000;
            if is_tick_due {
                self.handle(Input::Tick);
            } else if is_idle {
                let next_us = self.arrivals.keys().next().map_or(u64::MAX, |it| it.0);
                let tick_us = self.core.next_tick_ms().saturating_mul(1_000);
                self.now_us = next_us.min(tick_us).min(end_ms * 1_000).max(self.now_us + 1);
            }
        }
    }

    fn take_in(&mut self) {
        while let Some(first) = self.arrivals.first_entry()
            && first.key().0 <= self.now_us
        {
            let ((arrived_us, _), it) = first.remove_entry();
            let is_answered = |id: u64| self.requests.get(&id).is_none_or(|it| !it.1);
            if !it.copy_of.is_some_and(is_answered) {
                self.channel.push_back((arrived_us, it.input));
            }
        }
    }

    fn handle_arrived(&mut self, arrived_us: u64, input: Input) {
        if let Input::Message { message: Message::TimedCall(it), .. } = &input {
            self.taken_in_us.entry(it.call.id).or_insert(self.now_us);
        }
        let is_report = matches!(&input, Input::Message { message: Message::NodeReport(_), .. });
        self.handle(input);
        if is_report {
            self.measured.report_ms =
                self.measured.report_ms.max((self.now_us - arrived_us) / 1_000);
        }
    }

    /// Handles an input, and lets the time pass that it takes.
    fn handle(&mut self, input: Input) {
        let now_ms = self.now_us / 1_000;
        self.core.handle(Now { mono_ms: now_ms, wall_ms: now_ms }, input).unwrap();
        self.now_us += MESSAGE_US;
        for effect in self.core.take_effects() {
            match effect {
                Effect::Write { number, writes } => self.write(number, &writes),
                Effect::Send { message: Message::WorkflowAnswer(it), .. } => self.note_answer(it),
                _ => (),
            }
        }
    }

    fn write(&mut self, number: u64, writes: &[DiskWrite]) {
        let entries = writes.iter().map(|it| match it {
            DiskWrite::Append(it) => it.len() as u64,
            _ => 0,
        });
        self.now_us += entries.sum::<u64>() * CHANGE_US;
        // Writes that come during a sync share the next one.
        let sync_us = self.load.sync_ms * 1_000;
        if self.has_next_sync && self.sync_end_us <= self.now_us {
            (self.sync_end_us, self.has_next_sync) = (self.sync_end_us + sync_us, false);
        }
        if self.sync_end_us <= self.now_us {
            self.sync_end_us = self.now_us + sync_us;
            return self.arrive(self.sync_end_us, Input::Persisted { number }, None);
        }
        self.has_next_sync = true;
        self.arrive(self.sync_end_us + sync_us, Input::Persisted { number }, None);
    }

    fn note_answer(&mut self, it: WorkflowAnswer) {
        self.answers.push((self.now_us, it.clone()));
        let Some((arrived_us, is_open)) = self.requests.get_mut(&it.id) else { return };
        if !std::mem::take(is_open) {
            return;
        }
        let took_ms = self.now_us.saturating_sub(*arrived_us) / 1_000;
        let is_measured = (5_000 + WARM_UP_MS) * 1_000 <= self.now_us;
        match it.outcome {
            _ if it.id == u64::MAX => (),
            _ if it.id & 1 << 40 != 0 => {
                self.measured.change_ms = self.measured.change_ms.max(took_ms);
            }
            WorkflowOutcome::Accepted if took_ms < CLIENT_WAIT_MS && is_measured => {
                self.measured.goodput += 1;
            }
            WorkflowOutcome::Busy(retry_after_ms) => {
                self.measured.returns_ms.push(retry_after_ms);
            }
            _ => (),
        }
    }
}

/// Longest time that reports of nodes, which renew leases, and cancels may be behind submissions.
/// Nodes report each 500 ms and count as silent after 1,200 ms: two reports, and one that is late.
const DELAY_MAX_MS: u64 = 200;

/// A load grows to ten times what the leader can take: it does at least nine tenths of its best,
/// and what keeps work running is not delayed.
#[yare::parameterized(
    more_clients = { Load { ..NO_LOAD } },
    retry_storm = { Load { resends: 5, ..NO_LOAD } },
    slow_disk = { Load { sync_ms: 50, ..NO_LOAD } },
)]
fn goodput_stays_under_overload(load: Load) {
    let played: Vec<_> = [1, 2, 5, 10]
        .map(|multiple| Leader::new(true, Load { multiple, ..load }).play())
        .into_iter()
        .collect();
    let best = played.iter().map(|it| it.goodput).max().unwrap();
    let seen: Vec<_> = played.iter().map(|it| (it.goodput, it.report_ms, it.change_ms)).collect();
    println!("{load:?}: goodput, delay of reports and of cancels in ms: {seen:?}");
    assert!(MEASURED_MS * CAPACITY / 1_000 / 2 < best, "the best is less than half: {seen:?}");
    assert!(played.iter().all(|it| best * 9 <= it.goodput * 10), "{seen:?}");
    let delay_max_ms = DELAY_MAX_MS + 2 * load.sync_ms;
    assert!(played.iter().all(|it| it.report_ms <= DELAY_MAX_MS), "{seen:?}");
    assert!(played.iter().all(|it| it.change_ms <= delay_max_ms), "{seen:?}");
}

const NO_LOAD: Load = Load { multiple: 0, resends: 0, sync_ms: 0, herd: 0 };

/// Five thousand clients come back in one millisecond beside a usual load. Those that are turned
/// away return spread over the time that the leader takes for them.
#[test]
fn a_herd_that_returns_is_spread() {
    let played = Leader::new(true, Load { multiple: 1, herd: 5_000, ..NO_LOAD }).play();
    assert!(played.report_ms <= DELAY_MAX_MS, "{}", played.report_ms);
    assert!(played.change_ms <= DELAY_MAX_MS, "{}", played.change_ms);
    let mut times = played.returns_ms;
    assert!(1_000 < times.len(), "{} were turned away", times.len());
    times.sort_unstable();
    assert!(1_000 <= times[0], "answers state whole seconds: {}", times[0]);
    let busiest = (0..times.len()).map(|it| {
        let end_ms = times[it] + 1_000;
        times.partition_point(|it| *it < end_ms) - it
    });
    let busiest = busiest.max().unwrap();
    assert!(busiest <= CAPACITY as usize, "{busiest} return in one second");
}

/// Load: two gateways send the same submissions, in a burst of which the leader takes a part. Who is
/// told that a submission was not taken can rely on it: no copy that was there is accepted later.
#[test]
fn no_copy_is_accepted_after_another_was_turned_away() {
    let load = Load { sync_ms: 50, ..NO_LOAD };
    let mut leader = Leader::new(true, load);
    let second_copy = 1 << 32;
    for it in 1..=3_000 {
        let at_us = 5_000_000 + it * 200;
        leader.arrive_submission(at_us, it);
        let zone = "other".into();
        let submission =
            WorkflowSubmission { target: target(it), spec: spec(vec![step(1, 1, &[])]) };
        let request = WorkflowRequest::SubmitFrom(OriginatedSubmission { zone, submission });
        leader.arrive_call(at_us + it % 300 * 1_000, second_copy | it, &request, 0);
    }
    leader.run_until(8_000);
    let copies_of = |it: u64| -> Vec<_> {
        let is_copy = |id: u64| id == it || id == second_copy | it;
        leader.answers.iter().filter(|(_, answer)| is_copy(answer.id)).collect()
    };
    let (mut accepted, mut turned_away) = (0, 0);
    for answers in (1..=3_000).map(copies_of) {
        assert_eq!(answers.len(), 2, "each copy is answered: {answers:?}");
        for (accepted_us, copy) in &answers {
            let WorkflowOutcome::Accepted = copy.outcome else { continue };
            accepted += 1;
            let taken_in_us = leader.taken_in_us[&copy.id];
            let is_false = |(at_us, it): &&(u64, WorkflowAnswer)| {
                matches!(it.outcome, WorkflowOutcome::Busy(_))
                    && (taken_in_us <= *at_us || accepted_us <= at_us)
            };
            assert!(!answers.iter().copied().any(|it| is_false(&it)), "{answers:?}");
        }
        let is_turned_away = |it: &WorkflowAnswer| matches!(it.outcome, WorkflowOutcome::Busy(_));
        turned_away += answers.iter().filter(|it| is_turned_away(&it.1)).count();
    }
    assert!(100 < accepted && 100 < turned_away, "{accepted}, {turned_away}");
}

/// Load: a client among many stops waiting before its turn comes.
#[test]
fn what_nobody_waits_for_is_not_worked_on() {
    let mut leader = Leader::new(true, NO_LOAD);
    (1..=40).for_each(|it| leader.arrive_submission(5_000_000, it));
    let spec = spec(vec![step(1, 1, &[])]);
    let submission = WorkflowSubmission { target: target(1_000), spec };
    let zone = "zone".into();
    let request = WorkflowRequest::SubmitFrom(OriginatedSubmission { zone, submission });
    let call = WorkflowCall { id: 1_000, reply_to: address(2), request };
    let message = Message::TimedCall(TimedCall { call, remaining_ms: 20 });
    leader.arrive(5_000_001, Input::Message { from: address(2), message }, None);
    leader.run_until(8_000);
    assert_eq!(leader.core.intake_counts().expired, 1);
    let workflows = &leader.core.state().workflows;
    assert!(workflows.get(WorkflowId(1_000)).is_none());
    assert!(workflows.get(WorkflowId(40)).is_some());
}

/// Cancels are worked on before submissions. A cancel found no workflow while its submission waited,
/// and the work ran after the cancel had been answered.
#[test]
fn a_cancel_does_not_overtake_its_submission() {
    const CANCEL: u64 = 1 << 40;
    let mut leader = Leader::new(true, NO_LOAD);
    (1..=40).for_each(|it| leader.arrive_submission(5_000_000, it));
    leader.arrive_call(5_000_000, CANCEL, &WorkflowRequest::Cancel(target(40)), 0);
    leader.run_until(8_000);
    let answer = |id: u64| &leader.answers.iter().find(|(_, it)| it.id == id).unwrap().1.outcome;
    assert!(matches!(answer(40), WorkflowOutcome::Busy(_)), "{:?}", answer(40));
    assert_eq!(answer(CANCEL), &WorkflowOutcome::Gone);
    assert_eq!(leader.core.intake_counts().withdrawn, 1);
    assert!(leader.core.state().workflows.get(WorkflowId(40)).is_none());
    assert!(leader.core.state().workflows.get(WorkflowId(39)).is_some());
}

/// Load: a crowd cancels workflows that never existed, at eight times what the leader can commit one by one.
/// Its cancels do not fill what is remembered, and other callers of both kinds are served in time: a
/// client answers within the wait of its gateway, and no one is refused.
#[yare::parameterized(
    in_turns = { true },
    at_once = { false },
)]
fn a_crowd_of_unknown_cancels_delays_nobody(has_overload_control: bool) {
    const CROWD: u64 = 1 << 41;
    const CANCEL: u64 = 1 << 40;
    const DURATION_MS: u64 = 4_000;
    let mut leader = Leader::new(has_overload_control, NO_LOAD);
    let begin_us = leader.now_us;
    for it in 0..DURATION_MS * 8 {
        let request = WorkflowRequest::Cancel(target(CROWD | it));
        leader.arrive_call(begin_us + it * 125, CROWD | it, &request, 0);
    }
    for it in 1..=DURATION_MS / 20 {
        leader.arrive_submission(begin_us + it * 20_000, it);
        // By another entry.
        let request = WorkflowRequest::Cancel(target(CANCEL | it));
        let call = WorkflowCall { id: CANCEL | it, reply_to: address(4), request };
        let message = Message::TimedCall(TimedCall { call, remaining_ms: CLIENT_WAIT_MS });
        let input = Input::Message { from: address(4), message };
        leader.requests.insert(CANCEL | it, (begin_us + it * 20_000, true));
        leader.arrive(begin_us + it * 20_000, input, None);
    }
    leader.run_until(begin_us / 1_000 + DURATION_MS + 2 * CLIENT_WAIT_MS);
    for it in 1..=DURATION_MS / 20 {
        for (id, expected) in
            [(it, WorkflowOutcome::Accepted), (CANCEL | it, WorkflowOutcome::Gone)]
        {
            let (answered_us, answer) =
                leader.answers.iter().find(|(_, answer)| answer.id == id).unwrap();
            assert_eq!(answer.outcome, expected, "{it}");
            let took_ms = (answered_us - (begin_us + it * 20_000)) / 1_000;
            assert!(took_ms <= DELAY_MAX_MS, "{expected:?} after {took_ms} ms");
        }
    }
    let tombstones = leader.core.state().workflows.tombstones();
    assert!(tombstones.len() < TombstoneLimits::default().max / 4, "{}", tombstones.len());
    assert!(tombstones.contains(WorkflowId(CANCEL | 1)));
    assert!(0 < leader.core.refused_cancels());
}

/// The limit on tombstones holds whatever comes; what finds no room is refused and not forgotten.
#[test]
fn the_limit_on_tombstones_holds() {
    const MAX: usize = 40;
    let limits = TombstoneLimits { max: MAX, lifetime_ms: 100 };
    let mut leader = Leader::with_tombstones(true, NO_LOAD, limits);
    let begin_us = leader.now_us;
    for it in 1..=400 {
        let request = WorkflowRequest::Cancel(target(it));
        leader.arrive_call(begin_us + it * 100, it, &request, 0);
    }
    leader.run_until(begin_us / 1_000 + 1_000);
    let is_gone = |it: &&(u64, WorkflowAnswer)| it.1.outcome == WorkflowOutcome::Gone;
    assert_eq!(leader.answers.iter().filter(is_gone).count(), MAX);
    assert_eq!(leader.core.state().workflows.tombstones().len(), MAX);
    assert_eq!(leader.core.refused_cancels(), 400 - MAX as u64);
    leader.run_until(begin_us / 1_000 + 10_000);
    assert!(leader.core.state().workflows.tombstones().is_empty());
}

/// Load: large submissions, more than the leader has memory for. What it refuses is not stored, and an
/// ordinary submission finds room.
#[yare::parameterized(
    in_turns = { true },
    at_once = { false },
)]
fn large_submissions_leave_room_for_ordinary_ones(has_overload_control: bool) {
    const LARGE: u64 = 200;
    let mut leader = Leader::new(has_overload_control, Load::default());
    let begin_us = leader.now_us;
    let request = |id, payload: String| {
        let spec = WorkflowSpec { payload: payload.into(), ..spec(vec![step(1, 1, &[])]) };
        let submission = WorkflowSubmission { target: target(id), spec };
        WorkflowRequest::SubmitFrom(OriginatedSubmission { zone: "zone".into(), submission })
    };
    for id in 1..=LARGE {
        let large = request(id, "x".repeat(1 << 20));
        leader.arrive_call(begin_us + id * 10_000, id, &large, 0);
    }
    leader.arrive_call(begin_us + 3_000_000, LARGE + 1, &request(LARGE + 1, "x".to_owned()), 0);
    leader.run_until(begin_us / 1_000 + 4_000);
    let workflows = &leader.core.state().workflows;
    assert!(workflows.memory_bytes() <= MemoryLimits::default().workflows_max_bytes);
    let mut accepted = 0;
    for id in 1..=LARGE + 1 {
        let answer = leader.answers.iter().find(|(_, it)| it.id == id).unwrap();
        let is_accepted = answer.1.outcome == WorkflowOutcome::Accepted;
        let is_refused = matches!(answer.1.outcome, WorkflowOutcome::Busy(1..));
        assert!(is_accepted || is_refused, "{answer:?}");
        assert_eq!(is_accepted, workflows.get(WorkflowId(id)).is_some(), "workflow {id}");
        accepted += u64::from(is_accepted);
    }
    assert!(workflows.get(WorkflowId(LARGE + 1)).is_some(), "the ordinary one was refused");
    assert!((2..LARGE / 2).contains(&accepted), "{accepted} were accepted");
    assert_eq!(leader.core.submissions_without_memory(), LARGE + 1 - accepted);
}
