//! Calls of a gateway, played without a network.

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
    GatewayCore::new(GatewayOptions {
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
    })
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
    Input::Request { token, request, wait_ms: 2_000 }
}

fn take_calls(gateway: &mut GatewayCore) -> Vec<(SocketAddr, WorkflowCall)> {
    let calls = gateway.take_effects().into_iter().filter_map(|it| match it {
        Effect::Send { to, message: Message::WorkflowCall(call) } => Some((to, call)),
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
