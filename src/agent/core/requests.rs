//! Latency-critical requests: queued, run within slots and connections, answered once.

use std::net::SocketAddr;

use crate::{
    agent::{
        core::{AgentCore, Effect, Execution},
        endpoints::{EndpointCall, EndpointResult, ExecutionId, QueuedRequest},
        seen_attempts::{AttemptId, AttemptOutcome},
    },
    prelude::*,
    util::checksum,
};

/// Largest answer body that is kept for resends.
const KEPT_ANSWER_MAX_BYTES: usize = 64 * 1024;

impl AgentCore {
    pub(super) fn on_execute(&mut self, now: Now, execute: Execute) {
        self.entries.insert(execute.reply_to, now.mono_ms);
        let attempt = (execute.request, execute.attempt);
        match self.seen_attempts.get(attempt) {
            // A copy from the link or a resend: the outcome of the first message counts.
            Some(AttemptOutcome::Running) => return,
            Some(AttemptOutcome::Ended(outcome)) => {
                let outcome = outcome.clone();
                return self.reply(execute.reply_to, attempt, execute.endpoint, outcome);
            }
            None => (),
        }
        if let Err(kind) = self.check_execute(&execute) {
            return self.refuse(now, &execute, kind);
        }
        self.seen_attempts.begin(attempt);
        let deadline_ms = now.mono_ms + u64::from(execute.deadline_ms);
        let number = execute.endpoint.number;
        let execution_count = self.executions.len();
        let threads = self.options.settings.threads as usize;
        let Some(endpoint) = self.endpoints.get_mut(number) else { return };
        endpoint.queue.push_back(QueuedRequest { request: execute, deadline_ms });
        if endpoint.has_slot() && execution_count < threads {
            self.run_next(now, number);
        }
    }

    pub(super) fn check_execute(&mut self, execute: &Execute) -> Result<(), ErrorKind> {
        let queue_max = self.options.settings.queue_max as usize;
        let is_own_session = self.own_sessions.contains(&execute.endpoint.session);
        let has_capacity = self.seen_attempts.has_capacity();
        let threads = self.options.settings.threads as usize;
        let all_threads_busy = threads <= self.executions.len();
        match self.endpoints.get_mut(execute.endpoint.number) {
            _ if self.is_draining => Err(ErrorKind::Draining),
            _ if !is_own_session => Err(ErrorKind::StaleSession),
            None => Err(ErrorKind::NoEndpoint),
            Some(endpoint) if endpoint.leaving => Err(ErrorKind::EndpointLeaving),
            Some(endpoint)
                if (!endpoint.has_slot() || all_threads_busy)
                    && queue_max <= endpoint.queue.len() =>
            {
                Err(ErrorKind::EndpointBusy)
            }
            Some(_) if !has_capacity => Err(ErrorKind::TableFull),
            Some(_) => Ok(()),
        }
    }

    /// Runs the next queued requests of an endpoint, as far as its slots and the agent's threads
    /// allow.
    pub(super) fn run_next(&mut self, now: Now, number: u32) {
        loop {
            let threads = self.options.settings.threads as usize;
            let Some(endpoint) = self.endpoints.get_mut(number) else { return };
            if !endpoint.has_slot() || threads <= self.executions.len() {
                return;
            }
            let Some(queued) = endpoint.queue.pop_front() else { return };
            if queued.deadline_ms <= now.mono_ms {
                self.refuse(now, &queued.request, ErrorKind::DeadlineExpiredQueued);
                continue;
            }
            endpoint.in_use += 1;
            let address = endpoint.announcement.address;
            self.next_execution += 1;
            let execution = ExecutionId(self.next_execution);
            let execute = queued.request;
            let record = Execution {
                attempt: (execute.request, execute.attempt),
                endpoint: execute.endpoint,
                reply_to: execute.reply_to,
                idempotent: execute.idempotent,
                started_ms: now.mono_ms,
            };
            self.executions.insert(execution, record);
            self.effects.push(Effect::CallEndpoint(EndpointCall {
                execution,
                address,
                request: execute.request,
                team: execute.team,
                path: execute.path,
                timeout_ms: queued.deadline_ms - now.mono_ms,
                body: execute.body,
            }));
        }
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, now: Now) {
        let mut expired = Vec::new();
        for endpoint in self.endpoints.iter_mut() {
            let (late, remaining) = endpoint
                .queue
                .drain(..)
                .partition(|it: &QueuedRequest| it.deadline_ms <= now.mono_ms);
            endpoint.queue = remaining;
            expired.extend::<std::collections::VecDeque<_>>(late);
        }
        for queued in expired {
            self.refuse(now, &queued.request, ErrorKind::DeadlineExpiredQueued);
        }
    }

    /// Refuses a request that was not and will not be sent to its endpoint.
    pub(super) fn refuse(&mut self, now: Now, execute: &Execute, kind: ErrorKind) {
        self.metrics.count_refusal(kind);
        let attempt = (execute.request, execute.attempt);
        let outcome = ExecuteOutcome::Refused(kind);
        // Recorded, so that a second copy of the message is not run after this refusal.
        match self.seen_attempts.has_capacity() || self.seen_attempts.get(attempt).is_some() {
            true if execute.idempotent => {
                self.seen_attempts.end_idempotent(attempt, outcome.clone(), now)
            }
            true => self.seen_attempts.end(attempt, outcome.clone(), now),
            false => (),
        }
        self.reply(execute.reply_to, attempt, execute.endpoint, outcome);
    }

    pub(super) fn reply(
        &mut self,
        to: SocketAddr,
        attempt: AttemptId,
        endpoint: EndpointId,
        outcome: ExecuteOutcome,
    ) {
        let load = self
            .endpoints
            .get_mut(endpoint.number)
            .map_or(Load { in_use: 0, queued: 0 }, |it| it.load());
        let reply =
            ExecuteReply { request: attempt.0, attempt: attempt.1, endpoint, outcome, load };
        self.send(to, Message::ExecuteReply(reply));
    }

    pub(super) fn on_executor(&mut self, now: Now, id: ExecutionId, result: EndpointResult) {
        let Some(execution) = self.executions.remove(&id) else { return };
        let answer_ms = now.mono_ms.saturating_sub(execution.started_ms);
        if let Some(endpoint) = self.endpoints.get_mut(execution.endpoint.number) {
            endpoint.in_use -= 1;
            endpoint.note_answer(answer_ms);
        }
        let outcome = match result {
            EndpointResult::Answered { status, content_type, body } => {
                ExecuteOutcome::Answered(Answer {
                    status,
                    content_type,
                    checksum: checksum(&body),
                    body: serde_bytes::ByteBuf::from(body),
                })
            }
            EndpointResult::NotSent(_) => ExecuteOutcome::Refused(ErrorKind::NoEndpoint),
            EndpointResult::Failed(reason) => ExecuteOutcome::Failed(reason),
        };
        if let ExecuteOutcome::Refused(kind) = outcome {
            self.metrics.count_refusal(kind);
        }
        if execution.idempotent {
            // Only the fact of an answer is kept, as all answers would take too much memory.
            // Without it, a second copy could be refused, which says that the request did not run.
            let answered = ExecuteOutcome::Failed("it was answered before".into());
            self.seen_attempts.end_idempotent(execution.attempt, answered, now);
        } else {
            self.seen_attempts.end(execution.attempt, outcome_to_keep(&outcome), now);
        }
        self.reply(execution.reply_to, execution.attempt, execution.endpoint, outcome);
        // The freed thread may serve any endpoint; the endpoint that freed it has priority.
        self.run_next(now, execution.endpoint.number);
        let waiting: Vec<_> =
            self.endpoints.iter().filter(|it| !it.queue.is_empty()).map(|it| it.number).collect();
        for number in waiting {
            self.run_next(now, number);
        }
    }

    pub(super) fn on_outcome_query(&mut self, now: Now, query: &OutcomeQuery) {
        let attempt = (query.request, query.attempt);
        let is_own_session = self.own_sessions.contains(&query.endpoint.session);
        let outcome = match self.seen_attempts.get(attempt) {
            Some(AttemptOutcome::Running) => ExecuteOutcome::Running,
            Some(AttemptOutcome::Ended(outcome)) => outcome.clone(),
            // An earlier process of this agent may have run the attempt; its outcome is lost.
            None if !is_own_session => {
                ExecuteOutcome::Failed("the agent restarted meanwhile".into())
            }
            None if !self.seen_attempts.has_capacity() => ExecuteOutcome::Running,
            None => {
                // Recorded, so that the attempt never runs here, even if its message arrives later.
                self.seen_attempts.end(attempt, ExecuteOutcome::NotSeen, now);
                ExecuteOutcome::NotSeen
            }
        };
        self.reply(query.reply_to, attempt, query.endpoint, outcome);
    }
}

/// Returns the outcome to keep for resends; a failure replaces an answer above
/// [`KEPT_ANSWER_MAX_BYTES`].
fn outcome_to_keep(outcome: &ExecuteOutcome) -> ExecuteOutcome {
    match outcome {
        ExecuteOutcome::Answered(it) if KEPT_ANSWER_MAX_BYTES < it.body.len() => {
            ExecuteOutcome::Failed("it ran, but its answer was too large to keep".into())
        }
        _ => outcome.clone(),
    }
}
