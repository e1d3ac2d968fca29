//! Attempts of quick requests: sent, answered, repeated, given up.

use std::net::SocketAddr;

use crate::{
    entry::{
        core::{ASK_MS, ATTEMPT_MIN_MS, ControlToken, EntryCore, FOLLOW_UNKNOWN_MS, class_queue},
        endpoints::EndpointKey,
        pending_request::{Attempt, PendingRequestKey, Stage},
        request::CallerAnswer,
    },
    error::{ExecutionStatus, answer_for_error},
    metrics::AnswerDropReason,
    policy::retry::{RetryReason, reason_of_refusal},
    prelude::*,
    util::checksum,
};

impl EntryCore {
    /// Sends a request to an endpoint, or claims its key first; returns false where no endpoint
    /// takes it now.
    pub(super) fn try_begin(&mut self, now: Now, key: PendingRequestKey) -> bool {
        let Some(pending) = self.pending_requests.get_mut(key) else { return true };
        let class = pending.caller_request.class.clone();
        let chosen = self.endpoints.choose(&class, &pending.tried_endpoints, now, &mut self.random);
        // Where every endpoint was tried, the first ones may have recovered.
        let chosen = match chosen {
            None if !pending.tried_endpoints.is_empty() => {
                self.endpoints.choose(&class, &[], now, &mut self.random)
            }
            it => it,
        };
        let Some(endpoint) = chosen else { return false };
        self.endpoints.note_sent(endpoint);
        if pending.is_idempotent() {
            self.send_attempt(now, key, endpoint);
        } else {
            self.claim(now, key, endpoint);
        }
        true
    }

    /// Sends one attempt to an endpoint already counted.
    pub(super) fn send_attempt(&mut self, now: Now, key: PendingRequestKey, endpoint: EndpointKey) {
        let (Some(pending), Some(target)) =
            (self.pending_requests.get_mut(key), self.endpoints.get(endpoint))
        else {
            return;
        };
        pending.attempts_made += 1;
        // A claimed attempt bears the claim's number, by which others may ask about it.
        let number =
            if pending.is_idempotent() { pending.attempts_made } else { pending.claim_attempt };
        pending.attempts.push(Attempt {
            number,
            endpoint,
            endpoint_id: target.id,
            sent_ms: now.mono_ms,
        });
        let left_ms = pending.left_ms(now);
        let usual_ms = target.answer_time.mean_ms() as u64;
        // An attempt that takes several times the usual is worth a second one, while there is
        // time left for it to be answered.
        let wait_ms = (usual_ms * 6).max(ATTEMPT_MIN_MS).min((left_ms / 2).max(ATTEMPT_MIN_MS));
        let next_action_ms = now.mono_ms + wait_ms;
        pending.stage = Stage::InFlight { next_action_ms };
        let execute = Execute {
            request: pending.request,
            attempt: number,
            endpoint: target.id,
            reply_to: self.options.address,
            team: pending.team.clone(),
            class: pending.caller_request.class.clone(),
            path: pending.caller_request.path.clone(),
            deadline_ms: left_ms.min(u32::MAX.into()) as u32,
            idempotent: pending.is_idempotent(),
            body: serde_bytes::ByteBuf::from(pending.caller_request.body.clone()),
        };
        let to = target.agent;
        self.timers.insert((next_action_ms, key));
        self.send(to, Message::Execute(execute));
    }

    /// Looks at a request again at a time.
    pub(super) fn schedule(&mut self, at_ms: u64, key: PendingRequestKey) {
        self.timers.insert((at_ms, key));
    }

    /// Does what is due for a request.
    pub(super) fn act(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        if pending.deadline_ms <= now.mono_ms {
            return self.on_deadline(now, key);
        }
        match pending.stage {
            Stage::Waiting => {
                let class = pending.caller_request.class.clone();
                let answer_ms = self.endpoints.answer_ms_of(&class) as u64;
                if pending.left_ms(now) <= answer_ms {
                    let detail = "it waited until too little time was left";
                    self.refuse(
                        now,
                        key,
                        refusal_with_retry_after(ErrorKind::WouldMissDeadline, detail, 100),
                    );
                } else {
                    self.pump(now, &class);
                    self.schedule_drop(now, key);
                }
            }
            Stage::Following { next_lookup_ms, .. } if next_lookup_ms <= now.mono_ms => {
                self.look_at_claim(now, key)
            }
            Stage::InFlight { next_action_ms }
                if next_action_ms <= now.mono_ms && pending.is_idempotent() =>
            {
                self.hedge(now, key)
            }
            Stage::InFlight { next_action_ms } if next_action_ms <= now.mono_ms => {
                self.ask_own(now, key)
            }
            _ => (),
        }
    }

    /// Makes another attempt beside one that is slow to answer.
    pub(super) fn hedge(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.may_have_run = true;
        let slow: Vec<_> =
            pending.attempts.iter().map(|it| (it.endpoint, it.endpoint_id)).collect();
        if pending.attempts_made < self.options.settings.attempts_max && self.budget.try_spend() {
            pending.tried_endpoints.extend(slow.iter().map(|(_, id)| *id));
            self.metrics.count_retry(RetryReason::NoAnswer);
            for (endpoint, _) in slow {
                self.note_failure(now, endpoint);
            }
            if self.try_begin(now, key) {
                return;
            }
        }
        if let Some(pending) = self.pending_requests.get_mut(key) {
            pending.stage = Stage::InFlight { next_action_ms: pending.deadline_ms };
        }
    }

    pub(super) fn on_deadline(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        match pending.stage {
            Stage::Waiting => {
                let detail = "its deadline passed while it waited";
                self.refuse(
                    now,
                    key,
                    refusal_with_retry_after(ErrorKind::DeadlineExpiredQueued, detail, 100),
                );
            }
            Stage::InFlight { .. } if pending.is_idempotent() => {
                self.refuse(
                    now,
                    key,
                    refusal(ErrorKind::AnswerLate, "no answer arrived by its deadline"),
                );
            }
            Stage::Checking { .. } => {
                let detail = "its key could not be looked up in time";
                self.refuse(
                    now,
                    key,
                    refusal_with_retry_after(ErrorKind::ControlUnavailable, detail, 500),
                );
            }
            Stage::Following { .. } => {
                let detail = "an earlier request with this key has no outcome yet";
                self.refuse(
                    now,
                    key,
                    refusal_with_retry_after(ErrorKind::ClaimInProgress, detail, 1_000),
                );
            }
            Stage::Claiming { .. } | Stage::InFlight { .. } => {
                let sent = matches!(pending.stage, Stage::InFlight { .. });
                // The caller is told now; the claim is followed, so that a resend learns more.
                pending.deadline_ms = now.mono_ms + FOLLOW_UNKNOWN_MS;
                self.timers.insert((pending.deadline_ms, key));
                let Some(token) = pending.token.take() else {
                    return self.give_up_following(now, key);
                };
                let refusal = match sent {
                    true => refusal(
                        ErrorKind::OutcomeUnknown,
                        "it was sent and no answer arrived by its deadline",
                    ),
                    false => refusal(
                        ErrorKind::ControlUnavailable,
                        "its key could not be claimed in time",
                    ),
                };
                self.answer(token, CallerAnswer::Refused(refusal));
            }
        }
    }

    pub(super) fn on_link_lost(&mut self, now: Now, peer: SocketAddr) {
        let endpoints = &self.endpoints;
        let at_peer = |it: &Attempt| endpoints.get(it.endpoint).is_some_and(|it| it.agent == peer);
        let affected = self
            .pending_requests
            .iter()
            .filter(|(_, it)| it.attempts.iter().any(at_peer))
            .map(|(key, _)| key);
        let affected: Vec<_> = affected.collect();
        for key in affected {
            // What was sent may be lost: no reason to wait for the usual time.
            if let Some(pending) = self.pending_requests.get_mut(key)
                && let Stage::InFlight { next_action_ms } = &mut pending.stage
            {
                *next_action_ms = now.mono_ms;
                self.timers.insert((now.mono_ms, key));
            }
        }
    }

    pub(super) fn on_execute_reply(&mut self, now: Now, it: ExecuteReply) {
        if let Some(key) = self.endpoints.key_of(it.endpoint)
            && let Some(endpoint) = self.endpoints.get_mut(key)
        {
            endpoint.note_load(it.load, now);
        }
        if let Some(key) = self.outcome_queries.remove(&(it.request, it.attempt)) {
            return self.on_foreign_outcome(now, key, it);
        }
        let found = self.by_request.get(&it.request).copied();
        let Some((key, pending)) =
            found.and_then(|key| Some((key, self.pending_requests.get_mut(key)?)))
        else {
            let own =
                it.request.boot == self.options.boot && it.request.number <= self.next_request;
            return self.metrics.count_dropped_answer(if own {
                AnswerDropReason::Late
            } else {
                AnswerDropReason::UnknownRequest
            });
        };
        let position = pending
            .attempts
            .iter()
            .position(|at| at.number == it.attempt && at.endpoint_id == it.endpoint);
        let Some(position) = position else {
            return self.metrics.count_dropped_answer(AnswerDropReason::Late);
        };
        if it.outcome == ExecuteOutcome::Running {
            pending.stage = Stage::InFlight { next_action_ms: now.mono_ms + ASK_MS };
            self.timers.insert((now.mono_ms + ASK_MS, key));
            return;
        }
        let attempt = pending.attempts.remove(position);
        self.endpoints.note_ended(attempt.endpoint);
        self.on_outcome(now, key, attempt, it.outcome);
    }

    pub(super) fn on_outcome(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        attempt: Attempt,
        outcome: ExecuteOutcome,
    ) {
        match outcome {
            ExecuteOutcome::Answered(it) if checksum(&it.body) != it.checksum => {
                self.metrics.count_dropped_answer(AnswerDropReason::ChecksumMismatch);
                self.on_failed(now, key, attempt, "its answer arrived damaged");
            }
            ExecuteOutcome::Answered(it) => self.on_answered(now, key, attempt, it),
            ExecuteOutcome::Failed(why) => self.on_failed(now, key, attempt, &why),
            ExecuteOutcome::Refused(kind) => {
                if reason_of_refusal(kind) != RetryReason::Busy {
                    self.endpoints.note_leaving(attempt.endpoint_id);
                }
                if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
                    endpoint.ejection.note_probe_refused(now.mono_ms);
                }
                if let Some(pending) = self.pending_requests.get_mut(key) {
                    pending.last_refusal = Some(kind);
                }
                self.retry(now, key, attempt.endpoint_id, reason_of_refusal(kind));
            }
            ExecuteOutcome::NotSeen => {
                self.retry(now, key, attempt.endpoint_id, RetryReason::NotSeen)
            }
            ExecuteOutcome::Running => (),
        }
    }

    pub(super) fn on_answered(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        attempt: Attempt,
        it: Answer,
    ) {
        let answer_ms = now.mono_ms.saturating_sub(attempt.sent_ms);
        let is_error = 500 <= it.status;
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.answer_time.observe(answer_ms as f64);
            if !is_error {
                endpoint.ejection.note_success();
            }
        }
        if is_error {
            self.note_failure(now, attempt.endpoint);
        } else {
            self.budget.earn();
        }
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        if is_error && pending.is_idempotent() {
            // Another endpoint may do better; if none does, the caller gets this answer.
            pending.error_answer = Some(it);
            return self.retry(now, key, attempt.endpoint_id, RetryReason::Failed);
        }
        if !pending.is_idempotent() {
            self.settle_done(now, key, &it);
        }
        self.pass_on(now, key, it);
    }

    /// Answers the caller with an endpoint's answer.
    pub(super) fn pass_on(&mut self, now: Now, key: PendingRequestKey, it: Answer) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let total_ms = now.mono_ms.saturating_sub(pending.arrived_ms);
        let attempts = pending.attempts_made;
        let class = pending.caller_request.class.clone();
        self.metrics.observe_answer(&class, total_ms as f64 / 1_000.0);
        class_queue(&mut self.class_queues, &class).answers.saturating_record(total_ms.max(1));
        let answer = CallerAnswer::Quick {
            status: it.status,
            content_type: it.content_type,
            body: it.body.into_vec(),
            attempts,
        };
        self.finish(now, key, answer);
    }

    pub(super) fn on_failed(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        attempt: Attempt,
        why: &str,
    ) {
        self.note_failure(now, attempt.endpoint);
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.may_have_run = true;
        if pending.is_idempotent() {
            return self.retry(now, key, attempt.endpoint_id, RetryReason::Failed);
        }
        let detail = format_compact!("the endpoint failed while it ran: {why}");
        self.settle(now, key, ClaimOutcome::Unknown, ControlToken::NoReply);
        self.refuse(now, key, refusal(ErrorKind::OutcomeUnknown, detail));
    }

    pub(super) fn note_failure(&mut self, now: Now, endpoint: EndpointKey) {
        let Some(class) = self.endpoints.get(endpoint).map(|it| it.class.clone()) else { return };
        let out_permille = self.endpoints.out_permille(&class, endpoint, now);
        if let Some(it) = self.endpoints.get_mut(endpoint) {
            let was_out = it.ejection.is_ejected_or_probing();
            it.ejection.note_failure(now.mono_ms, out_permille);
            if it.ejection.is_ejected_or_probing() && !was_out {
                self.metrics.ejections.inc();
            }
        }
    }

    /// Makes another attempt, if budget and time allow.
    pub(super) fn retry(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        failed: EndpointId,
        reason: RetryReason,
    ) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.tried_endpoints.push(failed);
        if !pending.attempts.is_empty() {
            return;
        }
        if pending.token.is_none() {
            // Its caller was told already; nothing new is begun for it.
            return self.give_up(now, key, ErrorKind::DeadlineExpiredQueued);
        }
        if self.options.settings.attempts_max <= pending.attempts_made {
            return self.give_up(now, key, ErrorKind::AttemptsExhausted);
        }
        if !self.budget.try_spend() {
            return self.give_up(now, key, ErrorKind::RetryBudgetExhausted);
        }
        self.metrics.count_retry(reason);
        pending.stage = Stage::Waiting;
        if !self.endpoints.has_open(&pending.caller_request.class) {
            self.give_up(now, key, ErrorKind::NoEndpoint)
        } else if !self.try_begin(now, key) {
            self.enqueue(now, key);
        }
    }

    /// Gives the final answer to a request that is not tried again.
    pub(super) fn give_up(&mut self, now: Now, key: PendingRequestKey, kind: ErrorKind) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let tried = pending.attempts_made;
        let last = pending
            .last_refusal
            .map(|it| format_compact!(", the last refused as {it}"))
            .unwrap_or_default();
        let detail = format_compact!("{tried} attempts were made{last}");
        let refusal = refusal_with_retry_after(kind, detail, 500);
        self.refuse(now, key, refusal);
    }

    /// Answers with a refusal, and settles a claim of a request that did not run.
    ///
    /// "Not run" must be true of the idempotency key, not only of this sending: before it is said
    /// of a key, its claim is settled, or looked up where this request does not hold it.
    pub(super) fn refuse(&mut self, now: Now, key: PendingRequestKey, refusal: Refusal) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        if let Some(it) = pending.error_answer.clone() {
            return self.pass_on(now, key, it);
        }
        let mut refusal = refusal;
        if pending.may_have_run
            && answer_for_error(refusal.kind).execution == ExecutionStatus::NotExecuted
        {
            // Whatever ended it, an earlier attempt may have run.
            refusal.kind = ErrorKind::EndpointFailed;
        }
        let says_not_run = answer_for_error(refusal.kind).execution == ExecutionStatus::NotExecuted;
        let is_checked = matches!(pending.stage, Stage::Checking { .. });
        if says_not_run && !pending.is_idempotent() && !is_checked {
            return self.check_key(now, key, refusal);
        }
        self.finish(now, key, CallerAnswer::Refused(refusal));
    }

    /// Ends a request, and lets the next one of its class have its place.
    pub(super) fn finish(&mut self, now: Now, key: PendingRequestKey, answer: CallerAnswer) {
        self.leave_stage(key);
        let Some(pending) = self.pending_requests.remove(key) else { return };
        self.by_request.remove(&pending.request);
        if !pending.is_idempotent() {
            // An agent that was asked for it may never answer.
            self.outcome_queries.retain(|_, it| *it != key);
        }
        if let Some(it) = self.by_team.get_mut(&pending.team) {
            *it -= 1;
            if *it == 0 {
                self.by_team.remove(&pending.team);
            }
        }
        for it in &pending.attempts {
            self.endpoints.note_ended(it.endpoint);
        }
        let class = &pending.caller_request.class;
        if let Some(token) = pending.token {
            self.answer(token, answer);
        }
        self.pump(now, class);
    }

    /// Gives back what a request holds in its stage: its place in the queue, or on an endpoint.
    pub(super) fn leave_stage(&mut self, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        match pending.stage {
            Stage::Claiming { endpoint } => self.endpoints.note_ended(endpoint),
            Stage::Waiting => {
                if let Some(line) = self.class_queues.get_mut(&pending.caller_request.class) {
                    line.queue.remove(key);
                }
            }
            _ => (),
        }
    }
}
