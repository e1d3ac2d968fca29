//! Non-idempotent requests: claimed in the log before they are sent, settled afterwards.

use crate::{
    control::state::ReplyResult,
    entry::{
        core::{ControlToken, EntryCore, OUTCOME_QUERY_INTERVAL_MS},
        endpoints::EndpointKey,
        pending_request::{PendingRequestKey, Stage},
        request::CallerAnswer,
    },
    prelude::*,
    util::checksum,
};

/// Interval at which control is queried for a claim held by another request.
const CLAIM_LOOKUP_INTERVAL_MS: u64 = 150;

/// Wait for another request's claim after which that claim's agent is queried, since its entry may
/// have failed. Also the extra time for control's replies after a deadline.
const STALE_CLAIM_MS: u64 = 2_000;

/// Minimum interval between two queries to the agent of such a claim.
const HOLDER_QUERY_INTERVAL_MS: u64 = 1_000;

/// Largest answer body stored with a claim.
const STORED_BODY_MAX_BYTES: usize = 16 * 1024;

impl EntryCore {
    /// Claims a request's key for an endpoint that counts it as in flight already.
    pub(super) fn claim(&mut self, now: Now, key: PendingRequestKey, endpoint: EndpointKey) {
        let (Some(pending), Some(target)) =
            (self.pending_requests.get_mut(key), self.endpoints.get(endpoint))
        else {
            return;
        };
        pending.stage = Stage::Claiming { endpoint };
        let command = ClaimCommand {
            team: pending.team.clone(),
            key: pending.key(),
            digest: pending.digest,
            attempt: pending.claim_attempt + 1,
            request: pending.request,
            entry: self.options.address,
            endpoint: target.id,
            agent: target.agent,
        };
        let deadline_ms = pending.deadline_ms + STALE_CLAIM_MS;
        let operation = Operation::Propose(Command::Claim(command));
        self.client.call(now, operation, deadline_ms, ControlToken::Claim(key));
    }

    /// Settles a request's claim as not run, or looks its key up, before its caller is refused.
    ///
    /// Control's reply decides, since another request with the key may have taken over the claim.
    pub(super) fn check_key_before_refusal(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        refusal: Refusal,
    ) {
        self.leave_stage(key);
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.stage = Stage::Checking { refusal };
        // Leaves time for control's reply even if the deadline has passed.
        pending.deadline_ms = pending.deadline_ms.max(now.mono_ms + STALE_CLAIM_MS);
        let deadline_ms = pending.deadline_ms;
        if 0 < pending.claim_attempt {
            self.settle(now, key, ClaimOutcome::NotRun, ControlToken::Claim(key));
        } else {
            let query = ClaimQuery { team: pending.team.clone(), key: pending.key() };
            let operation = Operation::Query(Query::Claim(query));
            self.client.call(now, operation, deadline_ms, ControlToken::Claim(key));
        }
        self.schedule(deadline_ms, key);
    }

    /// Handles control's reply on the claim of a request's key.
    pub(super) fn on_claim(&mut self, now: Now, key: PendingRequestKey, outcome: ReplyResult) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        if let Stage::Checking { refusal } = &pending.stage {
            let refusal = refusal.clone();
            let is_free = match &outcome {
                Ok(Reply::Claim(it)) => it.state == ClaimState::NotRun,
                Err(it) => it.kind == ErrorKind::NotFound,
                Ok(_) => false,
            };
            if is_free {
                return self.finish(now, key, CallerAnswer::Refused(refusal));
            }
        }
        let claim = match outcome {
            Ok(Reply::Claim(it)) => it,
            Ok(_) => return,
            // Another request has just claimed the key; its claim is followed.
            Err(it) if it.kind == ErrorKind::ClaimInProgress => return self.follow(now, key, None),
            Err(it) => return self.refuse(now, key, it),
        };
        if claim.digest != pending.digest {
            // Never answers with the outcome of a different request.
            let detail = format_compact!("key {} names another request", pending.key());
            let refusal = refusal(ErrorKind::KeyReused, detail);
            return self.finish(now, key, CallerAnswer::Refused(refusal));
        }
        let next = pending.claim_attempt + 1;
        let is_own = claim.request == pending.request && claim.state == ClaimState::Claimed;
        match (&pending.stage, claim.state.clone()) {
            (Stage::Claiming { endpoint }, ClaimState::Claimed)
                if is_own && claim.attempt == next =>
            {
                let endpoint = *endpoint;
                pending.claim_attempt = next;
                if pending.token.is_none() {
                    // The caller was refused at the deadline as not run, so nothing is sent.
                    return self.stop_following(now, key);
                }
                self.send_attempt(now, key, endpoint);
            }
            (_, ClaimState::Claimed) if is_own => (),
            (_, ClaimState::Claimed) => self.follow(now, key, Some(&claim)),
            (_, ClaimState::Done(answer)) => {
                let answer = match answer.body_kept {
                    true => CallerAnswer::Quick {
                        status: answer.status,
                        content_type: answer.content_type,
                        body: answer.body.as_bytes().to_vec(),
                        attempts: 0,
                    },
                    false => CallerAnswer::AlreadyAnswered { status: answer.status },
                };
                self.finish(now, key, answer);
            }
            (_, ClaimState::Unknown) => {
                let detail =
                    "an earlier request with this key was sent, and nobody can know whether it ran";
                self.refuse(now, key, refusal(ErrorKind::OutcomeUnknown, detail));
            }
            (_, ClaimState::NotRun) => {
                // The key is free again: this request claims it with the next attempt number.
                self.release_claiming_endpoint(key);
                let Some(pending) = self.pending_requests.get_mut(key) else { return };
                pending.claim_attempt = claim.attempt;
                pending.stage = Stage::Waiting;
                if !self.try_begin(now, key) {
                    let detail = "no endpoint is free for it now";
                    self.finish(
                        now,
                        key,
                        CallerAnswer::Refused(refusal_with_retry_after(
                            ErrorKind::QueueFull,
                            detail,
                            200,
                        )),
                    );
                }
            }
        }
    }

    /// Waits for the outcome of the request that holds the claim, and queries the claim's agent
    /// after [`STALE_CLAIM_MS`].
    fn follow(&mut self, now: Now, key: PendingRequestKey, claim: Option<&Claim>) {
        self.release_claiming_endpoint(key);
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        let query_sent_ms = match pending.stage {
            Stage::Following { query_sent_ms, .. } => query_sent_ms,
            _ => None,
        };
        let is_stale = pending.arrived_ms + STALE_CLAIM_MS <= now.mono_ms;
        let is_recently_queried =
            query_sent_ms.is_some_and(|it| now.mono_ms < it + HOLDER_QUERY_INTERVAL_MS);
        let claim_to_query = claim.filter(|_| is_stale && !is_recently_queried);
        let query_sent_ms =
            if claim_to_query.is_some() { Some(now.mono_ms) } else { query_sent_ms };
        pending.stage = Stage::Following {
            next_lookup_ms: now.mono_ms + CLAIM_LOOKUP_INTERVAL_MS,
            query_sent_ms,
        };
        self.schedule(now.mono_ms + CLAIM_LOOKUP_INTERVAL_MS, key);
        if let Some(stale_claim) = claim_to_query {
            self.query_claim_agent(key, stale_claim);
        }
    }

    fn release_claiming_endpoint(&mut self, key: PendingRequestKey) {
        if let Some(Stage::Claiming { endpoint }) =
            self.pending_requests.get(key).map(|it| it.stage.clone())
        {
            self.endpoints.note_ended(endpoint);
            if let Some(pending) = self.pending_requests.get_mut(key) {
                pending.stage = Stage::Waiting;
            }
        }
    }

    /// Queries control for the current state of the claim.
    pub(super) fn query_claim(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        if let Stage::Following { next_lookup_ms, .. } = &mut pending.stage {
            *next_lookup_ms = pending.deadline_ms;
        }
        let query = ClaimQuery { team: pending.team.clone(), key: pending.key() };
        let deadline_ms = pending.deadline_ms;
        let operation = Operation::Query(Query::Claim(query));
        self.client.call(now, operation, deadline_ms, ControlToken::Claim(key));
    }

    /// Queries the agent of a claim that another request holds for the outcome of its attempt.
    ///
    /// An attempt that the agent has not seen by then never runs there, even if the holder's
    /// message arrives later. So the request that sent the query may proceed.
    fn query_claim_agent(&mut self, key: PendingRequestKey, claim: &Claim) {
        self.outcome_queries.insert((claim.request, claim.attempt), key);
        let query = OutcomeQuery {
            request: claim.request,
            attempt: claim.attempt,
            endpoint: claim.endpoint,
            reply_to: self.options.address,
        };
        self.send(claim.agent, Message::OutcomeQuery(query));
    }

    /// Queries the agents of a request's own attempts for their outcomes.
    pub(super) fn query_own_attempts(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get_mut(key) else { return };
        pending.stage = Stage::InFlight { next_action_ms: now.mono_ms + OUTCOME_QUERY_INTERVAL_MS };
        let request = pending.request;
        let attempts = pending.attempts.clone();
        for it in attempts {
            let Some(to) = self.endpoints.get(it.endpoint).map(|it| it.agent) else { continue };
            let query = OutcomeQuery {
                request,
                attempt: it.number,
                endpoint: it.endpoint_id,
                reply_to: self.options.address,
            };
            self.send(to, Message::OutcomeQuery(query));
        }
        self.schedule(now.mono_ms + OUTCOME_QUERY_INTERVAL_MS, key);
    }

    /// Handles an agent's reply about an attempt of another request with the same key.
    pub(super) fn on_foreign_outcome(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        reply: ExecuteReply,
    ) {
        let outcome = match reply.outcome {
            ExecuteOutcome::Answered(answer) if checksum(&answer.body) == answer.checksum => {
                ClaimOutcome::Done(stored_answer(&answer))
            }
            ExecuteOutcome::Answered(_) | ExecuteOutcome::Failed(_) => ClaimOutcome::Unknown,
            ExecuteOutcome::Refused(_) | ExecuteOutcome::NotSeen => ClaimOutcome::NotRun,
            ExecuteOutcome::Running => return,
        };
        let Some(pending) = self.pending_requests.get(key) else { return };
        let command = SettleCommand {
            team: pending.team.clone(),
            key: pending.key(),
            attempt: reply.attempt,
            outcome,
        };
        let deadline_ms = pending.deadline_ms;
        let operation = Operation::Propose(Command::Settle(command));
        self.client.call(now, operation, deadline_ms, ControlToken::Claim(key));
    }

    /// Settles a request's claim with an answer.
    pub(super) fn settle_done(&mut self, now: Now, key: PendingRequestKey, answer: &Answer) {
        self.settle(now, key, ClaimOutcome::Done(stored_answer(answer)), ControlToken::NoReply);
    }

    /// Settles a request's claim with the outcome of its attempt.
    pub(super) fn settle(
        &mut self,
        now: Now,
        key: PendingRequestKey,
        outcome: ClaimOutcome,
        token: ControlToken,
    ) {
        let Some(pending) = self.pending_requests.get(key).filter(|it| 0 < it.claim_attempt) else {
            return;
        };
        let command = SettleCommand {
            team: pending.team.clone(),
            key: pending.key(),
            attempt: pending.claim_attempt,
            outcome,
        };
        let deadline_ms = now.mono_ms + u64::from(self.options.settings.operation_max_ms);
        self.client.call(now, Operation::Propose(Command::Settle(command)), deadline_ms, token);
    }

    /// Settles and ends a request whose caller has been answered.
    pub(super) fn stop_following(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let outcome = match pending.stage {
            Stage::InFlight { .. } => ClaimOutcome::Unknown,
            _ => ClaimOutcome::NotRun,
        };
        self.settle(now, key, outcome, ControlToken::NoReply);
        let unused = refusal(ErrorKind::OutcomeUnknown, "answered before");
        self.finish(now, key, CallerAnswer::Refused(unused));
    }
}

/// Returns an answer as stored with its claim: without a body that is too large or not UTF-8.
fn stored_answer(answer: &Answer) -> StoredAnswer {
    let body =
        std::str::from_utf8(&answer.body).ok().filter(|it| it.len() <= STORED_BODY_MAX_BYTES);
    StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: body.unwrap_or_default().into(),
        body_kept: body.is_some(),
    }
}
