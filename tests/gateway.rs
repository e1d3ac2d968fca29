//! Calls of a gateway, played without a network.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use aspenrail::{
    gateway::{Effect, GatewayAnswer, GatewayCore, GatewayOptions, Input, RejectionCause},
    prelude::*,
};

const CONTROL: [u16; 2] = [1, 2];
const CALLS_MAX: usize = 4;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn now(mono_ms: u64) -> Now {
    Now { mono_ms, wall_ms: mono_ms }
}

fn gateway() -> GatewayCore {
    GatewayCore::new(options())
}

fn options() -> GatewayOptions {
    GatewayOptions {
        address: address(100),
        control_addresses: CONTROL.map(address).to_vec(),
        zone: "zone-1".into(),
        boot: 1_000,
        resend_ms: 300,
        election_pause_ms: 50,
        give_up_ms: 2_500,
        park_ms: 900,
        probe_ms: 500,
        calls_max: CALLS_MAX,
        calls_max_bytes: 1 << 25,
        overload_control: false,
    }
}

/// Creates a gateway with overload control that takes 100 calls and knows its leader at 1 ms.
fn controlled_gateway() -> GatewayCore {
    let options = GatewayOptions { calls_max: 100, overload_control: true, ..options() };
    let mut res = GatewayCore::new(options);
    res.handle(now(0), Input::Tick);
    let probe = take_calls(&mut res).pop().unwrap().1;
    answer(&mut res, 1, probe.id, WorkflowOutcome::Pong);
    res
}

fn submission(token: u64) -> Input {
    let target = WorkflowTarget { host: "host".into(), path: format_compact!("/queue/{token}") };
    let spec = WorkflowSpec {
        payload: "work".into(),
        steps: Vec::new(),
        repeat_count: 0,
        first_run_ms: 0,
        interval_ms: 0,
    };
    let request = WorkflowRequest::Submit(WorkflowSubmission { target, spec });
    Input::Request { token, request, wait_ms: 2_000, waited_ms: 0 }
}

fn take_calls(gateway: &mut GatewayCore) -> Vec<(SocketAddr, WorkflowCall)> {
    let calls = gateway.take_effects().into_iter().filter_map(|it| match it {
        Effect::Send { to, message: Message::WorkflowCall(call) } => Some((to, call)),
        Effect::Send { to, message: Message::TimedCall(it) } => Some((to, it.call)),
        _ => None,
    });
    calls.collect()
}

fn answer(gateway: &mut GatewayCore, now_ms: u64, id: u64, outcome: WorkflowOutcome) {
    let answer = WorkflowAnswer { id, outcome, members: Vec::new() };
    gateway.handle(now(now_ms), Input::Message(Box::new(Message::WorkflowAnswer(answer))));
}

/// Load: as many clients as the gateway takes, while it asks its leader whether it still leads.
#[test]
fn the_own_probe_takes_no_place_of_a_client() {
    let mut gateway = gateway();
    gateway.handle(now(0), Input::Tick);
    let probe = take_calls(&mut gateway).pop().unwrap().1;
    answer(&mut gateway, 1, probe.id, WorkflowOutcome::Accepted);
    gateway.handle(now(500), Input::Tick);
    assert_eq!(take_calls(&mut gateway).len(), 1, "the gateway probes its leader");
    for token in 0..CALLS_MAX as u64 {
        gateway.handle(now(501), submission(token));
    }
    assert_eq!(take_calls(&mut gateway).len(), CALLS_MAX, "a client was refused for a probe");
    gateway.handle(now(502), submission(9));
    let refused = gateway.take_effects().into_iter().any(|it| {
        matches!(
            it,
            Effect::Answer {
                token: 9,
                answer: GatewayAnswer::Rejected { cause: RejectionCause::TooManyCalls, .. },
                ..
            }
        )
    });
    assert!(refused, "one call more than the gateway takes");
}

/// Load: as many clients as the gateway takes have come before it knows a leader.
#[test]
fn a_full_gateway_finds_a_leader() {
    let mut gateway = gateway();
    for token in 0..CALLS_MAX as u64 {
        gateway.handle(now(0), submission(token));
    }
    gateway.handle(now(1), Input::Tick);
    let calls = take_calls(&mut gateway);
    let [(_, probe)] = &calls[..] else { panic!("one probe and no call is sent: {calls:?}") };
    assert_eq!(probe.request, WorkflowRequest::Ping);
    answer(&mut gateway, 2, probe.id, WorkflowOutcome::Accepted);
    assert_eq!(take_calls(&mut gateway).len(), CALLS_MAX, "the parked calls are sent");
    assert!(!gateway.is_drained());
}

fn request(token: u64, request: WorkflowRequest) -> Input {
    Input::Request { token, request, wait_ms: 2_000, waited_ms: 0 }
}

fn cancel(token: u64) -> Input {
    let target = WorkflowTarget { host: "host".into(), path: format_compact!("/queue/{token}") };
    request(token, WorkflowRequest::Cancel(target))
}

fn take_answers(gateway: &mut GatewayCore) -> Vec<(u64, GatewayAnswer)> {
    let answers = gateway.take_effects().into_iter().filter_map(|it| match it {
        Effect::Answer { token, answer, .. } => Some((token, answer)),
        Effect::Send { .. } => None,
    });
    answers.collect()
}

/// A leader takes a submission and dies before it answers; the next one turns the copy away. Whether
/// the first was stored is not known here, so the client must not be told that it was not.
#[test]
fn a_refusal_of_a_copy_is_no_refusal() {
    let mut gateway = gateway();
    gateway.handle(now(0), Input::Tick);
    let probe = take_calls(&mut gateway).pop().unwrap().1;
    answer(&mut gateway, 1, probe.id, WorkflowOutcome::Pong);
    gateway.handle(now(2), submission(1));
    assert_eq!(take_calls(&mut gateway).len(), 1);
    gateway.handle(now(400), Input::Tick);
    let probe = take_calls(&mut gateway).pop().unwrap().1;
    assert_eq!(probe.request, WorkflowRequest::Ping, "the leader is silent");
    answer(&mut gateway, 500, probe.id, WorkflowOutcome::Pong);
    let copy = take_calls(&mut gateway).pop().unwrap().1;
    answer(&mut gateway, 501, copy.id, WorkflowOutcome::Busy(1_000));
    assert_eq!(take_answers(&mut gateway), [(1, GatewayAnswer::Unknown)]);
}

/// Load: a burst of submissions fills the gateway; a cancel finds room.
#[test]
fn submissions_leave_room_for_changes() {
    let mut gateway = controlled_gateway();
    (0..100).for_each(|token| gateway.handle(now(2), submission(token)));
    let refused = take_answers(&mut gateway).len();
    assert_eq!(refused, 25, "a quarter of the places is kept");
    (0..25).for_each(|it| gateway.handle(now(3), cancel(200 + it)));
    assert_eq!(take_calls(&mut gateway).len(), 25);
}

/// Load: a slow leader answers each request after 700 ms. Copies would make it slower.
#[test]
fn a_slow_leader_gets_few_copies() {
    let mut gateway = controlled_gateway();
    let mut open = std::collections::VecDeque::new();
    let (mut sent, mut begun) = (0, 0);
    for at_ms in (2..4_000).step_by(10) {
        if at_ms < 3_000 {
            gateway.handle(now(at_ms), submission(at_ms));
            begun += 1;
        }
        gateway.handle(now(at_ms), Input::Tick);
        for (_, call) in take_calls(&mut gateway) {
            sent += u64::from(call.request != WorkflowRequest::Ping);
            open.push_back((at_ms, call));
        }
        while open.front().is_some_and(|(sent_ms, _)| sent_ms + 700 <= at_ms) {
            let (_, call) = open.pop_front().unwrap();
            answer(&mut gateway, at_ms, call.id, WorkflowOutcome::Accepted);
        }
    }
    let copies = sent - begun;
    assert!(copies * 4 <= begun, "{copies} copies of {begun} submissions");
}

/// Load: requests wait while control is unreachable. When a leader is found, it gets first what is of
/// use to others, and each is told how long its client still waits.
/// Load: large requests up to the limit on their memory. A small one still finds room, and a refused
/// one is never sent.
#[test]
fn large_requests_leave_room_for_small_ones() {
    let options = GatewayOptions { calls_max: 100, calls_max_bytes: 1 << 20, ..options() };
    let mut gateway = GatewayCore::new(options);
    let large = |token| match submission(token) {
        Input::Request { request: WorkflowRequest::Submit(mut it), wait_ms, .. } => {
            it.spec.payload = "x".repeat(100_000).into();
            Input::Request { token, request: WorkflowRequest::Submit(it), wait_ms, waited_ms: 0 }
        }
        it => it,
    };
    (0..50).for_each(|it| gateway.handle(now(1), large(it)));
    let refused = take_answers(&mut gateway);
    assert!((40..50).contains(&refused.len()), "{} refused", refused.len());
    let is_refusal = |it: &GatewayAnswer| {
        matches!(it, GatewayAnswer::Rejected { cause: RejectionCause::NoMemory, .. })
    };
    assert!(refused.iter().all(|(_, it)| is_refusal(it)), "{refused:?}");
    gateway.handle(now(1), submission(60));
    assert!(take_answers(&mut gateway).is_empty(), "a small request was refused");
    // Requests that have ended leave their memory to others.
    gateway.handle(now(10_000), Input::Tick);
    take_answers(&mut gateway);
    gateway.handle(now(10_000), large(61));
    assert!(take_answers(&mut gateway).is_empty(), "memory was not given back");
}

/// Load: many operators read a large configuration at once. Each answer is copied on its way, so that
/// few are asked for at a time; all reads are answered in their order.
#[test]
fn large_reads_are_sent_a_few_at_a_time() {
    const IN_FLIGHT_MAX: usize = 4;
    let mut gateway = controlled_gateway();
    (0..20).for_each(|it| gateway.handle(now(2), request(it, WorkflowRequest::ReadConfig)));
    let mut open: Vec<_> = take_calls(&mut gateway).into_iter().map(|(_, it)| it.id).collect();
    let mut answered = Vec::new();
    while let Some(id) = open.pop() {
        assert!(open.len() < IN_FLIGHT_MAX);
        answer(&mut gateway, 3, id, WorkflowOutcome::NoConfig);
        for effect in gateway.take_effects() {
            match effect {
                Effect::Answer { token, .. } => answered.push(token),
                Effect::Send { message: Message::TimedCall(it), .. } => open.push(it.call.id),
                Effect::Send { .. } => (),
            }
        }
    }
    answered.sort_unstable();
    assert_eq!(answered, (0..20).collect::<Vec<_>>());
}

#[test]
fn changes_go_before_submissions_to_a_new_leader() {
    let options = GatewayOptions { calls_max: 100, overload_control: true, ..options() };
    let mut gateway = GatewayCore::new(options);
    gateway.handle(now(0), submission(1));
    gateway.handle(now(1), request(2, WorkflowRequest::ReadConfig));
    gateway.handle(now(2), cancel(3));
    gateway.handle(now(3), Input::Tick);
    let probe = take_calls(&mut gateway).pop().unwrap().1;
    answer(&mut gateway, 500, probe.id, WorkflowOutcome::Pong);
    let sent = gateway.take_effects().into_iter().filter_map(|it| match it {
        Effect::Send { message: Message::TimedCall(it), .. } => Some(it),
        _ => None,
    });
    let sent: Vec<_> = sent.collect();
    let kinds: Vec<_> = sent.iter().map(|it| it.call.request.clone()).collect();
    assert!(matches!(
        &kinds[..],
        [WorkflowRequest::Cancel(_), WorkflowRequest::ReadConfig, WorkflowRequest::SubmitFrom(_)]
    ));
    // Clients wait for 2 s, and an answer needs 100 ms to reach them.
    assert_eq!(sent[2].remaining_ms, 1_400);
}

/// Load: no leader is found while a client waits. It is told while it has time for another gateway.
#[test]
fn a_refusal_leaves_its_client_time() {
    let options = GatewayOptions { overload_control: true, ..options() };
    let mut gateway = GatewayCore::new(options);
    let Input::Request { token, request, .. } = submission(1) else { unreachable!() };
    gateway.handle(now(0), Input::Request { token, request, wait_ms: 400, waited_ms: 0 });
    for at_ms in 0..=134 {
        gateway.handle(now(at_ms), Input::Tick);
    }
    let answers = take_answers(&mut gateway);
    assert!(
        matches!(
            &answers[..],
            [(1, GatewayAnswer::Rejected { cause: RejectionCause::NoLeader, .. })]
        ),
        "{answers:?}"
    );
}

/// Load: a leader changes while many requests wait for it; the old one answered none of them.
#[test]
fn a_new_leader_gets_what_only_the_old_one_had() {
    let mut gateway = controlled_gateway();
    (0..50).for_each(|token| gateway.handle(now(2), submission(token)));
    let sent = take_calls(&mut gateway);
    let old = sent[0].0;
    let new = CONTROL.map(address).into_iter().find(|it| *it != old).unwrap();
    let hint = WorkflowOutcome::NotLeader(Some(new));
    answer(&mut gateway, 3, sent[0].1.id, hint);
    answer(&mut gateway, 4, sent[0].1.id, WorkflowOutcome::Accepted);
    take_calls(&mut gateway);
    gateway.handle(now(390), cancel(99));
    let id = take_calls(&mut gateway)[0].1.id;
    answer(&mut gateway, 391, id, WorkflowOutcome::Accepted);
    gateway.handle(now(680), Input::Tick);
    let resent = take_calls(&mut gateway);
    let is_submission = |it: &WorkflowRequest| matches!(it, WorkflowRequest::SubmitFrom(_));
    let to_new = resent.iter().filter(|(to, it)| *to == new && is_submission(&it.request));
    assert_eq!(to_new.count(), 49, "all but the answered one");
}

/// Load: a leader answers the second copy of a submission, and no other request for some time.
#[test]
fn a_rejection_that_is_held_back_shows_a_leader() {
    let mut gateway = controlled_gateway();
    gateway.handle(now(2), submission(1));
    let id = take_calls(&mut gateway)[0].1.id;
    gateway.handle(now(400), Input::Tick);
    gateway.handle(now(600), Input::Tick);
    let probe = take_calls(&mut gateway).pop().unwrap().1;
    answer(&mut gateway, 601, probe.id, WorkflowOutcome::Pong);
    assert_eq!(take_calls(&mut gateway)[0].1.id, id, "the call is sent again");
    let rejection = AdmissionRejection { cause: AdmissionCause::Late, retry_after_ms: 5_000 };
    answer(&mut gateway, 1_500, id, WorkflowOutcome::Rejected(rejection));
    assert_eq!(take_answers(&mut gateway), [], "a copy may be accepted");
    assert!(gateway.is_ready(now(2_200)), "the leader has answered lately");
}

/// A request was read only after its client had stopped waiting, since the gateway stood still. It
/// counted the client's wait from the moment of reading, and forwarded the submission.
#[yare::parameterized(
    client_has_left = { 1_000, 5_000, false },
    longest_wait_has_passed = { 60_000, 2_500, false },
    client_waits = { 2_000, 600, true },
)]
fn the_wait_of_a_client_begins_when_its_request_may_have_come(
    wait_ms: u64,
    waited_ms: u64,
    is_sent: bool,
) {
    let mut gateway = controlled_gateway();
    let Input::Request { token, request, .. } = submission(1) else { unreachable!() };
    gateway.handle(now(10_000), Input::Request { token, request, wait_ms, waited_ms });
    if is_sent {
        let sent = gateway.take_effects().into_iter().find_map(|it| match it {
            Effect::Send { message: Message::TimedCall(it), .. } => Some(it),
            _ => None,
        });
        // An answer needs 100 ms to reach its client.
        assert_eq!(sent.unwrap().remaining_ms, wait_ms - waited_ms - 100);
        return;
    }
    let effects = gateway.take_effects();
    let expired = GatewayAnswer::Rejected { cause: RejectionCause::Expired, retry_after_ms: 300 };
    assert!(
        matches!(&effects[..], [Effect::Answer { token: 1, answer, .. }] if *answer == expired),
        "{effects:?}"
    );
}

/// A gateway stood still while its clients waited. What it hears first when it goes on may be that
/// another process leads: it sends nothing that nobody waits for any more.
#[yare::parameterized(
    sent = { true },
    kept = { false },
)]
fn nothing_is_sent_after_its_deadline(is_sent: bool) {
    let mut gateway = controlled_gateway();
    if !is_sent {
        gateway.handle(now(1_000), cancel(9));
        let id = take_calls(&mut gateway)[0].1.id;
        answer(&mut gateway, 1_001, id, WorkflowOutcome::NotLeader(None));
    }
    gateway.handle(now(1_100), submission(1));
    let calls = take_calls(&mut gateway);
    let is_submission = |it: &WorkflowRequest| matches!(it, WorkflowRequest::SubmitFrom(_));
    let submitted = calls.iter().find(|(_, it)| is_submission(&it.request));
    assert_eq!(submitted.is_some(), is_sent);
    gateway.handle(now(20_000), request(2, WorkflowRequest::ReadConfig));
    let mut sent = take_calls(&mut gateway);
    if let Some((to, it)) = submitted {
        let other = CONTROL.map(address).into_iter().find(|it| it != to);
        answer(&mut gateway, 20_000, it.id, WorkflowOutcome::NotLeader(other));
    }
    for at_ms in 20_001..20_100 {
        sent.extend(take_calls(&mut gateway));
        if let Some(probe) = sent.iter().find(|(_, it)| it.request == WorkflowRequest::Ping) {
            let id = probe.1.id;
            answer(&mut gateway, at_ms, id, WorkflowOutcome::Pong);
        }
        gateway.handle(now(at_ms), Input::Tick);
    }
    sent.extend(take_calls(&mut gateway));
    assert!(!sent.iter().any(|(_, it)| is_submission(&it.request)), "{sent:?}");
}
