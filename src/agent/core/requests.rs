//! Quick requests: queued, run within slots and connections, answered once.

use std::net::SocketAddr;

use crate::{
    agent::{
        core::{AgentCore, Effect, Execution},
        endpoints::{ExecutionId, ExecutorCall, ExecutorResult, QueuedRequest},
        seen_attempts::{AttemptId, AttemptOutcome},
    },
    prelude::*,
    util::checksum,
};

/// Largest answer kept for a resend.
const KEPT_ANSWER_BYTES: usize = 64 * 1024;

impl AgentCore {
    pub(super) fn on_execute(&mut self, now: Now, it: Execute) {
        self.entries.insert(it.reply_to, now.mono_ms);
        let attempt = (it.request, it.attempt);
        match self.seen_attempts.get(attempt) {
            // Sent twice by the link or by a resend: the first one's outcome is the outcome.
            Some(AttemptOutcome::Running) => return,
            Some(AttemptOutcome::Ended(outcome)) => {
                let outcome = outcome.clone();
                return self.reply(it.reply_to, attempt, it.endpoint, outcome);
            }
            None => (),
        }
        if let Err(kind) = self.check_execute(&it) {
            return self.refuse(now, &it, kind);
        }
        self.seen_attempts.begin(attempt);
        let deadline_ms = now.mono_ms + u64::from(it.deadline_ms);
        let number = it.endpoint.number;
        let executions = self.executions.len();
        let threads = self.options.settings.threads as usize;
        let Some(endpoint) = self.endpoints.get_mut(number) else { return };
        endpoint.queue.push_back(QueuedRequest { request: it, deadline_ms });
        if endpoint.has_slot() && executions < threads {
            self.run_next(now, number);
        }
    }

    pub(super) fn check_execute(&mut self, it: &Execute) -> Result<(), ErrorKind> {
        let queue_max = self.options.settings.queue_max as usize;
        let is_ours = self.own_sessions.contains(&it.endpoint.session);
        let has_room = self.seen_attempts.has_capacity();
        let threads = self.options.settings.threads as usize;
        let busy = threads <= self.executions.len();
        match self.endpoints.get_mut(it.endpoint.number) {
            _ if self.draining => Err(ErrorKind::Draining),
            _ if !is_ours => Err(ErrorKind::StaleSession),
            None => Err(ErrorKind::NoEndpoint),
            Some(endpoint) if endpoint.leaving => Err(ErrorKind::EndpointLeaving),
            Some(endpoint)
                if (!endpoint.has_slot() || busy) && queue_max <= endpoint.queue.len() =>
            {
                Err(ErrorKind::EndpointBusy)
            }
            Some(_) if !has_room => Err(ErrorKind::TableFull),
            Some(_) => Ok(()),
        }
    }

    /// Runs the next queued requests of an endpoint as far as its slots allow.
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
            let it = queued.request;
            let record = Execution {
                attempt: (it.request, it.attempt),
                endpoint: it.endpoint,
                reply_to: it.reply_to,
                idempotent: it.idempotent,
                begun_ms: now.mono_ms,
            };
            self.executions.insert(execution, record);
            self.effects.push(Effect::Call(ExecutorCall {
                execution,
                address,
                request: it.request,
                team: it.team,
                path: it.path,
                timeout_ms: queued.deadline_ms - now.mono_ms,
                body: it.body,
            }));
        }
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn drop_late(&mut self, now: Now) {
        let mut late = Vec::new();
        for endpoint in self.endpoints.iter_mut() {
            let (old, kept) = endpoint
                .queue
                .drain(..)
                .partition(|it: &QueuedRequest| it.deadline_ms <= now.mono_ms);
            endpoint.queue = kept;
            late.extend::<std::collections::VecDeque<_>>(old);
        }
        for it in late {
            self.refuse(now, &it.request, ErrorKind::DeadlineExpiredQueued);
        }
    }

    /// Refuses a request that was not handed to its endpoint, and never will be.
    pub(super) fn refuse(&mut self, now: Now, it: &Execute, kind: ErrorKind) {
        self.metrics.count_refusal(kind);
        let attempt = (it.request, it.attempt);
        let outcome = ExecuteOutcome::Refused(kind);
        // A second copy of the message must not run what this answer says did not.
        match self.seen_attempts.has_capacity() || self.seen_attempts.get(attempt).is_some() {
            true if it.idempotent => self.seen_attempts.end_briefly(attempt, outcome.clone(), now),
            true => self.seen_attempts.end(attempt, outcome.clone(), now),
            false => (),
        }
        self.reply(it.reply_to, attempt, it.endpoint, outcome);
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

    pub(super) fn on_executor(&mut self, now: Now, id: ExecutionId, result: ExecutorResult) {
        let Some(it) = self.executions.remove(&id) else { return };
        let answer_ms = now.mono_ms.saturating_sub(it.begun_ms);
        if let Some(endpoint) = self.endpoints.get_mut(it.endpoint.number) {
            endpoint.in_use -= 1;
            endpoint.note_answer(answer_ms);
        }
        let outcome = match result {
            ExecutorResult::Answered { status, content_type, body } => {
                ExecuteOutcome::Answered(Answer {
                    status,
                    content_type,
                    checksum: checksum(&body),
                    body: serde_bytes::ByteBuf::from(body),
                })
            }
            ExecutorResult::NotSent(_) => ExecuteOutcome::Refused(ErrorKind::NoEndpoint),
            ExecutorResult::Failed(why) => ExecuteOutcome::Failed(why),
        };
        if let ExecuteOutcome::Refused(kind) = outcome {
            self.metrics.count_refusal(kind);
        }
        if it.idempotent {
            // Not the answer, which would take memory for every request, but that there was one: a
            // second copy of the message, refused by now, would say that it did not run.
            let answered = ExecuteOutcome::Failed("it was answered before".into());
            self.seen_attempts.end_briefly(it.attempt, answered, now);
        } else {
            self.seen_attempts.end(it.attempt, kept(&outcome), now);
        }
        self.reply(it.reply_to, it.attempt, it.endpoint, outcome);
        // A freed thread may serve any endpoint; the one that freed it goes first.
        self.run_next(now, it.endpoint.number);
        let waiting: Vec<_> =
            self.endpoints.iter().filter(|it| !it.queue.is_empty()).map(|it| it.number).collect();
        for number in waiting {
            self.run_next(now, number);
        }
    }

    pub(super) fn on_outcome_query(&mut self, now: Now, it: &OutcomeQuery) {
        let attempt = (it.request, it.attempt);
        let is_ours = self.own_sessions.contains(&it.endpoint.session);
        let outcome = match self.seen_attempts.get(attempt) {
            Some(AttemptOutcome::Running) => ExecuteOutcome::Running,
            Some(AttemptOutcome::Ended(outcome)) => outcome.clone(),
            // An earlier run of this agent may have run it; nobody can know.
            None if !is_ours => ExecuteOutcome::Failed("the agent restarted meanwhile".into()),
            None if !self.seen_attempts.has_capacity() => ExecuteOutcome::Running,
            None => {
                // From now on it never runs here, even if the message is still on its way.
                self.seen_attempts.end(attempt, ExecuteOutcome::NotSeen, now);
                ExecuteOutcome::NotSeen
            }
        };
        self.reply(it.reply_to, attempt, it.endpoint, outcome);
    }
}

/// Returns an outcome as it is kept for resends: very large answers are not.
fn kept(outcome: &ExecuteOutcome) -> ExecuteOutcome {
    match outcome {
        ExecuteOutcome::Answered(it) if KEPT_ANSWER_BYTES < it.body.len() => {
            ExecuteOutcome::Failed("it ran, but its answer was too large to keep".into())
        }
        _ => outcome.clone(),
    }
}
