//! Attempts of quick requests: sending, replies, retries and refusals.

use std::net::SocketAddr;

use crate::{
    entry::{
        core::{
            ATTEMPT_TIMEOUT_MIN_MS, ControlToken, EntryCore, OUTCOME_QUERY_INTERVAL_MS,
            UNKNOWN_OUTCOME_FOLLOW_MS, class_queue,
        },
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
    /// Sends a request to an endpoint, or claims its key first; returns false if no endpoint admits
    /// it now.
    pub(super) fn try_begin(&mut self, now: Now, key: PendingRequestKey) -> bool {
        let Some(pending) = self.pending_requests.get_mut(key) else { return true };
        let class = pending.caller_request.class.clone();
        let chosen = self.endpoints.choose(&class, &pending.tried_endpoints, now, &mut self.random);
        // If no untried endpoint admits the request, one that was tried may have recovered.
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

    /// Sends one attempt to an endpoint that counts it as in flight already.
    pub(super) fn send_attempt(&mut self, now: Now, key: PendingRequestKey, endpoint: EndpointKey) {
        let (Some(pending), Some(target)) =
            (self.pending_requests.get_mut(key), self.endpoints.get(endpoint))
        else {
            return;
        };
        pending.attempts_made += 1;
        // An attempt under a claim has the claim's number, by which other requests may query it.
        let number =
            if pending.is_idempotent() { pending.attempts_made } else { pending.claim_attempt };
        pending.attempts.push(Attempt {
            number,
            endpoint,
            endpoint_id: target.id,
            sent_ms: now.mono_ms,
        });
        let remaining_ms = pending.remaining_ms(now);
        let usual_ms = target.answer_time.mean_ms() as u64;
        // Waits six times the usual answer time before another attempt or an outcome query, but at
        // most half the remaining time, so that a reply can still arrive in time.
        let wait_ms = (usual_ms * 6)
            .max(ATTEMPT_TIMEOUT_MIN_MS)
            .min((remaining_ms / 2).max(ATTEMPT_TIMEOUT_MIN_MS));
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
            deadline_ms: remaining_ms.min(u32::MAX.into()) as u32,
            idempotent: pending.is_idempotent(),
            body: serde_bytes::ByteBuf::from(pending.caller_request.body.clone()),
        };
        let to = target.agent;
        self.timers.insert((next_action_ms, key));
        self.send(to, Message::Execute(execute));
    }

    /// Sets a timer for a request.
    pub(super) fn schedule(&mut self, at_ms: u64, key: PendingRequestKey) {
        self.timers.insert((at_ms, key));
    }

    /// Handles a timer of a request according to its deadline and stage.
    pub(super) fn handle_timer(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        if pending.deadline_ms <= now.mono_ms {
            return self.on_deadline(now, key);
        }
        match pending.stage {
            Stage::Waiting => {
                let class = pending.caller_request.class.clone();
                let answer_ms = self.endpoints.mean_answer_ms(&class) as u64;
                if pending.remaining_ms(now) <= answer_ms {
                    let detail = "it waited until too little time was left";
                    self.refuse(
                        now,
                        key,
                        refusal_with_retry_after(ErrorKind::WouldMissDeadline, detail, 100),
                    );
                } else {
                    self.dispatch_queued(now, &class);
                    self.schedule_expiry(now, key);
                }
            }
            Stage::Following { next_lookup_ms, .. } if next_lookup_ms <= now.mono_ms => {
                self.query_claim(now, key)
            }
            Stage::InFlight { next_action_ms }
                if next_action_ms <= now.mono_ms && pending.is_idempotent() =>
            {
                self.hedge(now, key)
            }
            Stage::InFlight { next_action_ms } if next_action_ms <= now.mono_ms => {
                self.query_own_attempts(now, key)
            }
            _ => (),
        }
    }

    /// Sends another attempt while a slow one is still open, if limit and budget allow.
    pub(super) fn hedge(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.may_have_run = true;
        let slow: Vec<_> =
            pending.attempts.iter().map(|it| (it.endpoint, it.endpoint_id)).collect();
        if pending.attempts_made < self.options.settings.attempts_max
            && self.retry_budget.try_spend()
        {
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
                let is_sent = matches!(pending.stage, Stage::InFlight { .. });
                // The claim is followed after this answer, so that a resend can get the outcome.
                pending.deadline_ms = now.mono_ms + UNKNOWN_OUTCOME_FOLLOW_MS;
                self.timers.insert((pending.deadline_ms, key));
                let Some(token) = pending.token.take() else {
                    return self.stop_following(now, key);
                };
                let refusal = match is_sent {
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
            // The attempt may be lost, so its usual answer time is not waited for.
            if let Some(pending) = self.pending_requests.get_mut(key)
                && let Stage::InFlight { next_action_ms } = &mut pending.stage
            {
                *next_action_ms = now.mono_ms;
                self.timers.insert((now.mono_ms, key));
            }
        }
    }

    pub(super) fn on_execute_reply(&mut self, now: Now, reply: ExecuteReply) {
        if let Some(key) = self.endpoints.key_of(reply.endpoint)
            && let Some(endpoint) = self.endpoints.get_mut(key)
        {
            endpoint.note_load(reply.load, now);
        }
        if let Some(key) = self.outcome_queries.remove(&(reply.request, reply.attempt)) {
            return self.on_foreign_outcome(now, key, reply);
        }
        let found = self.keys_by_request.get(&reply.request).copied();
        let Some((key, pending)) =
            found.and_then(|key| Some((key, self.pending_requests.get_mut(key)?)))
        else {
            let is_own = reply.request.boot == self.options.boot
                && reply.request.number <= self.next_request;
            return self.metrics.count_dropped_answer(if is_own {
                AnswerDropReason::Late
            } else {
                AnswerDropReason::UnknownRequest
            });
        };
        let position = pending
            .attempts
            .iter()
            .position(|it| it.number == reply.attempt && it.endpoint_id == reply.endpoint);
        let Some(position) = position else {
            return self.metrics.count_dropped_answer(AnswerDropReason::Late);
        };
        if reply.outcome == ExecuteOutcome::Running {
            pending.stage =
                Stage::InFlight { next_action_ms: now.mono_ms + OUTCOME_QUERY_INTERVAL_MS };
            self.timers.insert((now.mono_ms + OUTCOME_QUERY_INTERVAL_MS, key));
            return;
        }
        let attempt = pending.attempts.remove(position);
        self.endpoints.note_ended(attempt.endpoint);
        self.on_outcome(now, key, attempt, reply.outcome);
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
            ExecuteOutcome::Failed(reason) => self.on_failed(now, key, attempt, &reason),
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
        answer: Answer,
    ) {
        let answer_ms = now.mono_ms.saturating_sub(attempt.sent_ms);
        let is_error = 500 <= answer.status;
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.answer_time.observe(answer_ms as f64);
            if !is_error {
                endpoint.ejection.note_success();
            }
        }
        if is_error {
            self.note_failure(now, attempt.endpoint);
        } else {
            self.retry_budget.earn();
        }
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        if is_error && pending.is_idempotent() {
            // Retries elsewhere; if no attempt succeeds, the caller gets this answer.
            pending.error_answer = Some(answer);
            return self.retry(now, key, attempt.endpoint_id, RetryReason::Failed);
        }
        if !pending.is_idempotent() {
            self.settle_done(now, key, &answer);
        }
        self.forward_answer(now, key, answer);
    }

    /// Forwards an endpoint's answer to the caller, and records the answer time.
    pub(super) fn forward_answer(&mut self, now: Now, key: PendingRequestKey, answer: Answer) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let total_ms = now.mono_ms.saturating_sub(pending.arrived_ms);
        let attempts = pending.attempts_made;
        let class = pending.caller_request.class.clone();
        self.metrics.observe_answer(&class, total_ms as f64 / 1_000.0);
        class_queue(&mut self.class_queues, &class).answer_times.saturating_record(total_ms.max(1));
        let caller_answer = CallerAnswer::Quick {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body.into_vec(),
            attempts,
        };
        self.finish(now, key, caller_answer);
    }

    pub(super) fn on_failed(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        attempt: Attempt,
        reason: &str,
    ) {
        self.note_failure(now, attempt.endpoint);
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.may_have_run = true;
        if pending.is_idempotent() {
            return self.retry(now, key, attempt.endpoint_id, RetryReason::Failed);
        }
        let detail = format_compact!("the endpoint failed while it ran: {reason}");
        self.settle(now, key, ClaimOutcome::Unknown, ControlToken::NoReply);
        self.refuse(now, key, refusal(ErrorKind::OutcomeUnknown, detail));
    }

    pub(super) fn note_failure(&mut self, now: Now, endpoint: EndpointKey) {
        let Some(class) = self.endpoints.get(endpoint).map(|it| it.class.clone()) else { return };
        let ejected_permille = self.endpoints.ejected_permille(&class, endpoint, now);
        if let Some(it) = self.endpoints.get_mut(endpoint) {
            let was_ejected_or_probing = it.ejection.is_ejected_or_probing();
            it.ejection.note_failure(now.mono_ms, ejected_permille);
            if it.ejection.is_ejected_or_probing() && !was_ejected_or_probing {
                self.metrics.ejections.inc();
            }
        }
    }

    /// Makes another attempt, if the attempt limit, the retry budget and the time allow.
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
            // The caller has been answered already; no new attempt is started.
            return self.give_up(now, key, ErrorKind::DeadlineExpiredQueued);
        }
        if self.options.settings.attempts_max <= pending.attempts_made {
            return self.give_up(now, key, ErrorKind::AttemptsExhausted);
        }
        if !self.retry_budget.try_spend() {
            return self.give_up(now, key, ErrorKind::RetryBudgetExhausted);
        }
        self.metrics.count_retry(reason);
        pending.stage = Stage::Waiting;
        if !self.endpoints.has_accepting(&pending.caller_request.class) {
            self.give_up(now, key, ErrorKind::NoEndpoint)
        } else if !self.try_begin(now, key) {
            self.enqueue(now, key);
        }
    }

    /// Refuses a request that is not retried any more.
    pub(super) fn give_up(&mut self, now: Now, key: PendingRequestKey, kind: ErrorKind) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let attempts = pending.attempts_made;
        let last_refusal = pending
            .last_refusal
            .map(|it| format_compact!(", the last refused as {it}"))
            .unwrap_or_default();
        let detail = format_compact!("{attempts} attempts were made{last_refusal}");
        let refusal = refusal_with_retry_after(kind, detail, 500);
        self.refuse(now, key, refusal);
    }

    /// Answers with a refusal, and settles the claim of a request that did not run.
    ///
    /// A refusal that reports "not executed" must hold for the idempotency key, not only for this
    /// request. So the claim is settled first, or looked up if this request does not hold it.
    pub(super) fn refuse(&mut self, now: Now, key: PendingRequestKey, refusal: Refusal) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        if let Some(it) = pending.error_answer.clone() {
            return self.forward_answer(now, key, it);
        }
        let mut refusal = refusal;
        if pending.may_have_run
            && answer_for_error(refusal.kind).execution == ExecutionStatus::NotExecuted
        {
            // Whatever the cause of the refusal, an earlier attempt may have run.
            refusal.kind = ErrorKind::EndpointFailed;
        }
        let says_not_run = answer_for_error(refusal.kind).execution == ExecutionStatus::NotExecuted;
        let is_checked = matches!(pending.stage, Stage::Checking { .. });
        if says_not_run && !pending.is_idempotent() && !is_checked {
            return self.check_key_before_refusal(now, key, refusal);
        }
        self.finish(now, key, CallerAnswer::Refused(refusal));
    }

    /// Ends a request, and dispatches the next queued ones of its class.
    pub(super) fn finish(&mut self, now: Now, key: PendingRequestKey, answer: CallerAnswer) {
        self.leave_stage(key);
        let Some(pending) = self.pending_requests.remove(key) else { return };
        self.keys_by_request.remove(&pending.request);
        if !pending.is_idempotent() {
            // The agent that was queried may never reply.
            self.outcome_queries.retain(|_, it| *it != key);
        }
        if let Some(it) = self.in_flight_by_team.get_mut(&pending.team) {
            *it -= 1;
            if *it == 0 {
                self.in_flight_by_team.remove(&pending.team);
            }
        }
        for it in &pending.attempts {
            self.endpoints.note_ended(it.endpoint);
        }
        let class = &pending.caller_request.class;
        if let Some(token) = pending.token {
            self.answer(token, answer);
        }
        self.dispatch_queued(now, class);
    }

    /// Releases the place of a request in its queue, or at an endpoint.
    pub(super) fn leave_stage(&mut self, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        match pending.stage {
            Stage::Claiming { endpoint } => self.endpoints.note_ended(endpoint),
            Stage::Waiting => {
                if let Some(target_queue) = self.class_queues.get_mut(&pending.caller_request.class)
                {
                    target_queue.queue.remove(key);
                }
            }
            _ => (),
        }
    }
}
