//! Tests of which submissions a leader rejects, and when they are to return.

use aspenrail::{
    control::dispatch::{Features, RequestDecision},
    gateway::{self, GatewayAnswer, GatewayCore, RejectionCause},
    prelude::*,
};

use crate::{
    fillers::{LeaderHarness, filler, service},
    worker::TaskBehavior,
    world::{World, address, gateway_options, spec, step, target},
};

const ADMISSION: Features = Features {
    reservations: false,
    fair_shares: false,
    worker_speeds: false,
    admission: true,
    overload_control: false,
};

/// Cores of the only worker.
const CORES: u32 = 4;

/// A leader with one worker, and workflows of 10 s that occupy it one after the other.
fn overloaded(workflows: u64) -> LeaderHarness {
    let mut leader = LeaderHarness::with_features(1, CORES, ADMISSION);
    (1..=workflows).for_each(|id| leader.submit(id, whole_worker()));
    leader
}

/// Tasks of 10 s.
fn ten_s(count: u32, cores: u32) -> WorkflowStep {
    WorkflowStep { estimate_ms: 10_000, ..step(count, cores, &[]) }
}

/// Work of 10 s that occupies the worker.
fn whole_worker() -> Vec<WorkflowStep> {
    vec![ten_s(1, CORES)]
}

/// Work of 20 s on the worker, which goes behind that of 10 s.
fn large() -> Vec<WorkflowStep> {
    vec![ten_s(2, CORES)]
}

fn rejection(decision: &RequestDecision) -> Option<AdmissionRejection> {
    match decision {
        RequestDecision::Answer(WorkflowOutcome::Rejected(it)) => Some(*it),
        _ => None,
    }
}

fn is_accepted(decision: &RequestDecision) -> bool {
    let accepted = RequestDecision::Answer(WorkflowOutcome::Accepted);
    matches!(decision, RequestDecision::Propose(_)) || *decision == accepted
}

/// Load: five minutes of work wait. What would end after it is of no use to its caller and is rejected
/// with the time at which that work has ended; what goes before it is accepted.
#[test]
fn in_overload_only_what_is_hopeless_is_rejected() {
    let mut leader = overloaded(30);
    let it = rejection(&leader.decide(1, 900, large())).unwrap();
    assert_eq!(it.cause, AdmissionCause::Late);
    assert!((270_000..=310_000).contains(&it.retry_after_ms), "{it:?}; 300 s of work wait");
    assert!(leader.workflows.get(WorkflowId(900)).is_none());
    assert!(is_accepted(&leader.decide(2, 901, vec![step(1, 1, &[])])), "it goes before");
}

/// Load: a submission with the largest values that are valid, and a time of the first run that has no
/// meaning without repetitions.
#[test]
fn the_largest_values_are_decided_on() {
    let mut leader = overloaded(1);
    let largest = |count, estimate_ms, cpu_millicores| WorkflowStep {
        estimate_ms,
        need: Resources { cpu_millicores, memory_mib: u32::MAX, accelerators: 0 },
        ..step(count, 1, &[])
    };
    let decide = |leader: &mut LeaderHarness, id, step, first_run_ms| {
        let spec = WorkflowSpec { first_run_ms, ..spec(vec![step]) };
        let submission = WorkflowSubmission { target: target(id), spec };
        let request = OriginatedSubmission { zone: "zone".into(), submission };
        leader.request(id, WorkflowRequest::SubmitFrom(request))
    };
    let step = largest(10_000, 100 * 366 * 86_400_000, 100_000_000);
    assert!(rejection(&decide(&mut leader, 900, step, u64::MAX)).is_some());
    let small = WorkflowStep { estimate_ms: 1_000, ..ten_s(1, 1) };
    assert!(is_accepted(&decide(&mut leader, 901, small, u64::MAX)));
}

/// Load: as much as the workers can do; nobody is rejected.
#[test]
fn with_enough_capacity_nobody_is_rejected() {
    let mut leader = LeaderHarness::with_features(8, CORES, ADMISSION);
    for id in 1..=8 {
        let decision = leader.decide(id, id, whole_worker());
        assert!(is_accepted(&decision), "{decision:?}");
        leader.submit(id, whole_worker());
    }
}

/// Load: a backlog that its small tasks explain, while a worker has free capacity that they cannot
/// use.
#[test]
fn nothing_is_rejected_that_could_begin_at_once() {
    let mut leader = overloaded(60);
    assert!(rejection(&leader.decide(1, 900, vec![ten_s(5, 2)])).is_some());
    // Two cores are too few for what waits, and enough for each task of the submission.
    leader.register_with_cores(2, 2);
    assert!(is_accepted(&leader.decide(2, 900, vec![ten_s(5, 2)])));
}

/// Load: overload after a submission was accepted, whose answer got lost before or after its commit.
#[test]
fn an_accepted_submission_that_is_sent_again_is_accepted() {
    let mut leader = overloaded(1);
    let RequestDecision::Propose(command) = leader.decide(1, 900, large()) else { panic!() };
    (1_000..1_030).for_each(|id| leader.submit(id, whole_worker()));
    assert!(rejection(&leader.decide(2, 901, large())).is_some(), "the leader is overloaded");
    assert!(is_accepted(&leader.decide(3, 900, large())), "its commit is under way");
    leader.apply(command);
    assert!(is_accepted(&leader.decide(4, 900, large())), "it is stored");
}

/// Load: a client cancels a submission whose commit is under way.
#[test]
fn a_cancel_goes_behind_a_commit_under_way() {
    let mut leader = overloaded(1);
    let RequestDecision::Propose(submit) = leader.decide(1, 900, whole_worker()) else { panic!() };
    let cancel = leader.request(2, WorkflowRequest::Cancel(target(900)));
    let RequestDecision::Propose(cancel) = cancel else { panic!("answered early: {cancel:?}") };
    leader.apply(submit);
    leader.apply(cancel);
    assert!(leader.workflows.active().all(|(id, _)| id != WorkflowId(900)));
    let outcome = leader.workflows.apply(&WorkflowCommand::Cancel(WorkflowId(901)), leader.now_ms);
    assert_eq!(outcome, WorkflowOutcome::Gone, "it was never submitted");
}

/// Load: overload that ends. A rejected submission that comes again gets the same time, and is
/// accepted as soon as it would be of use; a copy of a call gets that call's answer.
#[test]
fn a_rejected_submission_that_is_sent_again_gets_the_same_answer_while_it_is_true() {
    let mut leader = overloaded(30);
    let first = rejection(&leader.decide(1, 900, large())).unwrap();
    let begun_ms = leader.now_ms;
    leader.advance(2_000);
    let again = rejection(&leader.decide(2, 900, large())).unwrap();
    assert_eq!(again.retry_after_ms + (leader.now_ms - begun_ms), first.retry_after_ms);
    (1..=30).for_each(|id| leader.apply(WorkflowCommand::Cancel(WorkflowId(id))));
    leader.advance(1_000);
    assert!(rejection(&leader.decide(2, 900, large())).is_some(), "a copy of the last call");
    assert!(is_accepted(&leader.decide(3, 900, large())));
}

/// Load: twenty submissions are rejected at once; they return in order and one after the other.
#[test]
fn rejected_submissions_return_in_order_and_apart() {
    let mut leader = overloaded(30);
    let times: Vec<_> = (900..920)
        .map(|id| rejection(&leader.decide(id, id, large())).unwrap().retry_after_ms)
        .collect();
    // Each uses the worker for 20 s.
    assert!(times.windows(2).all(|it| it[0] + 5_000 <= it[1]), "{times:?}");
    for _ in 0..times[0] / 500 + 1 {
        leader.now_ms += 500;
        leader.report(1, &[]);
    }
    (1_000..1_060).for_each(|id| leader.submit(id, whole_worker()));
    let again = rejection(&leader.decide(1, 900, large())).unwrap();
    let last = rejection(&leader.decide(2, 919, large())).unwrap();
    assert!(again.retry_after_ms <= last.retry_after_ms, "{again:?} {last:?}");
}

/// Load: overload under a leader that was just elected. It rejects by declared run times what
/// reserves processor, and accepts best-effort work until it has measured what that gets.
#[test]
fn a_leader_without_history_accepts_what_it_has_not_measured() {
    let mut leader = LeaderHarness::with_features(1, CORES, ADMISSION);
    leader.submit(1, vec![service("web", 1, CORES / 2)]);
    let best_effort =
        |count| vec![WorkflowStep { estimate_ms: 60_000, ..filler("batch", count, 1, 100) }];
    (2..=100).for_each(|id| leader.submit(id, best_effort(20)));
    for _ in 0..16 {
        leader.now_ms += 250;
        leader.report(1, &[(1, 40), (2, 1_000)]);
    }
    let decision = leader.decide(1, 900, best_effort(40));
    assert!(rejection(&decision).is_some(), "33 h of work wait on 4 cores: {decision:?}");
    leader.replace_leader();
    assert!(is_accepted(&leader.decide(2, 900, best_effort(40))));
}

/// Load: best-effort tasks that run at half speed beside others. Their run time at full speed is
/// learned.
#[test]
fn run_times_of_best_effort_tasks_are_learned_at_full_speed() {
    let mut leader = LeaderHarness::with_features(1, CORES, ADMISSION);
    let two_s = || vec![WorkflowStep { estimate_ms: 2_000, ..filler("batch", 1, 1, 100) }];
    (1..=2).for_each(|id| leader.submit(id, two_s()));
    for _ in 0..8 {
        leader.now_ms += 500;
        leader.report(1, &[(1, 500), (2, 500)]);
    }
    let runs = leader.runs_on(1);
    let ended = |(cursor, run): (u64, &RunRef)| EndedRun {
        cursor,
        end: RunEnd { run: *run, outcome: RunOutcome::Done, checkpoint: CompactString::default() },
    };
    leader.report_runs(1, Vec::new(), (1..).zip(&runs).map(ended).collect());
    leader.advance(3_000);
    let [learned] = leader.workflows.demand().run_times() else { panic!("one kind ended") };
    assert_eq!((learned.image.as_str(), learned.observations), ("batch", 2));
    assert!(learned.log_ratio.abs() < 0.1, "4 s at half speed are 2 s: {learned:?}");
}

/// Load: a backlog whose end is uncertain: it may be over in time.
#[test]
fn an_uncertain_forecast_accepts() {
    let mut leader = overloaded(9);
    // It ends after 92 to 217 s, and is of use for up to 103 s.
    let long = vec![WorkflowStep { estimate_ms: 12_000, ..step(1, CORES, &[]) }];
    assert!(is_accepted(&leader.decide(1, 900, long)));
}

/// Load: services that fill all workers. One more that fits nowhere is told so, and one that fits
/// once other work has ended is accepted.
#[test]
fn a_service_that_no_end_of_work_makes_room_for_is_told_so() {
    let mut leader = LeaderHarness::with_features(2, CORES, ADMISSION);
    leader.submit(1, vec![service("web", 1, CORES)]);
    leader.submit(2, whole_worker());
    assert!(is_accepted(&leader.decide(1, 900, vec![service("web", 1, CORES)])));
    leader.submit(900, vec![service("web", 1, CORES)]);
    leader.advance(300);
    let it = rejection(&leader.decide(2, 901, vec![service("web", 1, CORES)])).unwrap();
    assert_eq!(it.cause, AdmissionCause::NoCapacity);
}

/// Load: a service that is larger than any worker waits, and so would never begin. It takes no
/// capacity from those after it. Before any worker is known, nothing is rejected.
#[test]
fn a_service_larger_than_any_worker_shuts_nobody_out() {
    let mut leader = LeaderHarness::with_features(0, CORES, ADMISSION);
    assert!(is_accepted(&leader.decide(1, 900, vec![service("web", 1, CORES)])));
    leader.register_with_cores(1, CORES);
    leader.register_with_cores(2, CORES);
    leader.submit(1, vec![service("huge", 1, CORES + 1)]);
    leader.submit(2, whole_worker());
    leader.submit(3, whole_worker());
    assert!(is_accepted(&leader.decide(2, 901, vec![service("web", 1, CORES)])));
}

/// Load: the same overload with the switch off: everything is accepted.
#[test]
fn without_the_switch_nothing_is_rejected() {
    let mut leader = LeaderHarness::with_features(1, CORES, Features::default());
    (1..=30).for_each(|id| leader.submit(id, whole_worker()));
    assert!(is_accepted(&leader.decide(1, 900, large())));
}

/// Load: more work than capacity. Operators see who waits, why, until when, and who was rejected.
#[test]
fn operators_see_who_waits_and_who_was_rejected() {
    let mut leader = overloaded(30);
    leader.submit(100, vec![step(1, CORES + 1, &[])]);
    leader.decide(1, 900, large());
    let RequestDecision::Answer(WorkflowOutcome::Waiting(report)) =
        leader.request(2, WorkflowRequest::ReadWaiting(100))
    else {
        panic!("no report");
    };
    assert_eq!((report.steps_total, report.steps.len()), (30, 30));
    let ends: Vec<_> = report.steps.iter().map(|it| it.median_end_ms).collect();
    assert!(ends.iter().any(|it| *it < 9_000) && ends.iter().any(|it| 50_000 < *it), "{ends:?}");
    assert!(report.steps.iter().all(|it| it.cause == WaitCause::NoCapacity), "{report:?}");
    assert!(report.steps.iter().all(|it| it.median_end_ms < it.late_end_ms), "{report:?}");
    let rejected: Vec<_> = report.rejected.iter().map(|it| it.workflow.0).collect();
    assert_eq!(rejected, [900]);
    assert!(50_000 <= report.rejected[0].return_in_ms, "{report:?}");
}

const QUICK: TaskBehavior = TaskBehavior { work_ms: 500, fails_every: 0, crash: None };

/// Load: a burst fills the workers for minutes. What is rejected after it is never run; what was
/// accepted is, and sent again it is accepted again.
#[test]
fn a_rejected_submission_never_runs() {
    let mut world = World::with_features(81, 3, 2, ADMISSION);
    world.install_queue();
    let busy = TaskBehavior { work_ms: 60_000, ..QUICK };
    let minute = || spec(vec![WorkflowStep { estimate_ms: 60_000, ..step(1, 2, &[]) }]);
    for id in 1..=60 {
        world.submit(id, minute(), busy);
        world.run_for(20);
    }
    world.run_for(1_000);
    let token = world.submit(100, spec(vec![ten_s(1, 16)]), QUICK);
    world.run_for(1_000);
    let Some(GatewayAnswer::Rejected { cause, retry_after_ms }) = world.answers.get(&token) else {
        panic!("{:?}", world.answers.get(&token));
    };
    assert_eq!(*cause, RejectionCause::Late);
    assert!(1_000 <= *retry_after_ms);
    let token = world.submit(60, minute(), busy);
    world.run_for(20_000);
    let accepted = GatewayAnswer::Outcome(WorkflowOutcome::Accepted);
    assert_eq!(world.answers.get(&token), Some(&accepted));
    assert!(world.rules.has_started_workflow(1) && !world.rules.has_started_workflow(100));
    assert_eq!(world.phase(100), None);
    assert_eq!(world.phase(60), Some(WorkflowPhase::Queued));
}

/// Load: a leader that answers slowly, so that the gateway sends a submission twice. The first copy
/// is rejected and the second accepted: the client must not be told that its work won't run.
#[test]
fn a_gateway_passes_no_rejection_on_while_a_copy_may_be_accepted() {
    let mut gateway = GatewayCore::new(gateway_options(vec![address(0)]));
    let now = |mono_ms| Now { mono_ms, wall_ms: mono_ms };
    let answer = |id, outcome| {
        let answer = WorkflowAnswer { id, members: Vec::new(), outcome };
        gateway::Input::Message(Box::new(Message::WorkflowAnswer(answer)))
    };
    let take = |gateway: &mut GatewayCore| {
        let (mut calls, mut answers) = (Vec::new(), Vec::new());
        for it in gateway.take_effects() {
            match it {
                gateway::Effect::Send { message: Message::WorkflowCall(it), .. } => {
                    calls.push(it.id)
                }
                gateway::Effect::Answer { answer, .. } => answers.push(answer),
                _ => (),
            }
        }
        (calls, answers)
    };
    let submission = WorkflowSubmission { target: target(7), spec: spec(large()) };
    let request = WorkflowRequest::Submit(submission);
    gateway.handle(now(10), gateway::Input::Tick);
    let (probes, _) = take(&mut gateway);
    gateway.handle(now(11), answer(probes[0], WorkflowOutcome::Pong));
    gateway.handle(
        now(12),
        gateway::Input::Request { token: 1, request, wait_ms: 3_000, waited_ms: 0 },
    );
    let (calls, _) = take(&mut gateway);
    // The silent leader is probed, answers, and gets the call again.
    gateway.handle(now(400), gateway::Input::Tick);
    gateway.handle(now(600), gateway::Input::Tick);
    let (probes, _) = take(&mut gateway);
    gateway.handle(now(601), answer(probes[0], WorkflowOutcome::Pong));
    assert_eq!(take(&mut gateway).0, calls, "the call is sent again");
    let rejection = AdmissionRejection { cause: AdmissionCause::Late, retry_after_ms: 5_000 };
    gateway.handle(now(602), answer(calls[0], WorkflowOutcome::Rejected(rejection)));
    assert_eq!(take(&mut gateway).1, []);
    gateway.handle(now(603), answer(calls[0], WorkflowOutcome::Accepted));
    assert_eq!(take(&mut gateway).1, [GatewayAnswer::Outcome(WorkflowOutcome::Accepted)]);
}
