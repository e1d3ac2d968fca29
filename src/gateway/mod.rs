//! The gateway: takes clients' and operators' requests about workflows to the leader.
//!
//! It keeps nothing that must last. A request is sent again, to the next control process, until
//! somebody answers or its time is up: submissions carry their own identity and configurations
//! their version, so that a repetition does no harm.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{control::leader_finder::LeaderFinder, prelude::*};

/// What a gateway is told by the settings.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Where other processes reach this one.
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    /// Random number of this process, from which its calls are numbered.
    pub boot: u64,
    /// Time after which an unanswered call is sent to the next control process.
    pub resend_ms: u64,
    /// Pause after an answer that names no leader, as while one is elected.
    pub election_pause_ms: u64,
    /// Longest time that a request waits for an answer.
    pub give_up_ms: u64,
    /// Longest time that a request waits unsent while no leader is known.
    pub park_ms: u64,
    /// Interval at which an idle gateway makes sure that it still reaches a leader.
    pub probe_ms: u64,
    /// Requests under way before new ones are refused.
    pub calls_max: usize,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request; `wait_ms` is how long its client waits.
    Request {
        token: u64,
        request: WorkflowRequest,
        wait_ms: u64,
    },
    Message(Box<Message>),
    /// Other control addresses, from changed settings.
    ControlAddresses(Vec<SocketAddr>),
    Tick,
    /// A planned stop.
    Stop,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAnswer {
    Outcome(WorkflowOutcome),
    /// It was not taken and never will be; the time after which to ask again.
    Rejected {
        cause: RejectionCause,
        retry_after_ms: u64,
    },
    /// No answer came; it may have been taken.
    Unknown,
}

/// Why a request was given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    NoLeader,
    NoConfig,
    Busy,
    TooManyCalls,
    /// The queue asks for what no process serves.
    Unserved,
}

impl RejectionCause {
    /// All causes, for counters that exist from the start.
    pub const ALL: [RejectionCause; 5] = [
        RejectionCause::NoLeader,
        RejectionCause::NoConfig,
        RejectionCause::Busy,
        RejectionCause::TooManyCalls,
        RejectionCause::Unserved,
    ];

    /// Returns the label of its counter.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionCause::NoLeader => "no_leader",
            RejectionCause::NoConfig => "no_config",
            RejectionCause::Busy => "busy",
            RejectionCause::TooManyCalls => "too_many_calls",
            RejectionCause::Unserved => "unserved",
        }
    }
}

/// What a gateway wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// The answer to a request that waited for `took_ms`.
    Answer {
        token: u64,
        answer: GatewayAnswer,
        took_ms: u64,
    },
}

struct Call {
    token: u64,
    request: WorkflowRequest,
    began_ms: u64,
    wait_ms: u64,
    deadline_ms: u64,
    next_ms: u64,
    sends: u32,
    /// A sending that nobody has answered yet, so that it may have been taken.
    unanswered: u32,
    /// The leader that took it lost its place before the change was committed.
    is_interrupted: bool,
    sent_to: Option<SocketAddr>,
}

/// Stands for the time of the first tick until it comes.
const NOT_BEGUN_MS: u64 = u64::MAX;

/// The token of the gateway's own probe.
const PROBE: u64 = u64::MAX;

/// A gateway, without its I/O.
pub struct GatewayCore {
    options: GatewayOptions,
    leader_finder: LeaderFinder,
    calls: BTreeMap<u64, Call>,
    next_id: u64,
    led_ms: Option<u64>,
    /// Since when the leader has owed an answer, or none has been known.
    leaderless_since_ms: Option<u64>,
    probe_at_ms: u64,
    is_stopping: bool,
    effects: Vec<Effect>,
}

impl GatewayCore {
    /// Makes a gateway that knows no leader yet.
    pub fn new(options: GatewayOptions) -> GatewayCore {
        GatewayCore {
            leader_finder: LeaderFinder::new(options.controls.clone(), options.boot),
            calls: BTreeMap::new(),
            next_id: options.boot,
            led_ms: None,
            leaderless_since_ms: Some(NOT_BEGUN_MS),
            probe_at_ms: 0,
            is_stopping: false,
            effects: Vec::new(),
            options,
        }
    }

    /// Returns whether a leader was heard lately, and no stop is under way.
    pub fn is_ready(&self, now: Now) -> bool {
        let limit_ms = self.options.probe_ms * 3;
        !self.is_stopping && self.led_ms.is_some_and(|it| now.mono_ms < it + limit_ms)
    }

    /// Returns whether no client waits.
    pub fn is_drained(&self) -> bool {
        self.calls.values().all(|it| it.token == PROBE)
    }

    /// Takes the effects of the inputs so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let calls = self.calls.values().map(|it| it.next_ms.min(it.deadline_ms)).min();
        calls.unwrap_or(u64::MAX).min(self.probe_at_ms)
    }

    /// Takes in one input.
    pub fn handle(&mut self, now: Now, input: Input) {
        match input {
            Input::Request { token, request, wait_ms } => self.begin(now, token, request, wait_ms),
            Input::Message(it) => self.on_message(now, *it),
            Input::ControlAddresses(it) => self.leader_finder.set_seeds(it),
            Input::Tick => self.tick(now),
            Input::Stop => self.is_stopping = true,
        }
    }

    fn begin(&mut self, now: Now, token: u64, request: WorkflowRequest, wait_ms: u64) {
        if self.options.calls_max <= self.calls.len() {
            let answer = GatewayAnswer::Rejected {
                cause: RejectionCause::TooManyCalls,
                retry_after_ms: self.options.resend_ms,
            };
            tracing::warn!(
                event = "request_refused",
                token,
                cause = "too_many_calls",
                calls = self.calls.len()
            );
            return self.effects.push(Effect::Answer { token, answer, took_ms: 0 });
        }
        self.next_id = self.next_id.wrapping_add(1);
        let call = Call {
            token,
            request,
            began_ms: now.mono_ms,
            wait_ms,
            deadline_ms: now.mono_ms + wait_ms.min(self.options.give_up_ms),
            next_ms: now.mono_ms,
            sends: 0,
            unanswered: 0,
            is_interrupted: false,
            sent_to: None,
        };
        self.calls.insert(self.next_id, call);
        if token == PROBE || self.leaderless_since_ms.is_none() {
            self.send(now, self.next_id);
        } else {
            self.park(now, self.next_id);
        }
    }

    /// Keeps a call unsent while no leader is known: it can be refused as not taken in truth,
    /// where one sent to a silent process could not.
    fn park(&mut self, now: Now, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.deadline_ms = call.deadline_ms.min(now.mono_ms + self.options.park_ms);
        call.next_ms = u64::MAX;
        self.probe_at_ms = self.probe_at_ms.min(now.mono_ms);
    }

    /// Sends what waited for a leader.
    fn send_parked(&mut self, now: Now) {
        let parked: Vec<_> =
            self.calls.iter().filter(|(_, it)| it.next_ms == u64::MAX).map(|(id, _)| *id).collect();
        for id in parked {
            if let Some(call) = self.calls.get_mut(&id) {
                call.deadline_ms =
                    call.deadline_ms.max(call.began_ms + self.options.give_up_ms.min(call.wait_ms));
            }
            self.send(now, id);
        }
    }

    fn on_message(&mut self, now: Now, message: Message) {
        match message {
            Message::WorkflowAnswer(it) => self.on_answer(now, it),
            Message::NotLeader(hint) => self.leader_finder.set_leader(hint),
            _ => (),
        }
    }

    fn on_answer(&mut self, now: Now, it: WorkflowAnswer) {
        self.leader_finder.set_members(&it.members);
        let Some(call) = self.calls.get_mut(&it.id) else { return };
        call.unanswered = call.unanswered.saturating_sub(1);
        if it.outcome == WorkflowOutcome::Interrupted {
            call.is_interrupted = true;
            call.next_ms = now.mono_ms + self.options.election_pause_ms;
            self.leader_finder.try_next();
            return self.lose_leader(now);
        }
        if let WorkflowOutcome::NotLeader(hint) = it.outcome {
            let pause_ms = if hint.is_some() { 0 } else { self.options.election_pause_ms };
            call.next_ms = now.mono_ms + pause_ms;
            let is_same = hint.is_some() && hint == call.sent_to;
            self.leader_finder.set_leader(hint.filter(|_| !is_same));
            if self.leader_finder.leader().is_none() {
                self.lose_leader(now);
            }
            return self.resend_elsewhere(now, it.id, pause_ms);
        }
        let leader = call.sent_to.or(self.leader_finder.leader());
        self.led_ms = Some(now.mono_ms);
        self.leader_finder.set_leader(leader);
        if let Some(since_ms) = self.leaderless_since_ms.take() {
            tracing::info!(event = "leader_found", leader = ?leader, after_ms = now.mono_ms.saturating_sub(since_ms));
            self.send_parked(now);
        }
        if self.asks_again(now, it.id, &it.outcome) {
            return;
        }
        let answer = match it.outcome {
            WorkflowOutcome::NoConfig => GatewayAnswer::Rejected {
                cause: RejectionCause::NoConfig,
                retry_after_ms: self.options.resend_ms,
            },
            WorkflowOutcome::Busy(retry_after_ms) => {
                GatewayAnswer::Rejected { cause: RejectionCause::Busy, retry_after_ms }
            }
            WorkflowOutcome::Unserved => GatewayAnswer::Rejected {
                cause: RejectionCause::Unserved,
                retry_after_ms: UNSERVED_PAUSE_MS,
            },
            told => GatewayAnswer::Outcome(told),
        };
        self.end(now, it.id, answer);
    }

    /// Asks for a change of zones again, on the ground of what they are by now; returns whether
    /// the answer was one that tells this.
    fn asks_again(&mut self, now: Now, id: u64, outcome: &WorkflowOutcome) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let WorkflowRequest::Evacuate(request) = &mut call.request else { return false };
        request.based_on = match outcome {
            WorkflowOutcome::Evacuations(it) => Some(it.revision),
            WorkflowOutcome::Stale => None,
            _ => return false,
        };
        self.send(now, id);
        true
    }

    /// Sends a call on to the leader named in an answer, or keeps it until one is known.
    fn resend_elsewhere(&mut self, now: Now, id: u64, pause_ms: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match (self.leader_finder.leader(), call.token) {
            (Some(_), _) => self.send(now, id),
            (None, PROBE) => call.next_ms = now.mono_ms + pause_ms.max(1),
            (None, _) if call.may_have_been_taken() => (),
            (None, _) => self.park(now, id),
        }
    }

    fn lose_leader(&mut self, now: Now) {
        if self.leaderless_since_ms.is_none() {
            tracing::warn!(event = "leader_lost", calls = self.calls.len());
            self.leaderless_since_ms = Some(now.mono_ms);
            self.probe_at_ms = now.mono_ms;
        }
    }

    fn end(&mut self, now: Now, id: u64, answer: GatewayAnswer) {
        let Some(call) = self.calls.remove(&id) else { return };
        if call.token == PROBE {
            return;
        }
        log_ended(&call, now, &answer);
        let took_ms = now.mono_ms - call.began_ms;
        self.effects.push(Effect::Answer { token: call.token, answer, took_ms });
    }

    fn tick(&mut self, now: Now) {
        if self.leaderless_since_ms == Some(NOT_BEGUN_MS) {
            self.leaderless_since_ms = Some(now.mono_ms);
        }
        if self.probe_at_ms <= now.mono_ms {
            self.probe_at_ms = now.mono_ms + self.options.probe_ms;
            if !self.calls.values().any(|it| it.token == PROBE) {
                self.begin(now, PROBE, WorkflowRequest::Ping, u64::MAX);
            }
            if self.leaderless_since_ms.is_some() {
                self.probe_at_ms = now.mono_ms + self.options.election_pause_ms;
            }
        }
        let over: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.deadline_ms <= now.mono_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let is_unsure = self.calls.get(&id).is_some_and(|it| it.may_have_been_taken());
            let answer = match is_unsure {
                true => GatewayAnswer::Unknown,
                false => GatewayAnswer::Rejected {
                    cause: RejectionCause::NoLeader,
                    retry_after_ms: self.options.give_up_ms / 2,
                },
            };
            self.end(now, id, answer);
        }
        self.resend_due(now);
    }

    /// Sends again what got no answer. While no leader is known only probes are sent, to one
    /// control process after the other.
    fn resend_due(&mut self, now: Now) {
        let due: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.next_ms <= now.mono_ms)
            .map(|(id, _)| *id)
            .collect();
        let silent = self.leader_finder.leader().filter(|leader| {
            due.iter().any(|id| {
                self.calls
                    .get(id)
                    .is_some_and(|it| 0 < it.unanswered && it.sent_to == Some(*leader))
            })
        });
        if let Some(leader) = silent {
            tracing::warn!(event = "leader_silent", leader = %leader, calls = due.len());
            self.leader_finder.try_next();
            self.lose_leader(now);
        } else if !due.is_empty() && self.leader_finder.leader().is_none() {
            self.leader_finder.try_next();
        }
        for id in due {
            let is_probe = self.calls.get(&id).is_some_and(|it| it.token == PROBE);
            if is_probe || self.leaderless_since_ms.is_none() {
                self.send(now, id);
            } else if let Some(call) = self.calls.get_mut(&id) {
                // It waits for a leader with what has not been sent yet.
                call.next_ms = u64::MAX;
            }
        }
    }

    fn send(&mut self, now: Now, id: u64) {
        let Some(to) = self.leader_finder.target() else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let is_search = call.token == PROBE && self.leaderless_since_ms.is_some();
        let pause_ms =
            if is_search { self.options.election_pause_ms } else { self.options.resend_ms };
        call.next_ms = now.mono_ms + pause_ms;
        call.sends += 1;
        call.unanswered += 1;
        call.sent_to = Some(to);
        let message = Message::WorkflowCall(WorkflowCall {
            id,
            reply_to: self.options.address,
            request: call.request.clone(),
        });
        self.effects.push(Effect::Send { to, message });
    }
}

impl Call {
    fn may_have_been_taken(&self) -> bool {
        let changes = match &self.request {
            WorkflowRequest::Submit(_)
            | WorkflowRequest::Cancel(_)
            | WorkflowRequest::Install(_) => true,
            WorkflowRequest::Evacuate(it) => it.based_on.is_some(),
            WorkflowRequest::Inspect(_)
            | WorkflowRequest::ReadConfig
            | WorkflowRequest::ReadEvacuations
            | WorkflowRequest::Ping => false,
        };
        changes && (self.is_interrupted || 0 < self.unanswered)
    }
}

fn log_ended(call: &Call, now: Now, answer: &GatewayAnswer) {
    let took_ms = now.mono_ms - call.began_ms;
    let (kind, target) = match &call.request {
        WorkflowRequest::Submit(it) => ("submit", it.target.path.as_str()),
        WorkflowRequest::Inspect(it) => ("inspect", it.path.as_str()),
        WorkflowRequest::Cancel(it) => ("cancel", it.path.as_str()),
        WorkflowRequest::Install(_) => ("install", ""),
        WorkflowRequest::ReadConfig => ("read_config", ""),
        WorkflowRequest::ReadEvacuations => ("read_evacuations", ""),
        WorkflowRequest::Evacuate(it) if it.evacuated => ("evacuate", it.zone.as_str()),
        WorkflowRequest::Evacuate(it) => ("take_back", it.zone.as_str()),
        WorkflowRequest::Ping => ("ping", ""),
    };
    match answer {
        GatewayAnswer::Outcome(WorkflowOutcome::Config(it)) => {
            tracing::info!(
                event = "request_answered",
                kind,
                version = it.version,
                took_ms,
                sends = call.sends
            );
        }
        GatewayAnswer::Outcome(outcome) => {
            tracing::info!(event = "request_answered", kind, target, outcome = ?outcome, took_ms, sends = call.sends);
        }
        GatewayAnswer::Rejected { cause, .. } => {
            tracing::warn!(event = "request_refused", kind, target, cause = ?cause, took_ms, sends = call.sends, leader = ?call.sent_to);
        }
        GatewayAnswer::Unknown => {
            tracing::warn!(event = "request_unknown", kind, target, took_ms, sends = call.sends, leader = ?call.sent_to);
        }
    }
}

/// Time after which a client may ask a queue again that is not served: operators change that, and
/// no sooner.
const UNSERVED_PAUSE_MS: u64 = 30_000;
