//! The gateway role: forwards workflow requests of clients and operators to the leader.
//!
//! It holds no durable state. An unanswered request is resent, to the next control process, until
//! it is answered or times out. Repeated sends are safe, since submissions carry their own identity
//! and configurations their version.

mod calls;
mod interface;
mod large_reads;

use std::collections::BTreeMap;

use crate::{
    control::leader_finder::LeaderFinder,
    policy::{
        overload::{WorkClass, answer_margin_ms, is_room_for, park_ms, resend_pause_ms},
        retry::RetryBudget,
    },
    prelude::*,
    schema::memory::request_bytes,
    util::ByteBudget,
};

pub use self::interface::{Effect, GatewayAnswer, GatewayOptions, Input, RejectionCause};
use self::{
    calls::{Call, log_answer},
    large_reads::LargeReads,
};

/// Value of `leaderless_since_ms` until the first tick sets the time.
const BEFORE_FIRST_TICK_MS: u64 = u64::MAX;

/// Token of the gateway's probes.
const PROBE_TOKEN: u64 = u64::MAX;

/// Share of the answers, in permille, that may be followed by a send of a request that the leader
/// has already: connections lose few messages, so a late answer mostly means a slow leader.
const RESEND_BUDGET_PERMILLE: u32 = 100;

/// A gateway, without its I/O.
pub struct GatewayCore {
    options: GatewayOptions,
    leader_finder: LeaderFinder,
    calls: BTreeMap<u64, Call>,
    /// The memory of `calls`.
    memory: ByteBudget,
    large_reads: LargeReads,
    next_id: u64,
    leader_confirmed_ms: Option<u64>,
    /// Since when no leader is known, or the known one is silent.
    leaderless_since_ms: Option<u64>,
    next_probe_ms: u64,
    /// The call of the open probe.
    probe: Option<u64>,
    is_stopping: bool,
    /// Bounds the sends of requests that the leader has and answers late.
    resend_budget: RetryBudget,
    effects: Vec<Effect>,
}

impl GatewayCore {
    /// Returns a gateway that knows no leader yet.
    pub fn new(options: GatewayOptions) -> GatewayCore {
        GatewayCore {
            leader_finder: LeaderFinder::new(options.control_addresses.clone(), options.boot),
            calls: BTreeMap::new(),
            memory: ByteBudget::new(options.calls_max_bytes),
            large_reads: LargeReads::default(),
            next_id: options.boot,
            leader_confirmed_ms: None,
            leaderless_since_ms: Some(BEFORE_FIRST_TICK_MS),
            next_probe_ms: 0,
            probe: None,
            is_stopping: false,
            resend_budget: RetryBudget::new(RESEND_BUDGET_PERMILLE),
            effects: Vec::new(),
            options,
        }
    }

    /// Returns whether a leader has answered lately, and no stop is in progress.
    pub fn is_ready(&self, now: Now) -> bool {
        let limit_ms = self.options.probe_ms * 3;
        !self.is_stopping && self.leader_confirmed_ms.is_some_and(|it| now.mono_ms < it + limit_ms)
    }

    /// Returns whether no client waits.
    pub fn is_drained(&self) -> bool {
        self.client_call_count() == 0
    }

    /// Takes the effects of the inputs handled so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let calls = self.calls.values().map(|it| it.next_send_ms.min(it.deadline_ms)).min();
        calls.unwrap_or(u64::MAX).min(self.next_probe_ms)
    }

    pub fn handle(&mut self, now: Now, input: Input) {
        match input {
            Input::Request { token, request, wait_ms, waited_ms } => {
                let received_ms = now.mono_ms.saturating_sub(waited_ms);
                self.start_call(now, token, request, received_ms, wait_ms)
            }
            Input::Message(it) => self.on_message(now, *it),
            Input::ControlAddresses(it) => self.leader_finder.set_seeds(it),
            Input::Tick => self.tick(now),
            Input::Stop => self.is_stopping = true,
        }
    }

    fn start_call(
        &mut self,
        now: Now,
        token: u64,
        request: WorkflowRequest,
        received_ms: u64,
        wait_ms: u64,
    ) {
        let deadline_ms = received_ms.saturating_add(self.longest_wait_ms(wait_ms));
        if deadline_ms <= now.mono_ms {
            return self.refuse(token, RejectionCause::Expired);
        }
        if token != PROBE_TOKEN && !self.has_room_for(&request) {
            return self.refuse(token, RejectionCause::TooManyCalls);
        }
        let reserved = match token {
            PROBE_TOKEN => Some(self.memory.reserve_none()),
            _ => self.memory.reserve(request_bytes(&request)),
        };
        let Some(reserved) = reserved else {
            return self.refuse(token, RejectionCause::NoMemory);
        };
        self.next_id = self.next_id.wrapping_add(1);
        let call = Call {
            token,
            request: self.with_origin(request),
            _reserved: reserved,
            received_ms,
            wait_ms,
            deadline_ms,
            next_send_ms: now.mono_ms,
            sends: 0,
            unanswered_sends: 0,
            was_interrupted: false,
            sent_to: None,
        };
        self.calls.insert(self.next_id, call);
        if token == PROBE_TOKEN {
            self.probe = Some(self.next_id);
        }
        if token == PROBE_TOKEN || self.leaderless_since_ms.is_none() {
            self.send(now, self.next_id);
        } else {
            self.park(now, self.next_id);
        }
    }

    /// Answers a request that is not accepted for want of room.
    fn refuse(&mut self, token: u64, cause: RejectionCause) {
        let retry_after_ms = self.options.resend_ms;
        tracing::warn!(
            event = "request_refused",
            token,
            cause = cause.as_str(),
            calls = self.client_call_count(),
            calls_bytes = self.memory.used_bytes()
        );
        let answer = GatewayAnswer::Rejected { cause, retry_after_ms };
        self.effects.push(Effect::Answer { token, answer, took_ms: 0 });
    }

    /// Returns whether one more request may be open.
    fn has_room_for(&self, request: &WorkflowRequest) -> bool {
        let (open, calls_max) = (self.client_call_count(), self.options.calls_max);
        match self.options.overload_control {
            true => is_room_for(WorkClass::of(request), open, calls_max),
            false => open < calls_max,
        }
    }

    /// Returns how long a request waits for its answer, if its client waits for `wait_ms`.
    fn longest_wait_ms(&self, wait_ms: u64) -> u64 {
        let margin_ms = match self.options.overload_control {
            true => answer_margin_ms(wait_ms),
            false => 0,
        };
        (wait_ms - margin_ms).min(self.options.give_up_ms)
    }

    /// Returns the number of open calls of clients. The gateway's own probe takes no place of a
    /// client, and finds a leader however many clients wait for one.
    fn client_call_count(&self) -> usize {
        self.calls.len() - usize::from(self.probe.is_some())
    }

    /// Adds the availability zone that a submission enters by.
    fn with_origin(&self, request: WorkflowRequest) -> WorkflowRequest {
        match request {
            WorkflowRequest::Submit(submission) => {
                let zone = self.options.zone.clone();
                WorkflowRequest::SubmitFrom(OriginatedSubmission { zone, submission })
            }
            it => it,
        }
    }

    /// Keeps a call unsent while no leader is known. An unsent call was certainly not accepted,
    /// which cannot be said of one sent to a silent process.
    fn park(&mut self, now: Now, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let park_ms = match self.options.overload_control {
            true => park_ms(call.wait_ms, self.options.park_ms),
            false => self.options.park_ms,
        };
        call.deadline_ms = call.deadline_ms.min(now.mono_ms + park_ms);
        call.next_send_ms = u64::MAX;
        self.next_probe_ms = self.next_probe_ms.min(now.mono_ms);
    }

    /// Sends the parked calls, with their deadlines restored.
    fn send_parked(&mut self, now: Now) {
        let mut parked: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.next_send_ms == u64::MAX)
            .map(|(id, it)| (WorkClass::of(&it.request), *id))
            .collect();
        if self.options.overload_control {
            // What is of most use to others is first in the leader's queue.
            parked.sort_unstable();
        }
        for (_, id) in parked {
            let longest_wait_ms =
                self.calls.get(&id).map_or(0, |it| self.longest_wait_ms(it.wait_ms));
            if let Some(call) = self.calls.get_mut(&id) {
                call.deadline_ms = call.deadline_ms.max(call.received_ms + longest_wait_ms);
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

    fn on_answer(&mut self, now: Now, reply: WorkflowAnswer) {
        self.leader_finder.set_members(&reply.members);
        let Some(call) = self.calls.get_mut(&reply.id) else { return };
        call.unanswered_sends = call.unanswered_sends.saturating_sub(1);
        if reply.outcome == WorkflowOutcome::Interrupted {
            call.was_interrupted = true;
            call.next_send_ms = now.mono_ms + self.options.election_pause_ms;
            self.leader_finder.try_next();
            return self.mark_leader_lost(now);
        }
        if let WorkflowOutcome::NotLeader(hint) = reply.outcome {
            let pause_ms = if hint.is_some() { 0 } else { self.options.election_pause_ms };
            call.next_send_ms = now.mono_ms + pause_ms;
            let is_same_process = hint.is_some() && hint == call.sent_to;
            self.leader_finder.set_leader(hint.filter(|_| !is_same_process));
            if self.leader_finder.leader().is_none() {
                self.mark_leader_lost(now);
            }
            return self.resend_or_park(now, reply.id, pause_ms);
        }
        let is_held_back =
            matches!(reply.outcome, WorkflowOutcome::Rejected(_)) && call.may_have_been_accepted();
        let leader = call.sent_to.or(self.leader_finder.leader());
        self.leader_confirmed_ms = Some(now.mono_ms);
        self.resend_budget.earn();
        self.leader_finder.set_leader(leader);
        if let Some(since_ms) = self.leaderless_since_ms.take() {
            tracing::info!(event = "leader_found", leader = ?leader, after_ms = now.mono_ms.saturating_sub(since_ms));
            self.send_parked(now);
        }
        // Another send of the call may be accepted, and its work would run: its answer counts.
        if is_held_back || self.retry_evacuation(now, reply.id, &reply.outcome) {
            return;
        }
        let answer = match reply.outcome {
            WorkflowOutcome::NoConfig => GatewayAnswer::Rejected {
                cause: RejectionCause::NoConfig,
                retry_after_ms: self.options.resend_ms,
            },
            WorkflowOutcome::Rejected(it) => GatewayAnswer::Rejected {
                cause: it.cause.into(),
                retry_after_ms: it.retry_after_ms,
            },
            WorkflowOutcome::Busy(retry_after_ms) => {
                GatewayAnswer::Rejected { cause: RejectionCause::Busy, retry_after_ms }
            }
            WorkflowOutcome::Unserved => GatewayAnswer::Rejected {
                cause: RejectionCause::Unserved,
                retry_after_ms: UNSERVED_RETRY_AFTER_MS,
            },
            outcome => GatewayAnswer::Outcome(outcome),
        };
        let may_have_been_accepted =
            self.calls.get(&reply.id).is_some_and(Call::may_have_been_accepted);
        let answer = match answer {
            // An earlier send was not answered, and may be accepted in spite of this refusal.
            GatewayAnswer::Rejected { .. } if may_have_been_accepted => GatewayAnswer::Unknown,
            it => it,
        };
        self.finish(now, reply.id, answer);
    }

    /// Resends an evacuation request with the revision just read, or without one, to read it again,
    /// if it was stale. Returns false for any other outcome.
    fn retry_evacuation(&mut self, now: Now, id: u64, outcome: &WorkflowOutcome) -> bool {
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

    /// Resends a call to the leader named in an answer, or parks it until one is known, unless it
    /// may have been accepted.
    fn resend_or_park(&mut self, now: Now, id: u64, pause_ms: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match (self.leader_finder.leader(), call.token) {
            (Some(_), _) => self.send(now, id),
            (None, PROBE_TOKEN) => call.next_send_ms = now.mono_ms + pause_ms.max(1),
            (None, _) if call.may_have_been_accepted() => (),
            (None, _) => self.park(now, id),
        }
    }

    fn mark_leader_lost(&mut self, now: Now) {
        if self.leaderless_since_ms.is_none() {
            tracing::warn!(event = "leader_lost", calls = self.calls.len());
            self.leaderless_since_ms = Some(now.mono_ms);
            self.next_probe_ms = now.mono_ms;
        }
    }

    fn finish(&mut self, now: Now, id: u64, answer: GatewayAnswer) {
        let Some(call) = self.calls.remove(&id) else { return };
        if let Some(it) = self.large_reads.end(id) {
            self.send(now, it);
        }
        if call.token == PROBE_TOKEN {
            self.probe = None;
            return;
        }
        log_answer(&call, now, &answer);
        let took_ms = now.mono_ms - call.received_ms;
        self.effects.push(Effect::Answer { token: call.token, answer, took_ms });
    }

    fn tick(&mut self, now: Now) {
        if self.leaderless_since_ms == Some(BEFORE_FIRST_TICK_MS) {
            self.leaderless_since_ms = Some(now.mono_ms);
        }
        if self.next_probe_ms <= now.mono_ms {
            self.next_probe_ms = now.mono_ms + self.options.probe_ms;
            if self.probe.is_none() {
                self.start_call(now, PROBE_TOKEN, WorkflowRequest::Ping, now.mono_ms, u64::MAX);
            }
            if self.leaderless_since_ms.is_some() {
                self.next_probe_ms = now.mono_ms + self.options.election_pause_ms;
            }
        }
        let expired: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.deadline_ms <= now.mono_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let is_outcome_unknown =
                self.calls.get(&id).is_some_and(|it| it.may_have_been_accepted());
            let answer = match is_outcome_unknown {
                true => GatewayAnswer::Unknown,
                false => GatewayAnswer::Rejected {
                    cause: RejectionCause::NoLeader,
                    retry_after_ms: self.options.give_up_ms / 2,
                },
            };
            self.finish(now, id, answer);
        }
        self.resend_due(now);
    }

    /// Sends the calls that are due. While no leader is known, only probes are sent, to one control
    /// process after the other.
    fn resend_due(&mut self, now: Now) {
        let due: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.next_send_ms <= now.mono_ms)
            .map(|(id, _)| *id)
            .collect();
        if self.options.overload_control && self.leader_answers(now) {
            return self.resend_within_budget(now, due);
        }
        let silent_leader = self.leader_finder.leader().filter(|leader| {
            due.iter().any(|id| {
                self.calls
                    .get(id)
                    .is_some_and(|it| 0 < it.unanswered_sends && it.sent_to == Some(*leader))
            })
        });
        if let Some(leader) = silent_leader {
            tracing::warn!(event = "leader_silent", leader = %leader, calls = due.len());
            self.leader_finder.try_next();
            self.mark_leader_lost(now);
        } else if !due.is_empty() && self.leader_finder.leader().is_none() {
            self.leader_finder.try_next();
        }
        for id in due {
            let is_probe = self.calls.get(&id).is_some_and(|it| it.token == PROBE_TOKEN);
            if is_probe || self.leaderless_since_ms.is_none() {
                self.send(now, id);
            } else if let Some(call) = self.calls.get_mut(&id) {
                // The call waits for a leader together with the parked ones.
                call.next_send_ms = u64::MAX;
            }
        }
    }

    /// Returns whether the known leader has answered any request within the time after which one is
    /// sent again.
    fn leader_answers(&self, now: Now) -> bool {
        let is_recent = |it: u64| now.mono_ms < it + self.options.resend_ms;
        self.leaderless_since_ms.is_none() && self.leader_confirmed_ms.is_some_and(is_recent)
    }

    /// Sends requests again that a leader at work has not answered yet, as far as the budget
    /// allows; the others wait on. Requests that this leader never got cost nothing.
    fn resend_within_budget(&mut self, now: Now, due: Vec<u64>) {
        for id in due {
            let Some(call) = self.calls.get_mut(&id) else { continue };
            let is_new = call.unanswered_sends == 0 || call.sent_to != self.leader_finder.leader();
            if is_new || self.resend_budget.try_spend() {
                self.send(now, id);
            } else {
                call.next_send_ms = now.mono_ms + self.options.resend_ms;
            }
        }
    }

    fn send(&mut self, now: Now, id: u64) {
        let Some(to) = self.leader_finder.target() else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.deadline_ms <= now.mono_ms {
            // Nobody waits for the answer, and the client may have cancelled the submission since.
            // The next tick ends the call.
            call.next_send_ms = u64::MAX;
            return;
        }
        if !self.large_reads.may_send(id, &call.request) {
            // Sent when its turn comes.
            call.next_send_ms = u64::MAX;
            return;
        }
        let is_leader_search = call.token == PROBE_TOKEN && self.leaderless_since_ms.is_some();
        let pause_ms = match is_leader_search {
            true => self.options.election_pause_ms,
            false if self.options.overload_control => {
                resend_pause_ms(self.options.resend_ms, call.sends, id)
            }
            false => self.options.resend_ms,
        };
        call.next_send_ms = now.mono_ms + pause_ms;
        call.sends += 1;
        call.unanswered_sends += 1;
        call.sent_to = Some(to);
        let forwarded =
            WorkflowCall { id, reply_to: self.options.address, request: call.request.clone() };
        let message = match self.options.overload_control {
            true => Message::TimedCall(TimedCall {
                call: forwarded,
                remaining_ms: call.deadline_ms.saturating_sub(now.mono_ms),
            }),
            false => Message::WorkflowCall(forwarded),
        };
        self.effects.push(Effect::Send { to, message });
    }
}

/// Retry time for a queue that is not served. An earlier retry is useless, since only operators
/// change that.
const UNSERVED_RETRY_AFTER_MS: u64 = 30_000;
